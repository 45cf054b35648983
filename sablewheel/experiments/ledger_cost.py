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
from .paired_rounds import Rounds, side_by_side
from .result import ExperimentResult
from .testbed import Testbed, free_port

CPU_MEMORY, CPU_DURABLE, P99_MEMORY = 1.15, 1.30, 1.25
RATE, GOAL = 150, 0.5
HOURS_AWAY = 10


def run(seed: int, quick: bool) -> ExperimentResult:
    result = ExperimentResult("ledger-cost")
    turns, seconds = (2, 6.0) if quick else (4, 20.0)
    kinds = ("off", "memory", "durable", "before-entry")
    rounds = Rounds()
    for turn in range(turns):
        with Testbed(seed + turn) as testbed:
            door = free_port()
            path = testbed.folder / "collector.yaml"
            path.write_text(collector_features(door, testbed.folder / "book.sqlite"))
            testbed.wait_for_port(
                door, testbed.start("collector", "sablewheel.experiments.collector", str(path))
            )
            texts = {kind: partial(_text, kind, door) for kind in kinds}
            rounds.add(side_by_side(testbed, texts, seconds, GOAL, rate=RATE, repeats=0.1, cancels=0.02))
    for figure in ("cpu_us", "p50_ms", "p99_ms", "memory_mb"):
        for kind in kinds:
            result.figures[f"{figure}_{kind}"] = round(rounds.median(kind, figure), 2)
    cpu_memory, cpu_durable = rounds.ratio("memory", "cpu_us"), rounds.ratio("durable", "cpu_us")
    result.check(f"CPU a ticket, memory / off, at most {CPU_MEMORY}", cpu_memory <= CPU_MEMORY, cpu_memory)
    result.check(
        f"CPU a ticket, durable / off, at most {CPU_DURABLE}", cpu_durable <= CPU_DURABLE, cpu_durable
    )
    p99_memory = rounds.ratio("memory", "p99_ms")
    result.check(f"p99 of answers, memory / off, at most {P99_MEMORY}", p99_memory <= P99_MEMORY, p99_memory)
    result.figures["p99_ratio_durable"] = rounds.ratio("durable", "p99_ms")
    result.figures["p99_ratio_before_entry"] = rounds.ratio("before-entry", "p99_ms")
    result.figures["cpu_ratio_before_entry"] = rounds.ratio("before-entry", "cpu_us")
    _away(result, quick)
    return result


def _text(kind: str, door: int, testbed: Testbed) -> str | None:
    if kind == "off":
        return None
    if kind == "memory":
        return features("memory", door, None)
    more: dict[str, Any] = {} if kind == "durable" else {"answers": "before-entry"}
    return features("durable", door, testbed.folder / f"{kind}-ledger", **more)


def _away(result: ExperimentResult, quick: bool) -> None:
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
    kept = entry_buffer.individual_count
    block = pb.Block.FromString(entry_buffer.cut(0.0, 0, 1 << 30).data)
    sums = sum(one.entries for one in block.totals if one.billed) + sum(one.billed for one in block.entries)
    runs = sum(one.run_us for one in block.totals) + sum(one.run_us for one in block.entries)
    result.figures["away_entries"] = entries
    result.figures["away_kept_one_by_one"] = kept
    result.figures["away_rows_of_totals"] = len(block.totals)
    result.figures["away_memory_growth_second_half_mb"] = round(most - half, 2)
    result.check("memory is flat with the collector away", most - half <= 2.0, f"{most - half:.2f} MB")
    result.check("what was folded still adds up", (sums, runs) == (billed, run_us), f"{sums} of {billed}")
