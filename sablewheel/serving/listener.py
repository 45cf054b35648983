"""The clients' connections: converts messages to requests, and closes unused or stuck connections."""

from __future__ import annotations

import logging
from collections.abc import Callable
from itertools import islice
from typing import Protocol

from ..overload.interface import Idempotency, Request, RequestClass, Tenant
from ..protocol import resp
from ..transport.connection_memory import ConnectionMemory
from ..transport.scheduler import Scheduler
from ..transport.stream import Stream
from .client_table import ClientTable
from .close_reasons import CloseReason
from .connection import Connection, max_unfinished_bytes
from .exchange import NO_OBSERVER, Exchange, RequestObserver, ServerStatus

SWEEP_INTERVAL_S = 0.25
CLOSE_GRACE_S = 1.0  # for a client to close an idle connection after the announcement
LINGER_TIMEOUT_S = 0.5  # for a client to close a connection that was shut down
# While the table holds more than its size divided by this, connections that are unused for MIN_UNUSED_S are
# asked to close.
CLOSE_UNUSED_DIVISOR = 4
MIN_UNUSED_S = 2.0
# While the table is full, connections that are idle for MIN_IDLE_WHEN_FULL_S are evicted, at most the size of
# the table divided by EVICTION_DIVISOR at a time.
MIN_IDLE_WHEN_FULL_S = 0.1
EVICTION_DIVISOR = 8
MAX_FRAMES_PER_ROUND = 1024  # of all connections together; each handles one at least
# Limits of a request's time of arrival: no request waits longer, and no two readings of one clock differ by
# more.
MAX_REQUEST_AGE_S, MAX_CLOCK_AHEAD_S = 60.0, 1.0

log = logging.getLogger(__name__)


class RequestHandler(Protocol):
    """Receives the clients' requests and cancellations."""

    def arrived(self, exchange: Exchange) -> None:
        """Called when a request was received."""

    def cancelled(self, exchange: Exchange) -> None:
        """Called when the client no longer waits for an answer."""


class RequestListener:
    """All clients' connections.

    Args:
        max_connections: The limit of the number of connections.
        expected_clients: The number of clients in the settings.
        memory: Limits what the connections hold.
        on_memory_full: Called in place of `handler.arrived` with a request for which there is no memory;
            answers it at once.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        request_classes: dict[bytes, RequestClass],
        tenants: dict[bytes, Tenant],
        server_status: ServerStatus,
        handler: RequestHandler,
        count: Callable[[str], None],
        max_connections: int,
        observer: RequestObserver = NO_OBSERVER,
        expected_clients: int = 1,
        memory: ConnectionMemory | None = None,
        on_memory_full: Callable[[Exchange], None] = Exchange.fail,
    ) -> None:
        self.memory = memory or ConnectionMemory()
        self.memory_full = on_memory_full
        self.scheduler, self.server_status, self.handler = scheduler, server_status, handler
        self.count, self.observer = count, observer
        self.max_message_bytes = resp.max_message_bytes(request_classes, tenants)
        self.max_unfinished_bytes = max_unfinished_bytes(self.max_message_bytes)
        self.connections: dict[Connection, None] = {}
        self._request_classes, self._tenants = request_classes, tenants
        self._max_connections = max_connections
        self._clients = ClientTable()
        self.expect_clients(expected_clients)
        self._with_answers: dict[Connection, None] = {}
        self._idle_timeout_s: float | None = None
        scheduler.every(SWEEP_INTERVAL_S, self._sweep)

    def expect_clients(self, count: int) -> None:
        """Set the number of expected clients, on which the number of retained clients depends."""
        self._clients.set_capacity(count, self._max_connections)

    def set_max_connections(self, max_connections: int) -> None:
        """Set the limit of connections; excess connections are closed as in a full table."""
        self._max_connections = max_connections

    def set_idle_timeout(self, idle_timeout_s: float) -> None:
        """Set after how many idle seconds the close of a connection is announced."""
        self._idle_timeout_s = idle_timeout_s

    @property
    def frames_per_round(self) -> int:
        """How many frames of one connection are handled in a round, so that rounds stay short."""
        return max(MAX_FRAMES_PER_ROUND // max(len(self.connections), 1), 1)

    # -- connections

    def accepted(self, stream: Stream) -> None:
        """Serve a new connection."""
        self.count("connections_in")
        stream.account = self.memory.open_account()
        connection = Connection(self, stream)
        self.connections[connection] = None
        self.scheduler.spawn(connection.serve)

    def arrived(self, exchange: Exchange) -> None:
        """Hand a request to the handler."""
        self.handler.arrived(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        """Notify the handler that the client no longer waits."""
        self.handler.cancelled(exchange)

    def answer_queued(self, connection: Connection) -> None:
        """Flush the connection at the end of the round."""
        self._with_answers[connection] = None

    def closed(self, connection: Connection) -> None:
        """Drop a connection."""
        self.connections.pop(connection, None)

    def flush(self) -> None:
        """Write all queued answers, at the end of a round; what peers don't read is limited."""
        self._write_answers()
        if self.memory.has_too_much_unsent:
            self._close_peers_that_do_not_read()

    def _write_answers(self) -> None:
        while self._with_answers:
            connections, self._with_answers = self._with_answers, {}
            for connection in connections:
                try:
                    connection.flush()
                except Exception:
                    # An internal error may cost this connection's answers; those of all others are written.
                    log.exception("connection closed by a fault")
                    self.count("faults")
                    connection.close(CloseReason.FAULT)

    def _close_peers_that_do_not_read(self) -> None:
        """Close the connections with the most unsent answers until there are few enough.

        The cost: their peers lose the answers. Otherwise all peers would lose theirs with the process.
        """
        by_unsent = sorted(self.connections, key=lambda connection: connection.account.unsent_bytes)
        while self.memory.has_too_much_unsent and by_unsent:
            connection = by_unsent.pop()
            pairs = {"unsent": connection.account.unsent_bytes, "open_requests": len(connection.open)}
            log.warning("connection closed for want of memory", extra={"pairs": pairs})
            self.count("connections_shed")
            connection.close(CloseReason.MEMORY)

    def memory_gauges(self) -> dict[str, int]:
        """Return what the connections hold, by kind, and how much of the shared part is used, in bytes."""
        accounts = [connection.account for connection in self.connections]
        return {
            "memory_unfinished": sum(connection.unfinished_bytes for connection in self.connections),
            "memory_requests": sum(account.request_bytes for account in accounts),
            "memory_unsent": sum(account.unsent_bytes for account in accounts),
            "memory_shared": self.memory.shared_used_bytes,
        }

    # -- requests

    def make_request(self, message: resp.RequestMessage) -> Request:
        """Return the request of a message, its names resolved.

        Raises:
            InvalidMessageError: A name is unknown, the idempotency key is missing or the time is not valid.
        """
        request_class = self._request_classes.get(message.request_class)
        tenant = self._tenants.get(message.tenant)
        if request_class is None:
            raise resp.InvalidMessageError(
                f"unknown request class: {message.request_class[:40]!r}", message.tag
            )
        if tenant is None and self._tenants:
            raise resp.InvalidMessageError(f"unknown tenant: {message.tenant[:40]!r}", message.tag)
        if request_class.idempotency is Idempotency.KEYED and not message.idempotency_key:
            raise resp.InvalidMessageError("no idempotency key in a keyed request class", message.tag)
        arrived_at = self._arrived_at(message)
        return Request(
            request_class,
            self._clients.get(message.client),
            tenant,
            arrived_at,
            message.memory_kb,
            cost_hint=message.cost_hint_s,
            is_retry=message.is_retry,
            subject=message.subject,
        )

    def _arrived_at(self, message: resp.RequestMessage) -> float:
        arrived_at = self.scheduler.clock.from_unix(message.arrived_at_unix)
        now = self.scheduler.clock.now
        if not now - MAX_REQUEST_AGE_S < arrived_at < now + MAX_CLOCK_AHEAD_S:
            raise resp.InvalidMessageError(
                f"field out of range: since={message.arrived_at_unix:.3f}", message.tag
            )
        return min(arrived_at, now)  # the sender's reading, in whole milliseconds, may be ahead of this one

    # -- the connection table

    def has_capacity(self) -> bool:
        """Whether another connection may be accepted."""
        return len(self.connections) < self._max_connections

    def evict_unused(self) -> None:
        """Close idle connections of a full table.

        Connections that never sent a frame are closed first, then those unused for the longest time. The
        close is not announced, as new clients would have to wait for clients that ignore the announcement. As
        a consequence, a client whose next request crosses the close has to send it again. Connections that
        are already being closed count as evicted, so that no more are closed than necessary.
        """
        used_before = self.scheduler.clock.now - MIN_IDLE_WHEN_FULL_S
        limit = max(self._max_connections // EVICTION_DIVISOR, 1)
        for connection in list(self.connections):
            if connection.shut_down_at is not None:
                limit -= 1
                if connection.shut_down_at <= used_before:
                    connection.close(CloseReason.LINGERED)
        idle = [
            connection
            for connection in self.connections
            if connection.idle and connection.last_used_at <= used_before and connection.shut_down_at is None
        ]
        idle.sort(key=lambda connection: (connection.has_received, connection.last_used_at))
        # Only connections that would be closed are checked for unread data: each check is a system call.
        evictable = (connection for connection in idle if not connection.has_unhandled_data)
        for connection in islice(evictable, max(limit, 0)):
            self.count("connections_crowded_out")
            if connection.has_received:
                connection.shut_down(CloseReason.CROWDED_OUT)
            else:  # no answer was sent that a reset could destroy
                connection.close(CloseReason.CROWDED_OUT)

    def announce_close(self) -> None:
        """Ask all clients to send no new request on their connections."""
        for connection in list(self.connections):
            connection.announce_close(CloseReason.DRAINING)

    def stop_reading(self) -> None:
        """Accept no more data, since the process is about to stop; connections close once all is answered.

        A close with unread data would be a reset, which destroys answers that the client has not read yet.
        """
        for connection in list(self.connections):
            if not connection.has_unhandled_data:  # else the received requests must be answered first
                connection.stop_reading(CloseReason.STOPPING)

    def _sweep(self) -> None:
        longest_timeout_s = max(
            (request_class.timeout_s for request_class in self._request_classes.values()), default=0.0
        )
        for connection in list(self.connections):
            if not self._close_overdue(connection, longest_timeout_s) and connection.idle:
                self._close_idle(connection)
        self._announce_close_to_unused()

    def _close_overdue(self, connection: Connection, longest_timeout_s: float) -> bool:
        """Close a connection whose peer has taken too long. Returns whether it was shut down or overdue."""
        now, stream = self.scheduler.clock.now, connection.stream
        if connection.shut_down_at is not None:
            if now > connection.shut_down_at + LINGER_TIMEOUT_S:
                connection.close(CloseReason.LINGERED)
            return True
        if stream.stuck_since is not None and now > stream.stuck_since + longest_timeout_s + CLOSE_GRACE_S:
            # The deadlines of all its unsent answers have passed.
            self.count("connections_stuck")
            connection.close(CloseReason.STUCK)
            return True
        if now > connection.frame_deadline and stream.all_sent:
            if not connection.has_unhandled_data:  # else the rest of the frame may have just arrived
                self.count("connections_unfinished" if connection.has_received else "connections_silent")
                connection.stop_reading(CloseReason.UNFINISHED)
            return True
        return False

    def _close_idle(self, connection: Connection) -> None:
        now = self.scheduler.clock.now
        if connection.reading_stopped:
            connection.shut_down(CloseReason.ANSWERED)
        elif connection.close_announced:
            if now > connection.last_used_at + CLOSE_GRACE_S and not connection.has_unhandled_data:
                connection.shut_down(CloseReason.LEFT_OPEN)
        elif self._idle_timeout_s is not None and now > connection.last_used_at + self._idle_timeout_s:
            connection.announce_close(CloseReason.UNUSED)

    def _announce_close_to_unused(self) -> None:
        """Ask the connections unused for the longest time to close, while too many are open."""
        staying = [connection for connection in self.connections if not connection.close_announced]
        excess = len(staying) - self._max_connections // CLOSE_UNUSED_DIVISOR
        if excess > 0:
            used_before = self.scheduler.clock.now - MIN_UNUSED_S
            unused = [
                connection
                for connection in staying
                if connection.last_used_at <= used_before and not connection.open
            ]
            unused.sort(key=lambda connection: connection.last_used_at)
            for connection in unused[:excess]:
                connection.announce_close(CloseReason.TOO_MANY_UNUSED)
