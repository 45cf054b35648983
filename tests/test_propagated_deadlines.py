"""Where the settings say so, routers tell how long they wait, mark further tries and foretell the work."""

from __future__ import annotations

from dataclasses import replace

import pytest
from simulated_server import SimulatedServer, call
from test_serving import SERVER_SETTINGS

from sablewheel.overload.interface import Cancellation, RequestClass, ServerSettings
from sablewheel.protocol import resp

PROPAGATED = replace(SERVER_SETTINGS, deadline_propagated=True, marks_retries=True)


def ask(server: SimulatedServer, tag: int, fields: bytes, request_class: bytes = b"lookup") -> None:
    """One call with these fields more, in a round of its own."""
    data = call(tag, b"%016x" % tag, request_class, server.now, b"body")
    at = data.index(b"$", data.index(request_class))
    size, rest = data[at + 1 :].split(b"\r\n", 1)
    old, tail = rest[: int(size)], rest[int(size) :]
    server.client.feed(data[:at] + b"$%d\r\n" % (int(size) + len(fields)) + old + fields + tail)
    server.scheduler.run_ready()
    server.dispatcher.end_round()
    server.settle()


def answers(server: SimulatedServer) -> dict[int, list[bytes]]:
    """What was said by now, by tag, also before `settle` took it."""
    return {int(words[0]): words for words in server.answers.feed(server.client.taken())}


def record_answers(server: SimulatedServer, answers: dict[int, list[bytes]]) -> None:
    """Take the answers as they come, each once."""
    real = server.answers.feed

    def feed(data: bytes) -> list[list[bytes]]:
        found = real(data)
        for words in found:
            assert int(words[0]) not in answers, "answered twice"
            answers[int(words[0])] = words
        return found

    server.answers.feed = feed  # type: ignore[method-assign]


@pytest.mark.parametrize("cancellation", [Cancellation.DISCARDS_WORK, Cancellation.UNSUPPORTED])
def test_a_caller_that_waits_less_than_its_request_class_allows_is_answered_in_its_own_time(
    cancellation: Cancellation,
) -> None:
    """The made-up site mostly-keyed lost 2,029 requests on a calm day: `allow` was not read."""
    server, answers = SimulatedServer(replace(PROPAGATED, cancellation=cancellation)), {}  # type: ignore[var-annotated]
    record_answers(server, answers)
    for tag in (1, 2, 3):  # two run, one waits for a core
        ask(server, tag, b",allow=700")
    assert len(server.interpreter.running) == 2
    server.wait(0.69 + PROPAGATED.answer_slack_s)
    assert set(answers) == {1, 2, 3} and not {words[1] for words in answers.values()} & {b"OK"}


def test_a_caller_that_waits_longer_is_not_given_up_before() -> None:
    server, answers = SimulatedServer(PROPAGATED), {}  # type: ignore[var-annotated]
    record_answers(server, answers)
    ask(server, 1, b",allow=9000,dup=1")
    server.wait(6.0)
    assert not answers
    server.end(b"%016x" % 1)
    server.settle()
    assert answers[1][1] == b"OK"


def test_the_wait_counts_from_the_request_not_from_its_reading_or_the_start() -> None:
    server, answers = SimulatedServer(PROPAGATED), {}  # type: ignore[var-annotated]
    record_answers(server, answers)
    controller, server.dispatcher._controller = server.dispatcher._controller, None
    ask(server, 1, b",allow=3000")
    ask(server, 2, b",allow=400")
    server.wait(0.5)
    assert set(answers) == {2}  # given up before the start
    server.wait(0.5)
    server.dispatcher._controller = controller
    server.dispatcher.recovery_finished()
    server.settle()
    assert server.interpreter.running
    server.wait(1.99 + PROPAGATED.answer_slack_s)
    assert set(answers) == {1, 2}


def test_where_the_settings_do_not_say_so_the_field_is_not_heeded() -> None:
    server, answers = SimulatedServer(SERVER_SETTINGS), {}  # type: ignore[var-annotated]
    record_answers(server, answers)
    ask(server, 1, b",allow=300")
    server.wait(1.0)
    assert not answers


def test_retries_and_cost_hints_reach_the_decision() -> None:
    server_settings = ServerSettings(
        request_classes=(
            RequestClass(SERVER_SETTINGS.request_classes[0].idempotency, 1.0, 4.0),
            SERVER_SETTINGS.request_classes[1],
        ),
        cores=2,
        memory_kb=2000.0,
        running_memory_factor=4.0,
        tenants=SERVER_SETTINGS.tenants,
        min_batch_interval_s=0.002,
        answer_slack_s=0.08,
        max_concurrency_per_core=3.0,
        deadline_propagated=True,
        marks_retries=True,
    )
    server = SimulatedServer(server_settings)
    ask(server, 1, b",allow=2000,dup=2,effort=412.5")
    (request,) = server.dispatcher._open_requests._exchanges
    assert request.is_retry and request.cost_hint == 0.4125
    assert request.remaining_s == pytest.approx(2.0, abs=0.01)


@pytest.mark.parametrize(
    "field", [b"allow=-1", b"allow=1e3", b"dup=yes", b"effort=nan", b"effort=-2", b"allow="]
)
def test_a_figure_that_cannot_be_read_is_a_faulty_frame(field: bytes) -> None:
    whole = call(7, b"%016x" % 7, b"lookup", 1.0, b"")
    words = resp.Parser().feed(whole)[0]
    words[3] += b"," + field
    with pytest.raises(resp.InvalidMessageError):
        resp.parse_message(words)
