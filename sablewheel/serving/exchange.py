"""One try of a request on its way through the server: the one thing that both sides know.

The routers' side makes it, the interpreter's side runs it, the dispatch decides on it. It keeps what goes on
unchanged as the bytes that came, and takes care that there is one final answer, or none if nobody waits.
Here an outcome becomes final, once; it tells its observer. A completed answer leaves through the observer,
who may hold it back until what it wrote is durable, for a bounded time; all others leave at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from ..overload.interface import Request


def digest(request_class: bytes, body: bytes) -> bytes:
    """Whether two requests of one idempotency key ask for the same, also after a restart; 16 bytes."""
    from hashlib import blake2b  # some MB that a server without recall need not have

    return blake2b(request_class + b"\0" + body, digest_size=16).digest()


class Caller(Protocol):
    """Where a try came from and its answer goes."""

    def completed(self, exchange: Exchange, result: bytes) -> None: ...
    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None: ...
    def failed(self, exchange: Exchange) -> None: ...


class RequestObserver(Protocol):
    """Who is told of each final outcome, exactly once a request, before its answer is written."""

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Must hand the result to `caller.completed`, now or soon; `exchange.first` is what it repeats."""

    def rejected(self, exchange: Exchange) -> None: ...
    def failed(self, exchange: Exchange) -> None: ...
    def gone(self, exchange: Exchange) -> None:
        """Nobody waits any more, so there is no answer."""


class Unwitnessed:
    """No feature is on: answers go straight on."""

    __slots__ = ()

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        caller.completed(exchange, result)

    def rejected(self, exchange: Exchange) -> None: ...
    def failed(self, exchange: Exchange) -> None: ...
    def gone(self, exchange: Exchange) -> None: ...


NO_OBSERVER = Unwitnessed()


@dataclass(slots=True)
class Standing:
    """What goes with every answer from now on, and what health checks are told."""

    said: float | None = None
    good: bool = False
    able: bool = True  # not for long without its interpreter


class Place(Enum):
    """Where an exchange is, as far as the program must know."""

    HELD = auto()
    RUNNING = auto()
    JOINED = auto()
    OVER = auto()


class Exchange:
    """One try, from its bytes to its answer; kept for repeats, it lets go of all that they do not need."""

    __slots__ = (
        "ahead",
        "began",
        "billed",
        "body",
        "caller",
        "digest",
        "first",
        "idempotency_key",
        "joined",
        "name",
        "notice",
        "observer",
        "place",
        "request",
        "request_class",
        "result",
        "sameness",
        "session",
        "tag",
        "took",
        "until",
    )

    def __init__(
        self,
        name: bytes,
        request_class: bytes,
        body: bytes,
        tag: int,
        idempotency_key: bytes | None,
        request: Request,
        caller: Caller | None,
        observer: RequestObserver = NO_OBSERVER,
    ) -> None:
        self.name, self.request_class, self.body = name, request_class, body
        self.tag, self.idempotency_key, self.request = tag, idempotency_key, request
        self.caller = caller  # until answered, or nobody waits
        self.observer = observer
        self.took = 0.0  # how long its run took, once that is over
        self.notice = 0  # the number under which that was told
        self.digest = b""  # of request class and body, where this one was remembered over a restart
        self.billed = False  # whether the result of its run went out to somebody
        self.sameness = hash(
            (request_class, body)
        )  # of two with one idempotency key: whether they ask for the same
        self.place = Place.HELD
        self.result: bytes | None = None  # as long as it is kept
        self.joined: list[Exchange] = []  # repeats that wait for its end
        self.began = 0.0  # when its join was decided
        self.ahead = 0.0  # how much later it may have come than its request says
        self.first: Exchange | None = None  # what it repeats
        self.until: float | None = None  # when its caller stops waiting, where that is told
        self.session = ""  # the key of the session that it belongs to, where sessions are told apart

    def asks_same(self, other: Exchange) -> bool:
        """Whether another with this idempotency key asks for the same; one remembered from before has a
        digest only.
        """
        if not self.digest:
            return self.sameness == other.sameness
        return self.digest == digest(other.request_class, other.body)

    @property
    def closed(self) -> bool:
        return self.caller is None

    def complete(self, result: bytes) -> None:
        if (caller := self._close()) is not None:
            self.observer.completed(self, result, caller)

    def reject(self, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        if (caller := self._close()) is not None:
            self.observer.rejected(self)
            caller.rejected(self, retry_after_s, no_retry_elsewhere)

    def fail(self) -> None:
        if (caller := self._close()) is not None:
            self.observer.failed(self)
            caller.failed(self)

    def discard(self) -> bool:
        """Nobody waits any more; whether that is news."""
        if self._close() is None:
            return False
        self.observer.gone(self)
        return True

    def detach(self) -> Caller | None:
        """Its answer is the taker's to give from now on, through the observer; None: nobody waits."""
        return self._close()

    def _close(self) -> Caller | None:
        caller, self.caller = self.caller, None
        return caller
