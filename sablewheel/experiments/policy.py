"""The policy's trial: servers of three hardware classes, a policy that not all of them can run, and faults.

Six servers, each with an interpreter of its own, links through the fault relay. A new version comes while two
are cut off, who are given another; capable servers are killed and come back, twice in a row; one starts again
on other hardware; all that are left are killed; a translation comes out wrong. Beside them, under the same
requests and the same kills, run two baselines: each server by itself, and a fleet at its weakest class's
subset. What interpreters began is set against what flows require.
"""

from __future__ import annotations

import contextlib
import re
import shlex
import signal
import socket
import statistics
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import closing
from dataclasses import dataclass, field
from itertools import pairwise
from pathlib import Path
from typing import Any

from ..protocol.resp import Parser
from . import client_protocol as wire
from .fleet import DOOR, LISTEN, PORT, Block, Fleet, Relay
from .policy_member import TAMPERED, WRONG_TRANSLATION
from .replaced_parts import was_announced
from .result import ExperimentResult
from .testbed import PATIENCE, Process, Testbed, TestbedError, free_port

FAULTY_VARIANTS = ("ignore-class", "minority-activates", "no-dwell", "unverified")
LINK = 7702
LINK_DOOR = DOOR + 50
KINDS = ("disk", "disk", "disk", "plain", "plain", "small")
FEW = ("m4", "m5")  # who is cut off
CHANGES_MOST = 2  # of what holds, for one fault
KILL_SEEN_WITHIN_S = 1.0  # by the router whose connection it ends
SLACK = 0.2  # a run that was admitted may begin so long after its server's policy changed
REQUEST_CLASSES = {"pay": {"share": 0.3, "keyed": True}, "read": {"share": 0.4}, "bulk": {"share": 0.3}}
WORK = {"pay": 0.03, "read": 0.02, "bulk": 0.02}
CLASSES = [
    {"name": "pay", "on-time-s": 1.0, "deadline-s": 2.0, "repeat": "keyed", "window-s": 5.0},
    {"name": "read", "on-time-s": 1.0, "deadline-s": 2.0, "repeat": "safe"},
    {"name": "bulk", "on-time-s": 1.0, "deadline-s": 2.0, "repeat": "safe"},
]
WORTH = {"pay": 10, "read": 2, "bulk": 1}
MAX_BUNDLES = 4  # what a read is worth more where results are kept
POLICY = """\
version: 1
policy: {number}
flows:
  pay:
    tracks: [pay]
    cores: 3
    worth: 10
    require: {{durable-recall: {{entries: {entries}}}}}
  read:
    tracks: [read]
    cores: 14
    worth: 2
    prefer:
      - worth: 4
        features: {{kept-results: {{seconds: 5}}}}
  bulk:
    worth: 1
"""
MEMBERSHIP: dict[str, object] = {
    "period-s": 0.25,
    "probe-timeout-s": 0.1,
    "found-after-s": 1.0,
    "join-every-s": 0.3,
    "vote-timeout-s": 0.5,
    "sync-every-s": 1.0,
}
RULES = {"dwell-down-s": 0.8, "dwell-up-s": 5.0, "rest-s": 2.0, "settle-s": 1.0, "stagger-s": 2.0}
LINE = re.compile(r"^time=(\S+) level=\S+ from=feature_policy\.service(?:\.changes)? event=(.*)$")


@dataclass(frozen=True)
class Said:
    """One line of a member's log about policies."""

    when: float
    member: str
    what: str
    pairs: dict[str, str]


@dataclass
class Scenario(Fleet):
    """One of the three fleets. `kind`: ours, a part broken, `alone` or `weakest`, which have no policy."""

    vms: dict[str, int] = field(default_factory=dict)
    kinds: dict[str, list[tuple[float, str]]] = field(default_factory=dict)  # by server: from when on, what

    def __post_init__(self) -> None:
        self.names = [f"m{number}" for number in range(self.size)]
        self.relay_host = f"127.{self.block}.{self.place}.250"
        self.doors = {name: f"{self.relay_host}:{DOOR + place}" for place, name in enumerate(self.names)}
        if self.has_policy:
            doors = [
                {"owner": name, "port": door + place, "to": f"{self.host(name)}:{port}"}
                for door, port in ((DOOR, PORT), (LINK_DOOR, LINK))
                for place, name in enumerate(self.names)
            ]
            self.relay = Relay(self.testbed, self.idempotency_key("relay"), self.relay_host, self.seed, doors)
        for name in self.names:
            self.vms[name] = free_port()
            self.testbed.interpreter(self.idempotency_key(name), self.vms[name], work=WORK, cores=8)

    @property
    def has_policy(self) -> bool:
        return self.kind not in ("alone", "weakest")

    def policy_file(self, name: str) -> Path:
        return self.testbed.folder / f"{self.idempotency_key(name)}.policy"

    def give(self, name: str, number: int, entries: int = 1000) -> None:
        """The operators put a document in place and say so with SIGHUP."""
        self.policy_file(name).write_text(POLICY.format(number=number, entries=entries))
        if name in self.processes:
            self.signal(name, signal.SIGHUP)

    def texts(self, name: str, kind: str) -> str:
        lines = ["version: 1"]
        if self.has_policy:
            place = self.names.index(name)
            lines = [super().features(name), "forwarding:", f"  listen: {self.host(name)}:{LINK}"]
            lines.append(f"  advertise: {self.relay_host}:{LINK_DOOR + place}")
            lines += ["policy:", *(f"  {key}: {value}" for key, value in RULES.items())]
            if self.policy_file(name).exists():
                lines.append(f"  file: {self.policy_file(name)}")
        if kind == "disk":
            lines += ["recall:", f"  folder: {self.testbed.folder / self.idempotency_key(name)}-disk"]
        return "\n".join([*lines, ""])

    def start_as(self, name: str, kind: str) -> None:
        """It starts on hardware of that kind; whether and when it is up is seen by who waits."""
        testbed, idempotency_key = self.testbed, self.idempotency_key(name)
        path = testbed.folder / f"{idempotency_key}.yaml"
        path.write_text(self.texts(name, kind))
        small = kind == "small"
        extra = {
            "cores": 2 if small else 4,
            "memory-kb": 20000.0,
            "run-factor": 4.0,
            "key-kb": 1.0,
            "halt": "off" if small else "drop",
            "idle-s": 30.0,
            "callers": 4,
            "share-for-s": 0.0 if small else 10.0,
        }
        told = testbed.configuration(
            idempotency_key,
            LISTEN,
            self.vms[name],
            name=name,
            listen=f"{self.host(name)}:{LISTEN}",
            limits={"memory_mb": 16 if small else 192, "sockets": 1024},
            settings={"classes": CLASSES, "servers": self.size, "extra": extra},
        )
        words = ["sablewheel"]
        if self.has_policy:
            words = ["sablewheel.experiments.policy_member", self.kind]
        elif self.kind == "weakest":
            words = ["sablewheel.experiments.policy_member", "weakest", "pay"]
        self.kinds.setdefault(name, []).append((time.monotonic(), kind))
        self.processes[name] = testbed.start(
            idempotency_key, *words, shifted=False, RELAY_CONFIG=str(told), SABLEWHEEL_FEATURES=str(path)
        )

    def start(self, name: str) -> None:
        self.start_as(name, KINDS[self.names.index(name)])

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

    def kind_at(self, name: str, when: float) -> str:
        return [kind for since, kind in self.kinds[name] if since <= when][-1]

    def cut(self, cut: bool) -> None:
        many = [name for name in self.names if name not in FEW]
        self.relay.set(FEW, many, cut=cut)
        self.relay.set(many, FEW, cut=cut)

    def said(self) -> list[Said]:
        lines = []
        for name in self.names:
            path = self.testbed.folder / f"{self.idempotency_key(name)}.log"
            for line in path.read_text(errors="replace").splitlines():
                if found := LINE.match(line):
                    words = shlex.split(found[2])
                    pairs = dict(word.split("=", 1) for word in words[1:] if "=" in word)
                    lines.append(Said(float(found[1]), name, words[0], pairs))
        return sorted(lines, key=lambda one: one.when)

    def active(self) -> dict[str, str]:
        """What each member last said to hold."""
        return {one.member: one.pairs["policy"] for one in self.said() if one.what == "policy active"}

    def wait_active(self, number: int, names: list[str], within: float) -> bool:
        until = time.monotonic() + within
        while time.monotonic() < until:
            held = self.active()
            if all(held.get(name, "").startswith(f"{number}.") for name in names):
                return True
            time.sleep(0.1)
        return False


@dataclass
class Act:
    """The three fleets, and when each fault began and was over."""

    ours: Scenario
    others: list[Scenario]
    spans: dict[str, tuple[float, float]] = field(default_factory=dict)
    active_at: float = 0.0
    killed: list[tuple[str, float]] = field(default_factory=list)  # servers and when, monotonic

    @property
    def all(self) -> list[Scenario]:
        return [self.ours, *self.others]

    @contextlib.contextmanager
    def fault(self, what: str) -> Iterator[None]:
        begun = time.time()
        yield
        self.spans[what] = (begun, time.time())

    def kill(self, *names: str) -> None:
        for scenario in self.all:
            for name in names:
                self.killed.append((f"{scenario.host(name)}:{LISTEN}", time.monotonic()))
                scenario.processes[name].kill()

    def start(self, *names: str, kind: str = "") -> None:
        for scenario in self.all:
            for name in names:
                if kind:
                    scenario.start_as(name, kind)
                else:
                    scenario.start(name)


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """The trial; `broken` names a fault put into the servers on purpose."""
    result = ExperimentResult("policy")
    with Testbed(seed) as testbed, closing(Block()) as block:
        stages = [
            Scenario(testbed, block.second, kind, place, len(KINDS), seed, keys=MEMBERSHIP)
            for place, kind in enumerate((broken or "ours", "alone", "weakest"))
        ]
        act = Act(stages[0], stages[1:])
        for name in ("m0", "m4"):
            act.ours.policy_file(name).write_text(POLICY.format(number=1, entries=1000))
        act.start(*act.ours.names)
        for scenario in act.all:
            for name in scenario.names:
                scenario.wait_up(name)
        if act.ours.wait_agreed(act.ours.names, PATIENCE) is None:
            raise TestbedError(f"no view: {act.ours.processes['m0'].tail()}")
        if not act.ours.wait_active(1, act.ours.names, PATIENCE):
            last = [f"{one.member} {one.what} {one.pairs}" for one in act.ours.said()[-12:]]
            raise TestbedError("\n".join(["no policy came into force", *last]))
        act.active_at = time.monotonic()
        faults = _draw_faults(act, 2 if quick else 4)
        routers = _routers(testbed, act, sum(span for span, _ in faults))
        for span, do in faults:
            begun = time.monotonic()
            do()
            time.sleep(max(begun + span - time.monotonic(), 0.0))
        for one in routers:
            one.popen.wait(30)
        codes = [
            scenario.processes[name].leave()
            for scenario in act.all
            for name in scenario.names
            if scenario.processes[name].alive
        ]
        time.sleep(0.1)
        _check_promises(act, result, codes)
        act.ours.relay.close()
    return result


def _routers(testbed: Testbed, act: Act, seconds: float) -> list[Process]:
    return [
        testbed.router(
            scenario.idempotency_key("router"),
            [f"{scenario.host(name)}:{LISTEN}" for name in scenario.names],
            rate=60,
            seconds=seconds,
            request_classes=REQUEST_CLASSES,
        )
        for scenario in act.all
    ]


def _draw_faults(act: Act, rounds: int) -> list[tuple[float, Callable[[], None]]]:
    """What happens, and how long it may take until the next thing does."""
    ours = act.ours

    def bump() -> None:
        with act.fault("a new version during a cut"):
            ours.cut(True)
            time.sleep(0.3)  # the cut is felt by nobody yet
            ours.give("m4", 3, 1200)
            ours.give("m0", 2, 1100)
            time.sleep(5.0)
            ours.cut(False)
            time.sleep(3.0)

    def capable(turn: int) -> None:
        with act.fault(f"capable members killed, {turn}"):
            act.kill("m1", "m2")
            time.sleep(4.2)
            act.start("m1", "m2")
            time.sleep(2.5)

    def settle() -> None:
        """The last return's way up belongs to those faults: they are judged as one."""
        with act.fault("after them"):
            time.sleep(7.5)

    def other_hardware() -> None:
        with act.fault("cold restart on other hardware"):
            act.kill("m0")
            act.start("m0", kind="plain")
            time.sleep(4.5)

    def none_left() -> None:
        act.kill("m1", "m2")
        time.sleep(3.0)
        with act.fault("no capable member left"):
            time.sleep(2.0)
        act.start("m1", "m2")

    def wrong() -> None:
        with act.fault("a wrong translation"):
            ours.give("m4", TAMPERED)
            time.sleep(4.0)

    return [
        (3.0, lambda: None),
        (9.0, bump),
        *((6.9, lambda turn=turn: capable(turn)) for turn in range(rounds)),
        (7.5, settle),
        (4.5, other_hardware),
        (7.5, none_left),
        (4.5, wrong),
    ]


def _check_injected(act: Act, result: ExperimentResult) -> None:
    """A run whose faults did not take place shows nothing."""
    ours, folder = act.ours, act.ours.testbed.folder
    logs = {name: folder / f"{ours.idempotency_key(name)}.log" for name in ours.names}
    for name, path in logs.items():
        result.require(f"{name} runs as {ours.kind}", was_announced(path, ours.kind))
    result.require(
        "one member's translation came out wrong",
        any(was_announced(path, WRONG_TRANSLATION) for path in logs.values()),
    )
    for scenario in act.others:
        if scenario.kind == "weakest":
            paths = [folder / f"{scenario.idempotency_key(name)}.log" for name in scenario.names]
            taken = any(was_announced(path, "weakest") for path in paths)
            result.require("the baseline serves as its weakest class", taken)


def _check_lost(act: Act, result: ExperimentResult, tries: list[dict[str, Any]]) -> None:
    """A connection ends with requests open where its server was killed, and nowhere else."""
    lost = [one for one in tries if one["how"] in ("lost", "unanswered")]
    unexplained = [
        one["name"]
        for one in lost
        if not any(
            server == one["server"] and killed_at <= one["until"] < killed_at + KILL_SEEN_WITHIN_S
            for server, killed_at in act.killed
        )
    ]
    result.check(
        "no request lost but by a kill", not unexplained, f"{len(lost)} lost, {len(unexplained)} else"
    )


def _check_promises(act: Act, result: ExperimentResult, codes: list[int]) -> None:
    _check_injected(act, result)
    ours, testbed = act.ours, act.ours.testbed
    lines = ours.said()
    holds = [one for one in lines if one.what == "policy active"]
    tries = {scenario.kind: list(testbed.held(scenario.idempotency_key("router"))) for scenario in act.all}
    begun = {scenario.kind: _begun(scenario) for scenario in act.all}
    served = [
        (name, when, ours.kind_at(name, when))
        for one in tries[ours.kind]
        if one["track"] == "pay"
        for name, when in begun[ours.kind].get(one["name"], [])
        if when > act.active_at + SLACK
    ]
    _check_lost(act, result, tries[ours.kind])
    unfit = [one for one in served if one[2] != "disk"]
    result.check(
        "no ticket served by a class that can't run what its flow requires",
        not unfit and len(served) > 100,
        f"{len(unfit)} of {len(served)}",
    )
    by_epoch: dict[str, set[tuple[str, str]]] = {}
    for line in holds:
        by_epoch.setdefault(line.pairs["epoch"], set()).add(
            (line.pairs["policy"], line.pairs["fallback_levels"])
        )
    double = {epoch: those for epoch, those in by_epoch.items() if len(those) > 1}
    result.check("no epoch with two active translations", not double, double or len(by_epoch))
    numbers = {one.pairs["policy"].split(".")[0] for one in holds}
    result.check("versions came into force", {"1", "2", "3"} <= numbers, sorted(numbers))
    first = {
        one.pairs["epoch"]
        for one in holds
        if one.pairs["policy"].startswith("1.") and one.when < min(span[0] for span in act.spans.values())
    }
    result.check("the first version at one epoch everywhere", len(first) == 1, sorted(first))
    refused = sum(one.what == "policy refused" for one in lines)
    result.check("a wrong translation is refused by who can't run it", refused > 0, refused)
    changes = _changes(act, holds)
    for what, many in changes.items():
        result.check(f"changes of what holds, {what}: at most {CHANGES_MOST}", many <= CHANGES_MOST, many)
    fallbacks = [many for what, many in changes.items() if what.startswith("capable")]
    result.check("flows did step down and up", sum(fallbacks) >= 2, fallbacks)
    since, until = act.spans["no capable member left"]
    rejected = [one for one in tries[ours.kind] if one["track"] == "pay" and since <= one["sent"] < until]
    quick = [one["until"] - one["from"] for one in rejected if one["how"] == "denied"]
    late = statistics.median(quick) if quick else 9.0
    told = sum("come_back" in one for one in rejected)
    result.check(
        "a flow nobody can run is denied early, with a come-back time",
        len(quick) >= 0.95 * len(rejected) > 5 and told >= 0.95 * len(quick) and late < 0.1,
        f"{len(quick)} of {len(rejected)}, {told} told, {1000 * late:.1f} ms",
    )
    causes = {one.pairs.get("reason", "") for one in lines if one.what == "flow denied"}
    result.check("and its cause is in the log", "no member can run durable-recall" in causes, len(causes))
    worth = {
        scenario.kind: _worth(scenario, tries[scenario.kind], begun[scenario.kind]) for scenario in act.all
    }
    for scenario in act.others:
        result.check(
            f"worth served above the baseline {scenario.kind}",
            worth[ours.kind] > worth[scenario.kind],
            f"{worth[ours.kind]} to {worth[scenario.kind]}",
        )
    result.check("all left in order at the end", not any(codes), codes)
    paths = [testbed.folder / f"{ours.idempotency_key(name)}.log" for name in ours.names]
    logs = "".join(path.read_text(errors="replace") for path in paths)
    result.check("no fault of our own in the logs", "Traceback" not in logs, logs.count("Traceback"))
    hows = Counter(one["how"] for one in tries[ours.kind])
    counters = Counter[str]()
    for name in ours.names:
        for key, value in testbed.counters(ours.processes[name]).items():
            if key.startswith(("policy_denied", "policy_refused", "forward_")) and value.isdigit():
                counters[key] += int(value)
    request_classes = Counter(one["track"] for one in tries[ours.kind] if one["how"] == "denied")
    result.figures |= {
        "tickets": len(tries[ours.kind]),
        **{how: hows[how] for how in ("completed", "denied", "terminated", "lost", "unanswered")},
        "pay_served": len(served),
        "pay_served_unfit": len(unfit),
        "epochs": len(by_epoch),
        **{f"denied_{request_class}": many for request_class, many in sorted(request_classes.items())},
        **dict(sorted(counters.items())),
        **{f"worth_{kind}": value for kind, value in worth.items()},
    }


def _begun(scenario: Scenario) -> dict[str, list[tuple[str, float]]]:
    """By request, the servers that ran it and when."""
    found: dict[str, list[tuple[str, float]]] = {}
    for name in scenario.names:
        for word, request, when in scenario.testbed.runs(scenario.idempotency_key(name)):
            if word == "begin":
                found.setdefault(request, []).append((name, when))
    return found


def _worth(scenario: Scenario, tries: list[dict[str, Any]], begun: dict[str, list[tuple[str, float]]]) -> int:
    """What completed requests are worth: nothing without what is required, more with what is preferred."""
    total = 0
    for one in tries:
        if one["how"] != "completed" or one["name"] not in begun:
            continue
        name, when = begun[one["name"]][-1]
        kind = scenario.kind_at(name, when)
        if one["track"] != "pay" or kind == "disk":
            total += WORTH[one["track"]]
        if one["track"] == "read" and kind != "small" and scenario.kind != "weakest":
            total += MAX_BUNDLES
    return total


def _changes(act: Act, holds: list[Said]) -> dict[str, int]:
    """Changes of what holds in the whole fleet, by fault; repeats of one fault in a row are judged as one."""
    order = sorted(
        {(int(one.pairs["epoch"]), one.pairs["policy"], one.pairs["fallback_levels"]) for one in holds}
    )
    first: dict[int, float] = {}
    for one in holds:
        first.setdefault(int(one.pairs["epoch"]), one.when)  # they are in the order of time
    moments = [first[now[0]] for was, now in pairwise(order) if was[1:] != now[1:]]
    joined: dict[str, tuple[float, float]] = {}
    for what, (since, until) in act.spans.items():
        name = "capable members killed in a row" if what.startswith(("capable", "after")) else what
        known = joined.get(name, (since, until))
        joined[name] = (min(known[0], since), max(known[1], until))
    return {name: sum(since <= at < until for at in moments) for name, (since, until) in joined.items()}
