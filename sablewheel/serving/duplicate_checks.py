"""Checks an arriving request against open and earlier requests: repeated ids, and keyed duplicates."""

from __future__ import annotations

from ..overload.interface import Idempotency
from ..transport.scheduler import Clock
from .close_reasons import FailureReason
from .exchange import Exchange
from .hooks import ResultStore
from .idempotency_keys import IdempotencyTable
from .recent_runs import RecentRuns


def is_keyed(exchange: Exchange) -> bool:
    """Whether the request's class uses idempotency keys."""
    return exchange.request.request_class.idempotency is Idempotency.KEYED


class DuplicateChecks:
    """Finds the originals of duplicates, and requests that conflict with a known request.

    Clients that copy or mix up ids and idempotency keys must not affect the correct request. One exception is
    accepted: it fails if a request with a copy of its idempotency key arrived first and is still open.
    """

    def __init__(
        self,
        clock: Clock,
        open_ids: set[bytes],
        idempotency_keys: IdempotencyTable,
        recent_runs: RecentRuns,
        result_store: ResultStore,
    ) -> None:
        self._clock, self._open_ids, self._idempotency_keys = clock, open_ids, idempotency_keys
        self._recent_runs, self._result_store = recent_runs, result_store

    def reuses_id(self, exchange: Exchange) -> bool:
        """Whether the id is that of an open request or, unless the request is keyed, of a recent run."""
        recent = exchange.name in self._recent_runs and not is_keyed(exchange)
        return exchange.name in self._open_ids or recent

    def is_known(self, exchange: Exchange) -> bool:
        """Whether the id is that of an open request or of a recent run."""
        return exchange.name in self._open_ids or exchange.name in self._recent_runs

    def link_original(self, exchange: Exchange) -> FailureReason | None:
        """Set the original of a keyed request, if it has one.

        Returns:
            The reason why the request has to fail; None if it is valid.
        """
        original = self._find_original(exchange)
        exchange.original = original
        if original is not None:
            return None if original.has_same_content(exchange) else FailureReason.OTHER_CONTENT
        if exchange.name in self._recent_runs:
            return FailureReason.REPEATED_ID
        # Its original may have been removed, before or after a restart, so it is neither run nor rejected.
        expired = self._idempotency_keys.may_have_expired(exchange.request.arrived_at, self._clock.now)
        if expired or self._result_store.may_have_run(exchange):
            return FailureReason.TOO_OLD
        return None

    def may_be_duplicate(self, exchange: Exchange) -> bool:
        """Whether another attempt of this request ran or may run, in this process or an earlier one."""
        if not is_keyed(exchange) or exchange.idempotency_key is None:
            return False
        if self._find_original(exchange) not in (None, exchange):
            return True
        return not self._result_store.ready or self._result_store.may_have_run(exchange)

    def _find_original(self, exchange: Exchange) -> Exchange | None:
        if exchange.idempotency_key is None:
            return None
        return self._idempotency_keys.find(exchange.idempotency_key, exchange.request.arrived_at)
