"""Requests that arrived before the server can decide on them."""

from __future__ import annotations

from collections.abc import Callable

from ..transport.scheduler import Scheduler
from .exchange import Exchange


class StartQueue:
    """Retains requests until the interpreter is up and all that is stored is known, or their time is up.

    Before that, two attempts with one idempotency key would know neither of each other nor of an original
    that ran before the start, and each would run. `on_timeout` gets each request whose time is up.
    """

    def __init__(self, scheduler: Scheduler, on_timeout: Callable[[Exchange], None]) -> None:
        self._scheduler, self._on_timeout = scheduler, on_timeout
        self._exchanges: dict[Exchange, None] = {}

    def __len__(self) -> int:
        return len(self._exchanges)

    def add(self, exchange: Exchange, timeout_s: float) -> None:
        """Retain a request for at most `timeout_s`."""
        self._exchanges[exchange] = None

        def time_out() -> None:
            if self.discard(exchange):
                self._on_timeout(exchange)

        self._scheduler.after(max(timeout_s, 0.0), time_out)

    def discard(self, exchange: Exchange) -> bool:
        """Drop a request. Returns whether it was here."""
        if exchange not in self._exchanges:
            return False
        del self._exchanges[exchange]
        return True

    def take_all(self) -> list[Exchange]:
        """Remove and return all requests in the order of their arrival."""
        exchanges, self._exchanges = list(self._exchanges), {}
        return exchanges
