"""Multi-node cut detection (Rapid): derives proposed changes from the alerts of several observers.

No I/O. A change is proposed when enough of its subject's observers report it (the high watermark) and no
other subject is between the watermarks.
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
    canonical_proposal,
)

JOIN_GATHER_PERIODS = 1.0  # protocol periods that a join waits for further joins
NOT_WAITING_S = -9.0  # the lower bound of `pending_waits`, also its value for a wait that is not in progress


class CutDetector:
    """Collects the alerts for the current view, which are cleared when it is replaced, and evaluates them."""

    def __init__(
        self,
        member_table: MemberTable,
        suspicions: SuspicionTable,
        gossip: Gossip,
        outbox: Outbox,
        settings: Settings,
    ) -> None:
        self._member_table, self._suspicions, self._gossip = member_table, suspicions, gossip
        self._outbox, self._settings = outbox, settings
        self.alerts: dict[tuple[str, bool], dict[str, Member]] = {}  # by (subject, is_join), then observer
        self._changed = False  # whether anything changed since the last evaluation
        self._waiting_since: float | None = None  # start of the proposal's wait for other subjects
        self._wait_ends_at = 0.0
        self._was_minority = False  # whether this side was a minority at the last evaluation
        # Proposals of a former minority wait until then, since the other members return one after another.
        self._recovery_ends_at = -math.inf
        self._join_gathering_ends_at: float | None = None
        self._leaving_names: set[str] = set()
        self._joiner_count = 0
        self._has_removals = False

    # -- alerts

    def record_alert(self, now: float, alert: Alert) -> bool:
        """Record the alert of an observer, which may be this member; return whether it was new."""
        if not self._is_acceptable(alert):
            return False
        by_observer = self.alerts.setdefault((alert.member.name, alert.is_join), {})
        if not self._is_new(alert, by_observer):
            return False
        by_observer[alert.observer] = alert.member
        if alert.is_join and self._join_gathering_ends_at is None:
            self._join_gathering_ends_at = now + self._settings.period_s * JOIN_GATHER_PERIODS
        self._changed = True
        self._outbox.log(
            "alert",
            member=alert.member.name,
            join=alert.is_join,
            by=alert.observer,
            count=len(by_observer),
            epoch=alert.epoch,
        )
        self._gossip.disseminate(alert)
        if alert.observer == self._member_table.local_member.name:
            self._outbox.broadcast(Ping(0, (alert,)))  # sent to all at once, and repeated by gossip
        return True

    def _is_acceptable(self, alert: Alert) -> bool:
        view, subject = self._member_table.view, alert.member.name
        if view is None or alert.epoch != view.epoch:
            return False
        if alert.observer not in self._member_table.observers(subject):
            return False
        if alert.is_join and (subject, True) not in self.alerts:
            if self._joiner_count >= MAX_JOINERS:  # any process may send any name
                self._outbox.count("joins_refused")
                return False
            self._joiner_count += 1
        self._has_removals = self._has_removals or not alert.is_join
        return True

    def _is_new(self, alert: Alert, by_observer: dict[str, Member]) -> bool:
        subject, incarnation = alert.member.name, alert.member.incarnation
        if alert.observer in by_observer and by_observer[alert.observer].incarnation >= incarnation:
            return False
        view = self._member_table.view
        if alert.is_join or view is None:
            return True
        # An alert to remove an earlier incarnation has already been refuted.
        return subject in view and self._member_table.incarnation(subject) <= incarnation

    def record_leave(self, member: Member) -> bool:
        """Record an announced leave as an alert of every observer; return whether it was new."""
        by_observer = self.alerts.setdefault((member.name, False), {})
        observers = self._member_table.observers(member.name)
        if by_observer.keys() >= set(observers):
            return False
        for observer in observers:
            by_observer[observer] = member.without_metadata
        self._leaving_names.add(member.name)
        self._has_removals = True
        self._changed = True
        return True

    def clear_refuted(self, name: str, incarnation: int) -> None:
        """Discard the alerts on earlier incarnations of a member."""
        by_observer = self.alerts.get((name, False), {})
        refuted = [observer for observer, member in by_observer.items() if member.incarnation < incarnation]
        for observer in refuted:
            del by_observer[observer]
            self._changed = True  # a proposal may be waiting for this subject

    def mark_changed(self) -> None:
        """Request an evaluation: something other than the alerts changed that a proposal depends on."""
        self._changed = True

    def clear(self) -> None:
        """Discard the alerts for the previous view."""
        self.alerts.clear()
        self._leaving_names.clear()
        self._joiner_count, self._has_removals = 0, False
        self._waiting_since = self._join_gathering_ends_at = None

    def pending_waits(self, now: float) -> tuple[bool, tuple[float, ...]]:
        """Return whether this side was a minority, and the remaining seconds of each wait.

        Model checkers compare states by these values.
        """
        times = (
            self._waiting_since,
            self._wait_ends_at,
            self._join_gathering_ends_at,
            self._recovery_ends_at,
        )
        return self._was_minority, tuple(
            max(round(time - now, 1), NOT_WAITING_S) if time is not None else NOT_WAITING_S for time in times
        )

    # -- evaluation

    def wakeup_times(self) -> list[float]:
        """Return the times at which waits end."""
        times = [self._join_gathering_ends_at] if self._join_gathering_ends_at is not None else []
        return [*times, self._wait_ends_at] if self._waiting_since is not None else times

    def is_evaluation_due(self, now: float) -> bool:
        """Return whether anything changed or a wait ended since the last evaluation."""
        return self._changed or any(now >= wakeup_at for wakeup_at in self.wakeup_times())

    def evaluate(self, now: float, facts: list[Change]) -> Proposal | None:
        """Return the changes to propose, with the agreed facts; None if there are none or they must wait."""
        self._changed = False
        if self._join_gathering_ends_at is not None and now >= self._join_gathering_ends_at:
            self._join_gathering_ends_at = None
        failed = self._suspicions.failed_names()
        if self._is_gathering_joins(failed, facts):
            return None
        stable = self._stable_changes(failed)
        removed = {change.member.name for change in stable if change.kind is ChangeKind.REMOVE}
        changes = fit_changes(stable) + facts
        if changes and self._is_minority_without(removed | self._suspicions.by_name.keys()):
            self._was_minority, changes = True, []
        if not changes:
            self._waiting_since = None
            return None
        if self._was_minority:
            self._was_minority, self._recovery_ends_at = False, now + self._settings.max_settle_s
        if not removed and not facts and self._join_gathering_ends_at is not None:
            return None
        if self._must_wait(now, stable, removed):
            return None
        self._waiting_since = None
        return canonical_proposal(changes)

    def _is_gathering_joins(self, failed: set[str], facts: list[Change]) -> bool:
        """Return whether there are only joins, and they still wait for further joins.

        When many members join at once, this avoids an evaluation of all alerts for each new one.
        """
        if self._join_gathering_ends_at is None or facts or failed or self._has_removals:
            return False
        return not (self._was_minority or self._is_minority_without(set(self._suspicions.by_name)))

    def _must_wait(self, now: float, stable: list[Change], removed: set[str]) -> bool:
        """Return whether a proposal waits so that members that fail together are removed in one view.

        As in Rapid, it waits while another subject is between the watermarks; unlike in Rapid, also while
        another member is suspected. The wait lasts `max_settle_s`, or twice that for a suspicion that started
        late or is confirmed.
        """
        unstable = self._has_unstable_subject(stable)
        one_at_a_time = self._settings.injected_fault == "one-at-a-time"
        others_settled_at = None if one_at_a_time else self._suspicions.settled_at(now, removed)
        if not unstable and others_settled_at is None and now >= self._recovery_ends_at:
            return False
        if self._waiting_since is None:
            self._waiting_since = now
        max_settle_s = self._settings.max_settle_s
        ends_at = now
        if unstable or others_settled_at is not None:
            ends_at = self._waiting_since + max_settle_s
        if others_settled_at is not None:
            ends_at = min(max(ends_at, others_settled_at), self._waiting_since + 2 * max_settle_s)
        self._wait_ends_at = max(ends_at, self._recovery_ends_at)
        return now < self._wait_ends_at

    def _has_unstable_subject(self, stable: list[Change]) -> bool:
        stable_keys = {(change.member.name, change.kind is ChangeKind.JOIN) for change in stable}
        return any(
            key not in stable_keys and len(by_observer) >= max(self._watermarks(key[0])[1], 1)
            for key, by_observer in self.alerts.items()
        )

    def _is_minority_without(self, unreachable: set[str]) -> bool:
        """Return whether the members other than the unreachable ones are no majority of the view.

        A minority must not make a proposal: members could still vote for it once a partition has healed.
        """
        view, unreachable = self._member_table.view, unreachable - self._leaving_names
        if view is None or not unreachable or self._settings.injected_fault == "one-at-a-time":
            return False
        return len(view.members) - len(unreachable) < len(view.members) // 2 + 1

    def _stable_changes(self, failed: set[str]) -> list[Change]:
        """Return the changes whose alerts reach the high watermark, implicit alerts included (Rapid).

        An observer that is being removed itself cannot report, so its alert is implied. The alert of an
        observer that failed this member's own probes is also implied if the subject failed them too and
        another member reports the subject; otherwise members that are partitioned off together could lack
        observers.
        """
        local_name = self._member_table.local_member.name
        if self._settings.injected_fault == "one-at-a-time":
            failed = set()
        reported = {key: by_observer for key, by_observer in self.alerts.items() if by_observer}
        reported |= {(name, False): {} for name in failed if (name, False) not in reported}
        stable: dict[tuple[str, bool], Change] = {}
        removed: set[str] = set()
        has_new_change = True
        while has_new_change:  # each removal may imply further alerts
            has_new_change = False
            for (subject, is_join), by_observer in reported.items():
                if (subject, is_join) in stable:
                    continue
                implied_observers = (
                    removed | failed if subject in failed and by_observer.keys() - {local_name} else removed
                )
                if not self._reaches_high_watermark(subject, is_join, by_observer, implied_observers):
                    continue
                member = max(
                    by_observer.values(),
                    key=lambda member: member.incarnation,
                    default=self._member_without_metadata(subject),
                )
                kind = ChangeKind.JOIN if is_join else ChangeKind.REMOVE
                stable[subject, is_join] = Change(kind, member)
                if not is_join:
                    removed.add(subject)
                has_new_change = True
        return list(stable.values())

    def _reaches_high_watermark(
        self, subject: str, is_join: bool, by_observer: dict[str, Member], implied_observers: set[str]
    ) -> bool:
        high, _ = self._watermarks(subject)
        if is_join:
            return len(by_observer) >= high
        implied_alerts = (implied_observers & set(self._member_table.observers(subject))) - by_observer.keys()
        return len(by_observer) + len(implied_alerts) >= high

    def _member_without_metadata(self, subject: str) -> Member:
        view = self._member_table.view
        member = view.get(subject) if view is not None else None
        if member is None:
            return NO_MEMBER
        return replace(member.without_metadata, incarnation=self._member_table.incarnation(subject))

    def _watermarks(self, subject: str) -> tuple[int, int]:
        """Return how many alerts make a change stable, and how many make other changes wait for it."""
        if self._settings.injected_fault == "one-observer":
            return 1, 1
        high = min(self._settings.high_watermark, len(self._member_table.observers(subject)))
        return high, min(self._settings.low_watermark, high)


def fit_changes(changes: list[Change]) -> list[Change]:
    """Return the changes that fit a proposal, removals first.

    Votes must fit a datagram when many members join or have much metadata. The other changes come with a
    later view, since joiners repeat their requests and failures are reported again.
    """
    metadata_left, joins_left = MAX_PROPOSAL_METADATA_BYTES, MAX_PROPOSAL_JOIN_BYTES
    bytes_left = MAX_PROPOSAL_BYTES
    fitting: list[Change] = []
    for change in sorted(changes, key=lambda change: (change.kind is ChangeKind.JOIN, change.sort_key)):
        size = change.member.max_encoded_bytes
        join_size = size if change.kind is ChangeKind.JOIN else 0
        metadata_left -= change.member.metadata_bytes
        exceeds_metadata = metadata_left < 0 and bool(change.member.metadata)
        if exceeds_metadata or join_size > joins_left or size > bytes_left:
            continue
        joins_left, bytes_left = joins_left - join_size, bytes_left - size
        fitting.append(change)
    return fitting
