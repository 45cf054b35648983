"""Reports of several observers, and the cut they make: which members are surely out or in (Rapid). Pure.

A change is proposed when enough of its subject's observers report it (the high mark) and no other subject
stands between the marks.
"""

from __future__ import annotations

from .gossip import Gossip
from .messages import Alert, Ping
from .outbox import Outbox
from .plan import Settings
from .roster import JOINERS_MOST, Roster
from .view import SAYS_CUT_MOST, Change, Kind, Member, Proposal, proposal


class Reports:
    """For the view that is held, whose end clears them."""

    def __init__(self, roster: Roster, gossip: Gossip, out: Outbox, settings: Settings) -> None:
        self._roster, self._gossip, self._out, self._settings = roster, gossip, out, settings
        self.alerts: dict[tuple[str, bool], dict[str, Member]] = {}  # by (subject, joins), observer
        self._fresh = False  # whether a report came since a cut was last thought of
        self._unstable_since: float | None = None

    def take(self, alert: Alert) -> bool:
        """An observer's report, perhaps this member's own; whether it was news."""
        view = self._roster.view
        if view is None or alert.epoch != view.epoch:
            return False
        subject = alert.member.name
        if alert.by not in self._roster.observers(subject):
            return False
        if alert.join and (subject, True) not in self.alerts and self._joiners() >= JOINERS_MOST:
            self._out.count("joins_refused")  # guards the table: anybody may name anybody
            return False
        those = self.alerts.setdefault((subject, alert.join), {})
        if alert.by in those and those[alert.by].incarnation >= alert.member.incarnation:
            return False
        gone = view.get(subject) is None or self._roster.incarnation(subject) > alert.member.incarnation
        if not alert.join and gone:
            return False  # a report on an older incarnation, refuted already
        those[alert.by] = alert.member
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
        self._unstable_since = None

    # -- the cut

    def wakes(self) -> list[float]:
        return [self._unstable_since + self._settings.settle] if self._unstable_since is not None else []

    def due(self, now: float) -> bool:
        """Whether there is a reason to think of a cut."""
        return self._fresh or any(now >= at for at in self.wakes())

    def cut(self, now: float, facts: list[Change]) -> Proposal | None:
        """What is sure, with the facts that are agreed; None while there is nothing, or it is to wait."""
        self._fresh = False
        counted = {key: dict(those) for key, those in self.alerts.items() if those}
        stable = self._stable(counted)
        chosen = {(one.member.name, one.kind is Kind.JOIN) for one in stable}
        unstable = any(
            key not in chosen and len(those) >= self._marks(key[0])[1] for key, those in counted.items()
        )
        changes = _fitting(stable) + facts
        if not changes:
            self._unstable_since = None
            return None
        if unstable:
            if self._unstable_since is None:
                self._unstable_since = now
            if now < self._unstable_since + self._settings.settle:
                return None  # Rapid: wait while some subject stands between the marks, but not for ever
        self._unstable_since = None
        return proposal(changes)

    def _stable(self, counted: dict[tuple[str, bool], dict[str, Member]]) -> list[Change]:
        """Rapid's implicit reports: an observer that is itself on its way out cannot report."""
        stable: dict[tuple[str, bool], Change] = {}
        going: set[str] = set()
        while True:
            grew = False
            for (subject, join), those in counted.items():
                if (subject, join) in stable:
                    continue
                high, _ = self._marks(subject)
                implied = (going & set(self._roster.observers(subject))) - set(those)
                if len(those) + (len(implied) if not join else 0) >= high:
                    member = max(those.values(), key=lambda one: one.incarnation)
                    stable[subject, join] = Change(Kind.JOIN if join else Kind.REMOVE, member)
                    if not join:
                        going.add(subject)
                    grew = True
            if not grew:
                return list(stable.values())

    def _marks(self, subject: str) -> tuple[int, int]:
        """How many reports make a change sure, and how many make others wait for it."""
        if self._settings.broken == "one-observer":
            return 1, 1
        high = min(self._settings.high, len(self._roster.observers(subject)))
        return high, min(self._settings.low, high)

    def _joiners(self) -> int:
        return sum(join for _, join in self.alerts)


def _fitting(changes: list[Change]) -> list[Change]:
    """Those that a proposal has room for. Guards votes against growing past a datagram when many join who
    say much of themselves: the rest ask again and come with a later view."""
    room, kept = SAYS_CUT_MOST, []
    for one in sorted(changes, key=lambda one: one.order):
        room -= one.member.says_bytes
        if room >= 0 or not one.member.says:
            kept.append(one)
    return kept
