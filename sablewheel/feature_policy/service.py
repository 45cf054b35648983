"""PolicyService in the server: views, frames and timers become the rollout's events, and its effects go out.

Decides nothing. Its gate stands right before the dispatch, where what peers pass on comes by as well: a
request is served here, or passed to a member that may, or rejected at once with the cause counted and logged.
A translation is done by a process of its own, which is looked after and never waited for.
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

KIND = "policy"
MESSAGE_EXPIRES_IN_S = 2.0  # a message is worth nothing later: what it asks for is asked again
PROCESS_POLL_INTERVAL_S = 0.05  # at the process that translates
AVOID_MEMBER_S = 3.0  # seconds that a member is passed over after its link broke, while there are others
MAX_CACHED_ROUTES = 4096  # of request classes and tenants, remembered until something changes

log = logging.getLogger(__name__)
changes = logging.getLogger(f"{__name__}.changes")  # bounded apart: rejections must not hide what holds


class Fleet(Protocol):
    """Membership, as it is needed here."""

    @property
    def node_name(self) -> str:
        """The name of this member."""

    def on_view(self, callback: Callable[[View], None]) -> None:
        """Call back with each view."""

    def report_fact(self, fact: Fact) -> None:
        """Propose a fact."""


class Links(Protocol):
    """The forward path's links, as they are needed here."""

    def send(self, peer_name: str, message_type: str, payload: bytes, *, expires_in_s: float) -> None:
        """Queue a frame for a peer; raises `SendError`."""

    def register_handler(self, message_type: str, handler: Callable[[str, bytes], None]) -> None:
        """Call a handler with the frames of a kind."""

    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        """Call back with the name of a peer whose connection broke."""


class PolicyService:
    """This server's part in the fleet's policy. `changed` is called when `machine` gives another one."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: PolicyPlan,
        fleet: Fleet,
        links: Links,
        own_capabilities: HostCapabilities,
        tenants: dict[bytes, Tenant],
        changed: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler, self._plan, self._fleet, self._links = scheduler, plan, fleet, links
        self._tenants, self._settings_changed, self._clock = tenants, changed, clock
        self.rollout = Rollout(fleet.node_name, own_capabilities, plan.rules, plan.broken)
        self._view: View | None = None
        self._applied: ApplyPlan | None = None
        self._names: dict[Tenant | None, str] = {}
        self._routes: dict[tuple[bytes, Tenant | None, str], Route] = {}
        self._logged_reasons: dict[str, str] = {}  # by flow, the last cause of a rejection that was logged
        self._listeners: list[Callable[[int, dict[str, frozenset[str]]], None]] = []
        self._announced_to_listeners: tuple[int, dict[str, frozenset[str]]] = (0, {})
        self._broken: dict[str, float] = {}  # when the last link to each broke
        self._next_peer_index = 0
        self._wake = Wakeup(scheduler, clock, self._timer_fired, 0.005)
        self._process: subprocess.Popen[bytes] | None = None
        self._process_output: IO[bytes] | None = None
        self._process_deadline_s = 0.0
        self._open = True
        self.counts: dict[str, int] = {}
        links.register_handler(KIND, self._frame_received)
        links.on_connection_lost(lambda peer: self._broken.update({peer: clock()}))
        fleet.on_view(self._view_changed)
        if plan.file is not None:
            self._proposed_document(only_first=True)

    # -- what the program asks

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        """The settings as the policy that holds would have them."""
        applied = self._applied
        if applied is None or applied.bundle is None:
            return server_settings
        return settings(server_settings, applied.bundle.policy, applied.plan)

    def reload(self) -> None:
        """SIGHUP: the operators' document is read anew."""
        if self._plan.file is not None:
            self._proposed_document(only_first=False)

    def close(self) -> None:
        """End the process that translates; nothing is done from now on."""
        self._open = False
        self._wake.cancel()
        self._end_process()

    def gauges(self) -> dict[str, object]:
        """Return the values printed beside the counters."""
        held = self.rollout.active
        told: dict[str, object] = {
            "policy": held.name if held is not None else "-",
            "policy_rungs": "".join(str(fallback_level) for fallback_level in self.rollout.fallback_levels)
            or "-",
            "policy_class": self.rollout.fleet.own_capabilities.key,
        }
        counts = {**self.rollout.counts, **self.counts}
        return told | {f"policy_{name}": count for name, count in sorted(counts.items())}

    def on_active(self, callback: Callable[[int, dict[str, frozenset[str]]], None]) -> None:
        """Call back with the policy in force, at once and whenever it changes.

        The arguments are the document's number (0: none in force, or not here) and `Rollout.able`.
        """
        self._listeners.append(callback)
        callback(*self._announced_to_listeners)

    # -- the gate, and where else a request may go

    def gate(self, inner: RequestHandler) -> RequestHandler:
        """Return a handler in front of another, which lets in what may be served here."""
        return Gate(self, inner)

    def route(self, exchange: Exchange) -> Route:
        """Where it may be served; of a request that a peer passed on, the zone where it came in counts."""
        zone = self._zone(getattr(exchange.caller, "sender", self._fleet.node_name))
        key = (exchange.request_class, exchange.request.tenant, zone)
        found = self._routes.get(key)
        if found is None:
            tenant = self._name(exchange.request.tenant)
            found = self.rollout.route(exchange.request_class.decode("utf-8", "replace"), tenant, zone)
            if len(self._routes) >= MAX_CACHED_ROUTES:
                self._routes.clear()
            self._routes[key] = found
        return found

    def place(self, exchange: Exchange) -> str | None:
        """The member that is to serve a request in this one's place, by turns, near first; None: this."""
        route = self.route(exchange)
        if route.here or not route.others:
            return None
        now = self._clock()
        well = [
            one for one in route.others if now >= self._broken.get(one, -inf) + AVOID_MEMBER_S
        ] or route.others
        near = [one for one in well if self._zone(one) == self._zone(self._fleet.node_name)]
        those = near or well
        self._next_peer_index += 1
        return those[self._next_peer_index % len(those)]

    def reject(self, exchange: Exchange, route: Route) -> None:
        """At once, before it costs anything; where others may serve it the caller is free to go to them."""
        what = "elsewhere" if route.others else "nobody" if route.flow else "unknown"
        self._count(f"denied_{what}")
        if self._logged_reasons.get(route.flow) != route.reason:
            self._logged_reasons[route.flow] = route.reason
            pairs = {"flow": route.flow or "-", "reason": route.reason, "others": len(route.others)}
            log.warning("flow denied", extra={"pairs": pairs})
        no_retry_elsewhere = bool(route.flow) and not route.others
        exchange.reject(self._plan.rules.retry_after_s if no_retry_elsewhere else 0.0, no_retry_elsewhere)

    def served(self, route: Route) -> None:
        """Note that a request is served here."""
        if not route.here:
            self._count("served_below")  # with less than it prefers, as the others were not reached
        if route.flow in self._logged_reasons:
            del self._logged_reasons[route.flow]
            log.info("flow served again", extra={"pairs": {"flow": route.flow}})

    def _zone(self, name: str) -> str:
        member = self._view.get(name) if self._view is not None else None
        return member.zone if member is not None else ""

    def _name(self, tenant: Tenant | None) -> str:
        if tenant not in self._names:  # new settings make new objects
            self._names = {one: name.decode("utf-8", "replace") for name, one in self._tenants.items()}
            self._names[None] = ""
        return self._names.get(tenant, "")

    # -- events in

    def _view_changed(self, view: View) -> None:
        self._view = view
        self._broken = {name: when for name, when in self._broken.items() if name in view}
        self._step(ViewChanged(view))

    def _frame_received(self, sender: str, payload: bytes) -> None:
        try:
            message = codec.decode(payload)
        except codec.BadMessageError as trouble:
            self._count("messages_bad")
            log.warning("message dropped", extra={"pairs": {"from": sender, "reason": trouble}})
            return
        self._step(MessageReceived(sender, message))

    def _proposed_document(self, only_first: bool) -> None:
        assert self._plan.file is not None
        try:
            with open(self._plan.file, encoding="utf-8") as file:
                text = file.read(MAX_POLICY_BYTES)
        except (OSError, UnicodeDecodeError) as trouble:
            self._count("unread")
            log.error("policy not read", extra={"pairs": {"file": self._plan.file, "reason": trouble}})
            return
        self._step(DocumentProposed(text, self._plan.file, only_first))

    def _step(self, event: Event) -> None:
        if not self._open:
            return
        try:
            effects = self.rollout.step(self._clock(), event)
        except Exception:
            # A fault of ours in here must not take the server's requests along.
            self._count("faults")
            log.exception("policy step ended by a fault")
            effects = []
        self._routes.clear()
        for effect in effects:
            self._carry_out(effect)
        self._wake.set(self.rollout.wake_at)
        held = self.rollout.active
        told = (held.policy.number if held is not None else 0, self.rollout.able())
        if told != self._announced_to_listeners:
            self._announced_to_listeners = told
            for callback in self._listeners:
                callback(*told)

    def _timer_fired(self) -> None:
        self._step(TimerFired())

    # -- effects out

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(to, message):
                self._send(to, message)
            case ProposeFact(fact):
                self._fleet.report_fact(fact)
            case ApplyPlan():
                self._applied = effect
                self._settings_changed()
            case StartTranslation():
                self._start(effect)
            case LogEntry(what, fields):
                (changes if what == "policy active" else log).info(what, extra={"pairs": fields})

    def _send(self, to: str, message: Message) -> None:
        try:
            self._links.send(to, KIND, codec.encode(message), expires_in_s=MESSAGE_EXPIRES_IN_S)
        except SendError:
            self._count("unsent")
        else:
            self._count("sent")

    def _start(self, what: StartTranslation) -> None:
        """Start a translation in a process of its own.

        Its input and output are files, so that nobody waits for a pipe.
        """
        self._end_process()
        job = {
            "text": what.text,
            "file": what.file,
            "classes": [one.said for one in what.classes],
            "base": what.base.text if what.base is not None else None,
        }
        words = [sys.executable, "-m", f"{__package__}.translating"]
        try:
            with tempfile.TemporaryFile() as told:
                told.write(json.dumps(job).encode())
                told.seek(0)
                self._process_output = tempfile.TemporaryFile()  # noqa: SIM115  kept until the job is over
                self._process = subprocess.Popen(
                    words, stdin=told, stdout=self._process_output, stderr=subprocess.DEVNULL
                )
        except OSError as trouble:
            self._end_process()
            self._scheduler.spawn(self._step, TranslationFinished(None, (f"no process for it: {trouble}",)))
            return
        self._process_deadline_s = self._clock() + self._plan.rules.translate_within
        self._scheduler.after(PROCESS_POLL_INTERVAL_S, self._check_process)

    def _check_process(self) -> None:
        job, out = self._process, self._process_output
        if job is None or out is None:
            return
        if job.poll() is None:
            if self._clock() < self._process_deadline_s:
                self._scheduler.after(PROCESS_POLL_INTERVAL_S, self._check_process)
                return
            self._end_process()
            return self._step(TranslationFinished(None, ("the translation took too long",)))
        out.seek(0)
        data = out.read(policy_bundle.MAX_BUNDLE_BYTES)
        self._end_process()
        self._step(self._answer(data))

    def _answer(self, data: bytes) -> TranslationFinished:
        try:
            told = json.loads(data)
            if "faults" in told:
                return TranslationFinished(None, tuple(str(one) for one in told["faults"]))
            return TranslationFinished(policy_bundle.load(told["bundle"]))
        except (ValueError, KeyError, TypeError, BundleError) as trouble:
            return TranslationFinished(None, (f"the translation's process failed: {trouble}",))

    def _end_process(self) -> None:
        job, out, self._process, self._process_output = self._process, self._process_output, None, None
        if job is not None and job.poll() is None:
            job.kill()
            job.wait()
        if out is not None:
            out.close()

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


class Gate:
    """Right before the dispatch: nothing is served that the policy has served elsewhere."""

    __slots__ = ("_inner", "_policies")

    def __init__(self, policies: PolicyService, inner: RequestHandler) -> None:
        self._policies, self._inner = policies, inner

    def arrived(self, exchange: Exchange) -> None:
        """Serve, or reject at once with the cause counted and logged."""
        route = self._policies.route(exchange)
        if route.here or route.able:
            self._policies.served(route)
            self._inner.arrived(exchange)
        else:
            self._policies.reject(exchange, route)

    def cancelled(self, exchange: Exchange) -> None:
        """Pass on that nobody waits for the answer any more."""
        self._inner.cancelled(exchange)
