"""Messages between peers about a forwarded request, and their encoding.

Request numbers are assigned by the sender and never repeat, even across restarts, because they start with
its incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import isfinite
from typing import TypeAlias

from google.protobuf.message import DecodeError

from . import forwarding_pb2 as pb

MAX_NAME_BYTES = 64  # limit of a request's name, request class, tenant, idempotency key, session and subject
MAX_DURATION_S = 86400.0
MAX_MEMORY_KB = 86400.0  # of a forwarded request


class BadMessageError(ValueError):
    """A payload is not a valid message; the text names the invalid field, if any."""


class FinalStatus(Enum):
    """How a request ended."""

    COMPLETED = 1
    REJECTED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class RequestData:
    """The contents of a request; `idempotency_key` is set only for a keyed request."""

    name: bytes
    request_class: bytes
    body: bytes
    tenant: bytes
    idempotency_key: bytes | None
    memory_kb: float
    subject: str | None
    session: str = ""


def is_forwardable(request: RequestData) -> bool:
    """Return whether a receiver accepts the contents of a request, by the bounds that `decode` checks."""
    names = (
        request.name,
        request.request_class,
        request.tenant,
        request.idempotency_key or b"",
        request.subject or "",
        request.session,
    )
    has_valid_names = max(len(name) for name in names) <= MAX_NAME_BYTES
    return has_valid_names and 0 <= request.memory_kb <= MAX_MEMORY_KB


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Forwards a request; `age_s` is the time since it reached the first server."""

    number: int
    request: RequestData
    age_s: float
    remaining_s: float  # until its deadline


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The request arrived and was admitted."""

    number: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not admitted and will never run at the sender of this message."""

    number: int


@dataclass(frozen=True, slots=True)
class Answer:
    """The only answer to a request."""

    number: int
    final: FinalStatus
    result: bytes = b""
    retry_after_s: float = 0.0
    no_retry_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels a forwarded request."""

    number: int


Message: TypeAlias = ForwardRequest | Acknowledged | Refused | Answer | Cancel


# The protobuf enumeration keeps the names of the first version of the format.
_STATUS_CODES = {
    FinalStatus.COMPLETED: pb.Answer.COMPLETED,
    FinalStatus.REJECTED: pb.Answer.DENIED,
    FinalStatus.FAILED: pb.Answer.TERMINATED,
}


def encode(message: Message) -> bytes:
    """Encode a message as the payload of a frame."""
    packet = pb.TicketMessage(number=message.number)
    match message:
        case ForwardRequest():
            packet.passed.CopyFrom(_encode_request(message))
        case Acknowledged():
            packet.taken.SetInParent()
        case Refused():
            packet.refused.SetInParent()
        case Cancel():
            packet.cancel.SetInParent()
        case Answer():
            answer = pb.Answer(
                kind=_STATUS_CODES[message.final],
                result=message.result,
                come_back=message.retry_after_s,
                nowhere=message.no_retry_elsewhere,
            )
            packet.answer.CopyFrom(answer)
    return packet.SerializeToString()


def _encode_request(message: ForwardRequest) -> pb.Pass:
    request = message.request
    return pb.Pass(
        name=request.name,
        track=request.request_class,
        body=request.body,
        customer=request.tenant,
        label=request.idempotency_key or b"",
        kb=request.memory_kb,
        subject=request.subject or "",
        session=request.session,
        age=message.age_s,
        left=message.remaining_s,
    )


def decode(data: bytes) -> Message:
    """Decode the payload of a frame.

    Raises:
        BadMessageError: The payload is malformed or a field is out of bounds.
    """
    try:
        packet = pb.TicketMessage.FromString(data)
    except DecodeError:
        raise BadMessageError("payload is not a valid protobuf message") from None
    number = packet.number
    match packet.WhichOneof("body"):
        case "passed":
            return _decode_request(number, packet.passed)
        case "taken":
            return Acknowledged(number)
        case "refused":
            return Refused(number)
        case "cancel":
            return Cancel(number)
        case "answer":
            return _decode_answer(number, packet.answer)
    raise BadMessageError("message has no known body")


def _decode_answer(number: int, answer: pb.Answer) -> Answer:
    if answer.kind not in (status.value for status in FinalStatus):
        raise BadMessageError(f"answer: unknown kind {answer.kind}")
    retry_after_s = _bounded(answer.come_back, "come_back")
    return Answer(number, FinalStatus(answer.kind), answer.result, retry_after_s, answer.nowhere)


def _decode_request(number: int, encoded: pb.Pass) -> ForwardRequest:
    for field in ("name", "track", "customer", "label"):
        value = getattr(encoded, field)
        if len(value) > MAX_NAME_BYTES or (field in ("name", "track") and not value):
            raise BadMessageError(f"{field}: must be 1 to {MAX_NAME_BYTES} bytes long")
    for field in ("session", "subject"):
        if len(getattr(encoded, field)) > MAX_NAME_BYTES:
            raise BadMessageError(f"{field}: must be at most {MAX_NAME_BYTES} characters long")
    request = RequestData(
        encoded.name,
        encoded.track,
        encoded.body,
        encoded.customer,
        encoded.label or None,
        _bounded(encoded.kb, "kb", MAX_MEMORY_KB),
        encoded.subject or None,
        encoded.session,
    )
    age_s, remaining_s = _bounded(encoded.age, "age"), _bounded(encoded.left, "left")
    return ForwardRequest(number, request, age_s, remaining_s)


def _bounded(value: float, field: str, limit: float = MAX_DURATION_S) -> float:
    if not (isfinite(value) and 0 <= value <= limit):
        raise BadMessageError(f"{field}: must be 0 to {limit:g}, got {value:g}")
    return value
