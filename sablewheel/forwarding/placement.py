"""Decisions that other features make for forwarding: where a request is served, whether it may run again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..serving.exchange import Exchange


class Placer(Protocol):
    """Decides which server serves a request."""

    def place(self, exchange: Exchange) -> str | None:
        """Return the member that serves the request; None for this member.

        Called again if the first member refused the request or is unreachable.
        """


class Owner(Protocol):
    """Decides whether a keyed request that may have run on a peer may run again."""

    def may_run_again(self, exchange: Exchange, peer: str, on_decision: Callable[[bool], None]) -> None:
        """Call `on_decision`, now or before the deadline, with whether the request certainly never ran."""


class ServeLocally:
    """Default placer: serves all requests where they arrive."""

    def place(self, exchange: Exchange) -> str | None:
        """Return None, so that the request is served here."""
        return None


class UnknownOwner:
    """Default owner: assumes that any request may have run."""

    def may_run_again(self, exchange: Exchange, peer: str, on_decision: Callable[[bool], None]) -> None:
        """Decide that the request may not run again."""
        on_decision(False)
