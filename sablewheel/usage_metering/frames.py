"""Encode and decode the export's frames: a length of four bytes, then a `Frame` message. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from google.protobuf.message import DecodeError

from . import usage_metering_pb2 as pb

LENGTH_BYTES = 4


class FrameError(ValueError):
    """The received bytes are not a frame; the rest of the stream can't be decoded."""


def encode_frame(message: pb.Frame) -> bytes:
    """Return the bytes of one frame."""
    data = message.SerializeToString()
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameDecoder:
    """Decodes frames from a byte stream; a frame has at most `max_bytes` bytes."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffer = bytearray()

    @property
    def has_partial_frame(self) -> bool:
        """Whether bytes of an incomplete frame are buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> Iterator[pb.Frame]:
        """Add received bytes and yield the complete frames; raises `FrameError`."""
        self._buffer += data
        position = 0
        try:
            while len(self._buffer) - position >= LENGTH_BYTES:
                size = int.from_bytes(self._buffer[position : position + LENGTH_BYTES], "big")
                if not 0 < size <= self._max_bytes:
                    raise FrameError(f"a frame of {size} bytes, 1 to {self._max_bytes} are taken")
                if len(self._buffer) - position < LENGTH_BYTES + size:
                    return
                payload = bytes(self._buffer[position + LENGTH_BYTES : position + LENGTH_BYTES + size])
                position += LENGTH_BYTES + size
                try:
                    message = pb.Frame.FromString(payload)
                except DecodeError:
                    raise FrameError("a frame that can't be read") from None
                if message.WhichOneof("kind") is None:
                    raise FrameError("a frame of no kind that this version knows")
                yield message
        finally:
            del self._buffer[:position]
