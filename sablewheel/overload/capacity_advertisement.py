"""The capacity advertisement: the number that is sent to clients with every answer."""

from __future__ import annotations

from .client_activity import ClientActivity
from .context import DecisionContext
from .credit_pool import CreditPool
from .interface import AdvertiseCapacity, AdvertisementKind
from .request_queue import RequestQueues
from .resource_limits import ResourceLimits
from .service_times import ServiceTimes
from .slow_start import SlowStart

MAX_CREDIT = 2**31


class CapacityAdvertiser:
    """Advertises each client's share of the credit pool while that is the limit, and of the memory otherwise.

    Invariant: an action is issued only when the rounded value changes.
    """

    def __init__(
        self,
        context: DecisionContext,
        credit_pool: CreditPool,
        queues: RequestQueues,
        clients: ClientActivity,
        service_times: ServiceTimes,
        resources: ResourceLimits,
        slow_start: SlowStart,
    ) -> None:
        self._context = context
        self._credit_pool = credit_pool
        self._queues = queues
        self._clients = clients
        self._service_times = service_times
        self._resources = resources
        self._slow_start = slow_start
        self._advertised: float | None = None

    def update(self) -> None:
        """Advertise the current value, if it has changed."""
        kind = self._context.settings.advertisement
        if kind is AdvertisementKind.NONE:
            return
        value = round(self._credit() if kind is AdvertisementKind.CREDIT else self._load(kind), 2)
        if value != self._advertised:
            self._advertised = value
            self._context.actions.append(AdvertiseCapacity(value))

    def max_credit(self) -> float:
        """Return the number of running requests that cores and memory sustain."""
        return min(self._slow_start.max_concurrency(), self._resources.max_requests_in_memory(self._queues))

    def _credit(self) -> float:
        """Return how many requests each client may have in flight."""
        clients, has_read_backlog = self._clients, self._has_read_backlog()
        sharing_clients = clients.active_clients
        if has_read_backlog:  # clients without a request in flight may have an unread one
            recent_clients = clients.clients_seen_since(self._context.now - clients.unread_s)
            sharing_clients += sum(not client.in_flight for client in recent_clients)
        if has_read_backlog or not self._queues.is_empty():
            credit = self._pool_credit()
        else:
            credit = min(self._resources.max_requests_in_memory(self._queues), MAX_CREDIT)
        if self._slow_start.is_warming_up():
            return self._warm_up_share(credit, sharing_clients)
        return max(credit / max(sharing_clients, 1), 1.0)

    def _load(self, kind: AdvertisementKind) -> float:
        """Return the accept probability or the load level."""
        share = 1.0
        if self._has_read_backlog() or not self._queues.is_empty():
            share = self._pool_credit() / max(self._open_requests(), 1)
        return min(share, 1.0) if kind is AdvertisementKind.ACCEPT_PROBABILITY else max(1 - share, 0.0)

    def _has_read_backlog(self) -> bool:
        return self._clients.unread_s > self._service_times.response_s.quantile(0.5)

    def _pool_credit(self) -> float:
        return max(self._credit_pool.credit, self._context.settings.cores)

    def _open_requests(self) -> int:
        """Return the requests that run or are queued."""
        return len(self._resources.running) + len(self._queues)

    def _warm_up_share(self, credit: float, sharing_clients: int) -> float:
        """Return each client's share while this server warms up; a share below 1 is a probability.

        All clients share the concurrency that the cores sustain, including clients without a request here:
        otherwise each of them could use its own credit at the same moment. Requests read within the
        concurrency span count even if they are answered: otherwise quick answers, above all rejections, would
        free their credit at once. The cost: some clients send no request although there is capacity.
        """
        settings, clients = self._context.settings, self._clients
        sharing_clients = max(sharing_clients, settings.clients)
        recent = clients.arrivals_within(settings.concurrency_span_s)
        free = max(self._slow_start.max_concurrency() - recent, 0.0)
        idle_clients = max(sharing_clients - clients.active_clients, 1)
        share = min(free / idle_clients, (free + self._open_requests()) / sharing_clients)
        return min(share, min(credit, self.max_credit()) / sharing_clients)
