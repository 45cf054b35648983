"""Usage metering at size: append, recover, post, verify, statement and reconcile.

Each step runs with 100,000 and 1,000,000 entries. Its time must grow no faster than linearly, and its memory
must not grow with the number of entries. Append is compared with a plain bulk insert of the same rows into
SQLite in the same run.
"""

from __future__ import annotations

import json
import os
import sqlite3
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from functools import partial
from math import inf
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

BLOCK, GROUP = 512, 16  # entries per block, blocks per commit
START_US = 1_764_576_000_000_000  # Unix microseconds
STEPS = ("append", "sqlite", "recover", "post", "verify", "statement", "reconcile")
WRITING_STEPS = ("append", "sqlite")
READING_STEPS = ("recover", "verify", "statement", "reconcile")  # may be repeated
READ_COUNT = 3  # of which the shortest counts
MAX_MEMORY_GROWTH_MB = 48.0  # from the small size to the large one, which has ten times the entries


def run(seed: int, quick: bool) -> ExperimentResult:
    """Run the trial; `quick` measures a tenth of the sizes."""
    result = ExperimentResult("ledger-size")
    small, large = (10_000, 100_000) if quick else (100_000, 1_000_000)
    figures = {}
    with Testbed(seed) as testbed:
        for entries in (small, large):
            folder = testbed.folder / str(entries)
            folder.mkdir()
            figures[entries] = {step: _run_step(step, folder, entries) for step in STEPS}
    for step in STEPS:
        first, last = figures[small][step], figures[large][step]
        growth = last["cpu_s"] / max(first["cpu_s"], 1e-3)  # other processes lengthen the seconds
        result.figures[f"{step}_s"] = round(last["seconds"], 2)
        result.figures[f"{step}_growth"] = round(growth, 2)
        result.figures[f"{step}_mb"] = round(last["memory"], 1)
        allowed = 1.6 * large / small
        if step != "sqlite":  # the baseline is not checked
            measured = f"{growth:.1f} times for 10 times the entries"
            result.check(f"{step}: time grows no faster than entries", growth <= allowed, measured)
        if step not in ("append", "sqlite"):
            memory_growth = last["memory"] - first["memory"]
            result.check(
                f"{step}: memory bounded", memory_growth <= MAX_MEMORY_GROWTH_MB, f"{memory_growth:+.1f} MB"
            )
        result.check(f"{step}: result correct", bool(last["right"] and first["right"]))
    append_ratio = figures[large]["append"]["seconds"] / figures[large]["sqlite"]["seconds"]
    result.figures["entries"] = large
    result.figures["append_beside_sqlite"] = round(append_ratio, 2)
    return result


def _run_step(name: str, folder: Path, entries: int) -> dict[str, float]:
    """Run one step in its own process, so that its memory is measured separately."""
    command = [sys.executable, "-m", "sablewheel.experiments.ledger_size", name, str(folder), str(entries)]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=900, check=False)
    if completed.returncode:
        raise RuntimeError(completed.stderr[-2000:])
    figures: dict[str, float] = json.loads(completed.stdout.splitlines()[-1])
    return figures


def blocks(entries: int) -> Iterator[SealedBlock]:
    """Yield blocks as a server writes them: eight tenants, two request classes, over two days."""
    entry_buffer = EntryBuffer("n1", b"12345678", Periods(Calendar(length=Length.DAY)), 1 << 20, 5_000)
    step = 2 * 86_400 * 1_000_000 // entries
    for index in range(entries):
        completed = index % 5 != 0
        entry_buffer.add(
            pb.Entry(
                customer=f"customer-{index % 8}",
                track=("lookup", "record")[index % 2],
                outcome=pb.COMPLETED if completed else pb.DENIED,
                ended_us=START_US + index * step,
                arrived_us=START_US + index * step - 40_000,
                run_us=25_000 * completed,
                asked_bytes=180,
                answer_bytes=220,
                goal_kept=completed,
                billed=completed,
                name=index.to_bytes(8, "big"),
            )
        )
        if entry_buffer.individual_count >= BLOCK:
            yield entry_buffer.cut(START_US / 1e6, entry_buffer.last, BLOCK)
    if not entry_buffer.empty:
        yield entry_buffer.cut(START_US / 1e6, entry_buffer.last, BLOCK)


def append(folder: Path, entries: int, sealed_blocks: Sequence[SealedBlock]) -> bool:
    records = Log(DiskFiles(folder / "log"), KIND, b"12345678", 1 << 40)
    group: list[bytes] = []
    for block in sealed_blocks:
        group.append(block.data)
        if len(group) >= GROUP:
            records.commit(group)
            group = []
    if group:
        records.commit(group)
    return records.last_number == -(-entries // BLOCK)


def sqlite(folder: Path, entries: int, sealed_blocks: Sequence[SealedBlock]) -> bool:
    """Insert the same rows into one SQLite table, with the rows of one group of blocks per transaction."""
    db = sqlite3.connect(folder / "plain.sqlite", isolation_level=None)
    db.execute("pragma journal_mode=wal")
    db.execute("pragma synchronous=full")
    db.execute(
        "create table entries(sequence integer primary key, customer, track, outcome, ended, run, name)"
    )
    rows: list[tuple[object, ...]] = []
    for index, sealed in enumerate(sealed_blocks):
        for entry in pb.Block.FromString(sealed.data).entries:
            rows.append(
                (
                    entry.sequence,
                    entry.customer,
                    entry.track,
                    int(entry.outcome),
                    entry.ended_us,
                    entry.run_us,
                    entry.name,
                )
            )
        if index % GROUP == GROUP - 1:
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
    log = Log(DiskFiles(folder / "log"), KIND, b"87654321", 1 << 40)
    recovery = log.recover(before.note_block)
    log.close()
    return not recovery.damage and before.last_sequence == {b"12345678": entries}


def post(folder: Path, entries: int) -> bool:
    """Apply every block as the collector does, one group of blocks per transaction."""
    journal = Journal(folder / "book.sqlite", Calendar(length=Length.DAY, lag_s=0.0))
    last_blocks: dict[bytes, collecting.LastBlock] = {}
    journal.begin()
    for index, sealed in enumerate(blocks(entries)):
        result = collecting.decide_batch(
            "n1", pb.Batch(block=sealed.data, digest=sealed.digest), last_blocks, {}
        )
        assert isinstance(result, collecting.Apply)
        journal.apply("n1", result, START_US / 1e6)
        last_blocks[b"12345678"] = collecting.LastBlock(sealed.number, sealed.digest, sealed.last_sequence)
        if index % GROUP == GROUP - 1:
            journal.commit()
            journal.begin()
    journal.period_closer.now = START_US + 4 * 86_400 * 1_000_000
    journal.close_due()
    journal.commit()
    return True


def verify(folder: Path, entries: int) -> bool:
    return not list(Journal(folder / "book.sqlite", read_only=True).verify())


def statement(folder: Path, entries: int) -> bool:
    journal = Journal(folder / "book.sqlite", read_only=True)
    periods = [row[0] for row in journal.rows("select name from periods where seal is not null")]
    statements = [row for name in periods for row in reports.statements(journal, name)]
    return sum(row.tickets for row in statements) == entries - -(-entries // 5)


def reconcile(folder: Path, entries: int) -> bool:
    reconciliation, _ = reconcile_folders(Journal(folder / "book.sqlite", read_only=True), [folder / "log"])
    return reconciliation.clean and reconciliation.same == -(-entries // BLOCK)


def main() -> None:
    step, folder, entries = sys.argv[1], Path(sys.argv[2]), int(sys.argv[3])
    # The time to create the entries does not count.
    sealed_blocks = list(blocks(entries)) if step in WRITING_STEPS else []
    steps: dict[str, Callable[[Path, int], bool]] = {
        "append": partial(append, sealed_blocks=sealed_blocks),
        "sqlite": partial(sqlite, sealed_blocks=sealed_blocks),
        "recover": recover,
        "post": post,
        "verify": verify,
        "statement": statement,
        "reconcile": reconcile,
    }
    seconds, cpu_s, is_correct = inf, inf, True
    for _ in range(READ_COUNT if step in READING_STEPS else 1):
        started_at, cpu_before_s = time.perf_counter(), time.process_time()
        is_correct = steps[step](folder, entries) and is_correct
        seconds = min(seconds, time.perf_counter() - started_at)
        cpu_s = min(cpu_s, time.process_time() - cpu_before_s)
    memory = psutil.Process(os.getpid()).memory_info().rss / 1e6
    print(json.dumps({"seconds": seconds, "cpu_s": cpu_s, "memory": memory, "right": is_correct}))


if __name__ == "__main__":
    main()
