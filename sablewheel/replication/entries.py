"""One entry as a member holds it, and how two differing copies become one. Pure.

An entry has two parts, each of which only rises: what the register last took, by its ballot, and what claims
became. The merge takes the higher of the one and both of the other, so it is commutative, associative and
idempotent. From a claim back to free leads nothing but its owner's own word, under a higher ballot.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum

OUTCOMES_MOST = 2  # of one idempotency key: a second one is evidence of a fault, a third would add nothing

Ballot = tuple[int, int, str, int]  # epoch, round, proposer's name, its birth
Owner = tuple[str, int, int]  # name, birth, its own count of claims
NO_BALLOT: Ballot = (0, 0, "", 0)
NOBODY: Owner = ("", 0, 0)


class State(Enum):
    FREE = "free"
    CLAIMED = "claimed"  # it may have run
    FREED = "freed"  # the claim's owner knows that it did not run
    DONE = "done"


@dataclass(frozen=True, order=True, slots=True)
class Outcome:
    """What the run of one claim became; `how` is worked, failed or unkept (worked, result too large)."""

    number: int
    owner: Owner
    how: str
    result: bytes = b""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value. Of an idempotency key `number` counts its claims and `owner` made the last one; of a
    binding or a document `number` counts its changes and `value` is the last one. `digest` tells what an
    idempotency key asks for.
    """

    ballot: Ballot = NO_BALLOT
    number: int = 0
    owner: Owner = NOBODY
    value: bytes = b""
    digest: bytes = b""
    freed: bool = False  # the owner says that it did not run and never will
    outcomes: tuple[Outcome, ...] = ()

    @property
    def state(self) -> State:
        if self.outcomes:
            return State.DONE
        if self.freed:
            return State.FREED
        return State.CLAIMED if self.number else State.FREE

    @property
    def size(self) -> int:
        """Bytes, about, as it counts against a holder's bound."""
        return ENTRY_BYTES + len(self.value) + sum(len(one.result) for one in self.outcomes)

    def mark(self, key: tuple[str, bytes]) -> int:
        """Of the whole entry under its key, 64 bits: a range's digest is the exclusive or of its marks."""
        said = repr((key, self.ballot, self.number, self.owner, self.value, self.digest, self.freed))
        hashed = hashlib.blake2b(said.encode(), digest_size=8)
        for one in self.outcomes:
            hashed.update(repr((one.number, one.owner, one.how)).encode() + one.result)
        return int.from_bytes(hashed.digest(), "big")


ENTRY_BYTES = 200  # about, of an entry beside its value and results
EMPTY = Entry()


def merge(one: Entry, other: Entry) -> Entry:
    """The one entry of two copies.

    The register's part by its ballot, whole: under one ballot there is one value, unless something is wrong,
    and then the order of the values decides, the same everywhere. `freed` is part of it: a set apart would
    free a claim of another branch, that won without having seen it. Outcomes together, the least two.
    """
    if one == other:
        return one
    later = max(one, other, key=_rank)
    outcomes = one.outcomes
    if other.outcomes != outcomes:
        outcomes = tuple(sorted({*one.outcomes, *other.outcomes})[:OUTCOMES_MOST])
    return replace(later, outcomes=outcomes)


def _rank(one: Entry) -> tuple[bool, Ballot, int, Owner, bool, bytes, bytes]:
    # Nothing is below something whatever its ballot: no fault may turn a claim into nothing.
    return one.number > 0, one.ballot, one.number, one.owner, one.freed, one.value, one.digest


# -- changes of a register, each a function of the value that was read


@dataclass(frozen=True, slots=True)
class Change:
    """`claim`: make it this owner's unless it is somebody's; `free`: the owner's word that its claim did not
    run and won't; `write`: a value where the number is `expect`."""

    what: str
    owner: Owner
    digest: bytes = b""
    value: bytes = b""
    number: int = 0  # what a write expects
    floor: int = 0  # the number that a write makes at least, above all of an entry that lapsed


def changed(change: Change, held: Entry) -> tuple[Entry, str]:
    """The value to propose, and what it means if that is accepted."""
    if change.what == "write":
        if held.number != change.number:
            return held, "stale"
        number = max(held.number + 1, change.floor)
        return replace(held, number=number, owner=change.owner, value=change.value), "won"
    if change.what == "free":
        if held.state is State.DONE or (held.state is State.CLAIMED and held.owner != change.owner):
            return held, "freed"  # put back as it was read, so that what is elsewhere of ours is older
        return replace(held, number=max(held.number, 1), owner=change.owner, freed=True), "freed"
    if held.state is State.DONE:
        return held, "known"
    if held.state is State.CLAIMED:
        return held, "won" if held.owner == change.owner else "running"
    return replace(held, number=held.number + 1, owner=change.owner, digest=change.digest, freed=False), "won"
