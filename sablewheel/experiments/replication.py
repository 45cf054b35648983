"""Replication experiment: six servers in three zones, and clients that repeat keyed requests elsewhere.

Each server has its own interpreter, and each link passes through the fault relay. Clients repeat a keyed
attempt at other servers: at the same moment, shortly after, or later. Servers are killed and restarted cold,
alone and two at a time, and stopped past their removal and resumed; links are cut in one direction; a zone is
cut off. Runs are counted by idempotency key over all interpreters. The baseline is a primary with
asynchronous backups on the simulated network, with faults drawn from seeds derived from the same seed; it is
expected to run keys twice.
"""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from contextlib import closing
from typing import Any

from .fleet import LISTEN, Block
from .forwarding import LINK_PORT, LINK_RELAY_PORT, Scenario
from .replication_scenario import AsyncBackup, run_random_faults
from .result import ExperimentResult
from .testbed import PATIENCE, Testbed, TestbedError

# Faults that real processes show reliably; `replication-model` finds those that need an order of events.
FAULTY_VARIANTS = ("one-copy", "async-backup")
SERVER_COUNT, ZONE_COUNT = 6, 3
DEADLINE_S, KEY_WINDOW_S = 2.0, 6.0
TIMING_SLACK_S = 0.5  # allowance for scheduling delays on a busy machine
PAUSE_S = 5.0
MIN_KEYED_SHARE, MIN_IDEMPOTENT_SHARE = 0.95, 0.98
BASELINE_RUN_COUNT = 60  # number of seeds for the baseline's faults
REQUEST_CLASSES = {"lookup": {"share": 0.4}, "record": {"share": 0.6, "keyed": True}}
CLASSES = [
    {"name": "lookup", "on-time-s": 1.0, "deadline-s": DEADLINE_S, "repeat": "safe"},
    {
        "name": "record",
        "on-time-s": 1.0,
        "deadline-s": DEADLINE_S,
        "repeat": "keyed",
        "window-s": KEY_WINDOW_S,
    },
]
RUN_TIMES_S = {"lookup": 0.02, "record": 0.06}


class ReplicatedFleet(Scenario):
    """A fleet with forwarding and replication."""

    broken = ""
    cold_start = "wait"

    def features(self, name: str) -> str:
        index = self.names.index(name)
        lines = ["forwarding:", f"  listen: {self.host(name)}:{LINK_PORT}"]
        lines += [f"  advertise: {self.relay_host}:{LINK_RELAY_PORT + index}", "replication:"]
        lines += ["  copies: 3", f"  cold: {self.cold_start}"]
        return super(Scenario, self).features(name) + "\n".join([*lines, ""])

    def start(self, name: str) -> None:
        features_path = self.testbed.folder / f"{name}.yaml"
        features_path.write_text(self.features(name))
        config_path = self.testbed.configuration(
            name,
            LISTEN,
            self.vms[name],
            name=name,
            listen=f"{self.host(name)}:{LISTEN}",
            settings={"classes": CLASSES, "servers": self.size},
        )
        module_arguments = (
            ("sablewheel.experiments.replication_server", self.broken) if self.broken else ("sablewheel",)
        )
        self.processes[name] = self.testbed.start(
            name,
            *module_arguments,
            shifted=False,
            RELAY_CONFIG=str(config_path),
            SABLEWHEEL_FEATURES=str(features_path),
        )

    def zone_members(self, zone: int) -> list[str]:
        return [name for index, name in enumerate(self.names) if index % ZONE_COUNT == zone]


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Run the experiment; `broken` names the faulty variant of the servers, empty for none."""
    result = ExperimentResult("replication")
    with Testbed(seed) as testbed, closing(Block()) as block:
        membership_settings: dict[str, object] = {
            "period-s": 0.25,
            "probe-timeout-s": 0.1,
            "found-after-s": 1.0,
            "join-every-s": 0.3,
            "vote-timeout-s": 0.5,
            "sync-every-s": 1.0,
            "observers": 9,
        }  # fmt: skip  with 5 observers, members that restart at once may have only two live ones each
        scenario = ReplicatedFleet(
            testbed, block.second, "ours", 0, SERVER_COUNT, seed, zones=ZONE_COUNT, keys=membership_settings
        )
        scenario.broken = broken
        for name in scenario.names:
            scenario.start(name)
        for name in scenario.names:
            scenario.wait_until_up(name)
        if scenario.wait_agreed(scenario.names, PATIENCE) is None:
            raise TestbedError(f"the servers did not agree on a view: {scenario.processes['m0'].tail()}")
        # Runs of an earlier fleet are unknown, so all their key windows must pass first.
        time.sleep(KEY_WINDOW_S + 2.0)
        faults = _draw_faults(scenario, random.Random(seed), 1 if quick else 3)
        healthy = 4.0 if quick else 10.0
        seconds = healthy + sum(duration_s for duration_s, _ in faults)
        client = testbed.start(
            "client",
            "sablewheel.experiments.replication_client",
            _client_options(scenario, seed, seconds),
            shifted=False,
        )
        time.sleep(1.0)
        with scenario.fault("none"):
            time.sleep(healthy - 1.0)
        for duration_s, inject in faults:
            started_at = time.monotonic()
            inject()
            time.sleep(max(started_at + duration_s - time.monotonic(), 0.0))
        client.popen.wait(60)
        exit_codes = [scenario.processes[name].leave() for name in scenario.names]
        time.sleep(0.1)
        _check_promises(scenario, result, exit_codes)
        scenario.relay.close()
    if not broken:
        _baseline(result, seed)
    return result


def _client_options(scenario: ReplicatedFleet, seed: int, seconds: float) -> str:
    import json

    options = {
        "servers": [f"{scenario.host(name)}:{LISTEN}" for name in scenario.names],
        "seed": seed,
        "rate": 45,
        "seconds": seconds,
        "tenants": {"saskatoon": 0.5, "regina": 0.5},
        "request_classes": REQUEST_CLASSES,
        "log": str(scenario.testbed.folder / "client.held"),
        "at_once": 0.25,
        "again": 0.5,
        "again_within": 4.0,
        "patience_end": DEADLINE_S + 2.0,
    }
    return json.dumps(options)


def _draw_faults(
    scenario: ReplicatedFleet, rng: random.Random, rounds: int
) -> list[tuple[float, Callable[[], None]]]:
    """Return each fault with its duration, which includes time to recover; the seed selects the members."""

    def kill(name: str) -> None:
        with scenario.fault("killed", name):
            scenario.processes[name].kill()
            time.sleep(4.0)
        with scenario.fault("cold", name):
            scenario.start(name)
            scenario.wait_until_up(name)

    def restart(name: str) -> None:
        with scenario.fault("cold", name):
            scenario.processes[name].kill()
            scenario.start(name)
            scenario.wait_until_up(name)

    def restart_two(a: str, b: str) -> None:
        """Restart two servers, so that some keys lose a majority of replicas until their lifetimes end."""
        with scenario.fault("cold", a), scenario.fault("cold", b):
            for name in (a, b):
                scenario.processes[name].kill()
            for name in (a, b):
                scenario.start(name)
            for name in (a, b):
                scenario.wait_until_up(name)

    def stop(name: str) -> None:
        with scenario.fault("stopped", name):
            scenario.stop(name)
            time.sleep(PAUSE_S)
            scenario.go_on(name)

    def cut_one_way(a: str, b: str) -> None:
        with scenario.fault("cut one way"):
            scenario.links([a], [b], False, cut=True)
            time.sleep(2.0)
            scenario.links([a], [b], False, cut=False)

    def cut_zone(number: int) -> None:
        inside = scenario.zone_members(number)
        outside = [name for name in scenario.names if name not in inside]
        with scenario.fault("zone cut", ",".join(inside)):
            scenario.links(inside, outside, cut=True)
            time.sleep(5.0)
            scenario.links(inside, outside, cut=False)

    faults: list[tuple[float, Callable[[], None]]] = []
    for _ in range(rounds):
        a, b, c, d = rng.sample(scenario.names, 4)
        zone_number = rng.randrange(ZONE_COUNT)
        e = rng.choice([name for name in scenario.names if not _same_zone(scenario, a, name)])
        faults += [
            (7.0, lambda a=a: kill(a)),  # type: ignore[misc]
            (3.5, lambda c=c, d=d: cut_one_way(c, d)),  # type: ignore[misc]
            (PAUSE_S + 4.0, lambda b=b: stop(b)),  # type: ignore[misc]
            (8.0, lambda zone_number=zone_number: cut_zone(zone_number)),  # type: ignore[misc]
            (4.0, lambda d=d: restart(d)),  # type: ignore[misc]
            (KEY_WINDOW_S + 5.0, lambda a=a, e=e: restart_two(a, e)),  # type: ignore[misc]
        ]
    return faults


def _same_zone(scenario: ReplicatedFleet, first: str, second: str) -> bool:
    return scenario.names.index(first) % ZONE_COUNT == scenario.names.index(second) % ZONE_COUNT


def _check_promises(scenario: ReplicatedFleet, result: ExperimentResult, exit_codes: list[int]) -> None:
    testbed = scenario.testbed
    attempts = [attempt for attempt in testbed.held("client") if attempt["how"] != "second"]
    second_answers = sum(attempt["how"] == "second" for attempt in testbed.held("client"))
    members_by_address = {f"{scenario.host(name)}:{LISTEN}": name for name in scenario.names}
    attempts_by_name = {attempt["name"]: attempt for attempt in attempts}
    run_counts, runs_by_key = Counter[str](), defaultdict(list)
    for name in scenario.names:
        for event, request, when in testbed.runs(name):
            if event == "begin" and request in attempts_by_name:
                run_counts[request] += 1
                if attempts_by_name[request]["label"]:
                    runs_by_key[attempts_by_name[request]["label"]].append((when, name, request))
    repeated_keys = {
        idempotency_key: sorted(runs) for idempotency_key, runs in runs_by_key.items() if len(runs) > 1
    }
    # After its window an idempotency key is free again, and its next use is a new request.
    repeated_in_window = [
        idempotency_key
        for idempotency_key, runs in repeated_keys.items()
        if runs[1][0] - runs[0][0] < KEY_WINDOW_S
    ]
    results: dict[str, set[str]] = defaultdict(set)
    wrong_results = never_run = rejected_ran = rejected_with_known_key = unanswered = lost = late = 0
    down_spans = [span for fault in ("killed", "cold") for span in scenario.fault_spans.get(fault, [])]
    stopped_spans = scenario.fault_spans.get("stopped", [])
    for attempt in attempts:
        server = members_by_address[attempt["server"]]
        excused = any(
            member == server and attempt["from"] < until + 0.5 and attempt["until"] > since
            for member, since, until in down_spans + stopped_spans
        )
        unanswered += attempt["how"] == "unanswered" and not excused
        lost += attempt["how"] == "lost" and not excused
        late += (
            attempt["until"] - attempt["from"] > DEADLINE_S + TIMING_SLACK_S
            and not excused
            and attempt["how"] != "withdrawn"
        )
        if attempt["how"] == "completed":
            if attempt["label"]:
                results[attempt["label"]].add(attempt["result"])
                run_results = {
                    f"made by {request} of body of" for _, _, request in runs_by_key[attempt["label"]]
                }
                wrong_results += not any(
                    attempt["result"].startswith(run_result) for run_result in run_results
                )
            else:
                never_run += not run_counts[attempt["name"]]
        if attempt["how"] == "denied":
            rejected_ran += run_counts[attempt["name"]] > 0
            rejected_with_known_key += bool(attempt["label"]) and any(
                when < attempt["from"] for when, _, _ in runs_by_key[attempt["label"]]
            )
    wrong_results += sum(len(key_results) > 1 for key_results in results.values())
    idempotency_keys: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for attempt in attempts:
        if attempt["label"]:
            idempotency_keys[attempt["label"]].append(attempt)
    healthy_shares = {
        request_class: _completed_share(
            attempts, idempotency_keys, members_by_address, scenario.fault_spans["none"], request_class
        )
        for request_class in REQUEST_CLASSES
    }
    faulty_spans = [
        span for fault in ("zone cut", "killed", "stopped") for span in scenario.fault_spans.get(fault, [])
    ]
    shares = {
        request_class: _completed_share(
            attempts, idempotency_keys, members_by_address, faulty_spans, request_class
        )
        for request_class in REQUEST_CLASSES
    }
    counters, claims = Counter[str](), []
    for name in scenario.names:
        for key, value in testbed.counters(scenario.processes[name]).items():
            if key == "replication_claim_ms":
                claims.append(float(value))
            if key.startswith("replication_") and value.isdigit():
                counters[key] += int(value)
    keyed_share, idempotent_share = shares["record"], shares["lookup"]
    result.check(
        "no idempotency key runs a second time in its window",
        not repeated_in_window,
        f"{len(repeated_in_window)} of {len(runs_by_key)}",
    )
    result.check(
        "each answer has exactly the bytes of the run's result",
        wrong_results + never_run == 0,
        f"{wrong_results}, {never_run}",
    )
    result.check("no request that ran is denied", rejected_ran == 0, rejected_ran)
    result.check(
        "each attempt has exactly one answer, in time",
        unanswered + lost + late + second_answers == 0,
        f"{unanswered} none, {lost} lost, {late} late, {second_answers} second",
    )
    result.check(
        f"on the majority's side keyed attempts are served at {MIN_KEYED_SHARE} of healthy",
        keyed_share[1] > 30 and keyed_share[0] >= MIN_KEYED_SHARE * healthy_shares["record"][0] > 0.5,
        f"{keyed_share[0]:.3f} of {keyed_share[1]}, healthy {healthy_shares['record'][0]:.3f}",
    )
    result.check(
        f"and idempotent attempts at {MIN_IDEMPOTENT_SHARE}",
        idempotent_share[1] > 30
        and idempotent_share[0] >= MIN_IDEMPOTENT_SHARE * healthy_shares["lookup"][0] > 0.5,
        f"{idempotent_share[0]:.3f} of {idempotent_share[1]}, healthy {healthy_shares['lookup'][0]:.3f}",
    )
    from_outcome = counters["replication_answered_from_outcome"]
    result.check(
        "repeats at other servers are answered from the stored outcome", from_outcome > 50, from_outcome
    )
    result.check(
        "no idempotency key has two outcomes",
        not counters["replication_two_outcomes"],
        counters["replication_two_outcomes"],
    )
    result.check("all servers exited cleanly at the end", not any(exit_codes), exit_codes)
    logs = "".join((testbed.folder / f"{name}.log").read_text(errors="replace") for name in scenario.names)
    result.check("no traceback in the logs", "Traceback" not in logs, logs.count("Traceback"))
    keyed_outcomes = Counter(attempt["how"] for attempt in attempts if attempt["label"])
    result.figures |= {
        "tries": len(attempts),
        "labels": len(idempotency_keys),
        "runs_of_labels": sum(len(runs) for runs in runs_by_key.values()),
        "second_runs": len(repeated_in_window),
        "labelled_completed": keyed_outcomes["completed"],
        "labelled_denied": keyed_outcomes["denied"],
        "labelled_terminated": keyed_outcomes["terminated"],
        "answered_from_outcome": from_outcome,
        "denied_though_the_label_ran_elsewhere": rejected_with_known_key,
        "denied_at_the_door": counters["replication_denied"],
        "denied_late": counters["replication_denied_late"],
        "answers_ahead_of_a_majority": counters["replication_answers_ahead"],
        "claim_ms_median_worst_server": max(claims, default=0.0),
        "bad_packets": counters["replication_bad"],
        "labelled_share_healthy": round(healthy_shares["record"][0], 4),
        "labelled_share_majority": round(keyed_share[0], 4),
        "redoable_share_healthy": round(healthy_shares["lookup"][0], 4),
        "redoable_share_majority": round(idempotent_share[0], 4),
    }


def _completed_share(
    attempts: list[dict[str, Any]],
    idempotency_keys: dict[str, list[dict[str, Any]]],
    members_by_address: dict[str, str],
    spans: list[tuple[str, float, float]],
    request_class: str,
) -> tuple[float, int]:
    """Return the completed share and the number of a request class's attempts sent within the spans.

    Attempts at the members that a span names are not counted, nor those with an idempotency key that was
    also sent there: runs on the other side of a cut or at a terminated server are unknown on this side.
    """
    completed_count = attempt_count = 0
    for members, since, until in spans:
        excluded = set(members.split(","))
        for attempt in attempts:
            if (
                attempt["track"] != request_class
                or not since <= attempt["from"] < until
                or members_by_address[attempt["server"]] in excluded
            ):
                continue
            if any(
                members_by_address[other["server"]] in excluded
                for other in idempotency_keys.get(attempt["label"], ())
            ):
                continue
            attempt_count += 1
            completed_count += attempt["how"] == "completed"
    return completed_count / max(attempt_count, 1), attempt_count


def _baseline(result: ExperimentResult, seed: int) -> None:
    """Compare replication with a primary that copies to its backups asynchronously, under the same faults."""
    seeds = range(1000 * seed, 1000 * seed + BASELINE_RUN_COUNT)
    violation_count = sum(bool(run_random_faults(run_seed).violation()) for run_seed in seeds)
    baseline_violation_count = sum(
        bool(run_random_faults(run_seed, AsyncBackup).violation()) for run_seed in seeds
    )
    result.check(
        "under the same simulated faults replication runs no idempotency key twice",
        violation_count == 0,
        violation_count,
    )
    result.check(
        "and a primary with an asynchronous backup does",
        baseline_violation_count > 0,
        f"{baseline_violation_count} of {BASELINE_RUN_COUNT}",
    )
    result.figures["baseline_fleets_that_ran_one_twice"] = (
        f"{baseline_violation_count} of {BASELINE_RUN_COUNT}"
    )
