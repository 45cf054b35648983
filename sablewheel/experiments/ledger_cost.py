"""The cost of usage metering: CPU and answer times of servers with and without it under the same load.

Servers of one round run at the same time under equal loads, so that other load of the machine affects all of
them. The checks compare ratios to the server without usage metering in the same rounds. Memory without a
reachable collector is measured as well.
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

CPU_MEMORY, CPU_DURABLE, P99_MEMORY = 1.15, 1.30, 1.25  # limits of the ratios to the server without metering
RATE, GOAL = 150, 0.5  # requests per second, seconds
HOURS_UNREACHABLE = 10


def run(seed: int, quick: bool) -> ExperimentResult:
    result = ExperimentResult("ledger-cost")
    round_count, seconds = (2, 6.0) if quick else (4, 20.0)
    kinds = ("off", "memory", "durable", "before-entry")
    rounds = Rounds()
    for round_index in range(round_count):
        with Testbed(seed + round_index) as testbed:
            collector_port = free_port()
            path = testbed.folder / "collector.yaml"
            path.write_text(collector_features(collector_port, testbed.folder / "book.sqlite"))
            testbed.wait_for_port(
                collector_port, testbed.start("collector", "sablewheel.experiments.collector", str(path))
            )
            features_by_kind = {kind: partial(_features, kind, collector_port) for kind in kinds}
            rounds.add(
                side_by_side(testbed, features_by_kind, seconds, GOAL, rate=RATE, repeats=0.1, cancels=0.02)
            )
    for figure in ("cpu_us", "p50_ms", "p99_ms", "memory_mb"):
        for kind in kinds:
            result.figures[f"{figure}_{kind}"] = round(rounds.median(kind, figure), 2)
    cpu_memory, cpu_durable = rounds.ratio("memory", "cpu_us"), rounds.ratio("durable", "cpu_us")
    result.check(f"CPU per request, memory / off, at most {CPU_MEMORY}", cpu_memory <= CPU_MEMORY, cpu_memory)
    result.check(
        f"CPU per request, durable / off, at most {CPU_DURABLE}", cpu_durable <= CPU_DURABLE, cpu_durable
    )
    p99_memory = rounds.ratio("memory", "p99_ms")
    result.check(f"p99 of answers, memory / off, at most {P99_MEMORY}", p99_memory <= P99_MEMORY, p99_memory)
    result.figures["p99_ratio_durable"] = rounds.ratio("durable", "p99_ms")
    result.figures["p99_ratio_before_entry"] = rounds.ratio("before-entry", "p99_ms")
    result.figures["cpu_ratio_before_entry"] = rounds.ratio("before-entry", "cpu_us")
    _check_buffer_without_collector(result, quick)
    return result


def _features(kind: str, collector_port: int, testbed: Testbed) -> str | None:
    if kind == "off":
        return None
    if kind == "memory":
        return features("memory", collector_port, None)
    options: dict[str, Any] = {} if kind == "durable" else {"answers": "before-entry"}
    return features("durable", collector_port, testbed.folder / f"{kind}-ledger", **options)


def _check_buffer_without_collector(result: ExperimentResult, quick: bool) -> None:
    """Add ten hours of entries to a buffer without a collector, and check its memory and totals."""
    entries = HOURS_UNREACHABLE * 3600 * RATE
    if quick:
        entries //= 20
    entry_buffer = EntryBuffer("n1", b"12345678", Periods(Calendar(length=Length.HOUR)), 20_000, 5_000)
    process, peak_mb, first_half_peak_mb = psutil.Process(), 0.0, 0.0
    start = 1_764_576_000_000_000
    step = HOURS_UNREACHABLE * 3600 * 1_000_000 // entries
    billed = run_us = 0
    for index in range(entries):
        completed = index % 3 != 0
        billed += completed
        run_us += 20_000 * completed
        entry_buffer.add(
            pb.Entry(
                customer=f"c{index % 8}",
                track=("lookup", "record")[index % 2],
                outcome=pb.COMPLETED if completed else pb.DENIED,
                ended_us=start + index * step,
                billed=completed,
                run_us=20_000 * completed,
                name=index.to_bytes(8, "big"),
                goal_kept=completed,
            )
        )
        if index % 2000 == 0:
            used_mb = process.memory_info().rss / 1e6
            peak_mb = max(peak_mb, used_mb)
            if index < entries / 2:
                first_half_peak_mb = max(first_half_peak_mb, used_mb)
    kept_entries = entry_buffer.individual_count
    block = pb.Block.FromString(entry_buffer.cut(0.0, 0, 1 << 30).data)
    billed_count = sum(entry.entries for entry in block.totals if entry.billed) + sum(
        entry.billed for entry in block.entries
    )
    total_run_us = sum(entry.run_us for entry in block.totals) + sum(entry.run_us for entry in block.entries)
    result.figures["away_entries"] = entries
    result.figures["away_kept_one_by_one"] = kept_entries
    result.figures["away_rows_of_totals"] = len(block.totals)
    result.figures["away_memory_growth_second_half_mb"] = round(peak_mb - first_half_peak_mb, 2)
    result.check(
        "memory is constant while the collector is unreachable",
        peak_mb - first_half_peak_mb <= 2.0,
        f"{peak_mb - first_half_peak_mb:.2f} MB",
    )
    result.check(
        "the totals of folded entries are exact",
        (billed_count, total_run_us) == (billed, run_us),
        f"{billed_count} of {billed}",
    )
