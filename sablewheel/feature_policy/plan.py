"""What policies are set to, as plain values; all spans are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Rules:
    """Spans in seconds. `up_margin`: room for a flow's load so many times over is wanted to step up."""

    dwell_down: float = 2.0
    dwell_up: float = 20.0
    up_margin: float = 1.25
    rest: float = 10.0  # after any change, before one upwards
    settle: float = 2.0  # a view must last so long before its classes are translated for
    stagger: float = 5.0  # each member waits so long for the one before it in the view to do it
    translate_within: float = 120.0
    fetch_within: float = 1.0
    offer_every: float = 2.0
    retry_after_s: float = 2.0  # what rejected callers are told

    def __post_init__(self) -> None:
        if self.up_margin < 1:
            raise ValueError(f"up-margin {self.up_margin:g} must be at least 1")
        if self.dwell_up < self.dwell_down:
            raise ValueError(
                f"dwell-up-s {self.dwell_up:g} must be at least dwell-down-s {self.dwell_down:g}"
            )


@dataclass(frozen=True)
class PolicyPlan:
    """Settings of feature policies in one server.

    `file`: the operators' document, read at SIGHUP, and at the start of a fleet that has none; None: this
    member takes what others are given. `speed`: of one core against the reference core.
    """

    file: str | None = None
    speed: float = 1.0
    rules: Rules = field(default_factory=Rules)
    broken: str = ""
