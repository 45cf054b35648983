"""The section `recall`: results of keyed requests that survive a restart."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from ...result_store.plan import ColdStartRule, ResultStorePlan, UnreadableFolderRule
from .section import Section


class RecallSection(Section):
    """Settings of the store of keyed runs and their results over restarts."""

    folder: str | None = None
    cold: Literal["run", "early", "strict", "wait"] = "run"
    unreadable: Literal["refuse", "cold"] = "refuse"
    entries_most: Annotated[int, Field(ge=100, le=10_000_000)] = 200_000
    memory_mb: Annotated[int, Field(ge=1, le=1 << 16)] = 64
    disk_mb: Annotated[int, Field(ge=8, le=1 << 20)] = 512
    segment_kb: Annotated[int, Field(ge=64, le=1 << 20)] = 4096
    commit_every_s: Annotated[float, Field(ge=0, le=1)] = 0.04
    hold_most_s: Annotated[float, Field(gt=0, le=5)] = 0.25
    interpreter_outlives: bool = False

    @model_validator(mode="after")
    def _check_consistency(self) -> RecallSection:
        if self.folder is None and self.cold == "run":
            raise ValueError(
                "without a folder and with cold: run, the section has no effect: nothing is stored or delayed"
            )
        if self.folder is not None and self.disk_mb * 1024 < 8 * self.segment_kb:
            raise ValueError(f"disk-mb {self.disk_mb} holds less than eight segments of {self.segment_kb} kB")
        return self

    def plan(self) -> ResultStorePlan:
        """Return the plan of the feature."""
        return ResultStorePlan(
            folder=Path(self.folder) if self.folder else None,
            cold_start=ColdStartRule(self.cold),
            unreadable=UnreadableFolderRule(self.unreadable),
            max_runs=self.entries_most,
            max_bytes=self.memory_mb << 20,
            max_disk_bytes=self.disk_mb << 20,
            segment_bytes=self.segment_kb << 10,
            commit_interval_s=self.commit_every_s,
            max_answer_delay_s=self.hold_most_s,
            interpreter_survives=self.interpreter_outlives,
        )
