"""The ids of requests whose run started recently and must not be started again.

A client gives each attempt a unique id. An id that is received again is a copy, made by mistake or by
resending a request that was considered lost. While the first request is open, the table of open requests has
the id; after that, this table has it.
"""

from __future__ import annotations


class RecentRuns:
    """Ids, each retained for `lifetime_s` after its run started. The oldest always expire first."""

    def __init__(self, lifetime_s: float) -> None:
        self.lifetime_s = lifetime_s
        self._expires_at: dict[bytes, float] = {}

    def __contains__(self, name: bytes) -> bool:
        return name in self._expires_at

    def add(self, name: bytes, now: float) -> None:
        """Retain the id of a run that starts now."""
        self._expires_at.pop(name, None)  # so that the ids stay in the order of the times
        self._expires_at[name] = now + self.lifetime_s

    def discard(self, name: bytes) -> None:
        """Drop the id of a run that never started."""
        self._expires_at.pop(name, None)

    def sweep(self, now: float) -> None:
        """Drop the ids that expired."""
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if self._expires_at[oldest] > now:
                return
            del self._expires_at[oldest]
