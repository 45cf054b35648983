"""Leaving the fleet, announced repeatedly because a datagram may be lost. No I/O."""

from __future__ import annotations

import math

from .member_table import MemberTable
from .messages import Leave
from .outbox import Outbox
from .plan import Settings

LEAVE_RETRANSMISSIONS = 2


class Leaving:
    """Announces this member's leave; once `has_started`, the member's timers do nothing else."""

    def __init__(self, member_table: MemberTable, outbox: Outbox, settings: Settings) -> None:
        self._member_table, self._outbox, self._settings = member_table, outbox, settings
        self.has_started = False
        self._retransmissions_left = 0
        self._next_send_at = math.inf

    def start(self, now: float) -> None:
        """Announce the leave; a repeated call announces it again."""
        if self._member_table.view is not None or not self._member_table.uses_consensus:
            if not self.has_started:
                self._outbox.log("leaving", epoch=self._member_table.epoch)
            self._outbox.broadcast(Leave(self._member_table.local_member))
        if not self.has_started:
            self.has_started, self._retransmissions_left = True, LEAVE_RETRANSMISSIONS
        self._next_send_at = now + self._settings.probe_timeout_s

    def run_timers(self, now: float) -> None:
        """Announce the leave again, when it is due."""
        if self._retransmissions_left and now >= self._next_send_at:
            self._retransmissions_left -= 1
            self._next_send_at = now + self._settings.probe_timeout_s
            self._outbox.broadcast(Leave(self._member_table.local_member))

    @property
    def next_wakeup(self) -> float:
        """When the leave is announced again; infinity if no announcement is left."""
        return self._next_send_at if self._retransmissions_left else math.inf
