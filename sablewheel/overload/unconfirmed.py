"""Runs whose start is unconfirmed: the command was written to a link that broke, and may not have been read.

Such a run may go on like any other, so it counts against what the cores and the memory survive, and its key
stays taken. But it may as well never have begun, and then no end will ever be told. So it takes no place in
the credit pool, and it is not waited for without end.
"""

from __future__ import annotations

from math import inf

from ..terms import Ticket


class UnconfirmedStarts:
    """The requests concerned, and until when each one's end is waited for (seconds of the caller's clock)."""

    def __init__(self) -> None:
        self._until: dict[Ticket, float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def add(self, ticket: Ticket, now: float, longest: float) -> None:
        """Wait for its end until its caller's time is up and `longest` seconds more.

        `longest` is the longest deadline of any class: a run that is so late serves nobody, and another one
        beside it is within the slack of the guards.
        """
        deadline = max(ticket.arrived + ticket.track.abandon, now)
        self._until.setdefault(ticket, deadline + longest)

    def discard(self, ticket: Ticket) -> None:
        """It is known to have begun, or it is over."""
        self._until.pop(ticket, None)

    def take_overdue(self, now: float) -> list[Ticket]:
        """Those to be waited for no longer, which are forgotten here."""
        overdue = [ticket for ticket, until in self._until.items() if until <= now]
        for ticket in overdue:
            del self._until[ticket]
        return overdue

    @property
    def next_due(self) -> float:
        """When the first of them is to be waited for no longer; infinite if there is none."""
        return min(self._until.values(), default=inf)
