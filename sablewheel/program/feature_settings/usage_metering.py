"""The section `ledger`: usage metering in the server."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, model_validator

from ...usage_metering.plan import Answers, Depth, ExportPlan, LedgerPlan
from .periods import PeriodSection
from .section import Address, PositiveDurationS, Section, host_and_port


class ExportSection(Section):
    """Settings of the export of entries to the collector."""

    address: Address
    answer_within_s: PositiveDurationS = 5.0
    first_rest_s: PositiveDurationS = 0.2
    last_rest_s: PositiveDurationS = 30.0
    window_kb: Annotated[int, Field(ge=16, le=65536)] = 256

    @model_validator(mode="after")
    def _check_backoffs(self) -> ExportSection:
        if self.last_rest_s < self.first_rest_s:
            raise ValueError(
                f"last-rest-s {self.last_rest_s:g} is less than first-rest-s {self.first_rest_s:g}"
            )
        return self

    def plan(self) -> ExportPlan:
        """Return the plan of the export."""
        return ExportPlan(
            host_and_port(self.address),
            self.answer_within_s,
            self.first_rest_s,
            self.last_rest_s,
            self.window_kb * 1024,
        )


class LedgerSection(Section):
    """Settings of usage metering in the server."""

    depth: Literal["memory", "durable"]
    folder: str | None = None
    answers: Literal["after-entry", "before-entry"] = "after-entry"
    hold_most_s: Annotated[float, Field(gt=0, le=5)] = 0.25
    entries_most: Annotated[int, Field(ge=100, le=5_000_000)] = 20_000
    totals_most: Annotated[int, Field(ge=100, le=1_000_000)] = 5_000
    disk_mb: Annotated[int, Field(ge=1, le=1 << 20)] = 1024
    keep_mb: Annotated[int, Field(ge=0, le=1 << 20)] = 64
    commit_every_s: Annotated[float, Field(ge=0, le=1)] = 0.04
    block_every_s: Annotated[float, Field(ge=0.01, le=60)] = 0.25
    period: PeriodSection = PeriodSection()
    export: ExportSection | None = None

    @model_validator(mode="after")
    def _check_consistency(self) -> LedgerSection:
        if self.depth == "durable" and not self.folder:
            raise ValueError("folder is needed with depth: durable, on storage that outlives the process")
        if self.depth == "memory" and self.export is None:
            raise ValueError("export is needed with depth: memory, or nothing would ever leave the process")
        if self.depth == "durable" and self.commit_every_s >= self.hold_most_s:
            raise ValueError(
                f"commit-every-s {self.commit_every_s:g} must be less than hold-most-s {self.hold_most_s:g}"
            )
        if self.keep_mb >= self.disk_mb and self.depth == "durable":
            raise ValueError(f"keep-mb {self.keep_mb} leaves no room within disk-mb {self.disk_mb}")
        return self

    def plan(self) -> LedgerPlan:
        """Return the plan of the feature."""
        return LedgerPlan(
            depth=Depth(self.depth),
            folder=Path(self.folder) if self.folder else None,
            answers=Answers(self.answers),
            max_answer_delay_s=self.hold_most_s,
            max_entries=self.entries_most,
            max_total_rows=self.totals_most,
            max_disk_bytes=self.disk_mb << 20,
            retained_bytes=self.keep_mb << 20,
            commit_interval_s=self.commit_every_s,
            block_interval_s=self.block_every_s,
            calendar=self.period.plan(),
            export=self.export.plan() if self.export is not None else None,
        )
