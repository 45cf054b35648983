"""The settings of the result store, as plain values."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path


class ColdStartRule(Enum):
    """What a server without stored runs does with keyed requests that an earlier incarnation may have run."""

    RUN = "run"  # run them: what a killed server had in flight is no longer its duty
    EARLY = "early"  # fail those that had reached the host before this incarnation started
    STRICT = "strict"  # fail all until one idempotency window has passed
    WAIT = "wait"  # report that the server is not up until then


class UnreadableFolderRule(Enum):
    """What a server does whose folder cannot be read."""

    REFUSE = "refuse"  # do not start
    COLD = "cold"  # start as if it were empty, by the cold start rule


@dataclass(frozen=True)
class ResultStorePlan:
    """What the features file sets."""

    folder: Path | None = None  # None: no lasting disk, only the cold start rule applies
    cold_start: ColdStartRule = ColdStartRule.RUN
    unreadable: UnreadableFolderRule = UnreadableFolderRule.REFUSE
    max_runs: int = 200_000
    max_bytes: int = 64 << 20
    max_disk_bytes: int = 512 << 20
    segment_bytes: int = 4 << 20
    commit_interval_s: float = 0.04
    max_answer_delay_s: float = 0.25  # for which an answer waits until its outcome is durable
    interpreter_survives: bool = False  # whether the interpreter outlives a restart of the server
