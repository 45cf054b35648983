"""Settings of connections between peers and of request forwarding, as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field

Address = tuple[str, int]


@dataclass(frozen=True)
class ConnectionSettings:
    """Bounds and timeouts of connections; `docs/forwarding.md` describes each of them."""

    max_frame_bytes: int = 1 << 20
    max_queued_frames: int = 1024  # per peer, not yet written to its connection
    max_queued_bytes: int = 4 << 20  # per peer
    max_connections: int = 2048  # in both directions; the limit in force follows the size of the view
    connect_timeout_s: float = 0.5  # includes the handshake
    ping_interval_s: float = 0.2
    max_silence_s: float = 0.8  # a pinged connection that receives nothing for longer is closed
    initial_retry_delay_s: float = 0.05  # between two attempts to connect to a peer; doubles each time
    max_retry_delay_s: float = 0.5
    departed_linger_s: float = 3.0  # how long a peer that left the view may still answer forwarded requests


@dataclass(frozen=True)
class ForwardingSettings:
    """Bounds and timeouts of forwarded requests."""

    max_forwarded: int = 4096  # forwarded requests without an answer
    max_admitted_per_peer: int = 1024  # admitted requests without an answer
    max_recent_numbers: int = 8192  # finished requests that are remembered to detect duplicates
    ack_timeout_s: float = 0.25  # a peer that acknowledges a request later than this is backed off
    peer_backoff_s: float = 0.5  # nothing is forwarded to the peer for this long unless it sends a message
    answer_slack_s: float = 0.02  # a request without an answer fails this long before its deadline


@dataclass(frozen=True)
class ForwardingPlan:
    """Configuration; `advertise` is the address that peers connect to, published in the member's metadata."""

    listen: Address
    advertise: str
    connections: ConnectionSettings = field(default_factory=ConnectionSettings)
    forwarding: ForwardingSettings = field(default_factory=ForwardingSettings)
