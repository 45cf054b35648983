"""The requests that are not finished, and how they are finished."""

from __future__ import annotations

from collections.abc import Callable

from ..overload.interface import Outcome, Request, RunEnded
from ..transport.scheduler import Clock
from .close_reasons import FailureReason
from .exchange import Exchange, ExchangeState
from .outcome_counters import OutcomeCounters


class OpenRequests:
    """Requests that are not answered yet, or still run on the interpreter.

    Attributes:
        ids: The ids of the open requests.
    """

    def __init__(
        self, clock: Clock, outcomes: OutcomeCounters, add_event: Callable[[RunEnded], None]
    ) -> None:
        self.ids: set[bytes] = set()
        self._exchanges: dict[Request, Exchange] = {}
        self._clock, self._outcomes, self._add_event = clock, outcomes, add_event

    def __len__(self) -> int:
        return len(self._exchanges)

    def __contains__(self, request: Request) -> bool:
        return request in self._exchanges

    def add(self, exchange: Exchange) -> None:
        """Add a request."""
        self._exchanges[exchange.request] = exchange
        self.ids.add(exchange.name)

    def get(self, request: Request) -> Exchange | None:
        """Return the exchange of a request; None if it is finished."""
        return self._exchanges.get(request)

    def all(self) -> list[Exchange]:
        """Return the exchanges of all open requests."""
        return list(self._exchanges.values())

    def attach_to_original(self, exchange: Exchange) -> None:
        """Answer with the result of the original once it has ended, which may be at once."""
        if exchange.state is not ExchangeState.QUEUED:
            return
        exchange.state, exchange.attached_at = ExchangeState.ATTACHED, self._clock.now
        original = exchange.original
        if original is None or original.state is ExchangeState.FINISHED:
            self._finish_attached(exchange, original.result if original is not None else None)
        else:
            original.attached_duplicates.append(exchange)

    def fail(self, exchange: Exchange, reason: FailureReason) -> None:
        """Answer with an error, unless the request was answered or cancelled."""
        if not exchange.closed:
            self._outcomes.count_failure(exchange, reason)
        exchange.fail()

    def finish_unless_running(self, exchange: Exchange) -> None:
        """Remove an answered request, unless its run continues."""
        if exchange.state in (ExchangeState.QUEUED, ExchangeState.ATTACHED):
            self.finish(exchange)

    def finish(self, exchange: Exchange, result: bytes | None = None) -> None:
        """Remove a finished request and answer its duplicates; the idempotency table may retain it."""
        exchange.state = ExchangeState.FINISHED
        exchange.body, exchange.original = b"", None
        if self._exchanges.pop(exchange.request, None) is not None:
            self.ids.discard(exchange.name)
        duplicates, exchange.attached_duplicates = exchange.attached_duplicates, []
        for duplicate in duplicates:
            self._finish_attached(duplicate, result)

    def _finish_attached(self, exchange: Exchange, result: bytes | None) -> None:
        if exchange.state is not ExchangeState.ATTACHED:
            return
        if result is None:
            self.fail(exchange, FailureReason.NO_RESULT)
        else:
            exchange.complete(result)
        outcome = Outcome.ERROR if result is None else Outcome.SUCCEEDED
        waited_s = self._clock.now - exchange.attached_at
        self._add_event(RunEnded(exchange.request, waited_s, outcome))
        self.finish(exchange, result)
