"""The state of a disk, derived from the results of its commits, and the backoff between attempts. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0  # between attempts after a fault; it doubles each time


class DiskState(Enum):
    """The state of a disk. After a failed commit (FULL, FAILING) the same records are tried again."""

    WORKING = "working"
    SLOW = "slow"  # a commit takes longer than the threshold
    FULL = "full"
    FAILING = "failing"


@dataclass
class DiskHealth:
    """Tracks the results of commits, one at a time, and when the next may start. Times are in seconds."""

    slow_after_s: float
    state: DiskState = DiskState.WORKING
    retry_at: float = 0.0
    commit_started_at: float = 0.0  # 0: no commit is in flight
    backoff_s: float = INITIAL_BACKOFF_S
    faults: int = 0

    def commit_started(self, now: float) -> None:
        """Record that a commit was handed to the disk."""
        self.commit_started_at = now

    def commit_succeeded(self) -> None:
        """Record that the commit in flight is durable."""
        self.commit_started_at, self.backoff_s = 0.0, INITIAL_BACKOFF_S
        self.state = DiskState.WORKING

    def commit_failed(self, now: float, is_disk_full: bool) -> None:
        """Record that the commit in flight failed; the same records may be tried again after the backoff."""
        self.commit_started_at = 0.0
        self.faults += 1
        self.state = DiskState.FULL if is_disk_full else DiskState.FAILING
        self.retry_at = now + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)

    def check(self, now: float) -> DiskState:
        """The state as of now: a commit in flight for too long makes a working disk a slow one."""
        took_s = now - self.commit_started_at if self.commit_started_at else 0.0
        if took_s > self.slow_after_s and self.state is DiskState.WORKING:
            self.state = DiskState.SLOW
        return self.state

    def may_commit(self, now: float) -> bool:
        """Whether a commit may start: none is in flight, and the backoff after a fault has passed."""
        return not self.commit_started_at and now >= self.retry_at
