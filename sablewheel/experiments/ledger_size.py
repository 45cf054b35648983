"""Usage metering at size: append, recovery, placement_settings, verify, statement and reconcile for 100,000
and 1,000,000 entries.

Each figure comes with its growth, which must be linear; memory must not grow with the number of entries.
Append is set beside a plain bulk insert of the same rows into SQLite, in the same run.
"""

from __future__ import annotations

import json
import os
import sqlite3
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import psutil

from ..storage.files import DiskFiles
from ..storage.log import Log
from ..usage_metering import collecting, reports
from ..usage_metering import usage_metering_pb2 as pb
from ..usage_metering.aggregation import EntryBuffer
from ..usage_metering.auditing import reconcile_folders
from ..usage_metering.blocks import SealedBlock
from ..usage_metering.journal import Journal
from ..usage_metering.periods import Periods
from ..usage_metering.plan import Calendar, Length
from ..usage_metering.recorder import KIND, EarlierIncarnations
from .result import ExperimentResult
from .testbed import Testbed

BLOCK, GROUP = 512, 16
START = 1_764_576_000_000_000
STEPS = ("append", "sqlite", "recover", "post", "verify", "statement", "reconcile")
MEMORY_GROWTH_MOST = 48.0  # MB from the small size to the large one, tenfold in entries


def run(seed: int, quick: bool) -> ExperimentResult:
    """`quick` measures a tenth of the sizes."""
    result = ExperimentResult("ledger-size")
    small, large = (10_000, 100_000) if quick else (100_000, 1_000_000)
    figures = {}
    with Testbed(seed) as testbed:
        for entries in (small, large):
            folder = testbed.folder / str(entries)
            folder.mkdir()
            figures[entries] = {one: _step(one, folder, entries) for one in STEPS}
    for one in STEPS:
        first, last = figures[small][one], figures[large][one]
        growth = last["seconds"] / max(first["seconds"], 1e-3)
        result.figures[f"{one}_s"] = round(last["seconds"], 2)
        result.figures[f"{one}_growth"] = round(growth, 2)
        result.figures[f"{one}_mb"] = round(last["memory"], 1)
        allowed = 1.6 * large / small
        if one != "sqlite":  # the baseline promises nothing
            found = f"{growth:.1f} for 10 times"
            result.check(f"{one}: time grows no faster than entries", growth <= allowed, found)
        if one not in ("append", "sqlite"):
            grown = last["memory"] - first["memory"]
            result.check(f"{one}: memory bounded", grown <= MEMORY_GROWTH_MOST, f"{grown:+.1f} MB")
        result.check(f"{one}: right", bool(last["right"] and first["right"]))
    beside = figures[large]["append"]["seconds"] / figures[large]["sqlite"]["seconds"]
    result.figures["entries"] = large
    result.figures["append_beside_sqlite"] = round(beside, 2)
    return result


def _step(name: str, folder: Path, entries: int) -> dict[str, float]:
    """One step in a process of its own, so that its memory is its own."""
    words = [sys.executable, "-m", "sablewheel.experiments.ledger_size", name, str(folder), str(entries)]
    done = subprocess.run(words, capture_output=True, text=True, timeout=900, check=False)
    if done.returncode:
        raise RuntimeError(done.stderr[-2000:])
    told: dict[str, float] = json.loads(done.stdout.splitlines()[-1])
    return told


def blocks(entries: int) -> Iterator[SealedBlock]:
    """Blocks as a server would write them: eight tenants, two request classes, over two days."""
    entry_buffer = EntryBuffer("n1", b"12345678", Periods(Calendar(length=Length.DAY)), 1 << 20, 5_000)
    step = 2 * 86_400 * 1_000_000 // entries
    for place in range(entries):
        completed = place % 5 != 0
        entry_buffer.add(
            pb.Entry(
                customer=f"customer-{place % 8}",
                track=("lookup", "record")[place % 2],
                outcome=pb.COMPLETED if completed else pb.DENIED,
                ended_us=START + place * step,
                arrived_us=START + place * step - 40_000,
                run_us=25_000 * completed,
                asked_bytes=180,
                answer_bytes=220,
                goal_kept=completed,
                billed=completed,
                name=place.to_bytes(8, "big"),
            )
        )
        if entry_buffer.individual_count >= BLOCK:
            yield entry_buffer.cut(START / 1e6, entry_buffer.last, BLOCK)
    if not entry_buffer.empty:
        yield entry_buffer.cut(START / 1e6, entry_buffer.last, BLOCK)


def append(folder: Path, entries: int) -> bool:
    records = Log(DiskFiles(folder / "log"), KIND, b"12345678", 1 << 40)
    group: list[bytes] = []
    for block in blocks(entries):
        group.append(block.data)
        if len(group) >= GROUP:
            records.commit(group)
            group = []
    if group:
        records.commit(group)
    return records.last_number == -(-entries // BLOCK)


def sqlite(folder: Path, entries: int) -> bool:
    """The same rows, the plain way: one table, as many rows in a transaction as a group of blocks holds."""
    db = sqlite3.connect(folder / "plain.sqlite", isolation_level=None)
    db.execute("pragma journal_mode=wal")
    db.execute("pragma synchronous=full")
    db.execute(
        "create table entries(sequence integer primary key, customer, track, outcome, ended, run, name)"
    )
    rows: list[tuple[object, ...]] = []
    for place, sealed in enumerate(blocks(entries)):
        for one in pb.Block.FromString(sealed.data).entries:
            rows.append(
                (one.sequence, one.customer, one.track, int(one.outcome), one.ended_us, one.run_us, one.name)
            )
        if place % GROUP == GROUP - 1:
            _insert(db, rows)
    _insert(db, rows)
    return bool(db.execute("select count(*) from entries").fetchone()[0] == entries)


def _insert(db: sqlite3.Connection, rows: list[tuple[object, ...]]) -> None:
    db.execute("begin")
    db.executemany("insert into entries values(?, ?, ?, ?, ?, ?, ?)", rows)
    db.execute("commit")
    rows.clear()


def recover(folder: Path, entries: int) -> bool:
    before = EarlierIncarnations()
    found = Log(DiskFiles(folder / "log"), KIND, b"87654321", 1 << 40).recover(before.note_block)
    return not found.damage and before.last_sequence == {b"12345678": entries}


def post(folder: Path, entries: int) -> bool:
    """What the collector does with every block, a round's worth in a transaction."""
    journal = Journal(folder / "book.sqlite", Calendar(length=Length.DAY, lag_s=0.0))
    known: dict[bytes, collecting.LastBlock] = {}
    journal.begin()
    for place, sealed in enumerate(blocks(entries)):
        result = collecting.decide_batch("n1", pb.Batch(block=sealed.data, digest=sealed.digest), known, {})
        assert isinstance(result, collecting.Apply)
        journal.apply("n1", result, START / 1e6)
        known[b"12345678"] = collecting.LastBlock(sealed.number, sealed.digest, sealed.last_sequence)
        if place % GROUP == GROUP - 1:
            journal.commit()
            journal.begin()
    journal.period_closer.now = START + 4 * 86_400 * 1_000_000
    journal.close_due()
    journal.commit()
    return True


def verify(folder: Path, entries: int) -> bool:
    return not list(Journal(folder / "book.sqlite", read_only=True).verify())


def statement(folder: Path, entries: int) -> bool:
    journal = Journal(folder / "book.sqlite", read_only=True)
    periods = [one[0] for one in journal.rows("select name from periods where seal is not null")]
    found = [one for name in periods for one in reports.statements(journal, name)]
    return sum(one.tickets for one in found) == entries - -(-entries // 5)


def reconcile(folder: Path, entries: int) -> bool:
    found, _ = reconcile_folders(Journal(folder / "book.sqlite", read_only=True), [folder / "log"])
    return found.clean and found.same == -(-entries // BLOCK)


def main() -> None:
    steps: dict[str, Callable[[Path, int], bool]] = {
        "append": append,
        "sqlite": sqlite,
        "recover": recover,
        "post": post,
        "verify": verify,
        "statement": statement,
        "reconcile": reconcile,
    }
    if sys.argv[1] in ("append", "sqlite"):
        made = time.perf_counter()
        for _ in blocks(int(sys.argv[3])):
            pass
        made = time.perf_counter() - made  # making the entries is no part of appending them
    else:
        made = 0.0
    begun = time.perf_counter()
    right = steps[sys.argv[1]](Path(sys.argv[2]), int(sys.argv[3]))
    seconds = time.perf_counter() - begun - made
    memory = psutil.Process(os.getpid()).memory_info().rss / 1e6
    print(json.dumps({"seconds": max(seconds, 1e-3), "memory": memory, "right": right}))


if __name__ == "__main__":
    main()
