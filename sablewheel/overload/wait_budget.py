"""The wait budget: how long a request may wait before its run, and before its dependency call."""

from __future__ import annotations

from typing import NamedTuple

from .client_activity import ClientActivity
from .context import DecisionContext
from .interface import Request
from .service_times import ServiceTimes


class WaitBudget(NamedTuple):
    """The remaining waits of a request in seconds; negative if it is already late.

    Attributes:
        budget_s: The budget from which its waits are deducted.
        slack_s: How long it may wait and still be answered in time.
    """

    budget_s: float
    slack_s: float


class WaitBudgets:
    """The budget of Protego: half of the remaining time minus the 99th percentile of the service time.

    A queued request that can only be answered late, or after its client has timed out, has little value: it
    is rejected once its objective or its client's timeout is out of reach. The cost: if the load dropped
    suddenly, some of these requests could still have been answered in time.

    Invariant: holds no state except the timeout of first attempts, which is stored with the class statistics.
    """

    def __init__(
        self, context: DecisionContext, service_times: ServiceTimes, clients: ClientActivity
    ) -> None:
        self._context = context
        self._service_times = service_times
        self._clients = clients

    def compute(self, request: Request, remaining_s: float) -> WaitBudget:
        """Return the budget of a request whose client waits `remaining_s` more seconds.

        The budget is at least half of the slack: otherwise the 99th percentile of a few slow runs would use
        up nearly all of it, and every request that has to wait would be rejected although cores are idle.
        """
        request_class = request.request_class
        statistics = self._service_times.by_class[request_class]
        waited_s = self._context.now - request.arrived_at + request.extra_wait_s
        age_s = waited_s
        if request.remaining_s is None:
            timeout_s = self._observed_timeout_s(request)
            budget_s = timeout_s / 2 - waited_s
        else:
            timeout_s, budget_s = request_class.timeout_s, remaining_s / 2
            if not request.is_retry:
                statistics.first_attempt_timeout_s = remaining_s + waited_s
            elif remaining_s + waited_s > statistics.first_attempt_timeout_s:
                age_s = max(
                    age_s, timeout_s - remaining_s
                )  # the last retry gets all of the client's remaining time
            else:  # the client has waited at least the difference from the first attempt's timeout
                age_s = max(age_s, statistics.first_attempt_timeout_s - remaining_s)
        objective_s = min(
            request_class.latency_objective_s
            + request_class.objective_s_per_hint * (request.cost_hint or 0.0),
            timeout_s,
        )
        slack_s = min(objective_s - age_s, remaining_s) - statistics.service_time_s(request.cost_hint, 0.75)
        budget_s -= statistics.service_time_s(request.cost_hint, 0.99)
        return WaitBudget(max(budget_s, slack_s / 2), slack_s)

    def _observed_timeout_s(self, request: Request) -> float:
        """Return the observed timeout of a client that does not send its deadline.

        Some clients time out long before the class's timeout, and runs for them would be wasted.
        """
        timeout_s = request.request_class.timeout_s
        return min(timeout_s, self._clients.timeouts[request.client].quantile(0.25, timeout_s))
