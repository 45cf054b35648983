"""Full-state synchronization by digests and requests for a newer view, which repairs lost gossip. No I/O."""

from __future__ import annotations

import hashlib
import math
import random

from .joining import Joining
from .member_table import MAX_JOINERS, MemberTable
from .messages import Digest, Sync
from .outbox import Outbox
from .plan import Settings
from .view import View, fingerprint

MIN_SYNC_REQUEST_INTERVAL_S = 0.2  # between two requests to the same member


class StateSync:
    """Compares this member's full state with that of others."""

    def __init__(
        self,
        member_table: MemberTable,
        joining: Joining,
        outbox: Outbox,
        settings: Settings,
        rng: random.Random,
        now: float,
    ) -> None:
        self._member_table, self._joining, self._outbox = member_table, joining, outbox
        self._settings, self._rng = settings, rng
        self.next_sync_at = now + settings.sync_interval_s
        self._view_requested_at: dict[str, float] = {}  # by recipient
        self._behind_since: float | None = None  # when a message first had a later epoch, in a large view

    def full_state(self, is_reply: bool) -> Sync:
        """Return this member's view and incarnations."""
        return Sync(self._member_table.view, self._member_table.incarnations(), is_reply)

    def send_digest(self, now: float) -> None:
        """Send a digest to a random member, when it is due; the full state follows if it differs."""
        if now < self.next_sync_at:
            return
        self.next_sync_at = now + self._settings.sync_interval_s * self._rng.uniform(0.8, 1.2)
        for name in self._member_table.random_names(self._rng, 1):
            self._outbox.send(name, Digest(self._digest()))

    def handle_digest(self, sender: str, value: bytes, address: str) -> None:
        """Send the full state to a member whose digest differs."""
        if value != self._digest():
            self._outbox.send(sender, self.full_state(False), address)

    def _digest(self) -> bytes:
        """Return a digest of the full state, equal on members with equal views and incarnations."""
        view, local = self._member_table.view, self._member_table.local_member
        view_text = fingerprint(view) if view is not None else "-"
        listed = view.get(local.name) if view is not None else None
        raised = dict(self._member_table.raised_incarnations)
        if listed is not None and local.incarnation > listed.incarnation:
            raised[local.name] = local.incarnation
        return hashlib.blake2b(f"{view_text}|{sorted(raised.items())}".encode(), digest_size=12).digest()

    def request_newer_view(self, now: float, sender: str, epoch: int, address: str) -> None:
        """Request the view from the sender of a message with a later epoch, unless it was just requested."""
        if epoch <= self._member_table.epoch:
            return
        if self._member_table.is_large:  # this member may decide soon, and a large view is expensive
            self._behind_since = now if self._behind_since is None else self._behind_since
            if now < self._behind_since + self._settings.period_s:
                return
        if now < self._view_requested_at.get(sender, -math.inf) + MIN_SYNC_REQUEST_INTERVAL_S:
            return
        if len(self._view_requested_at) >= MAX_JOINERS:
            del self._view_requested_at[next(iter(self._view_requested_at))]  # the oldest request
        self._view_requested_at.pop(sender, None)
        self._view_requested_at[sender] = now
        self._outbox.send(sender, self.full_state(False), address)

    def handle_sync(self, now: float, sync: Sync, sender: str) -> View | None:
        """Return the view of a full state if it is to be installed; the incarnations are already recorded."""
        current = self._member_table.view
        if current is None:
            if sync.view is not None and self._joining.accept_view(now, sync.view):
                return sync.view
        elif sync.view is not None and sync.view.epoch > current.epoch:
            return sync.view
        elif not sync.is_reply and self._is_behind(sync, current):
            self._outbox.send(sender, self.full_state(True))
        return None

    def _is_behind(self, sync: Sync, current: View) -> bool:
        if sync.view is None or sync.view.epoch < current.epoch:
            return True
        return self._member_table.has_newer_incarnation(dict(sync.incarnations))

    def handle_view_installed(self) -> None:
        """Discard the requests for a newer view."""
        self._behind_since = None
        self._view_requested_at.clear()
