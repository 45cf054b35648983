"""The state of a connection to a peer, and of the frames queued for it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..transport.stream import Stream
from . import forwarding_pb2 as pb
from .frames import FrameReader, TransitTimeEstimator, encode_frame


@dataclass(slots=True)
class QueuedFrame:
    """A frame that waits for its connection; `on_not_sent` is called if it is dropped."""

    data: bytes
    expires_at: float
    on_not_sent: Callable[[], None] | None


@dataclass(eq=False)
class Connection:
    """A connection on which both sides have identified themselves."""

    stream: Stream
    reader: FrameReader
    peer: str
    incarnation: int
    is_outgoing: bool
    last_received_at: float
    transit_times: TransitTimeEstimator = field(default_factory=TransitTimeEstimator)
    unsent_bytes: int = 0  # handed to the stream since it had sent everything
    departed_until: float | None = None  # set once the peer left the view: how long it is still listened to

    def send_at_once(self, message: pb.Frame) -> None:
        """Send a frame past the queue."""
        self.stream.write(encode_frame(message))
        self.stream.flush()


@dataclass(eq=False)
class Peer:
    """The frames queued for a peer, and how it is reached."""

    name: str
    retry_delay_s: float
    queue: deque[QueuedFrame] = field(default_factory=deque)
    queued_bytes: int = 0
    connection: Connection | None = None  # the one that frames are sent on
    connecting: bool = False
    retry_at: float = 0.0

    def push(self, frame: QueuedFrame) -> None:
        """Queue a frame."""
        self.queue.append(frame)
        self.queued_bytes += len(frame.data)

    def pop(self) -> QueuedFrame:
        """Remove and return the oldest frame."""
        frame = self.queue.popleft()
        self.queued_bytes -= len(frame.data)
        return frame

    def pop_all(self) -> deque[QueuedFrame]:
        """Remove and return all frames."""
        frames, self.queue = self.queue, deque()
        self.queued_bytes = 0
        return frames
