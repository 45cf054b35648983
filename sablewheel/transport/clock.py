"""The one place that asks the system for the time.

Deadlines, windows, waits and graces are spans of real time, so they go by the monotonic clock, which nobody
can set. The wall clock may be stepped by an hour either way. It enters where callers' stamps come in
(`from_unix`) and where a record leaves that people read (`to_unix`), and no_retry_elsewhere else.
"""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass
from math import inf

STEP_LEAST = 0.02  # seconds by which the wall clock must leave the monotonic one to count as stepped...
SLEW_MOST = 0.001  # ...and this share of the time since the last reading, by which it may be slewed
READING_MOST = 0.001  # seconds between two readings that still tell how far the clocks are apart
STAMP_AGE_MOST = 60.0  # seconds that a stamp may be old when it comes in
STEPS_KEPT = 16


@dataclass(frozen=True, slots=True)
class Setting:
    """How the wall clock was set for a while: `offset` ahead of this clock, from `since` to `until` on it."""

    offset: float
    since: float
    until: float


class Clock:
    """Seconds that never go back, never stand and never jump.

    `now` is the last reading. It equals the Unix time when the clock is made and runs with the monotonic
    clock from then on. A step of the wall clock is found at the next reading; stamps made before it and read
    after it are told by where they fall.
    """

    def __init__(self) -> None:
        monotonic = time.monotonic()
        self._origin = time.time() - monotonic
        self.now = self._origin + monotonic
        self._offset = 0.0  # of the wall clock, ahead of this one
        self._set_at = -inf  # when the wall clock was stepped to what it is
        self._earlier: deque[Setting] = deque(maxlen=STEPS_KEPT)  # newest first
        self._compared = self.now  # when the two were last compared

    def read(self) -> float:
        """Read it anew."""
        before = time.monotonic()
        unix = time.time()
        after = time.monotonic()
        self.now = self._origin + after
        if after - before <= READING_MOST:  # else this process stood still between the two
            self._compare(unix - (self._origin + before))
        return self.now

    def _compare(self, offset: float) -> None:
        since, self._compared = self._compared, self.now
        if abs(offset - self._offset) > STEP_LEAST + SLEW_MOST * (self.now - since):
            # It was stepped at some moment between the two readings, which both settings take for theirs.
            self._earlier.appendleft(Setting(self._offset, self._set_at, self.now))
            self._set_at = since
        self._offset = offset

    def to_unix(self, moment: float) -> float:
        """What the wall clock, as it is set now, says of a moment of this clock."""
        return moment + self._offset

    def from_unix(self, stamp: float) -> float:
        """The moment at which the wall clock of this machine said `stamp`, by the setting that fits.

        A setting fits a stamp that falls into the time in which it held. Where an earlier one and the present
        one both fit, as for some seconds after a step back, the present one counts. One that fits none may
        come from a clock that was not stepped along: then any setting counts by which it is not too old.
        Else it is read by the present one.
        """
        self.read()  # the wall clock may have been stepped since the last reading
        present = stamp - self._offset
        if not self._earlier or self._set_at <= present <= self.now + STEP_LEAST:
            return present
        moments = [(stamp - setting.offset, setting) for setting in self._earlier]
        fitting = [moment for moment, setting in moments if setting.since <= moment <= setting.until]
        recent = [
            moment
            for moment in (*fitting, present, *(moment for moment, _ in moments))
            if self.now - STAMP_AGE_MOST < moment <= self.now + STEP_LEAST
        ]
        return recent[0] if recent else present
