"""The section `policy`: the operators' routing policy."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field, model_validator

from ...feature_policy.plan import PolicyPlan, Rules
from .section import Section


class PolicySection(Section):
    """Settings of the operators' routing policy, which is translated for each hardware class."""

    needs = ("membership", "forwarding")

    file: str | None = None
    speed: Annotated[float, Field(ge=0.01, le=100)] = 1.0
    dwell_down_s: Annotated[float, Field(ge=0, le=600)] = 2.0
    dwell_up_s: Annotated[float, Field(ge=0, le=3600)] = 20.0
    up_margin: Annotated[float, Field(ge=1, le=10)] = 1.25
    rest_s: Annotated[float, Field(ge=0, le=3600)] = 10.0
    settle_s: Annotated[float, Field(ge=0, le=600)] = 2.0
    stagger_s: Annotated[float, Field(ge=0.1, le=600)] = 5.0
    translate_within_s: Annotated[float, Field(ge=1, le=3600)] = 120.0
    fetch_within_s: Annotated[float, Field(ge=0.05, le=60)] = 1.0
    offer_every_s: Annotated[float, Field(ge=0.1, le=600)] = 2.0
    come_back_s: Annotated[float, Field(ge=0, le=600)] = 2.0

    @model_validator(mode="after")
    def _check_consistency(self) -> PolicySection:
        self.plan()  # Rules raises ValueError if its values are inconsistent
        return self

    def plan(self) -> PolicyPlan:
        """Return the plan of the feature."""
        rules = Rules(
            dwell_down_s=self.dwell_down_s,
            dwell_up_s=self.dwell_up_s,
            up_margin=self.up_margin,
            step_up_cooldown_s=self.rest_s,
            settle_s=self.settle_s,
            stagger_s=self.stagger_s,
            translation_timeout_s=self.translate_within_s,
            fetch_timeout_s=self.fetch_within_s,
            offer_interval_s=self.offer_every_s,
            retry_after_s=self.come_back_s,
        )
        return PolicyPlan(self.file, self.speed, rules)
