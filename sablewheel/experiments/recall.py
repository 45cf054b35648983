"""The result store trial: servers under steady repeats, restarted at seeded instants, with clock steps.

`n1`'s interpreter keeps running and keeps its notices while the server restarts; `n2`'s is killed with the
server; `n3` stores few idempotency keys. The runs that the interpreters began are compared with the attempts
that the routers sent: no idempotency key runs twice within its window, no request that ran is rejected, and a
result that a client received once is the result of every later repeat.
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
REPEAT_WITHIN_S = 5.0  # seconds after the first attempt in which repeats are sent; the window is six seconds
HOUR = 3600.0
N3_CAPACITY = 100  # idempotency keys that n3 can store


def features(folder: Path, **options: object) -> str:
    """Return the features file of a server with a result store."""
    lines = ["version: 1", "recall:", f"  folder: {folder}", "  segment-kb: 64", "  disk-mb: 16"]
    lines += [f"  {key.replace('_', '-')}: {value}" for key, value in options.items()]
    return "\n".join([*lines, ""])


@dataclass
class Scenario:
    """The processes of the trial, their kills and their memory use (MB)."""

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

    def start_interpreter(self, name: str) -> None:
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
    """Run the trial; `broken` names a faulty variant of the servers."""
    result = ExperimentResult("recall")
    with Testbed(seed) as testbed:
        scenario = Scenario(testbed, broken)
        for name in NAMES:
            scenario.ports[name], scenario.vms[name] = free_port(), free_port()
            options: dict[str, object] = {"interpreter_outlives": "true"} if name != "n2" else {}
            if name == "n3":
                options["entries_most"] = N3_CAPACITY
            scenario.texts[name] = features(testbed.folder / f"{name}-recall", **options)
            scenario.start_interpreter(name)
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
            repeat_within=REPEAT_WITHIN_S,
            request_classes={"record": {"share": 1.0, "keyed": True}},
            cancels=0.03,
            seed=seed + index,
        )
        for index, name in enumerate(NAMES)
    ]
    started, clock = time.monotonic(), 0.0
    restart_count = 0
    while True:
        moment = time.monotonic() - started + chance.uniform(0.4, 1.1)
        if moment > seconds - 2.0:
            break
        time.sleep(max(started + moment - time.monotonic(), 0.0))
        restart_count += 1
        if restart_count % 6 == 5:
            # Stop all servers and set the clock meanwhile: an hour forward, the next time back.
            for name in NAMES:
                scenario.kill(name)
            clock = HOUR if not clock else 0.0
            testbed.shift(clock)
            scenario.counts["clock_steps"] += 1
            scenario.start_interpreter("n2")
            for name in NAMES:
                scenario.start(name)
        else:
            name = chance.choice(NAMES)
            scenario.kill(name)
            time.sleep(chance.choice((0.0, 0.0, 0.3)))
            if name == "n2":
                scenario.start_interpreter("n2")
            scenario.start(name)
    for router in routers:
        router.popen.wait(30)
    for name in NAMES:
        scenario.memory[name].append(scenario.servers[name].usage()[1])
        code = scenario.servers[name].leave()
        scenario.counts["bad_exits"] += code != 0
    time.sleep(0.2)


def _check_promises(scenario: Scenario, result: ExperimentResult) -> None:
    second_runs = rejected_ran = differing_results = not_the_original = capacity_rejections = (
        with_retry_time
    ) = 0
    completed = failed = repeats = 0
    without_retry_time: list[str] = []
    for name in NAMES:
        attempts = list(scenario.testbed.held(f"r-{name}"))
        idempotency_keys = {attempt["name"]: attempt["label"] for attempt in attempts}
        begins: dict[str, list[float]] = defaultdict(list)
        for event, request, when in scenario.testbed.runs(name):
            if event == "begin" and request in idempotency_keys:
                begins[idempotency_keys[request]].append(when)
        second_runs += sum(len(group) - 1 for group in begins.values())
        by_idempotency_key: dict[str, list[dict[str, Any]]] = defaultdict(list)
        for attempt in sorted(attempts, key=lambda attempt: attempt["until"]):
            by_idempotency_key[attempt["label"]].append(attempt)
        for idempotency_key, group in by_idempotency_key.items():
            first_begin = min(begins.get(idempotency_key, [1e18]))
            completions = [attempt for attempt in group if attempt["how"] == "completed"]
            differing_results += len({attempt["result"] for attempt in completions}) > 1
            first_result = min((attempt["until"] for attempt in completions), default=1e18)
            for attempt in group:
                rejected_ran += attempt["how"] == "denied" and first_begin < attempt["from"]
                # Sent after a client received the result: it must get the same one, despite kills in between.
                not_the_original += (
                    attempt["how"] in ("denied", "terminated") and attempt["from"] > first_result
                )
                repeats += attempt["how"] == "completed" and attempt["from"] > first_result
        completed += sum(attempt["how"] == "completed" for attempt in attempts)
        failed += sum(attempt["how"] == "terminated" for attempt in attempts)
        if name == "n3":
            capacity_rejections = sum(attempt["how"] == "denied" for attempt in attempts)
            without_retry_time = [
                f"{attempt['name']}@{attempt['from']:.3f}"
                for attempt in attempts
                if attempt["how"] == "denied" and not attempt.get("come_back", False)
            ]
            with_retry_time = capacity_rejections - len(without_retry_time)
    result.check("no idempotency key ran twice within its window", second_runs == 0, second_runs)
    result.check("no request that ran was rejected", rejected_ran == 0, rejected_ran)
    result.check(
        "all results of an idempotency key are the same bytes", differing_results == 0, differing_results
    )
    result.check(
        "every later repeat got the result that was received first", not_the_original == 0, not_the_original
    )
    result.check("repeats came after restarts and got their results", repeats > 50, repeats)
    result.check(
        "at the limit of stored keys, requests are rejected with a retry time",
        0 < capacity_rejections <= with_retry_time,
        f"{with_retry_time} of {capacity_rejections} advised"
        + (f"; not: {', '.join(without_retry_time[:8])}" if without_retry_time else ""),
    )
    growth = max(samples[-1] - min(samples) for samples in scenario.memory.values())
    result.check("memory is constant over the restarts", growth < 8.0, f"{growth:.1f} MB")
    result.check(
        "all servers exited with code 0 at the end",
        scenario.counts["bad_exits"] == 0,
        scenario.counts["bad_exits"],
    )
    log = "".join((scenario.testbed.folder / f"{name}.log").read_text(errors="replace") for name in NAMES)
    result.check("no unhandled exception in the logs", "Traceback" not in log, log.count("Traceback"))
    result.figures |= {
        "kills": sum(scenario.kills.values()),
        "clock_steps": scenario.counts["clock_steps"],
        "completed": completed,
        "repeats_after_the_first_was_held": repeats,
        "terminated": failed,
        "denied_for_room": capacity_rejections,
        "memory_mb": round(max(max(samples) for samples in scenario.memory.values()), 1),
    }
