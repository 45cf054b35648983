"""The durable log at every crash point and with every disk fault, and the store's group commit over it."""

from __future__ import annotations

import errno
import os
import random
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from fake_disk import MadeFiles
from hypothesis import given, settings
from hypothesis import strategies as st

from sablewheel.storage import records
from sablewheel.storage.files import DiskFiles, InUseError
from sablewheel.storage.health import Disk, DiskHealth
from sablewheel.storage.log import START, DiskFault, Log
from sablewheel.storage.store import Store
from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.transport.worker_thread import WorkerThread

KIND = b"test"


def a_log(files: MadeFiles, incarnation: bytes = b"incarn01", most: int = 1 << 30, segment: int = 200) -> Log:
    return Log(files, KIND, incarnation, most, segment)


def recovered(files: MadeFiles, **more: int) -> tuple[list[bytes], Log, list[str]]:
    log, found = a_log(files, b"incarn99", **more), []
    report = log.recover(lambda _, payload, __: found.append(payload))
    return found, log, report.damage


def read_all(log: Log) -> list[bytes]:
    seen: list[bytes] = []
    log.recover(lambda _, payload, __: seen.append(payload))
    return seen


def payloads(count: int, start: int = 0) -> list[bytes]:
    return [b"payload %d " % place * (place % 4 + 1) for place in range(start, start + count)]


def test_what_was_committed_is_recovered_in_order_over_many_segments_and_incarnations() -> None:
    files = MadeFiles()
    want: list[bytes] = []
    for turn in range(4):
        log = a_log(files, b"incarn%02d" % turn)
        assert read_all(log) == want
        for group in range(5):
            some = payloads(3, 100 * turn + 10 * group)
            log.commit(some)
            want += some
    assert recovered(files)[0] == want and len(files.names()) > 4


def test_cut_at_every_byte_recovery_stops_at_the_last_whole_record() -> None:
    files = MadeFiles()
    log = a_log(files, segment=1 << 20)
    log.commit(payloads(6))
    (name,) = files.names()
    whole = bytes(files.data[name])
    ends = [one.end for one in records.scan(whole, 1) if isinstance(one, records.Record)]
    for cut in range(len(whole) + 1):
        files = MadeFiles()
        files.create(name)
        files.append(name, whole[:cut])
        found, after, damage = recovered(files)
        assert found == payloads(sum(end <= cut for end in ends)) and not damage
        after.commit([b"next"])  # goes on behind what is whole, and is found again
        assert recovered(files)[0] == [*found, b"next"]


@settings(derandomize=True, max_examples=150, deadline=None)
@given(seed=st.integers(0, 10**9))
def test_power_fails_between_any_two_writes_what_was_fenced_stays(seed: int) -> None:
    """Writes after the last sync may be there, torn, or missing, in any order; records counted stay, in
    order.
    """
    chance, files = random.Random(seed), MadeFiles()
    fenced: list[bytes] = []
    given_: list[bytes] = []
    for turn in range(chance.randint(1, 4)):
        log = a_log(files, b"incarn%02d" % turn, segment=chance.choice((100, 400)))
        seen = read_all(log)
        assert seen[: len(fenced)] == fenced
        fenced = list(seen)  # what was recovered once counts from then on
        for _ in range(chance.randint(0, 5)):
            group = [b"%d.%d" % (turn, chance.getrandbits(40)) for _ in range(chance.randint(1, 4))]
            faults: list[OSError | None] = [None, OSError(errno.EIO, "input/output error")]
            files.fail = {chance.choice(("append", "sync", "create")): [chance.choice(faults)]}
            try:
                log.commit(group)
            except DiskFault:
                given_ += group
                continue
            fenced += group
        files.fail = {}
        if chance.random() < 0.3:  # killed in the middle of a commit
            files.fail = {
                "sync": [OSError(errno.EIO, "killed here")],
                "truncate": [OSError(errno.EIO, "too")],
            }
            group = [b"lost %d" % chance.getrandbits(30)]
            given_ += group
            with pytest.raises(DiskFault):
                log.commit(group)
            files.fail = {}
        files = files.crash(chance)
    found, _, damage = recovered(files)
    assert not damage
    assert [one for one in found if one in fenced] == fenced
    assert all(one in fenced or one in given_ for one in found)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(place=st.integers(0, 5), offset=st.integers(0, 400), bit=st.integers(0, 7))
def test_a_flipped_bit_costs_its_record_and_no_other(place: int, offset: int, bit: int) -> None:
    files = MadeFiles()
    log = a_log(files, segment=1 << 20)
    want = payloads(6)
    log.commit(want)
    (name,) = files.names()
    kept = [one for one in records.scan(bytes(files.data[name]), 1) if isinstance(one, records.Record)]
    hit = kept[place]
    at = hit.offset + offset % (hit.end - hit.offset)
    files.data[name][at] ^= 1 << bit
    found, _, damage = recovered(files)
    if place < 5:
        assert found == want[:place] + want[place + 1 :] and damage and name in damage[0]
    else:
        assert found == want[:5]  # at the very end it can't be told from a torn write


def test_a_full_disk_refuses_whole_groups_and_takes_them_once_there_is_room() -> None:
    files = MadeFiles()
    log = a_log(files)
    log.commit(payloads(2))
    files.room = sum(map(len, files.data.values())) + 20
    for _ in range(3):
        with pytest.raises(DiskFault) as fault:
            log.commit(payloads(3, 10))
        assert fault.value.full
    files.room = 1 << 60
    assert log.commit(payloads(3, 10)) == 5
    found, _, damage = recovered(files)
    assert found == payloads(2) + payloads(3, 10) and not damage


def test_after_a_failed_sync_the_same_records_go_to_a_new_segment() -> None:
    """What a failed fsync leaves in the page cache can't be trusted, even where the next one passes."""
    files = MadeFiles()
    log = a_log(files, segment=1 << 20)
    log.commit(payloads(2))
    files.fail = {"sync": [OSError(errno.EIO, "input/output error")], "truncate": [OSError(errno.EIO, "too")]}
    with pytest.raises(DiskFault) as fault:
        log.commit([b"again"])
    assert not fault.value.full
    log.commit([b"again"])
    assert len(files.names()) == 2
    assert recovered(files)[0] == [*payloads(2), b"again"]  # there twice, counted once


def test_the_logs_own_bound_is_a_full_disk_and_release_makes_room() -> None:
    files = MadeFiles()
    log = a_log(files, most=1000, segment=150)
    committed = 0
    with pytest.raises(DiskFault) as fault:
        while True:
            log.commit([b"x" * 60])
            committed += 1
    assert fault.value.full and committed > 5
    _, end = log.read(START, 1 << 20)
    assert log.release(end, keep_bytes=0) > 0
    log.commit([b"x" * 60])


def test_reading_goes_on_from_any_place_and_jumps_what_was_released() -> None:
    files = MadeFiles()
    log = a_log(files)
    want = payloads(40)
    for one in want:
        log.commit([one])
    found: list[bytes] = []
    place, places = START, []
    while True:
        some, after = log.read(place, 50)
        found += [payload for payload, _ in some]
        places += [where for _, where in some]
        if after == place:
            break
        place = after
    assert found == want
    for number in (0, 7, 39):
        assert log.read(places[number], 1)[0][0][0] == want[number]
    log.release(places[20], keep_bytes=0)
    rest, _ = log.read(START, 1 << 20)
    assert [payload for payload, _ in rest] == want[want.index(rest[0][0]) :] and len(rest) <= 25
    log.commit([b"new"])
    assert log.read(place, 1 << 20)[0][-1][0] == b"new"


@pytest.mark.parametrize(
    ("change", "says"),
    [
        (lambda data: b"other" + data[5:], "not a segment"),
        (lambda data: data[:5] + b"\x09" + data[6:], "checksum"),
        (lambda data: data[:20], ""),
    ],
)
def test_a_header_that_is_not_ours_is_named_and_left_alone(
    change: Callable[[bytes], bytes], says: str
) -> None:
    files = MadeFiles()
    a_log(files).commit(payloads(2))
    (name,) = files.names()
    files.data[name][:] = change(bytes(files.data[name]))
    found, _, damage = recovered(files)
    assert not found
    assert (says in damage[0]) if says else not damage


def test_a_folder_has_one_writer_and_a_lock_that_ends_with_it(tmp_path: Path) -> None:
    first = DiskFiles(tmp_path)
    with pytest.raises(InUseError, match="in use"):
        DiskFiles(tmp_path)
    log = Log(first, KIND, b"incarn01", 1 << 20)
    log.commit(payloads(3))
    log.close()
    second = Log(DiskFiles(tmp_path), KIND, b"incarn02", 1 << 20)
    seen: list[bytes] = []
    second.recover(lambda _, payload, __: seen.append(payload))
    assert seen == payloads(3)
    third = Log(second._files, b"other", b"incarn03", 1 << 20)
    assert "a log of kind test" in third.recover(lambda *_: None).damage[0]


def test_a_close_that_fails_closes_no_other_descriptor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    files, real = DiskFiles(tmp_path), os.close
    closed: list[int] = []

    def failing(descriptor: int) -> None:
        real(descriptor)
        closed.append(descriptor)
        raise OSError(errno.EIO, "input/output error")

    files.create("1.seg")
    files.append("1.seg", b"one")
    files.sync("1.seg")
    monkeypatch.setattr(os, "close", failing)
    files._close_open()
    files._close_open()
    monkeypatch.undo()
    assert len(closed) == 1 and files.read("1.seg", 0, 9) == b"one"
    files.close()


def test_health_names_its_states_and_waits_longer_after_each_fault() -> None:
    health = DiskHealth(slow_after=0.1)
    assert health.look(0.0) is Disk.WORKING and health.may_commit(0.0)
    health.given(1.0)
    assert not health.may_commit(1.0) and health.look(1.05) is Disk.WORKING
    assert health.look(1.2) is Disk.SLOW
    rests = []
    for turn in range(8):
        now = 10.0 * (turn + 1)
        health.refused(now, full=turn % 2 == 0)
        assert health.look(now) is (Disk.FULL if turn % 2 == 0 else Disk.FAILING)
        assert not health.may_commit(now)
        rests.append(health.retry_at - now)
        assert health.may_commit(health.retry_at)
    assert rests == sorted(rests) and rests[-1] == 2.0
    health.passed()
    assert health.look(100.0) is Disk.WORKING


def test_the_store_gathers_while_a_commit_is_under_way_and_moves_its_fence() -> None:
    scheduler, files, fences, states = Scheduler(Clock()), MadeFiles(), list[int](), list[Disk]()
    store = Store(scheduler, WorkerThread(scheduler), a_log(files), 0.1, fences.append, states.append)
    scheduler.after_round.append(store.flush)
    numbers: list[int | None] = []

    def fill(left: int = 50) -> None:
        numbers.append(store.append(b"one of fifty"))
        if left > 1:
            scheduler.after(0.0005, lambda: fill(left - 1))
        if left == 30:
            files.fail = {"sync": [OSError(errno.EIO, "input/output error")] * 2}

    fill()
    begun = time.monotonic()

    def look() -> None:
        if store.fence == 50 or time.monotonic() > begun + 10:
            return scheduler.stop()
        scheduler.after(0.01, look)

    look()
    scheduler.run()
    assert numbers == list(range(1, 51)) and store.fence == 50 and store.settled
    assert fences == sorted(set(fences)) and len(fences) < 50  # groups, and the fence only grows
    assert states == [Disk.FAILING, Disk.WORKING]
    assert recovered(files)[0] == [b"one of fifty"] * 50


def test_the_store_says_when_it_has_no_room() -> None:
    scheduler, files = Scheduler(Clock()), MadeFiles()
    store = Store(scheduler, WorkerThread(scheduler), a_log(files), 0.1, lambda _: None, lambda _: None)
    big = b"x" * (1 << 19)
    assert store.append(big) == 1 and store.append(big) == 2
    assert store.append(big) is None
