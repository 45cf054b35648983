"""What the trial's baselines do and ours does not: each member removes alone, on its own timeout. Pure.

Plain SWIM shares the detector with ours; the heartbeats, all-to-all with a fixed timeout, are here whole.
"""

from __future__ import annotations

from collections.abc import Callable

from .member_table import MemberTable
from .messages import Alive, Ping
from .outbox import Outbox
from .plan import Settings


class HeartbeatBaseline:
    """`blame` is told of the silent, as a detector's is."""

    def __init__(
        self,
        roster: MemberTable,
        out: Outbox,
        settings: Settings,
        now: float,
        blame: Callable[[float, str, int], None],
    ) -> None:
        self._member_table, self._outbox, self._settings, self._on_failure = roster, out, settings, blame
        self._started_at = self._next_heartbeat_at = now
        self._last_received_at: dict[str, float] = {}  # the last word of each

    def message_received(self, now: float, name: str, incarnation: int) -> None:
        """Any word of a member: who is heard of is in, unless it is older than what is known."""
        self._last_received_at[name] = now
        if (
            name not in self._member_table.baseline_members
            and self._member_table.incarnation(name) <= incarnation
        ):
            self._member_table.baseline_members.add(name)
            self._outbox.log("added", member=name, alone=True)

    def remove(self, name: str, incarnation: int) -> None:
        if name in self._member_table.baseline_members:
            self._member_table.baseline_members.discard(name)
            self._outbox.log("removed", member=name, incarnation=incarnation, alone=True)
            self._outbox.count("removals")

    def run_timers(self, now: float) -> None:
        """A word to everyone each period; silence past the timeout removes."""
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._settings.period_s
            me = self._member_table.local_member
            self._outbox.broadcast(Ping(0, (Alive(me.name, me.incarnation),)))
        for name in list(self._member_table.baseline_members):
            if now - self._last_received(name) > self._settings.heartbeat_timeout_s:
                self._on_failure(now, name, self._member_table.incarnation(name))

    def wakeup_times(self) -> list[float]:
        timeout = self._settings.heartbeat_timeout_s
        return [
            self._next_heartbeat_at,
            *(self._last_received(name) + timeout for name in self._member_table.baseline_members),
        ]

    def _last_received(self, name: str) -> float:
        return self._last_received_at.get(name, self._started_at)
