"""The section `replication`: copies of keyed runs, bindings and documents on several members."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, Literal

from pydantic import Field, model_validator

from ...replication.plan import MAX_OUTCOMES, ReplicationPlan, Settings
from .section import Section

ENTRY_OVERHEAD_KB = 8  # of a packet: its key, group and digest have 1 kB each, its names 200 characters


class ReplicationSection(Section):
    """Settings of the replication of keyed runs, bindings and documents on several members each."""

    needs = ("membership", "forwarding")

    copies: Annotated[int, Field(ge=1, le=9)] = 3
    ranges: Annotated[int, Field(ge=64, le=65536)] = 1024
    entries_most: Annotated[int, Field(ge=100, le=10_000_000)] = 200_000
    memory_mb: Annotated[int, Field(ge=1, le=65536)] = 64
    result_most_kb: Annotated[int, Field(ge=0, le=512)] = 64
    claim_within_s: Annotated[float, Field(ge=0.02, le=30)] = 0.4
    repeat_after_s: Annotated[float, Field(ge=0.005, le=5)] = 0.08
    hold_most_s: Annotated[float, Field(ge=0, le=10)] = 0.25
    deny_after_s: Annotated[float, Field(ge=0.05, le=60)] = 0.3
    repair_every_s: Annotated[float, Field(ge=0.1, le=3600)] = 2.0
    cold: Literal["wait", "run"] = "wait"

    @model_validator(mode="after")
    def _check_consistency(self) -> ReplicationSection:
        if self.copies % 2 == 0:
            raise ValueError(
                f"copies {self.copies}: expected an odd number: one more tolerates no more losses"
            )
        if self.claim_within_s < 2 * self.repeat_after_s:
            raise ValueError(
                f"claim-within-s {self.claim_within_s:g} must be at least twice repeat-after-s "
                f"{self.repeat_after_s:g}, or one lost frame denies a ticket"
            )
        return self

    def conflicts(self, sections: Mapping[str, Any]) -> list[tuple[str, str]]:
        """Check that the largest entry fits into a frame: a larger one would never reach a replica."""
        frame_kb = sections["forwarding"].frame_most_kb
        largest_entry_kb = MAX_OUTCOMES * self.result_most_kb + ENTRY_OVERHEAD_KB
        if largest_entry_kb <= frame_kb:
            return []
        reason = (
            f"{MAX_OUTCOMES} results of {self.result_most_kb} kB and {ENTRY_OVERHEAD_KB} kB of an entry "
            f"don't fit into forwarding.frame-most-kb {frame_kb}"
        )
        return [("result-most-kb", reason)]

    def plan(self) -> ReplicationPlan:
        """Return the plan of the feature."""
        settings = Settings(
            copies=self.copies,
            slots=self.ranges,
            max_entries=self.entries_most,
            max_bytes=self.memory_mb << 20,
            max_result_bytes=self.result_most_kb << 10,
            claim_timeout_s=self.claim_within_s,
            initial_retry_s=self.repeat_after_s,
            repair_interval_s=self.repair_every_s,
            waits_after_cold_start=self.cold == "wait",
        )
        return ReplicationPlan(settings, self.hold_most_s, self.deny_after_s)
