"""Policy experiment: servers of three hardware classes, a policy that not all of them can run, and faults.

There are six servers, each with its own interpreter, and links that pass through the fault relay. A new
policy version is published while two servers are cut off, which are given another version; capable servers
are killed and restarted several times in a row; one restarts on other hardware; all remaining capable ones
are killed; a translation is wrong. Two baselines run beside them under the same requests and kills: each
server on its own, and a fleet limited to the subset of its weakest class. The runs that the interpreters
recorded are compared with what the flows require.
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
from .policy_member import FAULTY_POLICY_NUMBER, WRONG_TRANSLATION
from .replaced_parts import was_announced
from .result import ExperimentResult
from .testbed import PATIENCE, Process, Testbed, TestbedError, free_port

FAULTY_VARIANTS = ("ignore-class", "minority-activates", "no-dwell", "unverified")
LINK_PORT = 7702
LINK_RELAY_PORT = DOOR + 50
HOST_KINDS = ("disk", "disk", "disk", "plain", "plain", "small")
MINORITY = ("m4", "m5")  # the servers that are cut off
MAX_CHANGES_PER_FAULT = 2  # of the active policy and fallback levels
TRANSLATION_TIMEOUT_S = 30.0
REFUSAL_TIMEOUT_S = 15.0  # for the offer, transfer and check of a translation
REFUSAL_SPREAD_S = (
    3.0  # for further members, and for changes of the active policy, of which there must be none
)
KILL_SEEN_WITHIN_S = 1.0  # time until the router sees its connection end
POLICY_CHANGE_SLACK_S = 0.2  # an admitted run may start this long after the policy of its server changed
REQUEST_CLASSES = {"pay": {"share": 0.3, "keyed": True}, "read": {"share": 0.4}, "bulk": {"share": 0.3}}
RUN_TIMES_S = {"pay": 0.03, "read": 0.02, "bulk": 0.02}
CLASSES = [
    {"name": "pay", "on-time-s": 1.0, "deadline-s": 2.0, "repeat": "keyed", "window-s": 5.0},
    {"name": "read", "on-time-s": 1.0, "deadline-s": 2.0, "repeat": "safe"},
    {"name": "bulk", "on-time-s": 1.0, "deadline-s": 2.0, "repeat": "safe"},
]
WORTH = {"pay": 10, "read": 2, "bulk": 1}
KEPT_RESULT_WORTH = 4  # additional worth of a read on a server that keeps results
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
MEMBERSHIP_SETTINGS: dict[str, object] = {
    "period-s": 0.25,
    "probe-timeout-s": 0.1,
    "found-after-s": 1.0,
    "join-every-s": 0.3,
    "vote-timeout-s": 0.5,
    "sync-every-s": 1.0,
}
POLICY_SETTINGS = {"dwell-down-s": 0.8, "dwell-up-s": 5.0, "rest-s": 2.0, "settle-s": 1.0, "stagger-s": 2.0}
POLICY_LOG_LINE = re.compile(r"^time=(\S+) level=\S+ from=feature_policy\.service(?:\.changes)? event=(.*)$")


@dataclass(frozen=True)
class PolicyLogLine:
    """A line about policies in a member's log."""

    when: float
    member: str
    event: str
    fields: dict[str, str]


@dataclass
class Scenario(Fleet):
    """One of the three fleets.

    `kind` is `ours` or a faulty variant, or one of the baselines `alone` and `weakest`, which have no policy.
    """

    vms: dict[str, int] = field(default_factory=dict)
    host_kinds: dict[str, list[tuple[float, str]]] = field(default_factory=dict)  # by server: (since, kind)

    def __post_init__(self) -> None:
        self.names = [f"m{number}" for number in range(self.size)]
        self.relay_host = f"127.{self.block}.{self.place}.250"
        self.doors = {name: f"{self.relay_host}:{DOOR + index}" for index, name in enumerate(self.names)}
        if self.has_policy:
            doors = [
                {"owner": name, "port": relay_port + index, "to": f"{self.host(name)}:{port}"}
                for relay_port, port in ((DOOR, PORT), (LINK_RELAY_PORT, LINK_PORT))
                for index, name in enumerate(self.names)
            ]
            self.relay = Relay(self.testbed, self.idempotency_key("relay"), self.relay_host, self.seed, doors)
        for name in self.names:
            self.vms[name] = free_port()
            self.testbed.interpreter(self.idempotency_key(name), self.vms[name], work=RUN_TIMES_S, cores=8)

    @property
    def has_policy(self) -> bool:
        return self.kind not in ("alone", "weakest")

    def policy_file(self, name: str) -> Path:
        return self.testbed.folder / f"{self.idempotency_key(name)}.policy"

    def publish_policy(self, name: str, number: int, entries: int = 1000) -> None:
        """Write a policy document for a server and reload it with SIGHUP, as operators would."""
        self.policy_file(name).write_text(POLICY.format(number=number, entries=entries))
        if name in self.processes:
            self.signal(name, signal.SIGHUP)

    def features_on(self, name: str, host_kind: str) -> str:
        lines = ["version: 1"]
        if self.has_policy:
            index = self.names.index(name)
            lines = [super().features(name), "forwarding:", f"  listen: {self.host(name)}:{LINK_PORT}"]
            lines.append(f"  advertise: {self.relay_host}:{LINK_RELAY_PORT + index}")
            lines += ["policy:", *(f"  {key}: {value}" for key, value in POLICY_SETTINGS.items())]
            if self.policy_file(name).exists():
                lines.append(f"  file: {self.policy_file(name)}")
        if host_kind == "disk":
            lines += ["recall:", f"  folder: {self.testbed.folder / self.idempotency_key(name)}-disk"]
        return "\n".join([*lines, ""])

    def start_on(self, name: str, host_kind: str) -> None:
        """Start a server on hardware of a kind, without waiting until it is up."""
        testbed, idempotency_key = self.testbed, self.idempotency_key(name)
        features_path = testbed.folder / f"{idempotency_key}.yaml"
        features_path.write_text(self.features_on(name, host_kind))
        is_small = host_kind == "small"
        extra = {
            "cores": 2 if is_small else 4,
            "memory-kb": 20000.0,
            "run-factor": 4.0,
            "key-kb": 1.0,
            "halt": "off" if is_small else "drop",
            "idle-s": 30.0,
            "callers": 4,
            "share-for-s": 0.0 if is_small else 10.0,
        }
        config_path = testbed.configuration(
            idempotency_key,
            LISTEN,
            self.vms[name],
            name=name,
            listen=f"{self.host(name)}:{LISTEN}",
            limits={"memory_mb": 16 if is_small else 192, "sockets": 1024},
            settings={"classes": CLASSES, "servers": self.size, "extra": extra},
        )
        module_arguments = ["sablewheel"]
        if self.has_policy:
            module_arguments = ["sablewheel.experiments.policy_member", self.kind]
        elif self.kind == "weakest":
            module_arguments = ["sablewheel.experiments.policy_member", "weakest", "pay"]
        self.host_kinds.setdefault(name, []).append((time.monotonic(), host_kind))
        self.processes[name] = testbed.start(
            idempotency_key,
            *module_arguments,
            shifted=False,
            RELAY_CONFIG=str(config_path),
            SABLEWHEEL_FEATURES=str(features_path),
        )

    def start(self, name: str) -> None:
        self.start_on(name, HOST_KINDS[self.names.index(name)])

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

    def host_kind_at(self, name: str, when: float) -> str:
        return [host_kind for since, host_kind in self.host_kinds[name] if since <= when][-1]

    def cut_minority(self, cut: bool) -> None:
        majority = [name for name in self.names if name not in MINORITY]
        self.relay.set(MINORITY, majority, cut=cut)
        self.relay.set(majority, MINORITY, cut=cut)

    def log_lines(self) -> list[PolicyLogLine]:
        lines = []
        for name in self.names:
            path = self.testbed.folder / f"{self.idempotency_key(name)}.log"
            for line in path.read_text(errors="replace").splitlines():
                if match := POLICY_LOG_LINE.match(line):
                    words = shlex.split(match[2])
                    fields = dict(word.split("=", 1) for word in words[1:] if "=" in word)
                    lines.append(PolicyLogLine(float(match[1]), name, words[0], fields))
        return sorted(lines, key=lambda log_line: log_line.when)

    def active_policies(self) -> dict[str, str]:
        """Return the policy that each member last logged as active."""
        return {
            line.member: line.fields["policy"] for line in self.log_lines() if line.event == "policy active"
        }

    def has_wrong_translation(self) -> bool:
        """Return whether a member has produced the wrong translation."""
        logs = (self.testbed.folder / f"{self.idempotency_key(name)}.log" for name in self.names)
        return any(was_announced(path, WRONG_TRANSLATION) for path in logs)

    def has_refused_policy(self) -> bool:
        """Return whether a member has refused a policy."""
        return any(line.event == "policy refused" for line in self.log_lines())

    def wait_for(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Wait until a condition holds; return whether it does in time."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if condition():
                return True
            time.sleep(0.1)
        return False

    def wait_active(self, number: int, names: list[str], timeout_s: float) -> bool:
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            active = self.active_policies()
            if all(active.get(name, "").startswith(f"{number}.") for name in names):
                return True
            time.sleep(0.1)
        return False


@dataclass
class PolicyExperiment:
    """The three fleets, and the faults that were injected."""

    tested: Scenario
    baselines: list[Scenario]
    # Fault -> (start, end) as time.time().
    fault_spans: dict[str, tuple[float, float]] = field(default_factory=dict)
    active_at: float = 0.0  # when the first policy was active, monotonic
    kills: list[tuple[str, float]] = field(default_factory=list)  # (address, when), monotonic

    @property
    def fleets(self) -> list[Scenario]:
        return [self.tested, *self.baselines]

    @contextlib.contextmanager
    def fault(self, fault: str) -> Iterator[None]:
        started_at = time.time()
        yield
        self.fault_spans[fault] = (started_at, time.time())

    def kill(self, *names: str) -> None:
        for scenario in self.fleets:
            for name in names:
                self.kills.append((f"{scenario.host(name)}:{LISTEN}", time.monotonic()))
                scenario.processes[name].kill()

    def start(self, *names: str, host_kind: str = "") -> None:
        for scenario in self.fleets:
            for name in names:
                if host_kind:
                    scenario.start_on(name, host_kind)
                else:
                    scenario.start(name)


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Run the experiment; `broken` names the faulty variant of the servers, empty for none."""
    result = ExperimentResult("policy")
    with Testbed(seed) as testbed, closing(Block()) as block:
        scenarios = [
            Scenario(testbed, block.second, kind, index, len(HOST_KINDS), seed, keys=MEMBERSHIP_SETTINGS)
            for index, kind in enumerate((broken or "ours", "alone", "weakest"))
        ]
        experiment = PolicyExperiment(scenarios[0], scenarios[1:])
        for name in ("m0", "m4"):
            experiment.tested.policy_file(name).write_text(POLICY.format(number=1, entries=1000))
        experiment.start(*experiment.tested.names)
        for scenario in experiment.fleets:
            for name in scenario.names:
                scenario.wait_until_up(name)
        if experiment.tested.wait_agreed(experiment.tested.names, PATIENCE) is None:
            raise TestbedError(
                f"the servers did not agree on a view: {experiment.tested.processes['m0'].tail()}"
            )
        if not experiment.tested.wait_active(1, experiment.tested.names, PATIENCE):
            last_lines = [
                f"{line.member} {line.event} {line.fields}" for line in experiment.tested.log_lines()[-12:]
            ]
            raise TestbedError("\n".join(["no policy was activated", *last_lines]))
        experiment.active_at = time.monotonic()
        faults = _draw_faults(experiment, 2 if quick else 4)
        routers = _routers(testbed, experiment, sum(duration_s for duration_s, _ in faults))
        for duration_s, inject in faults:
            started_at = time.monotonic()
            inject()
            time.sleep(max(started_at + duration_s - time.monotonic(), 0.0))
        for router in routers:
            router.popen.wait(30)
        exit_codes = [
            scenario.processes[name].leave()
            for scenario in experiment.fleets
            for name in scenario.names
            if scenario.processes[name].alive
        ]
        time.sleep(0.1)
        _check_promises(experiment, result, exit_codes)
        experiment.tested.relay.close()
    return result


def _routers(testbed: Testbed, experiment: PolicyExperiment, seconds: float) -> list[Process]:
    return [
        testbed.router(
            scenario.idempotency_key("router"),
            [f"{scenario.host(name)}:{LISTEN}" for name in scenario.names],
            rate=60,
            seconds=seconds,
            request_classes=REQUEST_CLASSES,
        )
        for scenario in experiment.fleets
    ]


def _draw_faults(experiment: PolicyExperiment, rounds: int) -> list[tuple[float, Callable[[], None]]]:
    """Return each fault with the time until the next one starts."""
    tested = experiment.tested

    def publish_during_cut() -> None:
        with experiment.fault("a new version during a cut"):
            tested.cut_minority(True)
            time.sleep(0.3)  # before any server has detected the cut
            tested.publish_policy("m4", 3, 1200)
            tested.publish_policy("m0", 2, 1100)
            time.sleep(5.0)
            tested.cut_minority(False)
            time.sleep(3.0)

    def kill_capable(round_number: int) -> None:
        with experiment.fault(f"capable members killed, {round_number}"):
            experiment.kill("m1", "m2")
            time.sleep(4.2)
            experiment.start("m1", "m2")
            time.sleep(2.5)

    def settle() -> None:
        """Wait for the changes after the last restart, which count towards the kills of capable members."""
        with experiment.fault("after them"):
            time.sleep(7.5)

    def other_hardware() -> None:
        with experiment.fault("cold restart on other hardware"):
            experiment.kill("m0")
            experiment.start("m0", host_kind="plain")
            time.sleep(4.5)

    def kill_all_capable() -> None:
        experiment.kill("m1", "m2")
        time.sleep(3.0)
        with experiment.fault("no capable member left"):
            time.sleep(2.0)
        experiment.start("m1", "m2")

    def publish_wrong_translation() -> None:
        with experiment.fault("a wrong translation"):
            tested.publish_policy("m4", FAULTY_POLICY_NUMBER)
            # By state, since both take seconds on a busy machine. Without the first the run is void.
            if tested.wait_for(tested.has_wrong_translation, TRANSLATION_TIMEOUT_S):
                tested.wait_for(tested.has_refused_policy, REFUSAL_TIMEOUT_S)
            time.sleep(REFUSAL_SPREAD_S)

    return [
        (3.0, lambda: None),
        (9.0, publish_during_cut),
        *(
            (6.9, lambda round_number=round_number: kill_capable(round_number))
            for round_number in range(rounds)
        ),
        (7.5, settle),
        (4.5, other_hardware),
        (7.5, kill_all_capable),
        (4.5, publish_wrong_translation),
    ]


def _check_injected(experiment: PolicyExperiment, result: ExperimentResult) -> None:
    """Check that the faults were injected: without them the run has no result."""
    tested, folder = experiment.tested, experiment.tested.testbed.folder
    logs = {name: folder / f"{tested.idempotency_key(name)}.log" for name in tested.names}
    for name, path in logs.items():
        result.require(f"{name} runs as {tested.kind}", was_announced(path, tested.kind))
    result.require("one member produced a wrong translation", tested.has_wrong_translation())
    for scenario in experiment.baselines:
        if scenario.kind == "weakest":
            paths = [folder / f"{scenario.idempotency_key(name)}.log" for name in scenario.names]
            was_replaced = any(was_announced(path, "weakest") for path in paths)
            result.require("the baseline serves as its weakest class", was_replaced)


def _check_lost(
    experiment: PolicyExperiment, result: ExperimentResult, attempts: list[dict[str, Any]]
) -> None:
    """Check that open requests were lost only at the time when their server was killed."""
    lost = [attempt for attempt in attempts if attempt["how"] in ("lost", "unanswered")]
    unexplained = [
        attempt["name"]
        for attempt in lost
        if not any(
            server == attempt["server"] and killed_at <= attempt["until"] < killed_at + KILL_SEEN_WITHIN_S
            for server, killed_at in experiment.kills
        )
    ]
    result.check(
        "requests are lost only by kills",
        not unexplained,
        f"{len(lost)} lost, {len(unexplained)} unexplained",
    )


def _check_promises(experiment: PolicyExperiment, result: ExperimentResult, exit_codes: list[int]) -> None:
    _check_injected(experiment, result)
    tested, testbed = experiment.tested, experiment.tested.testbed
    lines = tested.log_lines()
    active_lines = [line for line in lines if line.event == "policy active"]
    attempts = {
        scenario.kind: list(testbed.held(scenario.idempotency_key("router")))
        for scenario in experiment.fleets
    }
    runs_by_request = {scenario.kind: _runs_by_request(scenario) for scenario in experiment.fleets}
    served = [
        (name, when, tested.host_kind_at(name, when))
        for attempt in attempts[tested.kind]
        if attempt["track"] == "pay"
        for name, when in runs_by_request[tested.kind].get(attempt["name"], [])
        if when > experiment.active_at + POLICY_CHANGE_SLACK_S
    ]
    _check_lost(experiment, result, attempts[tested.kind])
    unfit = [run for run in served if run[2] != "disk"]
    result.check(
        "no request is served by a class that can't run what its flow requires",
        not unfit and len(served) > 100,
        f"{len(unfit)} of {len(served)}",
    )
    by_epoch: dict[str, set[tuple[str, str]]] = {}
    for line in active_lines:
        by_epoch.setdefault(line.fields["epoch"], set()).add(
            (line.fields["policy"], line.fields["fallback_levels"])
        )
    conflicting = {epoch: policies for epoch, policies in by_epoch.items() if len(policies) > 1}
    result.check("no epoch has two active translations", not conflicting, conflicting or len(by_epoch))
    numbers = {line.fields["policy"].split(".")[0] for line in active_lines}
    result.check("all versions were activated", {"1", "2", "3"} <= numbers, sorted(numbers))
    first_epochs = {
        line.fields["epoch"]
        for line in active_lines
        if line.fields["policy"].startswith("1.")
        and line.when < min(span[0] for span in experiment.fault_spans.values())
    }
    result.check(
        "the first version was activated at one epoch everywhere",
        len(first_epochs) == 1,
        sorted(first_epochs),
    )
    refused = sum(line.event == "policy refused" for line in lines)
    result.check("a wrong translation is refused by servers that can't run it", refused > 0, refused)
    changes = _count_changes(experiment, active_lines)
    for fault, count in changes.items():
        result.check(
            f"changes of the active policy, {fault}: at most {MAX_CHANGES_PER_FAULT}",
            count <= MAX_CHANGES_PER_FAULT,
            count,
        )
    capability_changes = [count for fault, count in changes.items() if fault.startswith("capable")]
    result.check("flows changed their fallback levels", sum(capability_changes) >= 2, capability_changes)
    since, until = experiment.fault_spans["no capable member left"]
    rejected = [
        attempt
        for attempt in attempts[tested.kind]
        if attempt["track"] == "pay" and since <= attempt["sent"] < until
    ]
    rejection_times = [
        attempt["until"] - attempt["from"] for attempt in rejected if attempt["how"] == "denied"
    ]
    median_s = statistics.median(rejection_times) if rejection_times else 9.0
    with_retry_time = sum("come_back" in attempt for attempt in rejected)
    result.check(
        "a flow that no server can run is denied early, with a retry time",
        len(rejection_times) >= 0.95 * len(rejected) > 5
        and with_retry_time >= 0.95 * len(rejection_times)
        and median_s < 0.1,
        f"{len(rejection_times)} of {len(rejected)}, {with_retry_time} with a retry time, "
        f"{1000 * median_s:.1f} ms",
    )
    denial_reasons = {line.fields.get("reason", "") for line in lines if line.event == "flow denied"}
    result.check(
        "and the log has the reason",
        "no member can run durable-recall" in denial_reasons,
        len(denial_reasons),
    )
    worth = {
        scenario.kind: _served_worth(scenario, attempts[scenario.kind], runs_by_request[scenario.kind])
        for scenario in experiment.fleets
    }
    for scenario in experiment.baselines:
        result.check(
            f"worth served above the baseline {scenario.kind}",
            worth[tested.kind] > worth[scenario.kind],
            f"{worth[tested.kind]} to {worth[scenario.kind]}",
        )
    result.check("all servers exited cleanly at the end", not any(exit_codes), exit_codes)
    paths = [testbed.folder / f"{tested.idempotency_key(name)}.log" for name in tested.names]
    logs = "".join(path.read_text(errors="replace") for path in paths)
    result.check("no traceback in the logs", "Traceback" not in logs, logs.count("Traceback"))
    outcomes = Counter(attempt["how"] for attempt in attempts[tested.kind])
    counters = Counter[str]()
    for name in tested.names:
        for key, value in testbed.counters(tested.processes[name]).items():
            if key.startswith(("policy_denied", "policy_refused", "forward_")) and value.isdigit():
                counters[key] += int(value)
    request_classes = Counter(
        attempt["track"] for attempt in attempts[tested.kind] if attempt["how"] == "denied"
    )
    result.figures |= {
        "tickets": len(attempts[tested.kind]),
        **{how: outcomes[how] for how in ("completed", "denied", "terminated", "lost", "unanswered")},
        "pay_served": len(served),
        "pay_served_unfit": len(unfit),
        "epochs": len(by_epoch),
        **{f"denied_{request_class}": count for request_class, count in sorted(request_classes.items())},
        **dict(sorted(counters.items())),
        **{f"worth_{kind}": value for kind, value in worth.items()},
    }


def _runs_by_request(scenario: Scenario) -> dict[str, list[tuple[str, float]]]:
    """Return the servers that ran each request, with the start times."""
    runs: dict[str, list[tuple[str, float]]] = {}
    for name in scenario.names:
        for event, request, when in scenario.testbed.runs(scenario.idempotency_key(name)):
            if event == "begin":
                runs.setdefault(request, []).append((name, when))
    return runs


def _served_worth(
    scenario: Scenario, attempts: list[dict[str, Any]], runs_by_request: dict[str, list[tuple[str, float]]]
) -> int:
    """Return the worth of completed requests: 0 without a required feature, more with a preferred one."""
    total = 0
    for attempt in attempts:
        if attempt["how"] != "completed" or attempt["name"] not in runs_by_request:
            continue
        name, when = runs_by_request[attempt["name"]][-1]
        host_kind = scenario.host_kind_at(name, when)
        if attempt["track"] != "pay" or host_kind == "disk":
            total += WORTH[attempt["track"]]
        if attempt["track"] == "read" and host_kind != "small" and scenario.kind != "weakest":
            total += KEPT_RESULT_WORTH
    return total


def _count_changes(experiment: PolicyExperiment, active_lines: list[PolicyLogLine]) -> dict[str, int]:
    """Count the fleet-wide changes of the active policy by fault; repeated kills count as one fault."""
    active_states = sorted(
        {
            (int(line.fields["epoch"]), line.fields["policy"], line.fields["fallback_levels"])
            for line in active_lines
        }
    )
    first_seen: dict[int, float] = {}
    for line in active_lines:
        first_seen.setdefault(int(line.fields["epoch"]), line.when)  # the lines are ordered by time
    change_times = [
        first_seen[current[0]] for previous, current in pairwise(active_states) if previous[1:] != current[1:]
    ]
    joined_spans: dict[str, tuple[float, float]] = {}
    for fault, (since, until) in experiment.fault_spans.items():
        name = "capable members killed in a row" if fault.startswith(("capable", "after")) else fault
        span = joined_spans.get(name, (since, until))
        joined_spans[name] = (min(span[0], since), max(span[1], until))
    return {
        name: sum(since <= changed_at < until for changed_at in change_times)
        for name, (since, until) in joined_spans.items()
    }
