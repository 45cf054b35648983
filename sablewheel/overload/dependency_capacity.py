"""The capacity of the dependency that this server may use."""

from __future__ import annotations

from collections import deque
from math import inf

from .context import DecisionContext
from .interface import Request
from .service_times import Samples

NANOSECONDS = 1_000_000_000  # per second; integer sums do not depend on the order of addition
MAX_SLOWDOWN = 3.0  # recent median over lower quartile; about 2 if durations vary uniformly


class DependencyCapacity:
    """The calls in flight and those of the last span, compared with this server's share of the dependency.

    Invariant: the total duration of all calls in any span stays within the capacity times the span; a call in
    flight counts with its longest possible duration. `_occupied_ns` is the sum over `_past_calls` and
    `_timeouts`, computed with the settings in `_counted_dependency`; it is updated with each call, so that
    the cost of `fits` does not grow with the number of calls.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.durations_s = Samples()
        self._timeouts: dict[Request, float] = {}  # timeout of each call in flight, in seconds
        self._past_calls: deque[tuple[float, float]] = deque()  # end and duration of each call
        self._counted_dependency = context.settings.dependency
        self._occupied_ns = 0

    @property
    def in_flight(self) -> int:
        """The number of calls in flight."""
        return len(self._timeouts)

    def is_calling(self, request: Request) -> bool:
        """Return whether a call of this request is in flight."""
        return request in self._timeouts

    def open_call(self, request: Request, timeout_s: float) -> None:
        """Record a call that is made now."""
        self._recompute_if_settings_changed()
        request.called_at = self._context.now
        self._timeouts[request] = timeout_s
        self._occupied_ns += self._max_occupied_ns(timeout_s)

    def close_call(self, request: Request, abandoned: bool) -> None:
        """Record the end of a call; an abandoned one may continue at the dependency for `linger_s`."""
        self._recompute_if_settings_changed()
        self._occupied_ns -= self._max_occupied_ns(self._timeouts.pop(request))
        dependency, now = self._context.settings.dependency, self._context.now
        linger_s = dependency.linger_s if abandoned and dependency else 0.0
        took_s = now - request.called_at + linger_s
        self._past_calls.append((now + linger_s, took_s))
        self._occupied_ns += self._capped_ns(took_s)

    def fits(self, timeout_s: float) -> bool:
        """Return whether one more call of at most `timeout_s` stays within this server's share."""
        dependency = self._context.settings.dependency
        if dependency is None or dependency.capacity is None:
            return True
        self._recompute_if_settings_changed()
        if len(self._timeouts) >= self._max_in_flight(dependency.capacity):
            return False
        span_s = dependency.span_s
        while self._past_calls and self._past_calls[0][0] <= self._context.now - span_s:
            self._occupied_ns -= self._capped_ns(self._past_calls.popleft()[1])
        return (
            self._occupied_ns + self._max_occupied_ns(timeout_s) <= dependency.capacity * span_s * NANOSECONDS
        )

    def _max_occupied_ns(self, timeout_s: float) -> int:
        """Return the longest time that a call in flight may occupy the dependency."""
        return self._capped_ns(
            timeout_s + (self._counted_dependency.linger_s if self._counted_dependency else 0.0)
        )

    def _capped_ns(self, duration_s: float) -> int:
        span_s = self._counted_dependency.span_s if self._counted_dependency else 0.0
        return round(min(duration_s, span_s) * NANOSECONDS)

    def _recompute_if_settings_changed(self) -> None:
        """Recompute the sum over all calls if the settings of the dependency have changed."""
        dependency = self._context.settings.dependency
        if dependency is self._counted_dependency:
            return
        self._counted_dependency = dependency
        self._occupied_ns = sum(self._capped_ns(took_s) for _, took_s in self._past_calls)
        self._occupied_ns += sum(map(self._max_occupied_ns, self._timeouts.values()))

    def max_call_s(self) -> float:
        """Return the longest time that one call may occupy: one core's part of a span's capacity."""
        dependency = self._context.settings.dependency
        if not dependency or not dependency.capacity:
            return inf
        return dependency.capacity * dependency.span_s / self._context.settings.cores

    def is_limited(self) -> bool:
        """Return whether the dependency has a known capacity."""
        dependency = self._context.settings.dependency
        return dependency is not None and bool(dependency.capacity)

    def time_to_serve_s(self, calls: float) -> float:
        """Return how long `calls` calls occupy this server's share of the dependency; 0 if unlimited."""
        dependency = self._context.settings.dependency
        capacity = dependency.capacity if dependency else None
        if not capacity:
            return 0.0
        return calls * self.durations_s.recent_median() / min(self._max_in_flight(capacity), capacity)

    def next_release_at(self) -> float:
        """Return when the oldest past call leaves the span; infinite if there is none."""
        if not self._past_calls:
            return inf
        dependency = self._context.settings.dependency
        return self._past_calls[0][0] + (dependency.span_s if dependency else 0.0)

    def _max_in_flight(self, capacity: float) -> float:
        """Return the limit of calls in flight: reduced while calls are slow, at least 1.

        An overloaded dependency slows down with each additional call, so calls are queued on this server,
        where they count against the wait budgets. The cost: a dependency that is slow but not overloaded is
        used less.
        """
        baseline_s, recent_s = self.durations_s.quantile(0.25), self.durations_s.recent_median()
        if not recent_s:
            return max(1.0, capacity)
        return max(1.0, capacity * min(1.0, MAX_SLOWDOWN * baseline_s / recent_s))
