"""Whom this member knows, as whom and where: the agreed view, and the little that differs from it. Pure.

What is kept outside the view is bounded and does not grow with the fleet.
"""

from __future__ import annotations

import random
from dataclasses import replace

from .plan import Mode, Settings
from .view import Member, View, rings

MAX_JOINERS = 2048  # names that are not in the view and wait for their observers: a whole fleet at its start


class MemberTable:
    """`view` is None until this member is let in (or founds the first view)."""

    def __init__(self, me: Member, settings: Settings, now: float) -> None:
        self.local_member, self.settings = me, settings
        self.view: View | None = None
        self.raised_incarnations: dict[
            str, int
        ] = {}  # incarnations above the view's (the baselines': all that are known)
        self.addresses: dict[str, str] = {}  # of those that are not in the view
        self.baseline_members: set[str] = set()  # the baselines' own view: whom this member holds to be in
        self._observers_by_subject: dict[
            str, tuple[str, ...]
        ] = {}  # observers of subjects, for the view that is held
        self._local_subjects: tuple[str, ...] | None = (
            None  # whom this member watches, in the view that is held
        )
        self._joined_at: dict[str, float] = {}  # when those came in that came after this one
        self._local_joined_at = now

    @property
    def uses_consensus(self) -> bool:
        """Whether this is the product, and no baseline of the trial."""
        return self.settings.mode is Mode.CONSENSUS

    @property
    def epoch(self) -> int:
        return self.view.epoch if self.view is not None else 0

    @property
    def is_large(self) -> bool:
        """Whether the view is past the size up to which votes go from each to all."""
        return self.view is not None and len(self.view.members) > self.settings.max_direct_vote_members

    # -- who

    def known_names(self) -> tuple[str, ...]:
        """Everybody who may be spoken with, this member among them."""
        if not self.uses_consensus:
            return tuple(sorted(set(self.addresses) | {self.local_member.name}))
        return self.view.names if self.view is not None else ()

    def member_names(self) -> tuple[str, ...]:
        """Who this member holds to be in: the agreed view, or a baseline's own set."""
        return (
            self.known_names()
            if self.uses_consensus
            else tuple(sorted(self.baseline_members | {self.local_member.name}))
        )

    def other_names(self) -> list[str]:
        return [one for one in self.known_names() if one != self.local_member.name]

    def is_known(self, name: str) -> bool:
        if not self.uses_consensus:
            return name in self.addresses or name == self.local_member.name
        return self.view is not None and name in self.view

    def random_names(self, chance: random.Random, many: int, *but: str) -> list[str]:
        """So many others at random, none of `but`."""
        known = self.known_names()
        drawn = chance.sample(known, min(many + len(but) + 1, len(known)))
        return [one for one in drawn if one != self.local_member.name and one not in but][:many]

    def joined_at(self, name: str) -> float:
        """When a member came in, as far as this one was there."""
        return self._joined_at.get(name, self._local_joined_at)

    # -- incarnations

    def incarnation(self, name: str, raised: bool = True) -> int:
        """The highest known of another member; -1 for nobody."""
        member = self.view.get(name) if self.view is not None else None
        held = member.incarnation if member is not None else -1
        return max(held, self.raised_incarnations.get(name, -1)) if raised else held

    def known_incarnation(self, name: str) -> int:
        """The highest incarnation known of anybody, this member among them."""
        return self.local_member.incarnation if name == self.local_member.name else self.incarnation(name)

    def raise_incarnation(self, name: str, incarnation: int) -> bool:
        """Word of another member's incarnation; whether it was news."""
        if incarnation <= self.incarnation(name):
            return False
        if self.uses_consensus and (self.view is None or name not in self.view):
            return False  # guards the table against names that nobody agreed on
        self.raised_incarnations[name] = incarnation
        return True

    def incarnations(self) -> tuple[tuple[str, int], ...]:
        """Of those above the view's, and of this member itself."""
        return tuple(
            sorted(
                {**self.raised_incarnations, self.local_member.name: self.local_member.incarnation}.items()
            )
        )

    # -- where

    def address(self, name: str) -> str:
        member = self.view.get(name) if self.view is not None else None
        return member.address if member is not None else self.addresses.get(name, "")

    def remember_address(self, name: str, address: str) -> None:
        """Where one is reached that is not in the view; bounded."""
        if name in self.addresses or len(self.addresses) < MAX_JOINERS:
            self.addresses[name] = address

    # -- who watches whom

    def observers(self, subject: str) -> tuple[str, ...]:
        """Of a member, or of one who would join, in the view that is held."""
        names = self.known_names()
        if self.settings.injected_fault == "one-observer":
            return tuple(one for one in names if one != subject)
        if subject not in self._observers_by_subject:
            if len(self._observers_by_subject) > len(names) + 2 * MAX_JOINERS:
                self._observers_by_subject.clear()
            self._observers_by_subject[subject] = rings(names, self.settings.observers).observers(subject)
        return self._observers_by_subject[subject]

    def subjects(self) -> tuple[str, ...]:
        """Whom this member watches."""
        if self.view is None:
            return ()
        if self._local_subjects is None:
            self._local_subjects = rings(self.view.names, self.settings.observers).subjects(
                self.local_member.name
            )
        return self._local_subjects

    # -- a new view

    def install_view(self, now: float, view: View) -> None:
        """Take a view; what was kept beside the old one and is in it, or for nobody, goes."""
        old, self.view = self.view, view
        if old is None:
            self._joined_at, self._local_joined_at = {}, now
        else:
            self._joined_at = {name: when for name, when in self._joined_at.items() if name in view}
            self._joined_at |= {one.name: now for one in view.members if one.name not in old}
        self.raised_incarnations = {
            name: one
            for name, one in self.raised_incarnations.items()
            if name in view and one > self.incarnation(name, False)
        }
        for member in old.members if old is not None else ():
            if member.name not in view:  # it may ask for the view that it is not in
                self.addresses[member.name] = member.address
        self.addresses = {name: one for name, one in self.addresses.items() if name not in view}
        for name in list(self.addresses)[:-MAX_JOINERS]:
            del self.addresses[name]
        self._observers_by_subject.clear()
        self._local_subjects = None
        mine = view.get(self.local_member.name)
        if mine is not None and mine.incarnation > self.local_member.incarnation:
            self.local_member = replace(self.local_member, incarnation=mine.incarnation)

    def handle_removal(self) -> None:
        """The view that is held is without this member: it is in none, and comes back as somebody newer."""
        self.view = None
        self.local_member = replace(self.local_member, incarnation=self.local_member.incarnation + 1)
