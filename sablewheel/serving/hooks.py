"""The hook for results that are kept across restarts: the result store, and one that stores nothing.

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
    """Stores keyed runs across restarts."""

    @property
    def ready(self) -> bool:
        """Whether the stored runs are loaded. Until then keyed requests wait; others are served."""

    def recover_keys(
        self, interpreter_started_at: float, idempotency_keys: IdempotencyTable
    ) -> list[tuple[Request, float]]:
        """Fill the idempotency table; called once the interpreter is running.

        Returns:
            The requests, each with the lifetime of its idempotency key in seconds.
        """

    def runs_to_adopt(self) -> tuple[list[Exchange], int]:
        """Return an earlier process's runs that may still end, and the number of the last notice it read."""

    def may_have_run(self, exchange: Exchange) -> bool:
        """Whether a keyed request without a known original may have run in an earlier process."""

    def prepare(self, exchange: Exchange) -> None:
        """Set how long a keyed request's run would wait besides for cores, and when its key has capacity."""

    def reserve(self, exchange: Exchange) -> None:
        """Called when the controller has reserved the idempotency key: the request may run."""

    def release(self, exchange: Exchange) -> None:
        """Called when the request will not run and its idempotency key is free."""

    def before_run(self, exchange: Exchange, run: Callable[[Exchange], None]) -> None:
        """Call `run` at once or when the run may start, or report that it never started."""

    def run_ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """Called when a run has ended, before its answer is sent."""


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
        """Return False: without a store, no earlier run is known."""
        return False

    def prepare(self, exchange: Exchange) -> None:
        """Do nothing."""

    def reserve(self, exchange: Exchange) -> None:
        """Do nothing."""

    def release(self, exchange: Exchange) -> None:
        """Do nothing."""

    def before_run(self, exchange: Exchange, run: Callable[[Exchange], None]) -> None:
        """Call `run` at once."""
        run(exchange)

    def run_ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """Do nothing."""


NO_RESULT_STORE = NullResultStore()
