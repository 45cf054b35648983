"""UDP towards one address, where nothing that goes wrong matters."""

from __future__ import annotations

import socket

from .stream import Address


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
