"""Usage metering with its I/O: recorder, collector, journal and tools, against full disks, tampering, floods
and forgers.
"""

from __future__ import annotations

import errno
import json
import random
import socket
import sqlite3
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from fake_disk import FakeFiles
from simulated_server import FakeStream, SimulatedServer

from sablewheel.command.main import main
from sablewheel.overload.interface import (
    AdvertisementKind,
    Cancellation,
    Idempotency,
    RequestClass,
    ServerSettings,
    Tenant,
)
from sablewheel.program.feature_file import FaultyFeaturesError, check, read
from sablewheel.storage.files import DiskFiles
from sablewheel.storage.log import Log
from sablewheel.transport.background import Background
from sablewheel.transport.periodic import MAX_BUDGET_S, PeriodicScheduler, PeriodicTask
from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.usage_metering import blocks, collecting, export, reports, sender, statement
from sablewheel.usage_metering import recorder as usage_recorder
from sablewheel.usage_metering import usage_metering_pb2 as pb
from sablewheel.usage_metering.aggregation import EntryBuffer
from sablewheel.usage_metering.auditing import reconcile_folders
from sablewheel.usage_metering.blocks import SealedBlock
from sablewheel.usage_metering.collector import Collector
from sablewheel.usage_metering.corrections import Correction, CorrectionError, Target
from sablewheel.usage_metering.frames import Frames, frame
from sablewheel.usage_metering.journal import Journal, JournalError
from sablewheel.usage_metering.periods import Periods
from sablewheel.usage_metering.plan import (
    Answers,
    Calendar,
    CollectorPlan,
    Depth,
    ExportPlan,
    LedgerPlan,
    Length,
)
from sablewheel.usage_metering.recorder import UsageRecorder

MICROSECONDS_PER_SECOND = 1_000_000
NOON = 1_796_126_400  # 2026-12-01T12:00Z
INCARNATION = b"incarn01"
HOURS = Calendar("UTC", Length.HOUR, lag=60.0)
SERVER_SETTINGS = ServerSettings(
    request_classes=(
        RequestClass(Idempotency.IDEMPOTENT, 1.0, 4.0),
        RequestClass(Idempotency.KEYED, 1.0, 4.0, idempotency_window_s=6.0),
    ),
    tenants=(Tenant(50.0),),
    cores=2,
    memory_kb=2000.0,
    running_memory_factor=4.0,
    idempotency_key_kb=1.0,
    cancellation=Cancellation.DISCARDS_WORK,
    advertisement=AdvertisementKind.CREDIT,
    advertisement_ttl_s=1.0,
    min_batch_interval_s=0.002,
    answer_slack_s=0.08,
    drain_grace_s=0.4,
    max_concurrency_per_core=5.0,
)

# -- the recorder in the server, on a made clock and a made disk


class KeptTown(SimulatedServer):
    """The routing layer with a recorder; commits happen at once, on a disk that may fail."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, answers: Answers = Answers.AFTER_ENTRY) -> None:
        super().__init__(SERVER_SETTINGS)
        self.files = FakeFiles()
        monkeypatch.setattr(usage_recorder, "DiskFiles", lambda _: self.files)
        monkeypatch.setattr(usage_recorder, "WorkerThread", SlowBridge)
        plan = LedgerPlan(Depth.DURABLE, Path("made"), answers, commit_every=0.0, entries_most=50)
        background = Background(self.scheduler, lambda: 0)
        names = {SERVER_SETTINGS.tenants[0]: "acme"}
        self.usage_recorder = UsageRecorder(
            self.scheduler, background, plan, "n1", INCARNATION, names, lambda: 0.5, self.counts.append
        )
        self.listener.observer = self.usage_recorder
        self.bridge: SlowBridge = self.usage_recorder._bridge  # type: ignore[assignment]

    def settle(self, deliver: bool = True) -> None:
        super().settle(deliver)
        if hasattr(self, "usage_recorder"):
            for _ in range(4):
                self.usage_recorder.end_round()
                self.bridge.work()
                super().settle(deliver)

    def entries(self) -> list[pb.Entry]:
        found: list[pb.Entry] = []

        def visit(_: int, data: bytes, __: object) -> None:
            found.extend(blocks.read(data).entries)

        Log(self.files, usage_recorder.KIND, b"auditor1", 1 << 30).recover(visit)
        return found


class SlowBridge:
    """Jobs wait until the test lets them go."""

    def __init__(self, *_: object) -> None:
        self.jobs: list[tuple[Any, Any]] = []
        self.open = True

    def submit(self, job: Any, done: Any) -> bool:
        self.jobs.append((job, done))
        return True

    def work(self) -> None:
        while self.open and self.jobs:
            job, done = self.jobs.pop(0)
            try:
                result, trouble = job(), None
            except OSError as caught:
                result, trouble = None, caught
            done(result, trouble)

    def close(self, _: float) -> bool:
        self.open = True
        self.work()
        return True


class MemoryDepthServer(SimulatedServer):
    """The serving layer with a recorder that keeps its entries in memory, and the test as its collector."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__(SERVER_SETTINGS)
        self.exports: list[FakeStream] = []
        monkeypatch.setattr(sender, "connect", lambda *_: self._open_export())
        plan = LedgerPlan(block_every=0.1, export=ExportPlan(("127.0.0.1", 1)))
        background = Background(self.scheduler, lambda: 0)
        names = {SERVER_SETTINGS.tenants[0]: "acme"}
        self.usage_recorder = UsageRecorder(
            self.scheduler, background, plan, "n1", INCARNATION, names, lambda: 0.5, self.counts.append
        )
        self.listener.observer = self.usage_recorder
        self.welcome()

    def _open_export(self) -> FakeStream:
        self.exports.append(FakeStream(self.scheduler))
        return self.exports[-1]

    def welcome(self) -> None:
        """The collector greets on the newest connection, and has nothing yet."""
        self.wait(1.0)
        self.exports[-1].feed(frame(pb.Frame(welcome=pb.Welcome(version=export.VERSION))))
        self.scheduler.run_ready()

    def send_blocks(self) -> None:
        while self.usage_recorder._sender is not None and self.usage_recorder._sender.send_next():
            pass

    def serve_one(self) -> None:
        attempt = self.call(b"lookup")
        self.settle()
        self.end(attempt.name)
        self.settle()
        self.wait(0.2)


def test_a_block_that_waits_to_be_sent_anew_keeps_a_leaving_server(monkeypatch: pytest.MonkeyPatch) -> None:
    """Greeted anew, a server held nothing for unsettled; it left without 155 entries and told nobody."""
    server = MemoryDepthServer(monkeypatch)
    server.serve_one()
    server.send_blocks()
    assert not server.usage_recorder.settled()
    server.exports[-1].feed(b"")
    server.usage_recorder.parting()
    server.welcome()
    assert not server.usage_recorder.settled()
    server.send_blocks()
    acknowledged = pb.Acknowledged(incarnation=INCARNATION, number=1)
    server.exports[-1].feed(frame(pb.Frame(acknowledged=acknowledged)))
    server.settle()
    assert server.usage_recorder.settled()


def test_sealed_blocks_that_no_collector_acknowledged_are_told_at_the_end(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    server = MemoryDepthServer(monkeypatch)
    for _ in range(3):
        server.serve_one()
        server.send_blocks()
    server.usage_recorder.close(0.0)
    told = [record.pairs for record in caplog.records if record.message == "entries left behind"]  # type: ignore[attr-defined]
    assert [(one["customer"], one["entries"], one["billed"]) for one in told] == [("acme", 3, 3)]


def test_a_completed_answer_leaves_when_its_entry_is_durable(monkeypatch: pytest.MonkeyPatch) -> None:
    town = KeptTown(monkeypatch)
    one = town.call(b"lookup")
    town.settle()
    town.bridge.open = False
    town.end(one.name)
    town.settle()
    assert not one.answers and not town.entries()
    town.bridge.open = True
    town.settle()
    assert one.answers[0][1] == b"OK"
    (entry,) = town.entries()
    assert (entry.customer, entry.track, entry.outcome, entry.billed) == (
        "acme",
        "lookup",
        pb.COMPLETED,
        True,
    )
    assert entry.run_us == 250_000 and entry.name.hex() == one.name.decode() and entry.goal_kept


def test_a_disk_that_stalls_holds_no_answer_past_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    town = KeptTown(monkeypatch)
    one = town.call(b"lookup")
    town.settle()
    town.bridge.open = False
    town.end(one.name)
    town.wait(0.1)
    assert not one.answers
    town.wait(0.3)  # hold-most is a quarter of a second
    assert one.answers[0][1] == b"OK" and "ledger_answers_ahead" in town.counts
    town.bridge.open = True
    town.wait(0.5)
    assert len(town.entries()) == 1


def test_a_full_disk_delays_nobody_folds_and_writes_it_all_later(monkeypatch: pytest.MonkeyPatch) -> None:
    town = KeptTown(monkeypatch)
    town.files.fail = {"append": [OSError(errno.ENOSPC, "no space left on device")] * 1000}
    tries = []
    for _ in range(120):
        tries.append(town.call(b"lookup"))
        town.settle()
        town.end(tries[-1].name)
        town.wait(0.01)
    assert all(one.answers[0][1] == b"OK" for one in tries)
    assert town.usage_recorder.gauges()["ledger_disk"] == "full"
    town.files.fail = {}
    town.wait(5.0)
    found: list[pb.Block] = []
    Log(town.files, usage_recorder.KIND, b"auditor1", 1 << 30).recover(
        lambda _, data, __: found.append(blocks.read(data))
    )
    told = sum(len(one.entries) for one in found)
    folded = sum(total.entries for one in found for total in one.totals)
    assert told + folded == 120 and folded > 0 and town.usage_recorder.gauges()["ledger_disk"] == "working"
    assert sum(total.entries * total.billed for one in found for total in one.totals) == folded


def test_a_repeat_is_not_billed_twice_joined_or_from_a_kept_result(monkeypatch: pytest.MonkeyPatch) -> None:
    town = KeptTown(monkeypatch)
    first = town.call(b"record", b"label")
    town.settle()
    joined = town.call(b"record", b"label")
    town.settle()
    town.end(first.name)
    town.settle()
    later = town.call(b"record", b"label")
    town.wait(1.0)
    assert [one.answers[0][1] for one in (first, joined, later)] == [b"OK"] * 3
    entries = {one.name.hex().encode(): one for one in town.entries()}
    assert [entries[one.name].billed for one in (first, joined, later)] == [True, False, False]
    assert [entries[one.name].run.hex().encode() for one in (joined, later)] == [first.name] * 2
    assert sum(one.run_us for one in entries.values()) == 250_000


def test_a_run_whose_first_caller_left_is_billed_with_the_repeat_that_got_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = KeptTown(monkeypatch)
    first = town.call(b"record", b"label")
    town.settle()
    town.cancel(first)
    repeat = town.call(b"record", b"label")
    town.settle()
    town.end(first.name)
    town.wait(1.0)
    assert repeat.answers[0][1] == b"OK"
    entries = {one.name.hex().encode(): one for one in town.entries()}
    assert entries[first.name].outcome == pb.GONE and not entries[first.name].billed
    assert entries[repeat.name].billed and entries[repeat.name].run_us == 250_000


def test_random_days_with_stalls_keep_the_rules_and_one_entry_a_ticket(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for seed in range(6):
        chance, town = random.Random(seed), KeptTown(monkeypatch)
        for _ in range(60):
            match chance.randrange(8):
                case 0 | 1 | 2:
                    label = b"%d" % chance.randrange(5) if chance.random() < 0.5 else b""
                    town.call(b"record" if label else b"lookup", label)
                case 3 | 4 if town.interpreter.running:
                    town.end(chance.choice(list(town.interpreter.running)))
                case 5 if town.attempts:
                    town.cancel(chance.choice(town.attempts))
                case 6:
                    town.bridge.open = chance.random() < 0.6
                case _:
                    town.wait(chance.uniform(0.0, 0.3))
            town.settle()
        town.bridge.open = True
        town.wait(6.0)
        entries = town.entries()
        names = [one.name.hex().encode() for one in entries]
        assert sorted(names) == sorted(one.name for one in town.attempts)
        words = {b"OK": pb.COMPLETED, b"BUSY": pb.DENIED, b"FAILED": pb.TERMINATED}
        outcome = dict(zip(names, (one.outcome for one in entries), strict=True))
        for one in town.attempts:
            assert outcome[one.name] == (words[one.answers[0][1]] if one.answers else pb.GONE)
        runs = [one.run or one.name for one in entries if one.billed]
        assert len(runs) == len(set(runs))


def test_after_a_kill_what_may_not_have_been_answered_is_flagged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = KeptTown(monkeypatch)
    for _ in range(3):
        one = town.call(b"lookup")
        town.settle()
        town.end(one.name)
        town.settle()
    flags: list[tuple[bytes, int, int]] = []
    for turn in range(3):
        before = usage_recorder.EarlierIncarnations()
        log = Log(town.files, usage_recorder.KIND, b"after%03d" % turn, 1 << 30)
        log.recover(before.note_block)
        flags += before.unsure()
        entry_buffer = EntryBuffer("n1", b"after%03d" % turn, Periods(Calendar()), 10, 10)
        for flag in before.unsure():
            entry_buffer.flag(*flag)
        if not entry_buffer.empty:
            log.commit([entry_buffer.cut(1.0, 0, 1).data])
    assert flags == [(INCARNATION, 2, 3)]


# -- the journal


def sealed_blocks(
    server: str, count: int, incarnation: bytes = INCARNATION, at: int = NOON
) -> list[SealedBlock]:
    entry_buffer, found = EntryBuffer(server, incarnation, Periods(HOURS), 1000, 1000), []
    for place in range(count):
        for customer in ("acme", "zenith"):
            entry_buffer.add(
                pb.Entry(
                    customer=customer,
                    track="record",
                    outcome=pb.COMPLETED,
                    ended_us=(at + place) * MICROSECONDS_PER_SECOND,
                    billed=True,
                    run_us=1000,
                    name=(2 * place + (customer == "zenith")).to_bytes(8, "big"),
                )
            )
        found.append(entry_buffer.cut(at + place, entry_buffer.last, 100))
    return found


def apply(journal: Journal, server: str, some: list[SealedBlock], received: float) -> None:
    journal.begin()
    for one in some:
        batch = pb.Batch(block=one.data, digest=one.digest)
        verdict = collecting.decide_batch(server, batch, journal.known(server), {})
        if isinstance(verdict, collecting.Apply):
            journal.apply(server, verdict, received)
        else:
            assert isinstance(verdict, collecting.AlreadyApplied), verdict
    journal.commit()


def close(journal: Journal, at: float) -> list[str]:
    journal.period_closer.observe_clocks(at, at)
    journal.begin()
    names = journal.close_due()
    journal.commit()
    return names


@pytest.fixture
def journal(tmp_path: Path) -> Iterator[Journal]:
    one = Journal(tmp_path / "book.sqlite", HOURS)
    one.period_closer.observe_clocks(NOON, NOON)
    yield one
    one.close()


def test_a_block_counts_once_however_often_it_comes(journal: Journal) -> None:
    some = sealed_blocks("n1", 3)
    apply(journal, "n1", some[:2], NOON)
    apply(journal, "n1", [*some, some[0], some[2]], NOON)
    (one, other) = reports.statements(journal, "2026-12-01T12+00:00")
    assert (one.customer, one.tickets, one.run_us) == ("acme", 3, 3000) and other.tickets == 3
    assert not list(journal.verify())


def test_periods_close_in_order_late_entries_are_marked_and_closed_statements_stay(journal: Journal) -> None:
    some = sealed_blocks("n1", 4, at=NOON - 2)  # two seconds before noon, two after
    apply(journal, "n1", some[:3], NOON)
    assert close(journal, NOON + 30) == [] and close(journal, NOON + 61) == ["2026-12-01T11+00:00"]
    before = statement.as_text(reports.statements(journal, "2026-12-01T11+00:00"))
    late = sealed_blocks("n2", 1, b"incarn02", at=NOON - 100)
    apply(journal, "n2", late, NOON + 70)
    assert statement.as_text(reports.statements(journal, "2026-12-01T11+00:00")) == before
    (acme, _) = reports.statements(journal, "2026-12-01T12+00:00")
    assert acme.late["2026-12-01T11+00:00"]["record"].billed == 1 and "late, belongs to" in statement.as_text(
        [acme]
    )
    assert not list(journal.verify())


def tampered(journal: Journal, change: str) -> list[str]:
    journal._db.execute(change)
    return list(journal.verify())


@pytest.mark.parametrize(
    ("change", "says"),
    [
        ("update lines set run_us = 5 where place = 2", "line 2: not as it was written (n1/"),
        ("delete from lines where place = 2", "lines 2 to 2 are missing"),
        ("delete from lines where place = (select max(place) from lines)", "are there"),
        (
            "insert into lines select period, 99, digest, kind, block, sequence, belongs, customer, track,"
            " outcome, goal_kept, beyond, billed, entries, run_us, asked_bytes, answer_bytes, ended_us, name,"
            " run, more from lines where place = 1",
            "missing",
        ),
        ("update periods set seal = x'00' where sealed = 1", "its seal"),
        ("update periods set seal = null, sealed = null", "without a seal"),
        ("update periods set lines = 3", "lines were written"),
        ("delete from blocks where number = 2", "missing"),
        ("update blocks set first_sequence = first_sequence + 1 where number = 3", "sequence"),
    ],
)
def test_loss_insertion_and_change_are_found_and_located(journal: Journal, change: str, says: str) -> None:
    apply(journal, "n1", sealed_blocks("n1", 3, at=NOON - 600), NOON)
    close(journal, NOON + 61)
    assert not list(journal.verify())
    assert any(says in one for one in tampered(journal, change))


def test_corrections_stand_apart_and_leave_the_past_alone(journal: Journal) -> None:
    apply(journal, "n1", sealed_blocks("n1", 2, at=NOON - 600), NOON)
    close(journal, NOON + 61)
    before = statement.as_json(reports.statements(journal, "2026-12-01T11+00:00"))
    one = Correction(Target("n1", INCARNATION, 3), "acme", "record", -1, -1000, "ran by mistake", "someone")
    assert journal.correct(one, NOON + 100) == "2026-12-01T12+00:00"
    with pytest.raises(CorrectionError, match="taken away before"):
        journal.correct(one, NOON + 100)
    with pytest.raises(CorrectionError, match="no entry"):
        journal.correct(
            Correction(Target("n1", INCARNATION, 99), "acme", "record", -1, 0, "x", "y"), NOON + 100
        )
    with pytest.raises(CorrectionError, match="is open"):
        target = Target(period="2026-12-01T12+00:00")
        journal.correct(Correction(target, "acme", "record", -1, 0, "x", "y"), NOON + 100)
    assert statement.as_json(reports.statements(journal, "2026-12-01T11+00:00")) == before
    (acme,) = reports.statements(journal, "2026-12-01T12+00:00", "acme")
    assert (acme.tickets, acme.run_us) == (-1, -1000) and "ran by mistake" in statement.as_text([acme])
    assert "correction" in statement.as_csv([acme]) and not list(journal.verify())


def test_a_book_keeps_its_calendar_and_a_file_that_is_none_is_told(journal: Journal, tmp_path: Path) -> None:
    with pytest.raises(JournalError, match="hours of UTC, not days of Europe/Berlin"):
        Journal(journal.path, Calendar("Europe/Berlin", Length.DAY))
    (tmp_path / "text").write_text("no book at all, but a text that is long enough to be read as one")
    with pytest.raises(JournalError, match="not a database"):
        Journal(tmp_path / "text", HOURS)
    with pytest.raises(JournalError, match="no such book"):
        Journal(tmp_path / "absent", read_only=True)
    journal._db.execute("update meta set value = '9' where key = 'format'")
    with pytest.raises(JournalError, match="format 9"):
        Journal(journal.path, read_only=True)


def test_reconciliation_finds_gaps_doubles_changes_and_what_is_pending(
    journal: Journal, tmp_path: Path
) -> None:
    some = sealed_blocks("n1", 4)
    records = Log(DiskFiles(tmp_path / "n1"), usage_recorder.KIND, INCARNATION, 1 << 30)
    records.commit([one.data for one in some])
    apply(journal, "n1", some[:3], NOON)
    found, _ = reconcile_folders(journal, [tmp_path / "n1"])
    assert found.clean and (found.same, found.pending, found.pending_entries) == (3, 1, 2)
    assert found.billed == {("n1", "acme"): (3, 3), ("n1", "zenith"): (3, 3)}
    # A file in which an entry was changed after the fact, one that lacks a block, and the same one twice.
    other = pb.Block.FromString(some[1].data)
    other.entries[0].run_us = 7
    changed = Log(DiskFiles(tmp_path / "changed"), usage_recorder.KIND, INCARNATION, 1 << 30)
    changed.commit([some[0].data, other.SerializeToString(), some[2].data])
    found, _ = reconcile_folders(journal, [tmp_path / "changed"])
    assert not found.clean and "entry 3 differs" in found.changed[0]
    lacking = Log(DiskFiles(tmp_path / "lacking"), usage_recorder.KIND, INCARNATION, 1 << 30)
    lacking.commit([some[0].data, some[2].data])
    found, _ = reconcile_folders(journal, [tmp_path / "lacking"])
    assert "blocks 2 to 2 not in the server's files" in found.gaps[0]
    found, _ = reconcile_folders(journal, [tmp_path / "n1", tmp_path / "changed"])
    assert any("in two folders" in one for one in found.doubles)
    journal._db.execute("delete from blocks where number = 2")
    found, _ = reconcile_folders(journal, [tmp_path / "n1"])
    assert any("2 entries not in the book" in one for one in found.gaps)


# -- the collector behind its door


class Door:
    """A collector in a thread, on a port of its own."""

    def __init__(self, path: Path, **more: Any) -> None:
        self.scheduler = Scheduler(Clock())
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        plan = CollectorPlan(path, self.address, HOURS, frame_most=1 << 16, **more)
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.collector: Collector | None = None
        self.ready = threading.Event()
        self.plan = plan
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        assert self.ready.wait(10)

    def _run(self) -> None:
        scheduler = self.scheduler = Scheduler(Clock())
        self.collector = Collector(
            scheduler, self.plan, Journal(self.plan.book, HOURS), self, clock=lambda: NOON
        )
        self.stop = False

        def observe_clocks() -> None:
            if self.stop:
                scheduler.stop()
            scheduler.after(0.02, observe_clocks)

        observe_clocks()
        self.ready.set()
        scheduler.run()
        self.collector.close()

    def _say(self, event: str, **pairs: Any) -> None:
        self.lines.append((event, pairs))

    info = warning = error = _say

    def close(self) -> None:
        self.stop = True
        self.thread.join(10)


class ClientConnection:
    """A server's end of an export."""

    def __init__(self, door: Door) -> None:
        self.socket = socket.create_connection(door.address, timeout=10)
        self.frames, self.inbox = Frames(1 << 20), list[pb.Frame]()

    def send_frame(self, **kind: Any) -> None:
        self.socket.sendall(frame(pb.Frame(**kind)))

    def hear(self) -> pb.Frame | None:
        while not self.inbox:
            data = self.socket.recv(65536)
            if not data:
                return None
            self.inbox.extend(self.frames.feed(data))
        return self.inbox.pop(0)

    def greet(
        self, server: str = "n1", incarnation: bytes = INCARNATION, version: int = export.VERSION
    ) -> pb.Frame:
        self.send_frame(hello=pb.Hello(version=version, server=server, incarnation=incarnation))
        last_received_at = self.hear()
        assert last_received_at is not None
        return last_received_at

    def send(self, one: SealedBlock) -> pb.Frame | None:
        self.send_frame(batch=pb.Batch(block=one.data, digest=one.digest))
        return self.hear()


@pytest.fixture
def door(tmp_path: Path) -> Iterator[Door]:
    one = Door(tmp_path / "door.sqlite")
    yield one
    one.close()


def test_blocks_are_acknowledged_known_again_and_asked_for_after_a_restore(door: Door) -> None:
    some = sealed_blocks("n1", 3)
    peer = ClientConnection(door)
    assert not peer.greet().welcome.have
    for one in some[:2]:
        last_received_at = peer.send(one)
        assert last_received_at is not None and last_received_at.acknowledged.number == one.number
    again = ClientConnection(door)
    (have,) = again.greet().welcome.have
    assert (have.number, have.digest) == (2, some[1].digest)
    last_received_at = again.send(some[0])  # of a server that never received the acknowledgement
    assert last_received_at is not None and last_received_at.acknowledged.number == 1
    last_received_at = again.send(some[2])
    assert last_received_at is not None and last_received_at.acknowledged.number == 3
    assert door.collector is not None and door.collector.counts["blocks"] == 3


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (struct.pack(">I", 1 << 30) + b"x", "frame"),
        (b"\0\0\0\x03\xff\xff\xff", "frame"),
        (b"GET / HTTP/1.1\r\n\r\n", "frame"),
        (frame(pb.Frame(hello=pb.Hello(version=9, server="n1", incarnation=INCARNATION))), "version"),
        (frame(pb.Frame(hello=pb.Hello(version=1, server="", incarnation=INCARNATION))), "server"),
        (frame(pb.Frame(hello=pb.Hello(version=1, server="n1", incarnation=b"short"))), "incarnation"),
        (frame(pb.Frame(batch=pb.Batch(block=b"x"))), "greeting"),
    ],
)
def test_what_is_no_export_is_refused_by_name_and_the_rest_goes_on(
    door: Door, data: bytes, fault: str
) -> None:
    good, bad = ClientConnection(door), ClientConnection(door)
    good.greet()
    bad.socket.sendall(data)
    last_received_at = bad.hear()
    assert last_received_at is not None and last_received_at.refused.fault == fault
    assert bad.hear() is None  # and closed
    last_received_at = good.send(sealed_blocks("n1", 1)[0])
    assert last_received_at is not None and last_received_at.acknowledged.number == 1


def test_blocks_that_contradict_are_refused_and_nothing_of_them_is_posted(door: Door) -> None:
    some = sealed_blocks("n1", 3)
    forged = pb.Block.FromString(some[1].data)
    forged.entries[0].run_us = 5
    for bad, fault in (
        (some[2], "gap"),
        (SealedBlock(INCARNATION, 1, 2, some[0].data, b"x" * 32), "digest"),
        (sealed_blocks("n2", 1)[0], "server"),
    ):
        peer = ClientConnection(door)
        peer.greet()
        last_received_at = peer.send(bad)
        assert last_received_at is not None and last_received_at.refused.fault == fault
    peer = ClientConnection(door)
    peer.greet()
    assert peer.send(some[0]) is not None and peer.send(some[1]) is not None
    data = forged.SerializeToString()
    last_received_at = peer.send(SealedBlock(INCARNATION, 2, 4, data, blocks.digest(data)))
    assert last_received_at is not None and last_received_at.refused.fault == "changed"
    journal = Journal(door.plan.book, read_only=True)
    assert next(journal.rows("select count(*) from lines"))[0] == 4 and not list(journal.verify())


def test_two_servers_of_one_name_are_told_and_neither_loses_anything(door: Door) -> None:
    one, other = ClientConnection(door), ClientConnection(door)
    one.greet(incarnation=b"incarn01")
    other.greet(incarnation=b"incarn02")
    for peer, incarnation in ((one, b"incarn01"), (other, b"incarn02")):
        last_received_at = peer.send(sealed_blocks("n1", 1, incarnation)[0])
        assert last_received_at is not None and last_received_at.acknowledged.incarnation == incarnation
    assert ("two servers with one name") in [event for event, _ in door.lines]


def test_a_book_that_can_not_be_written_acknowledges_nothing_until_it_can(door: Door) -> None:
    some = sealed_blocks("n1", 1)
    lock = sqlite3.connect(door.plan.book, isolation_level=None)
    assert door.collector is not None
    lock.execute("begin immediate")
    peer = ClientConnection(door)
    peer.greet()
    last_received_at = peer.send(some[0])
    assert last_received_at is not None and last_received_at.refused.fault == "book"
    lock.execute("rollback")
    peer = ClientConnection(door)
    peer.greet()
    last_received_at = peer.send(some[0])
    assert last_received_at is not None and last_received_at.acknowledged.number == 1


def test_use_of_a_customer_that_nobody_named_is_posted_and_told(tmp_path: Path) -> None:
    door = Door(tmp_path / "named.sqlite", customers=frozenset({"acme"}))
    try:
        peer = ClientConnection(door)
        peer.greet()
        peer.send(sealed_blocks("n1", 1)[0])
        journal = Journal(door.plan.book, read_only=True)
        (acme, zenith) = reports.statements(journal, "2026-12-01T12+00:00")
        assert acme.known and not zenith.known and zenith.tickets == 1
        assert "NOT a customer" in statement.as_text([zenith])
        assert ("unknown customer", {"customer": "zenith", "server": "n1"}) in door.lines
    finally:
        door.close()


def test_a_hole_is_noted_and_the_chain_goes_on_behind_it(door: Door) -> None:
    some = sealed_blocks("n1", 4)
    peer = ClientConnection(door)
    peer.greet()
    peer.send(some[0])
    peer.send_frame(lost=pb.Lost(incarnation=INCARNATION, through=2, reason="damaged on disk"))
    last_received_at = peer.send(some[2])
    assert last_received_at is not None and last_received_at.acknowledged.number == 3
    peer.send(some[3])
    journal = Journal(door.plan.book, read_only=True)
    found, _ = reconcile_folders(journal, [])
    assert "blocks 2 to 2: damaged on disk" in found.gaps[0] and not list(journal.verify())


# -- background work


def test_periodic_tasks_keep_to_their_share_and_yield_to_tickets() -> None:
    periodic_scheduler, low, high = (
        PeriodicScheduler(),
        PeriodicTask("low", 2, 0.5),
        PeriodicTask("high", 1, 0.1),
    )
    periodic_scheduler.add(low)
    periodic_scheduler.add(high)
    took = {"low": 0.0, "high": 0.0}
    now = 100.0
    for step in range(20_000):
        now += 0.001
        busy = step % 2 == 0
        periodic_scheduler.want(low, now)
        periodic_scheduler.want(high, now)
        periodic_task = periodic_scheduler.choose(now, busy)
        if periodic_task is not None:
            assert not busy or now - periodic_task.wanted_since >= periodic_task.max_wait_s
            took[periodic_task.name] += 0.001
            periodic_scheduler.done(periodic_task, now, 0.001, more=True)
    assert 0.9 * 2.0 <= took["high"] <= 0.1 * 20 + MAX_BUDGET_S + 0.001
    assert 4.0 <= took["low"] <= 0.5 * 20 + MAX_BUDGET_S + 0.001


def test_a_starved_chore_has_its_step_in_spite_of_tickets() -> None:
    periodic_scheduler, periodic_task = PeriodicScheduler(), PeriodicTask("one", 1, 0.5, max_wait_s=0.25)
    periodic_scheduler.add(periodic_task)
    periodic_scheduler.want(periodic_task, 10.0)
    assert periodic_scheduler.choose(10.2, busy=True) is None and periodic_scheduler.next_step_in_s(
        10.2, busy=True
    ) == pytest.approx(0.05)
    assert periodic_scheduler.choose(10.3, busy=True) is periodic_task


# -- features file and command


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("version: 2\n", "f:1: version"),
        ("version: 1\nledgr: {}\n", "f:2: ledgr: no such key; ledger may be meant"),
        ("version: 1\nledger:\n  depth: disk\n", "f:3: ledger.depth: input should be 'memory' or 'durable'"),
        ("version: 1\nledger:\n  depth: durable\n", "folder is needed"),
        ("version: 1\nledger:\n  depth: memory\n", "export is needed"),
        (
            "version: 1\nledger:\n  depth: memory\n  export:\n    address: nowhere:80\n",
            "f:5: ledger.export.address",
        ),
        ("version: 1\nledger:\n  depth: memory\n  hold-most-s: yes\n", "f:4: ledger.hold-most-s"),
        (
            "version: 1\ncollector:\n  book: b\n  listen: 127.0.0.1:1\n  period: {zone: Mars}\n",
            "no such time zone",
        ),
        ("- a\n", "expected keys"),
        ("version: [1\n", "not YAML"),
        ("version: 1\nversion: 1\n", "not YAML"),
    ],
)
def test_features_that_are_faulty_are_told_with_line_and_key(text: str, says: str) -> None:
    with pytest.raises(FaultyFeaturesError) as trouble:
        check("f", text)
    assert says.lower() in str(trouble.value).lower()


def test_all_faults_are_told_at_once_and_the_example_is_in_order() -> None:
    with pytest.raises(FaultyFeaturesError) as trouble:
        check("f", "version: 1\nledger:\n  depht: memory\n  disk-mb: -1\n  period:\n    zone: X/Y\n")
    assert len(trouble.value.faults) == 4
    found = read(Path(__file__).parent.parent / "deploy" / "sablewheel.yaml")
    assert found.ledger is not None and found.collector is not None
    assert found.ledger == LedgerPlan(
        depth=Depth.DURABLE, folder=found.ledger.folder, export=found.ledger.export
    )


def test_the_command_checks_prints_and_refuses(journal: Journal, tmp_path: Path) -> None:
    apply(journal, "n1", sealed_blocks("n1", 2, at=NOON - 600), NOON)
    close(journal, NOON + 61)
    path, runner = str(journal.path), CliRunner()

    def call(*words: str) -> tuple[int, str]:
        done = runner.invoke(main, ["ledger", *words, "--book", path])
        return done.exit_code, done.output

    code, text = call("statement", "--period", "2026-12-01T11+00:00", "--customer", "acme")
    assert code == 0 and "billed: 2 tickets" in text
    assert call("statement", "--period", "2026-12-01T11+00:00", "--format", "csv")[1].count("\n") == 3
    told = json.loads(call("statement", "--period", "2026-12-01T11+00:00", "--format", "json")[1])
    assert [one["billed_tickets"] for one in told] == [2, 2]
    code, text = call("statement", "--period", "2026-12-01T11+00:00", "--customer", "acne")
    assert code == 1 and "nothing of 'acne'" in text and "'acme' may be meant" in text
    assert "is no hour of UTC" in call("statement", "--period", "yesterday")[1]
    assert call("verify") == (0, "in order\n")
    assert call("verify", "--against", "00")[0] == 1
    assert call("verify", "--against", told[0]["seal"])[0] == 0
    words = ("--customer", "acme", "--track", "record", "--reason", "r", "--author", "a")
    assert (
        "corrected in period"
        in call("correct", *words, "--target", f"n1/{INCARNATION.hex()}/1", "--tickets", "-1")[1]
    )
    assert "neither" in call("correct", *words, "--target", "n1", "--tickets", "-1")[1]
    assert len(call("show", "--customer", "zenith")[1].splitlines()) == 2
    bad = tmp_path / "bad.yaml"
    bad.write_text("version: 3\n")
    done = runner.invoke(main, ["check", str(bad), str(tmp_path / "absent.json")])
    assert done.exit_code == 2 and "bad.yaml:1: version" in done.output and "absent.json" in done.output


def test_with_nothing_switched_on_nothing_is_imported() -> None:
    code = (
        "import sys; import sablewheel.__main__, sablewheel.program.application, sablewheel.program.logs;"
        "print([one for one in sys.modules if one.split('.')[0] in ('pydantic', 'google', 'ruamel', 'click',"
        " 'sqlite3', 'structlog', 'rich', 'zoneinfo', 'hashlib') or"
        " one.startswith(('sablewheel.usage_metering',"
        " 'sablewheel.storage', 'sablewheel.experiments', 'sablewheel.command'))])"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=30, check=True
    )
    assert done.stdout.strip() == "[]"


def test_time_is_bounded(door: Door) -> None:
    """A peer that connects and says nothing is closed, and holds nobody up."""
    silent = ClientConnection(door)
    begun = time.monotonic()
    assert silent.hear() is None and time.monotonic() - begun < 9
