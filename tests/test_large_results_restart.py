"""A real server with a result store and large results: repeats after a restart get the stored results."""

from __future__ import annotations

import pytest
from installation import KEYED, TIMEOUT_S, Client, Installation

from sablewheel.experiments.testbed import Testbed

RESULT_BYTES = 1_000_000
REQUEST_COUNT = 30
WINDOW_S = 120.0
SETTINGS = {
    "classes": [
        {"name": "lookup", "on-time-s": 0.5, "deadline-s": 3.0, "repeat": "safe"},
        {"name": "record", "on-time-s": 1.8, "deadline-s": 3.0, "repeat": "keyed", "window-s": WINDOW_S},
    ],
    "servers": 1,
}


def ask_all(client: Client, first_tag: int) -> dict[int, bytes]:
    """Send a request for each key, a few at a time; return the result of each key that has one."""
    for start in range(0, REQUEST_COUNT, 5):
        for key in range(start, start + 5):
            client.ask(first_tag + key, KEYED, key=key)
        client.read(TIMEOUT_S)
    answers = {key: client.answers[first_tag + key] for key in range(REQUEST_COUNT)}
    return {key: words[3] for key, words in answers.items() if words[1] == b"OK"}


@pytest.mark.parametrize("restarts", [False, True])
def test_repeats_get_all_results_that_the_result_store_holds(restarts: bool) -> None:
    """Results over a sixteenth of the server's memory failed, though `memory-mb` and the disk held them."""
    with Testbed(1) as testbed:
        installation = Installation(
            testbed,
            keyed_work=0.02,
            features=f"version: 1\nrecall:\n  folder: {testbed.folder}/recall\n  memory-mb: 64\n",
            result_bytes=[RESULT_BYTES, RESULT_BYTES],
            settings=SETTINGS,
        )
        results = ask_all(installation.client, 100)
        assert len(results) == REQUEST_COUNT
        if restarts:
            installation.kill_and_restart()
        assert ask_all(installation.client, 200) == results
        first_requests = 2 if restarts else 1  # of the installation itself, after each start
        assert installation.starts().total() == REQUEST_COUNT + first_requests
        installation.close()
