"""When a member's copy of a range counts: what it must have received, and from whom. Pure.

A *configuration* of a range is a run of epochs with the same replicas (names and incarnations). A member is
ready in one when its copy covers all that was decided in those before. It does once it has merged the copy of
a member that was ready at some epoch k, and those of a majority of the replicas of each configuration from k
up to the present one, each sent when its sender had the present epoch or a later one: from then on the sender
decides nothing for an older epoch, so nothing is decided unseen. A restarted sender has nothing of its
earlier incarnation.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from enum import Enum

from .messages import ViewInstalled
from .placement import MemberIncarnation, Placement, Sites, majority, placement

DEPARTED_LINGER_S = 3.0  # as long as connections to a member that left the view linger
MAX_VIEWS = 256  # a range that was not ready for longer waits until all lifetimes have passed


class Readiness(Enum):
    """Whether a copy of a range counts, and if not, whether it can become so."""

    READY = "ready"
    WAITING = "waiting"  # for an answer of a member that may still give it
    LOST = "lost"  # what may be missing was decided by members that never come back
    PARTITIONED = "partitioned"  # enough members to decide are out of the view, and may be alive


@dataclass(slots=True)
class Range:
    """One range here.

    Attributes:
        ready_epoch: The last epoch at which its copy counted; 0: never.
        start_epoch: The first epoch of the present configuration.
        merged_from: Whose copies were merged: name -> incarnation, ready epoch.
        lost_since: Since when what may be missing counts as lost.
    """

    ready_epoch: int = 0
    start_epoch: int = 0
    merged_from: dict[str, tuple[int, int]] = field(default_factory=dict)
    lost_since: float | None = None


class Ranges:
    """All ranges of which this member is or was a replica, and the views that it knows.

    Invariant: a range of `assigned` is in `unready` if and only if its ready epoch is before its start epoch.
    """

    def __init__(self, name: str, incarnation: int, copies: int, slots: int) -> None:
        self.name, self.incarnation = name, incarnation
        self._copies, self._slots = copies, slots
        self.views: dict[int, Placement] = {}
        self._epochs: list[int] = []  # of the views known, in order
        self.epoch = 0
        self.assigned: dict[int, Range] = {}  # under the present view
        self.retained: dict[int, Range] = {}  # no longer assigned, until the new replicas have theirs
        self.unready: set[int] = set()
        self.history_received: set[str] = set()  # members that sent all views they know
        self._oldest_view_from: dict[str, int] = {}
        self.incarnations: dict[str, int] = {name: incarnation}
        self.removed: set[MemberIncarnation] = set()
        self.departed_until: dict[str, float] = {}  # who left the view lately may still answer until then
        self.names: tuple[str, ...] = ()
        self.members: frozenset[str] = frozenset()

    # -- views

    def install_view(self, view: ViewInstalled, now: float) -> None:
        """Take a new view: which ranges are assigned, which are retained, which are not ready."""
        self._note_departures(view, now)
        placed = placement(view.sites, self._copies, self._slots)
        self.views[view.epoch] = placed
        self.epoch, self.names = view.epoch, tuple(site.name for site in view.sites)
        self.members = frozenset(self.names)
        self.history_received.clear()
        self._oldest_view_from.clear()
        assigned = set(placed.slots_of(self.name))
        for slot in [slot for slot in self.assigned if slot not in assigned]:
            self.retained[slot] = self.assigned.pop(slot)
        for retained in self.retained.values():
            retained.merged_from = {}
        for slot in assigned:
            self._assign(slot)
        self.unready = {slot for slot, one in self.assigned.items() if one.ready_epoch < one.start_epoch}
        self._epochs = sorted(self.views)
        for old in self._epochs[:-MAX_VIEWS]:
            del self.views[old]
        del self._epochs[:-MAX_VIEWS]

    def _note_departures(self, view: ViewInstalled, now: float) -> None:
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
        """The first epoch of the known ones without a gap that have the present replicas."""
        present, epoch = self.views[self.epoch].replicas(slot), self.epoch
        while epoch - 1 in self.views and self.views[epoch - 1].replicas(slot) == present:
            epoch -= 1
        return epoch

    def add_past_views(
        self, name: str, before: int, views: tuple[tuple[int, Sites], ...], has_more: bool
    ) -> None:
        """Take the views before an epoch that a member sent; `has_more`: it may know others."""
        # A late answer lacks the views that were installed since it was asked for.
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
        """Before which epoch to ask a member for more views.

        Not only before the gap: of a view in which nobody was, or of a fleet founded anew, nobody has any,
        and the same views would be sent for ever.
        """
        return min(self.gap, self._oldest_view_from.get(name, self.gap))

    def views_before(self, before: int, max_views: int) -> tuple[tuple[int, Sites], ...]:
        """The latest views known here before an epoch, the latest first."""
        epochs = self._epochs[: bisect.bisect_left(self._epochs, before)][-max_views:]
        return tuple((epoch, self.views[epoch].sites) for epoch in reversed(epochs))

    @property
    def gap(self) -> int:
        """The first epoch, going back from now, whose view is not known, plus one."""
        epoch = self.epoch
        while epoch - 1 in self.views:
            epoch -= 1
        return epoch

    # -- readiness

    def is_ready(self, slot: int) -> bool:
        """Whether the copy here of a range counts."""
        assigned = self.assigned.get(slot)
        return assigned is not None and assigned.ready_epoch >= assigned.start_epoch

    def ready_epoch(self, slot: int) -> int:
        """The last epoch at which the copy here of a range counted; 0: never."""
        known = self.assigned.get(slot) or self.retained.get(slot)
        return known.ready_epoch if known is not None else 0

    def note_incarnation(self, name: str, incarnation: int) -> None:
        """Record that a member has this incarnation, or a later one."""
        self.incarnations[name] = max(incarnation, self.incarnations.get(name, 0))

    def copy_merged(self, slot: int, name: str, epoch: int, incarnation: int, ready_epoch: int) -> None:
        """Record that a member's complete copy, as it was at `epoch` or later, is merged into ours."""
        self.note_incarnation(name, incarnation)
        known = self.assigned.get(slot) or self.retained.get(slot)
        if known is not None and epoch >= (known.start_epoch if slot in self.assigned else self.epoch):
            known.merged_from[name] = (incarnation, ready_epoch)

    def required_sources(self, slot: int) -> set[str]:
        """Members of the present view that may have a copy of it which is not merged yet."""
        return self._unmerged(slot) & self.members

    def optional_sources(self, slot: int, now: float) -> set[str]:
        """Members that left the view lately and may still answer, as on a graceful shutdown."""
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
        """Whether the copies merged so far cover all that was decided before the present configuration."""
        assigned = self.assigned[slot]
        merged = {**assigned.merged_from, self.name: (self.incarnation, assigned.ready_epoch)}
        source_epoch = max(ready for _, ready in merged.values())
        if source_epoch >= assigned.start_epoch:
            return Readiness.READY
        may_wait = bool(self.required_sources(slot)) or not self.history_received >= set(self.names) - {
            self.name
        }
        unknown = Readiness.WAITING if may_wait else Readiness.LOST
        if source_epoch == 0:
            return unknown
        worst = Readiness.READY
        for epoch in range(source_epoch, assigned.start_epoch):
            if epoch not in self.views:
                return unknown  # a fleet founded anew has such gaps
            replicas = self.views[epoch].replicas(slot)
            covered = self._coverage(replicas, merged)
            if covered is Readiness.READY:
                continue
            if may_wait:
                return Readiness.WAITING
            if covered is Readiness.PARTITIONED:
                return covered
            worst = covered
        return worst

    def _coverage(
        self, replicas: tuple[MemberIncarnation, ...], merged: dict[str, tuple[int, int]]
    ) -> Readiness:
        """Whether a majority of one epoch's replicas is merged, and if not, whether the rest may be alive."""
        quorum = majority(len(replicas))
        silent = [
            replica for replica in replicas if replica[0] not in merged or merged[replica[0]][0] > replica[1]
        ]
        if len(replicas) - len(silent) >= quorum:
            return Readiness.READY
        if sum(not self._is_dead(replica) for replica in silent) >= quorum:
            return Readiness.PARTITIONED  # these may be alive, and decide by themselves
        return Readiness.LOST

    def _is_dead(self, replica: MemberIncarnation) -> bool:
        """Whether that incarnation never comes back: its name has a later one, or the fleet agreed so."""
        return self.incarnations.get(replica[0], 0) > replica[1] or replica in self.removed

    def settle(self, slot: int, now: float, max_lifetime_s: float, waits_after_cold_start: bool) -> Readiness:
        """Check a range again, and mark it ready if it is.

        What nobody can know any more does not matter once the longest lifetime has passed.
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
        """Whether all present replicas of a retained range have reported that they are ready."""
        merged_from = self.retained[slot].merged_from
        names, start_epoch = self.views[self.epoch].replica_names(slot), self._start_epoch(slot)
        return all(name in merged_from and merged_from[name][1] >= start_epoch for name in names)
