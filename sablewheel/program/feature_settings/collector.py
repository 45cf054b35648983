"""The section `collector`: the program that collects usage from all servers."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import Field

from ...usage_metering.plan import CollectorPlan
from .periods import PeriodSection
from .section import Address, DurationS, PositiveDurationS, Section, host_and_port


class CollectorSection(Section):
    """Settings of `sablewheel ledger collect`, which is a separate program and not a part of the server."""

    book: str
    listen: Address
    period: PeriodSection = PeriodSection()
    customers: list[str] = Field(default_factory=list)
    frame_most_kb: Annotated[int, Field(ge=64, le=65536)] = 4096
    connections_most: Annotated[int, Field(ge=1, le=10_000)] = 2048
    silent_most_s: PositiveDurationS = 600.0
    skew_most_s: DurationS = 300.0
    close_every_s: PositiveDurationS = 5.0

    def plan(self) -> CollectorPlan:
        """Return the plan of the feature."""
        return CollectorPlan(
            journal_path=Path(self.book),
            listen=host_and_port(self.listen),
            calendar=self.period.plan(),
            customers=frozenset(self.customers),
            max_frame_bytes=self.frame_most_kb * 1024,
            max_connections=self.connections_most,
            idle_timeout_s=self.silent_most_s,
            max_clock_skew_s=self.skew_most_s,
            close_check_interval_s=self.close_every_s,
        )
