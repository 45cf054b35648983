"""How many calls the dependency bears from this server, and for how long."""

from __future__ import annotations

from collections import deque
from math import inf

from .context import DecisionContext
from .interface import Request
from .service_times import Samples

MAX_SLOWDOWN = 3.0  # recent median over lower quartile of all calls: about 2 where times scatter evenly


class DependencyCapacity:
    """The calls in flight and those of the last span, against this server's share of the dependency.

    Invariant: the time of all calls in any span, each in flight booked at the longest it may take, stays
    within the capacity times the span.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.durations_s = Samples()
        self._timeouts: dict[Request, float] = {}  # of the calls in flight
        self._past_calls: deque[tuple[float, float]] = deque()  # when each one ended, how long it took

    @property
    def in_flight(self) -> int:
        """The number of calls in flight."""
        return len(self._timeouts)

    def is_calling(self, request: Request) -> bool:
        """Return whether a call of this request is in flight."""
        return request in self._timeouts

    def open_call(self, request: Request, timeout_s: float) -> None:
        """Book a call that is made now."""
        request.called_at = self._context.now
        self._timeouts[request] = timeout_s

    def close_call(self, request: Request, abandoned: bool) -> None:
        """Book a call as ended; an abandoned one may go on at the dependency for a while."""
        del self._timeouts[request]
        dependency, now = self._context.settings.dependency, self._context.now
        linger_s = dependency.linger_s if abandoned and dependency else 0.0
        self._past_calls.append((now + linger_s, now - request.called_at + linger_s))

    def fits(self, timeout_s: float) -> bool:
        """Return whether one more call of at most `timeout_s` stays within this server's share."""
        dependency = self._context.settings.dependency
        if dependency is None or dependency.capacity is None:
            return True
        if len(self._timeouts) >= self._max_in_flight(dependency.capacity):
            return False
        span_s, linger_s = dependency.span_s, dependency.linger_s
        while self._past_calls and self._past_calls[0][0] <= self._context.now - span_s:
            self._past_calls.popleft()
        booked_s = sum(min(took_s, span_s) for _, took_s in self._past_calls) + sum(
            min(open_timeout_s + linger_s, span_s) for open_timeout_s in self._timeouts.values()
        )
        return booked_s + min(timeout_s + linger_s, span_s) <= dependency.capacity * span_s

    def max_call_s(self) -> float:
        """Return the longest time that one call may book: one core's part of a span's capacity."""
        dependency = self._context.settings.dependency
        if not dependency or not dependency.capacity:
            return inf
        return dependency.capacity * dependency.span_s / self._context.settings.cores

    def is_limited(self) -> bool:
        """Return whether the dependency has a known capacity."""
        dependency = self._context.settings.dependency
        return dependency is not None and bool(dependency.capacity)

    def time_to_serve_s(self, calls: float) -> float:
        """Return how long so many calls occupy this server's share of a dependency that is limited."""
        dependency = self._context.settings.dependency
        capacity = dependency.capacity if dependency else None
        if not capacity:
            return 0.0
        return calls * self.durations_s.recent_median() / min(self._max_in_flight(capacity), capacity)

    def next_release_at(self) -> float:
        """Return when the first of the past calls leaves the span; infinite if there is none."""
        if not self._past_calls:
            return inf
        dependency = self._context.settings.dependency
        return self._past_calls[0][0] + (dependency.span_s if dependency else 0.0)

    def _max_in_flight(self, capacity: float) -> float:
        """Return the limit of calls in flight: lower while they are slow, at least one.

        An overcrowded dependency gets slower with each call more, so the queue is kept here, where the wait
        budgets see it. The cost: a dependency that is slow but not crowded is used less.
        """
        usual_s, recent_s = self.durations_s.quantile(0.25), self.durations_s.recent_median()
        if not recent_s:
            return max(1.0, capacity)
        return max(1.0, capacity * min(1.0, MAX_SLOWDOWN * usual_s / recent_s))
