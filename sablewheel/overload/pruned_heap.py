"""A heap of timed items that does not keep items that are obsolete before they are due."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

MIN_ENTRIES_TO_PRUNE = 256

T = TypeVar("T")


class PrunedHeap(Generic[T]):
    """Items in the order of their due times.

    An obsolete item is dropped when it reaches the top, or when the heap has twice the entries that were left
    after it was last pruned. So each push costs a constant time more, on average.

    Invariant: there are at most twice as many entries as items that were in force at once since the heap was
    last pruned, or `MIN_ENTRIES_TO_PRUNE`. No two entries have the same time and order, so items are never
    compared.

    Args:
        is_obsolete: Whether the entries of an item that were added so far have no effect when they are due.
    """

    def __init__(self, is_obsolete: Callable[[T], bool]) -> None:
        self._is_obsolete = is_obsolete
        self._entries: list[tuple[float, int, T]] = []
        self._prune_above = MIN_ENTRIES_TO_PRUNE

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[T]:
        """Yield the items in no particular order; an item that was added twice comes twice."""
        return (entry[2] for entry in self._entries)

    def push(self, due_at: float, order: int, item: T) -> None:
        """Add an item; those due at the same time are returned by `order`, the lowest first."""
        heappush(self._entries, (due_at, order, item))
        if len(self._entries) > self._prune_above:
            self._prune()

    def pop_due(self, now: float) -> T | None:
        """Remove and return the first item that is due and not obsolete; None if there is none."""
        while self._entries and (self._entries[0][0] <= now or self._is_obsolete(self._entries[0][2])):
            item = heappop(self._entries)[2]
            if not self._is_obsolete(item):
                return item
        return None

    @property
    def next_due(self) -> float | None:
        """The due time of the first entry; None if there is none."""
        return self._entries[0][0] if self._entries else None

    def _prune(self) -> None:
        self._entries = [entry for entry in self._entries if not self._is_obsolete(entry[2])]
        heapify(self._entries)
        self._prune_above = max(2 * len(self._entries), MIN_ENTRIES_TO_PRUNE)
