"""Group commit: records that arrive during a commit are written together by the next one.

This module runs in the event loop; the log itself runs on a worker thread.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from ..transport.scheduler import Scheduler
from ..transport.worker_thread import WorkerThread
from .health import INCIDENT_END_S, DiskHealth, DiskState, IncidentTracker
from .log import CommitError, Log, LogPosition
from .records import check_payload

TIMER_MARGIN_S = 0.01  # so that a timer for the end of an incident does not come too early
MAX_PENDING_BYTES = 1 << 20  # limit on the size of records that are not durable yet

log = logging.getLogger(__name__)

OnRead = Callable[[list[tuple[bytes, LogPosition]], LogPosition], None]


class GroupCommitLog:
    """A log whose `append` returns at once; records become durable in groups.

    Invariant: all records up to number `durable_through` are durable. Later records, up to `last_number`, are
    first the ones in flight, then the pending ones.

    Args:
        scheduler: The event loop.
        worker_thread: Runs blocking jobs in order.
        recovered_log: The log, after its recovery.
        slow_after_s: The disk is reported as slow when a commit takes longer than this.
        on_durable: Called with `durable_through` after each successful commit.
        on_disk_state: Called when the disk's state changes.
        place: Names the log in log lines, by feature and folder.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        worker_thread: WorkerThread,
        recovered_log: Log,
        slow_after_s: float,
        on_durable: Callable[[int], None],
        on_disk_state: Callable[[DiskState], None],
        place: Mapping[str, object] | None = None,
    ) -> None:
        self._scheduler, self._worker_thread, self._log = scheduler, worker_thread, recovered_log
        self._on_durable, self._on_disk_state = on_durable, on_disk_state
        self._health = DiskHealth(slow_after_s)
        self._disk_state = DiskState.WORKING
        self._incidents = IncidentTracker()
        self._place = dict(place or {})
        self._pending: list[bytes] = []
        self._in_flight: list[bytes] = []
        self._undurable_bytes = 0
        self.durable_through = self.last_number = recovered_log.last_number
        self._released_through = 0

    @property
    def idle(self) -> bool:
        """Whether a record appended now would be committed at the next flush."""
        return self.all_durable and self._health.may_commit(self._scheduler.clock.now)

    @property
    def all_durable(self) -> bool:
        """Whether no record is pending or in flight."""
        return not self._in_flight and not self._pending

    @property
    def disk_state(self) -> DiskState:
        """The state of the disk that was reported last."""
        return self._disk_state

    @property
    def first_segment(self) -> int:
        """The index of the first segment that is not released, as in `LogPosition.segment`."""
        return self._log.first_segment

    @property
    def size_bytes(self) -> int:
        """The size of the log on disk."""
        return self._log.size_bytes

    def append(self, payload: bytes) -> int | None:
        """Add a record to the next commit.

        Returns:
            The record's number; the record is durable once `durable_through` reaches it. None if too many
            bytes are not durable yet.

        Raises:
            RecordTooLargeError: The record is over the size limit of the log.
        """
        return self.append_group([payload])

    def append_group(self, payloads: Sequence[bytes]) -> int | None:
        """Add records to the next commit, all or none.

        Returns:
            The number of the first record. None if too many bytes are not durable yet.

        Raises:
            RecordTooLargeError: A record is over the size limit of the log; none is added.
        """
        for payload in payloads:
            check_payload(payload)
        group_bytes = sum(map(len, payloads))
        if self._undurable_bytes + group_bytes > MAX_PENDING_BYTES and self._undurable_bytes:
            return None
        first_number = self.last_number + 1
        self._pending += payloads
        self._undurable_bytes += group_bytes
        self.last_number += len(payloads)
        return first_number

    def flush(self) -> None:
        """Start a commit of the pending records if none is in flight.

        Called at the end of each event-loop round.
        """
        now = self._scheduler.clock.now
        self._report_state(self._health.check(now))
        if not self._health.may_commit(now) or self.all_durable:
            return
        if not self._in_flight:
            self._in_flight, self._pending = self._pending, []
        batch = self._in_flight
        if self._worker_thread.submit(lambda: self._log.commit(batch), self._on_committed):
            self._health.commit_started(now)

    def read(self, position: LogPosition, max_bytes: int, on_read: OnRead) -> bool:
        """Read durable records on the worker thread, starting at a position.

        Returns:
            Whether the read was queued. `on_read` is called only then, with no records if the read failed.
        """

        def on_done(result: Any, error: BaseException | None) -> None:
            if error is not None:
                log.error("reading the log failed", extra={"pairs": {**self._place, "reason": error}})
            on_read(*(result if error is None else ([], position)))

        return self._worker_thread.submit(lambda: self._log.read(position, max_bytes), on_done)

    def release(self, position: LogPosition, keep_bytes: int) -> None:
        """Delete the oldest segments before a position, but keep at least `keep_bytes` bytes before it."""
        self._worker_thread.submit(lambda: self._log.release(position, keep_bytes), self._log_release_error)

    def release_through(self, number: int) -> None:
        """Delete the oldest segments that only have records up to this number."""
        if number > self._released_through and self._worker_thread.submit(
            lambda: self._log.release_through(number), self._log_release_error
        ):
            self._released_through = number

    def close(self) -> None:
        """Close the log on the worker thread, after all jobs that were submitted earlier."""
        self._worker_thread.submit(self._log.close, lambda _, __: None)

    def _on_committed(self, last_number: Any, error: BaseException | None) -> None:
        now = self._scheduler.clock.now
        if error is None:
            self._health.commit_succeeded()
            self._undurable_bytes -= sum(map(len, self._in_flight))
            self._in_flight = []
            self.durable_through = last_number
        else:
            self._health.commit_failed(now, isinstance(error, CommitError) and error.is_disk_full)
            incident = self._incidents.incident
            if incident is None or incident.state is DiskState.SLOW:
                log.error("log commit failed", extra={"pairs": {**self._place, "reason": error}})
            self._scheduler.after(self._health.retry_at - now, lambda: None)  # a round for the retry
        self._report_state(self._health.state)
        if error is not None:
            self._incidents.commit_failed()
        if error is None:
            self._on_durable(self.durable_through)

    def _report_state(self, state: DiskState) -> None:
        if state is self._disk_state:
            return
        now, was = self._scheduler.clock.now, self._disk_state
        self._disk_state = state
        if self._incidents.state_changed(now, state):
            pairs = {**self._place, "was": was.value, "now": state.value}
            log.warning("disk state changed", extra={"pairs": pairs})
        elif state is DiskState.WORKING:
            self._scheduler.after(INCIDENT_END_S + TIMER_MARGIN_S, self._report_incident_end)
        self._on_disk_state(state)

    def _report_incident_end(self) -> None:
        now = self._scheduler.clock.now
        incident = self._incidents.take_ended(now)
        if incident is not None:
            pairs = {
                **self._place,
                "was": incident.state.value,
                "now": DiskState.WORKING.value,
                "lasted": round(now - incident.began_at, 3),
                "failed_commits": incident.failed_commits,
            }
            log.warning("disk state changed", extra={"pairs": pairs})

    def _log_release_error(self, _: Any, error: BaseException | None) -> None:
        if error is not None:
            log.error("releasing log segments failed", extra={"pairs": {**self._place, "reason": error}})
