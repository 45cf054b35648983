"""State of a connection to a peer and of the frames queued for the peer."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..transport.stream import Stream
from . import forwarding_pb2 as pb
from .frames import FrameReader, TransitTimeEstimator, encode_frame


@dataclass(slots=True)
class QueuedFrame:
    """A frame that is queued for a connection; `on_not_sent` is called if the frame is dropped."""

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
    unsent_bytes: int = 0  # written to the stream since it was last fully sent
    departed_until: float | None = None  # when to disconnect a peer that left the view; None: it is a member

    def send_immediately(self, message: pb.Frame) -> None:
        """Send a frame ahead of the queued frames."""
        self.stream.write(encode_frame(message))
        self.stream.flush()


@dataclass(eq=False)
class Peer:
    """A peer: its queued frames, its connection and the next connection attempt."""

    name: str
    retry_delay_s: float
    queue: deque[QueuedFrame] = field(default_factory=deque)
    queued_bytes: int = 0
    connection: Connection | None = None  # used for sending; None: not connected
    is_connecting: bool = False
    retry_at: float = 0.0  # earliest time of the next connection attempt

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
