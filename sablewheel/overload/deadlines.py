"""Deadlines: the times at which requests time out."""

from __future__ import annotations

from heapq import heappop, heappush
from math import inf

from .interface import Request


class Deadlines:
    """A heap of the times at which requests time out: in the queue, before a call, or overall.

    Entries are not removed when a request is answered; they are discarded when they reach the top.

    Invariant: no two entries have the same time and sequence number, so requests are never compared.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Request]] = []
        self._sequence = 0

    def add(self, due_at: float, request: Request) -> None:
        """Add a due time; entries with equal times are returned in the order of insertion."""
        self._sequence += 1
        heappush(self._heap, (due_at, self._sequence, request))

    def add_queue_timeout(self, due_at: float, request: Request) -> None:
        """Add the queue timeout of the request added last; it precedes other entries with the same time."""
        heappush(self._heap, (due_at, -self._sequence, request))

    def pop_due(self, now: float) -> Request | None:
        """Remove and return the first request if it is due or answered; otherwise return None."""
        heap = self._heap
        if heap and (heap[0][0] <= now or heap[0][2].answered):
            return heappop(heap)[2]
        return None

    def bring_forward(self, latest: float) -> None:
        """Set all deadlines after `latest` to `latest`."""
        for request in {entry[2]: None for entry in self._heap}:
            if request.deadline > latest:
                request.deadline = latest
                self.add(latest, request)

    @property
    def next_due(self) -> float:
        """The earliest due time; infinite if there is none."""
        return self._heap[0][0] if self._heap else inf
