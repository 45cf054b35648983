"""Frames on a connection between peers and the estimate of their time in transit, without I/O.

A frame is encoded as four bytes of length and a protobuf `Frame`.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import isfinite

from google.protobuf.message import DecodeError

from . import forwarding_pb2 as pb

VERSION = 1
LENGTH_BYTES = 4
MAX_HELLO_BYTES = 1024  # largest frame accepted before the sender is identified
CLOCK_BOUND_LIFETIME_S = 60.0  # the bound on a clock difference expires because clocks drift


class BadFrameError(ValueError):
    """The received bytes are not a valid frame; the bytes after them cannot be decoded."""


def encode_frame(message: pb.Frame) -> bytes:
    """Encode a frame and set its version."""
    message.version = VERSION
    data = message.SerializeToString()
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader:
    """Splits a stream of bytes into frames of at most `max_frame_bytes`."""

    def __init__(self, max_frame_bytes: int = MAX_HELLO_BYTES) -> None:
        self.max_frame_bytes = max_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[pb.Frame]:
        """Add received bytes and yield the complete frames.

        Raises:
            BadFrameError: A frame is too large, malformed or of another version.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if not 0 < size <= self.max_frame_bytes:
                raise BadFrameError(
                    f"invalid frame length: {size} bytes, expected 1 to {self.max_frame_bytes}"
                )
            end = LENGTH_BYTES + size
            if len(self._buffer) < end:
                return
            encoded = bytes(self._buffer[LENGTH_BYTES:end])
            del self._buffer[:end]
            yield _decode(encoded)


def _decode(encoded: bytes) -> pb.Frame:
    try:
        message = pb.Frame.FromString(encoded)
    except DecodeError:
        raise BadFrameError("frame is not a valid protobuf message") from None
    if message.version != VERSION:
        raise BadFrameError(f"unsupported frame version {message.version}, expected {VERSION}")
    if message.WhichOneof("body") is None:
        raise BadFrameError("frame has no known body")
    if not isfinite(message.sent):
        raise BadFrameError("sent: must be a finite number")
    return message


class TransitTimeEstimator:
    """Bounds how long a peer's frames were in transit, given two steady clocks with unrelated origins.

    A frame sent at `sent_at` by the local clock and received at `received_at` by the peer's clock gives a
    lower bound on the difference of the clocks. A transit time is therefore never underestimated, and it is
    overestimated by at most the fastest transit in the other direction.
    """

    def __init__(self) -> None:
        self._clock_difference: float | None = None  # lower bound on local minus peer time; None: no echo yet
        self._bound_set_at = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether an echo was recorded."""
        return self._clock_difference is not None

    def record_echo(self, now: float, sent_at: float, received_at: float) -> None:
        """Record that a frame sent at `sent_at` (local clock) arrived at `received_at` (peer's clock)."""
        difference = sent_at - received_at
        if self._clock_difference is None or now > self._bound_set_at + CLOCK_BOUND_LIFETIME_S:
            self._clock_difference, self._bound_set_at = difference, now
        else:
            self._clock_difference = max(self._clock_difference, difference)

    def transit_s(self, now: float, sent_at: float) -> float:
        """Return the transit time of a frame received at `now` and sent at `sent_at` (peer's clock).

        An echo must have been recorded (`is_ready`).
        """
        assert self._clock_difference is not None
        return max(now - sent_at - self._clock_difference, 0.0)
