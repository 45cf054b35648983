"""The worker thread reports the results of its jobs although system calls on its pipe fail."""

from __future__ import annotations

import errno
import os
import time
from typing import Any

import pytest

from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.transport.worker_thread import WorkerThread

PATIENCE_S = 5.0


def fail_once(monkeypatch: pytest.MonkeyPatch, call: str, code: int) -> None:
    """Make the next call of a function of `os` fail."""
    real, failures = getattr(os, call), [OSError(code, os.strerror(code))]

    def failing(*values: Any) -> Any:
        if failures:
            raise failures.pop()
        return real(*values)

    monkeypatch.setattr(os, call, failing)


@pytest.mark.parametrize("code", [errno.EIO, errno.EINTR, errno.ENOMEM])
@pytest.mark.parametrize("call", ["read", "write"])
def test_one_failed_call_on_the_pipe_loses_no_result(
    monkeypatch: pytest.MonkeyPatch, call: str, code: int
) -> None:
    """A failed read ended the greenlet and a failed write the thread: no later job was ever reported."""
    scheduler = Scheduler(Clock())
    worker_thread = WorkerThread(scheduler)
    results: list[int] = []

    def submit(number: int) -> None:
        def done(result: Any, _: BaseException | None) -> None:
            results.append(result)
            if number == 3:
                scheduler.stop()
            else:
                submit(number + 1)

        worker_thread.submit(lambda: number, done)

    fail_once(monkeypatch, call, code)
    submit(1)
    scheduler.after(PATIENCE_S, scheduler.stop)
    started_at = time.monotonic()
    scheduler.run()
    assert results == [1, 2, 3] and time.monotonic() - started_at < PATIENCE_S / 2
    assert worker_thread.close(1.0)
