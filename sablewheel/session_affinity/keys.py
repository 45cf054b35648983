"""Which session a request belongs to: a key made of fields that it carries. Pure.

An idempotency key stays with its session: retries must map to the same session key whichever router sends
them, or two owners would know the idempotency key. So the session key of a keyed request never depends on its
router: where the rule names one, the subject is used in its place, or the idempotency key itself.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

# The words of the features file, which are also hashed into the session's key, and the request's attributes.
ATTRIBUTES = {"customer": "tenant", "subject": "subject", "router": "router"}
IDEMPOTENCY_KEY_WORD = "label"  # hashed in place of a router where the request has no subject
MAX_FIELD_BYTES = 4096  # a request with a longer field belongs to no session
KEY_LENGTH = 32  # characters of every session key


@dataclass(frozen=True)
class SessionKeyFields:
    """What one request carries; an empty field is absent."""

    tenant: str = ""
    subject: str = ""
    router: str = ""
    idempotency_key: str = ""


def session_key(rule: tuple[str, ...], request: SessionKeyFields) -> str | None:
    """Return the session's key, `KEY_LENGTH` characters.

    Args:
        rule: The fields that make up a session, in the words of the features file.
        request: What the request carries.

    Returns:
        None if the request lacks a field of the rule: it has no session and is served where it arrived.
    """
    fields: list[str] = []
    for word in rule:
        name, value = word, str(getattr(request, ATTRIBUTES[word]))
        if word == "router" and request.idempotency_key:
            if "subject" in rule:
                continue  # the subject is in the key already
            name, value = _router_substitute(request)
        if not value or len(value.encode()) > MAX_FIELD_BYTES:
            return None
        fields.append(
            f"{name}:{len(value)}:{value}"
        )  # the length keeps different fields from running together
    if not fields:
        return None
    return hashlib.blake2b("|".join(fields).encode(), digest_size=KEY_LENGTH // 2).hexdigest()


def _router_substitute(request: SessionKeyFields) -> tuple[str, str]:
    """Return the word and value that stand in for the router of a keyed request."""
    if request.subject:
        return "subject", request.subject
    return IDEMPOTENCY_KEY_WORD, request.idempotency_key
