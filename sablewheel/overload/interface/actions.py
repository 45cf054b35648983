"""Actions: what the controller has done about its events."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from .requests import Request


class RejectionReason(Enum):
    """Why a request was rejected; each value is the name of a counter."""

    DRAINING = "draining"  # it arrived after the drain's grace
    IDEMPOTENCY_TABLE_FULL = "no_room"  # its idempotency key cannot be stored yet
    MEMORY = "memory"  # the memory guard
    WAIT_BUDGET = "wait"  # its wait would exceed its budget, or its objective is out of reach
    QUEUE_TIMEOUT = "held_out"  # its time in the queue is up


@dataclass(slots=True)
class Run:
    """Start a queued request, or resume a suspended one."""

    request: Request


@dataclass(slots=True)
class Cancel:
    """Cancel running work; this does not answer the request."""

    request: Request


@dataclass(slots=True)
class QueryRun:
    """Query whether a run whose start is unconfirmed goes on; nobody waits for its request any more."""

    request: Request


@dataclass(slots=True)
class PresumeLost:
    """Stop waiting for the end of a run whose start is unconfirmed."""

    request: Request


@dataclass(slots=True)
class Reject:
    """Final answer: the request never ran.

    Attributes:
        retry_after_s: When the client should retry.
        no_retry_elsewhere: Whether it should try no other server meanwhile.
    """

    request: Request
    retry_after_s: float = 0.0
    no_retry_elsewhere: bool = False
    reason: RejectionReason = RejectionReason.WAIT_BUDGET


@dataclass(slots=True)
class Fail:
    """Final answer: an error; the request may have run."""

    request: Request


@dataclass(slots=True)
class CallDependency:
    """Make the call that a run needs and abandon it after `timeout_s` seconds."""

    request: Request
    timeout_s: float


@dataclass(slots=True)
class SkipDependencyCall:
    """Let the run continue without its call."""

    request: Request


@dataclass(slots=True)
class ReserveKey:
    """Put a request into the idempotency table."""

    request: Request
    valid_for_s: float


@dataclass(slots=True)
class ReleaseKey:
    """Remove a request from the idempotency table."""

    request: Request


@dataclass(slots=True)
class AttachToOriginal:
    """Answer a queued duplicate with the result of its original."""

    request: Request


@dataclass(slots=True)
class SetHealth:
    """Set the answer to health checks; a cacheable one is answered without work."""

    healthy: bool
    cacheable: bool


@dataclass(slots=True)
class AdvertiseCapacity:
    """Attach this number to every answer from now on."""

    value: float


@dataclass(slots=True)
class CloseIdle:
    """Close connections that are unused for `idle_timeout_s` seconds, from now on; 0: close none."""

    idle_timeout_s: float


@dataclass(slots=True)
class SetTimer:
    """Fire a timer after `after_s` seconds; it cannot be cancelled."""

    after_s: float


@dataclass(slots=True)
class Log:
    """Write a log line."""

    message: str


@dataclass(slots=True)
class InternalError:
    """A part of the controller raised; the other actions of the batch stand.

    Requests that this part should have dealt with may be left without an answer until their deadlines.
    """

    error: Exception


Action: TypeAlias = (
    Run
    | Cancel
    | QueryRun
    | PresumeLost
    | Reject
    | Fail
    | CallDependency
    | SkipDependencyCall
    | ReserveKey
    | ReleaseKey
    | AttachToOriginal
    | SetHealth
    | AdvertiseCapacity
    | CloseIdle
    | SetTimer
    | Log
    | InternalError
)
