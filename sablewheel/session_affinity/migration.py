"""How an owner changes a session's binding, and how it hands the session over. Performs no I/O.

An owner that is in the view hands a session over in three steps. It accepts no more keyed requests and writes
the handover state into the binding; it waits until its keyed runs end, or lets them continue as claims (their
idempotency keys stay claimed, and no other server runs them); only then it requests the successor to take
the session. Before that, no other server may take a session from an owner that is in the view.
"""

from __future__ import annotations

from math import inf

from .binding import Binding, BindingState, MigrationCause
from .context import SessionContext
from .events import RegisterVerdict
from .messages import TakeDeclined, TakeOwnership
from .migration_queue import MigrationQueue
from .ownership import OwnedSession, Ownership, OwnershipPhase
from .policy_versions import PolicyVersions
from .server_selection import ServerSelection


class Migration:
    """The steps of an owned session's change or handover; the state of each is in its `OwnedSession`.

    Invariant: a successor is requested to take a session only while the binding in the register names it,
    and only when this server has no run of the session left that may still begin.
    """

    def __init__(
        self,
        context: SessionContext,
        ownership: Ownership,
        versions: PolicyVersions,
        selection: ServerSelection,
        queue: MigrationQueue,
    ) -> None:
        """Migrate the sessions of the given ownership."""
        self._context, self._ownership, self._versions = context, ownership, versions
        self._selection, self._queue = selection, queue

    # -- changes under the same owner

    def renew(self, now: float, session: OwnedSession, policy_version: int) -> None:
        """Write the same owner's next binding under a policy version; the session is served meanwhile."""
        context = self._context
        session.phase, session.phase_since = OwnershipPhase.RENEWING, now
        binding = session.binding.owned_by(context.node_name, context.incarnation, policy_version)
        self._write(now, session, binding)

    def _write(self, now: float, session: OwnedSession, binding: Binding) -> None:
        expected = session.binding.fencing_number
        session.pending_binding, session.timer_at, session.write_started_at = binding, inf, now
        session.pending_ref = self._context.outbox.write_binding(binding, expected)

    # -- handover

    def hand_over(self, now: float, session: OwnedSession, cause: MigrationCause) -> bool:
        """Start the handover of a session; return False if no server can take it."""
        successor = self._selection.choose_successor(session)
        if not successor:
            return False
        session.cause = cause
        if self._context.settings.faulty_variant == "no-handover":  # this server continues to serve
            message = TakeOwnership(session.binding, cause, tuple(sorted(session.flows)))
            self._context.outbox.send(successor, message)
            return True
        self._mark_handover(now, session, successor)
        return True

    def _mark_handover(self, now: float, session: OwnedSession, successor: str) -> None:
        session.phase, session.phase_since = OwnershipPhase.MARKING_HANDOVER, now
        self._write(now, session, session.binding.handing_over_to(successor))

    def finish_runs(self, now: float, session: OwnedSession) -> None:
        """Wait for the open keyed runs of a session whose binding is in the handover state."""
        session.phase, session.phase_since = OwnershipPhase.FINISHING_RUNS, now
        if not session.open_refs:
            self._notify_successor(now, session)
        else:
            self._set_timer(session, now + self._context.settings.handover_timeout_s)

    def end_run(self, now: float, session: OwnedSession, ref: int) -> None:
        """Record the end of a run; after the last run of a handover, notify the successor."""
        session.open_refs.discard(ref)
        if session.phase is OwnershipPhase.FINISHING_RUNS and not session.open_refs:
            self._notify_successor(now, session)

    def _notify_successor(self, now: float, session: OwnedSession) -> None:
        """Request the successor to take the session; choose another one if it does not answer in time."""
        context = self._context
        if session.phase is not OwnershipPhase.AWAITING_SUCCESSOR:
            session.phase, session.phase_since = OwnershipPhase.AWAITING_SUCCESSOR, now
            if session.open_refs:
                context.counts["passed_as_claims"] += len(session.open_refs)
                context.outbox.log(
                    "session handed over with open runs", key=session.binding.key, runs=len(session.open_refs)
                )
        successor = session.binding.successor
        is_overdue = now - session.phase_since > context.settings.binding_timeout_s
        if context.view is None or successor not in context.view or is_overdue:
            session.declined_by.add(successor)
            self._change_successor(now, session)
            return
        cause, flows = session.cause or MigrationCause.DRAIN, tuple(sorted(session.flows))
        message = TakeOwnership(session.binding, cause, flows, forced=bool(session.declined_by))
        context.outbox.send(successor, message)
        self._set_timer(session, now + context.settings.retry_interval_s)

    def _change_successor(self, now: float, session: OwnedSession) -> None:
        successor = self._selection.choose_successor(session)
        if successor and successor != self._context.node_name:
            self._mark_handover(now, session, successor)
        else:
            self._set_timer(session, now + self._context.settings.retry_interval_s)

    def on_declined(self, now: float, sender: str, message: TakeDeclined) -> None:
        """Choose another successor, unless the message is about an earlier binding."""
        session = self._ownership.get(message.key)
        if (
            session is not None
            and session.phase is OwnershipPhase.AWAITING_SUCCESSOR
            and session.binding.fencing_number == message.fencing_number
        ):
            session.declined_by.add(sender)
            self._change_successor(now, session)

    def on_view_changed(self, now: float) -> None:
        """Choose another successor for each session whose successor is no longer in the view."""
        view = self._context.view
        sessions = self._ownership.sessions.values()
        for session in [owned for owned in sessions if owned.phase is OwnershipPhase.AWAITING_SUCCESSOR]:
            if view is not None and session.binding.successor not in view:
                self._change_successor(now, session)

    # -- the register's answer

    def on_register_answer(
        self, now: float, session: OwnedSession, verdict: RegisterVerdict, stored: Binding | None
    ) -> None:
        """Continue after a write of this owner, according to the binding that the register holds now."""
        written, session.pending_binding, session.pending_ref = session.pending_binding, None, 0
        if verdict is RegisterVerdict.UNREACHABLE:
            self._on_register_unreachable(now, session)
            return
        number = session.binding.fencing_number
        newer_stored = stored if stored is not None and stored.fencing_number > number else None
        is_own_binding = newer_stored is not None and self._context.is_owned_here(newer_stored)
        if verdict is RegisterVerdict.LOST and not is_own_binding:
            self._ownership.release(now, session, newer_stored)
            return
        binding = written if verdict is RegisterVerdict.WON else stored
        if binding is None:
            self._ownership.release(now, session, None)
            return
        session.binding = binding
        if verdict is RegisterVerdict.WON:  # otherwise an earlier write, whose answer was lost
            session.renewed_at = session.write_started_at
        self._on_binding_stored(now, session)

    def _on_register_unreachable(self, now: float, session: OwnedSession) -> None:
        """Handle a write that may or may not have been made."""
        if session.phase is not OwnershipPhase.RENEWING:
            self._set_timer(session, now + self._context.settings.retry_interval_s)
            return
        session.phase = OwnershipPhase.SERVING
        if session.cause is not None:
            self._queue.enqueue(session, session.cause)
            session.cause = None

    def _on_binding_stored(self, now: float, session: OwnedSession) -> None:
        binding = session.binding
        if binding.state is BindingState.HANDING_OVER:
            self.finish_runs(now, session)
            return
        is_renewal = session.phase is OwnershipPhase.RENEWING
        if is_renewal and session.cause is not None and binding.policy_version == self._versions.active:
            self._context.counts[f"brought_{session.cause.value}"] += 1
        if session.phase is OwnershipPhase.MARKING_HANDOVER:  # an earlier renewal is stored, not the handover
            self._mark_handover(now, session, self._selection.choose_successor(session))
            return
        session.phase, session.cause = OwnershipPhase.SERVING, None

    # -- timers

    def on_timer(self, now: float, session: OwnedSession) -> None:
        """Retry a handover step that was not answered, if its timer is due."""
        if session.timer_at > now:
            return
        session.timer_at = inf
        if session.phase is OwnershipPhase.MARKING_HANDOVER and not session.pending_ref:
            successor = self._selection.choose_successor(session) or session.binding.successor
            self._mark_handover(now, session, successor)
        elif session.phase in (OwnershipPhase.FINISHING_RUNS, OwnershipPhase.AWAITING_SUCCESSOR):
            self._notify_successor(now, session)

    def _set_timer(self, session: OwnedSession, at: float) -> None:
        session.timer_at = at
        self._context.timers.set(session.binding.key, at)
