"""The collector's journal: an SQLite file to which lines are only added, one transaction per round.

A line's digest covers the line and the digest of the previous line of its period. A period's seal covers the
digest of its last line, its number of lines and the seal of the period closed before it. `verify` therefore
finds and locates a line that was lost, inserted or changed.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from . import usage_metering_pb2 as pb
from .collecting import Apply, LastBlock
from .corrections import Correction, Target, check
from .journal_schema import (
    CORRECTION,
    ENTRY,
    FORMAT_VERSION,
    LINE,
    LINE_SLOTS,
    SCHEMA,
    TOTAL,
    Line,
    line_digest,
    seal_digest,
)
from .journal_verification import find_faults
from .period_closing import PeriodCloser
from .periods import Period, Periods
from .plan import Calendar, Length


class JournalError(RuntimeError):
    """The journal can't be used, or lacks the requested data; the message has the cause."""


@dataclass
class JournalSource:
    """One incarnation of a server, as recorded in the journal."""

    id: int
    server: str
    incarnation: bytes
    last_block: LastBlock


class Journal:
    """A journal file. Writes are made between `begin` and `commit`."""

    def __init__(self, path: Path, calendar: Calendar | None = None, read_only: bool = False) -> None:
        self.path = path
        if read_only and not path.exists():
            raise JournalError(f"{path}: there is no such journal")
        try:
            if read_only:
                self._db = sqlite3.connect(f"file:{path}?mode=ro", uri=True, isolation_level=None, timeout=10)
            else:
                path.parent.mkdir(parents=True, exist_ok=True)
                self._db = sqlite3.connect(path, isolation_level=None, timeout=1.0)
                self._db.execute("pragma journal_mode=wal")
                self._db.execute("pragma synchronous=full")
            self._db.execute("pragma cache_size=-16000")
            self._prepare(calendar)
        except sqlite3.DatabaseError as error:
            raise JournalError(f"{path}: {error}") from None
        except OSError as error:
            raise JournalError(f"{path}: {error.strerror}") from None
        self.period_closer = PeriodCloser(self.periods, closed_through=int(self._meta("closed_through") or 0))
        self.period_closer.now = self.period_closer.closed_through
        self._sources: dict[tuple[str, bytes], JournalSource] = {}
        # By a period's start: its id, number of lines and head. Empty outside of transactions.
        self._period_states: dict[int, tuple[int, int, bytes]] = {}

    def _prepare(self, calendar: Calendar | None) -> None:
        if not self._db.execute("select 1 from sqlite_master where name = 'meta'").fetchone():
            if calendar is None:
                raise JournalError(f"{self.path}: not a journal of this program")
            meta = {
                "format": str(FORMAT_VERSION),
                "zone": calendar.zone,
                "length": calendar.length.value,
                "lag": repr(calendar.lag_s),
                "closed_through": "0",
            }
            statements = [statement for statement in SCHEMA.split(";") if statement.strip()]
            self._db.execute("begin immediate")
            for statement in statements:
                self._db.execute(statement)
            self._db.executemany("insert into meta values(?, ?)", meta.items())
            self._db.execute("commit")
        if self._meta("format") != str(FORMAT_VERSION):
            raise JournalError(
                f"{self.path}: format {self._meta('format')}, this program reads format {FORMAT_VERSION}"
            )
        stored = Calendar(
            self._meta("zone") or "UTC", Length(self._meta("length")), float(self._meta("lag") or 0.0)
        )
        if calendar is not None and (calendar.zone, calendar.length) != (stored.zone, stored.length):
            raise JournalError(
                f"{self.path}: the journal's periods are {stored.length.value}s of {stored.zone}, not"
                f" {calendar.length.value}s of {calendar.zone}; a journal's calendar can't change"
            )
        self.periods = Periods(stored if calendar is None else calendar)

    def _meta(self, key: str) -> str | None:
        row = self._db.execute("select value from meta where key = ?", (key,)).fetchone()
        return row[0] if row else None

    def set_customers(self, names: frozenset[str]) -> None:
        """Store the names of known tenants; if empty, any name is accepted."""
        self.begin()
        self._db.execute("insert or replace into meta values('customers', ?)", (json.dumps(sorted(names)),))
        self.commit()

    def customers(self) -> frozenset[str]:
        """Return the names of known tenants; empty if any name is accepted."""
        return frozenset(json.loads(self._meta("customers") or "[]"))

    def close(self) -> None:
        """Close the file."""
        self._db.close()

    def rows(self, query: str, *values: object) -> Iterator[Any]:
        """Iterate over the rows of a query, for reports."""
        return self._db.execute(query, values)

    # -- writing, in transactions from `begin` to `commit`

    def begin(self) -> None:
        """Begin a transaction."""
        self._period_states.clear()
        self._db.execute("begin immediate")
        # Another writer, the collector or the `correct` command, may have closed periods.
        self.period_closer.closed_through = max(
            self.period_closer.closed_through, int(self._meta("closed_through") or 0)
        )

    def commit(self) -> None:
        """Write the heads of the periods that have new lines, and commit."""
        for period, lines, head in self._period_states.values():
            self._db.execute("update periods set lines = ?, head = ? where id = ?", (lines, head, period))
        self._period_states.clear()
        self._db.execute("commit")

    def roll_back(self) -> None:
        """Roll the transaction back and clear the caches."""
        self._period_states.clear()
        self._sources.clear()
        if self._db.in_transaction:
            self._db.execute("rollback")

    def last_blocks(self, server: str) -> dict[bytes, LastBlock]:
        """Return the last block in the journal by incarnation of a server."""
        rows = self._db.execute(
            "select incarnation, number, digest, last_sequence from sources where server = ?", (server,)
        )
        return {bytes(row[0]): LastBlock(row[1], bytes(row[2]), row[3]) for row in rows}

    def block_digest(self, server: str, incarnation: bytes, number: int) -> bytes | None:
        """Return the digest of a block in the journal; None if it is not there."""
        row = self._db.execute(
            "select b.digest from blocks b join sources s on b.source = s.id"
            " where s.server = ? and s.incarnation = ? and b.number = ?",
            (server, incarnation, number),
        ).fetchone()
        return bytes(row[0]) if row else None

    def apply(self, server: str, decision: Apply, received_at: float) -> None:
        """Post a block that `decide_batch` accepted; to be called within a transaction."""
        block, now = decision.block, round(received_at * 1e6)
        source = self._source(server, block.incarnation, now)
        cursor = self._db.execute(
            "insert into blocks(source, number, digest, first_sequence, last_sequence, size, written_us,"
            " received_us) values(?, ?, ?, ?, ?, ?, ?, ?)",
            (
                source.id,
                block.number,
                decision.digest,
                block.first_sequence,
                block.last_sequence,
                decision.data_size,
                block.written_us,
                now,
            ),
        )
        block_id = cursor.lastrowid or 0
        by_period: dict[int, list[Line]] = {}
        periods: dict[int, Period] = {}
        for period, line in self._lines(block_id, block):
            periods[period.start] = period
            by_period.setdefault(period.start, []).append(line)
        for start, lines in by_period.items():
            self._post(periods[start], lines)
        for flag in block.unsure:
            flagged_source = self._source(server, flag.incarnation, now)
            self._db.execute(
                "insert into unsure values(?, ?, ?, ?)",
                (flagged_source.id, flag.after_sequence, flag.through_sequence, block_id),
            )
        source.last_block = LastBlock(block.number, decision.digest, block.last_sequence)
        self._db.execute(
            "update sources set number = ?, digest = ?, last_sequence = ?, last_seen_us = ?, skew_us = ?,"
            " answered = ? where id = ?",
            (
                block.number,
                decision.digest,
                block.last_sequence,
                now,
                block.written_us - now,
                block.answered,
                source.id,
            ),
        )

    def record_hole(
        self, server: str, incarnation: bytes, through: int, reason: str, received_at: float
    ) -> bool:
        """Record the loss of blocks up to `through`; return False if all of them are in the journal.

        The next block starts a new chain.
        """
        now = round(received_at * 1e6)
        source = self._source(server, incarnation, now)
        if through <= source.last_block.number:
            return False
        self._db.execute(
            "insert into holes values(?, ?, ?, ?, ?)",
            (source.id, source.last_block.number, through, reason[:200], now),
        )
        source.last_block = LastBlock(through, b"", source.last_block.last_sequence)
        self._db.execute("update sources set number = ?, digest = x'' where id = ?", (through, source.id))
        return True

    def correct(self, correction: Correction, made_at: float) -> str:
        """Post a correction to the current period and return its name; raises `CorrectionError`."""
        self.period_closer.observe_clocks(made_at, made_at)
        self.begin()
        try:
            target = correction.target
            closed, billed = self._find_target(target)
            already_deducted = sum(
                -json.loads(more)["tickets"]
                for more, customer in self._db.execute("select more, customer from lines where kind = 2")
                if customer == correction.customer
                and json.loads(more)["target"] == str(target)
                and json.loads(more)["tickets"] < 0
            )
            check(correction, closed, billed, already_deducted)
            period = self.period_closer.current_period()
            more = json.dumps(
                {
                    "target": str(target),
                    "tickets": correction.tickets,
                    "reason": correction.reason,
                    "author": correction.author,
                },
                sort_keys=True,
            )
            line = (
                CORRECTION,
                0,
                0,
                target.period or None,
                correction.customer,
                correction.track,
                int(pb.COMPLETED),
                0,
                0,
                1,
                correction.tickets,
                correction.run_us,
                0,
                0,
                round(made_at * 1e6),
                None,
                None,
                more,
            )
            self._post(period, [line])
            self.commit()
        except BaseException:
            self.roll_back()
            raise
        return period.name

    def _find_target(self, target: Target) -> tuple[bool | None, tuple[str, str, int, int] | None]:
        if target.period:
            row = self._db.execute("select seal from periods where name = ?", (target.period,)).fetchone()
            return (None if row is None else row[0] is not None), None
        row = self._db.execute(
            "select l.customer, l.track, l.billed * l.entries, l.run_us * l.billed from lines l"
            " join blocks b on l.block = b.id join sources s on b.source = s.id"
            " where s.server = ? and s.incarnation = ? and l.sequence = ? and b.first_sequence <= ?"
            " and b.last_sequence >= ? and l.kind = 0",
            (target.server, target.incarnation, target.sequence, target.sequence, target.sequence),
        ).fetchone()
        return None, row

    def close_due(self) -> list[str]:
        """Close and seal the periods that are due, oldest first; return their names.

        To be called within a transaction.
        """
        closed = []
        for name, start, end in self._db.execute(
            "select name, start_us, end_us from periods where seal is null order by start_us"
        ).fetchall():
            period = Period(start, end, name)
            if not self.period_closer.due(period):
                break
            self._seal(period)
            self.period_closer.mark_closed(period)
            closed.append(name)
        if closed:
            self._db.execute(
                "update meta set value = ? where key = 'closed_through'",
                (str(self.period_closer.closed_through),),
            )
        return closed

    def _seal(self, period: Period) -> None:
        last_sealed, previous_seal = self._db.execute(
            "select coalesce(max(sealed), 0),"
            " (select seal from periods order by sealed desc limit 1) from periods"
        ).fetchone()
        period_id, lines, head = self._period_state(period)
        seal = seal_digest(bytes(previous_seal or b""), period.name, lines, head)
        self._db.execute(
            "update periods set closed_us = ?, seal = ?, sealed = ? where id = ?",
            (self.period_closer.now, seal, last_sealed + 1, period_id),
        )

    def _source(self, server: str, incarnation: bytes, now: int) -> JournalSource:
        key = (server, incarnation)
        if key not in self._sources:
            self._db.execute(
                "insert or ignore into sources(server, incarnation, number, digest, last_sequence,"
                " first_seen_us, last_seen_us, skew_us) values(?, ?, 0, x'', 0, ?, ?, 0)",
                (server, incarnation, now, now),
            )
            row = self._db.execute(
                "select id, number, digest, last_sequence from sources where server = ? and incarnation = ?",
                key,
            ).fetchone()
            if len(self._sources) > 1000:
                self._sources.clear()
            self._sources[key] = JournalSource(row[0], *key, LastBlock(row[1], bytes(row[2]), row[3]))
        return self._sources[key]

    def _lines(self, block_id: int, block: pb.Block) -> Iterator[tuple[Period, Line]]:
        period_closer, sequence = self.period_closer, block.first_sequence
        for total in block.totals:
            period, belongs = period_closer.posting_period(total.first_us, total.end_us)
            yield (
                period,
                (
                    TOTAL,
                    block_id,
                    sequence,
                    belongs,
                    total.customer,
                    total.track,
                    int(total.outcome),
                    int(total.goal_kept),
                    int(total.beyond_share),
                    int(total.billed),
                    total.entries,
                    total.run_us,
                    total.asked_bytes,
                    total.answer_bytes,
                    total.first_us,
                    None,
                    None,
                    None,
                ),
            )
            sequence += total.entries
        for entry in block.entries:
            period, belongs = period_closer.posting_period(entry.ended_us, entry.ended_us)
            yield (
                period,
                (
                    ENTRY,
                    block_id,
                    entry.sequence,
                    belongs,
                    entry.customer,
                    entry.track,
                    int(entry.outcome),
                    int(entry.goal_kept),
                    int(entry.beyond_share),
                    int(entry.billed),
                    1,
                    entry.run_us,
                    entry.asked_bytes,
                    entry.answer_bytes,
                    entry.ended_us,
                    entry.name or None,
                    entry.run or None,
                    None,
                ),
            )

    def _post(self, period: Period, lines: Iterable[Line]) -> None:
        period_id, count, head = self._period_state(period)
        rows = []
        for line in lines:
            head = line_digest(head, line)
            count += 1
            rows.append((period_id, count, head, *line))
        self._db.executemany(f"insert into lines(period, place, digest, {LINE}) values({LINE_SLOTS})", rows)
        self._period_states[period.start] = (period_id, count, head)

    def _period_state(self, period: Period) -> tuple[int, int, bytes]:
        if period.start not in self._period_states:
            self._db.execute(
                "insert or ignore into periods(name, start_us, end_us, lines, head) values(?, ?, ?, 0, x'')",
                (period.name, period.start, period.end),
            )
            row = self._db.execute(
                "select id, lines, head from periods where name = ?", (period.name,)
            ).fetchone()
            self._period_states[period.start] = (row[0], row[1], bytes(row[2]))
        return self._period_states[period.start]

    # -- checking

    def verify(self) -> Iterator[str]:
        """Yield each fault with its location; nothing if the journal is unchanged since it was written."""
        yield from find_faults(self.rows, self.period_closer.closed_through)
