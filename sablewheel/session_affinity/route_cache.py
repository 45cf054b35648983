"""The cache of the owners of other servers' sessions. Performs no I/O."""

from __future__ import annotations

from collections import OrderedDict

from .binding import Binding


class RouteCache:
    """A bounded cache of bindings with least-recently-used eviction.

    Invariant: `learn` never replaces a binding by one with a lower or equal fencing number. An entry may be
    outdated; it is corrected by the owner that it names, or by the register.
    """

    def __init__(self, max_routes: int) -> None:
        """Start with an empty cache of at most `max_routes` bindings."""
        self._max_routes = max_routes
        self._bindings: OrderedDict[str, Binding] = OrderedDict()

    @property
    def bindings(self) -> OrderedDict[str, Binding]:
        """All entries by session key, the least recently used first."""
        return self._bindings

    def get(self, key: str) -> Binding | None:
        """Return a session's binding, None if it is not cached."""
        return self._bindings.get(key)

    def touch(self, key: str) -> None:
        """Mark an entry as the most recently used."""
        self._bindings.move_to_end(key)

    def learn(self, binding: Binding) -> None:
        """Cache a binding unless a newer one is cached, and evict entries beyond the bound."""
        cached = self._bindings.get(binding.key)
        if cached is None or cached.fencing_number < binding.fencing_number:
            self._bindings[binding.key] = binding
        self.touch(binding.key)
        while len(self._bindings) > self._max_routes:
            self._bindings.popitem(last=False)

    def remove(self, key: str) -> None:
        """Remove a session's entry, if there is one."""
        self._bindings.pop(key, None)
