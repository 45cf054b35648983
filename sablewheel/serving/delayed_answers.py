"""Delays completed answers, each for a bounded time, until their records are durable."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..transport.scheduler import Scheduler
from .exchange import Caller, Exchange

DEADLINE_MARGIN_S = 0.02  # a delayed answer is released this long before its request's deadline


@dataclass(slots=True, eq=False)
class DelayedAnswer:
    """One answer; `mark` is the position in the log that must be durable before it is sent."""

    mark: int
    release_at: float
    exchange: Exchange
    result: bytes
    caller: Caller


class DelayedAnswers:
    """Answers in the order of their marks.

    No answer is delayed longer than `max_delay_s`, nor past its request's deadline, except while it waits for
    the answer before it: a timely answer is more important than its record. `release` is called with each
    answer and with whether it is sent before its mark is durable.
    """

    def __init__(
        self, scheduler: Scheduler, max_delay_s: float, release: Callable[[DelayedAnswer, bool], None]
    ) -> None:
        self._scheduler, self._max_delay_s, self._release = scheduler, max_delay_s, release
        self._answers: deque[DelayedAnswer] = deque()

    def __len__(self) -> int:
        return len(self._answers)

    @property
    def first_mark(self) -> int | None:
        """The mark of the answer that is sent next; None if there is none."""
        return self._answers[0].mark if self._answers else None

    def delay(self, mark: int, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Retain an answer until its mark is durable or its delay has expired."""
        now = self._scheduler.clock.now
        release_at = min(now + self._max_delay_s, max(exchange.request.deadline - DEADLINE_MARGIN_S, now))
        self._answers.append(DelayedAnswer(mark, release_at, exchange, result, caller))
        if len(self._answers) == 1:
            self._scheduler.after(release_at - now, self._release_overdue)

    def durable(self, mark: int) -> None:
        """Release all answers up to this mark."""
        while self._answers and self._answers[0].mark <= mark:
            self._release(self._answers.popleft(), False)

    def release_all(self) -> None:
        """Release all answers, durable or not."""
        while self._answers:
            self._release(self._answers.popleft(), True)

    def _release_overdue(self) -> None:
        now = self._scheduler.clock.now
        while self._answers and self._answers[0].release_at <= now:
            self._release(self._answers.popleft(), True)
        if self._answers:
            self._scheduler.after(self._answers[0].release_at - now, self._release_overdue)
