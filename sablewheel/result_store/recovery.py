"""Reconstruction of the keyed runs from the records of the log, in their order. No I/O.

Windows are rebased whenever the clock readings show that the host was rebooted or its clock was set. So no
clock change shortens a window, and a window that ended before a restart stays ended.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import result_store_pb2 as pb
from .clock_readings import ClockReading, clock_offset_s
from .keyed_runs import KeyedRun, KeyedRunTable, RunState

MIN_CLOCK_STEP_S = 0.05  # smaller differences between two readings are not a clock change
STATES = {pb.WORKED: RunState.SUCCEEDED, pb.FAILED: RunState.FAILED}


@dataclass
class RecoveredRuns:
    """The state after the records applied so far."""

    table: KeyedRunTable
    max_window_s: float
    last_reading: ClockReading | None = None  # clocks of the last record
    last_notice: int = 0  # number of the last notice of the interpreter that was read
    record_numbers: dict[bytes, int] = field(default_factory=dict)  # idempotency key -> record of the intent
    record_count: int = 0
    last_write_at: float | None = None  # by the current clock; None without a record or after a reboot
    rebase_count: int = 0

    def apply(self, number: int, record: pb.Record) -> None:
        """Apply the next record of the log."""
        moment = record.moment
        reading = ClockReading(moment.unix_us / 1e6, moment.boot_us / 1e6, moment.boot)
        self._advance_clock(reading)
        self.record_count += 1
        if record.anew:
            self.last_notice = 0
        for intent in record.intents:
            self._apply_intent(number, intent, reading)
        for outcome in record.outcomes:
            self._apply_outcome(outcome)

    def _apply_intent(self, number: int, intent: pb.Intent, reading: ClockReading) -> None:
        run = KeyedRun(
            idempotency_key=intent.label,
            request_digest=intent.sameness,
            request_name=intent.name,
            request_class=intent.track,
            arrived_at=intent.arrived_us / 1e6,
            expires_at=min(intent.until_us / 1e6, reading.unix_s + self.max_window_s),
        )
        self.table.add(run)
        self.record_numbers[run.idempotency_key] = number

    def _apply_outcome(self, outcome: pb.Outcome) -> None:
        self.last_notice = max(self.last_notice, outcome.notice)
        if outcome.how == pb.NEVER:
            self.table.remove(outcome.label, outcome.name)
        elif outcome.dropped:
            self.table.finish(outcome.label, outcome.name, RunState.RESULT_DROPPED)
        else:
            state = STATES.get(outcome.how, RunState.FAILED)
            self.table.finish(outcome.label, outcome.name, state, outcome.result)

    def finish(self, now: ClockReading) -> None:
        """Rebase all windows to the current clock after the last record."""
        if self.last_reading is not None and self.last_reading.boot_id == now.boot_id:
            self.last_write_at = self.last_reading.unix_s + clock_offset_s(self.last_reading, now)
        self._advance_clock(now)
        self.record_numbers = {key: self.record_numbers[key] for key in self.table.runs}

    def _advance_clock(self, reading: ClockReading) -> None:
        previous, self.last_reading = self.last_reading, reading
        if previous is None:
            return
        offset_s = clock_offset_s(previous, reading)
        if abs(offset_s) > MIN_CLOCK_STEP_S:
            self.table.expire(previous.unix_s)  # windows that ended by the previous clock stay ended
            self.table.shift_clock(offset_s, reading.unix_s + self.max_window_s)
            self.rebase_count += 1
        for run in self.table.expire(reading.unix_s):
            self.record_numbers.pop(run.idempotency_key, None)
