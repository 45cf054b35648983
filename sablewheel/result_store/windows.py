"""How long windows still last after a restart, by clocks that may have been set meanwhile. Pure.

The machine's own time since its start goes on through a restart of the server and knows no setting. On the
same start of the machine it tells how much time has passed, whatever the clock says. After a restart of the
machine it tells nothing; then no time is taken to have passed, so that a window may be open for too long,
never too short.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Moment:
    """A reading of both clocks, in seconds; `boot` names the start of the machine."""

    unix: float
    since_boot: float
    boot: bytes


def shift(then: Moment, now: Moment) -> float:
    """What is to be added to a moment noted `then` so that it is right by the clock of `now`."""
    if then.boot == now.boot and now.since_boot >= then.since_boot:
        return (now.unix - now.since_boot) - (then.unix - then.since_boot)
    return now.unix - then.unix


def until_after(until: float, then: Moment, now: Moment, longest: float) -> float:
    """When a window ends by the clock of `now`; never later than a whole window from now."""
    return min(until + shift(then, now), now.unix + longest)
