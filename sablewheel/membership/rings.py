"""The monitoring topology of Rapid: the observers of a member are its successors on K rings.

Each ring orders the view's names by a keyed hash, so every member derives all observers from the
view alone. No I/O.
"""

from __future__ import annotations

import bisect
import hashlib
from functools import lru_cache

MAX_CACHED_RINGS = 8  # one per view; computing the rings in each step would dominate its cost


class Rings:
    """K orders of a view's names, each by a keyed hash."""

    def __init__(self, names: tuple[str, ...], ring_count: int) -> None:
        self._rings: list[tuple[list[bytes], list[str]]] = []  # hashes and names, in the order of the hashes
        self._successors: list[dict[str, str]] = []
        self._predecessors: list[dict[str, str]] = []
        for ring in range(ring_count):
            hashed = sorted((_ring_hash(ring, name), name) for name in names)
            order = [name for _, name in hashed]
            self._rings.append(([name_hash for name_hash, _ in hashed], order))
            self._successors.append(dict(zip(order, [*order[1:], *order[:1]], strict=True)))
            self._predecessors.append(dict(zip(order, [*order[-1:], *order[:-1]], strict=True)))

    def observers(self, subject: str) -> tuple[str, ...]:
        """Return the subject's successor on each ring, without repetition and never the subject itself.

        A subject that is not in the view is placed as if it were, so a joiner's observers are known before
        it joins.
        """
        observers: list[str] = []
        for ring, (hashes, order) in enumerate(self._rings):
            successor = self._successors[ring].get(subject)
            if successor is None and order:
                successor = order[bisect.bisect(hashes, _ring_hash(ring, subject)) % len(order)]
            if successor is not None and successor != subject and successor not in observers:
                observers.append(successor)
        return tuple(observers)

    def subjects(self, observer: str) -> tuple[str, ...]:
        """Return the names whose observers include this one, sorted."""
        subjects = {
            predecessors[observer] for predecessors in self._predecessors if observer in predecessors
        } - {observer}
        return tuple(sorted(subjects))


def _ring_hash(ring: int, name: str) -> bytes:
    return hashlib.blake2b(f"{ring}:{name}".encode(), digest_size=8).digest()


@lru_cache(maxsize=MAX_CACHED_RINGS)
def rings(names: tuple[str, ...], ring_count: int) -> Rings:
    """Return the rings of a view's names, cached."""
    return Rings(names, ring_count)
