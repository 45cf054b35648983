"""The usage metering trial: three servers, connection faults, killed collectors and servers, a period close.

The period closes while one server drains. The answers that the routers received, the runs of the interpreters
and the entries of the journal must agree request by request.
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
from ..usage_metering.journal_schema import CORRECTION
from .connection_faults import ConnectionFaults
from .result import ExperimentResult
from .testbed import Process, Testbed, free_port

FAULTY_VARIANTS = ("ack-before-apply", "no-dedup", "no-seal")
HOUR = 3600.0
LAG = 2.0
OUTCOMES = {"completed": 1, "denied": 2, "terminated": 3}


def features(depth: str, port: int, folder: Path | None, **more: object) -> str:
    """Return the features file of a server with usage metering."""
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
    """The processes of one run, and how often each was killed."""

    testbed: Testbed
    broken: str
    ports: dict[str, int] = field(default_factory=dict)
    vms: dict[str, int] = field(default_factory=dict)
    texts: dict[str, str] = field(default_factory=dict)
    servers: dict[str, Process] = field(default_factory=dict)
    collector: Process | None = None
    collector_port: int = 0
    kills: Counter[str] = field(default_factory=Counter)

    @property
    def journal(self) -> Path:
        return self.testbed.folder / "book.sqlite"

    def start_collector(self) -> None:
        path = self.testbed.folder / "collector.yaml"
        path.write_text(collector_features(self.collector_port, self.journal))
        arguments = [str(path)] + ([self.broken] if self.broken else [])
        self.collector = self.testbed.start("collector", "sablewheel.experiments.collector", *arguments)
        self.testbed.wait_for_port(self.collector_port, self.collector)

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
    """Run the trial; `broken` names a faulty variant of the collector."""
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
    scenario.collector_port = free_port()
    scenario.start_collector()
    connection_faults = ConnectionFaults(scenario.collector_port, seed)
    for name, depth in (("n1", "durable"), ("n2", "memory"), ("n3", "durable")):
        folder = testbed.folder / f"{name}-ledger" if depth == "durable" else None
        scenario.texts[name] = features(depth, connection_faults.port, folder, block_every_s=0.1)
        scenario.ports[name], scenario.vms[name] = free_port(), free_port()
        testbed.interpreter(name, scenario.vms[name])
        scenario.start_server(name)
    return connection_faults


def _run_scenario(scenario: Scenario, connection_faults: ConnectionFaults, seed: int, seconds: float) -> None:
    """Run the load and inject the seeded failures."""
    testbed, chance = scenario.testbed, random.Random(seed)
    # An hour of the shifted clock ends shortly before n2 is terminated, and is closed while n2 drains.
    boundary = seconds * 0.6
    testbed.shift(HOUR - time.time() % HOUR - boundary)
    started = time.monotonic()
    burst = [{"customer": "regina", "from": seconds * 0.4, "to": seconds * 0.55, "times": 3}]
    routers = [
        testbed.router(
            name,
            [f"127.0.0.1:{scenario.ports[server]}"],
            rate=110,
            seconds=seconds,
            repeats=0.25,
            cancels=0.04,
            bursts=burst,
            seed=seed + index,
        )
        for index, (name, server) in enumerate((("r1", "n1"), ("r2", "n2"), ("r3", "n3")))
    ]

    def sleep_until(moment: float) -> None:
        time.sleep(max(started + moment - time.monotonic(), 0.0))

    kills = sorted(chance.uniform(0.05, 0.95) * seconds for _ in range(round(seconds / 2)))
    events: list[tuple[float, str]] = [(kill_at, "collector") for kill_at in kills]
    events += [(seconds * share, "n1") for share in (0.25, 0.45, 0.7)]
    events += [
        (boundary + LAG - 0.3, "drain n2"),
        (boundary - 0.4, "down n3"),
        (boundary + LAG + 2.5, "up n3"),
    ]
    for moment, event in sorted(events):
        sleep_until(moment)
        if event == "collector":
            scenario.kill_collector()
            time.sleep(chance.uniform(0.0, 0.3))
            scenario.start_collector()
        elif event == "n1":
            scenario.kill_server("n1")
            scenario.start_server("n1")
        elif event == "down n3":
            scenario.kill_server("n3")
        elif event == "up n3":
            scenario.start_server("n3")
        else:
            # n2 answers its requests and exports its entries while the hour closes.
            scenario.servers["n2"].popen.terminate()
    sleep_until(seconds)
    for router in routers:
        router.popen.wait(20)
    connection_faults.calm = True
    # Restart once more: the flag of a killed incarnation reaches the journal with the next one's first block.
    for name in ("n1", "n3"):
        scenario.kill_server(name)
        scenario.start_server(name)
    _settle(scenario)


def _settle(scenario: Scenario) -> None:
    """Wait up to 10 s until the servers' folders are in the journal, then stop all processes."""
    deadline = time.monotonic() + 10
    folders = [scenario.testbed.folder / f"{name}-ledger" for name in ("n1", "n3")]
    while time.monotonic() < deadline:
        time.sleep(0.3)
        journal = Journal(scenario.journal, read_only=True)
        reconciliation, _ = reconcile_folders(journal, folders)
        journal.close()
        if not reconciliation.pending:
            break
    for process in scenario.servers.values():
        process.leave()
    time.sleep(0.3)
    if scenario.collector is not None:
        scenario.collector.leave()


def _check_promises(scenario: Scenario, result: ExperimentResult) -> None:
    journal = Journal(scenario.journal, read_only=True)
    attempts = {name: list(scenario.testbed.held(name)) for name in ("r1", "r2", "r3")}
    by_server = dict(zip(("n1", "n2", "n3"), attempts.values(), strict=True))
    lines = _entries_by_name(journal)
    _check_answers(scenario, result, by_server, lines)
    _check_billing(scenario, result, by_server, lines)
    _check_journal(scenario, result, journal)
    result.figures |= {
        "tries": sum(map(len, attempts.values())),
        "completed": sum(record["how"] == "completed" for records in attempts.values() for record in records),
        "denied": sum(record["how"] == "denied" for records in attempts.values() for record in records),
        "lost_with_a_kill": sum(
            record["how"] == "lost" for records in attempts.values() for record in records
        ),
        "collector_kills": scenario.kills["collector"],
        "server_kills": scenario.kills["n1"] + scenario.kills["n3"],
        "entries": sum(map(len, lines.values())),
        "late_entries": sum(
            record["belongs"] is not None for records in lines.values() for record in records
        ),
    }
    journal.close()


def _entries_by_name(journal: Journal) -> dict[str, list[dict[str, Any]]]:
    """Return the journal's entries by the name of their attempt."""
    entries: dict[str, list[dict[str, Any]]] = {}
    for entry in reports.entries(journal, None, None, 1 << 40):
        if entry["kind"] == 0:
            entries.setdefault(str(entry["name"]), []).append(dict(entry))
    return entries


def _check_answers(
    scenario: Scenario,
    result: ExperimentResult,
    by_server: dict[str, list[dict[str, Any]]],
    lines: dict[str, list[dict[str, Any]]],
) -> None:
    """Check that the journal has each answer once, with its tenant, request class and outcome."""
    missing = duplicates = mismatched = 0
    example = ""
    for server, attempts in by_server.items():
        for record in attempts:
            outcome = record["how"]
            if outcome not in OUTCOMES:
                continue
            if outcome != "completed" and scenario.kills[server]:
                continue  # only completed answers wait for their entry; others may be lost in a kill
            entries = lines.get(record["name"], [])
            missing += not entries
            duplicates += len(entries) > 1
            if not entries:
                example = f"{server} {record['name']} {outcome}"
            elif (entries[0]["customer"], entries[0]["track"], entries[0]["outcome"]) != (
                record["customer"],
                record["track"],
                OUTCOMES[outcome],
            ):
                mismatched += 1
                example = f"{server} {record} {entries[0]}"
    result.check(
        "the journal has every answer that a client received: missing",
        missing == 0,
        f"{missing} {example}".strip(),
    )
    result.check("the journal has no answer twice: duplicates", duplicates == 0, duplicates)
    result.check(
        "tenant, request class and outcome are the client's",
        mismatched == 0,
        f"{mismatched} {example if mismatched else ''}",
    )
    duplicated = sum(len(records) > 1 for records in lines.values())
    result.check("the journal has no entry twice", duplicated == 0, duplicated)
    completed = {
        record["name"]
        for attempts in by_server.values()
        for record in attempts
        if record["how"] == "completed"
    }
    outcomes = {record["name"]: record["how"] for attempts in by_server.values() for record in attempts}
    extra = [
        record
        for name, records in lines.items()
        for record in records[:1]
        if record["outcome"] == 1 and name not in completed and outcomes.get(name) != "withdrawn"
    ]
    flagged = _flagged_ranges(scenario)
    unflagged = [
        record
        for record in extra
        if (record["server"], record["incarnation"], record["sequence"]) not in flagged
    ]
    lost = sum(record["how"] == "lost" for attempts in by_server.values() for record in attempts)
    result.figures["completed_without_client"] = len(extra)
    result.check(
        "entries whose answer no client received are flagged",
        not unflagged,
        f"{len(unflagged)} of {len(extra)}",
    )
    result.check(
        "they are at most the attempts open at the kills", len(extra) <= lost, f"{len(extra)} of {lost}"
    )


class _FlaggedRanges:
    """The flagged sequence ranges; `in` tests whether one of them contains an entry."""

    def __init__(self, rows: list[tuple[str, str, int, int]]) -> None:
        self._rows = rows

    def __contains__(self, key: tuple[str, str, int]) -> bool:
        return any(row[:2] == key[:2] and row[2] < key[2] <= row[3] for row in self._rows)


def _flagged_ranges(scenario: Scenario) -> _FlaggedRanges:
    journal = Journal(scenario.journal, read_only=True)
    rows = [
        (row[0], bytes(row[1]).hex(), row[2], row[3])
        for row in journal.rows(
            "select s.server, s.incarnation, u.after_sequence, u.through_sequence from unsure u"
            " join sources s on u.source = s.id"
        )
    ]
    journal.close()
    return _FlaggedRanges(rows)


def _check_billing(
    scenario: Scenario,
    result: ExperimentResult,
    by_server: dict[str, list[dict[str, Any]]],
    lines: dict[str, list[dict[str, Any]]],
) -> None:
    """Check that each run whose result a client received ran once and is billed once, to its tenant."""
    missing = duplicates = never_ran = 0
    totals_received: Counter[tuple[str, str, str]] = Counter()
    totals_billed: Counter[tuple[str, str, str]] = Counter()
    for server, attempts in by_server.items():
        succeeded = Counter(name for event, name, _ in scenario.testbed.runs(server) if event == "success")
        received: dict[str, tuple[str, str]] = {}
        for record in attempts:
            if record["how"] == "completed":
                received[record["result"].split(" ")[2]] = (record["customer"], record["track"])
        billed: Counter[str] = Counter()
        tenants: dict[str, tuple[str, str]] = {}
        for records in lines.values():
            for record in records:
                if record["billed"] and record["server"] == server:
                    run_name = str(record["run"] or record["name"])
                    billed[run_name] += 1
                    tenants[run_name] = (str(record["customer"]), str(record["track"]))
        missing += sum(name not in billed for name in received)
        duplicates += sum(times > 1 for times in billed.values())
        never_ran += sum(succeeded[name] != 1 for name in billed)
        for name, key in received.items():
            totals_received[(server, *key)] += 1
            if name in tenants:
                totals_billed[(server, *tenants[name])] += 1
    result.check("every run whose result a client received is billed", missing == 0, missing)
    result.check("no run is billed twice", duplicates == 0, duplicates)
    result.check("every billed run was run once at the interpreter", never_ran == 0, never_ran)
    result.check(
        "billed totals by server, tenant and request class equal the clients'",
        totals_received == totals_billed,
        f"{sum(totals_billed.values())} of {sum(totals_received.values())}",
    )


def _check_journal(scenario: Scenario, result: ExperimentResult, journal: Journal) -> None:
    faults = list(journal.verify())
    result.check("the journal verifies: lines, seals, blocks", not faults, faults[:2] or "in order")
    folders = [scenario.testbed.folder / f"{name}-ledger" for name in ("n1", "n3")]
    reconciliation, notes = reconcile_folders(journal, folders)
    mismatches = [*reconciliation.gaps, *reconciliation.doubles, *reconciliation.changed]
    result.check(
        "the servers' own files and the journal reconcile",
        reconciliation.clean,
        mismatches[:2] or f"{reconciliation.same} blocks",
    )
    result.check(
        "all blocks are exported", reconciliation.pending == 0, f"{reconciliation.pending} blocks pending"
    )
    result.figures["reconcile_notes"] = len(notes)
    lost_blocks = next(iter(journal.rows("select count(*) from holes")))[0]
    result.check("no block was lost", lost_blocks == 0, lost_blocks)
    closed = [
        row[0]
        for row in journal.rows("select name from periods where closed_us is not null order by start_us")
    ]
    result.check("a period closed during the drain", len(closed) >= 1, closed)
    left_behind = "entries left behind" in scenario.servers["n2"].log.read_text()
    code = scenario.servers["n2"].popen.returncode
    result.check("the drained server left no entries behind", not left_behind and code == 0, f"exit {code}")
    unmarked, late = _late_lines(journal)
    result.require("entries after a period's close", late + unmarked > 0)
    promise = "entries after the close are marked with the period to which they belong"
    result.check(promise, unmarked == 0, f"{late} marked, {unmarked} not")
    if closed:
        _check_corrections(scenario, result, closed[0])


def _late_lines(journal: Journal) -> tuple[int, int]:
    """Return how many lines of an earlier period's time lack the mark of it, and how many have it."""
    late = (
        "select count(*) from lines join periods on periods.id = lines.period"
        f" where kind != {CORRECTION} and ended_us < periods.start_us and belongs is "
    )
    unmarked, marked = (next(iter(journal.rows(late + value)))[0] for value in ("null", "not null"))
    return unmarked, marked


def _check_corrections(scenario: Scenario, result: ExperimentResult, period: str) -> None:
    """Check that a correction leaves a closed statement unchanged and is entered in the open period."""
    journal = Journal(scenario.journal)
    before = statement.as_text(reports.statements(journal, period))
    correction = Correction(
        Target(period=period), "regina", "record", -1, 0, "agreed with the customer", "trial"
    )
    try:
        correction_period = journal.correct(correction, time.time() + HOUR)
    except CorrectionError as error:
        result.check("a closed period can be corrected", False, error)
        return
    after = statement.as_text(reports.statements(journal, period))
    listed = json.loads(statement.as_json(reports.statements(journal, correction_period, "regina")))
    faults = list(journal.verify())
    journal.close()
    result.check("a closed statement is unchanged by a correction", before == after, period)
    in_open_period = len(listed[0]["corrections"]) == 1 and correction_period != period
    result.check(
        "the correction is entered in the period in which it was made", in_open_period, correction_period
    )
    result.check("the journal verifies with the correction", not faults, faults[:2] or "in order")
