"""The listening socket: it outlasts a full table of descriptors, and closes without a reset for who waits."""

from __future__ import annotations

import logging
import select
import socket
from array import array
from collections.abc import Callable
from enum import Enum, auto

from .scheduler import READABLE, Scheduler
from .stream import Address, Stream, close_socket
from .system_call_errors import ACCEPTED_ONE_FAILED, NO_DESCRIPTOR

MAX_READ_BYTES = 16384  # a connection that sends at full speed gets one such read a round
MAX_UNSENT_BYTES = 65536
BACKLOG = 1024
MAX_ACCEPT_FAILURES = 64  # connections that had failed already, skipped at a time
MAX_LAST_CONNECTIONS = 2  # accepted while closing, whatever capacity there is: from the reserved descriptors
RETRY_INTERVAL_S = 0.02
SO_ATTACH_FILTER = 26  # of Linux

log = logging.getLogger(__name__)


class AcceptResult(Enum):
    """Why accepting connections stopped."""

    QUEUE_EMPTY = auto()
    NO_CAPACITY = auto()  # the table or the descriptors are used up
    FAILED = auto()  # for another reason that may pass


class Listener:
    """Accepts connections while there is capacity.

    Args:
        has_capacity: Whether another connection may be accepted.
        on_accepted: Gets each connection.
        on_full: Called while connections wait that can't be accepted.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        has_capacity: Callable[[], bool],
        on_accepted: Callable[[Stream], None],
        on_full: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
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
        """Accept what the kernel has queued, as far as there is capacity, and close; safe to call twice."""
        if self._open:
            self._accept_queued()
            self._close_socket()

    def close_if_queue_empty(self) -> bool:
        """Close, unless connections are left in the kernel's queue.

        A connection that the kernel accepted may carry a complete request, and a close resets it unread. So
        the queue is emptied first, and nothing lies between the last check of it and the close.

        Returns:
            Whether the socket is closed.
        """
        if not self._open:
            return True
        result = self._accept_queued()
        if result is not AcceptResult.QUEUE_EMPTY and self._has_queued:
            if result is AcceptResult.NO_CAPACITY:
                self._on_full()
            return False
        self._drop_new_connections()
        last: list[socket.socket] = []
        closing = self._accept_last(last) or not self._has_queued
        if closing:
            self._close_socket()
        for sock in last:
            self._admit(sock)
        return closing

    def _close_socket(self) -> None:
        self._open = False
        self._scheduler.forget(self._socket.fileno())
        close_socket(self._socket)

    def _run(self) -> None:
        while self._open:
            self._scheduler.wait(self._socket.fileno(), READABLE)
            try:
                if not self._open or (result := self._accept_queued()) is AcceptResult.QUEUE_EMPTY:
                    continue
                # Those that wait stay in the kernel's queue.
                if result is AcceptResult.NO_CAPACITY:
                    self._on_full()
            except Exception:
                # Must not end the greenlet: no connection would ever be accepted again.
                log.exception("connection not taken for a fault")
                self._scheduler.on_fault()
            self._scheduler.sleep(RETRY_INTERVAL_S)

    def _accept_queued(self) -> AcceptResult:
        """Accept all that are queued, as far as there is capacity."""
        failures = 0
        while self._has_capacity():
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return AcceptResult.QUEUE_EMPTY
            except OSError as error:
                failures += 1
                if error.errno in ACCEPTED_ONE_FAILED and failures <= MAX_ACCEPT_FAILURES:
                    continue
                return AcceptResult.NO_CAPACITY if error.errno in NO_DESCRIPTOR else AcceptResult.FAILED
            self._admit(sock)
        return AcceptResult.NO_CAPACITY

    def _accept_last(self, last: list[socket.socket]) -> bool:
        """Append what was queued since the last check to `last`, whatever capacity there is.

        Returns:
            Whether the queue is empty.
        """
        failures = 0
        while len(last) < MAX_LAST_CONNECTIONS:
            try:
                last.append(self._socket.accept()[0])
            except BlockingIOError:
                return True
            except OSError as error:
                failures += 1
                if error.errno not in ACCEPTED_ONE_FAILED or failures > MAX_ACCEPT_FAILURES:
                    return False
        return False

    def _admit(self, sock: socket.socket) -> None:
        try:
            stream = Stream(self._scheduler, sock, MAX_UNSENT_BYTES, MAX_READ_BYTES)
        except OSError:
            close_socket(sock)  # reset since: no sign of a full table
        else:
            self._on_accepted(stream)

    def _drop_new_connections(self) -> None:
        """Let the kernel queue no new connection from here on; those that are queued stay.

        A filter (classic BPF, Linux) that drops packets with the bit SYN in byte 13 of the TCP header. A
        client that connects now repeats it a second later and is refused, which proves that nothing ran.
        Neither a backlog of 0, which leaves one place, nor a shutdown, which resets the queue, does the same.
        Where there is no such filter, the moment before the close stays as short as it can be.
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
    def _has_queued(self) -> bool:
        """Whether the kernel has connections that were not accepted here."""
        poll = select.poll()
        poll.register(self._socket.fileno(), READABLE)
        try:
            return bool(poll.poll(0))
        except OSError:
            return True  # unknown


def _packed(type_code: str, number: int) -> bytes:
    return array(type_code, [number]).tobytes()
