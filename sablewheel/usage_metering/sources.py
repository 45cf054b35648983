"""The sources of the blocks to export: the entry buffer in memory, or the log on disk.

Both return the same bytes again after a rewind.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from ..storage.group_commit import GroupCommitLog
from ..storage.log import LOG_START, LogPosition
from . import usage_metering_pb2 as pb
from .aggregation import EntryBuffer
from .blocks import SealedBlock, digest
from .export import ReportLost
from .positions import BlockIndex

MAX_BLOCK_ENTRIES = 512
MAX_READ_BYTES = 1 << 17

Deliver = Callable[[list[ReportLost], list[SealedBlock]], None]


class BlockSource(Protocol):
    """A source of blocks in the log's order."""

    def rewind(self, have: Mapping[bytes, tuple[int, bytes]]) -> None:
        """Continue with the first block missing from a collector that has `have`."""

    def pull(self, max_bytes: int, deliver: Deliver) -> bool:
        """Deliver the next blocks, about `max_bytes` bytes, now or later.

        Returns whether blocks were delivered and there may be more now.
        """

    def settled(self, block: SealedBlock) -> None:
        """Release a block that is in the collector's journal, and those before it."""


class MemorySource:
    """Cuts blocks from the entry buffer when they can be sent; retains them until they are in the journal."""

    def __init__(
        self, entry_buffer: EntryBuffer, incarnation: bytes, cut: Callable[[], SealedBlock | None]
    ) -> None:
        self._entry_buffer, self._incarnation, self._cut = entry_buffer, incarnation, cut
        self.unsettled: deque[SealedBlock] = deque()
        self._next_index = 0  # index in `unsettled` of the next block to send
        self._lost_reports: list[ReportLost] = []

    def rewind(self, have: Mapping[bytes, tuple[int, bytes]]) -> None:
        """See `BlockSource.rewind`."""
        number = have.get(self._incarnation, (0, b""))[0]
        first = self.unsettled[0].number if self.unsettled else self._entry_buffer.number + 1
        self._lost_reports = []
        if number < first - 1:
            reason = "a server without a disk keeps no block that was acknowledged"
            self._lost_reports.append(ReportLost(self._incarnation, first - 1, reason))
        self._next_index = sum(block.number <= number for block in self.unsettled)

    def pull(self, max_bytes: int, deliver: Deliver) -> bool:
        """See `BlockSource.pull`."""
        if self._next_index >= len(self.unsettled):
            block = self._cut()
            if block is None:
                return False
            self.unsettled.append(block)
        block = self.unsettled[self._next_index]
        self._next_index += 1
        lost_reports, self._lost_reports = self._lost_reports, []
        deliver(lost_reports, [block])
        return True

    def settled(self, block: SealedBlock) -> None:
        """See `BlockSource.settled`."""
        while self.unsettled and self.unsettled[0].number <= block.number:
            self.unsettled.popleft()
            self._next_index -= 1
        self._next_index = max(self._next_index, 0)


class DurableSource:
    """Reads blocks from the log on the worker thread; releases those that are in the journal."""

    def __init__(self, store: GroupCommitLog, positions: BlockIndex, retained_bytes: int) -> None:
        self._store, self._positions, self._retained_bytes = store, positions, retained_bytes
        self._position: LogPosition = LOG_START
        # By incarnation, the last block number that the collector has or was offered.
        self._last_numbers: dict[bytes, int] = {}
        self._reading = False
        self._generation = 0
        # Incarnation, number and position of each block that was offered and is not settled.
        self._offered: deque[tuple[bytes, int, LogPosition]] = deque()
        self._released_segment = 0

    def rewind(self, have: Mapping[bytes, tuple[int, bytes]]) -> None:
        """See `BlockSource.rewind`."""
        self._generation += 1
        self._last_numbers = {incarnation: number for incarnation, (number, _) in have.items()}
        self._position = self._positions.start(self._last_numbers)
        self._offered.clear()

    def pull(self, max_bytes: int, deliver: Deliver) -> bool:
        """See `BlockSource.pull`."""
        if self._reading:
            return False
        generation = self._generation

        def read(records: list[tuple[bytes, LogPosition]], position: LogPosition) -> None:
            self._reading = False
            if generation != self._generation:
                return deliver([], [])  # rewound during the read
            has_advanced, self._position = position != self._position, position
            lost_reports, blocks = self._select_blocks(records)
            if lost_reports or blocks or has_advanced:
                deliver(lost_reports, blocks)

        self._reading = self._store.read(self._position, min(max_bytes, MAX_READ_BYTES), read)
        return False  # `read` delivers the blocks, which schedules the next pull

    def _select_blocks(
        self, records: list[tuple[bytes, LogPosition]]
    ) -> tuple[list[ReportLost], list[SealedBlock]]:
        lost_reports: list[ReportLost] = []
        blocks: list[SealedBlock] = []
        for data, position in records:
            block = pb.Block.FromString(data)
            self._positions.note(position, block.incarnation, block.number)
            last_number = self._last_numbers.get(block.incarnation, 0)
            if block.number <= last_number:
                continue
            if block.number > last_number + 1:
                reason = "no longer in the server's log, or damaged there"
                lost_reports.append(ReportLost(block.incarnation, block.number - 1, reason))
                if blocks:  # the loss must be reported after these blocks
                    self._position = position
                    lost_reports.pop()
                    break
            self._last_numbers[block.incarnation] = block.number
            blocks.append(
                SealedBlock(block.incarnation, block.number, block.last_sequence, data, digest(data))
            )
            self._offered.append((block.incarnation, block.number, position))
        return lost_reports, blocks

    def settled(self, block: SealedBlock) -> None:
        """See `BlockSource.settled`."""
        position: LogPosition | None = None
        while self._offered:
            incarnation, number, offered_position = self._offered[0]
            position = offered_position
            self._offered.popleft()
            if (incarnation, number) == (block.incarnation, block.number):
                break
        # Without this the index would grow without bound.
        self._positions.remove_before(self._store.first_segment)
        if position is not None and position.segment > self._released_segment:
            self._released_segment = position.segment
            self._store.release(position, self._retained_bytes)
