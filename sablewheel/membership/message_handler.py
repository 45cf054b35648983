"""Dispatches the messages that a member receives to its components. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from .cut_detector import CutDetector
from .fact_reports import FactReports
from .failure_detector import FailureDetector
from .joining import Joining
from .member_table import MemberTable
from .messages import (
    Accept,
    Accepted,
    Ack,
    Alert,
    Alive,
    Body,
    Digest,
    FactReport,
    GossipUpdate,
    Join,
    Leave,
    Message,
    Nack,
    Ping,
    PingRequest,
    Prepare,
    Promise,
    RoundMessage,
    StatusReply,
    StatusRequest,
    Suspect,
    Sync,
    Vote,
    Votes,
)
from .outbox import Outbox
from .plan import Mode, Settings
from .state_sync import StateSync
from .view import Member, Proposal, View
from .voting import Voting


class MessageTarget(Protocol):
    """The interface of a node that its message handler uses."""

    settings: Settings
    member_table: MemberTable
    outbox: Outbox
    failure_detector: FailureDetector
    cut_detector: CutDetector
    fact_reports: FactReports
    voting: Voting
    joining: Joining
    state_sync: StateSync

    @property
    def local_member(self) -> Member:
        """This member, with its current incarnation."""

    @property
    def view(self) -> View | None:
        """The agreed view."""

    def handle_alert(self, now: float, alert: Alert) -> None:
        """Handle an alert of any observer."""

    def handle_alive(self, now: float, name: str, incarnation: int) -> None:
        """Handle an update that a member is alive."""

    def handle_leave(self, now: float, member: Member) -> None:
        """Handle an announced leave."""

    def install_view(self, now: float, view: View, cause: Proposal | str, sender: str = "") -> None:
        """Replace the view."""


@dataclass(frozen=True)
class Context:
    """The origin of a message and when it arrived."""

    now: float
    sender: str
    epoch: int  # of the sender's view
    address: str


class MessageHandler:
    """Handles the messages of one node."""

    def __init__(self, node: MessageTarget) -> None:
        self._node = node

    def handle(self, now: float, message: Message, address: str) -> None:
        """Handle a message from `address`; messages of this member itself and of tools are ignored."""
        node, body = self._node, message.body
        context = Context(now, message.envelope.sender, message.envelope.epoch, address)
        node.outbox.count("received")
        if context.sender == node.local_member.name or isinstance(body, StatusRequest | StatusReply):
            return
        if not node.member_table.uses_consensus:
            node.handle_alive(now, context.sender, max(node.member_table.incarnation(context.sender), 0))
        elif not isinstance(body, Sync):
            node.state_sync.request_newer_view(now, context.sender, context.epoch, address)
        node.failure_detector.message_received(now, context.sender)
        _HANDLERS[type(body)](self, context, body)

    # -- probes

    def _handle_ping(self, context: Context, ping: Ping) -> None:
        self._handle_updates(context.now, ping.updates)
        if ping.sequence:
            detector = self._node.failure_detector
            detector.answer_ping(context.sender, ping.sequence, context.address)

    def _handle_ack(self, context: Context, ack: Ack) -> None:
        self._handle_updates(context.now, ack.updates)
        self._node.handle_alive(context.now, ack.target, ack.incarnation)
        self._node.failure_detector.message_received(context.now, ack.target)
        self._node.failure_detector.handle_ack(ack)

    def _handle_ping_request(self, context: Context, request: PingRequest) -> None:
        self._node.failure_detector.relay.handle_request(context.now, context.sender, request)

    def _handle_nack(self, context: Context, nack: Nack) -> None:
        del context
        self._node.failure_detector.handle_nack(nack.sequence)

    def _handle_updates(self, now: float, updates: tuple[GossipUpdate, ...]) -> None:
        node = self._node
        for update in updates:
            match update:
                case Alive(name, incarnation):
                    node.handle_alive(now, name, incarnation)
                case Suspect(name, incarnation, suspected_by):
                    if node.settings.mode is not Mode.HEARTBEAT:
                        node.failure_detector.suspect(now, name, incarnation, suspected_by)
                case Alert():
                    node.handle_alert(now, update)
                case FactReport():
                    if node.fact_reports.record(update):
                        node.cut_detector.mark_changed()

    # -- joining, leaving and full state

    def _handle_join(self, context: Context, join: Join) -> None:
        node, member = self._node, join.member
        if not node.member_table.uses_consensus:
            node.member_table.addresses[member.name] = member.address
            node.handle_alive(context.now, member.name, member.incarnation)
            return
        alert = node.joining.handle_join(context.now, member, join.is_relayed)
        if alert is not None:
            node.handle_alert(context.now, alert)

    def _handle_leave(self, context: Context, leave: Leave) -> None:
        self._node.handle_leave(context.now, leave.member)

    def _handle_digest(self, context: Context, digest: Digest) -> None:
        self._node.state_sync.handle_digest(context.sender, digest.value, context.address)

    def _handle_sync(self, context: Context, sync: Sync) -> None:
        node = self._node
        for name, incarnation in sync.incarnations:
            if name != node.local_member.name:
                node.handle_alive(context.now, name, incarnation)
            elif incarnation > node.local_member.incarnation:
                node.failure_detector.refute(incarnation)  # an earlier process of this member used it
        view = node.state_sync.handle_sync(context.now, sync, context.sender)
        if view is not None:
            node.install_view(context.now, view, f"synced from {context.sender}", context.sender)

    # -- votes

    def _handle_votes(self, context: Context, votes: Votes) -> None:
        if self._node.member_table.uses_consensus:
            self._node.voting.handle_relayed_votes(context.now, context.sender, context.epoch, votes)

    def _handle_round_message(self, context: Context, body: RoundMessage) -> None:
        node = self._node
        if not node.member_table.uses_consensus or node.view is None or context.epoch != node.view.epoch:
            return
        node.voting.handle_round_message(context.now, context.sender, body)


_HANDLERS: dict[type[Body], Callable[[MessageHandler, Context, Any], None]] = {
    Ping: MessageHandler._handle_ping,
    Ack: MessageHandler._handle_ack,
    PingRequest: MessageHandler._handle_ping_request,
    Nack: MessageHandler._handle_nack,
    Join: MessageHandler._handle_join,
    Leave: MessageHandler._handle_leave,
    Digest: MessageHandler._handle_digest,
    Sync: MessageHandler._handle_sync,
    Votes: MessageHandler._handle_votes,
    Vote: MessageHandler._handle_round_message,
    Prepare: MessageHandler._handle_round_message,
    Promise: MessageHandler._handle_round_message,
    Accept: MessageHandler._handle_round_message,
    Accepted: MessageHandler._handle_round_message,
}
