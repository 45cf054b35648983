"""Session affinity experiment: real servers, and kiosks that send their requests to any of them.

Each server has its own interpreter, and each link passes through the fault relay. Three policy versions are
activated; a server is killed and restarts cold; one drains; one is stopped past its removal and resumed. The
interpreters' records show where a session's keyed requests ran; the servers' logs show the migrations and
their causes. For comparison, hashing modulo N and plain rendezvous hashing without bindings are applied to
the same sessions and the same failure.
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

SERVER_COUNT = 5
KIOSK_COUNT = 30
MIGRATIONS_PER_S = 0.8
REQUESTS_PER_S = 80.0
DEADLINE_S, KEY_WINDOW_S = 4.0, 6.0
CORES = 24
DRAIN_GRACE_S = 6.0
PAUSE_S = 6.0
LOAD_FACTOR, MIN_LOAD_BOUND = 1.25, 8
REQUEST_CLASSES = {"lookup": {"share": 0.5}, "record": {"share": 0.5, "keyed": True}}
# Keyed runs are long, so that the runs of a second owner would overlap them.
RUN_TIMES_S = {"lookup": 0.01, "record": 1.0}
CLASSES = [
    {"name": "lookup", "on-time-s": 2.0, "deadline-s": DEADLINE_S, "repeat": "safe"},
    {
        "name": "record",
        "on-time-s": 2.0,
        "deadline-s": DEADLINE_S,
        "repeat": "keyed",
        "window-s": KEY_WINDOW_S,
    },
]
MEMBERSHIP_SETTINGS: dict[str, object] = {
    "period-s": 0.25,
    "probe-timeout-s": 0.1,
    "found-after-s": 1.0,
    "join-every-s": 0.3,
    "vote-timeout-s": 0.5,
    "sync-every-s": 1.0,
}
MIGRATION_LINE = re.compile(
    r"^time=(\S+) level=\S+ from=session_affinity\.session_router event=\"session migrated\" (.*)$"
)


@dataclass(frozen=True)
class KeyedRun:
    """A keyed run as its interpreter recorded it; times are monotonic."""

    kiosk: str
    server: str
    started_at: float
    ended_at: float


@dataclass(frozen=True)
class Migration:
    """A migration as the log of the new owner has it. `when` is monotonic."""

    when: float
    cause: str
    previous_owner: str


class AffinityFleet(Scenario):
    """A fleet with forwarding, replication and session affinity."""

    broken = ""
    killed_server = "m2"  # the server that is killed

    def find_busiest(self) -> str:
        """Return the server with the most runs so far, of those that no other stage uses."""
        others = [name for name in self.names if name not in ("m1", "m3")]
        return max(others, key=lambda name: sum(1 for _ in self.testbed.runs(name)))

    @property
    def version_file(self) -> Path:
        return self.testbed.folder / "version"

    def features(self, name: str) -> str:
        index = self.names.index(name)
        lines = ["forwarding:", f"  listen: {self.host(name)}:{LINK_PORT}"]
        lines += [f"  advertise: {self.relay_host}:{LINK_RELAY_PORT + index}", "replication:", "  copies: 3"]
        lines += ["affinity:", "  idle-s: 600", "  keep-versions: 5", f"  moves-per-s: {MIGRATIONS_PER_S:g}"]
        lines += [f"  load-factor: {LOAD_FACTOR}", f"  bound-least: {MIN_LOAD_BOUND}"]
        return super(Scenario, self).features(name) + "\n".join([*lines, ""])

    def start(self, name: str) -> None:
        features_path = self.testbed.folder / f"{name}.yaml"
        features_path.write_text(self.features(name))
        safety = {**SETTINGS["safety"], "drain-grace-s": DRAIN_GRACE_S}
        extra = {**SETTINGS["extra"], "cores": CORES}
        config_path = self.testbed.configuration(
            name,
            LISTEN,
            self.vms[name],
            name=name,
            listen=f"{self.host(name)}:{LISTEN}",
            stop_ms=int(1000 * (DRAIN_GRACE_S + 2.0)),
            settings={"classes": CLASSES, "servers": self.size, "safety": safety, "extra": extra},
        )
        module_arguments = ("sablewheel.experiments.affinity_server", str(self.version_file), self.broken)
        self.processes[name] = self.testbed.start(
            name,
            *module_arguments,
            shifted=False,
            RELAY_CONFIG=str(config_path),
            SABLEWHEEL_FEATURES=str(features_path),
        )

    def migrations(self) -> list[Migration]:
        clock_offset = time.time() - time.monotonic()
        result = []
        for name in self.names:
            log_path = self.testbed.folder / f"{name}.log"
            for line in log_path.read_text(errors="replace").splitlines() if log_path.exists() else ():
                if match := MIGRATION_LINE.match(line):
                    fields = dict(word.split("=", 1) for word in shlex.split(match[2]) if "=" in word)
                    result.append(
                        Migration(float(match[1]) - clock_offset, fields["cause"], fields.get("owner", ""))
                    )
        return sorted(result, key=lambda migration: migration.when)

    def runs(self, keyed: bool = True) -> Iterator[KeyedRun]:
        """Yield keyed or all runs from the interpreters' records; unfinished ones end after a full run."""
        records = [record for record in self.testbed.held("client") if record["name"]]
        kiosks = {record["name"]: record["kiosk"] for record in records if record["label"] or not keyed}
        for name in self.names:
            start_times: dict[str, float] = {}
            for event, request, when in self.testbed.runs(name):
                if request not in kiosks:
                    continue
                if event == "begin":
                    start_times[request] = when
                elif (started_at := start_times.pop(request, None)) is not None:
                    yield KeyedRun(kiosks[request], name, started_at, when)
            for request, started_at in start_times.items():
                yield KeyedRun(kiosks[request], name, started_at, started_at + RUN_TIMES_S["record"])


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Run the experiment; `broken` names the faulty variant of the servers, empty for none."""
    result = ExperimentResult("affinity")
    stage_starts: dict[str, float] = {}
    with Testbed(seed) as testbed, closing(Block()) as block:
        scenario = AffinityFleet(
            testbed,
            block.second,
            "ours",
            0,
            SERVER_COUNT,
            seed,
            keys=MEMBERSHIP_SETTINGS,
            work=RUN_TIMES_S,
            cores=CORES,
        )
        scenario.broken = broken
        for name in scenario.names:
            scenario.start(name)
        for name in scenario.names:
            scenario.wait_until_up(name)
        if scenario.wait_agreed(scenario.names, PATIENCE) is None:
            raise TestbedError(f"the servers did not agree on a view: {scenario.processes['m0'].tail()}")
        time.sleep(KEY_WINDOW_S + 3.0)  # runs of an earlier fleet are unknown
        calm_s = 3.0 if quick else 8.0
        stages = _stages(calm_s)
        seconds = sum(duration_s for duration_s, _ in stages)
        client = testbed.start(
            "client",
            "sablewheel.experiments.affinity_client",
            _client_options(scenario, seed, seconds),
            shifted=False,
        )
        for duration_s, stage in stages:
            stage_starts[stage] = time.monotonic()
            STAGE_ACTIONS.get(stage, _do_nothing)(scenario)
            time.sleep(max(stage_starts[stage] + duration_s - time.monotonic(), 0.0))
        stage_starts["end"] = time.monotonic()
        client.popen.wait(60)
        for name in scenario.names:
            if scenario.processes[name].alive:
                scenario.processes[name].leave()
        time.sleep(0.1)
        _check_promises(scenario, result, stage_starts)
        scenario.relay.close()
    return result


def _stages(calm_s: float) -> list[tuple[float, str]]:
    """Return the duration and the name of each stage; `STAGE_ACTIONS` has what it starts with."""
    round_s = 2.0 * KIOSK_COUNT / REQUESTS_PER_S
    return [
        (max(2 * round_s, 4.0), "begin"),
        (calm_s, "bump 2"),
        (calm_s, "bump 3"),
        (calm_s, "bump 4"),
        (15.0, "kill"),
        (6.0, "return"),
        (DRAIN_GRACE_S + 2.0, "drain"),
        (6.0, "back"),
        (PAUSE_S + 5.0, "pause"),
        (5.0, "calm"),
        (calm_s + 2.0, "again"),
    ]


def _do_nothing(scenario: AffinityFleet) -> None: ...


def _activate_version(version: int) -> Callable[[AffinityFleet], object]:
    def write_version(scenario: AffinityFleet) -> None:
        scenario.version_file.write_text(f"{version}\n")

    return write_version


def _pause(scenario: AffinityFleet) -> None:
    scenario.stop("m3")
    time.sleep(PAUSE_S)
    scenario.go_on("m3")


def _kill(scenario: AffinityFleet) -> None:
    scenario.killed_server = scenario.find_busiest()
    scenario.processes[scenario.killed_server].kill()


def _restart_drained(scenario: AffinityFleet) -> None:
    scenario.processes["m1"].popen.wait(10)
    scenario.start("m1")


STAGE_ACTIONS: dict[str, Callable[[AffinityFleet], object]] = {
    "bump 2": _activate_version(2),
    "bump 3": _activate_version(3),
    "bump 4": _activate_version(4),
    "kill": _kill,
    "return": lambda scenario: scenario.start(scenario.killed_server),
    "drain": lambda scenario: scenario.processes["m1"].popen.terminate(),
    "back": _restart_drained,
    "pause": _pause,
}


def _client_options(scenario: AffinityFleet, seed: int, seconds: float) -> str:
    options = {
        "servers": [f"{scenario.host(name)}:{LISTEN}" for name in scenario.names],
        "seed": seed,
        "rate": REQUESTS_PER_S,
        "seconds": seconds,
        "tenants": {"any": 1.0},
        "request_classes": REQUEST_CLASSES,
        "kiosks": KIOSK_COUNT,
        "log": str(scenario.testbed.folder / "client.held"),
        "patience_end": DEADLINE_S + 2.0,
    }
    return json.dumps(options)


def _check_promises(
    scenario: AffinityFleet, result: ExperimentResult, stage_starts: dict[str, float]
) -> None:
    for name in scenario.names:
        log = scenario.testbed.folder / f"{name}.log"
        variant = scenario.broken or "version-from-file"
        result.require(f"{name} runs as {variant}", was_announced(log, variant))
    runs = sorted(scenario.runs(), key=lambda run: run.started_at)
    migrations = [migration for migration in scenario.migrations() if migration.when < stage_starts["end"]]
    stages = [*sorted(stage_starts, key=lambda stage: stage_starts[stage])]
    next_stages = dict(pairwise(stages))

    def stage_span(stage: str) -> tuple[float, float]:
        return stage_starts[stage], stage_starts[next_stages[stage]]

    def changes(since: float, until: float) -> list[tuple[str, str, str]]:
        """Return (kiosk, from, to) for each change of the server that ran a kiosk's keyed requests."""
        last: dict[str, str] = {}
        found = []
        for run in runs:
            if run.started_at >= until:
                break
            if run.started_at >= since and last.get(run.kiosk, run.server) != run.server:
                found.append((run.kiosk, last[run.kiosk], run.server))
            last[run.kiosk] = run.server
        return found

    first_servers = {
        run.kiosk: run.server for run in scenario.runs(keyed=False) if run.started_at < stage_starts["bump 2"]
    }
    session_counts = Counter(first_servers.values())
    result.check(
        "every session has its server",
        len(first_servers) == KIOSK_COUNT,
        f"{len(first_servers)} of {KIOSK_COUNT}",
    )
    bound = max(MIN_LOAD_BOUND, math.ceil(LOAD_FACTOR * (KIOSK_COUNT + 1) / SERVER_COUNT))
    result.check(
        "no owner is above its bound",
        bool(session_counts) and max(session_counts.values()) <= bound,
        f"{max(session_counts.values(), default=0)} of {bound}",
    )
    changes_by_version = changes(stage_starts["bump 2"], stage_starts["kill"])
    logged = [
        migration
        for migration in migrations
        if stage_starts["bump 2"] <= migration.when < stage_starts["kill"]
    ]
    result.check(
        "no session migrates over three policy versions",
        not changes_by_version and not logged,
        f"{len(changes_by_version)} by the runs, {len(logged)} by the logs",
    )
    _check_kill(scenario, result, runs, migrations, changes(*stage_span("kill")), stage_span("kill"))
    changes_after_return = changes(*stage_span("return"))
    unexpected = [change for change in changes_after_return if change[1] != scenario.killed_server]
    result.check("the restart of the killed server migrates no session", not unexpected, f"{len(unexpected)}")
    changes_by_drain = changes(stage_starts["drain"], stage_starts["pause"])
    unexpected = [change for change in changes_by_drain if change[1] not in ("m1", scenario.killed_server)]
    late_migrations = [
        migration
        for migration in migrations
        if migration.previous_owner == "m1" and migration.when > stage_starts["back"]
    ]
    drain_causes = Counter(
        migration.cause
        for migration in migrations
        if migration.previous_owner == "m1" and migration.when >= stage_starts["drain"]
    )
    result.check(
        "a drain hands over all sessions within its grace period, and no others migrate",
        drain_causes["drain"] > 0 and not late_migrations and not unexpected,
        f"{dict(drain_causes)}, {len(late_migrations)} later, {len(unexpected)} of others",
    )
    affected_servers = ("m1", scenario.killed_server, "m3")  # whose sessions may still migrate
    changes_by_pause = [
        change
        for change in changes(stage_starts["pause"], stage_starts["again"])
        if change[1] not in affected_servers
    ]
    result.check(
        "a pause past removal migrates only the paused server's sessions",
        not changes_by_pause,
        f"{len(changes_by_pause)} of others",
    )
    changes_by_repeat = changes(*stage_span("again"))
    result.check(
        "repeating the requests migrates no session", not changes_by_repeat, f"{len(changes_by_repeat)}"
    )
    _check_overlaps(scenario, result, runs, stage_starts)
    attempts = [attempt for attempt in scenario.testbed.held("client") if attempt["how"] != "second"]
    second_answers = sum(attempt["how"] == "second" for attempt in scenario.testbed.held("client"))
    result.check("no request has two answers", not second_answers, second_answers)
    outcome_counts = Counter(f"{attempt['how']} {attempt['track']}" for attempt in attempts)
    for name, count in sorted(outcome_counts.items()):
        result.figures[name] = count
    quiet_until = stage_starts["kill"] - 2.0  # requests open at the kill may be lost
    quiet_attempts = [
        attempt
        for attempt in attempts
        if attempt["from"] < quiet_until or attempt["from"] >= stage_starts["again"]
    ]
    completed_share = sum(attempt["how"] == "completed" for attempt in quiet_attempts) / max(
        len(quiet_attempts), 1
    )
    failures = Counter(
        f"{attempt['how']} in "
        f"{max((stage for stage in stages if stage_starts[stage] <= attempt['from']), key=stages.index)}"
        for attempt in quiet_attempts
        if attempt["how"] != "completed" and attempt["from"] >= stage_starts["begin"]
    )
    result.check(
        "without faults nearly all requests are served",
        completed_share >= 0.98,
        f"{completed_share:.4f} of {len(quiet_attempts)}, {dict(failures)}",
    )
    for cause, count in sorted(Counter(migration.cause for migration in migrations).items()):
        result.figures[f"moved: {cause}"] = count


def _check_kill(
    scenario: AffinityFleet,
    result: ExperimentResult,
    runs: list[KeyedRun],
    migrations: list[Migration],
    changes: list[tuple[str, str, str]],
    stage_span: tuple[float, float],
) -> None:
    """Check which sessions migrate after the kill and how fast; compare with hashing without bindings."""
    since, until = stage_span
    owners = {run.kiosk: run.server for run in runs if run.started_at < since}
    killed_sessions = {kiosk for kiosk, server in owners.items() if server == scenario.killed_server}
    unexpected = [change for change in changes if change[1] != scenario.killed_server]
    moved_sessions = {
        kiosk for kiosk, previous_owner, _ in changes if previous_owner == scenario.killed_server
    }
    result.check(
        "one of the servers is killed: its sessions migrate, of the others none",
        bool(killed_sessions) and moved_sessions == killed_sessions and not unexpected,
        f"{len(moved_sessions)} of its {len(killed_sessions)}, {len(unexpected)} of others",
    )
    migration_times = [
        migration.when
        for migration in migrations
        if since <= migration.when < until and migration.cause == "removed"
    ]
    max_rate = max(
        (sum(start <= moment < start + 1.0 for moment in migration_times) for start in migration_times),
        default=0,
    )
    rate_limit = MIGRATIONS_PER_S + 4 * math.sqrt(MIGRATIONS_PER_S)
    result.check(
        "no faster than the budget, plus four standard deviations",
        0 < max_rate <= rate_limit,
        f"most in a second {max_rate} of {rate_limit:.0f}",
    )
    keys = [f"kiosk-{number}" for number in range(KIOSK_COUNT)]
    survivors = [name for name in scenario.names if name != scenario.killed_server]
    result.figures["ours: moved by the death"] = len(moved_sessions)
    for title, choose_server in (("modulo N", modulo), ("plain rendezvous", rendezvous)):
        moved_count = sum(choose_server(key, scenario.names) != choose_server(key, survivors) for key in keys)
        result.figures[f"{title}: moved by the death"] = moved_count
        result.figures[f"{title}: moved back by the return"] = moved_count


def _check_overlaps(
    scenario: AffinityFleet, result: ExperimentResult, runs: list[KeyedRun], stage_starts: dict[str, float]
) -> None:
    """Check that two servers never ran one session's keyed requests at once, and no key twice.

    Runs that a server started before it was killed or stopped may overlap: they are covered by their claims.
    """
    resumed_at = stage_starts["pause"] + PAUSE_S + 2.0
    down_spans = {
        scenario.killed_server: (stage_starts["kill"], stage_starts["return"]),
        "m3": (stage_starts["pause"], resumed_at),
    }
    by_kiosk: dict[str, list[KeyedRun]] = defaultdict(list)
    for run in runs:
        by_kiosk[run.kiosk].append(run)
    overlaps = []
    for kiosk_runs in by_kiosk.values():
        for index, run in enumerate(kiosk_runs):
            for other in kiosk_runs[index + 1 :]:
                if other.started_at >= run.ended_at or other.server == run.server:
                    continue
                since, until = down_spans.get(run.server, (math.inf, -math.inf))
                if not (run.started_at <= since + 0.1 and run.ended_at <= until):
                    overlaps.append((run, other))
    result.check(
        "two servers never run one session's keyed requests at once",
        not overlaps,
        f"{len(overlaps)}" + (f", as {overlaps[0]}" if overlaps else f" of {len(runs)} runs"),
    )
    key_counts: Counter[str] = Counter()
    keys_by_request = {
        attempt["name"]: attempt["label"]
        for attempt in scenario.testbed.held("client")
        if attempt.get("label")
    }
    for name in scenario.names:
        for event, request, _ in scenario.testbed.runs(name):
            if event == "begin" and request in keys_by_request:
                key_counts[keys_by_request[request]] += 1
    repeated_count = sum(count > 1 for count in key_counts.values())
    result.check(
        "no idempotency key runs twice", not repeated_count, f"{repeated_count} of {len(key_counts)}"
    )
