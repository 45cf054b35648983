"""The hook for results that outlive a restart: what a result store must do, and the one that stores nothing.

The other hooks are defined where they are called: `RequestObserver` in `exchange.py`, and `RequestHandler`,
which stands between the listener and the dispatcher, in `listener.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..overload.interface import Outcome, Request
from .exchange import Exchange
from .idempotency_keys import IdempotencyTable


class ResultStore(Protocol):
    """Remembers keyed runs over restarts."""

    @property
    def ready(self) -> bool:
        """Whether all that is stored is known. Until then keyed requests wait; others are served."""

    def recover_keys(
        self, interpreter_started_at: float, idempotency_keys: IdempotencyTable
    ) -> list[tuple[Request, float]]:
        """Fill the idempotency table; called once the interpreter is up.

        Returns:
            The requests, each with the lifetime of its idempotency key in seconds.
        """

    def runs_to_adopt(self) -> tuple[list[Exchange], int]:
        """Return runs of a predecessor that may still end, and the number of the last notice it read."""

    def may_have_run(self, exchange: Exchange) -> bool:
        """Whether a keyed request without a known original may have run in a predecessor."""

    def prepare(self, exchange: Exchange) -> None:
        """Note on a keyed request what else than cores its run would wait for, and whether it fits."""

    def reserve(self, exchange: Exchange) -> None:
        """The controller reserved the idempotency key: the request may run."""

    def release(self, exchange: Exchange) -> None:
        """The request will not run, and its idempotency key is free."""

    def before_run(self, exchange: Exchange, run: Callable[[Exchange], None]) -> None:
        """Call `run` now, or once the run may start, or report that it never started."""

    def run_ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """A run is over; called before its answer is given."""


class NullResultStore:
    """Stores nothing."""

    __slots__ = ()
    ready = True

    def recover_keys(
        self, interpreter_started_at: float, idempotency_keys: IdempotencyTable
    ) -> list[tuple[Request, float]]:
        """Return nothing."""
        return []

    def runs_to_adopt(self) -> tuple[list[Exchange], int]:
        """Return nothing."""
        return [], 0

    def may_have_run(self, exchange: Exchange) -> bool:
        """Return False: without a store, that is not known of any request."""
        return False

    def prepare(self, exchange: Exchange) -> None:
        """Do nothing."""

    def reserve(self, exchange: Exchange) -> None:
        """Do nothing."""

    def release(self, exchange: Exchange) -> None:
        """Do nothing."""

    def before_run(self, exchange: Exchange, run: Callable[[Exchange], None]) -> None:
        """Call `run` now."""
        run(exchange)

    def run_ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """Do nothing."""


NO_RESULT_STORE = NullResultStore()
