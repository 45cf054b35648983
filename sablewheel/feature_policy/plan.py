"""Settings of feature policies as plain values; all durations are in seconds."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Rules:
    """Timing of the rollout, in seconds.

    `up_margin` is the multiple of a flow's load that the members must have capacity for before the flow steps
    up to a better fallback level.
    """

    dwell_down_s: float = 2.0  # how long capacity must be short before a step down
    dwell_up_s: float = 20.0  # how long capacity must suffice before a step up
    up_margin: float = 1.25
    step_up_cooldown_s: float = 10.0  # least time from any change to a step up
    settle_s: float = 2.0  # how long a view must be unchanged before its classes are translated
    stagger_s: float = 5.0  # delay per position in the view before a member acts if its predecessors did not
    translation_timeout_s: float = 120.0  # timeout of a translation
    fetch_timeout_s: float = 1.0  # timeout of one request for a chunk
    offer_interval_s: float = 2.0  # interval between offers
    retry_after_s: float = 2.0  # retry delay sent to rejected callers

    def __post_init__(self) -> None:
        if self.up_margin < 1:
            raise ValueError(f"up-margin {self.up_margin:g} must be at least 1")
        if self.dwell_up_s < self.dwell_down_s:
            raise ValueError(
                f"dwell-up-s {self.dwell_up_s:g} must be at least dwell-down-s {self.dwell_down_s:g}"
            )


@dataclass(frozen=True)
class PolicyPlan:
    """Settings of feature policies in one server.

    `file` is the path of the operators' document, read at SIGHUP and at the start of a fleet that has no
    policy; None if this member only takes policies from other members. `speed` is the speed of one core
    relative to the reference core. `faulty_variant` is one of FAULTY_VARIANTS, for experiments that
    must detect it.
    """

    file: str | None = None
    speed: float = 1.0
    rules: Rules = field(default_factory=Rules)
    faulty_variant: str = ""
