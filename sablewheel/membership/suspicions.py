"""Suspicions, as SWIM and Lifeguard have them: who is doubted, by whose failed probes, and for how long yet.

Pure. A suspicion is long at first and shrinks with each independent confirmation; one that runs out is this
member's opinion only, and only a higher incarnation of its subject takes it back.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .gossip import Gossip
from .messages import News, Suspect
from .outbox import Outbox
from .plan import Settings
from .roster import Roster
from .view import View


@dataclass
class Suspicion:
    incarnation: int
    since: float
    by: set[str] = field(default_factory=set)
    asked: float = 0.0  # when its subject was last told of it
    probed_since: bool = False  # an own probe failed after it began (for an observer's alert)
    faulty: bool = False  # ran out here


class Suspicions:
    """By name of the suspected; never this member itself."""

    def __init__(self, roster: Roster, gossip: Gossip, out: Outbox, settings: Settings) -> None:
        self._roster, self._gossip, self._out, self._settings = roster, gossip, out, settings
        self.held: dict[str, Suspicion] = {}

    def take(self, now: float, name: str, incarnation: int, by: str) -> tuple[Suspicion | None, bool]:
        """`by` could not reach it: the suspicion that stands, if any, and whether `by` was news."""
        if not self._roster.is_known(name) or incarnation < self._roster.incarnation(name):
            return None, False
        one = self.held.get(name)
        if one is None or one.incarnation < incarnation:
            one = self.held[name] = Suspicion(incarnation, now)
            self._out.note("suspect", member=name, incarnation=incarnation, by=by)
            self._out.count("suspicions")
        # Passed on under the name of whose probe failed: hearsay signed anew would count as a confirmation.
        if by in one.by or len(one.by) > self._settings.confirmations:
            return one, False
        one.by.add(by)
        self._gossip.spread(Suspect(name, incarnation, by))
        return one, True

    def refuted(self, name: str, incarnation: int) -> None:
        """It is alive at this incarnation."""
        one = self.held.get(name)
        if one is not None and (one.incarnation < incarnation or self._settings.broken == "no-incarnation"):
            del self.held[name]
            self._out.note("suspicion refuted", member=name, incarnation=incarnation)

    def ends(self, one: Suspicion) -> float:
        """Lifeguard: long at first, shorter with each independent suspicion, never below the least."""
        # No factor of log n, which SWIM has for its gossip: here those who decide hear of it at once.
        size = max(len(self._roster.known()), 1)
        least = self._settings.suspicion_least * self._settings.period
        if not self._roster.ours or self._settings.broken == "one-observer":
            return one.since + least  # a watcher of its own has no confirmations to wait for
        most = least * self._settings.suspicion_stretch
        want = min(self._settings.confirmations, size - 2)
        if want < 1:
            return one.since + least  # nobody else is there to confirm it
        shrink = math.log(min(max(len(one.by) - 1, 0), want) + 1) / math.log(want + 1)
        return one.since + max(least, most - (most - least) * shrink)

    def tell_at(self, name: str, one: Suspicion) -> float:
        """When its subject is told of it again, by its observers alone."""
        mine = self._roster.ours and name in self._roster.subjects()
        return max(one.since, one.asked) + self._settings.period / 2 if mine else math.inf

    def doubt(self, name: str) -> News | None:
        """Lifeguard's buddy: the suspected hears of it first, and can refute it."""
        one = self.held.get(name)
        if one is None or not self._roster.ours:
            return None
        return Suspect(name, one.incarnation, self._roster.me.name)

    def ran_out(self, name: str, one: Suspicion) -> None:
        one.faulty = True
        by = ",".join(sorted(one.by))
        self._out.note("suspicion ran out", member=name, incarnation=one.incarnation, by=by)

    def begin_again(self, now: float) -> None:
        """This member was stopped: what it doubted before may long have answered."""
        for one in self.held.values():
            one.since = max(one.since, now)
            one.probed_since = False

    def keep(self, view: View) -> None:
        """One of an older self is over, and no refutation would come for it any more."""
        self.held = {
            name: one
            for name, one in self.held.items()
            if name in view and one.incarnation >= self._roster.incarnation(name)
        }

    def wakes(self) -> list[float]:
        pairs = [(name, one) for name, one in self.held.items() if not one.faulty]
        return [at for name, one in pairs for at in (self.ends(one), self.tell_at(name, one))]
