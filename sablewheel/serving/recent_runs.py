"""The ids of requests whose run started recently and must not be started again.

A client gives each attempt an id of its own. An id that is received again is a copy, by a mistake or by a
resend of what was thought to be lost. While the first is open, the table of open requests has it; after that,
this one does.
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
        self._expires_at.pop(name, None)  # so that the order stays that of the times
        self._expires_at[name] = now + self.lifetime_s

    def discard(self, name: bytes) -> None:
        """Drop the id of a run that never started after all."""
        self._expires_at.pop(name, None)

    def sweep(self, now: float) -> None:
        """Drop the ids that expired."""
        while self._expires_at:
            oldest = next(iter(self._expires_at))
            if self._expires_at[oldest] > now:
                return
            del self._expires_at[oldest]
