"""The settings of replication as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field

SLOTS = 1024  # ranges into which groups are hashed, the same on all members


@dataclass(frozen=True)
class Settings:
    """The settings of one member's replica.

    Attributes:
        copies: Replicas of each range.
        slots: Number of ranges.
        max_lifetime_s: The longest lifetime of an entry of an idempotency key or a document.
        max_binding_lifetime_s: That of a session's binding, where it is longer.
        max_entries: Entries that this member stores.
        max_bytes: The same in bytes.
        max_result_bytes: A larger result is not stored on others.
        max_claims: Own claims that are open; changes in progress may be twice as many.
        claim_timeout_s: A claim that has no majority by then is unreachable.
        initial_retry_s: A message without an answer is sent again after this, doubling.
        max_retry_s: The longest time between two attempts.
        sync_interval_s: Between requests of a replica that is not caught up.
        repair_interval_s: Between comparisons of a replica that is.
        batch_size: Ranges a request, entries a chunk.
        chunk_bytes: Bytes of entries a chunk.
        waits_after_cold_start: A fleet without any earlier state waits for the longest lifetime to pass.
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
        settings: The replica's.
        max_answer_wait_s: An answer waits for its outcome to be on a majority, no longer.
        reject_after_s: No majority for so long: requests of that range are rejected on arrival.
    """

    settings: Settings = field(default_factory=Settings)
    max_answer_wait_s: float = 0.25
    reject_after_s: float = 0.3
