"""The server's clock, the only module of the server that asks the system for the time of day.

Deadlines, windows and delays are measured with the monotonic clock, which cannot be set. The wall clock may
be stepped by an hour either way. It is used only to convert clients' timestamps (`from_unix`) and to write
records that people read (`to_unix`).
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from math import inf

# The wall clock counts as stepped if it deviates from the monotonic clock by more than MIN_STEP_S plus
# MAX_SLEW_RATIO times the time since the last reading.
MIN_STEP_S = 0.02
MAX_SLEW_RATIO = 0.001
MAX_READING_S = 0.001  # longest time between readings of both clocks that can be compared
MAX_TIMESTAMP_AGE_S = 60.0
MAX_EARLIER_SETTINGS = 16


@dataclass(frozen=True, slots=True)
class WallClockSetting:
    """The offset of the wall clock during a past period.

    Attributes:
        offset_s: By how much the wall clock was ahead of this program's clock.
        since: The start of the period, on this program's clock.
        until: The end of the period, on this program's clock.
    """

    offset_s: float
    since: float
    until: float


class Clock:
    """A clock in seconds that never goes back, stops or jumps.

    It equals the Unix time when it is created, and follows the monotonic clock from then on. A step of the
    wall clock is detected at the next reading. A timestamp that was made before a step and is converted after
    it is recognized by the period into which it falls.

    Attributes:
        now: The last reading.
    """

    def __init__(self) -> None:
        monotonic = time.monotonic()
        self._origin = time.time() - monotonic
        self.now = self._origin + monotonic
        self._offset_s = 0.0  # by how much the wall clock is ahead of this clock
        self._set_at = -inf  # when the wall clock was stepped to its present offset
        self._earlier_settings: deque[WallClockSetting] = deque(maxlen=MAX_EARLIER_SETTINGS)  # newest first
        self._compared_at = self.now

    def read(self) -> float:
        """Read the clock and return the time."""
        before = time.monotonic()
        unix = time.time()
        after = time.monotonic()
        self.now = self._origin + after
        if after - before <= MAX_READING_S:  # else the process was suspended between the two readings
            self._compare(unix - (self._origin + before))
        return self.now

    def _compare(self, offset_s: float) -> None:
        since, self._compared_at = self._compared_at, self.now
        if abs(offset_s - self._offset_s) > MIN_STEP_S + MAX_SLEW_RATIO * (self.now - since):
            # The step was at an unknown time between the two readings, so both settings cover that time.
            self._earlier_settings.appendleft(WallClockSetting(self._offset_s, self._set_at, self.now))
            self._set_at = since
        self._offset_s = offset_s

    def to_unix(self, moment: float) -> float:
        """Convert a time of this clock to Unix time, by the present setting of the wall clock."""
        return moment + self._offset_s

    def from_unix(self, timestamp: float) -> float:
        """Convert Unix time to a time of this clock, by the wall clock's setting that fits the timestamp.

        A setting fits a timestamp that falls into the period of that setting. If an earlier setting and the
        present one both fit, as for some seconds after a step back, the present one is used. A timestamp that
        fits none may come from a clock that was not stepped with this machine's clock: then the first setting
        is used by which it is not too old. Otherwise the present setting is used.
        """
        self.read()  # the wall clock may have been stepped since the last reading
        present = timestamp - self._offset_s
        if not self._earlier_settings or self._set_at <= present <= self.now + MIN_STEP_S:
            return present
        moments = [(timestamp - setting.offset_s, setting) for setting in self._earlier_settings]
        fitting = [moment for moment, setting in moments if setting.since <= moment <= setting.until]
        recent = [
            moment
            for moment in (*fitting, present, *(moment for moment, _ in moments))
            if self.now - MAX_TIMESTAMP_AGE_S < moment <= self.now + MIN_STEP_S
        ]
        return recent[0] if recent else present
