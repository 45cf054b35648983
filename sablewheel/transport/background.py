"""Runs background tasks at the end of a round of the event loop, after the work for requests."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from .periodic import PeriodicScheduler, PeriodicTask
from .scheduler import Scheduler, Timer

MAX_ROUND_TIME_S = 0.002  # run time of all steps in a round without requests
MIN_RECHECK_S = 0.01  # until a round for background tasks only; more frequent rounds would be a load

log = logging.getLogger(__name__)


class Background:
    """The background tasks of one scheduler.

    Args:
        batch_count: Returns a number that changes with each round that handled requests.
    """

    def __init__(self, scheduler: Scheduler, batch_count: Callable[[], int]) -> None:
        self._scheduler, self._batch_count = scheduler, batch_count
        self._last_count = -1
        self._periodic_scheduler = PeriodicScheduler()
        self._steps: dict[str, Callable[[], bool]] = {}
        self._timer: Timer | None = None

    def add(self, name: str, priority: int, share: float, step: Callable[[], bool]) -> PeriodicTask:
        """Add a task; `step` does a small unit of work and returns whether there is more to do now."""
        task = PeriodicTask(name, priority, share)
        self._periodic_scheduler.add(task)
        self._steps[name] = step
        return task

    def request_step(self, task: PeriodicTask) -> None:
        """Request a step of a task."""
        self._periodic_scheduler.request_step(task, self._scheduler.clock.now)

    def end_round(self) -> None:
        """Run the steps for which there is time, and set a timer for the others."""
        if not self._periodic_scheduler.has_pending:
            return
        count = self._batch_count()
        busy, self._last_count = count != self._last_count, count
        now = self._scheduler.clock.now
        self._run_steps(now, busy)
        delay_s = self._periodic_scheduler.next_step_in_s(now, busy=False)
        if delay_s is not None:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self._scheduler.after(max(delay_s, MIN_RECHECK_S), lambda: None)

    def _run_steps(self, now: float, busy: bool) -> None:
        round_started = time.perf_counter()
        while (task := self._periodic_scheduler.choose(now, busy)) is not None:
            started = time.perf_counter()
            more = self._run_step(task)
            ended = time.perf_counter()
            self._periodic_scheduler.record_step(task, now, ended - started, more)
            if busy or ended - round_started > MAX_ROUND_TIME_S:
                return

    def _run_step(self, task: PeriodicTask) -> bool:
        try:
            return self._steps[task.name]()
        except Exception:
            log.exception("background task ended by a fault", extra={"pairs": {"task": task.name}})
            return False
