"""Writes the queued frames of peers to their connections, and drops those that expire."""

from __future__ import annotations

from collections.abc import Callable

from ..transport.scheduler import Scheduler
from .connection import Connection, Peer, QueuedFrame

MAX_UNSENT_BYTES = 65_536  # handed to a stream beyond what it has sent
WRITE_RETRY_INTERVAL_S = 0.005  # while a stream takes no more


class FrameWriter:
    """`count(name)` increments a counter; `on_closed(connection)` is called for a stream found closed."""

    def __init__(
        self,
        scheduler: Scheduler,
        clock: Callable[[], float],
        count: Callable[[str], None],
        on_closed: Callable[[Connection], None],
    ) -> None:
        self._scheduler, self._clock = scheduler, clock
        self._count, self._on_closed = count, on_closed
        self._marked: dict[Peer, None] = {}
        self._retry_is_set = False

    def mark(self, peer: Peer) -> None:
        """Have a peer's queue written by the next flush."""
        self._marked[peer] = None

    def flush(self) -> None:
        """Write the queues of the marked peers."""
        if not self._marked:
            return
        peers, self._marked = self._marked, {}
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
            # Spawned, since the callbacks for a lost connection must not run while the round ends.
            self._scheduler.spawn(self._on_closed, connection)
        elif peer.queue:
            self.mark(peer)
            self._set_retry()

    def _set_retry(self) -> None:
        if not self._retry_is_set:
            self._retry_is_set = True
            self._scheduler.after(WRITE_RETRY_INTERVAL_S, self._clear_retry)

    def _clear_retry(self) -> None:
        self._retry_is_set = False  # the flush at the end of this round writes on

    def drop_queue(self, peer: Peer, reason: str) -> None:
        """Drop all frames queued for a peer; `reason` is the counter."""
        for frame in peer.pop_all():
            self._drop(frame, reason)

    def drop_expired(self, peer: Peer, now: float) -> None:
        """Drop the frames at the head of a queue that have expired."""
        while peer.queue and peer.queue[0].expires_at < now:
            self._drop(peer.pop(), "dropped_aged")

    def _drop(self, frame: QueuedFrame, reason: str) -> None:
        self._count(reason)
        if frame.on_not_sent is not None:
            self._scheduler.spawn(frame.on_not_sent)
