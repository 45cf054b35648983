"""One member's proposals to declare zones out or back, and the ramp-up of returned zones. Pure functions.

A proposal alone has no effect: the fleet declares a change only if a majority of the view proposes it. This
module damps the proposals of each member: a condition must persist for a dwell time, returning requires a
higher healthy ratio than staying in service (hysteresis), there is a minimum interval between changes of a
zone, and the capacity of a returned zone is ramped up, since its servers start cold.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace


@dataclass(frozen=True)
class Evidence:
    """A member's observations of a zone.

    Attributes:
        servers: Number of servers that belong to the zone.
        present: Number of them in the agreed view.
        failing: Number of present servers that fail or reject nearly all requests.
    """

    servers: int
    present: int
    failing: int = 0

    @property
    def healthy_ratio(self) -> float:
        """The part of the zone's servers that are present and not failing; 0 for a zone without servers."""
        return max(self.present - self.failing, 0) / self.servers if self.servers else 0.0


@dataclass(frozen=True)
class DampingSettings:
    """Thresholds and times for declaring zones out and back.

    Invariant: `out_below` is less than `back_above`; between them the state of a zone does not change.

    Attributes:
        out_below: Healthy ratio below which a zone should be out.
        back_above: Healthy ratio from which a zone that is out should be back.
        out_dwell_s: How long the healthy ratio must stay low before a zone is proposed as out.
        back_dwell_s: How long the healthy ratio must stay high before a zone is proposed as back.
        min_change_interval_s: Minimum time between two changes of a zone.
        ramp_s: Time from the return of a zone until its full capacity counts.
        ramp_start_ratio: Part of the capacity that counts when a zone returns.
    """

    out_below: float = 0.5
    back_above: float = 0.75
    out_dwell_s: float = 1.0
    back_dwell_s: float = 5.0
    min_change_interval_s: float = 10.0
    ramp_s: float = 20.0
    ramp_start_ratio: float = 0.1

    def __post_init__(self) -> None:
        if not 0 <= self.out_below < self.back_above <= 1:
            raise ValueError(
                f"out-below {self.out_below:g} must be less than back-above {self.back_above:g}, "
                "both within 0 to 1"
            )
        if not 0 < self.ramp_start_ratio <= 1:
            raise ValueError(f"ramp-start-ratio {self.ramp_start_ratio:g} must be over 0 and at most 1")


@dataclass(frozen=True)
class ZoneState:
    """The declared state of a zone.

    Attributes:
        out: Whether the zone is declared out.
        changed_at: When it was last declared out or back; -infinity if never.
        contradicted_since: Since when the evidence contradicts the declared state; None if it does not.
    """

    out: bool = False
    changed_at: float = float("-inf")
    contradicted_since: float | None = None


@dataclass(frozen=True)
class ZoneStates:
    """The declared states of all zones, by name."""

    zones: Mapping[str, ZoneState] = field(default_factory=dict)


def step(
    now: float,
    states: ZoneStates,
    evidence_by_zone: Mapping[str, Evidence],
    settings: DampingSettings,
    majority: bool,
) -> tuple[ZoneStates, dict[str, bool]]:
    """Return the state after new evidence, and the changes to propose: by zone, out (True) or back (False).

    Without a majority of the view nothing is proposed and the dwell times restart: evidence from this side of
    a network partition does not describe the other side.
    """
    zones = dict(states.zones)
    changes: dict[str, bool] = {}
    for name, evidence in sorted(evidence_by_zone.items()):
        zone = zones.get(name, ZoneState())
        should_be_out = _should_be_out(zone.out, evidence, settings)
        if should_be_out == zone.out or not majority:
            zones[name] = replace(zone, contradicted_since=None)
            continue
        since = now if zone.contradicted_since is None else zone.contradicted_since
        zones[name] = replace(zone, contradicted_since=since)
        dwell_s = settings.out_dwell_s if should_be_out else settings.back_dwell_s
        if now >= since + dwell_s and now >= zone.changed_at + settings.min_change_interval_s:
            changes[name] = should_be_out
    return ZoneStates(zones), changes


def _should_be_out(out: bool, evidence: Evidence, settings: DampingSettings) -> bool:
    """Return whether a zone should be out, with hysteresis between the two thresholds."""
    return (
        evidence.healthy_ratio < settings.back_above if out else evidence.healthy_ratio < settings.out_below
    )


def apply_declaration(now: float, states: ZoneStates, name: str, out: bool) -> ZoneStates:
    """Return the state after the fleet has declared a zone out or back."""
    return ZoneStates({**states.zones, name: ZoneState(out, now)})


def capacity_ratio(now: float, states: ZoneStates, name: str, settings: DampingSettings) -> float:
    """Return the part of a zone's capacity that counts: 0 while out, increasing to 1 after its return."""
    zone = states.zones.get(name, ZoneState())
    if zone.out:
        return 0.0
    if zone.changed_at == float("-inf") or settings.ramp_s <= 0:
        return 1.0
    elapsed_ratio = (now - zone.changed_at) / settings.ramp_s
    return min(
        1.0,
        max(
            settings.ramp_start_ratio,
            settings.ramp_start_ratio + (1 - settings.ramp_start_ratio) * elapsed_ratio,
        ),
    )
