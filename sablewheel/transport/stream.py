"""TCP streams with bounded buffers."""

from __future__ import annotations

import contextlib
import errno
import socket
from math import inf

from greenlet import getcurrent, greenlet

from .connection_memory import ConnectionMemory
from .scheduler import READABLE, WRITABLE, Scheduler
from .system_call_errors import CONNECTION_LOST_ERRORS, FailureCount

MAX_READ_BYTES = 131072
READ_BUFFER = memoryview(bytearray(MAX_READ_BYTES))
UNLIMITED_MEMORY = ConnectionMemory()
Address = tuple[str, int]


class Stream:
    """One connection. Written data is sent by `flush`, and the rest as the peer accepts it.

    Args:
        max_unsent_bytes: While more bytes than that are unsent, nothing is read from the peer.
        max_read_bytes: The largest number of bytes in one read.

    Attributes:
        account: Counts what is held for the peer; without a limit until the owner sets another one.
        bytes_queued: The total number of bytes written to this stream.
        bytes_sent: The total number of bytes handed to the system.
        stuck_since: Since when the peer has accepted none of the unsent data; None if all is sent.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        sock: socket.socket,
        max_unsent_bytes: float = inf,
        max_read_bytes: int = MAX_READ_BYTES,
    ) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # without it, small writes may be delayed, but nothing else
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open = True
        self.account = UNLIMITED_MEMORY.open_account()
        self.bytes_queued = self.bytes_sent = 0
        self.stuck_since: float | None = None
        self._receive_failures, self._send_failures = FailureCount(), FailureCount()
        self._scheduler = scheduler
        self._socket = sock
        self._unsent = bytearray()
        self._max_unsent_bytes, self._max_read_bytes = max_unsent_bytes, max_read_bytes
        self._paused_reader: greenlet | None = None  # set while too much is unsent
        self._sending = False

    def read(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        """Wait for data and return it; empty at the end of the stream or after an error.

        Nothing is read while too much data is unsent, since a peer that never reads would make the buffer
        grow without bound. As a consequence, its cancellations are not read either.
        """
        while self.open:
            if len(self._unsent) > self._max_unsent_bytes:
                self._paused_reader = getcurrent()
                self._scheduler.park()
                continue
            self._scheduler.wait(self._socket.fileno(), READABLE)
            try:
                return self._receive(max_bytes) if self.open else b""
            except BlockingIOError:
                continue
            except OSError as error:
                if self._receive_failures.is_final(error):
                    self.close()
                else:
                    self._scheduler.sleep(self._receive_failures.backoff_s)
        return b""

    def _receive(self, max_bytes: int) -> bytes:
        """Receive into the buffer that all streams share, and return a copy.

        Allocating a block of the maximum size for each read and shrinking it would fragment the heap, and the
        process would grow although its objects do not.
        """
        size = self._socket.recv_into(READ_BUFFER, min(self._max_read_bytes, max_bytes))
        self._receive_failures.clear()
        return bytes(READ_BUFFER[:size])

    def write(self, data: bytes) -> None:
        """Queue data for the next flush; dropped if the stream is closed."""
        if self.open:
            self._unsent += data
            self.bytes_queued += len(data)

    def flush(self) -> None:
        """Send as much as possible now; the rest is sent as the peer accepts it."""
        if not self._sending:
            self._send()
            if self._unsent:
                self._sending = True
                self.stuck_since = self._scheduler.clock.now
                self._scheduler.spawn(self._send_rest)
        if self._unsent:
            self.account.set_unsent(len(self._unsent))

    @property
    def all_sent(self) -> bool:
        """Whether all written data was handed to the system."""
        return not self._unsent

    @property
    def has_unread_data(self) -> bool:
        """Whether the system has received data that is not read yet.

        A connection with unread data must not be closed: a request that crossed the announcement of the close
        or an eviction would be lost, although it reached the machine.
        """
        if not self.open:
            return False
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False
        except OSError as error:  # no data is left on a lost connection; otherwise there may be some
            return error.errno not in CONNECTION_LOST_ERRORS

    def shut_down_writing(self) -> None:
        """Shut down the writing side, so that the peer sees the end, while its data can still be read.

        To be called only when all data is sent. A full close would reset the connection if data arrives at
        the same moment, and the peer would lose the data that it has not read yet.
        """
        if self.open:
            try:
                self._socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()  # already broken

    def close(self) -> None:
        """Close the connection and drop unsent data; safe to call twice."""
        if self.open:
            self.open = False
            self._unsent.clear()
            self.account.set_unsent(0)
            self._resume_reader()
            self._scheduler.unregister(self._socket.fileno())
            close_socket(self._socket)

    def _send(self) -> None:
        while self.open and self._unsent:
            try:
                sent = self._socket.send(self._unsent)
            except BlockingIOError:
                return
            except OSError as error:
                if self._send_failures.is_final(error):
                    self.close()
                return
            self._send_failures.clear()
            del self._unsent[:sent]
            self.bytes_sent += sent

    def _send_rest(self) -> None:
        while self.open and self._unsent:
            if self._send_failures.in_a_row:
                self._scheduler.sleep(self._send_failures.backoff_s)
            else:
                self._scheduler.wait(self._socket.fileno(), WRITABLE)
            unsent_before = len(self._unsent)
            self._send()
            self.account.set_unsent(len(self._unsent))
            if len(self._unsent) < unsent_before:
                self.stuck_since = self._scheduler.clock.now
            if len(self._unsent) <= self._max_unsent_bytes:
                self._resume_reader()
        self._sending = False
        self.stuck_since = None

    def _resume_reader(self) -> None:
        if self._paused_reader is not None:
            self._scheduler.resume(self._paused_reader)
            self._paused_reader = None


def close_socket(sock: socket.socket) -> None:
    """Close a socket; its descriptor is released even if close(2) fails."""
    with contextlib.suppress(OSError):
        sock.close()


def connect(scheduler: Scheduler, address: Address, timeout_s: float, source: str = "") -> Stream | None:
    """Connect to an address, from the address `source` if given.

    Returns:
        The stream, or None if there is no connection within `timeout_s`.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return None  # no descriptor available
    try:
        sock.setblocking(False)
        if source:
            sock.bind((source, 0))
        code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # in both cases the kernel continues to connect
            writable = scheduler.wait(sock.fileno(), WRITABLE, timeout_s)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if writable else errno.ETIMEDOUT
        if not code:
            return Stream(scheduler, sock)
    except OSError:
        pass  # could not be set up, or was closed at once
    scheduler.unregister(sock.fileno())
    close_socket(sock)
    return None
