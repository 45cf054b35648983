"""Session keys, which are derived from fields of the requests. Performs no I/O.

An idempotency key stays with its session: retries must map to the same session key whichever router sends
them, or two owners would hold the idempotency key. So the session key of a keyed request never depends on its
router: if the rule names the router, the subject is used instead, or else the idempotency key itself.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

# The request's attributes by their names in the features file, which are also hashed into the session key.
REQUEST_ATTRIBUTES = {"customer": "tenant", "subject": "subject", "router": "router"}
IDEMPOTENCY_KEY_FIELD = "label"  # hashed instead of "router" if the request has no subject
MAX_FIELD_BYTES = 4096  # a request with a longer field belongs to no session
KEY_LENGTH = 32  # in characters, for every session key


@dataclass(frozen=True)
class SessionKeyFields:
    """The fields of one request that a session key may be derived from; empty if absent."""

    tenant: str = ""
    subject: str = ""
    router: str = ""
    idempotency_key: str = ""


def session_key(rule: tuple[str, ...], request: SessionKeyFields) -> str | None:
    """Return the session's key, `KEY_LENGTH` characters.

    Args:
        rule: The fields that identify a session, by their names in the features file.
        request: The fields of the request.

    Returns:
        The key; None if the request lacks a field of the rule. It then has no session and is served where it
        arrived.
    """
    fields: list[str] = []
    for field_name in rule:
        name, value = field_name, str(getattr(request, REQUEST_ATTRIBUTES[field_name]))
        if field_name == "router" and request.idempotency_key:
            if "subject" in rule:
                continue  # the subject is already in the key
            name, value = _router_substitute(request)
        if not value or len(value.encode()) > MAX_FIELD_BYTES:
            return None
        # The length ensures that different fields never give the same text.
        fields.append(f"{name}:{len(value)}:{value}")
    if not fields:
        return None
    return hashlib.blake2b("|".join(fields).encode(), digest_size=KEY_LENGTH // 2).hexdigest()


def _router_substitute(request: SessionKeyFields) -> tuple[str, str]:
    """Return the name and value that are hashed instead of the router of a keyed request."""
    if request.subject:
        return "subject", request.subject
    return IDEMPOTENCY_KEY_FIELD, request.idempotency_key
