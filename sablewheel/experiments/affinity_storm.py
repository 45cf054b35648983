"""A storm of failures over a fleet in memory, drawn by a seed; then calm, in which all must be well.

Deaths, pauses, cuts to both sides or one, lost and doubled messages, a register without majority or whose
answers get lost, drains, versions, machines that can run less: one after another, with requests all the
while.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from ..overload.interface import Idempotency
from ..session_affinity.plan import AffinitySettings
from .affinity_fleet import Request, World

SPAN, CALM = 30.0, 14.0  # seconds of storm, and of calm before all is looked at
KINDS = (
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
class Storm:
    """What one seed came to."""

    world: World
    undecided: list[Request]  # requests without an outcome, in the end
    unserved: list[Request]  # keyed ones of the calm that were rejected, though there was room
    doubled: list[str]  # sessions that two servers hold, in the end
    over: list[str]  # servers above their room

    @property
    def wrong(self) -> list[str]:
        found = list(self.world.watch.wrong)
        found += [f"ticket {one.came.ref} has no outcome" for one in self.undecided]
        found += [f"in calm, ticket {one.came.ref} was denied: {one.why}" for one in self.unserved]
        found += [f"two servers hold {key}" for key in self.doubled]
        return found + [f"{name} holds more than it may" for name in self.over]


def storm(seed: int, broken: str = "", kind: type[World] = World) -> Storm:
    chance = random.Random(f"{seed}-storm")
    settings = AffinitySettings(
        faulty_variant=broken,
        idle_timeout_s=chance.choice([3.0, 30.0]),
        keep_versions=2,
        retire_after_s=6.0,
        migrations_per_s=chance.choice([5.0, 50.0]),
        handover_timeout_s=chance.choice([0.5, 3.0]),
        max_sessions=chance.choice([25, 1000]),
    )
    world = kind([f"m{place}" for place in range(chance.choice([3, 5, 7]))], settings, seed)
    world.run_takes = lambda: chance.choice([0.02, 0.05, 0.5, 1.5])
    keys = [f"k{place}" for place in range(chance.choice([5, 40]))]
    until = world.fleet.now + SPAN
    while world.fleet.now < until:
        for _ in range(chance.randrange(20, 120)):
            if world.alive:
                idempotency = chance.choice([Idempotency.IDEMPOTENT, Idempotency.KEYED])
                world.bring(chance.choice(world.alive), chance.choice(keys), idempotency)
            world.run(0.01)
        _strike(world, chance, chance.choice(KINDS))
    _calm(world)
    here = [name for name in world.alive if name in world.view]
    for key in keys * 2:  # at a pace that the budget bears
        world.bring(chance.choice(here), key, Idempotency.IDEMPOTENT)
        world.run(0.25)
    fresh = []
    for key in keys:
        fresh.append(world.bring(chance.choice(here), key, Idempotency.KEYED))
        world.run(0.1)
    world.run(8.0)
    bad = [one for one in fresh if one.outcome != "completed" and one.why not in ("full", "stale")]
    return Storm(
        world,
        [one for one in world.requests if not one.outcome],
        bad,
        [key for key in keys if sum(key in world.sessions(name).owned for name in world.alive) > 1],
        [name for name in world.alive if len(world.sessions(name).owned) > settings.max_sessions],
    )


def _calm(world: World) -> None:
    world.heal()
    world.no_majority, world.lose_answers = False, 0.0
    world.bump(world.policy.version + 1)
    for name in sorted(world.down):  # as operators would: holders that are gone for good are another story
        world.start(name)
    for link in world.fleet.links.values():
        link.drop = link.double = 0.0
    world.run(CALM)


def _strike(world: World, chance: random.Random, kind: str) -> None:
    up = [name for name in world.alive if name in world.view and name not in world.draining]
    down = sorted(world.down - set(world.alive))
    match kind:
        case "kill" if len(up) > 2:
            world.kill(chance.choice(up))
        case "start" if down:
            world.start(chance.choice(down))
        case "pause" if up:
            world.pause(chance.choice(up), chance.choice([0.4, 1.5, 5.0]))
        case "cut" if up:
            world.cut_off([chance.choice(up)])
        case "one way" if len(up) > 1:
            a, b = chance.sample(up, 2)
            world.fleet.cut([a], [b], both=chance.random() < 0.5)
        case "heal":
            world.heal()
            world.no_majority, world.lose_answers = False, 0.0
        case "bump" | "mandatory":
            world.bump(world.policy.version + 1, mandatory=kind == "mandatory")
        case "leave" if len(up) > 2:
            world.leave(chance.choice(up), chance.choice([1.0, 4.0]))
        case "majority":
            world.no_majority = chance.random() < 0.5
        case "answers":
            world.lose_answers = chance.choice([0.0, 0.3])
        case "loss":
            for a in up:
                for b in up:
                    link = world.fleet.link(a, b)
                    link.drop, link.double = chance.choice([0.0, 0.2]), chance.choice([0.0, 0.2])
        case "able":
            names = sorted(world.alive)
            most = chance.sample(names, max(1, len(names) - 1)) if names else []
            world.bump(world.policy.version, {"": frozenset(most)})
