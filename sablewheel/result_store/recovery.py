"""From the log's records to what is remembered after a start: a fold over records, in their order. Pure.

Windows are rebased whenever the clocks say that the machine was started anew or its clock was set, so that a
window is never cut short by a clock, and what was over before a restart stays over.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from . import result_store_pb2 as pb
from .memory import Entry, Memory, State
from .windows import Moment, shift

STEP_LEAST = 0.05  # seconds by which two readings of the clocks may differ without anybody having set one
HOW = {pb.WORKED: State.WORKED, pb.FAILED: State.FAILED}


@dataclass
class Loaded:
    """The result: `last` is when the last record was written, `notice` the last notice known to be read."""

    memory: Memory
    longest: float
    last: Moment | None = None
    notice: int = 0
    numbers: dict[bytes, int] = field(
        default_factory=dict
    )  # of the record that holds an idempotency key's intent
    records: int = 0
    written: float | None = None  # when the last record was, by the clock of now; None: none, or another boot
    rebased: int = 0

    def take(self, number: int, record: pb.Record) -> None:
        """The next record of the log."""
        told = record.moment
        moment = Moment(told.unix_us / 1e6, told.boot_us / 1e6, told.boot)
        self._advance(moment)
        self.records += 1
        if record.anew:
            self.notice = 0
        for intent in record.intents:
            entry = Entry(
                intent.label,
                intent.sameness,
                intent.name,
                intent.track,
                intent.arrived_us / 1e6,
                min(intent.until_us / 1e6, moment.unix + self.longest),
            )
            self.memory.intend(entry)
            self.numbers[entry.idempotency_key] = number
        for outcome in record.outcomes:
            self.notice = max(self.notice, outcome.notice)
            if outcome.how == pb.NEVER:
                self.memory.forget(outcome.label, outcome.name)
            elif outcome.dropped:
                self.memory.end(outcome.label, outcome.name, State.DROPPED)
            else:
                self.memory.end(
                    outcome.label, outcome.name, HOW.get(outcome.how, State.FAILED), outcome.result
                )

    def finish(self, now: Moment) -> None:
        """The log is at its end: windows by the clock of now."""
        if self.last is not None and self.last.boot == now.boot:
            self.written = self.last.unix + shift(self.last, now)
        self._advance(now)
        self.numbers = {
            idempotency_key: self.numbers[idempotency_key] for idempotency_key in self.memory.entries
        }

    def _advance(self, moment: Moment) -> None:
        before, self.last = self.last, moment
        if before is None:
            return
        by = shift(before, moment)
        if abs(by) > STEP_LEAST:
            self.memory.expire(before.unix)  # what was over by the old clock stays over
            self.memory.rebase(by, moment.unix + self.longest)
            self.rebased += 1
        for entry in self.memory.expire(moment.unix):
            self.numbers.pop(entry.idempotency_key, None)
