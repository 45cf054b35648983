"""Usage metering's trial: three servers, a collector that dies and connection_faults, a server that dies, a
drain across a close.

What the routers hold, what the interpreters ran and what stands in the journal must be the same, request by
request.
"""

from __future__ import annotations

import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..usage_metering import reports, statement
from ..usage_metering.auditing import reconcile_folders
from ..usage_metering.corrections import Correction, CorrectionError, Target
from ..usage_metering.journal import Journal
from .connection_faults import ConnectionFaults
from .result import ExperimentResult
from .testbed import Process, Testbed, free_port

FAULTY_VARIANTS = ("ack-before-apply", "no-dedup", "no-seal")
HOUR = 3600.0
LAG = 2.0
OUTCOMES = {"completed": 1, "denied": 2, "terminated": 3}


def features(depth: str, port: int, folder: Path | None, **more: object) -> str:
    """A features file for a server of a trial."""
    lines = ["version: 1", "ledger:", f"  depth: {depth}"]
    lines += [f"  folder: {folder}"] if folder is not None else []
    lines += [f"  {key.replace('_', '-')}: {value}" for key, value in more.items()]
    lines += ["  period: {zone: UTC, length: hour, lag-s: 2}", "  export:", f"    address: 127.0.0.1:{port}"]
    lines += ["    answer-within-s: 1.0", "    first-rest-s: 0.05", "    last-rest-s: 0.4", ""]
    return "\n".join(lines)


def collector_features(port: int, journal: Path) -> str:
    return "\n".join(
        [
            "version: 1",
            "collector:",
            f"  book: {journal}",
            f"  listen: 127.0.0.1:{port}",
            f"  period: {{zone: UTC, length: hour, lag-s: {LAG:g}}}",
            "  close-every-s: 0.2",
            "",
        ]
    )


@dataclass
class Scenario:
    """The processes of one run, and what happened to them."""

    testbed: Testbed
    broken: str
    ports: dict[str, int] = field(default_factory=dict)
    vms: dict[str, int] = field(default_factory=dict)
    texts: dict[str, str] = field(default_factory=dict)
    servers: dict[str, Process] = field(default_factory=dict)
    collector: Process | None = None
    door: int = 0
    kills: Counter[str] = field(default_factory=Counter)

    @property
    def journal(self) -> Path:
        return self.testbed.folder / "book.sqlite"

    def start_collector(self) -> None:
        path = self.testbed.folder / "collector.yaml"
        path.write_text(collector_features(self.door, self.journal))
        words = [str(path)] + ([self.broken] if self.broken else [])
        self.collector = self.testbed.start("collector", "sablewheel.experiments.collector", *words)
        self.testbed.wait_for_port(self.door, self.collector)

    def kill_collector(self) -> None:
        assert self.collector is not None
        self.collector.kill()
        self.kills["collector"] += 1

    def start_server(self, name: str) -> None:
        self.servers[name] = self.testbed.server(name, self.ports[name], self.vms[name], self.texts[name])

    def kill_server(self, name: str) -> None:
        self.servers[name].kill()
        self.kills[name] += 1


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """The trial; `broken` names a collector that is broken on purpose."""
    result = ExperimentResult("ledger")
    with Testbed(seed) as testbed:
        scenario = Scenario(testbed, broken)
        connection_faults = None
        try:
            connection_faults = _set_up(scenario, seed)
            _run_scenario(scenario, connection_faults, seed, 12.0 if quick else 45.0)
            _check_promises(scenario, result)
            result.figures["cuts"], result.figures["silences"] = (
                connection_faults.cuts,
                connection_faults.silences,
            )
        finally:
            if connection_faults is not None:
                connection_faults.close()
    return result


def _set_up(scenario: Scenario, seed: int) -> ConnectionFaults:
    testbed = scenario.testbed
    scenario.door = free_port()
    scenario.start_collector()
    connection_faults = ConnectionFaults(scenario.door, seed)
    for name, depth in (("n1", "durable"), ("n2", "memory"), ("n3", "durable")):
        folder = testbed.folder / f"{name}-ledger" if depth == "durable" else None
        scenario.texts[name] = features(depth, connection_faults.port, folder, block_every_s=0.1)
        scenario.ports[name], scenario.vms[name] = free_port(), free_port()
        testbed.interpreter(name, scenario.vms[name])
        scenario.start_server(name)
    return connection_faults


def _run_scenario(scenario: Scenario, connection_faults: ConnectionFaults, seed: int, seconds: float) -> None:
    """The load, and on a seeded script the failures."""
    testbed, chance = scenario.testbed, random.Random(seed)
    # An hour of the shifted clock ends shortly before n2 is told to leave, and is closed during its drain.
    boundary = seconds * 0.6
    testbed.shift(HOUR - time.time() % HOUR - boundary)
    begun = time.monotonic()
    burst = [{"customer": "regina", "from": seconds * 0.4, "to": seconds * 0.55, "times": 3}]
    routers = [
        testbed.router(
            name,
            [f"127.0.0.1:{scenario.ports[one]}"],
            rate=110,
            seconds=seconds,
            repeats=0.25,
            cancels=0.04,
            bursts=burst,
            seed=seed + place,
        )
        for place, (name, one) in enumerate((("r1", "n1"), ("r2", "n2"), ("r3", "n3")))
    ]

    def at(moment: float) -> None:
        time.sleep(max(begun + moment - time.monotonic(), 0.0))

    kills = sorted(chance.uniform(0.05, 0.95) * seconds for _ in range(round(seconds / 2)))
    events: list[tuple[float, str]] = [(one, "collector") for one in kills]
    events += [(seconds * share, "n1") for share in (0.25, 0.45, 0.7)]
    events += [
        (boundary + LAG - 0.3, "drain n2"),
        (boundary - 0.4, "down n3"),
        (boundary + LAG + 2.5, "up n3"),
    ]
    for moment, what in sorted(events):
        at(moment)
        if what == "collector":
            scenario.kill_collector()
            time.sleep(chance.uniform(0.0, 0.3))
            scenario.start_collector()
        elif what == "n1":
            scenario.kill_server("n1")
            scenario.start_server("n1")
        elif what == "down n3":
            scenario.kill_server("n3")
        elif what == "up n3":
            scenario.start_server("n3")
        else:
            scenario.servers["n2"].popen.terminate()  # answers and exports what it has, while the hour closes
    at(seconds)
    for one in routers:
        one.popen.wait(20)
    connection_faults.calm = True
    # One restart more: the flags of those killed last reach the journal with the next incarnation's first
    # block.
    for name in ("n1", "n3"):
        scenario.kill_server(name)
        scenario.start_server(name)
    _settle(scenario)


def _settle(scenario: Scenario) -> None:
    """Until the servers' folders are in the journal, or a while has passed; then all leave."""
    until = time.monotonic() + 10
    folders = [scenario.testbed.folder / f"{name}-ledger" for name in ("n1", "n3")]
    while time.monotonic() < until:
        time.sleep(0.3)
        journal = Journal(scenario.journal, read_only=True)
        found, _ = reconcile_folders(journal, folders)
        journal.close()
        if not found.pending:
            break
    for process in scenario.servers.values():
        process.leave()
    time.sleep(0.3)
    if scenario.collector is not None:
        scenario.collector.leave()


def _check_promises(scenario: Scenario, result: ExperimentResult) -> None:
    journal = Journal(scenario.journal, read_only=True)
    tries = {name: list(scenario.testbed.held(name)) for name in ("r1", "r2", "r3")}
    by_server = dict(zip(("n1", "n2", "n3"), tries.values(), strict=True))
    lines = _lines(journal)
    _check_answers(scenario, result, by_server, lines)
    _check_bills(scenario, result, by_server, lines)
    _check_books(scenario, result, journal)
    result.figures |= {
        "tries": sum(map(len, tries.values())),
        "completed": sum(one["how"] == "completed" for each in tries.values() for one in each),
        "denied": sum(one["how"] == "denied" for each in tries.values() for one in each),
        "lost_with_a_kill": sum(one["how"] == "lost" for each in tries.values() for one in each),
        "collector_kills": scenario.kills["collector"],
        "server_kills": scenario.kills["n1"] + scenario.kills["n3"],
        "entries": sum(map(len, lines.values())),
        "late_entries": sum(one["belongs"] is not None for each in lines.values() for one in each),
    }
    journal.close()


def _lines(journal: Journal) -> dict[str, list[dict[str, Any]]]:
    """The journal's entries by the name of their try."""
    found: dict[str, list[dict[str, Any]]] = {}
    for one in reports.entries(journal, None, None, 1 << 40):
        if one["kind"] == 0:
            found.setdefault(str(one["name"]), []).append(dict(one))
    return found


def _check_answers(
    scenario: Scenario,
    result: ExperimentResult,
    by_server: dict[str, list[dict[str, Any]]],
    lines: dict[str, list[dict[str, Any]]],
) -> None:
    """Every answer that a router holds is in the journal once, with its tenant, request class and outcome."""
    gaps = doubles = wrong = 0
    example = ""
    for server, tries in by_server.items():
        for one in tries:
            word = one["how"]
            if word not in OUTCOMES:
                continue
            if word != "completed" and scenario.kills[server]:
                continue  # only completed answers wait for their entry; those of others may fall with a kill
            entries = lines.get(one["name"], [])
            gaps += not entries
            doubles += len(entries) > 1
            if not entries:
                example = f"{server} {one['name']} {word}"
            elif (entries[0]["customer"], entries[0]["track"], entries[0]["outcome"]) != (
                one["customer"],
                one["track"],
                OUTCOMES[word],
            ):
                wrong += 1
                example = f"{server} {one} {entries[0]}"
    result.check("every answer held by a client is in the book: gaps", gaps == 0, f"{gaps} {example}".strip())
    result.check("no answer is in the book twice: doubles", doubles == 0, doubles)
    result.check(
        "customer, track and outcome are the client's", wrong == 0, f"{wrong} {example if wrong else ''}"
    )
    doubled = sum(len(each) > 1 for each in lines.values())
    result.check("no entry at all is there twice", doubled == 0, doubled)
    completed = {one["name"] for tries in by_server.values() for one in tries if one["how"] == "completed"}
    known = {one["name"]: one["how"] for tries in by_server.values() for one in tries}
    extra = [
        one
        for name, each in lines.items()
        for one in each[:1]
        if one["outcome"] == 1 and name not in completed and known.get(name) != "withdrawn"
    ]
    flagged = _flagged(scenario)
    unflagged = [one for one in extra if (one["server"], one["incarnation"], one["sequence"]) not in flagged]
    lost = sum(one["how"] == "lost" for tries in by_server.values() for one in tries)
    result.figures["completed_without_client"] = len(extra)
    result.check(
        "entries whose answer nobody holds are flagged", not unflagged, f"{len(unflagged)} of {len(extra)}"
    )
    result.check("they are at most those open at the kills", len(extra) <= lost, f"{len(extra)} of {lost}")


class _Flagged:
    """Whether an entry lies in a flagged row of sequences."""

    def __init__(self, rows: list[tuple[str, str, int, int]]) -> None:
        self._rows = rows

    def __contains__(self, key: tuple[str, str, int]) -> bool:
        return any(row[:2] == key[:2] and row[2] < key[2] <= row[3] for row in self._rows)


def _flagged(scenario: Scenario) -> _Flagged:
    journal = Journal(scenario.journal, read_only=True)
    rows = [
        (one[0], bytes(one[1]).hex(), one[2], one[3])
        for one in journal.rows(
            "select s.server, s.incarnation, u.after_sequence, u.through_sequence from unsure u"
            " join sources s on u.source = s.id"
        )
    ]
    journal.close()
    return _Flagged(rows)


def _check_bills(
    scenario: Scenario,
    result: ExperimentResult,
    by_server: dict[str, list[dict[str, Any]]],
    lines: dict[str, list[dict[str, Any]]],
) -> None:
    """Each run that a client holds a result of is billed once, to its tenant, and was run once."""
    gaps = doubles = never_ran = 0
    totals_held: Counter[tuple[str, str, str]] = Counter()
    totals_billed: Counter[tuple[str, str, str]] = Counter()
    for server, tries in by_server.items():
        ended = Counter(name for word, name, _ in scenario.testbed.runs(server) if word == "success")
        held: dict[str, tuple[str, str]] = {}
        for one in tries:
            if one["how"] == "completed":
                held[one["result"].split(" ")[2]] = (one["customer"], one["track"])
        billed: Counter[str] = Counter()
        tenants: dict[str, tuple[str, str]] = {}
        for each in lines.values():
            for one in each:
                if one["billed"] and one["server"] == server:
                    made = str(one["run"] or one["name"])
                    billed[made] += 1
                    tenants[made] = (str(one["customer"]), str(one["track"]))
        gaps += sum(name not in billed for name in held)
        doubles += sum(times > 1 for times in billed.values())
        never_ran += sum(ended[name] != 1 for name in billed)
        for name, key in held.items():
            totals_held[(server, *key)] += 1
            if name in tenants:
                totals_billed[(server, *tenants[name])] += 1
    result.check("every run that a client has the result of is billed", gaps == 0, gaps)
    result.check("no run is billed twice", doubles == 0, doubles)
    result.check("what is billed was run, once, at the interpreter", never_ran == 0, never_ran)
    result.check(
        "billed totals by server, customer and track equal the clients'",
        totals_held == totals_billed,
        f"{sum(totals_billed.values())} of {sum(totals_held.values())}",
    )


def _check_books(scenario: Scenario, result: ExperimentResult, journal: Journal) -> None:
    faults = list(journal.verify())
    result.check("the book verifies: lines, seals, blocks", not faults, faults[:2] or "in order")
    folders = [scenario.testbed.folder / f"{name}-ledger" for name in ("n1", "n3")]
    found, notes = reconcile_folders(journal, folders)
    wrong = [*found.gaps, *found.doubles, *found.changed]
    result.check(
        "servers' own files and the book reconcile", found.clean, wrong[:2] or f"{found.same} blocks"
    )
    result.check("all is exported", found.pending == 0, f"{found.pending} blocks pending")
    result.figures["reconcile_notes"] = len(notes)
    holes = next(iter(journal.rows("select count(*) from holes")))[0]
    result.check("no block was lost on the way", holes == 0, holes)
    closed = [
        one[0]
        for one in journal.rows("select name from periods where closed_us is not null order by start_us")
    ]
    result.check("a period closed during the drain", len(closed) >= 1, closed)
    left = "entries left behind" in scenario.servers["n2"].log.read_text()
    code = scenario.servers["n2"].popen.returncode
    result.check("the drained server left nothing behind", not left and code == 0, f"exit {code}")
    late = next(iter(journal.rows("select count(*) from lines where belongs is not null")))[0]
    result.check("what came after the close is marked with the period it belongs to", late > 0, late)
    if closed:
        _check_corrections(scenario, result, closed[0])


def _check_corrections(scenario: Scenario, result: ExperimentResult, period: str) -> None:
    """A closed statement prints the same after a correction, which stands in the open period."""
    journal = Journal(scenario.journal)
    before = statement.as_text(reports.statements(journal, period))
    one = Correction(Target(period=period), "regina", "record", -1, 0, "agreed with the customer", "trial")
    try:
        made = journal.correct(one, time.time() + HOUR)
    except CorrectionError as trouble:
        result.check("a closed period can be corrected", False, trouble)
        return
    after = statement.as_text(reports.statements(journal, period))
    listed = json.loads(statement.as_json(reports.statements(journal, made, "regina")))
    faults = list(journal.verify())
    journal.close()
    result.check("a closed statement prints the same after a correction", before == after, period)
    shown = len(listed[0]["corrections"]) == 1 and made != period
    result.check("the correction stands in the period it was made in", shown, made)
    result.check("the book verifies with it", not faults, faults[:2] or "in order")
