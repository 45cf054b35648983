"""Client activity: requests in flight, recent arrivals and how long each client waits for answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from itertools import takewhile
from typing import NamedTuple

from .context import DecisionContext
from .interface import Client, Request
from .service_times import MAX_SAMPLES, Samples

MAX_CLIENTS = 1024  # or four times `settings.clients` if that is more; an address may never return


class Arrival(NamedTuple):
    """A request that was read.

    Attributes:
        read_at: When it was read.
        since_last_s: Time since the previous request of the same client.
        starts_before: Number of runs that had started before it was read.
    """

    read_at: float
    since_last_s: float
    starts_before: int


class ClientActivity:
    """The recently active clients and the last requests read.

    Invariant: `active_clients` is the number of clients with unanswered requests here, and `timeouts` is
    ordered by the time of each client's last request.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.timeouts: dict[Client, Samples] = {}  # how long each client waited for its answers
        self.active_clients = 0
        self.arrivals: deque[Arrival] = deque(maxlen=MAX_SAMPLES)
        self.starts = 0  # runs started since the first batch
        self.unread_s = 0.0  # how long the last request had waited to be read
        self._retry_marks: deque[bool] = deque(maxlen=MAX_SAMPLES // 2)

    def record_arrival(self, request: Request) -> None:
        """Count a request that was just read as in flight."""
        client, now = request.client, self._context.now
        self.active_clients += not client.in_flight
        client.in_flight += 1
        self._retry_marks.append(request.is_retry)
        self.arrivals.append(Arrival(now, now - client.last_received_at, self.starts))
        client.last_received_at = request.read_at = now
        timeouts = self.timeouts.pop(client) if client in self.timeouts else Samples()
        self.timeouts[client] = timeouts  # moves it to the end
        if len(self.timeouts) > max(MAX_CLIENTS, 4 * self._context.settings.clients):
            oldest = next(iter(self.timeouts))
            if not oldest.in_flight:
                del self.timeouts[oldest]
        self.unread_s = now - request.arrived_at

    def record_answer(self, client: Client) -> None:
        """Count one request of a client as answered."""
        client.in_flight -= 1
        self.active_clients -= not client.in_flight

    def record_timeout(self, client: Client, waited_s: float) -> None:
        """Record that a client waits at least `waited_s` seconds for an answer."""
        self.timeouts[client].add(waited_s)

    def retries_exceed(self, fraction: float) -> bool:
        """Return whether more than `fraction` of the last requests were retries."""
        return sum(self._retry_marks) > fraction * len(self._retry_marks)

    def clients_seen_since(self, time: float) -> Iterator[Client]:
        """Return the clients whose last request was read after `time`, the most recent first."""
        return takewhile(lambda client: client.last_received_at > time, reversed(self.timeouts))

    def arrivals_within(self, span_s: float) -> float:
        """Return how many requests were read in the last `span_s` seconds.

        The number is extrapolated if the span reaches back beyond the retained arrivals.
        """
        since = self._context.now - span_s
        count = sum(1 for _ in takewhile(lambda arrival: arrival.read_at > since, reversed(self.arrivals)))
        if count < MAX_SAMPLES:
            return count
        return count * span_s / max(self._context.now - self.arrivals[0].read_at, 1e-6)
