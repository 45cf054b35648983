"""Joining the fleet, founding the first view, and admitting others. No I/O."""

from __future__ import annotations

import random
from dataclasses import replace

from .member_table import MAX_JOINERS, MemberTable
from .messages import Alert, Join, Sync
from .outbox import Outbox
from .plan import Settings
from .view import Change, ChangeKind, Member, View

MAX_VIEW_MEMBERS_ASKED = 3  # members of the view that removed this one; it may have removed all seeds too
MAX_REMOVED_NOTIFIED = 8  # members removed in the same change that are notified of it
JOINER_EXPIRY_INTERVALS = 3  # join intervals without a request after which a joiner is considered down


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
        # Joiners by name, with the time of their last request.
        self._members_without_view: dict[str, tuple[Member, float]] = {}
        self._join_candidate: Member | None = None  # until admitted, or an earlier process is found
        self._requested_incarnations: set[int] = set()  # those that this member asked to join with
        self._addresses_in_view: tuple[str, ...] = ()  # of some members of the view that removed this one

    # -- this member's join

    def announce_to_seeds(self, now: float) -> None:
        """Announce this member to the seeds when it is due, so that baseline members find each other."""
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
        # A refutation does not change the incarnation that joins: with a newer one in each request, this
        # member would be admitted repeatedly before it receives the view.
        self._join_candidate = self._join_candidate or self._member_table.local_member
        self._requested_incarnations.add(self._join_candidate.incarnation)
        self._send_join(self._join_candidate)
        return self._founders(now)

    def _send_join(self, member: Member) -> None:
        for address in dict.fromkeys((*self._seeds, *self._addresses_in_view)):
            if address != member.address:
                self._outbox.send_to_address(address, Join(member))

    def _founders(self, now: float) -> list[Member] | None:
        """Return the other members of the first view, if this member is to found it now.

        The first of the seeds without a view founds it, once a majority of the seeds and `min_founders`
        members report that they have none. A seed that restarts during a partition therefore does not found a
        second fleet.
        """
        local_address = self._member_table.local_member.address
        if local_address not in self._seeds:
            return None
        fresh_since = self._fresh_since(now)
        others = [
            member
            for member, requested_at in self._members_without_view.values()
            if requested_at >= fresh_since
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
        """Discard the state of the join after a view was installed."""
        self._members_without_view.clear()
        self._requested_incarnations.clear()
        self._join_candidate = None
        self._addresses_in_view = ()

    def handle_removal(self, now: float, old_view: View, view: View, learned_from_member: bool) -> None:
        """Rejoin at once after this member was removed.

        If it received the view from one of its members, it also notifies others that were removed with it,
        so that they rejoin together.
        """
        self._started_at = self.next_join_at = now
        contacts = self._rng.sample(view.members, min(MAX_VIEW_MEMBERS_ASKED, len(view.members)))
        self._addresses_in_view = tuple(member.address for member in contacts)
        local_name = self._member_table.local_member.name
        removed_names = [name for name in old_view.names if name not in view and name != local_name]
        if learned_from_member:
            for name in self._rng.sample(removed_names, min(MAX_REMOVED_NOTIFIED, len(removed_names))):
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
        self._member_table.record_address(member.name, member.address)
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

        In a full table, a new joiner replaces one whose last request has expired. A seed replaces any joiner
        that is not a seed, because the first view depends on the seeds.
        """
        joiners = self._members_without_view
        joiners.pop(member.name, None)  # keeps the joiners in the order of their last request
        if len(joiners) >= MAX_JOINERS:
            is_seed = member.address in self._seeds
            non_seed_names = (
                name for name, (joiner, _) in joiners.items() if joiner.address not in self._seeds
            )
            oldest = next(non_seed_names, None)
            if oldest is None or not (is_seed or joiners[oldest][1] < self._fresh_since(now)):
                self._outbox.count("joins_refused")
                return
            del joiners[oldest]
        joiners[member.name] = (member, now)

    def _fresh_since(self, now: float) -> float:
        """Return the earliest time of a last request by which a joiner is considered running."""
        return now - JOINER_EXPIRY_INTERVALS * self._settings.join_interval_s

    def send_view_to_joiners(self, changes: tuple[Change, ...]) -> None:
        """Send the view to each joiner that it admitted and this member observes."""
        local_name = self._member_table.local_member.name
        for change in changes:
            name = change.member.name
            if change.kind is ChangeKind.JOIN and local_name in self._member_table.observers(name):
                self._outbox.send(name, self._full_state_reply())

    def _full_state_reply(self) -> Sync:
        return Sync(self._member_table.view, self._member_table.incarnations(), is_reply=True)

    # -- views received before admission

    def accept_view(self, now: float, view: View) -> bool:
        """Return whether a received view admits this member under an incarnation that it requested.

        If the view lists a later incarnation, of an earlier process whose clock was ahead, this member
        requests to join with a higher one, because the earlier process may have voted in this epoch.
        """
        local = self._member_table.local_member
        listed = view.get(local.name)
        if listed is None:
            return False
        if listed.incarnation in self._requested_incarnations:
            return True
        if listed.incarnation > (self._join_candidate or local).incarnation:
            incarnation = max(listed.incarnation, local.incarnation) + 1
            self._member_table.local_member = replace(local, incarnation=incarnation)
            self._join_candidate, self.next_join_at = None, now
        return False
