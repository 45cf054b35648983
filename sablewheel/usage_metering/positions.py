"""A sparse index of the log: where a collector must be offered blocks from. Pure."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..storage.log import LOG_START, LogPosition

NOTE_INTERVAL_BYTES = 1 << 18  # bytes of a segment between two notes


@dataclass
class BlockIndex:
    """Notes of blocks in the log's order, one for each segment and each `NOTE_INTERVAL_BYTES` bytes of it."""

    notes: list[tuple[LogPosition, bytes, int]] = field(default_factory=list)
    last: dict[bytes, int] = field(default_factory=dict)  # by incarnation, its last block that is known

    def note(self, place: LogPosition, incarnation: bytes, number: int) -> None:
        """A block seen at a place; places come in order, those before the last note are known already."""
        self.last[incarnation] = max(self.last.get(incarnation, 0), number)
        if self.notes:
            before, held, _ = self.notes[-1]
            near = place.segment == before.segment and place.offset < before.offset + NOTE_INTERVAL_BYTES
            if (place.segment, place.offset) <= (before.segment, before.offset) or (
                near and held == incarnation
            ):
                return
        self.notes.append((place, incarnation, number))

    def start(self, have: Mapping[bytes, int]) -> LogPosition:
        """A place at or before the first block that a collector with these lacks."""
        for turn, (place, incarnation, _) in enumerate(self.notes):
            after = self.notes[turn + 1] if turn + 1 < len(self.notes) else None
            if after is not None and after[1] == incarnation:
                through = after[2] - 1
            else:
                through = self.last.get(incarnation, 0)
            if have.get(incarnation, 0) < through or after is None:
                return place
        return LOG_START

    def forget_before(self, segment: int) -> None:
        """Segments before this one are gone."""
        place = bisect_right(self.notes, segment - 1, key=lambda one: one[0].segment)
        del self.notes[:place]
