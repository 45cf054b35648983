"""What peers say to each other of a request that is passed on, and its bytes. Pure.

Numbers are the sender's own and never come twice, over its lives as well: they begin with its incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import isfinite
from typing import TypeAlias

from google.protobuf.message import DecodeError

from . import forwarding_pb2 as pb

NAME_MOST = 64  # bytes of a request's name, its request class's, its tenant's, its idempotency key
SPAN_MOST = 86400.0


class BadMessageError(ValueError):
    """What came is no message; the text names the field."""


class Final(Enum):
    """How a request ended."""

    COMPLETED = 1
    REJECTED = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class Passed:
    """What goes along of a request; the idempotency key only where a repeat joins its first."""

    name: bytes
    request_class: bytes
    body: bytes
    tenant: bytes
    idempotency_key: bytes | None
    kb: float
    subject: str | None
    session: str = ""


@dataclass(frozen=True, slots=True)
class Pass:
    """A request goes over: `age` since it reached the first machine, `left` until nobody waits."""

    number: int
    request: Passed
    age: float
    left: float


@dataclass(frozen=True, slots=True)
class Taken:
    """It has come."""

    number: int


@dataclass(frozen=True, slots=True)
class Refused:
    """It is not taken and will never run here."""

    number: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Its one answer."""

    number: int
    final: Final
    result: bytes = b""
    retry_after_s: float = 0.0
    no_retry_elsewhere: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    """Nobody waits for it any more."""

    number: int


Message: TypeAlias = Pass | Taken | Refused | Answer | Cancel


# The protobuf enumeration keeps the names of the first version of the format.
_KINDS = {
    Final.COMPLETED: pb.Answer.COMPLETED,
    Final.REJECTED: pb.Answer.DENIED,
    Final.FAILED: pb.Answer.TERMINATED,
}


def encode(message: Message) -> bytes:
    number = message.number
    match message:
        case Pass(_, one, age, left):
            told = pb.Pass(
                name=one.name,
                track=one.request_class,
                body=one.body,
                customer=one.tenant,
                label=one.idempotency_key or b"",
                kb=one.kb,
                subject=one.subject or "",
                session=one.session,
                age=age,
                left=left,
            )
            return pb.TicketMessage(number=number, passed=told).SerializeToString()
        case Taken():
            return pb.TicketMessage(number=number, taken=pb.Taken()).SerializeToString()
        case Refused():
            return pb.TicketMessage(number=number, refused=pb.Refused()).SerializeToString()
        case Cancel():
            return pb.TicketMessage(number=number, cancel=pb.Cancel()).SerializeToString()
        case Answer(_, final, result, retry_after_s, no_retry_elsewhere):
            answer = pb.Answer(
                kind=_KINDS[final], result=result, come_back=retry_after_s, nowhere=no_retry_elsewhere
            )
            return pb.TicketMessage(number=number, answer=answer).SerializeToString()


def decode(data: bytes) -> Message:
    """The message of a payload; raises `BadMessageError` and nothing else."""
    try:
        told = pb.TicketMessage.FromString(data)
    except DecodeError:
        raise BadMessageError("not a message") from None
    number = told.number
    match told.WhichOneof("body"):
        case "passed":
            return Pass(number, *_pass_in(told.passed))
        case "taken":
            return Taken(number)
        case "refused":
            return Refused(number)
        case "cancel":
            return Cancel(number)
        case "answer":
            answer = told.answer
            if answer.kind not in (one.value for one in Final):
                raise BadMessageError(f"answer: no such kind: {answer.kind}")
            span = _span(answer.come_back, "come_back")
            return Answer(number, Final(answer.kind), answer.result, span, answer.nowhere)
    raise BadMessageError("a message of no kind that this version knows")


def _pass_in(told: pb.Pass) -> tuple[Passed, float, float]:
    for field in ("name", "track", "customer", "label"):
        if len(getattr(told, field)) > NAME_MOST or (field in ("name", "track") and not getattr(told, field)):
            raise BadMessageError(f"{field}: 1 to {NAME_MOST} bytes are wanted")
    if len(told.session) > NAME_MOST:
        raise BadMessageError(f"session: at most {NAME_MOST} characters are wanted")
    if len(told.subject) > NAME_MOST:
        raise BadMessageError(f"subject: at most {NAME_MOST} characters are wanted")
    request = Passed(
        told.name,
        told.track,
        told.body,
        told.customer,
        told.label or None,
        _span(told.kb, "kb"),
        told.subject or None,
        told.session,
    )
    return request, _span(told.age, "age"), _span(told.left, "left")


def _span(value: float, field: str) -> float:
    if not (isfinite(value) and 0 <= value <= SPAN_MOST):
        raise BadMessageError(f"{field}: 0 to {SPAN_MOST:g} is wanted, got {value:g}")
    return value
