"""Steps of the wall clock in a running server change no deadline, idempotency window or grace."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator

import pytest
from installation import KEYED, SAFE, TIMEOUT_S, Installation

from sablewheel.experiments.testbed import Testbed

DEADLINE_S = 2.0  # of both request classes in the testbed's settings
STOP_S = 3.0
STEPS_S = [5.0, -5.0, 3600.0, -3600.0]


@pytest.fixture
def testbed() -> Iterator[Testbed]:
    with Testbed(seed=1) as testbed:
        yield testbed


def step(testbed: Testbed, installation: Installation, seconds: float) -> None:
    testbed.shift(seconds)
    installation.client.wall_clock = lambda: time.time() + seconds


@pytest.mark.parametrize("seconds", STEPS_S)
def test_an_active_run_a_duplicate_and_a_new_request_are_served_across_a_step(
    testbed: Testbed, seconds: float
) -> None:
    installation = Installation(testbed, 0.5, shifted=True)
    client = installation.client
    first = client.ask(2, KEYED)
    time.sleep(0.2)
    step(testbed, installation, seconds)
    client.ask(3, KEYED, key=2)
    client.ask(4, SAFE)
    client.read(DEADLINE_S)
    client.ask(5, KEYED, key=2)
    client.read(DEADLINE_S)
    starts = installation.starts()
    installation.close()
    assert {tag: words[1] for tag, words in client.answers.items()} == dict.fromkeys(range(1, 6), b"OK")
    assert starts[first.decode()] == 1 and len(starts) == 3


@pytest.mark.parametrize("seconds", STEPS_S)
def test_a_request_that_can_not_be_served_fails_at_its_real_deadline_across_a_step(
    testbed: Testbed, seconds: float
) -> None:
    installation = Installation(testbed, 20.0, shifted=True)
    sent_at = time.monotonic()
    installation.client.ask(2, KEYED)
    time.sleep(0.3)
    step(testbed, installation, seconds)
    installation.client.read(1.0)
    assert 2 not in installation.client.answers, "failed long before its deadline"
    installation.client.read(TIMEOUT_S)
    elapsed_s = time.monotonic() - sent_at
    installation.close()
    assert installation.client.answers[2][1] == b"FAILED" and DEADLINE_S - 0.3 < elapsed_s < DEADLINE_S + 0.3


@pytest.mark.parametrize("seconds", STEPS_S)
def test_a_drain_answers_all_requests_and_ends_before_the_stop_across_a_step(
    testbed: Testbed, seconds: float
) -> None:
    installation = Installation(testbed, 20.0, shifted=True, stop_ms=int(1000 * STOP_S))
    client = installation.client
    client.ask(2, KEYED)
    time.sleep(0.2)
    notified_at = time.monotonic()
    installation.server.popen.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    step(testbed, installation, seconds)
    client.read(TIMEOUT_S)
    answered_after_s = time.monotonic() - notified_at
    code = installation.server.popen.wait(TIMEOUT_S)
    ended_after_s = time.monotonic() - notified_at
    installation.close()
    assert answered_after_s < STOP_S - 0.05
    assert (
        code == 0 and ended_after_s < STOP_S + 0.5
    )  # includes the time that a busy machine takes to end the process
    assert client.answers[2][1] == b"FAILED"
