"""When sessions may migrate: a queue at the pace of the fleet's migration budget. Pure."""

from __future__ import annotations

from collections import deque
from math import inf

from ..membership.view import Member
from .binding import Binding, MigrationCause
from .budget import MigrationBudget
from .context import SessionContext
from .ownership import OwnedSession
from .placement import turn_fraction

MIN_WAIT_S = 1e-3
MIN_RATE_PER_S = 1e-6
TURNS_KNOWN_FOR = 2.0  # times the span of the turns: a request may come after its session's turn


class MigrationQueue:
    """Owned sessions that must migrate or change, and the turns of sessions whose owner is gone.

    Invariant: a queued migration starts with a token of this server's share of the fleet's budget; while the
    server drains, with one of a budget that follows from the time that is left. A takeover waits for its
    turn.
    """

    def __init__(self, context: SessionContext, now: float) -> None:
        """Start with an empty queue and the whole fleet's budget, until a view tells the fleet's size."""
        self._context = context
        rate = context.settings.migrations_per_s
        self._keys: deque[str] = deque()
        self._budget = MigrationBudget(rate, now)
        self._takeover_budget = MigrationBudget(rate, now)  # of sessions that have turns
        self._turnless_takeover_budget = MigrationBudget(rate, now)  # of owners with unknown loads
        self._drain_budget: MigrationBudget | None = None
        self._departures: dict[
            tuple[str, int], tuple[float, float]
        ] = {}  # incarnation -> when, span of turns
        self._next_attempt_at = inf

    def __len__(self) -> int:
        """Return the number of entries; a session may have an outdated one besides its own."""
        return len(self._keys)

    @property
    def keys(self) -> tuple[str, ...]:
        """The queued sessions' keys, the next one first."""
        return tuple(self._keys)

    @property
    def next_attempt_at(self) -> float:
        """When the next entry should be tried; inf if the queue is empty."""
        return self._next_attempt_at if self._keys else inf

    # -- the queue

    def enqueue(self, session: OwnedSession, cause: MigrationCause) -> None:
        """Queue a session unless it is queued already or is being handed over."""
        if session.queued_cause is None and session.accepts_keyed_work:
            session.queued_cause = cause
            self._keys.append(session.binding.key)

    def requeue(self, key: str) -> None:
        """Put an entry that could not be handled yet at the end."""
        self._keys.append(key)

    def pop(self) -> str:
        """Remove the next entry and return its session's key."""
        return self._keys.popleft()

    def schedule(self, now: float, *, is_blocked: bool) -> None:
        """Set when the queue is tried again, if it has entries left.

        Args:
            now: The present time.
            is_blocked: Whether an entry waits for something else than the budget.
        """
        if not self._keys:
            return
        interval_s = self._context.settings.retry_interval_s
        wait_s = min((self._drain_budget or self._budget).wait_s(now), interval_s)
        self._next_attempt_at = now + (interval_s if is_blocked else max(wait_s, MIN_WAIT_S))

    # -- the budget

    def try_take(self, now: float) -> bool:
        """Take a token for one migration, if the budget allows one now."""
        if self._context.settings.faulty_variant == "no-budget":
            return True
        return (self._drain_budget or self._budget).try_take(now)

    def refund(self) -> None:
        """Return the token of a migration that was not started, in the step in which it was taken."""
        (self._drain_budget or self._budget).refund()

    def share_budget(self, now: float, member_count: int) -> None:
        """Set this server's share of the fleet's budget; turns keep to the whole of it by themselves."""
        rate = self._context.settings.migrations_per_s / max(member_count, 1)
        self._budget.set_rate(now, rate)
        self._turnless_takeover_budget.set_rate(now, rate)

    def start_drain(self, now: float, session_count: int, span_s: float) -> None:
        """Set the pace that migrates all sessions within the span, or the fleet's pace if that is higher."""
        rate = max(self._context.settings.migrations_per_s, (session_count + 1) / span_s)
        self._drain_budget = MigrationBudget(rate, now)

    # -- sessions of servers that are gone

    def add_departure(self, now: float, member: Member, session_count: int) -> None:
        """Spread the turns of a removed member's sessions over the span that the fleet's budget needs."""
        span_s = session_count / max(self._context.settings.migrations_per_s, MIN_RATE_PER_S)
        self._departures[member.name, member.incarnation] = (now, span_s)

    def forget_past_departures(self, now: float) -> None:
        """Forget the removed members whose sessions have all had their turns, and time to use them."""
        self._departures = {
            member: (at, span_s)
            for member, (at, span_s) in self._departures.items()
            if now < at + TURNS_KNOWN_FOR * span_s
        }

    def takeover_wait_s(self, now: float, key: str, stored: Binding | None) -> float:
        """Return the seconds until a removed owner's session may be taken over; 0 takes a token for it.

        Each such session has its turn by its key, spread so that the fleet migrates no more per second than
        its budget, whichever server has the requests. For an owner whose load was not known there are no
        turns, but a token bucket at this server's share of that budget.
        """
        if self._context.settings.faulty_variant == "no-budget" or stored is None:
            return 0.0
        departure = self._departures.get((stored.owner, stored.incarnation))
        budget = self._turnless_takeover_budget if departure is None else self._takeover_budget
        departed_at, span_s = departure or (now, 0.0)
        wait_s = departed_at + span_s * turn_fraction(key) - now
        if wait_s <= 0 and not budget.try_take(now):
            wait_s = budget.wait_s(now)
        return max(wait_s, 0.0)
