"""Events that `ForwardingState.step` handles and effects that it returns, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..overload.interface import Idempotency
from .messages import Answer, Message, RequestData

Key = tuple[str, int]  # of an admitted request: the peer that forwarded it and that peer's request number


@dataclass(frozen=True, slots=True)
class ForwardRequested:
    """Forward a request of this member under a new number; `tried` lists the peers already ruled out."""

    number: int
    peer: str
    idempotency: Idempotency
    request: RequestData
    age_s: float
    remaining_s: float
    tried: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class RequestCancelled:
    """The caller of a forwarded request cancelled it."""

    number: int


@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """A forwarded request was dropped before any byte of it was sent."""

    number: int


@dataclass(frozen=True, slots=True)
class RerunDecided:
    """The answer to `AskOwner`: whether the request may run again."""

    number: int
    may_run_again: bool


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """A connection to a peer was lost, including the messages in transit."""

    peer: str


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message arrived; `transit_s` is an upper estimate of its time in transit."""

    sender: str
    message: Message
    transit_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """An admitted request was answered; `answer` is None if it never ran because it cannot be served here."""

    key: Key
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class ShutdownStarted:
    """This member is shutting down and admits no more requests from peers."""


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer fired, at `ForwardingState.wake_at` or earlier."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a peer unless it expires first."""

    to: str
    message: Message
    expires_in_s: float


@dataclass(frozen=True, slots=True)
class ReturnRequest:
    """Take back a forwarded request that never ran or may run again; `tried` lists the peers ruled out."""

    number: int
    tried: frozenset[str]


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Deliver the only answer to a forwarded request; `is_local` if this member decided it, not the peer."""

    number: int
    answer: Answer
    is_local: bool


@dataclass(frozen=True, slots=True)
class AskOwner:
    """Ask the owner of a keyed request that may have run whether it may run again (`RerunDecided`)."""

    number: int


@dataclass(frozen=True, slots=True)
class AdmitRequest:
    """Admit a peer's request here; `age_s` is the time since it reached the first server."""

    key: Key
    request: RequestData
    age_s: float


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel an admitted request whose answer can no longer be delivered or is no longer wanted."""

    key: Key


Event: TypeAlias = (
    ForwardRequested
    | RequestCancelled
    | RequestNotSent
    | RerunDecided
    | ConnectionLost
    | MessageReceived
    | RequestFinished
    | ShutdownStarted
    | TimerFired
)
Effect: TypeAlias = Send | ReturnRequest | DeliverAnswer | AskOwner | AdmitRequest | CancelRequest
