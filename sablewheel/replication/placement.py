"""The replicas of ranges: weighted rendezvous hashing, with replicas in different zones.

A key's group is hashed into one of `SLOTS` ranges; all keys of a range are stored, transferred and dropped
together. Members are ranked for each range by a keyed hash (Thaler and Ravishankar 1998; weights according to
Schindelhauer and Schomaker 2005). When a member leaves, only its ranges move; when one joins, it takes over
only the ranges for which it now ranks among the first.
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
    """The properties of a member that determine placement."""

    name: str
    incarnation: int
    zone: str = ""
    weight: float = 1.0


Sites = tuple[Site, ...]


def slot_of(group: bytes, slots: int = SLOTS) -> int:
    """Return the range of a group."""
    return int.from_bytes(hashlib.blake2b(group, digest_size=8).digest(), "big") % slots


@lru_cache(maxsize=4096)
def _random_numbers(name: str, slots: int) -> array[int]:
    """Return a 64-bit pseudorandom number for each range, derived from one hash of the member's name."""
    numbers = array("Q")
    numbers.frombytes(hashlib.shake_128(b"sablewheel placement " + name.encode()).digest(8 * slots))
    return numbers


class Placement:
    """The replicas of all ranges under one view: `copies` for each, or all members if there are fewer."""

    def __init__(self, sites: Sites, copies: int, slots: int = SLOTS) -> None:
        self.sites, self._copies, self._slots = sites, copies, slots
        self._candidates = [site for site in sites if site.weight > 0]
        self._numbers = [_random_numbers(site.name, slots) for site in self._candidates]
        self._is_weighted = len({site.weight for site in self._candidates}) > 1
        self._replicas: dict[int, tuple[MemberIncarnation, ...]] = {}
        self._replica_names: dict[int, tuple[str, ...]] = {}
        self._slots_of: dict[str, list[int]] = {}

    def replicas(self, slot: int) -> tuple[MemberIncarnation, ...]:
        """Return the replicas of a range, in different zones as far as possible.

        They are in order of rank, but replicas in a zone that already has one come last.
        """
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
        """Return the names of a range's replicas, in the order of `replicas`."""
        names = self._replica_names.get(slot)
        if names is None:
            names = self._replica_names[slot] = tuple(name for name, _ in self.replicas(slot))
        return names

    def slots_of(self, name: str) -> list[int]:
        """Return the ranges of which a member is a replica."""
        if not self._slots_of:
            for slot in range(self._slots):
                for replica_name in self.replica_names(slot):
                    self._slots_of.setdefault(replica_name, []).append(slot)
        return self._slots_of.get(name, [])


@lru_cache(maxsize=64)
def placement(sites: Sites, copies: int, slots: int) -> Placement:
    """Return the placement under a view; it depends only on the arguments, so it is cached."""
    return Placement(sites, copies, slots)


def majority(count: int) -> int:
    """Return the size of a majority of `count` replicas."""
    return count // 2 + 1
