"""Sends full states over TCP, one frame per connection, a few connections at a time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..transport.scheduler import Scheduler
from ..transport.stream import Stream, connect
from . import codec
from .messages import Message
from .plan import Address

MAX_CONCURRENT_FRAMES_OUT = 8  # each uses a file descriptor
MAX_QUEUED_FRAMES = 2048  # one for each member and joiner; the next sync repairs the loss of those beyond it
FRAME_TIMEOUT_S = 2.0  # from connecting to the last byte, in each direction


@dataclass
class _QueuedFrame:
    message: Message
    expires_at: float


class FrameSender:
    """Sends queued frames; `count(name, amount)` increments a counter of the membership service."""

    def __init__(
        self,
        scheduler: Scheduler,
        source_host: str,
        clock: Callable[[], float],
        count: Callable[[str, int], None],
    ) -> None:
        self._scheduler, self._source_host = scheduler, source_host
        self._clock, self._count = clock, count
        self._queue: dict[tuple[Address, bool], _QueuedFrame] = {}
        self._active_senders = 0
        self._encoded: tuple[Message, bytes] | None = None  # the last frame, cached while others are queued
        self._open = True

    @property
    def has_cached_frame(self) -> bool:
        """Whether the last frame's bytes are still cached."""
        return self._encoded is not None

    def send(self, message: Message, address: Address, is_reply: bool) -> None:
        """Queue a full state.

        It replaces a queued one for the same address. A member that founds a fleet or admits many members
        queues one for each of them at once.
        """
        key = address, is_reply
        if key not in self._queue and len(self._queue) >= MAX_QUEUED_FRAMES:
            self._count("frames_dropped", 1)
            return
        self._queue[key] = _QueuedFrame(message, self._clock() + FRAME_TIMEOUT_S)
        if self._active_senders < MAX_CONCURRENT_FRAMES_OUT:
            self._active_senders += 1
            self._scheduler.spawn(self._send_queued)

    def close(self) -> None:
        """Stop sending queued frames."""
        self._open = False

    def _send_queued(self) -> None:
        """Send the queued frames one by one; a member that is not reached in time repeats its request."""
        try:
            while self._open and self._queue:
                key = next(iter(self._queue))
                queued = self._queue.pop(key)
                if self._clock() > queued.expires_at:
                    self._count("frames_aged", 1)
                else:
                    self._send_frame(queued.message, key[0])
        finally:
            self._active_senders -= 1
            if not self._active_senders:
                self._encoded = None

    def _send_frame(self, message: Message, address: Address) -> None:
        stream: Stream | None = None
        try:
            stream = connect(self._scheduler, address, FRAME_TIMEOUT_S, self._source_host)
            if stream is None:
                self._count("frames_failed", 1)
                return
            timeout = self._scheduler.after(FRAME_TIMEOUT_S, stream.close)
            data = self._encode(message)
            self._count("out_sync", 1)
            self._count("bytes_out", len(data))
            stream.write(data)
            stream.flush()
            stream.read()  # the receiver closes once it has the frame
            timeout.cancel()
        except codec.BadPacketError:
            self._count("unsent", 1)  # the view is too large for a frame
        finally:
            if stream is not None:
                stream.close()

    def _encode(self, message: Message) -> bytes:
        # A large view is expensive to encode, and many members are sent the same one.
        if self._encoded is None or self._encoded[0] != message:
            self._encoded = message, codec.encode_frame(message)
        return self._encoded[1]
