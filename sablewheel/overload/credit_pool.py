"""The credit pool: limits concurrent runs by additive increase and multiplicative decrease."""

from __future__ import annotations

from .context import DecisionContext

MIN_GAIN_RATIO = 0.1  # t_e of the paper: extra answers per extra start that still count as a gain
MAX_DROP_RATIO = 1.0  # t_d of the paper: drops per started request
MULTIPLICATIVE_DECREASE = 0.02
ADDITIVE_INCREASE = 0.01  # credits per core and iteration
RESPONSE_TIMES_PER_ITERATION = 4


class CreditPool:
    """The Protego iteration: the pool grows while more starts yield more answers, and shrinks otherwise.

    Invariant: after each iteration the credit lies between the cores and the given maximum, unless that is
    below the cores. The counts cover the current iteration; `_last_*` hold those of the previous one.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.credit = float(context.settings.cores)
        self.started = self.completed = self.drops = 0
        self._last_started = self._last_completed = 0
        self.next_iteration_at = 0.0

    def undo_start(self) -> None:
        """Undo the start of a request that never ran."""
        self.started = max(self.started - 1, 0)

    def iterate(self, max_credit: float, response_s: float) -> float:
        """Adjust the credit by the counts of the current iteration, and begin the next one.

        Args:
            max_credit: Number of running requests that cores and memory sustain.
            response_s: The median response time in seconds.

        Returns:
            The duration of the next iteration in seconds.
        """
        settings = self._context.settings
        started_change = self.started - self._last_started
        completed_change = self.completed - self._last_completed
        if self.drops > MAX_DROP_RATIO * self.started:
            self.credit *= 1 - MULTIPLICATIVE_DECREASE
        elif started_change * completed_change > 0 and abs(completed_change) > MIN_GAIN_RATIO * abs(
            started_change
        ):
            self.credit += ADDITIVE_INCREASE * settings.cores
        else:
            self.credit *= 1 - MULTIPLICATIVE_DECREASE
        self.credit = min(max(self.credit, settings.cores), max_credit)
        self._last_started, self._last_completed = self.started, self.completed
        self.started = self.completed = self.drops = 0
        interval_s = max(RESPONSE_TIMES_PER_ITERATION * response_s, self._context.min_interval_s)
        self.next_iteration_at = self._context.now + interval_s
        return interval_s
