"""Background work beside requests: which chore may do its next small step, and when. Pure.

A chore has a priority, a share of the time that it may take on average, and steps of a millisecond or so. In
a round that carried requests nothing is done, but for a chore that has waited too long already: it has one
step.
"""

from __future__ import annotations

from dataclasses import dataclass

SAVED_MOST = 0.05  # seconds of its budget that a chore may save up


@dataclass
class Chore:
    """`share`: of one core, 0 to 1. `starved`: seconds after which it gets a step in spite of requests.

    Invariant: over any span it takes at most `share` of the span, and `SAVED_MOST` and one step more.
    """

    name: str
    priority: int
    share: float
    starved: float = 0.25
    budget: float = SAVED_MOST
    wanted_since: float = 0.0  # 0: it has nothing to do
    steps: int = 0
    took: float = 0.0


class Rota:
    """Chooses; whoever does the work tells what it took."""

    def __init__(self) -> None:
        self._chores: list[Chore] = []
        self._refilled = 0.0

    def add(self, chore: Chore) -> None:
        self._chores.append(chore)
        self._chores.sort(key=lambda one: one.priority)

    def want(self, chore: Chore, now: float) -> None:
        chore.wanted_since = chore.wanted_since or now

    @property
    def wanted(self) -> bool:
        return any(one.wanted_since for one in self._chores)

    def choose(self, now: float, busy: bool) -> Chore | None:
        """The chore whose step is next; None if all that want one must wait."""
        span = max(now - self._refilled, 0.0)
        self._refilled = now
        for one in self._chores:
            one.budget = min(one.budget + span * one.share, SAVED_MOST)
        for one in self._chores:
            if one.wanted_since and one.budget > 0 and (not busy or now - one.wanted_since >= one.starved):
                return one
        return None

    def done(self, chore: Chore, now: float, took: float, more: bool) -> None:
        """A step took so long; `more`: whether another is wanted."""
        chore.budget -= took
        chore.took += took
        chore.steps += 1
        chore.wanted_since = now if more else 0.0

    def again_in(self, now: float, busy: bool) -> float | None:
        """Seconds until some chore may have its step; None if none wants one."""
        spans = [
            max(
                -one.budget / one.share if one.budget <= 0 else 0.0,
                one.wanted_since + one.starved - now if busy else 0.0,
                0.0,
            )
            for one in self._chores
            if one.wanted_since
        ]
        return min(spans) if spans else None
