"""Handlers of the events that end requests: end of the run, loss of the client, timeout."""

from __future__ import annotations

from .client_activity import ClientActivity
from .completion import RequestCompletion
from .context import DecisionContext
from .credit_pool import CreditPool
from .dependency_calls import DependencyCalls
from .idempotency import IdempotencyKeys
from .interface import Outcome, RejectionReason, Request, Stage
from .service_times import ServiceTimes
from .tenant_quotas import TenantQuotas


class RequestEndings:
    """Updates the statistics at the end of a request, and answers, finishes or cancels it.

    Invariant: holds no state; each handler ignores requests that are finished already.
    """

    def __init__(
        self,
        context: DecisionContext,
        completion: RequestCompletion,
        dependency_calls: DependencyCalls,
        service_times: ServiceTimes,
        clients: ClientActivity,
        credit_pool: CreditPool,
        tenant_quotas: TenantQuotas,
        keys: IdempotencyKeys,
    ) -> None:
        self._context = context
        self._completion = completion
        self._dependency_calls = dependency_calls
        self._service_times = service_times
        self._clients = clients
        self._credit_pool = credit_pool
        self._tenant_quotas = tenant_quotas
        self._keys = keys

    def run_ended(self, request: Request, took_s: float, outcome: Outcome) -> None:
        """Record the end of a run, or of a coalesced request, and finish the request."""
        if request.stage is Stage.FINISHED:
            return
        was_run = request.stage is not Stage.COALESCED
        request.outcome = outcome
        if outcome is Outcome.SUCCEEDED and was_run:
            self._service_times.by_class[request.request_class].record_run(request.cost_hint, took_s)
        if outcome in (Outcome.SUCCEEDED, Outcome.ERROR):
            self._record_result(request, was_run)
        elif outcome is Outcome.NEVER_STARTED and was_run:
            self._undo_start(request)
        if not request.answered:
            self._completion.fail(request)  # its run was cancelled and is not repeated
        self._completion.finish(request)

    def request_abandoned(self, request: Request) -> None:
        """Finish a queued request whose client no longer waits, or cancel its run if possible."""
        if request.stage is Stage.FINISHED:
            return
        if not request.answered:
            self._clients.record_timeout(request.client, self._context.now - request.arrived_at)
        self._completion.mark_answered(request)
        if request.stage in (Stage.QUEUED, Stage.COALESCED):
            if request.stage is Stage.QUEUED and not request.started:
                self._keys.release(request)
            self._completion.finish(request)
        else:
            self._completion.cancel(request)

    def deadline_reached(self, request: Request) -> None:
        """Answer a request that has reached its deadline or the end of its wait budget."""
        if request.answered or request.stage is Stage.FINISHED:
            return
        now = self._context.now
        if request.stage is Stage.QUEUED and not request.started:
            self._completion.reject(request, RejectionReason.QUEUE_TIMEOUT)
        elif now >= request.deadline:
            self._completion.drop_started(request)
        elif request.stage is Stage.WAITING_TO_CALL and now >= request.stage_since + request.wait_budget_s:
            self._dependency_calls.skip_or_drop(request)

    def _record_result(self, request: Request, was_run: bool) -> None:
        if not request.answered:
            self._service_times.response_s.add(self._context.now - request.read_at)
            self._clients.record_timeout(request.client, request.request_class.timeout_s)
        if was_run:
            self._credit_pool.completed += 1
        self._completion.mark_answered(request)

    def _undo_start(self, request: Request) -> None:
        """Undo the start of a request that never ran: in the pool, the tenant's starts and the key table.

        Otherwise clients that send bogus requests would shrink the pool, and the keys that they reserve would
        make genuine requests fail.
        """
        self._credit_pool.undo_start()
        self._keys.release(request)
        self._tenant_quotas.undo_start(request)
