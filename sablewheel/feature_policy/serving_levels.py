"""Which members may serve a flow, on which fallback level, and when the fleet changes levels. Pure.

A flow is served by the classes of hosts that run it on its fallback level or a better one. With too few
members for its load on that level the fleet steps down, once that has lasted (dwell), all flows together;
it steps up again only with a margin that has lasted longer, and not soon after the last change
(hysteresis). What a flow requires is never stepped down: with nobody to run it, the flow is rejected.
"""

from __future__ import annotations

from math import inf

from ..membership.view import Member
from .fleet_state import FleetState, Output
from .plan import Rules
from .policy import Flow
from .policy_bundle import PolicyBundle
from .translation import NOT_PLACED

MIN_LOAD_CORES = 1e-9


class ServingLevels:
    """Levels by the members of now, and since when flows would step, in seconds of the caller's clock."""

    def __init__(self, fleet: FleetState, rules: Rules, output: Output) -> None:
        self._fleet, self._rules, self._output = fleet, rules, output
        self.changed_at = 0.0
        self._step_down_since = self._step_up_since = inf

    def level_of(self, bundle: PolicyBundle, place: int, name: str) -> int:
        """Return the fallback level on which a member can serve a flow, by its place; NOT_PLACED if it can't.

        A class that the translation does not know serves what wants nothing.
        """
        flow = bundle.policy.flows[place]
        capabilities = self._fleet.capabilities.get(name)
        plan = bundle.translation.classes.get(capabilities) if capabilities is not None else None
        if plan is not None:
            return plan.fallback_levels[place]
        return NOT_PLACED if flow.require or flow.forbid else flow.no_fallback_level

    def serving_members(self, bundle: PolicyBundle, levels: tuple[int, ...]) -> list[tuple[str, ...]]:
        """Return by flow the members that may serve it on its level of now."""
        return [
            tuple(
                name
                for name in self._fleet.names
                if NOT_PLACED != self.level_of(bundle, place, name) <= levels[place]
            )
            for place in range(len(bundle.policy.flows))
        ]

    def able_members(self, bundle: PolicyBundle) -> dict[str, frozenset[str]]:
        """Return by flow that requires or forbids anything the members that can serve it at all."""
        return {
            flow.name: frozenset(
                name for name in self._fleet.names if self.level_of(bundle, place, name) != NOT_PLACED
            )
            for place, flow in enumerate(bundle.policy.flows)
            if flow.require or flow.forbid
        }

    # -- capacity

    def lack_of_capacity(self, bundle: PolicyBundle) -> str:
        """Return which flow would lack members for its load with the largest zone lost; empty if none.

        A fleet or a flow of one zone has no other to lose it to: there the whole counts. A flow shares its
        members with all flows that have no others, so their loads count together, which is exact where the
        sets of members lie within one another, and else a bound from below.
        """
        flows = [
            (flow, {member.name for member in self._fleet.members if self._may_serve(bundle, place, member)})
            for place, flow in enumerate(bundle.policy.flows)
            if flow.require
        ]
        for flow, names in flows:
            sharing = [other for other, members in flows if members <= names]
            fault = self._shortage(flow, names, sharing)
            if fault:
                return fault
        return ""

    def _shortage(self, flow: Flow, names: set[str], sharing: list[Flow]) -> str:
        load = sum(other.cores for other in sharing)
        by_zone: dict[str, float] = {}
        for member in self._fleet.members:
            if member.name in names and member.name in self._fleet.capabilities:
                capacity = self._fleet.capabilities[member.name].capacity
                by_zone[member.zone] = by_zone.get(member.zone, 0.0) + capacity
        zones = {member.zone for member in self._fleet.members}
        several = len(zones & set(flow.zones) if flow.zones else zones) > 1
        left = sum(by_zone.values()) - (max(by_zone.values(), default=0.0) if several else 0.0)
        if left > 0 and left >= load:
            return ""
        names_of_flows = ", ".join(other.name for other in sharing)
        subject = f"flow {flow.name} has" if len(sharing) < 2 else f"flows {names_of_flows} have"
        lost = " with the largest zone lost" if several else ""
        return f"{subject} {left:g} cores{lost}, {max(load, 0.001):g} are needed"

    def _may_serve(self, bundle: PolicyBundle, place: int, member: Member) -> bool:
        zones = bundle.policy.flows[place].zones
        runs = self.level_of(bundle, place, member.name) != NOT_PLACED
        return runs and (not zones or member.zone in zones)

    def _capacity(self, bundle: PolicyBundle, place: int, level: int) -> float:
        """Return the reference cores that serve a flow on this level or a better one."""
        zones = bundle.policy.flows[place].zones
        by_zone: dict[str, float] = {}
        for member in self._fleet.members:
            own_level = self.level_of(bundle, place, member.name)
            if NOT_PLACED != own_level <= level and (not zones or member.zone in zones):
                capabilities = self._fleet.capabilities.get(member.name)
                capacity = capabilities.capacity if capabilities is not None else 0.0
                by_zone[member.zone] = by_zone.get(member.zone, 0.0) + capacity
        return sum(by_zone.values())

    # -- levels

    def first_levels(self, bundle: PolicyBundle) -> tuple[int, ...]:
        """Return the levels on which the flows of a new bundle begin."""
        return tuple(self._wanted(bundle, place, None) for place in range(len(bundle.policy.flows)))

    def forget_pending_steps(self) -> None:
        """No bundle is in force here: no step is pending."""
        self._step_down_since = self._step_up_since = inf

    def levels_due(self, now: float, bundle: PolicyBundle, levels: tuple[int, ...]) -> tuple[int, ...]:
        """Return the levels that the fleet should be on now, dwell times and hysteresis considered."""
        wanted = [self._wanted(bundle, place, levels[place]) for place in range(len(levels))]
        down = any(want > level for want, level in zip(wanted, levels, strict=True))
        up = any(want < level for want, level in zip(wanted, levels, strict=True))
        self._step_down_since = min(self._step_down_since, now) if down else inf
        self._step_up_since = min(self._step_up_since, now) if up and not down else inf
        down_at = self._step_down_since + self._rules.dwell_down
        up_at = max(self._step_up_since + self._rules.dwell_up, self.changed_at + self._rules.rest)
        if down and now >= down_at:
            return tuple(max(pair) for pair in zip(wanted, levels, strict=True))
        if up and now >= up_at:
            return tuple(min(pair) for pair in zip(wanted, levels, strict=True))
        self._output.timers += [at for at in (down_at, up_at) if now < at < inf]
        return levels

    def _wanted(self, bundle: PolicyBundle, place: int, level: int | None) -> int:
        """Return the level that the members of now have capacity for.

        `level` is where the flow is; None if it begins.
        """
        flow = bundle.policy.flows[place]
        worst = flow.no_fallback_level
        if not flow.fallbacks:
            return worst
        capacity = [self._capacity(bundle, place, each) for each in range(worst + 1)]
        need = max(flow.cores, MIN_LOAD_CORES)
        if level is not None and capacity[level] < need:
            enough = [each for each in range(level + 1, worst + 1) if capacity[each] >= need]
            largest = max(range(level, worst + 1), key=lambda each: (capacity[each], -each))
            return enough[0] if enough else largest
        begin = worst if level is None else level
        with_margin = [each for each in range(begin) if capacity[each] >= need * self._rules.up_margin]
        return with_margin[0] if with_margin else begin
