"""One change of one key, from the proposer's side: CASPaxos (Rystsov 2018). Pure.

Two round trips to a majority: ask for promises, take the latest of the entries they report, change it, have
it accepted. A proposer whose last change was accepted was promised the next ballot with it, and needs one
round trip. A ballot begins with its epoch: whatever began under an older view is below all that begins under
this one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from .entries import EMPTY, NO_BALLOT, AnswerStatus, Ballot, Change, Entry, Key, apply_change, merge
from .messages import Accept, Message, Prepare, RefusalReason


def next_ballot(ballot: Ballot) -> Ballot:
    """The ballot that a replica promises along with an acceptance."""
    return (ballot[0], ballot[1] + 1, ballot[2], ballot[3])


def merge_all(entries: Iterable[Entry]) -> Entry:
    """The one entry of many copies."""
    merged = EMPTY
    for entry in entries:
        merged = merge(merged, entry)
    return merged


@dataclass(slots=True)
class Proposal:
    """A change in progress.

    Attributes:
        ref: Its number in messages.
        key: Of the register.
        slot: The range of the key.
        group: By which the key is placed.
        change: To make.
        expires_at: The end of the entry's lifetime.
        binding_version: The version of the session's binding that a claim relies on.
        caller_ref: Of the answer; None: nobody waits for one.
        epoch: Under which it was begun.
        replicas: Of the range under that epoch.
        quorum: How many of them decide.
        ballot: Under which it is proposed.
        promises: What the replicas that promised have stored.
        proposed: The entry to be accepted, once a majority has promised.
        status_if_accepted: What acceptance of that entry means.
        accepted_by: Replicas that accepted.
        refusals: The last reason of each replica that refused.
        was_sent: Whether an entry of ours went out, and may stand.
        attempts: How often the present messages were sent.
        next_send_at: When they are sent again.
        needs_new_ballot: It waits to begin anew, as a higher ballot was promised.
    """

    ref: int
    key: Key
    slot: int
    group: bytes
    change: Change
    expires_at: float
    binding_version: int = 0
    caller_ref: int | None = None
    epoch: int = 0
    replicas: tuple[str, ...] = ()
    quorum: int = 0
    ballot: Ballot = NO_BALLOT
    promises: dict[str, Entry] = field(default_factory=dict)
    proposed: Entry | None = None
    status_if_accepted: AnswerStatus | None = None
    accepted_by: set[str] = field(default_factory=set)
    refusals: dict[str, RefusalReason] = field(default_factory=dict)
    was_sent: bool = False
    attempts: int = 0
    next_send_at: float = 0.0
    needs_new_ballot: bool = False

    def begin(
        self,
        epoch: int,
        replicas: tuple[str, ...],
        quorum: int,
        ballot: Ballot,
        promised_entry: Entry | None = None,
    ) -> None:
        """Begin with asking for promises, or with acceptance if the ballot is promised already."""
        self.epoch, self.replicas, self.quorum, self.ballot = epoch, replicas, quorum, ballot
        self.promises, self.accepted_by, self.refusals = {}, set(), {}
        self.proposed, self.status_if_accepted = None, None
        if promised_entry is not None:
            self._propose(promised_entry)

    def _propose(self, current: Entry) -> None:
        entry, self.status_if_accepted = apply_change(self.change, current)
        self.proposed = replace(entry, ballot=self.ballot)

    def pending_messages(self, now: float) -> list[tuple[str, Message]]:
        """The message of the present phase, for each replica that has not answered it."""
        remaining_s, proposed = self.expires_at - now, self.proposed
        if proposed is None:
            prepare = Prepare(
                self.epoch,
                self.ref,
                self.key,
                self.slot,
                self.ballot,
                remaining_s,
                self.group,
                self.binding_version,
            )
            return [(name, prepare) for name in self.replicas if name not in self.promises]
        accept = Accept(
            self.epoch,
            self.ref,
            self.key,
            self.slot,
            proposed,
            remaining_s,
            self.group,
            self.binding_version,
        )
        return [(name, accept) for name in self.replicas if name not in self.accepted_by]

    def add_promise(self, name: str, ballot: Ballot, entry: Entry) -> bool:
        """Whether a majority has promised with this one, so that an entry is proposed."""
        if ballot != self.ballot or name not in self.replicas or self.proposed is not None:
            return False
        self.promises[name] = entry
        self.refusals.pop(name, None)
        if len(self.promises) < self.quorum:
            return False
        self._propose(merge_all(self.promises.values()))
        return True

    def add_acceptance(self, name: str, ballot: Ballot) -> bool:
        """Whether a majority has accepted with this one."""
        if ballot != self.ballot or name not in self.replicas or self.proposed is None:
            return False
        self.accepted_by.add(name)
        return len(self.accepted_by) >= self.quorum

    def add_refusal(self, name: str, reason: RefusalReason, refused: Ballot) -> RefusalReason | None:
        """Record a refusal.

        Returns:
            BALLOT: begin again with a higher one. FENCED, FULL: it can't succeed. None: wait for others.
        """
        if refused != self.ballot or name not in self.replicas:
            return None
        if reason in (RefusalReason.BALLOT, RefusalReason.FENCED):
            return reason
        self.refusals[name] = reason
        full = list(self.refusals.values()).count(RefusalReason.FULL)
        return RefusalReason.FULL if full > len(self.replicas) - self.quorum else None
