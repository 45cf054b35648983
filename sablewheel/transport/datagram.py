"""UDP, where nothing that goes wrong matters: towards one address, or to and from many."""

from __future__ import annotations

import socket
from collections.abc import Callable

from .scheduler import READABLE, Scheduler
from .stream import Address

BURST = 64  # datagrams taken in one round: a flood of them must not keep requests waiting
WAITING_BYTES = 1 << 21  # for those that wait: the kernel gives what it allows, and holds what there is


class Post:
    """Sends datagrams to one address; one that cannot go is dropped, as the network might have done."""

    def __init__(self, address: Address) -> None:
        self._address = address
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    def move(self, address: Address) -> None:
        self._address = address

    def send(self, data: bytes) -> bool:
        try:
            self._socket.sendto(data, self._address)
        except OSError:
            return False
        return True

    def close(self) -> None:
        self._socket.close()


class Mailbox:
    """A bound socket: `took` gets each datagram with its source; what cannot be sent is dropped."""

    def __init__(
        self, scheduler: Scheduler, address: Address, most: int, took: Callable[[bytes, Address], None]
    ) -> None:
        self._scheduler, self._most, self._took = scheduler, most, took
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        # Guards against the loss of what a large fleet says at once: by default some 250 small ones fit.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WAITING_BYTES)
        self._socket.bind(address)
        self._open = True
        scheduler.spawn(self._receive)

    def send(self, data: bytes, address: Address) -> bool:
        try:
            self._socket.sendto(data, address)
        except OSError:
            return False
        return True

    def close(self) -> None:
        if self._open:
            self._open = False
            self._scheduler.forget(self._socket.fileno())
            self._socket.close()

    def _receive(self) -> None:
        while self._open:
            self._scheduler.wait(self._socket.fileno(), READABLE)
            for _ in range(BURST):
                if not self._open:
                    return
                try:
                    data, source = self._socket.recvfrom(self._most + 1)
                except OSError:  # nothing more now, or an error of an earlier send: neither ends the mailbox
                    break
                self._took(data, source)
