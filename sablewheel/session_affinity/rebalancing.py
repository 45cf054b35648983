"""Why owned sessions migrate or change: policy versions, lost capabilities, a drain. Performs no I/O.

A new policy version alone migrates no session, and neither does a server that rejoins.
"""

from __future__ import annotations

from collections.abc import Iterable

from .binding import MigrationCause
from .context import SessionContext
from .events import PolicyActivated
from .migration import Migration
from .migration_queue import MigrationQueue
from .ownership import OwnedSession, Ownership, OwnershipPhase
from .policy_versions import PolicyVersions

MIN_DRAIN_SPAN_S = 1e-3


class Rebalancing:
    """Queues the sessions that must migrate or change, and starts the changes as the budget allows.

    Invariant: each migration and each change of version has a `MigrationCause`, and takes one budget token.
    """

    def __init__(
        self,
        context: SessionContext,
        ownership: Ownership,
        versions: PolicyVersions,
        queue: MigrationQueue,
        migration: Migration,
    ) -> None:
        """Rebalance the sessions of the given ownership."""
        self._context, self._ownership, self._versions = context, ownership, versions
        self._queue, self._migration = queue, migration

    # -- causes

    def activate(self, now: float, event: PolicyActivated) -> None:
        """Queue the sessions that can or may no longer run under their version."""
        if not self._versions.activate(now, event):
            return
        self._queue_retired(self._versions.retire_excess())
        for session in list(self._ownership.sessions.values()):
            if (cause := self._cause_after_activation(session, event)) is not None:
                self._queue.enqueue(session, cause)

    def _cause_after_activation(self, session: OwnedSession, event: PolicyActivated) -> MigrationCause | None:
        version = session.binding.policy_version
        is_outdated = version < self._versions.active
        if is_outdated and self._context.settings.faulty_variant == "rehash-on-bump":
            return MigrationCause.RETIRED
        if is_outdated and event.mandatory:
            return MigrationCause.MANDATORY
        if not self._versions.can_run(self._context.node_name, version, session.flows):
            return MigrationCause.INCAPABLE
        return None

    def retire_expired(self, now: float) -> None:
        """Queue the sessions of policy versions whose retention time has passed."""
        self._queue_retired(self._versions.retire_expired(now))

    def _queue_retired(self, versions: Iterable[int]) -> None:
        for version in versions:
            for session in list(self._ownership.sessions.values()):
                if session.binding.policy_version == version:
                    self._queue.enqueue(session, MigrationCause.RETIRED)

    def drain(self, now: float, grace_s: float) -> None:
        """Queue all sessions, spread over a fraction of the grace period.

        The sessions left at the end of the grace period migrate once this server is removed from the view.
        """
        span_s = max(grace_s * self._context.settings.drain_grace_fraction, MIN_DRAIN_SPAN_S)
        sessions = list(self._ownership.sessions.values())
        self._queue.start_drain(now, len(sessions), span_s)
        self._context.is_draining = True
        for session in sessions:
            session.queued_cause = None
            self._queue.enqueue(session, MigrationCause.DRAIN)

    def on_acquired(self, session: OwnedSession) -> None:
        """Queue a session that was just acquired if it cannot stay here under its version."""
        if self._context.is_draining:
            self._queue.enqueue(session, MigrationCause.DRAIN)
        elif self._versions.active and not self._versions.is_retained(session.binding.policy_version):
            self._queue.enqueue(session, MigrationCause.RETIRED)

    # -- the queue

    def run_queue(self, now: float) -> None:
        """Start the queued migrations and changes that the budget allows at this time."""
        is_blocked = False
        for _ in range(len(self._queue)):
            if not self._queue.try_take(now):
                break
            is_blocked = not self._run_next(now) or is_blocked
        self._queue.schedule(now, is_blocked=is_blocked)

    def _run_next(self, now: float) -> bool:
        """Handle the next entry; return False if it must be tried again."""
        key = self._queue.pop()
        session = self._ownership.get(key)
        cause = session.queued_cause if session is not None else None
        if session is None or cause is None:
            self._queue.refund()
            return True
        if session.phase is not OwnershipPhase.SERVING:  # a renewal is in progress
            self._queue.refund()
            self._queue.requeue(key)
            return False
        session.queued_cause = None
        return self._migrate(now, session, cause)

    def _migrate(self, now: float, session: OwnedSession, cause: MigrationCause) -> bool:
        """Change the version or hand the session over; return False if no server can take it yet."""
        version = self._versions.active
        is_version_change = cause in (MigrationCause.RETIRED, MigrationCause.MANDATORY)
        may_stay = is_version_change and self._context.settings.faulty_variant != "rehash-on-bump"
        if may_stay and self._versions.can_run(self._context.node_name, version, session.flows):
            session.cause = cause
            self._migration.renew(now, session, version)
            return True
        if self._migration.hand_over(now, session, cause):
            return True
        self._queue.refund()
        self._context.counts["no_heir"] += 1
        self._queue.enqueue(session, cause)
        return False
