"""What affinity is set to, as plain values; all spans are seconds."""

from __future__ import annotations

from dataclasses import dataclass, field

BROKEN = ("rehash-on-bump", "no-handover", "two-owners", "no-budget")


@dataclass(frozen=True)
class AffinitySettings:
    """Every period and bound; docs/affinity.md says what each does."""

    idle_timeout_s: float = 1800.0  # a session unused for longer has ended
    keep_versions: int = 3  # policy versions that sessions may go on under, the active one among them
    retire_after_s: float = 86400.0  # a version that is active no more is kept for so long at most
    migrations_per_s: float = 50.0  # of the whole fleet
    load_factor: float = 1.25  # no owner takes more than this times its fair share
    min_load_bound: int = 16  # the floor of a bound
    max_sessions: int = 100_000  # owned at once by one server
    max_cached_routes: int = 200_000  # remembered of others' sessions
    max_lookups: int = 4_096  # sessions whose owner is looked for at once
    max_waiting_requests: int = 64  # requests that wait for one session's owner
    retry_after_s: float = 0.2  # what a rejected keyed request is told at least
    offer_timeout_s: float = 0.5  # an offer unanswered for so long goes to the next server
    binding_timeout_s: float = 2.0  # the longest that requests wait for an owner
    handover_timeout_s: float = 3.0  # an owner waits so long for keyed runs; then they pass on as claims
    retry_interval_s: float = 0.25  # a step of a handover that is not answered is tried again
    claim_timeout_s: float = 0.5  # a claim won later is freed; a gone owner's sessions rest for so long
    drain_grace_fraction: float = 0.8  # of the grace, over which a drain spreads its moves
    faulty_variant: str = ""

    @property
    def binding_lifetime_s(self) -> float:
        """How long a binding stays in the register unrenewed: past any doubt that its session has ended."""
        return 2.0 * self.idle_timeout_s


@dataclass(frozen=True)
class AffinityPlan:
    """`fields`: what a session's key is made of."""

    fields: tuple[str, ...] = ("customer", "subject")
    settings: AffinitySettings = field(default_factory=AffinitySettings)
