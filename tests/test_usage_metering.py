"""Usage metering with its I/O: recorder, collector, journal and commands, with full disks, tampered journals
and invalid exports.
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
from sablewheel.usage_metering.frames import FrameDecoder, encode_frame
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
HOURS = Calendar("UTC", Length.HOUR, lag_s=60.0)
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

# -- the recorder in the server, with a simulated clock and disk


class DurableDepthServer(SimulatedServer):
    """The serving layer with a recorder; commits are made at once, on a disk that may fail."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, answers: Answers = Answers.AFTER_ENTRY) -> None:
        super().__init__(SERVER_SETTINGS)
        self.files = FakeFiles()
        monkeypatch.setattr(usage_recorder, "DiskFiles", lambda _: self.files)
        monkeypatch.setattr(usage_recorder, "WorkerThread", ManualWorkerThread)
        plan = LedgerPlan(Depth.DURABLE, Path("made"), answers, commit_interval_s=0.0, max_entries=50)
        background = Background(self.scheduler, lambda: 0)
        names = {SERVER_SETTINGS.tenants[0]: "acme"}
        self.usage_recorder = UsageRecorder(
            self.scheduler, background, plan, "n1", INCARNATION, names, lambda: 0.5, self.counts.append
        )
        self.listener.observer = self.usage_recorder
        self.worker_thread: ManualWorkerThread = self.usage_recorder._worker_thread  # type: ignore[assignment]

    def settle(self, deliver: bool = True) -> None:
        super().settle(deliver)
        if hasattr(self, "usage_recorder"):
            for _ in range(4):
                self.usage_recorder.end_round()
                self.worker_thread.work()
                super().settle(deliver)

    def entries(self) -> list[pb.Entry]:
        entries: list[pb.Entry] = []

        def add_entries(_: int, data: bytes, __: object) -> None:
            entries.extend(blocks.read(data).entries)

        Log(self.files, usage_recorder.KIND, b"auditor1", 1 << 30).recover(add_entries)
        return entries


class ManualWorkerThread:
    """A worker thread whose jobs run only while `open` is set, when the test calls `work`."""

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
                result, error = job(), None
            except OSError as caught:
                result, error = None, caught
            done(result, error)

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
        plan = LedgerPlan(block_interval_s=0.1, export=ExportPlan(("127.0.0.1", 1)))
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
        """Send the welcome of a collector without blocks on the newest connection."""
        self.wait(1.0)
        self.exports[-1].feed(encode_frame(pb.Frame(welcome=pb.Welcome(version=export.VERSION))))
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
    """A block that must be sent again keeps a closing server from being settled.

    After a reconnect a server counted no block as unsettled; it exited without 155 entries and logged
    nothing.
    """
    server = MemoryDepthServer(monkeypatch)
    server.serve_one()
    server.send_blocks()
    assert not server.usage_recorder.is_settled()
    server.exports[-1].feed(b"")
    server.usage_recorder.on_grace_over()
    server.welcome()
    assert not server.usage_recorder.is_settled()
    server.send_blocks()
    acknowledged = pb.Acknowledged(incarnation=INCARNATION, number=1)
    server.exports[-1].feed(encode_frame(pb.Frame(acknowledged=acknowledged)))
    server.settle()
    assert server.usage_recorder.is_settled()


def test_sealed_blocks_that_no_collector_acknowledged_are_told_at_the_end(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    server = MemoryDepthServer(monkeypatch)
    for _ in range(3):
        server.serve_one()
        server.send_blocks()
    server.usage_recorder.close(0.0)
    logged = [record.pairs for record in caplog.records if record.message == "entries left behind"]  # type: ignore[attr-defined]
    assert [(pairs["customer"], pairs["entries"], pairs["billed"]) for pairs in logged] == [("acme", 3, 3)]


def test_a_completed_answer_leaves_when_its_entry_is_durable(monkeypatch: pytest.MonkeyPatch) -> None:
    server = DurableDepthServer(monkeypatch)
    attempt = server.call(b"lookup")
    server.settle()
    server.worker_thread.open = False
    server.end(attempt.name)
    server.settle()
    assert not attempt.answers and not server.entries()
    server.worker_thread.open = True
    server.settle()
    assert attempt.answers[0][1] == b"OK"
    (entry,) = server.entries()
    assert (entry.customer, entry.track, entry.outcome, entry.billed) == (
        "acme",
        "lookup",
        pb.COMPLETED,
        True,
    )
    assert entry.run_us == 250_000 and entry.name.hex() == attempt.name.decode() and entry.goal_kept


def test_a_stalled_disk_delays_answers_only_up_to_the_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    server = DurableDepthServer(monkeypatch)
    attempt = server.call(b"lookup")
    server.settle()
    server.worker_thread.open = False
    server.end(attempt.name)
    server.wait(0.1)
    assert not attempt.answers
    server.wait(0.3)  # the limit, max_answer_delay_s, is 0.25 s
    assert attempt.answers[0][1] == b"OK" and "ledger_answers_ahead" in server.counts
    server.worker_thread.open = True
    server.wait(0.5)
    assert len(server.entries()) == 1


def test_a_full_disk_delays_no_answer_and_all_usage_is_written_later(monkeypatch: pytest.MonkeyPatch) -> None:
    server = DurableDepthServer(monkeypatch)
    server.files.fail = {"append": [OSError(errno.ENOSPC, "no space left on device")] * 1000}
    attempts = []
    for _ in range(120):
        attempts.append(server.call(b"lookup"))
        server.settle()
        server.end(attempts[-1].name)
        server.wait(0.01)
    assert all(attempt.answers[0][1] == b"OK" for attempt in attempts)
    assert server.usage_recorder.gauges()["ledger_disk"] == "full"
    server.files.fail = {}
    server.wait(5.0)
    written: list[pb.Block] = []
    Log(server.files, usage_recorder.KIND, b"auditor1", 1 << 30).recover(
        lambda _, data, __: written.append(blocks.read(data))
    )
    single = sum(len(block.entries) for block in written)
    folded = sum(total.entries for block in written for total in block.totals)
    assert (
        single + folded == 120 and folded > 0 and server.usage_recorder.gauges()["ledger_disk"] == "working"
    )
    assert sum(total.entries * total.billed for block in written for total in block.totals) == folded


def test_a_repeat_is_not_billed_whether_attached_or_answered_from_a_stored_result(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = DurableDepthServer(monkeypatch)
    first = server.call(b"record", b"label")
    server.settle()
    attached = server.call(b"record", b"label")
    server.settle()
    server.end(first.name)
    server.settle()
    later = server.call(b"record", b"label")
    server.wait(1.0)
    assert [attempt.answers[0][1] for attempt in (first, attached, later)] == [b"OK"] * 3
    entries = {entry.name.hex().encode(): entry for entry in server.entries()}
    assert [entries[attempt.name].billed for attempt in (first, attached, later)] == [True, False, False]
    assert [entries[attempt.name].run.hex().encode() for attempt in (attached, later)] == [first.name] * 2
    assert sum(entry.run_us for entry in entries.values()) == 250_000


def test_a_run_is_billed_to_the_repeat_if_the_first_attempt_was_cancelled(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = DurableDepthServer(monkeypatch)
    first = server.call(b"record", b"label")
    server.settle()
    server.cancel(first)
    repeat = server.call(b"record", b"label")
    server.settle()
    server.end(first.name)
    server.wait(1.0)
    assert repeat.answers[0][1] == b"OK"
    entries = {entry.name.hex().encode(): entry for entry in server.entries()}
    assert entries[first.name].outcome == pb.GONE and not entries[first.name].billed
    assert entries[repeat.name].billed and entries[repeat.name].run_us == 250_000


def test_random_events_with_stalls_record_one_entry_per_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for seed in range(6):
        rng, server = random.Random(seed), DurableDepthServer(monkeypatch)
        for _ in range(60):
            match rng.randrange(8):
                case 0 | 1 | 2:
                    label = b"%d" % rng.randrange(5) if rng.random() < 0.5 else b""
                    server.call(b"record" if label else b"lookup", label)
                case 3 | 4 if server.interpreter.running:
                    server.end(rng.choice(list(server.interpreter.running)))
                case 5 if server.attempts:
                    server.cancel(rng.choice(server.attempts))
                case 6:
                    server.worker_thread.open = rng.random() < 0.6
                case _:
                    server.wait(rng.uniform(0.0, 0.3))
            server.settle()
        server.worker_thread.open = True
        server.wait(6.0)
        entries = server.entries()
        names = [entry.name.hex().encode() for entry in entries]
        assert sorted(names) == sorted(attempt.name for attempt in server.attempts)
        outcomes = {b"OK": pb.COMPLETED, b"BUSY": pb.DENIED, b"FAILED": pb.TERMINATED}
        outcome_of = dict(zip(names, (entry.outcome for entry in entries), strict=True))
        for attempt in server.attempts:
            assert outcome_of[attempt.name] == (
                outcomes[attempt.answers[0][1]] if attempt.answers else pb.GONE
            )
        runs = [entry.run or entry.name for entry in entries if entry.billed]
        assert len(runs) == len(set(runs))


def test_possibly_unanswered_entries_of_a_killed_server_are_flagged_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = DurableDepthServer(monkeypatch)
    for _ in range(3):
        attempt = server.call(b"lookup")
        server.settle()
        server.end(attempt.name)
        server.settle()
    flags: list[tuple[bytes, int, int]] = []
    for restart in range(3):
        earlier = usage_recorder.EarlierIncarnations()
        log = Log(server.files, usage_recorder.KIND, b"after%03d" % restart, 1 << 30)
        log.recover(earlier.note_block)
        flags += earlier.unsure()
        entry_buffer = EntryBuffer("n1", b"after%03d" % restart, Periods(Calendar()), 10, 10)
        for flag in earlier.unsure():
            entry_buffer.flag_unanswered(*flag)
        if not entry_buffer.empty:
            log.commit([entry_buffer.cut(1.0, 0, 1).data])
    assert flags == [(INCARNATION, 2, 3)]


# -- the journal


def sealed_blocks(
    server: str, count: int, incarnation: bytes = INCARNATION, at_s: int = NOON
) -> list[SealedBlock]:
    entry_buffer, sealed = EntryBuffer(server, incarnation, Periods(HOURS), 1000, 1000), []
    for index in range(count):
        for customer in ("acme", "zenith"):
            entry_buffer.add(
                pb.Entry(
                    customer=customer,
                    track="record",
                    outcome=pb.COMPLETED,
                    ended_us=(at_s + index) * MICROSECONDS_PER_SECOND,
                    billed=True,
                    run_us=1000,
                    name=(2 * index + (customer == "zenith")).to_bytes(8, "big"),
                )
            )
        sealed.append(entry_buffer.cut(at_s + index, entry_buffer.last, 100))
    return sealed


def apply(journal: Journal, server: str, sealed: list[SealedBlock], received_at: float) -> None:
    journal.begin()
    for block in sealed:
        batch = pb.Batch(block=block.data, digest=block.digest)
        decision = collecting.decide_batch(server, batch, journal.last_blocks(server), {})
        if isinstance(decision, collecting.Apply):
            journal.apply(server, decision, received_at)
        else:
            assert isinstance(decision, collecting.AlreadyApplied), decision
    journal.commit()


def close(journal: Journal, at: float) -> list[str]:
    journal.period_closer.observe_clocks(at, at)
    journal.begin()
    names = journal.close_due()
    journal.commit()
    return names


@pytest.fixture
def journal(tmp_path: Path) -> Iterator[Journal]:
    opened = Journal(tmp_path / "book.sqlite", HOURS)
    opened.period_closer.observe_clocks(NOON, NOON)
    yield opened
    opened.close()


def test_a_block_is_posted_once_however_often_it_is_received(journal: Journal) -> None:
    sealed = sealed_blocks("n1", 3)
    apply(journal, "n1", sealed[:2], NOON)
    apply(journal, "n1", [*sealed, sealed[0], sealed[2]], NOON)
    (acme, zenith) = reports.statements(journal, "2026-12-01T12+00:00")
    assert (acme.customer, acme.tickets, acme.run_us) == ("acme", 3, 3000) and zenith.tickets == 3
    assert not list(journal.verify())


def test_periods_close_in_order_late_entries_are_marked_and_closed_statements_stay(journal: Journal) -> None:
    sealed = sealed_blocks("n1", 4, at_s=NOON - 2)  # two blocks before noon, two after
    apply(journal, "n1", sealed[:3], NOON)
    assert close(journal, NOON + 30) == [] and close(journal, NOON + 61) == ["2026-12-01T11+00:00"]
    before = statement.as_text(reports.statements(journal, "2026-12-01T11+00:00"))
    late = sealed_blocks("n2", 1, b"incarn02", at_s=NOON - 100)
    apply(journal, "n2", late, NOON + 70)
    assert statement.as_text(reports.statements(journal, "2026-12-01T11+00:00")) == before
    (acme, _) = reports.statements(journal, "2026-12-01T12+00:00")
    assert acme.late["2026-12-01T11+00:00"]["record"].billed == 1 and "late, belongs to" in statement.as_text(
        [acme]
    )
    assert not list(journal.verify())


def faults_after(journal: Journal, change: str) -> list[str]:
    journal._db.execute(change)
    return list(journal.verify())


@pytest.mark.parametrize(
    ("change", "fault"),
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
def test_loss_insertion_and_change_are_found_and_located(journal: Journal, change: str, fault: str) -> None:
    apply(journal, "n1", sealed_blocks("n1", 3, at_s=NOON - 600), NOON)
    close(journal, NOON + 61)
    assert not list(journal.verify())
    assert any(fault in found for found in faults_after(journal, change))


def test_corrections_are_listed_separately_and_change_no_closed_statement(journal: Journal) -> None:
    apply(journal, "n1", sealed_blocks("n1", 2, at_s=NOON - 600), NOON)
    close(journal, NOON + 61)
    before = statement.as_json(reports.statements(journal, "2026-12-01T11+00:00"))
    correction = Correction(
        Target("n1", INCARNATION, 3), "acme", "record", -1, -1000, "ran by mistake", "someone"
    )
    assert journal.correct(correction, NOON + 100) == "2026-12-01T12+00:00"
    with pytest.raises(CorrectionError, match="deducted before"):
        journal.correct(correction, NOON + 100)
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


def test_a_journal_rejects_another_calendar_and_other_files_are_rejected(
    journal: Journal, tmp_path: Path
) -> None:
    with pytest.raises(JournalError, match="hours of UTC, not days of Europe/Berlin"):
        Journal(journal.path, Calendar("Europe/Berlin", Length.DAY))
    (tmp_path / "text").write_text("no journal, but a text that is long enough to be read as an SQLite file")
    with pytest.raises(JournalError, match="not a database"):
        Journal(tmp_path / "text", HOURS)
    with pytest.raises(JournalError, match="no such journal"):
        Journal(tmp_path / "absent", read_only=True)
    journal._db.execute("update meta set value = '9' where key = 'format'")
    with pytest.raises(JournalError, match="format 9"):
        Journal(journal.path, read_only=True)


def test_reconciliation_finds_gaps_doubles_changes_and_what_is_pending(
    journal: Journal, tmp_path: Path
) -> None:
    sealed = sealed_blocks("n1", 4)
    records = Log(DiskFiles(tmp_path / "n1"), usage_recorder.KIND, INCARNATION, 1 << 30)
    records.commit([block.data for block in sealed])
    apply(journal, "n1", sealed[:3], NOON)
    report, _ = reconcile_folders(journal, [tmp_path / "n1"])
    assert report.clean and (report.same, report.pending, report.pending_entries) == (3, 1, 2)
    assert report.billed == {("n1", "acme"): (3, 3), ("n1", "zenith"): (3, 3)}
    # Folders with a changed entry, with a missing block, and with the same blocks as another folder.
    other = pb.Block.FromString(sealed[1].data)
    other.entries[0].run_us = 7
    changed = Log(DiskFiles(tmp_path / "changed"), usage_recorder.KIND, INCARNATION, 1 << 30)
    changed.commit([sealed[0].data, other.SerializeToString(), sealed[2].data])
    report, _ = reconcile_folders(journal, [tmp_path / "changed"])
    assert not report.clean and "entry 3 differs" in report.changed[0]
    incomplete = Log(DiskFiles(tmp_path / "lacking"), usage_recorder.KIND, INCARNATION, 1 << 30)
    incomplete.commit([sealed[0].data, sealed[2].data])
    report, _ = reconcile_folders(journal, [tmp_path / "lacking"])
    assert "blocks 2 to 2 not in the server's files" in report.gaps[0]
    report, _ = reconcile_folders(journal, [tmp_path / "n1", tmp_path / "changed"])
    assert any("in two folders" in finding for finding in report.doubles)
    journal._db.execute("delete from blocks where number = 2")
    report, _ = reconcile_folders(journal, [tmp_path / "n1"])
    assert any("2 entries not in the journal" in finding for finding in report.gaps)


# -- the collector and its connections


class CollectorThread:
    """A collector in a thread, on a free port."""

    def __init__(self, path: Path, **settings: Any) -> None:
        self.scheduler = Scheduler(Clock())
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
        plan = CollectorPlan(path, self.address, HOURS, max_frame_bytes=1 << 16, **settings)
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
            scheduler, self.plan, Journal(self.plan.journal_path, HOURS), self, clock=lambda: NOON
        )
        self.stop = False

        def check_stop() -> None:
            if self.stop:
                scheduler.stop()
            scheduler.after(0.02, check_stop)

        check_stop()
        self.ready.set()
        scheduler.run()
        self.collector.close()

    def _log_event(self, event: str, **pairs: Any) -> None:
        self.lines.append((event, pairs))

    info = warning = error = _log_event

    def close(self) -> None:
        self.stop = True
        self.thread.join(10)


class ClientConnection:
    """A server's end of an export connection."""

    def __init__(self, collector_thread: CollectorThread) -> None:
        self.socket = socket.create_connection(collector_thread.address, timeout=10)
        self.decoder, self.inbox = FrameDecoder(1 << 20), list[pb.Frame]()

    def send_frame(self, **message: Any) -> None:
        self.socket.sendall(encode_frame(pb.Frame(**message)))

    def receive(self) -> pb.Frame | None:
        while not self.inbox:
            data = self.socket.recv(65536)
            if not data:
                return None
            self.inbox.extend(self.decoder.feed(data))
        return self.inbox.pop(0)

    def greet(
        self, server: str = "n1", incarnation: bytes = INCARNATION, version: int = export.VERSION
    ) -> pb.Frame:
        self.send_frame(hello=pb.Hello(version=version, server=server, incarnation=incarnation))
        reply = self.receive()
        assert reply is not None
        return reply

    def send(self, block: SealedBlock) -> pb.Frame | None:
        self.send_frame(batch=pb.Batch(block=block.data, digest=block.digest))
        return self.receive()


@pytest.fixture
def collector_thread(tmp_path: Path) -> Iterator[CollectorThread]:
    running = CollectorThread(tmp_path / "journal.sqlite")
    yield running
    running.close()


def test_blocks_are_acknowledged_and_recognised_when_sent_again(
    collector_thread: CollectorThread,
) -> None:
    sealed = sealed_blocks("n1", 3)
    peer = ClientConnection(collector_thread)
    assert not peer.greet().welcome.have
    for block in sealed[:2]:
        reply = peer.send(block)
        assert reply is not None and reply.acknowledged.number == block.number
    reconnected = ClientConnection(collector_thread)
    (have,) = reconnected.greet().welcome.have
    assert (have.number, have.digest) == (2, sealed[1].digest)
    reply = reconnected.send(sealed[0])  # as from a server that did not receive the acknowledgement
    assert reply is not None and reply.acknowledged.number == 1
    reply = reconnected.send(sealed[2])
    assert reply is not None and reply.acknowledged.number == 3
    assert collector_thread.collector is not None and collector_thread.collector.counts["blocks"] == 3


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (struct.pack(">I", 1 << 30) + b"x", "frame"),
        (b"\0\0\0\x03\xff\xff\xff", "frame"),
        (b"GET / HTTP/1.1\r\n\r\n", "frame"),
        (encode_frame(pb.Frame(hello=pb.Hello(version=9, server="n1", incarnation=INCARNATION))), "version"),
        (encode_frame(pb.Frame(hello=pb.Hello(version=1, server="", incarnation=INCARNATION))), "server"),
        (encode_frame(pb.Frame(hello=pb.Hello(version=1, server="n1", incarnation=b"short"))), "incarnation"),
        (encode_frame(pb.Frame(batch=pb.Batch(block=b"x"))), "greeting"),
    ],
)
def test_invalid_exports_are_refused_and_other_connections_continue(
    collector_thread: CollectorThread, data: bytes, fault: str
) -> None:
    good, bad = ClientConnection(collector_thread), ClientConnection(collector_thread)
    good.greet()
    bad.socket.sendall(data)
    reply = bad.receive()
    assert reply is not None and reply.refused.fault == fault
    assert bad.receive() is None  # the connection is closed
    reply = good.send(sealed_blocks("n1", 1)[0])
    assert reply is not None and reply.acknowledged.number == 1


def test_inconsistent_blocks_are_refused_and_not_posted(
    collector_thread: CollectorThread,
) -> None:
    sealed = sealed_blocks("n1", 3)
    forged = pb.Block.FromString(sealed[1].data)
    forged.entries[0].run_us = 5
    for bad, fault in (
        (sealed[2], "gap"),
        (SealedBlock(INCARNATION, 1, 2, sealed[0].data, b"x" * 32), "digest"),
        (sealed_blocks("n2", 1)[0], "server"),
    ):
        peer = ClientConnection(collector_thread)
        peer.greet()
        reply = peer.send(bad)
        assert reply is not None and reply.refused.fault == fault
    peer = ClientConnection(collector_thread)
    peer.greet()
    assert peer.send(sealed[0]) is not None and peer.send(sealed[1]) is not None
    data = forged.SerializeToString()
    reply = peer.send(SealedBlock(INCARNATION, 2, 4, data, blocks.digest(data)))
    assert reply is not None and reply.refused.fault == "changed"
    journal = Journal(collector_thread.plan.journal_path, read_only=True)
    assert next(journal.rows("select count(*) from lines"))[0] == 4 and not list(journal.verify())


def test_two_servers_with_one_name_are_logged_and_no_entry_is_lost(
    collector_thread: CollectorThread,
) -> None:
    first, second = ClientConnection(collector_thread), ClientConnection(collector_thread)
    first.greet(incarnation=b"incarn01")
    second.greet(incarnation=b"incarn02")
    for peer, incarnation in ((first, b"incarn01"), (second, b"incarn02")):
        reply = peer.send(sealed_blocks("n1", 1, incarnation)[0])
        assert reply is not None and reply.acknowledged.incarnation == incarnation
    assert ("two servers with one name") in [event for event, _ in collector_thread.lines]


def test_nothing_is_acknowledged_while_the_journal_is_not_writable(
    collector_thread: CollectorThread,
) -> None:
    sealed = sealed_blocks("n1", 1)
    lock = sqlite3.connect(collector_thread.plan.journal_path, isolation_level=None)
    assert collector_thread.collector is not None
    lock.execute("begin immediate")
    peer = ClientConnection(collector_thread)
    peer.greet()
    reply = peer.send(sealed[0])
    assert reply is not None and reply.refused.fault == "book"
    lock.execute("rollback")
    peer = ClientConnection(collector_thread)
    peer.greet()
    reply = peer.send(sealed[0])
    assert reply is not None and reply.acknowledged.number == 1


def test_usage_of_an_unknown_customer_is_posted_and_logged(tmp_path: Path) -> None:
    collector_thread = CollectorThread(tmp_path / "named.sqlite", customers=frozenset({"acme"}))
    try:
        peer = ClientConnection(collector_thread)
        peer.greet()
        peer.send(sealed_blocks("n1", 1)[0])
        journal = Journal(collector_thread.plan.journal_path, read_only=True)
        (acme, zenith) = reports.statements(journal, "2026-12-01T12+00:00")
        assert acme.known and not zenith.known and zenith.tickets == 1
        assert "NOT a customer" in statement.as_text([zenith])
        assert ("unknown customer", {"customer": "zenith", "server": "n1"}) in collector_thread.lines
    finally:
        collector_thread.close()


def test_lost_blocks_are_recorded_and_the_next_block_starts_a_new_chain(
    collector_thread: CollectorThread,
) -> None:
    sealed = sealed_blocks("n1", 4)
    peer = ClientConnection(collector_thread)
    peer.greet()
    peer.send(sealed[0])
    peer.send_frame(lost=pb.Lost(incarnation=INCARNATION, through=2, reason="damaged on disk"))
    reply = peer.send(sealed[2])
    assert reply is not None and reply.acknowledged.number == 3
    peer.send(sealed[3])
    journal = Journal(collector_thread.plan.journal_path, read_only=True)
    report, _ = reconcile_folders(journal, [])
    assert "blocks 2 to 2: damaged on disk" in report.gaps[0] and not list(journal.verify())


# -- background work


def test_periodic_tasks_keep_to_their_share_and_yield_to_requests() -> None:
    periodic_scheduler, low, high = (
        PeriodicScheduler(),
        PeriodicTask("low", 2, 0.5),
        PeriodicTask("high", 1, 0.1),
    )
    periodic_scheduler.add(low)
    periodic_scheduler.add(high)
    run_time_s = {"low": 0.0, "high": 0.0}
    now = 100.0
    for step in range(20_000):
        now += 0.001
        busy = step % 2 == 0
        periodic_scheduler.request_step(low, now)
        periodic_scheduler.request_step(high, now)
        periodic_task = periodic_scheduler.choose(now, busy)
        if periodic_task is not None:
            assert not busy or now - periodic_task.pending_since >= periodic_task.max_wait_s
            run_time_s[periodic_task.name] += 0.001
            periodic_scheduler.record_step(periodic_task, now, 0.001, more=True)
    assert 0.9 * 2.0 <= run_time_s["high"] <= 0.1 * 20 + MAX_BUDGET_S + 0.001
    assert 4.0 <= run_time_s["low"] <= 0.5 * 20 + MAX_BUDGET_S + 0.001


def test_a_starved_task_is_chosen_even_when_busy() -> None:
    periodic_scheduler, periodic_task = PeriodicScheduler(), PeriodicTask("one", 1, 0.5, max_wait_s=0.25)
    periodic_scheduler.add(periodic_task)
    periodic_scheduler.request_step(periodic_task, 10.0)
    assert periodic_scheduler.choose(10.2, busy=True) is None and periodic_scheduler.next_step_in_s(
        10.2, busy=True
    ) == pytest.approx(0.05)
    assert periodic_scheduler.choose(10.3, busy=True) is periodic_task


# -- features file and command


@pytest.mark.parametrize(
    ("text", "message"),
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
def test_faulty_features_are_reported_with_line_and_key(text: str, message: str) -> None:
    with pytest.raises(FaultyFeaturesError) as error:
        check("f", text)
    assert message.lower() in str(error.value).lower()


def test_all_faults_are_reported_at_once_and_the_example_is_valid() -> None:
    with pytest.raises(FaultyFeaturesError) as error:
        check("f", "version: 1\nledger:\n  depht: memory\n  disk-mb: -1\n  period:\n    zone: X/Y\n")
    assert len(error.value.faults) == 4
    features = read(Path(__file__).parent.parent / "deploy" / "sablewheel.yaml")
    assert features.ledger is not None and features.collector is not None
    assert features.ledger == LedgerPlan(
        depth=Depth.DURABLE, folder=features.ledger.folder, export=features.ledger.export
    )


def test_the_command_checks_prints_and_refuses(journal: Journal, tmp_path: Path) -> None:
    apply(journal, "n1", sealed_blocks("n1", 2, at_s=NOON - 600), NOON)
    close(journal, NOON + 61)
    path, runner = str(journal.path), CliRunner()

    def call(*options: str) -> tuple[int, str]:
        result = runner.invoke(main, ["ledger", *options, "--book", path])
        return result.exit_code, result.output

    code, text = call("statement", "--period", "2026-12-01T11+00:00", "--customer", "acme")
    assert code == 0 and "billed: 2 tickets" in text
    assert call("statement", "--period", "2026-12-01T11+00:00", "--format", "csv")[1].count("\n") == 3
    listed = json.loads(call("statement", "--period", "2026-12-01T11+00:00", "--format", "json")[1])
    assert [shown["billed_tickets"] for shown in listed] == [2, 2]
    code, text = call("statement", "--period", "2026-12-01T11+00:00", "--customer", "acne")
    assert code == 1 and "nothing of 'acne'" in text and "'acme' may be meant" in text
    assert "is no hour of UTC" in call("statement", "--period", "yesterday")[1]
    assert call("verify") == (0, "in order\n")
    assert call("verify", "--against", "00")[0] == 1
    assert call("verify", "--against", listed[0]["seal"])[0] == 0
    options = ("--customer", "acme", "--track", "record", "--reason", "r", "--author", "a")
    assert (
        "corrected in period"
        in call("correct", *options, "--target", f"n1/{INCARNATION.hex()}/1", "--tickets", "-1")[1]
    )
    assert "neither" in call("correct", *options, "--target", "n1", "--tickets", "-1")[1]
    assert len(call("show", "--customer", "zenith")[1].splitlines()) == 2
    bad = tmp_path / "bad.yaml"
    bad.write_text("version: 3\n")
    result = runner.invoke(main, ["check", str(bad), str(tmp_path / "absent.json")])
    assert result.exit_code == 2 and "bad.yaml:1: version" in result.output and "absent.json" in result.output


def test_without_features_no_optional_module_is_imported() -> None:
    code = (
        "import sys; import sablewheel.__main__, sablewheel.program.application, sablewheel.program.logs;"
        "print([one for one in sys.modules if one.split('.')[0] in ('pydantic', 'google', 'ruamel', 'click',"
        " 'sqlite3', 'structlog', 'rich', 'zoneinfo', 'hashlib') or"
        " one.startswith(('sablewheel.usage_metering',"
        " 'sablewheel.storage', 'sablewheel.experiments', 'sablewheel.command'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=30, check=True
    )
    assert result.stdout.strip() == "[]"


def test_a_silent_connection_is_closed(collector_thread: CollectorThread) -> None:
    """A connection without a greeting is closed after the greeting timeout."""
    silent = ClientConnection(collector_thread)
    begun = time.monotonic()
    assert silent.receive() is None and time.monotonic() - begun < 9
