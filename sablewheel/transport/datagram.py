"""UDP sockets. A datagram that cannot be sent is dropped, as it may be in the network."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .scheduler import READABLE, Scheduler
from .stream import Address

MAX_DATAGRAMS_PER_ROUND = 64  # so that a flood of datagrams does not delay requests
# Large enough for a burst from a large fleet; the default size holds some 250 small datagrams. The kernel may
# grant less.
RECEIVE_BUFFER_BYTES = 1 << 21


class DatagramSender:
    """Sends datagrams to one address."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def set_address(self, address: Address) -> None:
        """Send to another address from now on."""
        self._address = address

    def send(self, data: bytes) -> bool:
        """Send a datagram. Returns whether the system accepted it."""
        return _send(self._socket, data, self._address)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class DatagramSocket:
    """A bound socket; `on_datagram` gets each datagram with its source.

    A datagram longer than `max_bytes` is truncated to one byte more than that.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        address: Address,
        max_bytes: int,
        on_datagram: Callable[[bytes, Address], None],
    ) -> None:
        self._scheduler, self._max_bytes, self._on_datagram = scheduler, max_bytes, on_datagram
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind(address)
        self._open = True
        scheduler.spawn(self._receive)

    def send(self, data: bytes, address: Address) -> bool:
        """Send a datagram. Returns whether the system accepted it."""
        return _send(self._socket, data, address)

    def close(self) -> None:
        """Close the socket; safe to call twice."""
        if self._open:
            self._open = False
            self._scheduler.unregister(self._socket.fileno())
            self._socket.close()

    def _receive(self) -> None:
        while self._open:
            self._scheduler.wait(self._socket.fileno(), READABLE)
            for _ in range(MAX_DATAGRAMS_PER_ROUND):
                if not self._open:
                    return
                try:
                    data, source = self._socket.recvfrom(self._max_bytes + 1)
                except OSError:  # none is left, or an earlier send failed: neither closes the socket
                    break
                self._on_datagram(data, source)


def _send(sock: socket.socket, data: bytes, address: Address) -> bool:
    try:
        sock.sendto(data, address)
    except OSError:
        return False
    return True
