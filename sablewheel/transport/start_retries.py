"""Repeats a step of the start that failed with a transient system error. Blocks: for the start only."""

from __future__ import annotations

import time
from collections.abc import Callable
from errno import EADDRINUSE
from typing import TypeVar

from .system_call_errors import RETRYABLE_STARTUP_ERRORS

START_RETRY_INTERVAL_S = 0.05
MAX_START_RETRY_S = 1.0
T = TypeVar("T")


def retry_transient_errors(action: Callable[[], T]) -> T:
    """Run one action of the start, and repeat it while it fails with a transient system error.

    Raises the last error once MAX_START_RETRY_S seconds are over. Any other error is raised at once, and so
    is an address in use, which may take far longer.
    """
    deadline = time.monotonic() + MAX_START_RETRY_S
    while True:
        try:
            return action()
        except (OSError, ValueError) as error:
            cause = error if isinstance(error, OSError) else error.__cause__
            is_transient = (
                isinstance(cause, OSError)
                and cause.errno in RETRYABLE_STARTUP_ERRORS
                and cause.errno != EADDRINUSE
            )
            if not is_transient or time.monotonic() > deadline:
                raise
        time.sleep(START_RETRY_INTERVAL_S)
