"""Background work beside requests: which periodic_task may do its next small step, and when. Pure.

A periodic_task has a priority, a share of the time that it may take on average, and steps of a millisecond or
so. In a round that carried requests nothing is done, but for a periodic_task that has waited too long
already: it has one step.
"""

from __future__ import annotations

from dataclasses import dataclass

SAVED_MOST = 0.05  # seconds of its budget that a periodic_task may save up


@dataclass
class PeriodicTask:
    """`share`: of one core, 0 to 1. `starved`: seconds after which it gets a step in spite of requests.

    Invariant: over any span it takes at most `share` of the span, and `SAVED_MOST` and one step more.
    """

    name: str
    priority: int
    share: float
    starved: float = 0.25
    budget: float = SAVED_MOST
    wanted_since: float = 0.0  # 0: it has nothing to do
    steps: int = 0
    took: float = 0.0


class PeriodicScheduler:
    """Chooses; whoever does the work tells what it took."""

    def __init__(self) -> None:
        self._periodic_tasks: list[PeriodicTask] = []
        self._refilled = 0.0

    def add(self, periodic_task: PeriodicTask) -> None:
        self._periodic_tasks.append(periodic_task)
        self._periodic_tasks.sort(key=lambda one: one.priority)

    def want(self, periodic_task: PeriodicTask, now: float) -> None:
        periodic_task.wanted_since = periodic_task.wanted_since or now

    @property
    def wanted(self) -> bool:
        return any(one.wanted_since for one in self._periodic_tasks)

    def choose(self, now: float, busy: bool) -> PeriodicTask | None:
        """The periodic_task whose step is next; None if all that want one must wait."""
        span = max(now - self._refilled, 0.0)
        self._refilled = now
        for one in self._periodic_tasks:
            one.budget = min(one.budget + span * one.share, SAVED_MOST)
        for one in self._periodic_tasks:
            if one.wanted_since and one.budget > 0 and (not busy or now - one.wanted_since >= one.starved):
                return one
        return None

    def done(self, periodic_task: PeriodicTask, now: float, took: float, more: bool) -> None:
        """A step took so long; `more`: whether another is wanted."""
        periodic_task.budget -= took
        periodic_task.took += took
        periodic_task.steps += 1
        periodic_task.wanted_since = now if more else 0.0

    def again_in(self, now: float, busy: bool) -> float | None:
        """Seconds until some periodic_task may have its step; None if none wants one."""
        spans = [
            max(
                -one.budget / one.share if one.budget <= 0 else 0.0,
                one.wanted_since + one.starved - now if busy else 0.0,
                0.0,
            )
            for one in self._periodic_tasks
            if one.wanted_since
        ]
        return min(spans) if spans else None
