"""One member: failure detection (SWIM with Lifeguard), alerts of observers (Rapid), and the agreed view.

No I/O: `Node.step(now, event)` takes an event and returns the effects; the time and the random generator are
passed in.

The failure detector only evaluates this member's own links, and no member is removed on that alone. An
observer whose suspicion of its subject expired sends an alert; a change is proposed when enough of a
subject's observers agree (high watermark) and no other subject is between the watermarks; consensus decides
on it.

This module connects the components and defines their order: `failure_detector` and `suspicions` detect
failures, `cut_detector` derives the proposal, `fact_reports` the agreed facts, `voting` decides, and
`joining` and `state_sync` provide members with the view. All of them share the `member_table`.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace

from .cut_detector import CutDetector
from .events import Effect, Event, FactReported, LeaveRequested, MessageReceived, TimerFired, ViewInstalled
from .fact_reports import FactReports
from .failure_detector import FailureDetector
from .gossip import Gossip
from .heartbeat_baseline import HeartbeatBaseline
from .joining import Joining
from .leaving import Leaving
from .member_table import MemberTable
from .message_handler import MessageHandler
from .messages import Alert, Alive, MemberState, StatusReply
from .outbox import Outbox
from .plan import Mode, Settings
from .state_sync import StateSync
from .suspicions import SuspicionTable
from .view import Member, Proposal, View, changes_text, fingerprint
from .voting import Voting

MIN_WAKEUP_DELAY_S = 0.001  # prevents a busy loop on a timer that stays due
MIN_PAUSE_S = 1.0  # shorter delays of timers do not count as a pause of the process
MIN_PAUSE_PERIODS = 2


class Node:
    """One member; `view` is None until it is admitted or founds the first view."""

    def __init__(
        self,
        local_member: Member,
        seeds: tuple[str, ...],
        settings: Settings,
        rng: random.Random,
        now: float,
    ) -> None:
        self.settings = settings
        # Replaced by simulations whose members share views.
        self.apply_changes: Callable[[View, Proposal], View] = View.apply
        table = self.member_table = MemberTable(local_member, settings, now)
        outbox = self.outbox = Outbox(table)
        self.gossip = Gossip(table, settings)
        self.suspicions = SuspicionTable(table, self.gossip, outbox, settings)
        self.failure_detector = FailureDetector(
            table, self.suspicions, self.gossip, outbox, settings, rng, now, self._handle_failure
        )
        self.heartbeat_baseline = HeartbeatBaseline(table, outbox, settings, now, self._handle_failure)
        self.cut_detector = CutDetector(table, self.suspicions, self.gossip, outbox, settings)
        self.fact_reports = FactReports(table, self.gossip, outbox)
        self.voting = Voting(table, outbox, settings, rng, self._apply_decision)
        self.joining = Joining(table, outbox, settings, rng, seeds, now)
        self.state_sync = StateSync(table, self.joining, outbox, settings, rng, now)
        self.leaving = Leaving(table, outbox, settings)
        self._message_handler = MessageHandler(self)
        self._last_step_at = now
        self._expected_step_at = now  # a step much later means that this process was paused

    # -- queries

    @property
    def local_member(self) -> Member:
        """This member, with its current incarnation."""
        return self.member_table.local_member

    @property
    def view(self) -> View | None:
        """The agreed view."""
        return self.member_table.view

    @property
    def members(self) -> tuple[str, ...]:
        """The members by the agreed view, or by a baseline's own decisions."""
        return self.member_table.member_names()

    @property
    def counters(self) -> dict[str, int]:
        """Counters since this member was created."""
        return self.outbox.counters

    def known_incarnation(self, name: str) -> int:
        """Return the highest known incarnation of a member."""
        return self.member_table.known_incarnation(name)

    def status(self, now: float) -> StatusReply:
        """Return the answer to a status request."""
        states = tuple(
            MemberState(
                name,
                self._state_of(name),
                now - self.member_table.joined_at(name),
                self.known_incarnation(name),
            )
            for name in self.members
        )
        counters = tuple(sorted(self.counters.items()))
        return StatusReply(self.view, states, self.failure_detector.health_score, counters)

    def _state_of(self, name: str) -> str:
        suspicion = self.suspicions.by_name.get(name)
        if suspicion is None:
            return "alive"
        return "faulty" if suspicion.faulty else "suspect"

    # -- for simulations and tests

    def start_with_view(
        self, view: View, next_probe_at: float | None = None, next_sync_at: float | None = None
    ) -> None:
        """Start as a member of an existing fleet."""
        self.install_view(self._last_step_at, view, "given")
        self.outbox.start_step()
        if next_probe_at is not None:
            self.failure_detector.next_probe_at = next_probe_at
        if next_sync_at is not None:
            self.state_sync.next_sync_at = next_sync_at

    def refute_suspicion(self) -> None:
        """Raise the incarnation as if this member had been suspected."""
        self.failure_detector.refute(self.local_member.incarnation)
        self.outbox.start_step()

    # -- steps

    @property
    def next_wakeup(self) -> float:
        """When the next step is due at the latest."""
        earliest = self._last_step_at + MIN_WAKEUP_DELAY_S
        if self.leaving.has_started:
            return max(self.leaving.next_wakeup, earliest)
        return max(min(self._wakeup_times()), earliest)

    def _wakeup_times(self) -> list[float]:
        if self.member_table.uses_consensus and self.view is None:
            return [self.joining.next_join_at, *self.failure_detector.relay.wakeup_times()]
        if self.settings.mode is Mode.HEARTBEAT:
            times = self.heartbeat_baseline.wakeup_times()
        else:
            times = [*self.failure_detector.wakeup_times(), self.state_sync.next_sync_at]
        if self.view is None:
            times.append(self.joining.next_join_at)
        times += self.suspicions.wakeup_times() + self.voting.wakeup_times()
        if not self.voting.has_voted:
            times += self.cut_detector.wakeup_times()
        return times

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handle an event and the timers that are due, and return the effects."""
        self.outbox.start_step()
        delay_s = now - self._expected_step_at
        self._last_step_at = now
        max_delay_s = max(MIN_PAUSE_PERIODS * self.settings.period_s, MIN_PAUSE_S)
        if delay_s > max_delay_s and self.member_table.uses_consensus and self.view:
            self.failure_detector.handle_pause(now, delay_s)
            self.outbox.log("paused", seconds=round(delay_s, 3))
        self._handle_event(now, event)
        if self.leaving.has_started:
            self.leaving.run_timers(now)
        else:
            self._run_timers(now)
        self._expected_step_at = self.next_wakeup
        return self.outbox.effects

    def _handle_event(self, now: float, event: Event) -> None:
        match event:
            case MessageReceived(message, source_address):
                self._message_handler.handle(now, message, source_address)
            case LeaveRequested():
                self.leaving.start(now)
                self.handle_leave(now, self.local_member)  # it still votes for its own removal
            case FactReported(fact):
                if not self.leaving.has_started and self.fact_reports.report(fact):
                    self.cut_detector.mark_changed()
            case TimerFired():
                pass

    def _run_timers(self, now: float) -> None:
        self.failure_detector.relay.expire(now)
        if not self.member_table.uses_consensus:
            self.joining.announce_to_seeds(now)
        elif self.view is None:
            self._request_join(now)
            return
        if self.settings.mode is Mode.HEARTBEAT:
            self.heartbeat_baseline.run_timers(now)
            return
        self.failure_detector.run_timers(now)
        self.state_sync.send_digest(now)
        if self.member_table.uses_consensus:
            self._propose_if_due(now)
            self.voting.run_timers(now)

    def _request_join(self, now: float) -> None:
        other_founders = self.joining.request_join(now)
        if other_founders is None:
            return
        # The epoch is taken from the founder's clock, so that it is above the epoch of any view of an earlier
        # fleet that a member still has.
        epoch = max(self.local_member.incarnation, 1)
        self.install_view(now, View(epoch, tuple(sorted([self.local_member, *other_founders]))), "founded")
        for member in other_founders:
            self.outbox.send_to_address(member.address, self.state_sync.full_state(True))

    # -- failures, alerts and proposals

    def _handle_failure(self, now: float, name: str, incarnation: int) -> None:
        """Remove a failed member in a baseline; send an alert in the product's protocol."""
        if not self.member_table.uses_consensus:
            self.heartbeat_baseline.remove(name, incarnation)
            return
        member = self.view.get(name) if self.view is not None else None
        if self.view is None or member is None:
            return
        self.cut_detector.mark_changed()  # a proposal also depends on this member's own probes
        if name in self.member_table.subjects() or self.settings.injected_fault == "one-observer":
            failed = replace(member.without_metadata, incarnation=incarnation)
            self.handle_alert(now, Alert(self.view.epoch, self.local_member.name, False, failed))

    def handle_alert(self, now: float, alert: Alert) -> None:
        """Handle an alert of any observer; an alert on this member itself is refuted."""
        is_own_removal = alert.member.name == self.local_member.name and not alert.is_join
        if is_own_removal and not self.leaving.has_started:
            if alert.epoch == self.member_table.epoch and self.view is not None:
                self.failure_detector.refute(alert.member.incarnation)
        elif self.cut_detector.record_alert(now, alert):
            self._propose_if_due(now)

    def handle_alive(self, now: float, name: str, incarnation: int) -> None:
        """Handle an update that another member is alive at an incarnation or a higher one."""
        if name == self.local_member.name:
            return
        if not self.member_table.uses_consensus:
            self.heartbeat_baseline.message_received(now, name, incarnation)
        if self.member_table.raise_incarnation(name, incarnation):
            if self.suspicions.clear_refuted(name, incarnation):
                self.cut_detector.mark_changed()
            self.cut_detector.clear_refuted(name, incarnation)
            self.gossip.disseminate(Alive(name, incarnation))

    def handle_leave(self, now: float, member: Member) -> None:
        """Handle an announced leave of a member of the view, unless it has rejoined since."""
        if self.view is None or member.name not in self.view:
            return
        if not self.member_table.uses_consensus:
            self.member_table.baseline_members.discard(member.name)
            return
        known = self.member_table.incarnation(member.name)
        if known > member.incarnation or not self.cut_detector.record_leave(member):
            return
        if member.incarnation > known:
            self.member_table.raised_incarnations[member.name] = member.incarnation
        self.outbox.log("member leaving", member=member.name)
        self._propose_if_due(now)

    def _propose_if_due(self, now: float) -> None:
        if self.view is None or self.voting.has_voted or not self.cut_detector.is_evaluation_due(now):
            return
        proposal = self.cut_detector.evaluate(now, self.fact_reports.agreed_changes())
        if proposal is not None:
            self.voting.propose(now, proposal)

    # -- a new view

    def _apply_decision(self, now: float, proposal: Proposal) -> None:
        assert self.view is not None
        self.install_view(now, self.apply_changes(self.view, proposal), proposal)

    def install_view(self, now: float, view: View, cause: Proposal | str, sender: str = "") -> None:
        """Replace the view by one that was decided, founded or received from `sender`."""
        previous = self.view
        self.member_table.install_view(now, view)
        self.outbox.effects.append(ViewInstalled(view))
        self.cut_detector.clear()
        self.fact_reports.clear()
        self.voting.clear()
        self.joining.handle_view_installed()
        self.state_sync.handle_view_installed()
        self.suspicions.retain_members(view)
        self.failure_detector.restart_probe_round()
        self._log_view(previous, view, cause)
        local_name = self.local_member.name
        if previous is not None and local_name in previous and local_name not in view:
            self._handle_own_removal(now, previous, view, sender)
            return
        if not isinstance(cause, str):
            self.joining.send_view_to_joiners(cause)
        if not self.leaving.has_started and self.fact_reports.repeat_reports():
            self.cut_detector.mark_changed()
        # Failures that still hold are reported again for the new epoch.
        for name, suspicion in self.suspicions.by_name.items():
            if suspicion.faulty and suspicion.confirmed_by_own_probe:
                self._handle_failure(now, name, suspicion.incarnation)

    def _log_view(self, previous: View | None, view: View, cause: Proposal | str) -> None:
        self.outbox.log(
            "view",
            epoch=view.epoch,
            members=len(view.members),
            fingerprint=fingerprint(view),
            facts=",".join(f"{fact.key}={fact.value}" for fact in view.facts) or "-",
            changes=cause if isinstance(cause, str) else changes_text(cause),
            previous_epoch=previous.epoch if previous is not None else 0,
        )
        self.outbox.count("views")

    def _handle_own_removal(self, now: float, previous: View, view: View, sender: str) -> None:
        """Rejoin after this member was removed while it was paused or partitioned off."""
        self.outbox.log("removed from view", epoch=view.epoch)
        self.joining.handle_removal(now, previous, view, learned_from_member=sender in view)
        self.member_table.handle_removal()
        self.failure_detector.handle_removal()
