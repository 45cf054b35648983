"""The section `affinity`: the requests of a session go to one server."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field, field_validator, model_validator

from ...session_affinity.plan import AffinityPlan, AffinitySettings
from .section import Section


class AffinitySection(Section):
    """Settings of session affinity: the requests of a session go to one server."""

    needs = ("membership", "forwarding", "replication")

    key: tuple[Literal["customer", "subject", "router"], ...] = ("customer", "subject")
    idle_s: Annotated[float, Field(ge=1, le=86400 * 7)] = 1800.0
    keep_versions: Annotated[int, Field(ge=1, le=64)] = 3
    retire_after_s: Annotated[float, Field(ge=1, le=86400 * 31)] = 86400.0
    moves_per_s: Annotated[float, Field(gt=0, le=100_000)] = 50.0
    load_factor: Annotated[float, Field(gt=1, le=10)] = 1.25
    bound_least: Annotated[int, Field(ge=1, le=1_000_000)] = 16
    sessions_most: Annotated[int, Field(ge=1, le=10_000_000)] = 100_000
    routes_most: Annotated[int, Field(ge=1, le=10_000_000)] = 200_000
    seeks_most: Annotated[int, Field(ge=1, le=1_000_000)] = 4096
    waiting_most: Annotated[int, Field(ge=1, le=10_000)] = 64
    bind_within_s: Annotated[float, Field(ge=0.1, le=60)] = 2.0
    offer_within_s: Annotated[float, Field(ge=0.02, le=30)] = 0.5
    handover_within_s: Annotated[float, Field(ge=0, le=600)] = 3.0
    repeat_after_s: Annotated[float, Field(ge=0.02, le=30)] = 0.25
    claim_within_s: Annotated[float, Field(ge=0.02, le=30)] = 0.5
    come_back_s: Annotated[float, Field(ge=0, le=60)] = 0.2

    @field_validator("key", mode="before")
    @classmethod
    def _as_tuple(cls, value: Any) -> Any:
        return tuple(value) if isinstance(value, list) else value

    @model_validator(mode="after")
    def _check_consistency(self) -> AffinitySection:
        if not self.key or len(set(self.key)) != len(self.key):
            raise ValueError("key: expected one to three different fields, such as [customer, subject]")
        if self.offer_within_s > self.bind_within_s:
            raise ValueError(
                f"offer-within-s {self.offer_within_s:g} is more than bind-within-s {self.bind_within_s:g}"
            )
        return self

    def plan(self) -> AffinityPlan:
        """Return the plan of the feature."""
        settings = AffinitySettings(
            idle_timeout_s=self.idle_s,
            keep_versions=self.keep_versions,
            retire_after_s=self.retire_after_s,
            migrations_per_s=self.moves_per_s,
            load_factor=self.load_factor,
            min_load_bound=self.bound_least,
            max_sessions=self.sessions_most,
            max_cached_routes=self.routes_most,
            max_lookups=self.seeks_most,
            max_waiting_requests=self.waiting_most,
            retry_after_s=self.come_back_s,
            offer_timeout_s=self.offer_within_s,
            binding_timeout_s=self.bind_within_s,
            handover_timeout_s=self.handover_within_s,
            retry_interval_s=self.repeat_after_s,
            claim_timeout_s=self.claim_within_s,
        )
        return AffinityPlan(self.key, settings)
