"""The log: numbered records in segments, written in groups, read from any place, released from the front.

Blocking: runs on a worker thread, or in a tool. Each start writes a segment of its own and never touches
those before it, so recovery only reads. After a fault nothing more goes into that segment either: what an
fsync that failed has left in the page cache can't be trusted, so the same records are written again to a new
one.
"""

from __future__ import annotations

import errno
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from . import records
from .files import Files

READ_MOST = 1 << 26  # a segment larger than this is no segment of ours


class DiskFault(OSError):  # noqa: N818  a state with a name, not only an error
    """A write that failed; `full` tells whether room would help."""

    @property
    def full(self) -> bool:
        return self.errno in (errno.ENOSPC, errno.EDQUOT)


@dataclass(frozen=True)
class Place:
    """Where a record begins: reading goes on from there. Ordered as the log is."""

    segment: int  # in the order of the log, from 0
    offset: int


START = Place(0, 0)


@dataclass
class Segment:
    """One file; `size` counts what is whole in it, `numbers` are first and last record (last < first:
    none).
    """

    name: str
    first: int
    size: int
    last: int
    sealed: bool = True


@dataclass
class Recovery:
    """What was found at the start."""

    records: int = 0
    bytes: int = 0
    segments: int = 0
    torn_bytes: int = 0  # ends of segments that a kill or a fault left behind, never promised to anybody
    damage: list[str] = field(default_factory=list)  # whole records lost, each with file and place
    repeated: int = 0  # records that a fault left behind, and that were written anew


class Log:
    """One log in one folder. `bytes_most` bounds all segments together; past it a commit is refused
    as full.
    """

    def __init__(
        self, files: Files, kind: bytes, incarnation: bytes, bytes_most: int, segment_bytes: int = 8 << 20
    ) -> None:
        self._files, self._kind, self._incarnation = files, kind, incarnation
        self._bytes_most, self._segment_bytes = bytes_most, segment_bytes
        self._segments: list[Segment] = []
        self._dropped = 0  # segments released from the front
        self.last = 0  # number of the last durable record
        self.bytes = 0

    # -- recovery

    def recover(self, visit: Callable[[int, bytes, Place], None]) -> Recovery:
        """Read all there is, in order; `visit` gets each record once: number, payload, place."""
        found = Recovery()
        heads = [(name, self._header(name, found)) for name in self._files.names()]
        kept = [(name, head) for name, head in heads if head is not None]
        for turn, (name, head) in enumerate(kept):
            # Where the next segment begins, this one's were not durable: they were written anew there.
            limit = kept[turn + 1][1].first if turn + 1 < len(kept) else 1 << 63
            self._recover_segment(name, head, limit, found, visit)
        found.bytes = self.bytes
        return found

    def _header(self, name: str, found: Recovery) -> records.Header | None:
        data = self._files.read(name, 0, records.HEADER_SIZE)
        found.segments += 1
        try:
            told = records.read_header(data)
            if told.kind != self._kind:
                raise records.SegmentError(f"a log of kind {told.kind.decode('ascii', 'replace')}")
            return told
        except records.SegmentError as trouble:
            size = self._files.size(name)
            if size < records.HEADER_SIZE:  # killed as it was made: nothing was promised in it
                found.torn_bytes += size
                self._files.remove(name)
            else:
                found.damage.append(f"{name}: {trouble}; {size} bytes left as they are")
            return None

    def _recover_segment(
        self,
        name: str,
        head: records.Header,
        limit: int,
        found: Recovery,
        visit: Callable[[int, bytes, Place], None],
    ) -> None:
        data = self._files.read(name, 0, READ_MOST)
        segment = Segment(name, head.first, records.HEADER_SIZE, head.first - 1)
        place, damaged = len(self._segments), False
        for one in records.scan(data, head.first):
            if isinstance(one, records.Damage):
                if one.torn:
                    found.torn_bytes += one.end - one.offset
                else:
                    damaged = True
                    found.damage.append(f"{name}: bytes {one.offset} to {one.end} are no record")
                continue
            if one.number >= limit or one.number <= self.last:
                found.repeated += 1
                continue
            if one.number > self.last + 1 and self.last:
                found.damage.append(f"{name}: records {self.last + 1} to {one.number - 1} are missing")
            self.last = segment.last = one.number
            segment.size = one.end
            found.records += 1
            visit(one.number, one.payload, Place(place, one.offset))
        if segment.last >= segment.first:
            self._segments.append(segment)
            self.bytes += segment.size
        elif not damaged:
            self._files.remove(name)

    # -- writing

    def commit(self, payloads: Sequence[bytes]) -> int:
        """Make all of them durable, in order; the number of the last. Raises `DiskFault`, then none
        counts.
        """
        data = b"".join(records.record(self.last + 1 + place, one) for place, one in enumerate(payloads))
        if self.bytes + len(data) + records.HEADER_SIZE > self._bytes_most:
            raise DiskFault(errno.ENOSPC, f"the log has reached its bound of {self._bytes_most} bytes")
        try:
            segment = self._writable()
            self._files.append(segment.name, data)
            self._files.sync(segment.name)
        except OSError as trouble:
            self._abandon()
            raise DiskFault(trouble.errno or errno.EIO, trouble.strerror or str(trouble)) from trouble
        segment.size += len(data)
        self.bytes += len(data)
        self.last += len(payloads)
        segment.last = self.last
        return self.last

    def _writable(self) -> Segment:
        if self._segments and not self._segments[-1].sealed:
            if self._segments[-1].size < self._segment_bytes:
                return self._segments[-1]
            self._segments[-1].sealed = True
        head = records.header(records.Header(self._kind, self._incarnation, self.last + 1))
        taken = set(self._files.names())
        name = next(
            name
            for turn in range(10**6)
            if (name := f"{self.last + 1:016x}-{turn:04x}-{self._incarnation.hex()}.seg") not in taken
        )
        self._files.create(name)
        segment = Segment(name, self.last + 1, 0, self.last, sealed=False)
        self._segments.append(segment)
        self._files.append(name, head)
        segment.size = len(head)
        self.bytes += len(head)
        return segment

    def _abandon(self) -> None:
        """Never write behind a fault: what is whole stays, the rest is cut off if the disk still lets us."""
        if not self._segments or self._segments[-1].sealed:
            return
        segment = self._segments[-1]
        segment.sealed = True
        try:
            if segment.last < segment.first:
                self._segments.pop()
                self.bytes -= segment.size
                self._files.remove(segment.name)
            else:
                self._files.truncate(segment.name, segment.size)
        except OSError:
            pass  # records behind the end are known by their numbers: each counts once

    # -- reading

    def read(self, place: Place, most: int) -> tuple[list[tuple[bytes, Place]], Place]:
        """Records from a place on, about `most` bytes of them, each with its place; and where to go on."""
        found: list[tuple[bytes, Place]] = []
        number, offset = max(place.segment, self._dropped), place.offset
        if place.segment < self._dropped:
            offset = 0
        while number - self._dropped < len(self._segments):
            segment = self._segments[number - self._dropped]
            offset = max(offset, records.HEADER_SIZE)
            while offset < segment.size and most > 0:
                head = self._files.read(segment.name, offset, records.RECORD.size)
                if len(head) < records.RECORD.size:
                    break
                size = records.RECORD.unpack(head)[0]
                span = min(max(records.RECORD.size + size, min(most, 1 << 18)), segment.size - offset)
                data = self._files.read(segment.name, offset, span)
                at = 0
                while most > 0 and (one := records.read_one(data, at, -1)) is not None:
                    found.append((one.payload, Place(number, offset + at)))
                    most -= one.end - at
                    at = one.end
                if not at:  # damaged here: the recovery has told so; go on behind it
                    rest = self._files.read(segment.name, offset, segment.size - offset)
                    later = records._next_whole(rest, 1, segment.first - 1)
                    if later is None:
                        break
                    at = later.offset
                offset += at
            if most <= 0:
                return found, Place(number, offset)
            if segment is self._segments[-1]:
                return found, Place(number, min(max(offset, records.HEADER_SIZE), segment.size))
            number, offset = number + 1, 0
        return found, Place(number, offset)

    def release(self, place: Place, keep_bytes: int) -> int:
        """Segments wholly before a place may go, the oldest first, while more than `keep_bytes` of them stay.

        Returns the bytes freed.
        """
        freed = 0
        while self._segments and self._dropped < place.segment:
            before = sum(one.size for one in self._segments[: place.segment - self._dropped])
            oldest = self._segments[0]
            if before - oldest.size < keep_bytes or not oldest.sealed:
                break
            self._files.remove(oldest.name)
            self._segments.pop(0)
            self._dropped += 1
            self.bytes -= oldest.size
            freed += oldest.size
        return freed

    @property
    def front(self) -> int:
        """The first segment that is still there, as places count them."""
        return self._dropped

    def release_through(self, number: int) -> int:
        """Whole segments whose records all have numbers up to this one go; the bytes freed."""
        freed = 0
        while self._segments and self._segments[0].sealed and self._segments[0].last <= number:
            oldest = self._segments[0]
            self._files.remove(oldest.name)
            self._segments.pop(0)
            self._dropped += 1
            self.bytes -= oldest.size
            freed += oldest.size
        return freed

    def close(self) -> None:
        self._files.close()


def read_folder(folder: Path, kind: bytes, notes: list[str]) -> Iterator[tuple[int, bytes]]:
    """The records of a folder that may be in use, as recovery would find them; takes no lock."""
    heads: list[tuple[Path, records.Header]] = []
    for path in sorted(folder.glob("*.seg")):
        try:
            with path.open("rb") as file:
                head = records.read_header(file.read(records.HEADER_SIZE))
            if head.kind != kind:
                raise records.SegmentError(f"a log of kind {head.kind.decode('ascii', 'replace')}")
            heads.append((path, head))
        except (records.SegmentError, FileNotFoundError) as trouble:
            notes.append(f"{path}: {trouble}")
    last = 0
    for turn, (path, head) in enumerate(heads):
        limit = heads[turn + 1][1].first if turn + 1 < len(heads) else 1 << 63
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            continue  # released meanwhile
        for one in records.scan(data, head.first):
            if isinstance(one, records.Damage):
                if not one.torn:
                    notes.append(f"{path}: bytes {one.offset} to {one.end} are no record")
            elif last < one.number < limit:
                last = one.number
                yield one.number, one.payload
