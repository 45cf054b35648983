"""The guards: limits of memory and concurrency that hold regardless of the credit pool."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from .context import DecisionContext
from .dependency_capacity import DependencyCapacity
from .interface import Request
from .slow_start import SlowStart
from .unconfirmed_starts import UnconfirmedStarts


class ResourceLimits:
    """The resources that admitted requests occupy, compared with the limits of the server.

    Invariant: `memory_kb` is the sum over queued requests, running requests (times the running memory
    factor) and reserved idempotency keys; `on_cores` counts the runs that are not at a dependency call, and
    the coalesced requests.
    """

    def __init__(
        self, context: DecisionContext, slow_start: SlowStart, dependency_capacity: DependencyCapacity
    ) -> None:
        self._context = context
        self._slow_start = slow_start
        self._dependency_capacity = dependency_capacity
        self.memory_kb = 0.0
        self.on_cores = 0
        self.running: dict[Request, None] = {}  # an ordered set, in order of the starts
        self.unconfirmed = UnconfirmedStarts()  # a subset of `running`

    def memory_fits(self, additional_kb: float) -> bool:
        """Return whether `additional_kb` of memory is free."""
        return self.memory_kb + additional_kb <= self._context.settings.memory_kb

    def can_run(self, request: Request) -> bool:
        """Return whether memory and cores allow one more run.

        Requests at dependency calls count too, since they return to the cores when the call ends.
        """
        concurrency = self.on_cores + self._dependency_capacity.in_flight
        return concurrency < int(self._slow_start.max_concurrency()) and self.memory_fits(
            self._additional_memory_kb(request)
        )

    def occupy(self, request: Request) -> None:
        """Count a queued request as on the cores, with the memory of a run."""
        self.on_cores += 1
        self.memory_kb += self._additional_memory_kb(request)

    def release_memory(self, request: Request, was_running: bool) -> None:
        """Free the memory of a finished request."""
        factor = self._context.settings.running_memory_factor if was_running else 1
        self.memory_kb -= request.memory_kb * factor

    def confirmed_on_cores(self) -> int:
        """Return how many requests are on the cores, without the unconfirmed starts."""
        return self.on_cores - len(self.unconfirmed)

    def confirmed_running(self) -> int:
        """Return how many requests are running or at dependency calls, without the unconfirmed starts."""
        return len(self.running) - len(self.unconfirmed)

    def max_requests_in_memory(self, queued: Iterable[Request]) -> float:
        """Return how many runs of the mean size of running requests fit; if none run, of queued ones."""
        sizes_kb = [request.memory_kb for request in self.running] or [
            request.memory_kb for request in queued
        ]
        mean_kb = sum(sizes_kb) / len(sizes_kb) if sizes_kb else 0.0
        settings = self._context.settings
        return settings.memory_kb / (mean_kb * settings.running_memory_factor) if mean_kb else inf

    def _additional_memory_kb(self, request: Request) -> float:
        """Return the memory that a queued request needs in addition once it runs."""
        return request.memory_kb * (self._context.settings.running_memory_factor - 1)
