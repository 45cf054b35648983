"""Retry advice: when and where a rejected client should retry."""

from __future__ import annotations

from .client_activity import ClientActivity
from .context import DecisionContext
from .interface import Request
from .request_queue import RequestQueues
from .service_times import ServiceTimes

MAX_RETRY_RATIO = 0.2  # part of the requests read; above it all servers are assumed to be full


class RetryAdvice:
    """Computes the advice from the waits in the queues and the ratio of retries.

    Invariant: the delay is above 0 if the settings allow one, since clients retry at once after a rejection
    without a delay.
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
        """Return the wait of the oldest queued request, or else the median response time, in seconds."""
        oldest_s = max(self._queues.oldest_waits_s())
        delay_s = (
            oldest_s
            or self._service_times.response_s.quantile(0.5)
            or request.request_class.latency_objective_s
        )
        return min(max(delay_s, request.key_capacity_in_s), self._context.settings.max_retry_after_s)

    def no_retry_elsewhere(self, request: Request) -> bool:
        """Return whether the client should not retry on another server.

        That is so for retries, and for all requests if many requests are retries or if retries are not
        marked: when all servers are full, each retry costs another server the reading of a request. The cost:
        a request may miss a server with capacity.
        """
        return (
            request.is_retry
            or not self._context.settings.marks_retries
            or self._clients.retries_exceed(MAX_RETRY_RATIO)
        )
