"""Which members and ranges are out of reach, so that requests can be rejected before they wait. Pure."""

from __future__ import annotations

from math import inf

from .context import ReplicaContext
from .messages import CompareRanges

PROBE_INTERVAL_S = 0.25
INITIAL_FAILURE_S, MAX_FAILURE_S = 0.3, 2.0  # how long a range counts as out of reach, doubling


class Reachability:
    """Members that owe an answer, and ranges of which a claim found no majority.

    Invariant: while any member is silent, a probe is scheduled.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context
        self.silent_since: dict[str, float] = {}
        self._failed: dict[int, tuple[float, float]] = {}  # range: out of reach until, for how long
        self.probe_at = inf

    def message_resent(self, name: str, attempts: int) -> None:
        """A member is sent a message, for the first time if there were no attempts before."""
        if name != self._context.name and attempts:
            self.silent_since.setdefault(name, self._context.now)
            self.probe_at = min(self.probe_at, self._context.now + PROBE_INTERVAL_S)

    def message_received(self, name: str) -> None:
        """A member is not silent."""
        self.silent_since.pop(name, None)

    def probe(self) -> None:
        """Ask silent members for an answer: where requests are rejected, nothing else may be sent to them."""
        for name in self.silent_since if self._context.epoch else ():
            self._context.send(name, CompareRanges(self._context.epoch, ()))
        self.probe_at = self._context.now + PROBE_INTERVAL_S if self.silent_since else inf

    def view_installed(self) -> None:
        """Forget members that are not in the view, and what failed under the one before."""
        members = self._context.ranges.names
        self.silent_since = {name: since for name, since in self.silent_since.items() if name in members}
        self._failed.clear()

    def range_failed(self, slot: int) -> None:
        """A claim found no majority: few are let through to find out whether there is one again."""
        previous_s = self._failed.get(slot, (0.0, INITIAL_FAILURE_S / 2))[1]
        duration_s = min(2 * previous_s, MAX_FAILURE_S)
        self._failed[slot] = (self._context.now + duration_s, duration_s)

    def range_succeeded(self, slot: int) -> None:
        """A claim found a majority."""
        self._failed.pop(slot, None)

    def is_reachable(self, slot: int, now: float, max_silence_s: float) -> bool:
        """Whether a majority of a range's replicas may answer.

        It was not missed lately, and enough replicas are silent for no longer than `max_silence_s`.
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
