"""The effects that one server's sessions request, to be carried out in order. Immutable values.

A `ref` is a request's reference from its `RequestArrived`, or the reference of a query to the register.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from .binding import Binding
from .messages import Message


class DecisionReason(Enum):
    """Why a request is served here or rejected; each reason is counted separately."""

    OWNER = "owner"  # this server owns the session
    NO_VIEW = "no_view"  # this server is not a member of the view
    UNREACHED = "unreached"  # the owner is unreachable
    NO_MAJORITY = "no_majority"  # no owner can be found or assigned without a majority of the register
    HANDOVER = "handover"  # the session is being handed over
    BUDGET = "budget"  # the session must migrate, and the migration budget is exhausted
    STALE = "stale"  # it was forwarded twice, and the session's owner has changed again
    FULL = "full"  # no server has capacity, or too many requests are waiting
    INCAPABLE = "incapable"  # no server can run the flows of both the request and its session


@dataclass(frozen=True, slots=True)
class ServeLocally:
    """Serve the request on this server."""

    ref: int
    fencing_number: int  # of the request's claim; 0 if it must not be claimed under a session
    policy_version: int
    reason: DecisionReason = DecisionReason.OWNER


@dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """Forward the request to the session's owner, one hop."""

    ref: int
    owner_name: str


@dataclass(frozen=True, slots=True)
class ReturnToForwarder:
    """Return the request, which was not run here, to its forwarder: another server owns its session."""

    ref: int
    forwarded_by: str
    binding: Binding


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Reject the request, which was not run, or answer it with its idempotency key's known outcome."""

    ref: int
    retry_after_s: float
    reason: DecisionReason


@dataclass(frozen=True, slots=True)
class WriteBinding:
    """Write a binding to the register if it holds the expected fencing number (0: no entry)."""

    ref: int
    key: str
    expected_fencing_number: int
    binding: Binding
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class ReadBinding:
    """Read a session's binding from the register."""

    ref: int
    key: str


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another server."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log line."""

    message: str
    fields: Mapping[str, object] = field(default_factory=dict)


Effect: TypeAlias = (
    ServeLocally
    | ForwardToOwner
    | ReturnToForwarder
    | RejectRequest
    | WriteBinding
    | ReadBinding
    | SendMessage
    | LogEvent
)
