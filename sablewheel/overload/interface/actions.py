"""Actions that the controller returns for its events; the caller executes them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TypeAlias

from .requests import Request


class RejectionReason(Enum):
    """Why a request was rejected; each value is the name of a counter."""

    DRAINING = "draining"  # the request arrived after the grace period of the drain
    IDEMPOTENCY_TABLE_FULL = "no_room"  # the idempotency key cannot be stored yet
    MEMORY = "memory"  # the memory limit would be exceeded
    CONNECTION_MEMORY = "connection_memory"  # the server's connections hold as much as they may
    WAIT_BUDGET = "wait"  # the wait would exceed the budget, or the objective is out of reach
    QUEUE_TIMEOUT = "held_out"  # the request was queued for too long


@dataclass(slots=True)
class Run:
    """Start a queued request, or resume a suspended one."""

    request: Request


@dataclass(slots=True)
class Cancel:
    """Cancel a run; this does not answer the request."""

    request: Request


@dataclass(slots=True)
class QueryRun:
    """Query whether a run with an unconfirmed start is still running; its client no longer waits."""

    request: Request


@dataclass(slots=True)
class PresumeLost:
    """Stop waiting for the end of a run whose start is unconfirmed."""

    request: Request


@dataclass(slots=True)
class Reject:
    """Final answer: the request never ran.

    Attributes:
        retry_after_s: After how many seconds the client should retry.
        no_retry_elsewhere: Whether the client should not retry on another server meanwhile.
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
    """Make the dependency call of a run, and abandon the call after `timeout_s` seconds."""

    request: Request
    timeout_s: float


@dataclass(slots=True)
class SkipDependencyCall:
    """Let a run continue without its dependency call."""

    request: Request


@dataclass(slots=True)
class ReserveKey:
    """Add a request to the idempotency table for `valid_for_s` seconds."""

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
    """Set the answer to health checks; a cacheable answer takes no work per health check."""

    healthy: bool
    cacheable: bool


@dataclass(slots=True)
class AdvertiseCapacity:
    """Attach `value` to every answer from now on."""

    value: float


@dataclass(slots=True)
class CloseIdle:
    """From now on, close connections that are idle for `idle_timeout_s` seconds; 0 closes none."""

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
    """A part of the controller raised `error`; the other actions of the batch remain valid.

    Requests that this part should have handled may remain unanswered until their deadlines.
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
