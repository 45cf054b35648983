"""Tracks unreachable members and ranges, so that requests can be rejected without waiting. Pure."""

from __future__ import annotations

from math import inf

from .context import ReplicaContext
from .messages import CompareRanges

PROBE_INTERVAL_S = 0.25
INITIAL_FAILURE_S, MAX_FAILURE_S = 0.3, 2.0  # time for which a range is unreachable; doubles


class Reachability:
    """Members that have not answered, and ranges in which a claim got no majority.

    Invariant: while any member is silent, a probe is scheduled.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self.silent_since: dict[str, float] = {}
        self._failed: dict[int, tuple[float, float]] = {}  # slot: unreachable until, duration
        self.probe_at = inf

    def message_resent(self, name: str, attempts: int) -> None:
        """Record that a message is sent to a member, which counts as silent if the message is a repeat."""
        if name != self._context.name and attempts:
            self.silent_since.setdefault(name, self._context.now)
            self.probe_at = min(self.probe_at, self._context.now + PROBE_INTERVAL_S)

    def message_received(self, name: str) -> None:
        """Record that a message of a member was received, so that it is not silent."""
        self.silent_since.pop(name, None)

    def probe(self) -> None:
        """Send silent members an empty request, as rejected requests lead to no other messages to them."""
        for name in self.silent_since if self._context.epoch else ():
            self._context.send(name, CompareRanges(self._context.epoch, ()))
        self.probe_at = self._context.now + PROBE_INTERVAL_S if self.silent_since else inf

    def view_installed(self) -> None:
        """Remove members that are not in the new view, and the failures of ranges under the old one."""
        members = self._context.ranges.names
        self.silent_since = {name: since for name, since in self.silent_since.items() if name in members}
        self._failed.clear()

    def range_failed(self, slot: int) -> None:
        """Record that a claim got no majority, so that the range counts as unreachable for some time.

        The first claims after that time show whether there is a majority again.
        """
        previous_s = self._failed.get(slot, (0.0, INITIAL_FAILURE_S / 2))[1]
        duration_s = min(2 * previous_s, MAX_FAILURE_S)
        self._failed[slot] = (self._context.now + duration_s, duration_s)

    def range_succeeded(self, slot: int) -> None:
        """Record that a claim was answered by a majority."""
        self._failed.pop(slot, None)

    def is_reachable(self, slot: int, now: float, max_silence_s: float) -> bool:
        """Return whether a majority of a range's replicas may answer.

        This holds if no claim failed recently and enough replicas are silent for less than `max_silence_s`.
        """
        context = self._context
        if not context.epoch or now < self._failed.get(slot, (-inf, 0.0))[0]:
            return False
        names, available = context.replicas_of(slot), 0
        for name in names:
            if name == context.name:
                available += context.is_ready(slot)
            else:
                available += now < self.silent_since.get(name, inf) + max_silence_s
        return available >= context.quorum_size(len(names))
