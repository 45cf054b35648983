"""Which members hold what: weighted rendezvous hashing of a key's group, copies in different zones.

A group falls into one of `SLOTS` ranges; all keys of a range are held, caught up and let go together. Of
each range the members are ranked by a keyed hash (Thaler and Ravishankar 1998; weights as Schindelhauer and
Schomaker 2005): one that goes moves only what it held, one that comes takes only what it now ranks first for.
"""

from __future__ import annotations

import hashlib
from array import array
from dataclasses import dataclass
from functools import lru_cache
from math import log

from .plan import SLOTS

WEIGHT_MOST = 100.0

Seat = tuple[str, int]  # a member's name and its incarnation in the view


@dataclass(frozen=True, order=True, slots=True)
class Site:
    """A member as placement sees it."""

    name: str
    incarnation: int
    zone: str = ""
    weight: float = 1.0


Sites = tuple[Site, ...]


def slot_of(group: bytes, slots: int = SLOTS) -> int:
    return int.from_bytes(hashlib.blake2b(group, digest_size=8).digest(), "big") % slots


@lru_cache(maxsize=4096)
def _draws(name: str, slots: int) -> array[int]:
    """One number of 64 bits a range, from one hash of the name."""
    drawn = array("Q")
    drawn.frombytes(hashlib.shake_128(b"sablewheel placement " + name.encode()).digest(8 * slots))
    return drawn


class Placement:
    """The holders under one view. `copies` of them, or all members where there are fewer."""

    def __init__(self, sites: Sites, copies: int, slots: int = SLOTS) -> None:
        self.sites, self._copies, self._slots = sites, copies, slots
        self._placed = [one for one in sites if one.weight > 0]
        self._drawn = [_draws(one.name, slots) for one in self._placed]
        self._weighted = len({one.weight for one in self._placed}) > 1
        self._found: dict[int, tuple[Seat, ...]] = {}
        self._names: dict[int, tuple[str, ...]] = {}
        self._of: dict[str, list[int]] = {}

    def holders(self, slot: int) -> tuple[Seat, ...]:
        """In order of rank; the first ones of different zones, as far as there are as many."""
        found = self._found.get(slot)
        if found is None:
            row: list[float] = [drawn[slot] for drawn in self._drawn]
            if self._weighted:
                both = zip(self._placed, row, strict=True)
                row = [one.weight / -log((drawn + 0.5) / 2**64) for one, drawn in both]
            zones: set[str] = set()
            first: list[Site] = []
            rest: list[Site] = []
            for place in sorted(range(len(row)), key=row.__getitem__, reverse=True):
                one = self._placed[place]
                if one.zone not in zones:
                    zones.add(one.zone)
                    first.append(one)
                    if len(first) == self._copies:
                        break
                elif len(rest) < self._copies:
                    rest.append(one)
            first += rest[: self._copies - len(first)]
            found = self._found[slot] = tuple((one.name, one.incarnation) for one in first)
        return found

    def names(self, slot: int) -> tuple[str, ...]:
        found = self._names.get(slot)
        if found is None:
            found = self._names[slot] = tuple(name for name, _ in self.holders(slot))
        return found

    def of(self, name: str) -> list[int]:
        """The ranges that a member holds."""
        if not self._of:
            for slot in range(self._slots):
                for one in self.names(slot):
                    self._of.setdefault(one, []).append(slot)
        return self._of.get(name, [])


@lru_cache(maxsize=64)
def placement(sites: Sites, copies: int, slots: int) -> Placement:
    """The same for all who hold this view, in one process: it follows from the view alone."""
    return Placement(sites, copies, slots)


def majority(many: int) -> int:
    return many // 2 + 1
