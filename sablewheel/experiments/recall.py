"""Recall's trial: servers under steady repeats, killed and started again at seeded instants, their clocks
set.

`n1`'s interpreter outlives it and keeps its notices; `n2`'s dies with it; `n3` has room for few idempotency
keys. What the interpreters began is set against what routers sent: no idempotency key runs twice within its
window, nothing that ran is rejected, and a result that was held once is what every later repeat gets.
"""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .result import ExperimentResult
from .testbed import Process, Testbed, free_port

FAULTY_VARIANTS = ("no-intent", "answer-before-outcome", "evict-intents", "trust-clock")
NAMES = ("n1", "n2", "n3")
WITHIN = 5.0  # repeats come so long after the first; the window is six seconds
HOUR = 3600.0
SMALL = 100  # idempotency keys that n3 has room for


def features(folder: Path, **more: object) -> str:
    """A features file for a server of the trial."""
    lines = ["version: 1", "recall:", f"  folder: {folder}", "  segment-kb: 64", "  disk-mb: 16"]
    lines += [f"  {key.replace('_', '-')}: {value}" for key, value in more.items()]
    return "\n".join([*lines, ""])


@dataclass
class Scenario:
    """The processes, and what happened to them."""

    testbed: Testbed
    broken: str
    ports: dict[str, int] = field(default_factory=dict)
    vms: dict[str, int] = field(default_factory=dict)
    servers: dict[str, Process] = field(default_factory=dict)
    interpreters: dict[str, Process] = field(default_factory=dict)
    texts: dict[str, str] = field(default_factory=dict)
    kills: Counter[str] = field(default_factory=Counter)
    counts: Counter[str] = field(default_factory=Counter)
    memory: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def start(self, name: str) -> None:
        module = ("sablewheel.experiments.faulty_server", self.broken) if self.broken else ("sablewheel",)
        self.servers[name] = self.testbed.server(
            name, self.ports[name], self.vms[name], self.texts[name], module=module, settings={"servers": 1}
        )

    def interpreter(self, name: str) -> None:
        self.interpreters[name] = self.testbed.interpreter(
            name,
            self.vms[name],
            outlives=name != "n2",
            age=60.0 if name != "n2" else 0.0,
            work={"lookup": 0.02, "record": 0.04},
        )

    def kill(self, name: str) -> None:
        self.memory[name].append(self.servers[name].usage()[1])
        self.servers[name].kill()
        self.kills[name] += 1
        if name == "n2":
            self.interpreters[name].kill()


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """The trial; `broken` names a fault put into the servers on purpose."""
    result = ExperimentResult("recall")
    with Testbed(seed) as testbed:
        scenario = Scenario(testbed, broken)
        for name in NAMES:
            scenario.ports[name], scenario.vms[name] = free_port(), free_port()
            more: dict[str, object] = {"interpreter_outlives": "true"} if name != "n2" else {}
            if name == "n3":
                more["entries_most"] = SMALL
            scenario.texts[name] = features(testbed.folder / f"{name}-recall", **more)
            scenario.interpreter(name)
            scenario.start(name)
        seconds = 24.0 if quick else 90.0
        _run_scenario(scenario, seed, seconds)
        _check_promises(scenario, result)
    return result


def _run_scenario(scenario: Scenario, seed: int, seconds: float) -> None:
    testbed, chance = scenario.testbed, random.Random(seed)
    routers = [
        testbed.router(
            f"r-{name}",
            [f"127.0.0.1:{scenario.ports[name]}"],
            rate=130 if name == "n3" else 70,
            seconds=seconds,
            repeats=0.6,
            repeat_within=WITHIN,
            request_classes={"record": {"share": 1.0, "keyed": True}},
            cancels=0.03,
            seed=seed + place,
        )
        for place, name in enumerate(NAMES)
    ]
    begun, clock = time.monotonic(), 0.0
    turn = 0
    while True:
        moment = time.monotonic() - begun + chance.uniform(0.4, 1.1)
        if moment > seconds - 2.0:
            break
        time.sleep(max(begun + moment - time.monotonic(), 0.0))
        turn += 1
        if turn % 6 == 5:  # all are down, and the clock is set meanwhile: an hour forward, later back again
            for name in NAMES:
                scenario.kill(name)
            clock = HOUR if not clock else 0.0
            testbed.shift(clock)
            scenario.counts["clock_steps"] += 1
            scenario.interpreter("n2")
            for name in NAMES:
                scenario.start(name)
        else:
            name = chance.choice(NAMES)
            scenario.kill(name)
            time.sleep(chance.choice((0.0, 0.0, 0.3)))
            if name == "n2":
                scenario.interpreter("n2")
            scenario.start(name)
    for one in routers:
        one.popen.wait(30)
    for name in NAMES:
        scenario.memory[name].append(scenario.servers[name].usage()[1])
        code = scenario.servers[name].leave()
        scenario.counts["bad_exits"] += code != 0
    time.sleep(0.2)


def _check_promises(scenario: Scenario, result: ExperimentResult) -> None:
    second_runs = rejected_ran = other_bytes = not_the_original = room_rejections = advised = 0
    completed = failed = repeats = 0
    unadvised: list[str] = []
    for name in NAMES:
        tries = list(scenario.testbed.held(f"r-{name}"))
        idempotency_keys = {one["name"]: one["label"] for one in tries}
        begins: dict[str, list[float]] = defaultdict(list)
        for word, request, when in scenario.testbed.runs(name):
            if word == "begin" and request in idempotency_keys:
                begins[idempotency_keys[request]].append(when)
        second_runs += sum(len(each) - 1 for each in begins.values())
        by_idempotency_key: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for one in sorted(tries, key=lambda one: one["until"]):
            by_idempotency_key[one["label"]].append(one)
        for idempotency_key, each in by_idempotency_key.items():
            began = min(begins.get(idempotency_key, [1e18]))
            held = [one for one in each if one["how"] == "completed"]
            other_bytes += len({one["result"] for one in held}) > 1
            first = min((one["until"] for one in held), default=1e18)
            for one in each:
                rejected_ran += one["how"] == "denied" and began < one["from"]
                # Sent after somebody held the result: it must get just that, whatever was killed in between.
                not_the_original += one["how"] in ("denied", "terminated") and one["from"] > first
                repeats += one["how"] == "completed" and one["from"] > first
        completed += sum(one["how"] == "completed" for one in tries)
        failed += sum(one["how"] == "terminated" for one in tries)
        if name == "n3":
            room_rejections = sum(one["how"] == "denied" for one in tries)
            unadvised = [
                f"{one['name']}@{one['from']:.3f}"
                for one in tries
                if one["how"] == "denied" and not one.get("come_back", False)
            ]
            advised = room_rejections - len(unadvised)
    result.check("no label ran twice within its window", second_runs == 0, second_runs)
    result.check("nothing that ran was denied", rejected_ran == 0, rejected_ran)
    result.check("all who got a result of a label got the same bytes", other_bytes == 0, other_bytes)
    result.check("a result held once is what every later repeat got", not_the_original == 0, not_the_original)
    result.check("repeats came after restarts and got their results", repeats > 50, repeats)
    result.check(
        "with few labels' room, tickets are denied and told when to return",
        0 < room_rejections <= advised,
        f"{advised} of {room_rejections} advised"
        + (f"; not: {', '.join(unadvised[:8])}" if unadvised else ""),
    )
    growth = max(each[-1] - min(each) for each in scenario.memory.values())
    result.check("memory is flat over the restarts", growth < 8.0, f"{growth:.1f} MB")
    result.check(
        "all left in order at the end", scenario.counts["bad_exits"] == 0, scenario.counts["bad_exits"]
    )
    log = "".join((scenario.testbed.folder / f"{name}.log").read_text(errors="replace") for name in NAMES)
    result.check("no fault of our own in the logs", "Traceback" not in log, log.count("Traceback"))
    result.figures |= {
        "kills": sum(scenario.kills.values()),
        "clock_steps": scenario.counts["clock_steps"],
        "completed": completed,
        "repeats_after_the_first_was_held": repeats,
        "terminated": failed,
        "denied_for_room": room_rejections,
        "memory_mb": round(max(max(each) for each in scenario.memory.values()), 1),
    }
