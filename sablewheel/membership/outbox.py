"""What one step wants done, gathered as it goes: messages by name or address, notes and counts. Pure."""

from __future__ import annotations

from .events import Effect, Note, Send
from .member_table import Roster
from .messages import Body, Envelope, Message


class Outbox:
    """`effects` are those of the step that is under way; `counts` go on for the member's life."""

    def __init__(self, roster: Roster) -> None:
        self._roster = roster
        self.effects: list[Effect] = []
        self.counts: dict[str, int] = {}

    def begin(self) -> None:
        self.effects = []

    def broadcast(self, body: Body) -> None:
        for name in self._roster.others():
            self.send(name, body)

    def send(self, name: str, body: Body, fallback: str = "", epoch: int | None = None) -> None:
        """To a member by name, or to `fallback` if nobody knows where it is; else to nobody."""
        address = self._roster.address(name) or fallback
        if address:
            self.send_to(address, body, epoch)

    def send_to(self, address: str, body: Body, epoch: int | None = None) -> None:
        """With the epoch of the view that is held, or that of an earlier one that the message is about."""
        envelope = Envelope(self._roster.me.name, self._roster.epoch if epoch is None else epoch)
        self.effects.append(Send(address, Message(envelope, body)))
        self.count("sent")

    def note(self, what: str, **fields: object) -> None:
        self.effects.append(Note(what, fields))

    def count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
