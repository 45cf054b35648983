"""The log: numbered records in segments, written in groups, read from any position, released from the front.

Blocking: it runs on a worker thread, or in a tool. Each start writes segments of its own and never changes
those before it, so recovery only reads. After a fault nothing more is written to that segment either: what a
failed fsync has left in the page cache can't be trusted, so the same records go to a new segment.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from . import records
from .files import SegmentFiles

MAX_SEGMENT_BYTES = 1 << 26  # that recovery reads of one file; segments are written far smaller
READ_CHUNK_BYTES = 1 << 18
NO_LIMIT = 1 << 63  # above every record's number
MAX_NAME_ATTEMPTS = 10**6


class CommitError(OSError):
    """A commit that failed; none of its records counts as durable."""

    @property
    def is_disk_full(self) -> bool:
        """Whether more space would help."""
        return self.errno in (errno.ENOSPC, errno.EDQUOT)


@dataclass(frozen=True)
class LogPosition:
    """Where a record begins, or where reading continues. Positions are ordered as the log is."""

    segment: int  # counted in the order of the log, from 0, released ones included
    offset: int


LOG_START = LogPosition(0, 0)


@dataclass
class Segment:
    """One file: its valid size in bytes, and the numbers of its first and last record."""

    name: str
    first: int
    size: int
    last: int  # below `first` while it has no record
    sealed: bool = True


@dataclass
class RecoveryReport:
    """What recovery read."""

    records: int = 0
    bytes: int = 0
    segments: int = 0
    torn_bytes: int = 0  # at the ends of segments, left by a kill or a fault: never promised to anybody
    damage: list[str] = field(default_factory=list)  # records lost, each with file and place
    duplicate_records: int = 0  # of commits that failed and were written again to a later segment


RecordVisitor = Callable[[int, bytes, LogPosition], None]


class Log:
    """One log in one folder.

    Invariant: `last_number` is durable, and `size_bytes` is the sum of the valid bytes of its segments.

    Args:
        files: The folder.
        kind: The name of the log, at most 8 bytes.
        incarnation: The writer's incarnation, 8 bytes.
        max_bytes: Bound of all segments together; past it a commit is refused as on a full disk.
        segment_bytes: A segment of this size is followed by a new one.
    """

    def __init__(
        self,
        files: SegmentFiles,
        kind: bytes,
        incarnation: bytes,
        max_bytes: int,
        segment_bytes: int = 8 << 20,
    ) -> None:
        self._files, self._kind, self._incarnation = files, kind, incarnation
        self._max_bytes, self._segment_bytes = max_bytes, segment_bytes
        self._segments: list[Segment] = []
        self._released_segments = 0
        self.last_number = 0
        self.size_bytes = 0

    # -- recovery

    def recover(self, visit: RecordVisitor) -> RecoveryReport:
        """Read the whole log in order; `visit` gets each record once: number, payload, position."""
        report = RecoveryReport()
        headers = [(name, self._read_header(name, report)) for name in self._files.names()]
        readable = [(name, header) for name, header in headers if header is not None]
        limits = _number_limits([header for _, header in readable])
        for (name, header), limit in zip(readable, limits, strict=True):
            self._recover_segment(name, header, limit, report, visit)
        report.bytes = self.size_bytes
        return report

    def _read_header(self, name: str, report: RecoveryReport) -> records.Header | None:
        data = self._files.read(name, 0, records.HEADER_SIZE)
        report.segments += 1
        try:
            return _decode_header_of(self._kind, data)
        except records.SegmentError as error:
            size = self._files.size(name)
            if size < records.HEADER_SIZE:  # killed while it was created: it holds no record
                report.torn_bytes += size
                self._files.remove(name)
            else:
                report.damage.append(f"{name}: {error}; {size} bytes left as they are")
            return None

    def _recover_segment(
        self, name: str, header: records.Header, limit: int, report: RecoveryReport, visit: RecordVisitor
    ) -> None:
        data = self._files.read(name, 0, MAX_SEGMENT_BYTES)
        segment = Segment(name, header.first, records.HEADER_SIZE, header.first - 1)
        index, damaged = len(self._segments), False
        for item in records.scan(data, header.first):
            if isinstance(item, records.Damage):
                if item.torn:
                    report.torn_bytes += item.end - item.offset
                else:
                    damaged = True
                    report.damage.append(_describe_damage(name, item))
                continue
            if item.number >= limit or item.number <= self.last_number:
                report.duplicate_records += 1
                continue
            if item.number > self.last_number + 1 and self.last_number:
                report.damage.append(
                    f"{name}: records {self.last_number + 1} to {item.number - 1} are missing"
                )
            self.last_number = segment.last = item.number
            segment.size = item.end
            report.records += 1
            visit(item.number, item.payload, LogPosition(index, item.offset))
        if segment.last >= segment.first:
            self._segments.append(segment)
            self.size_bytes += segment.size
        elif not damaged:
            self._files.remove(name)

    # -- writing

    def commit(self, payloads: Sequence[bytes]) -> int:
        """Make all records durable, in order.

        Returns:
            The number of the last one.

        Raises:
            CommitError: The disk failed or is full; none of the records counts.
        """
        first = self.last_number + 1
        data = b"".join(records.encode_record(first + index, one) for index, one in enumerate(payloads))
        if self.size_bytes + len(data) + records.HEADER_SIZE > self._max_bytes:
            raise CommitError(errno.ENOSPC, f"the log has reached its bound of {self._max_bytes} bytes")
        try:
            segment = self._writable_segment()
            self._files.append(segment.name, data)
            self._files.sync(segment.name)
        except OSError as error:
            self._seal_after_fault()
            raise CommitError(error.errno or errno.EIO, error.strerror or str(error)) from error
        segment.size += len(data)
        self.size_bytes += len(data)
        self.last_number += len(payloads)
        segment.last = self.last_number
        return self.last_number

    def _writable_segment(self) -> Segment:
        if self._segments and not self._segments[-1].sealed:
            if self._segments[-1].size < self._segment_bytes:
                return self._segments[-1]
            self._segments[-1].sealed = True
        first = self.last_number + 1
        header = records.encode_header(records.Header(self._kind, self._incarnation, first))
        name = self._unused_name(first)
        self._files.create(name)
        segment = Segment(name, first, 0, self.last_number, sealed=False)
        self._segments.append(segment)
        self._files.append(name, header)
        segment.size = len(header)
        self.size_bytes += len(header)
        return segment

    def _unused_name(self, first: int) -> str:
        existing = set(self._files.names())
        names = (
            f"{first:016x}-{attempt:04x}-{self._incarnation.hex()}.seg"
            for attempt in range(MAX_NAME_ATTEMPTS)
        )
        return next(name for name in names if name not in existing)

    def _seal_after_fault(self) -> None:
        """Write no more to the last segment, and cut off what is not valid if the disk allows it."""
        if not self._segments or self._segments[-1].sealed:
            return
        segment = self._segments[-1]
        segment.sealed = True
        try:
            if segment.last < segment.first:
                self._segments.pop()
                self.size_bytes -= segment.size
                self._files.remove(segment.name)
            else:
                self._files.truncate(segment.name, segment.size)
        except OSError:
            pass  # recovery knows records behind the valid end by their numbers, and counts each once

    # -- reading

    def read(
        self, position: LogPosition, max_bytes: int
    ) -> tuple[list[tuple[bytes, LogPosition]], LogPosition]:
        """Read records from a position on, about `max_bytes` bytes of them.

        Returns:
            The payloads, each with its position, and the position where reading continues.
        """
        found: list[tuple[bytes, LogPosition]] = []
        number, offset, remaining = position.segment, position.offset, max_bytes
        if number < self._released_segments:
            number, offset = self._released_segments, 0
        while number - self._released_segments < len(self._segments):
            segment = self._segments[number - self._released_segments]
            offset = max(offset, records.HEADER_SIZE)
            for record in self._read_segment(segment, offset, remaining):
                found.append((record.payload, LogPosition(number, record.offset)))
                remaining -= record.end - record.offset
                offset = record.end
            if remaining <= 0:
                return found, LogPosition(number, offset)
            if segment is self._segments[-1]:
                return found, LogPosition(number, min(offset, segment.size))
            number, offset = number + 1, 0
        return found, LogPosition(number, offset)

    def _read_segment(self, segment: Segment, offset: int, max_bytes: int) -> Iterator[records.Record]:
        """Records of one segment from an offset on, until they add up to `max_bytes`."""
        while offset < segment.size and max_bytes > 0:
            data = self._read_chunk(segment, offset, max_bytes)
            end = 0
            while max_bytes > 0 and (record := records.decode_record(data, end, -1)) is not None:
                yield records.Record(record.number, record.payload, offset + end, offset + record.end)
                max_bytes -= record.end - end
                end = record.end
            if not end:  # damaged here, which recovery has reported: continue behind it
                remainder = self._files.read(segment.name, offset, segment.size - offset)
                next_record = records.find_next_record(remainder, 1, segment.first - 1)
                if next_record is None:
                    return
                end = next_record.offset
            offset += end

    def _read_chunk(self, segment: Segment, offset: int, max_bytes: int) -> bytes:
        """Bytes from an offset on that hold at least one record, if a record begins there."""
        prefix = self._files.read(segment.name, offset, records.RECORD.size)
        if len(prefix) < records.RECORD.size:
            return b""
        record_size = records.RECORD.size + records.RECORD.unpack(prefix)[0]
        size = max(record_size, min(max_bytes, READ_CHUNK_BYTES))
        return self._files.read(segment.name, offset, min(size, segment.size - offset))

    # -- releasing

    def release(self, position: LogPosition, keep_bytes: int) -> int:
        """Delete segments wholly before a position, the oldest first, while more than `keep_bytes` remain.

        Returns:
            The bytes freed.
        """
        freed = 0
        while self._segments and self._released_segments < position.segment:
            before = self._segments[: position.segment - self._released_segments]
            oldest = self._segments[0]
            if sum(one.size for one in before) - oldest.size < keep_bytes or not oldest.sealed:
                break
            freed += self._release_oldest()
        return freed

    def release_through(self, number: int) -> int:
        """Delete segments whose records all have numbers up to this one.

        Returns:
            The bytes freed.
        """
        freed = 0
        while self._segments and self._segments[0].sealed and self._segments[0].last <= number:
            freed += self._release_oldest()
        return freed

    def _release_oldest(self) -> int:
        oldest = self._segments[0]
        self._files.remove(oldest.name)
        self._segments.pop(0)
        self._released_segments += 1
        self.size_bytes -= oldest.size
        return oldest.size

    @property
    def first_segment(self) -> int:
        """The first segment that is not released, as positions count them."""
        return self._released_segments

    def close(self) -> None:
        """Release the folder."""
        self._files.close()


def read_folder(folder: Path, kind: bytes, notes: list[str]) -> Iterator[tuple[int, bytes]]:
    """Read the records of a folder that may be in use, as recovery would; takes no lock.

    Args:
        folder: The log's folder.
        kind: The name of the log.
        notes: Gets a line for each unreadable segment and each damage.

    Yields:
        Number and payload of each record, in order.
    """
    segments: list[tuple[Path, records.Header]] = []
    for path in sorted(folder.glob("*.seg")):
        try:
            with path.open("rb") as file:
                segments.append((path, _decode_header_of(kind, file.read(records.HEADER_SIZE))))
        except (records.SegmentError, FileNotFoundError) as error:
            notes.append(f"{path}: {error}")
    last_number = 0
    limits = _number_limits([header for _, header in segments])
    for (path, header), limit in zip(segments, limits, strict=True):
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            continue  # released meanwhile
        for item in records.scan(data, header.first):
            if isinstance(item, records.Damage):
                if not item.torn:
                    notes.append(_describe_damage(str(path), item))
            elif last_number < item.number < limit:
                last_number = item.number
                yield item.number, item.payload


def _decode_header_of(kind: bytes, data: bytes) -> records.Header:
    header = records.decode_header(data)
    if header.kind != kind:
        raise records.SegmentError(f"a log of kind {header.kind.decode('ascii', 'replace')}")
    return header


def _number_limits(headers: Sequence[records.Header]) -> list[int]:
    """For each segment the first record's number of the next one.

    Records of a segment from there on were not durable: they were written again to the next one.
    """
    return [*(header.first for header in headers[1:]), NO_LIMIT][: len(headers)]


def _describe_damage(name: str, damage: records.Damage) -> str:
    return f"{name}: bytes {damage.offset} to {damage.end} are no record"
