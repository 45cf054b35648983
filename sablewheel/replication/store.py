"""The store of a replica: entries by range, promised ballots, expiry times and each range's digest. Pure.

It is limited in entries and bytes, and accepts no new key at a limit. An expired entry is removed together
with its promise. This is safe because no message in flight is older than an entry's lifetime: frames expire
earlier.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass

from .entries import EMPTY, NO_BALLOT, Ballot, Entry, Key, merge

EXPIRY_TOLERANCE_S = 0.05  # each hop computes the remaining lifetime a little later


@dataclass(slots=True)
class StoredEntry:
    """The state of one key: the accepted or merged entry, the promised ballot, and the local expiry time."""

    entry: Entry = EMPTY
    promised: Ballot = NO_BALLOT
    expires_at: float = 0.0
    fingerprint: int = 0

    @property
    def min_ballot(self) -> Ballot:
        """The lowest ballot that may be accepted."""
        return max(self.promised, self.entry.ballot)


class EntryStore:
    """Entries by range and key.

    Invariant: a range's digest is the XOR of its entries' fingerprints; `entries` and `bytes` count all of
    them, including promises without an entry.
    """

    def __init__(self, max_entries: int, max_bytes: int) -> None:
        self._max_entries, self._max_bytes = max_entries, max_bytes
        self._slots: dict[int, dict[Key, StoredEntry]] = {}
        self._digests: dict[int, int] = {}
        self._expiries: list[tuple[float, int, Key]] = []
        self.entries = self.bytes = 0

    def get(self, slot: int, key: Key) -> StoredEntry | None:
        """Return the state of a key, or None if nothing is stored."""
        return self._slots.get(slot, {}).get(key)

    def entry(self, slot: int, key: Key) -> Entry:
        """Return the entry of a key, or the empty entry if nothing is stored."""
        stored = self.get(slot, key)
        return stored.entry if stored is not None else EMPTY

    def has_capacity(self, slot: int, key: Key, extra_bytes: int) -> bool:
        """Return whether there is capacity for this key with `extra_bytes` more."""
        is_new = key not in self._slots.get(slot, {})
        return self.bytes + extra_bytes <= self._max_bytes and self.entries + is_new <= self._max_entries

    def promise(self, slot: int, key: Key, ballot: Ballot, expires_at: float) -> StoredEntry:
        """Promise to accept nothing below a ballot."""
        stored = self._get_or_create(slot, key, expires_at)
        stored.promised = max(stored.promised, ballot)
        return stored

    def accept(self, slot: int, key: Key, entry: Entry, expires_at: float) -> StoredEntry:
        """Merge an entry into the stored one, whose outcomes are kept."""
        stored = self._get_or_create(slot, key, expires_at)
        merged = self.merged(stored.entry, entry)
        if merged != stored.entry:
            self.bytes += merged.size - stored.entry.size
            fingerprint = merged.fingerprint(key)
            self._digests[slot] = self._digests.get(slot, 0) ^ stored.fingerprint ^ fingerprint
            stored.entry, stored.fingerprint = merged, fingerprint
        return stored

    def merged(self, stored: Entry, received: Entry) -> Entry:
        """Return the entry to store; overridden by a faulty variant in experiments."""
        return merge(stored, received)

    def _get_or_create(self, slot: int, key: Key, expires_at: float) -> StoredEntry:
        keys = self._slots.setdefault(slot, {})
        stored = keys.get(key)
        if stored is None:
            stored = keys[key] = StoredEntry()
            self.entries += 1
            self.bytes += EMPTY.size
        if expires_at > stored.expires_at + EXPIRY_TOLERANCE_S:
            stored.expires_at = expires_at
            heapq.heappush(self._expiries, (expires_at, slot, key))
        return stored

    def expire(self, now: float) -> int:
        """Remove the expired entries.

        Returns:
            The number of removed entries.
        """
        removed = 0
        while self._expiries and self._expiries[0][0] <= now:
            _, slot, key = heapq.heappop(self._expiries)
            stored = self.get(slot, key)
            if stored is not None and stored.expires_at <= now:
                self._remove(slot, key, stored)
                removed += 1
        return removed

    @property
    def next_expiry(self) -> float:
        """The time at which the next entry may expire; infinite if nothing is stored."""
        return self._expiries[0][0] if self._expiries else float("inf")

    def _remove(self, slot: int, key: Key, stored: StoredEntry) -> None:
        keys = self._slots[slot]
        del keys[key]
        self.entries -= 1
        self.bytes -= stored.entry.size
        self._digests[slot] = self._digests.get(slot, 0) ^ stored.fingerprint
        if not keys:
            del self._slots[slot]
            self._digests.pop(slot, None)

    def drop(self, slot: int) -> int:
        """Remove all entries of a range.

        Returns:
            The number of removed entries.
        """
        keys = list(self._slots.get(slot, {}).items())
        for key, stored in keys:
            self._remove(slot, key, stored)
        return len(keys)

    def digest(self, slot: int) -> int:
        """Return the digest of a range, which is equal on two replicas that store the same entries."""
        return self._digests.get(slot, 0)

    @property
    def slots(self) -> list[int]:
        """The ranges of which entries or promises are stored."""
        return list(self._slots)

    def entries_after(self, slot: int, after: Key) -> Iterator[tuple[Key, StoredEntry]]:
        """Yield a range's entries after a key in key order, without promises that have no entry."""
        keys = self._slots.get(slot, {})
        for key in sorted(keys):
            if key > after and keys[key].entry != EMPTY:
                yield key, keys[key]
