"""What a holder holds: entries by range, their promises, their ends, and each range's digest. Pure.

Bounded in entries and bytes; what is full takes no new key, and says so. An entry that ended is forgotten
with its promise: nothing that is still on its way may be older than an entry's life (frames live shorter).
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from .entries import EMPTY, NO_BALLOT, Ballot, Entry, merge
from .messages import Key


@dataclass(slots=True)
class Held:
    """One key: what was accepted or merged, the ballot promised, when it ends by this member's clock."""

    entry: Entry = EMPTY
    promised: Ballot = NO_BALLOT
    until: float = 0.0
    mark: int = 0

    @property
    def floor(self) -> Ballot:
        """Below this nothing is accepted."""
        return max(self.promised, self.entry.ballot)


class Store:
    def __init__(self, entries_most: int, bytes_most: int) -> None:
        self._entries_most, self._bytes_most = entries_most, bytes_most
        self._slots: dict[int, dict[Key, Held]] = {}
        self._digests: dict[int, int] = {}
        self._ends: list[tuple[float, int, Key]] = []
        self.entries = self.bytes = 0

    def get(self, slot: int, key: Key) -> Held | None:
        return self._slots.get(slot, {}).get(key)

    def room(self, slot: int, key: Key, more: int) -> bool:
        """Whether this key may take so many bytes more."""
        new = key not in self._slots.get(slot, {})
        return self.bytes + more <= self._bytes_most and self.entries + new <= self._entries_most

    def promise(self, slot: int, key: Key, ballot: Ballot, until: float) -> Held:
        held = self._open(slot, key, until)
        held.promised = max(held.promised, ballot)
        return held

    def accept(self, slot: int, key: Key, entry: Entry, until: float) -> Held:
        """Merged into what is there: its outcomes stay, whatever the register says."""
        held = self._open(slot, key, until)
        merged = self.merged(held.entry, entry)
        if merged != held.entry:
            self.bytes += merged.size - held.entry.size
            mark = merged.mark(key)
            self._digests[slot] = self._digests.get(slot, 0) ^ held.mark ^ mark
            held.entry, held.mark = merged, mark
        return held

    def merged(self, held: Entry, came: Entry) -> Entry:
        return merge(held, came)

    def _open(self, slot: int, key: Key, until: float) -> Held:
        keys = self._slots.setdefault(slot, {})
        held = keys.get(key)
        if held is None:
            held = keys[key] = Held()
            self.entries += 1
            self.bytes += EMPTY.size
        if until > held.until + 0.05:  # each hop reads a little later: that much is no news
            held.until = until
            heapq.heappush(self._ends, (until, slot, key))
        return held

    def expire(self, now: float) -> int:
        """Forget what ended; how many."""
        gone = 0
        while self._ends and self._ends[0][0] <= now:
            _, slot, key = heapq.heappop(self._ends)
            held = self.get(slot, key)
            if held is not None and held.until <= now:
                self._forget(slot, key, held)
                gone += 1
        return gone

    @property
    def next_end(self) -> float:
        return self._ends[0][0] if self._ends else float("inf")

    def _forget(self, slot: int, key: Key, held: Held) -> None:
        keys = self._slots[slot]
        del keys[key]
        self.entries -= 1
        self.bytes -= held.entry.size
        self._digests[slot] = self._digests.get(slot, 0) ^ held.mark
        if not keys:
            del self._slots[slot]
            self._digests.pop(slot, None)

    def drop(self, slot: int) -> int:
        """Let go of a range; how many entries."""
        keys = list(self._slots.get(slot, {}).items())
        for key, held in keys:
            self._forget(slot, key, held)
        return len(keys)

    def digest(self, slot: int) -> int:
        return self._digests.get(slot, 0)

    @property
    def slots(self) -> list[int]:
        return list(self._slots)

    def after(self, slot: int, key: Key) -> Iterator[tuple[Key, Held]]:
        """A range's entries in the order of keys; promises alone are not among them."""
        keys = self._slots.get(slot, {})
        for one in sorted(keys):
            if one > key and keys[one].entry != EMPTY:
                yield one, keys[one]
