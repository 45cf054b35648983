"""The keyed runs whose idempotency windows are open. Pure.

While its window is open it must never be lost that a run was intended, or a retry would run again. Results
come second: without one a retry is failed, which is safe. So results are dropped first, the oldest first; and
if even the runs have no capacity left, new keyed requests must not run, and are told when there is capacity.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from enum import Enum

RUN_BYTES = 400  # estimated memory of a run without its result
MIN_WAIT_S = 0.001


class RunState(Enum):
    """What is known of a run; the values are part of the commands' output."""

    INTENDED = "intended"  # it may have run
    SUCCEEDED = "worked"
    FAILED = "failed"
    RESULT_DROPPED = "dropped"  # it succeeded, and its result is not stored any more


@dataclass(slots=True, eq=False)
class KeyedRun:
    """The run of one idempotency key; times are in the clock of this incarnation."""

    idempotency_key: bytes
    request_digest: bytes
    request_name: bytes
    request_class: str
    arrived_at: float
    expires_at: float
    state: RunState = RunState.INTENDED
    result: bytes = b""  # only while it is SUCCEEDED
    intent_record: int = 0  # number of the log's record that has its intent; 0: not written yet


class KeyedRunTable:
    """All runs whose windows are open, by idempotency key.

    Invariant: there are at most `max_runs` runs and `max_bytes` bytes, each run counted with `RUN_BYTES`; a
    run is deleted only when its window is over, or when it is known never to have begun.
    """

    def __init__(self, max_runs: int, max_bytes: int) -> None:
        """Start empty."""
        self._max_runs, self._max_bytes = max_runs, max_bytes
        self.runs: dict[bytes, KeyedRun] = {}
        self._expiries: list[tuple[float, bytes]] = []
        self._with_results: deque[KeyedRun] = deque()
        self.total_bytes = 0
        self.dropped_result_count = 0

    def capacity_in_s(self, now: float, reserved: int = 0) -> float:
        """Return the seconds until a further run fits besides the reserved ones; 0 if it fits now.

        Call `expire` first.
        """
        excess = len(self.runs) + reserved + 1 - min(self._max_runs, self._max_bytes // RUN_BYTES)
        if excess <= 0:
            return 0.0
        # By the runs that are present: the expiries also have those that were removed, which free nothing.
        soonest = heapq.nsmallest(excess, (run.expires_at for run in self.runs.values()))
        # Never 0 while it does not fit: at the very end of its window a run is still present.
        return max(soonest[-1] - now, MIN_WAIT_S) if soonest else 0.0

    def add(self, run: KeyedRun) -> None:
        """Add an intended run; one beyond the capacity, which the caller checks, is stored all the same."""
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
        """Record the end of a run; return None if it is not stored (any more)."""
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
        """Remove a run that never began: its idempotency key is free."""
        run = self.runs.get(idempotency_key)
        if run is not None and run.request_name == request_name:
            self._delete(run)

    def expire(self, now: float) -> list[KeyedRun]:
        """Delete the runs whose windows are over and return them."""
        expired = []
        while self._expiries and self._expiries[0][0] < now:
            _, idempotency_key = heapq.heappop(self._expiries)
            run = self.runs.get(idempotency_key)
            if run is not None and run.expires_at < now:
                self._delete(run)
                expired.append(run)
        return expired

    def shift_clock(self, offset_s: float, max_expiry: float) -> None:
        """Move all windows, since the clock was set, none beyond `max_expiry`."""
        for run in self.runs.values():
            run.arrived_at += offset_s
            run.expires_at = min(run.expires_at + offset_s, max_expiry)
        self._expiries = [(run.expires_at, run.idempotency_key) for run in self.runs.values()]
        heapq.heapify(self._expiries)

    def _drop_results(self) -> None:
        """Drop results, the oldest first, until the rest fits; never a run."""
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
