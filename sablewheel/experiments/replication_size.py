"""Replication by size: how even the load is, what a view change moves, what it costs in bytes and time.

Placement alone up to 2,000 members; the whole replicas at 200 on the made network, their messages as packets.
"""

from __future__ import annotations

import random
import time
from collections import Counter
from dataclasses import replace
from typing import Any, ClassVar

from ..replication import codec
from ..replication.messages import Send
from ..replication.placement import Placement, Site
from ..replication.plan import Settings
from ..replication.replica import Replica
from .replication_scenario import Scenario
from .result import ExperimentResult

COPIES, ZONES = 3, 5
RANGES = {200: 4096, 2000: 32768}  # about twenty a member for each copy and more
MEMBERS, LABELS = 200, 2000


class Weighed(Replica):
    """Its packets are counted, in bytes."""

    spent: ClassVar[Counter[str]] = Counter()

    def step(self, now: float, event: Any) -> list[Any]:
        effects = super().step(now, event)
        for one in effects:
            if isinstance(one, Send):
                Weighed.spent["packets"] += 1
                Weighed.spent["bytes"] += len(codec.encode(one.message))
        return effects


def sites(many: int) -> tuple[Site, ...]:
    return tuple(Site(f"m{number:04}", 1, f"z{number % ZONES}") for number in range(many))


def run(seed: int, quick: bool) -> ExperimentResult:
    result = ExperimentResult("replication-size")
    for many, ranges in RANGES.items():
        _place(result, many, ranges)
    _fleet(result, seed, 50 if quick else MEMBERS, LABELS // 4 if quick else LABELS)
    return result


def _place(result: ExperimentResult, many: int, ranges: int) -> None:
    begun = time.perf_counter()
    before = Placement(sites(many), COPIES, ranges)
    load = Counter(name for slot in range(ranges) for name in before.replica_names(slot))
    took = time.perf_counter() - begun
    mean = COPIES * ranges / many
    most = max(load.values()) / mean
    gone = Placement(before.sites[1:], COPIES, ranges)
    come = Placement((*before.sites, Site("new", 1, "z0")), COPIES, ranges)
    share = ranges * COPIES / many
    for what, after in (("leaves", gone), ("comes", come)):
        moved = sum(
            len(set(after.replica_names(slot)) - set(before.replica_names(slot))) for slot in range(ranges)
        )
        says = f"{moved} of {COPIES * ranges} copies, R/N is {share:.0f}"
        promise = f"{many} members, one {what}: no more than 1.5 of R/N is moved"
        result.check(promise, 0 < moved <= 1.5 * share, says)
    result.check(f"{many} members: the fullest holds at most 1.7 of the mean", most <= 1.7, f"{most:.2f}")
    result.figures[f"placing {ranges} ranges on {many}, ms"] = round(1000 * took, 1)


def _fleet(result: ExperimentResult, seed: int, many: int, idempotency_keys: int) -> None:
    names = [one.name for one in sites(many)]
    settings = Settings(
        max_lifetime_s=30.0, slots=RANGES[MEMBERS], waits_after_cold_start=False, repair_interval_s=5.0
    )
    scenario = Scenario({one.name: one.zone for one in sites(many)}, seed, replace(settings), Weighed)
    chance = random.Random(seed)
    Weighed.spent.clear()
    scenario.found(*names, settle=1.0)
    scenario.settle(20.0)
    before = Counter(Weighed.spent)
    tries = []
    for number in range(idempotency_keys):
        tries.append(scenario.come(chance.choice(names), f"label {number}"))
        if number % 50 == 49:
            scenario.fleet.run(0.1)
    scenario.fleet.run(1.0)
    spent = Weighed.spent - before
    done = sum(one.outcome == "completed" for one in tries)
    held = [scenario.core(name).store.entries for name in names]
    served = done == idempotency_keys and not scenario.wrong()
    result.check(f"{many} members: all labels are served", served, f"{done} of {idempotency_keys}")
    result.check("each on three members", sum(held) == COPIES * idempotency_keys, sum(held))
    result.figures[f"{many} members, packets a label"] = round(spent["packets"] / idempotency_keys, 1)
    result.figures[f"{many} members, bytes a label"] = round(spent["bytes"] / idempotency_keys)
    result.figures["entries of the fullest over the mean"] = round(max(held) / (sum(held) / many), 2)
    before, begun = Counter(Weighed.spent), scenario.fleet.now
    gone = chance.choice(names)
    moving = sum(len(scenario.core(name).ranges.assigned) for name in [gone])
    scenario.fleet.crash(gone)
    scenario.view(set(names) - {gone})
    ready = scenario.settle(20.0)
    spent = Weighed.spent - before
    result.check("one is killed: all are caught up again", ready, f"{scenario.fleet.now - begun:.2f} s")
    again = [scenario.come(chance.choice(scenario.members), one.idempotency_key) for one in tries]
    scenario.fleet.run(2.0)
    same = sum(
        one.outcome == "completed" and one.result == first.result
        for one, first in zip(again, tries, strict=True)
    )
    result.check(
        "and every label is answered from its outcome",
        same == idempotency_keys and not scenario.wrong(),
        same,
    )
    result.figures["ranges of the one killed"] = moving
    result.figures["bytes to catch up after it"] = spent["bytes"]
    result.figures["seconds until all counted, made clock"] = round(scenario.fleet.now - begun - 2.0, 3)
