"""The edge detector (SWIM with Lifeguard): one probe a period, others asked to probe on a miss, local health.

Pure. It only forms this member's opinion of its links, and says it to `blame`; nobody is removed on it alone.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import islice

from .gossip import Gossip
from .member_table import MemberTable
from .messages import Ack, Alive, Nack, Ping, PingRequest, Suspect
from .outbox import Outbox
from .plan import Mode, Settings
from .suspicions import Suspicion, SuspicionTable

MAX_RELAYED_PROBES = 1024  # probes under way for others; one more is left to its asker's other helpers


@dataclass
class Probe:
    sequence: int
    target: str
    sent_at: float
    indirect_at: float
    ends_at: float
    helpers_asked: int = 0
    nacks: int = 0


@dataclass
class RelayedProbe:
    """A probe done for another member."""

    requester: str
    requester_sequence: int
    target: str
    ends_at: float


class FailureDetector:
    """`blame(now, name, incarnation)` hears whom this member holds to be gone."""

    def __init__(
        self,
        roster: MemberTable,
        suspicions: SuspicionTable,
        gossip: Gossip,
        out: Outbox,
        settings: Settings,
        chance: random.Random,
        now: float,
        blame: Callable[[float, str, int], None],
    ) -> None:
        self._member_table, self._suspicions, self._gossip, self._outbox = roster, suspicions, gossip, out
        self._settings, self._random, self._on_failure = settings, chance, blame
        self.health_score = 0  # Lifeguard's local health: 0 is well
        self.probe: Probe | None = None
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.next_probe_at = now
        self._probe_order: list[str] = []
        self._prefer_suspected_subjects = False
        self._last_sequence = 0
        self._ping_all_at = -math.inf  # when all were pinged at once
        self._unanswered_pings: set[str] = set()  # since then

    # -- timers

    def wakeup_times(self) -> list[float]:
        times = [self.next_probe_at, *self.relay_deadlines()]
        if self.probe is not None:
            times.append(self.probe.indirect_at if not self.probe.helpers_asked else self.probe.ends_at)
        return times

    def relay_deadlines(self) -> list[float]:
        """When the first probe for another ends, if there is any: all last as long, so they end in order."""
        return [one.ends_at for one in islice(self.relayed_probes.values(), 1)]

    def expire_relays(self, now: float) -> None:
        while any(now >= ends_at for ends_at in self.relay_deadlines()):
            relay = self.relayed_probes.pop(next(iter(self.relayed_probes)))
            self._outbox.send(relay.requester, Nack(relay.requester_sequence))

    def run_timers(self, now: float) -> None:
        probe = self.probe
        if probe is not None:
            if not probe.helpers_asked and now >= probe.indirect_at:
                self._send_indirect_probes(probe)
            elif probe.helpers_asked and now >= probe.ends_at:
                self._handle_probe_failure(now, probe)
        for name, one in list(self._suspicions.by_name.items()):
            if not one.faulty and now >= self._suspicions.expires_at(name, one):
                self._suspicions.expire(name, one)
                if one.confirmed_by_own_probe or not self._member_table.uses_consensus:
                    self._on_failure(now, name, one.incarnation)  # else when its own probe fails: no hearsay
            elif not one.faulty and now >= self._suspicions.renotify_at(name, one):
                # Its observers go on telling the suspected, so that one who hears again refutes in time.
                one.notified_at = now
                self._ping(name)
        if now >= self.next_probe_at:
            self._probe_next(now)

    def _probe_period_s(self) -> float:
        """Lifeguard: a member that is slow itself waits longer before it blames others."""
        return self._settings.period_s * (1 + (self.health_score if self._member_table.uses_consensus else 0))

    def handle_pause(self, now: float, late: float) -> None:
        """Timers came late all at once: this member was stopped or starved, not its peers. What it began
        before is void, its suspicions start again, and it waits as long as it may before blaming anyone."""
        self.health_score = self._settings.max_health_score
        self.probe = None
        self.relayed_probes.clear()
        self._suspicions.restart_after_pause(now, late)
        self.next_probe_at = now + self._probe_period_s()

    # -- its own probes

    def _ping(self, name: str) -> int:
        self._last_sequence += 1
        self._outbox.send(
            name,
            Ping(
                self._last_sequence, self._gossip.updates_for_message(self._suspicions.suspicion_update(name))
            ),
        )
        return self._last_sequence

    def _probe_next(self, now: float) -> None:
        self.next_probe_at = now + self._probe_period_s()
        if self.probe is not None:
            self._handle_probe_failure(now, self.probe)
        target = self._next_target(now)
        if target is None:
            return
        timeout = self._settings.probe_timeout_s * (1 + self.health_score)
        seq = self._ping(target)
        self.probe = Probe(seq, target, now, now + timeout, now + self._probe_period_s() * 0.9)
        self._outbox.count("probes")

    def _next_target(self, now: float) -> str | None:
        # Past the last of the order it is shuffled anew; who is not in any more is passed over.
        self._probe_order = self._probe_order or self._member_table.other_names()
        if not self._probe_order:
            return None
        # An observer whose subject is suspected probes it first, so that its alert stands on its own link;
        # but every other probe goes round: one who answers and is still suspected must not starve the rest.
        if self._unanswered_pings and now >= self._ping_all_at + self._settings.probe_timeout_s:
            name = self._random.choice(sorted(self._unanswered_pings))
            self._unanswered_pings.discard(name)
            return name
        mine = self._member_table.subjects()
        self._prefer_suspected_subjects = not self._prefer_suspected_subjects
        for name, one in self._suspicions.by_name.items():
            if self._prefer_suspected_subjects and name in mine and not one.confirmed_by_own_probe:
                return name
        return self._draw_target()

    def _draw_target(self) -> str | None:
        """The next of the shuffled round."""
        for _ in range(2):
            while self._probe_order:
                place = self._random.randrange(
                    len(self._probe_order)
                )  # as good as a shuffle, and done bit by bit
                self._probe_order[place], self._probe_order[-1] = (
                    self._probe_order[-1],
                    self._probe_order[place],
                )
                name = self._probe_order.pop()
                if self._member_table.is_known(name):
                    return name
            self._probe_order = self._member_table.other_names()
        return None

    def _send_indirect_probes(self, probe: Probe) -> None:
        address = self._member_table.address(probe.target)
        # Who is suspected is no help: its silence would pass for this member's own slowness.
        but = {probe.target, *(self._suspicions.by_name if self._member_table.uses_consensus else ())}
        for helper in self._member_table.random_names(
            self._random, self._settings.indirect_probes, *sorted(but)
        ):
            self._outbox.send(helper, PingRequest(probe.sequence, probe.target, address))
            probe.helpers_asked += 1
        if not probe.helpers_asked:
            probe.helpers_asked = -1  # nobody to ask: the probe ends at its end
        self._outbox.count("indirect_probes")

    def _handle_probe_failure(self, now: float, probe: Probe) -> None:
        self.probe = None
        # Lifeguard: a failed probe is this member's own fault as far as helpers did not say in time that
        # theirs failed too; with all their nacks the target is gone, and this member is as well as ever.
        missing = max(probe.helpers_asked, 0) - probe.nacks
        self._adjust_health(min(missing, 2) if probe.helpers_asked > 0 else 1)
        self._outbox.count("probes_failed")
        known = self._member_table.incarnation(probe.target)
        if self._settings.injected_fault == "no-suspicion" or self._settings.mode is Mode.HEARTBEAT:
            return self._on_failure(now, probe.target, known)
        one = self.suspect(now, probe.target, known, self._member_table.local_member.name)
        if one is not None:
            one.confirmed_by_own_probe = True
            if one.faulty:
                self._on_failure(now, probe.target, one.incarnation)

    def _adjust_health(self, change: int) -> None:
        if self._member_table.uses_consensus:
            self.health_score = min(max(self.health_score + change, 0), self._settings.max_health_score)

    # -- what comes in

    def answer_ping(self, sender: str, seq: int, address: str) -> None:
        """A probe of this member."""
        news = self._gossip.updates_for_message(self._suspicions.suspicion_update(sender))
        self._outbox.send(
            sender,
            Ack(seq, self._member_table.local_member.name, self._member_table.local_member.incarnation, news),
            address,
        )

    def handle_ack(self, ack: Ack) -> None:
        """An answer to a probe, of its own or done for another."""
        relayed = self.relayed_probes.pop(ack.sequence, None)
        if relayed is not None:
            return self._outbox.send(
                relayed.requester, Ack(relayed.requester_sequence, ack.target, ack.incarnation, ())
            )
        probe = self.probe
        if probe is not None and ack.sequence == probe.sequence and ack.target == probe.target:
            self.probe = None
            self._adjust_health(-1)

    def handle_nack(self, seq: int) -> None:
        if self.probe is not None and self.probe.sequence == seq:
            self.probe.nacks += 1

    def relay_probe(self, now: float, asker: str, request: PingRequest) -> None:
        """Probe another for `asker`."""
        if len(self.relayed_probes) >= MAX_RELAYED_PROBES:
            return self._outbox.count("relays_refused")
        self._last_sequence += 1
        if not self._member_table.address(request.target):
            self._member_table.remember_address(request.target, request.address)
        ends_at = now + self._settings.probe_timeout_s * 0.8
        self.relayed_probes[self._last_sequence] = RelayedProbe(
            asker, request.sequence, request.target, ends_at
        )
        self._outbox.send(request.target, Ping(self._last_sequence, ()))

    def message_received(self, now: float, name: str) -> None:
        """A message of this member came, or word of its answer."""
        self._suspicions.message_received(now, name)
        self._unanswered_pings.discard(name)

    def unanswered_names(self) -> list[str]:
        """Who was pinged with all the others, and said nothing since."""
        return sorted(self._unanswered_pings)

    # -- opinions

    def suspect(self, now: float, name: str, incarnation: int, by: str) -> Suspicion | None:
        """`by`, perhaps this member, could not reach it."""
        if name == self._member_table.local_member.name:
            self.refute(incarnation)
            return None
        one, fresh = self._suspicions.record(now, name, incarnation, by)
        if one is not None and fresh:
            self._notify_observers(now, name, one, by)
            self._ping_all(now, one)
        return one

    def _ping_all(self, now: float, one: Suspicion) -> None:
        """Where one is gone others may have gone with it, and their turns of probes may be long in coming:
        once a suspicion is confirmed all others are pinged, and who does not answer is probed next."""
        rest = self._settings.min_suspicion_periods * self._settings.period_s
        if (
            not self._member_table.uses_consensus
            or self._member_table.is_large
            or self._settings.injected_fault == "one-at-a-time"
        ):
            return
        if len(one.suspected_by) < 2 or now < self._ping_all_at + rest:
            return
        self._ping_all_at = now
        self._unanswered_pings = set(self._member_table.other_names()) - self._suspicions.by_name.keys()
        for name in sorted(self._unanswered_pings):
            self._ping(name)

    def _notify_observers(self, now: float, name: str, one: Suspicion, by: str) -> None:
        """A new suspicion goes straight to the subject's observers, who probe it at once: whether others
        confirm it is known within a probe, not within the rounds that gossip takes. In a view that is not
        large all are told: a cut waits for whoever else is suspected, on all members alike."""
        if not self._member_table.uses_consensus or self._member_table.view is None:
            return
        watch, me = self._member_table.observers(name), self._member_table.local_member.name
        if by == me:
            for other in watch if self._member_table.is_large else self._member_table.other_names():
                if other not in (me, name):
                    self._outbox.send(other, Ping(0, (Suspect(name, one.incarnation, by),)))
        elif me in watch and not one.confirmed_by_own_probe and self.probe is None:
            self._prefer_suspected_subjects, self.next_probe_at = False, now

    def refute(self, incarnation: int) -> None:
        """This member is doubted at that incarnation, or an older self of it was known by it."""
        me = self._member_table.local_member
        if self._settings.injected_fault == "no-incarnation" or incarnation < me.incarnation:
            return
        me = self._member_table.local_member = replace(me, incarnation=incarnation + 1)
        self._adjust_health(1)  # Lifeguard: being suspected says this member was slow to answer
        self._gossip.disseminate(Alive(me.name, me.incarnation))
        self._outbox.log("refuted", incarnation=me.incarnation)
        self._outbox.count("refutations")

    # -- a new view

    def restart_probe_round(self) -> None:
        """The view changed: the round of probes is drawn anew from it."""
        self._probe_order = []
        self._unanswered_pings.clear()

    def handle_removal(self) -> None:
        self._suspicions.by_name.clear()
        self.probe = None
