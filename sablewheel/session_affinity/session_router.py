"""The request handler that routes each request to the owner of its session.

All decisions are made by `Sessions`, which receives events from this handler. A request with a session waits
until the owner is known, in most cases not at all; then it is served here, forwarded or rejected. Bindings
are read and written through replication, and claims are made under the binding's fencing number. Servers
exchange frames about sessions over the links; any frame may be lost.
"""

from __future__ import annotations

import contextlib
import logging
import time
from collections import Counter
from collections.abc import Callable

from ..forwarding.errors import SendError
from ..forwarding.peer_connections import PeerConnections
from ..forwarding.service import ForwardedCaller, ForwardingService
from ..membership.service import MembershipService
from ..membership.view import View
from ..overload.interface import Idempotency, Tenant
from ..replication.service import ReplicationService
from ..serving.exchange import Exchange, RequestObserver
from ..serving.hooks import ResultStore
from ..serving.listener import RequestHandler
from ..transport.scheduler import Scheduler
from ..transport.wakeup import Wakeup
from .binding_register import BindingRegister
from .codec import FRAME_LIFETIME_S, FRAME_TYPE, BadPacketError, decode, encode
from .effects import (
    Effect,
    ForwardToOwner,
    LogEvent,
    ReadBinding,
    RejectRequest,
    ReturnToForwarder,
    SendMessage,
    ServeLocally,
    WriteBinding,
)
from .events import (
    DrainStarted,
    Event,
    LoadsReported,
    MessageReceived,
    OwnerFenced,
    OwnerUnreachable,
    PolicyActivated,
    RequestArrived,
    RequestFinished,
    TimerFired,
    ViewChanged,
)
from .load_reports import LoadReports
from .messages import BindingNotice
from .open_requests import OpenRequest, OpenRequests, SessionRequestObserver, SessionResultStore
from .placement import ServerLoad
from .plan import AffinityPlan
from .request_keys import SessionKeyResolver
from .sessions import Sessions

# The view's fact with the active policy version, as VERSION or VERSION:...
ACTIVE_VERSION_FACT = "policy/active"
LEAVE_GRACE_FRACTION = 0.9  # part of the grace period after which this server leaves the fleet

log = logging.getLogger(__name__)


class SessionRouter:
    """One server's session affinity: wrappers of a request handler, a result store and an observer."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: AffinityPlan,
        fleet: MembershipService,
        links: PeerConnections,
        forward: ForwardingService,
        replication: ReplicationService,
        result_store: ResultStore,
        observer: RequestObserver,
        tenants: dict[bytes, Tenant],
        warmth: Callable[[], float],
        capacity: float,
        grace_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Connect to the fleet, the forwarding service and replication.

        Args:
            scheduler: Runs the timers.
            plan: The settings.
            fleet: The members.
            links: The connections to the other members.
            forward: Serves requests here or forwards them.
            replication: Stores the bindings and the claims.
            result_store: The store that `self.result_store` wraps.
            observer: The observer that `self.observer` wraps.
            tenants: The tenants by name.
            warmth: Returns this server's warmth, from 0 (just started) to 1 (warm).
            capacity: This server's capacity, in the unit that all members use.
            grace_s: The seconds between the shutdown notice and the end of the process.
            clock: Returns the current time.
        """
        self._scheduler, self._plan, self._fleet, self._links = scheduler, plan, fleet, links
        self._forward, self._replication, self._clock, self._grace_s = forward, replication, clock, grace_s
        self._keys = SessionKeyResolver(plan.fields, tenants)
        self.flow_of: Callable[[Exchange], str] = _request_class_name
        self.counts: Counter[str] = Counter()
        self.sessions = Sessions(fleet.node_name, fleet.node.local_member.incarnation, plan.settings, clock())
        self.sessions.handle_event(clock(), PolicyActivated(1))
        self._register = BindingRegister(replication, self.counts, self._handle_event)
        self._load_reports = LoadReports(
            scheduler,
            fleet,
            links,
            warmth=warmth,
            capacity=capacity,
            session_count=lambda: len(self.sessions.owned),
            on_report=lambda loads: self._handle_event(LoadsReported(loads)),
        )
        self._open_requests = OpenRequests(self._on_request_finished)
        self.result_store = SessionResultStore(result_store, self._open_requests)
        self.observer = SessionRequestObserver(observer, self._open_requests)
        self._inner: RequestHandler | None = None
        self._last_ref = 0
        self._undecided: dict[int, Exchange] = {}
        self._has_left = self._closed = False
        self._wakeup = Wakeup(scheduler, clock, self._on_timer)
        self._connect()

    def _connect(self) -> None:
        replication, forward = self._replication, self._forward
        replication.group_of, replication.may_begin, replication.fenced = (
            self._group_of,
            self._may_begin,
            self._on_fenced,
        )
        lifetime_s = self._plan.settings.binding_lifetime_s
        replication.replica.max_binding_lifetime_s = max(
            replication.replica.max_binding_lifetime_s, lifetime_s
        )
        forward.forwarded_handler, forward.returned_handler = self, self._on_forward_failed
        self._links.register_handler(FRAME_TYPE, self._on_frame)
        self._fleet.on_view(self._on_view)
        self._load_reports.start()

    # -- the request handler

    def handler(self, inner: RequestHandler) -> RequestHandler:
        """Wrap `inner` and return the handler to call instead of it."""
        self._inner = inner
        return self

    def arrived(self, exchange: Exchange) -> None:
        """Handle a request from a client, or one that another server forwarded here."""
        forwarded = isinstance(exchange.caller, ForwardedCaller)
        if not forwarded:
            exchange.session = self._keys.resolve(exchange)
            if not exchange.session:
                self.counts["without_session"] += 1
                self._handler.arrived(exchange)
                return
            if self._forward.is_forwarded(exchange.name):
                exchange.fail()  # an open request has this name; the dispatcher fails such requests too
                return
        elif not exchange.session:
            self._forward.serve(exchange)
            return
        sender = exchange.caller.sender if isinstance(exchange.caller, ForwardedCaller) else ""
        self._decide(exchange, sender)

    def _decide(self, exchange: Exchange, sender: str) -> None:
        request = self._add_undecided(exchange, sender)
        try:
            self._handle_event(request)
        except Exception:
            # An internal error must not lose the request: an idempotent one can be served where it arrived.
            self.counts["faults"] += 1
            log.exception("session lookup failed with an internal error")
            if self._undecided.pop(request.ref, None) is not None:
                if request.requires_owner:
                    exchange.reject(self._plan.settings.retry_after_s, False)
                else:
                    self._forward.serve(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        """Pass the cancellation on; an undecided request is dropped when it is decided."""
        if exchange not in self._undecided.values():
            self._handler.cancelled(exchange)

    @property
    def _handler(self) -> RequestHandler:
        assert self._inner is not None
        return self._inner

    def _add_undecided(
        self, exchange: Exchange, sender: str, *, was_returned: bool = False
    ) -> RequestArrived:
        self._last_ref += 1
        self._undecided[self._last_ref] = exchange
        flow = self.flow_of(exchange)
        idempotency = exchange.request.request_class.idempotency
        return RequestArrived(self._last_ref, exchange.session, idempotency, flow, sender, was_returned)

    def _on_forward_failed(self, exchange: Exchange, to: str, tried: frozenset[str]) -> None:
        """Decide again about a client's request that `to` certainly did not run."""
        request = self._add_undecided(exchange, "", was_returned=len(tried) > 1)
        self._handle_event(OwnerUnreachable(request, to))

    def _on_request_finished(self, request: OpenRequest) -> None:
        self._handle_event(RequestFinished(request.ref, request.key))

    # -- replication

    def _group_of(self, exchange: Exchange) -> tuple[bytes, int]:
        """Return a claim's group and number: a session's keys are one group, under its fencing number."""
        if not exchange.session:
            return exchange.idempotency_key or b"", 0
        request = self._open_requests.get(exchange)
        return exchange.session.encode(), request.fencing_number if request is not None else 0

    def _may_begin(self, exchange: Exchange, claim_requested_at: float) -> bool:
        request = self._open_requests.get(exchange)
        return request is None or self.sessions.may_begin(
            self._clock(), request.key, request.fencing_number, claim_requested_at
        )

    def _on_fenced(self, exchange: Exchange) -> None:
        if (request := self._open_requests.get(exchange)) is not None:
            self._handle_event(OwnerFenced(request.key, request.fencing_number))

    # -- the fleet

    def activate(self, event: PolicyActivated) -> None:
        """Activate a policy version, or update which servers can run it."""
        self._handle_event(event)

    def _on_view(self, view: View) -> None:
        self._handle_event(ViewChanged(view))
        self._load_reports.remove_departed(view)
        version = view.fact(ACTIVE_VERSION_FACT).partition(":")[0]
        if version.isdigit() and int(version) > self.sessions.version:
            self._handle_event(PolicyActivated(int(version)))

    def _on_frame(self, sender: str, payload: bytes) -> None:
        try:
            message = decode(payload)
        except BadPacketError as error:
            self.counts["packets_bad"] += 1
            log.warning("invalid session frame dropped", extra={"pairs": {"from": sender, "reason": error}})
            return
        if isinstance(message, ServerLoad):
            self._load_reports.receive(sender, message)
        else:
            self._handle_event(MessageReceived(sender, message))

    # -- events and effects

    def _handle_event(self, event: Event) -> None:
        if self._closed:
            return
        for effect in self.sessions.handle_event(self._clock(), event):
            self._execute(effect)
        self._wakeup.set(self.sessions.wake_at)

    def _on_timer(self) -> None:
        self._handle_event(TimerFired())

    def _execute(self, effect: Effect) -> None:
        match effect:
            case ServeLocally():
                self._serve(effect)
            case ForwardToOwner():
                self._forward_to_owner(effect)
            case ReturnToForwarder():
                self._return_to_forwarder(effect)
            case RejectRequest(ref, retry_after_s, _):
                self._undecided.pop(ref).reject(retry_after_s, False)
            case WriteBinding():
                self._register.write(effect)
            case ReadBinding():
                self._register.read(effect)
            case SendMessage():
                self._send(effect)
            case LogEvent(message, fields):
                log.info(message, extra={"pairs": fields})

    def _serve(self, effect: ServeLocally) -> None:
        exchange = self._undecided.pop(effect.ref)
        if exchange.closed:  # the caller no longer waits
            self._handle_event(RequestFinished(effect.ref, exchange.session))
            return
        is_idempotent = exchange.request.request_class.idempotency is Idempotency.IDEMPOTENT
        if effect.fencing_number and not is_idempotent:
            request = OpenRequest(effect.ref, exchange.session, effect.fencing_number)
            self._open_requests.add(exchange, request)
        self._forward.serve(exchange)

    def _forward_to_owner(self, effect: ForwardToOwner) -> None:
        exchange = self._undecided.pop(effect.ref)
        if not exchange.closed and not self._forward.forward_to(exchange, effect.owner_name):
            self._on_forward_failed(exchange, effect.owner_name, frozenset((effect.owner_name,)))

    def _return_to_forwarder(self, effect: ReturnToForwarder) -> None:
        exchange = self._undecided.pop(effect.ref)
        # The notice is sent first: the forwarder must have the binding when the request is returned.
        notice = encode(BindingNotice(effect.binding))
        with contextlib.suppress(SendError):
            self._links.send(effect.forwarded_by, FRAME_TYPE, notice, expires_in_s=FRAME_LIFETIME_S)
        self._forward.return_to_origin(exchange)

    def _send(self, effect: SendMessage) -> None:
        data = encode(effect.message)
        try:
            self._links.send(effect.to, FRAME_TYPE, data, expires_in_s=FRAME_LIFETIME_S)
        except SendError:
            self.counts["unsent"] += 1

    # -- shutdown

    def on_shutdown_notice(self) -> None:
        """Hand over all sessions after the shutdown notice, and leave the fleet late in the grace period.

        Until then this server is in the view and forwards the requests that still arrive to the new owners.
        """
        self._load_reports.announce_leaving()
        self._handle_event(DrainStarted(self._grace_s))
        self._scheduler.after(self._grace_s * LEAVE_GRACE_FRACTION, self._leave)

    def _leave(self) -> None:
        if not self._has_left:
            self._has_left = True
            self._forward.start_shutdown()
            self._fleet.leave()

    def is_settled(self) -> bool:
        """Whether no request waits for a decision."""
        return not self._undecided

    def close(self) -> None:
        """Leave the fleet and handle no further events."""
        self._leave()
        self._closed = True
        self._load_reports.close()
        self._wakeup.cancel()

    def gauges(self) -> dict[str, object]:
        """Return the counters and gauges for the metrics page."""
        gauges = self.sessions.gauges()
        gauges["affinity_held"] = len(self._undecided)
        return gauges | {f"affinity_{name}": count for name, count in sorted(self.counts.items())}


def _request_class_name(exchange: Exchange) -> str:
    return exchange.request_class.decode("utf-8", "replace")
