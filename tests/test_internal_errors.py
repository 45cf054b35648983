"""An internal error affects only one request, and is reported and counted; all other requests continue."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from simulated_server import SimulatedServer
from test_serving import SERVER_SETTINGS

from sablewheel.overload.controller import Controller
from sablewheel.overload.interface import AdvertisementKind


@pytest.mark.parametrize("step", ["reserve", "run", "reject"])
def test_an_error_in_one_requests_action_does_not_affect_those_of_the_same_batch(step: str) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    errors: list[bool] = []
    server.scheduler.on_internal_error = lambda: errors.append(True)
    component = {
        "reserve": server.idempotency_keys,
        "run": server.interpreter_client,
        "reject": server.dispatcher.outcomes,
    }[step]
    method = {"reserve": "reserve", "run": "run", "reject": "count_rejection"}[step]
    real = getattr(component, method)

    def raise_once(*values: object) -> None:
        setattr(component, method, real)
        raise RuntimeError("injected error")

    setattr(component, method, raise_once)
    age_s = 3.9 if step == "reject" else 0.0
    failing = server.call(b"record", b"a", ago=age_s)
    server.scheduler.run_ready()
    succeeding, other = server.call(b"record", b"b"), server.call(b"lookup")
    server.settle()
    for name in list(server.interpreter.running):
        server.end(name)
    server.settle()
    assert errors == [True]
    assert [words[1] for words in failing.answers] == [b"BUSY" if step == "reject" else b"FAILED"]
    assert succeeding.answers[0][1] == other.answers[0][1] == b"OK"
    assert not server.dispatcher.open_count
    controller = server.dispatcher._controller
    assert controller is not None
    server.settle()
    assert controller.resources.on_cores == 0 and not controller.resources.running


def test_an_error_in_a_decision_does_not_withhold_earlier_answers() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.end(attempt.name)
    server.scheduler.run_ready()  # its answer is queued
    controller = server.dispatcher._controller
    assert controller is not None
    real = controller.handle_events

    def raise_error(*_: object) -> None:
        raise RuntimeError("injected error")

    controller.handle_events = raise_error  # type: ignore[method-assign, assignment]
    with pytest.raises(RuntimeError):
        server.dispatcher.end_round()
    controller.handle_events = real  # type: ignore[method-assign]
    answers = server.answers.feed(server.client.take_written())
    assert [words[1] for words in answers if words[0] == b"1"] == [b"OK"]


def test_a_request_that_failed_by_an_internal_error_is_never_answered_again() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    exchange = next(iter(server.dispatcher._open_requests._exchanges.values()))
    server.dispatcher._fail_after_internal_error(exchange)
    server.settle()
    server.end(attempt.name)  # its run had started nevertheless
    server.settle()
    assert [words[1] for words in attempt.answers] == [b"FAILED"]


METHODS = [
    "keys.expire",
    "admission.admit",
    "dependency_calls.make_calls",
    "deadlines.pop_due",
    "endings.deadline_reached",
    "endings.run_ended",
    "coalescer.attach_waiting",
    "run_starter.start_queued",
    "run_starter.may_start",
    "credit_pool.iterate",
    "connection_limits.review",
    "advertiser.update",
    "context.begin_batch",
]


def component_of(controller: Controller, name: str) -> Any:
    return getattr(controller, f"_{name}", None) or getattr(controller, name)


@pytest.mark.parametrize("times", [1, 10**9], ids=["once", "always"])
@pytest.mark.parametrize("name", METHODS)
def test_an_error_in_one_part_of_the_controller_loses_no_answer_of_the_round(name: str, times: int) -> None:
    """Guards against losing all answers of a round, as a division by zero in the connection limits did."""
    server = SimulatedServer(replace(SERVER_SETTINGS, advertisement=AdvertisementKind.CREDIT))
    controller, real_end_round = server.dispatcher._controller, server.dispatcher.end_round
    assert controller is not None
    errors = 0

    def end_round() -> None:
        nonlocal errors
        try:
            real_end_round()
        except ZeroDivisionError:
            errors += 1

    server.dispatcher.end_round = end_round  # type: ignore[method-assign]
    component_name, method = name.split(".")
    component = component_of(controller, component_name)
    real, remaining = getattr(component, method), times

    def raise_error(*values: object) -> Any:
        nonlocal remaining
        remaining -= 1
        if remaining < 0:
            return real(*values)
        raise ZeroDivisionError

    setattr(component, method, raise_error)
    # The controller stored its steps before the error was injected.
    controller._steps = tuple(raise_error if step == real else step for step in controller._steps)
    for number in range(6):
        server.call(b"record" if number % 2 else b"lookup", b"%d" % number if number % 2 else b"")
    server.settle()
    for _ in range(4):
        for request in list(server.interpreter.running):
            server.end(request)
        server.settle()
    server.call(b"lookup")
    server.wait(6.0)
    assert errors
    assert [len(attempt.answers) for attempt in server.attempts] == [1] * 7
    if times == 1 and name != "context.begin_batch":
        served = [attempt for attempt in server.attempts if attempt.answers[0][1] == b"OK"]
        assert len(served) >= 3
