"""The agreed view: an epoch, its members and facts, equal on all members at that epoch.

No I/O and no clock. The observers of a member are its successors on K rings (`rings.py`), which follow
from the names in the view alone.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum
from functools import cached_property

MAX_METADATA_PAIRS = 8
MAX_METADATA_KEY_BYTES = 32
MAX_METADATA_VALUE_BYTES = 200
MAX_LONG_METADATA_VALUE_BYTES = {"class": 600}  # a hardware class is a small document
MAX_PROPOSAL_METADATA_BYTES = 12_000  # of all joiners in a proposal, four of which must fit a datagram
MAX_PROPOSAL_JOIN_BYTES = 24_000  # of all joiners in a proposal, about 300; the rest join with later views
MAX_PROPOSAL_BYTES = 48_000  # of a proposal's members; a single proposal must fit a datagram
MEMBER_OVERHEAD_BYTES = 48  # of a member in a packet, without its texts
METADATA_PAIR_OVERHEAD_BYTES = 12

Metadata = tuple[tuple[str, str], ...]


@dataclass(frozen=True, order=True)
class Member:
    """An app server as listed in a view.

    Only the member itself raises its `incarnation`. `metadata` are the pairs of key and value that it
    publishes about itself, sorted by key and constant within one incarnation.

    Raises:
        ValueError: The metadata exceeds the bounds of this module, repeats a key or is not sorted.
    """

    name: str
    address: str
    zone: str = ""
    region: str = ""
    incarnation: int = 0
    metadata: Metadata = ()

    def __post_init__(self) -> None:
        if not self.metadata:
            return
        keys = [key for key, _ in self.metadata]
        if len(keys) > MAX_METADATA_PAIRS or len(set(keys)) != len(keys) or keys != sorted(keys):
            raise ValueError(
                f"metadata of {self.name}: exceeds {MAX_METADATA_PAIRS} pairs, or keys repeated or not sorted"
            )
        for key, value in self.metadata:
            if not 0 < len(key.encode()) <= MAX_METADATA_KEY_BYTES:
                raise ValueError(
                    f"metadata of {self.name}: a key must have 1 to {MAX_METADATA_KEY_BYTES} bytes"
                )
            max_bytes = MAX_LONG_METADATA_VALUE_BYTES.get(key, MAX_METADATA_VALUE_BYTES)
            if len(value.encode()) > max_bytes:
                raise ValueError(f"metadata of {self.name}: value of {key} exceeds {max_bytes} bytes")

    def metadata_value(self, key: str) -> str:
        """Return the metadata under a key; empty if there is none."""
        return next((value for name, value in self.metadata if name == key), "")

    @property
    def without_metadata(self) -> Member:
        """The same member without its metadata, which a removal does not need."""
        return replace(self, metadata=()) if self.metadata else self

    @property
    def max_encoded_bytes(self) -> int:
        """An upper bound of the member's size in a packet."""
        texts = (self.name, self.address, self.zone, self.region)
        metadata_bytes = self.metadata_bytes + METADATA_PAIR_OVERHEAD_BYTES * len(self.metadata)
        return MEMBER_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts) + metadata_bytes

    @property
    def metadata_bytes(self) -> int:
        """Bytes of all keys and values."""
        return sum(len(key.encode()) + len(value.encode()) for key, value in self.metadata)


class ChangeKind(Enum):
    """The effect of a change on the view."""

    JOIN = "join"
    REMOVE = "remove"
    FACT = "fact"


@dataclass(frozen=True, order=True)
class Fact:
    """A value that the fleet agreed on, such as the state of a zone; an empty value deletes it."""

    key: str
    value: str


NO_MEMBER = Member("", "")
NO_FACT = Fact("", "")


@dataclass(frozen=True)
class Change:
    """One member that joins or is removed, or one fact."""

    kind: ChangeKind
    member: Member = NO_MEMBER
    fact: Fact = NO_FACT

    @property
    def sort_key(self) -> tuple[str, str, str, int, str]:
        """The order of changes in a canonical proposal."""
        return (self.member.name, self.fact.key, self.kind.value, self.member.incarnation, self.fact.value)


Proposal = tuple[Change, ...]  # canonical, so that members with the same changes have equal proposals


def canonical_proposal(changes: Iterable[Change]) -> Proposal:
    """Return one change per name or fact, sorted, so that equal sets of changes compare equal."""
    by_subject: dict[tuple[str, str], Change] = {}
    for change in sorted(changes, key=lambda change: change.sort_key):
        by_subject[change.member.name, change.fact.key] = change
    return tuple(sorted(by_subject.values(), key=lambda change: change.sort_key))


def changes_text(changes: Proposal) -> str:
    """Format changes for log lines, one word each."""
    return " ".join(
        f"fact:{change.fact.key}={change.fact.value or '-'}"
        if change.kind is ChangeKind.FACT
        else f"{change.kind.value}:{change.member.name}@{change.member.incarnation}"
        for change in changes
    )


@dataclass(frozen=True)
class View:
    """Members sorted by name and facts sorted by key, at an epoch.

    Raises:
        ValueError: A name or the key of a fact is repeated or out of order.
    """

    epoch: int
    members: tuple[Member, ...]
    facts: tuple[Fact, ...] = ()

    def __post_init__(self) -> None:
        keys = [fact.key for fact in self.facts]
        if len(set(keys)) != len(keys) or keys != sorted(keys):
            raise ValueError("facts of a view must be unique and sorted by key")
        names = [member.name for member in self.members]
        if len(set(names)) != len(names) or names != sorted(names):
            raise ValueError("members of a view must be unique and sorted by name")

    @cached_property
    def names(self) -> tuple[str, ...]:
        """The members' names, sorted."""
        return tuple(member.name for member in self.members)

    @cached_property
    def positions(self) -> dict[str, int]:
        """Each name's position in the view, the same on every member."""
        return {member.name: position for position, member in enumerate(self.members)}

    def get(self, name: str) -> Member | None:
        """Return a member by name."""
        position = self.positions.get(name)
        return self.members[position] if position is not None else None

    def __contains__(self, name: object) -> bool:
        return name in self.positions

    def fact(self, key: str) -> str:
        """Return the agreed value of a fact; empty if there is none."""
        return next((fact.value for fact in self.facts if fact.key == key), "")

    def apply(self, changes: Proposal) -> View:
        """Return the view of the next epoch; a join replaces an earlier incarnation."""
        members = {member.name: member for member in self.members}
        facts = {fact.key: fact for fact in self.facts}
        for change in changes:
            if change.kind is ChangeKind.FACT:
                facts[change.fact.key] = change.fact
            elif change.kind is ChangeKind.REMOVE:
                current = members.get(change.member.name)
                if current is not None and current.incarnation <= change.member.incarnation:
                    del members[change.member.name]
            else:
                members[change.member.name] = change.member
        present_facts = tuple(sorted(fact for fact in facts.values() if fact.value))
        return View(self.epoch + 1, tuple(sorted(members.values())), present_facts)


def fingerprint(view: View) -> str:
    """Return a short digest of a view, to compare views across members in logs and experiments."""
    text = f"{view.epoch}|" + "|".join(member.name for member in view.members)
    text += "".join(f"|{fact.key}={fact.value}" for fact in view.facts)
    text += "".join(
        f"|{member.name}:{key}={value}" for member in view.members for key, value in member.metadata
    )
    return hashlib.blake2b(text.encode(), digest_size=6).hexdigest()
