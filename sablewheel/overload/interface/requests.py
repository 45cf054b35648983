"""Requests, the clients that send them, and the states that a request goes through."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf

from .settings import RequestClass, Tenant


class Outcome(Enum):
    """How a run or a dependency call ended."""

    SUCCEEDED = auto()
    ERROR = auto()
    REJECTED = auto()
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    CONNECTION_LOST = auto()
    CANCELLED = auto()
    NEVER_STARTED = auto()
    LOST = auto()  # no end was reported in time; the run may have taken place


class Stage(Enum):
    """The processing stage of a request; only the controller changes it."""

    QUEUED = auto()
    RUNNING = auto()
    WAITING_TO_CALL = auto()
    CALLING = auto()
    COALESCED = auto()
    FINISHED = auto()


@dataclass(eq=False, slots=True)
class Client:
    """A sender of requests.

    Attributes:
        in_flight: Number of unanswered requests.
        last_received_at: When its last request was read; -infinity if none was.
        name: Client identifier from the protocol; empty if not needed.
    """

    in_flight: int = 0
    last_received_at: float = -inf
    name: bytes = b""


@dataclass(eq=False, slots=True, weakref_slot=True)
class Request:
    """One attempt of a request.

    The fields up to `duplicate_of` describe the request as received. The others are set by the controller,
    except `extra_wait_s` and `key_capacity_in_s`, which the caller sets before `RequestArrived`.

    Attributes:
        remaining_s: How long the client still waits; None if its deadline is not propagated.
        subject: Identifies the data that a read returns; reads of the same subject may be coalesced.
        duplicate_of: The original whose result this request gets, if the original may have run. After
            admission: the first request of the chain of originals that may have run.
        queued_work_ahead_s: Predicted service time of all requests ever queued before it in its queue.
        extra_wait_s: Expected wait of a run for storage and replication, apart from its time on a core.
        key_capacity_in_s: How long until its idempotency key can be stored; 0 if it can be stored now.
    """

    request_class: RequestClass
    client: Client
    tenant: Tenant | None
    arrived_at: float
    memory_kb: float
    remaining_s: float | None = None
    cost_hint: float | None = None
    is_retry: bool = False
    writes: bool = False
    subject: str | None = None
    duplicate_of: Request | None = None
    stage: Stage = Stage.QUEUED
    started: bool = False
    outcome: Outcome | None = None
    answered: bool = False
    deadline: float = 0.0
    wait_budget_s: float = 0.0
    read_at: float = 0.0
    stage_since: float = 0.0
    called_at: float = 0.0
    holds_key: bool = False
    over_quota: bool = False
    queued_work_ahead_s: float = 0.0
    extra_wait_s: float = 0.0
    key_capacity_in_s: float = 0.0
