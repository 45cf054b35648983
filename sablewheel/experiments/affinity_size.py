"""Affinity past this machine: the same sessions in a fleet in memory, to two hundred members.

No process and no clock but a made one. Sessions begin, three policy versions pass, a member is killed and
comes back cold, another drains; each move is looked for in the register's own history. Beside it, in the same
run, what hashing modulo N and plain rendezvous hashing without bindings do to the same sessions.
"""

from __future__ import annotations

import hashlib
import math
import random
from collections import Counter

from ..overload.interface import Idempotency
from ..session_affinity.plan import FAULTY_VARIANTS, AffinitySettings
from .affinity_fleet import World
from .result import ExperimentResult

__all__ = ["FAULTY_VARIANTS", "run"]

EACH = 20  # sessions a member
BUDGET = 2.0  # moves a second, of the whole fleet
GRACE = 10.0
RUNS = (0.02, 0.05, 0.3, 2.0)  # seconds that requests run


def _mark(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def modulo(key: str, names: list[str]) -> str:
    return names[_mark(key) % len(names)]


def rendezvous(key: str, names: list[str]) -> str:
    return max(names, key=lambda name: _mark(f"{key}|{name}"))


class Fleet:
    """A world and its traffic: each session a request in turn, from any member."""

    def __init__(self, n: int, seed: int, broken: str) -> None:
        settings = AffinitySettings(
            faulty_variant=broken, idle_timeout_s=600.0, keep_versions=4, migrations_per_s=BUDGET
        )
        self.chance = random.Random(f"{seed}-size")
        self.world = World([f"m{place:03}" for place in range(n)], settings, seed)
        self.world.run_takes = lambda: self.chance.choice(RUNS)
        self.keys = [f"session-{place}" for place in range(n * EACH)]
        self.turn = 0

    def go_on(self, span: float, a_second: float) -> None:
        """Requests in bursts: two of one session, at two members."""
        until = self.world.fleet.now + span
        while self.world.fleet.now < until:
            key = self.keys[self.turn % len(self.keys)]
            self.turn += 1
            for _ in range(2):
                idempotency = self.chance.choice([Idempotency.IDEMPOTENT, Idempotency.KEYED])
                self.world.bring(self.chance.choice(self.world.alive), key, idempotency)
            self.world.run(2.0 / a_second)

    def owners(self) -> dict[str, str]:
        return {key: self.world.owner(key) for key in self.keys}


def _burst(times: list[float]) -> int:
    """The most in any second."""
    return max((sum(at <= when < at + 1.0 for when in times) for at in times), default=0)


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    result = ExperimentResult("affinity-size")
    n = 40 if quick else 200
    fleet = Fleet(n, seed, broken)
    world, pace = fleet.world, n * 10.0
    fleet.go_on(len(fleet.keys) * 2 / pace, pace)
    world.run(3.0)
    begun, at = fleet.owners(), world.fleet.now
    result.check("every session has an owner", all(begun.values()), f"{len(begun)} sessions, {n} members")
    held = Counter(begun.values())
    bound = math.ceil(world.settings.load_factor * len(fleet.keys) / n) + 1
    most = max(held.values())
    limit = max(bound, world.settings.min_load_bound)
    good = most <= limit and not world.count("forced")
    result.check("no owner is above its bound", good, f"{most} of {limit}")

    for version in (2, 3, 4):
        world.bump(version)
        fleet.go_on(2.0, pace)
    moved = world.moves(at)
    result.check("over three bumps no session moves", not moved, f"{len(moved)} moved")

    names = sorted(world.alive)
    dead, at, before = names[n // 2], world.fleet.now, fleet.owners()
    mine = [key for key, owner in before.items() if owner == dead]
    world.kill(dead)
    for _ in range(30):  # its clients do not wait: each tries twice a second
        fleet.go_on(0.5, pace / 4)
        for key in mine:
            world.bring(fleet.chance.choice(world.alive), key, Idempotency.IDEMPOTENT)
    moved = world.moves(at)
    others = [one for one in moved if one[2] != dead]
    good = not others and len(moved) == len(mine) > 0
    result.check(
        "one is killed: its sessions move, of the others none",
        good,
        f"{len(moved)} of its {len(mine)}, {len(others)} of others",
    )
    burst, room = _burst([when for when, *_ in moved]), BUDGET + 4 * math.sqrt(BUDGET) + 1
    result.check(
        "no faster than the budget, by four deviations of turns by chance",
        burst <= room,
        f"most in a second {burst} of {room:.0f}",
    )

    at = world.fleet.now
    world.start(dead)
    fleet.go_on(8.0, pace)
    moved = [one for one in world.moves(at) if one[2] != dead]
    result.check("it returns cold and takes nothing back", not moved, f"{len(moved)} moved")

    leaver, at = names[n // 3], world.fleet.now
    theirs = [key for key, owner in fleet.owners().items() if owner == leaver]
    world.leave(leaver, GRACE)
    for _ in range(19):  # its clients have keyed work all the while
        fleet.go_on(0.5, pace / 4)
        for key in theirs:
            world.bring(fleet.chance.choice(world.alive), key, Idempotency.KEYED)
    world.run(0.4)
    left = len(world.sessions(leaver).owned)
    others = [one for one in world.moves(at) if one[2] not in (leaver, dead)]
    result.check(
        "one drains: all is handed over in its grace, no other moves",
        not left and not others,
        f"{left} left, {len(others)} of others",
    )
    fleet.go_on(3.0, pace)
    at = world.fleet.now
    fleet.go_on(6.0, pace)
    again = world.moves(at)
    result.check(
        "a second run over moves nothing", not [one for one in again if one[2] != dead], f"{len(again)} moved"
    )
    world.run(8.0)
    result.check(
        "two owners never ran a session's labelled work",
        not world.watch.wrong,
        world.watch.wrong[0] if world.watch.wrong else "",
    )
    waits = sum(not request.outcome for request in world.requests)
    result.check("every ticket has its outcome", not waits, f"{len(world.requests)} tickets")

    survivors = [name for name in names if name != dead]
    for title, place in (("modulo N", modulo), ("plain rendezvous", rendezvous)):
        there = {key: place(key, names) for key in fleet.keys}
        less = {key: place(key, survivors) for key in fleet.keys}
        lost = sum(there[key] != less[key] for key in fleet.keys)
        result.figures[f"{title}: moved by the death"] = lost
        result.figures[f"{title}: moved back by the return"] = lost
        result.figures[f"{title}: most at one"] = max(Counter(there.values()).values())
    result.figures["ours: moved by the death"] = sum(one == dead for one in before.values())
    result.figures["ours: moved back by the return"] = len(moved)
    result.figures["ours: most at one"] = most
    outcomes = Counter(f"{request.outcome} ({request.why})" for request in world.requests)
    for name, much in sorted(outcomes.items()):
        result.figures[name] = much
    return result
