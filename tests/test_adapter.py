"""The adapter on a few lines of the wire."""

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


def adapter(text: str) -> "subprocess.CompletedProcess[str]":
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


def test_a_request_is_run_and_what_is_over_does_no_harm() -> None:
    done = adapter(batch(1, START, REQUEST) + batch(2, "work_done 3 41 0.1 S") + batch(3, "lapsed 3 41"))
    assert done.returncode == 0 and done.stderr == ""
    assert "run 3 41\n" in done.stdout and done.stdout.endswith("end 3\n")


BAD = ["novel 3 1", "lapsed 3", "request 3 41", "lapsed 9 1", "drain 3 soon", "init 4 1 {}"]


@pytest.mark.parametrize("bad", BAD)
def test_malformed_input_ends_with_a_message(bad: str) -> None:
    done = adapter(batch(1, START, bad))
    assert done.returncode == 1 and done.stdout == ""
    assert done.stderr.startswith("sablewheel.bench_adapter: ") and "Traceback" not in done.stderr


def test_a_server_that_died_comes_back_knowing_nothing() -> None:
    back = START.replace("init 3 7", "init 3 8")
    done = adapter(
        batch(1, START, REQUEST) + batch(2, "destroy 3", back) + batch(3, "work_done 3 41 0.1 S", REQUEST)
    )
    assert done.returncode == 0 and done.stdout.count("run 3 41\n") == 2
