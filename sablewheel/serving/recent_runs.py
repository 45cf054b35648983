"""The ids of requests whose run began a short while ago and may not be begun again.

A router gives each try an id of its own. One that comes again is a copy, by a mistake or by a resend of what
was thought to be lost; while the first is open it is told by the table of open requests, and after that here.
"""

from __future__ import annotations


class RecentRuns:
    """Ids, each kept for `life` seconds after its run began; so the oldest are always the first to go."""

    def __init__(self, life: float) -> None:
        self.life = life
        self._until: dict[bytes, float] = {}

    def __contains__(self, name: bytes) -> bool:
        return name in self._until

    def add(self, name: bytes, now: float) -> None:
        self._until.pop(name, None)
        self._until[name] = now + self.life

    def discard(self, name: bytes) -> None:
        """Its run never began after all."""
        self._until.pop(name, None)

    def sweep(self, now: float) -> None:
        while self._until:
            oldest = next(iter(self._until))
            if self._until[oldest] > now:
                return
            del self._until[oldest]
