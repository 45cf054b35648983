"""What usage metering costs: the same load on servers with it and without it, side by side, CPU and answer
times.

Servers of one round run at the same time under equal loads, so that whatever else the machine does falls on
all. Verdicts rest on ratios to the server without a usage metering in the same rounds. Also: memory with the
collector away.
"""

from __future__ import annotations

from functools import partial
from typing import Any

import psutil

from ..usage_metering import usage_metering_pb2 as pb
from ..usage_metering.aggregation import EntryBuffer
from ..usage_metering.periods import Periods
from ..usage_metering.plan import Calendar, Length
from .ledger import collector_features, features
from .paired import Rounds, side_by_side
from .rig import Rig, free_port
from .verdict import Verdict

CPU_MEMORY, CPU_DURABLE, P99_MEMORY = 1.15, 1.30, 1.25
RATE, GOAL = 150, 0.5
HOURS_AWAY = 10


def run(seed: int, quick: bool) -> Verdict:
    verdict = Verdict("ledger-cost")
    turns, seconds = (2, 6.0) if quick else (4, 20.0)
    kinds = ("off", "memory", "durable", "before-entry")
    rounds = Rounds()
    for turn in range(turns):
        with Rig(seed + turn) as rig:
            door = free_port()
            path = rig.folder / "collector.yaml"
            path.write_text(collector_features(door, rig.folder / "book.sqlite"))
            rig.wait_for_port(door, rig.start("collector", "sablewheel.experiments.collector", str(path)))
            texts = {kind: partial(_text, kind, door) for kind in kinds}
            rounds.add(side_by_side(rig, texts, seconds, GOAL, rate=RATE, repeats=0.1, cancels=0.02))
    for figure in ("cpu_us", "p50_ms", "p99_ms", "memory_mb"):
        for kind in kinds:
            verdict.figures[f"{figure}_{kind}"] = round(rounds.median(kind, figure), 2)
    cpu_memory, cpu_durable = rounds.ratio("memory", "cpu_us"), rounds.ratio("durable", "cpu_us")
    verdict.check(f"CPU a ticket, memory / off, at most {CPU_MEMORY}", cpu_memory <= CPU_MEMORY, cpu_memory)
    verdict.check(
        f"CPU a ticket, durable / off, at most {CPU_DURABLE}", cpu_durable <= CPU_DURABLE, cpu_durable
    )
    p99_memory = rounds.ratio("memory", "p99_ms")
    verdict.check(f"p99 of answers, memory / off, at most {P99_MEMORY}", p99_memory <= P99_MEMORY, p99_memory)
    verdict.figures["p99_ratio_durable"] = rounds.ratio("durable", "p99_ms")
    verdict.figures["p99_ratio_before_entry"] = rounds.ratio("before-entry", "p99_ms")
    verdict.figures["cpu_ratio_before_entry"] = rounds.ratio("before-entry", "cpu_us")
    _away(verdict, quick)
    return verdict


def _text(kind: str, door: int, rig: Rig) -> str | None:
    if kind == "off":
        return None
    if kind == "memory":
        return features("memory", door, None)
    more: dict[str, Any] = {} if kind == "durable" else {"answers": "before-entry"}
    return features("durable", door, rig.folder / f"{kind}-ledger", **more)


def _away(verdict: Verdict, quick: bool) -> None:
    """Ten hours of entries into an entry buffer whose collector is away: it holds what it may, and
    still adds up.
    """
    entries = HOURS_AWAY * 3600 * RATE
    if quick:
        entries //= 20
    entry_buffer = EntryBuffer("n1", b"12345678", Periods(Calendar(length=Length.HOUR)), 20_000, 5_000)
    process, most, half = psutil.Process(), 0.0, 0.0
    start = 1_764_576_000_000_000
    step = HOURS_AWAY * 3600 * 1_000_000 // entries
    billed = run_us = 0
    for place in range(entries):
        completed = place % 3 != 0
        billed += completed
        run_us += 20_000 * completed
        entry_buffer.add(
            pb.Entry(
                customer=f"c{place % 8}",
                track=("lookup", "record")[place % 2],
                outcome=pb.COMPLETED if completed else pb.DENIED,
                ended_us=start + place * step,
                billed=completed,
                run_us=20_000 * completed,
                name=place.to_bytes(8, "big"),
                goal_kept=completed,
            )
        )
        if place % 2000 == 0:
            used = process.memory_info().rss / 1e6
            most = max(most, used)
            if place < entries / 2:
                half = max(half, used)
    kept = entry_buffer.kept
    block = pb.Block.FromString(entry_buffer.cut(0.0, 0, 1 << 30).data)
    sums = sum(one.entries for one in block.totals if one.billed) + sum(one.billed for one in block.entries)
    runs = sum(one.run_us for one in block.totals) + sum(one.run_us for one in block.entries)
    verdict.figures["away_entries"] = entries
    verdict.figures["away_kept_one_by_one"] = kept
    verdict.figures["away_rows_of_totals"] = len(block.totals)
    verdict.figures["away_memory_growth_second_half_mb"] = round(most - half, 2)
    verdict.check("memory is flat with the collector away", most - half <= 2.0, f"{most - half:.2f} MB")
    verdict.check("what was folded still adds up", (sums, runs) == (billed, run_us), f"{sums} of {billed}")
