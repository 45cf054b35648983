"""The wait budget: how long a request may wait before its run, and before its dependency call."""

from __future__ import annotations

from typing import NamedTuple

from .client_activity import ClientActivity
from .context import DecisionContext
from .interface import Request
from .service_times import ServiceTimes


class WaitBudget(NamedTuple):
    """The waits that are left to a request, in seconds; negative when it is late already.

    Attributes:
        budget_s: The budget that its waits are deducted from.
        slack_s: How long it may wait and still be answered in time.
    """

    budget_s: float
    slack_s: float


class WaitBudgets:
    """The budget of Protego, half the remaining time less the 99th percentile of the service time.

    A queued request that can only be late, or only after its client has left, earns little: it is rejected
    once its objective or its client's timeout is out of reach. The cost: a sudden calm would still have saved
    some.

    Invariant: holds no state of its own but the timeout of first attempts, which is kept with the class.
    """

    def __init__(
        self, context: DecisionContext, service_times: ServiceTimes, clients: ClientActivity
    ) -> None:
        self._context = context
        self._service_times = service_times
        self._clients = clients

    def compute(self, request: Request, remaining_s: float) -> WaitBudget:
        """Return the budget of a request whose client waits `remaining_s` more.

        At least half of the slack is budget: the 99th percentile of a few slow runs would take nearly all of
        it, and reject all that has to wait beside idle cores.
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
                age_s = max(age_s, timeout_s - remaining_s)  # a last retry is given all the client has left
            else:  # the client has waited for at least what this timeout is shorter than the first one
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
        """Return how long the client was seen to wait, where it does not send its deadline.

        Hasty clients time out long before the class's timeout, and runs for them are wasted.
        """
        timeout_s = request.request_class.timeout_s
        return min(timeout_s, self._clients.timeouts[request.client].quantile(0.25, timeout_s))
