"""The cost of the result store: keyed requests on servers with and without it, and the time to start."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from pathlib import Path

from ..result_store import result_store_pb2 as pb
from ..result_store.clock_readings import read_clocks
from ..result_store.codec import LOG_KIND, encode_clock_reading, encode_intent, encode_outcome
from ..result_store.keyed_runs import KeyedRun, KeyedRunTable, RunState
from ..result_store.recovery import RecoveredRuns
from ..storage.files import DiskFiles
from ..storage.log import Log
from .paired_rounds import Rounds, side_by_side
from .recall import features
from .result import ExperimentResult
from .testbed import Testbed

MAX_CPU_RATIO, MIN_THROUGHPUT_RATIO, MAX_LOAD_TIME_RATIO = 1.5, 0.85, 1.2  # limits of the ratios
LIVE, WINDOWS = 100_000, 10  # keys within their window, number of expired windows
GOAL = 0.8  # seconds
REQUEST_CLASSES = {"record": {"share": 1.0, "keyed": True}}


def run(seed: int, quick: bool) -> ExperimentResult:
    result = ExperimentResult("recall-cost")
    round_count, seconds = (1, 6.0) if quick else (3, 15.0)
    calm, overloaded = Rounds(), Rounds()
    kinds = {"off": lambda _: None, "on": lambda testbed: features(testbed.folder / "on-recall")}
    for round_index in range(round_count):
        for rounds, rate in ((calm, 90), (overloaded, 200)):
            with Testbed(seed + round_index) as testbed:
                load = {
                    "rate": rate,
                    "repeats": 0.1,
                    "request_classes": REQUEST_CLASSES,
                    "seed": seed + round_index,
                }
                rounds.add(side_by_side(testbed, kinds, seconds, GOAL, **load))
    for figure in ("cpu_us", "p50_ms", "p99_ms", "memory_mb"):
        for kind in kinds:
            result.figures[f"{figure}_{kind}"] = round(calm.median(kind, figure), 2)
    for kind in kinds:
        result.figures[f"in_goal_a_second_pressed_{kind}"] = round(
            overloaded.median(kind, "in_goal_a_second"), 1
        )
    cpu, throughput = calm.ratio("on", "cpu_us"), overloaded.ratio("on", "in_goal_a_second")
    result.check(f"CPU per keyed request, on / off, at most {MAX_CPU_RATIO}", cpu <= MAX_CPU_RATIO, cpu)
    result.check(
        f"completed within the goal, on / off, at least {MIN_THROUGHPUT_RATIO}",
        throughput >= MIN_THROUGHPUT_RATIO,
        throughput,
    )
    _check_load_times(result, seed, LIVE // 10 if quick else LIVE)
    return result


def _check_load_times(result: ExperimentResult, seed: int, live: int) -> None:
    """Measure the load of a folder of live runs, with and without the records of ten expired windows."""
    with Testbed(seed) as testbed:
        folders = {"live": testbed.folder / "live", "dead": testbed.folder / "dead"}
        _write_folder(folders["live"], live, 0)
        _write_folder(folders["dead"], live, WINDOWS)
        runs: dict[str, list[float]] = {name: [] for name in folders}
        for _ in range(7):  # alternating, so that other load of the machine affects both
            for name, folder in folders.items():
                command = [sys.executable, "-m", "sablewheel.experiments.recall_cost", str(folder)]
                completed = subprocess.run(command, capture_output=True, text=True, timeout=120, check=True)
                figures = json.loads(completed.stdout.splitlines()[-1])
                runs[name].append(figures["seconds"])
                result.figures[f"load_mb_{name}"] = round(figures["memory"], 1)
                result.figures[f"labels_{name}"] = figures["labels"]
        times = {name: min(seconds) for name, seconds in runs.items()}
        for name, folder in folders.items():
            result.figures[f"load_s_{name}"] = round(times[name], 3)
            size = sum(segment.stat().st_size for segment in folder.glob("*.seg"))
            result.figures[f"folder_mb_{name}"] = round(size / 1e6, 1)
            loaded = result.figures[f"labels_{name}"]
            result.check(f"{name}: all live keys are loaded", loaded == live, loaded)
        ratio = times["dead"] / times["live"]
        result.figures["labels"] = live
        result.check(
            f"start with {WINDOWS} expired windows / without, at most {MAX_LOAD_TIME_RATIO}",
            ratio <= MAX_LOAD_TIME_RATIO,
            f"{ratio:.2f}",
        )


def _write_folder(folder: Path, live: int, windows: int) -> None:
    """Write a folder as it is after `windows` windows of the same load, with expired segments released."""
    now, window = read_clocks(), 3600.0
    log = Log(DiskFiles(folder), LOG_KIND, b"12345678", 1 << 40, 40 * live)  # about nine segments per window
    group = 100
    for windows_ago in range(windows, -1, -1):
        last_of_previous = log.last_number
        expires_at = now.unix_s + 0.5 * window - windows_ago * window
        for first in range(0, live, group):
            record = pb.Record(moment=encode_clock_reading(now))
            for number in range(first, min(first + group, live)):
                idempotency_key = b"%016x%016x" % (windows_ago, number)
                entry = KeyedRun(
                    idempotency_key,
                    b"s" * 16,
                    idempotency_key[:16],
                    "record",
                    expires_at - window,
                    expires_at,
                )
                record.intents.append(encode_intent(entry))
                entry.state, entry.result = RunState.SUCCEEDED, b"r" * 200
                record.outcomes.append(encode_outcome(entry))
            log.commit([record.SerializeToString()])
        log.release_through(last_of_previous)  # as the periodic sweep does once a window has expired
    log.close()


def main() -> None:
    started = time.perf_counter()
    loaded = RecoveredRuns(KeyedRunTable(1 << 30, 1 << 40), 3600.0)
    Log(DiskFiles(Path(sys.argv[1])), LOG_KIND, os.urandom(8), 1 << 40).recover(
        lambda number, payload, _: loaded.apply(number, pb.Record.FromString(payload))
    )
    loaded.finish(read_clocks())
    seconds = time.perf_counter() - started
    with open("/proc/self/statm") as file:
        memory = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    print(json.dumps({"seconds": seconds, "labels": len(loaded.table.runs), "memory": memory}))


if __name__ == "__main__":
    main()
