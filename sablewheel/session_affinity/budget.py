"""How many moves a second: a bucket of tokens. Pure.

Of any span `t` no more than `rate * t + depth` moves come out of one bucket. A member's bucket fills with its
share of the fleet's budget, so the fleet keeps to the budget without agreeing on each move.
"""

from __future__ import annotations

from math import inf

DEPTH = 1.0  # tokens that a bucket holds at most, unless one second brings more


class MigrationBudget:
    """`rate` in moves a second; 0 lets none through."""

    def __init__(self, rate: float, now: float) -> None:
        self._rate, self._left, self._at = max(rate, 0.0), DEPTH if rate > 0 else 0.0, now

    def set_rate(self, now: float, rate: float) -> None:
        """Another rate from now on; what has come in so far stays, up to the new depth."""
        self._fill(now)
        self._rate = max(rate, 0.0)
        self._left = min(self._left, self._depth)

    @property
    def _depth(self) -> float:
        return max(DEPTH, self._rate) if self._rate > 0 else 0.0

    def _fill(self, now: float) -> None:
        if now > self._at:
            self._left = min(self._depth, self._left + (now - self._at) * self._rate)
        self._at = max(self._at, now)

    def try_take(self, now: float) -> bool:
        """One move, if there is room for it now."""
        self._fill(now)
        if self._left < 1.0 - 1e-9:
            return False
        self._left -= 1.0
        return True

    def refund(self) -> None:
        """A move that was not made after all."""
        self._left = min(self._depth, self._left + 1.0)

    def wait_s(self, now: float) -> float:
        """Seconds until there is room for one; inf if never."""
        self._fill(now)
        if self._left >= 1.0 - 1e-9:
            return 0.0
        return (1.0 - self._left) / self._rate if self._rate > 0 else inf
