"""The clients that sent requests lately, by the number that they send."""

from __future__ import annotations

from ..overload.interface import Client

MIN_CLIENTS = 1024  # retained in any case
CLIENTS_PER_EXPECTED = 2  # a client that is restarted has a new number


class ClientTable:
    """Clients in the order of their last requests; beyond the capacity the oldest are forgotten.

    The controller takes a client that is forgotten and comes again for a new one.
    """

    def __init__(self) -> None:
        self._clients: dict[bytes, Client] = {}
        self._capacity = MIN_CLIENTS

    def __len__(self) -> int:
        return len(self._clients)

    def set_capacity(self, expected_clients: int, max_connections: int) -> None:
        """Retain as many clients as are expected, and as may be connected."""
        self._capacity = max(MIN_CLIENTS, CLIENTS_PER_EXPECTED * expected_clients, max_connections)

    def get(self, name: bytes) -> Client:
        """Return the client of this number, which sends a request."""
        client = self._clients.pop(name, None) or Client(name=name)
        self._clients[name] = client
        while len(self._clients) > self._capacity:
            del self._clients[next(iter(self._clients))]
        return client
