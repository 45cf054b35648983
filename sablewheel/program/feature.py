"""What the application knows of features: their common interface, and the hooks that one feature fills in."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..overload.interface import ServerSettings
from ..serving.exchange import NO_OBSERVER, RequestObserver
from ..serving.hooks import NO_RESULT_STORE, ResultStore
from ..serving.listener import RequestHandler


class Feature(Protocol):
    """All features together, as the program's phases need them."""

    @property
    def observer(self) -> RequestObserver:
        """The observer of requests."""

    @property
    def result_store(self) -> ResultStore:
        """The store of results that outlive a restart."""

    @property
    def up_at(self) -> float:
        """From when on the server may be up."""

    @property
    def descriptors(self) -> int:
        """How many descriptors features need by now; some need more in a larger fleet."""

    @property
    def last_notice(self) -> int:
        """The last notice of the interpreter that a predecessor has read."""

    def handler(self, inner: RequestHandler) -> RequestHandler:
        """Return the handler that clients' requests go to: `inner`, or one that wraps it."""

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        """Return the controller's settings as features change them."""

    def reload(self) -> None:
        """Read the features' own files anew, on SIGHUP."""

    def end_round(self) -> None:
        """Finish a round of the event loop."""

    def leaving(self) -> None:
        """The shutdown notice was received; the grace begins."""

    def closing(self) -> None:
        """The grace is over: finish what is under way."""

    def settled(self) -> bool:
        """Whether the process may end without losing anything."""

    def close(self, timeout_s: float) -> None:
        """End now, within `timeout_s`."""

    def gauges(self) -> dict[str, object]:
        """Return the features' counters."""


class NoFeature:
    """No feature is on."""

    observer: RequestObserver = NO_OBSERVER
    result_store: ResultStore = NO_RESULT_STORE
    up_at = 0.0
    descriptors = 0
    last_notice = 0

    def handler(self, inner: RequestHandler) -> RequestHandler:
        """Return `inner`."""
        return inner

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        """Return the settings unchanged."""
        return server_settings

    def reload(self) -> None:
        """Do nothing."""

    def end_round(self) -> None:
        """Do nothing."""

    def leaving(self) -> None:
        """Do nothing."""

    def closing(self) -> None:
        """Do nothing."""

    def settled(self) -> bool:
        """Return True."""
        return True

    def close(self, timeout_s: float) -> None:
        """Do nothing."""

    def gauges(self) -> dict[str, object]:
        """Return no counters."""
        return {}


@dataclass(frozen=True)
class FeatureHooks:
    """The hooks of one feature that is on, and what it does at the program's moments.

    An observer, store or handler takes the place of the one before it, and must pass on to that.

    Attributes:
        handler: Wraps the handler of clients' requests.
        inner_handler: The same, within the handlers of all features: forwarded requests go to it as well.
        descriptors: How many descriptors it may need, which are not left for clients' connections.
    """

    observer: RequestObserver | None = None
    result_store: ResultStore | None = None
    handler: Callable[[RequestHandler], RequestHandler] | None = None
    inner_handler: Callable[[RequestHandler], RequestHandler] | None = None
    server_settings: Callable[[ServerSettings], ServerSettings] | None = None
    reload: Callable[[], None] | None = None
    descriptors: Callable[[], int] | None = None
    up_at: Callable[[], float] | None = None
    last_notice: Callable[[], int] | None = None
    end_round: Callable[[], None] | None = None
    leaving: Callable[[], None] | None = None
    closing: Callable[[], None] | None = None
    settled: Callable[[], bool] | None = None
    close: Callable[[float], None] | None = None
    gauges: Callable[[], dict[str, object]] | None = None
