"""The fallback levels of flows, the members that may serve them, and the fleet's changes of level. Pure.

A flow is served by the classes of hosts that run it on its fallback level or a better one. If the capacity on
that level is less than the flow's load for the dwell time, the fleet steps down, all flows together. It steps
up again only after a longer dwell time with a capacity margin, and not soon after the last change
(hysteresis). Required features are never given up: if no member runs them, the flow is rejected.
"""

from __future__ import annotations

from math import inf

from ..membership.view import Member
from .fleet_state import FleetState, Output
from .plan import Rules
from .policy import Flow
from .policy_bundle import PolicyBundle
from .translation import NOT_PLACED

MIN_LOAD_CORES = 1e-9  # load of a flow without `cores`, so that it needs some capacity


class ServingLevels:
    """The levels of flows for the current members, and the pending steps.

    Times are in seconds of the caller's clock.
    """

    def __init__(self, fleet: FleetState, rules: Rules, output: Output) -> None:
        self._fleet, self._rules, self._output = fleet, rules, output
        self.changed_at = 0.0
        self._step_down_since = self._step_up_since = inf

    def level_of(self, bundle: PolicyBundle, index: int, name: str) -> int:
        """Return the fallback level on which a member can serve a flow, by its index; NOT_PLACED if it can't.

        A class without a plan can serve flows that require and forbid nothing, on their last level.
        """
        flow = bundle.policy.flows[index]
        capabilities = self._fleet.capabilities.get(name)
        plan = bundle.translation.classes.get(capabilities) if capabilities is not None else None
        if plan is not None:
            return plan.fallback_levels[index]
        return NOT_PLACED if flow.require or flow.forbid else flow.last_fallback_level

    def serving_members(self, bundle: PolicyBundle, levels: tuple[int, ...]) -> list[tuple[str, ...]]:
        """Return by flow the members that may serve it on its current level."""
        return [
            tuple(
                name
                for name in self._fleet.names
                if NOT_PLACED != self.level_of(bundle, index, name) <= levels[index]
            )
            for index in range(len(bundle.policy.flows))
        ]

    def able_members(self, bundle: PolicyBundle) -> dict[str, frozenset[str]]:
        """Return by flow that requires or forbids anything the members that can serve it at all."""
        return {
            flow.name: frozenset(
                name for name in self._fleet.names if self.level_of(bundle, index, name) != NOT_PLACED
            )
            for index, flow in enumerate(bundle.policy.flows)
            if flow.require or flow.forbid
        }

    # -- capacity

    def lack_of_capacity(self, bundle: PolicyBundle) -> str:
        """Return which flow would lack capacity for its load if the largest zone failed; empty if none would.

        For a fleet or a flow in a single zone the whole capacity counts. A flow shares its members with all
        flows that only these members can serve, so their loads are added up. That is exact if the sets of
        members are nested, and otherwise a lower bound of the load.
        """
        flows = [
            (flow, {member.name for member in self._fleet.members if self._may_serve(bundle, index, member)})
            for index, flow in enumerate(bundle.policy.flows)
            if flow.require
        ]
        for flow, names in flows:
            sharing = [other for other, members in flows if members <= names]
            shortage = self._shortage(flow, names, sharing)
            if shortage:
                return shortage
        return ""

    def _shortage(self, flow: Flow, names: set[str], sharing: list[Flow]) -> str:
        load = sum(other.cores for other in sharing)
        by_zone: dict[str, float] = {}
        for member in self._fleet.members:
            if member.name in names and member.name in self._fleet.capabilities:
                capacity = self._fleet.capabilities[member.name].capacity
                by_zone[member.zone] = by_zone.get(member.zone, 0.0) + capacity
        zones = {member.zone for member in self._fleet.members}
        multiple_zones = len(zones & set(flow.zones) if flow.zones else zones) > 1
        remaining = sum(by_zone.values()) - (max(by_zone.values(), default=0.0) if multiple_zones else 0.0)
        if remaining > 0 and remaining >= load:
            return ""
        flow_names = ", ".join(other.name for other in sharing)
        subject = f"flow {flow.name} has" if len(sharing) < 2 else f"flows {flow_names} have"
        condition = " with the largest zone lost" if multiple_zones else ""
        return f"{subject} {remaining:g} cores{condition}, {max(load, 0.001):g} are needed"

    def _may_serve(self, bundle: PolicyBundle, index: int, member: Member) -> bool:
        zones = bundle.policy.flows[index].zones
        runs = self.level_of(bundle, index, member.name) != NOT_PLACED
        return runs and (not zones or member.zone in zones)

    def _capacity(self, bundle: PolicyBundle, index: int, level: int) -> float:
        """Return the reference cores that serve a flow on this level or a better one."""
        zones = bundle.policy.flows[index].zones
        by_zone: dict[str, float] = {}
        for member in self._fleet.members:
            own_level = self.level_of(bundle, index, member.name)
            if NOT_PLACED != own_level <= level and (not zones or member.zone in zones):
                capabilities = self._fleet.capabilities.get(member.name)
                capacity = capabilities.capacity if capabilities is not None else 0.0
                by_zone[member.zone] = by_zone.get(member.zone, 0.0) + capacity
        return sum(by_zone.values())

    # -- levels

    def first_levels(self, bundle: PolicyBundle) -> tuple[int, ...]:
        """Return the initial levels of the flows of a new bundle."""
        return tuple(self._target_level(bundle, index, None) for index in range(len(bundle.policy.flows)))

    def cancel_pending_steps(self) -> None:
        """Cancel pending steps, as this member has no active bundle."""
        self._step_down_since = self._step_up_since = inf

    def levels_due(self, now: float, bundle: PolicyBundle, levels: tuple[int, ...]) -> tuple[int, ...]:
        """Return the levels that the fleet should be on now, with regard to dwell times and hysteresis."""
        target_levels = [self._target_level(bundle, index, levels[index]) for index in range(len(levels))]
        has_step_down = any(target > level for target, level in zip(target_levels, levels, strict=True))
        has_step_up = any(target < level for target, level in zip(target_levels, levels, strict=True))
        self._step_down_since = min(self._step_down_since, now) if has_step_down else inf
        self._step_up_since = min(self._step_up_since, now) if has_step_up and not has_step_down else inf
        down_at = self._step_down_since + self._rules.dwell_down_s
        up_at = max(
            self._step_up_since + self._rules.dwell_up_s, self.changed_at + self._rules.step_up_cooldown_s
        )
        if has_step_down and now >= down_at:
            return tuple(max(pair) for pair in zip(target_levels, levels, strict=True))
        if has_step_up and now >= up_at:
            return tuple(min(pair) for pair in zip(target_levels, levels, strict=True))
        self._output.timers += [due_at for due_at in (down_at, up_at) if now < due_at < inf]
        return levels

    def _target_level(self, bundle: PolicyBundle, index: int, level: int | None) -> int:
        """Return the level for which the current members have capacity.

        `level` is the current level of the flow; None for a new bundle.
        """
        flow = bundle.policy.flows[index]
        worst = flow.last_fallback_level
        if not flow.fallbacks:
            return worst
        capacity = [self._capacity(bundle, index, candidate) for candidate in range(worst + 1)]
        need = max(flow.cores, MIN_LOAD_CORES)
        if level is not None and capacity[level] < need:
            sufficient = [
                candidate for candidate in range(level + 1, worst + 1) if capacity[candidate] >= need
            ]
            largest = max(range(level, worst + 1), key=lambda candidate: (capacity[candidate], -candidate))
            return sufficient[0] if sufficient else largest
        start = worst if level is None else level
        with_margin = [
            candidate for candidate in range(start) if capacity[candidate] >= need * self._rules.up_margin
        ]
        return with_margin[0] if with_margin else start
