"""Servers of several kinds side by side under equal loads at the same time: ratios that the machine's mood
spares.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Mapping
from typing import Any

from .testbed import Testbed, free_port

Text = Callable[[Testbed], str | None]  # a kind's features file, once the testbed is there


def side_by_side(
    testbed: Testbed, kinds: Mapping[str, Text], seconds: float, goal: float, **load: Any
) -> dict[str, dict[str, float]]:
    """By kind: CPU a request (us), p50 and p99 of completed answers (ms), completed within the goal a second,
    MB.
    """
    ports: dict[str, int] = {}
    servers = {}
    for kind, text in kinds.items():
        ports[kind], vm = free_port(), free_port()
        testbed.interpreter(kind, vm)
        servers[kind] = testbed.server(kind, ports[kind], vm, text(testbed))
    time.sleep(0.5)
    before = {kind: servers[kind].usage()[0] for kind in kinds}
    routers = [
        testbed.router(f"r-{kind}", [f"127.0.0.1:{ports[kind]}"], seconds=seconds, **load) for kind in kinds
    ]
    for one in routers:
        one.popen.wait(seconds + 30)
    found = {}
    for kind in kinds:
        used, memory = servers[kind].usage()
        held = list(testbed.held(f"r-{kind}"))
        times = sorted(one["at"] - one["sent"] for one in held if one["how"] == "completed")
        found[kind] = {
            "cpu_us": 1e6 * (used - before[kind]) / max(len(held), 1),
            "p50_ms": 1000 * times[len(times) // 2],
            "p99_ms": 1000 * times[int(0.99 * len(times))],
            "in_goal_a_second": sum(one <= goal for one in times) / seconds,
            "memory_mb": memory,
        }
    return found


class Rounds:
    """Figures of several rounds; ratios are of pairs within a round, then their median."""

    def __init__(self) -> None:
        self.rounds: list[dict[str, dict[str, float]]] = []

    def add(self, figures: dict[str, dict[str, float]]) -> None:
        self.rounds.append(figures)

    def median(self, kind: str, figure: str) -> float:
        return statistics.median(one[kind][figure] for one in self.rounds)

    def ratio(self, kind: str, figure: str, base: str = "off") -> float:
        return round(statistics.median(one[kind][figure] / one[base][figure] for one in self.rounds), 3)
