"""Which keyed runs may have run, for how long that must be known, and what is let go when room runs out.
Pure.

The one thing that may never be lost while its window is open is that a run was intended: without it a repeat
would run again. Results come second: without one a repeat is failed, which is poor but safe. So results
go first, the oldest first; and if even the intents have no room, new keyed requests are not to run, and it
is told when room is due.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from enum import Enum

ENTRY_BYTES = 400  # what an entry without its result is taken to cost in memory
INSTANT = 0.001  # the least wait that is told, seconds


class State(Enum):
    """INTENDED: it may have run. WORKED, FAILED: it is over. DROPPED: it worked, and its result is gone."""

    INTENDED = "intended"
    WORKED = "worked"
    FAILED = "failed"
    DROPPED = "dropped"


@dataclass(slots=True, eq=False)
class Entry:
    """One idempotency key; `until` in seconds by the clock of this incarnation. `result` only if it is
    WORKED.
    """

    idempotency_key: bytes
    sameness: bytes
    name: bytes
    request_class: str
    arrived: float
    until: float
    state: State = State.INTENDED
    result: bytes = b""
    record: int = 0  # the log's record that holds its intent; 0: it is not written yet


class Memory:
    """All idempotency keys whose windows are open.

    Invariant: there are at most `entries_most` entries and `bytes_most` bytes, each entry counted with
    `ENTRY_BYTES`; an entry goes only when its window is over, or when its run is known never to have begun.
    """

    def __init__(self, entries_most: int, bytes_most: int) -> None:
        self._entries_most, self._bytes_most = entries_most, bytes_most
        self.entries: dict[bytes, Entry] = {}
        self._lapses: list[tuple[float, bytes]] = []
        self._results: deque[Entry] = deque()
        self.bytes = 0
        self.results_dropped = 0

    def room_in(self, now: float, planned: int = 0) -> float:
        """Seconds until a further idempotency key fits, besides `planned` ones; 0 if it fits now.
        Expire first.
        """
        over = len(self.entries) + planned + 1 - self._fit_most()
        if over <= 0:
            return 0.0
        # Of what is there: the lapses also hold what was forgotten since, and would promise room too soon.
        soonest = heapq.nsmallest(over, (entry.until for entry in self.entries.values()))
        # Never 0 while it does not fit: at the very end of a window its idempotency key is still there.
        return max(soonest[-1] - now, INSTANT) if soonest else 0.0

    def _fit_most(self) -> int:
        return min(self._entries_most, self._bytes_most // ENTRY_BYTES)

    def intend(self, entry: Entry) -> None:
        """A run is to be sent. Whoever calls has asked for room; one too many is kept rather than lost."""
        old = self.entries.get(entry.idempotency_key)
        if old is not None:
            self._let_go(old)
        self.entries[entry.idempotency_key] = entry
        heapq.heappush(self._lapses, (entry.until, entry.idempotency_key))
        self.bytes += ENTRY_BYTES
        self._make_room()

    def end(self, idempotency_key: bytes, name: bytes, state: State, result: bytes = b"") -> Entry | None:
        """The run of that name is over; None if nobody remembers it (any more)."""
        entry = self.entries.get(idempotency_key)
        if entry is None or entry.name != name:
            return None
        entry.state = state
        if state is State.WORKED:
            entry.result = result
            self.bytes += len(result)
            self._results.append(entry)
            self._make_room()
        return entry

    def forget(self, idempotency_key: bytes, name: bytes) -> None:
        """It never began: its idempotency key is free."""
        entry = self.entries.get(idempotency_key)
        if entry is not None and entry.name == name:
            self._let_go(entry)

    def expire(self, now: float) -> list[Entry]:
        """Entries whose window is over; they are gone."""
        gone = []
        while self._lapses and self._lapses[0][0] < now:
            _, idempotency_key = heapq.heappop(self._lapses)
            entry = self.entries.get(idempotency_key)
            if entry is not None and entry.until < now:
                self._let_go(entry)
                gone.append(entry)
        return gone

    def rebase(self, by: float, latest: float) -> None:
        """The clock was set: all windows move with it, none beyond `latest`."""
        for entry in self.entries.values():
            entry.arrived += by
            entry.until = min(entry.until + by, latest)
        self._lapses = [(entry.until, entry.idempotency_key) for entry in self.entries.values()]
        heapq.heapify(self._lapses)

    def _make_room(self) -> None:
        """Results go, the oldest first, until the rest fits; never an entry."""
        while self.bytes > self._bytes_most and self._results:
            entry = self._results.popleft()
            if entry.state is State.WORKED and self.entries.get(entry.idempotency_key) is entry:
                entry.state = State.DROPPED
                self.bytes -= len(entry.result)
                entry.result = b""
                self.results_dropped += 1

    def _let_go(self, entry: Entry) -> None:
        if self.entries.get(entry.idempotency_key) is entry:
            del self.entries[entry.idempotency_key]
            self.bytes -= ENTRY_BYTES + len(entry.result)
            if entry.state is State.WORKED:
                entry.state, entry.result = State.DROPPED, b""
        while self._results and self.entries.get(self._results[0].idempotency_key) is not self._results[0]:
            self._results.popleft()
