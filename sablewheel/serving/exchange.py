"""One attempt of a request while it is in the server.

The listener creates an exchange, the dispatcher decides on it and the interpreter client runs it. Fields that
are passed on unchanged are kept as the bytes received. An exchange gets at most one final answer. It reports
the final outcome to its observer once; the observer passes on the answer of a completed request, and may
delay it for a bounded time until its records are durable. All other answers are sent at once.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from ..overload.interface import Request


def digest(request_class: bytes, body: bytes) -> bytes:
    """Return 16 bytes that identify the contents of a request, also after a restart."""
    from hashlib import blake2b  # needs some MB, which a server without a result store saves

    return blake2b(request_class + b"\0" + body, digest_size=16).digest()


class Caller(Protocol):
    """The source of a request and receiver of its answer: a client's connection or a forwarding server."""

    def completed(self, exchange: Exchange, result: bytes) -> None:
        """Answer with the result."""

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        """Answer that the request never ran."""

    def failed(self, exchange: Exchange) -> None:
        """Answer with an error."""


class RequestObserver(Protocol):
    """Notified of the final outcome of each request, once and before the answer is written."""

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Pass the result to `caller.completed`, perhaps later. Duplicates have an `exchange.original`."""

    def rejected(self, exchange: Exchange) -> None:
        """Called when the request is rejected and never ran."""

    def failed(self, exchange: Exchange) -> None:
        """Called when the answer is an error."""

    def cancelled(self, exchange: Exchange) -> None:
        """Called when the client no longer waits, so that there is no answer."""


class NullObserver:
    """Passes answers on; used while no feature observes requests."""

    __slots__ = ()

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Pass the result on at once."""
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
    """The status that this server reports to its clients.

    Attributes:
        advertised: The capacity that is sent with every answer; None if there is none.
        healthy: Whether the controller considers the server healthy.
        interpreter_available: False once the interpreter has been disconnected for a long time.
    """

    advertised: float | None = None
    healthy: bool = False
    interpreter_available: bool = True


class ExchangeState(Enum):
    """The processing state of an exchange."""

    QUEUED = auto()
    RUNNING = auto()
    ATTACHED = auto()  # waits for the result of its original
    FINISHED = auto()


class Exchange:
    """One attempt of a request, from its arrival to its answer.

    Exchanges of keyed requests are retained for duplicates, without the data that duplicates do not need.

    Attributes:
        name: The id of the attempt, unique.
        tag: The number that the answer carries on its connection.
        caller: The receiver of the answer; None once the request is answered or cancelled.
        run_time_s: The run time, once the run has ended.
        notice_number: The number of the interpreter's notice that ended the run.
        digest: The digest of class and body if the exchange was recovered after a restart; else empty.
        content_hash: The hash of class and body, to compare requests with the same idempotency key.
        billed: Whether the result of the run was sent to any caller.
        result: The result, as long as it is cached for duplicates.
        original: The exchange that this one is a duplicate of.
        attached_duplicates: Duplicates that wait for the end of this exchange's run.
        attached_at: When this exchange was attached to its original.
        arrival_uncertainty_s: By how much the request may have arrived later than stated.
        client_deadline: When the client times out; None if clients do not state that.
        session: The key of the request's session; empty if sessions are not routed.
        held_bytes: The memory that its connection counts for it until it is answered or cancelled.
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
        "held_bytes",
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
        self.held_bytes = 0

    def has_same_content(self, other: Exchange) -> bool:
        """Whether another exchange with this idempotency key has the same class and body."""
        if not self.digest:
            return self.content_hash == other.content_hash
        return self.digest == digest(other.request_class, other.body)

    def deadline(self, propagated: bool) -> float:
        """Return when the client times out: as it states, if `propagated`, or else by the request class."""
        if propagated and self.client_deadline is not None:
            return self.client_deadline
        return self.request.arrived_at + self.request.request_class.timeout_s

    @property
    def closed(self) -> bool:
        """Whether the request was answered or cancelled."""
        return self.caller is None

    def complete(self, result: bytes) -> None:
        """Answer with a result, unless the request was answered or cancelled."""
        if (caller := self.detach()) is not None:
            self.observer.completed(self, result, caller)

    def reject(self, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        """Answer that the request never ran, unless it was answered or cancelled."""
        if (caller := self.detach()) is not None:
            self.observer.rejected(self)
            caller.rejected(self, retry_after_s, no_retry_elsewhere)

    def fail(self) -> None:
        """Answer with an error, unless the request was answered or cancelled."""
        if (caller := self.detach()) is not None:
            self.observer.failed(self)
            caller.failed(self)

    def cancel(self) -> bool:
        """Mark the request as cancelled. Returns False if it was answered or cancelled before."""
        if self.detach() is None:
            return False
        self.observer.cancelled(self)
        return True

    def detach(self) -> Caller | None:
        """Remove and return the caller, which the calling code must answer after notifying the observer.

        Returns:
            None if the request was answered or cancelled.
        """
        caller, self.caller = self.caller, None
        return caller
