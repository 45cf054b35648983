"""The keyed runs whose idempotency windows are open. No I/O.

The intent of a run must not be lost while its window is open, or a retry would run again. Results are less
important: a retry without a stored result is failed, which is safe. So results are dropped first, beginning
with the oldest. If there is no capacity even for runs without results, new keyed requests are rejected, with
the time until there is capacity.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from enum import Enum

RUN_BYTES = 400  # estimated memory of a run without its result
MIN_WAIT_S = 0.001  # the least time that is reported until there is capacity


class RunState(Enum):
    """The state of a run; the commands print the values."""

    INTENDED = "intended"  # not known to have finished: it may have run
    SUCCEEDED = "worked"
    FAILED = "failed"
    RESULT_DROPPED = "dropped"  # succeeded, but the result is no longer stored


@dataclass(slots=True, eq=False)
class KeyedRun:
    """The run of one idempotency key; times are by the clock of this incarnation."""

    idempotency_key: bytes
    request_digest: bytes
    request_name: bytes
    request_class: str
    arrived_at: float
    expires_at: float
    state: RunState = RunState.INTENDED
    result: bytes = b""  # empty unless the state is SUCCEEDED
    intent_record: int = 0  # number of the log record with its intent; 0 if not written yet


class KeyedRunTable:
    """All runs whose windows are open, by idempotency key.

    Invariant: there are at most `max_runs` runs and `max_bytes` bytes, counting `RUN_BYTES` and the result
    of each run. A run is deleted only when its window has ended, or when it is known never to have started.
    """

    def __init__(self, max_runs: int, max_bytes: int) -> None:
        """Create an empty table with limits on the number of runs and their memory."""
        self._max_runs, self._max_bytes = max_runs, max_bytes
        self.runs: dict[bytes, KeyedRun] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._with_results: deque[KeyedRun] = deque()
        self.total_bytes = 0
        self.dropped_result_count = 0

    def capacity_in_s(self, now: float, reserved: int = 0) -> float:
        """Return the seconds until there is capacity for `reserved` runs and one more; 0 if there is now.

        Call `expire` first.
        """
        excess = len(self.runs) + reserved + 1 - min(self._max_runs, self._max_bytes // RUN_BYTES)
        if excess <= 0:
            return 0.0
        # `_expiries` is not used here: it also contains removed runs, which free no capacity.
        next_expiries = heapq.nsmallest(excess, (run.expires_at for run in self.runs.values()))
        # Never 0 without capacity: a run is still stored at the last instant of its window.
        return max(next_expiries[-1] - now, MIN_WAIT_S) if next_expiries else 0.0

    def add(self, run: KeyedRun) -> None:
        """Add an intended run, even beyond the capacity, which the caller has to check."""
        earlier = self.runs.get(run.idempotency_key)
        if earlier is not None:
            self._delete(earlier)
        self.runs[run.idempotency_key] = run
        heapq.heappush(self._expiries, (run.expires_at, run.idempotency_key))
        self.total_bytes += RUN_BYTES
        self._drop_results()

    def finish(
        self, idempotency_key: bytes, request_name: bytes, state: RunState, result: bytes = b""
    ) -> KeyedRun | None:
        """Store the outcome of a run; return the run, or None if it is not in the table."""
        run = self.runs.get(idempotency_key)
        if run is None or run.request_name != request_name:
            return None
        run.state = state
        if state is RunState.SUCCEEDED:
            run.result = result
            self.total_bytes += len(result)
            self._with_results.append(run)
            self._drop_results()
        return run

    def remove(self, idempotency_key: bytes, request_name: bytes) -> None:
        """Remove a run that never started, which frees its idempotency key."""
        run = self.runs.get(idempotency_key)
        if run is not None and run.request_name == request_name:
            self._delete(run)

    def expire(self, now: float) -> list[KeyedRun]:
        """Delete and return the runs whose windows have ended."""
        expired = []
        while self._expiries and self._expiries[0][0] < now:
            _, idempotency_key = heapq.heappop(self._expiries)
            run = self.runs.get(idempotency_key)
            if run is not None and run.expires_at < now:
                self._delete(run)
                expired.append(run)
        return expired

    def shift_clock(self, offset_s: float, max_expiry: float) -> None:
        """Shift all windows after the clock was set, but no end beyond `max_expiry`."""
        for run in self.runs.values():
            run.arrived_at += offset_s
            run.expires_at = min(run.expires_at + offset_s, max_expiry)
        self._expiries = [(run.expires_at, run.idempotency_key) for run in self.runs.values()]
        heapq.heapify(self._expiries)

    def _drop_results(self) -> None:
        """Drop results, the oldest first, until the table fits into `max_bytes`; never drop a run."""
        while self.total_bytes > self._max_bytes and self._with_results:
            run = self._with_results.popleft()
            if run.state is RunState.SUCCEEDED and self.runs.get(run.idempotency_key) is run:
                run.state = RunState.RESULT_DROPPED
                self.total_bytes -= len(run.result)
                run.result = b""
                self.dropped_result_count += 1

    def _delete(self, run: KeyedRun) -> None:
        if self.runs.get(run.idempotency_key) is run:
            del self.runs[run.idempotency_key]
            self.total_bytes -= RUN_BYTES + len(run.result)
            if run.state is RunState.SUCCEEDED:
                run.state, run.result = RunState.RESULT_DROPPED, b""
        results = self._with_results
        while results and self.runs.get(results[0].idempotency_key) is not results[0]:
            results.popleft()
