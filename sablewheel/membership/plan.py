"""What membership is set to, as plain values; all spans are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from .view import Metadata

Address = tuple[str, int]

FAULTY_VARIANTS = ("no-suspicion", "no-incarnation", "one-observer", "one-at-a-time")
SLOW_FAULTY_VARIANTS = (
    "no-grace",
)  # told from ours by more stops than a trial of real processes has time for


class Mode(Enum):
    """Ours, and the two baselines that the trial holds it against in the same run."""

    CONSENSUS = "ours"
    SWIM = "swim"  # SWIM without Lifeguard and without observers: each member removes on its own timeout
    HEARTBEAT = "heartbeat"  # all-to-all heartbeats with a fixed timeout


@dataclass(frozen=True)
class Settings:
    """Every period and bound; docs/membership.md says what each does."""

    period_s: float = 0.5
    probe_timeout_s: float = 0.2
    indirect_probes: int = 3
    observers: int = 5
    high_watermark: int = 3
    low_watermark: int = 1
    min_suspicion_periods: float = 5.0  # periods; what a pause or a cut may last without a removal, about
    max_suspicion_ratio: float = 6.0  # the longest suspicion, as a multiple of the least
    confirmations: int = 3  # independent suspicions after which the least applies
    max_health_score: int = 8
    retransmit_factor: int = 3  # news goes out this many times log10(n + 1), rounded up
    max_updates_per_message: int = 16  # news items in one message
    sync_interval_s: float = 5.0
    vote_timeout_s: float = 2.0
    max_direct_vote_members: int = (
        64  # members up to which votes go from each to all; in larger views they go by gossip
    )
    max_settle_s: float = 3.0  # the longest that a subject between the marks holds a proposal back
    join_interval_s: float = 1.0
    found_delay_s: float = 3.0
    min_founders: int = 1  # members without a view, the founder among them, that a first view needs
    heartbeat_timeout_s: float = 3.0  # the baseline's: the least that bears the same pause as ours
    mode: Mode = Mode.CONSENSUS
    injected_fault: str = ""


@dataclass(frozen=True)
class MembershipPlan:
    """`advertise` is where others reach this member, which may not be where it listens."""

    listen: Address
    advertise: str
    zone: str
    region: str
    seeds: tuple[str, ...]
    settings: Settings = field(default_factory=Settings)
    metadata: Metadata = ()  # features that build on membership add to it


def address_of(text: str) -> Address | None:
    """ADDRESS:PORT as it stands in a packet; None if it is none, since a packet may say anything."""
    host, colon, port = text.rpartition(":")
    if not (colon and port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536):
        return None
    parts = host.split(".")
    if len(parts) != 4 or not all(one.isascii() and one.isdigit() and len(one) < 4 for one in parts):
        return None
    return (host, int(port)) if all(int(one) < 256 for one in parts) else None
