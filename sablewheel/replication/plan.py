"""The settings of replication as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field

SLOTS = 1024  # number of ranges into which groups are hashed; must be the same on all members


MAX_OUTCOMES = 2  # of one idempotency key; a second outcome proves a fault, a third one adds no evidence


@dataclass(frozen=True)
class Settings:
    """The settings of one member's replica.

    Attributes:
        copies: Number of replicas of each range.
        slots: Number of ranges.
        max_lifetime_s: The longest lifetime of an entry of an idempotency key or a document.
        max_binding_lifetime_s: The longest lifetime of a session's binding, if it is longer; else 0.
        max_entries: Limit of stored entries.
        max_bytes: Limit of the approximate size of all stored entries.
        max_result_bytes: Limit of a run's result; the bytes of a larger one are not replicated.
        max_claims: Limit of this member's open claims; twice as many changes may be in progress.
        claim_timeout_s: Time after which a claim, write or read without a majority is answered as
            unreachable.
        initial_retry_s: Time after which an unanswered message is sent again; it doubles with each attempt.
        max_retry_s: The longest time between two attempts.
        sync_interval_s: Time between requests of a replica that is catching up.
        repair_interval_s: Time between comparisons of ready ranges with other replicas.
        batch_size: Number of ranges in a request, and of entries in a chunk.
        chunk_bytes: Size of the entries in a chunk.
        waits_after_cold_start: Whether ranges without any earlier state become ready only after the longest
            lifetime has passed.
    """

    copies: int = 3
    slots: int = SLOTS
    max_lifetime_s: float = 60.0
    max_binding_lifetime_s: float = 0.0
    max_entries: int = 200_000
    max_bytes: int = 64 << 20
    max_result_bytes: int = 64 << 10
    max_claims: int = 10_000
    claim_timeout_s: float = 0.4
    initial_retry_s: float = 0.08
    max_retry_s: float = 1.0
    sync_interval_s: float = 0.1
    repair_interval_s: float = 2.0
    batch_size: int = 64
    chunk_bytes: int = 64 << 10
    waits_after_cold_start: bool = True


@dataclass(frozen=True)
class ReplicationPlan:
    """The settings of the replica and of the service around it.

    Attributes:
        settings: The settings of the replica.
        max_answer_wait_s: The longest time that an answer waits for a majority to store its outcome.
        reject_after_s: Silence of replicas after which requests are rejected on arrival if no majority is
            left.
    """

    settings: Settings = field(default_factory=Settings)
    max_answer_wait_s: float = 0.25
    reject_after_s: float = 0.3
