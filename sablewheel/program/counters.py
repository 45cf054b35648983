"""Counters of received, sent and answered messages, logged on request and at exit."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)


class Counters:
    """Counters by name. A counter exists from its first increment on."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def print(self, occasion: str, **gauges: object) -> None:
        """Log one line with the gauges and all counters."""
        pairs = {"occasion": occasion, **gauges, **dict(sorted(self.counts.items()))}
        log.info("counters", extra={"pairs": pairs})
