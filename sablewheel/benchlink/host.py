"""The instances behind the wire: one controller each, and the door where ids become objects."""

from __future__ import annotations

from math import inf
from weakref import WeakKeyDictionary, WeakValueDictionary

from .. import terms
from ..choice import Controller
from ..terms import Customer, Deed, Happening, Machine, Router, Ticket
from . import wire
from .wire import Line, MalformedError, number, seconds, whole

AGAIN, WRITES, HINTED = 2, 4, 1


class Instance:
    """One server's controller and the objects its ids stand for."""

    def __init__(self, name: int, seed: int, machine: Machine) -> None:
        self.name = name
        self.machine = machine
        self.controller = Controller(machine, seed)
        self.routers: dict[int, Router] = {}
        # A ticket lives here as long as the controller, or a ticket that repeats it, still holds it.
        self.tickets: WeakValueDictionary[int, Ticket] = WeakValueDictionary()
        self.ids: WeakKeyDictionary[Ticket, int] = WeakKeyDictionary()

    def happening(self, line: Line, now: float) -> Happening | None:
        """What a line tells, or None if it speaks of a ticket that is long over."""
        parts = line.parts
        if line.verb == "request":
            return terms.Arrived(self._ticket(parts, now))
        if line.verb == "bell":
            whole(parts[0])
            told = wire.gauges(parts[1])
            return terms.Bell(told.get("cpu_busy", inf), told.get("sockets", inf), told.get("runnable", inf))
        if line.verb == "drain":
            return terms.Notice(number(parts[0], 0.0))
        ticket = self.tickets.get(whole(parts[0]))
        if line.verb in ("work_done", "returned"):
            took, outcome = number(parts[1], 0.0), wire.outcome(parts[2])
            if ticket is None:
                return None
            kind = terms.Ended if line.verb == "work_done" else terms.CallEnded
            return kind(ticket, took, outcome)
        if ticket is None:
            return None
        return terms.CallNeeded(ticket) if line.verb == "needs" else terms.CallerGone(ticket)

    def _ticket(self, parts: list[str], now: float) -> Ticket:
        track_place, customer_place = whole(parts[10]), whole(parts[4], 0)
        if track_place >= len(self.machine.tracks):
            raise MalformedError(f"no such class: {track_place}")
        customer: Customer | None = None
        if self.machine.customers:
            if customer_place >= len(self.machine.customers):
                raise MalformedError(f"no such tenant: {customer_place}")
            customer = self.machine.customers[customer_place]
        marks, wait_left = whole(parts[3], 0), number(parts[7], 0.0)
        ticket = Ticket(
            track=self.machine.tracks[track_place],
            router=self.routers.setdefault(whole(parts[2], 0), Router()),
            customer=customer,
            arrived=now - number(parts[9], 0.0),
            kb=number(parts[11], 0.0),
            wait_left=wait_left if self.machine.told_wait and parts[7] != "-" else None,
            estimate=number(parts[6]) if marks & HINTED and parts[6] != "-" else None,
            again=bool(marks & AGAIN),
            writes=bool(marks & WRITES),
            subject=parts[8] if parts[8] != "-" else None,
        )
        original = whole(parts[5], 0)
        if original:
            ticket.repeats = self.tickets.get(original) or self._forgotten(ticket, original)
        self._enter(ticket, whole(parts[0]))
        return ticket

    def _forgotten(self, ticket: Ticket, original: int) -> Ticket:
        """Stands for an original that nobody holds any more: it has run, or it would not be named."""
        stub = Ticket(ticket.track, ticket.router, ticket.customer, ticket.arrived, 0.0)
        stub.stage, stub.begun = terms.Stage.OVER, True
        self._enter(stub, original)
        return stub

    def _enter(self, ticket: Ticket, name: int) -> None:
        self.ids[ticket] = name
        self.tickets[name] = ticket

    def line(self, deed: Deed) -> str:
        """A deed as the wire writes it."""
        i, ids = self.name, self.ids
        match deed:
            case terms.Run(ticket):
                return f"run {i} {ids[ticket]}"
            case terms.Stop(ticket):
                return f"suspend {i} {ids[ticket]}"
            case terms.Deny(ticket, come_back, nowhere):
                return f"busy {i} {ids[ticket]} {seconds(come_back)} {int(nowhere)}"
            case terms.Terminate(ticket):
                return f"fail {i} {ids[ticket]}"
            case terms.Call(ticket, allow):
                return f"call {i} {ids[ticket]} {seconds(allow)}"
            case terms.LeaveOut(ticket):
                return f"go_on {i} {ids[ticket]}"
            case terms.Remember(ticket, life):
                return f"remember {i} {ids[ticket]} {seconds(life)}"
            case terms.Release(ticket):
                return f"release_key {i} {ids[ticket]}"
            case terms.Join(ticket):
                return f"join {i} {ids[ticket]}"
            case terms.Health(good, stored):
                return f"set_health {i} {int(good)} {int(stored)}"
            case terms.Say(amount):
                return f"say {i} {seconds(amount)}"
            case terms.CloseIdle(after):
                return f"close_idle {i} {seconds(after)}"
            case terms.Alarm(after):
                return f"set_alarm {i} {seconds(after)} 0"
            case terms.PresumeLost():
                raise AssertionError("starts are never unconfirmed on the simulator's wire")
            case terms.Log(words):
                return f"say_log {i} {words}"


class Host:
    """All instances of this process; they share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def batch(self, now: float, texts: list[str]) -> list[str]:
        """The reply lines to one batch of event lines."""
        told: dict[Instance, list[Happening]] = {}
        for text in texts:
            line = wire.parse_line(text)
            if line.verb == "init":
                seed = whole(line.parts[0])
                self.instances[line.instance] = Instance(line.instance, seed, wire.machine(line.parts[1]))
            instance = self.instances.get(line.instance)
            if instance is None:
                raise MalformedError(f"no such instance: {text!r}")
            if line.verb == "destroy":
                told.pop(instance, None)
                del self.instances[line.instance]
                continue
            happenings = told.setdefault(instance, [])
            if line.verb != "init":
                happening = instance.happening(line, now)
                if happening is not None:
                    happenings.append(happening)
        return [
            instance.line(deed)
            for instance, happenings in told.items()
            for deed in instance.controller.decide(now, happenings)
        ]
