"""Session affinity at larger sizes: a simulated fleet of up to two hundred members.

There are no processes and the clock is simulated. Sessions start, three policy versions are activated, a
member is killed and restarts cold, and another drains; migrations are read from the register's history. For
comparison, hashing modulo N and plain rendezvous hashing without bindings are applied to the same sessions.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import Counter

from ..overload.interface import Idempotency
from ..session_affinity.plan import FAULTY_VARIANTS, AffinitySettings
from .affinity_fleet import SessionCluster
from .result import ExperimentResult

__all__ = ["FAULTY_VARIANTS", "run"]

SESSIONS_PER_MEMBER = 20  # sessions
MIGRATIONS_PER_S = 2.0  # of the whole fleet
GRACE_S = 10.0
RUN_TIMES_S = (0.02, 0.05, 0.3, 2.0)  # drawn for each request


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def modulo(key: str, names: list[str]) -> str:
    return names[_hash(key) % len(names)]


def rendezvous(key: str, names: list[str]) -> str:
    return max(names, key=lambda name: _hash(f"{key}|{name}"))


class ClusterWorkload:
    """A simulated fleet and its traffic: the sessions send requests in turn, to random members."""

    def __init__(self, member_count: int, seed: int, broken: str) -> None:
        settings = AffinitySettings(
            faulty_variant=broken, idle_timeout_s=600.0, keep_versions=4, migrations_per_s=MIGRATIONS_PER_S
        )
        self.rng = random.Random(f"{seed}-size")
        self.cluster = SessionCluster([f"m{index:03}" for index in range(member_count)], settings, seed)
        self.cluster.next_run_duration_s = lambda: self.rng.choice(RUN_TIMES_S)
        self.keys = [f"session-{index}" for index in range(member_count * SESSIONS_PER_MEMBER)]
        self.next_index = 0

    def run_requests(self, duration_s: float, requests_per_s: float) -> None:
        """Send requests for a time in pairs: two of one session, each to a random member."""
        until = self.cluster.fleet.now + duration_s
        while self.cluster.fleet.now < until:
            key = self.keys[self.next_index % len(self.keys)]
            self.next_index += 1
            for _ in range(2):
                idempotency = self.rng.choice([Idempotency.IDEMPOTENT, Idempotency.KEYED])
                self.cluster.submit(self.rng.choice(self.cluster.alive), key, idempotency)
            self.cluster.run(2.0 / requests_per_s)

    def owners(self) -> dict[str, str]:
        return {key: self.cluster.owner(key) for key in self.keys}


def _max_per_second(times: list[float]) -> int:
    """Return the highest number of events within any second."""
    return max((sum(start <= time < start + 1.0 for time in times) for start in times), default=0)


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    result = ExperimentResult("affinity-size")
    member_count = 40 if quick else 200
    workload = ClusterWorkload(member_count, seed, broken)
    cluster, rate = workload.cluster, member_count * 10.0
    workload.run_requests(len(workload.keys) * 2 / rate, rate)
    cluster.run(3.0)
    owners, observed_since = workload.owners(), cluster.fleet.now
    result.check(
        "every session has an owner", all(owners.values()), f"{len(owners)} sessions, {member_count} members"
    )
    session_counts = Counter(owners.values())
    bound = math.ceil(cluster.settings.load_factor * len(workload.keys) / member_count) + 1
    max_sessions = max(session_counts.values())
    limit = max(bound, cluster.settings.min_load_bound)
    is_ok = max_sessions <= limit and not cluster.count("forced")
    result.check("no owner is above its bound", is_ok, f"{max_sessions} of {limit}")

    for version in (2, 3, 4):
        cluster.activate_policy(version)
        workload.run_requests(2.0, rate)
    migrations = cluster.migrations(observed_since)
    result.check("no session migrates over three policy versions", not migrations, f"{len(migrations)} moved")

    servers = sorted(cluster.alive)
    killed, observed_since, owners_before = servers[member_count // 2], cluster.fleet.now, workload.owners()
    killed_sessions = [key for key, owner in owners_before.items() if owner == killed]
    cluster.kill(killed)
    for _ in range(30):  # clients of its sessions keep sending, two requests a second each
        workload.run_requests(0.5, rate / 4)
        for key in killed_sessions:
            cluster.submit(workload.rng.choice(cluster.alive), key, Idempotency.IDEMPOTENT)
    migrations = cluster.migrations(observed_since)
    other_migrations = [migration for migration in migrations if migration[2] != killed]
    is_ok = not other_migrations and len(migrations) == len(killed_sessions) > 0
    result.check(
        "one server is killed: its sessions migrate, of the others none",
        is_ok,
        f"{len(migrations)} of its {len(killed_sessions)}, {len(other_migrations)} of others",
    )
    max_rate, rate_limit = (
        _max_per_second([when for when, *_ in migrations]),
        MIGRATIONS_PER_S + 4 * math.sqrt(MIGRATIONS_PER_S) + 1,
    )
    result.check(
        "no faster than the budget, plus four standard deviations",
        max_rate <= rate_limit,
        f"most in a second {max_rate} of {rate_limit:.0f}",
    )

    observed_since = cluster.fleet.now
    cluster.start(killed)
    workload.run_requests(8.0, rate)
    migrations = [migration for migration in cluster.migrations(observed_since) if migration[2] != killed]
    result.check("it restarts cold and takes no sessions back", not migrations, f"{len(migrations)} moved")

    drained, observed_since = servers[member_count // 3], cluster.fleet.now
    drained_sessions = [key for key, owner in workload.owners().items() if owner == drained]
    cluster.leave(drained, GRACE_S)
    for _ in range(19):  # clients of its sessions send keyed requests meanwhile
        workload.run_requests(0.5, rate / 4)
        for key in drained_sessions:
            cluster.submit(workload.rng.choice(cluster.alive), key, Idempotency.KEYED)
    cluster.run(0.4)
    remaining = len(cluster.sessions(drained).owned)
    other_migrations = [
        migration for migration in cluster.migrations(observed_since) if migration[2] not in (drained, killed)
    ]
    result.check(
        "one server drains: all its sessions are handed over in its grace period, of the others none",
        not remaining and not other_migrations,
        f"{remaining} left, {len(other_migrations)} of others",
    )
    workload.run_requests(3.0, rate)
    observed_since = cluster.fleet.now
    workload.run_requests(6.0, rate)
    repeated = cluster.migrations(observed_since)
    result.check(
        "repeating the requests migrates no session",
        not [migration for migration in repeated if migration[2] != killed],
        f"{len(repeated)} moved",
    )
    cluster.run(8.0)
    result.check(
        "two owners never ran a session's keyed requests at once",
        not cluster.checker.violations,
        cluster.checker.violations[0] if cluster.checker.violations else "",
    )
    open_count = sum(not request.outcome for request in cluster.requests)
    result.check("every request has its outcome", not open_count, f"{len(cluster.requests)} requests")

    survivors = [name for name in servers if name != killed]
    for title, choose_owner in (("modulo N", modulo), ("plain rendezvous", rendezvous)):
        owners_with_all = {key: choose_owner(key, servers) for key in workload.keys}
        owners_without = {key: choose_owner(key, survivors) for key in workload.keys}
        moved_count = sum(owners_with_all[key] != owners_without[key] for key in workload.keys)
        result.figures[f"{title}: moved by the death"] = moved_count
        result.figures[f"{title}: moved back by the return"] = moved_count
        result.figures[f"{title}: most at one"] = max(Counter(owners_with_all.values()).values())
    result.figures["ours: moved by the death"] = sum(owner == killed for owner in owners_before.values())
    result.figures["ours: moved back by the return"] = len(migrations)
    result.figures["ours: most at one"] = max_sessions
    outcomes = Counter(f"{request.outcome} ({request.reason})" for request in cluster.requests)
    for name, count in sorted(outcomes.items()):
        result.figures[name] = count
    return result
