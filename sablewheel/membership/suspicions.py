"""Suspicions, as SWIM and Lifeguard have them: who is doubted, by whose failed probes, and for how long yet.

Pure. A suspicion is long at first and shrinks with each independent confirmation; one that runs out is this
member's opinion only, and only a higher incarnation of its subject takes it back.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .gossip import Gossip
from .member_table import Roster
from .messages import News, Suspect
from .outbox import Outbox
from .plan import Settings
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
        self._woke = self._grace_ends = -math.inf  # when this member went on after it was stopped
        self._unheard: set[str] = set()  # of the view, since then: they may stand in the same stop

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

    def refuted(self, name: str, incarnation: int) -> bool:
        """It is alive at this incarnation; whether it was suspected at a lower one."""
        one = self.held.get(name)
        if one is None or (one.incarnation >= incarnation and self._settings.broken != "no-incarnation"):
            return False
        del self.held[name]
        self._unheard.discard(name)  # it said so since
        self._out.note("suspicion refuted", member=name, incarnation=incarnation)
        return True

    def ends(self, name: str, one: Suspicion) -> float:
        """Lifeguard: long at first, shorter with each independent suspicion, never below the least."""
        least = self._settings.suspicion_least * self._settings.period
        if not self._roster.ours or self._settings.broken == "one-observer":
            return one.since + least  # a watcher of its own has no confirmations to wait for
        most = least * self._settings.suspicion_stretch
        span = self._span(name, one, least, most)
        # Guards against a stop of all: the first to go on would confirm to each other that the rest is gone.
        return max(one.since + span, self._grace_ends if name in self._unheard else -math.inf)

    def _span(self, name: str, one: Suspicion, least: float, most: float) -> float:
        # No factor of log n, which SWIM has for its gossip: here those who decide hear of it at once.
        size = max(len(self._roster.known()), 1)
        want = min(self._settings.confirmations, size - 2)
        if self._settings.broken != "one-at-a-time":
            # Those asked to confirm it are its observers; who is suspected with it cannot.
            able = sum(one not in self.held for one in self._roster.observers(name))
            want = min(want, max(able - 1, 1))
        if want < 1:
            return least  # nobody else is there to confirm it
        shrink = math.log(min(max(len(one.by) - 1, 0), want) + 1) / math.log(want + 1)
        return max(least, most - (most - least) * shrink)

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

    def begin_again(self, now: float, late: float) -> None:
        """This member was stopped: what it doubted before may long have answered, and perhaps all were
        stopped with it, to go on one by one. Whom it has not heard since, it doubts for the longest at
        least, or a quarter of its own stop, up to twice the longest."""
        for one in self.held.values():
            one.since = max(one.since, now)
            one.probed_since = one.faulty = False
        if self._settings.broken != "no-grace":
            most = self._settings.suspicion_least * self._settings.suspicion_stretch * self._settings.period
            self._grace_ends = now + min(max(most, late / 4), 2 * most)
            self._woke, self._unheard = now, set(self._roster.others())

    def heard(self, now: float, name: str) -> None:
        """A message of this member came, or word of its answer."""
        # What waited in the socket while this member was stopped says nothing of now.
        if self._unheard and now > self._woke + self._settings.probe_timeout:
            self._unheard.discard(name)

    def unheard(self) -> list[str]:
        return sorted(self._unheard)

    # -- what follows from them

    def gone(self) -> set[str]:
        """Whom this member holds to be gone, by its own probes as well."""
        return {name for name, one in self.held.items() if one.faulty and one.probed_since}

    def settled_at(self, now: float, but: set[str]) -> float | None:
        """When it should be known of all who are suspected whether they are gone, `but` those; None if there
        is no other. Whoever is well refutes a suspicion within a probe or two: who does not may be gone."""
        times = (self._settles(now, name, one) for name, one in self.held.items() if name not in but)
        return max(times, default=None)

    def _settles(self, now: float, name: str, one: Suspicion) -> float:
        if one.faulty:
            return now + self._settings.settle  # its observers' reports are due
        if len(one.by) > 1:
            return self.ends(name, one) + self._settings.period
        return one.since + self._settings.settle

    def keep(self, view: View) -> None:
        """One of an older self is over, and no refutation would come for it any more."""
        self.held = {
            name: one
            for name, one in self.held.items()
            if name in view and one.incarnation >= self._roster.incarnation(name)
        }
        self._unheard = {name for name in self._unheard if name in view}

    def wakes(self) -> list[float]:
        pairs = [(name, one) for name, one in self.held.items() if not one.faulty]
        return [at for name, one in pairs for at in (self.ends(name, one), self.tell_at(name, one))]
