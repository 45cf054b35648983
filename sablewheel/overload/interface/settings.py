"""Settings of one server: request classes, tenants, the called dependency and the machine's limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Idempotency(Enum):
    """What a second run of the same request does."""

    IDEMPOTENT = auto()
    KEYED = auto()  # a duplicate within the idempotency window is answered with the first result
    NON_IDEMPOTENT = auto()


class Cancellation(Enum):
    """What cancelling a running request does on this server."""

    UNSUPPORTED = auto()
    DISCARDS_WORK = auto()
    SUSPENDS = auto()


class AdvertisementKind(Enum):
    """What clients read in the capacity advertisement that is attached to every answer."""

    NONE = auto()
    CREDIT = auto()
    LOAD_LEVEL = auto()
    ACCEPT_PROBABILITY = auto()


@dataclass(frozen=True, eq=False)
class RequestClass:
    """A class of requests.

    Attributes:
        idempotency: Whether a request of this class may run twice.
        latency_objective_s: Answers within this time earn their full value.
        timeout_s: How long clients wait for an answer.
        idempotency_window_s: How long after its arrival a request's key is reserved.
        objective_s_per_hint: Added to the latency objective for each unit of the request's cost hint.
        calls_dependency: Whether runs of this class may call the dependency.
        skip_value_ratio: Part of the value that an answer without the dependency call earns.
        priority_weight: Value of one request completed in time, or of a second of its work.
    """

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
    """An owner of requests; `quota_per_s` is in requests per second over the whole fleet."""

    quota_per_s: float


@dataclass(frozen=True, eq=False)
class Dependency:
    """The service that runs call.

    Attributes:
        capacity: This server's share of the concurrent calls it survives; None if unknown.
        span_s: The span over which the capacity is averaged.
        linger_s: How long an abandoned call may go on at the dependency.
    """

    capacity: float | None = None
    span_s: float = 0.0
    linger_s: float = 0.0


@dataclass(frozen=True, eq=False)
class ServerSettings:
    """Settings of one server; they stay the same until `Controller.retune`.

    Attributes:
        running_memory_factor: Memory of a running request as a multiple of its memory while queued.
        max_concurrency_per_core: Running requests per core that the server survives over
            `concurrency_span_s`.
        cold_speed_ratio: Speed of a server that starts cold, relative to its speed after `warm_up_s`.
        deadline_propagated: Whether clients send the time that they still wait.
        marks_retries: Whether clients mark retries.
        weight_by_work: Whether priority weights are per second of work instead of per request.
        over_quota_weight: Value of work beyond a tenant's quota relative to that within it.
        answer_slack_s: How long an answer may need to reach its client.
        drain_grace_s: Requests that arrive this long after the shutdown notice are still served.
    """

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
