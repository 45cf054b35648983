"""What the ledger costs: the same load on servers with it and without it, side by side, CPU and answer times.

Servers of one round run at the same time under equal loads, so that whatever else the machine does falls on
all. Verdicts rest on ratios to the server without a ledger in the same rounds. Also: memory with the
collector away.
"""

from __future__ import annotations

import statistics
import time
from pathlib import Path
from typing import Any

from ..ledger import ledger_pb2 as pb
from ..ledger.periods import Periods
from ..ledger.plan import Calendar, Length
from ..ledger.pool import Pool
from .ledger import collector_features, features
from .rig import Rig, free_port
from .verdict import Verdict

CPU_MEMORY, CPU_DURABLE, P99_MEMORY = 1.15, 1.30, 1.25
RATE = 150
HOURS_AWAY = 10


def run(seed: int, quick: bool) -> Verdict:
    verdict = Verdict("ledger-cost")
    rounds, seconds = (2, 6.0) if quick else (4, 20.0)
    kinds = ("off", "memory", "durable", "before-entry")
    cpu: dict[str, list[float]] = {kind: [] for kind in kinds}
    p50: dict[str, list[float]] = {kind: [] for kind in kinds}
    p99: dict[str, list[float]] = {kind: [] for kind in kinds}
    memory: dict[str, float] = {}
    for turn in range(rounds):
        for kind, figures in _round(seed + turn, kinds, seconds).items():
            cpu[kind].append(figures["cpu_us"])
            p50[kind].append(figures["p50_ms"])
            p99[kind].append(figures["p99_ms"])
            memory[kind] = figures["memory_mb"]
    for kind in kinds:
        verdict.figures[f"cpu_us_a_ticket_{kind}"] = round(statistics.median(cpu[kind]), 1)
        verdict.figures[f"p50_ms_{kind}"] = round(statistics.median(p50[kind]), 2)
        verdict.figures[f"p99_ms_{kind}"] = round(statistics.median(p99[kind]), 2)
        verdict.figures[f"memory_mb_{kind}"] = round(memory[kind], 1)

    def ratio(of: dict[str, list[float]], kind: str) -> float:
        pairs = zip(of[kind], of["off"], strict=True)
        return round(statistics.median(one / base for one, base in pairs), 3)

    cpu_memory, cpu_durable = ratio(cpu, "memory"), ratio(cpu, "durable")
    verdict.check(f"CPU a ticket, memory / off, at most {CPU_MEMORY}", cpu_memory <= CPU_MEMORY, cpu_memory)
    verdict.check(
        f"CPU a ticket, durable / off, at most {CPU_DURABLE}", cpu_durable <= CPU_DURABLE, cpu_durable
    )
    p99_memory = ratio(p99, "memory")
    verdict.check(f"p99 of answers, memory / off, at most {P99_MEMORY}", p99_memory <= P99_MEMORY, p99_memory)
    verdict.figures["p99_ratio_durable"] = ratio(p99, "durable")
    verdict.figures["p99_ratio_before_entry"] = ratio(p99, "before-entry")
    verdict.figures["cpu_ratio_before_entry"] = ratio(cpu, "before-entry")
    _away(verdict, quick)
    return verdict


def _round(seed: int, kinds: tuple[str, ...], seconds: float) -> dict[str, dict[str, float]]:
    """All kinds at the same time, a load of equal rate on each."""
    found: dict[str, dict[str, float]] = {}
    with Rig(seed) as rig:
        door = free_port()
        path = rig.folder / "collector.yaml"
        path.write_text(collector_features(door, rig.folder / "book.sqlite"))
        collector = rig.start("collector", "sablewheel.trials.collector", str(path))
        rig.wait_for_port(door, collector)
        ports: dict[str, int] = {}
        servers = {}
        for kind in kinds:
            ports[kind], vm = free_port(), free_port()
            rig.interpreter(kind, vm)
            servers[kind] = rig.server(kind, ports[kind], vm, _text(kind, door, rig.folder))
        time.sleep(0.5)
        before = {kind: servers[kind].usage()[0] for kind in kinds}
        routers = [
            rig.router(
                f"r-{kind}",
                [f"127.0.0.1:{ports[kind]}"],
                rate=RATE,
                seconds=seconds,
                repeats=0.1,
                cancels=0.02,
            )
            for kind in kinds
        ]
        for one in routers:
            one.popen.wait(seconds + 30)
        for kind in kinds:
            used, memory = servers[kind].usage()
            held = list(rig.held(f"r-{kind}"))
            times = sorted(1000 * (one["at"] - one["sent"]) for one in held if one["how"] == "completed")
            found[kind] = {
                "cpu_us": 1e6 * (used - before[kind]) / max(len(held), 1),
                "p50_ms": times[len(times) // 2],
                "p99_ms": times[int(0.99 * len(times))],
                "memory_mb": memory,
            }
    return found


def _text(kind: str, door: int, folder: Path) -> str | None:
    if kind == "off":
        return None
    if kind == "memory":
        return features("memory", door, None)
    more: dict[str, Any] = {} if kind == "durable" else {"answers": "before-entry"}
    return features("durable", door, folder / f"{kind}-ledger", **more)


def _away(verdict: Verdict, quick: bool) -> None:
    """Ten hours of entries into a pool whose collector is away: it holds what it may, and still adds up."""
    entries = HOURS_AWAY * 3600 * RATE
    if quick:
        entries //= 20
    pool = Pool("n1", b"12345678", Periods(Calendar(length=Length.HOUR)), 20_000, 5_000)
    import psutil

    process, most, half = psutil.Process(), 0.0, 0.0
    start = 1_764_576_000_000_000
    step = HOURS_AWAY * 3600 * 1_000_000 // entries
    billed = run_us = 0
    for place in range(entries):
        completed = place % 3 != 0
        billed += completed
        run_us += 20_000 * completed
        pool.add(
            pb.Entry(
                customer=f"c{place % 8}", track=("lookup", "record")[place % 2],
                outcome=pb.COMPLETED if completed else pb.DENIED, ended_us=start + place * step,
                billed=completed, run_us=20_000 * completed,
                name=place.to_bytes(8, "big"), goal_kept=completed,
            )
        )  # fmt: skip
        if place % 2000 == 0:
            used = process.memory_info().rss / 1e6
            most = max(most, used)
            if place < entries / 2:
                half = max(half, used)
    kept = pool.kept
    block = pb.Block.FromString(pool.cut(0.0, 0, 1 << 30).data)
    sums = sum(one.entries for one in block.totals if one.billed) + sum(one.billed for one in block.entries)
    runs = sum(one.run_us for one in block.totals) + sum(one.run_us for one in block.entries)
    verdict.figures["away_entries"] = entries
    verdict.figures["away_kept_one_by_one"] = kept
    verdict.figures["away_rows_of_totals"] = len(block.totals)
    verdict.figures["away_memory_growth_second_half_mb"] = round(most - half, 2)
    verdict.check("memory is flat with the collector away", most - half <= 2.0, f"{most - half:.2f} MB")
    verdict.check("what was folded still adds up", (sums, runs) == (billed, run_us), f"{sums} of {billed}")
