"""When a period closes, by a clock that may be set back or jump; and where what comes late is put. Pure.

A closed period never opens again. The collector closes by its own clock, and only while that clock agrees
with the steady one: after a jump it waits until the new time has held for a while, so that a clock set a year
ahead for a minute closes nothing. Set back, it closes nothing until the time it had reached is reached again.
"""

from __future__ import annotations

from dataclasses import dataclass

from .periods import Period, Periods

MAX_CLOCK_JUMP_S = 30.0  # seconds by which clock and steady clock may part between two looks
BELIEVE_AFTER_S = 300.0  # seconds for which a clock that jumped must go on steadily before it is believed


@dataclass
class PeriodCloser:
    """`closed_through`: all periods that end by then are closed, in microseconds; it only grows."""

    periods: Periods
    closed_through: int = 0
    now: int = 0  # the time that is believed, microseconds; never goes back
    jumped: float = 0.0  # by how much the clock left the steady one, until that is believed
    hold: float = BELIEVE_AFTER_S
    _clock: float = 0.0
    _steady: float = 0.0
    _until: float = 0.0

    def observe_clocks(self, clock: float, steady: float) -> int:
        """A reading of both clocks, in seconds; the time that is believed, in microseconds."""
        if self._steady:
            parted = (clock - self._clock) - (steady - self._steady)
            if abs(parted) > MAX_CLOCK_JUMP_S:
                self.jumped += parted
                self._until = steady + self.hold
        if self.jumped and steady >= self._until:
            self.jumped = 0.0
        self._clock, self._steady = clock, steady
        believed = clock - self.jumped
        self.now = max(self.now, round(believed * 1e6))
        return self.now

    def due(self, period: Period) -> bool:
        """Whether an open period may be closed now."""
        lag = round(self.periods.calendar.lag_s * 1e6)
        return not self.jumped and period.end + lag <= self.now

    def closed(self, period: Period) -> None:
        """Note that a period was closed."""
        self.closed_through = max(self.closed_through, period.end)

    def is_closed(self, period: Period) -> bool:
        """Whether a period was closed."""
        return period.end <= self.closed_through

    def place(self, start: int, end: int) -> tuple[Period, str | None]:
        """Where what belongs to a span of time is posted, and if that is not its own period, the name of it.

        One moment is a span from itself to itself. What belongs to a closed period goes to the open one of
        now; a span that is no single period of this calendar goes there too and keeps its ends as its name.
        """
        own = self.periods.of(start)
        single = end <= own.end
        if single and not self.is_closed(own):
            return own, None
        name = own.name if single else f"{own.name}..{self.periods.of(max(end - 1, start)).name}"
        return self.current_period(), name

    def current_period(self) -> Period:
        """The period of now; never a closed one, wherever the clock disconnected."""
        return self.periods.of(max(self.now, self.closed_through))
