"""Membership at sizes beyond one machine: real nodes in a simulated network, from 100 to 10,000 members.

There are no processes and no real clock; the trial measures rounds and messages of the protocol itself. It
spreads an update and crashes a member in fleets of growing size, with one message in a hundred lost and one
member in a hundred paused.
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
SPREAD = 0.99  # share of the members that an update must reach
MAX_ROUNDS_PER_LOG2 = 3.0  # rounds for an update to reach that share, divided by log2 of the size
MAX_LOAD_RATIO = 1.2  # messages per member, as a multiple of the smallest fleet's
MAX_REMOVAL_RATIO = 6.0  # minimum suspicion timeouts to remove a dead member from that share of views
PAUSED_SHARE, PAUSE_S = 0.01, 1.5  # share of the members paused, seconds
CALM_S = 6.0  # seconds without faults over which messages are counted


def _until(net: Net, target: float, timeout_s: float, share: Callable[[], float]) -> float:
    """Run until `share()` is at least `target` and return the seconds taken; inf on a timeout."""
    started = net.now
    while net.now < started + timeout_s:
        net.run(net.now + SETTINGS.period_s / 5)
        if share() >= target:
            return net.now - started
    return math.inf


def measure(n: int, seed: int) -> dict[str, float]:
    """Return the figures of one fleet; times are in simulated seconds, except `took` (real seconds)."""
    started = time.perf_counter()
    net, chance = Net(SETTINGS, seed), random.Random(seed)
    net.add_fleet(n)
    net.loss = 0.01
    net.run(net.now + 1.0)
    before = sum(node.counters.get("sent", 0) for node in net.nodes.values())
    net.run(net.now + CALM_S)
    sent = sum(node.counters.get("sent", 0) for node in net.nodes.values()) - before
    # An update: one member raises its incarnation, as a refutation does.
    updated = net.nodes["m00001"]
    updated.refute_suspicion()
    update_s = _until(
        net,
        SPREAD,
        60.0,
        lambda: sum(node.known_incarnation("m00001") >= 2 for node in net.nodes.values()) / n,
    )
    # One member in a hundred is paused while another member crashes.
    names = sorted(net.nodes)
    dead = names[n // 2]
    paused = chance.sample([name for name in names if name != dead], max(int(n * PAUSED_SHARE), 1))
    for name in paused:
        net.stopped[name] = net.now + PAUSE_S
    net.kill(dead)
    alive = [node for name, node in net.nodes.items() if name != dead]

    def share_without_dead() -> float:
        return sum(node.view is not None and dead not in node.view for node in alive) / len(alive)

    removal_s = _until(net, SPREAD, 60.0, share_without_dead)
    net.run(net.now + 6.0)
    return {
        "messages_a_member_a_second": sent / n / CALM_S,
        "rumour_rounds": update_s / SETTINGS.period_s,
        "out_s": removal_s,
        "healthy_removed": max(n - 1 - len(node.members) for node in alive),
        "views": len({node.view for node in alive}),
        "suspicions": sum(node.counters.get("suspicions", 0) for node in alive),
        "took": time.perf_counter() - started,
    }


def run(seed: int, quick: bool) -> ExperimentResult:
    result = ExperimentResult("membership-size")
    sizes = (50, 200, 1000) if quick else (100, 1000, 10_000)
    by_size = {n: measure(n, seed) for n in sizes}
    base = by_size[sizes[0]]["messages_a_member_a_second"]
    for n, figures in by_size.items():
        rounds, limit = figures["rumour_rounds"], MAX_ROUNDS_PER_LOG2 * math.log2(n)
        result.check(
            f"{n}: an update reaches 99% within a few times log2 n rounds",
            rounds <= limit,
            f"{rounds:.1f} of {limit:.1f}",
        )
        ratio = figures["messages_a_member_a_second"] / base
        result.check(f"{n}: messages per member stay constant", ratio <= MAX_LOAD_RATIO, f"{ratio:.3f}")
        limit = MAX_REMOVAL_RATIO * SETTINGS.min_suspicion_periods * SETTINGS.period_s
        result.check(
            f"{n}: the dead member is removed from nearly every view",
            figures["out_s"] <= limit,
            f"{figures['out_s']:.2f} s",
        )
        result.check(
            f"{n}: no healthy member is removed",
            figures["healthy_removed"] == 0,
            f"{figures['healthy_removed']:.0f}",
        )
        result.check(f"{n}: one view at the end", figures["views"] == 1, f"{figures['views']:.0f}")
        for name, value in figures.items():
            result.figures[f"{n}_{name}"] = round(value, 2)
    return result
