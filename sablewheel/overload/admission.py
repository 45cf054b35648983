"""Admission: runs, queues or rejects each request as it is read."""

from __future__ import annotations

from .client_activity import ClientActivity
from .coalescing import DuplicateCoalescer
from .completion import RequestCompletion
from .context import DecisionContext
from .deadlines import Deadlines
from .dependency_calls import DependencyCalls
from .idempotency import IdempotencyKeys
from .interface import Idempotency, RejectionReason, Request, Stage
from .request_queue import RequestQueues
from .resource_limits import ResourceLimits
from .run_starter import RunStarter
from .service_times import ServiceTimes
from .shutdown import Shutdown
from .tenant_quotas import TenantQuotas
from .wait_budget import WaitBudgets


class Admission:
    """Checks a new request against the guards and its wait budget, then runs, queues or rejects it.

    Invariant: holds no state; every request that is read ends up running, queued, coalesced or answered.
    """

    def __init__(
        self,
        context: DecisionContext,
        resources: ResourceLimits,
        clients: ClientActivity,
        service_times: ServiceTimes,
        deadlines: Deadlines,
        shutdown: Shutdown,
        keys: IdempotencyKeys,
        coalescer: DuplicateCoalescer,
        completion: RequestCompletion,
        wait_budgets: WaitBudgets,
        tenant_quotas: TenantQuotas,
        queues: RequestQueues,
        run_starter: RunStarter,
        dependency_calls: DependencyCalls,
    ) -> None:
        self._context = context
        self._resources = resources
        self._clients = clients
        self._service_times = service_times
        self._deadlines = deadlines
        self._shutdown = shutdown
        self._keys = keys
        self._coalescer = coalescer
        self._completion = completion
        self._wait_budgets = wait_budgets
        self._tenant_quotas = tenant_quotas
        self._queues = queues
        self._run_starter = run_starter
        self._dependency_calls = dependency_calls

    def admit(self, request: Request) -> None:
        """Run, queue or reject a request that was read, or attach it to its original."""
        remaining_s = self._record(request)
        original = request.duplicate_of = _original_that_may_run(request)
        if original is not None:
            self._attach_or_answer(request, original)
            return
        reason = self._guard(request)
        if reason is not None:
            self._completion.reject(request, reason)
            return
        self._keys.reserve_if_needed(request, remaining_s)
        request.wait_budget_s, slack_s = self._wait_budgets.compute(request, remaining_s)
        queue_waits_s = self._queues.oldest_waits_s()
        if (
            self._queues.is_empty()
            and not self._is_stale(request, slack_s)
            and self._run_starter.may_start(request)
        ):
            self._run_starter.start(request)
        else:
            self._queue_or_reject(request, slack_s, queue_waits_s)

    def _attach_or_answer(self, request: Request, original: Request) -> None:
        """Attach a duplicate to its original, if there is memory for it to wait in.

        Otherwise it is answered at once: rejected if the original has not run or the request class is
        idempotent, so that a retry may run; failed otherwise.
        """
        never_ran = original.stage is Stage.QUEUED and not original.started
        if self._resources.memory_fits(0.0):
            self._coalescer.attach(request, original)
        elif never_ran or request.request_class.idempotency is Idempotency.IDEMPOTENT:
            self._completion.reject(request, RejectionReason.MEMORY)
        else:
            self._completion.fail(request)

    def _record(self, request: Request) -> float:
        """Count a request as read and set its deadline; return how many seconds its client still waits."""
        now, request_class = self._context.now, request.request_class
        remaining_s = request.remaining_s
        if remaining_s is None:
            remaining_s = request.arrived_at + request_class.timeout_s - now
        latest_answer_at = now + remaining_s - self._context.settings.min_batch_interval_s
        request.deadline = min(max(now, latest_answer_at), self._shutdown.deadline)
        self._resources.memory_kb += request.memory_kb
        self._clients.record_arrival(request)
        self._service_times.by_class[request_class].arrived += 1
        self._deadlines.add(request.deadline, request)
        return remaining_s

    def _guard(self, request: Request) -> RejectionReason | None:
        """Return why a request must be rejected regardless of its wait; None if it need not be."""
        if self._shutdown.arrived_too_late(request):
            return RejectionReason.DRAINING
        if request.key_capacity_in_s:
            return RejectionReason.IDEMPOTENCY_TABLE_FULL
        if not self._keys.memory_fits(request):
            return RejectionReason.MEMORY
        return None

    def _is_stale(self, request: Request, slack_s: float) -> bool:
        """Return whether a request waited to be read past its objective and for longer than a run takes.

        Such a request does not start even on idle cores: otherwise every request is read too late, all of
        them run, and the backlog of unread requests never clears. The cost: the value that a late answer
        would still have.
        """
        unread_s = self._context.now - request.arrived_at
        usual_s = self._service_times.by_class[request.request_class].service_s.quantile(0.5)
        return slack_s < 0 and unread_s > usual_s

    def _queue_or_reject(self, request: Request, slack_s: float, queue_waits_s: list[float]) -> None:
        """Queue a request if its expected wait is within half of its slack."""
        request_class = request.request_class
        request.over_quota = self._tenant_quotas.is_over_quota(request)
        statistics = self._service_times.by_class[request_class]
        ahead = self._queues.indexes_ahead(statistics, request.over_quota)
        places = max(len(self._resources.running), self._context.settings.cores)
        wait_s = max(self._queues.work_ahead_s(ahead) / places, *(queue_waits_s[index] for index in ahead))
        if request_class.calls_dependency:
            wait_s = max(wait_s, self._dependency_calls.expected_wait_s(request_class))
        if wait_s > slack_s / 2:
            self._completion.reject(request, RejectionReason.WAIT_BUDGET)
            return
        self._queues.append(ahead[-1], request)
        self._deadlines.add_queue_timeout(self._context.now + slack_s, request)


def _original_that_may_run(request: Request) -> Request | None:
    """Return the original of a duplicate if it has run or may still run; otherwise None.

    An original that was answered without a run is replaced by its own original, if it is a duplicate too.
    Such a chain is at most as long as the attempts of one request in one batch: later attempts refer to the
    request that holds the key.
    """
    original = request.duplicate_of
    while original is not None and _never_runs(original):
        original = original.duplicate_of
    return original


def _never_runs(request: Request) -> bool:
    return request.answered and not request.started
