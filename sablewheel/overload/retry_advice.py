"""Retry advice: what a rejected client is told about when and where to retry."""

from __future__ import annotations

from .client_activity import ClientActivity
from .context import DecisionContext
from .interface import Request
from .request_queue import RequestQueues
from .service_times import ServiceTimes

MAX_RETRY_RATIO = 0.2  # of the requests read, past which the fleet is taken to be full everywhere


class RetryAdvice:
    """Advice by the waits in the queues and by how many of the requests are retries.

    Invariant: the delay is above 0 wherever the settings allow one, since a rejection without a delay makes
    clients retry at once.
    """

    def __init__(
        self,
        context: DecisionContext,
        queues: RequestQueues,
        service_times: ServiceTimes,
        clients: ClientActivity,
    ) -> None:
        self._context = context
        self._queues = queues
        self._service_times = service_times
        self._clients = clients

    def retry_after_s(self, request: Request) -> float:
        """Return the wait of the oldest queued request, or else a usual response time."""
        oldest_s = max(self._queues.oldest_waits_s())
        delay_s = (
            oldest_s
            or self._service_times.response_s.quantile(0.5)
            or request.request_class.latency_objective_s
        )
        return min(max(delay_s, request.key_capacity_in_s), self._context.settings.max_retry_after_s)

    def no_retry_elsewhere(self, request: Request) -> bool:
        """Return whether the client should try no other server.

        That holds for a retry, and for all while many requests are retries, or may be since they are not
        marked: where all servers are full, each retry costs another one a reading. The cost: a request may
        miss a server that had capacity.
        """
        return (
            request.is_retry
            or not self._context.settings.marks_retries
            or self._clients.retries_exceed(MAX_RETRY_RATIO)
        )
