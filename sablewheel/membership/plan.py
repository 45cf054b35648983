"""Settings of membership as plain values; all durations are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .view import Metadata

Address = tuple[str, int]

FAULTY_VARIANTS = ("no-suspicion", "no-incarnation", "one-observer", "one-at-a-time")
# Detected only by more pauses than an experiment with processes has time for.
SLOW_FAULTY_VARIANTS = ("no-grace",)

MAX_PORT = 65_535


class Mode(Enum):
    """The protocol that a member runs: the product's, or a baseline that the experiments compare it with."""

    CONSENSUS = "ours"
    SWIM = "swim"  # without Lifeguard and observers: each member removes others on its own timeout
    HEARTBEAT = "heartbeat"  # all-to-all heartbeats with a fixed timeout


@dataclass(frozen=True)
class Settings:
    """Timeouts and bounds of the protocol; `docs/membership.md` describes each of them."""

    period_s: float = 0.5
    probe_timeout_s: float = 0.2
    indirect_probes: int = 3
    observers: int = 5
    high_watermark: int = 3
    low_watermark: int = 1
    min_suspicion_periods: float = 5.0  # about the longest pause or partition without a removal
    max_suspicion_ratio: float = 6.0  # the longest suspicion, as a multiple of the shortest
    confirmations: int = 3  # independent suspicions after which the shortest suspicion applies
    max_health_score: int = 8
    retransmit_factor: int = 3  # an update is sent this many times log10(n + 1), rounded up
    max_updates_per_message: int = 16
    sync_interval_s: float = 5.0
    vote_timeout_s: float = 2.0
    max_direct_vote_members: int = 64  # in larger views votes are sent by gossip, not from each member to all
    max_settle_s: float = 3.0  # maximum delay of a proposal by a subject between the watermarks
    join_interval_s: float = 1.0
    found_delay_s: float = 3.0
    min_founders: int = 1  # members without a view, the founder included, that a first view needs
    heartbeat_timeout_s: float = 3.0  # of the heartbeat baseline; the shortest that tolerates the same pause
    mode: Mode = Mode.CONSENSUS
    injected_fault: str = ""


@dataclass(frozen=True)
class MembershipPlan:
    """Configuration of one member.

    `advertise` is the address at which other members reach this one; it may differ from `listen`.
    """

    listen: Address
    advertise: str
    zone: str
    region: str
    seeds: tuple[str, ...]
    settings: Settings = field(default_factory=Settings)
    metadata: Metadata = ()  # extended by features that build on membership


def address_of(text: str) -> Address | None:
    """Parse "IPv4:PORT" as in a packet; None if it is not an address."""
    host, colon, port = text.rpartition(":")
    if not (colon and port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) <= MAX_PORT):
        return None
    octets = host.split(".")
    if len(octets) != 4 or not all(
        octet.isascii() and octet.isdigit() and len(octet) < 4 for octet in octets
    ):
        return None
    return (host, int(port)) if all(int(octet) < 256 for octet in octets) else None
