"""The clients that sent requests recently, by client number."""

from __future__ import annotations

from ..overload.interface import Client

MIN_CLIENTS = 1024  # the smallest capacity
CLIENTS_PER_EXPECTED = 2  # a restarted client has a new number


class ClientTable:
    """Clients in the order of their last requests; beyond the capacity the oldest are evicted.

    The controller treats an evicted client that sends another request as a new client.
    """

    def __init__(self) -> None:
        self._clients: dict[bytes, Client] = {}
        self._capacity = MIN_CLIENTS

    def __len__(self) -> int:
        return len(self._clients)

    def set_capacity(self, expected_clients: int, max_connections: int) -> None:
        """Set the capacity from the numbers of expected clients and of possible connections."""
        self._capacity = max(MIN_CLIENTS, CLIENTS_PER_EXPECTED * expected_clients, max_connections)

    def get(self, name: bytes) -> Client:
        """Return the client with this number, and make it the most recent one."""
        client = self._clients.pop(name, None) or Client(name=name)
        self._clients[name] = client
        while len(self._clients) > self._capacity:
            del self._clients[next(iter(self._clients))]
        return client
