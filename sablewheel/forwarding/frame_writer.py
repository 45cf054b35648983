"""Writes queued frames to the connections of their peers, and drops expired frames."""

from __future__ import annotations

from collections.abc import Callable

from ..transport.scheduler import Scheduler
from .connection import Connection, Peer, QueuedFrame

MAX_UNSENT_BYTES = 65_536  # no further frame is written to a stream that has this many unsent bytes
WRITE_RETRY_INTERVAL_S = 0.005  # while a stream's buffer is full


class FrameWriter:
    """Writes the queues of the peers that are scheduled for writing.

    `count(name)` increments a counter; `on_closed(connection)` is called if writing finds the stream closed.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Callable[[], float],
        count: Callable[[str], None],
        on_closed: Callable[[Connection], None],
    ) -> None:
        self._scheduler, self._clock = scheduler, clock
        self._count, self._on_closed = count, on_closed
        self._scheduled_peers: dict[Peer, None] = {}
        self._is_retry_scheduled = False

    def schedule(self, peer: Peer) -> None:
        """Schedule a peer's queue to be written by the next flush."""
        self._scheduled_peers[peer] = None

    def flush(self) -> None:
        """Write the queues of the scheduled peers."""
        if not self._scheduled_peers:
            return
        peers, self._scheduled_peers = self._scheduled_peers, {}
        for peer in peers:
            if peer.connection is not None:
                self._write(peer, peer.connection)

    def _write(self, peer: Peer, connection: Connection) -> None:
        now, stream = self._clock(), connection.stream
        if stream.all_sent:
            connection.unsent_bytes = 0
        while peer.queue and connection.unsent_bytes < MAX_UNSENT_BYTES:
            frame = peer.pop()
            if now > frame.expires_at:
                self._drop(frame, "dropped_aged")
                continue
            self._count("frames_out")
            connection.unsent_bytes += len(frame.data)
            stream.write(frame.data)
        stream.flush()
        if not stream.open:
            # Spawned because the callbacks for a lost connection must not run during the flush of a round.
            self._scheduler.spawn(self._on_closed, connection)
        elif peer.queue:
            self.schedule(peer)
            self._schedule_retry()

    def _schedule_retry(self) -> None:
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._scheduler.after(WRITE_RETRY_INTERVAL_S, self._handle_retry)

    def _handle_retry(self) -> None:
        self._is_retry_scheduled = False  # the flush at the end of this round continues writing

    def drop_queue(self, peer: Peer, reason: str) -> None:
        """Drop all frames queued for a peer; `reason` is the counter to increment."""
        for frame in peer.pop_all():
            self._drop(frame, reason)

    def drop_expired(self, peer: Peer, now: float) -> None:
        """Drop expired frames from the head of a peer's queue."""
        while peer.queue and peer.queue[0].expires_at < now:
            self._drop(peer.pop(), "dropped_aged")

    def _drop(self, frame: QueuedFrame, reason: str) -> None:
        self._count(reason)
        if frame.on_not_sent is not None:
            self._scheduler.spawn(frame.on_not_sent)
