"""When sessions may migrate: a queue limited by the fleet's migration budget. Performs no I/O."""

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
# Turns are retained for this multiple of their span: a request may arrive after its session's turn.
TURN_RETENTION_FACTOR = 2.0


class MigrationQueue:
    """Owned sessions that must migrate or change, and the turns of sessions whose owner was removed.

    A turn is the time from which such a session may be taken over. Invariant: a queued migration starts with
    a token of this server's share of the fleet's budget or, while the server drains, of a budget that follows
    from the remaining time. A takeover waits for its turn.
    """

    def __init__(self, context: SessionContext, now: float) -> None:
        """Start with an empty queue and the whole fleet's budget, until a view gives the fleet's size."""
        self._context = context
        rate = context.settings.migrations_per_s
        self._keys: deque[str] = deque()
        self._budget = MigrationBudget(rate, now)
        self._takeover_budget = MigrationBudget(rate, now)  # for sessions that have turns
        self._turnless_takeover_budget = MigrationBudget(rate, now)  # for owners with unknown loads
        self._drain_budget: MigrationBudget | None = None
        # By name and incarnation of the removed member: the time of its removal, and the span of the turns.
        self._departures: dict[tuple[str, int], tuple[float, float]] = {}
        self._next_attempt_at = inf

    def __len__(self) -> int:
        """Return the number of entries; a session may have an outdated entry besides its current one."""
        return len(self._keys)

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys of the queued sessions, the next one first."""
        return tuple(self._keys)

    @property
    def next_attempt_at(self) -> float:
        """When the next entry should be tried; inf if the queue is empty."""
        return self._next_attempt_at if self._keys else inf

    # -- the queue

    def enqueue(self, session: OwnedSession, cause: MigrationCause) -> None:
        """Queue a session unless it is already queued or is being handed over."""
        if session.queued_cause is None and session.accepts_keyed_work:
            session.queued_cause = cause
            self._keys.append(session.binding.key)

    def requeue(self, key: str) -> None:
        """Append an entry that could not be handled yet."""
        self._keys.append(key)

    def pop(self) -> str:
        """Remove the next entry and return its session's key."""
        return self._keys.popleft()

    def schedule(self, now: float, *, is_blocked: bool) -> None:
        """Set the time at which the queue is tried again, if it has entries left.

        Args:
            now: The current time.
            is_blocked: Whether an entry waits for anything other than the budget.
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
        """Set this server's share of the fleet's budget; turns limit the whole fleet's rate anyway."""
        rate = self._context.settings.migrations_per_s / max(member_count, 1)
        self._budget.set_rate(now, rate)
        self._turnless_takeover_budget.set_rate(now, rate)

    def start_drain(self, now: float, session_count: int, span_s: float) -> None:
        """Set the rate that migrates all sessions within the span, or the fleet's rate if that is higher."""
        rate = max(self._context.settings.migrations_per_s, (session_count + 1) / span_s)
        self._drain_budget = MigrationBudget(rate, now)

    # -- sessions of removed servers

    def add_departure(self, now: float, member: Member, session_count: int) -> None:
        """Spread the turns of a removed member's sessions over the span that the fleet's budget needs."""
        span_s = session_count / max(self._context.settings.migrations_per_s, MIN_RATE_PER_S)
        self._departures[member.name, member.incarnation] = (now, span_s)

    def remove_past_departures(self, now: float) -> None:
        """Remove the departures whose turns are no longer retained."""
        self._departures = {
            member: (at, span_s)
            for member, (at, span_s) in self._departures.items()
            if now < at + TURN_RETENTION_FACTOR * span_s
        }

    def takeover_wait_s(self, now: float, key: str, stored: Binding | None) -> float:
        """Return the seconds until a removed owner's session may be taken over; a result of 0 uses a token.

        The turn of each such session follows from its key. The turns are spread so that the fleet migrates no
        more sessions per second than its budget, whichever server receives the requests. For an owner whose
        load was unknown there are no turns, but a token bucket with this server's share of that budget.
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
