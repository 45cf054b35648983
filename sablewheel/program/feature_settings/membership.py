"""The section `membership`: agreement on which servers of the fleet are alive."""

from __future__ import annotations

from typing import Annotated

from pydantic import AfterValidator, Field, model_validator

from ...membership.plan import MembershipPlan, Settings
from .section import Address, Section


def _check_place(text: str) -> str:
    if not text.isprintable() or len(text) > 64:
        raise ValueError("expected a name of at most 64 printable characters")
    return text


Place = Annotated[str, AfterValidator(_check_place)]


class MembershipSection(Section):
    """Settings of the agreement on which servers of the fleet are alive."""

    listen: Address
    advertise: Address | None = None
    zone: Place = ""
    region: Place = ""
    seeds: Annotated[list[Address], Field(min_length=1, max_length=64)]
    period_s: Annotated[float, Field(ge=0.05, le=60)] = 0.5
    probe_timeout_s: Annotated[float, Field(ge=0.01, le=30)] = 0.2
    indirect: Annotated[int, Field(ge=0, le=16)] = 3
    observers: Annotated[int, Field(ge=1, le=32)] = 5
    high: Annotated[int, Field(ge=1, le=32)] = 3
    low: Annotated[int, Field(ge=1, le=32)] = 1
    suspicion_periods: Annotated[float, Field(ge=1, le=1000)] = 5.0
    suspicion_stretch: Annotated[float, Field(ge=1, le=100)] = 6.0
    confirmations: Annotated[int, Field(ge=0, le=32)] = 3
    health_most: Annotated[int, Field(ge=0, le=64)] = 8
    retransmit: Annotated[int, Field(ge=1, le=16)] = 3
    news_most: Annotated[int, Field(ge=1, le=256)] = 16
    sync_every_s: Annotated[float, Field(ge=0.1, le=3600)] = 5.0
    vote_timeout_s: Annotated[float, Field(ge=0.05, le=600)] = 2.0
    settle_s: Annotated[float, Field(ge=0, le=600)] = 3.0
    join_every_s: Annotated[float, Field(ge=0.05, le=600)] = 1.0
    found_after_s: Annotated[float, Field(ge=0, le=600)] = 3.0
    found_least: Annotated[int, Field(ge=1, le=100_000)] = 1

    @model_validator(mode="after")
    def _check_consistency(self) -> MembershipSection:
        if self.probe_timeout_s > 0.5 * self.period_s:
            raise ValueError(
                f"probe-timeout-s {self.probe_timeout_s:g} must be at most half of "
                f"period-s {self.period_s:g}, so that indirect probes have the other half"
            )
        if self.high > self.observers:
            raise ValueError(f"high {self.high} is more than observers {self.observers}")
        if self.low > self.high:
            raise ValueError(f"low {self.low} is more than high {self.high}")
        if self.listen.startswith("0.0.0.0:") and self.advertise is None:
            raise ValueError(
                "advertise is needed with listen on 0.0.0.0: members need an address to connect to"
            )
        if len(set(self.seeds)) < len(self.seeds):
            raise ValueError("seeds: duplicate address")
        return self

    def plan(self) -> MembershipPlan:
        """Return the plan of the feature."""
        host, _, port = self.listen.rpartition(":")
        settings = Settings(
            period_s=self.period_s,
            probe_timeout_s=self.probe_timeout_s,
            indirect_probes=self.indirect,
            observers=self.observers,
            high_watermark=self.high,
            low_watermark=self.low,
            min_suspicion_periods=self.suspicion_periods,
            max_suspicion_ratio=self.suspicion_stretch,
            confirmations=self.confirmations,
            max_health_score=self.health_most,
            retransmit_factor=self.retransmit,
            max_updates_per_message=self.news_most,
            sync_interval_s=self.sync_every_s,
            vote_timeout_s=self.vote_timeout_s,
            max_settle_s=self.settle_s,
            join_interval_s=self.join_every_s,
            found_delay_s=self.found_after_s,
            min_founders=self.found_least,
        )
        return MembershipPlan(
            listen=(host, int(port)),
            advertise=self.advertise or self.listen,
            zone=self.zone,
            region=self.region,
            seeds=tuple(self.seeds),
            settings=settings,
        )
