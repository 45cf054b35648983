"""The members known to this one: the agreed view, and data that the view does not hold.

No I/O. State outside the view is bounded and does not grow with the fleet.
"""

from __future__ import annotations

import random
from dataclasses import replace

from .plan import Mode, Settings
from .rings import rings
from .view import Member, View

MAX_JOINERS = 2048  # names outside the view that wait for admission, up to a whole fleet at its start


class MemberTable:
    """Known members and observers; `view` is None until this member is admitted or founds the first view."""

    def __init__(self, local_member: Member, settings: Settings, now: float) -> None:
        self.local_member, self.settings = local_member, settings
        self.view: View | None = None
        self.raised_incarnations: dict[str, int] = {}  # those above the view's; in a baseline all known ones
        self.addresses: dict[str, str] = {}  # of names outside the view
        self.baseline_members: set[str] = set()  # in a baseline, the members by this one's own decisions
        self._observers_by_subject: dict[str, tuple[str, ...]] = {}  # in the current view
        self._local_subjects: tuple[str, ...] | None = None  # in the current view
        self._joined_at: dict[str, float] = {}  # by name, for members that joined after this one
        self._local_joined_at = now

    @property
    def uses_consensus(self) -> bool:
        """Whether this member runs the product's protocol and not a baseline."""
        return self.settings.mode is Mode.CONSENSUS

    @property
    def epoch(self) -> int:
        """The epoch of the current view; 0 without a view."""
        return self.view.epoch if self.view is not None else 0

    @property
    def is_large(self) -> bool:
        """Whether the view is too large for votes from each member to all."""
        return self.view is not None and len(self.view.members) > self.settings.max_direct_vote_members

    # -- names

    def known_names(self) -> tuple[str, ...]:
        """Return every member that messages may be sent to, and this one, sorted."""
        if not self.uses_consensus:
            return tuple(sorted(set(self.addresses) | {self.local_member.name}))
        return self.view.names if self.view is not None else ()

    def member_names(self) -> tuple[str, ...]:
        """Return the members by the agreed view, or by a baseline's own decisions, sorted."""
        if self.uses_consensus:
            return self.known_names()
        return tuple(sorted(self.baseline_members | {self.local_member.name}))

    def other_names(self) -> list[str]:
        """Return the known names without this member's."""
        return [name for name in self.known_names() if name != self.local_member.name]

    def is_known(self, name: str) -> bool:
        """Return whether messages may be sent to a member, or it is this one."""
        if not self.uses_consensus:
            return name in self.addresses or name == self.local_member.name
        return self.view is not None and name in self.view

    def random_names(self, rng: random.Random, count: int, *excluded: str) -> list[str]:
        """Draw up to `count` other names."""
        known = self.known_names()
        drawn = rng.sample(known, min(count + len(excluded) + 1, len(known)))
        return [name for name in drawn if name != self.local_member.name and name not in excluded][:count]

    def joined_at(self, name: str) -> float:
        """Return when a member joined, or when this member did if that is later."""
        return self._joined_at.get(name, self._local_joined_at)

    # -- incarnations

    def incarnation(self, name: str) -> int:
        """Return the highest known incarnation of another member; -1 if it is unknown."""
        return max(self._view_incarnation(name), self.raised_incarnations.get(name, -1))

    def _view_incarnation(self, name: str) -> int:
        member = self.view.get(name) if self.view is not None else None
        return member.incarnation if member is not None else -1

    def known_incarnation(self, name: str) -> int:
        """Return the highest known incarnation of any member, this one included."""
        return self.local_member.incarnation if name == self.local_member.name else self.incarnation(name)

    def raise_incarnation(self, name: str, incarnation: int) -> bool:
        """Record another member's incarnation and return whether it was new."""
        if incarnation <= self.incarnation(name):
            return False
        if self.uses_consensus and (self.view is None or name not in self.view):
            return False  # bounds the table: any process may send any name
        self.raised_incarnations[name] = incarnation
        return True

    def incarnations(self) -> tuple[tuple[str, int], ...]:
        """Return the incarnations above the view's and this member's own, sorted by name."""
        local = {self.local_member.name: self.local_member.incarnation}
        return tuple(sorted({**self.raised_incarnations, **local}.items()))

    def has_newer_incarnation(self, incarnations: dict[str, int]) -> bool:
        """Return whether this member has an incarnation above both the view's and the given one."""
        return any(
            incarnation > max(incarnations.get(name, -1), self._view_incarnation(name))
            for name, incarnation in self.incarnations()
        )

    # -- addresses

    def address(self, name: str) -> str:
        """Return a member's address; empty if it is unknown."""
        member = self.view.get(name) if self.view is not None else None
        return member.address if member is not None else self.addresses.get(name, "")

    def record_address(self, name: str, address: str) -> None:
        """Record the address of a name outside the view, within the table's bound."""
        if name in self.addresses or len(self.addresses) < MAX_JOINERS:
            self.addresses[name] = address

    # -- observers

    def observers(self, subject: str) -> tuple[str, ...]:
        """Return the observers of a member or a joiner in the current view."""
        names = self.known_names()
        if self.settings.injected_fault == "one-observer":
            return tuple(name for name in names if name != subject)
        if subject not in self._observers_by_subject:
            if len(self._observers_by_subject) > len(names) + 2 * MAX_JOINERS:
                self._observers_by_subject.clear()
            self._observers_by_subject[subject] = rings(names, self.settings.observers).observers(subject)
        return self._observers_by_subject[subject]

    def subjects(self) -> tuple[str, ...]:
        """Return the members that this one observes."""
        if self.view is None:
            return ()
        if self._local_subjects is None:
            view_rings = rings(self.view.names, self.settings.observers)
            self._local_subjects = view_rings.subjects(self.local_member.name)
        return self._local_subjects

    # -- a new view

    def install_view(self, now: float, view: View) -> None:
        """Replace the view and discard data that no longer applies."""
        previous, self.view = self.view, view
        self._update_join_times(now, previous, view)
        self.raised_incarnations = {
            name: incarnation
            for name, incarnation in self.raised_incarnations.items()
            if name in view and incarnation > self._view_incarnation(name)
        }
        for member in previous.members if previous is not None else ():
            if member.name not in view:  # it may request the view that removed it
                self.addresses[member.name] = member.address
        self.addresses = {name: address for name, address in self.addresses.items() if name not in view}
        for name in list(self.addresses)[:-MAX_JOINERS]:
            del self.addresses[name]
        self._observers_by_subject.clear()
        self._local_subjects = None
        local = view.get(self.local_member.name)
        if local is not None and local.incarnation > self.local_member.incarnation:
            self.local_member = replace(self.local_member, incarnation=local.incarnation)

    def _update_join_times(self, now: float, previous: View | None, view: View) -> None:
        if previous is None:
            self._joined_at, self._local_joined_at = {}, now
            return
        self._joined_at = {name: joined_at for name, joined_at in self._joined_at.items() if name in view}
        self._joined_at |= {member.name: now for member in view.members if member.name not in previous}

    def handle_removal(self) -> None:
        """Discard the view that removed this member, which rejoins with a higher incarnation."""
        self.view = None
        self.local_member = replace(self.local_member, incarnation=self.local_member.incarnation + 1)
