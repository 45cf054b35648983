"""The state of a disk, derived from the results of commits, and the backoff between attempts. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 2.0  # after a failed commit; doubled after each further one


class DiskState(Enum):
    """The state of a disk. After a failed commit (FULL, FAILING) the same records are written again."""

    WORKING = "working"
    SLOW = "slow"  # a commit takes longer than the threshold
    FULL = "full"
    FAILING = "failing"


@dataclass
class DiskHealth:
    """Tracks the results of commits, one at a time, and when the next may start. Times are in seconds."""

    slow_after_s: float
    state: DiskState = DiskState.WORKING
    retry_at: float = 0.0  # end of the backoff after a failed commit
    commit_started_at: float = 0.0  # 0 if no commit is in flight
    backoff_s: float = INITIAL_BACKOFF_S
    faults: int = 0

    def commit_started(self, now: float) -> None:
        """Record that a commit started."""
        self.commit_started_at = now

    def commit_succeeded(self) -> None:
        """Record that the commit in flight succeeded, which resets the backoff."""
        self.commit_started_at, self.backoff_s = 0.0, INITIAL_BACKOFF_S
        self.state = DiskState.WORKING

    def commit_failed(self, now: float, is_disk_full: bool) -> None:
        """Record that the commit in flight failed, and set when the next attempt may start."""
        self.commit_started_at = 0.0
        self.faults += 1
        self.state = DiskState.FULL if is_disk_full else DiskState.FAILING
        self.retry_at = now + self.backoff_s
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)

    def check(self, now: float) -> DiskState:
        """Return the state now; a disk becomes SLOW when the commit in flight exceeds `slow_after_s`."""
        elapsed_s = now - self.commit_started_at if self.commit_started_at else 0.0
        if elapsed_s > self.slow_after_s and self.state is DiskState.WORKING:
            self.state = DiskState.SLOW
        return self.state

    def may_commit(self, now: float) -> bool:
        """Return whether a commit may start: none is in flight, and the backoff has passed."""
        return not self.commit_started_at and now >= self.retry_at
