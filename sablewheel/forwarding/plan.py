"""Settings of connections between peers and of request forwarding, as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field

Address = tuple[str, int]


@dataclass(frozen=True)
class ConnectionSettings:
    """Bounds and timeouts of connections; `docs/forwarding.md` describes each of them."""

    max_frame_bytes: int = 1 << 20
    max_queued_frames: int = 1024  # per peer, not yet handed to its connection
    max_queued_bytes: int = 4 << 20  # per peer
    max_connections: int = 2048  # in both directions; below it as many as the view needs
    connect_timeout_s: float = 0.5  # to the end of the handshake
    ping_interval_s: float = 0.2
    max_silence_s: float = 0.8  # of a connection that is pinged, before it counts as lost
    initial_retry_delay_s: float = 0.05  # between two attempts to reach a peer, doubling
    max_retry_delay_s: float = 0.5
    departed_linger_s: float = (
        3.0  # how long a peer that left the view may still return what it was forwarded
    )


@dataclass(frozen=True)
class ForwardingSettings:
    """Bounds and timeouts of forwarded requests."""

    max_forwarded: int = 4096  # without an answer
    max_admitted_per_peer: int = 1024  # without an answer
    max_recent_numbers: int = 8192  # of finished requests, to detect duplicates
    ack_timeout_s: float = 0.25  # a peer that does not acknowledge a request within it is backed off from
    peer_backoff_s: float = 0.5  # nothing is forwarded to such a peer for as long, unless it sends something
    answer_slack_s: float = 0.02  # an answer is sent so long before the request's deadline


@dataclass(frozen=True)
class ForwardingPlan:
    """Configuration; `advertise` is where peers connect to this member, published in its metadata."""

    listen: Address
    advertise: str
    connections: ConnectionSettings = field(default_factory=ConnectionSettings)
    forwarding: ForwardingSettings = field(default_factory=ForwardingSettings)
