"""How a member comes in, founds the first view or catches up: requests, full state, digests. Pure."""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import replace

from .member_table import JOINERS_MOST, Roster
from .messages import Alert, Digest, Join, Sync
from .outbox import Outbox
from .plan import Settings
from .view import Change, Kind, Member, View, fingerprint

ASKED_MOST = 3  # of the view that is without this member: the seeds may all be out with it
TOLD_MOST = 8  # who are told that they are left out too
SYNC_REST = 0.2  # seconds between two requests for the view of one sender, whatever it sends


class Joining:
    """This member's own way in, and its part in that of others."""

    def __init__(
        self,
        roster: Roster,
        out: Outbox,
        settings: Settings,
        chance: random.Random,
        seeds: tuple[str, ...],
        now: float,
    ) -> None:
        self._roster, self._out, self._settings, self._chance = roster, out, settings, chance
        self._seeds = seeds
        self.next_join = now
        self.next_sync = now + settings.sync_every
        self._started = now
        self._viewless: dict[str, tuple[Member, float]] = {}  # who asks to be let in, and when it last did
        self._asking: Member | None = None  # as whom I ask in: the same until I am in or an older self was
        self._asked_in: set[int] = set()  # my incarnations that I asked in with
        self._asked_view: dict[str, float] = {}  # whom I asked for its view, and when
        self._behind_since: float | None = None
        self._left_out_of: tuple[str, ...] = ()  # addresses of some who are in the view that is without me

    # -- this member's way in

    def greet(self, now: float) -> None:
        """The baselines know each other from the seeds, all of them."""
        if now >= self.next_join:
            self.next_join = now + self._settings.sync_every
            self._ask(self._roster.me)

    def ask_in(self, now: float) -> list[Member] | None:
        """Ask the seeds, when it is time; the others to found the first view with, if that is due here."""
        if now < self.next_join:
            return None
        self.next_join = now + self._settings.join_every * self._chance.uniform(0.8, 1.2)
        # A refutation meanwhile changes nothing here: asking as somebody newer each time, it would be let in
        # again and again before it heard of any of the views.
        self._asking = self._asking or self._roster.me
        self._asked_in.add(self._asking.incarnation)
        self._ask(self._asking)
        return self._founders(now)

    def _ask(self, me: Member) -> None:
        for address in dict.fromkeys((*self._seeds, *self._left_out_of)):
            if address != me.address:
                self._out.send_to(address, Join(me))

    def _founders(self, now: float) -> list[Member] | None:
        """The first view, by the first of the seeds that has none, once enough others say they have none.

        It needs a majority of the seeds and `found_least` members. Guards against a seed that restarts while
        it is cut off and would found a fleet of its own beside the one that lives.
        """
        mine = self._roster.me.address
        if mine not in self._seeds:
            return None
        fresh = self._fresh(now)
        others = [member for member, heard in self._viewless.values() if heard >= fresh]
        place = self._seeds.index(mine)
        addresses = {one.address for one in others} | {mine}
        if any(address in addresses for address in self._seeds[:place]):
            return None  # theirs to found
        enough = sum(one in addresses for one in self._seeds) > len(self._seeds) // 2
        if not enough or len(others) + 1 < self._settings.found_least:
            return None
        return others if now >= self._started + self._settings.found_after * (1 + place) else None

    def viewed(self) -> None:
        """A view was installed here."""
        self._behind_since = None
        self._viewless.clear()
        self._asked_view.clear()
        self._asked_in.clear()
        self._asking = None
        self._left_out_of = ()

    def left_out(self, now: float, old: View, view: View, first: bool) -> None:
        """The view is without this member: it asks in at once, and who is left out with it is told, so that
        they come back together. Only by whoever heard of it `first`, from a member of the view."""
        self._started = self.next_join = now
        inside = self._chance.sample(view.members, min(ASKED_MOST, len(view.members)))
        self._left_out_of = tuple(one.address for one in inside)
        outside = [one for one in old.names if one not in view and one != self._roster.me.name]
        for name in self._chance.sample(outside, min(TOLD_MOST, len(outside))) if first else ():
            self._out.send(name, self.state(True))

    # -- others' way in

    def joined(self, now: float, member: Member, relayed: bool) -> Alert | None:
        """It asks to be let in; this member's own report of it, if it is its observer."""
        view, me = self._roster.view, self._roster.me.name
        if view is None:
            self._note_viewless(now, member)
            return None
        known = view.get(member.name)
        if known is not None and known.incarnation >= member.incarnation and known.address == member.address:
            self._out.send_to(member.address, self.state(True))
            return None
        self._roster.remember(member.name, member.address)
        watch = self._roster.observers(member.name)
        if not relayed:
            for name in watch:
                if name != me:
                    self._out.send(name, Join(member, relayed=True))
        if me in watch or self._settings.broken == "one-observer":
            return Alert(view.epoch, me, True, member)
        return None

    def _note_viewless(self, now: float, member: Member) -> None:
        """It has no view either. In a full table who was silent for long makes room, and anybody for a seed:
        guards the first view against more askers than there is room for, among whom a seed would be missed.
        """
        held = self._viewless
        held.pop(member.name, None)  # so that who was heard longest ago comes first
        if len(held) >= JOINERS_MOST:
            seed = member.address in self._seeds
            others = (name for name, (one, _) in held.items() if one.address not in self._seeds)
            oldest = next(others, None)
            if oldest is None or not (seed or held[oldest][1] < self._fresh(now)):
                return self._out.count("joins_refused")
            del held[oldest]
        held[member.name] = (member, now)

    def _fresh(self, now: float) -> float:
        """Who asked since then is taken to be there."""
        return now - 3 * self._settings.join_every

    def welcome(self, changes: tuple[Change, ...]) -> None:
        """Who was let in waits for the view: its observers send it."""
        for change in changes:
            name = change.member.name
            if change.kind is Kind.JOIN and self._roster.me.name in self._roster.observers(name):
                self._out.send(name, self.state(True))

    # -- full state

    def state(self, reply: bool) -> Sync:
        return Sync(self._roster.view, self._roster.incarnations(), reply)

    def compare(self, now: float) -> None:
        """A digest to one other member, when it is time: full state follows if it differs."""
        if now < self.next_sync:
            return
        self.next_sync = now + self._settings.sync_every * self._chance.uniform(0.8, 1.2)
        for other in self._roster.some(self._chance, 1):
            self._out.send(other, Digest(self._digest()))

    def compared(self, sender: str, value: bytes, address: str) -> None:
        if value != self._digest():
            self._out.send(sender, self.state(False), address)

    def _digest(self) -> bytes:
        """Of the full state: equal on two members that hold the same view and incarnations."""
        view, me = self._roster.view, self._roster.me
        held = fingerprint(view) if view is not None else "-"
        mine = view.get(me.name) if view is not None else None
        raised = dict(self._roster.raised)
        if mine is not None and me.incarnation > mine.incarnation:
            raised[me.name] = me.incarnation
        return hashlib.blake2b(f"{held}|{sorted(raised.items())}".encode(), digest_size=12).digest()

    def lag(self, now: float, sender: str, epoch: int, address: str) -> None:
        """A message of a later epoch came: ask its sender for the view, unless it was asked just now."""
        if epoch <= self._roster.epoch:
            return
        if self._roster.large:  # its own decision may come in a moment, and a large view is dear
            self._behind_since = now if self._behind_since is None else self._behind_since
            if now < self._behind_since + self._settings.period:
                return
        if now < self._asked_view.get(sender, -math.inf) + SYNC_REST:
            return
        if len(self._asked_view) >= JOINERS_MOST:  # the oldest goes: it has rested longest
            del self._asked_view[next(iter(self._asked_view))]
        self._asked_view.pop(sender, None)
        self._asked_view[sender] = now
        self._out.send(sender, self.state(False), address)

    def synced(self, now: float, sync: Sync, sender: str) -> View | None:
        """Another's full state, its incarnations taken already: the view to install, if it is a later one."""
        mine, me = self._roster.view, self._roster.me
        if sync.view is not None and mine is None:
            held = sync.view.get(me.name)
            if held is not None and held.incarnation in self._asked_in:
                return sync.view
            if held is not None and held.incarnation > (self._asking or me).incarnation:
                # An older self with a later clock: it may have voted in this epoch, so this one is let in as
                # somebody new, above it.
                self._roster.me = replace(me, incarnation=max(held.incarnation, me.incarnation) + 1)
                self._asking, self.next_join = None, now
        elif sync.view is not None and mine is not None and sync.view.epoch > mine.epoch:
            return sync.view
        elif not sync.reply and mine is not None:
            told = dict(sync.incarnations)
            newer = any(
                number > max(told.get(name, -1), self._roster.incarnation(name, False))
                for name, number in self._roster.incarnations()
            )
            if sync.view is None or sync.view.epoch < mine.epoch or newer:
                self._out.send(sender, self.state(True))
        return None
