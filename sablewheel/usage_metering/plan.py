"""Settings of usage metering as plain values, made by the reader of the features file; spans in seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path


class Depth(Enum):
    """MEMORY: nothing outlives the process but what was exported. DURABLE: entries are on disk first."""

    MEMORY = "memory"
    DURABLE = "durable"


class Answers(Enum):
    """Whether a completed answer waits until its entry is durable, or leaves at once. Durable depth only."""

    AFTER_ENTRY = "after-entry"
    BEFORE_ENTRY = "before-entry"


class Length(Enum):
    """How long a period is."""

    HOUR = "hour"
    DAY = "day"
    MONTH = "month"


@dataclass(frozen=True)
class Calendar:
    """Periods: a time zone's name, a length, and how long after its end a period is kept open."""

    zone: str = "UTC"
    length: Length = Length.DAY
    lag: float = 3600.0


@dataclass(frozen=True)
class ExportPlan:
    """Where entries go, and with how much patience. Rests double from `first_rest` to `last_rest`."""

    address: tuple[str, int]
    answer_within: float = 5.0
    first_rest: float = 0.2
    last_rest: float = 30.0
    window_bytes: int = 1 << 18  # sent and not yet acknowledged


@dataclass(frozen=True)
class LedgerPlan:
    """Settings of usage metering in one server."""

    depth: Depth = Depth.MEMORY
    folder: Path | None = None
    answers: Answers = Answers.AFTER_ENTRY
    hold_most: float = 0.25  # how long an answer waits for its entry
    entries_most: int = 20_000  # kept one by one in memory; what is beyond is folded to totals
    totals_most: int = 5_000  # rows of totals; beyond it the oldest periods are joined
    disk_bytes_most: int = 1 << 30
    keep_bytes: int = 64 << 20  # acknowledged, and kept for a collector that was restored
    commit_every: float = 0.04  # two commits are at least so far apart: what comes meanwhile shares one
    block_every: float = 0.25
    calendar: Calendar = Calendar()
    export: ExportPlan | None = None


@dataclass(frozen=True)
class CollectorPlan:
    """The collector: its journal, its door, its periods. `customers` empty: any name is taken."""

    book: Path
    listen: tuple[str, int]
    calendar: Calendar = Calendar()
    customers: frozenset[str] = frozenset()
    frame_most: int = 1 << 22
    connections_most: int = 2048  # one a server, and for a while one of its predecessor
    silent_most: float = 600.0
    skew_most: float = 300.0
    close_every: float = 5.0
