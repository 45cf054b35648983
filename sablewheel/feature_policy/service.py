"""The service that connects the rollout to the server.

It turns views, frames and timers into events of the rollout and carries out the effects; all decisions are
the rollout's. Its gate is the last handler before the dispatcher, so that it also sees the requests that
peers forward. A request is served here, forwarded to a member that may serve it, or rejected at once with
the cause counted and logged. Translations run in a separate process that is polled, so that the server
never blocks.
"""

from __future__ import annotations

import json
import logging
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from math import inf
from typing import IO, Protocol

from ..forwarding.errors import SendError
from ..membership.view import Fact, View
from ..overload.interface import ServerSettings, Tenant
from ..serving.exchange import Exchange
from ..serving.listener import RequestHandler
from ..transport.scheduler import Scheduler
from ..transport.wakeup import Wakeup
from . import codec, policy_bundle
from .applying import settings
from .host_capabilities import HostCapabilities
from .messages import Message
from .plan import PolicyPlan
from .policy import MAX_POLICY_BYTES
from .policy_bundle import BundleError
from .rollout import Rollout
from .rollout_events import (
    ApplyPlan,
    DocumentProposed,
    Effect,
    Event,
    LogEntry,
    MessageReceived,
    ProposeFact,
    Route,
    Send,
    StartTranslation,
    TimerFired,
    TranslationFinished,
    ViewChanged,
)

MESSAGE_TYPE = "policy"
MESSAGE_EXPIRES_IN_S = 2.0  # older messages are useless, as requests are repeated
PROCESS_POLL_INTERVAL_S = 0.05  # for the translation process
AVOID_MEMBER_S = 3.0  # for which a member is avoided after its connection was lost, if there are others
MAX_CACHED_ROUTES = 4096  # by request class, tenant and zone; cleared at every event

log = logging.getLogger(__name__)
# This logger has its own rate limit, so that rejections can't suppress changes of the policy.
changes = logging.getLogger(f"{__name__}.changes")


class Fleet(Protocol):
    """The part of membership that the service uses."""

    @property
    def node_name(self) -> str:
        """The name of this member."""

    def on_view(self, callback: Callable[[View], None]) -> None:
        """Call `callback` with each new view."""

    def report_fact(self, fact: Fact) -> None:
        """Propose a fact."""


class Links(Protocol):
    """The part of the forwarding links that the service uses."""

    def send(self, peer_name: str, message_type: str, payload: bytes, *, expires_in_s: float) -> None:
        """Queue a frame for a peer; raises `SendError`."""

    def register_handler(self, message_type: str, handler: Callable[[str, bytes], None]) -> None:
        """Call `handler` with the sender and the payload of each frame of a type."""

    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        """Call `callback` with the name of each peer whose connection is lost."""


class PolicyService:
    """This server's part in the fleet's policy.

    `settings_changed` is called when `server_settings` would return different settings.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        plan: PolicyPlan,
        fleet: Fleet,
        links: Links,
        own_capabilities: HostCapabilities,
        tenants: dict[bytes, Tenant],
        settings_changed: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler, self._plan, self._fleet, self._links = scheduler, plan, fleet, links
        self._tenants, self._settings_changed, self._clock = tenants, settings_changed, clock
        self.rollout = Rollout(fleet.node_name, own_capabilities, plan.rules, plan.faulty_variant)
        self._view: View | None = None
        self._applied: ApplyPlan | None = None
        self._names: dict[Tenant | None, str] = {}
        self._routes: dict[tuple[bytes, Tenant | None, str], Route] = {}
        self._logged_reasons: dict[str, str] = {}  # by flow, the last logged reason of a rejection
        self._listeners: list[Callable[[int, dict[str, frozenset[str]]], None]] = []
        self._announced_to_listeners: tuple[int, dict[str, frozenset[str]]] = (0, {})
        self._connection_lost_at: dict[str, float] = {}  # by peer, when its last connection was lost
        self._next_peer_index = 0
        self._wake = Wakeup(scheduler, clock, self._timer_fired, 0.005)
        self._process: subprocess.Popen[bytes] | None = None
        self._process_output: IO[bytes] | None = None
        self._process_deadline_s = 0.0
        self._open = True
        self.counts: dict[str, int] = {}
        links.register_handler(MESSAGE_TYPE, self._frame_received)
        links.on_connection_lost(lambda peer: self._connection_lost_at.update({peer: clock()}))
        fleet.on_view(self._view_changed)
        if plan.file is not None:
            self._propose_document(only_first=True)

    # -- lifecycle and state

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        """Return the settings with the active policy applied."""
        applied = self._applied
        if applied is None or applied.bundle is None:
            return server_settings
        return settings(server_settings, applied.bundle.policy, applied.plan)

    def reload(self) -> None:
        """Read the operators' document again, at SIGHUP."""
        if self._plan.file is not None:
            self._propose_document(only_first=False)

    def close(self) -> None:
        """Terminate the translation process and ignore all later events."""
        self._open = False
        self._wake.cancel()
        self._terminate_process()

    def gauges(self) -> dict[str, object]:
        """Return the values that are reported with the counters."""
        active = self.rollout.active
        gauges: dict[str, object] = {
            "policy": active.name if active is not None else "-",
            "policy_rungs": "".join(str(fallback_level) for fallback_level in self.rollout.fallback_levels)
            or "-",
            "policy_class": self.rollout.fleet.own_capabilities.key,
        }
        counts = {**self.rollout.counts, **self.counts}
        return gauges | {f"policy_{name}": count for name, count in sorted(counts.items())}

    def on_active(self, callback: Callable[[int, dict[str, frozenset[str]]], None]) -> None:
        """Call `callback` with the active policy, at once and whenever it changes.

        The arguments are the number of the policy, 0 if none is active or stored here, and `Rollout.able()`.
        """
        self._listeners.append(callback)
        callback(*self._announced_to_listeners)

    # -- requests

    def gate(self, inner: RequestHandler) -> RequestHandler:
        """Return a handler that passes the requests that may be served here to `inner`."""
        return Gate(self, inner)

    def route(self, exchange: Exchange) -> Route:
        """Return where a request may be served; a forwarded request is of the zone of the forwarding peer."""
        zone = self._zone(getattr(exchange.caller, "sender", self._fleet.node_name))
        key = (exchange.request_class, exchange.request.tenant, zone)
        route = self._routes.get(key)
        if route is None:
            tenant = self._tenant_name(exchange.request.tenant)
            route = self.rollout.route(exchange.request_class.decode("utf-8", "replace"), tenant, zone)
            if len(self._routes) >= MAX_CACHED_ROUTES:
                self._routes.clear()
            self._routes[key] = route
        return route

    def place(self, exchange: Exchange) -> str | None:
        """Return the member to forward a request to, round-robin and preferably in this zone; or None."""
        route = self.route(exchange)
        if route.here or not route.others:
            return None
        now = self._clock()
        reachable = [
            member
            for member in route.others
            if now >= self._connection_lost_at.get(member, -inf) + AVOID_MEMBER_S
        ] or route.others
        same_zone = [
            member for member in reachable if self._zone(member) == self._zone(self._fleet.node_name)
        ]
        candidates = same_zone or reachable
        self._next_peer_index += 1
        return candidates[self._next_peer_index % len(candidates)]

    def reject(self, exchange: Exchange, route: Route) -> None:
        """Reject a request before it takes resources; the caller may try the members that may serve it."""
        cause = "elsewhere" if route.others else "nobody" if route.flow else "unknown"
        self._count(f"denied_{cause}")
        if self._logged_reasons.get(route.flow) != route.reason:
            self._logged_reasons[route.flow] = route.reason
            pairs = {"flow": route.flow or "-", "reason": route.reason, "others": len(route.others)}
            log.warning("flow denied", extra={"pairs": pairs})
        no_retry_elsewhere = bool(route.flow) and not route.others
        exchange.reject(self._plan.rules.retry_after_s if no_retry_elsewhere else 0.0, no_retry_elsewhere)

    def record_served(self, route: Route) -> None:
        """Count and log that a request is served here."""
        if not route.here:
            self._count("served_below")  # below the flow's level, as the other members were not reached
        if route.flow in self._logged_reasons:
            del self._logged_reasons[route.flow]
            log.info("flow served again", extra={"pairs": {"flow": route.flow}})

    def _zone(self, name: str) -> str:
        member = self._view.get(name) if self._view is not None else None
        return member.zone if member is not None else ""

    def _tenant_name(self, tenant: Tenant | None) -> str:
        if tenant not in self._names:  # new settings come with new Tenant objects
            self._names = {each: name.decode("utf-8", "replace") for name, each in self._tenants.items()}
            self._names[None] = ""
        return self._names.get(tenant, "")

    # -- events

    def _view_changed(self, view: View) -> None:
        self._view = view
        self._connection_lost_at = {
            name: lost_at for name, lost_at in self._connection_lost_at.items() if name in view
        }
        self._step(ViewChanged(view))

    def _frame_received(self, sender: str, payload: bytes) -> None:
        try:
            message = codec.decode(payload)
        except codec.BadMessageError as error:
            self._count("messages_bad")
            log.warning("message dropped", extra={"pairs": {"from": sender, "reason": error}})
            return
        self._step(MessageReceived(sender, message))

    def _propose_document(self, only_first: bool) -> None:
        assert self._plan.file is not None
        try:
            with open(self._plan.file, encoding="utf-8") as file:
                text = file.read(MAX_POLICY_BYTES)
        except (OSError, UnicodeDecodeError) as error:
            self._count("unread")
            log.error("policy not read", extra={"pairs": {"file": self._plan.file, "reason": error}})
            return
        self._step(DocumentProposed(text, self._plan.file, only_first))

    def _step(self, event: Event) -> None:
        if not self._open:
            return
        try:
            effects = self.rollout.step(self._clock(), event)
        except Exception:
            # An error in the rollout must not affect the server's requests.
            self._count("faults")
            log.exception("policy step ended by a fault")
            effects = []
        self._routes.clear()
        for effect in effects:
            self._carry_out(effect)
        self._wake.set(self.rollout.wake_at)
        active = self.rollout.active
        announcement = (active.policy.number if active is not None else 0, self.rollout.able())
        if announcement != self._announced_to_listeners:
            self._announced_to_listeners = announcement
            for callback in self._listeners:
                callback(*announcement)

    def _timer_fired(self) -> None:
        self._step(TimerFired())

    # -- effects

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(member, message):
                self._send(member, message)
            case ProposeFact(fact):
                self._fleet.report_fact(fact)
            case ApplyPlan():
                self._applied = effect
                self._settings_changed()
            case StartTranslation():
                self._start_translation(effect)
            case LogEntry(event, fields):
                (changes if event == "policy active" else log).info(event, extra={"pairs": fields})

    def _send(self, member: str, message: Message) -> None:
        try:
            self._links.send(member, MESSAGE_TYPE, codec.encode(message), expires_in_s=MESSAGE_EXPIRES_IN_S)
        except SendError:
            self._count("unsent")
        else:
            self._count("sent")

    def _start_translation(self, translation: StartTranslation) -> None:
        """Start a translation in a separate process.

        Its input and output are files, so that neither process blocks on a pipe.
        """
        self._terminate_process()
        job = {
            "text": translation.text,
            "file": translation.file,
            "classes": [host_class.text for host_class in translation.classes],
            "base": translation.base.text if translation.base is not None else None,
        }
        command = [sys.executable, "-m", f"{__package__}.translating"]
        try:
            with tempfile.TemporaryFile() as job_file:
                job_file.write(json.dumps(job).encode())
                job_file.seek(0)
                self._process_output = tempfile.TemporaryFile()  # noqa: SIM115  open until the job ends
                self._process = subprocess.Popen(
                    command, stdin=job_file, stdout=self._process_output, stderr=subprocess.DEVNULL
                )
        except OSError as error:
            self._terminate_process()
            self._scheduler.spawn(
                self._step, TranslationFinished(None, (f"could not start the translation process: {error}",))
            )
            return
        self._process_deadline_s = self._clock() + self._plan.rules.translation_timeout_s
        self._scheduler.after(PROCESS_POLL_INTERVAL_S, self._poll_process)

    def _poll_process(self) -> None:
        process, output = self._process, self._process_output
        if process is None or output is None:
            return
        if process.poll() is None:
            if self._clock() < self._process_deadline_s:
                self._scheduler.after(PROCESS_POLL_INTERVAL_S, self._poll_process)
                return
            self._terminate_process()
            return self._step(TranslationFinished(None, ("the translation process timed out",)))
        output.seek(0)
        data = output.read(policy_bundle.MAX_BUNDLE_BYTES)
        self._terminate_process()
        self._step(self._parse_result(data))

    def _parse_result(self, data: bytes) -> TranslationFinished:
        try:
            result = json.loads(data)
            if "faults" in result:
                return TranslationFinished(None, tuple(str(fault) for fault in result["faults"]))
            return TranslationFinished(policy_bundle.load(result["bundle"]))
        except (ValueError, KeyError, TypeError, BundleError) as error:
            return TranslationFinished(None, (f"the translation process failed: {error}",))

    def _terminate_process(self) -> None:
        process, output, self._process, self._process_output = self._process, self._process_output, None, None
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()
        if output is not None:
            output.close()

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


class Gate:
    """The handler before the dispatcher, which rejects requests that the policy assigns to other members."""

    __slots__ = ("_inner", "_service")

    def __init__(self, service: PolicyService, inner: RequestHandler) -> None:
        self._service, self._inner = service, inner

    def arrived(self, exchange: Exchange) -> None:
        """Serve a request, or reject it at once."""
        route = self._service.route(exchange)
        if route.here or route.able:
            self._service.record_served(route)
            self._inner.arrived(exchange)
        else:
            self._service.reject(exchange, route)

    def cancelled(self, exchange: Exchange) -> None:
        """Forward the cancellation of a request."""
        self._inner.cancelled(exchange)
