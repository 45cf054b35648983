"""Answers requests at their deadlines that an internal error left without an answer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..transport.scheduler import Scheduler
from .exchange import Exchange


class DeadlineBackstop:
    """Timers for the requests that were open when an internal error occurred in the controller.

    Normally the controller answers each request by its deadline; this covers requests that it no longer
    tracks after the error. There is no cost before the first such error.

    Invariant: a request has at most one timer, and is removed at its deadline.
    """

    def __init__(self, scheduler: Scheduler, on_overdue: Callable[[Exchange], None]) -> None:
        self._scheduler, self._on_overdue = scheduler, on_overdue
        self._watched: set[Exchange] = set()

    def watch(self, exchanges: Iterable[Exchange], propagated: bool) -> None:
        """Pass each exchange that is not answered yet to `on_overdue` at its deadline.

        Args:
            exchanges: Open requests; those already watched keep their timers.
            propagated: Whether the deadlines that clients state apply.
        """
        for exchange in exchanges:
            if not exchange.closed and exchange not in self._watched:
                self._watched.add(exchange)
                self._set_timer(exchange, exchange.deadline(propagated))

    def _set_timer(self, exchange: Exchange, deadline: float) -> None:
        def time_out() -> None:
            self._watched.discard(exchange)
            self._on_overdue(exchange)

        self._scheduler.after(max(deadline - self._scheduler.clock.now, 0.0), time_out)
