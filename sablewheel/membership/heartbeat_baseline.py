"""The baselines of the experiments: each member removes others alone, on its own timeout. No I/O.

Plain SWIM shares the failure detector with the product's protocol; the all-to-all heartbeats with a fixed
timeout are implemented here.
"""

from __future__ import annotations

from collections.abc import Callable

from .member_table import MemberTable
from .messages import Alive, Ping
from .outbox import Outbox
from .plan import Settings


class HeartbeatBaseline:
    """Calls `on_failure(now, name, incarnation)` for each member whose heartbeats stopped."""

    def __init__(
        self,
        member_table: MemberTable,
        outbox: Outbox,
        settings: Settings,
        now: float,
        on_failure: Callable[[float, str, int], None],
    ) -> None:
        self._member_table, self._outbox, self._settings = member_table, outbox, settings
        self._on_failure = on_failure
        self._started_at = self._next_heartbeat_at = now
        self._last_received_at: dict[str, float] = {}

    def message_received(self, now: float, name: str, incarnation: int) -> None:
        """Record a message or an update of a member, and add it unless the incarnation is outdated."""
        self._last_received_at[name] = now
        members = self._member_table.baseline_members
        if name not in members and self._member_table.incarnation(name) <= incarnation:
            members.add(name)
            self._outbox.log("added", member=name, alone=True)

    def remove(self, name: str, incarnation: int) -> None:
        """Remove a member from this member's own set."""
        if name in self._member_table.baseline_members:
            self._member_table.baseline_members.discard(name)
            self._outbox.log("removed", member=name, incarnation=incarnation, alone=True)
            self._outbox.count("removals")

    def run_timers(self, now: float) -> None:
        """Send a heartbeat to all members once a period, and report the members that timed out."""
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self._settings.period_s
            local = self._member_table.local_member
            self._outbox.broadcast(Ping(0, (Alive(local.name, local.incarnation),)))
        for name in list(self._member_table.baseline_members):
            if now - self._last_received(name) > self._settings.heartbeat_timeout_s:
                self._on_failure(now, name, self._member_table.incarnation(name))

    def wakeup_times(self) -> list[float]:
        """Return the times at which a heartbeat is due and members time out."""
        timeout_s = self._settings.heartbeat_timeout_s
        timeouts = (self._last_received(name) + timeout_s for name in self._member_table.baseline_members)
        return [self._next_heartbeat_at, *timeouts]

    def _last_received(self, name: str) -> float:
        return self._last_received_at.get(name, self._started_at)
