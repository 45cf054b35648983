"""Joining the fleet, founding the first view, and admitting others. Pure."""

from __future__ import annotations

import random
from dataclasses import replace

from .member_table import MAX_JOINERS, MemberTable
from .messages import Alert, Join, Sync
from .outbox import Outbox
from .plan import Settings
from .view import Change, ChangeKind, Member, View

MAX_VIEW_MEMBERS_ASKED = 3  # of the view without this member: all seeds may have been removed with it
MAX_REMOVED_NOTIFIED = 8  # members removed in the same change that are told so
JOINER_EXPIRY_INTERVALS = 3  # join intervals after which a silent joiner is taken to be down


class Joining:
    """This member's own join, and its part in the joins of others."""

    def __init__(
        self,
        member_table: MemberTable,
        outbox: Outbox,
        settings: Settings,
        rng: random.Random,
        seeds: tuple[str, ...],
        now: float,
    ) -> None:
        self._member_table, self._outbox, self._settings, self._rng = member_table, outbox, settings, rng
        self._seeds = seeds
        self.next_join_at = now
        self._started_at = now
        self._members_without_view: dict[str, tuple[Member, float]] = {}  # and when they last asked
        self._joining_as: Member | None = None  # until admitted or an earlier process is found
        self._requested_incarnations: set[int] = set()  # of this member
        self._addresses_in_view: tuple[str, ...] = ()  # of some members of the view without this one

    # -- this member's join

    def announce_to_seeds(self, now: float) -> None:
        """Announce this member to the seeds, when it is due; the baselines learn of each other this way."""
        if now >= self.next_join_at:
            self.next_join_at = now + self._settings.sync_interval_s
            self._send_join(self._member_table.local_member)

    def request_join(self, now: float) -> list[Member] | None:
        """Ask the seeds for admission, when it is due.

        Returns:
            The other members to found the first view with, if this member is to found it now.
        """
        if now < self.next_join_at:
            return None
        self.next_join_at = now + self._settings.join_interval_s * self._rng.uniform(0.8, 1.2)
        # A refutation does not change the incarnation that joins: with a newer one each time this member
        # would be admitted again and again before it learns of the view.
        self._joining_as = self._joining_as or self._member_table.local_member
        self._requested_incarnations.add(self._joining_as.incarnation)
        self._send_join(self._joining_as)
        return self._founders(now)

    def _send_join(self, member: Member) -> None:
        for address in dict.fromkeys((*self._seeds, *self._addresses_in_view)):
            if address != member.address:
                self._outbox.send_to_address(address, Join(member))

    def _founders(self, now: float) -> list[Member] | None:
        """Return the other members of the first view, if this member is to found it now.

        The first of the seeds without a view founds it, once a majority of the seeds and `min_founders`
        members report that they have none. So a seed that restarts during a partition does not found a second
        fleet.
        """
        local_address = self._member_table.local_member.address
        if local_address not in self._seeds:
            return None
        fresh_since = self._fresh_since(now)
        others = [
            member for member, asked_at in self._members_without_view.values() if asked_at >= fresh_since
        ]
        rank = self._seeds.index(local_address)
        addresses = {member.address for member in others} | {local_address}
        if any(address in addresses for address in self._seeds[:rank]):
            return None  # an earlier seed founds the view
        has_seed_majority = sum(seed in addresses for seed in self._seeds) > len(self._seeds) // 2
        if not has_seed_majority or len(others) + 1 < self._settings.min_founders:
            return None
        return others if now >= self._started_at + self._settings.found_delay_s * (1 + rank) else None

    def handle_view_installed(self) -> None:
        """Drop the state of the join: a view was installed."""
        self._members_without_view.clear()
        self._requested_incarnations.clear()
        self._joining_as = None
        self._addresses_in_view = ()

    def handle_removal(self, now: float, old_view: View, view: View, learned_from_member: bool) -> None:
        """Rejoin at once after this member was removed.

        If it learned of the removal from a member of the view, it also tells others that were removed with
        it, so that they return together.
        """
        self._started_at = self.next_join_at = now
        inside = self._rng.sample(view.members, min(MAX_VIEW_MEMBERS_ASKED, len(view.members)))
        self._addresses_in_view = tuple(member.address for member in inside)
        local_name = self._member_table.local_member.name
        outside = [name for name in old_view.names if name not in view and name != local_name]
        if learned_from_member:
            for name in self._rng.sample(outside, min(MAX_REMOVED_NOTIFIED, len(outside))):
                self._outbox.send(name, self._full_state_reply())

    # -- joins of others

    def handle_join(self, now: float, member: Member, is_relayed: bool) -> Alert | None:
        """Handle a request for admission; return this member's alert if it is an observer of the joiner."""
        view, local_name = self._member_table.view, self._member_table.local_member.name
        if view is None:
            self._record_member_without_view(now, member)
            return None
        known = view.get(member.name)
        if known is not None and known.incarnation >= member.incarnation and known.address == member.address:
            self._outbox.send_to_address(member.address, self._full_state_reply())
            return None
        self._member_table.remember_address(member.name, member.address)
        observers = self._member_table.observers(member.name)
        if not is_relayed:
            for name in observers:
                if name != local_name:
                    self._outbox.send(name, Join(member, is_relayed=True))
        if local_name in observers or self._settings.injected_fault == "one-observer":
            return Alert(view.epoch, local_name, True, member)
        return None

    def _record_member_without_view(self, now: float, member: Member) -> None:
        """Record a joiner while this member has no view either.

        In a full table a joiner that was silent for long makes room, and any joiner does for a seed: the
        first view depends on the seeds.
        """
        joiners = self._members_without_view
        joiners.pop(member.name, None)  # keeps the one that asked longest ago first
        if len(joiners) >= MAX_JOINERS:
            is_seed = member.address in self._seeds
            no_seeds = (name for name, (joiner, _) in joiners.items() if joiner.address not in self._seeds)
            oldest = next(no_seeds, None)
            if oldest is None or not (is_seed or joiners[oldest][1] < self._fresh_since(now)):
                self._outbox.count("joins_refused")
                return
            del joiners[oldest]
        joiners[member.name] = (member, now)

    def _fresh_since(self, now: float) -> float:
        """Return since when a joiner must have asked to be taken for running."""
        return now - JOINER_EXPIRY_INTERVALS * self._settings.join_interval_s

    def send_view_to_joiners(self, changes: tuple[Change, ...]) -> None:
        """Send the view to the joiners it admitted, if this member is an observer of them."""
        local_name = self._member_table.local_member.name
        for change in changes:
            name = change.member.name
            if change.kind is ChangeKind.JOIN and local_name in self._member_table.observers(name):
                self._outbox.send(name, self._full_state_reply())

    def _full_state_reply(self) -> Sync:
        return Sync(self._member_table.view, self._member_table.incarnations(), is_reply=True)

    # -- a view received while this member has none

    def accept_view(self, now: float, view: View) -> bool:
        """Return whether a received view admits this member under an incarnation that it asked with.

        If the view lists a later incarnation, of an earlier process with a later clock, this member joins
        anew with one above it: the earlier process may have voted in this epoch.
        """
        local = self._member_table.local_member
        listed = view.get(local.name)
        if listed is None:
            return False
        if listed.incarnation in self._requested_incarnations:
            return True
        if listed.incarnation > (self._joining_as or local).incarnation:
            incarnation = max(listed.incarnation, local.incarnation) + 1
            self._member_table.local_member = replace(local, incarnation=incarnation)
            self._joining_as, self.next_join_at = None, now
        return False
