"""Settings of one server: request classes, tenants, the dependency and the limits of the machine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class Idempotency(Enum):
    """Effect of a second run of the same request."""

    IDEMPOTENT = auto()
    KEYED = auto()  # a duplicate within the idempotency window is answered with the first result
    NON_IDEMPOTENT = auto()


class Cancellation(Enum):
    """Effect of cancelling a running request on this server."""

    UNSUPPORTED = auto()
    DISCARDS_WORK = auto()
    SUSPENDS = auto()


class AdvertisementKind(Enum):
    """Meaning of the capacity advertisement that is attached to every answer."""

    NONE = auto()
    CREDIT = auto()
    LOAD_LEVEL = auto()
    ACCEPT_PROBABILITY = auto()


@dataclass(frozen=True, eq=False)
class RequestClass:
    """A class of requests.

    Attributes:
        idempotency: Effect of a second run of the same request.
        latency_objective_s: Answers within this time have their full value.
        timeout_s: How long clients wait for an answer.
        idempotency_window_s: How long a request's key is reserved after its arrival.
        objective_s_per_hint: Seconds added to the latency objective for each unit of the cost hint.
        calls_dependency: Whether runs of this class may call the dependency.
        skip_value_ratio: Value of an answer without the dependency call, relative to one with it.
        priority_weight: Value of a request answered in time, or of a second of its work; see
            `ServerSettings.weight_by_work`.
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
    """An owner of requests; `quota_per_s` is in requests per second for the whole fleet."""

    quota_per_s: float


@dataclass(frozen=True, eq=False)
class Dependency:
    """The service that runs may call.

    Attributes:
        capacity: This server's share of the concurrent calls that the dependency sustains; None if unknown.
        span_s: The time span over which the capacity is averaged.
        linger_s: How long an abandoned call may continue at the dependency.
    """

    capacity: float | None = None
    span_s: float = 0.0
    linger_s: float = 0.0


@dataclass(frozen=True, eq=False)
class ServerSettings:
    """Settings of one server; unchanged until `Controller.update_settings`.

    Attributes:
        running_memory_factor: Memory of a running request as a multiple of its memory while queued.
        max_concurrency_per_core: Running requests per core that the server sustains on average over
            `concurrency_span_s`.
        cold_speed_ratio: Speed of a server that starts cold, relative to its speed after `warm_up_s`.
        deadline_propagated: Whether clients send how long they still wait.
        marks_retries: Whether clients mark retries.
        weight_by_work: Whether priority weights are per second of work instead of per request.
        over_quota_weight: Value of work over a tenant's quota relative to work within it.
        answer_slack_s: How long an answer may need to reach its client.
        drain_grace_s: Requests that arrive within this time after the shutdown notice are still served.
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
