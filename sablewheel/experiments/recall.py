"""The result store trial: servers under steady repeats, restarted at seeded instants, with clock steps.

`n1`'s interpreter keeps running and keeps its notices while the server restarts; `n2`'s is killed with the
server; `n3` stores few idempotency keys; `n4` has large results and is killed during compactions. The runs
that the interpreters began are compared with the attempts that the routers sent: no idempotency key runs
twice within its window, no request that ran is rejected, and a result that a client received once is the
result of every later repeat.
"""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import Enum, auto
from pathlib import Path
from typing import Any

from .replaced_parts import was_announced
from .result import ExperimentResult
from .testbed import Process, Testbed, free_port

FAULTY_VARIANTS = ("no-intent", "answer-before-outcome", "evict-intents", "trust-clock", "one-record")
NAMES = ("n1", "n2", "n3", "n4")
REPEAT_WITHIN_S = 5.0  # seconds after the first attempt in which repeats are sent; the window is six seconds
HOUR = 3600.0
N3_CAPACITY = 100  # idempotency keys that n3 can store
N4_RESULT_BYTES = [100, 1_000_000]  # the least and the largest size of a result of n4
N4_WINDOWS_S = {"record": 3.0, "entry": 60.0}  # short and long ones, so that the log has to be compacted
N4_REPEAT_WITHIN_S = 2.0
N4_KEYED_WORK_S = 0.02
COMPACTION_KILL_SHARE = 0.5  # of the looks at n4 that find a compaction since its start
ROUTER: dict[str, Any] = {
    "rate": 70,
    "repeats": 0.6,
    "repeat_within": REPEAT_WITHIN_S,
    "request_classes": {"record": {"share": 1.0, "keyed": True}},
}
ROUTER_CHANGES: dict[str, dict[str, Any]] = {
    "n3": {"rate": 130},
    "n4": {
        "rate": 110,
        "repeats": 0.3,
        "repeat_within": N4_REPEAT_WITHIN_S,
        "request_classes": {
            "record": {"share": 0.9, "keyed": True},
            "entry": {"share": 0.1, "keyed": True},
        },
    },
}


def features(folder: Path, **options: object) -> str:
    """Return the features file of a server with a result store."""
    options = {"segment_kb": 64, "disk_mb": 16, **options}
    lines = ["version: 1", "recall:", f"  folder: {folder}"]
    lines += [f"  {key.replace('_', '-')}: {value}" for key, value in options.items()]
    return "\n".join([*lines, ""])


class CompactionPhase(Enum):
    """How far a server has come with the last compaction since its start."""

    NONE = auto()
    RUNNING = auto()
    FINISHED = auto()


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
    compaction_chance: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.compaction_chance = random.Random(self.testbed.seed)

    def start(self, name: str) -> None:
        module = ("sablewheel.experiments.faulty_server", self.broken) if self.broken else ("sablewheel",)
        self.servers[name] = self.testbed.server(
            name,
            self.ports[name],
            self.vms[name],
            self.texts[name],
            module=module,
            settings=self._settings(name),
        )

    @staticmethod
    def _settings(name: str) -> dict[str, Any]:
        """Return the changed settings of a server."""
        if name != "n4":
            return {"servers": 1}
        record = {"on-time-s": 0.8, "deadline-s": 2.0, "repeat": "keyed"}
        classes = [{"name": name, **record, "window-s": window_s} for name, window_s in N4_WINDOWS_S.items()]
        return {"servers": 1, "classes": classes}

    def start_interpreter(self, name: str) -> None:
        self.interpreters[name] = self.testbed.interpreter(
            name,
            self.vms[name],
            outlives=name != "n2",
            age=60.0 if name != "n2" else 0.0,
            work={"lookup": 0.02, "record": 0.04}
            if name != "n4"
            else dict.fromkeys(N4_WINDOWS_S, N4_KEYED_WORK_S),
            result_bytes=N4_RESULT_BYTES if name == "n4" else None,
        )

    def compaction_phase(self) -> CompactionPhase:
        """Return how far n4 has come with the compaction of its log since its start."""
        log = self.servers["n4"].log.read_text(errors="replace")
        log = log[log.rfind("event=listening") :]
        started_at, finished_at = log.rfind("compaction started"), log.rfind("compaction finished")
        if started_at < 0:
            return CompactionPhase.NONE
        return CompactionPhase.RUNNING if started_at > finished_at else CompactionPhase.FINISHED

    def restart_after_compaction(self) -> None:
        """Kill n4 in a compaction, or after one, and start it again."""
        if self.compaction_phase() is CompactionPhase.NONE:
            return
        if self.compaction_chance.random() < COMPACTION_KILL_SHARE:
            self.kill("n4")
            self.counts["kills_in_compaction"] += self.compaction_phase() is CompactionPhase.RUNNING
            self.start("n4")

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
            if name == "n4":
                options |= {"segment_kb": 1024, "disk_mb": 512, "memory_mb": 128, "unreadable": "cold"}
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
            seconds=seconds,
            cancels=0.03,
            seed=seed + index,
            **{**ROUTER, **ROUTER_CHANGES.get(name, {})},
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
            scenario.restart_after_compaction()
            name = chance.choice(NAMES[:3])
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
    # The memory of n4 follows the results whose windows are open.
    small = [samples for name, samples in scenario.memory.items() if name != "n4"]
    growth = max(samples[-1] - min(samples) for samples in small)
    result.check("memory is constant over the restarts", growth < 8.0, f"{growth:.1f} MB")
    result.check(
        "all servers exited with code 0 at the end",
        scenario.counts["bad_exits"] == 0,
        scenario.counts["bad_exits"],
    )
    log = "".join((scenario.testbed.folder / f"{name}.log").read_text(errors="replace") for name in NAMES)
    damages = log.count("result store damaged")
    result.check("no restart after a kill found damage in a folder", damages == 0, damages)
    result.check("no unhandled exception in the logs", "Traceback" not in log, log.count("Traceback"))
    result.require("a kill during a compaction", scenario.counts["kills_in_compaction"] > 0)
    if scenario.broken == "one-record":
        used = was_announced(scenario.testbed.folder / "n4.log", "one-record")
        result.require("the variant one-record", used)
    result.figures |= {
        "kills_in_compaction": scenario.counts["kills_in_compaction"],
        "kills": sum(scenario.kills.values()),
        "clock_steps": scenario.counts["clock_steps"],
        "completed": completed,
        "repeats_after_the_first_was_held": repeats,
        "terminated": failed,
        "denied_for_room": capacity_rejections,
        "memory_mb": round(max(max(samples) for samples in scenario.memory.values()), 1),
    }
