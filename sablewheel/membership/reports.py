"""Reports of several observers, and the cut they make: which members are surely out or in (Rapid). Pure.

A change is proposed when enough of its subject's observers report it (the high mark) and no other subject
stands between the marks.
"""

from __future__ import annotations

import math
from dataclasses import replace

from .gossip import Gossip
from .member_table import JOINERS_MOST, Roster
from .messages import Alert, Ping
from .outbox import Outbox
from .plan import Settings
from .suspicions import Suspicions
from .view import CUT_MOST, JOINS_CUT_MOST, NOBODY, SAYS_CUT_MOST, Change, Kind, Member, Proposal, proposal

GATHER = 1.0  # periods that a join waits for others


class Reports:
    """For the view that is held, whose end clears them."""

    def __init__(
        self, roster: Roster, suspicions: Suspicions, gossip: Gossip, out: Outbox, settings: Settings
    ) -> None:
        self._roster, self._suspicions, self._gossip = roster, suspicions, gossip
        self._out, self._settings = out, settings
        self.alerts: dict[tuple[str, bool], dict[str, Member]] = {}  # by (subject, joins), observer
        self._fresh = False  # whether a report came since a cut was last thought of
        self._held_since: float | None = None  # a cut that waits for others
        self._held_until = 0.0
        self._few = False  # whether this member was on a small side when it last thought of a cut
        self._back_until = -math.inf  # it was: who is back says so, one after another
        self._gather_until: float | None = None  # joins wait so long for others that come with them
        self._leaving: set[str] = set()
        self._joiners = 0  # who is reported to join
        self._removing = False  # whether anybody was reported to go

    def take(self, now: float, alert: Alert) -> bool:
        """An observer's report, perhaps this member's own; whether it was news."""
        view = self._roster.view
        if view is None or alert.epoch != view.epoch:
            return False
        subject = alert.member.name
        if alert.by not in self._roster.observers(subject):
            return False
        if alert.join and (subject, True) not in self.alerts:
            if self._joiners >= JOINERS_MOST:
                self._out.count("joins_refused")  # guards the table: anybody may name anybody
                return False
            self._joiners += 1
        self._removing = self._removing or not alert.join
        those = self.alerts.setdefault((subject, alert.join), {})
        if alert.by in those and those[alert.by].incarnation >= alert.member.incarnation:
            return False
        gone = view.get(subject) is None or self._roster.incarnation(subject) > alert.member.incarnation
        if not alert.join and gone:
            return False  # a report on an older incarnation, refuted already
        those[alert.by] = alert.member
        if alert.join and self._gather_until is None:
            self._gather_until = now + self._settings.period * GATHER
        self._fresh = True
        join, by = alert.join, alert.by
        self._out.note("alert", member=subject, join=join, by=by, count=len(those), epoch=alert.epoch)
        self._gossip.spread(alert)
        if by == self._roster.me.name:
            self._out.broadcast(Ping(0, (alert,)))  # at once to all, besides the gossip that repeats it
        return True

    def left(self, member: Member) -> bool:
        """A leave is said, not detected: it stands for every observer's report. Whether it was news."""
        those = self.alerts.setdefault((member.name, False), {})
        watch = self._roster.observers(member.name)
        if those.keys() >= set(watch):
            return False
        for name in watch:
            those[name] = member.silent
        self._leaving.add(member.name)
        self._removing = True
        self._fresh = True
        return True

    def refuted(self, name: str, incarnation: int) -> None:
        """Reports on an older incarnation of it are void."""
        those = self.alerts.get((name, False), {})
        for by in [by for by, member in those.items() if member.incarnation < incarnation]:
            del those[by]
            self._fresh = True  # another's change may wait for this one

    def stir(self) -> None:
        """Something else came that a cut may hold, a fact: think of one again."""
        self._fresh = True

    def clear(self) -> None:
        """Of an epoch that is over."""
        self.alerts.clear()
        self._leaving.clear()
        self._joiners, self._removing = 0, False
        self._held_since = self._gather_until = None

    def waits(self, now: float) -> tuple[bool, tuple[float, ...]]:
        """What a cut waits for, as spans from now: for a model that tells states apart."""
        times = (self._held_since, self._held_until, self._gather_until, self._back_until)
        return self._few, tuple(max(round(at - now, 1), -9.0) if at is not None else -9.0 for at in times)

    # -- the cut

    def wakes(self) -> list[float]:
        times = [self._gather_until] if self._gather_until is not None else []
        return [*times, self._held_until] if self._held_since is not None else times

    def due(self, now: float) -> bool:
        """Whether there is a reason to think of a cut."""
        return self._fresh or any(now >= at for at in self.wakes())

    def cut(self, now: float, facts: list[Change]) -> Proposal | None:
        """What is sure, with the facts that are agreed; None while there is nothing, or it is to wait."""
        self._fresh = False
        if self._gather_until is not None and now >= self._gather_until:
            self._gather_until = None
        gone = self._suspicions.gone()
        if self._only_gathers(gone, facts):
            return None
        stable = self._stable(gone)
        going = {one.member.name for one in stable if one.kind is Kind.REMOVE}
        changes = _fitting(stable) + facts
        if changes and self._is_few(going | self._suspicions.held.keys()):
            self._few, changes = True, []
        if not changes:
            self._held_since = None
            return None
        if self._few:
            self._few, self._back_until = False, now + self._settings.settle
        if not going and not facts and self._gather_until is not None:
            return None
        if self._waits(now, stable, going):
            return None
        self._held_since = None
        return proposal(changes)

    def _only_gathers(self, gone: set[str], facts: list[Change]) -> bool:
        """Whether there are but joins, which wait for more: whatever is stable, no cut would come of it.

        Guards a fleet into which many come at once: each of their reports would be judged with all others.
        """
        if self._gather_until is None or facts or gone or self._removing:
            return False
        return not (self._few or self._is_few(set(self._suspicions.held)))

    def _waits(self, now: float, stable: list[Change], going: set[str]) -> bool:
        """Rapid: a cut waits while another subject stands between the marks; ours also while another member
        is suspected at all, so that those who go together go in one view. For `settle`, and as long again at
        most for a suspicion that came late or is confirmed."""
        chosen = {(one.member.name, one.kind is Kind.JOIN) for one in stable}
        unstable = any(
            key not in chosen and len(those) >= max(self._marks(key[0])[1], 1)
            for key, those in self.alerts.items()
        )
        alone = self._settings.broken == "one-at-a-time"
        others = self._suspicions.settled_at(now, going) if not alone else None
        if not unstable and others is None and now >= self._back_until:
            return False
        since = self._held_since = now if self._held_since is None else self._held_since
        settle = self._settings.settle
        until = since + settle if unstable or others is not None else now
        if others is not None:
            until = min(max(until, others), since + 2 * settle)
        self._held_until = max(until, self._back_until)
        return now < self._held_until

    def _is_few(self, lost: set[str]) -> bool:
        """Whether those that are neither lost nor suspected are no majority. Guards the fleet, once a cut has
        healed, against what its small side proposed: a vote that is heard of late may still be carried."""
        view, lost = self._roster.view, lost - self._leaving
        if view is None or not lost or self._settings.broken == "one-at-a-time":
            return False
        return len(view.members) - len(lost) < len(view.members) // 2 + 1

    def _stable(self, gone: set[str]) -> list[Change]:
        """Rapid's implicit reports: an observer that is itself on its way out cannot report.

        So is one that this member holds to be gone by its own probes: for a subject that it holds gone too,
        and that another reports. Without it, of several cut off together none may have enough observers left.
        """
        me = self._roster.me.name
        if self._settings.broken == "one-at-a-time":
            gone = set()
        counted = {key: those for key, those in self.alerts.items() if those}
        counted |= {(name, False): {} for name in gone if (name, False) not in counted}
        stable: dict[tuple[str, bool], Change] = {}
        going: set[str] = set()
        while True:
            grew = False
            for (subject, join), those in counted.items():
                if (subject, join) in stable:
                    continue
                high, _ = self._marks(subject)
                silent = going | gone if subject in gone and those.keys() - {me} else going
                implied = (silent & set(self._roster.observers(subject))) - those.keys()
                if len(those) + (len(implied) if not join else 0) >= high:
                    member = max(those.values(), key=lambda one: one.incarnation, default=self._held(subject))
                    stable[subject, join] = Change(Kind.JOIN if join else Kind.REMOVE, member)
                    if not join:
                        going.add(subject)
                    grew = True
            if not grew:
                return list(stable.values())

    def _held(self, subject: str) -> Member:
        """As a report of it would name it."""
        member = self._roster.view.get(subject) if self._roster.view is not None else None
        return replace(member.silent, incarnation=self._roster.incarnation(subject)) if member else NOBODY

    def _marks(self, subject: str) -> tuple[int, int]:
        """How many reports make a change sure, and how many make others wait for it."""
        if self._settings.broken == "one-observer":
            return 1, 1
        high = min(self._settings.high, len(self._roster.observers(subject)))
        return high, min(self._settings.low, high)


def _fitting(changes: list[Change]) -> list[Change]:
    """Those that a proposal has room for, who go before who join. Guards votes against growing past a
    datagram when many join, or say much of themselves: the rest come with a later view, since they ask again
    or are reported again."""
    says, joins, room, kept = SAYS_CUT_MOST, JOINS_CUT_MOST, CUT_MOST, list[Change]()
    for one in sorted(changes, key=lambda one: (one.kind is Kind.JOIN, one.order)):
        size = one.member.bytes_most
        joining = size if one.kind is Kind.JOIN else 0
        says -= one.member.says_bytes
        if (says < 0 and one.member.says) or joining > joins or size > room:
            continue
        joins, room = joins - joining, room - size
        kept.append(one)
    return kept
