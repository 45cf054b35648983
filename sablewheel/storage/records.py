"""The bytes of a segment: a header, then numbered records, each with its length and checksum.

Pure; the format is described in docs/state-format.md. A record ends where its length says, and counts only if
its checksum is right and its number is above that of the record before it. Bytes that are no record are
skipped up to the next valid record, which is found by its number, and reported as damage.
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
MAX_PAYLOAD_BYTES = 1 << 24
MAX_NUMBERS_SEARCHED = 256  # numbers that are searched for behind a damaged record


class SegmentError(ValueError):
    """The header of a segment can't be read, or is of another version or kind."""


@dataclass(frozen=True)
class Header:
    """A segment's header: `kind` names the log, `first` is the number of its first record."""

    kind: bytes
    incarnation: bytes
    first: int


@dataclass(frozen=True)
class Record:
    """A valid record, with the offsets of its begin and end in its segment."""

    number: int
    payload: bytes
    offset: int
    end: int


@dataclass(frozen=True)
class Damage:
    """A range of bytes that holds no valid record; `torn`: no valid record comes after it."""

    offset: int
    end: int
    torn: bool


def encode_header(header: Header) -> bytes:
    """The bytes of a segment's header."""
    kind, incarnation = header.kind.ljust(8, b"\0"), header.incarnation.ljust(8, b"\0")
    data = HEADER.pack(MAGIC, VERSION, kind, incarnation, header.first)
    return data + crc32(data).to_bytes(4, "big")


def decode_header(data: bytes) -> Header:
    """The header of a segment.

    Raises:
        SegmentError: The data is too short, damaged, of another version or no segment.
    """
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


def encode_record(number: int, payload: bytes) -> bytes:
    """The bytes of one record."""
    number_bytes = number.to_bytes(8, "big")
    return RECORD.pack(len(payload), crc32(payload, crc32(number_bytes)), number) + payload


def decode_record(data: bytes, offset: int, last_number: int) -> Record | None:
    """The valid record at an offset, or None if there is none whose number is above `last_number`."""
    if len(data) - offset < RECORD.size:
        return None
    size, checksum, number = RECORD.unpack_from(data, offset)
    start, end = offset + RECORD.size, offset + RECORD.size + size
    if not size or size > MAX_PAYLOAD_BYTES or end > len(data) or number <= last_number:
        return None
    payload = data[start:end]
    if crc32(payload, crc32(data[offset + 8 : start])) != checksum:
        return None
    return Record(number, payload, offset, end)


def scan(data: bytes, first: int) -> Iterator[Record | Damage]:
    """All records of a segment's bytes in order, and the damage between them.

    Numbers may be skipped: only the reader of the whole log knows whether records are missing.

    Args:
        data: The bytes of the segment from its header on.
        first: The lowest number that a record may have.
    """
    offset, last_number = HEADER_SIZE, first - 1
    while offset < len(data):
        record = decode_record(data, offset, last_number)
        if record is None:
            record = find_next_record(data, offset + 1, last_number)
            yield Damage(offset, record.offset if record else len(data), torn=record is None)
            if record is None:
                return
        yield record
        offset, last_number = record.end, record.number


def find_next_record(data: bytes, offset: int, last_number: int) -> Record | None:
    """The first valid record at or behind an offset, found by the numbers that may follow `last_number`."""
    first_found: Record | None = None
    for number in range(last_number + 1, last_number + 1 + MAX_NUMBERS_SEARCHED):
        position, number_bytes = offset + 8, number.to_bytes(8, "big")
        limit = first_found.offset + 8 if first_found else len(data)
        while 0 <= (position := data.find(number_bytes, position)) < limit:
            record = decode_record(data, position - 8, last_number)
            if record is not None and record.number == number:
                first_found = record
                break
            position += 1
    return first_found
