"""A worker thread that runs blocking jobs and hands their results to the event loop."""

from __future__ import annotations

import logging
import os
import signal
import threading
import time
from collections import deque
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from .scheduler import READABLE, Scheduler

PIPE_BACKOFF_S = 0.01  # after a failed call on the pipe
MAX_OPEN_JOBS = 64  # each feature has only a few open at a time

log = logging.getLogger(__name__)
DoneCallback = Callable[[Any, BaseException | None], None]


class WorkerThread:
    """Runs jobs one after another, in the order in which they are submitted.

    `done` of each job is called in a later round of the event loop, with the result or the error.
    """

    def __init__(self, scheduler: Scheduler, max_open_jobs: int = MAX_OPEN_JOBS) -> None:
        self._jobs: SimpleQueue[tuple[Callable[[], Any], DoneCallback] | None] = SimpleQueue()
        self._finished: deque[tuple[DoneCallback, Any, BaseException | None]] = deque()
        self._max_open_jobs, self._open_jobs = max_open_jobs, 0
        self._pipe_read, self._pipe_write = os.pipe()
        for descriptor in (self._pipe_read, self._pipe_write):
            os.set_blocking(descriptor, False)
        self._scheduler = scheduler
        self._thread = threading.Thread(target=self._work, name="bridge", daemon=True)
        self._thread.start()
        scheduler.spawn(self._watch_finished)

    @property
    def open_jobs(self) -> int:
        """The number of jobs that are queued, running or not reported yet."""
        return self._open_jobs

    def submit(self, job: Callable[[], Any], done: DoneCallback) -> bool:
        """Queue a job. Returns False if too many jobs are open."""
        if self._open_jobs >= self._max_open_jobs:
            return False
        self._open_jobs += 1
        self._jobs.put((job, done))
        return True

    def close(self, timeout_s: float) -> bool:
        """Wait for the queued jobs and report those that finished.

        Returns:
            Whether all jobs finished in time.
        """
        self._jobs.put(None)
        self._thread.join(max(timeout_s, 0.0))
        self._report_finished()
        return not self._thread.is_alive()

    def _work(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())  # the event loop handles signals
        while (entry := self._jobs.get()) is not None:
            job, done = entry
            result: Any = None
            error: BaseException | None = None
            try:
                result = job()
            except BaseException as caught:  # any error is reported in the event loop
                error = caught
            self._finished.append((done, result, error))
            self._wake_event_loop()

    def _wake_event_loop(self) -> None:
        """Write a byte to the pipe. A failed write is repeated, or the results would not be reported."""
        while True:
            try:
                os.write(self._pipe_write, b"!")
                return
            except BlockingIOError:  # pipe full: the event loop is about to wake anyway
                return
            except OSError:  # must not end the thread: no job would be run after that
                time.sleep(PIPE_BACKOFF_S)

    def _watch_finished(self) -> None:
        while True:
            self._scheduler.wait(self._pipe_read, READABLE)
            try:
                os.read(self._pipe_read, 4096)
            except BlockingIOError:
                pass
            except OSError:  # must not end the greenlet: no result would be reported after that
                self._scheduler.sleep(PIPE_BACKOFF_S)
            self._report_finished()

    def _report_finished(self) -> None:
        while self._finished:
            done, result, error = self._finished.popleft()
            self._open_jobs -= 1
            try:
                done(result, error)
            except Exception:
                log.exception("callback of a job ended by a fault")
