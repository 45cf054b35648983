"""The one place that asks the system for the time.

Deadlines, windows and delays are spans of real time, so they go by the monotonic clock, which nobody can set.
The wall clock may be stepped by an hour either way. It is used only where clients' timestamps are read
(`from_unix`) and where records are written that people read (`to_unix`).
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from math import inf

# The wall clock was stepped if it left the monotonic one by more than the sum of both.
MIN_STEP_S = 0.02
MAX_SLEW_RATIO = 0.001  # of the time since the last reading
MAX_READING_S = 0.001  # between two readings that can still be compared
MAX_TIMESTAMP_AGE_S = 60.0
MAX_EARLIER_SETTINGS = 16


@dataclass(frozen=True, slots=True)
class WallClockSetting:
    """How the wall clock was set for a while.

    Attributes:
        offset_s: How far it was ahead of this program's clock.
        since: When that began, on this program's clock.
        until: When that ended.
    """

    offset_s: float
    since: float
    until: float


class Clock:
    """Seconds that never go back, stand still or jump.

    It equals the Unix time when it is made, and runs with the monotonic clock from then on. A step of the
    wall clock is found at the next reading. Timestamps made before a step and read after it are told by where
    they fall.

    Attributes:
        now: The last reading.
    """

    def __init__(self) -> None:
        monotonic = time.monotonic()
        self._origin = time.time() - monotonic
        self.now = self._origin + monotonic
        self._offset_s = 0.0  # of the wall clock, ahead of this one
        self._set_at = -inf  # when the wall clock was stepped to its present setting
        self._earlier: deque[WallClockSetting] = deque(maxlen=MAX_EARLIER_SETTINGS)  # newest first
        self._compared_at = self.now

    def read(self) -> float:
        """Read the clock anew and return the time."""
        before = time.monotonic()
        unix = time.time()
        after = time.monotonic()
        self.now = self._origin + after
        if after - before <= MAX_READING_S:  # else this process stood still between the two
            self._compare(unix - (self._origin + before))
        return self.now

    def _compare(self, offset_s: float) -> None:
        since, self._compared_at = self._compared_at, self.now
        if abs(offset_s - self._offset_s) > MIN_STEP_S + MAX_SLEW_RATIO * (self.now - since):
            # It was stepped at some moment between the two readings, so that time belongs to both settings.
            self._earlier.appendleft(WallClockSetting(self._offset_s, self._set_at, self.now))
            self._set_at = since
        self._offset_s = offset_s

    def to_unix(self, moment: float) -> float:
        """Return the wall clock's time, by its present setting, at a time of this clock."""
        return moment + self._offset_s

    def from_unix(self, timestamp: float) -> float:
        """Return the time of this clock when the wall clock showed `timestamp`, by the setting that fits.

        A setting fits a timestamp that falls into the time for which it held. Where an earlier one and the
        present one both fit, as for some seconds after a step back, the present one counts. A timestamp that
        fits none may come from a clock that was not stepped along: then any setting counts by which it is not
        too old. Else it is read by the present one.
        """
        self.read()  # the wall clock may have been stepped since the last reading
        present = timestamp - self._offset_s
        if not self._earlier or self._set_at <= present <= self.now + MIN_STEP_S:
            return present
        moments = [(timestamp - setting.offset_s, setting) for setting in self._earlier]
        fitting = [moment for moment, setting in moments if setting.since <= moment <= setting.until]
        recent = [
            moment
            for moment in (*fitting, present, *(moment for moment, _ in moments))
            if self.now - MAX_TIMESTAMP_AGE_S < moment <= self.now + MIN_STEP_S
        ]
        return recent[0] if recent else present
