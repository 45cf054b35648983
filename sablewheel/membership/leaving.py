"""The way out: said three times in all, a probe's timeout apart, since one datagram may be lost. Pure."""

from __future__ import annotations

import math

from .member_table import Roster
from .messages import Leave
from .outbox import Outbox
from .plan import Settings

AGAIN = 2  # times that it is said after the first


class Leaving:
    """`begun` once the notice came; nothing else is done after it."""

    def __init__(self, roster: Roster, out: Outbox, settings: Settings) -> None:
        self._roster, self._out, self._settings = roster, out, settings
        self.begun = False
        self._left = 0
        self._at = math.inf

    def begin(self, now: float) -> None:
        """The notice, perhaps not the first."""
        if self._roster.view is not None or not self._roster.ours:
            if not self.begun:
                self._out.note("leaving", epoch=self._roster.epoch)
            self._out.broadcast(Leave(self._roster.me))
        if not self.begun:
            self.begun, self._left = True, AGAIN
        self._at = now + self._settings.probe_timeout

    def ring(self, now: float) -> None:
        if self._left and now >= self._at:
            self._left -= 1
            self._at = now + self._settings.probe_timeout
            self._out.broadcast(Leave(self._roster.me))

    @property
    def wake_at(self) -> float:
        return self._at if self._left else math.inf
