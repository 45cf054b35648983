"""The state of a disk by the results of commits, its incidents, and the backoff of attempts. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

INCIDENT_END_S = 1.0  # for which a disk has to work until its incident is over
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


@dataclass
class DiskIncident:
    """A time in which a disk is slow, full or failing, however often it works in between."""

    state: DiskState  # the worst one so far
    began_at: float
    failed_commits: int = 0
    working_since: float | None = None  # None unless the disk works at present

    def is_over(self, now: float) -> bool:
        """Return whether the disk has worked for `INCIDENT_END_S`."""
        return self.working_since is not None and now - self.working_since >= INCIDENT_END_S


class IncidentTracker:
    """Groups changes of a disk's state to incidents, each logged once at its begin and its end."""

    def __init__(self) -> None:
        self.incident: DiskIncident | None = None

    def state_changed(self, now: float, state: DiskState) -> bool:
        """Note a change of state; return whether an incident began or became worse."""
        incident = self.incident
        if state is DiskState.WORKING:
            if incident is not None:
                incident.working_since = now
            return False
        if incident is None:
            self.incident = DiskIncident(state, now)
            return True
        incident.working_since = None
        is_worse = incident.state is DiskState.SLOW and state is not DiskState.SLOW
        if is_worse:
            incident.state = state
        return is_worse

    def commit_failed(self) -> None:
        """Count a failed commit of the incident."""
        if self.incident is not None:
            self.incident.failed_commits += 1

    def take_ended(self, now: float) -> DiskIncident | None:
        """Return the incident if it is over now; there is none from then on."""
        incident = self.incident
        if incident is None or not incident.is_over(now):
            return None
        self.incident = None
        return incident
