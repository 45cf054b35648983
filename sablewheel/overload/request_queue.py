"""The queues of requests that wait to start, and the order in which they start."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from .context import DecisionContext
from .interface import Request, Stage
from .service_times import ClassStatistics, ServiceTimes

MIN_SHARE_RATIO = 0.5  # of its even part of the starts, left to each class whatever its work earns


def oldest_wait_s(queue: deque[Request], stage: Stage, now: float) -> float:
    """Return how long the first request that still stands in a queue has waited; 0 if there is none.

    Requests that have left the stage are discarded from the front.
    """
    while queue and queue[0].stage is not stage:
        queue.popleft()
    return now - queue[0].stage_since if queue else 0.0


class RequestQueues:
    """A queue for each request class and side of its tenants' quotas.

    Requests within a quota start before those beyond one; among them a class that lags behind its share
    first, then those whose work earns most, each class oldest first. One queue for all would give every class
    an even part, whatever it earns. The cost: under a lasting excess, work that earns little is rejected down
    to half of its even part.

    Invariant: queue `index` holds requests of the class with that index within their quota, queue
    `index + number of classes` those beyond it; requests that have left the queued stage may remain
    until they come to the front.
    """

    def __init__(self, context: DecisionContext, service_times: ServiceTimes) -> None:
        self._context = context
        self._service_times = service_times
        self.ranking = list(service_times.by_class.values())  # whose work earns most comes first
        self._queues: tuple[deque[Request], ...] = tuple(deque() for _ in 2 * self.ranking)
        self._arrived_work_s = [0.0] * len(self._queues)  # predicted for all that was ever queued
        self.update_ranking(1.0)

    def __len__(self) -> int:
        return sum(map(len, self._queues))

    def __iter__(self) -> Iterator[Request]:
        return (request for queue in self._queues for request in queue)

    def is_empty(self) -> bool:
        """Return whether no queue holds an entry."""
        return not any(self._queues)

    def append(self, index: int, request: Request) -> None:
        """Queue a request."""
        request.stage_since = self._context.now
        request.queued_work_ahead_s = self._arrived_work_s[index]
        statistics = self._service_times.by_class[request.request_class]
        self._arrived_work_s[index] += statistics.service_time_s(request.cost_hint, 0.5)
        self._queues[index].append(request)

    def oldest_waits_s(self) -> list[float]:
        """Return for each queue how long its first request has waited."""
        now = self._context.now
        return [oldest_wait_s(queue, Stage.QUEUED, now) for queue in self._queues]

    def indexes_ahead(self, statistics: ClassStatistics, over_quota: bool) -> list[int]:
        """Return the queues that start before a class's own, which comes last.

        That is its own queue alone while the class lags behind its share.
        """
        own = [other.index for other in self.ranking[: self.ranking.index(statistics) + 1]]
        if over_quota:
            classes = len(self.ranking)
            own = [*range(classes), *(classes + index for index in own)]
        return own[-1:] if self.lags(statistics) else own

    def work_ahead_s(self, indexes: list[int]) -> float:
        """Return the predicted service time of all that waits in these queues.

        The oldest request's age tells the wait of those that came before, not of the next one: a burst would
        fill the queues before any of it had grown old.
        """
        return sum(
            self._arrived_work_s[index] - self._queues[index][0].queued_work_ahead_s
            for index in indexes
            if self._queues[index]
        )

    def in_start_order(self) -> list[deque[Request]]:
        """Return the queues in the order in which they start."""
        lagging_first = sorted(self.ranking, key=self.lags, reverse=True)
        classes = len(lagging_first)
        return [
            self._queues[statistics.index + offset] for offset in (0, classes) for statistics in lagging_first
        ]

    def lags(self, statistics: ClassStatistics) -> bool:
        """Return whether fewer requests of a class started lately than what is left to each class."""
        arrived = sum(other.arrived for other in self.ranking)
        started = sum(other.started for other in self.ranking)
        return statistics.started * arrived < MIN_SHARE_RATIO * statistics.arrived * started

    def update_ranking(self, decay: float) -> None:
        """Rank the classes by what their work earns; the counts of earlier requests decay."""
        settings = self._context.settings
        weights = {
            self._service_times.by_class[request_class].index: max(request_class.priority_weight, 1e-9)
            for request_class in settings.request_classes
        }
        if settings.weight_by_work:
            self.ranking.sort(key=lambda statistics: -weights[statistics.index])
        elif all(statistics.service_s.values for statistics in self.ranking):
            self.ranking.sort(
                key=lambda statistics: statistics.service_s.quantile(0.5) / weights[statistics.index]
            )
        for statistics in self.ranking:
            statistics.arrived, statistics.started = statistics.arrived * decay, statistics.started * decay
