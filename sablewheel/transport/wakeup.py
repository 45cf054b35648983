"""A timer for a state machine without I/O, which sets the time of its next call."""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from .scheduler import Scheduler, Timer

RETRY_AFTER_FAULT_S = 0.25


class Wakeup:
    """Calls `on_wakeup` at the time set last, or earlier.

    A timer that is already set for an earlier time is not changed, so `on_wakeup` may find nothing due.

    Args:
        clock: Returns the time in seconds, on the same scale as `set`.
        min_delay_s: The shortest delay in seconds, so that a time in the past does not keep the loop busy.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Callable[[], float],
        on_wakeup: Callable[[], None],
        min_delay_s: float = 0.001,
    ) -> None:
        self._scheduler, self._clock, self._on_wakeup = scheduler, clock, on_wakeup
        self._min_delay_s = min_delay_s
        self._timer: Timer | None = None
        self._timer_set_for = 0.0

    def set(self, wake_at: float) -> None:
        """Set the time of the next call; infinity sets none."""
        if wake_at == inf or (self._timer is not None and self._timer_set_for <= wake_at):
            return
        self.cancel()
        self._timer_set_for = wake_at
        self._timer = self._scheduler.after(max(wake_at - self._clock(), self._min_delay_s), self._fire)

    def cancel(self) -> None:
        """Cancel the call that is set, if any."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _fire(self) -> None:
        self._timer = None
        try:
            self._on_wakeup()
        except Exception:
            # Otherwise the machine would not be called again. Without a delay, a persistent error would keep
            # the loop busy.
            self.set(self._clock() + RETRY_AFTER_FAULT_S)
            raise
