"""The settings of the result store."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from pathlib import Path


class ColdStartRule(Enum):
    """How a server without stored runs handles keyed requests that an earlier incarnation may have run."""

    RUN = "run"  # run them: requests in flight at a kill are not the server's responsibility
    EARLY = "early"  # fail those that reached the host before this incarnation started
    STRICT = "strict"  # fail all until one idempotency window has passed
    WAIT = "wait"  # report that the server is not up until one idempotency window has passed


class UnreadableFolderRule(Enum):
    """How a server handles a folder that cannot be read."""

    REFUSE = "refuse"  # do not start the server
    COLD = "cold"  # start as with an empty folder, by the cold start rule


@dataclass(frozen=True)
class ResultStorePlan:
    """The settings of the result store in the features file."""

    folder: Path | None = None  # None without a persistent disk: only the cold start rule applies
    cold_start: ColdStartRule = ColdStartRule.RUN
    unreadable: UnreadableFolderRule = UnreadableFolderRule.REFUSE
    max_runs: int = 200_000
    max_bytes: int = 64 << 20
    max_disk_bytes: int = 512 << 20
    segment_bytes: int = 4 << 20
    commit_interval_s: float = 0.04
    max_answer_delay_s: float = 0.25  # longest time that an answer waits for its durable outcome
    interpreter_survives: bool = False  # whether the interpreter keeps running when the server restarts
