"""The simulated servers: one controller per server; maps protocol ids to objects."""

from __future__ import annotations

from math import inf
from weakref import WeakKeyDictionary, WeakValueDictionary

from ..overload import interface
from ..overload.controller import Controller
from ..overload.interface import Action, Client, Event, Request, ServerSettings, Tenant
from . import wire
from .wire import Line, MalformedError, format_number, parse_integer, parse_number

HAS_COST_HINT, IS_RETRY, WRITES = 1, 2, 4  # bits of a request's flags
# Without `PresumeLost`: starts are never unconfirmed in the simulator's protocol.
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
    """The controller of one server, and the objects that its ids refer to."""

    def __init__(self, instance_id: int, seed: int, server_settings: ServerSettings) -> None:
        self.instance_id = instance_id
        self.server_settings = server_settings
        self.controller = Controller(server_settings, seed)
        self.clients: dict[int, Client] = {}
        # Entries remain while the controller or a duplicate refers to the request.
        self.requests: WeakValueDictionary[int, Request] = WeakValueDictionary()
        self.ids: WeakKeyDictionary[Request, int] = WeakKeyDictionary()

    def to_event(self, line: Line, now: float) -> Event | None:
        """Return the event of a line; None if its request is no longer stored."""
        parts = line.parts
        if line.verb == "request":
            return interface.RequestArrived(self._request(parts, now))
        if line.verb == "bell":
            parse_integer(parts[0])
            gauges = wire.parse_gauges(parts[1])
            return interface.TimerFired(
                gauges.get("cpu_busy", inf), gauges.get("sockets", inf), gauges.get("runnable", inf)
            )
        if line.verb == "drain":
            return interface.ShutdownNotice(parse_number(parts[0], 0.0))
        request = self.requests.get(parse_integer(parts[0]))
        if line.verb in ("work_done", "returned"):
            took_s, outcome = parse_number(parts[1], 0.0), wire.parse_outcome(parts[2])
            if request is None:
                return None
            event_type = interface.RunEnded if line.verb == "work_done" else interface.DependencyCallEnded
            return event_type(request, took_s, outcome)
        if request is None:
            return None
        return (
            interface.DependencyCallNeeded(request)
            if line.verb == "needs"
            else interface.RequestAbandoned(request)
        )

    def _request(self, parts: list[str], now: float) -> Request:
        request_class_index, tenant_index = parse_integer(parts[10]), parse_integer(parts[4], 0)
        if request_class_index >= len(self.server_settings.request_classes):
            raise MalformedError(f"no such class: {request_class_index}")
        tenant: Tenant | None = None
        if self.server_settings.tenants:
            if tenant_index >= len(self.server_settings.tenants):
                raise MalformedError(f"no such tenant: {tenant_index}")
            tenant = self.server_settings.tenants[tenant_index]
        flags, remaining_s = parse_integer(parts[3], 0), parse_number(parts[7], 0.0)
        request = Request(
            request_class=self.server_settings.request_classes[request_class_index],
            client=self.clients.setdefault(parse_integer(parts[2], 0), Client()),
            tenant=tenant,
            arrived_at=now - parse_number(parts[9], 0.0),
            memory_kb=parse_number(parts[11], 0.0),
            remaining_s=remaining_s if self.server_settings.deadline_propagated and parts[7] != "-" else None,
            cost_hint=parse_number(parts[6]) if flags & HAS_COST_HINT and parts[6] != "-" else None,
            is_retry=bool(flags & IS_RETRY),
            writes=bool(flags & WRITES),
            subject=parts[8] if parts[8] != "-" else None,
        )
        original_id = parse_integer(parts[5], 0)
        if original_id:
            request.duplicate_of = self.requests.get(original_id) or self._placeholder_original(
                request, original_id
            )
        self._register(request, parse_integer(parts[0]))
        return request

    def _placeholder_original(self, request: Request, original_id: int) -> Request:
        """Return a placeholder for an original that is no longer stored.

        The original has run, since the simulator would not refer to it otherwise.
        """
        placeholder = Request(request.request_class, request.client, request.tenant, request.arrived_at, 0.0)
        placeholder.stage, placeholder.started = interface.Stage.FINISHED, True
        self._register(placeholder, original_id)
        return placeholder

    def _register(self, request: Request, request_id: int) -> None:
        self.ids[request] = request_id
        self.requests[request_id] = request

    def to_line(self, action: Action) -> str:
        """Return the protocol line of an action; raise an internal error of the controller."""
        if isinstance(action, interface.InternalError):
            raise action.error
        verb = VERBS[type(action)]
        request = getattr(action, "request", None)
        subject = f"{self.instance_id} {self.ids[request]}" if request is not None else f"{self.instance_id}"
        return " ".join([verb, subject, *_values(action)])


def _values(action: Action) -> list[str]:
    """Return the values of an action's line that follow its request or instance."""
    match action:
        case interface.Reject(_, retry_after_s, no_retry_elsewhere):
            return [format_number(retry_after_s), str(int(no_retry_elsewhere))]
        case interface.CallDependency(_, value) | interface.ReserveKey(_, value):
            return [format_number(value)]
        case interface.AdvertiseCapacity(value) | interface.CloseIdle(value):
            return [format_number(value)]
        case interface.SetTimer(after_s):
            return [format_number(after_s), "0"]
        case interface.SetHealth(healthy, cacheable):
            return [str(int(healthy)), str(int(cacheable))]
        case interface.Log(message):
            return [message]
        case _:
            return []


class Host:
    """All simulated servers of this process; they share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}

    def handle_batch(self, now: float, event_lines: list[str]) -> list[str]:
        """Return the reply lines to one batch of event lines.

        Raises:
            MalformedError: A line does not follow the protocol, or refers to an unknown instance.
        """
        events_by_instance: dict[Instance, list[Event]] = {}
        for event_line in event_lines:
            line = wire.parse_line(event_line)
            if line.verb == "init":
                seed = parse_integer(line.parts[0])
                self.instances[line.instance] = Instance(
                    line.instance, seed, wire.parse_server_settings(line.parts[1])
                )
            instance = self.instances.get(line.instance)
            if instance is None:
                raise MalformedError(f"no such instance: {event_line!r}")
            if line.verb == "destroy":
                events_by_instance.pop(instance, None)
                del self.instances[line.instance]
                continue
            events = events_by_instance.setdefault(instance, [])
            if line.verb != "init":
                event = instance.to_event(line, now)
                if event is not None:
                    events.append(event)
        return [
            instance.to_line(action)
            for instance, events in events_by_instance.items()
            for action in instance.controller.handle_events(now, events)
        ]
