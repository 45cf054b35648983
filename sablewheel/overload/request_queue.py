"""The queues of requests that wait to start, and the order in which they start."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from .context import DecisionContext
from .interface import Request, Stage
from .service_times import ClassStatistics, ServiceTimes

MIN_SHARE_RATIO = 0.5  # part of its equal share of the starts that each class gets regardless of its value


def oldest_wait_s(queue: deque[Request], stage: Stage, now: float) -> float:
    """Return how long the first request that is still in a queue has waited; 0 if there is none.

    Requests that have left the stage are discarded from the front.
    """
    while queue and queue[0].stage is not stage:
        queue.popleft()
    return now - queue[0].stage_since if queue else 0.0


class RequestQueues:
    """Two queues for each request class: requests within their tenant's quota, and requests over it.

    Requests within a quota start before those over one. Among them, classes that lag behind their share start
    first, then the classes with the most valuable work; each class starts oldest first. A single queue would
    give all classes equal shares regardless of their value. The cost: under sustained overload, the starts of
    low-value classes are reduced to half of an equal share.

    Invariant: queue `index` contains requests of the class with that index within their quota, queue
    `index + number of classes` those over it; requests that have left the queued stage may remain
    until they reach the front.
    """

    def __init__(self, context: DecisionContext, service_times: ServiceTimes) -> None:
        self._context = context
        self._service_times = service_times
        self.ranking = list(service_times.by_class.values())  # most valuable work first
        self._queues: tuple[deque[Request], ...] = tuple(deque() for _ in 2 * self.ranking)
        self._arrived_work_s = [0.0] * len(
            self._queues
        )  # predicted service time of all requests ever queued, by queue
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
        """Return the queues that start before a class's own queue, followed by that queue.

        While the class lags behind its share, that is its own queue alone.
        """
        indexes = [other.index for other in self.ranking[: self.ranking.index(statistics) + 1]]
        if over_quota:
            classes = len(self.ranking)
            indexes = [*range(classes), *(classes + index for index in indexes)]
        return indexes[-1:] if self.lags(statistics) else indexes

    def work_ahead_s(self, indexes: list[int]) -> float:
        """Return the predicted service time in seconds of all requests in these queues.

        The age of the oldest request shows the wait of earlier requests, not of the next one: a burst would
        fill the queues before any of its requests had aged.
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
        """Return whether a class recently started fewer requests than its minimum share."""
        arrived = sum(other.arrived for other in self.ranking)
        started = sum(other.started for other in self.ranking)
        return statistics.started * arrived < MIN_SHARE_RATIO * statistics.arrived * started

    def update_ranking(self, decay: float) -> None:
        """Rank the classes by the value of their work, and let the counts of earlier requests decay."""
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
