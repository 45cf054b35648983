"""One change of one key, from the proposer's side: CASPaxos (Rystsov 2018). Pure.

Two trips to a majority: ask for promises, take the latest of what they hold, change it, have it accepted.
Who had the last change accepted was promised the next ballot with it, and needs one trip. A ballot begins
with its epoch: whatever was begun under an older view is below all that is begun under this one.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from .entries import EMPTY, NO_BALLOT, Ballot, Change, Entry, changed, merge
from .messages import Accept, Key, Message, Prepare


def next_ballot(ballot: Ballot) -> Ballot:
    """What a holder promises along with an acceptance."""
    return (ballot[0], ballot[1] + 1, ballot[2], ballot[3])


@dataclass(slots=True)
class Round:
    """A change under way. `holders` are those of its epoch; `done` says what it came to."""

    ref: int
    key: Key
    slot: int
    group: bytes
    change: Change
    until: float
    under: int = 0
    epoch: int = 0
    holders: tuple[str, ...] = ()
    ballot: Ballot = NO_BALLOT
    promises: dict[str, Entry] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    proposed: Entry | None = None
    means: str = ""  # once it is accepted
    offered: bool = False  # whether a value of ours went out
    refused: dict[str, str] = field(default_factory=dict)
    tries: int = 0
    at: float = 0.0  # of its next repeat
    needed: int = 0  # a majority of the holders

    def begin(
        self, epoch: int, holders: tuple[str, ...], needed: int, ballot: Ballot, known: Entry | None = None
    ) -> None:
        """From the first trip; from the second if this ballot is promised already, on what was `known`."""
        self.epoch, self.holders, self.needed, self.ballot = epoch, holders, needed, ballot
        self.promises, self.accepted, self.refused = {}, set(), {}
        self.proposed, self.means = None, ""
        if known is not None:
            self._propose(known)

    def _propose(self, held: Entry) -> None:
        entry, self.means = changed(self.change, held)
        self.proposed = replace(entry, ballot=self.ballot)

    def asks(self, now: float) -> list[tuple[str, Message]]:
        """What is still without an answer, to each holder that owes one."""
        left, proposed = self.until - now, self.proposed
        if proposed is None:
            ask: Message = Prepare(
                self.epoch, self.ref, self.key, self.slot, self.ballot, left, self.group, self.under
            )
            return [(name, ask) for name in self.holders if name not in self.promises]
        offer = Accept(self.epoch, self.ref, self.key, self.slot, proposed, left, self.group, self.under)
        return [(name, offer) for name in self.holders if name not in self.accepted]

    def promised(self, name: str, ballot: Ballot, entry: Entry) -> bool:
        """Whether the second trip begins."""
        if ballot != self.ballot or name not in self.holders or self.proposed is not None:
            return False
        self.promises[name] = entry
        self.refused.pop(name, None)
        if len(self.promises) < self.needed:
            return False
        held = EMPTY
        for one in self.promises.values():
            held = merge(held, one)
        self._propose(held)
        return True

    def took(self, name: str, ballot: Ballot) -> bool:
        """Whether it is accepted by a majority."""
        if ballot != self.ballot or name not in self.holders or self.proposed is None:
            return False
        self.accepted.add(name)
        return len(self.accepted) >= self.needed

    def refusal(self, name: str, why: str, asked: Ballot) -> str:
        """`again` with a higher ballot, `fenced` or `full` for good, or nothing yet."""
        if asked != self.ballot or name not in self.holders:
            return ""
        if why in ("ballot", "fenced"):
            return "again" if why == "ballot" else why
        self.refused[name] = why
        if list(self.refused.values()).count("full") > len(self.holders) - self.needed:
            return "full"
        return ""
