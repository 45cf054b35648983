"""Reservations of idempotency keys and the memory that they take."""

from __future__ import annotations

from .context import DecisionContext
from .interface import Idempotency, ReleaseKey, Request, ReserveKey
from .pruned_heap import PrunedHeap
from .resource_limits import ResourceLimits


class IdempotencyKeys:
    """The requests whose keys are reserved, with the expiry of each key.

    Invariant: a request with `holds_key` takes the memory of one key. Keys expire without an action.
    Only keys of requests that never ran are released earlier: releasing the key of a request that ran would
    let a duplicate that arrived in time but is read later run again.
    """

    def __init__(self, context: DecisionContext, resources: ResourceLimits) -> None:
        self._context = context
        self._resources = resources
        self._expiries: PrunedHeap[Request] = PrunedHeap(lambda request: not request.holds_key)
        self._sequence = 0  # keys with equal expiry times expire in the order of reservation

    def memory_fits(self, request: Request) -> bool:
        """Return whether there is memory for the request's key, if its class needs one."""
        keyed = request.request_class.idempotency is Idempotency.KEYED
        return self._resources.memory_fits(self._context.settings.idempotency_key_kb if keyed else 0.0)

    def reserve_if_needed(self, request: Request, remaining_s: float) -> None:
        """Reserve the key of a keyed request, or of a read that may be coalesced."""
        request_class, context = request.request_class, self._context
        if request_class.idempotency is Idempotency.KEYED:
            # Reserved even if the window has passed: a duplicate may have been unread for as long.
            expires_in_s = request.arrived_at + request_class.idempotency_window_s - context.now
            self._reserve(request, max(expires_in_s, context.min_interval_s))
        elif self._may_coalesce(request):
            self._reserve(request, remaining_s)

    def record(self, request: Request, valid_for_s: float) -> None:
        """Record a key that is already reserved."""
        request.holds_key = True
        self._resources.memory_kb += self._context.settings.idempotency_key_kb
        self._sequence += 1
        self._expiries.push(self._context.now + valid_for_s, self._sequence, request)

    def release(self, request: Request) -> None:
        """Release the key of a request that never ran, if it holds one."""
        if self._remove(request):
            self._context.actions.append(ReleaseKey(request))

    def expire(self) -> None:
        """Free the memory of the keys that are no longer valid."""
        while (request := self._expiries.pop_due(self._context.now)) is not None:
            self._remove(request)

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

    def _remove(self, request: Request) -> bool:
        held_key, request.holds_key = request.holds_key, False
        self._resources.memory_kb -= self._context.settings.idempotency_key_kb * held_key
        return held_key
