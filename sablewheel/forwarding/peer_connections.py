"""TCP connections to peers, made on demand; received frames are dispatched by message type.

Delivery is unreliable: frames in transit on a lost connection are lost, expired frames are dropped, and a
full queue refuses further frames. `send` never blocks. Frames are accepted only from members of the agreed
view in their agreed incarnation. After a member has left the view, handlers that expect answers from it still
receive frames from its existing connection for a limited time.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn

from ..membership.view import View
from ..transport.listening_socket import Listener
from ..transport.scheduler import Scheduler
from ..transport.start_retries import retry_transient_errors
from ..transport.stream import Stream
from . import forwarding_pb2 as pb
from .connection import Connection, Peer, QueuedFrame
from .errors import FrameTooLargeError, PeerUnavailableError, PeerUnknownError, SendError, SendQueueFullError
from .frame_writer import FrameWriter
from .frames import BadFrameError, encode_frame
from .handshake import Handshake
from .plan import Address, ConnectionSettings

MIN_CONNECTION_LIMIT = 64  # connections allowed however small the view is
CONNECTIONS_PER_MEMBER = 2  # members that connect to each other simultaneously briefly have both connections
PAUSE_DETECTION_RATIO = 0.5  # of `max_silence_s`; a ping round delayed by more means this process was paused

log = logging.getLogger(__name__)
FrameHandler = Callable[[str, bytes], None]


@dataclass(frozen=True)
class _Registration:
    handler: FrameHandler
    accept_departed: bool


class PeerConnections:
    """This member's connections to its peers.

    A view whose incarnation of this member is older than `started_incarnation` describes an earlier process;
    with such a view this process does not count as a member and gets no new connections.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        listen: Address,
        settings: ConnectionSettings,
        node_name: str,
        started_incarnation: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler, self._settings, self._clock = scheduler, settings, clock
        self.node_name = node_name
        source_host = listen[0] if listen[0] != "0.0.0.0" else ""
        self._handshake = Handshake(
            scheduler,
            settings,
            node_name,
            started_incarnation,
            source_host,
            clock,
            self._count,
            self._handle_bad_frame,
        )
        self._peers: dict[str, Peer] = {}
        self._connections: dict[Connection, None] = {}
        self._unidentified_count = 0  # accepted connections whose handshake is not complete
        self._handlers: dict[str, _Registration] = {}
        self._loss_callbacks: list[Callable[[str], None]] = []
        self._writer = FrameWriter(scheduler, clock, self._count, self._handle_stream_closed)
        self._is_pinging = False
        self._last_ping_round_at = 0.0
        self._is_open = True
        self.counters: dict[str, int] = {}
        self.last_transit_s = 0.0  # transit time of the frame that is being handled; never underestimated
        self._listener = retry_transient_errors(
            lambda: Listener(
                scheduler, listen, self._has_capacity, self._handle_accepted, lambda: self._count("crowded")
            )
        )

    # -- interface for features

    def register_handler(
        self, message_type: str, handler: FrameHandler, accept_departed: bool = False
    ) -> None:
        """Call `handler(peer_name, payload)` for frames of a type.

        Args:
            message_type: The message type, which must not have a handler yet.
            handler: Called with each frame.
            accept_departed: Whether to call it also for frames of a member that recently left the view.
        """
        if message_type in self._handlers:
            raise ValueError(f"message type {message_type!r} already has a handler")
        self._handlers[message_type] = _Registration(handler, accept_departed)

    def on_connection_lost(self, callback: Callable[[str], None]) -> None:
        """Call back with a peer's name when a connection to it and the frames in transit are lost."""
        self._loss_callbacks.append(callback)

    def send(
        self,
        peer_name: str,
        message_type: str,
        payload: bytes,
        *,
        expires_in_s: float,
        on_not_sent: Callable[[], None] | None = None,
    ) -> None:
        """Queue a frame for a peer; the frame is dropped if it is not sent within `expires_in_s`.

        Args:
            peer_name: The recipient.
            message_type: Selects the handler at the recipient.
            payload: The content.
            expires_in_s: The frame's lifetime in seconds.
            on_not_sent: Called in a later scheduler round if the frame is dropped before any byte is sent.

        Raises:
            PeerUnknownError: The peer or this member is not in the view.
            PeerUnavailableError: The last connection attempt failed, and the next one is not due yet.
            FrameTooLargeError: The frame is too large.
            SendQueueFullError: The peer's queue is full.
        """
        now = self._clock()
        peer = self._peer_for_sending(peer_name, now)
        data_message = pb.Data(kind=message_type, payload=payload, within=max(expires_in_s, 0.0))
        data = encode_frame(pb.Frame(sent=now, data=data_message))
        self._check_queue(peer, len(data))
        peer.push(QueuedFrame(data, now + expires_in_s, on_not_sent))
        self._writer.schedule(peer)
        if peer.connection is not None or peer.is_connecting:
            return
        if self._has_capacity():
            peer.is_connecting = True
            self._scheduler.spawn(self._connect, peer)
        else:
            self._writer.drop_queue(peer, "refused_links")

    def _peer_for_sending(self, peer_name: str, now: float) -> Peer:
        peer = self._peers.get(peer_name)
        is_member = peer_name in self._handshake.peers and self._handshake.in_view
        is_connected = peer is not None and peer.connection is not None
        if not self._is_open or not (is_member or is_connected) or peer_name == self.node_name:
            self._refuse("refused_unknown", PeerUnknownError(peer_name))
        if peer is None:
            peer = self._peers[peer_name] = Peer(peer_name, self._settings.initial_retry_delay_s)
        if peer.connection is None and not peer.is_connecting and now < peer.retry_at:
            self._refuse("refused_resting", PeerUnavailableError(peer_name))
        return peer

    def _check_queue(self, peer: Peer, frame_bytes: int) -> None:
        settings = self._settings
        if frame_bytes > settings.max_frame_bytes:
            self._refuse("refused_large", FrameTooLargeError(f"frame of {frame_bytes} bytes to {peer.name}"))
        is_full = len(peer.queue) >= settings.max_queued_frames
        if is_full or peer.queued_bytes + frame_bytes > settings.max_queued_bytes:
            self._refuse("refused_full", SendQueueFullError(peer.name))

    def handle_view(self, view: View) -> None:
        """Adopt a view, whose members become the peers."""
        now = self._clock()
        self._handshake.install_view(view)
        members = self._handshake.peers
        for connection in list(self._connections):
            known = members.get(connection.peer)
            if known is not None and known[0] == connection.incarnation:
                connection.departed_until = None
            elif known is not None:
                self._close_connection(connection, "stale")  # the peer restarted
            elif connection.departed_until is None:
                connection.departed_until = now + self._settings.departed_linger_s
        for peer in list(self._peers.values()):
            if peer.name not in members and peer.connection is None and not peer.is_connecting:
                self._writer.drop_queue(peer, "dropped_parted")
                del self._peers[peer.name]

    def is_connected(self, peer_name: str) -> bool:
        """Return whether there is a connection to a peer."""
        peer = self._peers.get(peer_name)
        return peer is not None and peer.connection is not None

    @property
    def max_connections(self) -> int:
        """The current limit of connections: as many as the view needs, up to the configured maximum."""
        needed = CONNECTIONS_PER_MEMBER * len(self._handshake.peers)
        return min(self._settings.max_connections, max(MIN_CONNECTION_LIMIT, needed))

    @property
    def all_sent(self) -> bool:
        """Whether all queued frames were handed to the operating system."""
        return not any(peer.queue for peer in self._peers.values()) and all(
            connection.stream.all_sent for connection in self._connections
        )

    def flush(self) -> None:
        """Write the queued frames to their connections; called at the end of each scheduler round."""
        self._writer.flush()

    def close(self) -> None:
        """Send a bye frame on all connections and close them."""
        self._is_open = False
        self._listener.close()
        for connection in list(self._connections):
            connection.send_immediately(pb.Frame(sent=self._clock(), bye=pb.Bye()))
            connection.stream.close()
        self._connections.clear()
        self._peers.clear()

    def gauges(self) -> dict[str, object]:
        """Return the gauges and counters of the connections for the metrics."""
        values: dict[str, object] = {
            "links": len(self._connections),
            "links_queued": sum(len(peer.queue) for peer in self._peers.values()),
        }
        return values | {f"links_{name}": count for name, count in sorted(self.counters.items())}

    # -- establishing connections

    def _connect(self, peer: Peer) -> None:
        """Make one attempt to connect to a peer; if it fails, drop the queued frames."""
        connection = None
        try:
            if peer.name in self._handshake.peers and peer.connection is None:
                connection = self._handshake.connect(peer.name)
        finally:
            peer.is_connecting = False
            if connection is None and peer.connection is None:
                peer.retry_at = self._clock() + peer.retry_delay_s
                peer.retry_delay_s = min(2 * peer.retry_delay_s, self._settings.max_retry_delay_s)
                self._writer.drop_queue(peer, "dropped_unreached")
        if connection is not None:
            self._run_connection(connection)

    def _has_capacity(self) -> bool:
        return len(self._connections) + self._unidentified_count < self.max_connections

    def _handle_accepted(self, stream: Stream) -> None:
        self._unidentified_count += 1
        self._scheduler.spawn(self._accept, stream)

    def _accept(self, stream: Stream) -> None:
        try:
            connection = self._handshake.accept(stream)
        finally:
            self._unidentified_count -= 1
        if connection is not None:
            self._run_connection(connection)

    # -- established connections

    def _run_connection(self, connection: Connection) -> None:
        """Read from a connection until it is closed."""
        if not self._is_open or not connection.stream.open:
            connection.stream.close()
            return
        connection.reader.max_frame_bytes = self._settings.max_frame_bytes
        self._add_connection(connection)
        reason = "closed"
        try:
            self._read_frames(connection)
        except BadFrameError as error:
            reason = "bad"
            self._handle_bad_frame(connection.peer, error)
        finally:
            self._close_connection(connection, reason)

    def _add_connection(self, connection: Connection) -> None:
        initial_retry_delay_s = self._settings.initial_retry_delay_s
        peer = self._peers.setdefault(connection.peer, Peer(connection.peer, initial_retry_delay_s))
        incoming = [
            other for other in self._connections if other.peer == connection.peer and not other.is_outgoing
        ]
        for old in incoming:
            if not connection.is_outgoing:
                self._close_connection(old, "replaced")  # the peer has lost it, or it would not connect again
        self._connections[connection] = None
        peer.connection, peer.retry_delay_s = connection, initial_retry_delay_s
        self._writer.schedule(peer)
        self._count("made")
        opened_by = "us" if connection.is_outgoing else "them"
        log.info("peer connected", extra={"pairs": {"peer": connection.peer, "by": opened_by}})
        if not self._is_pinging:
            self._is_pinging, self._last_ping_round_at = True, self._clock()
            self._scheduler.after(self._settings.ping_interval_s, self._ping_connections)

    def _read_frames(self, connection: Connection) -> None:
        """Read and handle frames until the connection ends; first those read with the handshake."""
        data = b""
        while self._handle_data(connection, data):
            data = b""  # not retained while the next read waits
            data = connection.stream.read()
            if not data:
                return
            connection.last_received_at = self._clock()

    def _handle_data(self, connection: Connection, data: bytes) -> bool:
        """Handle the frames that the data completes; return whether to read on."""
        for message in connection.reader.feed(data):
            if connection not in self._connections or not self._handle_frame(connection, message):
                return False
        return True

    def _handle_frame(self, connection: Connection, message: pb.Frame) -> bool:
        """Handle a frame; return False for a bye frame."""
        now = self._clock()
        match message.WhichOneof("body"):
            case "ping":
                echo = pb.Echo(of=message.sent, got=now)
                connection.send_immediately(pb.Frame(sent=now, echo=echo))
            case "echo":
                connection.transit_times.record_echo(now, message.echo.of, message.echo.got)
            case "data":
                self._deliver(connection, message, now)
            case "bye":
                return False
            case _:
                raise BadFrameError("unexpected hello on an established connection")
        return True

    def _deliver(self, connection: Connection, message: pb.Frame, now: float) -> None:
        data = message.data
        registration = self._handlers.get(data.kind)
        transit_s = connection.transit_times.transit_s(now, message.sent)
        if registration is None:
            self._count("frames_unknown")
            return
        if connection.departed_until is not None and not registration.accept_departed:
            self._count("frames_parted")
            return
        if not transit_s <= data.within:
            self._count("frames_aged")
            return
        self._count("frames_in")
        self.last_transit_s = transit_s
        try:
            registration.handler(connection.peer, data.payload)
        except Exception:
            # An error in one handler must not close the connection, which other handlers use too.
            self._count("faults")
            log.exception("frame handler raised an exception")

    def _handle_stream_closed(self, connection: Connection) -> None:
        self._close_connection(connection, "closed")

    def _close_connection(self, connection: Connection, reason: str) -> None:
        connection.stream.close()
        if connection not in self._connections:
            return
        del self._connections[connection]
        self._count(f"lost_{reason}")
        log.info("peer connection lost", extra={"pairs": {"peer": connection.peer, "reason": reason}})
        peer = self._peers.get(connection.peer)
        if peer is not None and peer.connection is connection:
            self._use_other_connection(peer)
        for callback in self._loss_callbacks:
            callback(connection.peer)

    def _use_other_connection(self, peer: Peer) -> None:
        others = [connection for connection in self._connections if connection.peer == peer.name]
        peer.connection = others[-1] if others else None
        if peer.connection is None:
            self._writer.drop_queue(peer, "dropped_broken")
            if peer.name not in self._handshake.peers and not peer.is_connecting:
                del self._peers[peer.name]

    def _ping_connections(self) -> None:
        """Ping all connections, and close those silent for too long unless this process itself was paused."""
        now, settings = self._clock(), self._settings
        max_interval_s = settings.ping_interval_s + PAUSE_DETECTION_RATIO * settings.max_silence_s
        was_paused = now - self._last_ping_round_at > max_interval_s
        self._last_ping_round_at = now
        for connection in list(self._connections):
            if was_paused:
                connection.last_received_at = now
            if now > connection.last_received_at + settings.max_silence_s:
                self._close_connection(connection, "silent")
            elif connection.departed_until is not None and now > connection.departed_until:
                self._close_connection(connection, "parted")
            else:
                connection.send_immediately(pb.Frame(sent=now, ping=pb.Ping()))
        for peer in self._peers.values():
            self._writer.drop_expired(peer, now)
        self._is_pinging = bool(self._connections)
        if self._is_pinging:
            self._scheduler.after(settings.ping_interval_s, self._ping_connections)

    # -- counters and logs

    def _refuse(self, counter: str, error: SendError) -> NoReturn:
        self._count(counter)
        raise error

    def _handle_bad_frame(self, peer: str, error: BadFrameError) -> None:
        self._count("frames_bad")
        log.warning("invalid frame, closing connection", extra={"pairs": {"peer": peer, "reason": error}})

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1
