"""The migration budget, a token bucket that limits the migrations per second. Performs no I/O.

In `t` seconds one bucket allows at most `rate * t + burst` migrations. A member's bucket fills with its share
of the fleet's budget, so the fleet stays within the budget without agreeing on each migration.
"""

from __future__ import annotations

from math import inf

MIN_BURST_TOKENS = 1.0  # the lowest capacity of a bucket; a rate above it sets the capacity
ONE_TOKEN = 1.0 - 1e-9  # one token less a tolerance for rounding errors


class MigrationBudget:
    """A bucket that fills with `rate` tokens a second; a rate of 0 allows nothing."""

    def __init__(self, rate: float, now: float) -> None:
        """Start with one token, or none if the rate is 0."""
        self._rate, self._filled_at = max(rate, 0.0), now
        self._tokens = MIN_BURST_TOKENS if rate > 0 else 0.0

    def set_rate(self, now: float, rate: float) -> None:
        """Change the rate; tokens beyond the new burst are discarded."""
        self._fill(now)
        self._rate = max(rate, 0.0)
        self._tokens = min(self._tokens, self._burst)

    @property
    def _burst(self) -> float:
        return max(MIN_BURST_TOKENS, self._rate) if self._rate > 0 else 0.0

    def _fill(self, now: float) -> None:
        if now > self._filled_at:
            self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = max(self._filled_at, now)

    def try_take(self, now: float) -> bool:
        """Take a token; return False if there is none."""
        self._fill(now)
        if self._tokens < ONE_TOKEN:
            return False
        self._tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return the token of a migration that was not made."""
        self._tokens = min(self._burst, self._tokens + 1.0)

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is available; inf if the rate is 0."""
        self._fill(now)
        if self._tokens >= ONE_TOKEN:
            return 0.0
        return (1.0 - self._tokens) / self._rate if self._rate > 0 else inf
