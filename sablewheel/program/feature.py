"""What the application knows of features: one seam, the object that stands there when none is on, and what a
feature fills in to be part of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ..overload.interface import ServerSettings
from ..serving.exchange import NO_OBSERVER, RequestObserver
from ..serving.hooks import NO_RESULT_STORE, ResultStore
from ..serving.listener import RequestHandler


class Feature(Protocol):
    """All features together, as the phases need them."""

    @property
    def observer(self) -> RequestObserver: ...
    @property
    def memory(self) -> ResultStore: ...
    @property
    def up_at(self) -> float:
        """From when on the server may say that it is up."""

    @property
    def sockets(self) -> int:
        """Descriptors that routers' connections don't get by now; some need more in a larger view."""

    @property
    def last_notice(self) -> int:
        """The last notice of the interpreter that a predecessor has read."""

    def handler(self, inner: RequestHandler) -> RequestHandler:
        """Who is told what routers sent: `inner`, the dispatch, or who stands in front of it."""

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        """The controller's settings as features would have them."""

    def hangup(self) -> None:
        """SIGHUP: whatever features read from files of their own is read anew."""

    def end_round(self) -> None: ...
    def leaving(self) -> None:
        """The notice to leave has come; the grace begins."""

    def parting(self) -> None:
        """The grace is over: finish what is under way."""

    def settled(self) -> bool:
        """Whether the process may end without losing anything."""

    def close(self, most: float) -> None:
        """It ends now; `most` seconds are left."""

    def gauges(self) -> dict[str, object]: ...


class NoFeature:
    """Nothing is switched on."""

    observer: RequestObserver = NO_OBSERVER
    memory: ResultStore = NO_RESULT_STORE
    up_at = 0.0
    sockets = 0
    last_notice = 0

    def handler(self, inner: RequestHandler) -> RequestHandler:
        return inner

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        return server_settings

    def hangup(self) -> None: ...
    def end_round(self) -> None: ...
    def leaving(self) -> None: ...
    def parting(self) -> None: ...
    def settled(self) -> bool:
        return True

    def close(self, most: float) -> None: ...
    def gauges(self) -> dict[str, object]:
        return {}


@dataclass(frozen=True)
class Part:
    """One feature that is on: its seams, and what it does at the program's moments. What it leaves out costs
    nothing.

    A seam that is filled in replaces what stood there, so it must pass on to what it was given of it.
    """

    observer: RequestObserver | None = None
    memory: ResultStore | None = None
    handler: Callable[[RequestHandler], RequestHandler] | None = None
    gate: Callable[[RequestHandler], RequestHandler] | None = (
        None  # a handler within all others: what peers pass here meets it too
    )
    server_settings: Callable[[ServerSettings], ServerSettings] | None = None
    hangup: Callable[[], None] | None = None
    sockets: Callable[[], int] | None = None  # descriptors it may hold, which routers' connections don't get
    up_at: Callable[[], float] | None = None
    last_notice: Callable[[], int] | None = None
    end_round: Callable[[], None] | None = None
    leaving: Callable[[], None] | None = None
    parting: Callable[[], None] | None = None
    settled: Callable[[], bool] | None = None
    close: Callable[[float], None] | None = None
    gauges: Callable[[], dict[str, object]] | None = None
