"""Recovery of the folder at the start, and the exchanges by which retries find the recovered runs."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..overload.interface import Client, Outcome, Request, RequestClass, Stage
from ..serving.exchange import Exchange, ExchangeState
from ..storage import log as storage_log
from ..storage.files import DiskFiles
from ..transport.start_retries import retry_transient_errors
from ..transport.worker_thread import WorkerThread
from . import result_store_pb2 as pb
from .codec import LOG_KIND
from .keyed_runs import KeyedRun, RunState
from .plan import ResultStorePlan, UnreadableFolderRule
from .recovery import RecoveredRuns


@dataclass(frozen=True)
class RecoveredFolder:
    """The contents of a folder."""

    log: storage_log.Log
    runs: RecoveredRuns
    report: storage_log.RecoveryReport
    damages: list[str]  # descriptions, each with its location
    duration_s: float  # how long the recovery took


class UnreadableFolderError(Exception):
    """The folder cannot be read, and by its settings the server must not start without it."""


def read_folder_in_background(
    worker_thread: WorkerThread,
    plan: ResultStorePlan,
    folder: Path,
    incarnation: bytes,
    runs: RecoveredRuns,
    on_done: Callable[[RecoveredFolder | UnreadableFolderError], None],
) -> None:
    """Recover a folder on the worker thread.

    Args:
        worker_thread: The worker thread.
        plan: The settings.
        folder: The folder to read.
        incarnation: The identifier of this incarnation of the server.
        runs: Receives the records.
        on_done: Called in the event loop with the folder, or with the error that prevents the start.
    """
    started_at = time.perf_counter()
    files = retry_transient_errors(lambda: DiskFiles(folder))
    log = storage_log.Log(files, LOG_KIND, incarnation, plan.max_disk_bytes, plan.segment_bytes)

    def read() -> storage_log.RecoveryReport:
        return log.recover(lambda number, payload, _: runs.apply(number, pb.Record.FromString(payload)))

    def finish(report: storage_log.RecoveryReport | None, error: BaseException | None) -> None:
        damages = report.damage if report is not None else [f"{error}"]
        if damages and plan.unreadable is UnreadableFolderRule.REFUSE:
            on_done(UnreadableFolderError(f"recall: {folder}: {damages[0]}"))
            return
        duration_s = time.perf_counter() - started_at
        on_done(RecoveredFolder(log, runs, report or storage_log.RecoveryReport(), damages, duration_s))

    worker_thread.submit(read, finish)


def finished_exchange(run: KeyedRun, request_class: RequestClass) -> Exchange:
    """Return an exchange for a recovered run, for its retries to find."""
    request = Request(request_class, Client(), None, run.arrived_at, 0.0)
    request.stage, request.started, request.answered = Stage.FINISHED, True, True
    has_outcome = run.state is not RunState.INTENDED
    if has_outcome:
        request.outcome = Outcome.ERROR if run.state is RunState.FAILED else Outcome.SUCCEEDED
    request_class_name = run.request_class.encode()
    exchange = Exchange(run.request_name, request_class_name, b"", 0, run.idempotency_key, request, None)
    exchange.state = ExchangeState.FINISHED
    exchange.digest = run.request_digest
    exchange.billed = has_outcome
    return exchange
