"""The requests that run or may run here under a session's binding, and the hooks that track them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..overload.interface import Outcome, Request
from ..serving.exchange import Caller, Exchange, RequestObserver
from ..serving.hooks import ResultStore
from ..serving.idempotency_keys import IdempotencyTable


@dataclass(slots=True)
class OpenRequest:
    """A request that only its session's owner may run, admitted by this server."""

    ref: int
    key: str
    fencing_number: int
    has_begun: bool = False


class OpenRequests:
    """The open requests by exchange.

    Invariant: each request is reported as finished once: when its run has ended, or when it was answered
    without a run.
    """

    def __init__(self, on_finished: Callable[[OpenRequest], None]) -> None:
        """Start without requests; `on_finished` is called for each finished request."""
        self._on_finished = on_finished
        self._requests: dict[Exchange, OpenRequest] = {}

    def add(self, exchange: Exchange, request: OpenRequest) -> None:
        """Add a request before its run may begin."""
        self._requests[exchange] = request

    def get(self, exchange: Exchange) -> OpenRequest | None:
        """Return an open request, None if the exchange has none."""
        return self._requests.get(exchange)

    def begin(self, exchange: Exchange) -> None:
        """Record that a run is about to begin."""
        if (request := self._requests.get(exchange)) is not None:
            request.has_begun = True

    def answer(self, exchange: Exchange) -> None:
        """Record an answer; a run that has begun stays open until it ends."""
        request = self._requests.get(exchange)
        if request is not None and not request.has_begun:
            self.end(exchange)

    def end(self, exchange: Exchange) -> None:
        """Record the end of a run, or that the request will not run."""
        if (request := self._requests.pop(exchange, None)) is not None:
            self._on_finished(request)


class SessionResultStore:
    """A result store that wraps another one and tracks the runs of open requests."""

    def __init__(self, inner: ResultStore, open_requests: OpenRequests) -> None:
        """Pass all calls on to `inner`."""
        self._inner, self._open_requests = inner, open_requests

    @property
    def ready(self) -> bool:
        """Whether all results of earlier incarnations have been recovered."""
        return self._inner.ready

    def recover_keys(self, born: float, idempotency_keys: IdempotencyTable) -> list[tuple[Request, float]]:
        """Fill the idempotency table from the inner store."""
        return self._inner.recover_keys(born, idempotency_keys)

    def runs_to_adopt(self) -> tuple[list[Exchange], int]:
        """Return the runs of an earlier incarnation that may still end."""
        return self._inner.runs_to_adopt()

    def may_have_run(self, exchange: Exchange) -> bool:
        """Whether the request may have run in an earlier incarnation."""
        return self._inner.may_have_run(exchange)

    def prepare(self, exchange: Exchange) -> None:
        """Prepare the request for a run."""
        self._inner.prepare(exchange)

    def reserve(self, exchange: Exchange) -> None:
        """Reserve the request's idempotency key."""
        self._inner.reserve(exchange)

    def release(self, exchange: Exchange) -> None:
        """Release the idempotency key of a request that will not run."""
        self._inner.release(exchange)

    def before_run(self, exchange: Exchange, run: Callable[[Exchange], None]) -> None:
        """Record that the run is about to begin."""
        self._open_requests.begin(exchange)
        self._inner.before_run(exchange, run)

    def run_ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """Record the end of a run."""
        self._inner.run_ended(exchange, outcome, result)
        self._open_requests.end(exchange)


class SessionRequestObserver:
    """An observer that wraps another one and tracks the answers to open requests."""

    def __init__(self, inner: RequestObserver, open_requests: OpenRequests) -> None:
        """Pass all calls on to `inner`."""
        self._inner, self._open_requests = inner, open_requests

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Record a result."""
        self._open_requests.answer(exchange)
        self._inner.completed(exchange, result, caller)

    def rejected(self, exchange: Exchange) -> None:
        """Record a rejection."""
        self._open_requests.answer(exchange)
        self._inner.rejected(exchange)

    def failed(self, exchange: Exchange) -> None:
        """Record a final error."""
        self._open_requests.answer(exchange)
        self._inner.failed(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        """Record that the caller no longer waits for the answer."""
        self._open_requests.answer(exchange)
        self._inner.cancelled(exchange)
