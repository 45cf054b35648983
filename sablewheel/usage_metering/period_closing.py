"""Decide when a period closes, by a clock that may jump, and where late entries are posted. Pure.

A closed period is never reopened. The collector closes periods by its wall clock, and only while that clock
agrees with the monotonic clock. After a jump, the new time must hold for `JUMP_CONFIRMATION_S`, so that a
clock set a year ahead for a minute closes no period. A clock that was set back closes no period until it has
reached the latest accepted time again.
"""

from __future__ import annotations

from dataclasses import dataclass

from .periods import Period, Periods

MAX_CLOCK_JUMP_S = 30.0  # largest difference between the advances of both clocks, per reading
JUMP_CONFIRMATION_S = 300.0  # time without another jump before the new time is accepted


@dataclass
class PeriodCloser:
    """Decides which periods are closed.

    Attributes:
        periods: The calendar's periods.
        closed_through: All periods that end by this time are closed, in microseconds; it never decreases.
        now: The accepted time in microseconds; it never decreases.
        jump_s: The jump of the wall clock that is not accepted yet; 0 if there is none.
        confirmation_s: Time without another jump before a jump is accepted.
    """

    periods: Periods
    closed_through: int = 0
    now: int = 0
    jump_s: float = 0.0
    confirmation_s: float = JUMP_CONFIRMATION_S
    _last_wall_s: float = 0.0
    _last_monotonic_s: float = 0.0
    _confirmed_at_s: float = 0.0

    def observe_clocks(self, wall_s: float, monotonic_s: float) -> int:
        """Take a reading of the wall clock and the monotonic clock, in seconds; return the accepted time."""
        if self._last_monotonic_s:
            drift_s = (wall_s - self._last_wall_s) - (monotonic_s - self._last_monotonic_s)
            if abs(drift_s) > MAX_CLOCK_JUMP_S:
                self.jump_s += drift_s
                self._confirmed_at_s = monotonic_s + self.confirmation_s
        if self.jump_s and monotonic_s >= self._confirmed_at_s:
            self.jump_s = 0.0
        self._last_wall_s, self._last_monotonic_s = wall_s, monotonic_s
        accepted_s = wall_s - self.jump_s
        self.now = max(self.now, round(accepted_s * 1e6))
        return self.now

    def due(self, period: Period) -> bool:
        """Whether an open period may be closed now."""
        lag_us = round(self.periods.calendar.lag_s * 1e6)
        return not self.jump_s and period.end + lag_us <= self.now

    def mark_closed(self, period: Period) -> None:
        """Record that a period was closed."""
        self.closed_through = max(self.closed_through, period.end)

    def is_closed(self, period: Period) -> bool:
        """Whether a period was closed."""
        return period.end <= self.closed_through

    def posting_period(self, start: int, end: int) -> tuple[Period, str | None]:
        """Return the period to post a span of time to, and the name of its own period if that is another one.

        A single moment is a span with equal ends. Entries of a closed period are posted to the current
        period. So is a span that is not within one period of this calendar; its name has its first and last
        period.
        """
        own_period = self.periods.of(start)
        is_single_period = end <= own_period.end
        if is_single_period and not self.is_closed(own_period):
            return own_period, None
        name = (
            own_period.name
            if is_single_period
            else f"{own_period.name}..{self.periods.of(max(end - 1, start)).name}"
        )
        return self.current_period(), name

    def current_period(self) -> Period:
        """Return the period of the accepted time, or the first open one if that period is closed."""
        return self.periods.of(max(self.now, self.closed_through))
