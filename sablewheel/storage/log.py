"""The log: numbered records in segment files, written in groups, read from any position, freed oldest first.

All calls block, so they run on a worker thread or in a command-line tool. Each incarnation of a server writes
its own segments and never changes older ones, so recovery only reads them. After a fault, nothing more is
written to the segment in use: the page cache cannot be trusted after a failed fsync, so the same records are
written to a new segment.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from functools import partial

from . import records
from .files import SegmentFiles

MIN_CHUNK_BYTES = (
    1 << 20
)  # of a group; each is synced, as a power failure may keep the later of two writes only
NO_LIMIT = 1 << 63  # above every record number
MAX_NAME_ATTEMPTS = 10**6


class CommitError(OSError):
    """A commit failed; none of its records counts as durable."""

    @property
    def is_disk_full(self) -> bool:
        """Whether the commit failed because the disk, a quota or the log's own limit is full."""
        return self.errno in (errno.ENOSPC, errno.EDQUOT)


@dataclass(frozen=True)
class LogPosition:
    """The position of a record, or the position at which reading continues.

    Later records have a larger segment, or the same segment and a larger offset.
    """

    segment: int  # index of the segment in the log, from 0, counting released segments
    offset: int  # in bytes from the start of the segment


LOG_START = LogPosition(0, 0)


@dataclass
class Segment:
    """One segment file."""

    name: str
    first_number: int  # number of the first record
    size: int  # valid bytes
    last_number: int  # number of the last record; below `first_number` if there is no record
    sealed: bool = True  # nothing more is written to it


@dataclass
class RecoveryReport:
    """The results of a recovery."""

    records: int = 0
    bytes: int = 0
    segments: int = 0
    torn_bytes: int = 0  # unfinished writes at the ends of segments, never reported as durable
    damage: list[str] = field(default_factory=list)  # descriptions of the damage, each with its file
    sync_error: str = ""  # why the last records may not be durable; empty if they are
    duplicate_records: int = 0  # records of failed commits that were written again to a later segment


RecordVisitor = Callable[[int, bytes, LogPosition], None]


class Log:
    """One log in one folder.

    Invariant: the records up to `last_number` are durable, and `size_bytes` is the sum of the valid bytes of
    all segments.

    Args:
        files: The segment files of the folder.
        kind: The name of the log, at most 8 bytes.
        incarnation: The incarnation of the writing server, 8 bytes.
        max_bytes: The size limit of the log; a commit beyond it fails as on a full disk.
        segment_bytes: Once a segment reaches this size, the next commit starts a new one.
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
        """Read the whole log in order and call `visit` once per record, with number, payload and position.

        All records that were visited are durable once this method returns, or the report has a `sync_error`.
        """
        report = RecoveryReport()
        headers = [(name, self._read_header(name, report)) for name in self._files.names()]
        readable = [(name, header) for name, header in headers if header is not None]
        limits = number_limits([header for _, header in readable])
        for (name, header), limit in zip(readable, limits, strict=True):
            self._recover_segment(name, header, limit, report, visit)
        self._sync_last_segment(report)
        report.bytes = self.size_bytes
        return report

    def _sync_last_segment(self, report: RecoveryReport) -> None:
        """Sync the last segment: a kill may have left written records that are not synced yet."""
        if self._segments:
            try:
                self._files.sync(self._segments[-1].name)
            except (
                OSError
            ) as error:  # the records are served all the same, as a full disk must not prevent a start
                report.sync_error = f"{self._segments[-1].name}: {error}"

    def _read_header(self, name: str, report: RecoveryReport) -> records.Header | None:
        data = self._files.read(name, 0, records.HEADER_SIZE)
        report.segments += 1
        try:
            return decode_header_of(self._kind, data)
        except records.SegmentError as error:
            size = self._files.size(name)
            if size < records.HEADER_SIZE:  # the server was killed while creating it
                report.torn_bytes += size
                self._files.remove(name)
            else:
                report.damage.append(f"{name}: {error}; {size} bytes left unchanged")
            return None

    def _recover_segment(
        self, name: str, header: records.Header, limit: int, report: RecoveryReport, visit: RecordVisitor
    ) -> None:
        reader = records.SegmentReader(partial(self._files.read, name), self._files.size(name))
        segment = Segment(name, header.first_number, records.HEADER_SIZE, header.first_number - 1)
        index, damaged = len(self._segments), False
        for item in reader.scan(records.HEADER_SIZE, header.first_number - 1):
            if isinstance(item, records.Damage):
                if is_unfinished_write(item, limit, self.last_number):
                    report.torn_bytes += item.end - item.offset
                else:
                    damaged = True
                    report.damage.append(describe_damage(name, item))
                continue
            if item.number >= limit or item.number <= self.last_number:
                report.duplicate_records += 1
                continue
            if item.number > self.last_number + 1 and self.last_number:
                report.damage.append(
                    f"{name}: records {self.last_number + 1} to {item.number - 1} are missing"
                )
            self.last_number = segment.last_number = item.number
            segment.size = item.end
            report.records += 1
            visit(item.number, item.payload, LogPosition(index, item.offset))
        if segment.last_number >= segment.first_number:
            self._segments.append(segment)
            self.size_bytes += segment.size
        elif not damaged:
            self._files.remove(name)

    # -- writing

    def commit(self, payloads: Sequence[bytes]) -> int:
        """Write the records in order and make them durable.

        Returns:
            The number of the last record.

        Raises:
            CommitError: The disk failed or is full; none of the records counts as durable.
            RecordTooLargeError: A record is over the size limit; nothing was written.
        """
        first_number = self.last_number + 1
        chunks = _chunks(
            records.encode_record(first_number + index, payload) for index, payload in enumerate(payloads)
        )
        group_bytes = sum(map(len, chunks))
        if self.size_bytes + group_bytes + records.HEADER_SIZE > self._max_bytes:
            raise CommitError(errno.ENOSPC, f"the log has reached its limit of {self._max_bytes} bytes")
        try:
            segment = self._writable_segment()
            for chunk in chunks:
                self._files.append(segment.name, chunk)
                self._files.sync(segment.name)
        except OSError as error:
            self._seal_after_fault()
            raise CommitError(error.errno or errno.EIO, error.strerror or str(error)) from error
        segment.size += group_bytes
        self.size_bytes += group_bytes
        self.last_number += len(payloads)
        segment.last_number = self.last_number
        return self.last_number

    def _writable_segment(self) -> Segment:
        if self._segments and not self._segments[-1].sealed:
            if self._segments[-1].size < self._segment_bytes:
                return self._segments[-1]
            self._segments[-1].sealed = True
        first_number = self.last_number + 1
        header = records.encode_header(records.Header(self._kind, self._incarnation, first_number))
        name = self._unused_name(first_number)
        self._files.create(name)
        segment = Segment(name, first_number, 0, self.last_number, sealed=False)
        self._segments.append(segment)
        self._files.append(name, header)
        self._files.sync(name)  # else a power failure may keep records behind it and lose the header
        segment.size = len(header)
        self.size_bytes += len(header)
        return segment

    def _unused_name(self, first_number: int) -> str:
        existing = set(self._files.names())
        names = (
            f"{first_number:016x}-{attempt:04x}-{self._incarnation.hex()}.seg"
            for attempt in range(MAX_NAME_ATTEMPTS)
        )
        return next(name for name in names if name not in existing)

    def _seal_after_fault(self) -> None:
        """Seal the last segment, and try to remove its invalid end, or the segment if it has no record."""
        if not self._segments or self._segments[-1].sealed:
            return
        segment = self._segments[-1]
        segment.sealed = True
        try:
            if segment.last_number < segment.first_number:
                self._segments.pop()
                self.size_bytes -= segment.size
                self._files.remove(segment.name)
            else:
                self._files.truncate(segment.name, segment.size)
        except OSError:
            pass  # recovery skips records behind the valid end if their numbers occur again later

    # -- reading

    def read(
        self, position: LogPosition, max_bytes: int
    ) -> tuple[list[tuple[bytes, LogPosition]], LogPosition]:
        """Read about `max_bytes` bytes of records, starting at a position.

        Returns:
            The payloads, each with its position, and the position at which to continue reading.
        """
        entries: list[tuple[bytes, LogPosition]] = []
        segment_index, offset, remaining = position.segment, position.offset, max_bytes
        if segment_index < self._released_segments:
            segment_index, offset = self._released_segments, 0
        while segment_index - self._released_segments < len(self._segments):
            segment = self._segments[segment_index - self._released_segments]
            offset = max(offset, records.HEADER_SIZE)
            for record in self._read_segment(segment, offset, remaining):
                entries.append((record.payload, LogPosition(segment_index, record.offset)))
                remaining -= record.end - record.offset
                offset = record.end
            if remaining <= 0:
                return entries, LogPosition(segment_index, offset)
            if segment is self._segments[-1]:
                return entries, LogPosition(segment_index, min(offset, segment.size))
            segment_index, offset = segment_index + 1, 0
        return entries, LogPosition(segment_index, offset)

    def _read_segment(self, segment: Segment, offset: int, max_bytes: int) -> Iterator[records.Record]:
        """Yield records of one segment, starting at an offset, until they add up to `max_bytes`."""
        reader = records.SegmentReader(partial(self._files.read, segment.name), segment.size)
        for item in reader.scan(offset, segment.first_number - 1):
            if isinstance(item, records.Record):  # recovery has reported the damage
                yield item
                max_bytes -= item.end - item.offset
                if max_bytes <= 0:
                    return

    # -- releasing

    def release(self, position: LogPosition, keep_bytes: int) -> int:
        """Delete the oldest segments before a position, but keep at least `keep_bytes` bytes before it.

        Returns:
            The number of bytes freed.
        """
        freed = 0
        while self._segments and self._released_segments < position.segment:
            releasable = self._segments[: position.segment - self._released_segments]
            oldest = self._segments[0]
            if sum(segment.size for segment in releasable) - oldest.size < keep_bytes or not oldest.sealed:
                break
            freed += self._release_oldest()
        return freed

    def release_through(self, number: int) -> int:
        """Delete the oldest segments that only have records up to this number.

        Returns:
            The number of bytes freed.
        """
        freed = 0
        while self._segments and self._segments[0].sealed and self._segments[0].last_number <= number:
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
    def next_segment(self) -> LogPosition:
        """Where the records after a recovery begin: behind all segments that it read."""
        return LogPosition(self._released_segments + len(self._segments), 0)

    @property
    def first_segment(self) -> int:
        """The index of the first segment that is not released, as in `LogPosition.segment`."""
        return self._released_segments

    def close(self) -> None:
        """Close the folder so that another process can open it."""
        self._files.close()


def _chunks(encoded_records: Iterable[bytes]) -> list[bytes]:
    """Join records to chunks of `MIN_CHUNK_BYTES` or more, but for the last one."""
    chunks: list[bytes] = []
    joined: list[bytes] = []
    size = 0
    for record in encoded_records:
        joined.append(record)
        size += len(record)
        if size >= MIN_CHUNK_BYTES:
            chunks.append(b"".join(joined))
            joined, size = [], 0
    return [*chunks, b"".join(joined)] if joined else chunks


def decode_header_of(kind: bytes, data: bytes) -> records.Header:
    """Decode the header of a segment of a log.

    Raises:
        SegmentError: It is not a readable segment of a log of this kind.
    """
    header = records.decode_header(data)
    if header.kind != kind:
        raise records.SegmentError(f"a log of kind {header.kind.decode('ascii', 'replace')}")
    return header


def number_limits(headers: Sequence[records.Header]) -> list[int]:
    """Return, for each segment, the number of the first record in the next segment.

    Records of a segment from that number on were not durable: they were written again to the next segment.
    """
    return [*(header.first_number for header in headers[1:]), NO_LIMIT][: len(headers)]


def is_unfinished_write(damage: records.Damage, limit: int, last_number: int) -> bool:
    """Return whether damage is the rest of a write that was never reported as durable.

    Args:
        damage: The damage.
        limit: The first number of the next segment, from `number_limits`.
        last_number: The number of the last record before the damage.
    """
    return damage.torn and limit in (NO_LIMIT, last_number + 1)


def describe_damage(name: str, damage: records.Damage) -> str:
    """Return a line that names the file and the bytes."""
    return f"{name}: bytes {damage.offset} to {damage.end} hold no valid record"
