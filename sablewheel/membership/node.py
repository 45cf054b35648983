"""One member's decisions: failure detection (SWIM with Lifeguard), reports of several observers (Rapid), and
the agreed view. Pure: `step(now, event)` takes what came and returns what to send and to note; the clock and
chance are handed in.

The detector only forms this member's opinion of its links. Nobody is removed on one opinion: an observer
whose suspicion of its subject ran out says so in an alert; a change is proposed when enough of a subject's
observers agree (high watermark) and no other subject stands between the marks; `Agreement` decides it.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from .agree import Agreement, Out
from .messages import (
    Accept,
    Accepted,
    Ack,
    Alert,
    Alive,
    Ask,
    Body,
    Digest,
    Envelope,
    Join,
    Judgement,
    Leave,
    MemberState,
    Message,
    Nack,
    News,
    Ping,
    PingReq,
    Prepare,
    Promise,
    Suspect,
    Sync,
    Told,
    Vote,
    Votes,
)
from .plan import Mode, Settings
from .view import SAYS_CUT_MOST, Change, Fact, Kind, Member, Proposal, View, fingerprint, proposal, rings

NEWS_KEPT = 512  # rumours held at once
RELAYED_MOST = 64  # probes under way for others; one more is left to its asker's other helpers
JOINERS_MOST = 256  # names that are not in the view and wait for their observers
VOTES_FANOUT, VOTES_EVERY = 4, 5  # whom votes are passed on to, and how often in a period, in a large view
FACTS_MOST = 256  # keys that members may hold judgements on
TALLIES_MOST = 4  # proposals in one message of votes
SYNC_REST = 0.2  # seconds between two requests for the view of one sender, whatever it sends


@dataclass(frozen=True)
class Send:
    address: str
    message: Message


@dataclass(frozen=True)
class Note:
    """One structured log line: what was decided, with its evidence."""

    what: str
    fields: dict[str, object]


@dataclass(frozen=True)
class Tick:
    """Timers: the shell calls at `Node.wake_at` or sooner."""


@dataclass(frozen=True)
class Got:
    """A message came from `address`, the packet's source; used only for who is not known yet."""

    message: Message
    address: str = ""


@dataclass(frozen=True)
class Part:
    """SIGTERM: say so to all, then stop."""


@dataclass(frozen=True)
class Judge:
    """What this member holds to be due of a fact; the fleet's value is `View.fact`."""

    fact: Fact


@dataclass(frozen=True)
class Viewed:
    """This view was installed: each is told once, in their order."""

    view: View


Event = Tick | Got | Part | Judge
Effect = Send | Note | Viewed


@dataclass
class Suspicion:
    incarnation: int
    since: float
    by: set[str] = field(default_factory=set)
    asked: float = 0.0  # when its subject was last told of it
    probed_since: bool = False  # an own probe failed after it began (for an observer's alert)
    faulty: bool = False  # ran out here


@dataclass
class Probe:
    seq: int
    target: str
    sent: float
    indirect_at: float
    ends_at: float
    asked: int = 0
    nacks: int = 0
    acked: bool = False


@dataclass
class Relayed:
    """A probe done for another member."""

    asker: str
    seq: int
    target: str
    ends_at: float


@dataclass
class Rumour:
    """News on its way, and how many more messages carry it."""

    item: News
    left: int


class Node:
    """One member. `view` is None until it is let in (or founds the first view)."""

    def __init__(
        self, me: Member, seeds: tuple[str, ...], settings: Settings, chance: random.Random, now: float
    ) -> None:
        self.me, self.seeds, self.settings, self.chance = me, seeds, settings, chance
        self.view: View | None = None
        self.grow: Callable[[View, Proposal], View] = View.then  # a simulation has its members share views
        self.addresses: dict[str, str] = {}
        self.raised: dict[str, int] = {}  # incarnations above the view's (the baselines': all that are known)
        self.suspicions: dict[str, Suspicion] = {}
        self.health = 0
        self.news: list[Rumour] = []
        self.order: list[str] = []
        self.favoured = False
        self.probe: Probe | None = None
        self.relayed: dict[int, Relayed] = {}
        self.seq = 0
        self.alerts: dict[tuple[str, bool], dict[str, Member]] = {}
        self.watches: dict[str, tuple[str, ...]] = {}  # observers of subjects, for the view that is held
        self.mine: tuple[str, ...] | None = None  # whom this member watches, in the view that is held
        self.judged: dict[str, str] = {}  # this member's own judgements, by fact
        self.judgements: dict[str, dict[str, tuple[int, str]]] = {}  # by fact and member: turn, value
        self.turn = 0
        self.reported = False  # whether a report came since a proposal was last thought of
        self.unstable_since: float | None = None
        self.agreement: Agreement | None = None
        self.voted_at = self.next_votes = 0.0
        self.last_decision: tuple[int, Votes] | None = None  # the epoch it ended, for who is still at it
        self.behind_since: float | None = None
        self.rounds = 0
        self.left = False
        self.started = self.last = now
        self.next_probe = now
        self.next_sync = now + settings.sync_every
        self.next_join = now
        self.since: dict[str, float] = {}  # when those came in that came after this one
        self.in_since = now
        self.viewless: dict[str, tuple[Member, float]] = {}  # who asks to be let in, and when it last did
        self.asking: Member | None = None  # as whom I ask in: the same until I am in or an older self was
        self.asked_in: set[int] = set()  # my incarnations that I asked in with
        self.asked_view: dict[str, float] = {}
        self.partings = 0
        self.heard: dict[str, float] = {}  # the heartbeat baseline's last word of each
        self.local: set[str] = set()  # the baselines' own view: whom this member holds to be in
        self.counts: dict[str, int] = {}
        self.effects: list[Effect] = []
        self._due = now  # when the shell was to call next: far later means this process was stopped

    # -- what the shell asks

    @property
    def members(self) -> tuple[str, ...]:
        """Who this member holds to be in: the agreed view, or a baseline's own set."""
        if self.settings.mode is not Mode.OURS:
            return tuple(sorted(self.local | {self.me.name}))
        return self.view.names if self.view is not None else ()

    def begin_with(self, view: View) -> None:
        """A fleet that stands already, for simulations and tests."""
        self._install(view, "given")
        self.effects = []

    def refute_for_all(self) -> None:
        """As if this member had been suspected: a rumour of its own, for simulations and tests."""
        self._refute(self.me.incarnation)
        self.effects = []

    def knows(self, name: str) -> int:
        """The highest incarnation known of a member."""
        return self.me.incarnation if name == self.me.name else self._incarnation(name)

    def told(self, now: float) -> Told:
        """What a tool is shown."""
        states = []
        for name in self.members:
            one = self.suspicions.get(name)
            state = "alive" if one is None else "faulty" if one.faulty else "suspect"
            incarnation = self.me.incarnation if name == self.me.name else self._incarnation(name)
            states.append(MemberState(name, state, now - self.since.get(name, self.in_since), incarnation))
        return Told(self.view, tuple(states), self.health, tuple(sorted(self.counts.items())))

    @property
    def wake_at(self) -> float:
        if self.left:
            return max(self.next_probe, self.last + 0.001) if self.partings else math.inf
        if self.settings.mode is Mode.OURS and self.view is None:
            times = [self.next_join, *(one.ends_at for one in self.relayed.values())]
            return max(min(times), self.last + 0.001)
        times = [self.next_probe]
        if self.view is None:
            times.append(self.next_join)
        if self.settings.mode is not Mode.HEARTBEAT:
            times.append(self.next_sync)
        else:
            timeout = self.settings.heartbeat_timeout
            times += [self.heard.get(name, self.started) + timeout for name in self.local]
        if self.probe is not None:
            times.append(self.probe.indirect_at if not self.probe.asked else self.probe.ends_at)
        times += [one.ends_at for one in self.relayed.values()]
        for name, one in self.suspicions.items():
            if not one.faulty:
                times += [self._suspicion_ends(name, one), self._tell_at(name, one)]
        agreement = self.agreement
        if agreement is not None and agreement.decided is None and agreement.votes:
            times.append(self.voted_at + self.settings.vote_timeout * (1 + self.rounds))
            if self._gossips():
                times.append(self.next_votes)
        if self.unstable_since is not None and (agreement is None or not agreement.has_voted):
            times.append(self.unstable_since + self.settings.settle)
        # Never sooner than a millisecond on: guards the shell against a busy loop on a timer left behind.
        return max(min(times), self.last + 0.001)

    def step(self, now: float, event: Event) -> list[Effect]:
        self.effects = []
        late = now - self._due
        self.last = now
        if late > max(2 * self.settings.period, 1.0) and self.settings.mode is Mode.OURS and self.view:
            self._paused(now, late)
        match event:
            case Got(message, address):
                self._got(now, message, address)
            case Part():
                self._part()
                self.next_probe = now + self.settings.probe_timeout
            case Judge(fact):
                self._judge(fact)
            case Tick():
                pass
        if not self.left:
            self._timers(now)
        else:
            self._part_again(now)
        self._due = self.wake_at
        return self.effects

    # -- timers

    def _timers(self, now: float) -> None:
        for seq, relay in list(self.relayed.items()):
            if now >= relay.ends_at:
                del self.relayed[seq]
                self._send(relay.asker, Nack(relay.seq))
        if self.view is None and self.settings.mode is Mode.OURS:
            if now >= self.next_join:
                self._ask_in(now)
            return
        if self.settings.mode is not Mode.OURS and now >= self.next_join:
            self.next_join = now + self.settings.sync_every
            for address in self.seeds:  # the baselines know each other from the seeds, all of them
                if address != self.me.address:
                    self._send_to(address, Join(self.me))
        if self.settings.mode is Mode.HEARTBEAT:
            return self._heartbeats(now)
        probe = self.probe
        if probe is not None and not probe.acked:
            if not probe.asked and now >= probe.indirect_at:
                self._ask_others(probe)
            elif probe.asked and now >= probe.ends_at:
                self._probe_failed(now, probe)
        for name, one in list(self.suspicions.items()):
            if not one.faulty and now >= self._suspicion_ends(name, one):
                self._ran_out(now, name, one)
            elif not one.faulty and now >= self._tell_at(name, one):
                # Its observers go on telling the suspected, so that one who hears again refutes in time.
                one.asked = now
                self.seq += 1
                self._send(name, Ping(self.seq, self._news(name)))
        if now >= self.next_probe:
            self._probe_next(now)
        if now >= self.next_sync:
            self.next_sync = now + self.settings.sync_every * self.chance.uniform(0.8, 1.2)
            self._sync(now)
        if self.settings.mode is Mode.OURS:
            self._propose(now)
            self._pass_votes(now)
            self._fall_back(now)

    def _period(self) -> float:
        """Lifeguard: a member that is slow itself waits longer before it blames others."""
        stretch = 1 + (self.health if self.settings.mode is Mode.OURS else 0)
        return self.settings.period * stretch

    def _paused(self, now: float, late: float) -> None:
        """Timers came late all at once: this member was stopped or starved, not its peers. What it began
        before is void, its suspicions start again, and it waits as long as it may before blaming anyone."""
        self.health = self.settings.health_most
        self.probe = None
        self.relayed.clear()
        for one in self.suspicions.values():
            one.since = max(one.since, now)
            one.probed_since = False
        self.next_probe = now + self._period()
        self._note("paused", seconds=round(late, 3))

    # -- probes

    def _probe_next(self, now: float) -> None:
        self.next_probe = now + self._period()
        if self.probe is not None and not self.probe.acked:
            self._probe_failed(now, self.probe)
        target = self._next_target()
        if target is None:
            return
        self.seq += 1
        timeout = self.settings.probe_timeout * (1 + self.health)
        self.probe = Probe(self.seq, target, now, now + timeout, now + self._period() * 0.9)
        self._send(target, Ping(self.seq, self._news(target)))
        self._count("probes")

    def _next_target(self) -> str | None:
        # Past the last of the order it is shuffled anew; who is not in any more is passed over.
        self.order = self.order or [one for one in self._known() if one != self.me.name]
        if not self.order:
            return None
        # An observer whose subject is suspected probes it first, so that its alert stands on its own link;
        # but every other probe goes round: one who answers and is still suspected must not starve the rest.
        mine = self._subjects()
        self.favoured = not self.favoured
        for name, one in self.suspicions.items():
            if self.favoured and name in mine and not one.probed_since:
                return name
        return self._draw()

    def _draw(self) -> str | None:
        """The next of the shuffled round."""
        for _ in range(2):
            while self.order:
                place = self.chance.randrange(len(self.order))  # as good as a shuffle, and done bit by bit
                self.order[place], self.order[-1] = self.order[-1], self.order[place]
                name = self.order.pop()
                if self._is_known(name):
                    return name
            self.order = [one for one in self._known() if one != self.me.name]
        return None

    def _some(self, many: int, *but: str) -> list[str]:
        """So many others at random, none of `but`."""
        known = self._known()
        drawn = self.chance.sample(known, min(many + len(but) + 1, len(known)))
        return [one for one in drawn if one != self.me.name and one not in but][:many]

    def _is_known(self, name: str) -> bool:
        if self.settings.mode is not Mode.OURS:
            return name in self.addresses or name == self.me.name
        return self.view is not None and name in self.view

    def _ask_others(self, probe: Probe) -> None:
        helpers = self._some(self.settings.indirect, probe.target)
        address = self._address(probe.target)
        for helper in helpers:
            self._send(helper, PingReq(probe.seq, probe.target, address))
            probe.asked += 1
        if not probe.asked:
            probe.asked = -1  # nobody to ask: the probe ends at its end
        self._count("indirect_probes")

    def _probe_failed(self, now: float, probe: Probe) -> None:
        self.probe = None
        if self.settings.mode is Mode.OURS:
            # Lifeguard: a failed probe is this member's own fault as far as helpers did not say in time that
            # theirs failed too; with all their nacks the target is gone, and this member is as well as ever.
            missing = max(probe.asked, 0) - probe.nacks
            self._health(min(missing, 2) if probe.asked > 0 else 1)
        self._count("probes_failed")
        known = self._incarnation(probe.target)
        if self.settings.broken == "no-suspicion" or self.settings.mode is Mode.HEARTBEAT:
            return self._blame(now, probe.target, known)
        one = self._suspect(now, probe.target, known, self.me.name)
        if one is not None:
            one.probed_since = True
            if one.faulty:
                self._blame(now, probe.target, one.incarnation)

    def _acked(self, now: float, ack: Ack) -> None:
        probe = self.probe
        if probe is None or ack.seq != probe.seq or ack.of != probe.target:
            return
        probe.acked = True
        self.probe = None
        self._health(-1)
        self._alive(now, ack.of, ack.incarnation)

    def _health(self, change: int) -> None:
        if self.settings.mode is Mode.OURS:
            self.health = min(max(self.health + change, 0), self.settings.health_most)

    # -- suspicion

    def _suspect(self, now: float, name: str, incarnation: int, by: str) -> Suspicion | None:
        if name == self.me.name:
            self._refute(incarnation)
            return None
        if not self._is_known(name) or incarnation < self._incarnation(name):
            return None
        one = self.suspicions.get(name)
        if one is None or one.incarnation < incarnation:
            one = self.suspicions[name] = Suspicion(incarnation, now)
            self._note("suspect", member=name, incarnation=incarnation, by=by)
            self._count("suspicions")
        # Passed on under the name of whose probe failed: hearsay signed anew would count as a confirmation.
        if by not in one.by and len(one.by) <= self.settings.confirmations:
            one.by.add(by)
            self._spread(Suspect(name, incarnation, by))
            self._ask_observers(now, name, one, by)
        return one

    def _ask_observers(self, now: float, name: str, one: Suspicion, by: str) -> None:
        """A new suspicion goes straight to the subject's observers, who probe it at once: whether others
        confirm it is known within a probe, not within the rounds that gossip takes."""
        if self.settings.mode is not Mode.OURS or self.view is None:
            return
        watch = self._observers_of(self.view.names, name)
        if by == self.me.name:
            for observer in watch:
                if observer != self.me.name:
                    self._send(observer, Ping(0, (Suspect(name, one.incarnation, by),)))
        elif self.me.name in watch and not one.probed_since and self.probe is None:
            self.favoured, self.next_probe = False, now

    def _tell_at(self, name: str, one: Suspicion) -> float:
        mine = self.settings.mode is Mode.OURS and name in self._subjects()
        return max(one.since, one.asked) + self.settings.period / 2 if mine else math.inf

    def _suspicion_ends(self, name: str, one: Suspicion) -> float:
        """Lifeguard: long at first, shorter with each independent suspicion, never below the least."""
        # No factor of log n, which SWIM has for its gossip: here those who decide hear of it at once.
        size = max(len(self._known()), 1)
        least = self.settings.suspicion_least * self.settings.period
        if self.settings.mode is not Mode.OURS or self.settings.broken == "one-observer":
            return one.since + least  # a watcher of its own has no confirmations to wait for
        most = least * self.settings.suspicion_stretch
        want = min(self.settings.confirmations, size - 2)
        if want < 1:
            return one.since + least  # nobody else is there to confirm it
        shrink = math.log(min(max(len(one.by) - 1, 0), want) + 1) / math.log(want + 1)
        return one.since + max(least, most - (most - least) * shrink)

    def _ran_out(self, now: float, name: str, one: Suspicion) -> None:
        one.faulty = True
        self._note("suspicion ran out", member=name, incarnation=one.incarnation, by=",".join(sorted(one.by)))
        if one.probed_since or self.settings.mode is not Mode.OURS:
            self._blame(now, name, one.incarnation)  # else when its own probe fails: hearsay is no report

    def _blame(self, now: float, name: str, incarnation: int) -> None:
        """This member's opinion is that `name` is gone: the baselines act on it alone, ours alerts."""
        if self.settings.mode is not Mode.OURS:
            if name in self.local:
                self.local.discard(name)
                self._note("removed", member=name, incarnation=incarnation, alone=True)
                self._count("removals")
            return
        if self.view is None or name not in self.view:
            return
        if name in self._subjects() or self.settings.broken == "one-observer":
            member = self.view.get(name)
            assert member is not None
            said = replace(member.silent, incarnation=incarnation)
            self._alert(now, Alert(self.view.epoch, self.me.name, False, said))

    def _refute(self, incarnation: int) -> None:
        if self.settings.broken == "no-incarnation":
            return
        if incarnation >= self.me.incarnation:
            self.me = replace(self.me, incarnation=incarnation + 1)
            self._health(1)  # Lifeguard: being suspected says this member was slow to answer
            self._spread(Alive(self.me.name, self.me.incarnation))
            self._note("refuted", incarnation=self.me.incarnation)
            self._count("refutations")

    def _alive(self, now: float, name: str, incarnation: int) -> None:
        if name == self.me.name:
            return
        if self.settings.mode is not Mode.OURS:
            self.heard[name] = now
            if name not in self.local and self._incarnation(name) <= incarnation:
                self.local.add(name)
                self._note("added", member=name, alone=True)
        if incarnation <= self._incarnation(name):
            return
        if self.settings.mode is Mode.OURS and (self.view is None or name not in self.view):
            return  # guards the table against names that nobody agreed on
        self.raised[name] = incarnation
        one = self.suspicions.get(name)
        if one is not None and (one.incarnation < incarnation or self.settings.broken == "no-incarnation"):
            del self.suspicions[name]
            self._note("suspicion refuted", member=name, incarnation=incarnation)
        for key, those in self.alerts.items():
            if key[0] == name and not key[1]:
                for by in [by for by, member in those.items() if member.incarnation < incarnation]:
                    del those[by]
                    self.reported = True  # another's change may wait for this one
        self._spread(Alive(name, incarnation))

    # -- news

    def _spread(self, item: News) -> None:
        if self.settings.mode is Mode.HEARTBEAT:
            return
        size = max(len(self._known()), 1)
        times = self.settings.retransmit * math.ceil(math.log10(size + 1))
        self.news = [one for one in self.news if not _same_subject(one.item, item)]
        self.news.insert(0, Rumour(item, max(times, 1)))
        # Guards the list against a flood of rumours: the oldest go, and full-state exchange heals the loss.
        del self.news[NEWS_KEPT:]

    def _news(self, to: str) -> tuple[News, ...]:
        """The freshest news, each sent a bounded number of times; a suspicion goes to its subject too."""
        chosen: list[News] = []
        doubt = self.suspicions.get(to)
        if doubt is not None and self.settings.mode is Mode.OURS:
            # Lifeguard's buddy: the suspected hears of it first, and can refute it.
            chosen.append(Suspect(to, doubt.incarnation, self.me.name))
        for one in sorted(self.news, key=lambda one: -one.left):
            if len(chosen) >= self.settings.news_most:
                break
            chosen.append(one.item)
            one.left -= 1
        self.news = [one for one in self.news if one.left > 0]
        chosen.append(Alive(self.me.name, self.me.incarnation))
        return tuple(chosen)

    def _take_news(self, now: float, items: tuple[News, ...]) -> None:
        for item in items:
            match item:
                case Alive(name, incarnation):
                    self._alive(now, name, incarnation)
                case Suspect(name, incarnation, by):
                    if self.settings.mode is not Mode.HEARTBEAT:
                        self._suspect(now, name, incarnation, by)
                case Alert():
                    self._alert(now, item)
                case Judgement():
                    self._take_judgement(item)

    # -- reports of observers, and the cut

    def _alert(self, now: float, alert: Alert) -> None:
        view = self.view
        if view is None or alert.epoch != view.epoch:
            return
        subject = alert.member.name
        if subject == self.me.name and not alert.join and not self.left:
            return self._refute(alert.member.incarnation)  # it is here: no vote for its own removal
        names = view.names
        watch = self._observers_of(names, subject)
        if alert.by not in watch:
            return
        if alert.join and (subject, True) not in self.alerts and self._joiners() >= JOINERS_MOST:
            return self._count("joins_refused")  # guards the table: anybody may name anybody
        those = self.alerts.setdefault((subject, alert.join), {})
        if alert.by in those and those[alert.by].incarnation >= alert.member.incarnation:
            return
        known = view.get(subject)
        if not alert.join and (known is None or self._incarnation(subject) > alert.member.incarnation):
            return  # a report on an older incarnation, refuted already
        those[alert.by] = alert.member
        self.reported = True
        self._note("alert", member=subject, join=alert.join, by=alert.by, count=len(those), epoch=alert.epoch)
        self._spread(alert)
        if alert.by == self.me.name:
            self._broadcast(Ping(0, (alert,)))  # at once to all, besides the gossip that repeats it
        self._propose(now)

    def _judge(self, fact: Fact) -> None:
        """Its own judgement, said when it is another than before and again for each new view."""
        if self.judged.get(fact.key) == fact.value:
            return
        if fact.key not in self.judged and len(self.judged) >= FACTS_MOST:
            return self._count("facts_refused")
        self.judged[fact.key] = fact.value
        self._say_judged(fact)

    def _say_judged(self, fact: Fact) -> None:
        view = self.view
        if view is None or self.left:
            return
        if view.fact(fact.key) == fact.value and self.me.name not in self.judgements.get(fact.key, {}):
            return  # the fleet holds the same, and nobody was told otherwise
        self.turn += 1
        said = Judgement(view.epoch, self.me.name, self.turn, fact)
        self._take_judgement(said)
        self._broadcast(Ping(0, (said,)))

    def _take_judgement(self, said: Judgement) -> None:
        view = self.view
        if view is None or said.epoch != view.epoch or said.by not in view:
            return
        if said.fact.key not in self.judgements and len(self.judgements) >= FACTS_MOST:
            return self._count("facts_refused")
        those = self.judgements.setdefault(said.fact.key, {})
        if said.by in those and those[said.by][0] >= said.turn:
            return
        those[said.by] = (said.turn, said.fact.value)
        self.reported = True
        self._spread(said)
        count = sum(value == said.fact.value for _, value in those.values())
        self._note("judged", fact=said.fact.key, value=said.fact.value or "-", by=said.by, count=count)

    def _agreed_facts(self, view: View) -> list[Change]:
        """Facts that more than half of the view hold to be due: a minority changes nothing."""
        found = []
        for key, those in self.judgements.items():
            counts = Counter(value for _, value in those.values())
            value, many = counts.most_common(1)[0]
            if many > len(view.members) // 2 and value != view.fact(key):
                found.append(Change(Kind.FACT, fact=Fact(key, value)))
        return found

    def _joiners(self) -> int:
        return sum(join for _, join in self.alerts)

    def _observers_of(self, names: tuple[str, ...], subject: str) -> tuple[str, ...]:
        if self.settings.broken == "one-observer":
            return tuple(one for one in names if one != subject)
        if subject not in self.watches:
            if len(self.watches) > len(names) + 2 * JOINERS_MOST:
                self.watches.clear()
            self.watches[subject] = rings(names, self.settings.observers).observers(subject)
        return self.watches[subject]

    def _subjects(self) -> tuple[str, ...]:
        if self.view is None:
            return ()
        if self.mine is None:
            self.mine = rings(self.view.names, self.settings.observers).subjects(self.me.name)
        return self.mine

    def _marks(self, subject: str, join: bool) -> tuple[int, int]:
        assert self.view is not None
        watch = len(self._observers_of(self.view.names, subject))
        if self.settings.broken == "one-observer":
            return 1, 1
        high = min(self.settings.high, watch)
        return high, min(self.settings.low, high)

    def _propose(self, now: float) -> None:
        view = self.view
        if view is None or (self.agreement is not None and self.agreement.has_voted):
            return
        due = self.unstable_since is not None and now >= self.unstable_since + self.settings.settle
        if not self.reported and not due:
            return
        self.reported = False
        stable: list[Change] = []
        unstable = False
        going: set[str] = set()
        counted = {key: dict(those) for key, those in self.alerts.items() if those}
        while True:  # Rapid's implicit reports: an observer that is itself on its way out cannot report
            grew = False
            for (subject, join), those in counted.items():
                if (subject, join) in {(one.member.name, one.kind is Kind.JOIN) for one in stable}:
                    continue
                high, _ = self._marks(subject, join)
                implied = {one for one in self._observers_of(view.names, subject) if one in going} - set(
                    those
                )
                if len(those) + (len(implied) if not join else 0) >= high:
                    member = max(those.values(), key=lambda one: one.incarnation)
                    stable.append(Change(Kind.JOIN if join else Kind.REMOVE, member))
                    if not join:
                        going.add(subject)
                    grew = True
            if not grew:
                break
        chosen = {(one.member.name, one.kind is Kind.JOIN) for one in stable}
        for (subject, join), those in counted.items():
            if (subject, join) not in chosen and len(those) >= self._marks(subject, join)[1]:
                unstable = True
        stable = _fitting(stable) + self._agreed_facts(view)
        if not stable:
            self.unstable_since = None
            return
        if unstable:
            if self.unstable_since is None:
                self.unstable_since = now
            if now < self.unstable_since + self.settings.settle:
                return  # Rapid: wait while some subject stands between the marks, but not for ever
        self.unstable_since = None
        cut = proposal(stable)
        agreement = self._agreement()
        self.voted_at = now
        self._note("proposed", epoch=view.epoch, changes=_said(cut))
        self._carry(agreement.propose(cut))

    def _agreement(self) -> Agreement:
        assert self.view is not None
        if self.agreement is None or self.agreement.epoch != self.view.epoch:
            self.agreement = Agreement(self.view.epoch, self.view.names, self.me.name, self.view.places)
            self.rounds = 0
        return self.agreement

    def _gossips(self) -> bool:
        return self.view is not None and len(self.view.members) > self.settings.vote_direct

    def _pass_votes(self, now: float) -> None:
        """In a large view the votes that this member knows go to a few others again and again, so that a
        decision costs each some messages a round of about log n, not one from each to each."""
        agreement = self.agreement
        if agreement is None or agreement.decided is not None or not agreement.votes or not self._gossips():
            return
        if now >= self.next_votes:
            self.next_votes = now + self.settings.period / VOTES_EVERY
            tallies = sorted(agreement.votes.items(), key=lambda one: -one[1].bit_count())[:TALLIES_MOST]
            for name in self._some(VOTES_FANOUT):
                self._send(name, Votes(tuple(tallies)))

    def _take_votes(self, now: float, votes: Votes, sender: str, epoch: int) -> None:
        view = self.view
        if view is None:
            return
        if epoch < view.epoch:
            if self.last_decision is not None and self.last_decision[0] == epoch:
                self._send(sender, self.last_decision[1], epoch=epoch)  # it is still at what was decided here
        elif epoch == view.epoch:
            agreement = self._agreement()
            if not agreement.votes:
                self.voted_at = self.next_votes = now
            for cut, bits in votes.tallies[:TALLIES_MOST]:
                agreement.merge(cut, bits)
            self._decided()

    def _fall_back(self, now: float) -> None:
        """No fast decision in time: a classic round, coordinators spread apart by chance."""
        agreement = self.agreement
        if agreement is None or agreement.decided is not None or not agreement.votes:
            return
        if now < self.voted_at + self.settings.vote_timeout * (1 + self.rounds):
            return
        self.rounds += 1
        self.voted_at = now + self.chance.uniform(0, self.settings.vote_timeout)
        self._note("classic round", epoch=agreement.epoch, round=self.rounds)
        self._carry(agreement.classic(self.rounds))

    def _carry(self, outs: list[Out]) -> None:
        for to, body in outs:
            if to is None and isinstance(body, Vote) and self._gossips():
                self.next_votes = self.last  # passed on with what others voted
            elif to is None:
                self._broadcast(body)
            elif to != self.me.name:
                self._send(to, body)
        self._decided()

    def _decided(self) -> None:
        agreement, view = self.agreement, self.view
        if agreement is None or agreement.decided is None or view is None or agreement.epoch != view.epoch:
            return
        if self._gossips() and agreement.decided in agreement.votes:
            decision = Votes(((agreement.decided, agreement.votes[agreement.decided]),))
            self.last_decision = (view.epoch, decision)
        self._install(self.grow(view, agreement.decided), agreement.decided)

    def _install(self, view: View, cause: object) -> None:
        old = self.view
        self.view = view
        self.effects.append(Viewed(view))
        if old is None:
            self.since, self.in_since = {}, self.last
        else:
            self.since = {name: when for name, when in self.since.items() if name in view}
            self.since |= {one.name: self.last for one in view.members if one.name not in old}
        self.behind_since = None
        self.viewless.clear()
        self.asked_view.clear()
        self.raised = {name: one for name, one in self.raised.items() if name in view}
        self.raised = {name: one for name, one in self.raised.items() if one > self._incarnation(name, False)}
        self.suspicions = {  # one of an older self is over, and no refutation would come for it any more
            name: one
            for name, one in self.suspicions.items()
            if name in view and one.incarnation >= self._incarnation(name)
        }
        for member in old.members if old is not None else ():
            if member.name not in view:  # it may ask for the view that it is not in
                self.addresses[member.name] = member.address
        self.addresses = {name: one for name, one in self.addresses.items() if name not in view}
        for name in list(self.addresses)[:-JOINERS_MOST]:
            del self.addresses[name]
        self.alerts.clear()
        self.judgements.clear()
        self.watches.clear()
        self.mine = None
        self.order = []
        self.unstable_since = None
        self.agreement = None
        mine = view.get(self.me.name)
        if mine is not None and mine.incarnation > self.me.incarnation:
            self.me = replace(self.me, incarnation=mine.incarnation)
        self._note(
            "view", epoch=view.epoch, members=len(view.members), fingerprint=fingerprint(view),
            facts=",".join(f"{one.key}={one.value}" for one in view.facts) or "-",
            changes=_said(cause) if isinstance(cause, tuple) else str(cause),
            was=old.epoch if old is not None else 0,
        )  # fmt: skip
        self._count("views")
        if mine is None and old is not None and self.me.name in old:
            self._note("left out", epoch=view.epoch)  # removed while paused or cut off: ask in again
            self.view = None
            self.suspicions.clear()
            self.probe = None
            self.me = replace(self.me, incarnation=self.me.incarnation + 1)
            self.asked_in.clear()
            self.asking = None
            self.started = self.next_join = self.last
            return
        self.asked_in.clear()
        self.asking = None
        for change in cause if isinstance(cause, tuple) else ():
            name = change.member.name
            if change.kind is Kind.JOIN and self.me.name in self._observers_of(view.names, name):
                self._send(name, Sync(view, self._incarnations(), True))  # it waits for it
        for key, value in self.judged.items():
            self._say_judged(Fact(key, value))
        # Faulty opinions that still stand are said again for the new epoch.
        for name, one in self.suspicions.items():
            if one.faulty and one.probed_since:
                self._blame(self.last, name, one.incarnation)

    # -- joining and leaving

    def _ask_in(self, now: float) -> None:
        self.next_join = now + self.settings.join_every * self.chance.uniform(0.8, 1.2)
        # A refutation meanwhile changes nothing here: asking as somebody newer each time, it would be let in
        # again and again before it heard of any of the views.
        self.asking = self.asking or self.me
        self.asked_in.add(self.asking.incarnation)
        for address in self.seeds:
            if address != self.me.address:
                self._send_to(address, Join(self.asking))
        self._found(now)

    def _found(self, now: float) -> None:
        """The first view, by the first of the seeds that has none, once enough others say they have none.

        It needs a majority of the seeds and `found_least` members. Guards against a seed that restarts while
        it is cut off and would found a fleet of its own beside the one that lives. Its epoch is the
        founder's clock, so that a fleet founded anew goes above any view that a survivor still holds.
        """
        if self.me.address not in self.seeds:
            return
        fresh = now - 3 * self.settings.join_every
        others = [member for member, heard in self.viewless.values() if heard >= fresh]
        place = self.seeds.index(self.me.address)
        addresses = {one.address for one in others} | {self.me.address}
        if any(address in addresses for address in self.seeds[:place]):
            return  # theirs to found
        enough = sum(one in addresses for one in self.seeds) > len(self.seeds) // 2
        if not enough or len(others) + 1 < self.settings.found_least:
            return
        if now >= self.started + self.settings.found_after * (1 + place):
            self._install(View(max(self.me.incarnation, 1), tuple(sorted([self.me, *others]))), "founded")
            for member in others:
                self._send_to(member.address, Sync(self.view, self._incarnations(), True))

    def _joined(self, now: float, member: Member, relayed: bool) -> None:
        view = self.view
        if view is None:
            if len(self.viewless) < JOINERS_MOST or member.name in self.viewless:
                self.viewless[member.name] = (member, now)
            return
        known = view.get(member.name)
        if known is not None and known.incarnation >= member.incarnation and known.address == member.address:
            self._send_to(member.address, Sync(view, self._incarnations(), True))
            return
        if len(self.addresses) < JOINERS_MOST:
            self.addresses[member.name] = member.address
        watch = self._observers_of(view.names, member.name)
        if not relayed:
            for name in watch:
                if name != self.me.name:
                    self._send(name, Join(member, relayed=True))
        if self.me.name in watch or self.settings.broken == "one-observer":
            self._alert(now, Alert(view.epoch, self.me.name, True, member))

    def _part(self) -> None:
        """Said three times in all, a probe's timeout apart: one datagram may be lost."""
        if self.view is not None or self.settings.mode is not Mode.OURS:
            if not self.left:
                self._note("leaving", epoch=self.view.epoch if self.view is not None else 0)
            self._broadcast(Leave(self.me))
        if not self.left:
            self.left, self.partings = True, 2
        if self.view is not None:
            self._leave(self.last, self.me)  # votes for its own removal while it is there

    def _part_again(self, now: float) -> None:
        if self.partings and now >= self.next_probe:
            self.partings -= 1
            self.next_probe = now + self.settings.probe_timeout
            self._broadcast(Leave(self.me))

    def _leave(self, now: float, member: Member) -> None:
        """A leave is said, not detected: it stands for every observer's report."""
        view = self.view
        if view is None or member.name not in view:
            return
        if self.settings.mode is not Mode.OURS:
            self.local.discard(member.name)
            return
        if self._incarnation(member.name) > member.incarnation:
            return  # of an older self
        those = self.alerts.setdefault((member.name, False), {})
        if those.keys() >= set(self._observers_of(view.names, member.name)):
            return  # said before
        for name in self._observers_of(view.names, member.name):
            those[name] = member.silent
        self.reported = True
        if member.incarnation > self._incarnation(member.name):
            self.raised[member.name] = member.incarnation
        self._note("left", member=member.name)
        self._propose(now)

    # -- full state

    def _incarnations(self) -> tuple[tuple[str, int], ...]:
        """Of those above the view's, and of this member itself."""
        return tuple(sorted({**self.raised, self.me.name: self.me.incarnation}.items()))

    def _sync(self, now: float) -> None:
        for other in self._some(1):
            self._send(other, Digest(self._digest()))

    def _digest(self) -> bytes:
        """Of the full state: equal on two members that hold the same view and incarnations."""
        view = self.view
        held = fingerprint(view) if view is not None else "-"
        mine = view.get(self.me.name) if view is not None else None
        raised = dict(self.raised)
        if mine is not None and self.me.incarnation > mine.incarnation:
            raised[self.me.name] = self.me.incarnation
        return hashlib.blake2b(f"{held}|{sorted(raised.items())}".encode(), digest_size=12).digest()

    def _synced(self, now: float, sync: Sync, sender: str) -> None:
        for name, incarnation in sync.incarnations:
            if name == self.me.name:
                if incarnation > self.me.incarnation:
                    self._refute(incarnation)  # an older self's: above it, never the same
            else:
                self._alive(now, name, incarnation)
        mine = self.view
        if sync.view is not None and mine is None:
            held = sync.view.get(self.me.name)
            if held is not None and held.incarnation in self.asked_in:
                self._install(sync.view, f"synced from {sender}")
            elif held is not None and held.incarnation > (self.asking or self.me).incarnation:
                # An older self with a later clock: it may have voted in this epoch, so this one is let in as
                # somebody new, above it.
                self.me = replace(self.me, incarnation=max(held.incarnation, self.me.incarnation) + 1)
                self.asking, self.next_join = None, now
        elif sync.view is not None and mine is not None and sync.view.epoch > mine.epoch:
            self._install(sync.view, f"synced from {sender}")
        elif not sync.reply and mine is not None:
            told = dict(sync.incarnations)
            newer = any(
                number > max(told.get(name, -1), self._incarnation(name, False))
                for name, number in self._incarnations()
            )
            if sync.view is None or sync.view.epoch < mine.epoch or newer:
                self._send(sender, Sync(mine, self._incarnations(), True))

    # -- messages

    def _got(self, now: float, message: Message, address: str) -> None:
        sender, epoch = message.envelope.sender, message.envelope.epoch
        body = message.body
        self._count("received")
        if sender == self.me.name or isinstance(body, Ask | Told):
            return
        mine = self.view.epoch if self.view is not None else 0
        behind = self.settings.mode is Mode.OURS and epoch > mine and not isinstance(body, Sync)
        if behind and self._gossips():  # its own decision may come in a moment, and a large view is dear
            self.behind_since = now if self.behind_since is None else self.behind_since
            behind = now >= self.behind_since + self.settings.period
        if behind and now >= self.asked_view.get(sender, -math.inf) + SYNC_REST:
            if len(self.asked_view) >= JOINERS_MOST:  # the oldest goes: it has rested longest
                del self.asked_view[next(iter(self.asked_view))]
            self.asked_view.pop(sender, None)
            self.asked_view[sender] = now
            self._send(sender, Sync(self.view, self._incarnations()), address)
        if self.settings.mode is not Mode.OURS:
            self._alive(now, sender, max(self._incarnation(sender), 0))
        match body:
            case Ping(seq, news):
                self._take_news(now, news)
                if seq:
                    answer = Ack(seq, self.me.name, self.me.incarnation, self._news(sender))
                    self._send(sender, answer, address)
            case Ack(seq, of, incarnation, news):
                self._take_news(now, news)
                self._alive(now, of, incarnation)
                relayed = self.relayed.pop(seq, None)
                if relayed is not None:
                    self._send(relayed.asker, Ack(relayed.seq, of, incarnation, ()))
                else:
                    self._acked(now, body)
            case PingReq(seq, target, target_address):
                if len(self.relayed) >= RELAYED_MOST:
                    return self._count("relays_refused")
                self.seq += 1
                if not self._address(target) and len(self.addresses) < JOINERS_MOST:
                    self.addresses[target] = target_address
                self.relayed[self.seq] = Relayed(sender, seq, target, now + self.settings.probe_timeout * 0.8)
                self._send(target, Ping(self.seq, ()))
            case Nack(seq):
                if self.probe is not None and self.probe.seq == seq:
                    self.probe.nacks += 1
            case Join(member, relayed):
                if self.settings.mode is Mode.OURS:
                    self._joined(now, member, relayed)
                else:
                    self.addresses[member.name] = member.address
                    self._alive(now, member.name, member.incarnation)
            case Leave(member):
                self._leave(now, member)
            case Digest(value):
                if value != self._digest():
                    self._send(sender, Sync(self.view, self._incarnations()), address)
            case Sync():
                self._synced(now, body, sender)
            case Votes():
                if self.settings.mode is Mode.OURS:
                    self._take_votes(now, body, sender, epoch)
            case Vote() | Prepare() | Promise() | Accept() | Accepted():
                if self.settings.mode is Mode.OURS and self.view is not None and epoch == self.view.epoch:
                    agreement = self._agreement()
                    if isinstance(body, Vote) and not agreement.votes:
                        self.voted_at = now
                    self._carry(agreement.take(sender, body))

    def _heartbeats(self, now: float) -> None:
        """The all-to-all baseline: a word to everyone each period; silence past a fixed timeout removes."""
        if now >= self.next_probe:
            self.next_probe = now + self.settings.period
            for name in self._known():
                if name != self.me.name:
                    self._send(name, Ping(0, (Alive(self.me.name, self.me.incarnation),)))
        for name in list(self.local):
            if now - self.heard.get(name, self.started) > self.settings.heartbeat_timeout:
                self._blame(now, name, self._incarnation(name))

    # -- small helpers

    def _known(self) -> tuple[str, ...]:
        if self.settings.mode is not Mode.OURS:
            return tuple(sorted(set(self.addresses) | {self.me.name}))
        return self.view.names if self.view is not None else ()

    def _incarnation(self, name: str, raised: bool = True) -> int:
        """The highest known of a member; -1 for nobody."""
        member = self.view.get(name) if self.view is not None else None
        held = member.incarnation if member is not None else -1
        return max(held, self.raised.get(name, -1)) if raised else held

    def _address(self, name: str) -> str:
        member = self.view.get(name) if self.view is not None else None
        return member.address if member is not None else self.addresses.get(name, "")

    def _broadcast(self, body: Body) -> None:
        for name in self._known():
            if name != self.me.name:
                self._send(name, body)

    def _send(self, name: str, body: Body, fallback: str = "", epoch: int | None = None) -> None:
        address = self._address(name) or fallback
        if address:
            self._send_to(address, body, epoch)

    def _send_to(self, address: str, body: Body, epoch: int | None = None) -> None:
        """With the epoch of the view that is held, or that of an earlier one that the message is about."""
        if epoch is None:
            epoch = self.view.epoch if self.view is not None else 0
        self.effects.append(Send(address, Message(Envelope(self.me.name, epoch), body)))
        self._count("sent")

    def _note(self, what: str, **fields: object) -> None:
        self.effects.append(Note(what, fields))

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


def _fitting(changes: list[Change]) -> list[Change]:
    """Those that a proposal has room for. Guards votes against growing past a datagram when many join who
    say much of themselves: the rest ask again and come with a later view."""
    room, kept = SAYS_CUT_MOST, []
    for one in sorted(changes, key=lambda one: one.order):
        room -= one.member.says_bytes
        if room >= 0 or not one.member.says:
            kept.append(one)
    return kept


def _same_subject(one: News, other: News) -> bool:
    match one, other:
        case Suspect(a, incarnation, by), Suspect(b, incarnation2, by2):
            return a == b and (incarnation < incarnation2 or by == by2)
        case ((Alive(a, _) | Suspect(a, _, _)), Alive(b, _)):
            return a == b
        case Alive(a, incarnation), Suspect(b, incarnation2, _):
            return a == b and incarnation <= incarnation2
        case Alert(epoch, by, join, member), Alert(epoch2, by2, join2, member2):
            return (epoch, by, join, member.name) == (epoch2, by2, join2, member2.name)
        case Judgement(_, by, _, fact), Judgement(_, by2, _, fact2):
            return (by, fact.key) == (by2, fact2.key)
    return False


def _said(cause: object) -> str:
    if not isinstance(cause, tuple):
        return str(cause)
    return " ".join(
        f"fact:{one.fact.key}={one.fact.value or '-'}" if one.kind is Kind.FACT
        else f"{one.kind.value}:{one.member.name}@{one.member.incarnation}" for one in cause
    )  # fmt: skip
