"""The entry of a key as a replica stores it, and the merge of two differing copies. Pure.

An entry has two parts that grow monotonically: the value that the register accepted last, ordered by its
ballot, and the set of outcomes of its claims. The merge takes the value with the higher ballot and the union
of the outcomes, so it is commutative, associative and idempotent. A claimed entry becomes unclaimed only if
its owner releases it, under a higher ballot.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum, StrEnum

from .plan import MAX_OUTCOMES

ENTRY_OVERHEAD_BYTES = 200  # approximate size of an entry without its value and results

Key = tuple[str, bytes]  # collection, key
Ballot = tuple[int, int, str, int]  # epoch, round, proposer's name, proposer's incarnation
Owner = tuple[str, int, int]  # member's name, its incarnation, its number for the claim or write
NO_BALLOT: Ballot = (0, 0, "", 0)
NO_OWNER: Owner = ("", 0, 0)


class State(Enum):
    """The state of an idempotency key's entry."""

    UNCLAIMED = "unclaimed"
    CLAIMED = "claimed"  # the request may have run
    RELEASED = "released"  # by the claim's owner, because the request did not run
    COMPLETED = "completed"


class OutcomeStatus(StrEnum):
    """The result of a run; the values are part of the packet format."""

    SUCCEEDED = "worked"
    FAILED = "failed"
    RESULT_DROPPED = "unkept"  # the run succeeded, but its result was too large to store


class AnswerStatus(StrEnum):
    """The status of a claim, write or read. The values are parts of counter names."""

    WON = "won"  # the claim or write is accepted by a majority
    KNOWN = "known"  # the outcome is known
    RUNNING = "running"  # another owner has the claim: the request may have run
    UNREACHABLE = "unreachable"  # no majority answered in time
    FULL = "full"  # replicas have no capacity for another key
    FENCED = "fenced"  # the session's binding has a later version
    STALE = "stale"  # the written entry has another version than expected
    BUSY = "busy"  # another change of this key is in progress here
    READ = "read"
    RELEASED = "freed"


@dataclass(frozen=True, order=True, slots=True)
class Outcome:
    """The outcome of the claim that created `version` of the entry."""

    version: int
    owner: Owner
    status: OutcomeStatus
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class Entry:
    """The value of a key.

    Attributes:
        ballot: The ballot under which the value was accepted.
        version: For an idempotency key the number of its claims, else the number of changes.
        owner: The owner of the last claim or change.
        value: The last value of a session binding or a document; empty for an idempotency key.
        digest: The digest of the request that an idempotency key stands for; else empty.
        released: Whether the owner of the claim has declared that the request did not and will not run.
        outcomes: The outcomes of an idempotency key's claims, sorted.
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
        """The approximate size in bytes, which counts against a replica's capacity."""
        results = sum(len(outcome.result) for outcome in self.outcomes)
        return ENTRY_OVERHEAD_BYTES + len(self.value) + results

    def fingerprint(self, key: Key) -> int:
        """Return a 64-bit hash of the entry and its key; a range's digest is the XOR of its fingerprints.

        Servers compare the digests, so the hashed data is part of the format.
        """
        register = (key, self.ballot, self.version, self.owner, self.value, self.digest, self.released)
        hashed = hashlib.blake2b(repr(register).encode(), digest_size=8)
        for outcome in self.outcomes:
            described = repr((outcome.version, outcome.owner, str(outcome.status)))
            hashed.update(described.encode() + outcome.result)
        return int.from_bytes(hashed.digest(), "big")


EMPTY = Entry()


def merge(first: Entry, second: Entry) -> Entry:
    """Merge two copies of an entry.

    The register's value is taken as a whole from the copy with the higher ballot. One ballot has one value;
    if a fault leads to two, the order of the values decides, so all members choose the same one. `released`
    belongs to the value: if it were merged separately, it would also release the claim of a proposer that won
    without having seen the release. Of the outcomes the lowest `MAX_OUTCOMES` are retained.
    """
    if first == second:
        return first
    higher = max(first, second, key=_rank)
    outcomes = first.outcomes
    if second.outcomes != outcomes:
        outcomes = tuple(sorted({*first.outcomes, *second.outcomes})[:MAX_OUTCOMES])
    return replace(higher, outcomes=outcomes)


def _rank(entry: Entry) -> tuple[bool, Ballot, int, Owner, bool, bytes, bytes]:
    # An empty entry ranks below any other, whatever its ballot, so that no fault can erase a claim.
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
    """How a change is applied to the value that was read."""

    CLAIM = "claim"  # sets the owner unless the entry is claimed or completed
    RELEASE = "free"  # the owner declares that its request did not and will not run
    WRITE = "write"  # sets the value if the version is as expected


@dataclass(frozen=True, slots=True)
class Change:
    """A change of a register, as a function of the value that was read."""

    kind: ChangeKind
    owner: Owner
    digest: bytes = b""
    value: bytes = b""
    expected_version: int = 0  # of the entry before a write
    min_version: int = 0  # least new version of a write, to be above all versions of an expired entry


def apply_change(change: Change, entry: Entry) -> tuple[Entry, AnswerStatus]:
    """Return the value to propose, and the status if it is accepted."""
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
    is_claimed_by_other = entry.state is State.CLAIMED and entry.owner != change.owner
    if entry.state is State.COMPLETED or is_claimed_by_other:
        return entry  # unchanged, but its new ballot supersedes older copies of the released claim
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
