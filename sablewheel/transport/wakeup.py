"""One timer for a pure core: it rings at the core's next wake, and what comes sooner moves it forward."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from .scheduler import Scheduler, Timer

FAULT_REST = 0.25  # until the next ring after one that faulted, or sooner as it set


class Wake:
    """Rings `ring` at the moment set last, or sooner; times are those of `clock`, seconds.

    A timer that is set for sooner is left, and its ring finds nothing due. Never sooner than `least`:
    guards the scheduler against a core whose wake lies behind.
    """

    def __init__(
        self, scheduler: Scheduler, clock: Callable[[], float], ring: Callable[[], None], least: float = 0.001
    ) -> None:
        self._scheduler, self._clock, self._ring, self._least = scheduler, clock, ring, least
        self._timer: Timer | None = None
        self._at = 0.0

    def set(self, wake: float) -> None:
        """The core's next wake; infinity is none."""
        if wake == inf or (self._timer is not None and self._at <= wake):
            return
        self.cancel()
        self._at = wake
        self._timer = self._scheduler.after(max(wake - self._clock(), self._least), self._rung)

    def cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _rung(self) -> None:
        self._timer = None
        try:
            self._ring()
        except Exception:
            # Nobody else would ring a core that heard nothing; sooner, a lasting fault would be the load.
            self.set(self._clock() + FAULT_REST)
            raise
