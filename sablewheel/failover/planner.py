"""The traffic plan: for each zone, the share that it keeps and where the other traffic goes. Pure functions.

The plan is a function of the agreed state (zones with capacity and load), so that all members with the same
state compute the same plan. A zone keeps its traffic as long as it can serve it with headroom; the overflow
goes to the nearest zones with free capacity, and to other regions last. The plan never assigns a zone more
traffic from others than it can serve: traffic for which there is no capacity stays in its zone, whose
admission rejects it early.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

SAME_REGION, OTHER_REGION = 1, 2  # distance tiers of other zones; 0 is the zone itself
TOTAL_SHARE = 1000  # shares are integer thousandths, so that all members round alike


@dataclass(frozen=True, order=True)
class Zone:
    """The agreed state of a zone.

    Attributes:
        name: Unique name.
        region: Region that the zone belongs to.
        capacity: Capacity in requests per second.
        load: Load in requests per second.
        healthy_ratio: Part of its servers that are reachable and serving.
        out: Whether the zone is declared out and gets no traffic.
        ramp_ratio: Part of its capacity that counts while it returns to service cold.
    """

    name: str
    region: str
    capacity: float
    load: float
    healthy_ratio: float = 1.0
    out: bool = False
    ramp_ratio: float = 1.0


@dataclass(frozen=True)
class PlannerSettings:
    """Settings of the planner.

    Attributes:
        headroom_ratio: Capacity to keep free, relative to the load; Envoy's overprovisioning factor of 1.4
            corresponds to 0.4.
        panic_ratio: If the mean healthy ratio is below this value, load is spread as if all servers were
            healthy: the reports are then more likely to be wrong, and the few servers reported as healthy
            would be overloaded.
        distances: Distance between pairs of zones, if known; the nearest zones are used first.
    """

    headroom_ratio: float = 0.4
    panic_ratio: float = 0.3
    distances: Mapping[tuple[str, str], float] | None = None


@dataclass(frozen=True)
class Plan:
    """A traffic plan.

    Attributes:
        rows: For each zone, the shares of its traffic by receiving zone, including itself, in thousandths;
            each row adds up to `TOTAL_SHARE`.
        panic: Whether load is spread regardless of health.
    """

    rows: Mapping[str, Mapping[str, int]]
    panic: bool = False

    @property
    def version(self) -> str:
        """A short digest, to compare plans across members."""
        text = "|".join(f"{name}:{sorted(row.items())}" for name, row in sorted(self.rows.items()))
        return hashlib.blake2b(f"{self.panic}|{text}".encode(), digest_size=6).hexdigest()


def usable_capacity(zone: Zone, settings: PlannerSettings) -> float:
    """Return the most traffic that a zone is planned to serve, in requests per second."""
    if zone.out:
        return 0.0
    return zone.capacity * zone.ramp_ratio / (1.0 + settings.headroom_ratio)


def plan(zones: tuple[Zone, ...], settings: PlannerSettings) -> Plan:
    """Return the plan for these zones; their order does not matter."""
    zones = tuple(sorted(zones))
    mean_healthy_ratio = sum(zone.healthy_ratio for zone in zones) / len(zones) if zones else 1.0
    if zones and mean_healthy_ratio < settings.panic_ratio:
        return Plan({zone.name: _panic_row(zone, zones) for zone in zones}, panic=True)
    free_capacity = {zone.name: usable_capacity(zone, settings) for zone in zones}
    flows: dict[str, dict[str, float]] = {zone.name: {} for zone in zones}
    unassigned: dict[str, float] = {}
    for zone in zones:  # local traffic first: other zones get only the remaining capacity
        local_load = min(zone.load, free_capacity[zone.name])
        flows[zone.name][zone.name] = local_load
        free_capacity[zone.name] -= local_load
        unassigned[zone.name] = zone.load - local_load
    for tier in sorted({_tier(a, b, settings) for a in zones for b in zones if a is not b}):
        _overflow(zones, settings, tier, free_capacity, flows, unassigned)
    return Plan({zone.name: _row(zone, flows[zone.name], unassigned[zone.name]) for zone in zones})


def _tier(a: Zone, b: Zone, settings: PlannerSettings) -> tuple[int, float]:
    distance = (settings.distances or {}).get((a.name, b.name), 0.0)
    return (SAME_REGION if a.region == b.region else OTHER_REGION, distance)


def _overflow(
    zones: tuple[Zone, ...],
    settings: PlannerSettings,
    tier: tuple[int, float],
    free_capacity: dict[str, float],
    flows: dict[str, dict[str, float]],
    unassigned: dict[str, float],
) -> None:
    """Assign overflow to the zones of one distance tier, in proportion to demand if capacity is short."""
    demands: dict[str, dict[str, float]] = {}
    for zone in zones:
        targets = [target for target in zones if target is not zone and _tier(zone, target, settings) == tier]
        total_free = sum(free_capacity[target.name] for target in targets)
        if unassigned[zone.name] <= 0 or total_free <= 0:
            continue
        for target in targets:
            demands.setdefault(target.name, {})[zone.name] = (
                unassigned[zone.name] * free_capacity[target.name] / total_free
            )
    for name, demand_by_sender in sorted(demands.items()):
        granted_ratio = (
            min(1.0, free_capacity[name] / sum(demand_by_sender.values()))
            if sum(demand_by_sender.values()) > 0
            else 0.0
        )
        for sender, load in sorted(demand_by_sender.items()):
            flows[sender][name] = flows[sender].get(name, 0.0) + load * granted_ratio
            unassigned[sender] -= load * granted_ratio
            free_capacity[name] -= load * granted_ratio


def _row(zone: Zone, flows: dict[str, float], unassigned: float) -> dict[str, int]:
    """Return the row of a zone; shares of other zones are rounded down, so none gets more than planned."""
    if zone.load <= 0:
        return {zone.name: TOTAL_SHARE}
    row = {name: int(TOTAL_SHARE * load / zone.load) for name, load in flows.items() if name != zone.name}
    row = {name: share for name, share in row.items() if share > 0}
    row[zone.name] = TOTAL_SHARE - sum(row.values())
    return row


def _panic_row(zone: Zone, zones: tuple[Zone, ...]) -> dict[str, int]:
    """Return the row of a zone in panic mode: shares by capacity, as if all servers were healthy."""
    total = sum(target.capacity for target in zones)
    if total <= 0:
        return {zone.name: TOTAL_SHARE}
    row = {
        target.name: int(TOTAL_SHARE * target.capacity / total)
        for target in zones
        if target.name != zone.name
    }
    row = {name: share for name, share in row.items() if share > 0}
    row[zone.name] = TOTAL_SHARE - sum(row.values())
    return row
