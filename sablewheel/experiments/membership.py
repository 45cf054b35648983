"""The membership trial: fleets of real servers, ours and two baselines, under the same faults.

Every link passes through a fault relay. Members are killed and restarted without state, paused for less and
for more than a suspicion timeout, slowed by repeated stops, cut in one direction, cut from all incoming
messages, or put on links that lose messages or alternate between cut and working. Several members are cut off
together, and all members of our fleet are stopped together, as by a stall of their host.
No running member may be removed, a dead member must be removed soon and by one view on all members, and the
load per member must be the same as in a fleet of half the size.
"""

from __future__ import annotations

import math
import random
import statistics
import time
from collections import defaultdict
from collections.abc import Callable
from contextlib import closing
from dataclasses import dataclass, field

from ..membership.plan import FAULTY_VARIANTS, Settings
from .fleet import Block, Fleet, ViewLogLine
from .replaced_parts import was_announced
from .result import ExperimentResult
from .testbed import Testbed, TestbedError

__all__ = ["FAULTY_VARIANTS", "run"]

PERIOD = Settings().period_s
BASELINES = ("heartbeat", "swim")
STARTUP_TIMEOUT_S = 40.0  # for all processes to start and to agree
REMOVAL_TIMEOUT_S = 15.0  # for a dead member to be removed from every view
REJOIN_TIMEOUT_S = 25.0  # for a removed member to rejoin
MAX_LOAD_RATIO = 1.2  # load per member relative to a fleet of half the size
MAX_DETECTION_RATIO = 1.5  # median detection time relative to the faster baseline
SHORT_PAUSE_S = Settings().heartbeat_timeout_s - PERIOD  # the longest silence within the heartbeat timeout
INCOMING_CUT_S = SHORT_PAUSE_S
RESUME_SPAN_S = 2.0  # members resume one by one over this time after a stop of all
ALONE = ("added", "removed")


@dataclass
class FaultPeriod:
    """The time of one fault (Unix seconds), and the members that may be removed during it."""

    fault: str
    started: float
    ended: float = 0.0
    removable: frozenset[str] = frozenset()


@dataclass
class Scenario:
    """All fleets of the trial, and the faults injected into them with their times."""

    testbed: Testbed
    seed: int
    ours: Fleet
    baselines: list[Fleet]
    half: Fleet
    fault_periods: list[FaultPeriod] = field(default_factory=list)
    crashes: list[tuple[str, float]] = field(default_factory=list)  # member, time of the kill
    agreed_after: list[float] = field(default_factory=list)  # seconds until all agreed after a crash
    rejoined_after: list[float] = field(default_factory=list)  # seconds until all removed members rejoined
    # Members cut off together, with the times of the cut, of its end and of the end of the period.
    cuts: list[tuple[set[str], float, float, float]] = field(default_factory=list)
    dead_in_stall: list[float] = field(default_factory=list)  # seconds until all had removed it
    loads: dict[int, tuple[float, float]] = field(default_factory=dict)  # datagrams, bytes per s by fleet

    @property
    def compared(self) -> list[Fleet]:
        """The fleets that get the same faults at the same time."""
        return [self.ours, *self.baselines]

    def inject(
        self,
        fault: str,
        apply: Callable[[Fleet], None],
        undo: Callable[[Fleet], None],
        span_s: float,
        settle_s: float = 4.0,
        removable: frozenset[str] = frozenset(),
    ) -> None:
        """Apply a fault to all compared fleets for `span_s` seconds.

        The fault period includes the `settle_s` seconds after it, in which the fault may still take effect.
        """
        period = FaultPeriod(fault, time.time(), removable=removable)
        self.fault_periods.append(period)
        for fleet in self.compared:
            apply(fleet)
        time.sleep(span_s)
        for fleet in self.compared:
            undo(fleet)
        time.sleep(settle_s)
        period.ended = time.time()


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """Run the trial; `broken` names a faulty variant that replaces the members of our fleet."""
    result = ExperimentResult("membership")
    size = 7 if quick else 16
    with Testbed(seed) as testbed, closing(Block()) as block:
        second = block.second
        ours = Fleet(testbed, second, broken or "ours", 0, size, seed)
        baselines = (
            [] if broken else [Fleet(testbed, second, k, 1 + i, size, seed) for i, k in enumerate(BASELINES)]
        )
        scenario = Scenario(
            testbed, seed, ours, baselines, Fleet(testbed, second, "ours", 3, math.ceil(size / 2), seed)
        )
        try:
            _run_scenario(scenario, quick)
            _check_promises(scenario, result)
        finally:
            for fleet in [*scenario.compared, scenario.half]:
                fleet.relay.close()
    return result


def _run_scenario(scenario: Scenario, quick: bool) -> None:
    chance = random.Random(scenario.seed)
    ours, names = scenario.ours, scenario.ours.names
    for fleet in [*scenario.compared, scenario.half]:
        for name in fleet.names:
            fleet.start(name)
    for fleet in [*scenario.compared, scenario.half]:
        if fleet.kind in BASELINES:
            if not _wait_all_joined(fleet, STARTUP_TIMEOUT_S):
                raise TestbedError(f"the members of the fleet {fleet.kind} did not all join")
        elif fleet.wait_agreed(fleet.names, STARTUP_TIMEOUT_S) is None:
            raise TestbedError(
                f"the fleet {fleet.kind} did not agree on a view: {ours.processes[names[0]].tail()}"
            )
    time.sleep(2.0)
    _load(scenario, 10.0 if quick else 30.0)

    def set_all(key: str, value: float | bool) -> Callable[[Fleet], None]:
        return lambda fleet: fleet.relay.set(fleet.names, fleet.names, **{key: value})

    def cut(senders: list[str], to: list[str], value: bool) -> Callable[[Fleet], None]:
        return lambda fleet: fleet.relay.set(senders, to, cut=value)

    def stop(name: str) -> Callable[[Fleet], None]:
        return lambda fleet: fleet.stop(name)

    def resume(name: str) -> Callable[[Fleet], None]:
        return lambda fleet: fleet.go_on(name)

    def impair(
        rest: list[str], target: str, source: str, is_cut: bool, drop: float
    ) -> Callable[[Fleet], None]:
        def apply(fleet: Fleet) -> None:
            fleet.relay.set(rest, [target], cut=is_cut)
            fleet.relay.set([source], [target], drop=drop)

        return apply

    candidates = names[1:]  # not the first seed: without it a new first view would have to be founded
    for _ in range(2 if quick else 5):
        _crash(scenario, chance.choice(candidates))
    for _ in range(1 if quick else 3):
        target = chance.choice(candidates)
        scenario.inject("short pause", stop(target), resume(target), SHORT_PAUSE_S)
    for _ in range(2 if quick else 4):
        target = chance.choice(candidates)
        rest = [source for source in names if source != target]
        scenario.inject("deaf", cut(rest, [target], True), cut(rest, [target], False), INCOMING_CUT_S)
    for _ in range(3):  # receives from one member only, with losses, and so wrongly suspects all the others
        target, source = chance.sample(candidates, 2)
        rest = [name for name in names if name not in (target, source)]
        start_fault, end_fault = (
            impair(rest, target, source, True, 0.5),
            impair(rest, target, source, False, 0.0),
        )
        # It may be removed itself, since it hardly answers, but no other member because of its reports.
        scenario.inject("hears one other", start_fault, end_fault, 9.0, 6.0, frozenset({target}))
    slow = chance.choice(candidates)
    scenario.inject("slow member", lambda fleet: None, lambda fleet: None, 0.0, 0.0)
    _stop_repeatedly(scenario, slow, 6.0 if quick else 30.0)
    scenario.fault_periods[-1].ended = time.time()
    a, b = chance.sample(candidates, 2)
    scenario.inject("one-sided cut", cut([b], [a], True), cut([b], [a], False), 8.0 if quick else 30.0)
    a, b = chance.sample(candidates, 2)
    scenario.inject("flipping link", lambda fleet: None, lambda fleet: None, 0.0, 0.0)
    for round_index in range(4 if quick else 12):
        for fleet in scenario.compared:
            fleet.relay.set([a], [b], cut=round_index % 2 == 0)
            fleet.relay.set([b], [a], cut=round_index % 2 == 0)
        time.sleep(2.0)
    scenario.fault_periods[-1].ended = time.time()
    scenario.inject("a tenth lost", set_all("drop", 0.1), set_all("drop", 0.0), 12.0 if quick else 60.0)
    # Two faults at a time: a pause while a tenth is lost and datagrams are delayed, duplicated and reordered.
    paused = chance.choice(candidates)

    def impair_all(fleet: Fleet) -> None:
        fleet.relay.set(fleet.names, fleet.names, drop=0.1, double=0.05, reorder=0.2, most=0.02)
        fleet.stop(paused)

    def restore_all(fleet: Fleet) -> None:
        fleet.go_on(paused)
        fleet.relay.set(fleet.names, fleet.names, drop=0.0, double=0.0, reorder=0.0, most=0.0)

    scenario.inject("loss and a pause", impair_all, restore_all, SHORT_PAUSE_S)
    # Longer than the suspicion timeout: the member is removed like a dead one, and rejoins by itself.
    long_paused = chance.choice(candidates)
    scenario.inject("long pause", stop(long_paused), resume(long_paused), 9.0, 0.0, frozenset({long_paused}))
    after = scenario.ours.wait_agreed(names, REJOIN_TIMEOUT_S)
    scenario.fault_periods[-1].ended = time.time()
    scenario.rejoined_after.append(after if after is not None else math.inf)
    for _ in range(2):
        _cut_off(scenario, chance.sample(candidates, round(len(names) * 3 / 8)), 14.0 if quick else 25.0)
    _stall(scenario, chance, 10.0 if quick else 20.0, "")
    _stall(scenario, chance, 6.0 if quick else 20.0, chance.choice(candidates))
    leaving = chance.choice(candidates)
    at = time.time()
    for fleet in scenario.compared:
        fleet.processes[leaving].popen.terminate()
    scenario.fault_periods.append(FaultPeriod("leave", at, at + 4.0, frozenset({leaving})))
    time.sleep(4.0)


def _wait_all_joined(fleet: Fleet, timeout_s: float) -> bool:
    """Wait until each member of a baseline fleet, which has no view, lists all members."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        statuses = [fleet.status(name) for name in fleet.names]
        if all(status is not None and len(status.states) == fleet.size for status in statuses):
            return True
        time.sleep(0.1)
    return False


def _crash(scenario: Scenario, name: str) -> None:
    """Kill a member and, once it has been removed, restart it without state under the same name."""
    at = time.time()
    for fleet in scenario.compared:
        fleet.processes[name].kill()
    scenario.crashes.append((name, at))
    period = FaultPeriod("crash", at, removable=frozenset({name}))
    scenario.fault_periods.append(period)
    remaining = [other for other in scenario.ours.names if other != name]
    after = scenario.ours.wait_agreed(remaining, REMOVAL_TIMEOUT_S)
    scenario.agreed_after.append(after if after is not None else math.inf)
    time.sleep(2.0)  # the baselines may still be removing it
    for fleet in scenario.compared:
        fleet.start(name)
    rejoined_after = scenario.ours.wait_agreed(scenario.ours.names, REJOIN_TIMEOUT_S)
    scenario.rejoined_after.append(rejoined_after if rejoined_after is not None else math.inf)
    period.ended = time.time()
    for fleet in scenario.baselines:
        _wait_all_joined(fleet, 8.0)


def _stop_repeatedly(scenario: Scenario, name: str, span: float) -> None:
    """Stop a member for most of the time in short turns, like a process that is starved of CPU time."""
    deadline = time.monotonic() + span
    while time.monotonic() < deadline:
        for fleet in scenario.compared:
            fleet.stop(name)
        time.sleep(0.5)
        for fleet in scenario.compared:
            fleet.go_on(name)
        time.sleep(0.15)
    time.sleep(4.0)


def _cut_off(scenario: Scenario, group: list[str], span: float) -> None:
    """Cut off several members together in both directions: they are removed, and rejoin by themselves."""
    ours, rest = scenario.ours, [name for name in scenario.ours.names if name not in group]
    cut_at = time.time()
    for some, others in ((group, rest), (rest, group)):
        ours.relay.set(some, others, cut=True)
    time.sleep(span)
    healed_at = time.time()
    for some, others in ((group, rest), (rest, group)):
        ours.relay.set(some, others, cut=False)
    after = ours.wait_agreed(ours.names, REJOIN_TIMEOUT_S)
    scenario.rejoined_after.append(after if after is not None else math.inf)
    time.sleep(3.0)
    scenario.cuts.append((set(group), cut_at, healed_at, time.time()))
    scenario.fault_periods.append(FaultPeriod("cut of several", cut_at, time.time(), frozenset(group)))


def _stall(scenario: Scenario, chance: random.Random, span: float, killed: str) -> None:
    """Stop all members of our fleet at once and resume them one by one; kill `killed` meanwhile, if any."""
    ours, stopped_at = scenario.ours, time.time()
    for name in ours.names:
        ours.stop(name)
    time.sleep(span)
    if killed:
        ours.processes[killed].kill()
    remaining = [name for name in ours.names if name != killed]
    resumed_at = time.monotonic()
    for at, name in sorted((chance.uniform(0, RESUME_SPAN_S), name) for name in remaining):
        time.sleep(max(resumed_at + at - time.monotonic(), 0.0))
        ours.go_on(name)
    if killed:
        removed_after = ours.wait_agreed(remaining, REJOIN_TIMEOUT_S)
        scenario.dead_in_stall.append(removed_after if removed_after is not None else math.inf)
    else:
        time.sleep(12.0)
    period = FaultPeriod(
        "stop of all and a death" if killed else "stop of all", stopped_at, time.time(), frozenset({killed})
    )
    scenario.fault_periods.append(period)
    if killed:
        ours.start(killed)
        rejoined_after = ours.wait_agreed(ours.names, REJOIN_TIMEOUT_S)
        scenario.rejoined_after.append(rejoined_after if rejoined_after is not None else math.inf)


def _load(scenario: Scenario, span: float) -> None:
    """Measure the datagrams and bytes per second that a member sends without faults, in both fleets."""
    before = {fleet.place: fleet.relay.traffic() for fleet in (scenario.ours, scenario.half)}
    started = time.monotonic()
    time.sleep(span)
    for fleet in (scenario.ours, scenario.half):
        after, elapsed = fleet.relay.traffic(), time.monotonic() - started
        rows = [
            [now - was for now, was in zip(after[name], before[fleet.place][name], strict=True)]
            for name in fleet.names
        ]
        scenario.loads[fleet.place] = (
            statistics.mean(row[0] for row in rows) / elapsed,
            statistics.mean(row[1] for row in rows) / elapsed,
        )


# -- checks


def _wrong_removals(fleet: Fleet, period: FaultPeriod) -> list[tuple[str, int | str]]:
    """Return the wrongly removed members of a fault period.

    Each comes with the epoch of the removal, or with the name of the member that removed it alone.
    """
    removals: set[tuple[str, int | str]] = set()
    for line in fleet.view_log_lines(period.started, period.ended):
        if line.event == "view":
            for word in line.pairs.get("changes", "").split():
                kind, _, member = word.partition(":")
                if kind == "remove" and member.partition("@")[0] not in period.removable:
                    removals.add((member.partition("@")[0], int(line.pairs["epoch"])))
        elif line.event == "removed" and not {line.pairs["member"], line.member} & period.removable:
            # Removals by a member that was itself stopped or dead do not count.
            removals.add((line.pairs["member"], line.member))
    return sorted(removals, key=str)


def _removal_times(fleet: Fleet, name: str, at: float) -> list[float]:
    """Return the seconds from a crash until each other member removed the dead one; inf if it never did."""
    until = at + REMOVAL_TIMEOUT_S
    first: dict[str, float] = {}
    epoch: int | None = None
    lines = list(fleet.view_log_lines(at, until))
    for line in lines:
        if line.event == "view" and f"remove:{name}@" in line.pairs.get("changes", ""):
            epoch = int(line.pairs["epoch"]) if epoch is None else epoch
    for line in lines:
        removed_alone = line.event == "removed" and line.pairs["member"] == name
        in_agreed_view = line.event == "view" and epoch is not None and int(line.pairs["epoch"]) >= epoch
        if removed_alone or in_agreed_view:
            first.setdefault(line.member, line.when - at)
    return [first.get(other, math.inf) for other in fleet.names if other != name]


def _epochs(lines: list[ViewLogLine]) -> int:
    return len({line.pairs["epoch"] for line in lines if line.event == "view"})


def _changes(fleet: Fleet, since: float, until: float) -> dict[str, str]:
    """Return the changes of each view decided between `since` and `until`, by epoch."""
    return {
        line.pairs["epoch"]: line.pairs["changes"]
        for line in fleet.view_log_lines(since, until)
        if line.event == "view" and ":" in line.pairs.get("changes", "")
    }


def _check_group_faults(scenario: Scenario, result: ExperimentResult) -> None:
    """Check the members that were cut off together, and the one killed while all were stopped."""
    removal_views, rejoin_views = list[int](), list[int]()
    for group, cut_at, healed_at, ended_at in scenario.cuts:
        removals, rejoins = (
            _changes(scenario.ours, cut_at, healed_at),
            _changes(scenario.ours, healed_at, ended_at),
        )
        removed = {
            name for name in group if any(f"remove:{name}@" in changes for changes in removals.values())
        }
        result.check(
            f"{len(group)} members cut off together are removed in one view",
            len(removals) == 1 and removed == group,
            "; ".join(removals.values()) or "none",
        )
        result.check("and rejoin in one or two views", 1 <= len(rejoins) <= 2, len(rejoins))
        removal_views.append(len(removals))
        rejoin_views.append(len(rejoins))
    slowest = max(scenario.dead_in_stall)
    result.check(
        "a member killed during a stop of all is removed from every view",
        slowest < math.inf,
        f"{slowest:.2f} s",
    )
    result.figures |= {
        "cut_views": max(removal_views),
        "back_views": max(rejoin_views),
        "dead_in_stall_s": round(slowest, 2),
    }


def _check_promises(scenario: Scenario, result: ExperimentResult) -> None:
    ours = scenario.ours
    for fleet in scenario.compared:
        if fleet.kind != "ours":
            logs = [scenario.testbed.folder / f"{fleet.idempotency_key(name)}.log" for name in fleet.names]
            all_replaced = all(was_announced(log, fleet.kind) for log in logs)
            result.require(f"all members run as {fleet.kind}", all_replaced)
    _check_group_faults(scenario, result)
    detected = {
        fleet.kind: [seconds for name, at in scenario.crashes for seconds in _removal_times(fleet, name, at)]
        for fleet in scenario.compared
    }
    own_times = sorted(detected[ours.kind])
    p50, p99 = statistics.median(own_times), own_times[math.ceil(0.99 * len(own_times)) - 1]
    result.check(
        "a killed member is removed from every view", own_times[-1] < math.inf, f"{own_times[-1]:.2f} s"
    )
    result.check(
        "one agreed view after each crash",
        max(scenario.agreed_after) < math.inf,
        f"{max(scenario.agreed_after):.2f} s",
    )
    result.check(
        "a removed member rejoins under the same name",
        max(scenario.rejoined_after) < math.inf,
        f"{max(scenario.rejoined_after):.2f} s",
    )
    removed: dict[str, dict[str, int]] = {fleet.kind: defaultdict(int) for fleet in scenario.compared}
    for fleet in scenario.compared:
        for period in scenario.fault_periods:
            removed[fleet.kind][period.fault] += len(_wrong_removals(fleet, period))
    kinds = list(dict.fromkeys(period.fault for period in scenario.fault_periods))
    for fault in kinds:
        count = removed[ours.kind][fault]
        result.check(f"no healthy member is removed: {fault}", count == 0, count)
    for fault in ("one-sided cut", "flipping link"):
        period = next(candidate for candidate in scenario.fault_periods if candidate.fault == fault)
        changes = _epochs(list(ours.view_log_lines(period.started, period.ended)))
        result.check(f"at most one view change: {fault}", changes <= 1, changes)
    by_epoch: dict[str, set[str]] = defaultdict(set)
    for line in ours.view_log_lines():
        if line.event == "view":
            by_epoch[line.pairs["epoch"]].add(line.pairs["fingerprint"])
    conflicting = sum(len(fingerprints) > 1 for fingerprints in by_epoch.values())
    result.check(
        "no epoch at which two members had different views",
        conflicting == 0,
        f"{conflicting} of {len(by_epoch)}",
    )
    remaining = [name for name in ours.names if name not in scenario.fault_periods[-1].removable]
    result.check("all agree at the end, without the member that left", ours.agreed(remaining), len(remaining))
    for figure, place in (("messages", 0), ("bytes", 1)):
        full, half = scenario.loads[ours.place][place], scenario.loads[scenario.half.place][place]
        ratio = full / half
        result.check(
            f"{figure} per member do not grow with the fleet",
            1 / MAX_LOAD_RATIO <= ratio <= MAX_LOAD_RATIO,
            f"{ratio:.2f} from {scenario.half.size} to {ours.size}",
        )
        result.figures[f"{figure}_a_member_a_second"] = round(full, 1)
        result.figures[f"{figure}_ratio"] = round(ratio, 3)
    total = {kind: sum(by_fault.values()) for kind, by_fault in removed.items()}
    if scenario.baselines:
        least = min(total[fleet.kind] for fleet in scenario.baselines)
        result.check(
            "fewer healthy members removed than by both baselines",
            total[ours.kind] < least,
            ", ".join(f"{kind} {count}" for kind, count in total.items()),
        )
        faster = min(statistics.median(detected[fleet.kind]) for fleet in scenario.baselines)
        medians = {kind: statistics.median(times) for kind, times in detected.items()}
        result.check(
            f"a crash is detected within {MAX_DETECTION_RATIO} times the faster baseline",
            p50 <= MAX_DETECTION_RATIO * faster,
            ", ".join(f"{kind} {median:.2f} s" for kind, median in medians.items()),
        )
        for kind, median in medians.items():
            result.figures[f"{kind}_detect_p50_periods"] = round(median / PERIOD, 2)
    log = "".join(
        (scenario.testbed.folder / f"{ours.idempotency_key(name)}.log").read_text(errors="replace")
        for name in ours.names
    )
    result.check("no unhandled exception in the logs", "Traceback" not in log, log.count("Traceback"))
    result.figures |= {
        "members": ours.size,
        "detect_p50_periods": round(p50 / PERIOD, 2),
        "detect_p99_periods": round(p99 / PERIOD, 2),
        "agreed_s": round(max(scenario.agreed_after), 2),
        "views": len(by_epoch),
        **{f"healthy_removed_{kind}": count for kind, count in total.items()},
    }
    for kind, counts in removed.items():
        counted = ", ".join(f"{fault} {count}" for fault, count in counts.items() if count)
        result.figures[f"removed_in_{kind}"] = counted or "-"
