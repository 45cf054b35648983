"""The queue of requests that arrive before the server can decide on them."""

from __future__ import annotations

from collections.abc import Callable

from ..transport.scheduler import Scheduler, Timer
from .exchange import Exchange


class StartQueue:
    """Retains requests until the interpreter is running and the stored runs are loaded, or until a timeout.

    Before that, two attempts with the same idempotency key would not be linked to each other or to an
    original that ran before the start, and each would run. `on_timeout` is called with each request that
    times out.
    """

    def __init__(self, scheduler: Scheduler, on_timeout: Callable[[Exchange], None]) -> None:
        self._scheduler, self._on_timeout = scheduler, on_timeout
        self._timers: dict[Exchange, Timer] = {}

    def __len__(self) -> int:
        return len(self._timers)

    def add(self, exchange: Exchange, timeout_s: float) -> None:
        """Retain a request for at most `timeout_s`."""

        def time_out() -> None:
            if self.discard(exchange):
                self._on_timeout(exchange)

        self._timers[exchange] = self._scheduler.after(max(timeout_s, 0.0), time_out)

    def discard(self, exchange: Exchange) -> bool:
        """Remove a request. Returns whether it was queued."""
        timer = self._timers.pop(exchange, None)
        if timer is not None:
            timer.cancel()  # it refers to the request
        return timer is not None

    def take_all(self) -> list[Exchange]:
        """Remove and return all requests in the order of their arrival."""
        exchanges = list(self._timers)
        for exchange in exchanges:
            self.discard(exchange)
        return exchanges
