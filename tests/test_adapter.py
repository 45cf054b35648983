"""The bench adapter with a few lines of the simulator's protocol."""

import json
import subprocess
import sys

import pytest

SETTINGS = {
    "classes": [{"on-time-s": 1.0, "deadline-s": 4.0, "repeat": "safe", "worth": 1.0, "novel": 1}],
    "extra": {"cores": 2, "memory-kb": 1000.0, "run-factor": 4.0, "say": "tokens", "halt": "drop"},
    "safety": {"fall-multiple": 6.0, "answer-slack-s": 0.06},
    "tick-s": 0.005,
}


def run_adapter(text: str) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, "-m", "sablewheel.bench_adapter"],
        input=text,
        capture_output=True,
        text=True,
        timeout=20,
    )


def batch(number: int, *lines: str) -> str:
    return "\n".join([f"mark 8.5 {number}", *lines, "your_turn"]) + "\n"


START = f"init 3 7 {json.dumps(SETTINGS)}"
REQUEST = "request 3 41 0.5 17 65 - - - - - - 0 24.5"


def test_a_request_is_run_and_events_of_a_finished_request_are_ignored() -> None:
    process = run_adapter(
        batch(1, START, REQUEST) + batch(2, "work_done 3 41 0.1 S") + batch(3, "lapsed 3 41")
    )
    assert process.returncode == 0 and process.stderr == ""
    assert "run 3 41\n" in process.stdout and process.stdout.endswith("end 3\n")


INVALID_LINES = ["novel 3 1", "lapsed 3", "request 3 41", "lapsed 9 1", "drain 3 soon", "init 4 1 {}"]


@pytest.mark.parametrize("line", INVALID_LINES)
def test_malformed_input_ends_the_adapter_with_a_message(line: str) -> None:
    process = run_adapter(batch(1, START, line))
    assert process.returncode == 1 and process.stdout == ""
    assert process.stderr.startswith("sablewheel.bench_adapter: ") and "Traceback" not in process.stderr


def test_a_restarted_server_has_no_state() -> None:
    restart = START.replace("init 3 7", "init 3 8")
    process = run_adapter(
        batch(1, START, REQUEST) + batch(2, "destroy 3", restart) + batch(3, "work_done 3 41 0.1 S", REQUEST)
    )
    assert process.returncode == 0 and process.stdout.count("run 3 41\n") == 2
