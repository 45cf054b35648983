"""How much of a core a running request uses, learned from gauges."""

from __future__ import annotations

from math import inf

from .service_times import RECENT_SAMPLES, Samples

MAX_BUSY_RATIO = 0.75  # of the cores; busier ones make runs slow each other down


class CoreUsage:
    """The part of a core that each running request demands and takes.

    Runs may wait beside the cores (for a disk or a service below) without an event. Counting each as a whole
    core would leave cores idle while requests are rejected, and the rejections would keep the credit pool at
    its floor. The cost: concurrency may exceed the cores for a moment; the guards still count every run.

    Invariant: every sample lies in (0, 1].
    """

    def __init__(self) -> None:
        self._demand_ratio = Samples()  # of running requests, those that demand a core
        self._busy_ratio = Samples(RECENT_SAMPLES)  # of a core, what a running request takes

    def record_gauges(self, cpu_busy_ratio: float, runnable: float, on_cores: int, cores: int) -> None:
        """Learn from gauges, if at least one request per core runs; infinite gauges are unknown.

        `runnable` also counts what is just being read. `cpu_busy_ratio` covers a past interval: it says
        nothing once all runs demand a core, and one sample lets the runs double at most.
        """
        if on_cores < cores:
            return
        if runnable < inf:
            self._demand_ratio.add(min(max(runnable, 1.0) / on_cores, 1.0))
        if cpu_busy_ratio < inf:
            all_demand_a_core = on_cores <= runnable < inf
            taken = on_cores if all_demand_a_core else max(cpu_busy_ratio, MAX_BUSY_RATIO / 2) * cores
            self._busy_ratio.add(min(taken / on_cores, 1.0))

    def cores_per_run(self) -> float:
        """Return the part of a core to count for a running request.

        Medians, since a gauge that is read between one run's end and the next one's start is low.
        """
        return min(
            self._demand_ratio.quantile(0.5, 1.0), self._busy_ratio.quantile(0.5, 1.0) / MAX_BUSY_RATIO
        )
