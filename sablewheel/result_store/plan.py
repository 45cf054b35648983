"""What recall is set to, as plain values; all spans are seconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path


class Start(Enum):
    """What a server that remembers nothing does with keyed requests that a predecessor may have run.

    RUN: runs them; what a killed server held is no longer its duty. EARLY: terminates those that had reached
    the machine before it started. STRICT: terminates all until one window has passed. WAIT: says that it is
    not up for that long.
    """

    RUN = "run"
    EARLY = "early"
    STRICT = "strict"
    WAIT = "wait"


class Unreadable(Enum):
    """A folder that can't be read: REFUSE to start, or start as if it were empty, by the rule for `cold`."""

    REFUSE = "refuse"
    COLD = "cold"


@dataclass(frozen=True)
class RecallPlan:
    """One server's memory of its keyed runs. `folder` None: no lasting disk, only `cold` counts."""

    folder: Path | None = None
    cold: Start = Start.RUN
    unreadable: Unreadable = Unreadable.REFUSE
    entries_most: int = 200_000
    bytes_most: int = 64 << 20
    disk_bytes_most: int = 512 << 20
    segment_bytes: int = 4 << 20
    commit_every: float = 0.04
    hold_most: float = 0.25
    interpreter_outlives: bool = False
