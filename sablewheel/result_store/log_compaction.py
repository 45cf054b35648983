"""Which runs are written anew so that the front of the log can be released. Pure."""

from __future__ import annotations

from collections import OrderedDict

MAX_RUNS_PER_BATCH = 256
MAX_LOG_TO_LIVE_RATIO = 2.0  # the log may be so many times the live runs' size, and a few segments
SPARE_SEGMENTS = 4
MIN_GROWTH_RATIO = 1.5  # by which the log must grow after a pass that gained little, before the next one


class CompactionPlanner:
    """Tracks in which record each live run is stored, in the log's order, and the live runs' size.

    Invariant: all live runs are in records from `oldest_needed` on. A pass writes each run that was in the
    log when it began once, so it ends whatever is written meanwhile.
    """

    def __init__(self, segment_bytes: int) -> None:
        """Start without live runs."""
        self._segment_bytes = segment_bytes
        self._stored: OrderedDict[bytes, tuple[int, int]] = OrderedDict()  # key -> record, bytes
        self._live_bytes = 0
        self._pass_through = 0  # the last record that the present pass writes anew; 0 without a pass
        self._bytes_after_pass = 0  # the log's smallest size since the last pass

    def add(self, idempotency_key: bytes, record_number: int, size: int) -> None:
        """Record that a run is completely stored in the newest record, where it takes `size` bytes."""
        self.remove(idempotency_key)
        self._stored[idempotency_key] = (record_number, size)
        self._live_bytes += size

    def grow(self, idempotency_key: bytes, size: int) -> None:
        """Record that a later record has more of a run."""
        if idempotency_key in self._stored:
            number, earlier_size = self._stored[idempotency_key]
            self._stored[idempotency_key] = (number, earlier_size + size)
            self._live_bytes += size

    def remove(self, idempotency_key: bytes) -> None:
        """Record that a run is not live any more."""
        if idempotency_key in self._stored:
            self._live_bytes -= self._stored.pop(idempotency_key)[1]

    def oldest_needed(self, newest: int) -> int:
        """Return the first record that must stay; `newest` is the last record of the log."""
        return next(iter(self._stored.values()), (newest + 1, 0))[0]

    def is_pass_under_way(self, log_bytes: int, newest: int) -> bool:
        """Begin a pass if the log is far larger than the live runs; return whether a pass is under way."""
        if not self._pass_through:
            if self._bytes_after_pass:
                self._bytes_after_pass = min(self._bytes_after_pass, log_bytes)
            max_bytes = MAX_LOG_TO_LIVE_RATIO * self._live_bytes + SPARE_SEGMENTS * self._segment_bytes
            has_grown = log_bytes > MIN_GROWTH_RATIO * self._bytes_after_pass
            if log_bytes > max_bytes and has_grown and self._stored:
                self._pass_through = newest
        return self._pass_through > 0

    def next_batch(self, log_bytes: int) -> list[bytes]:
        """Return the idempotency keys to write anew next; none if the pass is over."""
        batch: list[bytes] = []
        for idempotency_key, (number, _) in self._stored.items():
            if number > self._pass_through or len(batch) >= MAX_RUNS_PER_BATCH:
                break
            batch.append(idempotency_key)
        if not batch:
            self._pass_through, self._bytes_after_pass = 0, log_bytes
        return batch
