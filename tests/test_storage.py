"""The durable log: recovery at every crash point, disk faults, and group commit."""

from __future__ import annotations

import errno
import os
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from fake_disk import FakeFiles
from hypothesis import given, settings
from hypothesis import strategies as st
from simulated_server import FakeScheduler
from test_usage_metering import ManualWorkerThread

from sablewheel.storage import records
from sablewheel.storage.files import DiskFiles, InUseError
from sablewheel.storage.group_commit import GroupCommitLog
from sablewheel.storage.health import DiskHealth, DiskState
from sablewheel.storage.log import LOG_START, CommitError, Log
from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.transport.worker_thread import WorkerThread

KIND = b"test"


def open_log(
    files: FakeFiles, incarnation: bytes = b"incarn01", max_bytes: int = 1 << 30, segment_bytes: int = 200
) -> Log:
    return Log(files, KIND, incarnation, max_bytes, segment_bytes)


def recover(files: FakeFiles, **bounds: int) -> tuple[list[bytes], Log, list[str]]:
    log, recovered = open_log(files, b"incarn99", **bounds), []
    report = log.recover(lambda _, payload, __: recovered.append(payload))
    return recovered, log, report.damage


def read_all(log: Log) -> list[bytes]:
    recovered: list[bytes] = []
    log.recover(lambda _, payload, __: recovered.append(payload))
    return recovered


def payloads(count: int, start: int = 0) -> list[bytes]:
    return [b"payload %d " % index * (index % 4 + 1) for index in range(start, start + count)]


def test_committed_records_are_recovered_in_order_over_many_segments_and_incarnations() -> None:
    files = FakeFiles()
    expected: list[bytes] = []
    for incarnation in range(4):
        log = open_log(files, b"incarn%02d" % incarnation)
        assert read_all(log) == expected
        for group in range(5):
            group_payloads = payloads(3, 100 * incarnation + 10 * group)
            log.commit(group_payloads)
            expected += group_payloads
    assert recover(files)[0] == expected and len(files.names()) > 4


def test_recovery_of_a_log_cut_at_any_byte_stops_at_the_last_valid_record() -> None:
    files = FakeFiles()
    log = open_log(files, segment_bytes=1 << 20)
    log.commit(payloads(6))
    (name,) = files.names()
    complete = bytes(files.data[name])
    ends = [record.end for record in records.scan(complete, 1) if isinstance(record, records.Record)]
    for cut in range(len(complete) + 1):
        files = FakeFiles()
        files.create(name)
        files.append(name, complete[:cut])
        recovered, log_after_cut, damage = recover(files)
        assert recovered == payloads(sum(end <= cut for end in ends)) and not damage
        log_after_cut.commit([b"next"])  # continues behind the last valid record
        assert recover(files)[0] == [*recovered, b"next"]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(seed=st.integers(0, 10**9))
def test_durable_records_survive_a_power_failure_between_any_two_writes(seed: int) -> None:
    """Writes after the last sync may be present, torn or missing, in any order."""
    rng, files = random.Random(seed), FakeFiles()
    durable: list[bytes] = []
    attempted: list[bytes] = []
    for incarnation in range(rng.randint(1, 4)):
        log = open_log(files, b"incarn%02d" % incarnation, segment_bytes=rng.choice((100, 400)))
        recovered = read_all(log)
        assert recovered[: len(durable)] == durable
        durable = list(recovered)  # a recovered record must be recovered again later
        for _ in range(rng.randint(0, 5)):
            group = [b"%d.%d" % (incarnation, rng.getrandbits(40)) for _ in range(rng.randint(1, 4))]
            faults: list[OSError | None] = [None, OSError(errno.EIO, "input/output error")]
            files.fail = {rng.choice(("append", "sync", "create")): [rng.choice(faults)]}
            try:
                log.commit(group)
            except CommitError:
                attempted += group
                continue
            durable += group
        files.fail = {}
        if rng.random() < 0.3:  # a kill in the middle of a commit
            files.fail = {
                "sync": [OSError(errno.EIO, "killed during sync")],
                "truncate": [OSError(errno.EIO, "killed before truncate")],
            }
            group = [b"lost %d" % rng.getrandbits(30)]
            attempted += group
            with pytest.raises(CommitError):
                log.commit(group)
            files.fail = {}
        files = files.crash(rng)
    final_payloads, _, damage = recover(files)
    assert not damage
    assert [payload for payload in final_payloads if payload in durable] == durable
    assert all(payload in durable or payload in attempted for payload in final_payloads)


class KilledError(BaseException):
    """The process is killed in the middle of a commit: nothing of it runs on."""


def commit_and_kill_before_sync(files: FakeFiles, payload: bytes) -> None:
    """Start a log and kill its process when the first record is written, but not synced."""

    def kill(_: str) -> None:
        raise KilledError

    log, sync = open_log(files), files.sync
    with pytest.raises(KilledError):
        files.sync = lambda name: sync(name) if files.size(name) == records.HEADER_SIZE else kill(name)  # type: ignore[method-assign]
        log.commit([payload])
    files.sync = sync  # type: ignore[method-assign]


def test_a_power_failure_in_the_first_commit_of_a_segment_is_no_damage() -> None:
    """It may keep the record and lose the header before it, and the folder then counted as damaged."""
    for seed in range(50):
        files = FakeFiles()
        commit_and_kill_before_sync(files, b"payload")
        recovered, _, damage = recover(files.crash(random.Random(seed)))
        assert recovered in ([], [b"payload"]) and damage == [], seed


def test_a_recovered_record_survives_a_power_failure() -> None:
    """After a kill a record may be written and not synced: it was recovered, but not made durable."""
    files = FakeFiles()
    commit_and_kill_before_sync(files, b"payload 1")
    recovered, log, _ = recover(files)
    assert recovered == [b"payload 1"]
    log.commit([b"payload 2"])
    files.unsynced = {name: [] for name in files.names()}  # lost by the power failure
    files.data = {name: bytearray(data) for name, data in files.durable.items()}
    recovered, _, damage = recover(files)
    assert (recovered, damage) == ([b"payload 1", b"payload 2"], [])


def test_a_failed_sync_at_recovery_is_told_and_prevents_no_start() -> None:
    files = FakeFiles()
    open_log(files).commit([b"payload"])
    files.fail = {"sync": [OSError(errno.ENOSPC, "no space left on device")]}
    recovered: list[bytes] = []
    report = open_log(files, b"incarn02").recover(lambda _, payload, __: recovered.append(payload))
    assert recovered == [b"payload"] and not report.damage
    assert files.names()[0] in report.sync_error and "no space" in report.sync_error


@settings(derandomize=True, max_examples=100, deadline=None)
@given(index=st.integers(0, 5), offset=st.integers(0, 400), bit=st.integers(0, 7))
def test_a_flipped_bit_loses_its_record_and_no_other(index: int, offset: int, bit: int) -> None:
    files = FakeFiles()
    log = open_log(files, segment_bytes=1 << 20)
    expected = payloads(6)
    log.commit(expected)
    (name,) = files.names()
    valid = [item for item in records.scan(bytes(files.data[name]), 1) if isinstance(item, records.Record)]
    record = valid[index]
    position = record.offset + offset % (record.end - record.offset)
    files.data[name][position] ^= 1 << bit
    recovered, _, damage = recover(files)
    if index < 5:
        assert recovered == expected[:index] + expected[index + 1 :] and damage and name in damage[0]
    else:
        assert recovered == expected[:5]  # in the last record it looks like a torn write


def test_a_full_disk_refuses_complete_groups_and_accepts_them_once_there_is_space() -> None:
    files = FakeFiles()
    log = open_log(files)
    log.commit(payloads(2))
    files.capacity_bytes = sum(map(len, files.data.values())) + 20
    for _ in range(3):
        with pytest.raises(CommitError) as raised:
            log.commit(payloads(3, 10))
        assert raised.value.is_disk_full
    files.capacity_bytes = 1 << 60
    assert log.commit(payloads(3, 10)) == 5
    recovered, _, damage = recover(files)
    assert recovered == payloads(2) + payloads(3, 10) and not damage


def test_after_a_failed_sync_the_same_records_go_to_a_new_segment() -> None:
    """The page cache cannot be trusted after a failed fsync, even if the next fsync succeeds."""
    files = FakeFiles()
    log = open_log(files, segment_bytes=1 << 20)
    log.commit(payloads(2))
    files.fail = {
        "sync": [OSError(errno.EIO, "input/output error")],
        "truncate": [OSError(errno.EIO, "input/output error")],
    }
    with pytest.raises(CommitError) as raised:
        log.commit([b"again"])
    assert not raised.value.is_disk_full
    log.commit([b"again"])
    assert len(files.names()) == 2
    assert recover(files)[0] == [*payloads(2), b"again"]  # written twice, recovered once


def test_the_size_limit_of_the_log_acts_as_a_full_disk_and_release_frees_space() -> None:
    files = FakeFiles()
    log = open_log(files, max_bytes=1000, segment_bytes=150)
    committed = 0
    with pytest.raises(CommitError) as raised:
        while True:
            log.commit([b"x" * 60])
            committed += 1
    assert raised.value.is_disk_full and committed > 5
    _, end = log.read(LOG_START, 1 << 20)
    assert log.release(end, keep_bytes=0) > 0
    log.commit([b"x" * 60])


def test_reading_continues_from_any_position_and_skips_released_segments() -> None:
    files = FakeFiles()
    log = open_log(files)
    expected = payloads(40)
    for payload in expected:
        log.commit([payload])
    read: list[bytes] = []
    position, positions = LOG_START, []
    while True:
        batch, next_position = log.read(position, 50)
        read += [payload for payload, _ in batch]
        positions += [record_position for _, record_position in batch]
        if next_position == position:
            break
        position = next_position
    assert read == expected
    for index in (0, 7, 39):
        assert log.read(positions[index], 1)[0][0][0] == expected[index]
    log.release(positions[20], keep_bytes=0)
    rest, _ = log.read(LOG_START, 1 << 20)
    assert [payload for payload, _ in rest] == expected[expected.index(rest[0][0]) :] and len(rest) <= 25
    log.commit([b"new"])
    assert log.read(position, 1 << 20)[0][-1][0] == b"new"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (lambda data: b"other" + data[5:], "not a segment"),
        (lambda data: data[:5] + b"\x09" + data[6:], "checksum"),
        (lambda data: data[:20], ""),
    ],
)
def test_an_unreadable_header_is_reported_and_its_segment_left_unchanged(
    change: Callable[[bytes], bytes], reason: str
) -> None:
    files = FakeFiles()
    open_log(files).commit(payloads(2))
    (name,) = files.names()
    files.data[name][:] = change(bytes(files.data[name]))
    recovered, _, damage = recover(files)
    assert not recovered
    assert (reason in damage[0]) if reason else not damage


def test_a_folder_has_one_writer_which_holds_its_lock_until_closed(tmp_path: Path) -> None:
    first = DiskFiles(tmp_path)
    with pytest.raises(InUseError, match="in use"):
        DiskFiles(tmp_path)
    log = Log(first, KIND, b"incarn01", 1 << 20)
    log.commit(payloads(3))
    log.close()
    second = Log(DiskFiles(tmp_path), KIND, b"incarn02", 1 << 20)
    recovered: list[bytes] = []
    second.recover(lambda _, payload, __: recovered.append(payload))
    assert recovered == payloads(3)
    third = Log(second._files, b"other", b"incarn03", 1 << 20)
    assert "a log of kind test" in third.recover(lambda *_: None).damage[0]


def test_a_failed_close_closes_no_other_descriptor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    files, real_close = DiskFiles(tmp_path), os.close
    closed: list[int] = []

    def failing_close(descriptor: int) -> None:
        real_close(descriptor)
        closed.append(descriptor)
        raise OSError(errno.EIO, "input/output error")

    files.create("1.seg")
    files.append("1.seg", b"one")
    files.sync("1.seg")
    monkeypatch.setattr(os, "close", failing_close)
    files._close_open_file()
    files._close_open_file()
    monkeypatch.undo()
    assert len(closed) == 1 and files.read("1.seg", 0, 9) == b"one"
    files.close()


def test_health_reports_its_states_and_backs_off_longer_after_each_fault() -> None:
    health = DiskHealth(slow_after_s=0.1)
    assert health.check(0.0) is DiskState.WORKING and health.may_commit(0.0)
    health.commit_started(1.0)
    assert not health.may_commit(1.0) and health.check(1.05) is DiskState.WORKING
    assert health.check(1.2) is DiskState.SLOW
    backoffs = []
    for attempt in range(8):
        now = 10.0 * (attempt + 1)
        health.commit_failed(now, is_disk_full=attempt % 2 == 0)
        assert health.check(now) is (DiskState.FULL if attempt % 2 == 0 else DiskState.FAILING)
        assert not health.may_commit(now)
        backoffs.append(health.retry_at - now)
        assert health.may_commit(health.retry_at)
    assert backoffs == sorted(backoffs) and backoffs[-1] == 2.0
    health.commit_succeeded()
    assert health.check(100.0) is DiskState.WORKING


def test_records_are_gathered_while_a_commit_is_in_flight() -> None:
    scheduler, files = Scheduler(Clock()), FakeFiles()
    durable_numbers: list[int] = []
    states: list[DiskState] = []
    store = GroupCommitLog(
        scheduler, WorkerThread(scheduler), open_log(files), 0.1, durable_numbers.append, states.append
    )
    scheduler.after_round.append(store.flush)
    numbers: list[int | None] = []

    def append_next(remaining: int = 50) -> None:
        numbers.append(store.append(b"one of fifty"))
        if remaining > 1:
            scheduler.after(0.0005, lambda: append_next(remaining - 1))
        if remaining == 30:
            files.fail = {"sync": [OSError(errno.EIO, "input/output error")] * 2}

    append_next()
    started_at = time.monotonic()

    def stop_when_durable() -> None:
        if store.durable_through == 50 or time.monotonic() > started_at + 10:
            return scheduler.stop()
        scheduler.after(0.01, stop_when_durable)

    stop_when_durable()
    scheduler.run()
    assert numbers == list(range(1, 51)) and store.durable_through == 50 and store.all_durable
    # Fewer reports than records: the records were committed in groups. The reported number only grows.
    assert durable_numbers == sorted(set(durable_numbers)) and len(durable_numbers) < 50
    assert states == [DiskState.FAILING, DiskState.WORKING]
    assert recover(files)[0] == [b"one of fifty"] * 50


def test_a_disk_that_flips_between_its_states_is_logged_as_one_incident(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The log had several lines a second while a disk was full, and named neither feature nor folder."""
    scheduler, files = FakeScheduler(), FakeFiles()
    worker_thread: Any = ManualWorkerThread()
    place = {"feature": "recall", "folder": "/somewhere"}
    states: list[DiskState] = []
    store = GroupCommitLog(
        scheduler, worker_thread, open_log(files), 0.1, lambda _: None, states.append, place
    )

    def wait(duration_s: float) -> None:
        scheduler.clock.now += duration_s
        scheduler._run_timers()
        store.flush()
        worker_thread.work()

    for _ in range(5):
        files.fail = {"append": [OSError(errno.ENOSPC, "no space left on device")]}
        store.append(b"payload")
        wait(0.2)
        wait(0.2)  # the second attempt succeeds
    wait(0.9)
    assert [state for state in states if state is not DiskState.WORKING] == [DiskState.FULL] * 5
    lines = [(record.getMessage(), record.pairs) for record in caplog.records]  # type: ignore[attr-defined]
    assert [line for line, _ in lines] == ["log commit failed", "disk state changed"]
    assert all(pairs.items() >= place.items() for _, pairs in lines)
    wait(0.2)
    ended = caplog.records[-1].pairs  # type: ignore[attr-defined]
    assert len(caplog.records) == 3 and ended["now"] == "working" and ended["was"] == "full"
    assert ended["failed_commits"] == 5 and 2.0 < ended["lasted"] < 4.0


def test_append_returns_none_when_too_much_is_pending() -> None:
    scheduler, files = Scheduler(Clock()), FakeFiles()
    store = GroupCommitLog(
        scheduler, WorkerThread(scheduler), open_log(files), 0.1, lambda _: None, lambda _: None
    )
    big = b"x" * (1 << 19)
    assert store.append(big) == 1 and store.append(big) == 2
    assert store.append(big) is None
