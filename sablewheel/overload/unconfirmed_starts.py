"""Runs whose start is unconfirmed: the command was written to a connection that broke, and may be lost.

Such a run may be running, so it counts against the limits of cores and memory, and its key stays reserved. It
may also never have started, and then its end is never reported. So it takes no credit, and its end is awaited
only for a limited time.

Once its client no longer waits, its command may be sent again safely: the interpreter does not start a run
for it, and its reply shows whether the run is still running.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from .interface import Request


@dataclass(slots=True)
class _Wait:
    """The wait for the end of one run.

    Attributes:
        query_at: When to query whether the run is still running, or, before `seen_answered`, to check whether
            its request is answered; infinite after the query.
        until: When to stop waiting for its end.
        seen_answered: Whether a check found the request answered; `query_at` counts from that check.
    """

    query_at: float
    until: float
    seen_answered: bool = False


class UnconfirmedStarts:
    """The runs with an unconfirmed start, and how long the end of each is awaited.

    Invariant: no run stays here longer than its client's timeout plus the longest timeout of any class.
    """

    def __init__(self) -> None:
        self._waits: dict[Request, _Wait] = {}

    def __len__(self) -> int:
        return len(self._waits)

    def add(self, request: Request, now: float, max_timeout_s: float) -> None:
        """Await the end of a run until its client's timeout plus `max_timeout_s`.

        `max_timeout_s` is the longest timeout of any class, in seconds: the result of a run that is later
        than this is of no use, and the slack of the guards covers another run beside it.
        """
        if request in self._waits:
            return
        client_timeout_at = max(request.arrived_at + request.request_class.timeout_s, now)
        query_at = max(client_timeout_at, request.deadline)
        self._waits[request] = _Wait(query_at, client_timeout_at + max_timeout_s)

    def discard(self, request: Request) -> None:
        """Remove a run whose start is confirmed or that has ended."""
        self._waits.pop(request, None)

    def take_to_query(self, now: float, answer_slack_s: float) -> list[Request]:
        """Return the runs to query now; each run is returned once.

        `answer_slack_s` is how long an answer may need to reach its client. It counts from the check, after
        the client's timeout, that found the request answered: after a stall of this server the answer is sent
        only then, and the interpreter would start a run for a request that has no answer yet.
        """
        due: list[Request] = []
        for request, wait in self._waits.items():
            if wait.query_at > now:
                continue
            if wait.seen_answered:
                due.append(request)
                wait.query_at = inf
            else:
                wait.seen_answered = request.answered
                wait.query_at = now + answer_slack_s
        return due

    def take_overdue(self, now: float) -> list[Request]:
        """Remove and return the runs whose end is no longer awaited."""
        overdue = [request for request, wait in self._waits.items() if wait.until <= now]
        for request in overdue:
            del self._waits[request]
        return overdue

    @property
    def next_due(self) -> float:
        """The earliest time of a query, a check or the end of a wait; infinite if there is none."""
        return min((min(wait.query_at, wait.until) for wait in self._waits.values()), default=inf)
