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

from .cut_detector import CutDetector
from .detector import FailureDetector
from .events import Effect, Event, FactReported, LeaveRequested, MessageReceived, TimerFired, ViewInstalled
from .fact_reports import FactReports
from .gossip import Gossip
from .heartbeat_baseline import HeartbeatBaseline
from .joining import Joining
from .leaving import Leaving
from .member_table import MemberTable
from .messages import (
    Ack,
    Alert,
    Alive,
    Digest,
    FactReport,
    GossipUpdate,
    Join,
    Leave,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    RoundMessage,
    StatusReply,
    StatusRequest,
    Suspect,
    Sync,
    Votes,
)
from .outbox import Outbox
from .plan import Mode, Settings
from .suspicions import SuspicionTable
from .view import Member, Proposal, View, changes_text, fingerprint
from .voting import Voting


class Node:
    """One member. `view` is None until it is let in (or founds the first view)."""

    def __init__(
        self, me: Member, seeds: tuple[str, ...], settings: Settings, chance: random.Random, now: float
    ) -> None:
        self.settings = settings
        self.apply_changes: Callable[[View, Proposal], View] = (
            View.apply
        )  # a simulation has its members share views
        roster = self.member_table = MemberTable(me, settings, now)
        out = self.outbox = Outbox(roster)
        self.gossip = Gossip(roster, settings)
        self.suspicions = SuspicionTable(roster, self.gossip, out, settings)
        self.failure_detector = FailureDetector(
            roster, self.suspicions, self.gossip, out, settings, chance, now, self._handle_failure
        )
        self.heartbeat_baseline = HeartbeatBaseline(roster, out, settings, now, self._handle_failure)
        self.cut_detector = CutDetector(roster, self.suspicions, self.gossip, out, settings)
        self.fact_reports = FactReports(roster, self.gossip, out)
        self.voting = Voting(roster, out, settings, chance, self._apply_decision)
        self.joining = Joining(roster, out, settings, chance, seeds, now)
        self.leaving = Leaving(roster, out, settings)
        self._last_step_at = now
        self._expected_step_at = (
            now  # when the shell was to call next: far later means this process was stopped
        )

    # -- what the shell asks

    @property
    def local_member(self) -> Member:
        return self.member_table.local_member

    @property
    def view(self) -> View | None:
        return self.member_table.view

    @property
    def members(self) -> tuple[str, ...]:
        """Who this member holds to be in: the agreed view, or a baseline's own set."""
        return self.member_table.member_names()

    @property
    def counters(self) -> dict[str, int]:
        return self.outbox.counters

    def start_with_view(
        self, view: View, probe_at: float | None = None, sync_at: float | None = None
    ) -> None:
        """A fleet that stands already, for simulations and tests."""
        self._install_view(self._last_step_at, view, "given")
        self.outbox.start_step()
        self.failure_detector.next_probe_at = (
            probe_at if probe_at is not None else self.failure_detector.next_probe_at
        )
        self.joining.next_sync_at = sync_at if sync_at is not None else self.joining.next_sync_at

    def refute_suspicion(self) -> None:
        """As if this member had been suspected: a rumour of its own, for simulations and tests."""
        self.failure_detector.refute(self.local_member.incarnation)
        self.outbox.start_step()

    def known_incarnation(self, name: str) -> int:
        """The highest incarnation known of a member."""
        return self.member_table.known_incarnation(name)

    def status(self, now: float) -> StatusReply:
        """What a tool is shown."""
        states = []
        for name in self.members:
            one = self.suspicions.by_name.get(name)
            state = "alive" if one is None else "faulty" if one.faulty else "suspect"
            states.append(
                MemberState(
                    name, state, now - self.member_table.joined_at(name), self.known_incarnation(name)
                )
            )
        return StatusReply(
            self.view, tuple(states), self.failure_detector.health_score, tuple(sorted(self.counters.items()))
        )

    @property
    def next_wakeup(self) -> float:
        """When the shell is to call at the latest."""
        if self.leaving.has_started:
            return max(self.leaving.next_wakeup, self._last_step_at + 0.001)
        ours, view = self.member_table.uses_consensus, self.view
        if ours and view is None:
            times = [self.joining.next_join_at, *self.failure_detector.relay_deadlines()]
        else:
            beats = self.settings.mode is Mode.HEARTBEAT
            times = (
                self.heartbeat_baseline.wakeup_times()
                if beats
                else [*self.failure_detector.wakeup_times(), self.joining.next_sync_at]
            )
            if view is None:
                times.append(self.joining.next_join_at)
            times += self.suspicions.wakeup_times() + self.voting.wakeup_times()
            if not self.voting.has_voted:
                times += self.cut_detector.wakeup_times()
        # Never sooner than a millisecond on: guards the shell against a busy loop on a timer left behind.
        return max(min(times), self._last_step_at + 0.001)

    def step(self, now: float, event: Event) -> list[Effect]:
        """What to do because of `event`, and of the timers that are due at `now`."""
        self.outbox.start_step()
        late = now - self._expected_step_at
        self._last_step_at = now
        if late > max(2 * self.settings.period_s, 1.0) and self.member_table.uses_consensus and self.view:
            self.failure_detector.handle_pause(now, late)
            self.outbox.log("paused", seconds=round(late, 3))
        match event:
            case MessageReceived(message, address):
                self._handle_message(now, message, address)
            case LeaveRequested():
                self.leaving.start(now)
                self._handle_leave(now, self.local_member)  # votes for its own removal while it is there
            case FactReported(fact):
                if not self.leaving.has_started and self.fact_reports.report(fact):
                    self.cut_detector.mark_changed()
            case TimerFired():
                pass
        if self.leaving.has_started:
            self.leaving.run_timers(now)
        else:
            self._run_timers(now)
        self._expected_step_at = self.next_wakeup
        return self.outbox.effects

    # -- timers

    def _run_timers(self, now: float) -> None:
        self.failure_detector.expire_relays(now)
        if not self.member_table.uses_consensus:
            self.joining.announce_to_seeds(now)
        elif self.view is None:
            return self._request_join(now)
        if self.settings.mode is Mode.HEARTBEAT:
            return self.heartbeat_baseline.run_timers(now)
        self.failure_detector.run_timers(now)
        self.joining.send_digest(now)
        if self.member_table.uses_consensus:
            self._propose_if_due(now)
            self.voting.run_timers(now)

    def _request_join(self, now: float) -> None:
        others = self.joining.request_join(now)
        if others is not None:
            # Its epoch is the founder's clock, so that a fleet founded anew goes above any view that a
            # survivor still holds.
            view = View(max(self.local_member.incarnation, 1), tuple(sorted([self.local_member, *others])))
            self._install_view(now, view, "founded")
            for member in others:
                self.outbox.send_to(member.address, self.joining.full_state(True))

    # -- opinions, reports, and what follows from them

    def _handle_failure(self, now: float, name: str, incarnation: int) -> None:
        """This member's opinion is that `name` is gone: the baselines act on it alone, ours alerts."""
        if not self.member_table.uses_consensus:
            return self.heartbeat_baseline.remove(name, incarnation)
        member = self.view.get(name) if self.view is not None else None
        if self.view is None or member is None:
            return
        self.cut_detector.mark_changed()  # a cut goes by this member's own opinion as well
        if name in self.member_table.subjects() or self.settings.injected_fault == "one-observer":
            said = replace(member.without_metadata, incarnation=incarnation)
            self._handle_alert(now, Alert(self.view.epoch, self.local_member.name, False, said))

    def _handle_alert(self, now: float, alert: Alert) -> None:
        if alert.member.name == self.local_member.name and not alert.is_join and not self.leaving.has_started:
            if alert.epoch == self.member_table.epoch and self.view is not None:
                self.failure_detector.refute(
                    alert.member.incarnation
                )  # it is here: no vote for its own removal
        elif self.cut_detector.record_alert(now, alert):
            self._propose_if_due(now)

    def _handle_alive(self, now: float, name: str, incarnation: int) -> None:
        """Word that another member lives, at this incarnation at least."""
        if name == self.local_member.name:
            return
        if not self.member_table.uses_consensus:
            self.heartbeat_baseline.message_received(now, name, incarnation)
        if self.member_table.raise_incarnation(name, incarnation):
            if self.suspicions.clear_refuted(name, incarnation):
                self.cut_detector.mark_changed()
            self.cut_detector.clear_refuted(name, incarnation)
            self.gossip.disseminate(Alive(name, incarnation))

    def _propose_if_due(self, now: float) -> None:
        if self.view is None or self.voting.has_voted or not self.cut_detector.is_evaluation_due(now):
            return
        cut = self.cut_detector.evaluate(now, self.fact_reports.agreed_changes())
        if cut is not None:
            self.voting.propose(now, cut)

    def _apply_decision(self, now: float, cut: Proposal) -> None:
        assert self.view is not None
        self._install_view(now, self.apply_changes(self.view, cut), cut)

    def _install_view(self, now: float, view: View, cause: Proposal | str, sender: str = "") -> None:
        """A view that was agreed, founded or learnt takes the place of the one that is held."""
        old, me = self.view, self.local_member.name
        self.member_table.install_view(now, view)
        self.outbox.effects.append(ViewInstalled(view))
        for part in (self.cut_detector, self.fact_reports, self.voting):
            part.clear()
        self.joining.handle_view_installed()
        self.suspicions.retain_members(view)
        self.failure_detector.restart_probe_round()
        self.outbox.log(
            "view",
            epoch=view.epoch,
            members=len(view.members),
            fingerprint=fingerprint(view),
            facts=",".join(f"{one.key}={one.value}" for one in view.facts) or "-",
            changes=cause if isinstance(cause, str) else changes_text(cause),
            was=old.epoch if old is not None else 0,
        )
        self.outbox.count("views")
        if old is not None and me in old and me not in view:
            self.outbox.log("left out", epoch=view.epoch)  # removed while paused or cut off: ask in again
            self.joining.handle_removal(now, old, view, sender in view)
            self.member_table.handle_removal()
            return self.failure_detector.handle_removal()
        if not isinstance(cause, str):
            self.joining.send_view_to_joiners(cause)
        if not self.leaving.has_started and self.fact_reports.repeat_reports():
            self.cut_detector.mark_changed()
        # Faulty opinions that still stand are said again for the new epoch.
        for name, one in self.suspicions.by_name.items():
            if one.faulty and one.confirmed_by_own_probe:
                self._handle_failure(now, name, one.incarnation)

    def _handle_leave(self, now: float, member: Member) -> None:
        """A member says that it leaves: who is not in the view, or came back since, does not."""
        if self.view is None or member.name not in self.view:
            return
        if not self.member_table.uses_consensus:
            return self.member_table.baseline_members.discard(member.name)
        known = self.member_table.incarnation(member.name)
        if known > member.incarnation or not self.cut_detector.record_leave(member):
            return  # of an older self, or said before
        if member.incarnation > known:
            self.member_table.raised_incarnations[member.name] = member.incarnation
        self.outbox.log("left", member=member.name)
        self._propose_if_due(now)

    # -- messages

    def _handle_message(self, now: float, message: Message, address: str) -> None:
        sender, epoch, body = message.envelope.sender, message.envelope.epoch, message.body
        self.outbox.count("received")
        if sender == self.local_member.name or isinstance(body, StatusRequest | StatusReply):
            return
        if not self.member_table.uses_consensus:
            self._handle_alive(now, sender, max(self.member_table.incarnation(sender), 0))
        elif not isinstance(body, Sync):
            self.joining.request_newer_view(now, sender, epoch, address)
        self.failure_detector.message_received(now, sender)
        match body:
            case Ping(seq, news):
                self._handle_updates(now, news)
                if seq:
                    self.failure_detector.answer_ping(sender, seq, address)
            case Ack(_, of, incarnation, news):
                self._handle_updates(now, news)
                self._handle_alive(now, of, incarnation)
                self.failure_detector.message_received(now, of)
                self.failure_detector.handle_ack(body)
            case PingRequest():
                self.failure_detector.relay_probe(now, sender, body)
            case Nack(seq):
                self.failure_detector.handle_nack(seq)
            case Join(member, relayed):
                self._handle_join(now, member, relayed)
            case Leave(member):
                self._handle_leave(now, member)
            case Digest(value):
                self.joining.handle_digest(sender, value, address)
            case Sync():
                self._handle_sync(now, body, sender)
            case Votes() if self.member_table.uses_consensus:
                self.voting.handle_relayed_votes(now, sender, epoch, body)
            case _ if isinstance(body, RoundMessage):
                if self.member_table.uses_consensus and self.view is not None and epoch == self.view.epoch:
                    self.voting.handle_round_message(now, sender, body)

    def _handle_updates(self, now: float, items: tuple[GossipUpdate, ...]) -> None:
        for item in items:
            match item:
                case Alive(name, incarnation):
                    self._handle_alive(now, name, incarnation)
                case Suspect(name, incarnation, by):
                    if self.settings.mode is not Mode.HEARTBEAT:
                        self.failure_detector.suspect(now, name, incarnation, by)
                case Alert():
                    self._handle_alert(now, item)
                case FactReport():
                    if self.fact_reports.record(item):
                        self.cut_detector.mark_changed()

    def _handle_join(self, now: float, member: Member, relayed: bool) -> None:
        if not self.member_table.uses_consensus:
            self.member_table.addresses[member.name] = member.address
            return self._handle_alive(now, member.name, member.incarnation)
        report = self.joining.handle_join(now, member, relayed)
        if report is not None:
            self._handle_alert(now, report)

    def _handle_sync(self, now: float, sync: Sync, sender: str) -> None:
        for name, incarnation in sync.incarnations:
            if name != self.local_member.name:
                self._handle_alive(now, name, incarnation)
            elif incarnation > self.local_member.incarnation:
                self.failure_detector.refute(incarnation)  # an older self's: above it, never the same
        view = self.joining.handle_sync(now, sync, sender)
        if view is not None:
            self._install_view(now, view, f"synced from {sender}", sender)
