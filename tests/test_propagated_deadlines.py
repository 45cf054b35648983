"""If the settings say so, clients send their deadline, mark retries and send a cost hint."""

from __future__ import annotations

from dataclasses import replace

import pytest
from simulated_server import SimulatedServer, call
from test_serving import SERVER_SETTINGS

from sablewheel.overload.interface import Cancellation, RequestClass, ServerSettings
from sablewheel.protocol import resp

PROPAGATED = replace(SERVER_SETTINGS, deadline_propagated=True, marks_retries=True)


def send_call(server: SimulatedServer, tag: int, fields: bytes, request_class: bytes = b"lookup") -> None:
    """Send a call with additional fields, in a round of its own."""
    data = call(tag, b"%016x" % tag, request_class, server.now, b"body")
    start = data.index(b"$", data.index(request_class))
    size, remainder = data[start + 1 :].split(b"\r\n", 1)
    old, tail = remainder[: int(size)], remainder[int(size) :]
    server.client.feed(data[:start] + b"$%d\r\n" % (int(size) + len(fields)) + old + fields + tail)
    server.scheduler.run_ready()
    server.dispatcher.end_round()
    server.settle()


def answers(server: SimulatedServer) -> dict[int, list[bytes]]:
    """Return the answers so far by tag, including those not yet read by `settle`."""
    return {int(words[0]): words for words in server.answers.feed(server.client.take_written())}


def record_answers(server: SimulatedServer, answers: dict[int, list[bytes]]) -> None:
    """Record answers as they arrive; each tag may be answered only once."""
    original_feed = server.answers.feed

    def feed(data: bytes) -> list[list[bytes]]:
        messages = original_feed(data)
        for words in messages:
            assert int(words[0]) not in answers, "answered twice"
            answers[int(words[0])] = words
        return messages

    server.answers.feed = feed  # type: ignore[method-assign]


@pytest.mark.parametrize("cancellation", [Cancellation.DISCARDS_WORK, Cancellation.UNSUPPORTED])
def test_a_client_with_an_earlier_deadline_than_its_request_class_is_answered_by_that_deadline(
    cancellation: Cancellation,
) -> None:
    """The example site mostly-keyed lost 2,029 requests under normal load, because `allow` was not read."""
    server, answers = SimulatedServer(replace(PROPAGATED, cancellation=cancellation)), {}  # type: ignore[var-annotated]
    record_answers(server, answers)
    for tag in (1, 2, 3):  # two run, one waits for a core
        send_call(server, tag, b",allow=700")
    assert len(server.interpreter.running) == 2
    server.wait(0.69 + PROPAGATED.answer_slack_s)
    assert set(answers) == {1, 2, 3} and not {words[1] for words in answers.values()} & {b"OK"}


def test_a_request_with_a_later_deadline_does_not_time_out_before_it() -> None:
    server, answers = SimulatedServer(PROPAGATED), {}  # type: ignore[var-annotated]
    record_answers(server, answers)
    send_call(server, 1, b",allow=9000,dup=1")
    server.wait(6.0)
    assert not answers
    server.end(b"%016x" % 1)
    server.settle()
    assert answers[1][1] == b"OK"


def test_the_deadline_counts_from_the_request_not_from_its_reading_or_the_start() -> None:
    server, answers = SimulatedServer(PROPAGATED), {}  # type: ignore[var-annotated]
    record_answers(server, answers)
    controller, server.dispatcher._controller = server.dispatcher._controller, None
    send_call(server, 1, b",allow=3000")
    send_call(server, 2, b",allow=400")
    server.wait(0.5)
    assert set(answers) == {2}  # timed out before the start
    server.wait(0.5)
    server.dispatcher._controller = controller
    server.dispatcher.recovery_finished()
    server.settle()
    assert server.interpreter.running
    server.wait(1.99 + PROPAGATED.answer_slack_s)
    assert set(answers) == {1, 2}


def test_without_the_setting_the_deadline_field_is_ignored() -> None:
    server, answers = SimulatedServer(SERVER_SETTINGS), {}  # type: ignore[var-annotated]
    record_answers(server, answers)
    send_call(server, 1, b",allow=300")
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
    send_call(server, 1, b",allow=2000,dup=2,effort=412.5")
    (request,) = server.dispatcher._open_requests._exchanges
    assert request.is_retry and request.cost_hint == 0.4125
    assert request.remaining_s == pytest.approx(2.0, abs=0.01)


@pytest.mark.parametrize(
    "field", [b"allow=-1", b"allow=1e3", b"dup=yes", b"effort=nan", b"effort=-2", b"allow="]
)
def test_an_invalid_number_makes_the_message_invalid(field: bytes) -> None:
    frame = call(7, b"%016x" % 7, b"lookup", 1.0, b"")
    words = resp.Parser().feed(frame)[0]
    words[3] += b"," + field
    with pytest.raises(resp.InvalidMessageError):
        resp.parse_message(words)
