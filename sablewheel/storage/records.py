"""The binary format of a segment: a header, then numbered records, each with its length and checksum.

This module does no I/O of its own; docs/state-format.md describes the format. A record is valid only if its
checksum is right and its number is above that of the record before it. Bytes that form no valid record are
reported as damage and skipped up to the next valid record, which is found by searching for its number.

No record above `MAX_PAYLOAD_BYTES` is written. Earlier versions wrote such records, so they are read.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from zlib import crc32

VERSION = 1
MAGIC = b"SWSEG"
HEADER = struct.Struct(">5sB8s8sQ")  # magic, version, kind, writer's incarnation, first record number
HEADER_SIZE = HEADER.size + 4
RECORD = struct.Struct(">IIQ")  # length of the payload, checksum of number and payload, number
MAX_PAYLOAD_BYTES = 1 << 24
MIN_RECORD_BYTES = RECORD.size + 1
WINDOW_BYTES = 1 << 20  # how much of a segment is read at a time
NUMBER_OFFSET = 8  # of the number, from the start of its record

ReadBytes = Callable[[int, int], bytes]  # offset and most bytes of a segment -> bytes


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
    torn: (
        bool  # it may be an interrupted write: no valid record follows, and its length may have been written
    )


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
    if crc32(payload, crc32(data[offset + NUMBER_OFFSET : start])) != checksum:
        return None
    return Record(number, payload, offset, end)


def scan(data: bytes, min_number: int) -> Iterator[Record | Damage]:
    """Yield the records of a segment in order, and the damage between them.

    Args:
        data: The bytes of the segment, including its header.
        min_number: The lowest number that a record may have.
    """
    reader = SegmentReader(lambda offset, max_bytes: data[offset : offset + max_bytes], len(data))
    return reader.scan(HEADER_SIZE, min_number - 1)


class SegmentReader:
    """Reads a segment through a window, so that memory depends on its largest record, not on its size."""

    def __init__(self, read: ReadBytes, size: int) -> None:
        """Create a reader.

        Args:
            read: Reads bytes of the segment.
            size: The size of the segment in bytes, including its header.
        """
        self._read, self._size = read, size
        self._window, self._window_start = b"", 0

    def scan(self, offset: int, last_number: int) -> Iterator[Record | Damage]:
        """Yield the records in order, and the damage between them.

        Numbers may be skipped: only a reader of the whole log can tell whether records are missing.

        Args:
            offset: Where a record begins, or the end of the segment.
            last_number: The number above which the numbers of all records are.
        """
        while offset < self._size:
            record = self._record_at(offset, last_number)
            if record is None:
                record = self._find_next(offset + 1, last_number)
                if record is None:
                    yield Damage(offset, self._size, torn=not self._is_length_over_limit(offset))
                    return
                yield Damage(offset, record.offset, torn=False)
            yield record
            offset, last_number = record.end, record.number

    def _load(self, offset: int, size: int) -> int:
        """Make the window hold `size` bytes from an offset, or all there are; return their place in it."""
        end = min(offset + size, self._size)
        if offset < self._window_start or end > self._window_start + len(self._window):
            self._window = self._read(offset, min(max(size, WINDOW_BYTES), self._size - offset))
            self._window_start = offset
        return offset - self._window_start

    def _record_at(self, offset: int, last_number: int) -> Record | None:
        """Return the valid record that begins at an offset, if there is one."""
        place = self._load(offset, RECORD.size)
        if len(self._window) - place < RECORD.size:
            return None
        size, _, number = RECORD.unpack_from(self._window, place)
        if number <= last_number or offset + RECORD.size + size > self._size:
            return None
        place = self._load(offset, RECORD.size + size)
        record = decode_record(self._window, place, last_number)
        return record and Record(record.number, record.payload, offset, offset + RECORD.size + size)

    def _find_next(self, offset: int, last_number: int) -> Record | None:
        """Return the first valid record at or behind an offset, or None.

        The bytes are searched once, for all numbers that a record in the rest of the segment may have.
        """
        max_number = last_number + 1 + (self._size - offset) // MIN_RECORD_BYTES
        pattern = _number_pattern(last_number + 1, max_number)
        while self._size - offset >= MIN_RECORD_BYTES:
            place = self._load(offset, MIN_RECORD_BYTES)
            if len(self._window) - place < MIN_RECORD_BYTES:
                return None  # the file has become shorter
            match = pattern.search(self._window, place + NUMBER_OFFSET)
            if match is None:
                # The next number may begin in this window and end behind it.
                offset = self._window_start + len(self._window) - RECORD.size + 1
                continue
            offset = self._window_start + match.start() - NUMBER_OFFSET
            record = self._record_at(offset, last_number)
            if record is not None and record.number <= max_number:
                return record
            offset += 1
        return None

    def _is_length_over_limit(self, offset: int) -> bool:
        """Return whether the length at an offset was never written, as it exceeds the limit."""
        place = self._load(offset, RECORD.size)
        if len(self._window) - place < RECORD.size:
            return False
        size, _, _ = RECORD.unpack_from(self._window, place)
        return bool(size > MAX_PAYLOAD_BYTES)


def _number_pattern(lowest: int, highest: int) -> re.Pattern[bytes]:
    """Return a pattern that matches the encoded numbers from `lowest` to `highest`, and some other numbers.

    It never matches zero, so that it passes over long runs of zero bytes.
    """
    low, high = lowest.to_bytes(8, "big"), highest.to_bytes(8, "big")
    shared = next((index for index in range(8) if low[index] != high[index]), 7)
    next_byte = (
        b"[" + re.escape(low[shared : shared + 1]) + b"-" + re.escape(high[shared : shared + 1]) + b"]"
    )
    return re.compile(
        rb"(?!\0{8})" + re.escape(low[:shared]) + next_byte + b".{%d}" % (7 - shared), re.DOTALL
    )
