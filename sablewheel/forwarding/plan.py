"""What the forward path is set to, as plain values; all spans are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

Address = tuple[str, int]


@dataclass(frozen=True)
class LinkSettings:
    """The bounds of links; docs/forwarding.md says what each does."""

    frame_most: int = 1 << 20  # bytes of one frame
    queue_frames: int = 1024  # a peer, not yet handed to its connection
    queue_bytes: int = 4 << 20
    links_most: int = 2048  # connections, both ways; below it as many as the view needs
    connect_within: float = 0.5  # to the end of the hello
    ping_every: float = 0.2
    silent_most: float = 0.8  # without a word, while pinged: the link counts as broken
    rest_first: float = 0.05  # between two tries to reach a peer, doubling
    rest_last: float = 0.5
    linger: float = 3.0  # an old link to a peer that left the view still brings what was passed back


@dataclass(frozen=True)
class PassSettings:
    """The bounds of passing requests."""

    out_most: int = 4096  # passed on and not yet answered
    in_most: int = 1024  # taken in of one peer and not yet answered
    recent_most: int = 8192  # numbers of passes that are over, against doubles
    taken_within: float = 0.25  # a peer says so soon that it has a request, or it is in doubt
    doubt: float = 0.5  # nothing goes to a peer in doubt for so long, unless it is heard
    spare: float = 0.02  # an answer leaves so long before its request's time is up


@dataclass(frozen=True)
class ForwardingPlan:
    """`advertise` is where peers reach this member's links, agreed with its membership."""

    listen: Address
    advertise: str
    links: LinkSettings = field(default_factory=LinkSettings)
    passing: PassSettings = field(default_factory=PassSettings)
