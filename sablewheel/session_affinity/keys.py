"""Which session a request belongs to: a key made of fields that it carries. Pure.

An idempotency key stays with its session: its repeats must come to the same key whatever way they take, or
two owners would know the idempotency key. So the key of a keyed request never rests on its router: where the
rule names one, the subject stands in for it, or the idempotency key itself.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

# The names that a rule may use, as the features file gives them, and the attributes of `Carried`.
FIELDS = {"customer": "tenant", "subject": "subject", "router": "router"}
FIELD_MOST = 4096  # bytes of one field; a longer one belongs to no session
KEY_SIZE = 32  # characters of every key


@dataclass(frozen=True)
class SessionKeyFields:
    """What one request carries; empty is absent."""

    tenant: str = ""
    subject: str = ""
    router: str = ""
    idempotency_key: str = ""


def key_of(rule: tuple[str, ...], request: SessionKeyFields) -> str | None:
    """The session's key, `KEY_SIZE` characters; None if the request lacks a field that the rule wants.

    A request without a session is served where it is, as with affinity off.
    """
    parts: list[str] = []
    for name in rule:
        value = str(getattr(request, FIELDS[name]))
        if name == "router" and request.idempotency_key:
            if "subject" in rule:
                continue  # it is in the key already
            name, value = (
                ("subject", request.subject) if request.subject else ("label", request.idempotency_key)
            )
        if not value or len(value.encode()) > FIELD_MOST:
            return None
        parts.append(f"{name}:{len(value)}:{value}")  # with its length: no two requests share a key by chance
    return hashlib.blake2b("|".join(parts).encode(), digest_size=KEY_SIZE // 2).hexdigest() if parts else None
