"""Buffer entries until they are put into a block; fold the oldest into totals. Pure.

No usage is lost when the buffer is full: folded entries are summed exactly by tenant, request class, outcome,
period and the other fields that a bill needs. Only the single entries are dropped, and the totals show how
many.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from . import usage_metering_pb2 as pb
from .blocks import SealedBlock, seal
from .periods import Periods

# The period's start and end, tenant, request class, outcome, goal_kept, beyond_share and billed.
Key = tuple[int, int, str, str, int, bool, bool, bool]


@dataclass(slots=True)
class Sums:
    """The sums of one row of totals, as integers so that they are exact."""

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
    """Rows of totals; above `max_rows` rows, the two oldest periods are merged into one span of time."""

    def __init__(self, periods: Periods, max_rows: int) -> None:
        self._periods, self._max_rows = periods, max_rows
        self.rows: dict[Key, Sums] = {}
        self.entries = 0
        self.merge_count = 0  # number of times that two periods were merged

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
        while len(self.rows) > self._max_rows and self._merge_oldest_periods():
            self.merge_count += 1

    def _merge_oldest_periods(self) -> bool:
        spans = sorted({key[:2] for key in self.rows})
        if len(spans) < 2:
            return False  # a single span; its rows are bounded by tenants and request classes
        oldest, next_oldest = spans[0], spans[1]
        merged_span = (min(oldest[0], next_oldest[0]), max(oldest[1], next_oldest[1]))
        rows, self.rows = self.rows, {}
        for key, sums in rows.items():
            merged_key: Key = (*merged_span, *key[2:]) if key[:2] in (oldest, next_oldest) else key
            self.rows.setdefault(merged_key, Sums()).add(sums)
        return True

    def take(self) -> list[pb.Total]:
        """Remove all rows and return them, sorted by their keys."""
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
    """The entries of one incarnation that are not in a block yet; `cut` returns the next block of the chain.

    Invariant: `first` .. `last` are the sequence numbers not yet in a block. The folded ones come first, then
    at most `max_entries` single entries.
    """

    def __init__(
        self, server: str, incarnation: bytes, periods: Periods, max_entries: int, max_total_rows: int
    ) -> None:
        self._server, self._incarnation, self._max_entries = server, incarnation, max_entries
        self._entries: deque[bytes] = deque()
        self._folded_totals = TotalsTable(periods, max_total_rows)
        self._unsure: list[pb.Unsure] = []
        self._previous = b""
        self.number = 0  # number of the last block; 0 if there is none
        self.first, self.last = 1, 0
        self.folded_count = 0

    @property
    def unsealed_count(self) -> int:
        """Number of entries not yet in a block, folded ones included."""
        return self.last - self.first + 1

    @property
    def individual_count(self) -> int:
        """Number of entries that are not folded."""
        return len(self._entries)

    @property
    def empty(self) -> bool:
        """Whether there is neither an entry nor a flag to put into a block."""
        return not self.unsealed_count and not self._unsure

    def add(self, entry: pb.Entry) -> int:
        """Add an entry and return its sequence number; fold the oldest entries if there are too many."""
        self.last += 1
        entry.sequence = self.last
        self._entries.append(entry.SerializeToString())
        while len(self._entries) > self._max_entries:
            self._folded_totals.add(pb.Entry.FromString(self._entries.popleft()))
            self.folded_count += 1
        return self.last

    def flag_unanswered(self, incarnation: bytes, after: int, through: int) -> None:
        """Flag entries of an earlier incarnation whose answers may not have been sent.

        The entries are those with sequence numbers above `after`, up to and including `through`.
        """
        self._unsure.append(
            pb.Unsure(incarnation=incarnation, after_sequence=after, through_sequence=through)
        )

    def cut(self, now: float, answered: int, max_entries: int) -> SealedBlock:
        """Return the next block: totals if there are any, then up to `max_entries` entries."""
        taken = [self._entries.popleft() for _ in range(min(max_entries, len(self._entries)))]
        folded = self._folded_totals.entries
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
            totals=self._folded_totals.take(),
            unsure=self._unsure,
        )
        self._unsure = []
        block = seal(head, taken)
        self._previous = block.digest
        self.first = head.last_sequence + 1
        return block
