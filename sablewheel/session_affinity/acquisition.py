"""How this server becomes the owner of a session. Performs no I/O.

An owner that left the view, or rejoined in another incarnation, is replaced `claim_timeout_s` after the
register was read at the new epoch. If that owner was only paused or partitioned, its later claims are
refused, by epoch and by fencing number. A claim that it won earlier begins its run within `claim_timeout_s`
of the claim's request, or is freed. So each of its runs began before its successor's runs, and continues
under its claim. This requires clocks that advance at the same rate, not clocks that agree. The guarantee
that an idempotency key runs once depends on no clock.
"""

from __future__ import annotations

from .binding import Binding, BindingState, MigrationCause, newer
from .context import SessionContext
from .effects import DecisionReason
from .lookup_table import Lookup, LookupStage, LookupTable
from .messages import MAX_FLOWS, BindingNotice, TakeDeclined, TakeOwnership
from .migration import Migration
from .owned_requests import OwnedRequests
from .ownership import OwnedSession, Ownership
from .policy_versions import PolicyVersions
from .rebalancing import Rebalancing
from .responses import Responder
from .route_cache import RouteCache
from .server_selection import ServerSelection

# A new owner's fencing number exceeds all numbers of earlier epochs, including those of lost entries.
EPOCH_SHIFT_BITS = 20


class Acquisition:
    """Writes bindings that name this server and adds the acquired sessions. The state is in each `Lookup`.

    Invariant: a session is added to the ownership only once the register holds a binding that names this
    server in its current incarnation.
    """

    def __init__(
        self,
        context: SessionContext,
        ownership: Ownership,
        routes: RouteCache,
        versions: PolicyVersions,
        lookups: LookupTable,
        selection: ServerSelection,
        migration: Migration,
        rebalancing: Rebalancing,
        owned_requests: OwnedRequests,
        responder: Responder,
    ) -> None:
        """Acquire sessions for the given ownership."""
        self._context, self._ownership, self._routes, self._versions = context, ownership, routes, versions
        self._lookups, self._selection = lookups, selection
        self._migration, self._rebalancing = migration, rebalancing
        self._owned_requests, self._responder = owned_requests, responder

    def has_capacity(self, lookup: Lookup) -> bool:
        """Whether this server may take the session."""
        version = self._versions.next_version(lookup.stored_binding)
        return self._selection.has_capacity(lookup.flows, version, forced=lookup.forced)

    def acquire(self, now: float, lookup: Lookup) -> None:
        """Write a binding that names this server as the owner.

        If the previous owner was removed, wait first until its claims have begun or expired. The register
        answered at this epoch and has accepted no claim of an earlier epoch since, so no claim was requested
        later than that answer.
        """
        context, settings = self._context, self._context.settings
        expiry_at = lookup.register_answered_at + settings.claim_timeout_s
        if lookup.cause is MigrationCause.REMOVED and now < expiry_at:
            self._await_claim_expiry(lookup, expiry_at)
            return
        stored = lookup.stored_binding
        lookup.pending_binding = Binding(
            lookup.key,
            self._next_fencing_number(lookup),
            context.node_name,
            context.incarnation,
            self._versions.next_version(stored),
        )
        lookup.write_started_at = now
        self._lookups.set_stage(lookup, LookupStage.WRITING)
        expected = stored.fencing_number if stored is not None else 0
        lookup.pending_ref = context.outbox.write_binding(lookup.pending_binding, expected)
        self._lookups.set_timer(lookup, lookup.deadline)

    def _next_fencing_number(self, lookup: Lookup) -> int:
        """Return a fencing number above all that may have been used for the session.

        Replicas that failed together may have lost the latest entry while an older one remains elsewhere. An
        entry that expired in this epoch may also have had a higher number, known from a route cached here.
        """
        epoch = self._context.view.epoch if self._context.view else 0
        lowest_of_epoch = epoch << EPOCH_SHIFT_BITS | 1
        latest = newer(lookup.stored_binding, self._routes.get(lookup.key))
        return max(lowest_of_epoch, latest.fencing_number + 1 if latest is not None else 0)

    def _await_claim_expiry(self, lookup: Lookup, expiry_at: float) -> None:
        self._lookups.set_stage(lookup, LookupStage.AWAITING_CLAIM_EXPIRY)
        lookup.deadline = max(lookup.deadline, expiry_at + self._context.settings.binding_timeout_s)
        for request in [waiting for waiting in lookup.waiting_requests if not waiting.requires_owner]:
            lookup.waiting_requests.remove(request)
            self._responder.serve_or_reject(request, DecisionReason.HANDOVER)
        self._lookups.set_timer(lookup, expiry_at)

    def on_binding_written(self, now: float, lookup: Lookup) -> None:
        """Add the session whose binding was just written."""
        self._lookups.finish(lookup)
        binding, stored = lookup.pending_binding, lookup.stored_binding
        if binding is None:
            return
        if lookup.cause is None:
            is_new = stored is None or stored.state is BindingState.ENDED
            self._context.counts["begun" if is_new else "kept"] += 1
        else:
            self._context.counts[f"moved_{lookup.cause.value}"] += 1
            self._context.outbox.log(
                "session migrated",
                key=lookup.key,
                cause=lookup.cause.value,
                number=binding.fencing_number,
                owner=stored.owner if stored else "",
            )
        self.add_session(now, lookup, binding)

    def add_session(self, now: float, lookup: Lookup, binding: Binding) -> None:
        """Add a session: just acquired, acquired by a write whose answer was lost, or evicted earlier."""
        session = self._ownership.get(lookup.key)
        if session is None:
            if not self._ownership.make_capacity():
                self._notify(lookup, binding)
                for request in lookup.waiting_requests:
                    self._responder.serve_or_reject(request, DecisionReason.FULL)
                return
            session = self._create_session(now, lookup, binding)
        self._routes.remove(lookup.key)
        self._notify(lookup, binding)
        for request in lookup.waiting_requests:
            self._owned_requests.serve(now, session, request)
        self._rebalancing.on_acquired(session)

    def _create_session(self, now: float, lookup: Lookup, binding: Binding) -> OwnedSession:
        is_written_now = binding is lookup.pending_binding
        session = OwnedSession(
            binding,
            first_fencing_number=binding.fencing_number,
            last_used_at=now,
            renewed_at=lookup.write_started_at if is_written_now else now,
            flows=set(lookup.flows),
            open_refs=self._ownership.take_open_refs(lookup.key),
        )
        self._ownership.add(session)
        if binding.state is BindingState.HANDING_OVER:
            session.cause = MigrationCause.DRAIN
            self._migration.finish_runs(now, session)
        return session

    def _notify(self, lookup: Lookup, binding: Binding) -> None:
        """Send the binding to the server that offered the session, and to the previous owner."""
        self._lookups.reply(lookup, binding)
        if lookup.handover is not None:
            self._context.outbox.send(lookup.handover.binding.owner, BindingNotice(binding))

    def on_take_ownership(self, now: float, sender: str, message: TakeOwnership) -> None:
        """Take a session that its owner hands over, or decline it."""
        binding, outbox = message.binding, self._context.outbox
        session = self._ownership.get(binding.key)
        if session is not None:
            if session.binding.fencing_number > binding.fencing_number:
                outbox.send(sender, BindingNotice(session.binding))
            return
        lookup = self._lookups.get(binding.key)
        if lookup is not None and lookup.stage is LookupStage.WRITING:
            lookup.handover = message  # the register's answer to the pending write decides
            return
        version = self._versions.retained_or_active(binding.policy_version)
        has_capacity = self._selection.has_capacity(message.flows, version, forced=message.forced)
        if not has_capacity or (lookup is None and self._lookups.is_full):
            outbox.send(sender, TakeDeclined(binding.key, binding.fencing_number))
            return
        if lookup is None:
            lookup = self._lookups.start(now, binding.key)
        outbox.close_query(lookup.pending_ref)
        lookup.handover, lookup.stored_binding, lookup.cause = message, binding, message.cause
        lookup.flows.update(message.flows[:MAX_FLOWS])
        self.acquire(now, lookup)
