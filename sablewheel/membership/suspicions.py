"""Suspicions as in SWIM and Lifeguard: the suspected members, which members suspect them, and until when.

No I/O. A suspicion starts with its maximum duration, which each independent confirmation shortens. An expired
one is only this member's own judgement. A higher incarnation of its subject refutes a suspicion.
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
    """A suspicion of one incarnation of a member."""

    incarnation: int
    started_at: float
    suspected_by: set[str] = field(default_factory=set)
    notified_at: float = 0.0  # when the subject was last notified
    confirmed_by_own_probe: bool = False  # this member's probe failed since it started (for its alert)
    faulty: bool = False  # it expired on this member


class SuspicionTable:
    """Holds the suspicions by the name of the suspected member, which is never this one."""

    def __init__(self, member_table: MemberTable, gossip: Gossip, outbox: Outbox, settings: Settings) -> None:
        self._member_table, self._gossip = member_table, gossip
        self._outbox, self._settings = outbox, settings
        self.by_name: dict[str, Suspicion] = {}
        self._resumed_at = self._grace_ends_at = -math.inf  # after the last pause of this process
        self._silent_since_pause: set[str] = set()  # members that may still be paused too

    # -- changes

    def record(
        self, now: float, name: str, incarnation: int, suspected_by: str
    ) -> tuple[Suspicion | None, bool]:
        """Record that `suspected_by` could not reach a member.

        Returns:
            The suspicion, None if the incarnation is outdated or the member unknown; and whether it is a new
            confirmation.
        """
        if not self._member_table.is_known(name) or incarnation < self._member_table.incarnation(name):
            return None, False
        suspicion = self.by_name.get(name)
        if suspicion is None or suspicion.incarnation < incarnation:
            suspicion = self.by_name[name] = Suspicion(incarnation, now)
            self._outbox.log("suspect", member=name, incarnation=incarnation, by=suspected_by)
            self._outbox.count("suspicions")
        confirmations = len(suspicion.suspected_by)
        if suspected_by in suspicion.suspected_by or confirmations > self._settings.confirmations:
            return suspicion, False
        suspicion.suspected_by.add(suspected_by)
        # Relayed with the name of the member whose probe failed, so that a relay is no new confirmation.
        self._gossip.disseminate(Suspect(name, incarnation, suspected_by))
        return suspicion, True

    def clear_refuted(self, name: str, incarnation: int) -> bool:
        """Discard a suspicion of a lower incarnation than the given one; return whether there was one."""
        suspicion = self.by_name.get(name)
        if suspicion is None:
            return False
        if suspicion.incarnation >= incarnation and self._settings.injected_fault != "no-incarnation":
            return False
        del self.by_name[name]
        self._silent_since_pause.discard(name)  # the refutation is newer than the pause
        self._outbox.log("suspicion refuted", member=name, incarnation=incarnation)
        return True

    def expire(self, name: str, suspicion: Suspicion) -> None:
        """Mark a suspected member as faulty on this member."""
        suspicion.faulty = True
        reporters = ",".join(sorted(suspicion.suspected_by))
        self._outbox.log("suspicion timed out", member=name, incarnation=suspicion.incarnation, by=reporters)

    def restart_after_pause(self, now: float, pause_s: float) -> None:
        """Restart all suspicions after this process was paused.

        A suspected member may have answered during the pause, or all members may have been paused together
        and resume one by one. A member that sends no message after the pause is suspected for at least the
        maximum duration or a quarter of the pause, up to twice the maximum duration.
        """
        for suspicion in self.by_name.values():
            suspicion.started_at = max(suspicion.started_at, now)
            suspicion.confirmed_by_own_probe = suspicion.faulty = False
        if self._settings.injected_fault != "no-grace":
            max_duration_s = self._min_duration_s() * self._settings.max_suspicion_ratio
            self._grace_ends_at = now + min(max(max_duration_s, pause_s / 4), 2 * max_duration_s)
            self._resumed_at, self._silent_since_pause = now, set(self._member_table.other_names())

    def message_received(self, now: float, name: str) -> None:
        """Record a message from a member, or an answer from it that another member relayed."""
        # Messages that were queued in the socket during a pause do not show that the sender is alive now.
        if self._silent_since_pause and now > self._resumed_at + self._settings.probe_timeout_s:
            self._silent_since_pause.discard(name)

    def retain_members(self, view: View) -> None:
        """Discard suspicions of removed members and of earlier incarnations, which no member would refute."""
        self.by_name = {
            name: suspicion
            for name, suspicion in self.by_name.items()
            if name in view and suspicion.incarnation >= self._member_table.incarnation(name)
        }
        self._silent_since_pause = {name for name in self._silent_since_pause if name in view}

    # -- timers

    def expires_at(self, name: str, suspicion: Suspicion) -> float:
        """Return when a suspicion expires, shorter with each independent confirmation (Lifeguard)."""
        if not self._member_table.uses_consensus or self._settings.injected_fault == "one-observer":
            # Without observers there are no confirmations.
            return suspicion.started_at + self._min_duration_s()
        expires_at = suspicion.started_at + self._duration_s(name, suspicion)
        # After a pause of the whole fleet, the first members to resume would confirm each other's suspicions
        # of those still paused.
        return max(expires_at, self._grace_ends_at if name in self._silent_since_pause else -math.inf)

    def _min_duration_s(self) -> float:
        return self._settings.min_suspicion_periods * self._settings.period_s

    def _duration_s(self, name: str, suspicion: Suspicion) -> float:
        # Unlike in SWIM there is no factor log n for gossip: a suspicion is sent to the observers directly.
        min_duration_s = self._min_duration_s()
        max_duration_s = min_duration_s * self._settings.max_suspicion_ratio
        member_count = max(len(self._member_table.known_names()), 1)
        expected_confirmations = min(self._settings.confirmations, member_count - 2)
        if self._settings.injected_fault != "one-at-a-time":
            # The observers are asked to confirm it, and those suspected as well cannot.
            observers = self._member_table.observers(name)
            available_observers = sum(observer not in self.by_name for observer in observers)
            expected_confirmations = min(expected_confirmations, max(available_observers - 1, 1))
        if expected_confirmations < 1:
            return min_duration_s  # no other member can confirm it
        confirmations = min(max(len(suspicion.suspected_by) - 1, 0), expected_confirmations)
        shrink_ratio = math.log(confirmations + 1) / math.log(expected_confirmations + 1)
        return max(min_duration_s, max_duration_s - (max_duration_s - min_duration_s) * shrink_ratio)

    def renotify_at(self, name: str, suspicion: Suspicion) -> float:
        """Return when this member notifies the subject again; infinity if it is not an observer."""
        if not self._member_table.uses_consensus or name not in self._member_table.subjects():
            return math.inf
        return max(suspicion.started_at, suspicion.notified_at) + self._settings.period_s / 2

    def wakeup_times(self) -> list[float]:
        """Return the times at which suspicions expire or subjects are notified again."""
        pending = [(name, suspicion) for name, suspicion in self.by_name.items() if not suspicion.faulty]
        return [
            wakeup_at
            for name, suspicion in pending
            for wakeup_at in (self.expires_at(name, suspicion), self.renotify_at(name, suspicion))
        ]

    # -- queries

    def suspicion_update(self, name: str) -> GossipUpdate | None:
        """Return the update that notifies a suspected member (Lifeguard's buddy system); None for others."""
        suspicion = self.by_name.get(name)
        if suspicion is None or not self._member_table.uses_consensus:
            return None
        return Suspect(name, suspicion.incarnation, self._member_table.local_member.name)

    def names_silent_since_pause(self) -> list[str]:
        """Return the members that sent no message since this process was paused, sorted."""
        return sorted(self._silent_since_pause)

    def failed_names(self) -> set[str]:
        """Return the members whose suspicion expired and that this member's own probes did not reach."""
        return {
            name
            for name, suspicion in self.by_name.items()
            if suspicion.faulty and suspicion.confirmed_by_own_probe
        }

    def settled_at(self, now: float, excluded: set[str]) -> float | None:
        """Return when it should be known of all other suspected members whether they failed.

        A healthy member refutes within one or two probes, so a member that does not may have failed. None if
        no other member is suspected.
        """
        times = (
            self._settles_at(now, name, suspicion)
            for name, suspicion in self.by_name.items()
            if name not in excluded
        )
        return max(times, default=None)

    def _settles_at(self, now: float, name: str, suspicion: Suspicion) -> float:
        if suspicion.faulty:
            return now + self._settings.max_settle_s  # the alerts of its observers should follow
        if len(suspicion.suspected_by) > 1:
            return self.expires_at(name, suspicion) + self._settings.period_s
        return suspicion.started_at + self._settings.max_settle_s
