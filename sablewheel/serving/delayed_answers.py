"""Completed answers that wait until what was written of them is durable; each for a bounded time."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..transport.scheduler import Scheduler
from .exchange import Caller, Exchange

DUE_SPARE = 0.02  # an answer that waits leaves so long before its request's time is up


class Held:
    """One answer; `mark` is what must be durable before it leaves."""

    __slots__ = ("caller", "due", "exchange", "mark", "result")

    def __init__(self, mark: int, due: float, exchange: Exchange, result: bytes, caller: Caller) -> None:
        self.mark, self.due = mark, due
        self.exchange, self.result, self.caller = exchange, result, caller


class Holding:
    """Answers in the order of their marks. `release` gets each, and whether it leaves ahead of its mark.

    Rule 1 comes before any feature: no answer waits longer than `most`, nor past its own request's time by
    more than the one before it may.
    """

    def __init__(self, scheduler: Scheduler, most: float, release: Callable[[Held, bool], None]) -> None:
        self._scheduler, self._most, self._release = scheduler, most, release
        self._held: deque[Held] = deque()

    def __len__(self) -> int:
        return len(self._held)

    @property
    def first_mark(self) -> int | None:
        return self._held[0].mark if self._held else None

    def hold(self, mark: int, exchange: Exchange, result: bytes, caller: Caller) -> None:
        now = self._scheduler.clock.now
        due = min(now + self._most, max(exchange.request.deadline - DUE_SPARE, now))
        self._held.append(Held(mark, due, exchange, result, caller))
        if len(self._held) == 1:
            self._scheduler.after(due - now, self._release_due)

    def durable(self, mark: int) -> None:
        """All up to this mark may leave."""
        while self._held and self._held[0].mark <= mark:
            self._release(self._held.popleft(), False)

    def let_all_go(self) -> None:
        while self._held:
            self._release(self._held.popleft(), True)

    def _release_due(self) -> None:
        now = self._scheduler.clock.now
        while self._held and self._held[0].due <= now:
            self._release(self._held.popleft(), True)
        if self._held:
            self._scheduler.after(self._held[0].due - now, self._release_due)
