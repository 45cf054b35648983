"""Collects the effects of one step: messages by name or address, log lines and counters. No I/O."""

from __future__ import annotations

from .events import Effect, LogLine, Send
from .member_table import MemberTable
from .messages import Body, Envelope, Message


class Outbox:
    """`effects` are those of the current step; `counters` accumulate over all steps."""

    def __init__(self, member_table: MemberTable) -> None:
        self._member_table = member_table
        self.effects: list[Effect] = []
        self.counters: dict[str, int] = {}

    def start_step(self) -> None:
        """Discard the effects of the previous step."""
        self.effects = []

    def broadcast(self, body: Body) -> None:
        """Send to every other known member."""
        for name in self._member_table.other_names():
            self.send(name, body)

    def send(self, name: str, body: Body, fallback_address: str = "", epoch: int | None = None) -> None:
        """Send to a member's address, or else to the fallback address; without either, send nothing."""
        address = self._member_table.address(name) or fallback_address
        if address:
            self.send_to_address(address, body, epoch)

    def send_to_address(self, address: str, body: Body, epoch: int | None = None) -> None:
        """Send with the current epoch, or with that of an earlier view that the message is about."""
        current_epoch = self._member_table.epoch
        envelope = Envelope(self._member_table.local_member.name, current_epoch if epoch is None else epoch)
        self.effects.append(Send(address, Message(envelope, body)))
        self.count("sent")

    def log(self, message: str, **fields: object) -> None:
        """Write a log line."""
        self.effects.append(LogLine(message, fields))

    def count(self, name: str) -> None:
        """Increment a counter."""
        self.counters[name] = self.counters.get(name, 0) + 1
