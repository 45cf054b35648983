"""Requests whose idempotency key another server has claimed, and which wait for the outcome of its run."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..overload.interface import Client, Request
from ..serving.exchange import Caller, Exchange, ExchangeState
from ..transport.scheduler import Scheduler
from .entries import AnswerStatus, Entry, OutcomeStatus, State
from .messages import Answer

INITIAL_POLL_S, MAX_POLL_S = 0.02, 0.25  # time between reads of the outcome; doubles with each read

ReadOutcome = Callable[[bytes, bytes, Callable[[Answer], None]], None]  # key, group, on_answer


@dataclass(eq=False, slots=True)
class WaitingRequests:
    """A request and those coalesced with it on this server, which wait for the same outcome."""

    key: bytes
    group: bytes
    requests: list[tuple[Exchange, Caller]]
    poll_s: float = INITIAL_POLL_S
    unclaimed_reads: int = 0  # reads that found the key unclaimed or released


class RemoteOutcomes:
    """Waits for outcomes of other servers' runs.

    Invariant: each waiting request gets one answer: the outcome's result, a rejection if the claim was
    released, or an error at its deadline, as it may have run.
    """

    def __init__(self, scheduler: Scheduler, count: Callable[[str], None], read_outcome: ReadOutcome) -> None:
        self._scheduler, self._count, self._read_outcome = scheduler, count, read_outcome
        self.waiting_count = 0

    def detach(self, exchange: Exchange, key: bytes, group: bytes) -> WaitingRequests:
        """Detach a request and those coalesced with it from the controller, so that they hold no core."""
        requests = []
        for waiting in [exchange, *exchange.attached_duplicates]:
            caller = waiting.detach()
            if caller is not None:
                requests.append((waiting, caller))
        self.waiting_count += len(requests)
        return WaitingRequests(key, group, requests)

    def wait_for(self, waiting: WaitingRequests, entry: Entry, deadline: float) -> None:
        """Answer from the entry if it has an outcome, else poll for an outcome until the deadline."""
        if entry.state is State.COMPLETED:
            return self._answer(waiting, entry)
        remaining_s = max(deadline - self._scheduler.clock.now, 0.0)
        self._scheduler.after(remaining_s, lambda: self._answer(waiting, None))
        self._scheduler.after(min(INITIAL_POLL_S, remaining_s), lambda: self._poll(waiting))

    def _poll(self, waiting: WaitingRequests) -> None:
        if waiting.requests:
            self._read_outcome(waiting.key, waiting.group, lambda answer: self._on_read(waiting, answer))

    def _on_read(self, waiting: WaitingRequests, answer: Answer) -> None:
        if answer.status is AnswerStatus.KNOWN:
            return self._answer(waiting, answer.entry)
        state = answer.entry.state
        if answer.status is AnswerStatus.READ and state in (State.UNCLAIMED, State.RELEASED):
            waiting.unclaimed_reads += 1
            if waiting.unclaimed_reads > 1 or state is State.RELEASED:
                return self._reject_released(waiting)
        waiting.poll_s = min(2 * waiting.poll_s, MAX_POLL_S)
        self._scheduler.after(waiting.poll_s, lambda: self._poll(waiting))

    def _take_requests(self, waiting: WaitingRequests) -> list[tuple[Exchange, Caller]]:
        requests, waiting.requests = waiting.requests, []
        self.waiting_count -= len(requests)
        return requests

    def _reject_released(self, waiting: WaitingRequests) -> None:
        """Reject requests whose claim was released without a run, so that a retry can run."""
        for exchange, caller in self._take_requests(waiting):
            self._count("replication_let_go")
            exchange.observer.rejected(exchange)
            caller.rejected(exchange, MAX_POLL_S, False)

    def _answer(self, waiting: WaitingRequests, entry: Entry | None) -> None:
        """Answer with the outcome, or with an error if there is none."""
        requests = self._take_requests(waiting)
        outcome = entry.outcomes[0] if entry is not None else None
        if outcome is None and requests:
            self._count("replication_unknown")
        for exchange, caller in requests:
            if outcome is not None and outcome.status is OutcomeStatus.SUCCEEDED:
                exchange.state, exchange.original = ExchangeState.ATTACHED, _remote_run(exchange)
                exchange.observer.completed(exchange, outcome.result, caller)
                exchange.state, exchange.original = ExchangeState.FINISHED, None
                self._count("replication_answered_from_outcome")
            else:
                exchange.observer.failed(exchange)
                caller.failed(exchange)


def _remote_run(exchange: Exchange) -> Exchange:
    """Return a substitute for the run on the other server; it counts as billed, as it is billed there."""
    request_class, arrived_at = exchange.request.request_class, exchange.request.arrived_at
    request = Request(request_class, Client(), None, arrived_at, 0.0)
    key = exchange.idempotency_key
    run = Exchange(key or b"", exchange.request_class, b"", 0, key, request, None)
    run.billed = True
    return run
