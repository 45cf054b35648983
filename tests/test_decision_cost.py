"""What a decision costs does not grow with what went before it. Steps are counted, not seconds."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from simulated_server import World
from test_service_rules import PLAIN

from sablewheel.overload import interface
from sablewheel.overload.context import DecisionContext
from sablewheel.overload.dependency_capacity import DependencyCapacity
from sablewheel.overload.interface import Client, Dependency, Outcome, Request, ServerSettings

SPAN_S, LINGER_S, CAPACITY = 2.0, 0.2, 3.0
WITH_CALLS = replace(
    PLAIN,
    dependency=Dependency(1e4, 1000.0, LINGER_S),
    memory_kb=1e9,
    max_concurrency_per_core=1e4,
    min_batch_interval_s=1e-3,
)


def lines_of(action: Callable[[], object]) -> int:
    """How many lines of Python an action runs."""
    lines = 0

    def count(*_: Any) -> Any:
        nonlocal lines
        lines += 1
        return count

    previous = sys.gettrace()
    sys.settrace(count)
    try:
        action()
    finally:
        sys.settrace(previous)
    return lines


def cost_of_a_call(past_calls: int, outcome: Outcome) -> int:
    """Lines run for one request that needs a call, after so many calls that ended."""
    world = World(WITH_CALLS)
    for _ in range(past_calls):
        fact = world.arrive(0)
        world.batch([])
        world.need(fact)
        world.batch([])
        world.call_back(fact, outcome)
        world.batch([])
        if outcome is Outcome.SUCCEEDED:
            world.finish(fact, Outcome.SUCCEEDED)
        world.batch([])
        world.facts.pop(fact.request)
        world.crowd.clear()
        world.in_hand.clear()
    last = world.arrive(0)
    world.batch([])
    world.need(last)
    events, world.later = world.later, []
    return lines_of(lambda: world.controller.handle_events(world.now, events))


@pytest.mark.parametrize("outcome", [Outcome.SUCCEEDED, Outcome.TIMED_OUT])
def test_a_decision_costs_no_more_behind_a_hundred_times_the_past_calls(outcome: Outcome) -> None:
    """Each question for room at the dependency summed over all calls of the span."""
    assert cost_of_a_call(1000, outcome) <= 2 * cost_of_a_call(10, outcome)


CALL_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["open", "end", "abandon", "pass", "retune"]),
        st.integers(0, 5),
        st.integers(0, 3_000_000),
    ),
    max_size=80,
)


@settings(max_examples=200)
@given(CALL_EVENTS)
@example([("open", 0, 0)] * 2 + [("open", 0, 2_000_000), ("retune", 0, 0)])  # no room, so no recount
def test_running_sums_of_calls_are_those_counted_anew(events: list[tuple[str, int, int]]) -> None:
    context = DecisionContext(with_dependency(SPAN_S))
    capacity = DependencyCapacity(context)
    in_flight: list[Request] = []
    for what, which, microseconds in events:
        if what == "open":
            request = Request(PLAIN.request_classes[0], Client(), None, context.now, 1.0)
            capacity.open_call(request, microseconds / 1e6)
            in_flight.append(request)
        elif what in ("end", "abandon") and in_flight:
            capacity.close_call(in_flight.pop(which % len(in_flight)), what == "abandon")
        elif what == "pass":
            context.begin_batch(context.now + microseconds / 1e6)
        elif what == "retune":
            context.update_settings(with_dependency(1.0 + which))
        capacity.fits(0.1)
        dependency = context.settings.dependency
        assert dependency is not None
        span_s = dependency.span_s
        booked_s = sum(min(took_s, span_s) for _, took_s in capacity._past_calls)
        booked_s += sum(min(timeout_s + LINGER_S, span_s) for timeout_s in capacity._timeouts.values())
        assert capacity._occupied_ns / 1e9 == pytest.approx(booked_s, abs=1e-6)


def with_dependency(span_s: float) -> ServerSettings:
    return replace(PLAIN, dependency=Dependency(CAPACITY, span_s, LINGER_S))


def test_keys_that_expire_together_do_so_in_the_order_of_their_reservation() -> None:
    """The heap broke ties by a memory address, so that equal days differed from run to run."""
    world = World(replace(PLAIN, memory_kb=4000.0))
    facts = [world.arrive(1, idempotency_key=number) for number in range(1, 40)]
    world.batch([])
    keys = world.controller._keys
    reserved = [fact.request for fact in facts if fact.request.holds_key]
    expired: list[Request] = []
    keys._remove = lambda request: bool(expired.append(request))  # type: ignore[method-assign, func-returns-value]
    world.controller.handle_events(world.now + 7.0, [interface.TimerFired()])
    assert len(reserved) > 5 and expired[: len(reserved)] == reserved
