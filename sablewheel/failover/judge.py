"""Whether a zone is out or back, in one member's judgement, and how much of a returned one counts. Pure.

One judgement decides nothing: a majority of the view must hold the same before the fleet declares it. What
stands here damps each member's own: a state must last before it is held (dwell), back asks for more than out
(hysteresis), a change rests before the next, and what comes back is ramped, since it comes cold.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace


@dataclass(frozen=True)
class Evidence:
    """What a member observes of a zone.

    Attributes:
        servers: Servers that belong to the zone.
        present: Those in the agreed view.
        failing: Those that fail or reject nearly all requests.
    """

    servers: int
    present: int
    failing: int = 0

    @property
    def well(self) -> float:
        """The part of the zone's servers that are present and not failing."""
        return max(self.present - self.failing, 0) / self.servers if self.servers else 0.0


@dataclass(frozen=True)
class Rules:
    """Spans in seconds. `out_below`, `back_above`: shares of a zone's servers that are well.

    Invariant: `out_below` is less than `back_above`; between them nothing changes.
    """

    out_below: float = 0.5
    back_above: float = 0.75
    out_after: float = 1.0
    back_after: float = 5.0
    rest: float = 10.0  # between two changes of one zone
    ramp: float = 20.0  # from the first traffic to all of it
    ramp_from: float = 0.1

    def __post_init__(self) -> None:
        if not 0 <= self.out_below < self.back_above <= 1:
            raise ValueError(
                f"out-below {self.out_below:g} must be less than back-above {self.back_above:g}, "
                "both within 0 to 1"
            )
        if not 0 < self.ramp_from <= 1:
            raise ValueError(f"ramp-from {self.ramp_from:g} must be over 0 and at most 1")


@dataclass(frozen=True)
class Held:
    """One zone's state: declared out or not, since when, and since when the evidence says otherwise."""

    out: bool = False
    changed: float = float("-inf")
    otherwise: float | None = None


@dataclass(frozen=True)
class Judgements:
    """All zones as declared; `step` gives what this member would have changed."""

    zones: Mapping[str, Held] = field(default_factory=dict)


def step(
    now: float, held: Judgements, seen: Mapping[str, Evidence], rules: Rules, majority: bool
) -> tuple[Judgements, dict[str, bool]]:
    """The state with the new evidence, and by zone what this member holds to be due: out (True) or back.

    Without a majority of the view nothing is due, and no clock runs: evidence of one's own side of a cut says
    nothing about the other.
    """
    zones = dict(held.zones)
    due: dict[str, bool] = {}
    for name, evidence in sorted(seen.items()):
        zone = zones.get(name, Held())
        wants = _wants(zone.out, evidence, rules)
        if wants == zone.out or not majority:
            zones[name] = replace(zone, otherwise=None)
            continue
        since = now if zone.otherwise is None else zone.otherwise
        zones[name] = replace(zone, otherwise=since)
        dwell = rules.out_after if wants else rules.back_after
        if now >= since + dwell and now >= zone.changed + rules.rest:
            due[name] = wants
    return Judgements(zones), due


def _wants(out: bool, evidence: Evidence, rules: Rules) -> bool:
    """Whether it should be out: hysteresis lies between the two marks."""
    return evidence.well < rules.back_above if out else evidence.well < rules.out_below


def declared(now: float, held: Judgements, name: str, out: bool) -> Judgements:
    """The fleet has agreed on it."""
    return Judgements({**held.zones, name: Held(out, now)})


def ramp(now: float, held: Judgements, name: str, rules: Rules) -> float:
    """The share of a zone's capacity that counts: all, none while it is out, ever more once it is back."""
    zone = held.zones.get(name, Held())
    if zone.out:
        return 0.0
    if zone.changed == float("-inf") or rules.ramp <= 0:
        return 1.0
    grown = (now - zone.changed) / rules.ramp
    return min(1.0, max(rules.ramp_from, rules.ramp_from + (1 - rules.ramp_from) * grown))
