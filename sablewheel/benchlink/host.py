"""The instances behind the wire: one controller each, and the door where ids become objects."""

from __future__ import annotations

from math import inf
from weakref import WeakKeyDictionary, WeakValueDictionary

from .. import terms
from ..choice import Controller
from ..terms import Deed, Happening, Machine, Request, Router, Tenant
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
        # A request lives here as long as the controller, or a request that repeats it, still holds it.
        self.requests: WeakValueDictionary[int, Request] = WeakValueDictionary()
        self.ids: WeakKeyDictionary[Request, int] = WeakKeyDictionary()

    def happening(self, line: Line, now: float) -> Happening | None:
        """What a line tells, or None if it speaks of a request that is long over."""
        parts = line.parts
        if line.verb == "request":
            return terms.Arrived(self._request(parts, now))
        if line.verb == "bell":
            whole(parts[0])
            told = wire.gauges(parts[1])
            return terms.Bell(told.get("cpu_busy", inf), told.get("sockets", inf), told.get("runnable", inf))
        if line.verb == "drain":
            return terms.Notice(number(parts[0], 0.0))
        request = self.requests.get(whole(parts[0]))
        if line.verb in ("work_done", "returned"):
            took, outcome = number(parts[1], 0.0), wire.outcome(parts[2])
            if request is None:
                return None
            kind = terms.Ended if line.verb == "work_done" else terms.CallEnded
            return kind(request, took, outcome)
        if request is None:
            return None
        return terms.CallNeeded(request) if line.verb == "needs" else terms.CallerGone(request)

    def _request(self, parts: list[str], now: float) -> Request:
        request_class_place, tenant_place = whole(parts[10]), whole(parts[4], 0)
        if request_class_place >= len(self.machine.request_classes):
            raise MalformedError(f"no such class: {request_class_place}")
        tenant: Tenant | None = None
        if self.machine.tenants:
            if tenant_place >= len(self.machine.tenants):
                raise MalformedError(f"no such tenant: {tenant_place}")
            tenant = self.machine.tenants[tenant_place]
        marks, wait_left = whole(parts[3], 0), number(parts[7], 0.0)
        request = Request(
            request_class=self.machine.request_classes[request_class_place],
            router=self.routers.setdefault(whole(parts[2], 0), Router()),
            tenant=tenant,
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
            request.repeats = self.requests.get(original) or self._forgotten(request, original)
        self._enter(request, whole(parts[0]))
        return request

    def _forgotten(self, request: Request, original: int) -> Request:
        """Stands for an original that nobody holds any more: it has run, or it would not be named."""
        stub = Request(request.request_class, request.router, request.tenant, request.arrived, 0.0)
        stub.stage, stub.begun = terms.Stage.OVER, True
        self._enter(stub, original)
        return stub

    def _enter(self, request: Request, name: int) -> None:
        self.ids[request] = name
        self.requests[name] = request

    def line(self, deed: Deed) -> str:
        """A deed as the wire writes it."""
        i, ids = self.name, self.ids
        match deed:
            case terms.Run(request):
                return f"run {i} {ids[request]}"
            case terms.Stop(request):
                return f"suspend {i} {ids[request]}"
            case terms.Deny(request, come_back, nowhere):
                return f"busy {i} {ids[request]} {seconds(come_back)} {int(nowhere)}"
            case terms.Terminate(request):
                return f"fail {i} {ids[request]}"
            case terms.Call(request, allow):
                return f"call {i} {ids[request]} {seconds(allow)}"
            case terms.LeaveOut(request):
                return f"go_on {i} {ids[request]}"
            case terms.Remember(request, life):
                return f"remember {i} {ids[request]} {seconds(life)}"
            case terms.Release(request):
                return f"release_key {i} {ids[request]}"
            case terms.Join(request):
                return f"join {i} {ids[request]}"
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
