"""Servers of several kinds under equal loads at the same time, so that machine load cancels out in ratios."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Mapping
from typing import Any

from .testbed import Testbed, free_port

Features = Callable[[Testbed], str | None]  # returns a kind's features file (None: no file) for a testbed


def side_by_side(
    testbed: Testbed, kinds: Mapping[str, Features], seconds: float, goal: float, **load: Any
) -> dict[str, dict[str, float]]:
    """Run one server of each kind for `seconds`, all under the same load.

    Returns by kind: CPU per attempt (us), p50 and p99 of completed answers (ms), requests completed within
    `goal` seconds per second, and memory (MB).
    """
    ports: dict[str, int] = {}
    servers = {}
    for kind, features in kinds.items():
        ports[kind], vm = free_port(), free_port()
        testbed.interpreter(kind, vm)
        servers[kind] = testbed.server(kind, ports[kind], vm, features(testbed))
    time.sleep(0.5)
    before = {kind: servers[kind].usage()[0] for kind in kinds}
    routers = [
        testbed.router(f"r-{kind}", [f"127.0.0.1:{ports[kind]}"], seconds=seconds, **load) for kind in kinds
    ]
    for router in routers:
        router.popen.wait(seconds + 30)
    figures = {}
    for kind in kinds:
        cpu_s, memory = servers[kind].usage()
        attempts = list(testbed.held(f"r-{kind}"))
        times = sorted(
            attempt["at"] - attempt["sent"] for attempt in attempts if attempt["how"] == "completed"
        )
        figures[kind] = {
            "cpu_us": 1e6 * (cpu_s - before[kind]) / max(len(attempts), 1),
            "p50_ms": 1000 * times[len(times) // 2],
            "p99_ms": 1000 * times[int(0.99 * len(times))],
            "in_goal_a_second": sum(duration <= goal for duration in times) / seconds,
            "memory_mb": memory,
        }
    return figures


class Rounds:
    """Figures of several rounds; a ratio is the median of the ratios within each round."""

    def __init__(self) -> None:
        self.rounds: list[dict[str, dict[str, float]]] = []

    def add(self, figures: dict[str, dict[str, float]]) -> None:
        self.rounds.append(figures)

    def median(self, kind: str, figure: str) -> float:
        return statistics.median(figures[kind][figure] for figures in self.rounds)

    def ratio(self, kind: str, figure: str, base: str = "off") -> float:
        return round(
            statistics.median(figures[kind][figure] / figures[base][figure] for figures in self.rounds), 3
        )
