"""TCP: streams with bounded buffers, and a listener that outlasts a full table of descriptors."""

from __future__ import annotations

import contextlib
import errno
import logging
import socket
from collections.abc import Callable
from enum import Enum, auto
from math import inf

from greenlet import getcurrent, greenlet

from .scheduler import READABLE, WRITABLE, Scheduler
from .system_call_errors import ACCEPTED_ONE_FAILED, CONNECTION_GONE, NO_DESCRIPTOR, Failures

CHUNK = 131072  # the most read at once
FAIR_CHUNK = 16384  # at once of a connection accepted: one that sends at full speed has one turn a round
BUFFER = memoryview(bytearray(CHUNK))
HIGH_WATER = 65536  # unsent bytes past which nothing more is read from a peer
BACKLOG = 1024
FAILED_MOST = 64  # accepted connections that had failed already, passed over in one turn
Address = tuple[str, int]

log = logging.getLogger(__name__)


class Stream:
    """One connection. What is written goes out at `flush`, or when the peer takes it."""

    def __init__(
        self, scheduler: Scheduler, sock: socket.socket, unsent_most: float = inf, chunk: int = CHUNK
    ) -> None:
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # without it small writes may come late, and that is all
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._receive_failures, self._send_failures = Failures(), Failures()
        self._scheduler = scheduler
        self._socket = sock
        self._unsent = bytearray()
        self._unsent_most, self._chunk = unsent_most, chunk
        self.queued = self.sent = 0  # bytes ever written here, and ever handed to the system
        self._paused: greenlet | None = None  # the reader, while too much is unsent
        self._sending = False
        self.open = True
        self.stuck_since: float | None = None  # since when the peer has taken nothing of what is unsent

    def read(self) -> bytes:
        """What has come, waiting for it; empty at the end of the stream, however it ended.

        While a peer does not take what was written to it, nothing more is read from it. Guards against one
        that never reads and would grow the buffer without bound; its cancels lie unread as well.
        """
        while self.open:
            if len(self._unsent) > self._unsent_most:
                self._paused = getcurrent()
                self._scheduler.park()
                continue
            self._scheduler.wait(self._socket.fileno(), READABLE)
            try:
                return self._receive() if self.open else b""
            except BlockingIOError:
                continue
            except OSError as error:
                if self._receive_failures.is_final(error):
                    self.close()
                else:
                    self._scheduler.sleep(self._receive_failures.rest)
        return b""

    def _receive(self) -> bytes:
        """Into one buffer for all: a block as large as a read may be, cut down at once, would leave a hole in
        the heap beside whatever is kept of it, and the process would grow though its objects do not."""
        got = self._socket.recv_into(BUFFER, self._chunk)
        self._receive_failures.clear()
        return bytes(BUFFER[:got])

    def write(self, data: bytes) -> None:
        if self.open:
            self._unsent += data
            self.queued += len(data)

    def flush(self) -> None:
        """Send what can be sent now; the rest goes out as the peer takes it."""
        if not self._sending:
            self._send()
            if self._unsent:
                self._sending = True
                self.stuck_since = self._scheduler.clock.now
                self._scheduler.spawn(self._send_rest)

    @property
    def all_sent(self) -> bool:
        return not self._unsent

    @property
    def unread(self) -> bool:
        """Whether bytes have come that were not read yet, as between a readiness and the reader's turn.

        Guards against closing a connection over a request that crossed a farewell or a crowding out: the
        close would lose it unread, though it reached the machine.
        """
        if not self.open:
            return False
        try:
            return bool(self._socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return False
        except OSError as error:  # nothing to lose where the connection is gone; else nobody knows
            return error.errno not in CONNECTION_GONE

    def shut(self) -> None:
        """Write nothing more, and let the peer see it, while what it still sends is read.

        Guards against a close over bytes that come in its very moment: it would reset the connection, and
        what the peer has not taken yet would go with it. Only once all is sent.
        """
        if self.open:
            try:
                self._socket.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()  # broken already

    def close(self) -> None:
        if self.open:
            self.open = False
            self._unsent.clear()
            self._go_on_reading()
            self._scheduler.forget(self._socket.fileno())
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
            self.sent += sent

    def _send_rest(self) -> None:
        while self.open and self._unsent:
            if self._send_failures.in_a_row:
                self._scheduler.sleep(self._send_failures.rest)
            else:
                self._scheduler.wait(self._socket.fileno(), WRITABLE)
            before = len(self._unsent)
            self._send()
            if len(self._unsent) < before:
                self.stuck_since = self._scheduler.clock.now
            if len(self._unsent) <= self._unsent_most:
                self._go_on_reading()
        self._sending = False
        self.stuck_since = None

    def _go_on_reading(self) -> None:
        if self._paused is not None:
            self._scheduler.resume(self._paused)
            self._paused = None


def close_socket(sock: socket.socket) -> None:
    """Close it; the descriptor is free whatever close(2) says."""
    with contextlib.suppress(OSError):
        sock.close()


def connect(scheduler: Scheduler, address: Address, most: float, source: str = "") -> Stream | None:
    """A connection to the address, or None if there is none within `most` seconds; `source`: from which."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError:
        return None  # no descriptor for it now
    try:
        sock.setblocking(False)
        if source:
            sock.bind((source, 0))
        code = sock.connect_ex(address)
        if code in (errno.EINPROGRESS, errno.EINTR):  # either way it goes on by itself
            came = scheduler.wait(sock.fileno(), WRITABLE, most)
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if came else errno.ETIMEDOUT
        if not code:
            return Stream(scheduler, sock)
    except OSError:
        pass  # gone again already
    scheduler.forget(sock.fileno())
    close_socket(sock)
    return None


class Taken(Enum):
    """How a turn of taking connections ended."""

    ALL = auto()  # nobody waits
    NO_ROOM = auto()  # the table or the descriptors are used up
    FAILED = auto()  # for another reason that may pass


class Listener:
    """Accepts connections while there is `room`; `accepted` gets each, `crowded` hears that there is none."""

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        room: Callable[[], bool],
        accepted: Callable[[Stream], None],
        crowded: Callable[[], None],
    ) -> None:
        self._scheduler = scheduler
        self._room, self._accepted, self._crowded = room, accepted, crowded
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
        scheduler.spawn(self._accept)

    def close(self) -> None:
        """Take what the machine has accepted already, then listen no longer."""
        if self._open:
            self._take()
            self._open = False
            self._scheduler.forget(self._socket.fileno())
            close_socket(self._socket)

    def _accept(self) -> None:
        while self._open:
            self._scheduler.wait(self._socket.fileno(), READABLE)
            try:
                if not self._open or (taken := self._take()) is Taken.ALL:
                    continue
                # Those who wait stay in the kernel's line. No spin, and no one is cut off.
                if taken is Taken.NO_ROOM:
                    self._crowded()
            except Exception:
                # A fault of ours costs one connection; without this nobody would ever be let in again.
                log.exception("connection not taken for a fault")
                self._scheduler.on_fault()
            self._scheduler.sleep(0.02)

    def _take(self) -> Taken:
        """Accept all that wait, as far as there is room."""
        failures = 0
        while self._room():
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                return Taken.ALL
            except OSError as error:
                failures += 1
                if error.errno in ACCEPTED_ONE_FAILED and failures <= FAILED_MOST:
                    continue
                return Taken.NO_ROOM if error.errno in NO_DESCRIPTOR else Taken.FAILED
            self._admit(sock)
        return Taken.NO_ROOM

    def _admit(self, sock: socket.socket) -> None:
        try:
            stream = Stream(self._scheduler, sock, HIGH_WATER, FAIR_CHUNK)
        except OSError:
            close_socket(sock)  # reset since: no sign of a full table, for which others would have to go
        else:
            self._accepted(stream)

    ATTACH_FILTER = 26  # SO_ATTACH_FILTER
    LAST_MOST = 2  # taken as the door closes, whatever room there is: out of the descriptors in hand

    def shut(self) -> bool:
        """Listen no longer, unless somebody is left in the line; whether that is so.

        A connection that the machine accepted may carry a whole request, and a close resets it unread. So the
        line is empty before, and nothing lies between the last look at it and the close but the close.
        """
        if not self._open:
            return True
        taken = self._take()
        if taken is not Taken.ALL and self._line:
            if taken is Taken.NO_ROOM:
                self._crowded()
            return False
        self._bar()
        last: list[socket.socket] = []
        if not self._take_last(last) and self._line:
            for sock in last:
                self._admit(sock)
            return False  # closed now, the door would reset whoever is left before it
        self._open = False
        self._scheduler.forget(self._socket.fileno())
        close_socket(self._socket)
        for sock in last:
            self._admit(sock)
        return True

    def _take_last(self, last: list[socket.socket]) -> bool:
        """Accept those who came behind the last look, whatever room there is; whether the line is empty."""
        failures = 0
        while len(last) < self.LAST_MOST:
            try:
                last.append(self._socket.accept()[0])
            except BlockingIOError:
                return True
            except OSError as error:
                failures += 1
                if error.errno not in ACCEPTED_ONE_FAILED or failures > FAILED_MOST:
                    return False
        return False

    def _bar(self) -> None:
        """No new connection from here on; those that the machine has accepted stay in the line.

        A filter (classic BPF, Linux) that drops what asks for a connection: bit SYN of byte 13 of the TCP
        header. Who asks now asks again a second later and is refused, which proves that nothing ran. Neither
        a backlog of 0, which leaves one place, nor a shutdown, which resets the line, does the same. Where
        there is no such filter, the moment before the close stays as short as it can be.
        """
        from array import array  # there since the start: no descriptor may be left to load it with

        def bare(kind: str, number: int) -> bytes:
            return array(kind, [number]).tobytes()

        load_flags, if_syn, drop, take = (0x30, 0, 0, 13), (0x45, 0, 1, 2), (6, 0, 0, 0), (6, 0, 0, 65535)
        steps = [
            bare("H", code) + bytes([yes, no]) + bare("I", k)
            for code, yes, no, k in (load_flags, if_syn, drop, take)
        ]
        program = array("B", b"".join(steps))
        place, _ = program.buffer_info()
        told = bare("H", len(steps)).ljust(array("L").itemsize, b"\0") + bare("L", place)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, self.ATTACH_FILTER, told)
        except OSError:
            return

    @property
    def _line(self) -> bool:
        """Whether the machine has accepted connections that were not taken here."""
        import select

        line = select.poll()
        line.register(self._socket.fileno(), READABLE)
        try:
            return bool(line.poll(0))
        except OSError:
            return True  # nobody knows
