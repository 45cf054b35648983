"""How many calls the dependency bears from this server, and for how long."""

from __future__ import annotations

from collections import deque
from math import inf

from .context import DecisionContext
from .interface import Request
from .service_times import Samples

NANOSECONDS = 1_000_000_000  # a second; whole numbers add up to the same in any order
MAX_SLOWDOWN = 3.0  # recent median over lower quartile of all calls: about 2 where times scatter evenly


class DependencyCapacity:
    """The calls in flight and those of the last span, against this server's share of the dependency.

    Invariant: the time of all calls in any span, each in flight booked at the longest it may take, stays
    within the capacity times the span. `_booked_ns` is the sum over `_past_calls` and `_timeouts`, each
    counted as the dependency `_booked_for` has it, so that a question costs no more behind many calls.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.durations_s = Samples()
        self._timeouts: dict[Request, float] = {}  # of the calls in flight
        self._past_calls: deque[tuple[float, float]] = deque()  # when each one ended, how long it took
        self._booked_for = context.settings.dependency
        self._booked_ns = 0

    @property
    def in_flight(self) -> int:
        """The number of calls in flight."""
        return len(self._timeouts)

    def is_calling(self, request: Request) -> bool:
        """Return whether a call of this request is in flight."""
        return request in self._timeouts

    def open_call(self, request: Request, timeout_s: float) -> None:
        """Book a call that is made now."""
        self._recount_if_retuned()
        request.called_at = self._context.now
        self._timeouts[request] = timeout_s
        self._booked_ns += self._open_ns(timeout_s)

    def close_call(self, request: Request, abandoned: bool) -> None:
        """Book a call as ended; an abandoned one may go on at the dependency for a while."""
        self._recount_if_retuned()
        self._booked_ns -= self._open_ns(self._timeouts.pop(request))
        dependency, now = self._context.settings.dependency, self._context.now
        linger_s = dependency.linger_s if abandoned and dependency else 0.0
        took_s = now - request.called_at + linger_s
        self._past_calls.append((now + linger_s, took_s))
        self._booked_ns += self._capped_ns(took_s)

    def fits(self, timeout_s: float) -> bool:
        """Return whether one more call of at most `timeout_s` stays within this server's share."""
        dependency = self._context.settings.dependency
        if dependency is None or dependency.capacity is None:
            return True
        self._recount_if_retuned()
        if len(self._timeouts) >= self._max_in_flight(dependency.capacity):
            return False
        span_s = dependency.span_s
        while self._past_calls and self._past_calls[0][0] <= self._context.now - span_s:
            self._booked_ns -= self._capped_ns(self._past_calls.popleft()[1])
        return self._booked_ns + self._open_ns(timeout_s) <= dependency.capacity * span_s * NANOSECONDS

    def _open_ns(self, timeout_s: float) -> int:
        """Return what a call in flight books: the longest that it may keep the dependency busy."""
        return self._capped_ns(timeout_s + (self._booked_for.linger_s if self._booked_for else 0.0))

    def _capped_ns(self, duration_s: float) -> int:
        span_s = self._booked_for.span_s if self._booked_for else 0.0
        return round(min(duration_s, span_s) * NANOSECONDS)

    def _recount_if_retuned(self) -> None:
        """Count all calls anew if the settings of the dependency have changed."""
        dependency = self._context.settings.dependency
        if dependency is self._booked_for:
            return
        self._booked_for = dependency
        self._booked_ns = sum(self._capped_ns(took_s) for _, took_s in self._past_calls)
        self._booked_ns += sum(map(self._open_ns, self._timeouts.values()))

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
