"""Where the exporter's blocks come from: the pool in memory, or the log on disk. Both give the same
bytes again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Protocol

from ..storage.group_commit import GroupCommitLog
from ..storage.log import LOG_START, LogPosition
from . import usage_metering_pb2 as pb
from .aggregation import Pool
from .blocks import Sealed, digest
from .export import TellLost
from .positions import Positions

BLOCK_ENTRIES = 512
READ_MOST = 1 << 17

Deliver = Callable[[list[TellLost], list[Sealed]], None]


class Source(Protocol):
    """Blocks in the log's order."""

    def rewind(self, have: Mapping[bytes, tuple[int, bytes]]) -> None:
        """The collector has these: go on with what it lacks."""

    def pull(self, most: int, deliver: Deliver) -> bool:
        """Give the next blocks, about `most` bytes, now or later; whether there may be some."""

    def settled(self, block: Sealed) -> None:
        """In the collector's book, and so before it."""


class MemorySource:
    """Cuts blocks out of the pool when they can be sent; keeps those that are not in the book."""

    def __init__(self, pool: Pool, incarnation: bytes, cut: Callable[[], Sealed | None]) -> None:
        self._pool, self._incarnation, self._cut = pool, incarnation, cut
        self.kept: deque[Sealed] = deque()
        self._place = 0  # of the next one among the kept
        self._lost: list[TellLost] = []

    def rewind(self, have: Mapping[bytes, tuple[int, bytes]]) -> None:
        number = have.get(self._incarnation, (0, b""))[0]
        first = self.kept[0].number if self.kept else self._pool.number + 1
        self._lost = []
        if number < first - 1:
            reason = "a server without a disk keeps no block that was acknowledged"
            self._lost.append(TellLost(self._incarnation, first - 1, reason))
        self._place = sum(one.number <= number for one in self.kept)

    def pull(self, most: int, deliver: Deliver) -> bool:
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

    def settled(self, block: Sealed) -> None:
        while self.kept and self.kept[0].number <= block.number:
            self.kept.popleft()
            self._place -= 1
        self._place = max(self._place, 0)


class DurableSource:
    """Reads the log, on the worker; what is in the book may leave the disk."""

    def __init__(self, store: GroupCommitLog, positions: Positions, keep_bytes: int) -> None:
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
        self._turn += 1
        self._have = {incarnation: number for incarnation, (number, _) in have.items()}
        self._place = self._positions.start(self._have)
        self._places.clear()

    def pull(self, most: int, deliver: Deliver) -> bool:
        if self._reading:
            return False
        turn = self._turn

        def read(found: list[tuple[bytes, LogPosition]], place: LogPosition) -> None:
            self._reading = False
            if turn != self._turn:
                return deliver([], [])  # rewound meanwhile
            went_on, self._place = place != self._place, place
            lost, blocks = self._sort_out(found)
            if lost or blocks or went_on:
                deliver(lost, blocks)

        self._reading = self._store.read(self._place, min(most, READ_MOST), read)
        return False  # what it finds is delivered, and asks for more then

    def _sort_out(self, found: list[tuple[bytes, LogPosition]]) -> tuple[list[TellLost], list[Sealed]]:
        lost: list[TellLost] = []
        blocks: list[Sealed] = []
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
            blocks.append(Sealed(block.incarnation, block.number, block.last_sequence, data, digest(data)))
            self._places.append((block.incarnation, block.number, place))
        return lost, blocks

    def settled(self, block: Sealed) -> None:
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
