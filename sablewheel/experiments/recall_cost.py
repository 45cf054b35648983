"""What recall costs: keyed requests on servers with it and without, side by side; and how long a start
takes.
"""

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

CPU, THROUGHPUT, READY = 1.5, 0.85, 1.2
LIVE, WINDOWS = 100_000, 10
GOAL = 0.8
REQUEST_CLASSES = {"record": {"share": 1.0, "keyed": True}}


def run(seed: int, quick: bool) -> ExperimentResult:
    result = ExperimentResult("recall-cost")
    turns, seconds = (1, 6.0) if quick else (3, 15.0)
    calm, pressed = Rounds(), Rounds()
    kinds = {"off": lambda _: None, "on": lambda testbed: features(testbed.folder / "on-recall")}
    for turn in range(turns):
        for rounds, rate in ((calm, 90), (pressed, 200)):
            with Testbed(seed + turn) as testbed:
                load = {"rate": rate, "repeats": 0.1, "request_classes": REQUEST_CLASSES, "seed": seed + turn}
                rounds.add(side_by_side(testbed, kinds, seconds, GOAL, **load))
    for figure in ("cpu_us", "p50_ms", "p99_ms", "memory_mb"):
        for kind in kinds:
            result.figures[f"{figure}_{kind}"] = round(calm.median(kind, figure), 2)
    for kind in kinds:
        result.figures[f"in_goal_a_second_pressed_{kind}"] = round(
            pressed.median(kind, "in_goal_a_second"), 1
        )
    cpu, kept = calm.ratio("on", "cpu_us"), pressed.ratio("on", "in_goal_a_second")
    result.check(f"CPU a labelled ticket, on / off, at most {CPU}", cpu <= CPU, cpu)
    result.check(f"completed within the goal, on / off, at least {THROUGHPUT}", kept >= THROUGHPUT, kept)
    _starts(result, seed, LIVE // 10 if quick else LIVE)
    return result


def _starts(result: ExperimentResult, seed: int, live: int) -> None:
    """Load what is open, alone and beside ten windows of what is over, as the recorder leaves a folder."""
    with Testbed(seed) as testbed:
        folders = {"live": testbed.folder / "live", "dead": testbed.folder / "dead"}
        _write(folders["live"], live, 0)
        _write(folders["dead"], live, WINDOWS)
        runs: dict[str, list[float]] = {name: [] for name in folders}
        for _ in range(7):  # in turn, so that whatever else the machine does falls on both
            for name, folder in folders.items():
                words = [sys.executable, "-m", "sablewheel.experiments.recall_cost", str(folder)]
                done = subprocess.run(words, capture_output=True, text=True, timeout=120, check=True)
                told = json.loads(done.stdout.splitlines()[-1])
                runs[name].append(told["seconds"])
                result.figures[f"load_mb_{name}"] = round(told["memory"], 1)
                result.figures[f"labels_{name}"] = told["labels"]
        times = {name: min(each) for name, each in runs.items()}
        for name, folder in folders.items():
            result.figures[f"load_s_{name}"] = round(times[name], 3)
            size = sum(one.stat().st_size for one in folder.glob("*.seg"))
            result.figures[f"folder_mb_{name}"] = round(size / 1e6, 1)
            loaded = result.figures[f"labels_{name}"]
            result.check(f"{name}: all that is open is loaded", loaded == live, loaded)
        ratio = times["dead"] / times["live"]
        result.figures["labels"] = live
        result.check(
            f"start beside {WINDOWS} dead windows / without, at most {READY}", ratio <= READY, f"{ratio:.2f}"
        )


def _write(folder: Path, live: int, windows: int) -> None:
    """A folder as it stands after so many windows of the same load: each window's segments go when it is
    over.
    """
    now, window = read_clocks(), 3600.0
    log = Log(DiskFiles(folder), LOG_KIND, b"12345678", 1 << 40, 40 * live)  # some nine segments a window
    group = 100
    for turn in range(windows, -1, -1):
        released = log.last_number
        until = now.unix_s + 0.5 * window - turn * window
        for first in range(0, live, group):
            record = pb.Record(moment=encode_clock_reading(now))
            for number in range(first, min(first + group, live)):
                idempotency_key = b"%016x%016x" % (turn, number)
                entry = KeyedRun(
                    idempotency_key, b"s" * 16, idempotency_key[:16], "record", until - window, until
                )
                record.intents.append(encode_intent(entry))
                entry.state, entry.result = RunState.SUCCEEDED, b"r" * 200
                record.outcomes.append(encode_outcome(entry))
            log.commit([record.SerializeToString()])
        log.release_through(released)  # what the sweep does once a window is over
    log.close()


def main() -> None:
    begun = time.perf_counter()
    loaded = RecoveredRuns(KeyedRunTable(1 << 30, 1 << 40), 3600.0)
    Log(DiskFiles(Path(sys.argv[1])), LOG_KIND, os.urandom(8), 1 << 40).recover(
        lambda number, payload, _: loaded.apply(number, pb.Record.FromString(payload))
    )
    loaded.finish(read_clocks())
    seconds = time.perf_counter() - begun
    with open("/proc/self/statm") as file:
        memory = int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    print(json.dumps({"seconds": seconds, "labels": len(loaded.table.runs), "memory": memory}))


if __name__ == "__main__":
    main()
