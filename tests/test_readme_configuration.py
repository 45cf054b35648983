"""The minimal configuration in README works unchanged, and so does every one without an optional key."""

from __future__ import annotations

import copy
import json
import re
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from installation import Client
from simulated_server import SimulatedServer

from sablewheel.experiments.testbed import Testbed, free_port
from sablewheel.program.configuration import Section, server_settings

README = Path(__file__).parent.parent / "README.md"
REQUESTS = 1000
CONNECTIONS = 8
OPEN_PER_CONNECTION = 4
TIME_LIMIT_S = 60.0  # for all requests; each run takes 2 ms


def configuration_of_readme() -> dict[str, Any]:
    """Return the minimal configuration from README."""
    example = re.search(r'^    (\{"name".*?\}\}\})$', README.read_text(), re.MULTILINE | re.DOTALL)
    assert example is not None
    configuration: dict[str, Any] = json.loads(example[1])
    return configuration


@pytest.fixture
def testbed() -> Iterator[Testbed]:
    with Testbed(seed=1) as testbed:
        yield testbed


def test_the_minimal_configuration_of_the_readme_serves_a_thousand_requests(testbed: Testbed) -> None:
    """Guards against a review of connection limits that divided by zero: later rounds lost their actions."""
    port, interpreter_port = free_port(), free_port()
    testbed.interpreter("vm", interpreter_port, work={"lookup": 0.002}, cores=2)
    configuration = configuration_of_readme() | {  # all other values are README's
        "listen": f"127.0.0.1:{port}",
        "vm": f"127.0.0.1:{interpreter_port}",
        "naming": f"127.0.0.1:{testbed.naming.getsockname()[1]}",
    }
    path = testbed.folder / "readme.json"
    path.write_text(json.dumps(configuration))
    server = testbed.start("n1", "sablewheel", shifted=False, RELAY_CONFIG=str(path))
    testbed.wait_until_up(port, server)
    clients = [Client(port) for _ in range(CONNECTIONS)]
    sent, deadline = 0, time.monotonic() + TIME_LIMIT_S
    while time.monotonic() < deadline and (
        sent < REQUESTS or any(len(client.answers) < len(client.sent) for client in clients)
    ):
        for client in clients:
            client.read_available()
            while sent < REQUESTS and len(client.sent) - len(client.answers) < OPEN_PER_CONNECTION:
                sent += 1
                client.ask(sent, b"lookup", tenant=b"")
        time.sleep(0.001)
    words = [answer[1] for client in clients for answer in client.answers.values()]
    assert words.count(b"OK") == REQUESTS
    assert server.leave() == 0
    assert testbed.counters(server).get("faults", "0") == "0"


COMPLETE_SETTINGS: dict[str, Any] = {
    "classes": [
        {
            "name": "lookup",
            "on-time-s": 1.0,
            "deadline-s": 4.0,
            "repeat": "safe",
            "window-s": 4.0,
            "aim-stretch": 0.5,
            "worth": 2.0,
        },
        {
            "name": "record",
            "on-time-s": 1.5,
            "deadline-s": 4.0,
            "repeat": "keyed",
            "window-s": 6.0,
            "aim-stretch": 0.5,
            "worth": 1.0,
        },
    ],
    "orgs": [{"name": "acme", "quota-rps": 50.0}],
    "servers": 3,
    "tick-s": 0.002,
    "over-share-worth": 0.05,
    "value-by": "work",
    "extra": {
        "cores": 2,
        "memory-kb": 4000.0,
        "run-factor": 4.0,
        "key-kb": 1.0,
        "halt": "drop",
        "say": "tokens",
        "said-for-s": 0.5,
        "callers": 4,
        "idle-s": 30.0,
        "passes-deadline": False,
        "share-for-s": 0.5,
        "fresh-start": False,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "below": "common",
        "calls-out": 3.0,
        "share-span-s": 2.0,
        "lingers-s": 0.2,
        "class-calls": [False, False],
        "class-skip-worth": [0.0, 0.0],
    },
    "client-habits": {"marks-retry": True},
    "limits": {"retry-after": True, "max-retry-after-s": 1.0},
    "safety": {
        "fall-multiple": 5.0,
        "fall-s": 1.0,
        "answer-slack-s": 0.05,
        "drain-grace-s": 0.4,
        "cold-from": 0.3,
        "warm-up-s": 2.0,
    },
}
MANDATORY = {"name", "on-time-s", "deadline-s", "repeat", "classes", "cores", "memory-kb", "fall-multiple"}
# Keys that are never left out: the simulated server has one fixed tenant. Its interpreter calls no
# dependency, so all keys of the dependency are optional.
NOT_IN_THE_SIMULATED_SERVER = {"orgs"}


def optional_keys(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the paths of all optional keys."""
    if isinstance(value, dict):
        for key, inner in value.items():
            if key not in MANDATORY | NOT_IN_THE_SIMULATED_SERVER | {"extra", "safety"}:
                yield (*path, key)
            yield from optional_keys(inner, (*path, key))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from optional_keys(inner, (*path, index))


def without(paths: list[tuple[Any, ...]]) -> dict[str, Any]:
    """Return the complete settings without the keys at these paths."""
    settings = copy.deepcopy(COMPLETE_SETTINGS)
    for *parents, last in paths:
        parent: Any = settings
        for step in parents:
            parent = parent.get(step, {}) if isinstance(parent, dict) else parent[step]
        parent.pop(last, None)
    return settings


OPTIONAL_KEYS = list(optional_keys(COMPLETE_SETTINGS))
INTERVAL_KEYS = [("tick-s",), ("extra", "idle-s"), ("extra", "said-for-s")]


@pytest.mark.parametrize(
    "left_out",
    [[], *([path] for path in OPTIONAL_KEYS), INTERVAL_KEYS[:2], INTERVAL_KEYS, OPTIONAL_KEYS],
    ids=lambda paths: (
        "all" if len(paths) > len(INTERVAL_KEYS) else "+".join(map(str, sum(paths, ()))) or "none"
    ),
)
def test_a_server_serves_without_an_optional_key(left_out: list[tuple[Any, ...]]) -> None:
    """Guards against intervals of zero.

    The review of connection limits and the credit pool divided by them, and waited for them.
    """
    settings = server_settings(Section(without(left_out)), calls_dependency=False)
    server = SimulatedServer(settings)
    faults: list[bool] = []
    server.scheduler.on_internal_error = lambda: faults.append(True)
    for number in range(150):
        keyed = number % 3 == 0
        server.call(b"record" if keyed else b"lookup", b"%d" % number if keyed else b"")
        server.settle()
        for name in list(server.interpreter.running):
            server.end(name)
        server.wait(0.02)
    batches = server.dispatcher.batches
    server.wait(5.0)
    served = [attempt for attempt in server.attempts if attempt.answers[0][1] == b"OK"]
    assert len(served) > len(server.attempts) / 2
    assert not faults
    # An idle server wakes for its reviews and iterations, at most once per batch interval.
    min_interval_s = settings.min_batch_interval_s or 0.01
    assert server.dispatcher.batches - batches <= 5.0 / min_interval_s + 10
