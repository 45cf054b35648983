"""The plan: for each zone the share of its traffic that it keeps, and where the rest goes. Pure.

A function of what the fleet agreed on (zones with capacity and load), so that all who hold the same facts
hold the same plan. Local first while the zone carries its load with headroom; then the nearest zones with
room; other regions last. No zone is ever planned to receive past what it can carry: what finds no room stays
where it is, and that zone's admission denies it early.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass

NEAR, FAR = 1, 2  # another zone of the region, another region; 0 is the zone itself
STEPS = 1000  # shares are whole thousandths: the same on every member, whatever rounds where


@dataclass(frozen=True, order=True)
class Zone:
    """What is agreed of one zone. `capacity` and `load` in requests a second, as all agreed to see them.

    `out`: its servers get nothing. `ramp`: the share of its capacity that counts, while it comes back cold.
    """

    name: str
    region: str
    capacity: float
    load: float
    healthy: float = 1.0  # share of its servers that can be reached and serve
    out: bool = False
    ramp: float = 1.0


@dataclass(frozen=True)
class Rules:
    """`headroom`: capacity kept free beside the load, as Envoy's overprovisioning factor of 1.4 leaves 0.4.

    `panic`: with a smaller share of all servers healthy than this, loads are spread as if all were: when that
    few look well it is likelier that the reports are wrong, and the few would be buried.
    """

    headroom: float = 0.4
    panic: float = 0.3
    distances: Mapping[tuple[str, str], float] | None = None  # between zones, where known; nearest first


@dataclass(frozen=True)
class Plan:
    """`rows`: by zone, where its traffic goes, in thousandths, itself included; each row adds up to all."""

    rows: Mapping[str, Mapping[str, int]]
    panic: bool = False

    @property
    def version(self) -> str:
        """A short digest, to compare plans across members."""
        text = "|".join(f"{one}:{sorted(row.items())}" for one, row in sorted(self.rows.items()))
        return hashlib.blake2b(f"{self.panic}|{text}".encode(), digest_size=6).hexdigest()


def usable(zone: Zone, rules: Rules) -> float:
    """What a zone is planned to carry at most."""
    if zone.out:
        return 0.0
    return zone.capacity * zone.ramp / (1.0 + rules.headroom)


def plan(zones: tuple[Zone, ...], rules: Rules) -> Plan:
    """The one plan of these facts; their order does not matter."""
    zones = tuple(sorted(zones))
    healthy = sum(zone.healthy for zone in zones) / len(zones) if zones else 1.0
    if zones and healthy < rules.panic:
        return Plan({zone.name: _spread(zone, zones) for zone in zones}, panic=True)
    room = {zone.name: usable(zone, rules) for zone in zones}
    flows: dict[str, dict[str, float]] = {zone.name: {} for zone in zones}
    rest: dict[str, float] = {}
    for zone in zones:  # local first: others get only what is left of a zone
        kept = min(zone.load, room[zone.name])
        flows[zone.name][zone.name] = kept
        room[zone.name] -= kept
        rest[zone.name] = zone.load - kept
    for tier in sorted({_tier(a, b, rules) for a in zones for b in zones if a is not b}):
        _overflow(zones, rules, tier, room, flows, rest)
    return Plan({zone.name: _row(zone, flows[zone.name], rest[zone.name]) for zone in zones})


def _tier(a: Zone, b: Zone, rules: Rules) -> tuple[int, float]:
    far = (rules.distances or {}).get((a.name, b.name), 0.0)
    return (NEAR if a.region == b.region else FAR, far)


def _overflow(
    zones: tuple[Zone, ...],
    rules: Rules,
    tier: tuple[int, float],
    room: dict[str, float],
    flows: dict[str, dict[str, float]],
    rest: dict[str, float],
) -> None:
    """What is left goes to zones of one distance, shared by need where several want the same room."""
    wants: dict[str, dict[str, float]] = {}
    for zone in zones:
        targets = [one for one in zones if one is not zone and _tier(zone, one, rules) == tier]
        free = sum(room[one.name] for one in targets)
        if rest[zone.name] <= 0 or free <= 0:
            continue
        for one in targets:
            wants.setdefault(one.name, {})[zone.name] = rest[zone.name] * room[one.name] / free
    for name, asked in sorted(wants.items()):
        fits = min(1.0, room[name] / sum(asked.values())) if sum(asked.values()) > 0 else 0.0
        for sender, much in sorted(asked.items()):
            flows[sender][name] = flows[sender].get(name, 0.0) + much * fits
            rest[sender] -= much * fits
            room[name] -= much * fits


def _row(zone: Zone, flows: dict[str, float], rest: float) -> dict[str, int]:
    """Thousandths, rounded down for others and the rest kept: no zone gets more than was planned for it."""
    if zone.load <= 0:
        return {zone.name: STEPS}
    row = {name: int(STEPS * much / zone.load) for name, much in flows.items() if name != zone.name}
    row = {name: share for name, share in row.items() if share > 0}
    row[zone.name] = STEPS - sum(row.values())
    return row


def _spread(zone: Zone, zones: tuple[Zone, ...]) -> dict[str, int]:
    """Panic: by capacity, as if all were well."""
    total = sum(one.capacity for one in zones)
    if total <= 0:
        return {zone.name: STEPS}
    row = {one.name: int(STEPS * one.capacity / total) for one in zones if one.name != zone.name}
    row = {name: share for name, share in row.items() if share > 0}
    row[zone.name] = STEPS - sum(row.values())
    return row
