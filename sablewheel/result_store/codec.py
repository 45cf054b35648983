"""Entries as they are written, and a folder read beside its server or written anew while that is down."""

from __future__ import annotations

import os
from pathlib import Path

from google.protobuf.message import DecodeError

from ..storage.files import DiskFiles
from ..storage.log import Log, read_folder
from . import result_store_pb2 as pb
from .memory import Entry, Memory, State
from .recovery import Loaded
from .windows import Moment

KIND = b"recall"
GROUP = 1000  # entries in one record
HOW = {State.WORKED: pb.WORKED, State.DROPPED: pb.WORKED, State.FAILED: pb.FAILED}


def load_folder(folder: Path, longest: float, now: Moment) -> tuple[Loaded, list[str]]:
    """What a start would remember, without bounds, and what is wrong with the folder."""
    notes: list[str] = []
    loaded = Loaded(Memory(1 << 40, 1 << 50), longest)
    for number, payload in read_folder(folder, KIND, notes):
        try:
            loaded.take(number, pb.Record.FromString(payload))
        except DecodeError:
            notes.append(f"{folder}, record {number}: not a record of this program")
    loaded.finish(now)
    return loaded, notes


def intent(entry: Entry) -> pb.Intent:
    """An entry's intent as it is written."""
    return pb.Intent(
        label=entry.idempotency_key,
        sameness=entry.sameness,
        name=entry.name,
        track=entry.request_class,
        arrived_us=round(entry.arrived * 1e6),
        until_us=round(entry.until * 1e6),
    )


def outcome(entry: Entry) -> pb.Outcome:
    """An entry's outcome as it is written; only of one that has one."""
    return pb.Outcome(
        label=entry.idempotency_key,
        name=entry.name,
        how=HOW[entry.state],
        result=entry.result,
        dropped=entry.state is State.DROPPED,
    )


def moment(told: Moment) -> pb.Moment:
    """A reading of the clocks as it is written."""
    return pb.Moment(unix_us=round(told.unix * 1e6), boot_us=round(told.since_boot * 1e6), boot=told.boot)


def compact_folder(folder: Path, longest: float, now: Moment) -> tuple[int, int, int]:
    """Bytes before and after, idempotency keys kept. Takes the lock; what is old goes only once the new
    is durable.
    """
    files = DiskFiles(folder)
    try:
        log = Log(files, KIND, os.urandom(8), 1 << 50)
        loaded = Loaded(Memory(1 << 40, 1 << 50), longest)
        log.recover(lambda number, payload, _: loaded.take(number, pb.Record.FromString(payload)))
        loaded.finish(now)
        before, last = log.size_bytes, log.last_number
        entries = sorted(loaded.memory.entries.values(), key=lambda one: one.until)
        for first in range(0, max(len(entries), 1), GROUP):
            some = entries[first : first + GROUP]
            record = pb.Record(moment=moment(now), snapshot=True)
            record.intents.extend(intent(one) for one in some)
            record.outcomes.extend(outcome(one) for one in some if one.state is not State.INTENDED)
            if first == 0:  # the last notice that was read goes on to be known
                record.outcomes.append(pb.Outcome(how=pb.FAILED, notice=loaded.notice))
            log.commit([record.SerializeToString()])
        log.release_through(last)
        return before, log.size_bytes, len(entries)
    finally:
        files.close()
