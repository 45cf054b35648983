"""The bytes of a link: four bytes of length, then a Frame; and how long a frame was on its way. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from math import isfinite

from google.protobuf.message import DecodeError

from . import forwarding_pb2 as pb

VERSION = 1
SIZE = 4
HELLO_MOST = 1024  # bytes of a frame before the sender is known
ANEW = 60.0  # so often the bound on two clocks is taken anew, as they drift


class BadFrameError(ValueError):
    """What came is no frame; nothing after it can be read."""


def frame(told: pb.Frame) -> bytes:
    """The bytes of a frame; its version is set here."""
    told.version = VERSION
    data = told.SerializeToString()
    return len(data).to_bytes(SIZE, "big") + data


class Frames:
    """Takes bytes as they come, gives the frames that are complete; `most` bounds one frame, in bytes."""

    def __init__(self, most: int = HELLO_MOST) -> None:
        self.most = most
        self._bytes = bytearray()

    def feed(self, data: bytes) -> Iterator[pb.Frame]:
        """Raises `BadFrameError` and nothing else."""
        self._bytes += data
        while len(self._bytes) >= SIZE:
            size = int.from_bytes(self._bytes[:SIZE], "big")
            if not 0 < size <= self.most:
                raise BadFrameError(f"a frame of {size} bytes, 1 to {self.most} are taken")
            if len(self._bytes) < SIZE + size:
                return
            whole = bytes(self._bytes[SIZE : SIZE + size])
            del self._bytes[: SIZE + size]
            try:
                read = pb.Frame.FromString(whole)
            except DecodeError:
                raise BadFrameError("a frame that can't be read") from None
            if read.version != VERSION:
                raise BadFrameError(f"a frame of version {read.version}, {VERSION} is known here")
            if read.WhichOneof("body") is None:
                raise BadFrameError("a frame of no kind that this version knows")
            if not isfinite(read.sent):
                raise BadFrameError("sent: a number is wanted")
            yield read


class Hops:
    """How long frames of one peer are on their way, by two steady clocks that have nothing in common.

    A frame of ours that was sent at `of` and came at `got` there bounds the difference from one side: what
    comes from there at our `now`, sent at their `sent`, was on its way for at most (now - sent) - (of - got).
    So a hop is never taken for shorter than it was, and for longer by no more than the fastest way back.
    """

    def __init__(self) -> None:
        self._least: float | None = None  # of what our clock shows beyond theirs
        self._taken = 0.0

    @property
    def known(self) -> bool:
        return self._least is not None

    def echoed(self, now: float, of: float, got: float) -> None:
        if self._least is None or now > self._taken + ANEW:
            self._least, self._taken = of - got, now
        else:
            self._least = max(self._least, of - got)

    def hop(self, now: float, sent: float) -> float:
        """Seconds, 0 or more; only once an echo is `known`."""
        assert self._least is not None
        return max(now - sent - self._least, 0.0)
