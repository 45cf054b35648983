"""Connection limits: how long unused connections stay open."""

from __future__ import annotations

from math import inf, sqrt

from .client_activity import ClientActivity
from .context import DecisionContext
from .interface import CloseIdle
from .service_times import MAX_SAMPLES

MIN_ARRIVALS = MAX_SAMPLES // 2
MAX_RETURNING_RATIO_TO_CLOSE = 0.4  # part of the requests; see `_returning_ratio`
MIN_RETURNING_RATIO_TO_KEEP = 0.5


class ConnectionLimits:
    """The idle timeout, which is shortened if clients seldom return.

    If clients return, on average, later than the idle timeout, most connections are used once; a full
    connection table then costs CPU time and keeps out requests. Once the number of open connections no longer
    grows and few requests come from recently active clients, unused connections are closed soon. If many
    clients return, or retry soon, a full table is the cheapest form of rejection. The cost: the few clients
    that return often pay for a handshake each time.

    Invariant: `_idle_timeout_s` is the value of the last `CloseIdle` action, or else of the setting.
    """

    def __init__(self, context: DecisionContext, clients: ClientActivity) -> None:
        self._context = context
        self._clients = clients
        self._idle_timeout_s = context.settings.idle_timeout_s
        self._previous_open_connections = -inf
        self.open_connections = inf  # from the last gauges; infinite if unknown
        self.next_review_at = inf

    def review(self) -> None:
        """Update the idle timeout and schedule the next review."""
        settings, previous_s = self._context.settings, self._idle_timeout_s
        has_stopped_growing = self.open_connections <= self._previous_open_connections
        self._previous_open_connections = self.open_connections
        self.next_review_at = self._context.now + max(
            settings.advertisement_ttl_s, self._context.min_interval_s
        )
        if not settings.idle_timeout_s:  # 0: unknown, so idle connections are not closed
            self._idle_timeout_s = 0.0
        elif len(self._clients.arrivals) >= MIN_ARRIVALS:
            self._adjust(has_stopped_growing)
        if self._idle_timeout_s != previous_s:
            self._context.actions.append(CloseIdle(self._idle_timeout_s))

    def _adjust(self, has_stopped_growing: bool) -> None:
        settings, arrivals = self._context.settings, self._clients.arrivals
        oldest = arrivals[0]
        span_s = self._context.now - oldest.read_at
        clients_seldom_return = settings.clients * span_s > settings.idle_timeout_s * len(arrivals)
        returning_ratio = self._returning_ratio()
        starts = max(self._clients.starts - oldest.starts_before, 1)
        retries_per_start = (
            sum(arrival.since_last_s < self._context.max_timeout_s for arrival in arrivals) / starts
        )
        if (
            not clients_seldom_return
            or returning_ratio > MIN_RETURNING_RATIO_TO_KEEP
            or retries_per_start > 1
        ):
            self._idle_timeout_s = settings.idle_timeout_s
        elif (
            has_stopped_growing
            and returning_ratio < MAX_RETURNING_RATIO_TO_CLOSE
            and retries_per_start < MAX_RETURNING_RATIO_TO_CLOSE
        ):
            shortest_s = max(settings.answer_slack_s, self._context.min_interval_s)
            self._idle_timeout_s = min(shortest_s, settings.idle_timeout_s)

    def _returning_ratio(self) -> float:
        """Return the part of the requests whose client sent another one within the idle timeout before.

        Soon after the start the observed time is shorter than the idle timeout, so the ratio is extrapolated.
        """
        settings, arrivals = self._context.settings, self._clients.arrivals
        opened_at, idle_timeout_s = self._context.opened_at, settings.idle_timeout_s
        observed_s = sum(min(arrival.read_at - opened_at, idle_timeout_s) for arrival in arrivals) / len(
            arrivals
        )
        new_ratio = sum(arrival.since_last_s > idle_timeout_s for arrival in arrivals) / len(arrivals)
        returning_ratio: float = 1 - new_ratio ** sqrt(
            idle_timeout_s / max(observed_s, self._context.min_interval_s)
        )
        return returning_ratio
