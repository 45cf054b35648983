"""What a class's plan changes for the controller: settings that it has, nothing else. Pure.

Only features that the policy names anywhere are its matter; all others stay as the server's settings say. A
plan takes away and never adds: what the settings don't have no policy switches on.
"""

from __future__ import annotations

from dataclasses import replace

from ..terms import Halting, Machine
from .ability import CATALOGUE, Catalogue
from .policy import Policy
from .translation import ClassPlan


def governed(policy: Policy, catalogue: Catalogue = CATALOGUE) -> frozenset[str]:
    """The features that a policy has a say in."""
    named = {name for flow in policy.flows for rung in range(flow.bottom + 1) for name in flow.wants(rung)}
    named |= {name for flow in policy.flows for name in flow.forbid}
    needed = {other for name in named if name in catalogue for other in catalogue[name].needs}
    return frozenset(named | needed)


def settings(machine: Machine, policy: Policy, plan: ClassPlan | None) -> Machine:
    """The machine that the controller is to go by under this policy; `plan` None: the class has none, and
    runs none of what the policy has a say in."""
    named, on = governed(policy), plan.features if plan is not None else {}
    off = named - set(on)
    if "stop-runs" in off and machine.halting is Halting.DROPS:
        machine = replace(machine, halting=Halting.NEVER)
    if "pause-runs" in off and machine.halting is Halting.PAUSES:
        machine = replace(machine, halting=Halting.NEVER)
    if "told-waits" in off:
        machine = replace(machine, told_wait=False)
    if "customer-quotas" in off:
        machine = replace(machine, over_share_worth=1.0)  # work beyond a share counts like any other
    if "customer-quotas" in on:
        share = on["customer-quotas"].get("percent", 100) / 100
        tenants = tuple(replace(one, quota=one.quota * share) for one in machine.tenants)
        machine = replace(machine, tenants=tenants)
    if "kept-results" in off:
        machine = replace(machine, share_reads_for=0.0)
    if "kept-results" in on:
        most = float(on["kept-results"].get("seconds", 1))
        machine = replace(machine, share_reads_for=min(machine.share_reads_for, most))
    if "cost-hints" in off:
        request_classes = tuple(replace(one, goal_stretch=0.0) for one in machine.request_classes)
        machine = replace(machine, request_classes=request_classes)
    return machine
