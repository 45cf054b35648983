"""The wall clock is stepped while a real server runs: deadlines, windows, graces stay spans of real time."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator

import pytest
from installation import KEYED, SAFE, TIMEOUT_S, Installation

from sablewheel.experiments.testbed import Testbed

DEADLINE = 2.0  # of both classes in the testbed's settings
STOP = 3.0
STEPS = [5.0, -5.0, 3600.0, -3600.0]


@pytest.fixture
def testbed() -> Iterator[Testbed]:
    with Testbed(seed=1) as made:
        yield made


def step(testbed: Testbed, installation: Installation, seconds: float) -> None:
    testbed.shift(seconds)
    installation.client.wall_clock = lambda: time.time() + seconds


@pytest.mark.parametrize("seconds", STEPS)
def test_a_run_under_way_a_duplicate_and_a_new_request_are_served_over_a_step(
    testbed: Testbed, seconds: float
) -> None:
    installation = Installation(testbed, 0.5, shifted=True)
    client = installation.client
    first = client.ask(2, KEYED)
    time.sleep(0.2)
    step(testbed, installation, seconds)
    client.ask(3, KEYED, key=2)
    client.ask(4, SAFE)
    client.read(DEADLINE)
    client.ask(5, KEYED, key=2)
    client.read(DEADLINE)
    starts = installation.starts()
    installation.close()
    assert {tag: words[1] for tag, words in client.answers.items()} == dict.fromkeys(range(1, 6), b"OK")
    assert starts[first.decode()] == 1 and len(starts) == 3


@pytest.mark.parametrize("seconds", STEPS)
def test_what_can_not_be_served_is_answered_by_its_real_deadline_over_a_step(
    testbed: Testbed, seconds: float
) -> None:
    installation = Installation(testbed, 20.0, shifted=True)
    sent = time.monotonic()
    installation.client.ask(2, KEYED)
    time.sleep(0.3)
    step(testbed, installation, seconds)
    installation.client.read(1.0)
    assert 2 not in installation.client.answers, "given up long before its deadline"
    installation.client.read(TIMEOUT_S)
    took = time.monotonic() - sent
    installation.close()
    assert installation.client.answers[2][1] == b"FAILED" and DEADLINE - 0.3 < took < DEADLINE + 0.3


@pytest.mark.parametrize("seconds", STEPS)
def test_a_drain_answers_all_and_ends_before_the_stop_over_a_step(testbed: Testbed, seconds: float) -> None:
    installation = Installation(testbed, 20.0, shifted=True, stop_ms=int(1000 * STOP))
    client = installation.client
    client.ask(2, KEYED)
    time.sleep(0.2)
    told = time.monotonic()
    installation.server.popen.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    step(testbed, installation, seconds)
    client.read(TIMEOUT_S)
    answered = time.monotonic() - told
    code = installation.server.popen.wait(TIMEOUT_S)
    ended = time.monotonic() - told
    installation.close()
    assert answered < STOP - 0.05
    assert code == 0 and ended < STOP + 0.5  # what a busy machine takes to end it included
    assert client.answers[2][1] == b"FAILED"
