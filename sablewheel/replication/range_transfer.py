"""When a member's copy of a range is ready: which copies it must have merged. Pure.

A *configuration* of a range is a sequence of consecutive epochs with the same replicas (names and
incarnations). A member is ready in a configuration when its copy includes everything that was decided in
earlier ones. This holds once it has merged the copy of a member that was ready at some epoch k, and the
copies of a majority of the replicas of each configuration from k up to the current one. Each copy must have
been sent when its sender had the current epoch or a later one: from then on the sender accepts nothing for an
older epoch, so the merged copies miss no decision. A restarted sender has no data of its earlier incarnation.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from enum import Enum

from .messages import ViewInstalled
from .placement import MemberIncarnation, Placement, Sites, majority, placement

DEPARTED_LINGER_S = 3.0  # as long as connections to a member that left the view are kept
MAX_VIEWS = 256  # a range that was unready for more views waits until all lifetimes have passed


class Readiness(Enum):
    """Whether a copy of a range is ready, and if not, whether it can become ready."""

    READY = "ready"
    WAITING = "waiting"  # for members that may still answer
    LOST = "lost"  # decisions may be missing that only permanently removed members had
    PARTITIONED = "partitioned"  # enough members for a majority are outside the view and may be running


@dataclass(slots=True)
class Range:
    """The state of this member's copy of a range.

    Attributes:
        ready_epoch: The last epoch at which the copy was ready; 0 if never.
        start_epoch: The first epoch of the current configuration.
        merged_from: The members whose copies were merged, with their incarnations and ready epochs.
        lost_since: The time since which the range is `LOST`; None if it is not.
    """

    ready_epoch: int = 0
    start_epoch: int = 0
    merged_from: dict[str, tuple[int, int]] = field(default_factory=dict)
    lost_since: float | None = None


class Ranges:
    """All ranges of which this member is or was a replica, and the views that it has received.

    Invariant: a range of `assigned` is in `unready` if and only if its ready epoch is before its start epoch.
    """

    def __init__(self, name: str, incarnation: int, copies: int, slots: int) -> None:
        self.name, self.incarnation = name, incarnation
        self._copies, self._slots = copies, slots
        self.views: dict[int, Placement] = {}
        self._epochs: list[int] = []  # of `views`, in ascending order
        self.epoch = 0
        self.assigned: dict[int, Range] = {}  # ranges under the current view
        self.retained: dict[int, Range] = {}  # ranges no longer assigned, until the new replicas are ready
        self.unready: set[int] = set()
        self.history_received: set[str] = set()  # members that have sent all their views
        self._oldest_view_from: dict[str, int] = {}
        self.incarnations: dict[str, int] = {name: incarnation}
        self.removed: set[MemberIncarnation] = set()
        self.departed_until: dict[str, float] = {}  # until when members that left the view may answer
        self.names: tuple[str, ...] = ()
        self.members: frozenset[str] = frozenset()

    # -- views

    def install_view(self, view: ViewInstalled, now: float) -> None:
        """Install a new view, and update which ranges are assigned, retained and unready."""
        self._record_departures(view, now)
        new_placement = placement(view.sites, self._copies, self._slots)
        self.views[view.epoch] = new_placement
        self.epoch, self.names = view.epoch, tuple(site.name for site in view.sites)
        self.members = frozenset(self.names)
        self.history_received.clear()
        self._oldest_view_from.clear()
        assigned = set(new_placement.slots_of(self.name))
        for slot in [slot for slot in self.assigned if slot not in assigned]:
            self.retained[slot] = self.assigned.pop(slot)
        for retained in self.retained.values():
            retained.merged_from = {}
        for slot in assigned:
            self._assign(slot)
        self.unready = {
            slot for slot, state in self.assigned.items() if state.ready_epoch < state.start_epoch
        }
        self._epochs = sorted(self.views)
        for old_epoch in self._epochs[:-MAX_VIEWS]:
            del self.views[old_epoch]
        del self._epochs[:-MAX_VIEWS]

    def _record_departures(self, view: ViewInstalled, now: float) -> None:
        self.removed |= set(view.removed)
        for name in self.members - {site.name for site in view.sites}:
            self.departed_until[name] = now + DEPARTED_LINGER_S
        for name in [name for name, until in self.departed_until.items() if until <= now]:
            del self.departed_until[name]

    def _assign(self, slot: int) -> None:
        assigned = self.assigned.get(slot) or self.retained.pop(slot, None) or Range()
        self.assigned[slot] = assigned
        start_epoch = self._start_epoch(slot)
        if start_epoch != assigned.start_epoch and assigned.ready_epoch < start_epoch:
            assigned.start_epoch, assigned.merged_from, assigned.lost_since = start_epoch, {}, None
            return
        assigned.start_epoch = start_epoch
        if assigned.ready_epoch >= start_epoch:
            assigned.ready_epoch = self.epoch

    def _start_epoch(self, slot: int) -> int:
        """Return the first epoch of the current configuration, as far as consecutive views are known."""
        current_replicas, epoch = self.views[self.epoch].replicas(slot), self.epoch
        while epoch - 1 in self.views and self.views[epoch - 1].replicas(slot) == current_replicas:
            epoch -= 1
        return epoch

    def add_past_views(
        self, name: str, before: int, views: tuple[tuple[int, Sites], ...], has_more: bool
    ) -> None:
        """Add the views before an epoch that a member sent; `has_more`: it may have older ones."""
        # A late answer lacks the views that were installed after its request.
        is_current = before == self.request_views_before(name)
        for epoch, sites in views:
            if 0 < epoch < self.epoch and epoch not in self.views and len(self.views) < MAX_VIEWS:
                self.views[epoch] = placement(sites, self._copies, self._slots)
        self._epochs = sorted(self.views)
        if views and is_current:
            oldest = self._oldest_view_from.get(name, self.epoch)
            self._oldest_view_from[name] = min(oldest, *(epoch for epoch, _ in views))
        if is_current and not has_more:
            self.history_received.add(name)

    def request_views_before(self, name: str) -> int:
        """Return the epoch before which to request more views from a member.

        It is also before the oldest view that the member has sent: no member may have the view before
        `oldest_contiguous_epoch`, as when that view had none of the current members or the fleet was started
        again with an empty state, and then the same views would be sent again and again.
        """
        return min(
            self.oldest_contiguous_epoch, self._oldest_view_from.get(name, self.oldest_contiguous_epoch)
        )

    def views_before(self, before: int, max_views: int) -> tuple[tuple[int, Sites], ...]:
        """Return up to `max_views` of the latest views before an epoch, the latest first."""
        epochs = self._epochs[: bisect.bisect_left(self._epochs, before)][-max_views:]
        return tuple((epoch, self.views[epoch].sites) for epoch in reversed(epochs))

    @property
    def oldest_contiguous_epoch(self) -> int:
        """The oldest epoch such that all views from it up to the current one are known."""
        epoch = self.epoch
        while epoch - 1 in self.views:
            epoch -= 1
        return epoch

    # -- readiness

    def is_ready(self, slot: int) -> bool:
        """Return whether this member's copy of a range is ready."""
        assigned = self.assigned.get(slot)
        return assigned is not None and assigned.ready_epoch >= assigned.start_epoch

    def ready_epoch(self, slot: int) -> int:
        """Return the last epoch at which this member's copy of a range was ready; 0 if never."""
        state = self.assigned.get(slot) or self.retained.get(slot)
        return state.ready_epoch if state is not None else 0

    def record_incarnation(self, name: str, incarnation: int) -> None:
        """Record that a member has this incarnation or a later one."""
        self.incarnations[name] = max(incarnation, self.incarnations.get(name, 0))

    def record_merged_copy(
        self, slot: int, name: str, epoch: int, incarnation: int, ready_epoch: int
    ) -> None:
        """Record that a member's complete copy, as of `epoch` or later, was merged into the local one."""
        self.record_incarnation(name, incarnation)
        state = self.assigned.get(slot) or self.retained.get(slot)
        if state is not None and epoch >= (state.start_epoch if slot in self.assigned else self.epoch):
            state.merged_from[name] = (incarnation, ready_epoch)

    def required_sources(self, slot: int) -> set[str]:
        """Return the members of the current view that may have a copy of a range that is not merged yet."""
        return self._unmerged(slot) & self.members

    def optional_sources(self, slot: int, now: float) -> set[str]:
        """Return the same for members that recently left the view and may still answer, as on a shutdown."""
        departed = self._unmerged(slot) - self.members
        return {name for name in departed if self.departed_until.get(name, 0.0) > now}

    def _unmerged(self, slot: int) -> set[str]:
        assigned = self.assigned[slot]
        names: set[str] = set()
        source_epoch = max([assigned.ready_epoch, *(ready for _, ready in assigned.merged_from.values())])
        for epoch in self._epochs[bisect.bisect_left(self._epochs, source_epoch) :]:
            names.update(self.views[epoch].replica_names(slot))
        return names - set(assigned.merged_from) - {self.name}

    def readiness(self, slot: int) -> Readiness:
        """Return whether the merged copies include all decisions before the current configuration."""
        assigned = self.assigned[slot]
        merged = {**assigned.merged_from, self.name: (self.incarnation, assigned.ready_epoch)}
        source_epoch = max(ready for _, ready in merged.values())
        if source_epoch >= assigned.start_epoch:
            return Readiness.READY
        may_wait = bool(self.required_sources(slot)) or not self.history_received >= set(self.names) - {
            self.name
        }
        incomplete = Readiness.WAITING if may_wait else Readiness.LOST
        if source_epoch == 0:
            return incomplete
        worst = Readiness.READY
        for epoch in range(source_epoch, assigned.start_epoch):
            if epoch not in self.views:
                return incomplete  # such gaps occur when a fleet is started again with an empty state
            replicas = self.views[epoch].replicas(slot)
            coverage = self._coverage(replicas, merged)
            if coverage is Readiness.READY:
                continue
            if may_wait:
                return Readiness.WAITING
            if coverage is Readiness.PARTITIONED:
                return coverage
            worst = coverage
        return worst

    def _coverage(
        self, replicas: tuple[MemberIncarnation, ...], merged: dict[str, tuple[int, int]]
    ) -> Readiness:
        """Return READY if the copies of a majority of one epoch's replicas are merged.

        Else return PARTITIONED if the other replicas may be running and form a majority, or LOST if not.
        """
        quorum = majority(len(replicas))
        missing = [
            replica for replica in replicas if replica[0] not in merged or merged[replica[0]][0] > replica[1]
        ]
        if len(replicas) - len(missing) >= quorum:
            return Readiness.READY
        if sum(not self._has_permanently_left(replica) for replica in missing) >= quorum:
            return Readiness.PARTITIONED  # these may be running, and form a majority on their own
        return Readiness.LOST

    def _has_permanently_left(self, replica: MemberIncarnation) -> bool:
        """Return whether an incarnation was replaced by a later one, or removed by agreement of the fleet."""
        return self.incarnations.get(replica[0], 0) > replica[1] or replica in self.removed

    def update_readiness(
        self, slot: int, now: float, max_lifetime_s: float, waits_after_cold_start: bool
    ) -> Readiness:
        """Check the readiness of a range, and mark it ready if it is.

        A range that is `LOST` becomes ready once the longest lifetime has passed, as all lost entries have
        then expired.
        """
        assigned = self.assigned[slot]
        readiness = self.readiness(slot)
        if readiness is Readiness.LOST:
            if assigned.lost_since is None:
                assigned.lost_since = now
            never_ready = assigned.ready_epoch == 0 and all(
                not ready for _, ready in assigned.merged_from.values()
            )
            is_first_start = not waits_after_cold_start and never_ready
            if is_first_start or now >= assigned.lost_since + max_lifetime_s:
                readiness = Readiness.READY
        else:
            assigned.lost_since = None
        if readiness is Readiness.READY:
            assigned.ready_epoch, assigned.lost_since = self.epoch, None
            self.unready.discard(slot)
        return readiness

    def may_drop(self, slot: int) -> bool:
        """Return whether all current replicas of a retained range have reported that they are ready."""
        merged_from = self.retained[slot].merged_from
        names, start_epoch = self.views[self.epoch].replica_names(slot), self._start_epoch(slot)
        return all(name in merged_from and merged_from[name][1] >= start_epoch for name in names)
