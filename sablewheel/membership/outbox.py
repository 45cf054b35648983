"""What one step wants done, gathered as it goes: messages by name or address, notes and counts. Pure."""

from __future__ import annotations

from .events import Effect, LogLine, Send
from .member_table import MemberTable
from .messages import Body, Envelope, Message


class Outbox:
    """`effects` are those of the step that is under way; `counts` go on for the member's life."""

    def __init__(self, roster: MemberTable) -> None:
        self._member_table = roster
        self.effects: list[Effect] = []
        self.counters: dict[str, int] = {}

    def start_step(self) -> None:
        self.effects = []

    def broadcast(self, body: Body) -> None:
        for name in self._member_table.other_names():
            self.send(name, body)

    def send(self, name: str, body: Body, fallback: str = "", epoch: int | None = None) -> None:
        """To a member by name, or to `fallback` if nobody knows where it is; else to nobody."""
        address = self._member_table.address(name) or fallback
        if address:
            self.send_to(address, body, epoch)

    def send_to(self, address: str, body: Body, epoch: int | None = None) -> None:
        """With the epoch of the view that is held, or that of an earlier one that the message is about."""
        envelope = Envelope(
            self._member_table.local_member.name, self._member_table.epoch if epoch is None else epoch
        )
        self.effects.append(Send(address, Message(envelope, body)))
        self.count("sent")

    def log(self, what: str, **fields: object) -> None:
        self.effects.append(LogLine(what, fields))

    def count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1
