"""A keyed request at a server that remembers nothing of its predecessor: whether it may run. Pure."""

from __future__ import annotations

from .plan import Start


def may_have_run(rule: Start, started: float, arrived: float, window: float, now: float) -> bool:
    """Whether by this rule a keyed request is taken to have run in an incarnation before; it is failed
    then.

    `started` is when this incarnation began, `arrived` when the request reached the machine, in seconds.
    """
    match rule:
        case Start.EARLY:
            return arrived < started
        case Start.STRICT:
            return now < started + window
    return False


def up_at(rule: Start, started: float, longest: float) -> float:
    """From when on the server may say that it is up."""
    return started + longest if rule is Start.WAIT else started
