"""Runs whose start is unconfirmed: the command was written to a connection that broke, and may be lost.

Such a run may go on like any other, so it counts against what the cores and the memory survive, and its key
stays reserved. It may as well never have started, and then its end is never reported. So it takes no credit,
and its end is not awaited for ever.
"""

from __future__ import annotations

from math import inf

from .interface import Request


class UnconfirmedStarts:
    """The runs concerned, and until when the end of each is awaited.

    Invariant: no run stays here past its client's timeout and the longest timeout after that.
    """

    def __init__(self) -> None:
        self._awaited_until: dict[Request, float] = {}

    def __len__(self) -> int:
        return len(self._awaited_until)

    def add(self, request: Request, now: float, max_timeout_s: float) -> None:
        """Await the end of a run until its client's timeout and `max_timeout_s` seconds more.

        `max_timeout_s` is the longest timeout of any class: a run that is so late serves nobody, and another
        one beside it is within the slack of the guards.
        """
        client_timeout_at = max(request.arrived_at + request.request_class.timeout_s, now)
        self._awaited_until.setdefault(request, client_timeout_at + max_timeout_s)

    def discard(self, request: Request) -> None:
        """Remove a run that is known to have started, or is over."""
        self._awaited_until.pop(request, None)

    def take_overdue(self, now: float) -> list[Request]:
        """Remove and return the runs whose end is awaited no longer."""
        overdue = [request for request, until in self._awaited_until.items() if until <= now]
        for request in overdue:
            del self._awaited_until[request]
        return overdue

    @property
    def next_due(self) -> float:
        """When the first of them becomes overdue; infinite if there is none."""
        return min(self._awaited_until.values(), default=inf)
