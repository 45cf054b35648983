"""The idempotency table: which exchange a request is a duplicate of, and the results cached for duplicates.

The controller sets how long an entry is valid. Lookups use the time when a duplicate reached the machine, not
the time when it is read, so an entry is retained after it expired for as long as a request may be unread.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf, nextafter

from ..overload.pruned_heap import PrunedHeap
from .exchange import Exchange, ExchangeState

# The protocol makes every time limit 50 ms longer, and rounds times to whole milliseconds.
TIME_LIMIT_TOLERANCE_S = 0.051


@dataclass(slots=True)
class Entry:
    """The holder of an idempotency key.

    Attributes:
        exchange: The exchange that holds the key.
        expires_at: Until when it holds the key.
        previous: The entry that becomes valid again if the exchange never runs; None if there is none.
    """

    exchange: Exchange
    expires_at: float
    previous: Entry | None = None


class IdempotencyTable:
    """Entries by idempotency key. Cached results are bounded by `max_result_bytes`.

    A request that arrives after an entry expired takes over the idempotency key, but may never run. So its
    entry refers to the entry of the previous run, which becomes valid again if the request releases the key.

    Args:
        max_wait_s: The longest timeout of any request class.
        slack_s: How much longer an entry is valid than the controller sets.
        max_result_bytes: The limit of the total size of cached results.
    """

    def __init__(self, max_wait_s: float, slack_s: float, max_result_bytes: int) -> None:
        self._slack_s, self._max_result_bytes = slack_s + TIME_LIMIT_TOLERANCE_S, max_result_bytes
        self.max_wait_s = max_wait_s
        self._entries: dict[bytes, Entry] = {}
        self._expirations: PrunedHeap[bytes] = PrunedHeap(lambda key: key not in self._entries)
        self._reservations = 0
        self._cached: dict[Exchange, None] = {}
        self._cached_bytes = 0

    def find(self, idempotency_key: bytes, arrived_at: float) -> Exchange | None:
        """Return the exchange that a request with this idempotency key is a duplicate of.

        An exchange that has not started is also returned after its entry expired. Otherwise the later request
        might run first, and the earlier one would then run within the later one's window.
        """
        entry = self._entries.get(idempotency_key)
        if entry is None:
            return None
        if arrived_at <= entry.expires_at + self._slack_s or entry.exchange.state is ExchangeState.QUEUED:
            return entry.exchange
        return None

    def may_have_expired(self, arrived_at: float, now: float) -> bool:
        """Whether the original of a request that arrived at `arrived_at` may already be swept."""
        return now - arrived_at > self.max_wait_s

    def reserve(self, exchange: Exchange, now: float, lifetime_s: float) -> None:
        """Give the entry to this exchange, or renew it."""
        idempotency_key, expires_at = exchange.idempotency_key, now + lifetime_s
        if idempotency_key is None:
            return
        previous = None
        if (entry := self._entries.get(idempotency_key)) is not None:
            previous = entry.previous
            if entry.exchange is not exchange and entry.exchange.request.started:
                if previous is not None:
                    self._drop_result(previous.exchange)
                previous = Entry(entry.exchange, entry.expires_at)
        self._entries[idempotency_key] = Entry(exchange, expires_at, previous)
        self._expire_at(expires_at, idempotency_key)

    def release(self, exchange: Exchange) -> None:
        """Remove the entry of an exchange that never runs, and restore the previous entry, if any."""
        idempotency_key = exchange.idempotency_key
        if idempotency_key is None or not self.is_reserved_by(exchange):
            return
        previous = self._entries.pop(idempotency_key).previous
        if previous is not None:
            self._entries[idempotency_key] = previous
            self._expire_at(previous.expires_at, idempotency_key)

    def _expire_at(self, expires_at: float, idempotency_key: bytes) -> None:
        self._reservations += 1
        self._expirations.push(expires_at, self._reservations, idempotency_key)

    def is_reserved_by(self, exchange: Exchange) -> bool:
        """Whether the exchange holds its idempotency key."""
        if exchange.idempotency_key is None:
            return False
        entry = self._entries.get(exchange.idempotency_key)
        return entry is not None and entry.exchange is exchange

    def store_result(self, exchange: Exchange, result: bytes) -> None:
        """Cache a result for duplicates.

        Above the limit the oldest results are dropped, and their duplicates fail.
        """
        exchange.result = result
        self._cached[exchange] = None
        self._cached_bytes += len(result)
        while self._cached_bytes > self._max_result_bytes:
            self._drop_result(next(iter(self._cached)))

    def sweep(self, now: float) -> None:
        """Drop the entries that no unread duplicate can refer to any more, with their results."""
        oldest = now - self.max_wait_s - self._slack_s
        before_oldest = nextafter(oldest, -inf)  # a duplicate that arrived at `oldest` may still be unread
        while (idempotency_key := self._expirations.pop_due(before_oldest)) is not None:
            entry = self._entries[idempotency_key]
            if entry.expires_at < oldest:
                del self._entries[idempotency_key]
                self._drop_result(entry.exchange)
                if entry.previous is not None:
                    self._drop_result(entry.previous.exchange)

    def _drop_result(self, exchange: Exchange) -> None:
        if exchange in self._cached:
            del self._cached[exchange]
            self._cached_bytes -= len(exchange.result or b"")
            exchange.result = None
