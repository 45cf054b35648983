"""How this server finds a session's owner, or assigns one if there is none. Performs no I/O.

The register is read once, and the stored binding decides. A session whose owner is not in the view is offered
to the best server below its load bound, which takes or declines it.
"""

from __future__ import annotations

from .acquisition import Acquisition
from .binding import Binding, BindingState, MigrationCause
from .context import RequestDispatcher, SessionContext
from .effects import DecisionReason
from .events import RegisterVerdict, RequestArrived
from .lookup_table import Lookup, LookupStage, LookupTable
from .messages import MAX_FLOWS, OfferReply, OwnershipOffer
from .migration_queue import MigrationQueue
from .ownership import Ownership
from .policy_versions import PolicyVersions
from .responses import Responder
from .route_cache import RouteCache
from .server_selection import ServerSelection


class OwnerLookup:
    """The steps of a lookup. The state is in each `Lookup`.

    Invariant: each waiting request is decided once, at the latest when the lookup's deadline has passed.
    """

    def __init__(
        self,
        context: SessionContext,
        ownership: Ownership,
        routes: RouteCache,
        versions: PolicyVersions,
        lookups: LookupTable,
        selection: ServerSelection,
        queue: MigrationQueue,
        acquisition: Acquisition,
        responder: Responder,
        dispatcher: RequestDispatcher,
    ) -> None:
        """Look up the owners of sessions that are not in the given ownership."""
        self._context, self._ownership, self._routes, self._versions = context, ownership, routes, versions
        self._lookups, self._selection, self._queue = lookups, selection, queue
        self._acquisition, self._responder, self._dispatcher = acquisition, responder, dispatcher

    # -- requests

    def add_request(self, now: float, request: RequestArrived) -> None:
        """Keep a request waiting for its session's owner, and start a lookup if none is in progress."""
        lookup = self._lookups.get(request.key)
        if lookup is None:
            if self._lookups.is_full:
                self._responder.serve_or_reject(request, DecisionReason.FULL)
                return
            lookup = self._lookups.start(now, request.key)
            self._read(lookup)
        if len(lookup.waiting_requests) >= self._context.settings.max_waiting_requests:
            self._responder.serve_or_reject(request, DecisionReason.FULL)
            return
        lookup.waiting_requests.append(request)
        lookup.add_flow(request.flow)

    # -- the register

    def _read(self, lookup: Lookup) -> None:
        self._lookups.set_stage(lookup, LookupStage.READING)
        lookup.pending_ref = self._context.outbox.read_binding(lookup.key)

    def on_register_answer(
        self, now: float, lookup: Lookup, verdict: RegisterVerdict, stored: Binding | None
    ) -> None:
        """Continue after a read, or after a write of this server's binding."""
        lookup.pending_ref, lookup.register_answered_at = 0, now
        if verdict is RegisterVerdict.UNREACHABLE:
            self.fail(lookup, DecisionReason.NO_MAJORITY)
        elif lookup.stage is LookupStage.WRITING and verdict is RegisterVerdict.WON:
            self._acquisition.on_binding_written(now, lookup)
        else:
            self._on_binding_read(now, lookup, stored)

    def _on_binding_read(self, now: float, lookup: Lookup, stored: Binding | None) -> None:
        self._lookups.set_stage(lookup, LookupStage.READING)
        lookup.stored_binding = stored
        if stored is None or stored.state is BindingState.ENDED:
            lookup.cause = None
            self._place(now, lookup)
        elif not self._context.is_owner_in_view(stored):
            lookup.cause = MigrationCause.REMOVED
            self._place(now, lookup)
        elif stored.owner != self._context.node_name:
            self._finish_with_owner(now, lookup, stored)
        elif stored.state is BindingState.OWNED:
            lookup.cause = None
            # The remaining lifetime of the binding is unknown, so it is renewed before it is used.
            self._acquisition.acquire(now, lookup)
        else:
            self._lookups.finish(lookup)
            self._acquisition.add_session(now, lookup, stored)

    # -- a session without an owner

    def _place(self, now: float, lookup: Lookup) -> None:
        """Take or decline a session that was offered to this server; otherwise choose a server."""
        if lookup.offered_by is not None:
            self._answer_offer(now, lookup)
            return
        if lookup.cause is not None and not lookup.has_budget_token:
            wait_s = self._queue.takeover_wait_s(now, lookup.key, lookup.stored_binding)
            if wait_s > 0:
                self.fail(lookup, DecisionReason.BUDGET, wait_s)
                return
            lookup.has_budget_token = True
        version = self._versions.next_version(lookup.stored_binding)
        capable = self._selection.capable_members(lookup.flows, version)
        if not capable:
            self.fail(lookup, DecisionReason.INCAPABLE)
            return
        # The forwarder took this server for the owner: if it keeps the session, no further hop is needed.
        is_forwarded = any(request.forwarded_by for request in lookup.waiting_requests)
        if is_forwarded and self._selection.has_capacity(lookup.flows, version, forced=False):
            self._acquisition.acquire(now, lookup)
            return
        self._place_on(now, lookup, self._choose_target(lookup, capable))

    def _answer_offer(self, now: float, lookup: Lookup) -> None:
        if self._acquisition.has_capacity(lookup):
            self._acquisition.acquire(now, lookup)
            return
        self._lookups.finish(lookup)
        self._lookups.reply(lookup, None, has_no_capacity=True)
        for request in lookup.waiting_requests:
            self._responder.serve_or_reject(request, DecisionReason.FULL)

    def _choose_target(self, lookup: Lookup, capable: set[str]) -> str:
        """Return the best server below its load bound, otherwise the least loaded one; empty if none."""
        target = ""
        if not lookup.forced:
            target = self._selection.choose(
                lookup.key, capable, is_migration=lookup.cause is not None, excluded=lookup.declined_by
            )
        if not target and not lookup.forced:
            lookup.forced = True
            lookup.declined_by.clear()
        return target or self._selection.least_loaded(capable - lookup.declined_by)

    def _place_on(self, now: float, lookup: Lookup, target: str) -> None:
        if not target:
            self.fail(lookup, DecisionReason.FULL)
        elif target != self._context.node_name:
            self._offer(now, lookup, target)
        elif self._acquisition.has_capacity(lookup):
            self._acquisition.acquire(now, lookup)
        else:
            lookup.declined_by.add(target)
            self._place(now, lookup)

    def _offer(self, now: float, lookup: Lookup, target: str) -> None:
        settings, outbox = self._context.settings, self._context.outbox
        lookup.offered_to, lookup.pending_ref = target, outbox.next_ref()
        self._lookups.set_stage(lookup, LookupStage.AWAITING_OFFER_REPLY)
        timeout_s = settings.offer_timeout_s + (settings.claim_timeout_s if lookup.cause else 0.0)
        self._lookups.set_timer(lookup, min(now + timeout_s, lookup.deadline))
        flows = tuple(sorted(lookup.flows))
        outbox.send(target, OwnershipOffer(lookup.key, lookup.pending_ref, flows, lookup.forced))

    # -- messages

    def on_offer(self, now: float, sender: str, offer: OwnershipOffer) -> None:
        """Reply to an offer, after reading the register if this server does not own the session."""
        lookup = self._lookups.get(offer.key)
        if (session := self._ownership.get(offer.key)) is not None:
            reply = OfferReply(offer.key, offer.offer_id, False, session.binding)
            self._context.outbox.send(sender, reply)
        elif lookup is None and not self._lookups.is_full:
            lookup = self._lookups.start(now, offer.key)
            lookup.flows.update(offer.flows[:MAX_FLOWS])
            self._accept_offer(lookup, sender, offer)
        elif lookup is None:
            self._decline_offer(sender, offer)
        elif lookup.stage is not LookupStage.AWAITING_OFFER_REPLY:
            lookup.offered_by = (sender, offer.offer_id)
        elif sender < self._context.node_name:
            # Two servers offered the session to each other: only the one with the higher name accepts.
            self._accept_offer(lookup, sender, offer)
        else:
            self._decline_offer(sender, offer)

    def _accept_offer(self, lookup: Lookup, sender: str, offer: OwnershipOffer) -> None:
        lookup.offered_by, lookup.forced = (sender, offer.offer_id), offer.forced
        self._read(lookup)

    def _decline_offer(self, sender: str, offer: OwnershipOffer) -> None:
        self._context.outbox.send(sender, OfferReply(offer.key, offer.offer_id, True))

    def on_offer_reply(self, now: float, sender: str, reply: OfferReply) -> None:
        """Continue after an offer: with the owner, with another server, or without an owner."""
        lookup = self._lookups.get(reply.key)
        if (
            lookup is None
            or lookup.stage is not LookupStage.AWAITING_OFFER_REPLY
            or lookup.pending_ref != reply.offer_id
        ):
            return
        if reply.has_no_capacity:
            lookup.declined_by.add(sender)
            self._place(now, lookup)
        elif reply.binding is None:
            self.fail(lookup, DecisionReason.NO_MAJORITY)
        else:
            if reply.binding.owner == sender:
                self._selection.add_session(sender)
            self._finish_with_owner(now, lookup, reply.binding)

    # -- the end of a lookup

    def _finish_with_owner(self, now: float, lookup: Lookup, binding: Binding) -> None:
        """Forward the waiting requests to the session's owner."""
        self._lookups.finish(lookup)
        self._routes.learn(binding)
        self._lookups.reply(lookup, binding)
        for request in lookup.waiting_requests:
            if binding.owner == self._context.node_name:
                self._dispatcher.dispatch_request(now, request)
            else:
                self._responder.forward(request, binding)

    def fail(self, lookup: Lookup, reason: DecisionReason, retry_after_s: float = 0.0) -> None:
        """End a lookup without an owner, and serve or reject the waiting requests."""
        self._lookups.finish(lookup)
        self._lookups.reply(lookup, None)
        retry_after_s = min(retry_after_s, self._context.settings.binding_timeout_s)
        for request in lookup.waiting_requests:
            self._responder.serve_or_reject(request, reason, retry_after_s)

    # -- the fleet and timers

    def on_not_a_member(self) -> None:
        """End all lookups: this server is not in the view."""
        for lookup in list(self._lookups.lookups.values()):
            self.fail(lookup, DecisionReason.NO_VIEW)

    def on_view_changed(self, now: float) -> None:
        """Choose another server for each session offered to a server that is no longer in the view."""
        view = self._context.view
        lookups = self._lookups.lookups.values()
        for lookup in [other for other in lookups if other.stage is LookupStage.AWAITING_OFFER_REPLY]:
            if view is not None and lookup.offered_to not in view:
                self._place(now, lookup)

    def on_drain(self) -> None:
        """Decline the offers that are not already being accepted."""
        for lookup in list(self._lookups.lookups.values()):
            if lookup.stage is not LookupStage.WRITING and lookup.offered_by:
                self.fail(lookup, DecisionReason.FULL)

    def on_timer(self, now: float, lookup: Lookup) -> None:
        """Continue a lookup if its timer is due."""
        if lookup.timer_at > now:
            return
        if lookup.stage is LookupStage.AWAITING_CLAIM_EXPIRY:
            if self._acquisition.has_capacity(lookup):
                self._acquisition.acquire(now, lookup)
            else:
                self._place(now, lookup)
        elif now >= lookup.deadline:
            is_offered = lookup.stage is LookupStage.AWAITING_OFFER_REPLY
            self.fail(lookup, DecisionReason.FULL if is_offered else DecisionReason.NO_MAJORITY)
        elif lookup.stage is LookupStage.AWAITING_OFFER_REPLY:
            lookup.declined_by.add(lookup.offered_to)
            self._place(now, lookup)
        else:
            self._lookups.set_timer(lookup, lookup.deadline)
