"""Suspicions, as SWIM and Lifeguard have them: who is doubted, by whose failed probes, and for how long yet.

Pure. A suspicion is long at first and shrinks with each independent confirmation; one that runs out is this
member's opinion only, and only a higher incarnation of its subject takes it back.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .gossip import Gossip
from .member_table import MemberTable
from .messages import GossipUpdate, Suspect
from .outbox import Outbox
from .plan import Settings
from .view import View


@dataclass
class Suspicion:
    incarnation: int
    started_at: float
    suspected_by: set[str] = field(default_factory=set)
    notified_at: float = 0.0  # when its subject was last told of it
    confirmed_by_own_probe: bool = False  # an own probe failed after it began (for an observer's alert)
    faulty: bool = False  # ran out here


class SuspicionTable:
    """By name of the suspected; never this member itself."""

    def __init__(self, roster: MemberTable, gossip: Gossip, out: Outbox, settings: Settings) -> None:
        self._member_table, self._gossip, self._outbox, self._settings = roster, gossip, out, settings
        self.by_name: dict[str, Suspicion] = {}
        self._resumed_at = self._grace_ends_at = -math.inf  # when this member went on after it was stopped
        self._unheard_since_pause: set[str] = (
            set()
        )  # of the view, since then: they may stand in the same stop

    def record(self, now: float, name: str, incarnation: int, by: str) -> tuple[Suspicion | None, bool]:
        """`by` could not reach it: the suspicion that stands, if any, and whether `by` was news."""
        if not self._member_table.is_known(name) or incarnation < self._member_table.incarnation(name):
            return None, False
        one = self.by_name.get(name)
        if one is None or one.incarnation < incarnation:
            one = self.by_name[name] = Suspicion(incarnation, now)
            self._outbox.log("suspect", member=name, incarnation=incarnation, by=by)
            self._outbox.count("suspicions")
        # Passed on under the name of whose probe failed: hearsay signed anew would count as a confirmation.
        if by in one.suspected_by or len(one.suspected_by) > self._settings.confirmations:
            return one, False
        one.suspected_by.add(by)
        self._gossip.disseminate(Suspect(name, incarnation, by))
        return one, True

    def clear_refuted(self, name: str, incarnation: int) -> bool:
        """It is alive at this incarnation; whether it was suspected at a lower one."""
        one = self.by_name.get(name)
        if one is None or (
            one.incarnation >= incarnation and self._settings.injected_fault != "no-incarnation"
        ):
            return False
        del self.by_name[name]
        self._unheard_since_pause.discard(name)  # it said so since
        self._outbox.log("suspicion refuted", member=name, incarnation=incarnation)
        return True

    def expires_at(self, name: str, one: Suspicion) -> float:
        """Lifeguard: long at first, shorter with each independent suspicion, never below the least."""
        least = self._settings.min_suspicion_periods * self._settings.period_s
        if not self._member_table.uses_consensus or self._settings.injected_fault == "one-observer":
            return one.started_at + least  # a watcher of its own has no confirmations to wait for
        most = least * self._settings.max_suspicion_ratio
        span = self._duration(name, one, least, most)
        # Guards against a stop of all: the first to go on would confirm to each other that the rest is gone.
        return max(
            one.started_at + span, self._grace_ends_at if name in self._unheard_since_pause else -math.inf
        )

    def _duration(self, name: str, one: Suspicion, least: float, most: float) -> float:
        # No factor of log n, which SWIM has for its gossip: here those who decide hear of it at once.
        size = max(len(self._member_table.known_names()), 1)
        want = min(self._settings.confirmations, size - 2)
        if self._settings.injected_fault != "one-at-a-time":
            # Those asked to confirm it are its observers; who is suspected with it cannot.
            able = sum(one not in self.by_name for one in self._member_table.observers(name))
            want = min(want, max(able - 1, 1))
        if want < 1:
            return least  # nobody else is there to confirm it
        shrink = math.log(min(max(len(one.suspected_by) - 1, 0), want) + 1) / math.log(want + 1)
        return max(least, most - (most - least) * shrink)

    def renotify_at(self, name: str, one: Suspicion) -> float:
        """When its subject is told of it again, by its observers alone."""
        mine = self._member_table.uses_consensus and name in self._member_table.subjects()
        return max(one.started_at, one.notified_at) + self._settings.period_s / 2 if mine else math.inf

    def suspicion_update(self, name: str) -> GossipUpdate | None:
        """Lifeguard's buddy: the suspected hears of it first, and can refute it."""
        one = self.by_name.get(name)
        if one is None or not self._member_table.uses_consensus:
            return None
        return Suspect(name, one.incarnation, self._member_table.local_member.name)

    def expire(self, name: str, one: Suspicion) -> None:
        one.faulty = True
        by = ",".join(sorted(one.suspected_by))
        self._outbox.log("suspicion ran out", member=name, incarnation=one.incarnation, by=by)

    def restart_after_pause(self, now: float, late: float) -> None:
        """This member was stopped: what it doubted before may long have answered, and perhaps all were
        stopped with it, to go on one by one. Whom it has not heard since, it doubts for the longest at
        least, or a quarter of its own stop, up to twice the longest."""
        for one in self.by_name.values():
            one.started_at = max(one.started_at, now)
            one.confirmed_by_own_probe = one.faulty = False
        if self._settings.injected_fault != "no-grace":
            most = (
                self._settings.min_suspicion_periods
                * self._settings.max_suspicion_ratio
                * self._settings.period_s
            )
            self._grace_ends_at = now + min(max(most, late / 4), 2 * most)
            self._resumed_at, self._unheard_since_pause = now, set(self._member_table.other_names())

    def message_received(self, now: float, name: str) -> None:
        """A message of this member came, or word of its answer."""
        # What waited in the socket while this member was stopped says nothing of now.
        if self._unheard_since_pause and now > self._resumed_at + self._settings.probe_timeout_s:
            self._unheard_since_pause.discard(name)

    def names_unheard_since_pause(self) -> list[str]:
        return sorted(self._unheard_since_pause)

    # -- what follows from them

    def failed_names(self) -> set[str]:
        """Whom this member holds to be gone, by its own probes as well."""
        return {name for name, one in self.by_name.items() if one.faulty and one.confirmed_by_own_probe}

    def settled_at(self, now: float, but: set[str]) -> float | None:
        """When it should be known of all who are suspected whether they are gone, `but` those; None if there
        is no other. Whoever is well refutes a suspicion within a probe or two: who does not may be gone."""
        times = (self._settles_at(now, name, one) for name, one in self.by_name.items() if name not in but)
        return max(times, default=None)

    def _settles_at(self, now: float, name: str, one: Suspicion) -> float:
        if one.faulty:
            return now + self._settings.max_settle_s  # its observers' reports are due
        if len(one.suspected_by) > 1:
            return self.expires_at(name, one) + self._settings.period_s
        return one.started_at + self._settings.max_settle_s

    def retain_members(self, view: View) -> None:
        """One of an older self is over, and no refutation would come for it any more."""
        self.by_name = {
            name: one
            for name, one in self.by_name.items()
            if name in view and one.incarnation >= self._member_table.incarnation(name)
        }
        self._unheard_since_pause = {name for name in self._unheard_since_pause if name in view}

    def wakeup_times(self) -> list[float]:
        pairs = [(name, one) for name, one in self.by_name.items() if not one.faulty]
        return [at for name, one in pairs for at in (self.expires_at(name, one), self.renotify_at(name, one))]
