"""Settings of usage metering as plain values, made by the reader of the features file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path


class Depth(Enum):
    """Where entries are stored.

    MEMORY: only exported entries survive the process. DURABLE: entries are written to disk first.
    """

    MEMORY = "memory"
    DURABLE = "durable"


class Answers(Enum):
    """Whether a completed answer is sent once its entry is durable, or at once; for the durable depth."""

    AFTER_ENTRY = "after-entry"
    BEFORE_ENTRY = "before-entry"


class Length(Enum):
    """Length of a period."""

    HOUR = "hour"
    DAY = "day"
    MONTH = "month"


@dataclass(frozen=True)
class Calendar:
    """The division of time into periods; a period stays open for `lag_s` after its end."""

    zone: str = "UTC"
    length: Length = Length.DAY
    lag_s: float = 3600.0


@dataclass(frozen=True)
class ExportPlan:
    """Settings of the export; the backoff doubles from `initial_backoff_s` to `max_backoff_s`."""

    address: tuple[str, int]
    answer_timeout_s: float = 5.0
    initial_backoff_s: float = 0.2
    max_backoff_s: float = 30.0
    window_bytes: int = 1 << 18  # limit for blocks sent and not yet acknowledged


@dataclass(frozen=True)
class LedgerPlan:
    """Settings of usage metering in one server."""

    depth: Depth = Depth.MEMORY
    folder: Path | None = None
    answers: Answers = Answers.AFTER_ENTRY
    max_answer_delay_s: float = 0.25  # longest wait of an answer for its entry to be durable
    max_entries: int = 20_000  # single entries in memory; older ones are folded into totals
    max_total_rows: int = 5_000  # beyond this, the oldest periods are merged
    max_disk_bytes: int = 1 << 30
    retained_bytes: int = 64 << 20  # acknowledged records on disk, for a restored collector
    commit_interval_s: float = 0.04  # least time between commits; entries in between share one
    block_interval_s: float = 0.25
    calendar: Calendar = Calendar()
    export: ExportPlan | None = None


@dataclass(frozen=True)
class CollectorPlan:
    """Settings of the collector. If `customers` is empty, any tenant name is accepted."""

    journal_path: Path
    listen: tuple[str, int]
    calendar: Calendar = Calendar()
    customers: frozenset[str] = frozenset()
    max_frame_bytes: int = 1 << 22
    max_connections: int = 2048  # one per server, and briefly one of its earlier incarnation
    idle_timeout_s: float = 600.0
    max_clock_skew_s: float = 300.0
    close_check_interval_s: float = 5.0
