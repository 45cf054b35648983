"""What a start reads from the folder, and how retries find the recovered runs."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from ..overload.interface import Client, Outcome, Request, RequestClass, Stage
from ..serving.exchange import Exchange, ExchangeState
from ..storage import log as durable
from ..storage.files import DiskFiles
from ..transport.worker_thread import WorkerThread
from . import result_store_pb2 as pb
from .codec import LOG_KIND
from .keyed_runs import KeyedRun, RunState
from .plan import ResultStorePlan, UnreadableFolderRule
from .recovery import RecoveredRuns


@dataclass(frozen=True)
class RecoveredFolder:
    """A folder that was read."""

    log: durable.Log
    runs: RecoveredRuns
    report: durable.RecoveryReport
    damages: list[str]  # each with its place
    took_s: float


class UnreadableFolderError(Exception):
    """A folder that cannot be read, where the plan does not let the server start without it."""


def read_folder_in_background(
    bridge: WorkerThread,
    plan: ResultStorePlan,
    folder: Path,
    incarnation: bytes,
    runs: RecoveredRuns,
    on_done: Callable[[RecoveredFolder | UnreadableFolderError], None],
) -> None:
    """Read a folder on the worker thread.

    Args:
        bridge: The worker thread.
        plan: The settings.
        folder: The folder to read.
        incarnation: The name of this incarnation of the server.
        runs: Receives the records.
        on_done: Called on the server's thread with the folder, or the reason not to start.
    """
    begun_at = time.perf_counter()
    log = durable.Log(DiskFiles(folder), LOG_KIND, incarnation, plan.max_disk_bytes, plan.segment_bytes)

    def read() -> durable.RecoveryReport:
        return log.recover(lambda number, payload, _: runs.apply(number, pb.Record.FromString(payload)))

    def finish(report: durable.RecoveryReport | None, error: BaseException | None) -> None:
        damages = report.damage if report is not None else [f"{error}"]
        if damages and plan.unreadable is UnreadableFolderRule.REFUSE:
            on_done(UnreadableFolderError(f"recall: {folder}: {damages[0]}"))
            return
        took_s = time.perf_counter() - begun_at
        on_done(RecoveredFolder(log, runs, report or durable.RecoveryReport(), damages, took_s))

    bridge.submit(read, finish)


def finished_exchange(run: KeyedRun, request_class: RequestClass) -> Exchange:
    """Return the exchange of a recovered run, as its retries find it."""
    request = Request(request_class, Client(), None, run.arrived_at, 0.0)
    request.stage, request.started, request.answered = Stage.FINISHED, True, True
    is_over = run.state is not RunState.INTENDED
    if is_over:
        request.outcome = Outcome.ERROR if run.state is RunState.FAILED else Outcome.SUCCEEDED
    request_class_name = run.request_class.encode()
    exchange = Exchange(run.request_name, request_class_name, b"", 0, run.idempotency_key, request, None)
    exchange.state = ExchangeState.FINISHED
    exchange.digest = run.request_digest
    exchange.billed = is_over
    return exchange
