"""Chooses which background task may run its next step, and when. Does no I/O.

A task has a priority, a share of one core that it may use on average, and steps of about a millisecond. In a
round that handled requests, only a task that has waited too long runs a step.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_BUDGET_S = 0.05  # largest run time that an idle task can accumulate


@dataclass
class PeriodicTask:
    """A background task.

    In any period it uses at most `share` of the period, plus `MAX_BUDGET_S` and one step.

    Attributes:
        priority: Tasks with a lower number run first.
        share: The share of one core that it may use on average, 0 to 1.
        max_wait_s: Time after which it gets a step even in a round that handled requests.
        budget_s: The run time that it may use now.
        pending_since: When it requested a step; 0 if it has nothing to do.
        run_time_s: The total run time of its steps.
    """

    name: str
    priority: int
    share: float
    max_wait_s: float = 0.25
    budget_s: float = MAX_BUDGET_S
    pending_since: float = 0.0
    steps: int = 0
    run_time_s: float = 0.0


class PeriodicScheduler:
    """Chooses the next task; the caller runs its step and reports the run time."""

    def __init__(self) -> None:
        self._tasks: list[PeriodicTask] = []
        self._refilled_at = 0.0

    def add(self, task: PeriodicTask) -> None:
        """Add a task."""
        self._tasks.append(task)
        self._tasks.sort(key=lambda task: task.priority)

    def request_step(self, task: PeriodicTask, now: float) -> None:
        """Request a step of a task."""
        task.pending_since = task.pending_since or now

    @property
    def has_pending(self) -> bool:
        """Whether any task has requested a step."""
        return any(task.pending_since for task in self._tasks)

    def choose(self, now: float, busy: bool) -> PeriodicTask | None:
        """Return the task that may run a step now; None if there is none.

        Args:
            now: The time in seconds.
            busy: Whether the round handled requests.
        """
        elapsed_s = max(now - self._refilled_at, 0.0)
        self._refilled_at = now
        for task in self._tasks:
            task.budget_s = min(task.budget_s + elapsed_s * task.share, MAX_BUDGET_S)
        for task in self._tasks:
            may_run = not busy or now - task.pending_since >= task.max_wait_s
            if task.pending_since and task.budget_s > 0 and may_run:
                return task
        return None

    def record_step(self, task: PeriodicTask, now: float, run_time_s: float, more: bool) -> None:
        """Record the run time of a step, and whether the task has more to do."""
        task.budget_s -= run_time_s
        task.run_time_s += run_time_s
        task.steps += 1
        task.pending_since = now if more else 0.0

    def next_step_in_s(self, now: float, busy: bool) -> float | None:
        """Return the seconds until a task may run a step; None if no step is pending."""
        waits_s = [
            max(
                -task.budget_s / task.share if task.budget_s <= 0 else 0.0,
                task.pending_since + task.max_wait_s - now if busy else 0.0,
                0.0,
            )
            for task in self._tasks
            if task.pending_since
        ]
        return min(waits_s) if waits_s else None
