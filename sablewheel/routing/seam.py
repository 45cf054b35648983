"""The seam where a feature sees how each ticket ends: what it must do, and the object that does nothing.

`Exchange` is where an outcome becomes final, once; it tells its witness. A completed answer leaves through
the witness, who may hold it back until what it wrote is durable, for a bounded time; all others leave at
once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from .exchange import Caller, Exchange


class Witness(Protocol):
    """Who is told of each final outcome, exactly once a ticket, before its answer is written."""

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Must hand the result to `caller.completed`, now or soon; `exchange.first` is what it repeats."""

    def denied(self, exchange: Exchange) -> None: ...
    def terminated(self, exchange: Exchange) -> None: ...
    def gone(self, exchange: Exchange) -> None:
        """Nobody waits any more, so there is no answer."""


class Unwitnessed:
    """No feature is on: answers go straight on."""

    __slots__ = ()

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        caller.completed(exchange, result)

    def denied(self, exchange: Exchange) -> None: ...
    def terminated(self, exchange: Exchange) -> None: ...
    def gone(self, exchange: Exchange) -> None: ...


UNWITNESSED = Unwitnessed()
