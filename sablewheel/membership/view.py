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

SAYS_MOST = 8  # pairs that a member says of itself
SAYS_KEY_MOST = 32  # bytes of a key
SAYS_VALUE_MOST = 200  # bytes of a value
SAYS_LONG_MOST = {"class": 600}  # keys whose values may be longer: a hardware class is a small document
SAYS_CUT_MOST = 12_000  # bytes said by all who join in one proposal: four proposals must fit a datagram
JOINS_CUT_MOST = 24_000  # bytes of all who join in one proposal, about 300; the rest come by the next views
CUT_MOST = 48_000  # bytes of a proposal's members: alone it must fit a datagram
MEMBER_BYTES = 48  # in a packet, beside its texts
SAID_BYTES = 12

Says = tuple[tuple[str, str], ...]


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
    says: Says = ()

    def __post_init__(self) -> None:
        if not self.says:
            return
        keys = [key for key, _ in self.says]
        if len(keys) > SAYS_MOST or len(set(keys)) != len(keys) or keys != sorted(keys):
            raise ValueError(f"{self.name} says: at most {SAYS_MOST} pairs are wanted, once a key, in order")
        for key, value in self.says:
            if not 0 < len(key.encode()) <= SAYS_KEY_MOST:
                raise ValueError(f"{self.name} says: a key of 1 to {SAYS_KEY_MOST} bytes is wanted")
            most = SAYS_LONG_MOST.get(key, SAYS_VALUE_MOST)
            if len(value.encode()) > most:
                raise ValueError(f"{self.name} says {key}: at most {most} bytes are wanted")

    def said(self, key: str) -> str:
        """What it says of itself under this key; empty if nothing."""
        return next((value for one, value in self.says if one == key), "")

    @property
    def silent(self) -> Member:
        """The same without what it says: a removal need not carry it."""
        return replace(self, says=()) if self.says else self

    @property
    def bytes_most(self) -> int:
        """What it takes in a packet, at most."""
        texts = (self.name, self.address, self.zone, self.region)
        said = self.says_bytes + SAID_BYTES * len(self.says)
        return MEMBER_BYTES + sum(len(one.encode()) for one in texts) + said

    @property
    def says_bytes(self) -> int:
        return sum(len(key.encode()) + len(value.encode()) for key, value in self.says)


class Kind(Enum):
    JOIN = "join"
    REMOVE = "remove"
    FACT = "fact"


@dataclass(frozen=True, order=True)
class Fact:
    """What the fleet agreed on beside its members, as that a zone is out; an empty value takes it back."""

    key: str
    value: str


NOBODY = Member("", "")
NOTHING = Fact("", "")


@dataclass(frozen=True)
class Change:
    """One member in or out of the view, or one fact."""

    kind: Kind
    member: Member = NOBODY
    fact: Fact = NOTHING

    @property
    def order(self) -> tuple[str, str, str, int, str]:
        return (self.member.name, self.fact.key, self.kind.value, self.member.incarnation, self.fact.value)


Proposal = tuple[Change, ...]  # sorted; two members who saw the same cut hold equal proposals


def proposal(changes: set[Change] | list[Change]) -> Proposal:
    """The canonical form: one change a name or fact, sorted, so that equal cuts compare equal."""
    by_name: dict[tuple[str, str], Change] = {}
    for one in sorted(changes, key=lambda one: one.order):
        by_name[one.member.name, one.fact.key] = one
    return tuple(sorted(by_name.values(), key=lambda one: one.order))


def changes_text(changes: Proposal) -> str:
    """For log lines: one word a change."""
    return " ".join(
        f"fact:{one.fact.key}={one.fact.value or '-'}"
        if one.kind is Kind.FACT
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
    def places(self) -> dict[str, int]:
        """Each name's number in the view's order, the same on every member."""
        return {one.name: place for place, one in enumerate(self.members)}

    def get(self, name: str) -> Member | None:
        place = self.places.get(name)
        return self.members[place] if place is not None else None

    def __contains__(self, name: object) -> bool:
        return name in self.places

    def fact(self, key: str) -> str:
        """The agreed value; empty if there is none."""
        return next((one.value for one in self.facts if one.key == key), "")

    def then(self, changes: Proposal) -> View:
        """The view of the next epoch: what is removed goes, what joins comes or replaces an older self."""
        kept = {one.name: one for one in self.members}
        facts = {one.key: one for one in self.facts}
        for change in changes:
            if change.kind is Kind.FACT:
                facts[change.fact.key] = change.fact
            elif change.kind is Kind.REMOVE:
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
    text += "".join(f"|{one.name}:{key}={value}" for one in view.members for key, value in one.says)
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
