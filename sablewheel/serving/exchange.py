"""One attempt of a request on its way through the server.

The listener creates an exchange, the dispatcher decides on it and the interpreter client runs it. What is
passed on unchanged stays as the bytes received. An exchange gets at most one final answer. It reports the
final outcome to its observer once; the observer passes on the answer of a completed request, and may delay it
for a bounded time until its records are durable. All other answers leave at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from ..overload.interface import Request


def digest(request_class: bytes, body: bytes) -> bytes:
    """Return 16 bytes that identify the contents of a request, also after a restart."""
    from hashlib import blake2b  # some MB that a server without a result store need not load

    return blake2b(request_class + b"\0" + body, digest_size=16).digest()


class Caller(Protocol):
    """Where a request came from and its answer goes: a client's connection or a forwarding server."""

    def completed(self, exchange: Exchange, result: bytes) -> None:
        """Send the result."""

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        """Answer that the request never ran."""

    def failed(self, exchange: Exchange) -> None:
        """Answer with an error."""


class RequestObserver(Protocol):
    """Notified of each final outcome, once a request, before the answer is written."""

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Pass the result to `caller.completed`, now or soon. A duplicate has an `exchange.original`."""

    def rejected(self, exchange: Exchange) -> None:
        """The request never ran."""

    def failed(self, exchange: Exchange) -> None:
        """The request's answer is an error."""

    def cancelled(self, exchange: Exchange) -> None:
        """The client no longer waits, so there is no answer."""


class NullObserver:
    """Passes answers on; used while no feature observes requests."""

    __slots__ = ()

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Send the result at once."""
        caller.completed(exchange, result)

    def rejected(self, exchange: Exchange) -> None:
        """Do nothing."""

    def failed(self, exchange: Exchange) -> None:
        """Do nothing."""

    def cancelled(self, exchange: Exchange) -> None:
        """Do nothing."""


NO_OBSERVER = NullObserver()


@dataclass(slots=True)
class ServerStatus:
    """What this server reports to its clients.

    Attributes:
        advertised: The capacity that goes with every answer, if any.
        healthy: Whether the controller calls the server healthy.
        interpreter_available: False once the interpreter has been away for long.
    """

    advertised: float | None = None
    healthy: bool = False
    interpreter_available: bool = True


class ExchangeState(Enum):
    """How far an exchange is."""

    QUEUED = auto()
    RUNNING = auto()
    ATTACHED = auto()  # waits for the result of its original
    FINISHED = auto()


class Exchange:
    """One attempt of a request, from its bytes to its answer.

    Exchanges of keyed requests are retained for duplicates, without what those do not need.

    Attributes:
        name: The id of the attempt, unique.
        tag: The number that the answer carries on its connection.
        caller: Where the answer goes; None once it is given or nobody waits.
        run_time_s: How long the run took, once it is over.
        notice_number: The number of the interpreter's notice that ended the run.
        digest: Of class and body, where the exchange was recovered after a restart; else empty.
        content_hash: Of class and body, to compare requests of one idempotency key.
        billed: Whether the result of the run was given to somebody.
        result: The result, as long as it is cached for duplicates.
        original: The exchange that this one is a duplicate of.
        attached_duplicates: Duplicates that wait for the end of this one's run.
        attached_at: When this one was attached to its original.
        arrival_uncertainty_s: By how much the request may have arrived later than stated.
        client_deadline: When the client stops waiting, where clients state that.
        session: The key of the request's session, where sessions are routed.
    """

    __slots__ = (
        "arrival_uncertainty_s",
        "attached_at",
        "attached_duplicates",
        "billed",
        "body",
        "caller",
        "client_deadline",
        "content_hash",
        "digest",
        "idempotency_key",
        "name",
        "notice_number",
        "observer",
        "original",
        "request",
        "request_class",
        "result",
        "run_time_s",
        "session",
        "state",
        "tag",
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
        self.caller = caller
        self.observer = observer
        self.state = ExchangeState.QUEUED
        self.run_time_s = 0.0
        self.notice_number = 0
        self.digest = b""
        self.content_hash = hash((request_class, body))
        self.billed = False
        self.result: bytes | None = None
        self.original: Exchange | None = None
        self.attached_duplicates: list[Exchange] = []
        self.attached_at = 0.0
        self.arrival_uncertainty_s = 0.0
        self.client_deadline: float | None = None
        self.session = ""

    def has_same_content(self, other: Exchange) -> bool:
        """Whether another exchange with this idempotency key has the same class and body."""
        if not self.digest:
            return self.content_hash == other.content_hash
        return self.digest == digest(other.request_class, other.body)

    def deadline(self, propagated: bool) -> float:
        """Return when the client stops waiting: as it states, if that counts, or by the request class."""
        if propagated and self.client_deadline is not None:
            return self.client_deadline
        return self.request.arrived_at + self.request.request_class.timeout_s

    @property
    def closed(self) -> bool:
        """Whether the answer is given, or nobody waits for it."""
        return self.caller is None

    def complete(self, result: bytes) -> None:
        """Answer with a result, if anybody waits."""
        if (caller := self.detach()) is not None:
            self.observer.completed(self, result, caller)

    def reject(self, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        """Answer that the request never ran, if anybody waits."""
        if (caller := self.detach()) is not None:
            self.observer.rejected(self)
            caller.rejected(self, retry_after_s, no_retry_elsewhere)

    def fail(self) -> None:
        """Answer with an error, if anybody waits."""
        if (caller := self.detach()) is not None:
            self.observer.failed(self)
            caller.failed(self)

    def cancel(self) -> bool:
        """Note that nobody waits any more. Returns whether anybody did until now."""
        if self.detach() is None:
            return False
        self.observer.cancelled(self)
        return True

    def detach(self) -> Caller | None:
        """Take over the duty to answer and to notify the observer. Returns None if nobody waits."""
        caller, self.caller = self.caller, None
        return caller
