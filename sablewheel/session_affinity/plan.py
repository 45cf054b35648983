"""What affinity is set to, as plain values; all spans are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

BROKEN = ("rehash-on-bump", "no-handover", "two-owners", "no-budget")


@dataclass(frozen=True)
class Settings:
    """Every period and bound; docs/affinity.md says what each does."""

    idle: float = 1800.0  # a session unused for longer has ended
    keep_versions: int = 3  # policy versions that sessions may go on under, the active one among them
    retire_after: float = 86400.0  # a version that is active no more is kept for so long at most
    moves_per_s: float = 50.0  # of the whole fleet
    factor: float = 1.25  # no owner takes more than this times its fair share
    bound_least: int = 16  # the floor of a bound
    sessions_most: int = 100_000  # owned at once by one server
    routes_most: int = 200_000  # remembered of others' sessions
    seeks_most: int = 4_096  # sessions whose owner is looked for at once
    waiting_most: int = 64  # requests that wait for one session's owner
    retry_after_s: float = 0.2  # what a rejected keyed request is told at least
    offer_within: float = 0.5  # an offer unanswered for so long goes to the next server
    bind_within: float = 2.0  # the longest that requests wait for an owner
    handover_within: float = 3.0  # an owner waits so long for keyed runs; then they pass on as claims
    repeat: float = 0.25  # a step of a handover that is not answered is tried again
    claim_within: float = 0.5  # a claim won later is freed; a gone owner's sessions rest for so long
    drain_share: float = 0.8  # of the grace, over which a drain spreads its moves
    broken: str = ""

    @property
    def life(self) -> float:
        """How long a binding stays in the register unrenewed: past any doubt that its session has ended."""
        return 2.0 * self.idle


@dataclass(frozen=True)
class AffinityPlan:
    """`fields`: what a session's key is made of."""

    fields: tuple[str, ...] = ("customer", "subject")
    settings: Settings = field(default_factory=Settings)
