"""Estimates how much of a core a running request uses, from gauges."""

from __future__ import annotations

from math import inf

from .service_times import RECENT_SAMPLES, Samples

MAX_BUSY_RATIO = 0.75  # target utilization of the cores; above it runs slow each other down


class CoreUsage:
    """The part of a core that each running request demands and uses.

    Runs may block off the CPU (on a disk or a downstream service) without an event. Counting each as a whole
    core would leave cores idle while requests are rejected, and the rejections would keep the credit pool at
    its minimum. The cost: concurrency may exceed the cores briefly; the guards still count every run.

    Invariant: every sample lies in (0, 1].
    """

    def __init__(self) -> None:
        self._demand_ratio = Samples()  # part of the running requests that demand a core
        self._busy_ratio = Samples(RECENT_SAMPLES)  # part of a core that a running request uses

    def record_gauges(self, cpu_busy_ratio: float, runnable: float, on_cores: int, cores: int) -> None:
        """Record a sample of the gauges if at least one request per core runs; infinite gauges are unknown.

        `runnable` also counts reads in progress. `cpu_busy_ratio` covers a past interval: it is ignored once
        all runs demand a core, and one sample lets the number of runs double at most.
        """
        if on_cores < cores:
            return
        if runnable < inf:
            self._demand_ratio.add(min(max(runnable, 1.0) / on_cores, 1.0))
        if cpu_busy_ratio < inf:
            all_demand_a_core = on_cores <= runnable < inf
            used_cores = on_cores if all_demand_a_core else max(cpu_busy_ratio, MAX_BUSY_RATIO / 2) * cores
            self._busy_ratio.add(min(used_cores / on_cores, 1.0))

    def cores_per_run(self) -> float:
        """Return the part of a core to count for a running request.

        Uses medians, since a gauge read between the end of one run and the start of the next is too low.
        """
        return min(
            self._demand_ratio.quantile(0.5, 1.0), self._busy_ratio.quantile(0.5, 1.0) / MAX_BUSY_RATIO
        )
