"""The one bridge to a worker thread: what blocks is done there, what came of it is told in the loop."""

from __future__ import annotations

import contextlib
import logging
import os
import signal
import threading
from collections import deque
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from .scheduler import READABLE, Scheduler

JOBS_MOST = 64  # under way or waiting; each feature has few of its own at a time

log = logging.getLogger(__name__)
Done = Callable[[Any, BaseException | None], None]


class Bridge:
    """Jobs run one after another, in the order given; `done` is called in a later round with result
    or error.
    """

    def __init__(self, scheduler: Scheduler, jobs_most: int = JOBS_MOST) -> None:
        self._jobs: SimpleQueue[tuple[Callable[[], Any], Done] | None] = SimpleQueue()
        self._over: deque[tuple[Done, Any, BaseException | None]] = deque()
        self._most, self._open = jobs_most, 0
        self._ends = os.pipe()
        for end in self._ends:
            os.set_blocking(end, False)
        self._scheduler = scheduler
        self._thread = threading.Thread(target=self._work, name="bridge", daemon=True)
        self._thread.start()
        scheduler.spawn(self._listen)

    @property
    def open_jobs(self) -> int:
        return self._open

    def submit(self, job: Callable[[], Any], done: Done) -> bool:
        """Whether there was room for it."""
        if self._open >= self._most:
            return False
        self._open += 1
        self._jobs.put((job, done))
        return True

    def close(self, most: float) -> bool:
        """Let the worker finish what it has, `most` seconds; then tell all that is over. Whether it did."""
        self._jobs.put(None)
        self._thread.join(max(most, 0.0))
        self._tell()
        return not self._thread.is_alive()

    def _work(self) -> None:
        signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())  # signals are the loop's
        while True:
            job = self._jobs.get()
            if job is None:
                return
            result, trouble = None, None
            try:
                result = job[0]()
            except BaseException as caught:  # told in the loop, whatever it is
                trouble = caught
            self._over.append((job[1], result, trouble))
            with contextlib.suppress(BlockingIOError):  # full: a wake-up is under way already
                os.write(self._ends[1], b"!")

    def _listen(self) -> None:
        while True:
            self._scheduler.wait(self._ends[0], READABLE)
            with contextlib.suppress(BlockingIOError):
                os.read(self._ends[0], 4096)
            self._tell()

    def _tell(self) -> None:
        while self._over:
            done, result, trouble = self._over.popleft()
            self._open -= 1
            try:
                done(result, trouble)
            except Exception:
                log.exception("a fault in what follows a job")
