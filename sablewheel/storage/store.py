"""Group commit: records are gathered while a commit is under way, and go out together with the next.

The fence tells up to which number all is durable. Runs in the loop; the log itself on the bridge's thread.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from ..transport.scheduler import Scheduler
from ..transport.worker_thread import WorkerThread
from .health import Disk, DiskHealth
from .log import DiskFault, Log, Place

BYTES_MOST = 1 << 20  # gathered and not yet durable; beyond it `append` has no room

log = logging.getLogger(__name__)


class Store:
    """`fenced` is called with the fence each time it moves, `changed` when the disk's state does."""

    def __init__(
        self,
        scheduler: Scheduler,
        bridge: WorkerThread,
        records: Log,
        slow_after: float,
        fenced: Callable[[int], None],
        changed: Callable[[Disk], None],
    ) -> None:
        self._scheduler, self._bridge, self._log = scheduler, bridge, records
        self._fenced, self._changed = fenced, changed
        self._health = DiskHealth(slow_after)
        self._told = Disk.WORKING
        self._pending: list[bytes] = []
        self._under_way: list[bytes] = []
        self._bytes = 0
        self.fence = self.last = records.last
        self._released = 0

    @property
    def idle(self) -> bool:
        """Whether what is appended now would be committed at once."""
        return (
            not self._under_way and not self._pending and self._health.may_commit(self._scheduler.clock.now)
        )

    @property
    def settled(self) -> bool:
        return not self._under_way and not self._pending

    @property
    def disk(self) -> Disk:
        return self._told

    @property
    def front(self) -> int:
        """The first segment that is still there."""
        return self._log.front

    @property
    def size(self) -> int:
        """Bytes on disk."""
        return self._log.bytes

    def append(self, payload: bytes) -> int | None:
        """The number of the record, durable once the fence reaches it; None if there is no room."""
        if self._bytes + len(payload) > BYTES_MOST and self._bytes:
            return None
        self._pending.append(payload)
        self._bytes += len(payload)
        self.last += 1
        return self.last

    def flush(self) -> None:
        """At the end of a round: what was gathered goes out, if nothing is under way."""
        now = self._scheduler.clock.now
        self._tell(self._health.look(now))
        if not self._health.may_commit(now) or not (self._pending or self._under_way):
            return
        if not self._under_way:
            self._under_way, self._pending = self._pending, []
        batch = self._under_way
        if self._bridge.submit(lambda: self._log.commit(batch), self._committed):
            self._health.given(now)

    def read(self, place: Place, most: int, done: Callable[[list[tuple[bytes, Place]], Place], None]) -> bool:
        """Durable records from a place on, read on the worker; whether it has begun."""

        def over(found: Any, trouble: BaseException | None) -> None:
            if trouble is not None:
                log.error("log not read", extra={"pairs": {"reason": trouble}})
            done(*(found if trouble is None else ([], place)))

        return self._bridge.submit(lambda: self._log.read(place, most), over)

    def release(self, place: Place, keep_bytes: int) -> None:
        def over(_: Any, trouble: BaseException | None) -> None:
            if trouble is not None:
                log.error("log not released", extra={"pairs": {"reason": trouble}})

        self._bridge.submit(lambda: self._log.release(place, keep_bytes), over)

    def release_through(self, number: int) -> None:
        """Records up to this one may go."""

        def over(_: Any, trouble: BaseException | None) -> None:
            if trouble is not None:
                log.error("log not released", extra={"pairs": {"reason": trouble}})

        if number > self._released and self._bridge.submit(lambda: self._log.release_through(number), over):
            self._released = number

    def close(self) -> None:
        """On the worker, behind all that was given to it."""
        self._bridge.submit(self._log.close, lambda _, __: None)

    def _committed(self, fence: Any, trouble: BaseException | None) -> None:
        now = self._scheduler.clock.now
        if trouble is None:
            self._health.passed()
            self._bytes -= sum(map(len, self._under_way))
            self._under_way = []
            self.fence = fence
        else:
            self._health.refused(now, isinstance(trouble, DiskFault) and trouble.full)
            if self._told in (Disk.WORKING, Disk.SLOW):
                log.error("commit refused", extra={"pairs": {"reason": trouble}})
            self._scheduler.after(self._health.retry_at - now, lambda: None)  # a round to try again in
        self._tell(self._health.state)
        if trouble is None:
            self._fenced(self.fence)

    def _tell(self, state: Disk) -> None:
        if state is not self._told:
            log.warning("disk", extra={"pairs": {"was": self._told.value, "now": state.value}})
            self._told = state
            self._changed(state)
