"""Where the blocks to export come from: the entry buffer in memory, or the log on disk.

Both give the same bytes again after a rewind.
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
from .export import TellLost
from .positions import BlockIndex

MAX_BLOCK_ENTRIES = 512
MAX_READ_BYTES = 1 << 17

Deliver = Callable[[list[TellLost], list[SealedBlock]], None]


class BlockSource(Protocol):
    """Blocks in the log's order."""

    def rewind(self, have: Mapping[bytes, tuple[int, bytes]]) -> None:
        """The collector has these: go on with what it lacks."""

    def pull(self, most: int, deliver: Deliver) -> bool:
        """Give the next blocks, about `most` bytes, now or later; whether there may be some."""

    def settled(self, block: SealedBlock) -> None:
        """In the collector's journal, and so before it."""


class MemorySource:
    """Cuts blocks out of the entry buffer when they can be sent; keeps those that are not in the journal."""

    def __init__(
        self, entry_buffer: EntryBuffer, incarnation: bytes, cut: Callable[[], SealedBlock | None]
    ) -> None:
        self._entries_buffer, self._incarnation, self._cut = entry_buffer, incarnation, cut
        self.kept: deque[SealedBlock] = deque()
        self._place = 0  # of the next one among the kept
        self._lost: list[TellLost] = []

    def rewind(self, have: Mapping[bytes, tuple[int, bytes]]) -> None:
        """See `BlockSource.rewind`."""
        number = have.get(self._incarnation, (0, b""))[0]
        first = self.kept[0].number if self.kept else self._entries_buffer.number + 1
        self._lost = []
        if number < first - 1:
            reason = "a server without a disk keeps no block that was acknowledged"
            self._lost.append(TellLost(self._incarnation, first - 1, reason))
        self._place = sum(one.number <= number for one in self.kept)

    def pull(self, most: int, deliver: Deliver) -> bool:
        """See `BlockSource.pull`."""
        if self._place >= len(self.kept):
            block = self._cut()
            if block is None:
                return False
            self.kept.append(block)
        block = self.kept[self._place]
        self._place += 1
        lost, self._lost = self._lost, []
        deliver(lost, [block])
        return True

    def settled(self, block: SealedBlock) -> None:
        """See `BlockSource.settled`."""
        while self.kept and self.kept[0].number <= block.number:
            self.kept.popleft()
            self._place -= 1
        self._place = max(self._place, 0)


class DurableSource:
    """Reads the log, on the worker; what is in the journal may leave the disk."""

    def __init__(self, store: GroupCommitLog, positions: BlockIndex, keep_bytes: int) -> None:
        self._store, self._positions, self._keep_bytes = store, positions, keep_bytes
        self._place: LogPosition = LOG_START
        self._have: dict[bytes, int] = {}
        self._reading = False
        self._turn = 0
        self._places: deque[tuple[bytes, int, LogPosition]] = (
            deque()
        )  # of what was offered and is not settled
        self._released = 0

    def rewind(self, have: Mapping[bytes, tuple[int, bytes]]) -> None:
        """See `BlockSource.rewind`."""
        self._turn += 1
        self._have = {incarnation: number for incarnation, (number, _) in have.items()}
        self._place = self._positions.start(self._have)
        self._places.clear()

    def pull(self, most: int, deliver: Deliver) -> bool:
        """See `BlockSource.pull`."""
        if self._reading:
            return False
        turn = self._turn

        def read(found: list[tuple[bytes, LogPosition]], place: LogPosition) -> None:
            self._reading = False
            if turn != self._turn:
                return deliver([], [])  # rewound meanwhile
            went_on, self._place = place != self._place, place
            lost, blocks = self._select_blocks(found)
            if lost or blocks or went_on:
                deliver(lost, blocks)

        self._reading = self._store.read(self._place, min(most, MAX_READ_BYTES), read)
        return False  # what it finds is delivered, and asks for more then

    def _select_blocks(
        self, found: list[tuple[bytes, LogPosition]]
    ) -> tuple[list[TellLost], list[SealedBlock]]:
        lost: list[TellLost] = []
        blocks: list[SealedBlock] = []
        for data, place in found:
            block = pb.Block.FromString(data)
            self._positions.note(place, block.incarnation, block.number)
            had = self._have.get(block.incarnation, 0)
            if block.number <= had:
                continue
            if block.number > had + 1:
                reason = "no longer in the server's log, or damaged there"
                lost.append(TellLost(block.incarnation, block.number - 1, reason))
                if blocks:  # it must be told behind these
                    self._place = place
                    lost.pop()
                    break
            self._have[block.incarnation] = block.number
            blocks.append(
                SealedBlock(block.incarnation, block.number, block.last_sequence, data, digest(data))
            )
            self._places.append((block.incarnation, block.number, place))
        return lost, blocks

    def settled(self, block: SealedBlock) -> None:
        """See `BlockSource.settled`."""
        place: LogPosition | None = None
        while self._places:
            incarnation, number, here = self._places[0]
            place = here
            self._places.popleft()
            if (incarnation, number) == (block.incarnation, block.number):
                break
        self._positions.forget_before(
            self._store.first_segment
        )  # or the index would grow with all that ever was
        if place is not None and place.segment > self._released:
            self._released = place.segment
            self._store.release(place, self._keep_bytes)
