"""What came in, was sent and answered: plain counts, printed when asked for and at exit."""

from __future__ import annotations

import logging

log = logging.getLogger(__name__)


class Counters:
    """Counts by name; a name exists from its first count on."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1

    def print(self, occasion: str, **gauges: object) -> None:
        """One log line with all of them, and what else is worth knowing at the time."""
        pairs = {"occasion": occasion, **gauges, **dict(sorted(self.counts.items()))}
        log.info("counters", extra={"pairs": pairs})
