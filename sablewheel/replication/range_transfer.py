"""When a member's copy of a range counts: what it must have heard, and from whom. Pure.

A *configuration* of a range is a run of epochs with the same holders (names and incarnations). A member is
ready in one when its copy covers all that was decided in those before. It is, once it merged the copy of a
member that was ready at some epoch k, and those of a majority of the holders of each configuration from k up
to the present one, each told when the teller held the present epoch or a later one: from then on it decides
nothing for an older epoch, so nothing is decided behind our back. A teller that started anew tells nothing of
its earlier self: its birth is later than that self's incarnation.
"""

from __future__ import annotations

import bisect
from dataclasses import dataclass, field
from enum import Enum

from .messages import Viewed
from .placement import Placement, Seat, Sites, majority, placement

PARTED_FOR = 3.0  # seconds: as long as links to one that left the view linger
HISTORY_MOST = 256  # views; a range that was not ready for longer waits for its lives to pass


class Standing(Enum):
    READY = "ready"
    WAITING = "waiting"  # for an answer of someone who may still give it
    LOST = "lost"  # what may be missing was decided by some that are gone; nobody can add to it
    CUT = "cut"  # enough to decide are out of the view, and may be alive


@dataclass(slots=True)
class Range:
    """One range here. `ready`: the last epoch at which its copy counted; `told`: by whom, and theirs."""

    ready: int = 0
    start: int = 0  # of the present configuration
    told: dict[str, tuple[int, int]] = field(default_factory=dict)  # name -> birth, ready
    lost_since: float | None = None


class Ranges:
    """All ranges that this member holds, or held and still keeps."""

    def __init__(self, name: str, birth: int, copies: int, slots: int) -> None:
        self.name, self.birth = name, birth
        self._copies, self._slots = copies, slots
        self.views: dict[int, Placement] = {}
        self._epochs: list[int] = []  # of the views known, in order
        self.epoch = 0
        self.mine: dict[int, Range] = {}  # held under the present view
        self.kept: dict[int, Range] = {}  # no longer; kept until the new holders have theirs
        self.unready: set[int] = set()
        self.past_told: set[str] = set()
        self.past_from: dict[str, int] = {}  # the oldest view that each has told of
        self.births: dict[str, int] = {name: birth}
        self.gone: set[Seat] = set()
        self.parted: dict[str, float] = {}  # who left the view lately, and until when it may still tell
        self.names: tuple[str, ...] = ()
        self.places: frozenset[str] = frozenset()

    # -- views

    def view(self, viewed: Viewed, now: float) -> None:
        self.gone |= set(viewed.gone)
        for name in self.places - {one.name for one in viewed.sites}:
            self.parted[name] = now + PARTED_FOR
        for name in [name for name, until in self.parted.items() if until <= now]:
            del self.parted[name]
        placed = placement(viewed.sites, self._copies, self._slots)
        self.views[viewed.epoch] = placed
        self.epoch, self.names = viewed.epoch, tuple(one.name for one in viewed.sites)
        self.places = frozenset(self.names)
        self.past_told.clear()
        self.past_from.clear()
        mine = set(placed.of(self.name))
        for slot in [one for one in self.mine if one not in mine]:
            self.kept[slot] = self.mine.pop(slot)
        for one in self.kept.values():
            one.told = {}
        for slot in mine:
            one = self.mine.get(slot) or self.kept.pop(slot, None) or Range()
            self.mine[slot] = one
            start = self._start(slot)
            if start != one.start and one.ready < start:
                one.start, one.told, one.lost_since = start, {}, None
            else:
                one.start = start
                one.ready = self.epoch if one.ready >= start else one.ready
        self.unready = {slot for slot, one in self.mine.items() if one.ready < one.start}
        self._epochs = sorted(self.views)
        for old in self._epochs[:-HISTORY_MOST]:
            del self.views[old]
        del self._epochs[:-HISTORY_MOST]

    def _start(self, slot: int) -> int:
        """The first epoch known of those without a gap whose holders are the present ones."""
        present, epoch = self.views[self.epoch].holders(slot), self.epoch
        while epoch - 1 in self.views and self.views[epoch - 1].holders(slot) == present:
            epoch -= 1
        return epoch

    def past(self, name: str, before: int, views: tuple[tuple[int, Sites], ...], more: bool) -> None:
        """What a member told of views before that one; `more`: it may have others."""
        asked = before == self.past_before(name)  # else it is late, and what has come up since is not in it
        for epoch, sites in views:
            if 0 < epoch < self.epoch and epoch not in self.views and len(self.views) < HISTORY_MOST:
                self.views[epoch] = placement(sites, self._copies, self._slots)
        self._epochs = sorted(self.views)
        if views and asked:
            self.past_from[name] = min(self.past_from.get(name, self.epoch), *(epoch for epoch, _ in views))
        if asked and not more:
            self.past_told.add(name)

    def past_before(self, name: str) -> int:
        """Before which view to ask that member for more. Not before the gap only: of a view that nobody was
        in, or of a fleet founded anew, nobody can tell, and the same ones would be told for ever.
        """
        return min(self.gap, self.past_from.get(name, self.gap))

    def older(self, before: int, most: int) -> tuple[tuple[int, Sites], ...]:
        """Of the views known here the latest before that one."""
        epochs = self._epochs[: bisect.bisect_left(self._epochs, before)][-most:]
        return tuple((epoch, self.views[epoch].sites) for epoch in reversed(epochs))

    @property
    def gap(self) -> int:
        """The first epoch, going back from now, whose view is not known, plus one."""
        epoch = self.epoch
        while epoch - 1 in self.views:
            epoch -= 1
        return epoch

    # -- what counts

    def is_ready(self, slot: int) -> bool:
        one = self.mine.get(slot)
        return one is not None and one.ready >= one.start

    def ready_at(self, slot: int) -> int:
        """The last epoch at which its copy here counted; 0: never."""
        one = self.mine.get(slot) or self.kept.get(slot)
        return one.ready if one is not None else 0

    def born(self, name: str, birth: int) -> None:
        self.births[name] = max(birth, self.births.get(name, 0))

    def told(self, slot: int, name: str, epoch: int, birth: int, ready: int) -> None:
        """Its whole copy of the range, as it was at `epoch` or later, is merged into ours."""
        self.born(name, birth)
        one = self.mine.get(slot) or self.kept.get(slot)
        if one is not None and epoch >= (one.start if slot in self.mine else self.epoch):
            one.told[name] = (birth, ready)

    def wanted(self, slot: int) -> set[str]:
        """Who in the present view may have something to tell of it, and has not."""
        return self._untold(slot) & self.places

    def hoped(self, slot: int, now: float) -> set[str]:
        """Who left the view lately and may be alive, as one that leaves in order is; not waited for."""
        return {name for name in self._untold(slot) - self.places if self.parted.get(name, 0.0) > now}

    def _untold(self, slot: int) -> set[str]:
        one = self.mine[slot]
        found: set[str] = set()
        source = max([one.ready, *(ready for _, ready in one.told.values())])
        for epoch in self._epochs[bisect.bisect_left(self._epochs, source) :]:
            found.update(self.views[epoch].names(slot))
        return found - set(one.told) - {self.name}

    def standing(self, slot: int) -> Standing:
        one = self.mine[slot]
        told = {**one.told, self.name: (self.birth, one.ready)}
        source = max(ready for _, ready in told.values())
        if source >= one.start:
            return Standing.READY
        waits = bool(self.wanted(slot)) or not self.past_told >= set(self.names) - {self.name}
        if source == 0:
            return Standing.WAITING if waits else Standing.LOST
        worst = Standing.READY
        for epoch in range(source, one.start):
            placed = self.views.get(epoch)
            if placed is None:
                return Standing.WAITING if waits else Standing.LOST  # a fleet founded anew has such gaps
            seats = placed.holders(slot)
            needed = majority(len(seats))
            silent = [one for one in seats if one[0] not in told or told[one[0]][0] > one[1]]
            if len(seats) - len(silent) >= needed:
                continue
            if waits:
                return Standing.WAITING
            if sum(not self._dead(one) for one in silent) >= needed:
                return Standing.CUT  # these may be alive, and decide by themselves
            worst = Standing.LOST
        return worst

    def _dead(self, seat: Seat) -> bool:
        """That incarnation is gone for good: its name was born anew, or the fleet agreed so."""
        return self.births.get(seat[0], 0) > seat[1] or seat in self.gone

    def settle(self, slot: int, now: float, longest: float, cold_waits: bool) -> Standing:
        """Look at it again; whether it counts from now on. What nobody can know any more is over once the
        longest life has passed.
        """
        one = self.mine[slot]
        found = self.standing(slot)
        if found is Standing.LOST:
            if one.lost_since is None:
                one.lost_since = now
            fresh = not cold_waits and one.ready == 0 and all(not ready for _, ready in one.told.values())
            if fresh or now >= one.lost_since + longest:
                found = Standing.READY
        else:
            one.lost_since = None
        if found is Standing.READY:
            one.ready, one.lost_since = self.epoch, None
            self.unready.discard(slot)
        return found

    def let_go(self, slot: int) -> bool:
        """Of a range that is no longer ours: whether every present holder said that it is ready."""
        one = self.kept[slot]
        names, start = self.views[self.epoch].names(slot), self._start(slot)
        return all(name in one.told and one.told[name][1] >= start for name in names)
