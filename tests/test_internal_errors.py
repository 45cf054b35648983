"""A fault of ours costs the one request that met it, loudly and counted; all others go on."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from simulated_server import SimulatedServer
from test_serving import SERVER_SETTINGS

from sablewheel.overload.controller import Controller
from sablewheel.overload.interface import AdvertisementKind


@pytest.mark.parametrize("step", ["reserve", "run", "reject"])
def test_a_fault_in_one_request_s_action_leaves_those_of_the_same_batch_alone(step: str) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    faults: list[bool] = []
    server.scheduler.on_fault = lambda: faults.append(True)
    part = {
        "reserve": server.idempotency_keys,
        "run": server.interpreter_client,
        "reject": server.dispatcher.outcomes,
    }[step]
    method = {"reserve": "reserve", "run": "run", "reject": "count_rejection"}[step]
    real = getattr(part, method)

    def once(*values: object) -> None:
        setattr(part, method, real)
        raise RuntimeError("a fault of ours")

    setattr(part, method, once)
    late = 3.9 if step == "reject" else 0.0
    bad = server.call(b"record", b"a", ago=late)
    server.scheduler.run_ready()
    good, other = server.call(b"record", b"b"), server.call(b"lookup")
    server.settle()
    for name in list(server.interpreter.running):
        server.end(name)
    server.settle()
    assert faults == [True]
    assert [words[1] for words in bad.answers] == [b"BUSY" if step == "reject" else b"FAILED"]
    assert good.answers[0][1] == other.answers[0][1] == b"OK"
    assert not server.dispatcher.open_count
    controller = server.dispatcher._controller
    assert controller is not None
    server.settle()
    assert controller.resources.on_cores == 0 and not controller.resources.running


def test_a_fault_in_a_decision_still_lets_out_what_was_decided_before() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.end(attempt.name)
    server.scheduler.run_ready()  # its answer is queued
    controller = server.dispatcher._controller
    assert controller is not None
    real = controller.handle_events

    def fault(*_: object) -> None:
        raise RuntimeError("a fault of ours")

    controller.handle_events = fault  # type: ignore[method-assign, assignment]
    with pytest.raises(RuntimeError):
        server.dispatcher.end_round()
    controller.handle_events = real  # type: ignore[method-assign]
    answers = server.answers.feed(server.client.taken())
    assert [words[1] for words in answers if words[0] == b"1"] == [b"OK"]


def test_one_that_failed_by_a_fault_is_never_answered_again() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    exchange = next(iter(server.dispatcher._open_requests._exchanges.values()))
    server.dispatcher._fail_after_internal_error(exchange)
    server.settle()
    server.end(attempt.name)  # its run was under way all the same
    server.settle()
    assert [words[1] for words in attempt.answers] == [b"FAILED"]


PARTS = [
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


def part_of(controller: Controller, name: str) -> Any:
    return getattr(controller, f"_{name}", None) or getattr(controller, name)


@pytest.mark.parametrize("times", [1, 10**9], ids=["once", "always"])
@pytest.mark.parametrize("name", PARTS)
def test_a_fault_in_one_part_of_the_controller_takes_no_answer_of_the_round(name: str, times: int) -> None:
    """A division by zero in the review of connections took the answers of all requests of its round."""
    server = SimulatedServer(replace(SERVER_SETTINGS, advertisement=AdvertisementKind.CREDIT))
    controller, real_end_round = server.dispatcher._controller, server.dispatcher.end_round
    assert controller is not None
    faults = 0

    def end_round() -> None:
        nonlocal faults
        try:
            real_end_round()
        except ZeroDivisionError:
            faults += 1

    server.dispatcher.end_round = end_round  # type: ignore[method-assign]
    part_name, method = name.split(".")
    part = part_of(controller, part_name)
    real, left = getattr(part, method), times

    def fault(*values: object) -> Any:
        nonlocal left
        left -= 1
        if left < 0:
            return real(*values)
        raise ZeroDivisionError

    setattr(part, method, fault)
    # The controller took its steps before the fault was put in.
    controller._steps = tuple(fault if step == real else step for step in controller._steps)
    for number in range(6):
        server.call(b"record" if number % 2 else b"lookup", b"%d" % number if number % 2 else b"")
    server.settle()
    for _ in range(4):
        for request in list(server.interpreter.running):
            server.end(request)
        server.settle()
    server.call(b"lookup")
    server.wait(6.0)
    assert faults
    assert [len(attempt.answers) for attempt in server.attempts] == [1] * 7
    if times == 1 and name != "context.begin_batch":
        served = [attempt for attempt in server.attempts if attempt.answers[0][1] == b"OK"]
        assert len(served) >= 3
