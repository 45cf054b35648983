"""Messages that members exchange about policies; `codec` encodes them."""

from __future__ import annotations

from dataclasses import dataclass

MAX_CHUNK_BYTES = 12 << 10  # bundle bytes in one message


@dataclass(frozen=True)
class Offer:
    """Announces that the sender holds the bundle `name`."""

    name: str


@dataclass(frozen=True)
class Fetch:
    """Requests the bundle `name` from byte `offset` on."""

    name: str
    offset: int


@dataclass(frozen=True)
class BundleChunk:
    """Bytes of the bundle `name` from byte `offset` on.

    `total` is the size of the bundle in bytes; 0 if the sender does not hold it.
    """

    name: str
    offset: int
    total: int
    data: bytes


@dataclass(frozen=True)
class BundleRejected:
    """Reports that the sender found the bundle `name` invalid and does not stage it."""

    name: str
    reason: str


Message = Offer | Fetch | BundleChunk | BundleRejected
