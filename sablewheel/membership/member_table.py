"""Whom this member knows, as whom and where: the agreed view, and the little that differs from it. Pure.

What is kept outside the view is bounded and does not grow with the fleet.
"""

from __future__ import annotations

import random
from dataclasses import replace

from .plan import Mode, Settings
from .view import Member, View, rings

JOINERS_MOST = 2048  # names that are not in the view and wait for their observers: a whole fleet at its start


class Roster:
    """`view` is None until this member is let in (or founds the first view)."""

    def __init__(self, me: Member, settings: Settings, now: float) -> None:
        self.me, self.settings = me, settings
        self.view: View | None = None
        self.raised: dict[str, int] = {}  # incarnations above the view's (the baselines': all that are known)
        self.addresses: dict[str, str] = {}  # of those that are not in the view
        self.local: set[str] = set()  # the baselines' own view: whom this member holds to be in
        self._watches: dict[str, tuple[str, ...]] = {}  # observers of subjects, for the view that is held
        self._mine: tuple[str, ...] | None = None  # whom this member watches, in the view that is held
        self._since: dict[str, float] = {}  # when those came in that came after this one
        self._in_since = now

    @property
    def ours(self) -> bool:
        """Whether this is the product, and no baseline of the trial."""
        return self.settings.mode is Mode.OURS

    @property
    def epoch(self) -> int:
        return self.view.epoch if self.view is not None else 0

    @property
    def large(self) -> bool:
        """Whether the view is past the size up to which votes go from each to all."""
        return self.view is not None and len(self.view.members) > self.settings.vote_direct

    # -- who

    def known(self) -> tuple[str, ...]:
        """Everybody who may be spoken with, this member among them."""
        if not self.ours:
            return tuple(sorted(set(self.addresses) | {self.me.name}))
        return self.view.names if self.view is not None else ()

    def members(self) -> tuple[str, ...]:
        """Who this member holds to be in: the agreed view, or a baseline's own set."""
        return self.known() if self.ours else tuple(sorted(self.local | {self.me.name}))

    def others(self) -> list[str]:
        return [one for one in self.known() if one != self.me.name]

    def is_known(self, name: str) -> bool:
        if not self.ours:
            return name in self.addresses or name == self.me.name
        return self.view is not None and name in self.view

    def some(self, chance: random.Random, many: int, *but: str) -> list[str]:
        """So many others at random, none of `but`."""
        known = self.known()
        drawn = chance.sample(known, min(many + len(but) + 1, len(known)))
        return [one for one in drawn if one != self.me.name and one not in but][:many]

    def since(self, name: str) -> float:
        """When a member came in, as far as this one was there."""
        return self._since.get(name, self._in_since)

    # -- incarnations

    def incarnation(self, name: str, raised: bool = True) -> int:
        """The highest known of another member; -1 for nobody."""
        member = self.view.get(name) if self.view is not None else None
        held = member.incarnation if member is not None else -1
        return max(held, self.raised.get(name, -1)) if raised else held

    def knows(self, name: str) -> int:
        """The highest incarnation known of anybody, this member among them."""
        return self.me.incarnation if name == self.me.name else self.incarnation(name)

    def raise_to(self, name: str, incarnation: int) -> bool:
        """Word of another member's incarnation; whether it was news."""
        if incarnation <= self.incarnation(name):
            return False
        if self.ours and (self.view is None or name not in self.view):
            return False  # guards the table against names that nobody agreed on
        self.raised[name] = incarnation
        return True

    def incarnations(self) -> tuple[tuple[str, int], ...]:
        """Of those above the view's, and of this member itself."""
        return tuple(sorted({**self.raised, self.me.name: self.me.incarnation}.items()))

    # -- where

    def address(self, name: str) -> str:
        member = self.view.get(name) if self.view is not None else None
        return member.address if member is not None else self.addresses.get(name, "")

    def remember(self, name: str, address: str) -> None:
        """Where one is reached that is not in the view; bounded."""
        if name in self.addresses or len(self.addresses) < JOINERS_MOST:
            self.addresses[name] = address

    # -- who watches whom

    def observers(self, subject: str) -> tuple[str, ...]:
        """Of a member, or of one who would join, in the view that is held."""
        names = self.known()
        if self.settings.broken == "one-observer":
            return tuple(one for one in names if one != subject)
        if subject not in self._watches:
            if len(self._watches) > len(names) + 2 * JOINERS_MOST:
                self._watches.clear()
            self._watches[subject] = rings(names, self.settings.observers).observers(subject)
        return self._watches[subject]

    def subjects(self) -> tuple[str, ...]:
        """Whom this member watches."""
        if self.view is None:
            return ()
        if self._mine is None:
            self._mine = rings(self.view.names, self.settings.observers).subjects(self.me.name)
        return self._mine

    # -- a new view

    def hold(self, now: float, view: View) -> None:
        """Take a view; what was kept beside the old one and is in it, or for nobody, goes."""
        old, self.view = self.view, view
        if old is None:
            self._since, self._in_since = {}, now
        else:
            self._since = {name: when for name, when in self._since.items() if name in view}
            self._since |= {one.name: now for one in view.members if one.name not in old}
        self.raised = {
            name: one
            for name, one in self.raised.items()
            if name in view and one > self.incarnation(name, False)
        }
        for member in old.members if old is not None else ():
            if member.name not in view:  # it may ask for the view that it is not in
                self.addresses[member.name] = member.address
        self.addresses = {name: one for name, one in self.addresses.items() if name not in view}
        for name in list(self.addresses)[:-JOINERS_MOST]:
            del self.addresses[name]
        self._watches.clear()
        self._mine = None
        mine = view.get(self.me.name)
        if mine is not None and mine.incarnation > self.me.incarnation:
            self.me = replace(self.me, incarnation=mine.incarnation)

    def left_out(self) -> None:
        """The view that is held is without this member: it is in none, and comes back as somebody newer."""
        self.view = None
        self.me = replace(self.me, incarnation=self.me.incarnation + 1)
