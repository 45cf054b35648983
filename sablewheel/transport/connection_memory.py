"""The memory that connections hold for their peers: one sum with one limit."""

from __future__ import annotations

from math import inf


class ConnectionMemory:
    """What all connections together hold: requests that are not answered, and answers that are not read.

    A reserve is set aside for each connection. What it holds beyond that is taken from a part that all share.

    Invariant: `shared_used_bytes` is the sum over all accounts of what they hold beyond their reserves, and
    `unsent_bytes` that of their unsent answers.

    Args:
        shared_bytes: The limit of the shared part.
        reserved_bytes: The reserve of each connection.
    """

    def __init__(self, shared_bytes: float = inf, reserved_bytes: int = 0) -> None:
        self.shared_bytes, self.reserved_bytes = shared_bytes, reserved_bytes
        self.shared_used_bytes = self.unsent_bytes = 0

    def open_account(self) -> MemoryAccount:
        """Return the account of a new connection."""
        return MemoryAccount(self)

    @property
    def has_too_much_unsent(self) -> bool:
        """Whether unsent answers exceed half of the shared part, or what else is held leaves them."""
        is_full = self.shared_used_bytes > self.shared_bytes and self.unsent_bytes > 0
        return is_full or self.unsent_bytes > self.shared_bytes / 2


class MemoryAccount:
    """What one connection holds.

    Attributes:
        request_bytes: Of requests that are neither answered nor cancelled.
        unsent_bytes: Of answers that the peer has not taken.
    """

    __slots__ = ("_memory", "_shared_used_bytes", "request_bytes", "unsent_bytes")

    def __init__(self, memory: ConnectionMemory) -> None:
        self._memory = memory
        self._shared_used_bytes = 0
        self.request_bytes = self.unsent_bytes = 0

    @property
    def held_bytes(self) -> int:
        """All that the connection holds."""
        return self.request_bytes + self.unsent_bytes

    def add_request(self, size: int) -> bool:
        """Count a request. Returns whether there is room for it; if not, it is to be answered at once."""
        self.request_bytes += size
        return self._update_shared() <= 0 or self._memory.shared_used_bytes <= self._memory.shared_bytes

    def remove_request(self, size: int) -> None:
        """Count a request no more that was added with this size."""
        self.request_bytes -= size
        self._update_shared()

    def set_unsent(self, size: int) -> None:
        """Set how much is held of answers that the peer has not taken."""
        self._memory.unsent_bytes += size - self.unsent_bytes
        self.unsent_bytes = size
        self._update_shared()

    def _update_shared(self) -> int:
        """Take what is held beyond the reserve from the shared part, and return how much more that is."""
        beyond_reserve = self.request_bytes + self.unsent_bytes - self._memory.reserved_bytes
        if beyond_reserve < 0:
            beyond_reserve = 0
        difference = beyond_reserve - self._shared_used_bytes
        if difference:
            self._shared_used_bytes = beyond_reserve
            self._memory.shared_used_bytes += difference
        return difference
