"""Events and effects of `ForwardingState.step`, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..overload.interface import Idempotency
from .messages import Answer, Message, RequestData

Key = tuple[str, int]  # of an admitted request: the peer that forwarded it, and its number there


@dataclass(frozen=True, slots=True)
class ForwardRequested:
    """A request of this member is to be forwarded under a new number; `tried` are peers ruled out already."""

    number: int
    peer: str
    idempotency: Idempotency
    request: RequestData
    age_s: float
    remaining_s: float
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class CallerGone:
    """The caller of a forwarded request no longer waits for it."""

    number: int


@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """A forwarded request never left this member."""

    number: int


@dataclass(frozen=True, slots=True)
class RerunDecided:
    """The answer to `AskOwner`: whether the request may run again."""

    number: int
    may_run_again: bool


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A connection to a peer was lost, with the messages in transit."""

    peer: str


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived; it was in transit for `transit_s`, never underestimated."""

    sender: str
    message: Message
    transit_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """An admitted request has its answer; None: it cannot be served here and never ran."""

    key: Key
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This member shuts down and admits no more requests of peers."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time `ForwardingState.wake_at` has come, or an earlier one."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer, unless it expires before."""

    to: str
    message: Message
    expires_in_s: float


@dataclass(frozen=True, slots=True)
class ReturnRequest:
    """A request is this member's again: it never ran, or may run again; `tried` are peers ruled out."""

    number: int
    tried: frozenset[str]


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """The one answer of a forwarded request; `is_local`: it is this member's decision, not the peer's."""

    number: int
    answer: Answer
    is_local: bool


@dataclass(frozen=True, slots=True)
class AskOwner:
    """A keyed request may have run; ask its owner whether it may run again (`RerunDecided`)."""

    number: int


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Admit a peer's request here, at its age."""

    key: Key
    request: RequestData
    age_s: float


@dataclass(frozen=True, slots=True)
class AbandonRequest:
    """The caller of an admitted request no longer waits for it."""

    key: Key


Event: TypeAlias = (
    ForwardRequested
    | CallerGone
    | RequestNotSent
    | RerunDecided
    | ConnectionLost
    | MessageReceived
    | RequestFinished
    | ShutdownStarted
    | TimerFired
)
Effect: TypeAlias = Send | ReturnRequest | DeliverAnswer | AskOwner | AdmitRequest | AbandonRequest
