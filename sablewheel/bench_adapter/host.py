"""The simulated servers behind the wire: one controller each; ids become objects here."""

from __future__ import annotations

from math import inf
from weakref import WeakKeyDictionary, WeakValueDictionary

from ..overload import interface
from ..overload.controller import Controller
from ..overload.interface import Action, Client, Event, Request, ServerSettings, Tenant
from . import wire
from .wire import Line, MalformedError, number, seconds, whole

HAS_COST_HINT, IS_RETRY, WRITES = 1, 2, 4  # bits of a request's marks
# Without `PresumeLost`: starts are never unconfirmed on the simulator's wire.
VERBS: dict[type[Action], str] = {
    interface.Run: "run",
    interface.Cancel: "suspend",
    interface.Reject: "busy",
    interface.Fail: "fail",
    interface.CallDependency: "call",
    interface.SkipDependencyCall: "go_on",
    interface.ReserveKey: "remember",
    interface.ReleaseKey: "release_key",
    interface.AttachToOriginal: "join",
    interface.SetHealth: "set_health",
    interface.AdvertiseCapacity: "say",
    interface.CloseIdle: "close_idle",
    interface.SetTimer: "set_alarm",
    interface.Log: "say_log",
}


class Instance:
    """One server's controller and the objects its ids stand for."""

    def __init__(self, name: int, seed: int, server_settings: ServerSettings) -> None:
        self.name = name
        self.server_settings = server_settings
        self.controller = Controller(server_settings, seed)
        self.clients: dict[int, Client] = {}
        # A request stays here while the controller, or a duplicate of it, still refers to it.
        self.requests: WeakValueDictionary[int, Request] = WeakValueDictionary()
        self.ids: WeakKeyDictionary[Request, int] = WeakKeyDictionary()

    def event(self, line: Line, now: float) -> Event | None:
        """Return the event of a line; None if it is about a request that is long over."""
        parts = line.parts
        if line.verb == "request":
            return interface.RequestArrived(self._request(parts, now))
        if line.verb == "bell":
            whole(parts[0])
            gauges = wire.gauges(parts[1])
            return interface.TimerFired(
                gauges.get("cpu_busy", inf), gauges.get("sockets", inf), gauges.get("runnable", inf)
            )
        if line.verb == "drain":
            return interface.ShutdownNotice(number(parts[0], 0.0))
        request = self.requests.get(whole(parts[0]))
        if line.verb in ("work_done", "returned"):
            took, outcome = number(parts[1], 0.0), wire.outcome(parts[2])
            if request is None:
                return None
            kind = interface.RunEnded if line.verb == "work_done" else interface.DependencyCallEnded
            return kind(request, took, outcome)
        if request is None:
            return None
        return (
            interface.DependencyCallNeeded(request) if line.verb == "needs" else interface.CallerGone(request)
        )

    def _request(self, parts: list[str], now: float) -> Request:
        request_class_place, tenant_place = whole(parts[10]), whole(parts[4], 0)
        if request_class_place >= len(self.server_settings.request_classes):
            raise MalformedError(f"no such class: {request_class_place}")
        tenant: Tenant | None = None
        if self.server_settings.tenants:
            if tenant_place >= len(self.server_settings.tenants):
                raise MalformedError(f"no such tenant: {tenant_place}")
            tenant = self.server_settings.tenants[tenant_place]
        marks, remaining_s = whole(parts[3], 0), number(parts[7], 0.0)
        request = Request(
            request_class=self.server_settings.request_classes[request_class_place],
            client=self.clients.setdefault(whole(parts[2], 0), Client()),
            tenant=tenant,
            arrived_at=now - number(parts[9], 0.0),
            memory_kb=number(parts[11], 0.0),
            remaining_s=remaining_s if self.server_settings.deadline_propagated and parts[7] != "-" else None,
            cost_hint=number(parts[6]) if marks & HAS_COST_HINT and parts[6] != "-" else None,
            is_retry=bool(marks & IS_RETRY),
            writes=bool(marks & WRITES),
            subject=parts[8] if parts[8] != "-" else None,
        )
        original = whole(parts[5], 0)
        if original:
            request.duplicate_of = self.requests.get(original) or self._forgotten(request, original)
        self._enter(request, whole(parts[0]))
        return request

    def _forgotten(self, request: Request, original: int) -> Request:
        """Return a placeholder for an original that is over: it has run, or it would not be named."""
        stub = Request(request.request_class, request.client, request.tenant, request.arrived_at, 0.0)
        stub.stage, stub.started = interface.Stage.FINISHED, True
        self._enter(stub, original)
        return stub

    def _enter(self, request: Request, name: int) -> None:
        self.ids[request] = name
        self.requests[name] = request

    def line(self, action: Action) -> str:
        """Return an action as a line of the wire; an internal error of the controller is raised."""
        if isinstance(action, interface.InternalError):
            raise action.error
        verb = VERBS[type(action)]
        request = getattr(action, "request", None)
        subject = f"{self.name} {self.ids[request]}" if request is not None else f"{self.name}"
        return " ".join([verb, subject, *_values(action)])


def _values(action: Action) -> list[str]:
    """Return what an action's line carries behind its request or instance."""
    match action:
        case interface.Reject(_, retry_after_s, no_retry_elsewhere):
            return [seconds(retry_after_s), str(int(no_retry_elsewhere))]
        case interface.CallDependency(_, value) | interface.ReserveKey(_, value):
            return [seconds(value)]
        case interface.AdvertiseCapacity(value) | interface.CloseIdle(value):
            return [seconds(value)]
        case interface.SetTimer(after_s):
            return [seconds(after_s), "0"]
        case interface.SetHealth(healthy, cacheable):
            return [str(int(healthy)), str(int(cacheable))]
        case interface.Log(message):
            return [message]
        case _:
            return []


class Host:
    """All simulated servers of this process; they share nothing."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def batch(self, now: float, texts: list[str]) -> list[str]:
        """Return the reply lines to one batch of event lines.

        Raises:
            MalformedError: A line is not of the wire, or names an instance that does not exist.
        """
        events_of: dict[Instance, list[Event]] = {}
        for text in texts:
            line = wire.parse_line(text)
            if line.verb == "init":
                seed = whole(line.parts[0])
                self.instances[line.instance] = Instance(
                    line.instance, seed, wire.server_settings(line.parts[1])
                )
            instance = self.instances.get(line.instance)
            if instance is None:
                raise MalformedError(f"no such instance: {text!r}")
            if line.verb == "destroy":
                events_of.pop(instance, None)
                del self.instances[line.instance]
                continue
            events = events_of.setdefault(instance, [])
            if line.verb != "init":
                event = instance.event(line, now)
                if event is not None:
                    events.append(event)
        return [
            instance.line(action)
            for instance, events in events_of.items()
            for action in instance.controller.handle_events(now, events)
        ]
