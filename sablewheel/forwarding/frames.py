"""Frames on a connection between peers, and the estimate of how long they were in transit. Pure.

A frame is four bytes of length and a protobuf `Frame`.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import isfinite

from google.protobuf.message import DecodeError

from . import forwarding_pb2 as pb

VERSION = 1
LENGTH_BYTES = 4
MAX_HELLO_BYTES = 1024  # of a frame before the sender is identified
CLOCK_BOUND_LIFETIME_S = 60.0  # the bound on the difference of two clocks expires, as they drift


class BadFrameError(ValueError):
    """The bytes received are no frame; nothing after them can be read."""


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
        """Add received bytes and yield the frames that are complete.

        Raises:
            BadFrameError: A frame is too large, malformed or of another version.
        """
        self._buffer += data
        while len(self._buffer) >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
            if not 0 < size <= self.max_frame_bytes:
                raise BadFrameError(f"a frame of {size} bytes, 1 to {self.max_frame_bytes} are taken")
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
        raise BadFrameError("a frame that can't be read") from None
    if message.version != VERSION:
        raise BadFrameError(f"a frame of version {message.version}, {VERSION} is known here")
    if message.WhichOneof("body") is None:
        raise BadFrameError("a frame of no kind that this version knows")
    if not isfinite(message.sent):
        raise BadFrameError("sent: a number is wanted")
    return message


class TransitTimeEstimator:
    """Bounds how long a peer's frames were in transit, given two steady clocks with unrelated origins.

    A frame sent at `sent_at` by the local clock and received at `received_at` by the peer's bounds the
    difference of the clocks from one side. So a transit time is never underestimated, and overestimated by no
    more than the fastest transit in the other direction.
    """

    def __init__(self) -> None:
        self._clock_difference: float | None = None  # a lower bound of local minus peer
        self._bounded_at = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether an echo was recorded."""
        return self._clock_difference is not None

    def record_echo(self, now: float, sent_at: float, received_at: float) -> None:
        """Record that the peer received a frame at `received_at` (its clock), sent at `sent_at` (local)."""
        difference = sent_at - received_at
        if self._clock_difference is None or now > self._bounded_at + CLOCK_BOUND_LIFETIME_S:
            self._clock_difference, self._bounded_at = difference, now
        else:
            self._clock_difference = max(self._clock_difference, difference)

    def transit_s(self, now: float, sent_at: float) -> float:
        """Return how long a frame was in transit, received now and sent at `sent_at` by the peer's clock.

        Requires an echo (`is_ready`).
        """
        assert self._clock_difference is not None
        return max(now - sent_at - self._clock_difference, 0.0)
