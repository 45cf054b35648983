"""The backstop of the deadlines: answers at their deadlines what an internal error left without an answer."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ..transport.scheduler import Scheduler
from .exchange import Exchange


class DeadlineBackstop:
    """A timer for each request that was open when the controller met an internal error.

    The controller answers each request by its deadline; this is for those it has lost sight of. It costs
    nothing until the first such error.

    Invariant: a request has one timer at most, and is forgotten at its deadline.
    """

    def __init__(self, scheduler: Scheduler, on_overdue: Callable[[Exchange], None]) -> None:
        self._scheduler, self._on_overdue = scheduler, on_overdue
        self._watched: set[Exchange] = set()

    def watch(self, exchanges: Iterable[Exchange], propagated: bool) -> None:
        """Pass each of these that is not answered to `on_overdue` at its deadline.

        Args:
            exchanges: Open requests; those already watched stay as they are.
            propagated: Whether the deadlines that clients state count.
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
