"""Random faults in a simulated fleet with session affinity, then a calm period in which it must recover.

The seed selects kills, pauses, cuts in one or both directions, lost and duplicated messages, a register that
is unavailable or loses its answers, drains, policy versions, and servers that lose a capability. Requests are
sent throughout.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..overload.interface import Idempotency
from ..session_affinity.plan import AffinitySettings
from .affinity_fleet import Request, SessionCluster

STORM_S, CALM_S = 30.0, 14.0  # with faults, and without them before the final checks
FAULTS = (
    "kill",
    "start",
    "pause",
    "cut",
    "one way",
    "heal",
    "bump",
    "mandatory",
    "leave",
    "majority",
    "answers",
    "loss",
    "able",
)


@dataclass
class StormResult:
    """The outcome of one seed."""

    cluster: SessionCluster
    open_requests: list[Request]  # without an outcome at the end
    unserved_requests: list[Request]  # keyed, of the calm period, rejected despite free capacity
    sessions_with_two_owners: list[str]  # sessions that two servers hold at the end
    overfull_servers: list[str]  # servers above their session limit

    @property
    def violations(self) -> list[str]:
        violations = list(self.cluster.checker.violations)
        violations += [f"request {request.arrival.ref} has no outcome" for request in self.open_requests]
        violations += [
            f"in the calm period, request {request.arrival.ref} was denied: {request.reason}"
            for request in self.unserved_requests
        ]
        violations += [f"two servers hold {key}" for key in self.sessions_with_two_owners]
        return violations + [f"{name} holds more sessions than its limit" for name in self.overfull_servers]


def run_storm(
    seed: int, broken: str = "", cluster_type: type[SessionCluster] = SessionCluster
) -> StormResult:
    rng = random.Random(f"{seed}-storm")
    settings = AffinitySettings(
        faulty_variant=broken,
        idle_timeout_s=rng.choice([3.0, 30.0]),
        keep_versions=2,
        retire_after_s=6.0,
        migrations_per_s=rng.choice([5.0, 50.0]),
        handover_timeout_s=rng.choice([0.5, 3.0]),
        max_sessions=rng.choice([25, 1000]),
    )
    cluster = cluster_type([f"m{index}" for index in range(rng.choice([3, 5, 7]))], settings, seed)
    cluster.next_run_duration_s = lambda: rng.choice([0.02, 0.05, 0.5, 1.5])
    keys = [f"k{index}" for index in range(rng.choice([5, 40]))]
    storm_end = cluster.fleet.now + STORM_S
    while cluster.fleet.now < storm_end:
        for _ in range(rng.randrange(20, 120)):
            if cluster.alive:
                idempotency = rng.choice([Idempotency.IDEMPOTENT, Idempotency.KEYED])
                cluster.submit(rng.choice(cluster.alive), rng.choice(keys), idempotency)
            cluster.run(0.01)
        _inject_fault(cluster, rng, rng.choice(FAULTS))
    _calm(cluster)
    servers = [name for name in cluster.alive if name in cluster.view]
    for key in keys * 2:  # at a rate that the migration budget allows
        cluster.submit(rng.choice(servers), key, Idempotency.IDEMPOTENT)
        cluster.run(0.25)
    calm_requests = []
    for key in keys:
        calm_requests.append(cluster.submit(rng.choice(servers), key, Idempotency.KEYED))
        cluster.run(0.1)
    cluster.run(8.0)
    unserved = [
        request
        for request in calm_requests
        if request.outcome != "completed" and request.reason not in ("full", "stale")
    ]
    return StormResult(
        cluster,
        [request for request in cluster.requests if not request.outcome],
        unserved,
        [key for key in keys if sum(key in cluster.sessions(name).owned for name in cluster.alive) > 1],
        [name for name in cluster.alive if len(cluster.sessions(name).owned) > settings.max_sessions],
    )


def _calm(cluster: SessionCluster) -> None:
    cluster.heal()
    cluster.register_unavailable, cluster.answer_loss_share = False, 0.0
    cluster.activate_policy(cluster.policy.version + 1)
    # Restart terminated servers as operators would; permanently lost replicas are outside this experiment.
    for name in sorted(cluster.down):
        cluster.start(name)
    for link in cluster.fleet.links.values():
        link.drop = link.double = 0.0
    cluster.run(CALM_S)


def _inject_fault(cluster: SessionCluster, rng: random.Random, fault: str) -> None:
    running = [name for name in cluster.alive if name in cluster.view and name not in cluster.draining]
    terminated = sorted(cluster.down - set(cluster.alive))
    match fault:
        case "kill" if len(running) > 2:
            cluster.kill(rng.choice(running))
        case "start" if terminated:
            cluster.start(rng.choice(terminated))
        case "pause" if running:
            cluster.pause(rng.choice(running), rng.choice([0.4, 1.5, 5.0]))
        case "cut" if running:
            cluster.isolate([rng.choice(running)])
        case "one way" if len(running) > 1:
            a, b = rng.sample(running, 2)
            cluster.fleet.cut([a], [b], both=rng.random() < 0.5)
        case "heal":
            cluster.heal()
            cluster.register_unavailable, cluster.answer_loss_share = False, 0.0
        case "bump" | "mandatory":
            cluster.activate_policy(cluster.policy.version + 1, mandatory=fault == "mandatory")
        case "leave" if len(running) > 2:
            cluster.leave(rng.choice(running), rng.choice([1.0, 4.0]))
        case "majority":
            cluster.register_unavailable = rng.random() < 0.5
        case "answers":
            cluster.answer_loss_share = rng.choice([0.0, 0.3])
        case "loss":
            for a in running:
                for b in running:
                    link = cluster.fleet.link(a, b)
                    link.drop, link.double = rng.choice([0.0, 0.2]), rng.choice([0.0, 0.2])
        case "able":
            servers = sorted(cluster.alive)
            capable_servers = rng.sample(servers, max(1, len(servers) - 1)) if servers else []
            cluster.activate_policy(cluster.policy.version, {"": frozenset(capable_servers)})
