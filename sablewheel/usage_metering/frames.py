"""The export's frames: four bytes of length, then a Frame. Bytes in, frames out, fed as they come. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf.message import DecodeError

from . import usage_metering_pb2 as pb

LENGTH_BYTES = 4


class FrameError(ValueError):
    """What came is no frame; nothing after it can be read."""


def frame(kind: pb.Frame) -> bytes:
    """Return the bytes of one frame."""
    data = kind.SerializeToString()
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class Frames:
    """Takes bytes as they come, gives the frames that are complete; `most` bounds one frame, in bytes."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._bytes = bytearray()

    @property
    def partial(self) -> bool:
        """Whether bytes of an incomplete frame are buffered."""
        return bool(self._bytes)

    def feed(self, data: bytes) -> Iterator[pb.Frame]:
        """Take more bytes and yield the frames that are complete; raises `FrameError`."""
        self._bytes += data
        at = 0
        try:
            while len(self._bytes) - at >= LENGTH_BYTES:
                size = int.from_bytes(self._bytes[at : at + LENGTH_BYTES], "big")
                if not 0 < size <= self._most:
                    raise FrameError(f"a frame of {size} bytes, 1 to {self._most} are taken")
                if len(self._bytes) - at < LENGTH_BYTES + size:
                    return
                whole = bytes(self._bytes[at + LENGTH_BYTES : at + LENGTH_BYTES + size])
                at += LENGTH_BYTES + size
                try:
                    read = pb.Frame.FromString(whole)
                except DecodeError:
                    raise FrameError("a frame that can't be read") from None
                if read.WhichOneof("kind") is None:
                    raise FrameError("a frame of no kind that this version knows")
                yield read
        finally:
            del self._bytes[:at]
