"""Where requests are served, and whether they may run again: what other features decide for forwarding."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..serving.exchange import Exchange


class Placer(Protocol):
    """Decides which server serves a request."""

    def place(self, exchange: Exchange) -> str | None:
        """Return the member that is to serve it; None: this one.

        Called again where the first member refused the request or is gone.
        """


class Owner(Protocol):
    """Knows what became of a keyed request that may have run on a peer."""

    def may_run_again(self, exchange: Exchange, peer: str, told: Callable[[bool], None]) -> None:
        """Call `told`, now or before the request's deadline: whether it certainly never ran."""


class ServeLocally:
    """The placer of a server without one: all requests are served where they arrive."""

    def place(self, exchange: Exchange) -> str | None:
        """Return None: serve the request here."""
        return None


class UnknownOwner:
    """The owner of a server without one: any request may have run."""

    def may_run_again(self, exchange: Exchange, peer: str, told: Callable[[bool], None]) -> None:
        """Answer no."""
        told(False)
