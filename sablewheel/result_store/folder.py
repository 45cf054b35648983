"""Command-line access to a server's folder: read it at any time, or compact it while the server is down."""

from __future__ import annotations

import os
from pathlib import Path

from google.protobuf.message import DecodeError

from ..storage.files import DiskFiles
from ..storage.log import Log, read_folder
from . import result_store_pb2 as pb
from .clock_readings import ClockReading
from .codec import LOG_KIND, encode_clock_reading, encode_intent, encode_outcome
from .keyed_runs import KeyedRunTable, RunState
from .recovery import RecoveredRuns

RUNS_PER_RECORD = 1000
UNBOUNDED = 1 << 50  # no limit on runs or bytes


def load_folder(folder: Path, max_window_s: float, now: ClockReading) -> tuple[RecoveredRuns, list[str]]:
    """Return the runs that a start would recover, without capacity limits, and the faults of the folder."""
    notes: list[str] = []
    recovered = _unbounded_runs(max_window_s)
    for number, payload in read_folder(folder, LOG_KIND, notes):
        try:
            recovered.apply(number, pb.Record.FromString(payload))
        except DecodeError:
            notes.append(f"{folder}, record {number}: cannot be decoded")
    recovered.finish(now)
    return recovered, notes


def compact_folder(folder: Path, max_window_s: float, now: ClockReading) -> tuple[int, int, int]:
    """Write the runs with open windows to new records and delete the older ones, holding the folder's lock.

    Returns:
        The size of the log in bytes before and after, and the number of runs that were written.

    Raises:
        InUseError: A server or another command has locked the folder.
    """
    files = DiskFiles(folder)
    try:
        log = Log(files, LOG_KIND, os.urandom(8), UNBOUNDED)
        recovered = _unbounded_runs(max_window_s)
        log.recover(lambda number, payload, _: recovered.apply(number, pb.Record.FromString(payload)))
        recovered.finish(now)
        bytes_before, last_record = log.size_bytes, log.last_number
        runs = sorted(recovered.table.runs.values(), key=lambda run: run.expires_at)
        for start in range(0, max(len(runs), 1), RUNS_PER_RECORD):
            batch = runs[start : start + RUNS_PER_RECORD]
            record = pb.Record(moment=encode_clock_reading(now), snapshot=True)
            record.intents.extend(encode_intent(run) for run in batch)
            finished = (run for run in batch if run.state is not RunState.INTENDED)
            record.outcomes.extend(encode_outcome(run) for run in finished)
            if start == 0:  # preserve the number of the last notice that was read
                record.outcomes.append(pb.Outcome(how=pb.FAILED, notice=recovered.last_notice))
            log.commit([record.SerializeToString()])
        log.release_through(last_record)
        return bytes_before, log.size_bytes, len(runs)
    finally:
        files.close()


def _unbounded_runs(max_window_s: float) -> RecoveredRuns:
    return RecoveredRuns(KeyedRunTable(UNBOUNDED, UNBOUNDED), max_window_s)
