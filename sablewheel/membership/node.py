"""One member's decisions: failure detection (SWIM with Lifeguard), reports of several observers (Rapid), and
the agreed view. Pure: `step(now, event)` takes what came and returns what to send and to note; the clock and
chance are handed in.

The detector only forms this member's opinion of its links. Nobody is removed on one opinion: an observer
whose suspicion of its subject ran out says so in an alert; a change is proposed when enough of a subject's
observers agree (high watermark) and no other subject stands between the marks; `Agreement` decides it.

Here is only which part hears what, and in which order: `detector` and `suspicions` form the opinion,
`reports` the cut, `judgements` the facts, `voting` the decision, `joining` the way in; `roster` is whom they
all know.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from .detector import Detector
from .events import Effect, Event, Got, Judge, Part, Tick, Viewed
from .gossip import Gossip
from .joining import Joining
from .judgements import Judgements
from .leaving import Leaving
from .member_table import Roster
from .messages import (
    Ack,
    Alert,
    Alive,
    Ask,
    Digest,
    Join,
    Judgement,
    Leave,
    MemberState,
    Message,
    Nack,
    News,
    Ping,
    PingReq,
    Round,
    Suspect,
    Sync,
    Told,
    Votes,
)
from .outbox import Outbox
from .plan import Mode, Settings
from .reports import Reports
from .round_trip_baseline import Baseline
from .suspicions import Suspicions
from .view import Member, Proposal, View, changes_text, fingerprint
from .voting import Voting


class Node:
    """One member. `view` is None until it is let in (or founds the first view)."""

    def __init__(
        self, me: Member, seeds: tuple[str, ...], settings: Settings, chance: random.Random, now: float
    ) -> None:
        self.settings = settings
        self.grow: Callable[[View, Proposal], View] = View.then  # a simulation has its members share views
        roster = self.roster = Roster(me, settings, now)
        out = self.out = Outbox(roster)
        self.gossip = Gossip(roster, settings)
        self.suspicions = Suspicions(roster, self.gossip, out, settings)
        self.detector = Detector(
            roster, self.suspicions, self.gossip, out, settings, chance, now, self._blame
        )
        self.baseline = Baseline(roster, out, settings, now, self._blame)
        self.reports = Reports(roster, self.suspicions, self.gossip, out, settings)
        self.judgements = Judgements(roster, self.gossip, out)
        self.voting = Voting(roster, out, settings, chance, self._grow)
        self.joining = Joining(roster, out, settings, chance, seeds, now)
        self.leaving = Leaving(roster, out, settings)
        self._last = now
        self._due = now  # when the shell was to call next: far later means this process was stopped

    # -- what the shell asks

    @property
    def me(self) -> Member:
        return self.roster.me

    @property
    def view(self) -> View | None:
        return self.roster.view

    @property
    def members(self) -> tuple[str, ...]:
        """Who this member holds to be in: the agreed view, or a baseline's own set."""
        return self.roster.members()

    @property
    def counts(self) -> dict[str, int]:
        return self.out.counts

    def begin_with(self, view: View, probe_at: float | None = None, sync_at: float | None = None) -> None:
        """A fleet that stands already, for simulations and tests."""
        self._install(self._last, view, "given")
        self.out.begin()
        self.detector.next_probe = probe_at if probe_at is not None else self.detector.next_probe
        self.joining.next_sync = sync_at if sync_at is not None else self.joining.next_sync

    def refute_for_all(self) -> None:
        """As if this member had been suspected: a rumour of its own, for simulations and tests."""
        self.detector.refute(self.me.incarnation)
        self.out.begin()

    def knows(self, name: str) -> int:
        """The highest incarnation known of a member."""
        return self.roster.knows(name)

    def told(self, now: float) -> Told:
        """What a tool is shown."""
        states = []
        for name in self.members:
            one = self.suspicions.held.get(name)
            state = "alive" if one is None else "faulty" if one.faulty else "suspect"
            states.append(MemberState(name, state, now - self.roster.since(name), self.knows(name)))
        return Told(self.view, tuple(states), self.detector.health, tuple(sorted(self.counts.items())))

    @property
    def wake_at(self) -> float:
        """When the shell is to call at the latest."""
        if self.leaving.begun:
            return max(self.leaving.wake_at, self._last + 0.001)
        ours, view = self.roster.ours, self.view
        if ours and view is None:
            times = [self.joining.next_join, *self.detector.relays_end()]
        else:
            beats = self.settings.mode is Mode.HEARTBEAT
            times = self.baseline.wakes() if beats else [*self.detector.wakes(), self.joining.next_sync]
            if view is None:
                times.append(self.joining.next_join)
            times += self.suspicions.wakes() + self.voting.wakes()
            if not self.voting.has_voted:
                times += self.reports.wakes()
        # Never sooner than a millisecond on: guards the shell against a busy loop on a timer left behind.
        return max(min(times), self._last + 0.001)

    def step(self, now: float, event: Event) -> list[Effect]:
        """What to do because of `event`, and of the timers that are due at `now`."""
        self.out.begin()
        late = now - self._due
        self._last = now
        if late > max(2 * self.settings.period, 1.0) and self.roster.ours and self.view:
            self.detector.paused(now, late)
            self.out.note("paused", seconds=round(late, 3))
        match event:
            case Got(message, address):
                self._got(now, message, address)
            case Part():
                self.leaving.begin(now)
                self._leave(now, self.me)  # votes for its own removal while it is there
            case Judge(fact):
                if not self.leaving.begun and self.judgements.judge(fact):
                    self.reports.stir()
            case Tick():
                pass
        if self.leaving.begun:
            self.leaving.ring(now)
        else:
            self._timers(now)
        self._due = self.wake_at
        return self.out.effects

    # -- timers

    def _timers(self, now: float) -> None:
        self.detector.end_relays(now)
        if not self.roster.ours:
            self.joining.greet(now)
        elif self.view is None:
            return self._ask_in(now)
        if self.settings.mode is Mode.HEARTBEAT:
            return self.baseline.beat(now)
        self.detector.ring(now)
        self.joining.compare(now)
        if self.roster.ours:
            self._propose(now)
            self.voting.ring(now)

    def _ask_in(self, now: float) -> None:
        others = self.joining.ask_in(now)
        if others is not None:
            # Its epoch is the founder's clock, so that a fleet founded anew goes above any view that a
            # survivor still holds.
            view = View(max(self.me.incarnation, 1), tuple(sorted([self.me, *others])))
            self._install(now, view, "founded")
            for member in others:
                self.out.send_to(member.address, self.joining.state(True))

    # -- opinions, reports, and what follows from them

    def _blame(self, now: float, name: str, incarnation: int) -> None:
        """This member's opinion is that `name` is gone: the baselines act on it alone, ours alerts."""
        if not self.roster.ours:
            return self.baseline.remove(name, incarnation)
        member = self.view.get(name) if self.view is not None else None
        if self.view is None or member is None:
            return
        self.reports.stir()  # a cut goes by this member's own opinion as well
        if name in self.roster.subjects() or self.settings.broken == "one-observer":
            said = replace(member.silent, incarnation=incarnation)
            self._alert(now, Alert(self.view.epoch, self.me.name, False, said))

    def _alert(self, now: float, alert: Alert) -> None:
        if alert.member.name == self.me.name and not alert.join and not self.leaving.begun:
            if alert.epoch == self.roster.epoch and self.view is not None:
                self.detector.refute(alert.member.incarnation)  # it is here: no vote for its own removal
        elif self.reports.take(now, alert):
            self._propose(now)

    def _alive(self, now: float, name: str, incarnation: int) -> None:
        """Word that another member lives, at this incarnation at least."""
        if name == self.me.name:
            return
        if not self.roster.ours:
            self.baseline.heard(now, name, incarnation)
        if self.roster.raise_to(name, incarnation):
            if self.suspicions.refuted(name, incarnation):
                self.reports.stir()
            self.reports.refuted(name, incarnation)
            self.gossip.spread(Alive(name, incarnation))

    def _propose(self, now: float) -> None:
        if self.view is None or self.voting.has_voted or not self.reports.due(now):
            return
        cut = self.reports.cut(now, self.judgements.agreed())
        if cut is not None:
            self.voting.propose(now, cut)

    def _grow(self, now: float, cut: Proposal) -> None:
        assert self.view is not None
        self._install(now, self.grow(self.view, cut), cut)

    def _install(self, now: float, view: View, cause: Proposal | str, sender: str = "") -> None:
        """A view that was agreed, founded or learnt takes the place of the one that is held."""
        old, me = self.view, self.me.name
        self.roster.hold(now, view)
        self.out.effects.append(Viewed(view))
        for part in (self.reports, self.judgements, self.voting):
            part.clear()
        self.joining.viewed()
        self.suspicions.keep(view)
        self.detector.begin_round()
        self.out.note(
            "view",
            epoch=view.epoch,
            members=len(view.members),
            fingerprint=fingerprint(view),
            facts=",".join(f"{one.key}={one.value}" for one in view.facts) or "-",
            changes=cause if isinstance(cause, str) else changes_text(cause),
            was=old.epoch if old is not None else 0,
        )
        self.out.count("views")
        if old is not None and me in old and me not in view:
            self.out.note("left out", epoch=view.epoch)  # removed while paused or cut off: ask in again
            self.joining.left_out(now, old, view, sender in view)
            self.roster.left_out()
            return self.detector.left_out()
        if not isinstance(cause, str):
            self.joining.welcome(cause)
        if not self.leaving.begun and self.judgements.say_again():
            self.reports.stir()
        # Faulty opinions that still stand are said again for the new epoch.
        for name, one in self.suspicions.held.items():
            if one.faulty and one.probed_since:
                self._blame(now, name, one.incarnation)

    def _leave(self, now: float, member: Member) -> None:
        """A member says that it leaves: who is not in the view, or came back since, does not."""
        if self.view is None or member.name not in self.view:
            return
        if not self.roster.ours:
            return self.roster.local.discard(member.name)
        known = self.roster.incarnation(member.name)
        if known > member.incarnation or not self.reports.left(member):
            return  # of an older self, or said before
        if member.incarnation > known:
            self.roster.raised[member.name] = member.incarnation
        self.out.note("left", member=member.name)
        self._propose(now)

    # -- messages

    def _got(self, now: float, message: Message, address: str) -> None:
        sender, epoch, body = message.envelope.sender, message.envelope.epoch, message.body
        self.out.count("received")
        if sender == self.me.name or isinstance(body, Ask | Told):
            return
        if not self.roster.ours:
            self._alive(now, sender, max(self.roster.incarnation(sender), 0))
        elif not isinstance(body, Sync):
            self.joining.lag(now, sender, epoch, address)
        self.detector.heard(now, sender)
        match body:
            case Ping(seq, news):
                self._take_news(now, news)
                if seq:
                    self.detector.answer(sender, seq, address)
            case Ack(_, of, incarnation, news):
                self._take_news(now, news)
                self._alive(now, of, incarnation)
                self.detector.heard(now, of)
                self.detector.acked(body)
            case PingReq():
                self.detector.relay(now, sender, body)
            case Nack(seq):
                self.detector.nacked(seq)
            case Join(member, relayed):
                self._joined(now, member, relayed)
            case Leave(member):
                self._leave(now, member)
            case Digest(value):
                self.joining.compared(sender, value, address)
            case Sync():
                self._synced(now, body, sender)
            case Votes() if self.roster.ours:
                self.voting.take_passed(now, sender, epoch, body)
            case _ if isinstance(body, Round):
                if self.roster.ours and self.view is not None and epoch == self.view.epoch:
                    self.voting.take(now, sender, body)

    def _take_news(self, now: float, items: tuple[News, ...]) -> None:
        for item in items:
            match item:
                case Alive(name, incarnation):
                    self._alive(now, name, incarnation)
                case Suspect(name, incarnation, by):
                    if self.settings.mode is not Mode.HEARTBEAT:
                        self.detector.suspect(now, name, incarnation, by)
                case Alert():
                    self._alert(now, item)
                case Judgement():
                    if self.judgements.take(item):
                        self.reports.stir()

    def _joined(self, now: float, member: Member, relayed: bool) -> None:
        if not self.roster.ours:
            self.roster.addresses[member.name] = member.address
            return self._alive(now, member.name, member.incarnation)
        report = self.joining.joined(now, member, relayed)
        if report is not None:
            self._alert(now, report)

    def _synced(self, now: float, sync: Sync, sender: str) -> None:
        for name, incarnation in sync.incarnations:
            if name != self.me.name:
                self._alive(now, name, incarnation)
            elif incarnation > self.me.incarnation:
                self.detector.refute(incarnation)  # an older self's: above it, never the same
        view = self.joining.synced(now, sync, sender)
        if view is not None:
            self._install(now, view, f"synced from {sender}", sender)
