"""Starts runs, at once or from the queues, within the credit pool and the guards."""

from __future__ import annotations

from .client_activity import ClientActivity
from .context import DecisionContext
from .core_usage import CoreUsage
from .credit_pool import CreditPool
from .interface import Request, Run, Stage
from .request_queue import RequestQueues
from .resource_limits import ResourceLimits
from .service_times import ServiceTimes
from .tenant_quotas import TenantQuotas


class RunStarter:
    """Starts requests while there is credit or a free core.

    Invariant: no run starts unless the guards allow it; starts are counted only here.
    """

    def __init__(
        self,
        context: DecisionContext,
        resources: ResourceLimits,
        core_usage: CoreUsage,
        credit_pool: CreditPool,
        queues: RequestQueues,
        service_times: ServiceTimes,
        clients: ClientActivity,
        tenant_quotas: TenantQuotas,
    ) -> None:
        self._context = context
        self._resources = resources
        self._core_usage = core_usage
        self._credit_pool = credit_pool
        self._queues = queues
        self._service_times = service_times
        self._clients = clients
        self._tenant_quotas = tenant_quotas

    def may_start(self, request: Request) -> bool:
        """Return whether a request may start now.

        The credit pool is not applied while a core is free: otherwise requests at dependency calls could use
        up the credit while cores are idle. Unconfirmed starts take no credit: otherwise commands that were
        lost with a connection would block all starts. The guards count them nevertheless.
        """
        resources = self._resources
        if not resources.can_run(request):
            return False
        on_cores, cores = resources.confirmed_on_cores(), self._context.settings.cores
        if on_cores < cores or on_cores * self._core_usage.cores_per_run() < cores:
            return True
        return resources.confirmed_running() + 1 <= self._credit_pool.credit

    def start(self, request: Request) -> None:
        """Start a queued request."""
        request.stage, request.started, request.stage_since = Stage.RUNNING, True, self._context.now
        self._resources.running[request] = None
        self._resources.occupy(request)
        self._service_times.by_class[request.request_class].started += 1
        self._credit_pool.started += 1
        self._clients.starts += 1
        self._tenant_quotas.record_start(request)
        self._context.actions.append(Run(request))

    def start_queued(self) -> None:
        """Start queued requests in queue order; each queue stops at its first request that may not start."""
        for queue in self._queues.in_start_order():
            while queue and (queue[0].stage is not Stage.QUEUED or self.may_start(queue[0])):
                request = queue.popleft()
                if request.stage is Stage.QUEUED:
                    request.wait_budget_s -= self._context.now - request.stage_since
                    self.start(request)
