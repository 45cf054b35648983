"""The handling of keyed requests without stored runs of the earlier incarnation. No I/O."""

from __future__ import annotations

from .plan import ColdStartRule


def may_have_run(
    rule: ColdStartRule, started_at: float, arrived_at: float, window_s: float, now: float
) -> bool:
    """Return whether an earlier incarnation may have run a keyed request, which is then failed.

    Args:
        rule: The cold start rule.
        started_at: When this incarnation started.
        arrived_at: When the request reached the host.
        window_s: The idempotency window of its request class.
        now: The current time.
    """
    match rule:
        case ColdStartRule.EARLY:
            return arrived_at < started_at
        case ColdStartRule.STRICT:
            return now < started_at + window_s
    return False


def ready_at(rule: ColdStartRule, started_at: float, max_window_s: float) -> float:
    """Return the time from which the server may report that it is up."""
    return started_at + max_window_s if rule is ColdStartRule.WAIT else started_at
