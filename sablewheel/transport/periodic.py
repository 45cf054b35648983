"""Background tasks beside requests: which task may do its next small step, and when. Does no I/O.

A task has a priority, a share of one core that it may use on average, and steps of a millisecond or so. In a
round that carried requests no step is done, but for one of a task that has waited too long.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_BUDGET_S = 0.05  # that a task may save up


@dataclass
class PeriodicTask:
    """One task. Over any span it uses at most `share` of the span, `MAX_BUDGET_S` and one step more.

    Attributes:
        priority: The lowest goes first.
        share: Of one core, 0 to 1.
        max_wait_s: After so long it gets a step in spite of requests.
        budget_s: The time that it may use now.
        wanted_since: When it asked for a step; 0 if it has nothing to do.
        run_time_s: Of all its steps.
    """

    name: str
    priority: int
    share: float
    max_wait_s: float = 0.25
    budget_s: float = MAX_BUDGET_S
    wanted_since: float = 0.0
    steps: int = 0
    run_time_s: float = 0.0


class PeriodicScheduler:
    """Chooses the tasks; the caller runs them and reports how long they took."""

    def __init__(self) -> None:
        self._tasks: list[PeriodicTask] = []
        self._refilled_at = 0.0

    def add(self, task: PeriodicTask) -> None:
        """Add a task."""
        self._tasks.append(task)
        self._tasks.sort(key=lambda task: task.priority)

    def want(self, task: PeriodicTask, now: float) -> None:
        """Ask for a step of a task."""
        task.wanted_since = task.wanted_since or now

    @property
    def wanted(self) -> bool:
        """Whether any task asked for a step."""
        return any(task.wanted_since for task in self._tasks)

    def choose(self, now: float, busy: bool) -> PeriodicTask | None:
        """Return the task whose step is next, or None if all must wait.

        Args:
            now: The time in seconds.
            busy: Whether the round carried requests.
        """
        elapsed_s = max(now - self._refilled_at, 0.0)
        self._refilled_at = now
        for task in self._tasks:
            task.budget_s = min(task.budget_s + elapsed_s * task.share, MAX_BUDGET_S)
        for task in self._tasks:
            may_run = not busy or now - task.wanted_since >= task.max_wait_s
            if task.wanted_since and task.budget_s > 0 and may_run:
                return task
        return None

    def done(self, task: PeriodicTask, now: float, run_time_s: float, more: bool) -> None:
        """Note the time that a step took, and whether the task has more to do."""
        task.budget_s -= run_time_s
        task.run_time_s += run_time_s
        task.steps += 1
        task.wanted_since = now if more else 0.0

    def next_step_in_s(self, now: float, busy: bool) -> float | None:
        """Return the time until a task may have its step; None if none wants one."""
        waits_s = [
            max(
                -task.budget_s / task.share if task.budget_s <= 0 else 0.0,
                task.wanted_since + task.max_wait_s - now if busy else 0.0,
                0.0,
            )
            for task in self._tasks
            if task.wanted_since
        ]
        return min(waits_s) if waits_s else None
