"""Request completion: final answers, cancellation and the release of resources."""

from __future__ import annotations

from .client_activity import ClientActivity
from .context import DecisionContext
from .credit_pool import CreditPool
from .dependency_capacity import DependencyCapacity
from .idempotency import IdempotencyKeys
from .interface import Cancel, Cancellation, Fail, Idempotency, Reject, RejectionReason, Request, Stage
from .resource_limits import ResourceLimits
from .retry_advice import RetryAdvice


class RequestCompletion:
    """The steps by which requests end, shared by all event handlers.

    Invariant: a request is answered at most once, and its resources are released exactly once, when it
    reaches `Stage.FINISHED`. A request may be answered before it is finished: its run may still continue.
    """

    def __init__(
        self,
        context: DecisionContext,
        resources: ResourceLimits,
        dependency_capacity: DependencyCapacity,
        clients: ClientActivity,
        credit_pool: CreditPool,
        keys: IdempotencyKeys,
        retry_advice: RetryAdvice,
    ) -> None:
        self._context = context
        self._resources = resources
        self._dependency_capacity = dependency_capacity
        self._clients = clients
        self._credit_pool = credit_pool
        self._keys = keys
        self._retry_advice = retry_advice

    def reject(self, request: Request, reason: RejectionReason) -> None:
        """Answer a request that never ran, with advice on when and where to retry."""
        retry_after_s = self._retry_advice.retry_after_s(request)
        no_retry_elsewhere = self._retry_advice.no_retry_elsewhere(request)
        self._credit_pool.drops += 1
        self._keys.release(request)
        self._context.actions.append(Reject(request, retry_after_s, no_retry_elsewhere, reason))
        self.mark_answered(request)
        self.finish(request)

    def fail(self, request: Request) -> None:
        """Answer a request with an error, and finish it unless it is running."""
        self._context.actions.append(Fail(request))
        self.mark_answered(request)
        if request.stage in (Stage.QUEUED, Stage.COALESCED):
            self.finish(request)

    def drop_started(self, request: Request) -> None:
        """Fail a request that has started, and cancel its run if no duplicate can use the result."""
        self._credit_pool.drops += 1
        self.fail(request)
        self.cancel(request)

    def cancel(self, request: Request) -> None:
        """Cancel a run whose result no duplicate can use, where the server supports it."""
        if (
            self._context.settings.cancellation is not Cancellation.UNSUPPORTED
            and request.stage is Stage.RUNNING
            and request.request_class.idempotency is Idempotency.IDEMPOTENT
        ):
            self._context.actions.append(Cancel(request))

    def mark_answered(self, request: Request) -> None:
        """Record that the client has its answer or no longer waits for one."""
        if not request.answered:
            request.answered = True
            self._clients.record_answer(request.client)

    def finish(self, request: Request) -> None:
        """Release the resources of a request, unless it is finished already."""
        if request.stage is Stage.FINISHED:
            return
        if self._dependency_capacity.is_calling(request):
            self._dependency_capacity.close_call(request, abandoned=True)
        resources = self._resources
        if request.stage in (Stage.RUNNING, Stage.COALESCED):
            resources.on_cores -= 1
        resources.release_memory(request, was_running=request.stage is not Stage.QUEUED)
        resources.running.pop(request, None)
        resources.unconfirmed.discard(request)
        request.stage = Stage.FINISHED
