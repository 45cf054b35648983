"""Reports of several observers, and the cut they make: which members are surely out or in (Rapid). Pure.

A change is proposed when enough of its subject's observers report it (the high mark) and no other subject
stands between the marks.
"""

from __future__ import annotations

import math
from dataclasses import replace

from .gossip import Gossip
from .member_table import MAX_JOINERS, MemberTable
from .messages import Alert, Ping
from .outbox import Outbox
from .plan import Settings
from .suspicions import SuspicionTable
from .view import (
    MAX_PROPOSAL_BYTES,
    MAX_PROPOSAL_JOIN_BYTES,
    MAX_PROPOSAL_METADATA_BYTES,
    NO_MEMBER,
    Change,
    ChangeKind,
    Member,
    Proposal,
    proposal,
)

JOIN_GATHER_PERIODS = 1.0  # periods that a join waits for others


class CutDetector:
    """For the view that is held, whose end clears them."""

    def __init__(
        self, roster: MemberTable, suspicions: SuspicionTable, gossip: Gossip, out: Outbox, settings: Settings
    ) -> None:
        self._member_table, self._suspicions, self._gossip = roster, suspicions, gossip
        self._outbox, self._settings = out, settings
        self.alerts: dict[tuple[str, bool], dict[str, Member]] = {}  # by (subject, joins), observer
        self._changed = False  # whether a report came since a cut was last thought of
        self._waiting_since: float | None = None  # a cut that waits for others
        self._wait_ends_at = 0.0
        self._was_minority = False  # whether this member was on a small side when it last thought of a cut
        self._recovery_ends_at = -math.inf  # it was: who is back says so, one after another
        self._join_gathering_ends_at: float | None = None  # joins wait so long for others that come with them
        self._leaving_names: set[str] = set()
        self._joiner_count = 0  # who is reported to join
        self._has_removals = False  # whether anybody was reported to go

    def record_alert(self, now: float, alert: Alert) -> bool:
        """An observer's report, perhaps this member's own; whether it was news."""
        view = self._member_table.view
        if view is None or alert.epoch != view.epoch:
            return False
        subject = alert.member.name
        if alert.observer not in self._member_table.observers(subject):
            return False
        if alert.is_join and (subject, True) not in self.alerts:
            if self._joiner_count >= MAX_JOINERS:
                self._outbox.count("joins_refused")  # guards the table: anybody may name anybody
                return False
            self._joiner_count += 1
        self._has_removals = self._has_removals or not alert.is_join
        those = self.alerts.setdefault((subject, alert.is_join), {})
        if alert.observer in those and those[alert.observer].incarnation >= alert.member.incarnation:
            return False
        gone = view.get(subject) is None or self._member_table.incarnation(subject) > alert.member.incarnation
        if not alert.is_join and gone:
            return False  # a report on an older incarnation, refuted already
        those[alert.observer] = alert.member
        if alert.is_join and self._join_gathering_ends_at is None:
            self._join_gathering_ends_at = now + self._settings.period_s * JOIN_GATHER_PERIODS
        self._changed = True
        join, by = alert.is_join, alert.observer
        self._outbox.log("alert", member=subject, join=join, by=by, count=len(those), epoch=alert.epoch)
        self._gossip.disseminate(alert)
        if by == self._member_table.local_member.name:
            self._outbox.broadcast(Ping(0, (alert,)))  # at once to all, besides the gossip that repeats it
        return True

    def record_leave(self, member: Member) -> bool:
        """A leave is said, not detected: it stands for every observer's report. Whether it was news."""
        those = self.alerts.setdefault((member.name, False), {})
        watch = self._member_table.observers(member.name)
        if those.keys() >= set(watch):
            return False
        for name in watch:
            those[name] = member.without_metadata
        self._leaving_names.add(member.name)
        self._has_removals = True
        self._changed = True
        return True

    def clear_refuted(self, name: str, incarnation: int) -> None:
        """Reports on an older incarnation of it are void."""
        those = self.alerts.get((name, False), {})
        for by in [by for by, member in those.items() if member.incarnation < incarnation]:
            del those[by]
            self._changed = True  # another's change may wait for this one

    def mark_changed(self) -> None:
        """Something else came that a cut may hold, a fact: think of one again."""
        self._changed = True

    def clear(self) -> None:
        """Of an epoch that is over."""
        self.alerts.clear()
        self._leaving_names.clear()
        self._joiner_count, self._has_removals = 0, False
        self._waiting_since = self._join_gathering_ends_at = None

    def pending_waits(self, now: float) -> tuple[bool, tuple[float, ...]]:
        """What a cut waits for, as spans from now: for a model that tells states apart."""
        times = (
            self._waiting_since,
            self._wait_ends_at,
            self._join_gathering_ends_at,
            self._recovery_ends_at,
        )
        return self._was_minority, tuple(
            max(round(at - now, 1), -9.0) if at is not None else -9.0 for at in times
        )

    # -- the cut

    def wakeup_times(self) -> list[float]:
        times = [self._join_gathering_ends_at] if self._join_gathering_ends_at is not None else []
        return [*times, self._wait_ends_at] if self._waiting_since is not None else times

    def is_evaluation_due(self, now: float) -> bool:
        """Whether there is a reason to think of a cut."""
        return self._changed or any(now >= at for at in self.wakeup_times())

    def evaluate(self, now: float, facts: list[Change]) -> Proposal | None:
        """What is sure, with the facts that are agreed; None while there is nothing, or it is to wait."""
        self._changed = False
        if self._join_gathering_ends_at is not None and now >= self._join_gathering_ends_at:
            self._join_gathering_ends_at = None
        gone = self._suspicions.failed_names()
        if self._is_gathering_joins(gone, facts):
            return None
        stable = self._stable_changes(gone)
        going = {one.member.name for one in stable if one.kind is ChangeKind.REMOVE}
        changes = _fitting(stable) + facts
        if changes and self._is_minority_without(going | self._suspicions.by_name.keys()):
            self._was_minority, changes = True, []
        if not changes:
            self._waiting_since = None
            return None
        if self._was_minority:
            self._was_minority, self._recovery_ends_at = False, now + self._settings.max_settle_s
        if not going and not facts and self._join_gathering_ends_at is not None:
            return None
        if self._must_wait(now, stable, going):
            return None
        self._waiting_since = None
        return proposal(changes)

    def _is_gathering_joins(self, gone: set[str], facts: list[Change]) -> bool:
        """Whether there are but joins, which wait for more: whatever is stable, no cut would come of it.

        Guards a fleet into which many come at once: each of their reports would be judged with all others.
        """
        if self._join_gathering_ends_at is None or facts or gone or self._has_removals:
            return False
        return not (self._was_minority or self._is_minority_without(set(self._suspicions.by_name)))

    def _must_wait(self, now: float, stable: list[Change], going: set[str]) -> bool:
        """Rapid: a cut waits while another subject stands between the marks; ours also while another member
        is suspected at all, so that those who go together go in one view. For `settle`, and as long again at
        most for a suspicion that came late or is confirmed."""
        chosen = {(one.member.name, one.kind is ChangeKind.JOIN) for one in stable}
        unstable = any(
            key not in chosen and len(those) >= max(self._watermarks(key[0])[1], 1)
            for key, those in self.alerts.items()
        )
        alone = self._settings.injected_fault == "one-at-a-time"
        others = self._suspicions.settled_at(now, going) if not alone else None
        if not unstable and others is None and now >= self._recovery_ends_at:
            return False
        since = self._waiting_since = now if self._waiting_since is None else self._waiting_since
        settle = self._settings.max_settle_s
        until = since + settle if unstable or others is not None else now
        if others is not None:
            until = min(max(until, others), since + 2 * settle)
        self._wait_ends_at = max(until, self._recovery_ends_at)
        return now < self._wait_ends_at

    def _is_minority_without(self, lost: set[str]) -> bool:
        """Whether those that are neither lost nor suspected are no majority. Guards the fleet, once a cut has
        healed, against what its small side proposed: a vote that is heard of late may still be carried."""
        view, lost = self._member_table.view, lost - self._leaving_names
        if view is None or not lost or self._settings.injected_fault == "one-at-a-time":
            return False
        return len(view.members) - len(lost) < len(view.members) // 2 + 1

    def _stable_changes(self, gone: set[str]) -> list[Change]:
        """Rapid's implicit reports: an observer that is itself on its way out cannot report.

        So is one that this member holds to be gone by its own probes: for a subject that it holds gone too,
        and that another reports. Without it, of several cut off together none may have enough observers left.
        """
        me = self._member_table.local_member.name
        if self._settings.injected_fault == "one-at-a-time":
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
                high, _ = self._watermarks(subject)
                silent = going | gone if subject in gone and those.keys() - {me} else going
                implied = (silent & set(self._member_table.observers(subject))) - those.keys()
                if len(those) + (len(implied) if not join else 0) >= high:
                    member = max(
                        those.values(),
                        key=lambda one: one.incarnation,
                        default=self._member_without_metadata(subject),
                    )
                    stable[subject, join] = Change(ChangeKind.JOIN if join else ChangeKind.REMOVE, member)
                    if not join:
                        going.add(subject)
                    grew = True
            if not grew:
                return list(stable.values())

    def _member_without_metadata(self, subject: str) -> Member:
        """As a report of it would name it."""
        member = self._member_table.view.get(subject) if self._member_table.view is not None else None
        return (
            replace(member.without_metadata, incarnation=self._member_table.incarnation(subject))
            if member
            else NO_MEMBER
        )

    def _watermarks(self, subject: str) -> tuple[int, int]:
        """How many reports make a change sure, and how many make others wait for it."""
        if self._settings.injected_fault == "one-observer":
            return 1, 1
        high = min(self._settings.high_watermark, len(self._member_table.observers(subject)))
        return high, min(self._settings.low_watermark, high)


def _fitting(changes: list[Change]) -> list[Change]:
    """Those that a proposal has room for, who go before who join. Guards votes against growing past a
    datagram when many join, or say much of themselves: the rest come with a later view, since they ask again
    or are reported again."""
    says, joins, room, kept = (
        MAX_PROPOSAL_METADATA_BYTES,
        MAX_PROPOSAL_JOIN_BYTES,
        MAX_PROPOSAL_BYTES,
        list[Change](),
    )
    for one in sorted(changes, key=lambda one: (one.kind is ChangeKind.JOIN, one.sort_key)):
        size = one.member.max_encoded_bytes
        joining = size if one.kind is ChangeKind.JOIN else 0
        says -= one.member.metadata_bytes
        if (says < 0 and one.member.metadata) or joining > joins or size > room:
            continue
        joins, room = joins - joining, room - size
        kept.append(one)
    return kept
