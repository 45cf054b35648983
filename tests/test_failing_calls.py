"""System calls fail for a moment in a real server: nothing is lost, nothing runs twice, drains are safe."""

from __future__ import annotations

import json
import random
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from installation import KEYED, SAFE, TIMEOUT_S, Client, Installation

from sablewheel.experiments.testbed import Testbed

DEADLINE = 2.0  # of both classes in the testbed's settings
SLACK = 0.4  # of a busy machine, beside the settings'
ENVIRONMENT = {"PYTHONPATH": str(Path(__file__).parent)}


@pytest.fixture
def testbed() -> Iterator[Testbed]:
    with Testbed(seed=1) as made:
        yield made


def failing(testbed: Testbed, seed: int, share: float, *at_start: str) -> Installation:
    told = json.dumps({"seed": seed, "share": share, "at_start": at_start})
    module = ("failing_calls", told, "sablewheel")
    return Installation(testbed, 0.05, module=module, environment=ENVIRONMENT, stop_ms=2700)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_is_lost_or_run_twice_while_calls_fail_and_in_a_drain(testbed: Testbed, seed: int) -> None:
    chance = random.Random(seed)
    installation = failing(testbed, seed, 0.03)
    clients = [installation.client, *(Client(installation.port) for _ in range(5))]
    for number in range(150):
        client = chance.choice(clients)
        tag = 10_000 * (1 + clients.index(client)) + number
        client.ask(tag, chance.choice([SAFE, KEYED]), key=chance.randrange(tag - 5, tag + 1))
        client.read(0.0)
        time.sleep(0.01)
        if number == 120:
            installation.server.popen.send_signal(signal.SIGTERM)
    due = time.monotonic() + DEADLINE + SLACK
    for client in clients:
        client.read(max(due - time.monotonic(), 0.01))
    code = installation.server.popen.wait(TIMEOUT_S)
    starts = installation.starts()
    installation.close()
    for client in clients:
        assert sorted(client.answers) == sorted(client.sent), "a request has no answer"
        refused = [tag for tag, words in client.answers.items() if words[1] == b"BUSY"]
        assert not any(starts[client.sent[tag].decode()] for tag in refused), "refused after it was begun"
    begun = [(client, tag) for client in clients for tag in client.sent if starts[client.sent[tag].decode()]]
    keys = [client.keys[tag] for client, tag in begun if tag in client.keys]
    assert len(set(keys)) == len(keys) and max(starts.values()) == 1, "a key was run twice"
    served = sum(words[1] == b"OK" for client in clients for words in client.answers.values())
    assert code == 0 and served > 75


@pytest.mark.parametrize("call", ["socket", "setsockopt", "pipe", "poll", "accept", "connect", "recv"])
def test_a_server_starts_though_a_call_fails_a_few_times_first(testbed: Testbed, call: str) -> None:
    installation = failing(testbed, 1, 0.0, call)
    installation.client.ask(2, KEYED)
    installation.client.read(DEADLINE)
    installation.close()
    assert installation.client.answers[2][1] == b"OK"
