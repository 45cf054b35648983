"""A sparse index of the blocks in the log, to find the position at which an export resumes. Pure."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..storage.log import LOG_START, LogPosition

NOTE_INTERVAL_BYTES = 1 << 18  # distance between two notes of a segment


@dataclass
class BlockIndex:
    """Notes of blocks in the log's order: their positions, incarnations and numbers.

    There is at least one note for each segment, for each `NOTE_INTERVAL_BYTES` bytes of it, and for each
    change of incarnation.
    """

    notes: list[tuple[LogPosition, bytes, int]] = field(default_factory=list)
    last: dict[bytes, int] = field(default_factory=dict)  # the last known block number by incarnation

    def note(self, position: LogPosition, incarnation: bytes, number: int) -> None:
        """Note a block at a position; positions up to the last note were noted before and are skipped."""
        self.last[incarnation] = max(self.last.get(incarnation, 0), number)
        if self.notes:
            previous_position, previous_incarnation, _ = self.notes[-1]
            is_near = (
                position.segment == previous_position.segment
                and position.offset < previous_position.offset + NOTE_INTERVAL_BYTES
            )
            if (position.segment, position.offset) <= (
                previous_position.segment,
                previous_position.offset,
            ) or (is_near and previous_incarnation == incarnation):
                return
        self.notes.append((position, incarnation, number))

    def start(self, have: Mapping[bytes, int]) -> LogPosition:
        """Return a position at or before the first block missing from a collector that has `have`."""
        for index, (position, incarnation, _) in enumerate(self.notes):
            next_note = self.notes[index + 1] if index + 1 < len(self.notes) else None
            if next_note is not None and next_note[1] == incarnation:
                through = next_note[2] - 1
            else:
                through = self.last.get(incarnation, 0)
            if have.get(incarnation, 0) < through or next_note is None:
                return position
        return LOG_START

    def remove_before(self, segment: int) -> None:
        """Remove the notes of segments before this one, which were deleted."""
        index = bisect_right(self.notes, segment - 1, key=lambda note: note[0].segment)
        del self.notes[:index]
