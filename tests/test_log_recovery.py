"""Recovery of the durable log: all bytes of a segment are read, once, and every loss is told."""

from __future__ import annotations

import random
import time

import pytest
from fake_disk import FakeFiles
from hypothesis import given, settings
from hypothesis import strategies as st
from test_storage import open_log, recover

from sablewheel.storage import records
from sablewheel.storage.log import LOG_START, Log

MIB = 1 << 20
MAX_SEARCH_PASSES = 20  # CPU time of a recovery with a search over that of one without


class CountingFiles(FakeFiles):
    """A disk that counts the bytes that are read."""

    def __init__(self, files: FakeFiles) -> None:
        super().__init__()
        self.data = files.data
        self.bytes_read = 0

    def read(self, name: str, offset: int, max_bytes: int) -> bytes:
        data = super().read(name, offset, max_bytes)
        self.bytes_read += len(data)
        return data


def segment_of(payloads: list[bytes], segment_bytes: int = 1 << 30) -> tuple[FakeFiles, str]:
    """Return a disk whose log is one segment with these records, and the segment's name."""
    files = FakeFiles()
    open_log(files, segment_bytes=segment_bytes).commit(payloads)
    (name,) = files.names()
    return files, name


def recovery_cpu_s(files: FakeFiles) -> float:
    """Return the least CPU time of three recoveries."""
    times = []
    for _ in range(3):
        started_at = time.process_time()
        recover(files)
        times.append(time.process_time() - started_at)
    return min(times)


def test_a_segment_of_any_size_is_read_whole() -> None:
    """Recovery read 64 MiB of a file, while a segment may be set to 1 GiB."""
    files, _ = segment_of([b"%d" % number + bytes(MIB) for number in range(70)])
    recovered, log, damage = recover(files)
    assert (len(recovered), damage, log.size_bytes > 70 * MIB) == (70, [], True)


def test_records_behind_any_number_of_damaged_ones_are_found() -> None:
    """The search looked for the next 256 numbers only, and called all bytes behind more lost records torn."""
    files, name = segment_of([b"payload %d" % number for number in range(2000)])
    valid = [item for item in records.scan(bytes(files.data[name]), 1) if isinstance(item, records.Record)]
    files.data[name][valid[100].offset : valid[900].offset] = bytes(valid[900].offset - valid[100].offset)
    recovered, _, damage = recover(files)
    assert len(recovered) == 1200
    assert any(
        name in line and f"bytes {valid[100].offset} to {valid[900].offset}" in line for line in damage
    )


@pytest.mark.parametrize("filler", [b"\0", b"r"])
def test_the_search_behind_damage_is_one_pass(filler: bytes) -> None:
    """The search went over the rest of the segment once for each of 256 numbers, which took seconds."""
    files, name = segment_of([filler * 100_000 for _ in range(80)])
    whole_s = recovery_cpu_s(files)
    files.data[name][200] ^= 1
    counting_files = CountingFiles(files)
    recovered, _, damage = recover(counting_files)
    assert len(recovered) == 79 and len(damage) == 1
    assert counting_files.bytes_read < 2 * len(files.data[name])
    assert recovery_cpu_s(files) < MAX_SEARCH_PASSES * whole_s


@settings(derandomize=True, max_examples=100, deadline=None)
@given(seed=st.integers(0, 10**9))
def test_damage_anywhere_loses_only_the_records_that_it_touches(seed: int) -> None:
    rng = random.Random(seed)
    sizes = [rng.choice([1, 30, 500, 300_000]) for _ in range(rng.randint(2, 12))]
    payloads = [b"%03d" % number + rng.randbytes(size) for number, size in enumerate(sizes)]
    files, name = segment_of(payloads)
    data = files.data[name]
    valid = [item for item in records.scan(bytes(data), 1) if isinstance(item, records.Record)]
    start = rng.randint(records.HEADER_SIZE, len(data) - 1)
    end = min(start + rng.choice([1, 20, 4096]), len(data))
    data[start:end] = bytes(byte ^ 0xFF for byte in data[start:end])
    untouched = [record.payload for record in valid if record.end <= start or record.offset >= end]
    recovered, _, damage = recover(files)
    assert recovered == untouched
    assert damage or end > valid[-1].offset  # damage up to the last record looks like a torn write


def test_a_length_over_the_limit_is_damage_and_its_segment_is_kept() -> None:
    """No interrupted write left such a length; its bytes were called torn and an only segment deleted."""
    files, name = segment_of([b"payload"])
    files.data[name][records.HEADER_SIZE] = 0xFF
    for _ in range(2):  # at the next recovery also
        recovered, _, damage = recover(files)
        assert recovered == [] and name in damage[0] and files.names() == [name]


def test_a_lost_end_of_a_segment_that_is_not_the_last_is_damage() -> None:
    """Its bytes were called torn: what a write at the log's end may be, and one in its middle may not."""
    files = FakeFiles()
    log = open_log(files)
    for number in range(2):
        log.commit([b"payload %d" % (10 * number + index) + bytes(60) for index in range(4)])
    name = files.names()[0]
    files.data[name][-1] ^= 1
    recovered, _, damage = recover(files)
    assert len(recovered) == 7 and len(files.names()) == 2
    assert any(name in line and "hold no valid record" in line for line in damage), damage


def test_an_unfinished_write_before_a_restart_is_no_damage() -> None:
    """The server was killed while it wrote; its next incarnation continues with the same record number."""
    files, name = segment_of([b"payload 1", b"payload 2"])
    del files.data[name][-3:]
    log = open_log(files, b"incarn02")
    log.recover(lambda *_: None)
    log.commit([b"payload 3"])
    recovered, _, damage = recover(files)
    assert (recovered, damage) == ([b"payload 1", b"payload 3"], [])


def test_reading_continues_behind_damage() -> None:
    files, name = segment_of([b"payload %d" % number for number in range(10)])
    log = Log(files, b"test", b"incarn02", 1 << 30)
    log.recover(lambda *_: None)
    files.data[name][records.HEADER_SIZE + records.RECORD.size] ^= 1
    entries, _ = log.read(LOG_START, 1 << 20)
    assert [payload for payload, _ in entries] == [b"payload %d" % number for number in range(1, 10)]
