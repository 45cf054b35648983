"""The binary format of a segment: a header, then numbered records, each with its length and checksum.

This module does no I/O; docs/state-format.md describes the format. A record is valid only if its checksum is
right and its number is above that of the record before it. Bytes that form no valid record are reported as
damage and skipped up to the next valid record, which is found by searching for its number.

No record above `MAX_PAYLOAD_BYTES` is written. Earlier versions wrote such records, so they are read.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from zlib import crc32

VERSION = 1
MAGIC = b"SWSEG"
HEADER = struct.Struct(">5sB8s8sQ")  # magic, version, kind, writer's incarnation, first record number
HEADER_SIZE = HEADER.size + 4
RECORD = struct.Struct(">IIQ")  # length of the payload, checksum of number and payload, number
MAX_PAYLOAD_BYTES = 1 << 24
MAX_NUMBERS_SEARCHED = 256  # how many record numbers are searched for behind damage


class SegmentError(ValueError):
    """The header of a segment cannot be read, or has another version or kind."""


class RecordTooLargeError(ValueError):
    """A payload is larger than `MAX_PAYLOAD_BYTES`."""

    def __init__(self, payload_bytes: int) -> None:
        super().__init__(f"a record of {payload_bytes} bytes is over the limit of {MAX_PAYLOAD_BYTES} bytes")


@dataclass(frozen=True)
class Header:
    """The header of a segment."""

    kind: bytes  # name of the log
    incarnation: bytes  # incarnation of the server that wrote the segment
    first_number: int  # number of the first record


@dataclass(frozen=True)
class Record:
    """A valid record; `offset` and `end` are its byte range in the segment."""

    number: int
    payload: bytes
    offset: int
    end: int


@dataclass(frozen=True)
class Damage:
    """A byte range of a segment that holds no valid record."""

    offset: int
    end: int
    torn: bool  # no valid record follows, so it may be an interrupted write


def encode_header(header: Header) -> bytes:
    """Encode the header of a segment."""
    kind, incarnation = header.kind.ljust(8, b"\0"), header.incarnation.ljust(8, b"\0")
    data = HEADER.pack(MAGIC, VERSION, kind, incarnation, header.first_number)
    return data + crc32(data).to_bytes(4, "big")


def decode_header(data: bytes) -> Header:
    """Decode the header of a segment.

    Raises:
        SegmentError: The data is too short, damaged, of another version or not a segment.
    """
    if len(data) < HEADER_SIZE:
        raise SegmentError(f"header truncated: got {len(data)} of {HEADER_SIZE} bytes")
    magic, version, kind, incarnation, first_number = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise SegmentError("not a segment")
    if crc32(data[: HEADER.size]) != int.from_bytes(data[HEADER.size : HEADER_SIZE], "big"):
        raise SegmentError("the checksum of the header is wrong")
    if version != VERSION:
        raise SegmentError(f"unsupported version {version}, expected {VERSION}")
    return Header(kind.rstrip(b"\0"), incarnation, first_number)


def check_payload(payload: bytes) -> None:
    """Check that a payload may be written.

    Raises:
        RecordTooLargeError: The payload is too large.
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise RecordTooLargeError(len(payload))


def encode_record(number: int, payload: bytes) -> bytes:
    """Encode one record.

    Raises:
        RecordTooLargeError: The payload is too large.
    """
    check_payload(payload)
    number_bytes = number.to_bytes(8, "big")
    return RECORD.pack(len(payload), crc32(payload, crc32(number_bytes)), number) + payload


def decode_record(data: bytes, offset: int, last_number: int) -> Record | None:
    """Return the record at an offset, or None if it is not valid or its number is not above `last_number`."""
    if len(data) - offset < RECORD.size:
        return None
    size, checksum, number = RECORD.unpack_from(data, offset)
    start, end = offset + RECORD.size, offset + RECORD.size + size
    if not size or end > len(data) or number <= last_number:
        return None
    payload = data[start:end]
    if crc32(payload, crc32(data[offset + 8 : start])) != checksum:
        return None
    return Record(number, payload, offset, end)


def scan(data: bytes, min_number: int) -> Iterator[Record | Damage]:
    """Yield the records of a segment in order, and the damage between them.

    Numbers may be skipped: only a reader of the whole log can tell whether records are missing.

    Args:
        data: The bytes of the segment, including its header.
        min_number: The lowest number that a record may have.
    """
    offset, last_number = HEADER_SIZE, min_number - 1
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
    """Return the first valid record at or behind an offset, or None.

    The bytes are searched for the `MAX_NUMBERS_SEARCHED` numbers that follow `last_number`.
    """
    earliest: Record | None = None
    for number in range(last_number + 1, last_number + 1 + MAX_NUMBERS_SEARCHED):
        position, number_bytes = offset + 8, number.to_bytes(8, "big")
        limit = earliest.offset + 8 if earliest else len(data)
        while 0 <= (position := data.find(number_bytes, position)) < limit:
            record = decode_record(data, position - 8, last_number)
            if record is not None and record.number == number:
                earliest = record
                break
            position += 1
    return earliest
