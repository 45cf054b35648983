"""The events that one server's sessions handle. Immutable values.

A `ref` is the number that the caller assigned to a request, or the reference of a query to the register.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from ..membership.view import View
from ..overload.interface import Idempotency
from .binding import Binding
from .messages import Message
from .placement import ServerLoad


class RegisterVerdict(Enum):
    """The result of a query to the register."""

    WON = "won"  # the binding was written, or it was read and is in the answer
    LOST = "lost"  # another fencing number is stored; the answer has its binding
    UNREACHABLE = "unreachable"  # no majority: a write may or may not have been made


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request that belongs to a session."""

    ref: int
    key: str
    idempotency: Idempotency
    flow: str = ""
    forwarded_by: str = ""  # the member that forwarded the request; empty if a client sent it
    was_returned: bool = False  # it was forwarded and returned, since its session's owner had changed

    @property
    def requires_owner(self) -> bool:
        """Whether only the session's owner may run it."""
        return self.idempotency is not Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A request to be served here has an outcome, or did not begin."""

    ref: int
    key: str


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """A forwarded request certainly did not arrive at its session's owner."""

    request: RequestArrived
    owner_name: str


@dataclass(frozen=True, slots=True)
class RequestReturned:
    """A forwarded request was returned unserved: its receiver has a binding with another owner."""

    request: RequestArrived
    binding: Binding | None = None


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """A replica refused the request's claim: a higher number than `fencing_number` is stored there."""

    request: RequestArrived
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OwnerFenced:
    """A claim was refused as in `ClaimRefused`, but its request had already been rejected."""

    key: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class RegisterAnswered:
    """The register's answer to a `WriteBinding` or `ReadBinding`."""

    ref: int
    verdict: RegisterVerdict
    stored_binding: Binding | None = None


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another server."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The fleet agreed on a new view."""

    view: View


@dataclass(frozen=True, slots=True)
class PolicyActivated:
    """A policy version became active, or the servers that can run it have changed."""

    version: int
    capable_members: Mapping[str, frozenset[str]] = field(
        default_factory=dict
    )  # by flow; all members if a flow has no entry
    mandatory: bool = False


@dataclass(frozen=True, slots=True)
class LoadsReported:
    """The latest load reports by member."""

    by_member: Mapping[str, ServerLoad]


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This server will leave after `grace_s` seconds."""

    grace_s: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of `Sessions.wake_at` has been reached."""


Event: TypeAlias = (
    RequestArrived
    | RequestFinished
    | OwnerUnreachable
    | RequestReturned
    | ClaimRefused
    | OwnerFenced
    | RegisterAnswered
    | ViewChanged
    | PolicyActivated
    | LoadsReported
    | DrainStarted
    | TimerFired
    | MessageReceived
)
