"""Membership's trial: fleets of real servers side by side under the same faults, ours and two baselines.

Every link passes through a fault relay. Members are killed and come back cold, paused for shorter and longer
than a suspicion lasts, slowed by stops and goes, cut one way, made deaf, put on links that lose or flip;
several are cut off together, and all of ours are stopped together, as by a stall of their host.
Nobody who is alive may be taken out, whoever is dead must be out soon and in one view for all, and a fleet
of half the size must cost each member as much.
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
from .fleet import Block, Fleet, Seen
from .replaced_parts import was_announced
from .result import ExperimentResult
from .testbed import Testbed, TestbedError

__all__ = ["FAULTY_VARIANTS", "run"]

PERIOD = Settings().period_s
BASELINES = ("heartbeat", "swim")
UP_WITHIN = 40.0  # for all processes to start and to agree
OUT_WITHIN = 15.0  # for a dead member to be out of every view
AGAIN_WITHIN = 25.0  # for one that was out to be in again
LOAD_MOST = 1.2  # times the load a member of a fleet of half the size
DETECT_MOST = 1.5  # times the faster baseline
SHORT = Settings().heartbeat_timeout_s - PERIOD  # the longest silence that the heartbeats' timeout bears
DEAF = SHORT
GOING_ON = 2.0  # seconds over which members go on, one by one, after a stop of all
ALONE = ("added", "removed")


@dataclass
class Spell:
    """A fault's time, and who may be taken out in it."""

    what: str
    begun: float
    ended: float = 0.0
    may_go: frozenset[str] = frozenset()


@dataclass
class Scenario:
    """All fleets of the trial, and what was done to them when."""

    testbed: Testbed
    seed: int
    ours: Fleet
    others: list[Fleet]
    half: Fleet
    spells: list[Spell] = field(default_factory=list)
    crashes: list[tuple[str, float]] = field(default_factory=list)
    agreed_after: list[float] = field(default_factory=list)
    returned_after: list[float] = field(default_factory=list)
    cuts: list[tuple[set[str], float, float, float]] = field(default_factory=list)  # who, from, to, end
    dead_in_stall: list[float] = field(default_factory=list)  # until all held it to be out
    loads: dict[int, tuple[float, float]] = field(default_factory=dict)  # by fleet: datagrams, bytes a second

    @property
    def same(self) -> list[Fleet]:
        """The fleets that get the same faults at the same time."""
        return [self.ours, *self.others]

    def spell(
        self,
        what: str,
        act: Callable[[Fleet], None],
        undo: Callable[[Fleet], None],
        span: float,
        rest: float = 4.0,
        may_go: frozenset[str] = frozenset(),
    ) -> None:
        """One fault on all fleets for `span` seconds, and the time after it in which it could still tell."""
        spell = Spell(what, time.time(), may_go=may_go)
        self.spells.append(spell)
        for fleet in self.same:
            act(fleet)
        time.sleep(span)
        for fleet in self.same:
            undo(fleet)
        time.sleep(rest)
        spell.ended = time.time()


def run(seed: int, quick: bool, broken: str = "") -> ExperimentResult:
    """The trial; `broken` names a part that is broken on purpose in the fleet that stands for ours."""
    result = ExperimentResult("membership")
    size = 7 if quick else 16
    with Testbed(seed) as testbed, closing(Block()) as block:
        second = block.second
        ours = Fleet(testbed, second, broken or "ours", 0, size, seed)
        others = (
            [] if broken else [Fleet(testbed, second, k, 1 + i, size, seed) for i, k in enumerate(BASELINES)]
        )
        scenario = Scenario(
            testbed, seed, ours, others, Fleet(testbed, second, "ours", 3, math.ceil(size / 2), seed)
        )
        try:
            _run_scenario(scenario, quick)
            _check_promises(scenario, result)
        finally:
            for fleet in [*scenario.same, scenario.half]:
                fleet.relay.close()
    return result


def _run_scenario(scenario: Scenario, quick: bool) -> None:
    chance = random.Random(scenario.seed)
    ours, names = scenario.ours, scenario.ours.names
    for fleet in [*scenario.same, scenario.half]:
        for name in fleet.names:
            fleet.start(name)
    for fleet in [*scenario.same, scenario.half]:
        if fleet.kind in BASELINES:
            if not _all_in(fleet, UP_WITHIN):
                raise TestbedError(f"the fleet of {fleet.kind} does not come together")
        elif fleet.wait_agreed(fleet.names, UP_WITHIN) is None:
            raise TestbedError(f"the fleet of {fleet.kind} does not agree: {ours.processes[names[0]].tail()}")
    time.sleep(2.0)
    _load(scenario, 10.0 if quick else 30.0)

    def set_all(what: str, value: float | bool) -> Callable[[Fleet], None]:
        return lambda fleet: fleet.relay.set(fleet.names, fleet.names, **{what: value})

    def cut(senders: list[str], to: list[str], value: bool) -> Callable[[Fleet], None]:
        return lambda fleet: fleet.relay.set(senders, to, cut=value)

    def stopped(name: str) -> Callable[[Fleet], None]:
        return lambda fleet: fleet.stop(name)

    def going(name: str) -> Callable[[Fleet], None]:
        return lambda fleet: fleet.go_on(name)

    def badly(rest: list[str], one: str, other: str, off: bool, drop: float) -> Callable[[Fleet], None]:
        def put(fleet: Fleet) -> None:
            fleet.relay.set(rest, [one], cut=off)
            fleet.relay.set([other], [one], drop=drop)

        return put

    picked = names[1:]  # the first seed is spared, so that a first view need not be founded anew
    for _ in range(2 if quick else 5):
        _crash(scenario, chance.choice(picked))
    for _ in range(1 if quick else 3):
        one = chance.choice(picked)
        scenario.spell("short pause", stopped(one), going(one), SHORT)
    for _ in range(2 if quick else 4):
        one = chance.choice(picked)
        rest = [other for other in names if other != one]
        scenario.spell("deaf", cut(rest, [one], True), cut(rest, [one], False), DEAF)
    for _ in range(3):  # hears one other, and that one badly: its opinion of the rest is wrong, and its alone
        one, other = chance.sample(picked, 2)
        rest = [name for name in names if name not in (one, other)]
        ill, well = badly(rest, one, other, True, 0.5), badly(rest, one, other, False, 0.0)
        # It may go itself, who can hardly be heard of; but nobody else on its word.
        scenario.spell("hears one other", ill, well, 9.0, 6.0, frozenset({one}))
    slow = chance.choice(picked)
    scenario.spell("slow member", lambda fleet: None, lambda fleet: None, 0.0, 0.0)
    _duty(scenario, slow, 6.0 if quick else 30.0)
    scenario.spells[-1].ended = time.time()
    a, b = chance.sample(picked, 2)
    scenario.spell("one-sided cut", cut([b], [a], True), cut([b], [a], False), 8.0 if quick else 30.0)
    a, b = chance.sample(picked, 2)
    scenario.spell("flipping link", lambda fleet: None, lambda fleet: None, 0.0, 0.0)
    for turn in range(4 if quick else 12):
        for fleet in scenario.same:
            fleet.relay.set([a], [b], cut=turn % 2 == 0)
            fleet.relay.set([b], [a], cut=turn % 2 == 0)
        time.sleep(2.0)
    scenario.spells[-1].ended = time.time()
    scenario.spell("a tenth lost", set_all("drop", 0.1), set_all("drop", 0.0), 12.0 if quick else 60.0)
    # Two at a time: a pause while a tenth is lost and datagrams come late, doubled and out of order.
    two = chance.choice(picked)

    def both(fleet: Fleet) -> None:
        fleet.relay.set(fleet.names, fleet.names, drop=0.1, double=0.05, reorder=0.2, most=0.02)
        fleet.stop(two)

    def neither(fleet: Fleet) -> None:
        fleet.go_on(two)
        fleet.relay.set(fleet.names, fleet.names, drop=0.0, double=0.0, reorder=0.0, most=0.0)

    scenario.spell("loss and a pause", both, neither, SHORT)
    # Longer than a suspicion lasts: it is out as if it were dead, and comes in again by itself.
    gone = chance.choice(picked)
    scenario.spell("long pause", stopped(gone), going(gone), 9.0, 0.0, frozenset({gone}))
    after = scenario.ours.wait_agreed(names, AGAIN_WITHIN)
    scenario.spells[-1].ended = time.time()
    scenario.returned_after.append(after if after is not None else math.inf)
    for _ in range(2):
        _cut_off(scenario, chance.sample(picked, round(len(names) * 3 / 8)), 14.0 if quick else 25.0)
    _stall(scenario, chance, 10.0 if quick else 20.0, "")
    _stall(scenario, chance, 6.0 if quick else 20.0, chance.choice(picked))
    leaver = chance.choice(picked)
    at = time.time()
    for fleet in scenario.same:
        fleet.processes[leaver].popen.terminate()
    scenario.spells.append(Spell("leave", at, at + 4.0, frozenset({leaver})))
    time.sleep(4.0)


def _all_in(fleet: Fleet, within: float) -> bool:
    """For a baseline, which has no view: whether each holds all to be in."""
    until = time.monotonic() + within
    while time.monotonic() < until:
        told = [fleet.told(name) for name in fleet.names]
        if all(one is not None and len(one.states) == fleet.size for one in told):
            return True
        time.sleep(0.1)
    return False


def _crash(scenario: Scenario, name: str) -> None:
    """SIGKILL, and once that was seen a cold restart under the same name."""
    at = time.time()
    for fleet in scenario.same:
        fleet.processes[name].kill()
    scenario.crashes.append((name, at))
    spell = Spell("crash", at, may_go=frozenset({name}))
    scenario.spells.append(spell)
    left = [one for one in scenario.ours.names if one != name]
    after = scenario.ours.wait_agreed(left, OUT_WITHIN)
    scenario.agreed_after.append(after if after is not None else math.inf)
    time.sleep(2.0)  # the baselines may still be at it
    for fleet in scenario.same:
        fleet.start(name)
    back = scenario.ours.wait_agreed(scenario.ours.names, AGAIN_WITHIN)
    scenario.returned_after.append(back if back is not None else math.inf)
    spell.ended = time.time()
    for fleet in scenario.others:
        _all_in(fleet, 8.0)


def _duty(scenario: Scenario, name: str, span: float) -> None:
    """Stopped most of the time, in short turns: a process starved of its cores."""
    until = time.monotonic() + span
    while time.monotonic() < until:
        for fleet in scenario.same:
            fleet.stop(name)
        time.sleep(0.5)
        for fleet in scenario.same:
            fleet.go_on(name)
        time.sleep(0.15)
    time.sleep(4.0)


def _cut_off(scenario: Scenario, group: list[str], span: float) -> None:
    """Several together, both ways; they go as if dead, and come in again by themselves."""
    ours, rest = scenario.ours, [name for name in scenario.ours.names if name not in group]
    begun = time.time()
    for some, others in ((group, rest), (rest, group)):
        ours.relay.set(some, others, cut=True)
    time.sleep(span)
    healed = time.time()
    for some, others in ((group, rest), (rest, group)):
        ours.relay.set(some, others, cut=False)
    after = ours.wait_agreed(ours.names, AGAIN_WITHIN)
    scenario.returned_after.append(after if after is not None else math.inf)
    time.sleep(3.0)
    scenario.cuts.append((set(group), begun, healed, time.time()))
    scenario.spells.append(Spell("cut of several", begun, time.time(), frozenset(group)))


def _stall(scenario: Scenario, chance: random.Random, span: float, dies: str) -> None:
    """All of ours stop at once and go on one by one, but for one that dies meanwhile, if it is named."""
    ours, begun = scenario.ours, time.time()
    for name in ours.names:
        ours.stop(name)
    time.sleep(span)
    if dies:
        ours.processes[dies].kill()
    left = [name for name in ours.names if name != dies]
    on = time.monotonic()
    for at, name in sorted((chance.uniform(0, GOING_ON), name) for name in left):
        time.sleep(max(on + at - time.monotonic(), 0.0))
        ours.go_on(name)
    if dies:
        out = ours.wait_agreed(left, AGAIN_WITHIN)
        scenario.dead_in_stall.append(out if out is not None else math.inf)
    else:
        time.sleep(12.0)
    spell = Spell("stop of all and a death" if dies else "stop of all", begun, time.time(), frozenset({dies}))
    scenario.spells.append(spell)
    if dies:
        ours.start(dies)
        back = ours.wait_agreed(ours.names, AGAIN_WITHIN)
        scenario.returned_after.append(back if back is not None else math.inf)


def _load(scenario: Scenario, span: float) -> None:
    """Datagrams and bytes that a member sends in a calm time, a second, in the whole fleet and the half."""
    before = {fleet.place: fleet.relay.carried() for fleet in (scenario.ours, scenario.half)}
    begun = time.monotonic()
    time.sleep(span)
    for fleet in (scenario.ours, scenario.half):
        after, took = fleet.relay.carried(), time.monotonic() - begun
        rows = [
            [now - was for now, was in zip(after[name], before[fleet.place][name], strict=True)]
            for name in fleet.names
        ]
        scenario.loads[fleet.place] = (
            statistics.mean(row[0] for row in rows) / took,
            statistics.mean(row[1] for row in rows) / took,
        )


# -- the judgement


def _removed(fleet: Fleet, spell: Spell) -> list[tuple[str, int | str]]:
    """Members taken out in a spell that may not be: (who, the epoch, or the member that did it alone)."""
    found: set[tuple[str, int | str]] = set()
    for line in fleet.seen(spell.begun, spell.ended):
        if line.what == "view":
            for word in line.pairs.get("changes", "").split():
                kind, _, who = word.partition(":")
                if kind == "remove" and who.partition("@")[0] not in spell.may_go:
                    found.add((who.partition("@")[0], int(line.pairs["epoch"])))
        elif line.what == "removed" and not {line.pairs["member"], line.member} & spell.may_go:
            found.add((line.pairs["member"], line.member))  # not by one that was stopped or dead itself
    return sorted(found, key=str)


def _out_times(fleet: Fleet, name: str, at: float) -> list[float]:
    """Seconds from a crash until each other member held the dead to be out; inf for who never did."""
    until = at + OUT_WITHIN
    first: dict[str, float] = {}
    epoch: int | None = None
    lines = list(fleet.seen(at, until))
    for line in lines:
        if line.what == "view" and f"remove:{name}@" in line.pairs.get("changes", ""):
            epoch = int(line.pairs["epoch"]) if epoch is None else epoch
    for line in lines:
        alone = line.what == "removed" and line.pairs["member"] == name
        agreed = line.what == "view" and epoch is not None and int(line.pairs["epoch"]) >= epoch
        if alone or agreed:
            first.setdefault(line.member, line.when - at)
    return [first.get(one, math.inf) for one in fleet.names if one != name]


def _epochs(lines: list[Seen]) -> int:
    return len({line.pairs["epoch"] for line in lines if line.what == "view"})


def _changes(fleet: Fleet, since: float, until: float) -> dict[str, str]:
    """What each view that was decided in a time changed, by its epoch."""
    return {
        line.pairs["epoch"]: line.pairs["changes"]
        for line in fleet.seen(since, until)
        if line.what == "view" and ":" in line.pairs.get("changes", "")
    }


def _judge_together(scenario: Scenario, result: ExperimentResult) -> None:
    """Who is cut off together, and who dies while all are stopped."""
    outs, backs = list[int](), list[int]()
    for group, begun, healed, ended in scenario.cuts:
        out, back = _changes(scenario.ours, begun, healed), _changes(scenario.ours, healed, ended)
        gone = {name for name in group if any(f"remove:{name}@" in one for one in out.values())}
        result.check(
            f"{len(group)} cut off together go in one view",
            len(out) == 1 and gone == group,
            "; ".join(out.values()) or "none",
        )
        result.check("and come in again in one view or two", 1 <= len(back) <= 2, len(back))
        outs.append(len(out))
        backs.append(len(back))
    slowest = max(scenario.dead_in_stall)
    result.check("who dies in a stop of all is out of every view", slowest < math.inf, f"{slowest:.2f} s")
    result.figures |= {
        "cut_views": max(outs),
        "back_views": max(backs),
        "dead_in_stall_s": round(slowest, 2),
    }


def _check_promises(scenario: Scenario, result: ExperimentResult) -> None:
    ours = scenario.ours
    for fleet in scenario.same:
        if fleet.kind != "ours":
            logs = [scenario.testbed.folder / f"{fleet.idempotency_key(name)}.log" for name in fleet.names]
            taken = all(was_announced(log, fleet.kind) for log in logs)
            result.require(f"all members run as {fleet.kind}", taken)
    _judge_together(scenario, result)
    detected = {
        fleet.kind: [one for name, at in scenario.crashes for one in _out_times(fleet, name, at)]
        for fleet in scenario.same
    }
    mine = sorted(detected[ours.kind])
    p50, p99 = statistics.median(mine), mine[math.ceil(0.99 * len(mine)) - 1]
    result.check("a killed member is out of every view", mine[-1] < math.inf, f"{mine[-1]:.2f} s")
    result.check(
        "one agreed view after each crash",
        max(scenario.agreed_after) < math.inf,
        f"{max(scenario.agreed_after):.2f} s",
    )
    result.check(
        "whoever was out comes in again, under the same name",
        max(scenario.returned_after) < math.inf,
        f"{max(scenario.returned_after):.2f} s",
    )
    removed: dict[str, dict[str, int]] = {fleet.kind: defaultdict(int) for fleet in scenario.same}
    for fleet in scenario.same:
        for spell in scenario.spells:
            removed[fleet.kind][spell.what] += len(_removed(fleet, spell))
    kinds = list(dict.fromkeys(spell.what for spell in scenario.spells))
    for what in kinds:
        count = removed[ours.kind][what]
        result.check(f"no healthy member is taken out: {what}", count == 0, count)
    for what in ("one-sided cut", "flipping link"):
        spell = next(one for one in scenario.spells if one.what == what)
        changes = _epochs(list(ours.seen(spell.begun, spell.ended)))
        result.check(f"at most one view change: {what}", changes <= 1, changes)
    by_epoch: dict[str, set[str]] = defaultdict(set)
    for line in ours.seen():
        if line.what == "view":
            by_epoch[line.pairs["epoch"]].add(line.pairs["fingerprint"])
    odd = sum(len(prints) > 1 for prints in by_epoch.values())
    result.check("no epoch at which two members held two views", odd == 0, f"{odd} of {len(by_epoch)}")
    left = [name for name in ours.names if name not in scenario.spells[-1].may_go]
    result.check("all agree at the end, without who left", ours.agreed(left), len(left))
    for figure, place in (("messages", 0), ("bytes", 1)):
        whole, half = scenario.loads[ours.place][place], scenario.loads[scenario.half.place][place]
        ratio = whole / half
        result.check(
            f"{figure} a member do not grow with the fleet",
            1 / LOAD_MOST <= ratio <= LOAD_MOST,
            f"{ratio:.2f} from {scenario.half.size} to {ours.size}",
        )
        result.figures[f"{figure}_a_member_a_second"] = round(whole, 1)
        result.figures[f"{figure}_ratio"] = round(ratio, 3)
    total = {kind: sum(those.values()) for kind, those in removed.items()}
    if scenario.others:
        least = min(total[fleet.kind] for fleet in scenario.others)
        result.check(
            "fewer healthy members taken out than by both baselines",
            total[ours.kind] < least,
            ", ".join(f"{kind} {count}" for kind, count in total.items()),
        )
        faster = min(statistics.median(detected[fleet.kind]) for fleet in scenario.others)
        medians = {kind: statistics.median(those) for kind, those in detected.items()}
        result.check(
            f"a crash is detected within {DETECT_MOST} times the faster baseline",
            p50 <= DETECT_MOST * faster,
            ", ".join(f"{kind} {median:.2f} s" for kind, median in medians.items()),
        )
        for kind, median in medians.items():
            result.figures[f"{kind}_detect_p50_periods"] = round(median / PERIOD, 2)
    log = "".join(
        (scenario.testbed.folder / f"{ours.idempotency_key(name)}.log").read_text(errors="replace")
        for name in ours.names
    )
    result.check("no fault of our own in the logs", "Traceback" not in log, log.count("Traceback"))
    result.figures |= {
        "members": ours.size,
        "detect_p50_periods": round(p50 / PERIOD, 2),
        "detect_p99_periods": round(p99 / PERIOD, 2),
        "agreed_s": round(max(scenario.agreed_after), 2),
        "views": len(by_epoch),
        **{f"healthy_removed_{kind}": count for kind, count in total.items()},
    }
    for kind, counts in removed.items():
        told = ", ".join(f"{what} {count}" for what, count in counts.items() if count)
        result.figures[f"removed_in_{kind}"] = told or "-"
