"""What a disk is, by what became of its commits: states with names, and when to try again. Pure."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

FIRST_REST, LAST_REST = 0.05, 2.0  # between tries after a fault, doubling


class Disk(Enum):
    """WORKING: commits pass. SLOW: one takes long. FULL, FAILING: the last was refused, it is tried again."""

    WORKING = "working"
    SLOW = "slow"
    FULL = "full"
    FAILING = "failing"


@dataclass
class DiskHealth:
    """Takes what happened, tells the state; `retry_at` is when the next commit may go. Times in seconds."""

    slow_after: float
    state: Disk = Disk.WORKING
    retry_at: float = 0.0
    since: float = 0.0  # when the commit under way was given; 0: none is
    rest: float = FIRST_REST
    faults: int = 0

    def given(self, now: float) -> None:
        self.since = now

    def passed(self) -> None:
        self.since, self.rest = 0.0, FIRST_REST
        self.state = Disk.WORKING

    def refused(self, now: float, full: bool) -> None:
        """The same records go again after a rest; a full disk may get room, a failing one may come back."""
        self.since = 0.0
        self.faults += 1
        self.state = Disk.FULL if full else Disk.FAILING
        self.retry_at = now + self.rest
        self.rest = min(2 * self.rest, LAST_REST)

    def look(self, now: float) -> Disk:
        """The state as of now: a commit that is long under way makes a working disk a slow one."""
        if self.since and now - self.since > self.slow_after and self.state is Disk.WORKING:
            self.state = Disk.SLOW
        return self.state

    def may_commit(self, now: float) -> bool:
        return not self.since and now >= self.retry_at
