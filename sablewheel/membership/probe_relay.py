"""Indirect probes: asking helpers to probe a member, and probing on behalf of others. No I/O."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from .member_table import MemberTable
from .messages import Ack, Nack, Ping, PingRequest
from .outbox import Outbox
from .plan import Settings

MAX_RELAYED_PROBES = 1024  # in progress; further ones are left to the requester's other helpers
RELAY_TIMEOUT_RATIO = 0.8  # of the probe timeout, so that a nack reaches the requester in time


@dataclass
class RelayedProbe:
    """A probe on behalf of another member."""

    requester: str
    requester_sequence: int
    target: str
    ends_at: float


class ProbeRelay:
    """Requests and relays probes; `probes` are those relayed for others, by this member's sequence number."""

    def __init__(
        self,
        member_table: MemberTable,
        outbox: Outbox,
        settings: Settings,
        next_sequence: Callable[[], int],
    ) -> None:
        self._member_table, self._outbox, self._settings = member_table, outbox, settings
        self._next_sequence = next_sequence
        self.probes: dict[int, RelayedProbe] = {}

    def request(self, helper: str, sequence: int, target: str) -> None:
        """Ask a helper to probe a member."""
        self._outbox.send(helper, PingRequest(sequence, target, self._member_table.address(target)))

    def handle_request(self, now: float, requester: str, request: PingRequest) -> None:
        """Probe a member on behalf of the requester."""
        if len(self.probes) >= MAX_RELAYED_PROBES:
            self._outbox.count("relays_refused")
            return
        sequence = self._next_sequence()
        if not self._member_table.address(request.target):
            self._member_table.record_address(request.target, request.address)
        ends_at = now + self._settings.probe_timeout_s * RELAY_TIMEOUT_RATIO
        self.probes[sequence] = RelayedProbe(requester, request.sequence, request.target, ends_at)
        self._outbox.send(request.target, Ping(sequence, ()))

    def handle_ack(self, ack: Ack) -> bool:
        """Forward an answer to the requester; return whether it belongs to a relayed probe."""
        probe = self.probes.pop(ack.sequence, None)
        if probe is None:
            return False
        relayed_ack = Ack(probe.requester_sequence, ack.target, ack.incarnation, ())
        self._outbox.send(probe.requester, relayed_ack)
        return True

    def wakeup_times(self) -> list[float]:
        """Return when the first relayed probe ends, if any; with one timeout for all they end in order."""
        return [probe.ends_at for probe in islice(self.probes.values(), 1)]

    def expire(self, now: float) -> None:
        """Send a nack to the requester of each probe that ended without an answer."""
        while any(now >= ends_at for ends_at in self.wakeup_times()):
            probe = self.probes.pop(next(iter(self.probes)))
            self._outbox.send(probe.requester, Nack(probe.requester_sequence))

    def clear(self) -> None:
        """Discard all relayed probes."""
        self.probes.clear()
