"""The session keys of arriving requests."""

from __future__ import annotations

from ..overload.interface import Idempotency, Tenant
from ..serving.exchange import Exchange
from .keys import SessionKeyFields, session_key


class SessionKeyResolver:
    """Derives the session keys of exchanges by the rule in the features file."""

    def __init__(self, rule: tuple[str, ...], tenants: dict[bytes, Tenant]) -> None:
        """Derive session keys by a rule.

        Args:
            rule: The fields that identify a session.
            tenants: The tenants by name; the caller may replace its entries when the settings change.
        """
        self._rule, self._tenants = rule, tenants
        self._tenant_names: dict[Tenant, str] = {}

    def resolve(self, exchange: Exchange) -> str:
        """Return the key of the exchange's session; empty if it has none."""
        request = exchange.request
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        idempotency_key = exchange.idempotency_key if is_keyed else None
        fields = SessionKeyFields(
            tenant=self._tenant_name(request.tenant),
            subject=request.subject or "",
            router=request.client.name.decode("utf-8", "replace"),
            idempotency_key=(idempotency_key or b"").decode("utf-8", "replace"),
        )
        return session_key(self._rule, fields) or ""

    def _tenant_name(self, tenant: Tenant | None) -> str:
        if tenant is None:
            return ""
        if tenant not in self._tenant_names:  # new settings create new tenant objects
            names = {
                known_tenant: name.decode("utf-8", "replace") for name, known_tenant in self._tenants.items()
            }
            self._tenant_names = names
        return self._tenant_names.get(tenant, "")
