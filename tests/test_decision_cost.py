"""The cost of a decision does not grow with the number of past events; counted in executed lines."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from simulated_server import ControllerSimulation
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
    """Return how many lines of Python an action executes."""
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
    """Return the lines executed for one request that needs a call, after `past_calls` ended calls."""
    simulation = ControllerSimulation(WITH_CALLS)
    for _ in range(past_calls):
        state = simulation.arrive(0)
        simulation.handle_batch([])
        simulation.need_call(state)
        simulation.handle_batch([])
        simulation.end_call(state, outcome)
        simulation.handle_batch([])
        if outcome is Outcome.SUCCEEDED:
            simulation.finish(state, Outcome.SUCCEEDED)
        simulation.handle_batch([])
        simulation.states.pop(state.request)
        simulation.run_intervals.clear()
        simulation.call_intervals.clear()
    last_state = simulation.arrive(0)
    simulation.handle_batch([])
    simulation.need_call(last_state)
    events, simulation.pending_events = simulation.pending_events, []
    return lines_of(lambda: simulation.controller.handle_events(simulation.now, events))


@pytest.mark.parametrize("outcome", [Outcome.SUCCEEDED, Outcome.TIMED_OUT])
def test_the_cost_of_a_decision_does_not_grow_with_the_number_of_past_calls(outcome: Outcome) -> None:
    """Each check of the dependency's capacity summed over all calls of the span."""
    assert cost_of_a_call(1000, outcome) <= 2 * cost_of_a_call(10, outcome)


CALL_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["open", "end", "abandon", "pass", "update_settings"]),
        st.integers(0, 5),
        st.integers(0, 3_000_000),
    ),
    max_size=80,
)


@settings(max_examples=200)
@given(CALL_EVENTS)
@example(
    [("open", 0, 0)] * 2 + [("open", 0, 2_000_000), ("update_settings", 0, 0)]
)  # no capacity, so no recomputation
def test_the_running_sum_of_calls_equals_a_recomputed_sum(events: list[tuple[str, int, int]]) -> None:
    context = DecisionContext(with_dependency(SPAN_S))
    capacity = DependencyCapacity(context)
    in_flight: list[Request] = []
    for event, which, microseconds in events:
        if event == "open":
            request = Request(PLAIN.request_classes[0], Client(), None, context.now, 1.0)
            capacity.open_call(request, microseconds / 1e6)
            in_flight.append(request)
        elif event in ("end", "abandon") and in_flight:
            capacity.close_call(in_flight.pop(which % len(in_flight)), event == "abandon")
        elif event == "pass":
            context.begin_batch(context.now + microseconds / 1e6)
        elif event == "update_settings":
            context.update_settings(with_dependency(1.0 + which))
        capacity.fits(0.1)
        dependency = context.settings.dependency
        assert dependency is not None
        span_s = dependency.span_s
        occupied_s = sum(min(took_s, span_s) for _, took_s in capacity._past_calls)
        occupied_s += sum(min(timeout_s + LINGER_S, span_s) for timeout_s in capacity._timeouts.values())
        assert capacity._occupied_ns / 1e9 == pytest.approx(occupied_s, abs=1e-6)


def with_dependency(span_s: float) -> ServerSettings:
    return replace(PLAIN, dependency=Dependency(CAPACITY, span_s, LINGER_S))


def test_keys_with_equal_expiry_times_expire_in_the_order_of_reservation() -> None:
    """The heap broke ties by memory address, so that identical simulations differed from run to run."""
    simulation = ControllerSimulation(replace(PLAIN, memory_kb=4000.0))
    states = [simulation.arrive(1, idempotency_key=number) for number in range(1, 40)]
    simulation.handle_batch([])
    keys = simulation.controller._keys
    reserved = [state.request for state in states if state.request.holds_key]
    expired: list[Request] = []
    keys._remove = lambda request: bool(expired.append(request))  # type: ignore[method-assign, func-returns-value]
    simulation.controller.handle_events(simulation.now + 7.0, [interface.TimerFired()])
    assert len(reserved) > 5 and expired[: len(reserved)] == reserved
