"""The result store of one server: writes an intent before each keyed run and an outcome after it.

A keyed run starts when its intent is durable, and its answer is sent when its outcome is durable. So after a
kill at any moment, a retry finds the result of the original request, or that it may have run. The retry does
not run again within the idempotency window.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from math import inf
from pathlib import Path

from ..overload.interface import Idempotency, Outcome, Request, RequestClass, Stage
from ..serving.delayed_answers import DelayedAnswer, DelayedAnswers
from ..serving.exchange import Caller, Exchange, ExchangeState, RequestObserver, digest
from ..serving.idempotency_keys import IdempotencyTable
from ..storage.group_commit import GroupCommitLog
from ..storage.health import DiskState
from ..transport.background import Background
from ..transport.scheduler import Scheduler
from ..transport.worker_thread import WorkerThread
from . import result_store_pb2 as pb
from .clock_readings import ClockReading, read_clocks
from .codec import encode_outcome
from .cold_start import may_have_run, ready_at
from .keyed_runs import KeyedRun, KeyedRunTable, RunState
from .log_compaction import CompactionPlanner
from .plan import ColdStartRule, ResultStorePlan
from .recovery import RecoveredRuns
from .run_log import RunLog, StartRun, WaitingRun
from .startup import RecoveredFolder, UnreadableFolderError, finished_exchange, read_folder_in_background

SLOW_COMMIT_S = 0.1
MAX_RECOVERY_WAIT_S = 10.0  # then requests that are not keyed are served without the folder
SWEEP_INTERVAL_S = 0.25
DISK_FULL_RETRY_S = 1.0
RECOVERED_RUN_BYTES = 150  # estimated size on disk of a recovered run without its result
MAX_LOGGED_DAMAGES = 20

log = logging.getLogger(__name__)


class Recorder:
    """Stores the keyed runs of one server, and delays their answers as an observer that wraps another one."""

    def __init__(
        self,
        scheduler: Scheduler,
        background: Background,
        worker_thread: WorkerThread | None,
        plan: ResultStorePlan,
        incarnation: bytes,
        request_classes: dict[bytes, RequestClass],
        inner: RequestObserver,
        on_never_started: StartRun,
        on_recovery_finished: Callable[[], None],
        on_start_failed: Callable[[str], None],
        count: Callable[[str], None],
        clock_reader: Callable[[], ClockReading] | None = None,
    ) -> None:
        """Begin to recover the folder, if there is one.

        Args:
            scheduler: Runs the timers.
            background: Runs the compaction.
            worker_thread: The worker thread; required with a folder.
            plan: The settings.
            incarnation: The identifier of this incarnation of the server.
            request_classes: The request classes by name.
            inner: The wrapped observer, which receives all calls.
            on_never_started: Called with an exchange whose run does not start since no client waits for it.
            on_recovery_finished: Called when the folder is recovered.
            on_start_failed: Called with the reason why the server must not start.
            count: Increments a counter.
            clock_reader: Reads the clocks; `read_clocks` by default.
        """
        self._scheduler, self._plan, self._count, self._inner = scheduler, plan, count, inner
        self._on_never_started, self._on_recovery_finished, self._on_start_failed = (
            on_never_started,
            on_recovery_finished,
            on_start_failed,
        )
        self._request_classes, self._worker_thread = request_classes, worker_thread
        self._read_clocks = clock_reader or (lambda: read_clocks(scheduler.clock))
        keyed_classes = [
            request_class
            for request_class in request_classes.values()
            if request_class.idempotency is Idempotency.KEYED
        ]
        self._max_window_s = max(
            (request_class.idempotency_window_s for request_class in keyed_classes), default=0.0
        )
        self.started_at = scheduler.clock.now
        self._table = KeyedRunTable(plan.max_runs, plan.max_bytes)
        self._planner = CompactionPlanner(plan.segment_bytes)
        self._delayed_answers = DelayedAnswers(scheduler, plan.max_answer_delay_s, self._release_answer)
        self._run_log = RunLog(
            scheduler,
            plan.commit_interval_s,
            self._table,
            self._planner,
            self._read_clocks,
            self._delayed_answers.durable,
            self._start_waiting_run,
        )
        self._is_shutting_down = self._is_damaged = False
        self._prepared_count = 0  # requests prepared in this round, each of which may add a run
        self._adopted_runs: dict[bytes, Exchange] = {}
        self.last_notice = 0
        self._last_write_at: float | None = None  # by the previous incarnation, in current clock time
        self.ready = plan.folder is None
        if plan.folder is not None:
            self._recover(plan.folder, incarnation)
        self._compaction = background.add("recall carry", 3, 0.1, self._compact)
        self._background = background
        scheduler.after(SWEEP_INTERVAL_S, self._sweep)

    # -- recovery

    def _recover(self, folder: Path, incarnation: bytes) -> None:
        """Recover the folder on the worker thread.

        The server says that it is not up meanwhile, since keyed requests would wait and then fail. After
        `MAX_RECOVERY_WAIT_S` it serves the others.
        """
        assert self._worker_thread is not None
        runs = RecoveredRuns(self._table, self._max_window_s)
        read_folder_in_background(
            self._worker_thread, self._plan, folder, incarnation, runs, self._on_folder_read
        )

    def _on_folder_read(self, folder: RecoveredFolder | UnreadableFolderError) -> None:
        if isinstance(folder, UnreadableFolderError):
            self._on_start_failed(str(folder))
            return
        self._is_damaged = bool(folder.damages)
        for damage in folder.damages[:MAX_LOGGED_DAMAGES]:
            self._count("recall_damage")
            log.error("result store damaged", extra={"pairs": {"where": f"{self._plan.folder}/{damage}"}})
        if folder.report.sync_error:
            where = f"{self._plan.folder}/{folder.report.sync_error}"
            log.error("recovered records not synced", extra={"pairs": {"where": where}})
        self._use_folder(folder)
        pairs = {
            "records": folder.report.records,
            "labels": len(self._table.runs),
            "rebased": folder.runs.rebase_count,
            "torn_bytes": folder.report.torn_bytes,
            "damaged": len(folder.report.damage),
            "took": round(folder.duration_s, 4),
        }
        log.info("result store recovered", extra={"pairs": pairs})
        self.ready = True
        self._on_recovery_finished()

    def _use_folder(self, folder: RecoveredFolder) -> None:
        """Use the recovered runs, and write to the log of the folder from now on."""
        assert self._worker_thread is not None
        runs = folder.runs
        runs.finish(self._read_clocks())
        self._last_write_at = runs.last_write_at
        self.last_notice = runs.last_notice if self._plan.interpreter_survives else 0
        for idempotency_key in sorted(runs.record_numbers, key=runs.record_numbers.__getitem__):
            size = RECOVERED_RUN_BYTES + len(self._table.runs[idempotency_key].result)
            self._planner.add(idempotency_key, runs.record_numbers[idempotency_key], size)
        scheduler, on_records_durable = self._scheduler, self._run_log.on_records_durable
        store = GroupCommitLog(
            scheduler,
            self._worker_thread,
            folder.log,
            SLOW_COMMIT_S,
            on_records_durable,
            self._on_disk_state_changed,
            {"feature": "recall", "folder": self._plan.folder},
        )
        self._run_log.open(store)

    def recover_keys(
        self, interpreter_started_at: float, idempotency_keys: IdempotencyTable
    ) -> list[tuple[Request, float]]:
        """Add the recovered runs to the idempotency table once the interpreter is up.

        If the interpreter has been running since the previous incarnation of the server, a run without an
        outcome is adopted and its end is awaited. Otherwise it may have run or not, and its retries get a
        final error.

        Args:
            interpreter_started_at: When the interpreter started.
            idempotency_keys: The table to fill.

        Returns:
            The finished requests, each with the remaining lifetime of its idempotency key in seconds.
        """
        now, recovered = self._scheduler.clock.now, []
        last_write_at = self._last_write_at
        interpreter_survived = (
            self._plan.interpreter_survives
            and last_write_at is not None
            and interpreter_started_at < last_write_at
        )
        if not interpreter_survived:
            self.last_notice = 0
            self._run_log.renumber_notices()
        for run in sorted(self._table.runs.values(), key=lambda run: run.expires_at):
            request_class = self._request_classes.get(run.request_class.encode())
            if request_class is None:
                continue
            if run.state is RunState.INTENDED and not interpreter_survived:
                run.state = RunState.FAILED
                self._run_log.add_outcome(encode_outcome(run))
                self._count("recall_unknown")
            exchange = finished_exchange(run, request_class)
            if run.state is RunState.INTENDED:
                exchange.state = ExchangeState.RUNNING
                self._adopted_runs[run.request_name] = exchange
                self._count("recall_adopted")
            remaining_s = run.expires_at - now
            idempotency_keys.reserve(exchange, now, remaining_s)
            if run.state is RunState.SUCCEEDED:
                idempotency_keys.store_result(exchange, run.result)
            recovered.append((exchange.request, remaining_s))
            self._count("recall_labels")
        return recovered

    def runs_to_adopt(self) -> tuple[list[Exchange], int]:
        """Return the recovered runs that may still end, and the number of the last notice that was read."""
        return list(self._adopted_runs.values()), self.last_notice

    def up_at(self) -> float:
        """Return the time from which the server may report that it is up; infinity if not known yet."""
        plan = self._plan
        if not self.ready:
            # The recovery may decide which notices to request, or whether to wait.
            is_decisive = plan.interpreter_survives or plan.cold_start is ColdStartRule.WAIT
            return inf if is_decisive else self.started_at + MAX_RECOVERY_WAIT_S
        is_recovered = self._run_log.store is not None and self._last_write_at is not None
        if is_recovered and not self._is_damaged:
            return self.started_at
        return ready_at(plan.cold_start, self.started_at, self._max_window_s)

    # -- before a run

    def may_have_run(self, exchange: Exchange) -> bool:
        """Return whether a keyed request without a stored run may have run in an earlier incarnation."""
        rule, request = self._plan.cold_start, exchange.request
        is_recovered = self._run_log.store is not None and not self._is_damaged
        if rule in (ColdStartRule.RUN, ColdStartRule.WAIT) or is_recovered:
            return False
        window_s, now = request.request_class.idempotency_window_s, self._scheduler.clock.now
        if may_have_run(rule, self.started_at, request.arrived_at, window_s, now):
            self._count("recall_cold_terminated")
            return True
        return False

    def prepare(self, exchange: Exchange) -> None:
        """Set the expected wait for a durable intent, and the time until there is capacity for another run.

        The controller compares both with the deadline of the request.
        """
        if self._run_log.store is None:
            return
        now, request = self._scheduler.clock.now, exchange.request
        self._expire(now)
        request.extra_wait_s = self._run_log.commit_wait_s(now)
        if self._run_log.is_disk_failing:
            request.key_capacity_in_s = DISK_FULL_RETRY_S
        else:
            request.key_capacity_in_s = self._table.capacity_in_s(now, self._prepared_count)
            self._prepared_count += 1
        if request.key_capacity_in_s:
            self._count("recall_no_room")

    def reserve(self, exchange: Exchange) -> None:
        """Store the intent of a keyed request, so that it is committed while the request is queued."""
        request, idempotency_key = exchange.request, exchange.idempotency_key
        if self._run_log.store is None or idempotency_key is None or not _is_keyed(exchange):
            return
        run = KeyedRun(
            idempotency_key=idempotency_key,
            request_digest=digest(exchange.request_class, exchange.body),
            request_name=exchange.name,
            request_class=exchange.request_class.decode("utf-8", "replace"),
            arrived_at=request.arrived_at,
            expires_at=request.arrived_at + request.request_class.idempotency_window_s,
        )
        self._table.add(run)
        self._run_log.add_intent(run)

    def release(self, exchange: Exchange) -> None:
        """Free the idempotency key of a request that will not run on this server."""
        run = self._find_run(exchange)
        if run is None or run.state is not RunState.INTENDED:
            return
        if not self._run_log.cancel_intent(run):
            outcome = pb.Outcome(
                label=run.idempotency_key, name=run.request_name, how=pb.NEVER, notice=exchange.notice_number
            )
            self._run_log.add_outcome(outcome)
        self._table.remove(run.idempotency_key, run.request_name)
        self._planner.remove(run.idempotency_key)

    def _find_run(self, exchange: Exchange) -> KeyedRun | None:
        if self._run_log.store is None or exchange.idempotency_key is None:
            return None
        run = self._table.runs.get(exchange.idempotency_key)
        return run if run is not None and run.request_name == exchange.name else None

    def before_run(self, exchange: Exchange, run: StartRun) -> None:
        """Start a run now if its intent is durable or not needed, otherwise once the intent is durable."""
        keyed_run = self._find_run(exchange)
        if keyed_run is None or self._run_log.is_intent_durable(keyed_run):
            run(exchange)
        else:
            self._run_log.wait_for_intent(keyed_run, WaitingRun(exchange, run))

    def _start_waiting_run(self, waiting_run: WaitingRun) -> None:
        """Start a run whose intent is durable, if a client still waits for it."""
        exchange = waiting_run.exchange
        if exchange.state is not ExchangeState.RUNNING:
            return
        if exchange.closed and not exchange.attached_duplicates:
            self._count("recall_not_begun")
            self._on_never_started(exchange)
        else:
            waiting_run.start(exchange)

    # -- after a run

    def run_ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """Store the outcome of a keyed run, or that it never started."""
        self._adopted_runs.pop(exchange.name, None)
        idempotency_key = exchange.idempotency_key
        if self._run_log.store is None or idempotency_key is None or not _is_keyed(exchange):
            return
        if outcome is Outcome.NEVER_STARTED:
            self.release(exchange)
        elif not self._store_outcome(exchange, idempotency_key, outcome, result):
            return
        if exchange.request.stage is Stage.FINISHED:  # adopted: already finished for the controller
            exchange.request.outcome = outcome
        self._run_log.count_outcome()

    def _store_outcome(
        self, exchange: Exchange, idempotency_key: bytes, outcome: Outcome, result: bytes
    ) -> bool:
        """Store an outcome; return False if the run is no longer in the table."""
        state = RunState.SUCCEEDED if outcome is Outcome.SUCCEEDED else RunState.FAILED
        run = self._table.finish(idempotency_key, exchange.name, state, result)
        if run is None:
            return False
        message = encode_outcome(run)
        message.notice = exchange.notice_number
        if state is RunState.SUCCEEDED:
            message.result = result
        self._run_log.add_outcome(message)
        return True

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Pass on a result once its outcome is durable, or at once if the disk is failing."""
        run_log = self._run_log
        is_stored = run_log.store is not None and exchange.idempotency_key is not None
        if not is_stored or not _is_keyed(exchange) or run_log.durable_outcome_count >= run_log.outcome_count:
            self._inner.completed(exchange, result, caller)
        elif run_log.is_disk_failing:
            self._count("recall_answers_ahead")
            self._inner.completed(exchange, result, caller)
        else:
            self._delayed_answers.delay(run_log.outcome_count, exchange, result, caller)

    def rejected(self, exchange: Exchange) -> None:
        """Pass on a rejection."""
        self._inner.rejected(exchange)

    def failed(self, exchange: Exchange) -> None:
        """Pass on a final error."""
        self._inner.failed(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        """Pass on a cancellation: no client waits for the answer any more."""
        self._inner.cancelled(exchange)

    def _release_answer(self, answer: DelayedAnswer, is_early: bool) -> None:
        """Pass on a delayed answer.

        Args:
            answer: The answer.
            is_early: Whether its outcome is not durable yet.
        """
        if is_early:
            self._count("recall_answers_ahead")
        self._inner.completed(answer.exchange, answer.result, answer.caller)

    # -- rounds, disk state and expiry

    def end_round(self) -> None:
        """Write the intents and outcomes of this round."""
        self._prepared_count = 0
        self._run_log.end_round(is_shutting_down=self._is_shutting_down)

    def _on_disk_state_changed(self, state: DiskState) -> None:
        self._count(f"recall_disk_{state.value}")
        if state in (DiskState.FULL, DiskState.FAILING):
            self._delayed_answers.release_all()

    def _expire(self, now: float) -> None:
        for run in self._table.expire(now):
            self._planner.remove(run.idempotency_key)

    def _sweep(self) -> None:
        if self.ready:
            self._expire(self._scheduler.clock.now)
        if self._run_log.release_unneeded_segments():
            self._background.request_step(self._compaction)
        self._scheduler.after(SWEEP_INTERVAL_S, self._sweep)

    def _compact(self) -> bool:
        """Run one step of the compaction; return False since the next sweep requests the next step."""
        if self._run_log.compact_batch():
            self._count("recall_carried")
        return False

    # -- shutdown

    def on_grace_over(self) -> None:
        """Write without delay from now on, since the server shuts down."""
        self._is_shutting_down = True

    def is_settled(self) -> bool:
        """Return whether all intents and outcomes are durable and no answer is delayed."""
        return self._run_log.store is None or (not self._delayed_answers and self._run_log.is_settled())

    def close(self) -> None:
        """Send all delayed answers, write the remaining intents and outcomes and close the folder."""
        self._delayed_answers.release_all()
        self._run_log.close()

    def gauges(self) -> dict[str, object]:
        """Return the gauges for the metrics page."""
        gauges: dict[str, object] = {
            "recall_live": len(self._table.runs),
            "recall_bytes": self._table.total_bytes,
            "recall_results_dropped": self._table.dropped_result_count,
            "recall_held": len(self._delayed_answers),
        }
        store = self._run_log.store
        if store is not None:
            gauges |= {"recall_disk": store.disk_state.value, "recall_disk_bytes": store.size_bytes}
        return gauges


def _is_keyed(exchange: Exchange) -> bool:
    return exchange.request.request_class.idempotency is Idempotency.KEYED
