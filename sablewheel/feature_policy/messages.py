"""What members say to each other of policies; bytes are `codec`'s matter."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CHUNK_BYTES = 12 << 10  # bytes of a bundle in one message


@dataclass(frozen=True)
class Offer:
    """I hold this one."""

    name: str


@dataclass(frozen=True)
class Fetch:
    """Let node name have it from this byte on."""

    name: str
    at: int


@dataclass(frozen=True)
class BundleChunk:
    """Some of it; `total` 0: I hold none of that name."""

    name: str
    at: int
    total: int
    data: bytes


@dataclass(frozen=True)
class BundleRejected:
    """I hold it for wrong, and so do not stage it."""

    name: str
    why: str


Message = Offer | Fetch | BundleChunk | BundleRejected
