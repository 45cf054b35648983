"""The failure detector (SWIM with Lifeguard): periodic probes, indirect probes, and a local health score.

No I/O. It reports the members that failed this member's own probes to `on_failure`; in the product's
protocol no member is removed on the report of a single member.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from .gossip import Gossip
from .member_table import MemberTable
from .messages import Ack, Alive, Ping, Suspect
from .outbox import Outbox
from .plan import Mode, Settings
from .probe_relay import ProbeRelay
from .suspicions import Suspicion, SuspicionTable

PROBE_END_RATIO = 0.9  # of the period, so that a probe ends before the next one starts
LOWEST_INCARNATION = 0  # the lowest that a message can carry
MAX_HEALTH_PENALTY = 2  # added to the health score for the missing nacks of one failed probe


@dataclass
class Probe:
    """This member's probe of the current period."""

    sequence: int
    target: str
    indirect_at: float
    ends_at: float
    helpers_asked: int = 0  # -1 if there was no helper to ask
    nacks: int = 0


class FailureDetector:
    """Probes members and calls `on_failure(now, name, incarnation)` for each that it considers failed."""

    def __init__(
        self,
        member_table: MemberTable,
        suspicions: SuspicionTable,
        gossip: Gossip,
        outbox: Outbox,
        settings: Settings,
        rng: random.Random,
        now: float,
        on_failure: Callable[[float, str, int], None],
    ) -> None:
        self._member_table, self._suspicions = member_table, suspicions
        self._gossip, self._outbox, self._settings = gossip, outbox, settings
        self._rng, self._on_failure = rng, on_failure
        self.health_score = 0  # Lifeguard's local health: 0 is healthy
        self.probe: Probe | None = None
        self.next_probe_at = now
        self._probe_order: list[str] = []
        self._prefer_suspected_subjects = False
        self._last_sequence = 0
        self._pinged_all_at = -math.inf
        self._unanswered_pings: set[str] = set()  # members that have not answered since all were pinged
        self.relay = ProbeRelay(member_table, outbox, settings, self._next_sequence)

    def _next_sequence(self) -> int:
        self._last_sequence += 1
        return self._last_sequence

    # -- timers

    def wakeup_times(self) -> list[float]:
        """Return the times at which probes start, become indirect or end."""
        times = [self.next_probe_at, *self.relay.wakeup_times()]
        if self.probe is not None:
            times.append(self.probe.ends_at if self.probe.helpers_asked else self.probe.indirect_at)
        return times

    def run_timers(self, now: float) -> None:
        """Advance the current probe and the suspicions, and start the next probe when it is due."""
        self._advance_probe(now)
        for name, suspicion in list(self._suspicions.by_name.items()):
            if not suspicion.faulty:
                self._advance_suspicion(now, name, suspicion)
        if now >= self.next_probe_at:
            self._probe_next(now)

    def _advance_probe(self, now: float) -> None:
        probe = self.probe
        if probe is None:
            return
        if not probe.helpers_asked and now >= probe.indirect_at:
            self._send_indirect_probes(probe)
        elif probe.helpers_asked and now >= probe.ends_at:
            self._handle_probe_failure(now, probe)

    def _advance_suspicion(self, now: float, name: str, suspicion: Suspicion) -> None:
        if now >= self._suspicions.expires_at(name, suspicion):
            self._suspicions.expire(name, suspicion)
            # Otherwise the failure is reported once a probe of this member fails as well.
            if suspicion.confirmed_by_own_probe or not self._member_table.uses_consensus:
                self._on_failure(now, name, suspicion.incarnation)
        elif now >= self._suspicions.renotify_at(name, suspicion):
            # Observers notify the subject repeatedly, so that it refutes as soon as it receives again.
            suspicion.notified_at = now
            self._ping(name)

    def _probe_period_s(self) -> float:
        """Return the probe period, which is longer while this member itself is slow (Lifeguard)."""
        return self._settings.period_s * (1 + (self.health_score if self._member_table.uses_consensus else 0))

    def handle_pause(self, now: float, pause_s: float) -> None:
        """Recover from a pause of this process.

        Timers that are all late at once show that this process was paused, not its peers. Its probes are
        discarded, its suspicions restart, and its health score is set to the worst, so that it is slow to
        suspect others.
        """
        self.health_score = self._settings.max_health_score
        self.probe = None
        self.relay.clear()
        self._suspicions.restart_after_pause(now, pause_s)
        self.next_probe_at = now + self._probe_period_s()

    # -- own probes

    def _ping(self, name: str) -> int:
        sequence = self._next_sequence()
        updates = self._gossip.updates_for_message(self._suspicions.suspicion_update(name))
        self._outbox.send(name, Ping(sequence, updates))
        return sequence

    def _probe_next(self, now: float) -> None:
        self.next_probe_at = now + self._probe_period_s()
        if self.probe is not None:
            self._handle_probe_failure(now, self.probe)
        target = self._next_target(now)
        if target is None:
            return
        timeout_s = self._settings.probe_timeout_s * (1 + self.health_score)
        sequence = self._ping(target)
        self.probe = Probe(sequence, target, now + timeout_s, now + self._probe_period_s() * PROBE_END_RATIO)
        self._outbox.count("probes")

    def _next_target(self, now: float) -> str | None:
        self._probe_order = self._probe_order or self._member_table.other_names()
        if not self._probe_order:
            return None
        if self._unanswered_pings and now >= self._pinged_all_at + self._settings.probe_timeout_s:
            name = self._rng.choice(sorted(self._unanswered_pings))
            self._unanswered_pings.discard(name)
            return name
        # An observer probes a suspected subject first, so that its alert is based on its own link. Every
        # second probe follows the round: a subject that answers but stays suspected must not starve others.
        subjects = self._member_table.subjects()
        self._prefer_suspected_subjects = not self._prefer_suspected_subjects
        for name, suspicion in self._suspicions.by_name.items():
            if self._prefer_suspected_subjects and name in subjects and not suspicion.confirmed_by_own_probe:
                return name
        return self._draw_target()

    def _draw_target(self) -> str | None:
        """Draw the next member of the shuffled round, skipping those that were removed."""
        for _ in range(2):
            while self._probe_order:
                # An incremental Fisher-Yates shuffle.
                position = self._rng.randrange(len(self._probe_order))
                order = self._probe_order
                order[position], order[-1] = order[-1], order[position]
                name = order.pop()
                if self._member_table.is_known(name):
                    return name
            self._probe_order = self._member_table.other_names()
        return None

    def _send_indirect_probes(self, probe: Probe) -> None:
        # A suspected helper may not answer, which would worsen this member's health score.
        suspected = self._suspicions.by_name if self._member_table.uses_consensus else ()
        excluded = {probe.target, *suspected}
        for helper in self._member_table.random_names(
            self._rng, self._settings.indirect_probes, *sorted(excluded)
        ):
            self.relay.request(helper, probe.sequence, probe.target)
            probe.helpers_asked += 1
        if not probe.helpers_asked:
            probe.helpers_asked = -1
        self._outbox.count("indirect_probes")

    def _handle_probe_failure(self, now: float, probe: Probe) -> None:
        self.probe = None
        # Lifeguard: a failed probe worsens this member's health score by the number of helpers that sent no
        # nack in time. If all sent one, the target is unreachable and this member is healthy.
        missing_nacks = max(probe.helpers_asked, 0) - probe.nacks
        self._adjust_health(min(missing_nacks, MAX_HEALTH_PENALTY) if probe.helpers_asked > 0 else 1)
        self._outbox.count("probes_failed")
        # In a baseline without consensus only the address of some members is known.
        incarnation = max(self._member_table.incarnation(probe.target), LOWEST_INCARNATION)
        if self._settings.injected_fault == "no-suspicion" or self._settings.mode is Mode.HEARTBEAT:
            self._on_failure(now, probe.target, incarnation)
            return
        suspicion = self.suspect(now, probe.target, incarnation, self._member_table.local_member.name)
        if suspicion is not None:
            suspicion.confirmed_by_own_probe = True
            if suspicion.faulty:
                self._on_failure(now, probe.target, suspicion.incarnation)

    def _adjust_health(self, change: int) -> None:
        if self._member_table.uses_consensus:
            score = max(self.health_score + change, 0)
            self.health_score = min(score, self._settings.max_health_score)

    # -- messages

    def answer_ping(self, sender: str, sequence: int, address: str) -> None:
        """Answer a probe of this member."""
        updates = self._gossip.updates_for_message(self._suspicions.suspicion_update(sender))
        local = self._member_table.local_member
        self._outbox.send(sender, Ack(sequence, local.name, local.incarnation, updates), address)

    def handle_ack(self, ack: Ack) -> None:
        """Handle the answer to this member's own probe or to one relayed for another member."""
        if self.relay.handle_ack(ack):
            return
        probe = self.probe
        if probe is not None and ack.sequence == probe.sequence and ack.target == probe.target:
            self.probe = None
            self._adjust_health(-1)

    def handle_nack(self, sequence: int) -> None:
        """Record that a helper could not reach the target either."""
        if self.probe is not None and self.probe.sequence == sequence:
            self.probe.nacks += 1

    def message_received(self, now: float, name: str) -> None:
        """Record a message from a member, or an answer from it that another member relayed."""
        self._suspicions.message_received(now, name)
        self._unanswered_pings.discard(name)

    def unanswered_names(self) -> list[str]:
        """Return the members that have not answered since all were pinged, sorted."""
        return sorted(self._unanswered_pings)

    # -- suspicions

    def suspect(self, now: float, name: str, incarnation: int, suspected_by: str) -> Suspicion | None:
        """Record that `suspected_by`, which may be this member, could not reach a member."""
        if name == self._member_table.local_member.name:
            self.refute(incarnation)
            return None
        suspicion, is_new = self._suspicions.record(now, name, incarnation, suspected_by)
        if suspicion is not None and is_new:
            self._notify_observers(now, name, suspicion, suspected_by)
            self._ping_all(now, suspicion)
        return suspicion

    def _ping_all(self, now: float, suspicion: Suspicion) -> None:
        """Ping all members once a suspicion is confirmed, and probe next those that do not answer.

        Other members may have failed at the same time, and the regular probes may reach them late.
        """
        table = self._member_table
        if not table.uses_consensus or table.is_large or self._settings.injected_fault == "one-at-a-time":
            return
        min_interval_s = self._settings.min_suspicion_periods * self._settings.period_s
        if len(suspicion.suspected_by) < 2 or now < self._pinged_all_at + min_interval_s:
            return
        self._pinged_all_at = now
        self._unanswered_pings = set(table.other_names()) - self._suspicions.by_name.keys()
        for name in sorted(self._unanswered_pings):
            self._ping(name)

    def _notify_observers(self, now: float, name: str, suspicion: Suspicion, suspected_by: str) -> None:
        """Send a new suspicion to the subject's observers, which probe the subject at once.

        Confirmations then arrive within the time of one probe instead of several rounds of gossip. In a view
        that is not large, all members are notified, so that on all of them a proposal waits for the other
        suspected members.
        """
        table = self._member_table
        if not table.uses_consensus or table.view is None:
            return
        observers, local_name = table.observers(name), table.local_member.name
        if suspected_by == local_name:
            for recipient in observers if table.is_large else table.other_names():
                if recipient not in (local_name, name):
                    update = Suspect(name, suspicion.incarnation, suspected_by)
                    self._outbox.send(recipient, Ping(0, (update,)))
        elif local_name in observers and not suspicion.confirmed_by_own_probe and self.probe is None:
            self._prefer_suspected_subjects, self.next_probe_at = False, now

    def refute(self, incarnation: int) -> None:
        """Refute a suspicion of this member at `incarnation`, or of an earlier process of it."""
        local = self._member_table.local_member
        if self._settings.injected_fault == "no-incarnation" or incarnation < local.incarnation:
            return
        local = self._member_table.local_member = replace(local, incarnation=incarnation + 1)
        self._adjust_health(1)  # Lifeguard: a suspected member was slow to answer
        self._gossip.disseminate(Alive(local.name, local.incarnation))
        self._outbox.log("refuted", incarnation=local.incarnation)
        self._outbox.count("refutations")

    # -- a new view

    def restart_probe_round(self) -> None:
        """Discard the current round of probes, so that the next is drawn from the installed view."""
        self._probe_order = []
        self._unanswered_pings.clear()

    def handle_removal(self) -> None:
        """Discard the state that belongs to a view from which this member was removed."""
        self._suspicions.by_name.clear()
        self.probe = None
