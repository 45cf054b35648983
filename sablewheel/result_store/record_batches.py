"""Division of intents, outcomes and whole runs into records of limited size. No I/O.

The log rejects a record over its size limit, so the number of entries in a record depends on their sizes.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from . import result_store_pb2 as pb
from .codec import encode_intent, encode_outcome
from .keyed_runs import KeyedRun, RunState

MAX_BATCH_BYTES = 4 << 20  # entries of one record, unless a single entry is larger
ENTRY_OVERHEAD_BYTES = 8  # at most, of the tag and the length of an entry


@dataclass
class Snapshot:
    """A record with the intents and outcomes of whole runs, and the size of each run in it."""

    record: pb.Record
    runs: list[KeyedRun] = field(default_factory=list)
    run_bytes: list[int] = field(default_factory=list)


def group_records(
    moment: pb.Moment, intents: Sequence[pb.Intent], outcomes: Sequence[pb.Outcome]
) -> list[pb.Record]:
    """Return records with these intents and outcomes in order, at least one record."""
    records, size = [pb.Record(moment=moment)], 0

    def record_for(entry: pb.Intent | pb.Outcome) -> pb.Record:
        """Return the record to which an entry is added, a new one if it does not fit into the last one."""
        nonlocal size
        entry_bytes = entry.ByteSize() + ENTRY_OVERHEAD_BYTES
        if size and size + entry_bytes > MAX_BATCH_BYTES:
            records.append(pb.Record(moment=moment))
            size = 0
        size += entry_bytes
        return records[-1]

    for intent in intents:
        record_for(intent).intents.append(intent)
    for outcome in outcomes:
        record_for(outcome).outcomes.append(outcome)
    return records


def snapshots(moment: pb.Moment, runs: Iterable[KeyedRun]) -> Iterator[Snapshot]:
    """Yield records with these runs in order; a run is never divided."""
    snapshot, size = Snapshot(pb.Record(moment=moment, snapshot=True)), 0
    for run in runs:
        intent = encode_intent(run)
        outcome = None if run.state is RunState.INTENDED else encode_outcome(run)
        run_bytes = intent.ByteSize() + (outcome.ByteSize() if outcome is not None else 0)
        if size and size + run_bytes + 2 * ENTRY_OVERHEAD_BYTES > MAX_BATCH_BYTES:
            yield snapshot
            snapshot, size = Snapshot(pb.Record(moment=moment, snapshot=True)), 0
        size += run_bytes + 2 * ENTRY_OVERHEAD_BYTES
        snapshot.record.intents.append(intent)
        if outcome is not None:
            snapshot.record.outcomes.append(outcome)
        snapshot.runs.append(run)
        snapshot.run_bytes.append(run_bytes)
    if snapshot.runs:
        yield snapshot
