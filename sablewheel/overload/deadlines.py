"""Deadlines: the times at which requests time out."""

from __future__ import annotations

from math import inf

from .interface import Request
from .pruned_heap import PrunedHeap


class Deadlines:
    """The times at which requests time out: in the queue, before a call, or overall.

    Answered requests are not retained: under a flood that is rejected, they would be most of the memory.
    """

    def __init__(self) -> None:
        self._requests: PrunedHeap[Request] = PrunedHeap(lambda request: request.answered)
        self._sequence = 0

    def add(self, due_at: float, request: Request) -> None:
        """Add a due time; entries with equal times are returned in the order of insertion."""
        self._sequence += 1
        self._requests.push(due_at, self._sequence, request)

    def add_queue_timeout(self, due_at: float, request: Request) -> None:
        """Add the queue timeout of the request added last; it precedes other entries with the same time."""
        self._requests.push(due_at, -self._sequence, request)

    def pop_due(self, now: float) -> Request | None:
        """Remove and return the first request that is due and not answered; None if there is none."""
        return self._requests.pop_due(now)

    def bring_forward(self, latest: float) -> None:
        """Set all deadlines after `latest` to `latest`."""
        for request in dict.fromkeys(self._requests):
            if request.deadline > latest:
                request.deadline = latest
                self.add(latest, request)

    @property
    def next_due(self) -> float:
        """The earliest due time; infinite if there is none."""
        next_due = self._requests.next_due
        return inf if next_due is None else next_due
