"""The forward path's trial: four servers that pass most of their requests to one another, each with an
interpreter and routers of its own, each link through the fault relay.

Links are cut both ways and one way and made slow; servers are stopped for longer than a request's time,
killed, and started again cold, all while requests are passed. What interpreters began is set against what
routers sent.
"""

from __future__ import annotations

import contextlib
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import closing
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..protocol.resp import Parser
from . import client_protocol as wire
from .fleet import DOOR, LISTEN, PORT, Block, Fleet, Relay
from .replaced_parts import was_announced
from .result import ExperimentResult
from .testbed import PATIENCE, Testbed, TestbedError, free_port

FAULTY_VARIANTS = ("twice", "no-shrink", "no-return")
LINK = 7702
LINK_DOOR = DOOR + 50
SIZE = 4
ABANDON = 2.0
SLACK = 0.3  # what a busy machine may add to a time that was kept
PAUSE = ABANDON + 0.6
SLOW = 0.08  # seconds that a slow link takes at least
YOUNGER = SLOW / 2  # than it is, a request may be taken for: less than one slow hop
SHARE_LEAST = 0.95
REQUEST_CLASSES = {
    "lookup": {"share": 0.5},
    "record": {"share": 0.25, "keyed": True},
    "stamp": {"share": 0.25},
}
WORK = {"lookup": 0.03, "record": 0.1, "stamp": 0.5}  # long runs, so that links break with some under way
CLASSES = [
    {"name": "lookup", "on-time-s": 1.0, "deadline-s": ABANDON, "repeat": "safe"},
    {"name": "record", "on-time-s": 1.0, "deadline-s": ABANDON, "repeat": "keyed", "window-s": 6.0},
    {"name": "stamp", "on-time-s": 1.8, "deadline-s": ABANDON, "repeat": "unsafe"},
]
KEYS: dict[str, object] = {
    "period-s": 0.5,
    "probe-timeout-s": 0.25,
    "found-after-s": 1.0,
    "join-every-s": 0.3,
    "vote-timeout-s": 0.5,
    "sync-every-s": 1.0,
}


@dataclass
class Scenario(Fleet):
    """The fleet with a forward path: a second door each, and an interpreter each."""

    work: dict[str, float] = field(default_factory=lambda: dict(WORK))
    cores: int = 8
    vms: dict[str, int] = field(default_factory=dict)
    spans: dict[str, list[tuple[str, float, float]]] = field(default_factory=dict)  # fault: whom, from, to

    def __post_init__(self) -> None:
        self.names = [f"m{number}" for number in range(self.size)]
        self.relay_host = f"127.{self.block}.{self.place}.250"
        self.doors = {name: f"{self.relay_host}:{DOOR + place}" for place, name in enumerate(self.names)}
        doors = [
            {"owner": name, "port": door + place, "to": f"{self.host(name)}:{port}"}
            for door, port in ((DOOR, PORT), (LINK_DOOR, LINK))
            for place, name in enumerate(self.names)
        ]
        self.relay = Relay(self.testbed, "relay", self.relay_host, self.seed, doors)
        for name in self.names:
            self.vms[name] = free_port()
            self.testbed.interpreter(name, self.vms[name], work=self.work, cores=self.cores)

    def features(self, name: str) -> str:
        place = self.names.index(name)
        lines = ["forwarding:", f"  listen: {self.host(name)}:{LINK}"]
        lines.append(f"  advertise: {self.relay_host}:{LINK_DOOR + place}")
        return super().features(name) + "\n".join([*lines, ""])

    def start(self, name: str) -> None:
        path = self.testbed.folder / f"{name}.yaml"
        path.write_text(self.features(name))
        listen = f"{self.host(name)}:{LISTEN}"
        settings = {"classes": CLASSES, "servers": self.size}
        told = self.testbed.configuration(
            name, LISTEN, self.vms[name], name=name, listen=listen, settings=settings
        )
        self.processes[name] = self.testbed.start(
            name,
            "sablewheel.experiments.forwarder",
            self.kind,
            str(self.testbed.folder / f"{name}.guests"),
            shifted=False,
            RELAY_CONFIG=str(told),
            SABLEWHEEL_FEATURES=str(path),
        )

    def wait_up(self, name: str) -> None:
        until, place = time.monotonic() + PATIENCE, (self.host(name), LISTEN)
        while time.monotonic() < until:
            with contextlib.suppress(OSError), socket.create_connection(place, 1.0) as peer:
                peer.sendall(wire.check(1))
                answers = Parser().feed(peer.recv(4096))
                if answers and answers[0][1] == b"UP":
                    return
            time.sleep(0.02)
        raise TestbedError(f"{name} does not come up: {self.processes[name].tail()}")

    @contextlib.contextmanager
    def fault(self, what: str, whom: str = "") -> Iterator[None]:
        begun = time.monotonic()
        yield
        self.spans.setdefault(what, []).append((whom, begun, time.monotonic()))

    def links(self, some: list[str], others: list[str], both: bool = True, **what: float | bool) -> None:
        self.relay.set(some, others, **what)
        if both:
            self.relay.set(others, some, **what)


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """The trial; `broken` names a fault put into the servers on purpose."""
    result = ExperimentResult("forwarding")
    with Testbed(seed) as testbed, closing(Block()) as block:
        scenario = Scenario(testbed, block.second, broken or "spread", 0, SIZE, seed, keys=KEYS)
        for name in scenario.names:
            scenario.start(name)
        for name in scenario.names:
            scenario.wait_up(name)
        if scenario.wait_agreed(scenario.names, PATIENCE) is None:
            raise TestbedError(f"no view: {scenario.processes['m0'].tail()}")
        rounds = 1 if quick else 2
        healthy = 5.0 if quick else 12.0
        faults = _draw_faults(scenario, random.Random(seed), rounds)
        seconds = healthy + sum(span for span, _ in faults) + 1.0
        routers = [
            testbed.router(
                f"r-{name}",
                [f"{scenario.host(name)}:{LISTEN}"],
                rate=25,
                seconds=seconds,
                request_classes=REQUEST_CLASSES,
                cancels=0.03,
                seed=seed + place,
                patience_end=ABANDON + 2.0,
            )
            for place, name in enumerate(scenario.names)
        ]
        time.sleep(1.0)
        with scenario.fault("none"):
            time.sleep(healthy - 1.0)
        for span, do in faults:
            begun = time.monotonic()
            do()
            time.sleep(max(begun + span - time.monotonic(), 0.0))
        for one in routers:
            one.popen.wait(30)
        codes = [scenario.processes[name].leave() for name in scenario.names]
        time.sleep(0.1)
        _check_promises(scenario, result, codes)
        scenario.relay.close()
    return result


def _draw_faults(
    scenario: Scenario, chance: random.Random, rounds: int
) -> list[tuple[float, Callable[[], None]]]:
    """Each fault for a while and then as long again for the fleet to be whole, by turns on seeded members."""

    def cut(a: str, b: str, both: bool) -> None:
        with scenario.fault("cut both ways" if both else "cut one way"):
            scenario.links([a], [b], both, cut=True)
            time.sleep(1.8)
            scenario.links([a], [b], both, cut=False)

    def slow(a: str, others: list[str]) -> None:
        with scenario.fault("slow"):
            scenario.links([a], others, least=SLOW, most=1.5 * SLOW)
            time.sleep(2.0)
            scenario.links([a], others, least=0.0, most=0.0)

    def pause(name: str) -> None:
        with scenario.fault("stopped", name):
            scenario.stop(name)
            time.sleep(PAUSE)
            scenario.go_on(name)

    def kill(name: str, rest: float) -> None:
        with scenario.fault("killed", name):
            scenario.processes[name].kill()
            time.sleep(rest)
        with scenario.fault("cold", name):
            scenario.start(name)
            scenario.wait_up(name)

    faults: list[tuple[float, Callable[[], None]]] = []
    for _ in range(rounds):
        a, b, c, d = chance.sample(scenario.names, SIZE)
        faults += [
            (3.5, lambda a=a, b=b: cut(a, b, True)),  # type: ignore[misc]
            (3.5, lambda b=b, c=c: cut(b, c, False)),  # type: ignore[misc]
            (3.0, lambda d=d, others=(a, b, c): slow(d, list(others))),  # type: ignore[misc]
            (PAUSE + 2.5, lambda c=c: pause(c)),  # type: ignore[misc]
            (5.0, lambda d=d: kill(d, 2.0)),  # type: ignore[misc]
            (3.5, lambda a=a: kill(a, 0.0)),  # type: ignore[misc]
        ]
    return faults


def _check_promises(scenario: Scenario, result: ExperimentResult, codes: list[int]) -> None:
    testbed = scenario.testbed
    for name in scenario.names:
        log = testbed.folder / f"{name}.log"
        result.require(f"{name} runs as {scenario.kind}", was_announced(log, scenario.kind))
    held = {name: list(testbed.held(f"r-{name}")) for name in scenario.names}
    seconds = sum(one["how"] == "second" for each in held.values() for one in each)
    tries = {name: [one for one in each if one["how"] != "second"] for name, each in held.items()}
    own = {one["name"]: one for each in tries.values() for one in each}
    begins = Counter[str]()
    late_runs = ran = 0
    for name in scenario.names:
        for word, request, when in testbed.runs(name):
            if word == "begin" and request in own:
                ran += 1
                begins[request] += 1
                late_runs += when > own[request]["from"] + ABANDON + SLACK
    younger = guests = 0
    for name in scenario.names:
        for request, arrived in _pairs(testbed.folder / f"{name}.guests"):
            if request in own:
                guests += 1
                younger += arrived > own[request]["sent"] + YOUNGER
    second_runs = sum(many > 1 for name, many in begins.items() if own[name]["track"] != "lookup")
    down = [span for what in ("killed", "cold") for span in scenario.spans.get(what, [])]
    unanswered = lost = late = torn = never = 0
    for name, each in tries.items():
        mine = [span for span in down + scenario.spans.get("stopped", []) if span[0] == name]
        for one in each:
            # Whoever's own server was down or stood still meanwhile has nobody to answer it in time.
            excused = any(one["from"] < to + 0.5 and one["until"] > since for _, since, to in mine)
            unanswered += one["how"] == "unanswered" and not excused
            lost += one["how"] == "lost" and not excused
            late += one["until"] - one["from"] > ABANDON + SLACK and not excused
            whole = f"made by {one['name']} of body of {one['name']}"
            torn += one["how"] == "completed" and one["result"] != whole
            never += one["how"] == "completed" and not begins[one["name"]]
    health, _ = _share(tries, scenario.spans["none"])
    killed, asked = _share(tries, [(who, a, b) for who, a, b in scenario.spans["killed"] if b - a > 1.0])
    # Of a stop only its beginning, until all links know: what comes later goes no_retry_elsewhere near the
    # peer.
    stopped, also = _share(tries, [(who, a, a + 1.2) for who, a, _ in scenario.spans["stopped"]])
    counters = Counter[str]()
    for name in scenario.names:
        for key, value in testbed.counters(scenario.processes[name]).items():
            if key.startswith(("forward_", "links_")) and value.isdigit():
                counters[key] += int(value)
    ended, total = counters["forward_ended_in_error"], len(own)  # of those who lived to tell
    result.check("each ticket has its final answer", unanswered + lost == 0, f"{unanswered}, {lost} lost")
    result.check("and in time", late == 0, late)
    result.check("no ticket has two", seconds == 0, seconds)
    result.check("results are whole and of the ticket itself", torn + never == 0, f"{torn}, {never}")
    result.check("labelled and irreversible run at most once", second_runs == 0, second_runs)
    result.check(
        "budgets shrink by the hop: no ticket is taken for younger than it is",
        younger == 0 < guests,
        f"{younger} of {guests}",
    )
    result.check("nothing runs once its time is up", late_runs == 0, late_runs)
    result.check(
        f"with a peer killed or stopped, redoable tickets are served at {SHARE_LEAST} of healthy",
        min(asked, also) > 30 and min(killed, stopped) >= SHARE_LEAST * health > 0.5,
        f"killed {killed:.3f} of {asked}, stopped {stopped:.3f} of {also}, healthy {health:.3f}",
    )
    result.check("most tickets went to a peer", guests > 0.5 * total, f"{guests} of {total}")
    result.check(
        "links broke with tickets on them",
        ended > 0 and counters["forward_back"] > 0,
        f"{ended} in error, {counters['forward_back']} back",
    )
    result.check("all left in order at the end", not any(codes), codes)
    logs = "".join((testbed.folder / f"{name}.log").read_text(errors="replace") for name in scenario.names)
    result.check("no fault of our own in the logs", "Traceback" not in logs, logs.count("Traceback"))
    hows = Counter(one["how"] for each in tries.values() for one in each)
    result.figures |= {
        "tickets": total,
        "passed_on": guests,
        "runs": ran,
        "completed": hows["completed"],
        "denied": hows["denied"],
        "terminated": hows["terminated"],
        "withdrawn": hows["withdrawn"],
        "second_runs": second_runs,
        "late_runs": late_runs,
        "redoable_share_healthy": round(health, 4),
        "redoable_share_a_peer_killed": round(killed, 4),
        "redoable_share_a_peer_stopped": round(stopped, 4),
        "links_broken": sum(many for key, many in counters.items() if key.startswith("links_lost_")),
    }


def _pairs(path: Path) -> Iterator[tuple[str, float]]:
    for line in path.read_text().splitlines():
        name, _, when = line.partition(" ")
        if when:  # a killed server may have left half a line
            yield name, float(when)


def _share(
    tries: dict[str, list[dict[str, Any]]], spans: list[tuple[str, float, float]]
) -> tuple[float, int]:
    """The share of idempotent requests served that were sent within the spans, to others than they name."""
    served = asked = 0
    for who, since, to in spans:
        for name, each in tries.items():
            if name == who:
                continue
            mine = [one for one in each if one["track"] == "lookup" and since <= one["from"] < to]
            mine = [one for one in mine if one["how"] != "withdrawn"]
            asked += len(mine)
            served += sum(one["how"] == "completed" for one in mine)
    return served / max(asked, 1), asked
