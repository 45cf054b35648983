"""Verification of translations, independent of the solver. Pure.

A class of hosts can run every plan that passes. Each member verifies a translation for its own host
capabilities before it stages the bundle, and rejects a plan that it can't run.
"""

from __future__ import annotations

from collections.abc import Iterator

from .host_capabilities import CATALOGUE, Catalogue, Feature, HostCapabilities
from .policy import Flow, Policy
from .translation import NOT_PLACED, ClassPlan, Translation


def verify(
    translation: Translation,
    policy: Policy,
    own_capabilities: HostCapabilities | None = None,
    catalogue: Catalogue = CATALOGUE,
) -> list[str]:
    """Return all faults of a translation.

    Plans are checked for the class `own_capabilities` only, or for every class if it is None.
    """
    faults: list[str] = []
    if translation.number != policy.number or translation.policy != policy.digest:
        faults.append(f"it is of policy {translation.number}, {translation.policy}, not of {policy.number}")
    for capabilities, plan in translation.classes.items():
        if own_capabilities is None or capabilities == own_capabilities:
            faults += [
                f"class {capabilities.key}: {fault}"
                for fault in _class_faults(capabilities, plan, policy, catalogue)
            ]
    for index, flow in enumerate(policy.flows):
        plans = translation.classes.values()
        if not any(
            len(plan.fallback_levels) > index and plan.fallback_levels[index] != NOT_PLACED for plan in plans
        ):
            faults.append(f"flow {flow.name}: no class may serve it")
    return faults


def _class_faults(
    capabilities: HostCapabilities, plan: ClassPlan, policy: Policy, catalogue: Catalogue
) -> Iterator[str]:
    """Yield the faults of the plan of one class."""
    used = [0, 0, 0]
    for name, values in plan.features.items():
        feature = catalogue.get(name)
        if feature is None:
            yield f"{name} is unknown here"
            continue
        yield from _feature_faults(capabilities, plan, feature)
        used = [total + cost for total, cost in zip(used, feature.cost(values), strict=True)]
    for resource, amount, limit in zip(
        ("bytes", "millicores", "descriptors"), used, capabilities.feature_budget, strict=True
    ):
        if amount > limit:
            yield f"features take {amount} {resource} of {limit}"
    if len(plan.fallback_levels) != len(policy.flows):
        yield f"it has rungs for {len(plan.fallback_levels)} flows of {len(policy.flows)}"
        return
    for flow, level in zip(policy.flows, plan.fallback_levels, strict=True):
        if level != NOT_PLACED:
            yield from (f"flow {flow.name}: {fault}" for fault in _flow_faults(flow, level, plan, catalogue))


def _feature_faults(capabilities: HostCapabilities, plan: ClassPlan, feature: Feature) -> Iterator[str]:
    """Yield why a feature of the plan can't run in this class together with the other features."""
    if reason := capabilities.unsupported_reason(feature):
        yield f"{feature.name} is on, and {reason}"
    yield from (f"{feature.name} needs {other}" for other in feature.needs if other not in plan.features)
    yield from (f"{feature.name} beside {other}" for other in feature.conflicts if other in plan.features)
    for key, value in plan.features[feature.name].items():
        parameter = feature.parameter(key)
        if parameter is None or not parameter.minimum <= value <= parameter.maximum:
            yield f"{feature.name}.{key} is {value}"


def _flow_faults(flow: Flow, fallback_level: int, plan: ClassPlan, catalogue: Catalogue) -> Iterator[str]:
    if not 0 <= fallback_level <= flow.last_fallback_level:
        yield f"there is no rung {fallback_level}"
        return
    for name, values in flow.required_features(fallback_level).items():
        if name not in plan.features:
            yield f"{name} is wanted and off"
            continue
        feature = catalogue.get(name)
        for key, value in values.items():
            parameter = feature.parameter(key) if feature is not None else None
            actual = plan.features[name].get(key, parameter.minimum if parameter is not None else -1)
            if actual < value:
                yield f"{name}.{key} is {actual}, {value} is wanted"
    yield from (f"{name} is forbidden and on" for name in flow.forbid if name in plan.features)
