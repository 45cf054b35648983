"""The settings of session affinity, as plain values."""

from __future__ import annotations

from dataclasses import dataclass, field

FAULTY_VARIANTS = ("rehash-on-bump", "no-handover", "two-owners", "no-budget")


@dataclass(frozen=True)
class AffinitySettings:
    """All periods and bounds of session affinity; docs/affinity.md describes them."""

    idle_timeout_s: float = 1800.0  # an unused session ends after this time
    keep_versions: int = 3  # number of retained policy versions, including the active one
    retire_after_s: float = 86400.0  # longest time that a superseded policy version is retained
    migrations_per_s: float = 50.0  # limit for the whole fleet
    load_factor: float = 1.25  # load bound of a server, as a multiple of its fair share
    min_load_bound: int = 16  # lowest load bound of a server with the mean weight
    max_sessions: int = 100_000  # owned by one server at the same time
    max_cached_routes: int = 200_000  # cached bindings of other servers' sessions
    max_lookups: int = 4_096  # in progress at the same time
    max_waiting_requests: int = 64  # for the owner of one session
    retry_after_s: float = 0.2  # shortest retry delay sent with a rejected keyed request
    offer_timeout_s: float = 0.5  # an unanswered offer goes to the next server after this time
    binding_timeout_s: float = 2.0  # longest time that requests wait for an owner
    handover_timeout_s: float = 3.0  # open keyed runs of a handover continue as claims after this time
    retry_interval_s: float = 0.25  # between the retries of an unanswered handover step
    claim_timeout_s: float = 0.5  # a claim is freed after this time, and a removed owner replaced no earlier
    drain_grace_fraction: float = 0.8  # part of the grace period over which a drain spreads its handovers
    faulty_variant: str = ""  # one of FAULTY_VARIANTS, for experiments that must detect it

    @property
    def binding_lifetime_s(self) -> float:
        """How long the register retains a binding without renewal; longer than the idle timeout."""
        return 2.0 * self.idle_timeout_s


@dataclass(frozen=True)
class AffinityPlan:
    """The settings in the features file."""

    fields: tuple[str, ...] = ("customer", "subject")  # request fields that form the session key
    settings: AffinitySettings = field(default_factory=AffinitySettings)
