"""The requests of sessions that this server owns. Performs no I/O."""

from __future__ import annotations

from .binding import MigrationCause
from .context import RequestDispatcher, SessionContext
from .effects import DecisionReason
from .events import RequestArrived
from .migration import Migration
from .migration_queue import MigrationQueue
from .ownership import OwnedSession, Ownership, OwnershipPhase
from .policy_versions import PolicyVersions
from .responses import Responder

RENEWALS_PER_LIFETIME = 4


class OwnedRequests:
    """Serves requests of owned sessions, or keeps them waiting for the next owner.

    Invariant: no keyed request is served once the session's handover has begun, or once its binding may have
    expired.
    """

    def __init__(
        self,
        context: SessionContext,
        ownership: Ownership,
        versions: PolicyVersions,
        queue: MigrationQueue,
        migration: Migration,
        responder: Responder,
        dispatcher: RequestDispatcher,
    ) -> None:
        """Serve the sessions of the given ownership."""
        self._context, self._ownership, self._versions = context, ownership, versions
        self._queue, self._migration = queue, migration
        self._responder, self._dispatcher = responder, dispatcher

    def serve(self, now: float, session: OwnedSession, request: RequestArrived) -> None:
        """Serve a request, or keep it waiting if the session's owner must change first."""
        if request.requires_owner and self._ownership.is_expired(now, session):
            self._ownership.release(now, session, None)
            self._dispatcher.dispatch_request(now, request)
            return
        self._ownership.touch(now, session)
        session.add_flow(request.flow)
        session.has_keyed_work = session.has_keyed_work or request.requires_owner
        if not session.accepts_keyed_work:
            if request.requires_owner:
                self._add_waiting(now, session, request, DecisionReason.HANDOVER)
            else:
                self._responder.serve(request, session.binding, DecisionReason.HANDOVER)
            return
        version = session.binding.policy_version
        if not self._versions.can_run(self._context.node_name, version, (request.flow,)):
            self._queue.enqueue(session, MigrationCause.INCAPABLE)
            self._add_waiting(now, session, request, DecisionReason.INCAPABLE)
            return
        if request.requires_owner:
            session.open_refs.add(request.ref)
        self._responder.serve(request, session.binding, DecisionReason.OWNER)
        renewal_interval_s = self._context.settings.binding_lifetime_s / RENEWALS_PER_LIFETIME
        if now - session.renewed_at > renewal_interval_s and session.phase is OwnershipPhase.SERVING:
            self._migration.renew(now, session, version)

    def _add_waiting(
        self, now: float, session: OwnedSession, request: RequestArrived, reason: DecisionReason
    ) -> None:
        """Add a request that waits for the session's next owner."""
        settings = self._context.settings
        if len(session.waiting_requests) >= settings.max_waiting_requests:
            self._responder.serve_or_reject(request, reason)
            return
        if not session.waiting_requests:
            session.waiting_deadline = now + settings.binding_timeout_s
            self._context.timers.set(session.binding.key, session.waiting_deadline)
        session.waiting_requests.append(request)

    def on_timer(self, now: float, session: OwnedSession) -> None:
        """Serve or reject the waiting requests if their deadline has passed."""
        if not session.waiting_requests or now < session.waiting_deadline:
            return
        requests, session.waiting_requests = session.waiting_requests, []
        is_serving = session.phase is OwnershipPhase.SERVING
        reason = DecisionReason.INCAPABLE if is_serving else DecisionReason.HANDOVER
        for request in requests:
            self._responder.serve_or_reject(request, reason)
