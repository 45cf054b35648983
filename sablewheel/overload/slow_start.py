"""Slow start: limits concurrent requests while the server warms up."""

from __future__ import annotations

from .context import DecisionContext


class SlowStart:
    """The concurrency limit, which grows until a server that starts cold has warmed up.

    Invariant: the limit never falls below one request per core.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context

    def is_warming_up(self) -> bool:
        """Return whether this server is still warming up."""
        settings = self._context.settings
        return (
            settings.starts_cold
            and settings.cold_speed_ratio < 1
            and self._context.now < self._context.opened_at + settings.warm_up_s
        )

    def max_concurrency(self) -> float:
        """Return how many running requests the cores sustain, at the lowest speed expected during warm-up."""
        settings, speed_ratio = self._context.settings, 1.0
        if self.is_warming_up():
            speed_ratio = (
                settings.cold_speed_ratio
                + (1 - settings.cold_speed_ratio)
                * (self._context.now - self._context.opened_at)
                / settings.warm_up_s
            )
        return settings.cores * (1 + (settings.max_concurrency_per_core - 1) * speed_ratio)
