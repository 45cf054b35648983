"""Tenant quotas: which requests are over their tenant's share of this server."""

from __future__ import annotations

from collections import deque
from math import sqrt

from .context import DecisionContext
from .interface import Request, ServerSettings, Tenant


class TenantQuotas:
    """The recent starts of each tenant, compared with this server's equal share of its quota.

    Work over a quota has little value, so queued requests within their quota start first. A request is not
    rejected only because it is over its quota: clients that reduce their rate after rejections would then
    slow down for all tenants. The cost: if clients spread requests unevenly over the servers, work within a
    quota may start late.

    Invariant: starts are counted only while work over a quota has less value than other work.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.starts: dict[Tenant, deque[float]] = {tenant: deque() for tenant in context.settings.tenants}

    def is_over_quota(self, request: Request) -> bool:
        """Return whether the tenant's recent starts exceed this server's share of its quota."""
        tenant, context = request.tenant, self._context
        settings = context.settings
        if tenant is None or settings.over_quota_weight >= 1:
            return False
        starts = self.starts[tenant]
        while starts and starts[0] < context.now - context.max_timeout_s:
            starts.popleft()
        span_s = min(
            context.max_timeout_s, max(context.now - context.opened_at, settings.advertisement_ttl_s)
        )
        share = tenant.quota_per_s * span_s / settings.servers
        return len(starts) > share + sqrt(share)

    def record_start(self, request: Request) -> None:
        """Set the request's `over_quota`, and count its start."""
        if request.tenant is not None and self._context.settings.over_quota_weight < 1:
            request.over_quota = self.is_over_quota(request)
            self.starts[request.tenant].append(self._context.now)

    def undo_start(self, request: Request) -> None:
        """Undo the start of a request that never ran."""
        if request.tenant is not None and request.stage_since in self.starts[request.tenant]:
            self.starts[request.tenant].remove(request.stage_since)

    def update_settings(self, previous: ServerSettings, settings: ServerSettings) -> None:
        """Let the new tenants continue the counts of the previous ones."""
        for old, new in zip(previous.tenants, settings.tenants, strict=True):
            self.starts.setdefault(new, self.starts[old])
