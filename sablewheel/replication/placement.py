"""Which members are replicas of a range: weighted rendezvous hashing, with replicas in different zones.

A key's group falls into one of `SLOTS` ranges; all keys of a range are stored, transferred and dropped
together. Members are ranked for each range by a keyed hash (Thaler and Ravishankar 1998; weights as
Schindelhauer and Schomaker 2005): a member that leaves moves only what it held, one that joins takes only the
ranges for which it now ranks first.
"""

from __future__ import annotations

import hashlib
from array import array
from dataclasses import dataclass
from functools import lru_cache
from math import log

from .plan import SLOTS

MAX_WEIGHT = 100.0

MemberIncarnation = tuple[str, int]  # a member's name and its incarnation in the view


@dataclass(frozen=True, order=True, slots=True)
class Site:
    """A member as placement sees it."""

    name: str
    incarnation: int
    zone: str = ""
    weight: float = 1.0


Sites = tuple[Site, ...]


def slot_of(group: bytes, slots: int = SLOTS) -> int:
    """The range of a group."""
    return int.from_bytes(hashlib.blake2b(group, digest_size=8).digest(), "big") % slots


@lru_cache(maxsize=4096)
def _random_numbers(name: str, slots: int) -> array[int]:
    """A 64-bit number for each range, from one hash of the member's name."""
    numbers = array("Q")
    numbers.frombytes(hashlib.shake_128(b"sablewheel placement " + name.encode()).digest(8 * slots))
    return numbers


class Placement:
    """The replicas of all ranges under one view: `copies` of each, or all members where there are fewer."""

    def __init__(self, sites: Sites, copies: int, slots: int = SLOTS) -> None:
        self.sites, self._copies, self._slots = sites, copies, slots
        self._candidates = [site for site in sites if site.weight > 0]
        self._numbers = [_random_numbers(site.name, slots) for site in self._candidates]
        self._is_weighted = len({site.weight for site in self._candidates}) > 1
        self._replicas: dict[int, tuple[MemberIncarnation, ...]] = {}
        self._replica_names: dict[int, tuple[str, ...]] = {}
        self._slots_of: dict[str, list[int]] = {}

    def replicas(self, slot: int) -> tuple[MemberIncarnation, ...]:
        """The replicas of a range in order of rank; the first ones in different zones, as far as possible."""
        replicas = self._replicas.get(slot)
        if replicas is None:
            chosen = self._choose(self._scores(slot))
            replicas = self._replicas[slot] = tuple((site.name, site.incarnation) for site in chosen)
        return replicas

    def _scores(self, slot: int) -> list[float]:
        scores: list[float] = [numbers[slot] for numbers in self._numbers]
        if self._is_weighted:
            pairs = zip(self._candidates, scores, strict=True)
            scores = [site.weight / -log((number + 0.5) / 2**64) for site, number in pairs]
        return scores

    def _choose(self, scores: list[float]) -> list[Site]:
        zones: set[str] = set()
        chosen: list[Site] = []
        same_zone: list[Site] = []
        for index in sorted(range(len(scores)), key=scores.__getitem__, reverse=True):
            site = self._candidates[index]
            if site.zone not in zones:
                zones.add(site.zone)
                chosen.append(site)
                if len(chosen) == self._copies:
                    break
            elif len(same_zone) < self._copies:
                same_zone.append(site)
        return chosen + same_zone[: self._copies - len(chosen)]

    def replica_names(self, slot: int) -> tuple[str, ...]:
        """The names of a range's replicas, in order of rank."""
        names = self._replica_names.get(slot)
        if names is None:
            names = self._replica_names[slot] = tuple(name for name, _ in self.replicas(slot))
        return names

    def slots_of(self, name: str) -> list[int]:
        """The ranges of which a member is a replica."""
        if not self._slots_of:
            for slot in range(self._slots):
                for replica_name in self.replica_names(slot):
                    self._slots_of.setdefault(replica_name, []).append(slot)
        return self._slots_of.get(name, [])


@lru_cache(maxsize=64)
def placement(sites: Sites, copies: int, slots: int) -> Placement:
    """The placement under a view; it follows from the view alone, so one process shares it."""
    return Placement(sites, copies, slots)


def majority(count: int) -> int:
    """The size of a majority of so many replicas."""
    return count // 2 + 1
