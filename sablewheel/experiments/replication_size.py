"""Replication by fleet size: load balance, data moved by a view change, and its cost in bytes and time.

Placement is measured alone for up to 2,000 members; whole replicas for 200 members on the simulated network,
with their messages encoded as packets.
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

COPY_COUNT, ZONE_COUNT = 3, 5
RANGE_COUNTS = {200: 4096, 2000: 32768}  # by member count: about 20 or more per member for each copy
MEMBER_COUNT, KEY_COUNT = 200, 2000


class TrafficCountingReplica(Replica):
    """Counts the packets that replicas send and their bytes, in one counter for all instances."""

    traffic: ClassVar[Counter[str]] = Counter()

    def step(self, now: float, event: Any) -> list[Any]:
        effects = super().step(now, event)
        for effect in effects:
            if isinstance(effect, Send):
                TrafficCountingReplica.traffic["packets"] += 1
                TrafficCountingReplica.traffic["bytes"] += len(codec.encode(effect.message))
        return effects


def sites(count: int) -> tuple[Site, ...]:
    return tuple(Site(f"m{number:04}", 1, f"z{number % ZONE_COUNT}") for number in range(count))


def run(seed: int, quick: bool) -> ExperimentResult:
    result = ExperimentResult("replication-size")
    for member_count, range_count in RANGE_COUNTS.items():
        _check_placement(result, member_count, range_count)
    _check_fleet(result, seed, 50 if quick else MEMBER_COUNT, KEY_COUNT // 4 if quick else KEY_COUNT)
    return result


def _check_placement(result: ExperimentResult, member_count: int, range_count: int) -> None:
    started_at = time.perf_counter()
    before = Placement(sites(member_count), COPY_COUNT, range_count)
    load = Counter(name for slot in range(range_count) for name in before.replica_names(slot))
    elapsed_s = time.perf_counter() - started_at
    mean = COPY_COUNT * range_count / member_count
    max_load = max(load.values()) / mean
    after_leave = Placement(before.sites[1:], COPY_COUNT, range_count)
    after_join = Placement((*before.sites, Site("new", 1, "z0")), COPY_COUNT, range_count)
    ranges_per_member = range_count * COPY_COUNT / member_count
    for change, after in (("leaves", after_leave), ("joins", after_join)):
        moved = sum(
            len(set(after.replica_names(slot)) - set(before.replica_names(slot)))
            for slot in range(range_count)
        )
        details = f"{moved} of {COPY_COUNT * range_count} copies, R/N is {ranges_per_member:.0f}"
        guarantee = f"{member_count} members, one {change}: at most 1.5 times R/N copies are moved"
        result.check(guarantee, 0 < moved <= 1.5 * ranges_per_member, details)
    result.check(
        f"{member_count} members: the fullest holds at most 1.7 times the mean",
        max_load <= 1.7,
        f"{max_load:.2f}",
    )
    result.figures[f"placing {range_count} ranges on {member_count}, ms"] = round(1000 * elapsed_s, 1)


def _check_fleet(result: ExperimentResult, seed: int, member_count: int, key_count: int) -> None:
    names = [site.name for site in sites(member_count)]
    settings = Settings(
        max_lifetime_s=30.0,
        slots=RANGE_COUNTS[MEMBER_COUNT],
        waits_after_cold_start=False,
        repair_interval_s=5.0,
    )
    scenario = Scenario(
        {site.name: site.zone for site in sites(member_count)},
        seed,
        replace(settings),
        TrafficCountingReplica,
    )
    rng = random.Random(seed)
    TrafficCountingReplica.traffic.clear()
    scenario.form_fleet(*names, settle_s=1.0)
    scenario.settle(20.0)
    traffic_before = Counter(TrafficCountingReplica.traffic)
    requests = []
    for number in range(key_count):
        requests.append(scenario.submit(rng.choice(names), f"label {number}"))
        if number % 50 == 49:
            scenario.fleet.run(0.1)
    scenario.fleet.run(1.0)
    traffic = TrafficCountingReplica.traffic - traffic_before
    completed_count = sum(request.outcome == "completed" for request in requests)
    entry_counts = [scenario.replica(name).store.entries for name in names]
    served = completed_count == key_count and not scenario.violation()
    result.check(
        f"{member_count} members: all keyed requests are served", served, f"{completed_count} of {key_count}"
    )
    result.check(
        "each key is stored on three members", sum(entry_counts) == COPY_COUNT * key_count, sum(entry_counts)
    )
    result.figures[f"{member_count} members, packets a label"] = round(traffic["packets"] / key_count, 1)
    result.figures[f"{member_count} members, bytes a label"] = round(traffic["bytes"] / key_count)
    result.figures["entries of the fullest over the mean"] = round(
        max(entry_counts) / (sum(entry_counts) / member_count), 2
    )
    traffic_before, started_at = Counter(TrafficCountingReplica.traffic), scenario.fleet.now
    killed = rng.choice(names)
    moved_ranges = sum(len(scenario.replica(name).ranges.assigned) for name in [killed])
    scenario.fleet.crash(killed)
    scenario.install_view(set(names) - {killed})
    caught_up = scenario.settle(20.0)
    traffic = TrafficCountingReplica.traffic - traffic_before
    result.check(
        "a member is killed: the others catch up", caught_up, f"{scenario.fleet.now - started_at:.2f} s"
    )
    repeats = [scenario.submit(rng.choice(scenario.members), request.idempotency_key) for request in requests]
    scenario.fleet.run(2.0)
    same_count = sum(
        request.outcome == "completed" and request.result == first.result
        for request, first in zip(repeats, requests, strict=True)
    )
    result.check(
        "after the kill, every repeat is answered from the stored outcome",
        same_count == key_count and not scenario.violation(),
        same_count,
    )
    result.figures["ranges of the one killed"] = moved_ranges
    result.figures["bytes to catch up after it"] = traffic["bytes"]
    result.figures["seconds until all counted, made clock"] = round(scenario.fleet.now - started_at - 2.0, 3)
