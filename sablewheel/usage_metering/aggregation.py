"""Buffer entries between their request and their block; fold the oldest into totals. Pure.

Nothing is lost when the buffer is full: what is folded still counts, exactly, by tenant, request class,
outcome, period and what else a bill needs; only the single entries are gone, and the totals say so.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from . import usage_metering_pb2 as pb
from .blocks import SealedBlock, seal
from .periods import Periods

Key = tuple[
    int, int, str, str, int, bool, bool, bool
]  # period's start and end, tenant, request class, outcome, flags


@dataclass(slots=True)
class Sums:
    """What one row of totals adds up; all whole numbers, so that sums are exact."""

    entries: int = 0
    run_us: int = 0
    asked_bytes: int = 0
    answer_bytes: int = 0

    def add(self, other: Sums) -> None:
        """Add another row to this one."""
        self.entries += other.entries
        self.run_us += other.run_us
        self.asked_bytes += other.asked_bytes
        self.answer_bytes += other.answer_bytes


class TotalsTable:
    """Rows of totals, at most `rows_most`: beyond it the two oldest periods become one span of time."""

    def __init__(self, periods: Periods, rows_most: int) -> None:
        self._periods, self._rows_most = periods, rows_most
        self.rows: dict[Key, Sums] = {}
        self.entries = 0
        self.joined = 0  # how often periods had to be joined

    def add(self, entry: pb.Entry) -> None:
        """Add one entry to the row of its period, tenant, request class and outcome."""
        period = self._periods.of(entry.ended_us)
        key = (
            period.start,
            period.end,
            entry.customer,
            entry.track,
            int(entry.outcome),
            entry.goal_kept,
            entry.beyond_share,
            entry.billed,
        )
        sums = Sums(1, entry.run_us, entry.asked_bytes, entry.answer_bytes)
        self.entries += 1
        if key in self.rows:
            self.rows[key].add(sums)
            return
        self.rows[key] = sums
        while len(self.rows) > self._rows_most and self._join_oldest():
            self.joined += 1

    def _join_oldest(self) -> bool:
        spans = sorted({key[:2] for key in self.rows})
        if len(spans) < 2:
            return False  # one span: its rows are bounded by tenants and request classes
        one, other = spans[0], spans[1]
        both = (min(one[0], other[0]), max(one[1], other[1]))
        rows, self.rows = self.rows, {}
        for key, sums in rows.items():
            new: Key = (*both, *key[2:]) if key[:2] in (one, other) else key
            self.rows.setdefault(new, Sums()).add(sums)
        return True

    def take(self) -> list[pb.Total]:
        """All rows, in an order of their own; none are left."""
        rows, self.rows, self.entries = self.rows, {}, 0
        return [
            pb.Total(
                first_us=key[0],
                end_us=key[1],
                customer=key[2],
                track=key[3],
                outcome=pb.Outcome.Name(key[4]),
                goal_kept=key[5],
                beyond_share=key[6],
                billed=key[7],
                entries=sums.entries,
                run_us=sums.run_us,
                asked_bytes=sums.asked_bytes,
                answer_bytes=sums.answer_bytes,
            )
            for key, sums in sorted(rows.items())
        ]


class EntryBuffer:
    """Entries of one incarnation in sequence; `cut` makes the next block of the chain of them.

    Invariant: `first` .. `last` are the sequence numbers not yet in a block; the folded come first, the
    entries follow one by one, and there are never more than `entries_most` of these.
    """

    def __init__(
        self, server: str, incarnation: bytes, periods: Periods, entries_most: int, totals_most: int
    ) -> None:
        self._server, self._incarnation, self._entries_most = server, incarnation, entries_most
        self._entries: deque[bytes] = deque()
        self._folded = TotalsTable(periods, totals_most)
        self._unsure: list[pb.Unsure] = []
        self._previous = b""
        self.number = 0  # of the last block
        self.first, self.last = 1, 0
        self.folded_ever = 0

    @property
    def waiting(self) -> int:
        """Entries not yet in a block, folded ones included."""
        return self.last - self.first + 1

    @property
    def kept(self) -> int:
        """Entries held one by one."""
        return len(self._entries)

    @property
    def empty(self) -> bool:
        """Whether there is nothing that a block would have to carry."""
        return not self.waiting and not self._unsure

    def add(self, entry: pb.Entry) -> int:
        """Takes an entry, gives it its sequence number; folds the oldest if there are too many."""
        self.last += 1
        entry.sequence = self.last
        self._entries.append(entry.SerializeToString())
        while len(self._entries) > self._entries_most:
            self._folded.add(pb.Entry.FromString(self._entries.popleft()))
            self.folded_ever += 1
        return self.last

    def flag(self, incarnation: bytes, after: int, through: int) -> None:
        """Answers to these entries of an incarnation before this one may never have left."""
        self._unsure.append(
            pb.Unsure(incarnation=incarnation, after_sequence=after, through_sequence=through)
        )

    def cut(self, now: float, answered: int, entries_most: int) -> SealedBlock:
        """The next block: totals if there are any, then up to `entries_most` entries."""
        taken = [self._entries.popleft() for _ in range(min(entries_most, len(self._entries)))]
        folded = self._folded.entries
        self.number += 1
        head = pb.Block(
            server=self._server,
            incarnation=self._incarnation,
            number=self.number,
            previous=self._previous,
            written_us=round(now * 1e6),
            first_sequence=self.first,
            last_sequence=self.first + folded + len(taken) - 1,
            answered=answered,
            totals=self._folded.take(),
            unsure=self._unsure,
        )
        self._unsure = []
        block = seal(head, taken)
        self._previous = block.digest
        self.first = head.last_sequence + 1
        return block
