"""The result store: its table, idempotency windows, log recovery, and a server with it on a fake disk."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass
from pathlib import Path

import pytest
from click.testing import CliRunner
from fake_disk import FakeFiles
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from simulated_server import Attempt, SimulatedServer
from test_usage_metering import SERVER_SETTINGS, ManualWorkerThread

from sablewheel.command.main import main
from sablewheel.overload.interface import Outcome
from sablewheel.protocol.resp import Parser
from sablewheel.result_store import result_store_pb2 as pb
from sablewheel.result_store import startup
from sablewheel.result_store.clock_readings import ClockReading, clock_offset_s, read_clocks, rebased_expiry
from sablewheel.result_store.codec import LOG_KIND, encode_clock_reading, encode_intent, encode_outcome
from sablewheel.result_store.cold_start import may_have_run, ready_at
from sablewheel.result_store.folder import compact_folder, load_folder
from sablewheel.result_store.keyed_runs import RUN_BYTES, KeyedRun, KeyedRunTable, RunState
from sablewheel.result_store.log_compaction import CompactionPlanner
from sablewheel.result_store.plan import ColdStartRule, ResultStorePlan, UnreadableFolderRule
from sablewheel.result_store.recorder import Recorder
from sablewheel.result_store.recovery import RecoveredRuns
from sablewheel.serving.exchange import NO_OBSERVER
from sablewheel.storage.files import DiskFiles
from sablewheel.storage.log import Log
from sablewheel.transport.background import Background

BOOT = b"boot0001"


def keyed_run(
    idempotency_key: bytes, expires_at: float, name: bytes = b"n", arrived_at: float = 0.0
) -> KeyedRun:
    return KeyedRun(idempotency_key, b"s" * 16, name, "record", arrived_at, expires_at)


# -- the table against a model without limits


class KeyedRunTableAgainstModel(RuleBasedStateMachine):
    """No run with an open window is lost when the table is full.

    Results are dropped instead, the oldest first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = KeyedRunTable(max_runs=6, max_bytes=6 * RUN_BYTES + 60)
        self.model: dict[bytes, KeyedRun] = {}
        self.results: dict[bytes, bytes] = {}
        self.run_count = 0

    @rule(key_number=st.integers(0, 9), window_s=st.floats(0.5, 20.0))
    def add_intended_run(self, key_number: int, window_s: float) -> None:
        idempotency_key = b"%d" % key_number
        if idempotency_key in self.model and self.model[idempotency_key].expires_at >= self.now:
            return  # a duplicate, which does not run
        self.table.expire(self.now)
        if self.table.capacity_in_s(self.now):
            assert len(self.table.runs) >= 6
            return  # rejected for lack of capacity
        self.run_count += 1
        run = keyed_run(idempotency_key, self.now + window_s, b"run%d" % self.run_count)
        self.table.add(run)
        self.model[idempotency_key] = run

    @rule(key_number=st.integers(0, 9), size=st.integers(0, 50), succeeded=st.booleans())
    def finish(self, key_number: int, size: int, succeeded: bool) -> None:
        run = self.model.get(b"%d" % key_number)
        if run is None or run.state is not RunState.INTENDED:
            return
        result = b"r" * size
        finished_run = self.table.finish(
            run.idempotency_key,
            run.request_name,
            RunState.SUCCEEDED if succeeded else RunState.FAILED,
            result,
        )
        if run.expires_at >= self.now:
            assert finished_run is run
            if succeeded:
                self.results[run.request_name] = result

    @rule(key_number=st.integers(0, 9))
    def remove_never_started(self, key_number: int) -> None:
        run = self.model.get(b"%d" % key_number)
        if run is not None and run.state is RunState.INTENDED:
            self.table.remove(run.idempotency_key, run.request_name)
            del self.model[run.idempotency_key]

    @rule(duration_s=st.floats(0.0, 5.0))
    def wait(self, duration_s: float) -> None:
        self.now += duration_s
        self.table.expire(self.now)

    @rule(offset_s=st.floats(-50.0, 50.0))
    def set_clock(self, offset_s: float) -> None:
        self.table.shift_clock(offset_s, self.now + offset_s + 20.0)
        self.now += offset_s
        for run in self.model.values():
            if self.table.runs.get(run.idempotency_key) is not run:
                run.expires_at += offset_s

    @rule()
    def wait_for_capacity(self) -> None:
        self.table.expire(self.now)
        duration_s = self.table.capacity_in_s(self.now)
        if duration_s:
            self.now += duration_s + 0.001
            self.table.expire(self.now)
            assert self.table.capacity_in_s(self.now) == 0.0

    @invariant()
    def runs_with_open_windows_are_stored(self) -> None:
        for run in self.model.values():
            if run.expires_at >= self.now:
                assert self.table.runs.get(run.idempotency_key) is run
                if run.state is RunState.SUCCEEDED:
                    assert run.result == self.results[run.request_name]
        assert len(self.table.runs) <= 6 and self.table.total_bytes <= 6 * RUN_BYTES + 60
        stored_runs = [run for run in self.table.runs.values()]
        assert self.table.total_bytes == sum(RUN_BYTES + len(run.result) for run in stored_runs)


def test_capacity_is_computed_from_stored_runs_not_from_removed_ones() -> None:
    table = KeyedRunTable(max_runs=2, max_bytes=10 * RUN_BYTES)
    table.add(keyed_run(b"gone", 101.0))
    table.remove(b"gone", b"n")
    table.add(keyed_run(b"a", 105.0))
    table.add(keyed_run(b"b", 105.0))
    assert table.capacity_in_s(100.0) == 5.0
    assert table.capacity_in_s(100.0, reserved=1) == 5.0  # both windows end then


TestKeyedRunTable = KeyedRunTableAgainstModel.TestCase
TestKeyedRunTable.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)


def test_a_run_occupies_capacity_until_the_last_instant_of_its_window() -> None:
    """The last instant of a window once counted as free capacity, so the table accepted one run too many."""
    table = KeyedRunTable(1, 10_000)
    table.add(keyed_run(b"a", 10.0, b"run1"))
    assert table.expire(10.0) == [] and table.capacity_in_s(10.0) > 0
    assert table.expire(10.001) and table.capacity_in_s(10.001) == 0.0


def test_results_are_dropped_before_runs_the_oldest_first() -> None:
    table = KeyedRunTable(100, 3 * RUN_BYTES + 25)
    for number in range(3):
        table.add(keyed_run(b"%d" % number, 50.0, b"run%d" % number))
        table.finish(b"%d" % number, b"run%d" % number, RunState.SUCCEEDED, b"ten bytes!")
    states = [table.runs[b"%d" % number].state for number in range(3)]
    assert (
        states == [RunState.RESULT_DROPPED, RunState.SUCCEEDED, RunState.SUCCEEDED]
        and table.dropped_result_count == 1
    )


# -- windows and clocks


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    down_s=st.floats(0.0, 100.0),
    clock_step_s=st.floats(-4000.0, 4000.0),
    remaining_s=st.floats(0.0, 13.0),
    same_boot=st.booleans(),
)
def test_no_clock_change_shortens_a_window(
    down_s: float, clock_step_s: float, remaining_s: float, same_boot: bool
) -> None:
    then = ClockReading(1_000_000.0, 500.0, BOOT)
    now = ClockReading(
        then.unix_s + down_s + clock_step_s,
        500.0 + down_s if same_boot else 3.0,
        BOOT if same_boot else b"other",
    )
    expires_at = rebased_expiry(then.unix_s + remaining_s, then, now, 13.5)
    true_remaining_s = remaining_s - down_s
    assert expires_at - now.unix_s >= true_remaining_s - 1e-6
    if same_boot:  # the elapsed time is known, so the window is not lengthened either
        assert expires_at - now.unix_s <= max(true_remaining_s, -100.0) + 1e-6
    else:
        assert expires_at - now.unix_s <= min(remaining_s, 13.5) + 1e-6
    assert clock_offset_s(then, then) == 0.0


@pytest.mark.parametrize(
    ("cold_start_rule", "arrived_at", "now", "failed"),
    [
        (ColdStartRule.RUN, 90.0, 101.0, False),
        (ColdStartRule.EARLY, 99.9, 101.0, True),
        (ColdStartRule.EARLY, 100.0, 101.0, False),
        (ColdStartRule.STRICT, 110.0, 113.0, True),
        (ColdStartRule.STRICT, 110.0, 113.5, False),
        (ColdStartRule.WAIT, 99.0, 101.0, False),
    ],
)
def test_the_cold_start_rules(
    cold_start_rule: ColdStartRule, arrived_at: float, now: float, failed: bool
) -> None:
    assert may_have_run(cold_start_rule, 100.0, arrived_at, 13.5, now) is failed
    assert ready_at(cold_start_rule, 100.0, 13.5) == (
        113.5 if cold_start_rule is ColdStartRule.WAIT else 100.0
    )


def make_record(unix_s: float, boot_id: bytes = BOOT, **fields: object) -> pb.Record:
    moment = pb.Moment(unix_us=round(unix_s * 1e6), boot_us=round((unix_s - 900_000) * 1e6), boot=boot_id)
    return pb.Record(moment=moment, **fields)  # type: ignore[arg-type]


def make_intent(idempotency_key: bytes, expires_at: float, name: bytes = b"n") -> pb.Intent:
    return pb.Intent(
        label=idempotency_key,
        sameness=b"s" * 16,
        name=name,
        track="record",
        arrived_us=0,
        until_us=round(expires_at * 1e6),
    )


def test_recovery_applies_outcomes_and_clock_changes() -> None:
    recovered = RecoveredRuns(KeyedRunTable(100, 1 << 20), max_window_s=13.5)
    recovered.apply(
        1, make_record(1_000_000, intents=[make_intent(b"a", 1_000_010), make_intent(b"b", 1_000_012)])
    )
    outcome = pb.Outcome(label=b"a", name=b"n", how=pb.WORKED, result=b"bytes", notice=7)
    recovered.apply(2, make_record(1_000_001, outcomes=[outcome], intents=[make_intent(b"c", 1_000_014)]))
    recovered.apply(3, make_record(1_000_002, outcomes=[pb.Outcome(label=b"c", name=b"n", how=pb.NEVER)]))
    assert set(recovered.table.runs) == {b"a", b"b"} and recovered.last_notice == 7
    # Five seconds have passed, and the host's clock was set ahead by an hour.
    now = ClockReading(1_000_007 + 3600, 100_007.0, BOOT)
    recovered.finish(now)
    assert recovered.last_write_at == pytest.approx(1_000_002 + 3600) and recovered.rebase_count == 1
    assert recovered.table.runs[b"a"].expires_at == pytest.approx(1_000_010 + 3600)
    assert recovered.table.runs[b"a"].result == b"bytes" and recovered.record_numbers == {b"a": 1, b"b": 1}


def test_a_window_that_was_over_before_a_reboot_stays_over() -> None:
    recovered = RecoveredRuns(KeyedRunTable(100, 1 << 20), max_window_s=13.5)
    recovered.apply(1, make_record(1_000_000, intents=[make_intent(b"old", 1_000_005)]))
    recovered.apply(2, make_record(1_000_010, intents=[make_intent(b"new", 1_000_020)]))
    recovered.finish(ClockReading(999_000.0, 1.0, b"another"))  # the clock was also set back by 17 minutes
    assert set(recovered.table.runs) == {b"new"} and recovered.last_write_at is None
    assert recovered.table.runs[b"new"].expires_at == pytest.approx(999_010)


# -- compaction


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 10**6))
def test_compaction_ends_and_never_releases_a_live_run(seed: int) -> None:
    """Model the log of the recorder: record sizes by number, with the oldest records released at times."""
    rng, planner, record_by_key, sizes_by_record = (
        random.Random(seed),
        CompactionPlanner(100),
        dict[bytes, int](),
        dict[int, int](),
    )
    rewritten_count = 0
    for number in range(1, 600):
        sizes_by_record[number] = 50
        match rng.randrange(4):
            case 0 | 1:
                idempotency_key = b"%d" % rng.randrange(30)
                planner.add(idempotency_key, number, 50)
                record_by_key[idempotency_key] = number
            case 2 if record_by_key:
                idempotency_key = rng.choice(list(record_by_key))
                planner.remove(idempotency_key)
                del record_by_key[idempotency_key]
        if planner.maybe_begin_pass(sum(sizes_by_record.values()), number):
            idempotency_keys = planner.next_batch(sum(sizes_by_record.values()))
            for idempotency_key in idempotency_keys:
                planner.add(idempotency_key, number, 50)
                record_by_key[idempotency_key] = number
            sizes_by_record[number] += 50 * len(idempotency_keys)
            rewritten_count += len(idempotency_keys)
        assert planner.oldest_needed_record(number) <= min(record_by_key.values(), default=number + 1)
        sizes_by_record = {
            record: size
            for record, size in sizes_by_record.items()
            if record >= planner.oldest_needed_record(number)
        }
        assert sum(sizes_by_record.values()) <= 3 * (2 * 50 * 30 + 400)
    assert rewritten_count <= 600 * 4  # the rewriting is bounded


# -- a server with a result store


@dataclass
class Disk:
    """The state that persists over restarts of the server: its files and the time since boot."""

    files: FakeFiles
    since_boot_s: float = 50_000.0  # when the simulation starts


class ResultStoreServer(SimulatedServer):
    """The serving layer with a result store on a fake disk; `restart` kills it and starts it again."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        disk: Disk,
        previous: ResultStoreServer | None = None,
        **plan_settings: object,
    ) -> None:
        super().__init__(SERVER_SETTINGS)
        self.disk, self.monkeypatch, self.plan_settings = disk, monkeypatch, plan_settings
        monkeypatch.setattr(startup, "DiskFiles", lambda _: disk.files)
        plan = ResultStorePlan(Path("made"), commit_interval_s=0.0, **plan_settings)  # type: ignore[arg-type]
        interpreter_survived = previous is not None and plan.interpreter_survives
        if previous is not None:
            self.scheduler.clock.now = previous.now
            self.attempts = previous.attempts
            if interpreter_survived:
                self.interpreter = previous.interpreter
            else:
                self.interpreter.ended_runs = set(previous.interpreter.ended_runs) | set(
                    previous.interpreter.running
                )
                self.interpreter.applied = previous.interpreter.applied
        worker_thread = ManualWorkerThread()
        self.worker_thread, self.failures = worker_thread, list[str]()
        request_classes = {
            b"lookup": SERVER_SETTINGS.request_classes[0],
            b"record": SERVER_SETTINGS.request_classes[1],
        }
        self.recorder = Recorder(
            self.scheduler,
            Background(self.scheduler, lambda: 0),
            worker_thread,  # type: ignore[arg-type]
            plan,
            b"inc%05d" % len(disk.files.names()),
            request_classes,
            NO_OBSERVER,
            lambda exchange: self.dispatcher.run_ended(exchange, Outcome.NEVER_STARTED, 0.0, b""),
            lambda: None,
            self.failures.append,
            self.counts.append,
            self.read_clocks,
        )
        worker_thread.work()
        self.listener.observer = self.recorder
        self.dispatcher._result_store = self.recorder
        self.dispatcher._duplicate_checks._result_store = self.recorder
        # The simulated server connected to its interpreter before the recorder existed: recover the keys now.
        interpreter_started_at = self.now - (5000.0 if interpreter_survived or previous is None else 0.0)
        from sablewheel.overload import interface

        recovered = self.recorder.recover_keys(interpreter_started_at, self.idempotency_keys)
        self.dispatcher._events[:0] = [
            interface.KeyRecovered(request, lifetime_s) for request, lifetime_s in recovered
        ]
        self.interpreter_client.adopt(*self.recorder.runs_to_adopt())
        if interpreter_survived:
            missed_notices = b"".join(self.interpreter.notices[self.recorder.last_notice :])
            if self.link is not None and missed_notices:
                self.link.feed(missed_notices)
        self.settle()

    def read_clocks(self) -> ClockReading:
        return ClockReading(self.now, self.disk.since_boot_s + self.now - 1_764_576_000, BOOT)

    def settle(self, deliver: bool = True) -> None:
        super().settle(deliver)
        if hasattr(self, "recorder"):
            for _ in range(4):
                self.recorder.end_round()
                self.recorder._background.end_round()
                self.worker_thread.work()
                super().settle(deliver)

    def restart(self, crash_rng: random.Random | None = None) -> ResultStoreServer:
        """Kill the server and start it again.

        All connections are closed, so attempts without an answer do not get one. With `crash_rng`, unsynced
        writes may be lost or torn.
        """
        for attempt in self.attempts:
            attempt.cancelled = attempt.cancelled or not attempt.answers
        if crash_rng is not None:
            self.disk.files = self.disk.files.crash(crash_rng)
        for attempt in self.attempts:
            attempt.tag = -abs(attempt.tag)
        return ResultStoreServer(self.monkeypatch, self.disk, self, **self.plan_settings)

    def call(self, request_class: bytes, idempotency_key: bytes = b"", ago: float = 0.0) -> Attempt:
        attempt = super().call(request_class, idempotency_key, ago)
        self.answers = self.answers or Parser()
        return attempt


def complete_request(server: ResultStoreServer, idempotency_key: bytes = b"label") -> Attempt:
    attempt = server.call(b"record", idempotency_key)
    server.settle()
    server.end(attempt.name)
    server.settle()
    return attempt


def answer_status(attempt: Attempt) -> bytes:
    return attempt.answers[0][1] if attempt.answers else b""


def test_a_run_starts_when_its_intent_is_durable_and_is_answered_when_its_outcome_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = ResultStoreServer(monkeypatch, Disk(FakeFiles()))
    server.worker_thread.open = False
    keyed = server.call(b"record", b"label")
    idempotent = server.call(b"lookup")
    server.settle()
    # An idempotent request has no intent to wait for.
    assert [name for name, _, _ in server.interpreter.applied] == [idempotent.name]
    server.worker_thread.open = True
    server.settle()
    assert server.interpreter.applied[-1][0] == keyed.name
    server.worker_thread.open = False
    server.end(keyed.name)
    server.settle()
    assert not keyed.answers
    server.worker_thread.open = True
    server.settle()
    assert answer_status(keyed) == b"OK"


def test_after_a_kill_a_retry_gets_the_original_result_and_does_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = ResultStoreServer(monkeypatch, Disk(FakeFiles()))
    original = complete_request(server)
    run_count = len(server.interpreter.applied)
    for seed in range(3):
        server = server.restart(random.Random(seed))
        retry = server.call(b"record", b"label")
        server.settle()
        assert retry.answers[0][3] == original.answers[0][3] and len(server.interpreter.applied) == run_count
    server.wait(SERVER_SETTINGS.request_classes[1].idempotency_window_s + 5.0)
    later = server.call(b"record", b"label")
    server.settle()
    assert server.interpreter.applied[-1][0] == later.name  # the window has ended: the key may run again


def test_a_run_that_a_kill_interrupted_is_awaited_or_failed_but_never_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for interpreter_survives in (True, False):
        server = ResultStoreServer(monkeypatch, Disk(FakeFiles()), interpreter_survives=interpreter_survives)
        original = server.call(b"record", b"label")
        server.settle()
        server = server.restart(random.Random(1))
        retry = server.call(b"record", b"label")
        server.settle()
        assert len(server.interpreter.applied) == 1
        if interpreter_survives:
            assert not retry.answers and "recall_adopted" in server.counts
            server.end(original.name)
            server.settle()
            assert retry.answers[0][3] == b"made of " + original.body
        else:
            assert answer_status(retry) == b"FAILED" and "recall_unknown" in server.counts


def test_a_run_that_ended_while_the_server_was_down_is_finished_by_its_notice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = ResultStoreServer(monkeypatch, Disk(FakeFiles()), interpreter_survives=True)
    complete_request(server, b"other")
    original = server.call(b"record", b"label")
    server.settle()
    server.interpreter.end(original.name)  # the notice does not reach the server
    server = server.restart()
    retry = server.call(b"record", b"label")
    server.settle()
    assert retry.answers[0][3] == b"made of " + original.body and len(server.interpreter.applied) == 2


def test_a_retry_with_another_body_is_failed_after_a_restart(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = ResultStoreServer(monkeypatch, Disk(FakeFiles()))
    complete_request(server)
    server = server.restart()
    retry = Attempt(len(server.attempts) + 1, b"%016x" % 99, b"record", b"", server.now)
    retry.body = b"another body"
    server.attempts.append(retry)
    from simulated_server import call

    server.client.feed(call(retry.tag, retry.name, b"record", server.now, retry.body, b"label"))
    server.settle()
    assert answer_status(retry) == b"FAILED" and len(server.interpreter.applied) == 1


def test_a_failing_disk_rejects_new_keyed_requests_before_they_run(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk(FakeFiles())
    server = ResultStoreServer(monkeypatch, disk)
    original = complete_request(server)
    disk.files.fail = {"append": [OSError(errno.ENOSPC, "no space left on device")] * 10_000}
    uncommitted = server.call(b"record", b"stuck")
    server.settle()
    rejected = server.call(b"record", b"new")
    retry = server.call(b"record", b"label")
    idempotent = server.call(b"lookup")
    server.settle()
    assert (
        answer_status(rejected) == b"BUSY"
        and answer_status(retry) == b"OK"
        and retry.answers[0][3] == original.answers[0][3]
    )
    assert [name for name, _, _ in server.interpreter.applied] == [original.name, idempotent.name]
    server.wait(6.0)
    assert answer_status(uncommitted) == b"FAILED"  # by its deadline, without a run
    disk.files.fail = {}
    server.wait(6.0)
    assert complete_request(server, b"after").answers[0][1] == b"OK"
    assert uncommitted.name not in [name for name, _, _ in server.interpreter.applied]
    retry_of_uncommitted = complete_request(server, b"stuck")
    assert answer_status(retry_of_uncommitted) == b"OK"  # the original is known not to have run


def test_a_slow_disk_rejects_early_instead_of_answering_late(monkeypatch: pytest.MonkeyPatch) -> None:
    server = ResultStoreServer(monkeypatch, Disk(FakeFiles()))
    # The last commits took nearly as long as a client waits.
    server.recorder._run_log._commit_times_s.extend([3.9] * 20)
    running = [server.call(b"lookup") for _ in range(12)]
    server.settle()
    keyed = server.call(b"record", b"label")
    server.settle()
    assert (
        answer_status(keyed) == b"BUSY"
        and running
        and not [name for name, request_class, _ in server.interpreter.applied if request_class == b"record"]
    )


def test_without_capacity_for_idempotency_keys_requests_are_rejected_until_there_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = ResultStoreServer(monkeypatch, Disk(FakeFiles()), max_runs=3)
    for number in range(3):
        complete_request(server, b"%d" % number)
    rejected = server.call(b"record", b"one too many")
    server.settle()
    assert answer_status(rejected) == b"BUSY" and "recall_no_room" in server.counts
    server.wait(SERVER_SETTINGS.request_classes[1].idempotency_window_s + 0.5)
    assert answer_status(complete_request(server, b"one too many")) == b"OK"


def test_random_kills_and_lost_writes_never_run_an_idempotency_key_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The rules that SimulatedServer checks after each step hold over kills at any moment.

    The rules are: no second run within the window, no rejection of a request that ran, and one answer in
    time. A kill may lose, tear or reorder unsynced writes.
    """
    for seed in range(14):
        rng = random.Random(seed)
        server = ResultStoreServer(
            monkeypatch, Disk(FakeFiles()), interpreter_survives=seed % 2 == 0, segment_bytes=600
        )
        kills = 0
        results: dict[bytes, bytes] = {}
        for _ in range(70):
            match rng.randrange(9):
                case 0 | 1 | 2:
                    server.call(b"record", b"%d" % rng.randrange(6))
                case 3 | 4 if server.interpreter.running:
                    server.end(rng.choice(list(server.interpreter.running)))
                case 5 if server.attempts and server.attempts[-1].tag > 0:
                    server.cancel(server.attempts[-1])
                case 6:
                    server.worker_thread.open = rng.random() < 0.7
                case 7 if rng.random() < 0.5:
                    server = server.restart(rng)
                    kills += 1
                case _:
                    server.wait(rng.uniform(0.0, 0.3))
            server.settle()
            for attempt in server.attempts:
                if answer_status(attempt) == b"OK":
                    assert (
                        results.setdefault(attempt.idempotency_key, attempt.answers[0][3])
                        == attempt.answers[0][3]
                    )
        assert kills


def test_the_log_size_stays_near_the_size_of_its_live_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk(FakeFiles())
    server = ResultStoreServer(monkeypatch, disk, segment_bytes=500)
    table = server.recorder._table
    complete_request(server, b"lives long")
    # A run with a long window must not prevent the release of later records: compaction rewrites it.
    (long_lived_run,) = table.runs.values()
    long_lived_run.expires_at += 1000.0
    table._expiries = [(long_lived_run.expires_at, long_lived_run.idempotency_key)]
    sizes = []
    for number in range(90):
        complete_request(server, b"%d" % number)
        server.wait(0.3)
        sizes.append(sum(map(len, disk.files.data.values())))
    assert "recall_carried" in server.counts and max(sizes) <= 14_000 < 90 * 260
    server = server.restart()
    assert long_lived_run.idempotency_key in server.recorder._table.runs


def test_a_folder_that_cannot_be_read_prevents_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk(FakeFiles())
    server = ResultStoreServer(monkeypatch, disk)
    for number in range(3):
        complete_request(server, b"%d" % number)
    (name,) = disk.files.names()
    disk.files.data[name][60] ^= 1
    failed_server = server.restart()
    assert "hold no valid record" in failed_server.failures[0] and not failed_server.recorder.ready
    unknown = failed_server.call(b"record", b"never seen")
    failed_server.settle()
    assert not unknown.answers and not failed_server.recorder._run_log.store
    cold_server = ResultStoreServer(
        monkeypatch, disk, server, unreadable=UnreadableFolderRule.COLD, cold_start=ColdStartRule.STRICT
    )
    for attempt in cold_server.attempts:
        attempt.cancelled = True
    unknown = cold_server.call(b"record", b"never seen")
    cold_server.settle()
    assert answer_status(unknown) == b"FAILED" and "recall_cold_terminated" in cold_server.counts


def test_all_complete_records_are_recovered_at_every_crash_point() -> None:
    """Recovery of a log that is truncated at each byte applies exactly its complete records."""
    files, records = FakeFiles(), []
    log = Log(files, LOG_KIND, b"incarn01", 1 << 20)
    for number in range(6):
        intents = [make_intent(b"%d" % number, 1_000_010, b"run%d" % number)]
        outcomes = [
            pb.Outcome(label=b"%d" % (number - 1), name=b"run%d" % (number - 1), how=pb.WORKED, result=b"r")
        ]
        records.append(
            make_record(1_000_000 + number / 10, intents=intents, outcomes=outcomes if number else [])
        )
        log.commit([records[-1].SerializeToString()])
    (name,) = files.names()
    complete = bytes(files.data[name])
    for cut in range(len(complete) + 1):
        truncated = FakeFiles()
        truncated.create(name)
        truncated.append(name, complete[:cut])
        recovered = RecoveredRuns(KeyedRunTable(100, 1 << 20), 13.5)
        Log(truncated, LOG_KIND, b"incarn02", 1 << 20).recover(
            lambda number, payload, _, recovered=recovered: recovered.apply(
                number, pb.Record.FromString(payload)
            )  # type: ignore[misc]
        )
        assert len(recovered.table.runs) == recovered.record_count
        succeeded = [run for run in recovered.table.runs.values() if run.state is RunState.SUCCEEDED]
        assert len(succeeded) == max(recovered.record_count - 1, 0)


def test_the_command_inspects_verifies_and_compacts_a_folder(tmp_path: Path) -> None:
    now = read_clocks()
    log = Log(DiskFiles(tmp_path), LOG_KIND, b"incarn01", 1 << 30, 4000)
    for number in range(200):
        is_expired = number % 4 > 0
        run = keyed_run(
            b"%d" % number, now.unix_s + (-5.0 if is_expired else 500.0), b"run%d" % number, now.unix_s - 10.0
        )
        record = pb.Record(moment=encode_clock_reading(now), intents=[encode_intent(run)])
        if number % 8 == 0:
            run.state, run.result = RunState.SUCCEEDED, b"result %d" % number
            record.outcomes.append(encode_outcome(run))
            record.outcomes[-1].notice = number
        log.commit([record.SerializeToString()])
    runner = CliRunner()

    def recall_command(*arguments: str) -> tuple[int, str]:
        result = runner.invoke(main, ["recall", *arguments, str(tmp_path)])
        return result.exit_code, result.output

    assert (
        "50 labels open: 25 intended, 25 worked" in recall_command("inspect")[1]
        and "last notice 192" in recall_command("inspect")[1]
    )
    assert len(recall_command("inspect", "--labels")[1].splitlines()) == 50
    assert recall_command("verify") == (0, "in order, 200 records\n")
    exit_code, output = recall_command("compact")
    assert exit_code == 1 and "in use" in output  # the log is still open
    log.close()
    exit_code, output = recall_command("compact")
    assert exit_code == 0 and output.startswith("50 labels kept")
    assert (
        "50 labels open: 25 intended, 25 worked" in recall_command("inspect")[1]
        and "last notice 192" in recall_command("inspect")[1]
    )
    path = max(tmp_path.glob("*.seg"))
    data = bytearray(path.read_bytes())
    data[100] ^= 1
    path.write_bytes(data)
    assert "50 labels" not in recall_command("inspect")[1]


def test_compaction_keeps_the_open_runs_of_large_results(tmp_path: Path) -> None:
    """A compacted folder recovers every open run, also if all results exceed the size limit of a record."""
    now, run_count = read_clocks(), 1000
    log, payloads = Log(DiskFiles(tmp_path), LOG_KIND, b"incarn01", 1 << 30), []
    for number in range(run_count):
        run = keyed_run(b"%d" % number, now.unix_s + 500.0, b"run%d" % number, now.unix_s - 10.0)
        run.state, run.result = RunState.SUCCEEDED, b"r" * 20_000
        record = pb.Record(moment=encode_clock_reading(now), intents=[encode_intent(run)])
        record.outcomes.append(encode_outcome(run))
        payloads.append(record.SerializeToString())
    log.commit(payloads)
    log.close()
    assert len(load_folder(tmp_path, 600.0, now)[0].table.runs) == run_count
    compact_folder(tmp_path, 600.0, now)
    recovered, faults = load_folder(tmp_path, 600.0, now)
    assert (len(recovered.table.runs), faults) == (run_count, [])
