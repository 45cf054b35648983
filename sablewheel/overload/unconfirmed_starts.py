"""Runs whose start is unconfirmed: the command was written to a link that broke, and may not have been read.

Such a run may go on like any other, so it counts against what the cores and the memory survive, and its key
stays taken. But it may as well never have begun, and then no end will ever be told. So it takes no place in
the credit pool, and it is not waited for without end.
"""

from __future__ import annotations

from math import inf

from .interface import Request


class UnconfirmedStarts:
    """The requests concerned, and until when each one's end is waited for (seconds of the caller's clock)."""

    def __init__(self) -> None:
        self._until: dict[Request, float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def add(self, request: Request, now: float, longest: float) -> None:
        """Wait for its end until its caller's time is up and `longest` seconds more.

        `longest` is the longest deadline of any class: a run that is so late serves nobody, and another one
        beside it is within the slack of the guards.
        """
        deadline = max(request.arrived_at + request.request_class.timeout_s, now)
        self._until.setdefault(request, deadline + longest)

    def discard(self, request: Request) -> None:
        """It is known to have begun, or it is over."""
        self._until.pop(request, None)

    def take_overdue(self, now: float) -> list[Request]:
        """Those to be waited for no longer, which are forgotten here."""
        overdue = [request for request, until in self._until.items() if until <= now]
        for request in overdue:
            del self._until[request]
        return overdue

    @property
    def next_due(self) -> float:
        """When the first of them is to be waited for no longer; infinite if there is none."""
        return min(self._until.values(), default=inf)
