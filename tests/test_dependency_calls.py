"""Notices that the protocol page does not describe: runs at a dependency call, and unknown notices.

Each such notice may affect at most the run that it refers to. Earlier, one such notice broke the link, was
resent on the next link and broke that too, so that no run of any class ended.
"""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from simulated_server import Attempt, SimulatedServer
from test_serving import SERVER_SETTINGS

from sablewheel.program import configuration


def send_notice(server: SimulatedServer, words: bytes, following: bytes | None = None) -> bytes:
    """Send the next numbered notice and keep it for later links; `%d` in `words` is its number."""
    data = words % (len(server.interpreter.notices) + 1)
    if following is not None:
        data += b" %d\r\n%b" % (len(following), following)
    server.interpreter.notices.append(data + b"\r\n")
    assert server.link is not None
    server.link.feed(server.interpreter.notices[-1])
    server.settle()
    return server.interpreter.notices[-1]


def report_call(server: SimulatedServer, attempt: Attempt) -> None:
    send_notice(server, b"AWAIT %d " + attempt.name, b"a question\r\nof any bytes \0")


@pytest.fixture
def server() -> SimulatedServer:
    return SimulatedServer(SERVER_SETTINGS)


def test_a_run_at_a_call_is_answered_at_once_and_other_runs_end_normally(server: SimulatedServer) -> None:
    attempt, other = server.call(b"lookup"), server.call(b"record", b"a")
    server.settle()
    report_call(server, attempt)
    assert [words[1] for words in attempt.answers] == [b"FAILED"]
    server.end(other.name)
    server.settle()
    assert [words[1] for words in other.answers] == [b"OK"]
    assert server.counts.count("links") == server.counts.count("calls_needed") == 1


def test_a_run_at_a_call_frees_its_core_at_once_and_its_memory_when_it_ends(
    server: SimulatedServer,
) -> None:
    controller = server.dispatcher._controller
    assert controller is not None
    attempt = server.call(b"lookup")
    server.settle()
    report_call(server, attempt)
    assert controller.resources.on_cores == 0
    server.end(attempt.name, b"interrupted")
    server.settle()
    assert (
        controller.resources.memory_kb == 0
        and not controller.resources.running
        and server.dispatcher.open_count == 0
    )


def test_a_keyed_run_at_a_call_is_neither_rejected_nor_run_again(server: SimulatedServer) -> None:
    first = server.call(b"record", b"a")
    server.settle()
    report_call(server, first)
    early = server.call(b"record", b"a")
    server.settle()
    server.end(first.name, b"interrupted")
    late = server.call(b"record", b"a")
    server.wait(0.2)  # the simulated server checks the rules after each step
    assert [[words[1] for words in attempt.answers] for attempt in (first, early, late)] == [[b"FAILED"]] * 3
    assert len(server.interpreter.applied) == 1


def test_the_next_link_does_not_repeat_the_call(server: SimulatedServer) -> None:
    attempt, other = server.call(b"lookup"), server.call(b"lookup")
    server.settle()
    report_call(server, attempt)
    server.break_link(lost=False)
    server.wait(0.2)
    server.end(other.name)
    server.settle()
    assert [words[1] for words in other.answers] == [b"OK"]
    assert server.counts.count("links") == 2 and server.counts.count("calls_needed") == 1


def test_a_call_notified_while_the_link_was_down_is_read_from_the_next_link(server: SimulatedServer) -> None:
    attempt = server.call(b"lookup")
    server.settle()
    server.accepts_links = False
    server.break_link(lost=False)
    server.settle()
    server.interpreter.notices.append(b"AWAIT 1 %b 2\r\nhi\r\n" % attempt.name)
    server.accepts_links = True
    server.wait(0.6)
    assert [words[1] for words in attempt.answers] == [b"FAILED"]


@pytest.mark.parametrize("cancelled", [False, True])
def test_a_call_of_a_run_whose_client_no_longer_waits_is_ignored(
    server: SimulatedServer, cancelled: bool
) -> None:
    attempt = server.call(b"lookup")
    server.settle()
    if cancelled:
        server.cancel(attempt)
        server.settle()
    else:
        server.end(attempt.name)
        server.settle()
    answers = list(attempt.answers)
    report_call(server, attempt)
    assert attempt.answers == answers and server.counts.count("links") == 1


@pytest.mark.parametrize(
    "words, following",
    [
        (b"NOVEL %d", None),
        (b"NOVEL %d 0123456789abcdef and more", None),
        (b"NOVEL %d 0123456789abcdef", b""),
        (b"NOVEL %d", b"VALUE 9 x success 1 0\r\n\r\n"),
    ],
)
def test_an_unknown_notice_is_skipped_without_other_effects(
    server: SimulatedServer, words: bytes, following: bytes | None
) -> None:
    attempt = server.call(b"lookup")
    server.settle()
    send_notice(server, words, following)
    server.wait(0.2)
    server.end(attempt.name)
    server.settle()
    assert [words[1] for words in attempt.answers] == [b"OK"]
    assert server.counts.count("links") == 3 and server.counts.count("notices_passed_over") == 1
    server.break_link(lost=False)
    server.wait(0.2)
    assert server.counts.count("links") == 4 and server.counts.count("notices_passed_over") == 1


def test_an_unknown_notice_between_the_ends_of_runs_does_not_affect_them(server: SimulatedServer) -> None:
    attempt, other = server.call(b"lookup"), server.call(b"lookup")
    server.settle()
    assert server.link is not None
    end = server.interpreter.end(attempt.name)
    server.interpreter.notices.append(b"NOVEL 2 level 3\r\n")
    server.link.feed(end + server.interpreter.notices[-1] + server.interpreter.end(other.name))
    server.wait(0.2)
    assert [words[1] for words in attempt.answers + other.answers] == [b"OK", b"OK"]
    assert server.counts.count("links") == 3 and server.counts.count("runs_worked") == 2


@pytest.mark.parametrize(
    "garbled", [b"NOVEL 7 which never came\r\n", b"TOPS 1 nan\r\n", b"VALUE 1 x no 1 0\r\n\r\n"]
)
def test_data_that_is_invalid_once_is_read_again_and_no_notice_is_skipped(
    server: SimulatedServer, garbled: bytes
) -> None:
    attempt = server.call(b"lookup")
    server.settle()
    for _ in range(1 if garbled.startswith(b"VALUE") else 3):
        assert server.link is not None
        server.link.feed(garbled)
        server.wait(0.2)
    server.end(attempt.name)
    server.settle()
    assert [words[1] for words in attempt.answers] == [b"OK"] and not server.counts.count(
        "notices_passed_over"
    )


def test_the_program_ignores_dependency_calls_and_the_bench_adapter_supports_them(tmp_path: Path) -> None:
    document = {
        "name": "n1",
        "listen": "127.0.0.1:7001",
        "vm": "127.0.0.1:6100",
        "naming": "127.0.0.1:2379",
        "seed": "2a",
        "settings": {
            "classes": [{"name": "a", "on-time-s": 1, "deadline-s": 4, "repeat": "safe"}],
            "extra": {
                "cores": 2,
                "memory-kb": 2000,
                "below": "common",
                "calls-out": 2.5,
                "share-span-s": 5,
                "class-calls": [True],
                "class-skip-worth": [0.5],
            },
            "safety": {"fall-multiple": 5},
        },
    }
    file = tmp_path / "configuration.json"
    file.write_text(json.dumps(document))
    program_settings = configuration.placement_settings({"RELAY_CONFIG": str(file)}).server_settings
    assert (
        program_settings.dependency is None
        and not program_settings.request_classes[0].calls_dependency
        and not program_settings.request_classes[0].skip_value_ratio
    )
    adapter_settings = configuration.server_settings(configuration.Section(document["settings"], "settings"))
    assert (
        adapter_settings.dependency is not None
        and adapter_settings.request_classes[0].calls_dependency
        and adapter_settings.request_classes[0].skip_value_ratio == 0.5
    )
