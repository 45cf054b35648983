"""The agreed view: an epoch and its members, the same on every member at the same epoch; who watches whom.

Pure: no I/O, no clock. The observers of a member are its successors on K rings, each ring an order of the
view's members by a keyed hash, as in Rapid: every member knows, from the view alone, who watches whom.
"""

from __future__ import annotations

import bisect
import hashlib
from dataclasses import dataclass, replace
from enum import Enum
from functools import cached_property, lru_cache

MAX_METADATA_PAIRS = 8  # pairs that a member says of itself
MAX_METADATA_KEY_BYTES = 32  # bytes of a key
MAX_METADATA_VALUE_BYTES = 200  # bytes of a value
MAX_LONG_METADATA_VALUE_BYTES = {
    "class": 600
}  # keys whose values may be longer: a hardware class is a small document
MAX_PROPOSAL_METADATA_BYTES = (
    12_000  # bytes said by all who join in one proposal: four proposals must fit a datagram
)
MAX_PROPOSAL_JOIN_BYTES = (
    24_000  # bytes of all who join in one proposal, about 300; the rest come by the next views
)
MAX_PROPOSAL_BYTES = 48_000  # bytes of a proposal's members: alone it must fit a datagram
MEMBER_OVERHEAD_BYTES = 48  # in a packet, beside its texts
METADATA_PAIR_OVERHEAD_BYTES = 12

Metadata = tuple[tuple[str, str], ...]


@dataclass(frozen=True, order=True)
class Member:
    """One app server as the view knows it. `incarnation` is its own: only it raises it.

    `says` is what it tells the fleet of itself, pairs of key and value in the order of their keys, the same
    for one incarnation. Raises ValueError for more than the bounds above allow.
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
                f"{self.name} says: at most {MAX_METADATA_PAIRS} pairs are wanted, once a key, in order"
            )
        for key, value in self.metadata:
            if not 0 < len(key.encode()) <= MAX_METADATA_KEY_BYTES:
                raise ValueError(f"{self.name} says: a key of 1 to {MAX_METADATA_KEY_BYTES} bytes is wanted")
            max_value_bytes = MAX_LONG_METADATA_VALUE_BYTES.get(key, MAX_METADATA_VALUE_BYTES)
            if len(value.encode()) > max_value_bytes:
                raise ValueError(f"{self.name} says {key}: at most {max_value_bytes} bytes are wanted")

    def metadata_value(self, key: str) -> str:
        """What it says of itself under this key; empty if nothing."""
        return next((value for one, value in self.metadata if one == key), "")

    @property
    def without_metadata(self) -> Member:
        """The same without what it says: a removal need not carry it."""
        return replace(self, metadata=()) if self.metadata else self

    @property
    def max_encoded_bytes(self) -> int:
        """What it takes in a packet, at most."""
        texts = (self.name, self.address, self.zone, self.region)
        said = self.metadata_bytes + METADATA_PAIR_OVERHEAD_BYTES * len(self.metadata)
        return MEMBER_OVERHEAD_BYTES + sum(len(one.encode()) for one in texts) + said

    @property
    def metadata_bytes(self) -> int:
        return sum(len(key.encode()) + len(value.encode()) for key, value in self.metadata)


class ChangeKind(Enum):
    JOIN = "join"
    REMOVE = "remove"
    FACT = "fact"


@dataclass(frozen=True, order=True)
class Fact:
    """What the fleet agreed on beside its members, as that a zone is out; an empty value takes it back."""

    key: str
    value: str


NO_MEMBER = Member("", "")
NO_FACT = Fact("", "")


@dataclass(frozen=True)
class Change:
    """One member in or out of the view, or one fact."""

    kind: ChangeKind
    member: Member = NO_MEMBER
    fact: Fact = NO_FACT

    @property
    def sort_key(self) -> tuple[str, str, str, int, str]:
        return (self.member.name, self.fact.key, self.kind.value, self.member.incarnation, self.fact.value)


Proposal = tuple[Change, ...]  # sorted; two members who saw the same cut hold equal proposals


def proposal(changes: set[Change] | list[Change]) -> Proposal:
    """The canonical form: one change a name or fact, sorted, so that equal cuts compare equal."""
    by_name: dict[tuple[str, str], Change] = {}
    for one in sorted(changes, key=lambda one: one.sort_key):
        by_name[one.member.name, one.fact.key] = one
    return tuple(sorted(by_name.values(), key=lambda one: one.sort_key))


def changes_text(changes: Proposal) -> str:
    """For log lines: one word a change."""
    return " ".join(
        f"fact:{one.fact.key}={one.fact.value or '-'}"
        if one.kind is ChangeKind.FACT
        else f"{one.kind.value}:{one.member.name}@{one.member.incarnation}"
        for one in changes
    )


@dataclass(frozen=True)
class View:
    """Members by name, at an epoch; a view never holds one name twice."""

    epoch: int
    members: tuple[Member, ...]
    facts: tuple[Fact, ...] = ()

    def __post_init__(self) -> None:
        keys = [one.key for one in self.facts]
        if len(set(keys)) != len(keys) or keys != sorted(keys):
            raise ValueError("a view holds each fact once, in order")
        names = [one.name for one in self.members]
        if len(set(names)) != len(names) or names != sorted(names):
            raise ValueError("a view holds each name once, in order")

    @cached_property
    def names(self) -> tuple[str, ...]:
        return tuple(one.name for one in self.members)

    @cached_property
    def positions(self) -> dict[str, int]:
        """Each name's number in the view's order, the same on every member."""
        return {one.name: place for place, one in enumerate(self.members)}

    def get(self, name: str) -> Member | None:
        place = self.positions.get(name)
        return self.members[place] if place is not None else None

    def __contains__(self, name: object) -> bool:
        return name in self.positions

    def fact(self, key: str) -> str:
        """The agreed value; empty if there is none."""
        return next((one.value for one in self.facts if one.key == key), "")

    def apply(self, changes: Proposal) -> View:
        """The view of the next epoch: what is removed goes, what joins comes or replaces an older self."""
        kept = {one.name: one for one in self.members}
        facts = {one.key: one for one in self.facts}
        for change in changes:
            if change.kind is ChangeKind.FACT:
                facts[change.fact.key] = change.fact
            elif change.kind is ChangeKind.REMOVE:
                known = kept.get(change.member.name)
                if known is not None and known.incarnation <= change.member.incarnation:
                    del kept[change.member.name]
            else:
                kept[change.member.name] = change.member
        held = tuple(sorted(one for one in facts.values() if one.value))
        return View(self.epoch + 1, tuple(sorted(kept.values())), held)


def fingerprint(view: View) -> str:
    """A short digest of who is in at which epoch, to compare views across members in logs and trials."""
    text = f"{view.epoch}|" + "|".join(one.name for one in view.members)
    text += "".join(f"|{one.key}={one.value}" for one in view.facts)
    text += "".join(f"|{one.name}:{key}={value}" for one in view.members for key, value in one.metadata)
    return hashlib.blake2b(text.encode(), digest_size=6).hexdigest()


class Rings:
    """K orders of a view's names, each by a keyed hash: who watches whom follows from the names alone."""

    def __init__(self, names: tuple[str, ...], k: int) -> None:
        self._orders: list[tuple[list[bytes], list[str]]] = []
        self._next: list[dict[str, str]] = []
        self._last: list[dict[str, str]] = []
        for ring in range(k):
            marked = sorted((_mark(ring, name), name) for name in names)
            order = [name for _, name in marked]
            self._orders.append(([mark for mark, _ in marked], order))
            self._next.append(dict(zip(order, [*order[1:], *order[:1]], strict=True)))
            self._last.append(dict(zip(order, [*order[-1:], *order[:-1]], strict=True)))

    def observers(self, subject: str) -> tuple[str, ...]:
        """Who watches it: its successor on each ring, fewer than K where the view is small; never itself.

        A subject that is not (yet) there is placed as if it were, so a joiner's observers are known before.
        """
        found: list[str] = []
        for ring, (marks, order) in enumerate(self._orders):
            after = self._next[ring].get(subject)
            if after is None and order:
                after = order[bisect.bisect(marks, _mark(ring, subject)) % len(order)]
            if after is not None and after != subject and after not in found:
                found.append(after)
        return tuple(found)

    def subjects(self, me: str) -> tuple[str, ...]:
        """Whom it watches: those whose observers include it."""
        found = {last[me] for last in self._last if me in last} - {me}
        return tuple(sorted(found))


def _mark(ring: int, name: str) -> bytes:
    return hashlib.blake2b(f"{ring}:{name}".encode(), digest_size=8).digest()


@lru_cache(maxsize=8)  # of a few views: worked out anew by each step they would be the load
def rings(names: tuple[str, ...], k: int) -> Rings:
    return Rings(names, k)
