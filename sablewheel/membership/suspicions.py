"""Suspicions as in SWIM and Lifeguard: who is suspected, by whose failed probes, and until when.

Pure. A suspicion is long at first and shrinks with each independent confirmation. One that expires is this
member's opinion only; a higher incarnation of its subject withdraws it.
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
    notified_at: float = 0.0  # when the subject was last told
    confirmed_by_own_probe: bool = False  # an own probe failed since it started (for an observer's alert)
    faulty: bool = False  # expired here


class SuspicionTable:
    """Suspicions by the name of the suspected member, which is never this one."""

    def __init__(self, member_table: MemberTable, gossip: Gossip, outbox: Outbox, settings: Settings) -> None:
        self._member_table, self._gossip = member_table, gossip
        self._outbox, self._settings = outbox, settings
        self.by_name: dict[str, Suspicion] = {}
        self._resumed_at = self._grace_ends_at = -math.inf  # of this process after it was paused
        self._unheard_since_pause: set[str] = set()  # members that may be in the same pause

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
        # Relayed under the name of the member whose probe failed, so that hearsay is no confirmation.
        self._gossip.disseminate(Suspect(name, incarnation, suspected_by))
        return suspicion, True

    def clear_refuted(self, name: str, incarnation: int) -> bool:
        """Drop a suspicion of a lower incarnation than the given one; return whether there was one."""
        suspicion = self.by_name.get(name)
        if suspicion is None:
            return False
        if suspicion.incarnation >= incarnation and self._settings.injected_fault != "no-incarnation":
            return False
        del self.by_name[name]
        self._unheard_since_pause.discard(name)  # the refutation is newer than the pause
        self._outbox.log("suspicion refuted", member=name, incarnation=incarnation)
        return True

    def expire(self, name: str, suspicion: Suspicion) -> None:
        """Mark a member as faulty in this member's opinion."""
        suspicion.faulty = True
        reporters = ",".join(sorted(suspicion.suspected_by))
        self._outbox.log("suspicion timed out", member=name, incarnation=suspicion.incarnation, by=reporters)

    def restart_after_pause(self, now: float, pause_s: float) -> None:
        """Restart all suspicions after this process was paused.

        A suspected member may have answered long ago, or all members may have been paused together and
        resume one by one. A member not heard from since is suspected for at least the longest duration or a
        quarter of the pause, up to twice the longest duration.
        """
        for suspicion in self.by_name.values():
            suspicion.started_at = max(suspicion.started_at, now)
            suspicion.confirmed_by_own_probe = suspicion.faulty = False
        if self._settings.injected_fault != "no-grace":
            longest = self._shortest_s() * self._settings.max_suspicion_ratio
            self._grace_ends_at = now + min(max(longest, pause_s / 4), 2 * longest)
            self._resumed_at, self._unheard_since_pause = now, set(self._member_table.other_names())

    def message_received(self, now: float, name: str) -> None:
        """Record a message of a member, or news of its answer to another."""
        # Messages that were queued in the socket during a pause do not show that the sender is alive now.
        if self._unheard_since_pause and now > self._resumed_at + self._settings.probe_timeout_s:
            self._unheard_since_pause.discard(name)

    def retain_members(self, view: View) -> None:
        """Drop suspicions of removed members and of earlier incarnations, which nobody would refute."""
        self.by_name = {
            name: suspicion
            for name, suspicion in self.by_name.items()
            if name in view and suspicion.incarnation >= self._member_table.incarnation(name)
        }
        self._unheard_since_pause = {name for name in self._unheard_since_pause if name in view}

    # -- timers

    def expires_at(self, name: str, suspicion: Suspicion) -> float:
        """Return when a suspicion expires, shorter with each independent confirmation (Lifeguard)."""
        if not self._member_table.uses_consensus or self._settings.injected_fault == "one-observer":
            return suspicion.started_at + self._shortest_s()  # without observers there are no confirmations
        expires_at = suspicion.started_at + self._duration(name, suspicion)
        # After a pause of the whole fleet the first to resume would confirm each other's suspicions of the
        # rest.
        return max(expires_at, self._grace_ends_at if name in self._unheard_since_pause else -math.inf)

    def _shortest_s(self) -> float:
        return self._settings.min_suspicion_periods * self._settings.period_s

    def _duration(self, name: str, suspicion: Suspicion) -> float:
        # Unlike in SWIM there is no factor log n for gossip: a suspicion is sent to the observers directly.
        shortest = self._shortest_s()
        longest = shortest * self._settings.max_suspicion_ratio
        member_count = max(len(self._member_table.known_names()), 1)
        expected = min(self._settings.confirmations, member_count - 2)
        if self._settings.injected_fault != "one-at-a-time":
            # The observers are asked to confirm it, of which those suspected as well cannot.
            observers = self._member_table.observers(name)
            able = sum(observer not in self.by_name for observer in observers)
            expected = min(expected, max(able - 1, 1))
        if expected < 1:
            return shortest  # there is nobody else to confirm it
        confirmations = min(max(len(suspicion.suspected_by) - 1, 0), expected)
        shrink_ratio = math.log(confirmations + 1) / math.log(expected + 1)
        return max(shortest, longest - (longest - shortest) * shrink_ratio)

    def renotify_at(self, name: str, suspicion: Suspicion) -> float:
        """Return when this member, if it is an observer, tells the subject of the suspicion again."""
        if not self._member_table.uses_consensus or name not in self._member_table.subjects():
            return math.inf
        return max(suspicion.started_at, suspicion.notified_at) + self._settings.period_s / 2

    def wakeup_times(self) -> list[float]:
        """Return when suspicions expire or subjects are told again."""
        pending = [(name, suspicion) for name, suspicion in self.by_name.items() if not suspicion.faulty]
        return [
            wakeup_at
            for name, suspicion in pending
            for wakeup_at in (self.expires_at(name, suspicion), self.renotify_at(name, suspicion))
        ]

    # -- queries

    def suspicion_update(self, name: str) -> GossipUpdate | None:
        """Return the update that tells a suspected member so (the buddy system of Lifeguard)."""
        suspicion = self.by_name.get(name)
        if suspicion is None or not self._member_table.uses_consensus:
            return None
        return Suspect(name, suspicion.incarnation, self._member_table.local_member.name)

    def names_unheard_since_pause(self) -> list[str]:
        """Return the members without a message since this process was paused, sorted."""
        return sorted(self._unheard_since_pause)

    def failed_names(self) -> set[str]:
        """Return the members whose suspicion expired and whom this member's own probes did not reach."""
        return {
            name
            for name, suspicion in self.by_name.items()
            if suspicion.faulty and suspicion.confirmed_by_own_probe
        }

    def settled_at(self, now: float, excluded: set[str]) -> float | None:
        """Return when it should be known of all other suspected members whether they failed.

        A healthy member refutes within a probe or two, so one that does not may have failed. None if nobody
        but those excluded is suspected.
        """
        times = (
            self._settles_at(now, name, suspicion)
            for name, suspicion in self.by_name.items()
            if name not in excluded
        )
        return max(times, default=None)

    def _settles_at(self, now: float, name: str, suspicion: Suspicion) -> float:
        if suspicion.faulty:
            return now + self._settings.max_settle_s  # its observers' alerts are due
        if len(suspicion.suspected_by) > 1:
            return self.expires_at(name, suspicion) + self._settings.period_s
        return suspicion.started_at + self._settings.max_settle_s
