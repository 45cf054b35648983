"""The seam of what is remembered over restarts: what a feature must do, and the object that does nothing.

The other seams lie where they are called: who witnesses an outcome in `exchange.py`, who stands between the
routers' side and the dispatch (a `RequestHandler`) in `server.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..overload.interface import Outcome, Request
from .exchange import Exchange
from .idempotency_keys import IdempotencyTable


class Memory(Protocol):
    """Who remembers keyed runs over restarts."""

    @property
    def ready(self) -> bool:
        """Whether all that is remembered is known; until then keyed tries wait, others are served."""

    def recalled(self, born: float, idempotency_keys: IdempotencyTable) -> list[tuple[Request, float]]:
        """The interpreter is up, since `born`: fill the table of idempotency keys. Requests and how long
        their idempotency keys count.
        """

    def adopted(self) -> tuple[list[Exchange], int]:
        """Runs of a predecessor whose ends may still be told, and the last notice that was read."""

    def may_not_run(self, exchange: Exchange) -> bool:
        """Whether a keyed try without a known first may have run in a predecessor, by the rule that is
        set.
        """

    def prepare(self, exchange: Exchange) -> None:
        """Note on a keyed try's request what a run of it would wait for beside the cores, and whether
        there is room.
        """

    def remember(self, exchange: Exchange) -> None:
        """The controller keeps its idempotency key from now on: it may run."""

    def release(self, exchange: Exchange) -> None:
        """It will not run, and its idempotency key is free."""

    def before_run(self, exchange: Exchange, run: Callable[[Exchange], None]) -> None:
        """Call `run` now, or when it may be sent, or report that it never began."""

    def ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """A run is over, before its answer is."""


class NoResultStore:
    """Nothing is kept over a restart."""

    __slots__ = ()
    ready = True

    def recalled(self, born: float, idempotency_keys: IdempotencyTable) -> list[tuple[Request, float]]:
        return []

    def adopted(self) -> tuple[list[Exchange], int]:
        return [], 0

    def may_not_run(self, exchange: Exchange) -> bool:
        return False

    def prepare(self, exchange: Exchange) -> None: ...
    def remember(self, exchange: Exchange) -> None: ...
    def release(self, exchange: Exchange) -> None: ...
    def before_run(self, exchange: Exchange, run: Callable[[Exchange], None]) -> None:
        run(exchange)

    def ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None: ...


NO_RESULT_STORE = NoResultStore()
