"""What replication is set to, as plain values; all spans are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

SLOTS = 1024  # ranges into which groups fall, the same on all members


@dataclass(frozen=True)
class Settings:
    """One member's replica. `longest` is the longest life that an entry of idempotency keys or
    documents may have.
    """

    copies: int = 3
    slots: int = SLOTS
    longest: float = 60.0
    binding_life: float = 0.0  # the longest of a session's binding, where that is longer
    entries_most: int = 200_000  # as holder
    bytes_most: int = 64 << 20
    result_most: int = 64 << 10  # a larger result is not kept for others
    rounds_most: int = 10_000  # changes under way as proposer, and own claims that are open
    patience: float = 0.4  # a claim that has no majority by then has none
    retry: float = 0.08  # a message without an answer is sent again; doubled, to `retry_most`
    retry_most: float = 1.0
    sync_every: float = 0.1  # asks of one that is not caught up
    repair_every: float = 2.0  # asks of one that is
    batch: int = 64  # ranges an ask, entries a piece
    piece_bytes: int = 64 << 10
    cold_waits: bool = True  # a fleet of which nobody remembers anything waits out the longest life


@dataclass(frozen=True)
class ReplicationPlan:
    """The replica and its shell."""

    settings: Settings = field(default_factory=Settings)
    hold_most: float = 0.25  # an answer waits for its outcome to be on a majority, no longer
    reject_after: float = 0.3  # no majority for so long: requests of that range are rejected at the door
