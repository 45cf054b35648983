"""Affinity's trial: real servers with an interpreter each, kiosks whose requests come to any of them, each
link through the fault relay.

Three policy versions pass; a server is killed and comes back cold; one drains; one is stopped past its
removal and woken. Where a session's keyed work ran is taken from the interpreters; what servers say of
moves and their causes, from their logs. Beside it, for the same sessions and the same death, hashing modulo N
and plain rendezvous hashing without bindings.
"""

from __future__ import annotations

import json
import math
import re
import shlex
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from contextlib import closing
from dataclasses import dataclass
from itertools import pairwise
from pathlib import Path

from ..session_affinity.plan import FAULTY_VARIANTS
from .affinity_size import modulo, rendezvous
from .fleet import LISTEN, Block
from .forwarding import LINK_PORT, LINK_RELAY_PORT, Scenario
from .replaced_parts import was_announced
from .result import ExperimentResult
from .testbed import PATIENCE, SETTINGS, Testbed, TestbedError

__all__ = ["FAULTY_VARIANTS", "run"]

SIZE = 5
KIOSKS = 30
BUDGET = 0.8  # moves a second
RATE = 80.0  # requests a second
ABANDON, WINDOW = 4.0, 6.0
CORES = 24
GRACE = 6.0
PAUSE = 6.0
FACTOR, LEAST = 1.25, 8
REQUEST_CLASSES = {"lookup": {"share": 0.5}, "record": {"share": 0.5, "keyed": True}}
WORK = {"lookup": 0.01, "record": 1.0}  # keyed runs last: a second owner would meet one
CLASSES = [
    {"name": "lookup", "on-time-s": 2.0, "deadline-s": ABANDON, "repeat": "safe"},
    {"name": "record", "on-time-s": 2.0, "deadline-s": ABANDON, "repeat": "keyed", "window-s": WINDOW},
]
KEYS: dict[str, object] = {
    "period-s": 0.25,
    "probe-timeout-s": 0.1,
    "found-after-s": 1.0,
    "join-every-s": 0.3,
    "vote-timeout-s": 0.5,
    "sync-every-s": 1.0,
}
MOVED = re.compile(
    r"^time=(\S+) level=\S+ from=session_affinity\.session_router event=\"session migrated\" (.*)$"
)


@dataclass(frozen=True)
class Keyed:
    """One keyed run, as its interpreter saw it."""

    kiosk: str
    at: str
    begun: float
    ended: float


@dataclass(frozen=True)
class Move:
    """What a server's log says: that it took a session, and why. `when` is monotonic."""

    when: float
    cause: str
    was: str


class Sessions(Scenario):
    """The fleet with all that affinity stands on."""

    broken = ""
    victim = "m2"  # whom the trial kills

    def busiest(self) -> str:
        """Whose interpreter ran most so far, of those that the trial has no other plans with."""
        others = [name for name in self.names if name not in ("m1", "m3")]
        return max(others, key=lambda name: sum(1 for _ in self.testbed.runs(name)))

    @property
    def version(self) -> Path:
        return self.testbed.folder / "version"

    def features(self, name: str) -> str:
        place = self.names.index(name)
        lines = ["forwarding:", f"  listen: {self.host(name)}:{LINK_PORT}"]
        lines += [f"  advertise: {self.relay_host}:{LINK_RELAY_PORT + place}", "replication:", "  copies: 3"]
        lines += ["affinity:", "  idle-s: 600", "  keep-versions: 5", f"  moves-per-s: {BUDGET:g}"]
        lines += [f"  load-factor: {FACTOR}", f"  bound-least: {LEAST}"]
        return super(Scenario, self).features(name) + "\n".join([*lines, ""])

    def start(self, name: str) -> None:
        path = self.testbed.folder / f"{name}.yaml"
        path.write_text(self.features(name))
        safety = {**SETTINGS["safety"], "drain-grace-s": GRACE}
        extra = {**SETTINGS["extra"], "cores": CORES}
        told = self.testbed.configuration(
            name,
            LISTEN,
            self.vms[name],
            name=name,
            listen=f"{self.host(name)}:{LISTEN}",
            stop_ms=int(1000 * (GRACE + 2.0)),
            settings={"classes": CLASSES, "servers": self.size, "safety": safety, "extra": extra},
        )
        words = ("sablewheel.experiments.affinity_server", str(self.version), self.broken)
        self.processes[name] = self.testbed.start(
            name, *words, shifted=False, RELAY_CONFIG=str(told), SABLEWHEEL_FEATURES=str(path)
        )

    def moves(self) -> list[Move]:
        apart = time.time() - time.monotonic()
        found = []
        for name in self.names:
            path = self.testbed.folder / f"{name}.log"
            for line in path.read_text(errors="replace").splitlines() if path.exists() else ():
                if seen := MOVED.match(line):
                    pairs = dict(word.split("=", 1) for word in shlex.split(seen[2]) if "=" in word)
                    found.append(Move(float(seen[1]) - apart, pairs["cause"], pairs.get("owner", "")))
        return sorted(found, key=lambda one: one.when)

    def runs(self, keyed: bool = True) -> Iterator[Keyed]:
        """Keyed runs, or all, by the interpreters' word; one without an end is open to the last."""
        held = [one for one in self.testbed.held("client") if one["name"]]
        kiosks = {one["name"]: one["kiosk"] for one in held if one["label"] or not keyed}
        for name in self.names:
            begun: dict[str, float] = {}
            for word, request, when in self.testbed.runs(name):
                if request not in kiosks:
                    continue
                if word == "begin":
                    begun[request] = when
                elif (since := begun.pop(request, None)) is not None:
                    yield Keyed(kiosks[request], name, since, when)
            for request, since in begun.items():
                yield Keyed(kiosks[request], name, since, since + WORK["record"])


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """The trial; `broken` names a fault put into the servers on purpose."""
    result = ExperimentResult("affinity")
    marks: dict[str, float] = {}
    with Testbed(seed) as testbed, closing(Block()) as block:
        scenario = Sessions(testbed, block.second, "ours", 0, SIZE, seed, keys=KEYS, work=WORK, cores=CORES)
        scenario.broken = broken
        for name in scenario.names:
            scenario.start(name)
        for name in scenario.names:
            scenario.wait_until_up(name)
        if scenario.wait_agreed(scenario.names, PATIENCE) is None:
            raise TestbedError(f"no view: {scenario.processes['m0'].tail()}")
        time.sleep(WINDOW + 3.0)  # nobody can know what an earlier fleet ran: all windows pass first
        calm = 3.0 if quick else 8.0
        faults = _draw_faults(calm)
        seconds = sum(span for span, _ in faults)
        client = testbed.start(
            "client",
            "sablewheel.experiments.affinity_client",
            _client(scenario, seed, seconds),
            shifted=False,
        )
        for span, what in faults:
            marks[what] = time.monotonic()
            ACTS.get(what, _nothing)(scenario)
            time.sleep(max(marks[what] + span - time.monotonic(), 0.0))
        marks["end"] = time.monotonic()
        client.popen.wait(60)
        for name in scenario.names:
            if scenario.processes[name].alive:
                scenario.processes[name].leave()
        time.sleep(0.1)
        _check_promises(scenario, result, marks)
        scenario.relay.close()
    return result


def _draw_faults(calm: float) -> list[tuple[float, str]]:
    """How long each part lasts, and what it begins with."""
    turn = 2.0 * KIOSKS / RATE
    return [
        (max(2 * turn, 4.0), "begin"),
        (calm, "bump 2"),
        (calm, "bump 3"),
        (calm, "bump 4"),
        (15.0, "kill"),
        (6.0, "return"),
        (GRACE + 2.0, "drain"),
        (6.0, "back"),
        (PAUSE + 5.0, "pause"),
        (5.0, "calm"),
        (calm + 2.0, "again"),
    ]


def _nothing(scenario: Sessions) -> None: ...


def _bump(version: int) -> Callable[[Sessions], object]:
    def do(scenario: Sessions) -> None:
        scenario.version.write_text(f"{version}\n")

    return do


def _pause(scenario: Sessions) -> None:
    scenario.stop("m3")
    time.sleep(PAUSE)
    scenario.go_on("m3")


def _kill(scenario: Sessions) -> None:
    scenario.victim = scenario.busiest()
    scenario.processes[scenario.victim].kill()


def _back(scenario: Sessions) -> None:
    scenario.processes["m1"].popen.wait(10)
    scenario.start("m1")


ACTS: dict[str, Callable[[Sessions], object]] = {
    "bump 2": _bump(2),
    "bump 3": _bump(3),
    "bump 4": _bump(4),
    "kill": _kill,
    "return": lambda scenario: scenario.start(scenario.victim),
    "drain": lambda scenario: scenario.processes["m1"].popen.terminate(),
    "back": _back,
    "pause": _pause,
}


def _client(scenario: Sessions, seed: int, seconds: float) -> str:
    told = {
        "servers": [f"{scenario.host(name)}:{LISTEN}" for name in scenario.names],
        "seed": seed,
        "rate": RATE,
        "seconds": seconds,
        "tenants": {"any": 1.0},
        "request_classes": REQUEST_CLASSES,
        "kiosks": KIOSKS,
        "log": str(scenario.testbed.folder / "client.held"),
        "patience_end": ABANDON + 2.0,
    }
    return json.dumps(told)


def _check_promises(scenario: Sessions, result: ExperimentResult, marks: dict[str, float]) -> None:
    for name in scenario.names:
        log = scenario.testbed.folder / f"{name}.log"
        part = scenario.broken or "version-from-file"
        result.require(f"{name} runs as {part}", was_announced(log, part))
    runs = sorted(scenario.runs(), key=lambda one: one.begun)
    moves = [one for one in scenario.moves() if one.when < marks["end"]]
    order = [*sorted(marks, key=lambda what: marks[what])]
    after = dict(pairwise(order))

    def within(what: str) -> tuple[float, float]:
        return marks[what], marks[after[what]]

    def changes(since: float, until: float) -> list[tuple[str, str, str]]:
        """Kiosks whose keyed work went to another server, by the interpreters."""
        last: dict[str, str] = {}
        found = []
        for one in runs:
            if one.begun >= until:
                break
            if one.begun >= since and last.get(one.kiosk, one.at) != one.at:
                found.append((one.kiosk, last[one.kiosk], one.at))
            last[one.kiosk] = one.at
        return found

    begun = {one.kiosk: one.at for one in scenario.runs(keyed=False) if one.begun < marks["bump 2"]}
    held = Counter(begun.values())
    result.check("every session has its server", len(begun) == KIOSKS, f"{len(begun)} of {KIOSKS}")
    bound = max(LEAST, math.ceil(FACTOR * (KIOSKS + 1) / SIZE))
    result.check(
        "no owner is above its bound",
        bool(held) and max(held.values()) <= bound,
        f"{max(held.values(), default=0)} of {bound}",
    )
    bumped = changes(marks["bump 2"], marks["kill"])
    said = [one for one in moves if marks["bump 2"] <= one.when < marks["kill"]]
    result.check(
        "over three bumps no session moves",
        not bumped and not said,
        f"{len(bumped)} by the runs, {len(said)} by the logs",
    )
    _death(scenario, result, runs, moves, changes(*within("kill")), within("kill"))
    back = changes(*within("return"))
    stray = [one for one in back if one[1] != scenario.victim]
    result.check("its return moves nothing", not stray, f"{len(stray)}")
    drained = changes(marks["drain"], marks["pause"])
    stray = [one for one in drained if one[1] not in ("m1", scenario.victim)]
    left = [one for one in moves if one.was == "m1" and one.when > marks["back"]]
    by = Counter(one.cause for one in moves if one.was == "m1" and one.when >= marks["drain"])
    result.check(
        "a drain hands over all within its grace, and no other moves",
        by["drain"] > 0 and not left and not stray,
        f"{dict(by)}, {len(left)} later, {len(stray)} of others",
    )
    known = ("m1", scenario.victim, "m3")  # whose sessions may be seen moving this late
    paused = [one for one in changes(marks["pause"], marks["again"]) if one[1] not in known]
    result.check("a pause past removal moves its sessions only", not paused, f"{len(paused)} of others")
    again = changes(*within("again"))
    result.check("a second run over moves nothing", not again, f"{len(again)}")
    _overlaps(scenario, result, runs, marks)
    tries = [one for one in scenario.testbed.held("client") if one["how"] != "second"]
    seconds = sum(one["how"] == "second" for one in scenario.testbed.held("client"))
    result.check("no ticket has two answers", not seconds, seconds)
    how = Counter(f"{one['how']} {one['track']}" for one in tries)
    for name, much in sorted(how.items()):
        result.figures[name] = much
    calm = marks["kill"] - 2.0  # what was open when it was killed may be lost
    quiet = [one for one in tries if one["from"] < calm or one["from"] >= marks["again"]]
    good = sum(one["how"] == "completed" for one in quiet) / max(len(quiet), 1)
    rest = Counter(
        f"{one['how']} in {max((what for what in order if marks[what] <= one['from']), key=order.index)}"
        for one in quiet
        if one["how"] != "completed" and one["from"] >= marks["begin"]
    )
    result.check(
        "where nothing fails nearly all are served", good >= 0.98, f"{good:.4f} of {len(quiet)}, {dict(rest)}"
    )
    for cause, much in sorted(Counter(one.cause for one in moves).items()):
        result.figures[f"moved: {cause}"] = much


def _death(
    scenario: Sessions,
    result: ExperimentResult,
    runs: list[Keyed],
    moves: list[Move],
    changed: list[tuple[str, str, str]],
    span: tuple[float, float],
) -> None:
    """One of the servers was killed: whose sessions move, how fast, and what others would have moved."""
    since, until = span
    owners = {one.kiosk: one.at for one in runs if one.begun < since}
    mine = {kiosk for kiosk, at in owners.items() if at == scenario.victim}
    stray = [one for one in changed if one[1] != scenario.victim]
    moved = {kiosk for kiosk, was, _ in changed if was == scenario.victim}
    result.check(
        "one of the servers is killed: its sessions move, of the others none",
        bool(mine) and moved == mine and not stray,
        f"{len(moved)} of its {len(mine)}, {len(stray)} of others",
    )
    times = [one.when for one in moves if since <= one.when < until and one.cause == "removed"]
    burst = max((sum(at <= when < at + 1.0 for when in times) for at in times), default=0)
    room = BUDGET + 4 * math.sqrt(BUDGET)
    result.check(
        "no faster than the budget, by four deviations of turns by chance",
        0 < burst <= room,
        f"most in a second {burst} of {room:.0f}",
    )
    keys = [f"kiosk-{number}" for number in range(KIOSKS)]
    rest = [name for name in scenario.names if name != scenario.victim]
    result.figures["ours: moved by the death"] = len(moved)
    for title, place in (("modulo N", modulo), ("plain rendezvous", rendezvous)):
        lost = sum(place(key, scenario.names) != place(key, rest) for key in keys)
        result.figures[f"{title}: moved by the death"] = lost
        result.figures[f"{title}: moved back by the return"] = lost


def _overlaps(
    scenario: Sessions, result: ExperimentResult, runs: list[Keyed], marks: dict[str, float]
) -> None:
    """Two servers at one session's keyed work; what one had begun before it died or stopped goes on as a
    claim."""
    woken = marks["pause"] + PAUSE + 2.0
    gone = {scenario.victim: (marks["kill"], marks["return"]), "m3": (marks["pause"], woken)}
    by_kiosk: dict[str, list[Keyed]] = defaultdict(list)
    for one in runs:
        by_kiosk[one.kiosk].append(one)
    found = []
    for those in by_kiosk.values():
        for place, one in enumerate(those):
            for other in those[place + 1 :]:
                if other.begun >= one.ended or other.at == one.at:
                    continue
                since, until = gone.get(one.at, (math.inf, -math.inf))
                if not (one.begun <= since + 0.1 and one.ended <= until):
                    found.append((one, other))
    result.check(
        "two servers never run one session's labelled work",
        not found,
        f"{len(found)}" + (f", as {found[0]}" if found else f" of {len(runs)} runs"),
    )
    idempotency_keys: Counter[str] = Counter()
    own = {one["name"]: one["label"] for one in scenario.testbed.held("client") if one.get("label")}
    for name in scenario.names:
        for word, request, _ in scenario.testbed.runs(name):
            if word == "begin" and request in own:
                idempotency_keys[own[request]] += 1
    twice = sum(much > 1 for much in idempotency_keys.values())
    result.check("no label runs twice", not twice, f"{twice} of {len(idempotency_keys)}")
