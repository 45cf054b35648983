"""The listening socket: survives a lack of descriptors, and closes without resetting connections."""

from __future__ import annotations

import logging
import select
import socket
from array import array
from collections.abc import Callable
from enum import Enum, auto

from .scheduler import READABLE, Scheduler
from .stream import Address, Stream, close_socket
from .system_call_errors import FAILED_BEFORE_ACCEPT_ERRORS, NO_DESCRIPTOR_ERRORS

MAX_READ_BYTES = 16384  # a connection that sends at full speed gets one read of this size a round
MAX_UNSENT_BYTES = 65536
BACKLOG = 1024
MAX_ACCEPT_FAILURES = 64  # limit of already failed connections that are skipped in one pass
MAX_FINAL_CONNECTIONS = 2  # accepted while closing even without capacity, with the reserved descriptors
RETRY_INTERVAL_S = 0.02
SO_ATTACH_FILTER = 26  # the value on Linux

log = logging.getLogger(__name__)


class AcceptResult(Enum):
    """Why accepting connections stopped."""

    QUEUE_EMPTY = auto()
    NO_CAPACITY = auto()  # the connection table is full, or no descriptor is available
    FAILED = auto()  # another error, which may be temporary


class Listener:
    """Accepts connections while there is capacity.

    Args:
        has_capacity: Returns whether another connection may be accepted.
        on_accepted: Called with each connection.
        on_full: Called while connections are queued that can't be accepted.
        max_unsent_bytes: While a connection has more unsent bytes than that, nothing is read from it.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        has_capacity: Callable[[], bool],
        on_accepted: Callable[[Stream], None],
        on_full: Callable[[], None],
        max_unsent_bytes: int = MAX_UNSENT_BYTES,
    ) -> None:
        self._scheduler = scheduler
        self._max_unsent_bytes = max_unsent_bytes
        self._has_capacity, self._on_accepted, self._on_full = has_capacity, on_accepted, on_full
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setblocking(False)
            self._socket.bind(address)
            self._socket.listen(BACKLOG)
        except OSError:
            close_socket(self._socket)
            raise
        self._open = True
        scheduler.spawn(self._run)

    def close(self) -> None:
        """Accept the queued connections as far as there is capacity, and close; safe to call twice."""
        if self._open:
            self._accept_queued()
            self._close_socket()

    def close_if_queue_empty(self) -> bool:
        """Close, unless connections are left in the kernel's queue.

        A connection in the kernel's queue may already carry a complete request, and closing the socket resets
        it. So the queue is emptied first, and the socket is closed directly after the last check.

        Returns:
            Whether the socket is closed.
        """
        if not self._open:
            return True
        result = self._accept_queued()
        if result is not AcceptResult.QUEUE_EMPTY and self._has_queued_connections:
            if result is AcceptResult.NO_CAPACITY:
                self._on_full()
            return False
        self._drop_new_connections()
        final: list[socket.socket] = []
        closing = self._accept_final(final) or not self._has_queued_connections
        if closing:
            self._close_socket()
        for sock in final:
            self._admit(sock)
        return closing

    def _close_socket(self) -> None:
        self._open = False
        self._scheduler.unregister(self._socket.fileno())
        close_socket(self._socket)

    def _run(self) -> None:
        while self._open:
            self._scheduler.wait(self._socket.fileno(), READABLE)
            try:
                if not self._open or (result := self._accept_queued()) is AcceptResult.QUEUE_EMPTY:
                    continue
                # Connections that were not accepted stay in the kernel's queue.
                if result is AcceptResult.NO_CAPACITY:
                    self._on_full()
            except Exception:
                # An error must not end the greenlet: no connection would be accepted after that.
                log.exception("accepting connections interrupted by a fault")
                self._scheduler.on_internal_error()
            self._scheduler.sleep(RETRY_INTERVAL_S)

    def _accept_queued(self) -> AcceptResult:
        """Accept the queued connections as far as there is capacity."""
        failures = 0
        while self._has_capacity():
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return AcceptResult.QUEUE_EMPTY
            except OSError as error:
                failures += 1
                if error.errno in FAILED_BEFORE_ACCEPT_ERRORS and failures <= MAX_ACCEPT_FAILURES:
                    continue
                return (
                    AcceptResult.NO_CAPACITY if error.errno in NO_DESCRIPTOR_ERRORS else AcceptResult.FAILED
                )
            self._admit(sock)
        return AcceptResult.NO_CAPACITY

    def _accept_final(self, final: list[socket.socket]) -> bool:
        """Accept connections queued since the last check into `final`, even without capacity.

        Returns:
            Whether the queue is empty.
        """
        failures = 0
        while len(final) < MAX_FINAL_CONNECTIONS:
            try:
                final.append(self._socket.accept()[0])
            except BlockingIOError:
                return True
            except OSError as error:
                failures += 1
                if error.errno not in FAILED_BEFORE_ACCEPT_ERRORS or failures > MAX_ACCEPT_FAILURES:
                    return False
        return False

    def _admit(self, sock: socket.socket) -> None:
        try:
            stream = Stream(self._scheduler, sock, self._max_unsent_bytes, MAX_READ_BYTES)
        except OSError:
            close_socket(sock)  # reset meanwhile, which does not mean that the table is full
        else:
            self._on_accepted(stream)

    def _drop_new_connections(self) -> None:
        """Make the kernel drop new connections from now on; those already queued stay.

        Attaches a filter (classic BPF, Linux) that drops packets with the SYN bit in byte 13 of the TCP
        header. A client that connects now repeats its attempt a second later and is refused, which proves
        that nothing ran. The alternatives don't work: a backlog of 0 leaves one place, and a shutdown resets
        the queue. If the filter can't be attached, a connection may still be queued between the last check
        and the close.
        """
        load_flags, if_syn, drop, accept = (0x30, 0, 0, 13), (0x45, 0, 1, 2), (6, 0, 0, 0), (6, 0, 0, 65535)
        instructions = [
            _packed("H", code) + bytes([jump_true, jump_false]) + _packed("I", operand)
            for code, jump_true, jump_false, operand in (load_flags, if_syn, drop, accept)
        ]
        program = array("B", b"".join(instructions))
        address, _ = program.buffer_info()
        count = _packed("H", len(instructions)).ljust(array("L").itemsize, b"\0")
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, count + _packed("L", address))
        except OSError:
            return

    @property
    def _has_queued_connections(self) -> bool:
        """Whether the kernel's queue has connections that are not accepted yet."""
        poll = select.poll()
        poll.register(self._socket.fileno(), READABLE)
        try:
            return bool(poll.poll(0))
        except OSError:
            return True  # unknown, so there may be some


def _packed(type_code: str, number: int) -> bytes:
    return array(type_code, [number]).tobytes()
