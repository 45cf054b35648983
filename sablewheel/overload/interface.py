"""The interface of the decision module: what it is told and what it may do.

Plain types only. A `Request` points to its request class, tenant and router; ids stay at the door, with
whoever carries the events in and the actions out. All times are seconds with fractions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from typing import TypeAlias


class Idempotency(Enum):
    """What a second run of a request would do."""

    IDEMPOTENT = auto()
    KEYED = auto()
    NON_IDEMPOTENT = auto()


class Cancellation(Enum):
    """What stopping a running request does on this machine."""

    UNSUPPORTED = auto()
    DISCARDS_WORK = auto()
    SUSPENDS = auto()


class AdvertisementKind(Enum):
    """What callers do with the free number that goes with every answer."""

    NONE = auto()
    CREDIT = auto()
    LOAD_LEVEL = auto()
    ACCEPT_PROBABILITY = auto()


class Outcome(Enum):
    """How a run or a call ended."""

    SUCCEEDED = auto()
    ERROR = auto()
    REJECTED = auto()
    TIMED_OUT = auto()
    UNREACHABLE = auto()
    CONNECTION_LOST = auto()
    CANCELLED = auto()
    NEVER_STARTED = auto()
    LOST = auto()  # no end was told in all the time that it was waited for: it may have run


class Stage(Enum):
    """Where a request stands; kept by the controller."""

    QUEUED = auto()
    RUNNING = auto()
    WAITING_TO_CALL = auto()
    CALLING = auto()
    COALESCED = auto()
    FINISHED = auto()


@dataclass(frozen=True, eq=False)
class RequestClass:
    """A class of requests; `worth` is what one completed in time earns, or a second of its work."""

    idempotency: Idempotency
    latency_objective_s: float
    timeout_s: float
    idempotency_window_s: float = 0.0
    objective_s_per_hint: float = 0.0
    calls_dependency: bool = False
    skip_value_ratio: float = 0.0
    priority_weight: float = 1.0


@dataclass(frozen=True, eq=False)
class Tenant:
    """Whose requests they are; `quota` is requests a second over the whole fleet."""

    quota_per_s: float


@dataclass(frozen=True, eq=False)
class Dependency:
    """What requests call; `in_hand` is this server's share of what it survives, None if not told."""

    capacity: float | None = None
    span_s: float = 0.0
    linger_s: float = 0.0


@dataclass(eq=False, slots=True)
class Client:
    """Someone who sends requests here; the controller notes its open requests and when it was last heard."""

    in_flight: int = 0
    last_received_at: float = -inf
    name: bytes = b""


@dataclass(frozen=True, eq=False)
class ServerSettings:
    """The server as it is told at its start."""

    request_classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    running_memory_factor: float
    tenants: tuple[Tenant, ...] = ()
    dependency: Dependency | None = None
    servers: int = 1
    clients: int = 1
    idempotency_key_kb: float = 0.0
    cancellation: Cancellation = Cancellation.UNSUPPORTED
    advertisement: AdvertisementKind = AdvertisementKind.NONE
    advertisement_ttl_s: float = 0.0
    coalesce_reads_for_s: float = 0.0
    deadline_propagated: bool = False
    marks_retries: bool = False
    over_quota_weight: float = 1.0
    weight_by_work: bool = False
    starts_cold: bool = False
    idle_timeout_s: float = 0.0
    min_batch_interval_s: float = 0.0
    answer_slack_s: float = 0.0
    drain_grace_s: float = 0.0
    max_concurrency_per_core: float = 1.0
    concurrency_span_s: float = 0.0
    cold_speed_ratio: float = 1.0
    warm_up_s: float = 0.0
    max_retry_after_s: float = 0.0


@dataclass(eq=False, slots=True, weakref_slot=True)
class Request:
    """One try of a request. The fields below `repeats` are the controller's own notes, but for the last two:
    what a run waits for beside the cores, and how long until its idempotency key can be kept."""

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


@dataclass(slots=True)
class RequestArrived:
    """A request was read and is now held."""

    request: Request


@dataclass(slots=True)
class RunEnded:
    """A run or a join is over."""

    request: Request
    took_s: float
    outcome: Outcome


@dataclass(slots=True)
class DependencyCallNeeded:
    """A running request stands at a call."""

    request: Request


@dataclass(slots=True)
class DependencyCallEnded:
    """A call came back."""

    request: Request
    took_s: float
    outcome: Outcome


@dataclass(slots=True)
class StartUnconfirmed:
    """The command that starts a run was written to a link that broke: it may run, or never have begun."""

    request: Request


@dataclass(slots=True)
class CallerGone:
    """No one waits for this request any more."""

    request: Request


@dataclass(slots=True)
class KeyRecovered:
    """A finished request is remembered from before the start; its idempotency key counts for `life`
    seconds more.
    """

    request: Request
    valid_for_s: float


@dataclass(slots=True)
class ShutdownNotice:
    """The server will be stopped after `left` seconds."""

    remaining_s: float


@dataclass(slots=True)
class TimerFired:
    """An alarm rang; how much of the cores is busy, how many connections are open and how much work demands a
    core (runs, reading, checks), where told."""

    cpu_busy_ratio: float = inf
    open_connections: float = inf
    runnable_work: float = inf


Event: TypeAlias = (
    RequestArrived
    | RunEnded
    | DependencyCallNeeded
    | DependencyCallEnded
    | StartUnconfirmed
    | CallerGone
    | KeyRecovered
    | ShutdownNotice
    | TimerFired
)


@dataclass(slots=True)
class Run:
    """Start a held request, or take up a paused one."""

    request: Request


@dataclass(slots=True)
class Cancel:
    """Cancel running work; no answer by itself."""

    request: Request


@dataclass(slots=True)
class PresumeLost:
    """Wait no longer for the end of a run whose start is unconfirmed."""

    request: Request


class RejectionReason(Enum):
    """Why a request was rejected; each is counted apart."""

    DRAINING = "draining"  # it came after the drain's grace
    IDEMPOTENCY_TABLE_FULL = "no_room"  # its idempotency key has no room yet
    MEMORY = "memory"  # the memory guard
    WAIT_BUDGET = "wait"  # its wait would pass its budget, or its goal is out of reach
    QUEUE_TIMEOUT = "held_out"  # held until its time was up


@dataclass(slots=True)
class Reject:
    """Final answer: it never ran. `retry_after_s`: when to return; `no_retry_elsewhere`: try no other
    server.
    """

    request: Request
    retry_after_s: float = 0.0
    no_retry_elsewhere: bool = False
    reason: RejectionReason = RejectionReason.WAIT_BUDGET


@dataclass(slots=True)
class Fail:
    """Final answer: an error, with no promise."""

    request: Request


@dataclass(slots=True)
class CallDependency:
    """Make the call a request stands at, given up after `allow` seconds."""

    request: Request
    timeout_s: float


@dataclass(slots=True)
class SkipDependencyCall:
    """Go on without the call."""

    request: Request


@dataclass(slots=True)
class ReserveKey:
    """Put a request into the table of idempotency keys."""

    request: Request
    valid_for_s: float


@dataclass(slots=True)
class ReleaseKey:
    """Take a request out of the table."""

    request: Request


@dataclass(slots=True)
class AttachToOriginal:
    """Answer a held request with the result of the one it repeats."""

    request: Request


@dataclass(slots=True)
class SetHealth:
    """What health checks are told; `stored` answers them without work."""

    healthy: bool
    cacheable: bool


@dataclass(slots=True)
class AdvertiseCapacity:
    """The free number on every answer from now on."""

    value: float


@dataclass(slots=True)
class CloseIdle:
    """Close connections unused for `after` seconds."""

    idle_timeout_s: float


@dataclass(slots=True)
class SetTimer:
    """Ring after `after` seconds; it cannot be taken back."""

    after_s: float


@dataclass(slots=True)
class Log:
    """A line for the report."""

    message: str


Action: TypeAlias = (
    Run
    | Cancel
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
)
