"""The result store: its table, windows and log at every crash point, and a server with it on a fake disk."""

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
from test_usage_metering import SERVER_SETTINGS, SlowBridge

from sablewheel.command.main import main
from sablewheel.overload.interface import Outcome
from sablewheel.protocol.resp import Parser
from sablewheel.result_store import result_store_pb2 as pb
from sablewheel.result_store import startup
from sablewheel.result_store.clock_readings import ClockReading, clock_offset_s, read_clocks, rebased_expiry
from sablewheel.result_store.codec import LOG_KIND, encode_clock_reading, encode_intent, encode_outcome
from sablewheel.result_store.cold_start import may_have_run, ready_at
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


def keyed_run(idempotency_key: bytes, until: float, name: bytes = b"n", arrived: float = 0.0) -> KeyedRun:
    return KeyedRun(idempotency_key, b"s" * 16, name, "record", arrived, until)


# -- the table against a model that forgets nothing


class KeyedRunTableAgainstModel(RuleBasedStateMachine):
    """No idempotency key whose window is open is ever lost, whatever fills up; results go first, the
    oldest first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.table = KeyedRunTable(max_runs=6, max_bytes=6 * RUN_BYTES + 60)
        self.model: dict[bytes, KeyedRun] = {}
        self.results: dict[bytes, bytes] = {}
        self.turn = 0

    @rule(idempotency_key=st.integers(0, 9), window=st.floats(0.5, 20.0))
    def intend(self, idempotency_key: int, window: float) -> None:
        name = b"%d" % idempotency_key
        if name in self.model and self.model[name].expires_at >= self.now:
            return  # a repeat: it does not run
        self.table.expire(self.now)
        if self.table.capacity_in_s(self.now):
            assert len(self.table.runs) >= 6
            return  # told that there is no room, nobody runs it
        self.turn += 1
        one = keyed_run(name, self.now + window, b"run%d" % self.turn)
        self.table.add(one)
        self.model[name] = one

    @rule(idempotency_key=st.integers(0, 9), size=st.integers(0, 50), worked=st.booleans())
    def end(self, idempotency_key: int, size: int, worked: bool) -> None:
        one = self.model.get(b"%d" % idempotency_key)
        if one is None or one.state is not RunState.INTENDED:
            return
        result = b"r" * size
        ended = self.table.finish(
            one.idempotency_key, one.request_name, RunState.SUCCEEDED if worked else RunState.FAILED, result
        )
        if one.expires_at >= self.now:
            assert ended is one
            if worked:
                self.results[one.request_name] = result

    @rule(idempotency_key=st.integers(0, 9))
    def never_ran(self, idempotency_key: int) -> None:
        one = self.model.get(b"%d" % idempotency_key)
        if one is not None and one.state is RunState.INTENDED:
            self.table.remove(one.idempotency_key, one.request_name)
            del self.model[one.idempotency_key]

    @rule(span=st.floats(0.0, 5.0))
    def wait(self, span: float) -> None:
        self.now += span
        self.table.expire(self.now)

    @rule(by=st.floats(-50.0, 50.0))
    def set_clock(self, by: float) -> None:
        self.table.shift_clock(by, self.now + by + 20.0)
        self.now += by
        for one in self.model.values():
            if self.table.runs.get(one.idempotency_key) is not one:
                one.expires_at += by

    @rule()
    def wait_for_room(self) -> None:
        self.table.expire(self.now)
        span = self.table.capacity_in_s(self.now)
        if span:
            self.now += span + 0.001
            self.table.expire(self.now)
            assert self.table.capacity_in_s(self.now) == 0.0

    @invariant()
    def open_windows_are_known(self) -> None:
        for one in self.model.values():
            if one.expires_at >= self.now:
                assert self.table.runs.get(one.idempotency_key) is one
                if one.state is RunState.SUCCEEDED:
                    assert one.result == self.results[one.request_name]
        assert len(self.table.runs) <= 6 and self.table.total_bytes <= 6 * RUN_BYTES + 60
        kept = [one for one in self.table.runs.values()]
        assert self.table.total_bytes == sum(RUN_BYTES + len(one.result) for one in kept)


def test_capacity_is_computed_from_stored_runs_not_from_removed_ones() -> None:
    table = KeyedRunTable(max_runs=2, max_bytes=10 * RUN_BYTES)
    table.add(keyed_run(b"gone", 101.0))
    table.remove(b"gone", b"n")
    table.add(keyed_run(b"a", 105.0))
    table.add(keyed_run(b"b", 105.0))
    assert table.capacity_in_s(100.0) == 5.0
    assert table.capacity_in_s(100.0, reserved=1) == 5.0  # both end then


TestKeyedRunTable = KeyedRunTableAgainstModel.TestCase
TestKeyedRunTable.settings = settings(
    derandomize=True, max_examples=100, stateful_step_count=50, deadline=None
)


def test_a_run_occupies_capacity_until_the_last_instant_of_its_window() -> None:
    """An idempotency key that is there till its window's last instant was taken for room, and one too
    many came in.
    """
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
    down=st.floats(0.0, 100.0),
    step=st.floats(-4000.0, 4000.0),
    left=st.floats(0.0, 13.0),
    same_boot=st.booleans(),
)
def test_no_clock_cuts_a_window_short(down: float, step: float, left: float, same_boot: bool) -> None:
    then = ClockReading(1_000_000.0, 500.0, BOOT)
    now = ClockReading(
        then.unix_s + down + step, 500.0 + down if same_boot else 3.0, BOOT if same_boot else b"other"
    )
    until = rebased_expiry(then.unix_s + left, then, now, 13.5)
    truly_left = left - down
    assert until - now.unix_s >= truly_left - 1e-6
    if same_boot:
        assert (
            until - now.unix_s <= max(truly_left, -100.0) + 1e-6
        )  # nor makes it longer, where time is known
    else:
        assert until - now.unix_s <= min(left, 13.5) + 1e-6
    assert clock_offset_s(then, then) == 0.0


@pytest.mark.parametrize(
    ("rule_", "arrived", "now", "failed"),
    [
        (ColdStartRule.RUN, 90.0, 101.0, False),
        (ColdStartRule.EARLY, 99.9, 101.0, True),
        (ColdStartRule.EARLY, 100.0, 101.0, False),
        (ColdStartRule.STRICT, 110.0, 113.0, True),
        (ColdStartRule.STRICT, 110.0, 113.5, False),
        (ColdStartRule.WAIT, 99.0, 101.0, False),
    ],
)
def test_the_cold_start_rules(rule_: ColdStartRule, arrived: float, now: float, failed: bool) -> None:
    assert may_have_run(rule_, 100.0, arrived, 13.5, now) is failed
    assert ready_at(rule_, 100.0, 13.5) == (113.5 if rule_ is ColdStartRule.WAIT else 100.0)


def a_record(at: float, boot: bytes = BOOT, **more: object) -> pb.Record:
    moment = pb.Moment(unix_us=round(at * 1e6), boot_us=round((at - 900_000) * 1e6), boot=boot)
    return pb.Record(moment=moment, **more)  # type: ignore[arg-type]


def intent(idempotency_key: bytes, until: float, name: bytes = b"n") -> pb.Intent:
    return pb.Intent(
        label=idempotency_key,
        sameness=b"s" * 16,
        name=name,
        track="record",
        arrived_us=0,
        until_us=round(until * 1e6),
    )


def test_recovery_follows_outcomes_and_clocks_that_were_set() -> None:
    loaded = RecoveredRuns(KeyedRunTable(100, 1 << 20), max_window_s=13.5)
    loaded.apply(1, a_record(1_000_000, intents=[intent(b"a", 1_000_010), intent(b"b", 1_000_012)]))
    worked = pb.Outcome(label=b"a", name=b"n", how=pb.WORKED, result=b"bytes", notice=7)
    loaded.apply(2, a_record(1_000_001, outcomes=[worked], intents=[intent(b"c", 1_000_014)]))
    loaded.apply(3, a_record(1_000_002, outcomes=[pb.Outcome(label=b"c", name=b"n", how=pb.NEVER)]))
    assert set(loaded.table.runs) == {b"a", b"b"} and loaded.last_notice == 7
    # The machine's clock is an hour ahead now, five seconds have truly passed.
    now = ClockReading(1_000_007 + 3600, 100_007.0, BOOT)
    loaded.finish(now)
    assert loaded.last_write_at == pytest.approx(1_000_002 + 3600) and loaded.rebase_count == 1
    assert loaded.table.runs[b"a"].expires_at == pytest.approx(1_000_010 + 3600)
    assert loaded.table.runs[b"a"].result == b"bytes" and loaded.record_numbers == {b"a": 1, b"b": 1}


def test_a_window_that_was_over_before_a_reboot_stays_over() -> None:
    loaded = RecoveredRuns(KeyedRunTable(100, 1 << 20), max_window_s=13.5)
    loaded.apply(1, a_record(1_000_000, intents=[intent(b"old", 1_000_005)]))
    loaded.apply(2, a_record(1_000_010, intents=[intent(b"new", 1_000_020)]))
    loaded.finish(ClockReading(999_000.0, 1.0, b"another"))  # and its clock lost a quarter of an hour
    assert set(loaded.table.runs) == {b"new"} and loaded.last_write_at is None
    assert loaded.table.runs[b"new"].expires_at == pytest.approx(999_010)


# -- compaction


@settings(derandomize=True, max_examples=60, deadline=None)
@given(seed=st.integers(0, 10**6))
def test_compaction_ends_and_never_releases_a_live_run(seed: int) -> None:
    """A log as the recorder keeps it: each record has its size, the front up to `oldest` goes at times."""
    chance, planner, lies, log = (
        random.Random(seed),
        CompactionPlanner(100),
        dict[bytes, int](),
        dict[int, int](),
    )
    carried = 0
    for number in range(1, 600):
        log[number] = 50
        match chance.randrange(4):
            case 0 | 1:
                idempotency_key = b"%d" % chance.randrange(30)
                planner.add(idempotency_key, number, 50)
                lies[idempotency_key] = number
            case 2 if lies:
                idempotency_key = chance.choice(list(lies))
                planner.remove(idempotency_key)
                del lies[idempotency_key]
        if planner.maybe_begin_pass(sum(log.values()), number):
            idempotency_keys = planner.next_batch(sum(log.values()))
            for idempotency_key in idempotency_keys:
                planner.add(idempotency_key, number, 50)
                lies[idempotency_key] = number
            log[number] += 50 * len(idempotency_keys)
            carried += len(idempotency_keys)
        assert planner.oldest_needed_record(number) <= min(lies.values(), default=number + 1)
        log = {one: size for one, size in log.items() if one >= planner.oldest_needed_record(number)}
        assert sum(log.values()) <= 3 * (2 * 50 * 30 + 400)
    assert carried <= 600 * 4  # it is no work without end


# -- the server with it


@dataclass
class Disk:
    """What outlives the server: its files, the clocks, and the interpreter if it is to."""

    files: FakeFiles
    boot: float = 50_000.0


class ResultStoreTown(SimulatedServer):
    """The serving layer with a result store over a fake disk; `restart` is a kill and a new start."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        disk: Disk,
        before: ResultStoreTown | None = None,
        **more: object,
    ) -> None:
        super().__init__(SERVER_SETTINGS)
        self.disk, self.patch, self.more = disk, monkeypatch, more
        monkeypatch.setattr(startup, "DiskFiles", lambda _: disk.files)
        plan = ResultStorePlan(Path("made"), commit_interval_s=0.0, **more)  # type: ignore[arg-type]
        outlived = before is not None and plan.interpreter_survives
        if before is not None:
            self.scheduler.clock.now = before.now
            self.attempts = before.attempts
            if outlived:
                self.interpreter = before.interpreter
            else:
                self.interpreter.over = set(before.interpreter.over) | set(before.interpreter.running)
                self.interpreter.applied = before.interpreter.applied
        bridge = SlowBridge()
        self.bridge, self.failures = bridge, list[str]()
        request_classes = {
            b"lookup": SERVER_SETTINGS.request_classes[0],
            b"record": SERVER_SETTINGS.request_classes[1],
        }
        self.recorder = Recorder(
            self.scheduler,
            Background(self.scheduler, lambda: 0),
            bridge,  # type: ignore[arg-type]
            plan,
            b"inc%05d" % len(disk.files.names()),
            request_classes,
            NO_OBSERVER,
            lambda one: self.dispatcher.run_ended(one, Outcome.NEVER_STARTED, 0.0, b""),
            lambda: None,
            self.failures.append,
            self.counts.append,
            self.moment,
        )
        bridge.work()
        self.listener.observer = self.recorder
        self.dispatcher._result_store = self.recorder
        self.dispatcher._duplicate_checks._result_store = self.recorder
        # The town greeted its interpreter before: what a start would have told is told now.
        born = self.now - (5000.0 if outlived or before is None else 0.0)
        from sablewheel.overload import interface

        recalled = self.recorder.recover_keys(born, self.idempotency_keys)
        self.dispatcher._events[:0] = [interface.KeyRecovered(request, life) for request, life in recalled]
        self.interpreter_client.adopt(*self.recorder.runs_to_adopt())
        if outlived:
            missed = b"".join(self.interpreter.notices[self.recorder.last_notice :])
            if self.link is not None and missed:
                self.link.feed(missed)
        self.settle()

    def moment(self) -> ClockReading:
        return ClockReading(self.now, self.disk.boot + self.now - 1_764_576_000, BOOT)

    def settle(self, deliver: bool = True) -> None:
        super().settle(deliver)
        if hasattr(self, "recorder"):
            for _ in range(4):
                self.recorder.end_round()
                self.recorder._background.end_round()
                self.bridge.work()
                super().settle(deliver)

    def restart(self, crash: random.Random | None = None) -> ResultStoreTown:
        """Killed: what was not synced may be gone, connections are, tries without an answer are lost."""
        for one in self.attempts:
            one.cancelled = one.cancelled or not one.answers
        if crash is not None:
            self.disk.files = self.disk.files.crash(crash)
        for one in self.attempts:
            one.tag = -abs(one.tag)
        return ResultStoreTown(self.patch, self.disk, self, **self.more)

    def call(self, request_class: bytes, idempotency_key: bytes = b"", ago: float = 0.0) -> Attempt:
        one = super().call(request_class, idempotency_key, ago)
        self.answers = self.answers or Parser()
        return one


def run_one(town: ResultStoreTown, idempotency_key: bytes = b"label") -> Attempt:
    one = town.call(b"record", idempotency_key)
    town.settle()
    town.end(one.name)
    town.settle()
    return one


def word(one: Attempt) -> bytes:
    return one.answers[0][1] if one.answers else b""


def test_a_run_starts_when_its_intent_is_durable_and_is_answered_when_its_outcome_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = ResultStoreTown(monkeypatch, Disk(FakeFiles()))
    town.bridge.open = False
    one = town.call(b"record", b"label")
    other = town.call(b"lookup")
    town.settle()
    assert [name for name, _, _ in town.interpreter.applied] == [
        other.name
    ]  # may run again: waits for nothing
    town.bridge.open = True
    town.settle()
    assert town.interpreter.applied[-1][0] == one.name
    town.bridge.open = False
    town.end(one.name)
    town.settle()
    assert not one.answers
    town.bridge.open = True
    town.settle()
    assert word(one) == b"OK"


def test_after_a_kill_a_retry_gets_the_original_bytes_and_never_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = ResultStoreTown(monkeypatch, Disk(FakeFiles()))
    first = run_one(town)
    runs = len(town.interpreter.applied)
    for turn in range(3):
        town = town.restart(random.Random(turn))
        repeat = town.call(b"record", b"label")
        town.settle()
        assert repeat.answers[0][3] == first.answers[0][3] and len(town.interpreter.applied) == runs
    town.wait(SERVER_SETTINGS.request_classes[1].idempotency_window_s + 5.0)
    later = town.call(b"record", b"label")
    town.settle()
    assert town.interpreter.applied[-1][0] == later.name  # its window is over: it may run again


def test_a_run_that_a_kill_interrupted_is_awaited_or_failed_but_never_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for outlives in (True, False):
        town = ResultStoreTown(monkeypatch, Disk(FakeFiles()), interpreter_survives=outlives)
        first = town.call(b"record", b"label")
        town.settle()
        town = town.restart(random.Random(1))
        repeat = town.call(b"record", b"label")
        town.settle()
        assert len(town.interpreter.applied) == 1
        if outlives:
            assert not repeat.answers and "recall_adopted" in town.counts
            town.end(first.name)
            town.settle()
            assert repeat.answers[0][3] == b"made of " + first.body
        else:
            assert word(repeat) == b"FAILED" and "recall_unknown" in town.counts


def test_a_run_that_ended_while_the_server_was_down_is_found_by_its_notice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = ResultStoreTown(monkeypatch, Disk(FakeFiles()), interpreter_survives=True)
    run_one(town, b"other")
    first = town.call(b"record", b"label")
    town.settle()
    town.interpreter.end(first.name)  # nobody hears it
    town = town.restart()
    repeat = town.call(b"record", b"label")
    town.settle()
    assert repeat.answers[0][3] == b"made of " + first.body and len(town.interpreter.applied) == 2


def test_an_idempotency_key_with_another_body_is_failed_after_a_restart_too(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = ResultStoreTown(monkeypatch, Disk(FakeFiles()))
    run_one(town)
    town = town.restart()
    copy = Attempt(len(town.attempts) + 1, b"%016x" % 99, b"record", b"", town.now)
    copy.body = b"another body"
    town.attempts.append(copy)
    from simulated_server import call

    town.client.feed(call(copy.tag, copy.name, b"record", town.now, copy.body, b"label"))
    town.settle()
    assert word(copy) == b"FAILED" and len(town.interpreter.applied) == 1


def test_a_failing_disk_rejects_new_keyed_requests_before_they_run(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk(FakeFiles())
    town = ResultStoreTown(monkeypatch, disk)
    first = run_one(town)
    disk.files.fail = {"append": [OSError(errno.ENOSPC, "no space left on device")] * 10_000}
    stuck = town.call(b"record", b"stuck")
    town.settle()
    rejected = town.call(b"record", b"new")
    repeat = town.call(b"record", b"label")
    harmless = town.call(b"lookup")
    town.settle()
    assert word(rejected) == b"BUSY" and word(repeat) == b"OK" and repeat.answers[0][3] == first.answers[0][3]
    assert [name for name, _, _ in town.interpreter.applied] == [first.name, harmless.name]
    town.wait(6.0)
    assert word(stuck) == b"FAILED"  # in time, and it never ran
    disk.files.fail = {}
    town.wait(6.0)
    assert run_one(town, b"after").answers[0][1] == b"OK"
    assert stuck.name not in [name for name, _, _ in town.interpreter.applied]
    again = run_one(town, b"stuck")
    assert word(again) == b"OK"  # it is known never to have run, so its repeat may


def test_a_slow_disk_rejects_early_instead_of_answering_late(monkeypatch: pytest.MonkeyPatch) -> None:
    town = ResultStoreTown(monkeypatch, Disk(FakeFiles()))
    # the last commits took nearly all that a caller waits
    town.recorder._run_log._commit_times_s.extend([3.9] * 20)
    running = [town.call(b"lookup") for _ in range(12)]
    town.settle()
    one = town.call(b"record", b"label")
    town.settle()
    assert (
        word(one) == b"BUSY"
        and running
        and not [name for name, request_class, _ in town.interpreter.applied if request_class == b"record"]
    )


def test_without_capacity_for_idempotency_keys_requests_are_rejected_until_there_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    town = ResultStoreTown(monkeypatch, Disk(FakeFiles()), max_runs=3)
    for number in range(3):
        run_one(town, b"%d" % number)
    rejected = town.call(b"record", b"one too many")
    town.settle()
    assert word(rejected) == b"BUSY" and "recall_no_room" in town.counts
    town.wait(SERVER_SETTINGS.request_classes[1].idempotency_window_s + 0.5)
    assert word(run_one(town, b"one too many")) == b"OK"


def test_random_kills_and_lost_writes_never_run_an_idempotency_key_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What SimulatedServer checks after each step (no second run in the window, no rejection of what ran, one
    answer in time) holds over kills at any moment, with unsynced writes lost, torn or reordered.
    """
    for seed in range(14):
        chance = random.Random(seed)
        town = ResultStoreTown(
            monkeypatch, Disk(FakeFiles()), interpreter_survives=seed % 2 == 0, segment_bytes=600
        )
        kills = 0
        held: dict[bytes, bytes] = {}
        for _ in range(70):
            match chance.randrange(9):
                case 0 | 1 | 2:
                    town.call(b"record", b"%d" % chance.randrange(6))
                case 3 | 4 if town.interpreter.running:
                    town.end(chance.choice(list(town.interpreter.running)))
                case 5 if town.attempts and town.attempts[-1].tag > 0:
                    town.cancel(town.attempts[-1])
                case 6:
                    town.bridge.open = chance.random() < 0.7
                case 7 if chance.random() < 0.5:
                    town = town.restart(chance)
                    kills += 1
                case _:
                    town.wait(chance.uniform(0.0, 0.3))
            town.settle()
            for one in town.attempts:
                if word(one) == b"OK":
                    assert held.setdefault(one.idempotency_key, one.answers[0][3]) == one.answers[0][3]
        assert kills


def test_the_log_stays_near_the_size_of_its_live_runs(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk(FakeFiles())
    town = ResultStoreTown(monkeypatch, disk, segment_bytes=500)
    table = town.recorder._table
    run_one(town, b"lives long")
    # One idempotency key that lives long must not hold all that comes after it: it is carried forward.
    (long_lived,) = table.runs.values()
    long_lived.expires_at += 1000.0
    table._expiries = [(long_lived.expires_at, long_lived.idempotency_key)]
    sizes = []
    for number in range(90):
        run_one(town, b"%d" % number)
        town.wait(0.3)
        sizes.append(sum(map(len, disk.files.data.values())))
    assert "recall_carried" in town.counts and max(sizes) <= 14_000 < 90 * 260
    town = town.restart()
    assert long_lived.idempotency_key in town.recorder._table.runs


def test_a_folder_that_cannot_be_read_prevents_the_start(monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk(FakeFiles())
    town = ResultStoreTown(monkeypatch, disk)
    for number in range(3):
        run_one(town, b"%d" % number)
    (name,) = disk.files.names()
    disk.files.data[name][60] ^= 1
    refused = town.restart()
    assert "hold no valid record" in refused.failures[0] and not refused.recorder.ready
    unknown = refused.call(b"record", b"never seen")
    refused.settle()
    assert not unknown.answers and not refused.recorder._run_log.store
    cold = ResultStoreTown(
        monkeypatch, disk, town, unreadable=UnreadableFolderRule.COLD, cold_start=ColdStartRule.STRICT
    )
    for one in cold.attempts:
        one.cancelled = True
    unknown = cold.call(b"record", b"never seen")
    cold.settle()
    assert word(unknown) == b"FAILED" and "recall_cold_terminated" in cold.counts


def test_every_record_counts_at_every_crash_point() -> None:
    """The log of a short day cut at each byte: what is loaded is just what its whole records say."""
    files, records = FakeFiles(), []
    log = Log(files, LOG_KIND, b"incarn01", 1 << 20)
    for number in range(6):
        some = [intent(b"%d" % number, 1_000_010, b"run%d" % number)]
        ends = [
            pb.Outcome(label=b"%d" % (number - 1), name=b"run%d" % (number - 1), how=pb.WORKED, result=b"r")
        ]
        records.append(a_record(1_000_000 + number / 10, intents=some, outcomes=ends if number else []))
        log.commit([records[-1].SerializeToString()])
    (name,) = files.names()
    whole = bytes(files.data[name])
    for cut in range(len(whole) + 1):
        after = FakeFiles()
        after.create(name)
        after.append(name, whole[:cut])
        loaded = RecoveredRuns(KeyedRunTable(100, 1 << 20), 13.5)
        Log(after, LOG_KIND, b"incarn02", 1 << 20).recover(
            lambda number, payload, _, loaded=loaded: loaded.apply(number, pb.Record.FromString(payload))  # type: ignore[misc]
        )
        assert len(loaded.table.runs) == loaded.record_count
        worked = [one for one in loaded.table.runs.values() if one.state is RunState.SUCCEEDED]
        assert len(worked) == max(loaded.record_count - 1, 0)


def test_the_command_inspects_verifies_and_compacts_a_folder(tmp_path: Path) -> None:
    now = read_clocks()
    log = Log(DiskFiles(tmp_path), LOG_KIND, b"incarn01", 1 << 30, 4000)
    for number in range(200):
        over = number % 4 > 0
        one = keyed_run(
            b"%d" % number, now.unix_s + (-5.0 if over else 500.0), b"run%d" % number, now.unix_s - 10.0
        )
        record = pb.Record(moment=encode_clock_reading(now), intents=[encode_intent(one)])
        if number % 8 == 0:
            one.state, one.result = RunState.SUCCEEDED, b"result %d" % number
            record.outcomes.append(encode_outcome(one))
            record.outcomes[-1].notice = number
        log.commit([record.SerializeToString()])
    runner = CliRunner()

    def call(*words: str) -> tuple[int, str]:
        done = runner.invoke(main, ["recall", *words, str(tmp_path)])
        return done.exit_code, done.output

    assert (
        "50 labels open: 25 intended, 25 worked" in call("inspect")[1]
        and "last notice 192" in call("inspect")[1]
    )
    assert len(call("inspect", "--labels")[1].splitlines()) == 50
    assert call("verify") == (0, "in order, 200 records\n")
    code, text = call("compact")
    assert code == 1 and "in use" in text  # its writer is still there
    log.close()
    code, text = call("compact")
    assert code == 0 and text.startswith("50 labels kept")
    assert (
        "50 labels open: 25 intended, 25 worked" in call("inspect")[1]
        and "last notice 192" in call("inspect")[1]
    )
    path = max(tmp_path.glob("*.seg"))
    data = bytearray(path.read_bytes())
    data[100] ^= 1
    path.write_bytes(data)
    assert "50 labels" not in call("inspect")[1]
