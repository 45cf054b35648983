"""The interface between the application and its features, and the hooks that a single feature provides."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..overload.interface import ServerSettings
from ..serving.exchange import NO_OBSERVER, RequestObserver
from ..serving.hooks import NO_RESULT_STORE, ResultStore
from ..serving.listener import RequestHandler


class Feature(Protocol):
    """All features together, as the application calls them."""

    @property
    def observer(self) -> RequestObserver:
        """The observer of requests."""

    @property
    def result_store(self) -> ResultStore:
        """The store of results that survive a restart."""

    @property
    def up_at(self) -> float:
        """The earliest time, by the scheduler's clock, to connect to the interpreter; inf if unknown."""

    @property
    def max_result_bytes(self) -> int:
        """How many bytes of results features keep in memory for duplicates."""

    @property
    def descriptors(self) -> int:
        """How many descriptors features need at present; some need more in a larger fleet."""

    @property
    def last_notice(self) -> int:
        """The number of the last interpreter notice that a previous server process has read; 0 if unknown."""

    def handler(self, inner: RequestHandler) -> RequestHandler:
        """Return the handler of clients' requests: `inner`, or a handler that wraps it."""

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        """Return the controller's settings with the features' changes."""

    def reload(self) -> None:
        """Reread the features' own files, on SIGHUP."""

    def end_round(self) -> None:
        """Finish a round of the event loop."""

    def on_shutdown_notice(self) -> None:
        """Start the shutdown: the notice was received, and the grace begins."""

    def on_grace_over(self) -> None:
        """Finish open work: the grace is over."""

    def is_settled(self) -> bool:
        """Return whether the process may end without loss of data or requests."""

    def close(self, timeout_s: float) -> None:
        """Close all features within `timeout_s`."""

    def gauges(self) -> dict[str, object]:
        """Return the features' counters."""


class NoFeature:
    """The features of a server that has none enabled."""

    observer: RequestObserver = NO_OBSERVER
    result_store: ResultStore = NO_RESULT_STORE
    up_at = 0.0
    max_result_bytes = 0
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

    def on_shutdown_notice(self) -> None:
        """Do nothing."""

    def on_grace_over(self) -> None:
        """Do nothing."""

    def is_settled(self) -> bool:
        """Return True."""
        return True

    def close(self, timeout_s: float) -> None:
        """Do nothing."""

    def gauges(self) -> dict[str, object]:
        """Return no counters."""
        return {}


@dataclass(frozen=True)
class FeatureHooks:
    """The hooks of one enabled feature; None where it has nothing to do.

    An observer, result store or handler replaces that of the feature built before and passes calls on to it.

    Attributes:
        handler: Wraps the handler of clients' requests.
        inner_handler: Wraps the same handler inside the `handler` of all features, so that forwarded requests
            reach it as well.
        max_result_bytes: How many bytes of results the feature keeps in memory for duplicates.
        descriptors: Returns how many descriptors the feature may need, which clients' connections can't use.
    """

    observer: RequestObserver | None = None
    result_store: ResultStore | None = None
    handler: Callable[[RequestHandler], RequestHandler] | None = None
    inner_handler: Callable[[RequestHandler], RequestHandler] | None = None
    server_settings: Callable[[ServerSettings], ServerSettings] | None = None
    reload: Callable[[], None] | None = None
    descriptors: Callable[[], int] | None = None
    up_at: Callable[[], float] | None = None
    max_result_bytes: int = 0
    last_notice: Callable[[], int] | None = None
    end_round: Callable[[], None] | None = None
    on_shutdown_notice: Callable[[], None] | None = None
    on_grace_over: Callable[[], None] | None = None
    is_settled: Callable[[], bool] | None = None
    close: Callable[[float], None] | None = None
    gauges: Callable[[], dict[str, object]] | None = None
