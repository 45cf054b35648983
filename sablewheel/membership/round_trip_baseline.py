"""What the trial's baselines do and ours does not: each member removes alone, on its own timeout. Pure.

Plain SWIM shares the detector with ours; the heartbeats, all-to-all with a fixed timeout, are here whole.
"""

from __future__ import annotations

from collections.abc import Callable

from .member_table import Roster
from .messages import Alive, Ping
from .outbox import Outbox
from .plan import Settings


class Baseline:
    """`blame` is told of the silent, as a detector's is."""

    def __init__(
        self,
        roster: Roster,
        out: Outbox,
        settings: Settings,
        now: float,
        blame: Callable[[float, str, int], None],
    ) -> None:
        self._roster, self._out, self._settings, self._blame = roster, out, settings, blame
        self._started = self._next_beat = now
        self._heard: dict[str, float] = {}  # the last word of each

    def heard(self, now: float, name: str, incarnation: int) -> None:
        """Any word of a member: who is heard of is in, unless it is older than what is known."""
        self._heard[name] = now
        if name not in self._roster.local and self._roster.incarnation(name) <= incarnation:
            self._roster.local.add(name)
            self._out.note("added", member=name, alone=True)

    def remove(self, name: str, incarnation: int) -> None:
        if name in self._roster.local:
            self._roster.local.discard(name)
            self._out.note("removed", member=name, incarnation=incarnation, alone=True)
            self._out.count("removals")

    def beat(self, now: float) -> None:
        """A word to everyone each period; silence past the timeout removes."""
        if now >= self._next_beat:
            self._next_beat = now + self._settings.period
            me = self._roster.me
            self._out.broadcast(Ping(0, (Alive(me.name, me.incarnation),)))
        for name in list(self._roster.local):
            if now - self._last(name) > self._settings.heartbeat_timeout:
                self._blame(now, name, self._roster.incarnation(name))

    def wakes(self) -> list[float]:
        timeout = self._settings.heartbeat_timeout
        return [self._next_beat, *(self._last(name) + timeout for name in self._roster.local)]

    def _last(self, name: str) -> float:
        return self._heard.get(name, self._started)
