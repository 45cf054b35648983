"""What the sessions of one server react to. Pure values.

A `ref` is a number that the caller gave a request, or this server's for a query to the register.
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
    """How the register answered a query."""

    WON = "won"  # written; or read, and the answer has what is stored
    LOST = "lost"  # another fencing number is stored, in the answer's binding
    UNREACHABLE = "unreachable"  # no majority: a write may have been made or not


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request of a session."""

    ref: int
    key: str
    idempotency: Idempotency
    flow: str = ""
    forwarded_by: str = ""  # the member that forwarded it; empty if a client sent it here
    was_returned: bool = False  # it was forwarded before, and came back since its session had changed hands

    @property
    def requires_owner(self) -> bool:
        """Whether only the session's owner may run it."""
        return self.idempotency is not Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A request that was to be served here has its outcome, or never began."""

    ref: int
    key: str


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """A request that was forwarded certainly did not arrive at its session's owner."""

    request: RequestArrived
    owner_name: str


@dataclass(frozen=True, slots=True)
class RequestReturned:
    """A forwarded request came back unserved: another server owns its session, by what that server knows."""

    request: RequestArrived
    binding: Binding | None = None


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """A replica refused the request's claim: a higher number than `fencing_number` is stored there."""

    request: RequestArrived
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OwnerFenced:
    """A claim was refused as in `ClaimRefused`, but its request was rejected already."""

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
    """A message of another server."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The fleet agreed on another view."""

    view: View


@dataclass(frozen=True, slots=True)
class PolicyActivated:
    """A policy version is in force, or the servers that can run it have changed."""

    version: int
    capable_members: Mapping[str, frozenset[str]] = field(default_factory=dict)  # by flow; without entry: all
    mandatory: bool = False


@dataclass(frozen=True, slots=True)
class LoadsReported:
    """The latest load reports by member."""

    by_member: Mapping[str, ServerLoad]


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This server leaves after `grace_s` seconds."""

    grace_s: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time of `Sessions.wake_at` has come."""


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
