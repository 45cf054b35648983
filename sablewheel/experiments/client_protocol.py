"""Frames of the router protocol as its published specification defines them, for simulated clients."""

from __future__ import annotations


def frame(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


def call(
    tag: int,
    name: bytes,
    request_class: bytes,
    since: float,
    body: bytes,
    tenant: bytes,
    idempotency_key: bytes = b"",
    router: int = 1,
    kb: float = 10.0,
    subject: bytes = b"",
) -> bytes:
    """Encode one attempt of a request.

    `since` is in Unix seconds; `idempotency_key` has 32 hexadecimal digits, or is empty if there is none.
    """
    fields = b"ref=%b,since=%d,sender=%d,project=%b,room=%.1f,class_rank=0.5" % (
        name,
        int(since * 1000),
        router,
        tenant,
        kb,
    )
    if idempotency_key:
        fields += b",replay=%b" % idempotency_key
    if subject:
        fields += b",lookup=%b" % subject
    return frame(b"RPC.CALL", b"%d" % tag, request_class, fields, body)


def cancel(tag: int) -> bytes:
    return frame(b"RPC.CANCEL", b"%d" % tag)


def check(tag: int) -> bytes:
    return frame(b"RPC.HEALTH", b"%d" % tag, b"")
