"""Application of a class's plan to the controller's settings. Pure.

Only features that the policy names are governed by it; all others stay as the server's settings say. A plan
only disables or limits features: it never enables one that the settings don't have.
"""

from __future__ import annotations

from dataclasses import replace

from ..overload.interface import Cancellation, ServerSettings
from .host_capabilities import CATALOGUE, Catalogue
from .policy import Policy
from .translation import ClassPlan


def governed_features(policy: Policy, catalogue: Catalogue = CATALOGUE) -> frozenset[str]:
    """Return the features that a policy governs: those that it names, and those that these need."""
    named = {
        name
        for flow in policy.flows
        for fallback_level in range(flow.last_fallback_level + 1)
        for name in flow.required_features(fallback_level)
    }
    named |= {name for flow in policy.flows for name in flow.forbid}
    needed = {other for name in named if name in catalogue for other in catalogue[name].needs}
    return frozenset(named | needed)


def settings(server_settings: ServerSettings, policy: Policy, plan: ClassPlan | None) -> ServerSettings:
    """Return the settings of the controller under this policy.

    `plan` is None if the translation has no plan for the class of this host; then no governed feature runs.
    """
    named, enabled = governed_features(policy), plan.features if plan is not None else {}
    disabled = named - set(enabled)
    if "stop-runs" in disabled and server_settings.cancellation is Cancellation.DISCARDS_WORK:
        server_settings = replace(server_settings, cancellation=Cancellation.UNSUPPORTED)
    if "pause-runs" in disabled and server_settings.cancellation is Cancellation.SUSPENDS:
        server_settings = replace(server_settings, cancellation=Cancellation.UNSUPPORTED)
    if "told-waits" in disabled:
        server_settings = replace(server_settings, deadline_propagated=False)
    if "customer-quotas" in disabled:
        # Work over a quota has the same weight as other work.
        server_settings = replace(server_settings, over_quota_weight=1.0)
    if "customer-quotas" in enabled:
        quota_ratio = enabled["customer-quotas"].get("percent", 100) / 100
        tenants = tuple(
            replace(tenant, quota_per_s=tenant.quota_per_s * quota_ratio)
            for tenant in server_settings.tenants
        )
        server_settings = replace(server_settings, tenants=tenants)
    if "kept-results" in disabled:
        server_settings = replace(server_settings, coalesce_reads_for_s=0.0)
    if "kept-results" in enabled:
        max_seconds = float(enabled["kept-results"].get("seconds", 1))
        server_settings = replace(
            server_settings, coalesce_reads_for_s=min(server_settings.coalesce_reads_for_s, max_seconds)
        )
    if "cost-hints" in disabled:
        request_classes = tuple(
            replace(request_class, objective_s_per_hint=0.0)
            for request_class in server_settings.request_classes
        )
        server_settings = replace(server_settings, request_classes=request_classes)
    return server_settings
