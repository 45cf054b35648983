"""Forwarding experiment: four servers that forward most of their requests to each other.

Each server has its own interpreter and router, and each link between servers passes through the fault relay.
While requests are forwarded, links are cut in one or both directions and slowed down; servers are stopped for
longer than a request's deadline, killed, and restarted cold. The runs that the interpreters recorded are
compared with the requests that the routers sent.
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
LINK_PORT = 7702
LINK_RELAY_PORT = DOOR + 50
SERVER_COUNT = 4
DEADLINE_S = 2.0
TIMING_SLACK_S = 0.3  # allowance for scheduling delays on a busy machine
PAUSE_S = DEADLINE_S + 0.6
SLOW_LINK_DELAY_S = 0.08  # minimum delay of a slow link, one way
# By how much a request may be considered younger than it is: less than one slow hop.
MAX_AGE_ERROR_S = SLOW_LINK_DELAY_S / 2
MIN_COMPLETED_SHARE = 0.95
REQUEST_CLASSES = {
    "lookup": {"share": 0.5},
    "record": {"share": 0.25, "keyed": True},
    "stamp": {"share": 0.25},
}
# Long runs, so that some are in progress when links break.
RUN_TIMES_S = {"lookup": 0.03, "record": 0.1, "stamp": 0.5}
CLASSES = [
    {"name": "lookup", "on-time-s": 1.0, "deadline-s": DEADLINE_S, "repeat": "safe"},
    {"name": "record", "on-time-s": 1.0, "deadline-s": DEADLINE_S, "repeat": "keyed", "window-s": 6.0},
    {"name": "stamp", "on-time-s": 1.8, "deadline-s": DEADLINE_S, "repeat": "unsafe"},
]
MEMBERSHIP_SETTINGS: dict[str, object] = {
    "period-s": 0.5,
    "probe-timeout-s": 0.25,
    "found-after-s": 1.0,
    "join-every-s": 0.3,
    "vote-timeout-s": 0.5,
    "sync-every-s": 1.0,
}


@dataclass
class Scenario(Fleet):
    """A fleet with forwarding: each member has a second relayed port and its own interpreter."""

    work: dict[str, float] = field(default_factory=lambda: dict(RUN_TIMES_S))
    cores: int = 8
    vms: dict[str, int] = field(default_factory=dict)
    # Fault -> (member, start, end) of each time that it was injected.
    fault_spans: dict[str, list[tuple[str, float, float]]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.names = [f"m{number}" for number in range(self.size)]
        self.relay_host = f"127.{self.block}.{self.place}.250"
        self.doors = {name: f"{self.relay_host}:{DOOR + index}" for index, name in enumerate(self.names)}
        doors = [
            {"owner": name, "port": relay_port + index, "to": f"{self.host(name)}:{port}"}
            for relay_port, port in ((DOOR, PORT), (LINK_RELAY_PORT, LINK_PORT))
            for index, name in enumerate(self.names)
        ]
        self.relay = Relay(self.testbed, "relay", self.relay_host, self.seed, doors)
        for name in self.names:
            self.vms[name] = free_port()
            self.testbed.interpreter(name, self.vms[name], work=self.work, cores=self.cores)

    def features(self, name: str) -> str:
        index = self.names.index(name)
        lines = ["forwarding:", f"  listen: {self.host(name)}:{LINK_PORT}"]
        lines.append(f"  advertise: {self.relay_host}:{LINK_RELAY_PORT + index}")
        return super().features(name) + "\n".join([*lines, ""])

    def start(self, name: str) -> None:
        features_path = self.testbed.folder / f"{name}.yaml"
        features_path.write_text(self.features(name))
        listen = f"{self.host(name)}:{LISTEN}"
        settings = {"classes": CLASSES, "servers": self.size}
        config_path = self.testbed.configuration(
            name, LISTEN, self.vms[name], name=name, listen=listen, settings=settings
        )
        self.processes[name] = self.testbed.start(
            name,
            "sablewheel.experiments.forwarder",
            self.kind,
            str(self.testbed.folder / f"{name}.guests"),
            shifted=False,
            RELAY_CONFIG=str(config_path),
            SABLEWHEEL_FEATURES=str(features_path),
        )

    def wait_until_up(self, name: str) -> None:
        deadline, address = time.monotonic() + PATIENCE, (self.host(name), LISTEN)
        while time.monotonic() < deadline:
            with contextlib.suppress(OSError), socket.create_connection(address, 1.0) as connection:
                connection.sendall(wire.check(1))
                replies = Parser().feed(connection.recv(4096))
                if replies and replies[0][1] == b"UP":
                    return
            time.sleep(0.02)
        raise TestbedError(f"{name} did not come up: {self.processes[name].tail()}")

    @contextlib.contextmanager
    def fault(self, fault: str, member: str = "") -> Iterator[None]:
        started_at = time.monotonic()
        yield
        self.fault_spans.setdefault(fault, []).append((member, started_at, time.monotonic()))

    def links(
        self,
        sources: list[str],
        destinations: list[str],
        both_directions: bool = True,
        **settings: float | bool,
    ) -> None:
        self.relay.set(sources, destinations, **settings)
        if both_directions:
            self.relay.set(destinations, sources, **settings)


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Run the experiment; `broken` names the faulty variant of the servers, empty for none."""
    result = ExperimentResult("forwarding")
    with Testbed(seed) as testbed, closing(Block()) as block:
        scenario = Scenario(
            testbed, block.second, broken or "spread", 0, SERVER_COUNT, seed, keys=MEMBERSHIP_SETTINGS
        )
        for name in scenario.names:
            scenario.start(name)
        for name in scenario.names:
            scenario.wait_until_up(name)
        if scenario.wait_agreed(scenario.names, PATIENCE) is None:
            raise TestbedError(f"the servers did not agree on a view: {scenario.processes['m0'].tail()}")
        rounds = 1 if quick else 2
        healthy = 5.0 if quick else 12.0
        faults = _draw_faults(scenario, random.Random(seed), rounds)
        seconds = healthy + sum(duration_s for duration_s, _ in faults) + 1.0
        routers = [
            testbed.router(
                f"r-{name}",
                [f"{scenario.host(name)}:{LISTEN}"],
                rate=25,
                seconds=seconds,
                request_classes=REQUEST_CLASSES,
                cancels=0.03,
                seed=seed + index,
                patience_end=DEADLINE_S + 2.0,
            )
            for index, name in enumerate(scenario.names)
        ]
        time.sleep(1.0)
        with scenario.fault("none"):
            time.sleep(healthy - 1.0)
        for duration_s, inject in faults:
            started_at = time.monotonic()
            inject()
            time.sleep(max(started_at + duration_s - time.monotonic(), 0.0))
        for router in routers:
            router.popen.wait(30)
        exit_codes = [scenario.processes[name].leave() for name in scenario.names]
        time.sleep(0.1)
        _check_promises(scenario, result, exit_codes)
        scenario.relay.close()
    return result


def _draw_faults(
    scenario: Scenario, rng: random.Random, rounds: int
) -> list[tuple[float, Callable[[], None]]]:
    """Return each fault with its duration, which includes time to recover; the seed selects the members."""

    def cut(a: str, b: str, both: bool) -> None:
        with scenario.fault("cut both ways" if both else "cut one way"):
            scenario.links([a], [b], both, cut=True)
            time.sleep(1.8)
            scenario.links([a], [b], both, cut=False)

    def slow(a: str, others: list[str]) -> None:
        with scenario.fault("slow"):
            scenario.links([a], others, least=SLOW_LINK_DELAY_S, most=1.5 * SLOW_LINK_DELAY_S)
            time.sleep(2.0)
            scenario.links([a], others, least=0.0, most=0.0)

    def pause(name: str) -> None:
        with scenario.fault("stopped", name):
            scenario.stop(name)
            time.sleep(PAUSE_S)
            scenario.go_on(name)

    def kill(name: str, down_s: float) -> None:
        with scenario.fault("killed", name):
            scenario.processes[name].kill()
            time.sleep(down_s)
        with scenario.fault("cold", name):
            scenario.start(name)
            scenario.wait_until_up(name)

    faults: list[tuple[float, Callable[[], None]]] = []
    for _ in range(rounds):
        a, b, c, d = rng.sample(scenario.names, SERVER_COUNT)
        faults += [
            (3.5, lambda a=a, b=b: cut(a, b, True)),  # type: ignore[misc]
            (3.5, lambda b=b, c=c: cut(b, c, False)),  # type: ignore[misc]
            (3.0, lambda d=d, others=(a, b, c): slow(d, list(others))),  # type: ignore[misc]
            (PAUSE_S + 2.5, lambda c=c: pause(c)),  # type: ignore[misc]
            (5.0, lambda d=d: kill(d, 2.0)),  # type: ignore[misc]
            (3.5, lambda a=a: kill(a, 0.0)),  # type: ignore[misc]
        ]
    return faults


def _check_promises(scenario: Scenario, result: ExperimentResult, exit_codes: list[int]) -> None:
    testbed = scenario.testbed
    for name in scenario.names:
        log = testbed.folder / f"{name}.log"
        result.require(f"{name} runs as {scenario.kind}", was_announced(log, scenario.kind))
    records = {name: list(testbed.held(f"r-{name}")) for name in scenario.names}
    second_answers = sum(
        attempt["how"] == "second" for server_attempts in records.values() for attempt in server_attempts
    )
    attempts = {
        name: [attempt for attempt in server_attempts if attempt["how"] != "second"]
        for name, server_attempts in records.items()
    }
    attempts_by_name = {
        attempt["name"]: attempt for server_attempts in attempts.values() for attempt in server_attempts
    }
    run_counts = Counter[str]()
    late_runs = run_count = 0
    for name in scenario.names:
        for event, request, when in testbed.runs(name):
            if event == "begin" and request in attempts_by_name:
                run_count += 1
                run_counts[request] += 1
                late_runs += when > attempts_by_name[request]["from"] + DEADLINE_S + TIMING_SLACK_S
    underestimated = forwarded_count = 0
    for name in scenario.names:
        for request, arrived_at in _read_arrivals(testbed.folder / f"{name}.guests"):
            if request in attempts_by_name:
                forwarded_count += 1
                underestimated += arrived_at > attempts_by_name[request]["sent"] + MAX_AGE_ERROR_S
    second_runs = sum(
        count > 1 for name, count in run_counts.items() if attempts_by_name[name]["track"] != "lookup"
    )
    down_spans = [span for fault in ("killed", "cold") for span in scenario.fault_spans.get(fault, [])]
    unanswered = lost = late = wrong_results = never_run = 0
    for name, server_attempts in attempts.items():
        server_spans = [
            span for span in down_spans + scenario.fault_spans.get("stopped", []) if span[0] == name
        ]
        for attempt in server_attempts:
            # A request whose own server was down or stopped meanwhile can't be answered in time.
            excused = any(
                attempt["from"] < until + 0.5 and attempt["until"] > since for _, since, until in server_spans
            )
            unanswered += attempt["how"] == "unanswered" and not excused
            lost += attempt["how"] == "lost" and not excused
            late += attempt["until"] - attempt["from"] > DEADLINE_S + TIMING_SLACK_S and not excused
            expected = f"made by {attempt['name']} of body of {attempt['name']}"
            wrong_results += attempt["how"] == "completed" and attempt["result"] != expected
            never_run += attempt["how"] == "completed" and not run_counts[attempt["name"]]
    healthy_share, _ = _completed_share(attempts, scenario.fault_spans["none"])
    killed_share, killed_count = _completed_share(
        attempts, [(member, a, b) for member, a, b in scenario.fault_spans["killed"] if b - a > 1.0]
    )
    # Only the beginning of a stop, until all links have detected it: later requests are not forwarded to the
    # peer.
    stopped_share, stopped_count = _completed_share(
        attempts, [(member, a, a + 1.2) for member, a, _ in scenario.fault_spans["stopped"]]
    )
    counters = Counter[str]()
    for name in scenario.names:
        for key, value in testbed.counters(scenario.processes[name]).items():
            if key.startswith(("forward_", "links_")) and value.isdigit():
                counters[key] += int(value)
    # The counters are those of the servers that ran to the end.
    failed_by_disconnect, total = counters["forward_ended_in_error"], len(attempts_by_name)
    result.check("each request has its final answer", unanswered + lost == 0, f"{unanswered}, {lost} lost")
    result.check("and in time", late == 0, late)
    result.check("no request has two", second_answers == 0, second_answers)
    result.check(
        "results are complete and belong to the request",
        wrong_results + never_run == 0,
        f"{wrong_results}, {never_run}",
    )
    result.check("keyed and non-idempotent requests run at most once", second_runs == 0, second_runs)
    result.check(
        "budgets shrink by the hop: no request is considered younger than it is",
        underestimated == 0 < forwarded_count,
        f"{underestimated} of {forwarded_count}",
    )
    result.check("no request starts to run after its deadline", late_runs == 0, late_runs)
    result.check(
        f"with a peer killed or stopped, idempotent requests are served at {MIN_COMPLETED_SHARE} of healthy",
        min(killed_count, stopped_count) > 30
        and min(killed_share, stopped_share) >= MIN_COMPLETED_SHARE * healthy_share > 0.5,
        f"killed {killed_share:.3f} of {killed_count}, stopped {stopped_share:.3f} of {stopped_count}, "
        f"healthy {healthy_share:.3f}",
    )
    result.check(
        "most requests were forwarded to a peer",
        forwarded_count > 0.5 * total,
        f"{forwarded_count} of {total}",
    )
    result.check(
        "links broke while they carried requests",
        failed_by_disconnect > 0 and counters["forward_back"] > 0,
        f"{failed_by_disconnect} failed, {counters['forward_back']} returned",
    )
    result.check("all servers exited cleanly at the end", not any(exit_codes), exit_codes)
    logs = "".join((testbed.folder / f"{name}.log").read_text(errors="replace") for name in scenario.names)
    result.check("no traceback in the logs", "Traceback" not in logs, logs.count("Traceback"))
    outcomes = Counter(attempt["how"] for server_attempts in attempts.values() for attempt in server_attempts)
    result.figures |= {
        "tickets": total,
        "passed_on": forwarded_count,
        "runs": run_count,
        "completed": outcomes["completed"],
        "denied": outcomes["denied"],
        "terminated": outcomes["terminated"],
        "withdrawn": outcomes["withdrawn"],
        "second_runs": second_runs,
        "late_runs": late_runs,
        "redoable_share_healthy": round(healthy_share, 4),
        "redoable_share_a_peer_killed": round(killed_share, 4),
        "redoable_share_a_peer_stopped": round(stopped_share, 4),
        "links_broken": sum(count for key, count in counters.items() if key.startswith("links_lost_")),
    }


def _read_arrivals(path: Path) -> Iterator[tuple[str, float]]:
    for line in path.read_text().splitlines():
        name, _, arrived_at = line.partition(" ")
        if arrived_at:  # a killed server may have left an incomplete line
            yield name, float(arrived_at)


def _completed_share(
    attempts: dict[str, list[dict[str, Any]]], spans: list[tuple[str, float, float]]
) -> tuple[float, int]:
    """Return the completed share and the number of idempotent requests sent within the spans.

    Requests to the member that a span names, and withdrawn requests, are not counted.
    """
    completed_count = attempt_count = 0
    for member, since, until in spans:
        for name, server_attempts in attempts.items():
            if name == member:
                continue
            selected = [
                attempt
                for attempt in server_attempts
                if attempt["track"] == "lookup" and since <= attempt["from"] < until
            ]
            selected = [attempt for attempt in selected if attempt["how"] != "withdrawn"]
            attempt_count += len(selected)
            completed_count += sum(attempt["how"] == "completed" for attempt in selected)
    return completed_count / max(attempt_count, 1), attempt_count
