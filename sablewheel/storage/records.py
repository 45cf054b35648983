"""The bytes of a segment: a header, then numbered records, each with its length and checksum.

Pure: bytes in, records and findings out. The format is told in docs/state-format.md. A record ends where its
length says and counts only if its checksum is right and its number follows; what does not is skipped up to
the next record that can be told by its number, and the finding says where and how much.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from zlib import crc32

VERSION = 1
MAGIC = b"SWSEG"
HEADER = struct.Struct(">5sB8s8sQ")  # magic, version, kind, the writer's incarnation, first record's number
HEADER_SIZE = HEADER.size + 4
RECORD = struct.Struct(">IIQ")  # payload's length, checksum of number and payload, number
PAYLOAD_MOST = 1 << 24
LOOK_AHEAD = 256  # numbers that are looked for behind a damaged record


class SegmentError(ValueError):
    """The header of a segment can't be read, or is of another version or kind."""


@dataclass(frozen=True)
class Header:
    """Who wrote a segment: `kind` names the log, `first` is the number of its first record."""

    kind: bytes
    incarnation: bytes
    first: int


@dataclass(frozen=True)
class Record:
    """A whole record; `offset` is where it begins in its segment, `end` where it ends."""

    number: int
    payload: bytes
    offset: int
    end: int


@dataclass(frozen=True)
class Damage:
    """Bytes between two places of a segment that are no record; `torn`: nothing whole comes after them."""

    offset: int
    end: int
    torn: bool


def header(told: Header) -> bytes:
    data = HEADER.pack(
        MAGIC, VERSION, told.kind.ljust(8, b"\0"), told.incarnation.ljust(8, b"\0"), told.first
    )
    return data + crc32(data).to_bytes(4, "big")


def read_header(data: bytes) -> Header:
    """Raises `SegmentError` that says what is wrong with it."""
    if len(data) < HEADER_SIZE:
        raise SegmentError(f"a header of {len(data)} bytes, {HEADER_SIZE} wanted")
    magic, version, kind, incarnation, first = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SegmentError("not a segment")
    if crc32(data[: HEADER.size]) != int.from_bytes(data[HEADER.size : HEADER_SIZE], "big"):
        raise SegmentError("the header's checksum is wrong")
    if version != VERSION:
        raise SegmentError(f"version {version}, this program reads {VERSION}")
    return Header(kind.rstrip(b"\0"), incarnation, first)


def record(number: int, payload: bytes) -> bytes:
    numbered = number.to_bytes(8, "big")
    return RECORD.pack(len(payload), crc32(payload, crc32(numbered)), number) + payload


def read_one(data: bytes, at: int, last: int) -> Record | None:
    """The whole record at a place, if there is one there whose number is above `last`."""
    if len(data) - at < RECORD.size:
        return None
    size, checksum, number = RECORD.unpack_from(data, at)
    start, end = at + RECORD.size, at + RECORD.size + size
    if not size or size > PAYLOAD_MOST or end > len(data) or number <= last:
        return None
    payload = data[start:end]
    if crc32(payload, crc32(data[at + 8 : start])) != checksum:
        return None
    return Record(number, payload, at, end)


def scan(data: bytes, first: int) -> Iterator[Record | Damage]:
    """All records of a segment's bytes in order, and what lies between them that is none.

    `first` is the lowest number that may come. A number that skips some is no damage here: whoever reads the
    log knows whether numbers may be missing.
    """
    at, last = HEADER_SIZE, first - 1
    while at < len(data):
        found = read_one(data, at, last)
        if found is None:
            found = _next_whole(data, at + 1, last)
            yield Damage(at, found.offset if found else len(data), torn=found is None)
            if found is None:
                return
        yield found
        at, last = found.end, found.number


def _next_whole(data: bytes, at: int, last: int) -> Record | None:
    """The first whole record from a place on, told by the numbers that may come next."""
    best: Record | None = None
    for number in range(last + 1, last + 1 + LOOK_AHEAD):
        place, mark = at + 8, number.to_bytes(8, "big")
        limit = best.offset + 8 if best else len(data)
        while 0 <= (place := data.find(mark, place)) < limit:
            found = read_one(data, place - 8, last)
            if found is not None and found.number == number:
                best = found
                break
            place += 1
    return best
