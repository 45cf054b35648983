"""Counts and logs why requests were rejected or failed."""

from __future__ import annotations

import logging

from ..overload.interface import RejectionReason
from .close_reasons import FailureReason, log_reason
from .exchange import Exchange

log = logging.getLogger(__name__)


class OutcomeCounters:
    """Counters by name; `rejections` also counts rejections without a retry time."""

    def __init__(self) -> None:
        self.rejections: dict[str, int] = {}
        self.failures: dict[str, int] = {}

    def count_failure(self, exchange: Exchange, reason: FailureReason) -> None:
        """Count and log an answer that is an error."""
        _increment(self.failures, f"failed_{reason.value}")
        log_reason(log, "request failed", reason, request=exchange.name.decode("ascii", "replace"))

    def count_rejection(self, exchange: Exchange, reason: RejectionReason, retry_after_s: float) -> None:
        """Count and log a rejection."""
        request = exchange.name.decode("ascii", "replace")
        log_reason(log, "request rejected", reason, request=request, retry_after_s=retry_after_s)
        _increment(self.rejections, f"denied_{reason.value}")
        if retry_after_s <= 0:
            _increment(self.rejections, "denied_without_advice")


def _increment(counters: dict[str, int], name: str) -> None:
    counters[name] = counters.get(name, 0) + 1
