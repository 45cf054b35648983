"""How a member comes in, founds the first view or catches up: requests, full state, digests. Pure."""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import replace

from .member_table import MAX_JOINERS, MemberTable
from .messages import Alert, Digest, Join, Sync
from .outbox import Outbox
from .plan import Settings
from .view import Change, ChangeKind, Member, View, fingerprint

MAX_VIEW_MEMBERS_ASKED = 3  # of the view that is without this member: the seeds may all be out with it
MAX_REMOVED_NOTIFIED = 8  # who are told that they are left out too
MIN_SYNC_REQUEST_INTERVAL_S = (
    0.2  # seconds between two requests for the view of one sender, whatever it sends
)


class Joining:
    """This member's own way in, and its part in that of others."""

    def __init__(
        self,
        roster: MemberTable,
        out: Outbox,
        settings: Settings,
        chance: random.Random,
        seeds: tuple[str, ...],
        now: float,
    ) -> None:
        self._member_table, self._outbox, self._settings, self._random = roster, out, settings, chance
        self._seeds = seeds
        self.next_join_at = now
        self.next_sync_at = now + settings.sync_interval_s
        self._started_at = now
        self._members_without_view: dict[
            str, tuple[Member, float]
        ] = {}  # who asks to be let in, and when it last did
        self._joining_as: Member | None = (
            None  # as whom I ask in: the same until I am in or an older self was
        )
        self._requested_incarnations: set[int] = set()  # my incarnations that I asked in with
        self._view_requested_at: dict[str, float] = {}  # whom I asked for its view, and when
        self._behind_since: float | None = None
        self._addresses_in_view: tuple[
            str, ...
        ] = ()  # addresses of some who are in the view that is without me

    # -- this member's way in

    def announce_to_seeds(self, now: float) -> None:
        """The baselines know each other from the seeds, all of them."""
        if now >= self.next_join_at:
            self.next_join_at = now + self._settings.sync_interval_s
            self._send_join(self._member_table.local_member)

    def request_join(self, now: float) -> list[Member] | None:
        """Ask the seeds, when it is time; the others to found the first view with, if that is due here."""
        if now < self.next_join_at:
            return None
        self.next_join_at = now + self._settings.join_interval_s * self._random.uniform(0.8, 1.2)
        # A refutation meanwhile changes nothing here: asking as somebody newer each time, it would be let in
        # again and again before it heard of any of the views.
        self._joining_as = self._joining_as or self._member_table.local_member
        self._requested_incarnations.add(self._joining_as.incarnation)
        self._send_join(self._joining_as)
        return self._founders(now)

    def _send_join(self, me: Member) -> None:
        for address in dict.fromkeys((*self._seeds, *self._addresses_in_view)):
            if address != me.address:
                self._outbox.send_to(address, Join(me))

    def _founders(self, now: float) -> list[Member] | None:
        """The first view, by the first of the seeds that has none, once enough others say they have none.

        It needs a majority of the seeds and `found_least` members. Guards against a seed that restarts while
        it is cut off and would found a fleet of its own beside the one that lives.
        """
        mine = self._member_table.local_member.address
        if mine not in self._seeds:
            return None
        fresh = self._fresh_since(now)
        others = [member for member, heard in self._members_without_view.values() if heard >= fresh]
        place = self._seeds.index(mine)
        addresses = {one.address for one in others} | {mine}
        if any(address in addresses for address in self._seeds[:place]):
            return None  # theirs to found
        enough = sum(one in addresses for one in self._seeds) > len(self._seeds) // 2
        if not enough or len(others) + 1 < self._settings.min_founders:
            return None
        return others if now >= self._started_at + self._settings.found_delay_s * (1 + place) else None

    def handle_view_installed(self) -> None:
        """A view was installed here."""
        self._behind_since = None
        self._members_without_view.clear()
        self._view_requested_at.clear()
        self._requested_incarnations.clear()
        self._joining_as = None
        self._addresses_in_view = ()

    def handle_removal(self, now: float, old: View, view: View, first: bool) -> None:
        """The view is without this member: it asks in at once, and who is left out with it is told, so that
        they come back together. Only by whoever heard of it `first`, from a member of the view."""
        self._started_at = self.next_join_at = now
        inside = self._random.sample(view.members, min(MAX_VIEW_MEMBERS_ASKED, len(view.members)))
        self._addresses_in_view = tuple(one.address for one in inside)
        outside = [
            one for one in old.names if one not in view and one != self._member_table.local_member.name
        ]
        for name in self._random.sample(outside, min(MAX_REMOVED_NOTIFIED, len(outside))) if first else ():
            self._outbox.send(name, self.full_state(True))

    # -- others' way in

    def handle_join(self, now: float, member: Member, relayed: bool) -> Alert | None:
        """It asks to be let in; this member's own report of it, if it is its observer."""
        view, me = self._member_table.view, self._member_table.local_member.name
        if view is None:
            self._record_member_without_view(now, member)
            return None
        known = view.get(member.name)
        if known is not None and known.incarnation >= member.incarnation and known.address == member.address:
            self._outbox.send_to(member.address, self.full_state(True))
            return None
        self._member_table.remember_address(member.name, member.address)
        watch = self._member_table.observers(member.name)
        if not relayed:
            for name in watch:
                if name != me:
                    self._outbox.send(name, Join(member, is_relayed=True))
        if me in watch or self._settings.injected_fault == "one-observer":
            return Alert(view.epoch, me, True, member)
        return None

    def _record_member_without_view(self, now: float, member: Member) -> None:
        """It has no view either. In a full table who was silent for long makes room, and anybody for a seed:
        guards the first view against more askers than there is room for, among whom a seed would be missed.
        """
        held = self._members_without_view
        held.pop(member.name, None)  # so that who was heard longest ago comes first
        if len(held) >= MAX_JOINERS:
            seed = member.address in self._seeds
            others = (name for name, (one, _) in held.items() if one.address not in self._seeds)
            oldest = next(others, None)
            if oldest is None or not (seed or held[oldest][1] < self._fresh_since(now)):
                return self._outbox.count("joins_refused")
            del held[oldest]
        held[member.name] = (member, now)

    def _fresh_since(self, now: float) -> float:
        """Who asked since then is taken to be there."""
        return now - 3 * self._settings.join_interval_s

    def send_view_to_joiners(self, changes: tuple[Change, ...]) -> None:
        """Who was let in waits for the view: its observers send it."""
        for change in changes:
            name = change.member.name
            if (
                change.kind is ChangeKind.JOIN
                and self._member_table.local_member.name in self._member_table.observers(name)
            ):
                self._outbox.send(name, self.full_state(True))

    # -- full state

    def full_state(self, reply: bool) -> Sync:
        return Sync(self._member_table.view, self._member_table.incarnations(), reply)

    def send_digest(self, now: float) -> None:
        """A digest to one other member, when it is time: full state follows if it differs."""
        if now < self.next_sync_at:
            return
        self.next_sync_at = now + self._settings.sync_interval_s * self._random.uniform(0.8, 1.2)
        for other in self._member_table.random_names(self._random, 1):
            self._outbox.send(other, Digest(self._digest()))

    def handle_digest(self, sender: str, value: bytes, address: str) -> None:
        if value != self._digest():
            self._outbox.send(sender, self.full_state(False), address)

    def _digest(self) -> bytes:
        """Of the full state: equal on two members that hold the same view and incarnations."""
        view, me = self._member_table.view, self._member_table.local_member
        held = fingerprint(view) if view is not None else "-"
        mine = view.get(me.name) if view is not None else None
        raised = dict(self._member_table.raised_incarnations)
        if mine is not None and me.incarnation > mine.incarnation:
            raised[me.name] = me.incarnation
        return hashlib.blake2b(f"{held}|{sorted(raised.items())}".encode(), digest_size=12).digest()

    def request_newer_view(self, now: float, sender: str, epoch: int, address: str) -> None:
        """A message of a later epoch came: ask its sender for the view, unless it was asked just now."""
        if epoch <= self._member_table.epoch:
            return
        if self._member_table.is_large:  # its own decision may come in a moment, and a large view is dear
            self._behind_since = now if self._behind_since is None else self._behind_since
            if now < self._behind_since + self._settings.period_s:
                return
        if now < self._view_requested_at.get(sender, -math.inf) + MIN_SYNC_REQUEST_INTERVAL_S:
            return
        if len(self._view_requested_at) >= MAX_JOINERS:  # the oldest goes: it has rested longest
            del self._view_requested_at[next(iter(self._view_requested_at))]
        self._view_requested_at.pop(sender, None)
        self._view_requested_at[sender] = now
        self._outbox.send(sender, self.full_state(False), address)

    def handle_sync(self, now: float, sync: Sync, sender: str) -> View | None:
        """Another's full state, its incarnations taken already: the view to install, if it is a later one."""
        mine, me = self._member_table.view, self._member_table.local_member
        if sync.view is not None and mine is None:
            held = sync.view.get(me.name)
            if held is not None and held.incarnation in self._requested_incarnations:
                return sync.view
            if held is not None and held.incarnation > (self._joining_as or me).incarnation:
                # An older self with a later clock: it may have voted in this epoch, so this one is let in as
                # somebody new, above it.
                self._member_table.local_member = replace(
                    me, incarnation=max(held.incarnation, me.incarnation) + 1
                )
                self._joining_as, self.next_join_at = None, now
        elif sync.view is not None and mine is not None and sync.view.epoch > mine.epoch:
            return sync.view
        elif not sync.is_reply and mine is not None:
            told = dict(sync.incarnations)
            newer = any(
                number > max(told.get(name, -1), self._member_table.incarnation(name, False))
                for name, number in self._member_table.incarnations()
            )
            if sync.view is None or sync.view.epoch < mine.epoch or newer:
                self._outbox.send(sender, self.full_state(True))
        return None
