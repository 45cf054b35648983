"""The log of intents and outcomes: when they are written, and which runs wait until they are durable."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from ..serving.exchange import Exchange
from ..storage.group_commit import GroupCommitLog
from ..storage.health import DiskState
from ..transport.scheduler import Scheduler
from . import result_store_pb2 as pb
from .clock_readings import ClockReading
from .codec import encode_clock_reading, encode_intent
from .keyed_runs import KeyedRun, KeyedRunTable
from .log_compaction import CompactionPlanner
from .record_batches import group_records, snapshots

MAX_COMMIT_TIMES = 50  # how many recent commits are used to estimate the duration of the next one
COMMIT_TIME_QUANTILE = 0.9

log = logging.getLogger(__name__)

StartRun = Callable[[Exchange], None]


@dataclass(slots=True, eq=False)
class WaitingRun:
    """A run that waits until its intent is durable."""

    exchange: Exchange
    start: StartRun


class PendingGroup(NamedTuple):
    """Records that are being made durable by one commit."""

    last_number: int
    outcome_count: int  # all outcomes up to these records
    waiting_runs: list[WaitingRun]  # runs that start when the records are durable


class RunLog:
    """Collects intents and outcomes, and writes them with one commit whenever the store is idle.

    Invariant: a waiting run starts only once the record of its intent is durable, and `durable_outcome_count`
    never includes an outcome that is not durable.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        commit_interval_s: float,
        table: KeyedRunTable,
        planner: CompactionPlanner,
        read_clocks: Callable[[], ClockReading],
        on_outcomes_durable: Callable[[int], None],
        on_intent_durable: Callable[[WaitingRun], None],
    ) -> None:
        """Create a log without a store: nothing is written until `open`.

        Args:
            scheduler: Starts a round for the next commit.
            commit_interval_s: The minimum time between two commits.
            table: The keyed runs.
            planner: Receives the record number and size of each stored run.
            read_clocks: Reads the clocks for each record.
            on_outcomes_durable: Called with the number of durable outcomes.
            on_intent_durable: Called for each waiting run when its intent is durable.
        """
        self._scheduler, self._commit_interval_s = scheduler, commit_interval_s
        self._table, self._planner, self._read_clocks = table, planner, read_clocks
        self._on_outcomes_durable, self._on_intent_durable = on_outcomes_durable, on_intent_durable
        self.store: GroupCommitLog | None = None
        self._intents: list[KeyedRun] = []
        self._outcomes: list[pb.Outcome] = []
        self._waiting_runs: list[WaitingRun] = []
        self._pending_groups: deque[PendingGroup] = deque()
        self.outcome_count = self.durable_outcome_count = 0
        self._last_commit_at = self._commit_started_at = 0.0
        self._commit_times_s: deque[float] = deque(maxlen=MAX_COMMIT_TIMES)
        self._are_notices_renumbered = False

    def open(self, store: GroupCommitLog) -> None:
        """Write to a store from now on."""
        self.store = store

    # -- unwritten intents and outcomes

    @property
    def has_unwritten(self) -> bool:
        """Whether there are intents or outcomes that are not written yet."""
        return bool(self._intents or self._outcomes)

    def renumber_notices(self) -> None:
        """Record, with the next record, that the interpreter restarts the numbering of its notices."""
        self._are_notices_renumbered = self.store is not None

    def add_intent(self, run: KeyedRun) -> None:
        """Write the intent of a run with the next record."""
        self._intents.append(run)

    def cancel_intent(self, run: KeyedRun) -> bool:
        """Remove an intent that is not written yet; return False if it is already written."""
        if run not in self._intents:
            return False
        self._intents.remove(run)
        return True

    def add_outcome(self, outcome: pb.Outcome) -> None:
        """Write an outcome with the next record."""
        self._outcomes.append(outcome)

    def count_outcome(self) -> None:
        """Count an outcome: answers from now on wait until all current outcomes are durable."""
        self.outcome_count += 1

    def is_intent_durable(self, run: KeyedRun) -> bool:
        """Return whether the intent of a run is durable, so that the run may start."""
        return self.store is not None and 0 < run.intent_record <= self.store.durable_through

    def wait_for_intent(self, run: KeyedRun, waiting_run: WaitingRun) -> None:
        """Delay a run until the record of its intent is durable."""
        waiting_runs = self._waiting_runs
        if run.intent_record:
            for group in reversed(self._pending_groups):
                if run.intent_record <= group.last_number:
                    waiting_runs = group.waiting_runs
        waiting_runs.append(waiting_run)

    # -- commits

    def commit_wait_s(self, now: float) -> float:
        """Estimate the seconds until a new intent is durable.

        The estimate is the `COMMIT_TIME_QUANTILE` of recent commits, or the duration of the current commit
        if that is longer, plus the commit interval.
        """
        ranked = sorted(self._commit_times_s)
        expected_s = ranked[int(COMMIT_TIME_QUANTILE * len(ranked))] if ranked else 0.0
        current_s = now - self._commit_started_at if self._commit_started_at else 0.0
        return max(expected_s, current_s) + self._commit_interval_s

    def end_round(self, *, is_shutting_down: bool) -> None:
        """Write the collected intents and outcomes, unless the last commit was too recent."""
        store = self.store
        if store is None:
            return
        now, due_at = self._scheduler.clock.now, self._last_commit_at + self._commit_interval_s
        if (self.has_unwritten or self._are_notices_renumbered) and store.idle:
            if now >= due_at or is_shutting_down:
                self._write(store, now)
            else:
                self._scheduler.after(due_at - now, lambda: None)
        store.flush()

    def _write(self, store: GroupCommitLog, now: float) -> None:
        """Write all collected intents and outcomes, in as many records as their sizes need."""
        moment = encode_clock_reading(self._read_clocks())
        records = group_records(moment, [encode_intent(run) for run in self._intents], self._outcomes)
        records[0].anew = self._are_notices_renumbered
        self._are_notices_renumbered = False
        first_number = store.append_group([record.SerializeToString() for record in records])
        assert first_number is not None  # the store was idle
        unnumbered_runs = iter(self._intents)
        for number, record in enumerate(records, first_number):
            for intent in record.intents:
                self._track(next(unnumbered_runs), number, intent.ByteSize())
        for outcome in self._outcomes:
            self._planner.add_size(outcome.label, outcome.ByteSize())
        last_number = first_number + len(records) - 1
        self._pending_groups.append(PendingGroup(last_number, self.outcome_count, self._waiting_runs))
        self._intents, self._outcomes, self._waiting_runs = [], [], []
        self._last_commit_at = self._commit_started_at = now

    def _track(self, run: KeyedRun, number: int, intent_bytes: int) -> None:
        """Note which record has the intent of a run."""
        run.intent_record = number
        if self._table.runs.get(run.idempotency_key) is run:
            self._planner.add(run.idempotency_key, number, intent_bytes)

    def on_records_durable(self, number: int) -> None:
        """Start runs and release answers that wait for the records up to a number, which are now durable."""
        if self._commit_started_at:
            self._commit_times_s.append(self._scheduler.clock.now - self._commit_started_at)
            self._commit_started_at = 0.0
        waiting_runs: list[WaitingRun] = []
        while self._pending_groups and self._pending_groups[0].last_number <= number:
            group = self._pending_groups.popleft()
            self.durable_outcome_count = group.outcome_count
            waiting_runs += group.waiting_runs
        self._on_outcomes_durable(self.durable_outcome_count)
        for waiting_run in waiting_runs:
            self._on_intent_durable(waiting_run)

    # -- compaction

    def release_unneeded_segments(self) -> bool:
        """Release the oldest segments without live runs; return whether a compaction is in progress."""
        store = self.store
        if store is None:
            return False
        store.release_through(self._planner.oldest_needed_record(store.durable_through) - 1)
        was_compacting = self._planner.is_compacting
        is_compacting = self._planner.maybe_begin_pass(store.size_bytes, store.last_number)
        if is_compacting and not was_compacting:
            self._log_compaction("compaction started", store)
        return is_compacting

    def _log_compaction(self, event: str, store: GroupCommitLog) -> None:
        pairs = {"log_bytes": store.size_bytes, "live_bytes": self._planner.live_bytes}
        log.info(event, extra={"pairs": pairs})

    def compact_batch(self) -> bool:
        """Rewrite the oldest live runs if there is nothing else to write; return whether any were written."""
        store = self.store
        if store is None or not store.idle or self.has_unwritten:
            return False
        runs = self._table.runs
        batch = [runs[key] for key in self._planner.next_batch(store.size_bytes) if key in runs]
        if not self._planner.is_compacting:
            self._log_compaction("compaction finished", store)
        snapshot = next(snapshots(encode_clock_reading(self._read_clocks()), batch), None)
        if snapshot is None:
            return False
        number = store.append(snapshot.record.SerializeToString())
        if number is None:
            return False
        for run, run_bytes in zip(snapshot.runs, snapshot.run_bytes, strict=True):
            self._planner.add(run.idempotency_key, number, run_bytes)
        self._pending_groups.append(PendingGroup(number, self.outcome_count, []))
        store.flush()
        return True

    # -- shutdown

    @property
    def is_disk_failing(self) -> bool:
        """Whether the disk is full or failing, so that nothing can be made durable."""
        return self.store is not None and self.store.disk_state in (DiskState.FULL, DiskState.FAILING)

    def is_settled(self) -> bool:
        """Return whether all intents and outcomes are durable."""
        return self.store is None or (not self.has_unwritten and self.store.all_durable)

    def close(self) -> None:
        """Write the remaining intents and outcomes and close the store."""
        store = self.store
        if store is None:
            return
        if self.has_unwritten and store.idle:
            self._write(store, self._scheduler.clock.now)
        store.flush()
        store.close()
