"""The session affinity of one server: dispatches each event to its component. Performs no I/O.

The guarantees, and the module that provides each of them:
- Each fencing number has one owner, and idempotency keys are claimed under it: `ownership`.
- An owner in the view hands a session over only once its keyed runs ended or continue as claims: `migration`.
- A removed owner is replaced only once all its claims have begun or expired: `acquisition`.
- A new policy version migrates no session; each change of a binding has a `MigrationCause`: `rebalancing`.
- Migrations stay within the fleet's budget: `migration_queue`.

All bounds are in `AffinitySettings`. A session that is evicted is not lost: its binding stays in the register
and is read again for the session's next request.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import Any

from ..membership.view import View
from .acquisition import Acquisition
from .binding import Binding
from .context import SessionContext
from .effects import DecisionReason, Effect
from .events import (
    ClaimRefused,
    DrainStarted,
    Event,
    LoadsReported,
    MessageReceived,
    OwnerFenced,
    OwnerUnreachable,
    PolicyActivated,
    RegisterAnswered,
    RequestArrived,
    RequestFinished,
    RequestReturned,
    TimerFired,
    ViewChanged,
)
from .lookup_table import Lookup, LookupTable
from .messages import BindingNotice, OfferReply, OwnershipOffer, TakeDeclined, TakeOwnership
from .migration import Migration
from .migration_queue import MigrationQueue
from .owned_requests import OwnedRequests
from .owner_lookup import OwnerLookup
from .ownership import OwnedSession, Ownership
from .plan import AffinitySettings
from .policy_versions import PolicyVersions
from .rebalancing import Rebalancing
from .responses import Responder
from .route_cache import RouteCache
from .server_selection import ServerSelection


class Sessions:
    """One member's sessions: `handle_event` takes an event and returns the effects to carry out.

    Invariant: the owner of a request's session is sought in the ownership, then in the route cache, and only
    then by a lookup.
    """

    def __init__(self, node_name: str, incarnation: int, settings: AffinitySettings, now: float) -> None:
        """Start without a view, a policy version or sessions.

        Args:
            node_name: This server's name among the members.
            incarnation: This server's incarnation; a restart is another one.
            settings: All periods and bounds.
            now: The current time, in the clock of all events.
        """
        context = self._context = SessionContext(node_name, incarnation, settings)
        self._routes = RouteCache(settings.max_cached_routes)
        self._versions = PolicyVersions(settings)
        self._ownership = Ownership(context, self._routes, self)
        self._lookups = LookupTable(context)
        self._selection = ServerSelection(context, self._versions, self._ownership, self._lookups)
        self._queue = MigrationQueue(context, now)
        self._responder = Responder(context, self._versions)
        self._migration = Migration(context, self._ownership, self._versions, self._selection, self._queue)
        self._rebalancing = Rebalancing(
            context, self._ownership, self._versions, self._queue, self._migration
        )
        self._owned_requests = OwnedRequests(
            context, self._ownership, self._versions, self._queue, self._migration, self._responder, self
        )
        self._acquisition = Acquisition(
            context,
            self._ownership,
            self._routes,
            self._versions,
            self._lookups,
            self._selection,
            self._migration,
            self._rebalancing,
            self._owned_requests,
            self._responder,
        )
        self._owner_lookup = OwnerLookup(
            context,
            self._ownership,
            self._routes,
            self._versions,
            self._lookups,
            self._selection,
            self._queue,
            self._acquisition,
            self._responder,
            self,
        )

    def handle_event(self, now: float, event: Event) -> list[Effect]:
        """Handle an event; return the effects in the order in which they must be carried out."""
        effects = self._context.outbox.start_batch()
        _EVENT_HANDLERS[type(event)](self, now, event)
        if self._queue:
            self._rebalancing.run_queue(now)
        return effects

    @property
    def wake_at(self) -> float:
        """When the next `TimerFired` is due, in the events' clock; inf if there is no timer."""
        timer_at = self._context.timers.next_at
        return min(
            timer_at if timer_at is not None else inf,
            self._ownership.next_idle_timeout_at,
            self._versions.next_retirement_at,
            self._queue.next_attempt_at,
        )

    def may_begin(self, now: float, key: str, fencing_number: int, claim_requested_at: float) -> bool:
        """Whether a claim that was won under a fencing number may still begin its run; if not, free it."""
        return self._ownership.may_begin(now, key, fencing_number, claim_requested_at)

    # -- state for callers

    @property
    def node_name(self) -> str:
        """This server's name."""
        return self._context.node_name

    @property
    def incarnation(self) -> int:
        """This server's incarnation in the fleet."""
        return self._context.incarnation

    @property
    def view(self) -> View | None:
        """The latest view; None before the first one."""
        return self._context.view

    @property
    def version(self) -> int:
        """The active policy version; 0 before the first one."""
        return self._versions.active

    @property
    def is_draining(self) -> bool:
        """Whether this server is leaving and hands over its sessions."""
        return self._context.is_draining

    @property
    def counts(self) -> Counter[str]:
        """The counters of decisions and migrations."""
        return self._context.counts

    @property
    def owned(self) -> OrderedDict[str, OwnedSession]:
        """The owned sessions by key, the least recently used first."""
        return self._ownership.sessions

    @property
    def routes(self) -> OrderedDict[str, Binding]:
        """The cached bindings of other servers' sessions, the least recently used first."""
        return self._routes.bindings

    @property
    def lookups(self) -> dict[str, Lookup]:
        """The lookups in progress, by session key."""
        return self._lookups.lookups

    @property
    def queued_keys(self) -> tuple[str, ...]:
        """The keys of the sessions that are queued to migrate or change, the next one first."""
        return self._queue.keys

    @property
    def pending_queries(self) -> dict[int, str]:
        """The session keys of the pending queries to the register, by reference."""
        return self._context.outbox.pending_queries

    def gauges(self) -> dict[str, object]:
        """Return the counters and gauges for the metrics page."""
        gauges: dict[str, object] = {f"affinity_{name}": count for name, count in sorted(self.counts.items())}
        return gauges | {
            "affinity_owned": len(self.owned),
            "affinity_open": sum(bool(session.open_refs) for session in self.owned.values()),
            "affinity_due": len(self._queue),
            "affinity_seeks": len(self.lookups),
            "affinity_version": self.version,
        }

    # -- requests

    def dispatch_request(self, now: float, request: RequestArrived) -> None:
        """Serve the request, forward it, or keep it waiting until its session's owner is known."""
        session = self._ownership.get(request.key)
        if session is not None:
            self._owned_requests.serve(now, session, request)
            return
        if not self._context.is_member:
            self._responder.serve_or_reject(request, DecisionReason.NO_VIEW)
            return
        route = self._routes.get(request.key)
        if route is not None and self._context.is_owner_in_view(route) and route.owner != self.node_name:
            self._routes.touch(request.key)
            self._responder.forward(request, route)
            return
        self._owner_lookup.add_request(now, request)

    def _on_request_finished(self, now: float, event: RequestFinished) -> None:
        session = self._ownership.get(event.key)
        if session is None:
            self._ownership.finish_released_run(event.ref, event.key)
        else:
            self._migration.end_run(now, session, event.ref)

    def _on_owner_unreachable(self, now: float, event: OwnerUnreachable) -> None:
        """Handle an unreachable owner in the view: no other server may take its session or keyed requests."""
        request = event.request
        route = self._routes.get(request.key)
        if route is not None and (
            route.owner != event.owner_name or not self._context.is_owner_in_view(route)
        ):
            self._return_to_owner(now, request)  # the session's owner has changed meanwhile
            return
        if self._context.settings.faulty_variant == "two-owners" and route is not None:
            session = OwnedSession(route, route.fencing_number, now, now)
            self._ownership.add(session)
            self._owned_requests.serve(now, session, request)
            return
        self._responder.serve_or_reject(request, DecisionReason.UNREACHED)

    def _on_request_returned(self, now: float, event: RequestReturned) -> None:
        if event.binding is not None:
            self._learn(now, event.binding)
            route = self._routes.get(event.request.key)
            if route is not None and route.fencing_number > event.binding.fencing_number:
                # The cached binding expired and a new session began with a lower number: read the register.
                self._routes.remove(event.request.key)
        self._return_to_owner(now, event.request)

    def _return_to_owner(self, now: float, request: RequestArrived) -> None:
        """Dispatch a request again; if returned twice, it is decided here so that it cannot circulate."""
        if request.was_returned:
            self._responder.serve_or_reject(request, DecisionReason.STALE)
        else:
            self.dispatch_request(now, replace(request, was_returned=True))

    def _on_claim_refused(self, now: float, event: ClaimRefused) -> None:
        """Handle a refused claim: the register holds a higher number, of this server or of another owner."""
        request = event.request
        self.counts["refused"] += 1
        session = self._ownership.get(request.key)
        if session is not None:
            session.open_refs.discard(request.ref)
            if session.binding.fencing_number <= event.fencing_number:
                self._ownership.release(now, session, None)
        self.dispatch_request(now, request)

    def _on_owner_fenced(self, now: float, event: OwnerFenced) -> None:
        session = self._ownership.get(event.key)
        if session is not None and session.binding.fencing_number <= event.fencing_number:
            self._ownership.release(now, session, None)

    # -- the register and other servers

    def _on_register_answered(self, now: float, event: RegisterAnswered) -> None:
        key = self._context.outbox.close_query(event.ref)
        if key is None:
            return
        session, lookup = self._ownership.get(key), self._lookups.get(key)
        if session is not None and session.pending_ref == event.ref:
            self._migration.on_register_answer(now, session, event.verdict, event.stored_binding)
        elif lookup is not None and lookup.pending_ref == event.ref:
            self._owner_lookup.on_register_answer(now, lookup, event.verdict, event.stored_binding)

    def _on_message_received(self, now: float, event: MessageReceived) -> None:
        sender = event.sender
        match event.message:
            case OwnershipOffer() as offer:
                self._owner_lookup.on_offer(now, sender, offer)
            case OfferReply() as reply:
                self._owner_lookup.on_offer_reply(now, sender, reply)
            case TakeOwnership() as take:
                self._acquisition.on_take_ownership(now, sender, take)
            case TakeDeclined() as declined:
                self._migration.on_declined(now, sender, declined)
            case BindingNotice(binding):
                self._learn(now, binding)

    def _learn(self, now: float, binding: Binding) -> None:
        """Record a binding that the register holds or held; it may end an ownership or a handover."""
        session = self._ownership.get(binding.key)
        if session is None:
            self._routes.learn(binding)
        elif binding.fencing_number > session.binding.fencing_number and not self._context.is_owned_here(
            binding
        ):
            self._ownership.release(now, session, binding)

    # -- the fleet, policy versions and timers

    def _on_view_changed(self, now: float, event: ViewChanged) -> None:
        view, previous = event.view, self._context.view
        if previous is not None and view.epoch <= previous.epoch:
            return
        present = {(member.name, member.incarnation) for member in view.members}
        for member in previous.members if previous is not None else ():
            if (member.name, member.incarnation) not in present:
                self._queue.add_departure(now, member, self._selection.load_of(member.name).sessions)
        self._queue.remove_past_departures(now)
        self._context.view = view
        self._queue.share_budget(now, len(view.members))
        if self._context.is_member:
            self._owner_lookup.on_view_changed(now)
            self._migration.on_view_changed(now)
        else:
            self._on_not_a_member(now, view)

    def _on_not_a_member(self, now: float, view: View) -> None:
        for session in list(self._ownership.sessions.values()):
            self._ownership.release(now, session, None)
        self._owner_lookup.on_not_a_member()
        member = view.get(self.node_name)
        if member is not None and member.incarnation > self.incarnation:
            self._context.incarnation = member.incarnation  # this server rejoined and owns no session

    def _on_policy_activated(self, now: float, event: PolicyActivated) -> None:
        self._rebalancing.activate(now, event)

    def _on_loads_reported(self, _now: float, event: LoadsReported) -> None:
        self._selection.update_loads(event.by_member)

    def _on_drain_started(self, now: float, event: DrainStarted) -> None:
        self._rebalancing.drain(now, event.grace_s)
        self._owner_lookup.on_drain()

    def _on_timer_fired(self, now: float, _event: TimerFired) -> None:
        while (key := self._context.timers.pop_due(now)) is not None:
            if (lookup := self._lookups.get(key)) is not None:
                self._owner_lookup.on_timer(now, lookup)
            if (session := self._ownership.get(key)) is not None:
                self._owned_requests.on_timer(now, session)
                self._migration.on_timer(now, session)
        self._rebalancing.retire_expired(now)
        self._ownership.end_idle(now)


_EVENT_HANDLERS: dict[type[Any], Callable[[Sessions, float, Any], None]] = {
    RequestArrived: Sessions.dispatch_request,
    RequestFinished: Sessions._on_request_finished,
    OwnerUnreachable: Sessions._on_owner_unreachable,
    RequestReturned: Sessions._on_request_returned,
    ClaimRefused: Sessions._on_claim_refused,
    OwnerFenced: Sessions._on_owner_fenced,
    RegisterAnswered: Sessions._on_register_answered,
    MessageReceived: Sessions._on_message_received,
    ViewChanged: Sessions._on_view_changed,
    PolicyActivated: Sessions._on_policy_activated,
    LoadsReported: Sessions._on_loads_reported,
    DrainStarted: Sessions._on_drain_started,
    TimerFired: Sessions._on_timer_fired,
}
