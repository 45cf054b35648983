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
from .member_table import Roster
from .messages import Ack, Alive, Nack, Ping, PingReq, Suspect
from .outbox import Outbox
from .plan import Mode, Settings
from .suspicions import Suspicion, Suspicions

RELAYED_MOST = 1024  # probes under way for others; one more is left to its asker's other helpers


@dataclass
class Probe:
    seq: int
    target: str
    sent: float
    indirect_at: float
    ends_at: float
    asked: int = 0
    nacks: int = 0


@dataclass
class Relayed:
    """A probe done for another member."""

    asker: str
    seq: int
    target: str
    ends_at: float


class Detector:
    """`blame(now, name, incarnation)` hears whom this member holds to be gone."""

    def __init__(
        self,
        roster: Roster,
        suspicions: Suspicions,
        gossip: Gossip,
        out: Outbox,
        settings: Settings,
        chance: random.Random,
        now: float,
        blame: Callable[[float, str, int], None],
    ) -> None:
        self._roster, self._suspicions, self._gossip, self._out = roster, suspicions, gossip, out
        self._settings, self._chance, self._blame = settings, chance, blame
        self.health = 0  # Lifeguard's local health: 0 is well
        self.probe: Probe | None = None
        self.relayed: dict[int, Relayed] = {}
        self.next_probe = now
        self._order: list[str] = []
        self._favoured = False
        self._seq = 0
        self._swept_at = -math.inf  # when all were pinged at once
        self._unanswered: set[str] = set()  # since then

    # -- timers

    def wakes(self) -> list[float]:
        times = [self.next_probe, *self.relays_end()]
        if self.probe is not None:
            times.append(self.probe.indirect_at if not self.probe.asked else self.probe.ends_at)
        return times

    def relays_end(self) -> list[float]:
        """When the first probe for another ends, if there is any: all last as long, so they end in order."""
        return [one.ends_at for one in islice(self.relayed.values(), 1)]

    def end_relays(self, now: float) -> None:
        while any(now >= ends_at for ends_at in self.relays_end()):
            relay = self.relayed.pop(next(iter(self.relayed)))
            self._out.send(relay.asker, Nack(relay.seq))

    def ring(self, now: float) -> None:
        probe = self.probe
        if probe is not None:
            if not probe.asked and now >= probe.indirect_at:
                self._ask_others(probe)
            elif probe.asked and now >= probe.ends_at:
                self._failed(now, probe)
        for name, one in list(self._suspicions.held.items()):
            if not one.faulty and now >= self._suspicions.ends(name, one):
                self._suspicions.ran_out(name, one)
                if one.probed_since or not self._roster.ours:
                    self._blame(now, name, one.incarnation)  # else when its own probe fails: no hearsay
            elif not one.faulty and now >= self._suspicions.tell_at(name, one):
                # Its observers go on telling the suspected, so that one who hears again refutes in time.
                one.asked = now
                self._ping(name)
        if now >= self.next_probe:
            self._probe_next(now)

    def _period(self) -> float:
        """Lifeguard: a member that is slow itself waits longer before it blames others."""
        return self._settings.period * (1 + (self.health if self._roster.ours else 0))

    def paused(self, now: float, late: float) -> None:
        """Timers came late all at once: this member was stopped or starved, not its peers. What it began
        before is void, its suspicions start again, and it waits as long as it may before blaming anyone."""
        self.health = self._settings.health_most
        self.probe = None
        self.relayed.clear()
        self._suspicions.begin_again(now, late)
        self.next_probe = now + self._period()

    # -- its own probes

    def _ping(self, name: str) -> int:
        self._seq += 1
        self._out.send(name, Ping(self._seq, self._gossip.load(self._suspicions.doubt(name))))
        return self._seq

    def _probe_next(self, now: float) -> None:
        self.next_probe = now + self._period()
        if self.probe is not None:
            self._failed(now, self.probe)
        target = self._next_target(now)
        if target is None:
            return
        timeout = self._settings.probe_timeout * (1 + self.health)
        seq = self._ping(target)
        self.probe = Probe(seq, target, now, now + timeout, now + self._period() * 0.9)
        self._out.count("probes")

    def _next_target(self, now: float) -> str | None:
        # Past the last of the order it is shuffled anew; who is not in any more is passed over.
        self._order = self._order or self._roster.others()
        if not self._order:
            return None
        # An observer whose subject is suspected probes it first, so that its alert stands on its own link;
        # but every other probe goes round: one who answers and is still suspected must not starve the rest.
        if self._unanswered and now >= self._swept_at + self._settings.probe_timeout:
            name = self._chance.choice(sorted(self._unanswered))
            self._unanswered.discard(name)
            return name
        mine = self._roster.subjects()
        self._favoured = not self._favoured
        for name, one in self._suspicions.held.items():
            if self._favoured and name in mine and not one.probed_since:
                return name
        return self._draw()

    def _draw(self) -> str | None:
        """The next of the shuffled round."""
        for _ in range(2):
            while self._order:
                place = self._chance.randrange(len(self._order))  # as good as a shuffle, and done bit by bit
                self._order[place], self._order[-1] = self._order[-1], self._order[place]
                name = self._order.pop()
                if self._roster.is_known(name):
                    return name
            self._order = self._roster.others()
        return None

    def _ask_others(self, probe: Probe) -> None:
        address = self._roster.address(probe.target)
        # Who is suspected is no help: its silence would pass for this member's own slowness.
        but = {probe.target, *(self._suspicions.held if self._roster.ours else ())}
        for helper in self._roster.some(self._chance, self._settings.indirect, *sorted(but)):
            self._out.send(helper, PingReq(probe.seq, probe.target, address))
            probe.asked += 1
        if not probe.asked:
            probe.asked = -1  # nobody to ask: the probe ends at its end
        self._out.count("indirect_probes")

    def _failed(self, now: float, probe: Probe) -> None:
        self.probe = None
        # Lifeguard: a failed probe is this member's own fault as far as helpers did not say in time that
        # theirs failed too; with all their nacks the target is gone, and this member is as well as ever.
        missing = max(probe.asked, 0) - probe.nacks
        self._fare(min(missing, 2) if probe.asked > 0 else 1)
        self._out.count("probes_failed")
        known = self._roster.incarnation(probe.target)
        if self._settings.broken == "no-suspicion" or self._settings.mode is Mode.HEARTBEAT:
            return self._blame(now, probe.target, known)
        one = self.suspect(now, probe.target, known, self._roster.me.name)
        if one is not None:
            one.probed_since = True
            if one.faulty:
                self._blame(now, probe.target, one.incarnation)

    def _fare(self, change: int) -> None:
        if self._roster.ours:
            self.health = min(max(self.health + change, 0), self._settings.health_most)

    # -- what comes in

    def answer(self, sender: str, seq: int, address: str) -> None:
        """A probe of this member."""
        news = self._gossip.load(self._suspicions.doubt(sender))
        self._out.send(sender, Ack(seq, self._roster.me.name, self._roster.me.incarnation, news), address)

    def acked(self, ack: Ack) -> None:
        """An answer to a probe, of its own or done for another."""
        relayed = self.relayed.pop(ack.seq, None)
        if relayed is not None:
            return self._out.send(relayed.asker, Ack(relayed.seq, ack.of, ack.incarnation, ()))
        probe = self.probe
        if probe is not None and ack.seq == probe.seq and ack.of == probe.target:
            self.probe = None
            self._fare(-1)

    def nacked(self, seq: int) -> None:
        if self.probe is not None and self.probe.seq == seq:
            self.probe.nacks += 1

    def relay(self, now: float, asker: str, request: PingReq) -> None:
        """Probe another for `asker`."""
        if len(self.relayed) >= RELAYED_MOST:
            return self._out.count("relays_refused")
        self._seq += 1
        if not self._roster.address(request.target):
            self._roster.remember(request.target, request.address)
        ends_at = now + self._settings.probe_timeout * 0.8
        self.relayed[self._seq] = Relayed(asker, request.seq, request.target, ends_at)
        self._out.send(request.target, Ping(self._seq, ()))

    def heard(self, now: float, name: str) -> None:
        """A message of this member came, or word of its answer."""
        self._suspicions.heard(now, name)
        self._unanswered.discard(name)

    def unanswered(self) -> list[str]:
        """Who was pinged with all the others, and said nothing since."""
        return sorted(self._unanswered)

    # -- opinions

    def suspect(self, now: float, name: str, incarnation: int, by: str) -> Suspicion | None:
        """`by`, perhaps this member, could not reach it."""
        if name == self._roster.me.name:
            self.refute(incarnation)
            return None
        one, fresh = self._suspicions.take(now, name, incarnation, by)
        if one is not None and fresh:
            self._ask_observers(now, name, one, by)
            self._sweep(now, one)
        return one

    def _sweep(self, now: float, one: Suspicion) -> None:
        """Where one is gone others may have gone with it, and their turns of probes may be long in coming:
        once a suspicion is confirmed all others are pinged, and who does not answer is probed next."""
        rest = self._settings.suspicion_least * self._settings.period
        if not self._roster.ours or self._roster.large or self._settings.broken == "one-at-a-time":
            return
        if len(one.by) < 2 or now < self._swept_at + rest:
            return
        self._swept_at = now
        self._unanswered = set(self._roster.others()) - self._suspicions.held.keys()
        for name in sorted(self._unanswered):
            self._ping(name)

    def _ask_observers(self, now: float, name: str, one: Suspicion, by: str) -> None:
        """A new suspicion goes straight to the subject's observers, who probe it at once: whether others
        confirm it is known within a probe, not within the rounds that gossip takes. In a view that is not
        large all are told: a cut waits for whoever else is suspected, on all members alike."""
        if not self._roster.ours or self._roster.view is None:
            return
        watch, me = self._roster.observers(name), self._roster.me.name
        if by == me:
            for other in watch if self._roster.large else self._roster.others():
                if other not in (me, name):
                    self._out.send(other, Ping(0, (Suspect(name, one.incarnation, by),)))
        elif me in watch and not one.probed_since and self.probe is None:
            self._favoured, self.next_probe = False, now

    def refute(self, incarnation: int) -> None:
        """This member is doubted at that incarnation, or an older self of it was known by it."""
        me = self._roster.me
        if self._settings.broken == "no-incarnation" or incarnation < me.incarnation:
            return
        me = self._roster.me = replace(me, incarnation=incarnation + 1)
        self._fare(1)  # Lifeguard: being suspected says this member was slow to answer
        self._gossip.spread(Alive(me.name, me.incarnation))
        self._out.note("refuted", incarnation=me.incarnation)
        self._out.count("refutations")

    # -- a new view

    def begin_round(self) -> None:
        """The view changed: the round of probes is drawn anew from it."""
        self._order = []
        self._unanswered.clear()

    def left_out(self) -> None:
        self._suspicions.held.clear()
        self.probe = None
