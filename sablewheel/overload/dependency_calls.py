"""Dependency calls: their queue, and the handling of runs whose call is not made."""

from __future__ import annotations

from collections import deque
from math import inf

from .completion import RequestCompletion
from .context import DecisionContext
from .deadlines import Deadlines
from .dependency_capacity import DependencyCapacity
from .interface import CallDependency, Idempotency, Outcome, Request, RequestClass, SkipDependencyCall, Stage
from .request_queue import oldest_wait_s
from .resource_limits import ResourceLimits
from .service_times import ServiceTimes

CALLED_AT_MOST_ONCE = (Idempotency.KEYED, Idempotency.NON_IDEMPOTENT)
PROVES_NEVER_RAN = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NEVER_STARTED)


class DependencyCalls:
    """The runs that wait to call, oldest first, and the handling of call events.

    After a call that was refused or never reached the dependency, no call is made for the median duration of
    recent calls: the dependency is full, and immediate retries would be refused by the thousands. The cost:
    capacity that becomes free meanwhile is used a little later.

    Invariant: a run that waits to call is not on the cores; the queue may still contain runs that have left
    that stage, until they reach the front.
    """

    def __init__(
        self,
        context: DecisionContext,
        capacity: DependencyCapacity,
        resources: ResourceLimits,
        service_times: ServiceTimes,
        deadlines: Deadlines,
        completion: RequestCompletion,
    ) -> None:
        self._context = context
        self._capacity = capacity
        self._resources = resources
        self._service_times = service_times
        self._deadlines = deadlines
        self._completion = completion
        self._waiting: deque[Request] = deque()
        self._calls_resume_at = -inf

    def expected_wait_s(self, request_class: RequestClass) -> float:
        """Return how many seconds a request that arrives now would wait for its call."""
        return max(self._oldest_wait_s(), self._time_to_serve_running_s(request_class))

    def next_due(self) -> float:
        """Return when the dependency may have capacity for the first queued run; infinite without one."""
        if not self._waiting:
            return inf
        if self._context.now < self._calls_resume_at:
            return self._calls_resume_at
        return self._capacity.next_release_at()

    def request_call(self, request: Request) -> None:
        """Queue a run for its call, unless the oldest queued run has waited longer than its wait budget."""
        if request.stage is not Stage.RUNNING:
            return
        now = self._context.now
        request.stage, request.stage_since = Stage.WAITING_TO_CALL, now
        self._resources.unconfirmed.discard(request)
        self._resources.on_cores -= 1
        if request.answered:
            return  # an answered run that waits for a call ends by itself
        budget_s = max(request.wait_budget_s, 0.0)
        if self._context.settings.dependency is None or self._oldest_wait_s() > budget_s:
            self.skip_or_drop(request)
            return
        self._waiting.append(request)
        self._deadlines.add(now + budget_s, request)

    def make_calls(self) -> None:
        """Make calls, oldest first, while the dependency has capacity."""
        now = self._context.now
        if now < self._calls_resume_at:
            return
        while self._waiting:
            request = self._waiting[0]
            if request.stage is Stage.WAITING_TO_CALL and not request.answered:
                remaining_s = max(request.deadline - now, self._context.min_interval_s)
                slow_call_s = 2 * self._capacity.durations_s.quantile(0.99, remaining_s)
                timeout_s = min(remaining_s, slow_call_s, self._capacity.max_call_s())
                if not self._capacity.fits(timeout_s):
                    return
                request.wait_budget_s -= now - request.stage_since
                request.stage = Stage.CALLING
                self._capacity.open_call(request, timeout_s)
                self._context.actions.append(CallDependency(request, timeout_s))
                self._service_times.by_class[request.request_class].calls += 1
            self._waiting.popleft()

    def call_ended(self, request: Request, took_s: float, outcome: Outcome) -> None:
        """Let the run continue after a successful call; otherwise repeat or skip it, or fail the request."""
        if not self._capacity.is_calling(request):
            return
        abandoned = outcome in (Outcome.TIMED_OUT, Outcome.CONNECTION_LOST)
        self._capacity.close_call(request, abandoned)
        if outcome in PROVES_NEVER_RAN:
            pause_s = max(self._capacity.durations_s.recent_median(), self._context.min_interval_s)
            self._calls_resume_at = self._context.now + pause_s
        else:  # the time to a refusal is unrelated to the duration of a call
            self._capacity.durations_s.add(took_s)
        if outcome is Outcome.SUCCEEDED:
            self._resume(request)
            return
        request.stage, request.stage_since = Stage.WAITING_TO_CALL, self._context.now
        if request.answered:
            return
        request_class = request.request_class
        if request_class.skip_value_ratio or (
            request_class.idempotency in CALLED_AT_MOST_ONCE and outcome not in PROVES_NEVER_RAN
        ):
            self.skip_or_drop(request)
        else:
            self._waiting.append(request)

    def skip_or_drop(self, request: Request) -> None:
        """Continue without the call if an answer without it has any value; otherwise fail the request."""
        if not request.request_class.skip_value_ratio:
            self._completion.drop_started(request)
            return
        self._context.actions.append(SkipDependencyCall(request))
        self._resume(request)

    def _resume(self, request: Request) -> None:
        request.stage = Stage.RUNNING
        self._resources.on_cores += 1

    def _oldest_wait_s(self) -> float:
        return oldest_wait_s(self._waiting, Stage.WAITING_TO_CALL, self._context.now)

    def _time_to_serve_running_s(self, request_class: RequestClass) -> float:
        """Return how many seconds the calls of the running requests will occupy the dependency.

        This counts only for classes whose answers have no value without the call, so that no request runs
        until a call that cannot be made in time. The cost: some calls end sooner than estimated.
        """
        if request_class.skip_value_ratio or not self._capacity.is_limited():
            return 0.0
        by_class = self._service_times.by_class
        calls = sum(
            by_class[request.request_class].calls / by_class[request.request_class].runs
            for request in self._resources.running
            if request.request_class.calls_dependency
        )
        return self._capacity.time_to_serve_s(calls)
