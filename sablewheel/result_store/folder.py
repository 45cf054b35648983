"""Command-line access to a server's folder: read it at any time, or compact it while the server is down."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

from google.protobuf.message import DecodeError

from ..storage.files import DiskFiles
from ..storage.folder_reader import read_folder
from ..storage.log import Log, LogPosition
from . import result_store_pb2 as pb
from .clock_readings import ClockReading
from .codec import LOG_KIND, encode_clock_reading
from .keyed_runs import KeyedRunTable, RunState
from .record_batches import snapshots
from .recovery import RecoveredRuns

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


@dataclass(frozen=True)
class FolderCompaction:
    """The result of a compaction.

    Attributes:
        bytes_before: The size of the log before it.
        bytes_after: The size of the log after it.
        run_count: The number of runs that were written.
        damages: Descriptions of the bytes that could not be read. Files without any readable record are left.
    """

    bytes_before: int
    bytes_after: int
    run_count: int
    damages: list[str]


class UnverifiedCompactionError(Exception):
    """The new records of a compaction do not have the runs that were written; nothing was deleted."""


def compact_folder(folder: Path, max_window_s: float, now: ClockReading) -> FolderCompaction:
    """Write the runs with open windows to new records and delete the older ones, holding the folder's lock.

    Raises:
        InUseError: A server or another command has locked the folder.
        CommitError: The new records cannot be written; nothing was deleted.
        UnverifiedCompactionError: The new records cannot be read back.
    """
    files = DiskFiles(folder)
    try:
        log = Log(files, LOG_KIND, os.urandom(8), UNBOUNDED)
        recovered = _unbounded_runs(max_window_s)
        report = log.recover(
            lambda number, payload, _: recovered.apply(number, pb.Record.FromString(payload))
        )
        recovered.finish(now)
        bytes_before, last_record, new_records = log.size_bytes, log.last_number, log.next_segment
        _write_runs(log, recovered, encode_clock_reading(now))
        _check_written_runs(log, new_records, recovered, max_window_s, now)
        log.release_through(last_record)
        return FolderCompaction(bytes_before, log.size_bytes, len(recovered.table.runs), report.damage)
    finally:
        files.close()


def _write_runs(log: Log, recovered: RecoveredRuns, moment: pb.Moment) -> None:
    """Write the runs, after a record with the number of the last notice that was read."""
    last_notice = pb.Outcome(how=pb.FAILED, notice=recovered.last_notice)
    log.commit([pb.Record(moment=moment, snapshot=True, outcomes=[last_notice]).SerializeToString()])
    runs = sorted(recovered.table.runs.values(), key=lambda run: run.expires_at)
    for snapshot in snapshots(moment, runs):
        log.commit([snapshot.record.SerializeToString()])


def _check_written_runs(
    log: Log, start: LogPosition, recovered: RecoveredRuns, max_window_s: float, now: ClockReading
) -> None:
    """Read the new records and compare their runs with those that were written."""
    written = _unbounded_runs(max_window_s)
    entries, _ = log.read(start, UNBOUNDED)
    for number, (payload, _) in enumerate(entries):
        written.apply(number, pb.Record.FromString(payload))
    written.finish(now)
    if _contents(written) != _contents(recovered):
        counts = f"{len(written.table.runs)} of {len(recovered.table.runs)}"
        raise UnverifiedCompactionError(f"{counts} runs could be read back; nothing was deleted")


def _contents(recovered: RecoveredRuns) -> tuple[int, dict[bytes, tuple[bytes, RunState, bytes]]]:
    """Return what is compared: the number of the last notice, and each run's name, state and result."""
    runs = recovered.table.runs.items()
    return recovered.last_notice, {key: (run.request_name, run.state, run.result) for key, run in runs}


def _unbounded_runs(max_window_s: float) -> RecoveredRuns:
    return RecoveredRuns(KeyedRunTable(UNBOUNDED, UNBOUNDED), max_window_s)
