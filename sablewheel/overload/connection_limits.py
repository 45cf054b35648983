"""Connection limits: how long unused connections stay open."""

from __future__ import annotations

from math import inf, sqrt

from .client_activity import ClientActivity
from .context import DecisionContext
from .interface import CloseIdle
from .service_times import MAX_SAMPLES

MIN_ARRIVALS = MAX_SAMPLES // 2
MAX_RETURNING_RATIO_TO_CLOSE = 0.4  # of the requests, from clients that were heard not long before
MIN_RETURNING_RATIO_TO_KEEP = 0.5


class ConnectionLimits:
    """The idle timeout, which is cut where clients seldom return.

    Where clients return, on average, later than they keep a connection, most connections are used once; a
    table full of them costs CPU time and keeps out requests. Once no more are opened and few requests come
    from clients heard lately, each unused connection is closed soon. Where many return, or retry soon, a full
    table is the cheapest rejection. The cost: the few clients that return often pay a handshake each time.

    Invariant: `_idle_timeout_s` is what the last `CloseIdle` action said, or else the setting.
    """

    def __init__(self, context: DecisionContext, clients: ClientActivity) -> None:
        self._context = context
        self._clients = clients
        self._idle_timeout_s = context.settings.idle_timeout_s
        self._previous_open_connections = -inf
        self.open_connections = inf  # as last reported
        self.next_review_at = inf

    def review(self) -> None:
        """Decide on the idle timeout again, and on when to do so next."""
        settings, previous_s = self._context.settings, self._idle_timeout_s
        has_stopped_growing = self.open_connections <= self._previous_open_connections
        self._previous_open_connections = self.open_connections
        self.next_review_at = self._context.now + max(
            settings.advertisement_ttl_s, self._context.min_interval_s
        )
        if not settings.idle_timeout_s:  # unknown: no connection is closed for being unused
            self._idle_timeout_s = 0.0
        elif len(self._clients.arrivals) >= MIN_ARRIVALS:
            self._adjust(has_stopped_growing)
        if self._idle_timeout_s != previous_s:
            self._context.actions.append(CloseIdle(self._idle_timeout_s))

    def _adjust(self, has_stopped_growing: bool) -> None:
        settings, arrivals = self._context.settings, self._clients.arrivals
        first = arrivals[0]
        span_s = self._context.now - first.read_at
        seldom_return = settings.clients * span_s > settings.idle_timeout_s * len(arrivals)
        returning_ratio = self._returning_ratio()
        starts = max(self._clients.starts - first.starts_before, 1)
        retries_per_start = (
            sum(arrival.since_last_s < self._context.max_timeout_s for arrival in arrivals) / starts
        )
        if not seldom_return or returning_ratio > MIN_RETURNING_RATIO_TO_KEEP or retries_per_start > 1:
            self._idle_timeout_s = settings.idle_timeout_s
        elif (
            has_stopped_growing
            and returning_ratio < MAX_RETURNING_RATIO_TO_CLOSE
            and retries_per_start < MAX_RETURNING_RATIO_TO_CLOSE
        ):
            shortest_s = max(settings.answer_slack_s, self._context.min_interval_s)
            self._idle_timeout_s = min(shortest_s, settings.idle_timeout_s)

    def _returning_ratio(self) -> float:
        """Return the part of the requests whose clients were heard within the idle timeout.

        Soon after the start nobody can have been heard long ago: what was observed is extrapolated.
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
