"""The entry of a key as a replica stores it, and how two differing copies are merged. Pure.

An entry has two parts, each of which only rises: what the register last accepted, by its ballot, and the
outcomes of claims. The merge takes the higher of the one and both of the other, so it is commutative,
associative and idempotent. A claimed entry becomes unclaimed only by its owner's own release, under a higher
ballot.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum, StrEnum

MAX_OUTCOMES = 2  # of one idempotency key: a second one is evidence of a fault, a third would add nothing
ENTRY_OVERHEAD_BYTES = 200  # about, of an entry beside its value and results

Key = tuple[str, bytes]  # collection, key
Ballot = tuple[int, int, str, int]  # epoch, round, proposer's name, its incarnation
Owner = tuple[str, int, int]  # name, incarnation, its own count of claims
NO_BALLOT: Ballot = (0, 0, "", 0)
NO_OWNER: Owner = ("", 0, 0)


class State(Enum):
    """The state of an idempotency key's entry."""

    UNCLAIMED = "unclaimed"
    CLAIMED = "claimed"  # it may have run
    RELEASED = "released"  # the claim's owner knows that it did not run
    COMPLETED = "completed"


class OutcomeStatus(StrEnum):
    """The result of a run; the values stand in packets."""

    SUCCEEDED = "worked"
    FAILED = "failed"
    RESULT_DROPPED = "unkept"  # it succeeded, but the result was too large to store


class AnswerStatus(StrEnum):
    """What a claim, write or read came to. The values are parts of counters' names."""

    WON = "won"  # the claim or write is accepted by a majority
    KNOWN = "known"  # the outcome is known
    RUNNING = "running"  # another owner has the claim: it may have run
    UNREACHABLE = "unreachable"  # no majority answered in time
    FULL = "full"  # replicas have no capacity for another key
    FENCED = "fenced"  # the session's binding has a later version
    STALE = "stale"  # the written entry has another version than expected
    BUSY = "busy"  # another change of this key is in progress here
    READ = "read"
    RELEASED = "freed"


@dataclass(frozen=True, order=True, slots=True)
class Outcome:
    """The outcome of the claim that made `version` of the entry."""

    version: int
    owner: Owner
    status: OutcomeStatus
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class Entry:
    """The value of a key.

    Attributes:
        ballot: Under which it was accepted.
        version: Of an idempotency key the number of its claims, else the number of its changes.
        owner: Who made the last claim or change.
        value: Of a session binding or a document, its last value.
        digest: Of an idempotency key, identifies the request that it stands for.
        released: The owner of the claim states that it did not run and never will.
        outcomes: The outcomes of its claims, sorted.
    """

    ballot: Ballot = NO_BALLOT
    version: int = 0
    owner: Owner = NO_OWNER
    value: bytes = b""
    digest: bytes = b""
    released: bool = False
    outcomes: tuple[Outcome, ...] = ()

    @property
    def state(self) -> State:
        """The state of an idempotency key's entry."""
        if self.outcomes:
            return State.COMPLETED
        if self.released:
            return State.RELEASED
        return State.CLAIMED if self.version else State.UNCLAIMED

    @property
    def size(self) -> int:
        """Bytes, about, as it counts against a replica's capacity."""
        results = sum(len(outcome.result) for outcome in self.outcomes)
        return ENTRY_OVERHEAD_BYTES + len(self.value) + results

    def fingerprint(self, key: Key) -> int:
        """64 bits of the entry under its key: a range's digest is the exclusive or of its fingerprints.

        It is compared between servers, so what is hashed is part of the format.
        """
        register = (key, self.ballot, self.version, self.owner, self.value, self.digest, self.released)
        hashed = hashlib.blake2b(repr(register).encode(), digest_size=8)
        for outcome in self.outcomes:
            described = repr((outcome.version, outcome.owner, str(outcome.status)))
            hashed.update(described.encode() + outcome.result)
        return int.from_bytes(hashed.digest(), "big")


EMPTY = Entry()


def merge(first: Entry, second: Entry) -> Entry:
    """The one entry of two copies.

    The register's part is taken as one by its ballot: under one ballot there is one value, unless there is a
    fault, and then the order of the values decides, the same everywhere. `released` is a part of it: a set
    apart would release a claim of another proposer that was won without having seen it. Of the outcomes the
    lowest `MAX_OUTCOMES` are retained.
    """
    if first == second:
        return first
    later = max(first, second, key=_rank)
    outcomes = first.outcomes
    if second.outcomes != outcomes:
        outcomes = tuple(sorted({*first.outcomes, *second.outcomes})[:MAX_OUTCOMES])
    return replace(later, outcomes=outcomes)


def _rank(entry: Entry) -> tuple[bool, Ballot, int, Owner, bool, bytes, bytes]:
    # An empty entry is below any other whatever its ballot: no fault may turn a claim into nothing.
    return (
        entry.version > 0,
        entry.ballot,
        entry.version,
        entry.owner,
        entry.released,
        entry.value,
        entry.digest,
    )


class ChangeKind(StrEnum):
    """What a change does to the value that was read."""

    CLAIM = "claim"  # makes it this owner's unless it is somebody's
    RELEASE = "free"  # the owner states that its claim did not run and won't
    WRITE = "write"  # sets the value where the version is as expected


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a register, as a function of the value that was read."""

    kind: ChangeKind
    owner: Owner
    digest: bytes = b""
    value: bytes = b""
    expected_version: int = 0  # of a write
    min_version: int = 0  # a write's new version is that at least, above all of an entry that expired


def apply_change(change: Change, entry: Entry) -> tuple[Entry, AnswerStatus]:
    """The value to propose, and the status if it is accepted."""
    match change.kind:
        case ChangeKind.WRITE:
            return _apply_write(change, entry)
        case ChangeKind.RELEASE:
            return _apply_release(change, entry), AnswerStatus.RELEASED
        case ChangeKind.CLAIM:
            return _apply_claim(change, entry)


def _apply_write(change: Change, entry: Entry) -> tuple[Entry, AnswerStatus]:
    if entry.version != change.expected_version:
        return entry, AnswerStatus.STALE
    version = max(entry.version + 1, change.min_version)
    return replace(entry, version=version, owner=change.owner, value=change.value), AnswerStatus.WON


def _apply_release(change: Change, entry: Entry) -> Entry:
    of_another = entry.state is State.CLAIMED and entry.owner != change.owner
    if entry.state is State.COMPLETED or of_another:
        return entry  # written back as it was read, so that older copies of our claim lose against it
    return replace(entry, version=max(entry.version, 1), owner=change.owner, released=True)


def _apply_claim(change: Change, entry: Entry) -> tuple[Entry, AnswerStatus]:
    if entry.state is State.COMPLETED:
        return entry, AnswerStatus.KNOWN
    if entry.state is State.CLAIMED:
        return entry, AnswerStatus.WON if entry.owner == change.owner else AnswerStatus.RUNNING
    version = entry.version + 1
    return replace(
        entry, version=version, owner=change.owner, digest=change.digest, released=False
    ), AnswerStatus.WON
