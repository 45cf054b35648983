"""Reservations of idempotency keys, as far as they take memory."""

from __future__ import annotations

from heapq import heappop, heappush

from .context import DecisionContext
from .interface import Idempotency, ReleaseKey, Request, ReserveKey
from .resource_limits import ResourceLimits


class IdempotencyKeys:
    """The requests whose keys are reserved, with the end of each one's validity.

    Invariant: a request with `holds_key` takes the memory of one key. Keys expire by themselves, without an
    action; only keys of requests that never ran are released before, since a release would cut off a
    duplicate that arrived in time and is read later.
    """

    def __init__(self, context: DecisionContext, resources: ResourceLimits) -> None:
        self._context = context
        self._resources = resources
        self._expiries: list[tuple[float, int, Request]] = []  # a heap: windows differ by request class
        self._sequence = 0  # among equal expiries the first one reserved expires first

    def memory_fits(self, request: Request) -> bool:
        """Return whether the memory of the request's key is free, if its class needs one."""
        keyed = request.request_class.idempotency is Idempotency.KEYED
        return self._resources.memory_fits(self._context.settings.idempotency_key_kb if keyed else 0.0)

    def reserve_if_needed(self, request: Request, remaining_s: float) -> None:
        """Reserve the key of a keyed request for its window, or of a read that may be coalesced."""
        request_class, context = request.request_class, self._context
        if request_class.idempotency is Idempotency.KEYED:
            # Even past its window: a duplicate of it may lie unread for as long.
            expires_in_s = request.arrived_at + request_class.idempotency_window_s - context.now
            self._reserve(request, max(expires_in_s, context.min_interval_s))
        elif self._may_coalesce(request):
            self._reserve(request, remaining_s)

    def record(self, request: Request, valid_for_s: float) -> None:
        """Count a key that is reserved already."""
        request.holds_key = True
        self._resources.memory_kb += self._context.settings.idempotency_key_kb
        self._sequence += 1
        heappush(self._expiries, (self._context.now + valid_for_s, self._sequence, request))

    def release(self, request: Request) -> None:
        """Release the key of a request that never ran, if it holds one."""
        if self._forget(request):
            self._context.actions.append(ReleaseKey(request))

    def expire(self) -> None:
        """Free the memory of the keys that are no longer valid."""
        while self._expiries and self._expiries[0][0] <= self._context.now:
            self._forget(heappop(self._expiries)[2])

    def _reserve(self, request: Request, valid_for_s: float) -> None:
        self.record(request, valid_for_s)
        self._context.actions.append(ReserveKey(request, valid_for_s))

    def _may_coalesce(self, request: Request) -> bool:
        settings = self._context.settings
        is_read = (
            request.request_class.idempotency is Idempotency.IDEMPOTENT
            and not request.writes
            and request.subject is not None
        )
        return (
            bool(settings.coalesce_reads_for_s)
            and is_read
            and self._resources.memory_fits(settings.idempotency_key_kb)
        )

    def _forget(self, request: Request) -> bool:
        held_key, request.holds_key = request.holds_key, False
        self._resources.memory_kb -= self._context.settings.idempotency_key_kb * held_key
        return held_key
