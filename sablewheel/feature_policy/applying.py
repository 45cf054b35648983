"""What a class's plan changes for the controller: settings that it has, nothing else. Pure.

Only features that the policy names anywhere are its matter; all others stay as the server's settings say. A
plan takes away and never adds: what the settings don't have no policy switches on.
"""

from __future__ import annotations

from dataclasses import replace

from ..overload.interface import Cancellation, ServerSettings
from .host_capabilities import CATALOGUE, Catalogue
from .policy import Policy
from .translation import ClassPlan


def governed(policy: Policy, catalogue: Catalogue = CATALOGUE) -> frozenset[str]:
    """The features that a policy has a say in."""
    named = {
        name
        for flow in policy.flows
        for fallback_level in range(flow.no_fallback_level + 1)
        for name in flow.wants(fallback_level)
    }
    named |= {name for flow in policy.flows for name in flow.forbid}
    needed = {other for name in named if name in catalogue for other in catalogue[name].needs}
    return frozenset(named | needed)


def settings(server_settings: ServerSettings, policy: Policy, plan: ClassPlan | None) -> ServerSettings:
    """Return the settings that the controller is to go by under this policy.

    `plan` None: the class of this host has none, and runs none of what the policy has a say in.
    """
    named, on = governed(policy), plan.features if plan is not None else {}
    off = named - set(on)
    if "stop-runs" in off and server_settings.cancellation is Cancellation.DISCARDS_WORK:
        server_settings = replace(server_settings, cancellation=Cancellation.UNSUPPORTED)
    if "pause-runs" in off and server_settings.cancellation is Cancellation.SUSPENDS:
        server_settings = replace(server_settings, cancellation=Cancellation.UNSUPPORTED)
    if "told-waits" in off:
        server_settings = replace(server_settings, deadline_propagated=False)
    if "customer-quotas" in off:
        server_settings = replace(
            server_settings, over_quota_weight=1.0
        )  # work beyond a share counts like any other
    if "customer-quotas" in on:
        share = on["customer-quotas"].get("percent", 100) / 100
        tenants = tuple(replace(one, quota_per_s=one.quota_per_s * share) for one in server_settings.tenants)
        server_settings = replace(server_settings, tenants=tenants)
    if "kept-results" in off:
        server_settings = replace(server_settings, coalesce_reads_for_s=0.0)
    if "kept-results" in on:
        most = float(on["kept-results"].get("seconds", 1))
        server_settings = replace(
            server_settings, coalesce_reads_for_s=min(server_settings.coalesce_reads_for_s, most)
        )
    if "cost-hints" in off:
        request_classes = tuple(
            replace(one, objective_s_per_hint=0.0) for one in server_settings.request_classes
        )
        server_settings = replace(server_settings, request_classes=request_classes)
    return server_settings
