"""The sessions that this server owns. Performs no I/O.

Only the server that takes a session writes its name into the binding, by a compare-and-set on the fencing
number, so each number has one owner. The owner claims idempotency keys under its number, and a replica of the
register refuses a claim with a number below the binding's.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from itertools import islice
from math import inf

from .binding import Binding, MigrationCause
from .context import RequestDispatcher, SessionContext
from .events import RequestArrived
from .messages import MAX_FLOWS
from .route_cache import RouteCache

MAX_EVICTION_CANDIDATES = 64  # least recently used sessions that are examined for each eviction


class OwnershipPhase(Enum):
    """The phase of an owned session."""

    SERVING = auto()
    RENEWING = auto()  # the session is still served; its renewed binding is being written
    MARKING_HANDOVER = auto()  # no more keyed requests; the handover state is being written
    FINISHING_RUNS = auto()  # the handover state is stored; the session's keyed runs have not ended
    AWAITING_SUCCESSOR = auto()  # the runs ended or continue as claims; the successor was notified


@dataclass(slots=True)
class OwnedSession:
    """A session that this server owns. All times are in the events' clock."""

    binding: Binding
    first_fencing_number: int  # under which this server took the session; later numbers are its own
    last_used_at: float
    renewed_at: float  # when the last write was requested; the register retains it for a lifetime from then
    flows: set[str] = field(default_factory=set)
    open_refs: set[int] = field(default_factory=set)  # keyed or non-idempotent requests that run or may run
    has_keyed_work: bool = False  # whether the session ever had a keyed or non-idempotent request
    phase: OwnershipPhase = OwnershipPhase.SERVING
    waiting_requests: list[RequestArrived] = field(default_factory=list)
    waiting_deadline: float = inf
    cause: MigrationCause | None = None
    phase_since: float = 0.0
    timer_at: float = inf
    pending_ref: int = 0  # the reference of the pending query to the register; 0 if none
    pending_binding: Binding | None = None  # the binding that is being written
    write_started_at: float = 0.0
    declined_by: set[str] = field(default_factory=set)
    queued_cause: MigrationCause | None = None  # why the session is queued; None if it is not queued

    @property
    def accepts_keyed_work(self) -> bool:
        """Whether keyed requests may begin here."""
        return self.phase in (OwnershipPhase.SERVING, OwnershipPhase.RENEWING)

    @property
    def is_in_use(self) -> bool:
        """Whether the session has open requests, waiting requests or a change in progress."""
        return bool(self.open_refs or self.waiting_requests or self.phase is not OwnershipPhase.SERVING)

    def add_flow(self, flow: str) -> None:
        """Retain the flow of a request, up to `MAX_FLOWS`."""
        if len(self.flows) < MAX_FLOWS:
            self.flows.add(flow)


class Ownership:
    """The table of owned sessions, and the open requests of sessions that were released.

    Invariant: no session with open keyed requests is evicted or ended; when a session is released its open
    runs are retained until they end, and count again if this server acquires the session again.
    """

    def __init__(self, context: SessionContext, routes: RouteCache, dispatcher: RequestDispatcher) -> None:
        """Start without sessions."""
        self._context, self._routes, self._dispatcher = context, routes, dispatcher
        self._sessions: OrderedDict[str, OwnedSession] = OrderedDict()
        self._open_refs_after_release: dict[str, set[int]] = {}

    @property
    def sessions(self) -> OrderedDict[str, OwnedSession]:
        """All owned sessions by key, the least recently used first."""
        return self._sessions

    def get(self, key: str) -> OwnedSession | None:
        """Return an owned session, None if this server does not own it."""
        return self._sessions.get(key)

    def add(self, session: OwnedSession) -> None:
        """Add a session as the most recently used."""
        self._sessions[session.binding.key] = session

    def take_open_refs(self, key: str) -> set[int]:
        """Remove and return the runs still open from an earlier ownership, to be counted in the new one."""
        return self._open_refs_after_release.pop(key, set())

    def touch(self, now: float, session: OwnedSession) -> None:
        """Mark a session as the most recently used."""
        session.last_used_at = now
        self._sessions.move_to_end(session.binding.key)

    def release(self, now: float, session: OwnedSession, binding: Binding | None) -> None:
        """Remove a session that this server no longer owns, and dispatch its waiting requests again.

        Args:
            now: The current time.
            session: The session to remove. Its open keyed runs continue as claims.
            binding: The binding of the new owner, if it is known.
        """
        key = session.binding.key
        self._sessions.pop(key, None)
        if session.open_refs:
            self._open_refs_after_release[key] = session.open_refs
        self._context.outbox.close_query(session.pending_ref)
        if binding is not None:
            self._routes.learn(binding)
        else:
            self._routes.remove(key)
        for request in session.waiting_requests:
            self._dispatcher.dispatch_request(now, request)

    def finish_released_run(self, ref: int, key: str) -> None:
        """Record the end of a run whose session was released."""
        open_refs = self._open_refs_after_release.get(key, set())
        open_refs.discard(ref)
        if not open_refs:
            self._open_refs_after_release.pop(key, None)

    # -- validity

    def is_expired(self, now: float, session: OwnedSession) -> bool:
        """Whether the register may have dropped the binding, such as after a long time without a majority.

        Then no stored number refuses a claim, and any server may begin a new session with this key.
        """
        return now >= session.renewed_at + self._context.settings.binding_lifetime_s

    def may_begin(self, now: float, key: str, fencing_number: int, claim_requested_at: float) -> bool:
        """Whether a claim that was won under a fencing number may still begin its run.

        If not, the caller must free the claim. A server may be paused between winning the claim and starting
        the run; the session may have another owner by then, whose keyed runs would overlap with this one.
        """
        session = self.get(key)
        settings = self._context.settings
        if settings.faulty_variant == "two-owners" and session is not None:
            return True
        return (
            session is not None
            and session.phase is not OwnershipPhase.AWAITING_SUCCESSOR
            and session.first_fencing_number <= fencing_number <= session.binding.fencing_number
            and not self.is_expired(now, session)
            and now - claim_requested_at < settings.claim_timeout_s
        )

    # -- eviction and idle sessions

    def has_evictable_session(self) -> bool:
        """Whether a session can be evicted to make room for another."""
        return self._eviction_candidate() is not None

    def make_capacity(self) -> bool:
        """Evict sessions until there is capacity for one more; return False if that is not possible."""
        while len(self._sessions) >= self._context.settings.max_sessions:
            if (key := self._eviction_candidate()) is None:
                return False
            del self._sessions[key]
            self._context.counts["forgotten"] += 1
        return True

    def _eviction_candidate(self) -> str | None:
        """Return the least recently used session not in use, preferably one without keyed requests."""
        keyed_candidate: str | None = None
        for key, session in islice(self._sessions.items(), MAX_EVICTION_CANDIDATES):
            if session.is_in_use:
                continue
            if not session.has_keyed_work:
                return key
            keyed_candidate = keyed_candidate or key
        return keyed_candidate

    @property
    def next_idle_timeout_at(self) -> float:
        """When the least recently used session reaches the idle timeout; inf without sessions."""
        if not self._sessions:
            return inf
        return next(iter(self._sessions.values())).last_used_at + self._context.settings.idle_timeout_s

    def end_idle(self, now: float) -> None:
        """End the sessions that have reached the idle timeout."""
        while self._sessions and now >= self.next_idle_timeout_at:
            session = next(iter(self._sessions.values()))
            if session.is_in_use:
                self.touch(now, session)
            else:
                self._end(session)

    def _end(self, session: OwnedSession) -> None:
        """End an idle session. If the write is lost, the binding expires on its own."""
        del self._sessions[session.binding.key]
        self._context.counts["ended_idle"] += 1
        ended = session.binding.ended()
        self._context.outbox.write_binding(ended, session.binding.fencing_number, is_answer_used=False)
