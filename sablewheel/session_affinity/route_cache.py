"""The owners of other servers' sessions, as far as this server has learnt them. Pure."""

from __future__ import annotations

from collections import OrderedDict

from .binding import Binding


class RouteCache:
    """A bounded cache of bindings, the least recently used evicted first.

    Invariant: learning never replaces a binding by one with a lower or equal fencing number. An entry may be
    outdated; the owner named in it, or the register, corrects it.
    """

    def __init__(self, max_routes: int) -> None:
        """Start empty."""
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
        """Cache a binding unless a newer one is cached, and evict what exceeds the bound."""
        known = self._bindings.get(binding.key)
        if known is None or known.fencing_number < binding.fencing_number:
            self._bindings[binding.key] = binding
        self.touch(binding.key)
        while len(self._bindings) > self._max_routes:
            self._bindings.popitem(last=False)

    def forget(self, key: str) -> None:
        """Remove a session's entry, if there is one."""
        self._bindings.pop(key, None)
