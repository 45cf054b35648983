"""While system calls fail, a server loses no request, runs none twice, and drains in order."""

from __future__ import annotations

import json
import random
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from installation import KEYED, SAFE, TIMEOUT_S, Client, Installation

from sablewheel.experiments.testbed import Testbed, free_port

DEADLINE_S = 2.0  # of both request classes in the testbed's settings
SLACK_S = 0.4  # for a busy machine, in addition to the settings' answer slack
ENVIRONMENT = {"PYTHONPATH": str(Path(__file__).parent)}


@pytest.fixture
def testbed() -> Iterator[Testbed]:
    with Testbed(seed=1) as testbed:
        yield testbed


def start_with_failures(
    testbed: Testbed, seed: int, share: float, *at_start: str, features: str | None = None
) -> Installation:
    options = json.dumps({"seed": seed, "share": share, "at_start": at_start})
    module = ("failing_calls", options, "sablewheel")
    return Installation(
        testbed, 0.05, module=module, environment=ENVIRONMENT, features=features, stop_ms=2700
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_request_is_lost_or_run_twice_while_calls_fail_and_during_a_drain(
    testbed: Testbed, seed: int
) -> None:
    rng = random.Random(seed)
    installation = start_with_failures(testbed, seed, 0.03)
    clients = [installation.client, *(Client(installation.port) for _ in range(5))]
    for number in range(150):
        client = rng.choice(clients)
        tag = 10_000 * (1 + clients.index(client)) + number
        client.ask(tag, rng.choice([SAFE, KEYED]), key=rng.randrange(tag - 5, tag + 1))
        client.read(0.0)
        time.sleep(0.01)
        if number == 120:
            installation.server.popen.send_signal(signal.SIGTERM)
    due_at = time.monotonic() + DEADLINE_S + SLACK_S
    for client in clients:
        client.read(max(due_at - time.monotonic(), 0.01))
    code = installation.server.popen.wait(TIMEOUT_S)
    starts = installation.starts()
    installation.close()
    for client in clients:
        assert sorted(client.answers) == sorted(client.sent), "a request has no answer"
        rejected = [tag for tag, words in client.answers.items() if words[1] == b"BUSY"]
        assert not any(starts[client.sent[tag].decode()] for tag in rejected), "rejected after it was started"
    started = [
        (client, tag) for client in clients for tag in client.sent if starts[client.sent[tag].decode()]
    ]
    keys = [client.keys[tag] for client, tag in started if tag in client.keys]
    assert len(set(keys)) == len(keys) and max(starts.values()) == 1, "a key was run twice"
    served = sum(words[1] == b"OK" for client in clients for words in client.answers.values())
    assert code == 0 and served > 75


@pytest.mark.parametrize("call", ["socket", "setsockopt", "pipe", "poll", "accept", "connect", "recv"])
def test_a_server_starts_though_a_call_fails_a_few_times_first(testbed: Testbed, call: str) -> None:
    installation = start_with_failures(testbed, 1, 0.0, call)
    installation.client.ask(2, KEYED)
    installation.client.read(DEADLINE_S)
    installation.close()
    assert installation.client.answers[2][1] == b"OK"


@pytest.mark.parametrize("call", ["socket", "setsockopt", "pipe", "poll"])
def test_a_server_with_features_starts_though_a_call_fails_a_few_times_first(
    testbed: Testbed, call: str
) -> None:
    """A transient error at the start of a server with features ended it with exit code 1."""
    membership, forwarding = free_port(), free_port()
    features = (
        f"version: 1\nrecall:\n  folder: {testbed.folder}/recall\n"
        f"membership:\n  listen: 127.0.0.1:{membership}\n  seeds: [127.0.0.1:{membership}]\n"
        "  found-least: 1\n"
        f"forwarding:\n  listen: 127.0.0.1:{forwarding}\n"
    )
    installation = start_with_failures(testbed, 1, 0.0, call, features=features)
    installation.client.ask(2, KEYED)
    installation.client.read(DEADLINE_S)
    installation.close()
    assert installation.client.answers[2][1] == b"OK"
