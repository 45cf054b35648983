"""Selection of the runs that are rewritten so that the oldest segments can be deleted. No I/O."""

from __future__ import annotations

from collections import OrderedDict

MAX_RUNS_PER_BATCH = 256
MAX_LOG_TO_LIVE_RATIO = 2.0  # size of the log, without `SPARE_SEGMENTS`, over that of the live runs
SPARE_SEGMENTS = 4
MIN_GROWTH_RATIO = 1.5  # growth of the log before the next pass, since a pass may free little


class CompactionPlanner:
    """Tracks the record that stores each live run, in log order, and the total size of the live runs.

    A live run is one whose window is open. Invariant: all live runs are stored in the record that
    `oldest_needed_record` returns and later ones. A pass rewrites each run that was in the log at its start
    once, so it ends regardless of how much is written meanwhile.
    """

    def __init__(self, segment_bytes: int) -> None:
        """Create a planner without live runs."""
        self._segment_bytes = segment_bytes
        self._stored: OrderedDict[bytes, tuple[int, int]] = OrderedDict()  # key -> record number, bytes
        self._live_bytes = 0
        self._pass_end_record = 0  # the last record that the current pass rewrites; 0 without a pass
        self._bytes_after_pass = 0  # smallest size of the log since the last pass; 0 before the first

    @property
    def is_compacting(self) -> bool:
        """Whether a pass is in progress."""
        return self._pass_end_record > 0

    @property
    def live_bytes(self) -> int:
        """The total size of the live runs."""
        return self._live_bytes

    def add(self, idempotency_key: bytes, record_number: int, size: int) -> None:
        """Track a run that is completely stored in the newest record, in `size` bytes."""
        self.remove(idempotency_key)
        self._stored[idempotency_key] = (record_number, size)
        self._live_bytes += size

    def add_size(self, idempotency_key: bytes, size: int) -> None:
        """Add the size of a later record's data on a run, such as its outcome."""
        if idempotency_key in self._stored:
            number, earlier_size = self._stored[idempotency_key]
            self._stored[idempotency_key] = (number, earlier_size + size)
            self._live_bytes += size

    def remove(self, idempotency_key: bytes) -> None:
        """Stop tracking a run, which is not live any more."""
        if idempotency_key in self._stored:
            self._live_bytes -= self._stored.pop(idempotency_key)[1]

    def oldest_needed_record(self, newest_record: int) -> int:
        """Return the number of the first record that must be kept.

        Args:
            newest_record: The number of the last record of the log.
        """
        return next(iter(self._stored.values()), (newest_record + 1, 0))[0]

    def maybe_begin_pass(self, log_bytes: int, newest_record: int) -> bool:
        """Begin a pass if the log is far larger than the live runs; return whether a pass is in progress."""
        if not self._pass_end_record:
            if self._bytes_after_pass:
                self._bytes_after_pass = min(self._bytes_after_pass, log_bytes)
            max_bytes = MAX_LOG_TO_LIVE_RATIO * self._live_bytes + SPARE_SEGMENTS * self._segment_bytes
            has_grown = log_bytes > MIN_GROWTH_RATIO * self._bytes_after_pass
            if log_bytes > max_bytes and has_grown and self._stored:
                self._pass_end_record = newest_record
        return self.is_compacting

    def next_batch(self, log_bytes: int) -> list[bytes]:
        """Return the idempotency keys of the runs to rewrite next; an empty list ends the pass."""
        batch: list[bytes] = []
        for idempotency_key, (number, _) in self._stored.items():
            if number > self._pass_end_record or len(batch) >= MAX_RUNS_PER_BATCH:
                break
            batch.append(idempotency_key)
        if not batch:
            self._pass_end_record, self._bytes_after_pass = 0, log_bytes
        return batch
