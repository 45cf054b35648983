"""Runs whose start is unconfirmed: the command was written to a connection that broke, and may be lost.

Such a run may go on like any other, so it counts against what the cores and the memory survive, and its key
stays reserved. It may as well never have started, and then its end is never reported. So it takes no credit,
and its end is not awaited for ever.

Once its client no longer waits, its command may be written again without harm: it begins nothing, and its
answer tells whether the run goes on.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from .interface import Request


@dataclass(slots=True)
class _Wait:
    """How the end of one run is awaited.

    Attributes:
        query_at: When to query whether the run goes on, or to see whether its request is answered; infinite
            once it was queried.
        until: Until when to await its end.
        seen_answered: Whether its request was seen to be answered, and `query_at` counts from then.
    """

    query_at: float
    until: float
    seen_answered: bool = False


class UnconfirmedStarts:
    """The runs concerned, and until when the end of each is awaited.

    Invariant: no run stays here past its client's timeout and the longest timeout after that.
    """

    def __init__(self) -> None:
        self._waits: dict[Request, _Wait] = {}

    def __len__(self) -> int:
        return len(self._waits)

    def add(self, request: Request, now: float, max_timeout_s: float) -> None:
        """Await the end of a run until its client's timeout and `max_timeout_s` seconds more.

        `max_timeout_s` is the longest timeout of any class: a run that is so late serves nobody, and another
        one beside it is within the slack of the guards.
        """
        if request in self._waits:
            return
        client_timeout_at = max(request.arrived_at + request.request_class.timeout_s, now)
        query_at = max(client_timeout_at, request.deadline)
        self._waits[request] = _Wait(query_at, client_timeout_at + max_timeout_s)

    def discard(self, request: Request) -> None:
        """Remove a run that is known to have started, or is over."""
        self._waits.pop(request, None)

    def take_to_query(self, now: float, answer_slack_s: float) -> list[Request]:
        """Return the runs that are to be queried, each once.

        `answer_slack_s` is how long an answer may need to reach its client. It counts from when the request
        was seen to be answered, past its client's timeout: after a stall of this server the answer goes out
        only then, and the interpreter would start a run of a request that is not over.
        """
        to_query: list[Request] = []
        for request, wait in self._waits.items():
            if wait.query_at > now:
                continue
            if wait.seen_answered:
                to_query.append(request)
                wait.query_at = inf
            else:
                wait.seen_answered = request.answered
                wait.query_at = now + answer_slack_s
        return to_query

    def take_overdue(self, now: float) -> list[Request]:
        """Remove and return the runs whose end is awaited no longer."""
        overdue = [request for request, wait in self._waits.items() if wait.until <= now]
        for request in overdue:
            del self._waits[request]
        return overdue

    @property
    def next_due(self) -> float:
        """When the first of them is to be queried or becomes overdue; infinite if there is none."""
        return min((min(wait.query_at, wait.until) for wait in self._waits.values()), default=inf)
