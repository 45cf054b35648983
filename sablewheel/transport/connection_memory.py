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

    __slots__ = ("_memory", "request_bytes", "unsent_bytes")

    def __init__(self, memory: ConnectionMemory) -> None:
        self._memory = memory
        self.request_bytes = self.unsent_bytes = 0

    @property
    def held_bytes(self) -> int:
        """All that the connection holds."""
        return self.request_bytes + self.unsent_bytes

    def has_room(self, size: int) -> bool:
        """Whether the connection may hold this much more."""
        needed = self._shared(self.held_bytes + size) - self._shared(self.held_bytes)
        free = max(self._memory.shared_bytes - self._memory.shared_used_bytes, 0)
        return needed <= free

    def add_request(self, size: int) -> None:
        """Count a request."""
        self._change(size)
        self.request_bytes += size

    def remove_request(self, size: int) -> None:
        """Count a request no more that was added with this size."""
        self._change(-size)
        self.request_bytes -= size

    def set_unsent(self, size: int) -> None:
        """Set how much is held of answers that the peer has not taken."""
        self._change(size - self.unsent_bytes)
        self._memory.unsent_bytes += size - self.unsent_bytes
        self.unsent_bytes = size

    def _change(self, difference: int) -> None:
        """Account for a change of `held_bytes`, which is still the old value."""
        held_bytes = self.held_bytes
        self._memory.shared_used_bytes += self._shared(held_bytes + difference) - self._shared(held_bytes)

    def _shared(self, held_bytes: int) -> int:
        """Return how much of what is held is taken from the shared part."""
        return max(held_bytes - self._memory.reserved_bytes, 0)
