"""One client's connection: turns frames into exchanges, and writes answers in the order they are given."""

from __future__ import annotations

import logging
from collections.abc import Callable
from math import inf
from typing import Protocol

from ..overload.interface import Request
from ..protocol import resp
from ..transport.scheduler import Scheduler
from ..transport.stream import Stream
from .close_reasons import CloseReason, log_reason
from .exchange import Exchange, RequestObserver, ServerStatus

MAX_OPEN_REQUESTS = 32  # on one connection, as the protocol specifies
# From connecting to the end of the first frame: clients connect when they have a request to send.
FIRST_FRAME_TIMEOUT_S = 2.0
FRAME_TIMEOUT_S = 2.0  # for any later frame, from its first byte
MAX_DISCARDED_BYTES = 1 << 16  # read after reading stopped, so that no reset destroys answers
MIN_READ_BYTES = 1024  # at once, however much of a message is kept; what was not read yet is the kernel's
REQUEST_BYTES = 1536  # memory of a request that is not answered, without its body

log = logging.getLogger(__name__)


def max_unfinished_bytes(max_message_bytes: int) -> int:
    """Return how much a connection keeps at most of what it has read and not handled."""
    return max_message_bytes + MIN_READ_BYTES


class ConnectionOwner(Protocol):
    """The part of the listener that connections use."""

    scheduler: Scheduler
    server_status: ServerStatus
    observer: RequestObserver
    count: Callable[[str], None]
    max_message_bytes: int
    max_unfinished_bytes: int

    @property
    def frames_per_round(self) -> int:
        """How many frames of one connection are handled in a round."""

    def make_request(self, message: resp.RequestMessage) -> Request:
        """Return the request of a message. Raises `InvalidMessageError`."""

    def arrived(self, exchange: Exchange) -> None:
        """Called when a request was received."""

    def memory_full(self, exchange: Exchange) -> None:
        """Called instead of `arrived` if there is no memory for a request; answers it at once."""

    def cancelled(self, exchange: Exchange) -> None:
        """Called when the client no longer waits for an answer."""

    def answer_queued(self, connection: Connection) -> None:
        """Called when the connection has data to write at the end of the round."""

    def closed(self, connection: Connection) -> None:
        """Called when the connection was closed."""


class Connection:
    """One client's connection, and the caller of the exchanges that it received.

    Attributes:
        open: The exchanges that are neither answered nor cancelled, by tag.
        last_used_at: When data was last read or written.
        frame_deadline: When the awaited or incomplete frame must be complete; infinity if there is none.
        has_received: Whether a complete frame was received.
        close_announced: Whether the client was asked to send no new request, or can send none.
        reading_stopped: Whether received data is discarded; open requests are still answered.
        shut_down_at: When the writing side was shut down; None if it was not.
        account: Counts the memory that the connection holds.
    """

    def __init__(self, owner: ConnectionOwner, stream: Stream) -> None:
        self.stream = stream
        self.account = stream.account
        self.open: dict[int, Exchange] = {}
        self.last_used_at = owner.scheduler.clock.now
        self.frame_deadline = self.last_used_at + FIRST_FRAME_TIMEOUT_S
        self.has_received = False
        self.close_announced = False
        self.reading_stopped = False
        self.shut_down_at: float | None = None
        self._owner = owner
        self._parser = resp.Parser(owner.max_message_bytes)
        self._answers: list[Callable[[float | None], bytes]] = []
        self._discarded_bytes = 0
        self._peer_open = True  # False once the end of the peer's stream was read
        self._handling_frames = False  # True also while the rest of what was read waits for the next round

    @property
    def idle(self) -> bool:
        """Whether no request is open and all answers are sent, including those of this round."""
        return not self.open and not self._answers and self.stream.all_sent

    @property
    def unfinished_bytes(self) -> int:
        """How much is kept of a message that was received in part."""
        return self._parser.kept_bytes

    @property
    def has_unhandled_data(self) -> bool:
        """Whether requests may have been received that are not handled yet.

        Such a connection must not be closed: they would be lost, although they reached the machine.
        """
        return self._handling_frames or self.stream.has_unread_data

    # -- reading

    def serve(self) -> None:
        """Read until the end of the stream. The peer may close only its side and still wait for answers."""
        try:
            while self._read():
                pass
        except Exception:
            # If the connection stayed open, data that is not read yet would never be read.
            log.exception("connection closed by a fault")
            self._owner.count("faults")
            return self.close(CloseReason.FAULT)
        self._peer_open, self.frame_deadline = False, inf
        if not self.stream.open or self.idle:
            return self.close(CloseReason.PEER_ENDED)
        if not self.reading_stopped:
            self._owner.count("connections_half_closed")
        self._discard_from_now_on()
        return None

    def _read(self) -> bool:
        """Read once, and handle the frames that are complete. Returns whether to read on.

        A function of its own, so that the data is not retained while the next read waits.
        """
        data = self.stream.read(self._readable_bytes())
        if not data or self.reading_stopped:
            return bool(data) and not self._discard(len(data))
        self._receive(data)
        return True

    def _readable_bytes(self) -> int:
        """Return how much to read at once: what may be kept, and what is dropped as it is read."""
        dropped_bytes = MAX_DISCARDED_BYTES if self.reading_stopped else self._parser.skipped_bytes
        return self._owner.max_unfinished_bytes - self._parser.kept_bytes + dropped_bytes

    def _receive(self, data: bytes) -> None:
        self.last_used_at = self._owner.scheduler.clock.now
        self._parser.add(data)
        invalid = self._handle_frames()
        if invalid is not None:
            self._owner.count("frames_garbled")
            log.warning("invalid data on connection", extra={"pairs": {"reason": invalid}})
            self.stop_reading(CloseReason.GARBLED)

    def _handle_frames(self) -> str | None:
        """Handle the frames that are complete, a limited number in each round.

        Returns:
            Why the rest of the data is invalid; None if it is valid. The error itself would keep all data,
            as its traceback refers to this frame.
        """
        handled, self._handling_frames = 0, True
        try:
            while self._may_handle_next(handled) and (words := self._parser.next_frame()) is not None:
                handled += 1
                self.has_received = True
                self._handle_frame(words)
        except resp.ProtocolError as error:
            return str(error)
        finally:
            self._handling_frames = False
        if not self._parser.partial:
            self.frame_deadline = inf
        elif handled or self.frame_deadline == inf:
            self.frame_deadline = self._owner.scheduler.clock.now + FRAME_TIMEOUT_S
        return None

    def _may_handle_next(self, handled: int) -> bool:
        """Wait for the next round if enough frames were handled in this one; return False once closed."""
        if handled and handled % self._owner.frames_per_round == 0 and self._parser.partial:
            self._owner.scheduler.wait_for_next_round()
        return self.stream.open and not self.reading_stopped

    def _discard_from_now_on(self) -> None:
        """Discard what was received of an incomplete frame, and all data from now on."""
        self.close_announced = self.reading_stopped = True
        self.frame_deadline = inf
        self._parser.clear()

    def _discard(self, size: int) -> bool:
        """Discard data that was read after reading stopped. Returns whether the limit is exceeded."""
        if self.shut_down_at is not None and not self._discarded_bytes:
            self._owner.count("connections_crossed")
        self._discarded_bytes += size
        return self._discarded_bytes > MAX_DISCARDED_BYTES

    def _handle_frame(self, words: list[bytes]) -> None:
        try:
            match resp.parse_message(words):
                case resp.RequestMessage() as message:
                    self._handle_request(message)
                case resp.CancelMessage(tag):
                    self._owner.count("cancels_in")
                    if tag in self.open:
                        self._cancel(self.open[tag])
                case resp.HealthCheckMessage(tag):
                    self._handle_health_check(tag)
        except resp.InvalidMessageError as error:
            self._handle_invalid(error)

    def _handle_health_check(self, tag: int) -> None:
        self._owner.count("checks_in")
        status = self._owner.server_status
        healthy = status.healthy and status.interpreter_available
        self._queue(lambda advertised: resp.encode_health(tag, advertised, healthy))

    def _handle_invalid(self, error: resp.InvalidMessageError) -> None:
        """Answer an invalid message with an error.

        Raises:
            ProtocolError: It would be ambiguous which request an answer is for.
        """
        self._owner.count("frames_faulty")
        tag = error.tag
        log.warning("invalid message", extra={"pairs": {"tag": tag, "reason": str(error)}})
        if not tag or tag in self.open:
            if tag:
                self._cancel(self.open[tag])
            raise resp.ProtocolError(str(error)) from None
        self._queue(lambda advertised: resp.encode_failed(tag, advertised))

    def _handle_request(self, message: resp.RequestMessage) -> None:
        owner, tag = self._owner, message.tag
        owner.count("tickets_in")
        if tag in self.open:
            raise resp.InvalidMessageError("tag of a request that is still open", tag)
        if len(self.open) >= MAX_OPEN_REQUESTS:
            raise resp.InvalidMessageError(f"more than {MAX_OPEN_REQUESTS} open requests", tag)
        request = owner.make_request(message)
        exchange = Exchange(
            message.name,
            message.request_class,
            message.body,
            tag,
            message.idempotency_key,
            request,
            self,
            owner.observer,
        )
        if message.deadline_unix is not None:
            exchange.client_deadline = request.arrived_at + (message.deadline_unix - message.arrived_at_unix)
        exchange.held_bytes = REQUEST_BYTES + len(message.body)
        self.open[tag] = exchange
        has_room = self.account.add_request(exchange.held_bytes)
        try:
            if has_room:
                owner.arrived(exchange)
            else:
                owner.memory_full(exchange)
        except Exception:
            # An internal error fails only this request; the others on the connection continue.
            log.exception("request failed by a fault", extra={"pairs": {"tag": tag}})
            owner.count("faults")
            exchange.fail()

    def _remove_open(self, exchange: Exchange) -> None:
        if self.open.pop(exchange.tag, None) is not None:
            self.account.remove_request(exchange.held_bytes)

    def _cancel(self, exchange: Exchange) -> None:
        self._remove_open(exchange)
        if exchange.cancel():
            self._owner.count("tickets_gone")
            self._owner.cancelled(exchange)

    # -- closing

    def announce_close(self, reason: CloseReason) -> None:
        """Ask the client to send no new request here, and to close the connection once all are answered."""
        if not self.close_announced:
            self._log("close announced on connection", reason)
            self.close_announced = True
            self._queue(lambda _: resp.encode_close_notice())

    def stop_reading(self, reason: CloseReason) -> None:
        """Accept no more data. Requests received before are answered, then the connection is shut down."""
        self._log("stopped reading from connection", reason)
        self._discard_from_now_on()
        if self.idle:
            self.shut_down(reason)

    def shut_down(self, reason: CloseReason) -> None:
        """Shut down the writing side, and continue to read until the client closes its side or times out.

        Data that the client sends meanwhile is discarded. The client sees the end of the stream, no answer,
        and sends its request again elsewhere. A reset would destroy answers that it has not read yet.
        """
        if not self._peer_open:
            return self.close(reason)
        if self.shut_down_at is None:
            self._log("connection shut down for writing", reason)
            self._discard_from_now_on()
            self.shut_down_at = self._owner.scheduler.clock.now
            self.stream.shut_down_writing()
            if not self.stream.open:
                self.close(CloseReason.BROKEN)
        return None

    def close(self, reason: CloseReason) -> None:
        """Close the connection; the requests that are open on it are cancelled."""
        self._log("connection closed", reason)
        self.stream.close()
        self._owner.closed(self)
        for exchange in list(self.open.values()):
            self._cancel(exchange)
        self._parser.clear()

    def _log(self, event: str, reason: CloseReason) -> None:
        log_reason(log, event, reason, open_requests=len(self.open), unsent=not self.stream.all_sent)

    # -- answers

    def completed(self, exchange: Exchange, result: bytes) -> None:
        """Answer with a result."""
        tag = exchange.tag
        self._answer(exchange, "completed", lambda advertised: resp.encode_completed(tag, advertised, result))

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        """Answer that the request never ran."""
        tag = exchange.tag
        self._answer(
            exchange,
            "denied",
            lambda advertised: resp.encode_rejected(tag, advertised, retry_after_s, no_retry_elsewhere),
        )

    def failed(self, exchange: Exchange) -> None:
        """Answer with an error."""
        tag = exchange.tag
        self._answer(exchange, "terminated", lambda advertised: resp.encode_failed(tag, advertised))

    def flush(self) -> None:
        """Write the queued answers, each with the capacity that is advertised at that time."""
        advertised = self._owner.server_status.advertised
        for encode in self._answers:
            self.stream.write(encode(advertised))
        self._answers.clear()
        self.last_used_at = self._owner.scheduler.clock.now
        self.stream.flush()
        if not self.stream.open:
            self.close(CloseReason.BROKEN)
        elif self.reading_stopped and self.idle:
            self.shut_down(CloseReason.ANSWERED)

    def _answer(self, exchange: Exchange, outcome: str, encode: Callable[[float | None], bytes]) -> None:
        self._remove_open(exchange)
        self._owner.count(f"tickets_{outcome}")
        self._queue(encode)

    def _queue(self, encode: Callable[[float | None], bytes]) -> None:
        self._answers.append(encode)
        self._owner.answer_queued(self)
