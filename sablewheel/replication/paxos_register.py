"""The proposer's state of one change of one key: CASPaxos (Rystsov 2018). Pure.

A change takes two round trips to a majority: the proposer collects promises, merges the entries that they
report, applies the change, and has the result accepted. An acceptance includes a promise of the next ballot,
so the next change by the same proposer takes one round trip. The first element of a ballot is the epoch, so
all ballots of an older view are lower than those of the current one.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from .entries import EMPTY, NO_BALLOT, AnswerStatus, Ballot, Change, Entry, Key, apply_change, merge
from .messages import Accept, Message, Prepare, RefusalReason


def next_ballot(ballot: Ballot) -> Ballot:
    """Return the ballot that a replica promises along with an acceptance."""
    return (ballot[0], ballot[1] + 1, ballot[2], ballot[3])


def merge_all(entries: Iterable[Entry]) -> Entry:
    """Merge the copies of an entry."""
    merged = EMPTY
    for entry in entries:
        merged = merge(merged, entry)
    return merged


@dataclass(slots=True)
class Proposal:
    """A change in progress.

    Attributes:
        ref: The number of the proposal in messages.
        key: The key of the register.
        slot: The range of the key.
        group: The group that determines the range of the key.
        change: The change to make.
        expires_at: The end of the entry's lifetime.
        binding_version: The version of the session's binding that a claim relies on; 0 if none.
        caller_ref: The number under which the caller is answered; None if no answer is expected.
        epoch: The epoch under which the proposal was begun.
        replicas: The replicas of the range under that epoch.
        quorum: How many replicas must promise and accept.
        ballot: The ballot of the proposal.
        promises: The stored entries that replicas reported with their promises, by replica.
        proposed: The entry to be accepted; None until a majority has promised.
        status_if_accepted: The status of the change if that entry is accepted.
        accepted_by: The replicas that have accepted the entry.
        refusals: The last reason of each replica that refused.
        was_sent: Whether an entry was sent for acceptance, so that replicas may have stored it.
        attempts: How often the messages of this phase were sent.
        next_send_at: When the messages are sent again.
        needs_new_ballot: Whether to start with a new ballot at the next timer, as a higher one was promised.
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
        """Start with the prepare phase, or with the accept phase if the ballot is already promised."""
        self.epoch, self.replicas, self.quorum, self.ballot = epoch, replicas, quorum, ballot
        self.promises, self.accepted_by, self.refusals = {}, set(), {}
        self.proposed, self.status_if_accepted = None, None
        if promised_entry is not None:
            self._propose(promised_entry)

    def _propose(self, current: Entry) -> None:
        entry, self.status_if_accepted = apply_change(self.change, current)
        self.proposed = replace(entry, ballot=self.ballot)

    def pending_messages(self, now: float) -> list[tuple[str, Message]]:
        """Return the message of the current phase for each replica that has not answered it."""
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
        """Record a promise; return whether it completes a majority, so that an entry is now proposed."""
        if ballot != self.ballot or name not in self.replicas or self.proposed is not None:
            return False
        self.promises[name] = entry
        self.refusals.pop(name, None)
        if len(self.promises) < self.quorum:
            return False
        self._propose(merge_all(self.promises.values()))
        return True

    def add_acceptance(self, name: str, ballot: Ballot) -> bool:
        """Record an acceptance; return whether a majority has accepted."""
        if ballot != self.ballot or name not in self.replicas or self.proposed is None:
            return False
        self.accepted_by.add(name)
        return len(self.accepted_by) >= self.quorum

    def add_refusal(self, name: str, reason: RefusalReason, refused: Ballot) -> RefusalReason | None:
        """Record a refusal.

        Returns:
            BALLOT if a higher ballot is needed, FENCED or FULL if the proposal can't succeed, None if other
            replicas may still accept it.
        """
        if refused != self.ballot or name not in self.replicas:
            return None
        if reason in (RefusalReason.BALLOT, RefusalReason.FENCED):
            return reason
        self.refusals[name] = reason
        full_count = list(self.refusals.values()).count(RefusalReason.FULL)
        return RefusalReason.FULL if full_count > len(self.replicas) - self.quorum else None
