"""Replication's trial: six servers in three zones, an interpreter each, and clients whose keyed tries come
again at other servers: at one moment, soon, later. Each link goes through the fault relay.

Servers are killed and started again cold, one and two at one moment, stopped past their removal and woken,
links are cut one way, a zone is cut off. Runs are counted at the interpreters by idempotency key, over all of
them. A primary with an asynchronous backup, under faults drawn from the same seeds on the made network, is
the baseline, and loses.
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
from .replication_scenario import AsyncBackup, drawn
from .result import ExperimentResult
from .testbed import PATIENCE, Testbed, TestbedError

# What real processes are sure to show; what hangs on an order of events `replication-model` finds.
FAULTY_VARIANTS = ("one-copy", "async-backup")
SIZE, ZONES = 6, 3
ABANDON, WINDOW = 2.0, 6.0
SLACK = 0.5  # what a busy machine may add to a time that was kept
PAUSE = 5.0
KEYED_LEAST, IDEMPOTENT_LEAST = 0.95, 0.98
DRAWS = 60  # seeds of the baseline's faults
REQUEST_CLASSES = {"lookup": {"share": 0.4}, "record": {"share": 0.6, "keyed": True}}
CLASSES = [
    {"name": "lookup", "on-time-s": 1.0, "deadline-s": ABANDON, "repeat": "safe"},
    {"name": "record", "on-time-s": 1.0, "deadline-s": ABANDON, "repeat": "keyed", "window-s": WINDOW},
]
WORK = {"lookup": 0.02, "record": 0.06}


class Replicas(Scenario):
    """The fleet with a forward path and replication."""

    broken = ""
    cold = "wait"

    def features(self, name: str) -> str:
        place = self.names.index(name)
        lines = ["forwarding:", f"  listen: {self.host(name)}:{LINK_PORT}"]
        lines += [f"  advertise: {self.relay_host}:{LINK_RELAY_PORT + place}", "replication:"]
        lines += ["  copies: 3", f"  cold: {self.cold}"]
        return super(Scenario, self).features(name) + "\n".join([*lines, ""])

    def start(self, name: str) -> None:
        path = self.testbed.folder / f"{name}.yaml"
        path.write_text(self.features(name))
        told = self.testbed.configuration(
            name,
            LISTEN,
            self.vms[name],
            name=name,
            listen=f"{self.host(name)}:{LISTEN}",
            settings={"classes": CLASSES, "servers": self.size},
        )
        words = ("sablewheel.experiments.replication_server", self.broken) if self.broken else ("sablewheel",)
        self.processes[name] = self.testbed.start(
            name, *words, shifted=False, RELAY_CONFIG=str(told), SABLEWHEEL_FEATURES=str(path)
        )

    def zone(self, number: int) -> list[str]:
        return [name for place, name in enumerate(self.names) if place % ZONES == number]


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """The trial; `broken` names a fault put into the servers on purpose."""
    result = ExperimentResult("replication")
    with Testbed(seed) as testbed, closing(Block()) as block:
        keys: dict[str, object] = {
            "period-s": 0.25,
            "probe-timeout-s": 0.1,
            "found-after-s": 1.0,
            "join-every-s": 0.3,
            "vote-timeout-s": 0.5,
            "sync-every-s": 1.0,
            "observers": 9,
        }  # fmt: skip  on five rings two that come back at one moment may have two live observers each
        scenario = Replicas(testbed, block.second, "ours", 0, SIZE, seed, zones=ZONES, keys=keys)
        scenario.broken = broken
        for name in scenario.names:
            scenario.start(name)
        for name in scenario.names:
            scenario.wait_until_up(name)
        if scenario.wait_agreed(scenario.names, PATIENCE) is None:
            raise TestbedError(f"no view: {scenario.processes['m0'].tail()}")
        time.sleep(WINDOW + 2.0)  # nobody can know what an earlier fleet ran: all windows pass first
        faults = _draw_faults(scenario, random.Random(seed), 1 if quick else 3)
        healthy = 4.0 if quick else 10.0
        seconds = healthy + sum(span for span, _ in faults)
        client = testbed.start(
            "client",
            "sablewheel.experiments.replication_client",
            _client(scenario, seed, seconds),
            shifted=False,
        )
        time.sleep(1.0)
        with scenario.fault("none"):
            time.sleep(healthy - 1.0)
        for span, do in faults:
            begun = time.monotonic()
            do()
            time.sleep(max(begun + span - time.monotonic(), 0.0))
        client.popen.wait(60)
        codes = [scenario.processes[name].leave() for name in scenario.names]
        time.sleep(0.1)
        _check_promises(scenario, result, codes)
        scenario.relay.close()
    if not broken:
        _baseline(result, seed)
    return result


def _client(scenario: Replicas, seed: int, seconds: float) -> str:
    import json

    told = {
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
        "patience_end": ABANDON + 2.0,
    }
    return json.dumps(told)


def _draw_faults(
    scenario: Replicas, chance: random.Random, rounds: int
) -> list[tuple[float, Callable[[], None]]]:
    """Each fault for a while, then time for the fleet to be whole again; on members drawn by the seed."""

    def kill(name: str) -> None:
        with scenario.fault("killed", name):
            scenario.processes[name].kill()
            time.sleep(4.0)
        with scenario.fault("cold", name):
            scenario.start(name)
            scenario.wait_until_up(name)

    def bounce(name: str) -> None:
        with scenario.fault("cold", name):
            scenario.processes[name].kill()
            scenario.start(name)
            scenario.wait_until_up(name)

    def two(a: str, b: str) -> None:
        """A majority of some idempotency keys' holders is cold at one moment: these wait their lives out."""
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
            time.sleep(PAUSE)
            scenario.go_on(name)

    def one_way(a: str, b: str) -> None:
        with scenario.fault("cut one way"):
            scenario.links([a], [b], False, cut=True)
            time.sleep(2.0)
            scenario.links([a], [b], False, cut=False)

    def zone(number: int) -> None:
        inside = scenario.zone(number)
        outside = [name for name in scenario.names if name not in inside]
        with scenario.fault("zone cut", ",".join(inside)):
            scenario.links(inside, outside, cut=True)
            time.sleep(5.0)
            scenario.links(inside, outside, cut=False)

    faults: list[tuple[float, Callable[[], None]]] = []
    for _ in range(rounds):
        a, b, c, d = chance.sample(scenario.names, 4)
        place = chance.randrange(ZONES)
        e = chance.choice([name for name in scenario.names if not _same_zone(scenario, a, name)])
        faults += [
            (7.0, lambda a=a: kill(a)),  # type: ignore[misc]
            (3.5, lambda c=c, d=d: one_way(c, d)),  # type: ignore[misc]
            (PAUSE + 4.0, lambda b=b: stop(b)),  # type: ignore[misc]
            (8.0, lambda place=place: zone(place)),  # type: ignore[misc]
            (4.0, lambda d=d: bounce(d)),  # type: ignore[misc]
            (WINDOW + 5.0, lambda a=a, e=e: two(a, e)),  # type: ignore[misc]
        ]
    return faults


def _same_zone(scenario: Replicas, one: str, other: str) -> bool:
    return scenario.names.index(one) % ZONES == scenario.names.index(other) % ZONES


def _check_promises(scenario: Replicas, result: ExperimentResult, codes: list[int]) -> None:
    testbed = scenario.testbed
    tries = [one for one in testbed.held("client") if one["how"] != "second"]
    seconds = sum(one["how"] == "second" for one in testbed.held("client"))
    at = {f"{scenario.host(name)}:{LISTEN}": name for name in scenario.names}
    own = {one["name"]: one for one in tries}
    begins, by_idempotency_key = Counter[str](), defaultdict(list)
    for name in scenario.names:
        for word, request, when in testbed.runs(name):
            if word == "begin" and request in own:
                begins[request] += 1
                if own[request]["label"]:
                    by_idempotency_key[own[request]["label"]].append((when, name, request))
    twice = {
        idempotency_key: sorted(runs) for idempotency_key, runs in by_idempotency_key.items() if len(runs) > 1
    }
    # Past its window an idempotency key is free: what comes then is a new one.
    again = [idempotency_key for idempotency_key, runs in twice.items() if runs[1][0] - runs[0][0] < WINDOW]
    results: dict[str, set[str]] = defaultdict(set)
    other = never = rejected_ran = rejected_idempotency_key = unanswered = lost = late = 0
    down = [span for what in ("killed", "cold") for span in scenario.fault_spans.get(what, [])]
    still = scenario.fault_spans.get("stopped", [])
    for one in tries:
        server = at[one["server"]]
        excused = any(
            who == server and one["from"] < to + 0.5 and one["until"] > since
            for who, since, to in down + still
        )
        unanswered += one["how"] == "unanswered" and not excused
        lost += one["how"] == "lost" and not excused
        late += one["until"] - one["from"] > ABANDON + SLACK and not excused and one["how"] != "withdrawn"
        if one["how"] == "completed":
            if one["label"]:
                results[one["label"]].add(one["result"])
                ran = {f"made by {request} of body of" for _, _, request in by_idempotency_key[one["label"]]}
                other += not any(one["result"].startswith(made) for made in ran)
            else:
                never += not begins[one["name"]]
        if one["how"] == "denied":
            rejected_ran += begins[one["name"]] > 0
            rejected_idempotency_key += bool(one["label"]) and any(
                when < one["from"] for when, _, _ in by_idempotency_key[one["label"]]
            )
    other += sum(len(each) > 1 for each in results.values())
    idempotency_keys: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for one in tries:
        if one["label"]:
            idempotency_keys[one["label"]].append(one)
    healthy = {
        request_class: _share(tries, idempotency_keys, at, scenario.fault_spans["none"], request_class)
        for request_class in REQUEST_CLASSES
    }
    hurt = [span for what in ("zone cut", "killed", "stopped") for span in scenario.fault_spans.get(what, [])]
    shares = {
        request_class: _share(tries, idempotency_keys, at, hurt, request_class)
        for request_class in REQUEST_CLASSES
    }
    counters, claims = Counter[str](), []
    for name in scenario.names:
        for key, value in testbed.counters(scenario.processes[name]).items():
            if key == "replication_claim_ms":
                claims.append(float(value))
            if key.startswith("replication_") and value.isdigit():
                counters[key] += int(value)
    record, lookup = shares["record"], shares["lookup"]
    result.check(
        "no label runs a second time in its window", not again, f"{len(again)} of {len(by_idempotency_key)}"
    )
    result.check("who is answered gets the very bytes of the run", other + never == 0, f"{other}, {never}")
    result.check("nothing that ran is denied", rejected_ran == 0, rejected_ran)
    result.check(
        "each try has its one answer, in time",
        unanswered + lost + late + seconds == 0,
        f"{unanswered} none, {lost} lost, {late} late, {seconds} second",
    )
    result.check(
        f"on the majority's side labelled tries are served at {KEYED_LEAST} of healthy",
        record[1] > 30 and record[0] >= KEYED_LEAST * healthy["record"][0] > 0.5,
        f"{record[0]:.3f} of {record[1]}, healthy {healthy['record'][0]:.3f}",
    )
    result.check(
        f"and redoable ones at {IDEMPOTENT_LEAST}",
        lookup[1] > 30 and lookup[0] >= IDEMPOTENT_LEAST * healthy["lookup"][0] > 0.5,
        f"{lookup[0]:.3f} of {lookup[1]}, healthy {healthy['lookup'][0]:.3f}",
    )
    from_outcome = counters["replication_answered_from_outcome"]
    result.check("repeats elsewhere are answered from the outcome", from_outcome > 50, from_outcome)
    result.check(
        "no two outcomes of one label",
        not counters["replication_two_outcomes"],
        counters["replication_two_outcomes"],
    )
    result.check("all left in order at the end", not any(codes), codes)
    logs = "".join((testbed.folder / f"{name}.log").read_text(errors="replace") for name in scenario.names)
    result.check("no fault of our own in the logs", "Traceback" not in logs, logs.count("Traceback"))
    hows = Counter(one["how"] for one in tries if one["label"])
    result.figures |= {
        "tries": len(tries),
        "labels": len(idempotency_keys),
        "runs_of_labels": sum(len(runs) for runs in by_idempotency_key.values()),
        "second_runs": len(again),
        "labelled_completed": hows["completed"],
        "labelled_denied": hows["denied"],
        "labelled_terminated": hows["terminated"],
        "answered_from_outcome": from_outcome,
        "denied_though_the_label_ran_elsewhere": rejected_idempotency_key,
        "denied_at_the_door": counters["replication_denied"],
        "denied_late": counters["replication_denied_late"],
        "answers_ahead_of_a_majority": counters["replication_answers_ahead"],
        "claim_ms_median_worst_server": max(claims, default=0.0),
        "bad_packets": counters["replication_bad"],
        "labelled_share_healthy": round(healthy["record"][0], 4),
        "labelled_share_majority": round(record[0], 4),
        "redoable_share_healthy": round(healthy["lookup"][0], 4),
        "redoable_share_majority": round(lookup[0], 4),
    }


def _share(
    tries: list[dict[str, Any]],
    idempotency_keys: dict[str, list[dict[str, Any]]],
    at: dict[str, str],
    spans: list[tuple[str, float, float]],
    request_class: str,
) -> tuple[float, int]:
    """The share served of tries that were sent within the spans, none of whose idempotency key's were at whom
    the span names: what was begun on the other side of a cut, or at one that is gone, nobody on this side can
    know.
    """
    served = asked = 0
    for who, since, to in spans:
        away = set(who.split(","))
        for one in tries:
            if one["track"] != request_class or not since <= one["from"] < to or at[one["server"]] in away:
                continue
            if any(at[each["server"]] in away for each in idempotency_keys.get(one["label"], ())):
                continue
            asked += 1
            served += one["how"] == "completed"
    return served / max(asked, 1), asked


def _baseline(result: ExperimentResult, seed: int) -> None:
    """A primary that copies to its backups later, and ours, under the same faults."""
    seeds = range(1000 * seed, 1000 * seed + DRAWS)
    ours = sum(bool(drawn(one).wrong()) for one in seeds)
    theirs = sum(bool(drawn(one, AsyncBackup).wrong()) for one in seeds)
    result.check("the same faults on the made network: ours runs none twice", ours == 0, ours)
    result.check("and a primary with asynchronous backup is seen to", theirs > 0, f"{theirs} of {DRAWS}")
    result.figures["baseline_fleets_that_ran_one_twice"] = f"{theirs} of {DRAWS}"
