"""A small checker of translations that knows nothing of the solver: what it passes, a class can run. Pure.

Each member holds a translation against its own host capabilities before it stages it, and
rejects what it can't run.
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
    """Return all that is wrong with a translation.

    For the class `own_capabilities` alone, or for every class if that is None.
    """
    faults: list[str] = []
    if translation.number != policy.number or translation.policy != policy.digest:
        faults.append(f"it is of policy {translation.number}, {translation.policy}, not of {policy.number}")
    for one, plan in translation.classes.items():
        if own_capabilities is None or one == own_capabilities:
            faults += [f"class {one.key}: {says}" for says in _class(one, plan, policy, catalogue)]
    for place, flow in enumerate(policy.flows):
        plans = translation.classes.values()
        if not any(
            len(plan.fallback_levels) > place and plan.fallback_levels[place] != NOT_PLACED for plan in plans
        ):
            faults.append(f"flow {flow.name}: no class may serve it")
    return faults


def _class(one: HostCapabilities, plan: ClassPlan, policy: Policy, catalogue: Catalogue) -> Iterator[str]:
    """Yield what is wrong with the plan of one class."""
    used = [0, 0, 0]
    for name, values in plan.features.items():
        feature = catalogue.get(name)
        if feature is None:
            yield f"{name} is unknown here"
            continue
        yield from _feature(one, plan, feature)
        used = [total + cost for total, cost in zip(used, feature.cost(values), strict=True)]
    for what, took, capacity in zip(("bytes", "millicores", "descriptors"), used, one.room, strict=True):
        if took > capacity:
            yield f"features take {took} {what} of {capacity}"
    if len(plan.fallback_levels) != len(policy.flows):
        yield f"it has rungs for {len(plan.fallback_levels)} flows of {len(policy.flows)}"
        return
    for flow, level in zip(policy.flows, plan.fallback_levels, strict=True):
        if level != NOT_PLACED:
            yield from (f"flow {flow.name}: {says}" for says in _flow(flow, level, plan, catalogue))


def _feature(one: HostCapabilities, plan: ClassPlan, feature: Feature) -> Iterator[str]:
    """Yield why a feature that is on can't run in this class, beside the others."""
    if why := one.lacks(feature):
        yield f"{feature.name} is on, and {why}"
    yield from (f"{feature.name} needs {other}" for other in feature.needs if other not in plan.features)
    yield from (f"{feature.name} beside {other}" for other in feature.conflicts if other in plan.features)
    for key, value in plan.features[feature.name].items():
        parameter = feature.parameter(key)
        if parameter is None or not parameter.least <= value <= parameter.most:
            yield f"{feature.name}.{key} is {value}"


def _flow(flow: Flow, fallback_level: int, plan: ClassPlan, catalogue: Catalogue) -> Iterator[str]:
    if not 0 <= fallback_level <= flow.no_fallback_level:
        yield f"there is no rung {fallback_level}"
        return
    for name, values in flow.wants(fallback_level).items():
        if name not in plan.features:
            yield f"{name} is wanted and off"
            continue
        feature = catalogue.get(name)
        for key, value in values.items():
            parameter = feature.parameter(key) if feature is not None else None
            has = plan.features[name].get(key, parameter.least if parameter is not None else -1)
            if has < value:
                yield f"{name}.{key} is {has}, {value} is wanted"
    yield from (f"{name} is forbidden and on" for name in flow.forbid if name in plan.features)
