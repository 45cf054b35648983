"""Carries out the periodic_scheduler's periodic_tasks at the end of rounds, after all that requests
needed.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

from .periodic import PeriodicScheduler, PeriodicTask
from .scheduler import Scheduler, Timer

SLICE = 0.002  # seconds of periodic_tasks in one round without requests
LOOK = 0.01  # how soon a round without requests is looked for; sooner would be work by itself

log = logging.getLogger(__name__)


class Background:
    """`moved` tells a number that changes whenever a round carried requests."""

    def __init__(self, scheduler: Scheduler, moved: Callable[[], int]) -> None:
        self._scheduler, self._moved = scheduler, moved
        self._last = -1
        self._periodic_scheduler = PeriodicScheduler()
        self._steps: dict[str, Callable[[], bool]] = {}
        self._wake: Timer | None = None

    def add(self, name: str, priority: int, share: float, step: Callable[[], bool]) -> PeriodicTask:
        """A periodic_task; `step` does one small piece and tells whether there is more to do now."""
        periodic_task = PeriodicTask(name, priority, share)
        self._periodic_scheduler.add(periodic_task)
        self._steps[name] = step
        return periodic_task

    def want(self, periodic_task: PeriodicTask) -> None:
        self._periodic_scheduler.want(periodic_task, self._scheduler.clock.now)

    def end_round(self) -> None:
        if not self._periodic_scheduler.wanted:
            return
        moved = self._moved()
        busy, self._last = moved != self._last, moved
        begun = time.perf_counter()
        now = self._scheduler.clock.now
        while (periodic_task := self._periodic_scheduler.choose(now, busy)) is not None:
            before = time.perf_counter()
            try:
                more = self._steps[periodic_task.name]()
            except Exception:
                log.exception("a chore ended by a fault", extra={"pairs": {"chore": periodic_task.name}})
                more = False
            after = time.perf_counter()
            self._periodic_scheduler.done(periodic_task, now, after - before, more)
            if busy or after - begun > SLICE:
                break
        rest = self._periodic_scheduler.again_in(now, busy=False)
        if rest is not None:
            if self._wake is not None:
                self._wake.cancel()
            self._wake = self._scheduler.after(max(rest, LOOK), lambda: None)
