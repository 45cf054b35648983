"""The settings of session affinity, as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field

FAULTY_VARIANTS = ("rehash-on-bump", "no-handover", "two-owners", "no-budget")


@dataclass(frozen=True)
class AffinitySettings:
    """Every period and bound; docs/affinity.md says what each does."""

    idle_timeout_s: float = 1800.0  # after which an unused session has ended
    keep_versions: int = 3  # policy versions that sessions may go on under, with the active one
    retire_after_s: float = 86400.0  # for which a superseded policy version is retained at most
    migrations_per_s: float = 50.0  # of the whole fleet
    load_factor: float = 1.25  # of its fair share, up to which a server takes sessions
    min_load_bound: int = 16
    max_sessions: int = 100_000  # owned at once by one server
    max_cached_routes: int = 200_000  # of other servers' sessions
    max_lookups: int = 4_096  # under way at once
    max_waiting_requests: int = 64  # for one session's owner
    retry_after_s: float = 0.2  # the least that a rejected keyed request is told
    offer_timeout_s: float = 0.5  # after which an offer goes to the next server
    binding_timeout_s: float = 2.0  # for which requests wait for an owner at most
    handover_timeout_s: float = 3.0  # after which a handover goes on with its open keyed runs as claims
    retry_interval_s: float = 0.25  # of a handover's step without an answer
    claim_timeout_s: float = 0.5  # after which a claim is freed; a removed owner is succeeded no earlier
    drain_grace_fraction: float = 0.8  # of the grace period, over which a drain spreads its handovers
    faulty_variant: str = ""  # one of FAULTY_VARIANTS, for experiments that must detect it

    @property
    def binding_lifetime_s(self) -> float:
        """How long the register retains a binding without renewal: longer than the session may be idle."""
        return 2.0 * self.idle_timeout_s


@dataclass(frozen=True)
class AffinityPlan:
    """What the features file sets."""

    fields: tuple[str, ...] = ("customer", "subject")  # of a request, which make up its session's key
    settings: AffinitySettings = field(default_factory=AffinitySettings)
