"""The server with a deliberately faulty result store; the trial must detect each variant.

python -m sablewheel.experiments.faulty_server VARIANT (a key of `VARIANTS`)
"""

from __future__ import annotations

import runpy
import sys

from ..result_store import record_batches, recorder
from ..result_store import recovery as loading
from ..result_store.clock_readings import ClockReading
from ..result_store.keyed_runs import KeyedRun, KeyedRunTable
from ..result_store.recorder import Recorder
from ..result_store.run_log import StartRun
from ..serving.exchange import Caller, Exchange
from ..storage import group_commit, records
from .replaced_parts import announce, replace_part

ONE_RECORD_LIMIT_BYTES = 2 << 20  # below the size of the live runs of a trial's server


def no_intent() -> None:
    """Send runs at once, without writing an intent before them."""

    def before_run(self: Recorder, exchange: Exchange, run: StartRun) -> None:
        run(exchange)

    def reserve(self: Recorder, exchange: Exchange) -> None:
        pass

    Recorder.before_run = before_run  # type: ignore[method-assign]
    Recorder.reserve = reserve  # type: ignore[method-assign]


def answer_before_outcome() -> None:
    """Send answers without waiting for their outcome to be stored."""

    def completed(self: Recorder, exchange: Exchange, result: bytes, caller: Caller) -> None:
        self._inner.completed(exchange, result, caller)

    Recorder.completed = completed  # type: ignore[method-assign]


def evict_intents() -> None:
    """Evict the oldest runs beyond the limit, and always report free capacity."""
    add = KeyedRunTable.add

    def evicting(self: KeyedRunTable, run: KeyedRun) -> None:
        while len(self.runs) >= self._max_runs:
            self._delete(next(iter(self.runs.values())))
        add(self, run)

    def capacity_in_s(self: KeyedRunTable, now: float, reserved: int = 0) -> float:
        return 0.0

    KeyedRunTable.add = evicting  # type: ignore[method-assign]
    KeyedRunTable.capacity_in_s = capacity_in_s  # type: ignore[method-assign]


def trust_clock() -> None:
    """Take times from the wall clock without correcting for clock steps."""

    def clock_offset_s(then: ClockReading, now: ClockReading) -> float:
        return 0.0

    replace_part(loading, "clock_offset_s", clock_offset_s)


def one_record() -> None:
    """Write all runs of a compaction in one record, and read no record over `ONE_RECORD_LIMIT_BYTES`."""
    record_at = records.SegmentReader._record_at
    was_used = False

    def limited(self: records.SegmentReader, offset: int, last_number: int) -> records.Record | None:
        record = record_at(self, offset, last_number)
        return None if record is not None and len(record.payload) > ONE_RECORD_LIMIT_BYTES else record

    def unchecked(payload: bytes) -> None:
        nonlocal was_used
        if len(payload) > ONE_RECORD_LIMIT_BYTES and not was_used:
            was_used = True
            announce("one-record")

    records.SegmentReader._record_at = limited  # type: ignore[method-assign]
    replace_part(records, "check_payload", unchecked)
    replace_part(group_commit, "check_payload", unchecked)
    replace_part(record_batches, "MAX_BATCH_BYTES", 1 << 40)


VARIANTS = {
    "no-intent": no_intent,
    "answer-before-outcome": answer_before_outcome,
    "evict-intents": evict_intents,
    "trust-clock": trust_clock,
    "one-record": one_record,
}

if __name__ == "__main__":
    VARIANTS[sys.argv[1]]()
    assert recorder.Recorder is Recorder
    sys.argv = sys.argv[:1]
    runpy.run_module("sablewheel", run_name="__main__")
