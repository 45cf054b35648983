"""Membership past this machine: the same nodes in a made network, from a hundred members to ten thousand.

No process and no clock: what is measured are rounds and messages of the decisions themselves. A rumour and a
crash in fleets of growing size, with one message in a hundred lost and one member in a hundred paused.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable

from ..membership.plan import Settings
from .result import ExperimentResult
from .simulated_network import Net

SETTINGS = Settings()
SPREAD = 0.99
ROUNDS_MOST = 3.0  # times log2 of the size, for a rumour to reach nearly all
LOAD_MOST = 1.2  # times the smallest fleet's messages a member
OUT_MOST = 6.0  # times the shortest suspicion, for a dead member to be out of nearly every view
PAUSED, PAUSE = 0.01, 1.5
CALM = 6.0


def _until(net: Net, done: float, within: float, share: Callable[[], float]) -> float:
    """Seconds until `share()` of the members is at least `done`; inf past `within`."""
    begun = net.now
    while net.now < begun + within:
        net.run(net.now + SETTINGS.period_s / 5)
        if share() >= done:
            return net.now - begun
    return math.inf


def measure(n: int, seed: int) -> dict[str, float]:
    """One fleet's figures; times in seconds of its own clock, but for `took`."""
    begun = time.perf_counter()
    net, chance = Net(SETTINGS, seed), random.Random(seed)
    net.stand(n)
    net.loss = 0.01
    net.run(net.now + 1.0)
    before = sum(node.counters.get("sent", 0) for node in net.nodes.values())
    net.run(net.now + CALM)
    sent = sum(node.counters.get("sent", 0) for node in net.nodes.values()) - before
    # A rumour: one member raises its incarnation, as a refutation does.
    teller = net.nodes["m00001"]
    teller.refute_suspicion()
    rumour = _until(
        net,
        SPREAD,
        60.0,
        lambda: sum(node.known_incarnation("m00001") >= 2 for node in net.nodes.values()) / n,
    )
    # One in a hundred pauses, each at its own time, and a member dies among them.
    names = sorted(net.nodes)
    dead = names[n // 2]
    paused = chance.sample([name for name in names if name != dead], max(int(n * PAUSED), 1))
    for name in paused:
        net.stopped[name] = net.now + PAUSE
    net.kill(dead)
    alive = [node for name, node in net.nodes.items() if name != dead]

    def without() -> float:
        return sum(node.view is not None and dead not in node.view for node in alive) / len(alive)

    out = _until(net, SPREAD, 60.0, without)
    net.run(net.now + 6.0)
    return {
        "messages_a_member_a_second": sent / n / CALM,
        "rumour_rounds": rumour / SETTINGS.period_s,
        "out_s": out,
        "healthy_removed": max(n - 1 - len(node.members) for node in alive),
        "views": len({node.view for node in alive}),
        "suspicions": sum(node.counters.get("suspicions", 0) for node in alive),
        "took": time.perf_counter() - begun,
    }


def run(seed: int, quick: bool) -> ExperimentResult:
    result = ExperimentResult("membership-size")
    sizes = (50, 200, 1000) if quick else (100, 1000, 10_000)
    found = {n: measure(n, seed) for n in sizes}
    base = found[sizes[0]]["messages_a_member_a_second"]
    for n, figures in found.items():
        rounds, limit = figures["rumour_rounds"], ROUNDS_MOST * math.log2(n)
        result.check(
            f"{n}: a rumour is everywhere in a few times log n rounds",
            rounds <= limit,
            f"{rounds:.1f} of {limit:.1f}",
        )
        ratio = figures["messages_a_member_a_second"] / base
        result.check(f"{n}: messages a member stay flat", ratio <= LOAD_MOST, f"{ratio:.3f}")
        limit = OUT_MOST * SETTINGS.min_suspicion_periods * SETTINGS.period_s
        result.check(
            f"{n}: the dead is out of nearly every view",
            figures["out_s"] <= limit,
            f"{figures['out_s']:.2f} s",
        )
        result.check(
            f"{n}: no healthy member is taken out",
            figures["healthy_removed"] == 0,
            f"{figures['healthy_removed']:.0f}",
        )
        result.check(f"{n}: one view at the end", figures["views"] == 1, f"{figures['views']:.0f}")
        for name, value in figures.items():
            result.figures[f"{n}_{name}"] = round(value, 2)
    return result
