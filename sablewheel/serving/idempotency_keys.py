"""The table of idempotency keys: which try a repeat repeats, and the results kept for repeats.

An entry lives as long as the decision says. It is looked up by when a repeat reached the machine, not by
when it is read, so it is kept for as long past its life as a request may lie unread.
"""

from __future__ import annotations

from heapq import heappop, heappush

from .exchange import Exchange, Place

LONGER = 0.051  # the protocol makes every time limit 50 ms longer, and tells times in whole milliseconds


class IdempotencyTable:
    """Entries by idempotency key, each with the try that holds it; kept results have a bound in bytes.

    An idempotency key may be taken over by a try that came past the entry's life and is then never run. So an
    entry also has what ran before it, which counts again once that try lets go of it.
    """

    def __init__(self, lag: float, slack: float, bytes_most: int) -> None:
        self._slack, self._bytes_most = slack + LONGER, bytes_most
        self.lag = lag  # the longest that a request is waited for
        self._entries: dict[bytes, tuple[Exchange, float, tuple[Exchange, float] | None]] = {}
        self._lapses: list[tuple[float, bytes]] = []  # a heap: windows differ by request class
        self._kept: dict[Exchange, None] = {}
        self._bytes = 0

    def find(self, idempotency_key: bytes, reached: float) -> Exchange | None:
        """The try that one with this idempotency key repeats, by when it reached the machine.

        One that has not begun counts past its life as well: the later try might overtake it, and it would run
        within that one's window.
        """
        first, until, _ = self._entries.get(idempotency_key, (None, 0.0, None))
        if first is None or reached <= until + self._slack:
            return first
        return first if first.place is Place.HELD else None

    def forgets(self, reached: float, now: float) -> bool:
        """Whether what a try repeats may be swept already. Nobody waits for that try any more."""
        return now - reached > self.lag

    def remember(self, exchange: Exchange, now: float, life: float) -> None:
        """The entry is this try's from now on; it is renewed if it was already."""
        idempotency_key, until = exchange.idempotency_key, now + life
        if idempotency_key is None:
            return
        before = None
        if (entry := self._entries.get(idempotency_key)) is not None:
            first, _, before = entry
            if first is not exchange and first.request.started:
                if before is not None:
                    self._drop(before[0])
                before = entry[:2]
        self._entries[idempotency_key] = (exchange, until, before)
        heappush(self._lapses, (until, idempotency_key))

    def release(self, exchange: Exchange) -> None:
        """It has not run and never will: the entry is that of the one before it again, if any."""
        idempotency_key = exchange.idempotency_key
        if idempotency_key is None or not self.holds(exchange):
            return
        before = self._entries.pop(idempotency_key)[2]
        if before is not None:
            self._entries[idempotency_key] = (*before, None)
            heappush(self._lapses, (before[1], idempotency_key))

    def holds(self, exchange: Exchange) -> bool:
        return (
            exchange.idempotency_key is not None
            and self._entries.get(exchange.idempotency_key, (None,))[0] is exchange
        )

    def keep(self, exchange: Exchange, result: bytes) -> None:
        """Keep a result for repeats; beyond the bound the oldest go, and their repeats end in an error."""
        exchange.result = result
        self._kept[exchange] = None
        self._bytes += len(result)
        while self._bytes > self._bytes_most:
            self._drop(next(iter(self._kept)))

    def sweep(self, now: float) -> None:
        """Let go of entries that no unread repeat can mean any more, and of their results."""
        oldest = now - self.lag - self._slack
        while self._lapses and self._lapses[0][0] < oldest:
            _, idempotency_key = heappop(self._lapses)
            if idempotency_key in self._entries and self._entries[idempotency_key][1] < oldest:
                first, _, before = self._entries.pop(idempotency_key)
                self._drop(first)
                if before is not None:
                    self._drop(before[0])

    def _drop(self, exchange: Exchange) -> None:
        if exchange in self._kept:
            del self._kept[exchange]
            self._bytes -= len(exchange.result or b"")
            exchange.result = None
