"""Large results in the result store: no record is over the limit of the log, and a crash loses none."""

from __future__ import annotations

import contextlib
import itertools
import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner
from fake_disk import FakeFiles
from hypothesis import given, settings
from hypothesis import strategies as st
from simulated_server import FakeScheduler
from test_result_store import keyed_run
from test_usage_metering import ManualWorkerThread

from sablewheel.command.main import main
from sablewheel.protocol.interpreter import MAX_PAYLOAD_BYTES as MAX_RESULT_BYTES
from sablewheel.result_store import folder as result_folder
from sablewheel.result_store import result_store_pb2 as pb
from sablewheel.result_store.clock_readings import ClockReading, read_clocks
from sablewheel.result_store.codec import LOG_KIND, encode_clock_reading, encode_intent, encode_outcome
from sablewheel.result_store.folder import compact_folder, load_folder
from sablewheel.result_store.keyed_runs import KeyedRun, KeyedRunTable, RunState
from sablewheel.result_store.log_compaction import CompactionPlanner
from sablewheel.result_store.recovery import RecoveredRuns
from sablewheel.result_store.run_log import RunLog, WaitingRun
from sablewheel.storage import records
from sablewheel.storage.files import DiskFiles
from sablewheel.storage.group_commit import GroupCommitLog
from sablewheel.storage.log import Log
from sablewheel.storage.records import RecordTooLargeError

UNBOUNDED = 1 << 50
SEGMENT_BYTES = 1 << 20
WINDOW_S = 1000.0


class KilledError(BaseException):
    """The process is killed in the middle of a disk operation: nothing of it runs on."""


class KillableFiles(FakeFiles):
    """A disk whose process is killed at the operation to which `operations_left` counts down."""

    def __init__(self, files: FakeFiles) -> None:
        super().__init__()
        self.data, self.durable, self.unsynced = files.data, files.durable, files.unsynced
        self.operations_left = UNBOUNDED

    def _maybe_fail(self, method: str) -> None:
        self.operations_left -= 1
        if self.operations_left < 0:
            raise KilledError


class LoggedRuns:
    """A run log on a fake disk, and what was promised to callers: started runs and released results."""

    def __init__(
        self, files: FakeFiles, incarnation: bytes, started: set[bytes], released: dict[bytes, bytes]
    ):
        self.files, self.started, self.released = KillableFiles(files), started, released
        self.scheduler, self.worker_thread = FakeScheduler(), ManualWorkerThread()
        self.table = KeyedRunTable(UNBOUNDED, UNBOUNDED)
        self.planner = CompactionPlanner(SEGMENT_BYTES)
        log = Log(self.files, LOG_KIND, incarnation, UNBOUNDED, SEGMENT_BYTES)
        runs = RecoveredRuns(self.table, WINDOW_S)
        report = log.recover(lambda number, payload, _: runs.apply(number, pb.Record.FromString(payload)))
        runs.finish(self.read_clocks())
        self.damage = report.damage
        for key in sorted(runs.record_numbers, key=runs.record_numbers.__getitem__):
            self.planner.add(key, runs.record_numbers[key], len(self.table.runs[key].result))
        self.unreleased: dict[int, tuple[bytes, bytes]] = {}
        self.run_log = RunLog(
            self.scheduler,
            0.0,
            self.table,
            self.planner,
            self.read_clocks,
            self.release,
            lambda waiting_run: self.started.add(waiting_run.exchange.idempotency_key or b""),
        )
        store = GroupCommitLog(
            self.scheduler,
            self.worker_thread,  # type: ignore[arg-type]
            log,
            1.0,
            self.run_log.on_records_durable,
            lambda _: None,
        )
        self.run_log.open(store)

    def read_clocks(self) -> ClockReading:
        return ClockReading(self.scheduler.clock.now, self.scheduler.clock.now, b"boot0001")

    def release(self, durable_outcome_count: int) -> None:
        for count in [count for count in self.unreleased if count <= durable_outcome_count]:
            key, result = self.unreleased.pop(count)
            self.released[key] = result

    def start(self, key: bytes) -> None:
        run = keyed_run(key, self.scheduler.clock.now + WINDOW_S, b"run" + key, self.scheduler.clock.now)
        self.table.add(run)
        self.run_log.add_intent(run)
        exchange: Any = run  # only its idempotency key is used
        self.run_log.wait_for_intent(run, WaitingRun(exchange, lambda _: None))

    def finish(self, run: KeyedRun, result: bytes) -> None:
        self.table.finish(run.idempotency_key, run.request_name, RunState.SUCCEEDED, result)
        self.run_log.add_outcome(encode_outcome(run))
        self.run_log.count_outcome()
        self.unreleased[self.run_log.outcome_count] = run.idempotency_key, result

    def write(self) -> None:
        self.run_log.end_round(is_shutting_down=False)
        self.worker_thread.work()

    def compact(self) -> None:
        self.run_log.release_unneeded_segments()
        self.worker_thread.work()
        self.run_log.compact_batch()
        self.worker_thread.work()

    def check(self) -> None:
        """Check that everything promised before the last start was recovered."""
        assert self.damage == []
        runs = self.table.runs
        assert self.started <= set(runs)
        for key, result in self.released.items():
            assert (runs[key].state, runs[key].result == result) == (RunState.SUCCEEDED, True), key


def take_steps(logged: LoggedRuns, rng: random.Random, unused_keys: Iterator[int]) -> None:
    """Take random steps until the process is killed."""
    for _ in range(rng.randint(5, 25)):
        match rng.randrange(5):
            case 0 | 1:
                for _ in range(rng.choice([1, 5, 40])):
                    logged.start(b"%d" % next(unused_keys))
            case 2:
                open_runs = [run for run in logged.table.runs.values() if run.state is RunState.INTENDED]
                for run in open_runs[: rng.choice([1, 5, 40])]:
                    if run.idempotency_key in logged.started:
                        size = round(100 * 10 ** rng.uniform(0.0, 4.0))
                        logged.finish(run, rng.randbytes(8).ljust(min(size, MAX_RESULT_BYTES), b"r"))
            case 3:
                logged.planner._pass_end_record = logged.planner._pass_end_record or rng.choice([0, 1 << 40])
                logged.compact()
            case _:
                logged.write()
    logged.write()


@settings(derandomize=True, max_examples=40, deadline=None)
@given(seed=st.integers(0, 10**9))
def test_a_crash_at_any_operation_loses_no_released_result_and_no_started_run(seed: int) -> None:
    """Groups of any size, and compaction, are recovered whole after a kill or a power failure anywhere."""
    rng, files, unused_keys = random.Random(seed), FakeFiles(), itertools.count()
    started: set[bytes] = set()
    released: dict[bytes, bytes] = {}
    for incarnation in range(rng.randint(2, 4)):
        logged = LoggedRuns(files, b"incarn%02d" % incarnation, started, released)
        logged.check()
        logged.files.operations_left = rng.choice([UNBOUNDED, rng.randint(0, 40)])
        with contextlib.suppress(KilledError):
            take_steps(logged, rng, unused_keys)
        files = logged.files.crash(rng) if rng.random() < 0.5 else logged.files
    LoggedRuns(files, b"incarn99", started, released).check()


def test_one_group_of_large_outcomes_is_recovered() -> None:
    """40 outcomes of 1 MiB went into one record of 40 MiB, which was acknowledged and not recovered."""
    started: set[bytes] = set()
    released: dict[bytes, bytes] = {}
    logged = LoggedRuns(FakeFiles(), b"incarn01", started, released)
    for number in range(40):
        logged.start(b"%d" % number)
    logged.write()
    for run in list(logged.table.runs.values()):
        logged.finish(run, run.idempotency_key.ljust(MAX_RESULT_BYTES, b"r"))
    logged.write()
    assert len(released) == 40
    LoggedRuns(logged.files, b"incarn02", started, released).check()


def test_compaction_in_a_server_keeps_large_results() -> None:
    """256 runs of 100 kB went into one record; the old segments were deleted, and all runs lost."""
    started: set[bytes] = set()
    released: dict[bytes, bytes] = {}
    logged = LoggedRuns(FakeFiles(), b"incarn01", started, released)
    for number in range(300):
        logged.start(b"%d" % number)
        logged.write()
        logged.finish(logged.table.runs[b"%d" % number], b"%d" % number + b"r" * 100_000)
        logged.write()
    old_names = logged.files.names()
    logged.planner._pass_end_record = 1 << 40
    for _ in range(30):
        logged.compact()
    assert not set(old_names[:-1]) & set(logged.files.names())
    LoggedRuns(logged.files, b"incarn02", started, released).check()


# -- the writer's limit


def test_a_record_over_the_limit_is_rejected_before_a_byte_is_written() -> None:
    """A record that recovery would not read was written and acknowledged."""
    files = FakeFiles()
    log = Log(files, LOG_KIND, b"incarn01", UNBOUNDED)
    with pytest.raises(RecordTooLargeError):
        log.commit([b"small", bytes(records.MAX_PAYLOAD_BYTES + 1)])
    assert files.names() == [] and log.last_number == 0
    log.commit([bytes(records.MAX_PAYLOAD_BYTES)])
    assert log.last_number == 1


def test_a_group_with_a_record_over_the_limit_is_not_accepted() -> None:
    """Nothing of it is written later, and the records after it are."""
    scheduler = FakeScheduler()
    worker_thread: Any = ManualWorkerThread()
    log = Log(FakeFiles(), LOG_KIND, b"incarn01", UNBOUNDED)
    durable: list[int] = []
    store = GroupCommitLog(scheduler, worker_thread, log, 1.0, durable.append, lambda _: None)
    with pytest.raises(RecordTooLargeError):
        store.append_group([b"small", bytes(records.MAX_PAYLOAD_BYTES + 1)])
    assert store.all_durable
    assert store.append(b"next") == 1
    store.flush()
    worker_thread.work()
    assert durable == [1]


def test_any_result_fits_into_a_record() -> None:
    """The largest entry is an outcome with a result of the interpreter."""
    assert MAX_RESULT_BYTES < records.MAX_PAYLOAD_BYTES // 2


# -- `recall compact`


def write_folder(folder: Path, now: ClockReading, run_count: int, result: bytes) -> None:
    """Write a folder with finished runs, one in each record."""
    log, payloads = Log(DiskFiles(folder), LOG_KIND, b"incarn01", UNBOUNDED), []
    for number in range(run_count):
        run = keyed_run(b"%d" % number, now.unix_s + 500.0, b"run%d" % number, now.unix_s - 10.0)
        run.state, run.result = RunState.SUCCEEDED, result
        record = pb.Record(moment=encode_clock_reading(now), intents=[encode_intent(run)])
        record.outcomes.append(encode_outcome(run))
        payloads.append(record.SerializeToString())
    log.commit(payloads)
    log.close()


def test_the_command_deletes_nothing_that_it_cannot_read_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It deleted the old segments without a look at what it had written."""
    now = read_clocks()
    write_folder(tmp_path, now, 20, b"result")
    monkeypatch.setattr(result_folder, "snapshots", lambda moment, runs: iter(()))  # writes none of the runs
    result = CliRunner().invoke(main, ["recall", "compact", str(tmp_path)])
    assert result.exit_code == 1 and "0 of 20 runs could be read back" in result.output
    assert len(load_folder(tmp_path, 600.0, now)[0].table.runs) == 20


def test_the_command_says_which_bytes_it_could_not_read(tmp_path: Path) -> None:
    """It deleted segments with damage and did not mention it."""
    write_folder(tmp_path, read_clocks(), 20, b"result")
    (path,) = tmp_path.glob("*.seg")
    data = bytearray(path.read_bytes())
    data[60] ^= 1
    path.write_bytes(data)
    result = CliRunner().invoke(main, ["recall", "compact", str(tmp_path)])
    assert result.exit_code == 0 and "19 labels kept" in result.output
    assert f"could not be read: {tmp_path}/{path.name}: bytes 34 to" in result.output


def test_a_folder_with_a_record_over_the_limit_is_read(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Earlier versions wrote such records; their bytes are whole, so they are data."""
    now = read_clocks()
    with monkeypatch.context() as earlier_version:
        earlier_version.setattr(records, "MAX_PAYLOAD_BYTES", UNBOUNDED)
        log = Log(DiskFiles(tmp_path), LOG_KIND, b"incarn01", UNBOUNDED)
        record = pb.Record(moment=encode_clock_reading(now), snapshot=True)
        for number in range(20):
            run = keyed_run(b"%d" % number, now.unix_s + 500.0, b"run%d" % number, now.unix_s - 10.0)
            run.state, run.result = RunState.SUCCEEDED, b"r" * 1_000_000
            record.intents.append(encode_intent(run))
            record.outcomes.append(encode_outcome(run))
        log.commit([b"\n\0", record.SerializeToString(), b"\n\0"])
        log.close()
    recovered, faults = load_folder(tmp_path, 600.0, now)
    assert (len(recovered.table.runs), recovered.record_count, faults) == (20, 3, [])
    compaction = compact_folder(tmp_path, 600.0, now)
    assert (compaction.run_count, compaction.damages) == (20, [])
    recovered, faults = load_folder(tmp_path, 600.0, now)
    assert (len(recovered.table.runs), faults) == (20, [])
