"""Seeded random event sequences keep the four rules; single cases of the controller's decisions."""

from __future__ import annotations

import sys
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st
from simulated_server import (
    CALLING,
    COALESCED,
    FINISHED,
    QUEUED,
    RUNNING,
    WAITING_TO_CALL,
    ControllerSimulation,
    RequestState,
    raise_errors,
)

from sablewheel.overload import interface
from sablewheel.overload.controller import Controller
from sablewheel.overload.core_usage import MAX_BUSY_RATIO
from sablewheel.overload.interface import (
    AdvertisementKind,
    Cancellation,
    Client,
    Dependency,
    Idempotency,
    Outcome,
    Request,
    RequestClass,
    ServerSettings,
    Tenant,
)
from sablewheel.overload.service_times import Samples

PLAIN = ServerSettings(
    request_classes=(
        RequestClass(Idempotency.IDEMPOTENT, 1.0, 4.0, calls_dependency=True, skip_value_ratio=0.5),
        RequestClass(Idempotency.KEYED, 1.5, 4.0, idempotency_window_s=6.0, calls_dependency=True),
        RequestClass(Idempotency.NON_IDEMPOTENT, 1.0, 3.0, calls_dependency=True),
    ),
    cores=2,
    memory_kb=400.0,
    running_memory_factor=4.0,
    idempotency_key_kb=2.0,
    clients=2,
    min_batch_interval_s=0.005,
    answer_slack_s=0.06,
    drain_grace_s=1.0,
    max_concurrency_per_core=3.0,
    concurrency_span_s=1.0,
    cold_speed_ratio=0.2,
    warm_up_s=5.0,
    max_retry_after_s=1.0,
    advertisement_ttl_s=1.0,
)
DEPENDENCIES = [None, Dependency(0.4, 2.0, 0.2), Dependency(3.0, 2.0, 0.2), Dependency()]
SERVER_SETTINGS = st.builds(
    lambda cancellation, advertisement, dependency, cold, memory_kb, quota, propagated, clients: replace(
        PLAIN,
        cancellation=cancellation,
        advertisement=advertisement,
        dependency=dependency,
        starts_cold=cold,
        memory_kb=memory_kb,
        tenants=(Tenant(quota), Tenant(quota)) if quota else (),
        over_quota_weight=0.05,
        deadline_propagated=propagated,
        clients=clients,
        idle_timeout_s=30.0,
    ),
    st.sampled_from(Cancellation),
    st.sampled_from(AdvertisementKind),
    st.sampled_from(DEPENDENCIES),
    st.booleans(),
    st.sampled_from([60.0, 400.0, 4000.0]),
    st.sampled_from([0.0, 0.5, 50.0]),
    st.booleans(),
    st.sampled_from([2, 400]),
)
EVENT_SEQUENCES = st.lists(
    st.tuples(
        st.sampled_from(
            ["arrive"] * 6 + ["finish"] * 3 + ["need", "need", "back", "back", "gone", "drain", "die"]
        ),
        st.integers(0, 2),
        st.integers(0, 7),
        st.sampled_from([0.0, 0.0, 0.02, 0.1, 0.4, 1.5]),
        st.booleans(),
    ),
    max_size=60,
)


def pick(states: list[Any], which: int) -> Any:
    return states[which % len(states)] if states else None


def step(simulation: ControllerSimulation, event: str, request_class: int, which: int, span: float) -> None:
    if event == "arrive":
        remaining_s = (
            [0.05, 0.5, 2.0, 4.0][which % 4] if simulation.server_settings.deadline_propagated else None
        )
        idempotency_key = which + 1 if request_class == 1 else 0
        is_retry = bool(which % 3 == 0)
        simulation.arrive(
            request_class,
            5.0 + 3 * which,
            [0.0, 0.2, 5.0][which % 3],
            idempotency_key,
            remaining_s=remaining_s,
            is_retry=is_retry,
        )
    elif event == "drain" and simulation.stop_at == float("inf") and which > 5:
        simulation.drain([0.3, 2.5][request_class % 2])
    elif event == "gone" and (
        state := pick([other for other in simulation.states.values() if not other.answered], which)
    ):
        simulation.abandon(state)
    elif event == "need" and (state := pick(simulation.in_stage(RUNNING), which)):
        simulation.need_call(state)
    elif event == "back" and (state := pick(simulation.in_stage(CALLING), which)):
        outcomes = [
            Outcome.SUCCEEDED,
            Outcome.ERROR,
            Outcome.REJECTED,
            Outcome.UNREACHABLE,
            Outcome.CONNECTION_LOST,
        ]
        simulation.end_call(state, outcomes[which % 5])
    elif event == "finish" and (state := pick(simulation.in_stage(RUNNING, COALESCED), which)):
        simulation.finish(state, Outcome.ERROR if which == 7 else Outcome.SUCCEEDED)


# Pinned: without a seed, hypothesis derives it from the test's source, so renaming would change the examples.
RANDOM_RUNS_SEED = int(
    "5f315ef6513ec165ab599e3ee32c99d88f45a56af403a38823b05f969c548c196b1589149e9ef5bda6179dd256e6ae2f",
    16,
)


@settings(
    max_examples=300,
    derandomize=True,
    deadline=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
    phases=(Phase.generate, Phase.shrink),
)
@seed(RANDOM_RUNS_SEED)
@given(SERVER_SETTINGS, EVENT_SEQUENCES, st.sampled_from([0.0, 0.03]))
def test_random_runs_keep_the_four_rules(
    server_settings: ServerSettings, steps: list[Any], late: float
) -> None:
    play(server_settings, steps, late)


def test_duplicates_of_a_queued_request_stay_within_the_memory_limit() -> None:
    """A queued duplicate took memory that no guard had counted."""
    tight = replace(PLAIN, memory_kb=60.0, over_quota_weight=0.05, idle_timeout_s=30.0)
    arrivals = [
        (0, 0),
        (0, 0),
        (1, 3),
        (1, 3),
    ]  # request class, and index of the body size and idempotency key
    play(tight, [("arrive", request_class, which, 0.0, False) for request_class, which in arrivals], 0.0)


@pytest.mark.parametrize("memory_kb", [60.0, 400.0, 4000.0])
def test_a_duplicate_of_a_failed_duplicate_is_linked_to_the_request_that_ran(memory_kb: float) -> None:
    """The third attempt was treated as an original, because the second one had never started."""
    server_settings = replace(PLAIN, memory_kb=memory_kb)
    ran = [("arrive", 1, 3, 0.0, False), ("finish", 1, 7, 0.0, False)]  # the run ends in an error
    repeats = [("arrive", 1, 3, 0.0, True), ("arrive", 1, 3, 0.0, False)]  # in one batch
    play(server_settings, [*ran, *repeats], 0.0)


@pytest.mark.parametrize("memory_kb", [60.0])
def test_a_duplicate_of_a_duplicate_without_memory_is_not_rejected(memory_kb: float) -> None:
    """The second of two attempts in one batch was rejected although their original had run."""
    tight = replace(PLAIN, memory_kb=memory_kb, idle_timeout_s=30.0)
    read, keyed = ("arrive", 0, 0, 0.0, False), ("arrive", 1, 1, 0.0, False)
    play(tight, [read, keyed, *[read] * 6, ("arrive", 1, 1, 0.0, True), keyed], 0.0)


def test_an_attempt_after_the_window_of_the_run_may_be_rejected() -> None:
    """Only attempts within the window must not be rejected; a later one may even run.

    The checks of the simulation counted a run without regard to its window.
    """
    simulation = ControllerSimulation(replace(PLAIN, memory_kb=60.0))
    admit(simulation, 1, idempotency_key=1)
    simulation.wait(6.02)
    late = [admit(simulation, 1, kb=50.0, idempotency_key=1)]
    assert [state.stage for state in late] == [FINISHED]
    simulation = ControllerSimulation(replace(PLAIN, memory_kb=60.0))
    first = admit(simulation, 1, idempotency_key=1)
    simulation.wait(5.9)
    within = simulation.arrive(1, kb=50.0, idempotency_key=1)
    with pytest.raises(AssertionError, match="rejected a request that has run"):
        simulation._apply(interface.Reject(within.request, 0.5))
    assert first.ran


def play(server_settings: ServerSettings, steps: list[Any], late: float) -> None:
    """Apply the steps to one controller; the simulation checks the four rules after each batch."""
    simulation = ControllerSimulation(server_settings)
    for event, request_class, which, span, same_batch in steps:
        if simulation.now >= simulation.stop_at:
            return
        if event == "die" and which == 0:  # killed: its open requests need no answer from the new process
            simulation = ControllerSimulation(replace(server_settings, starts_cold=True), seed=which)
        step(simulation, event, request_class, which, span)
        if not same_batch:
            simulation.handle_batch([])
        if span and not (same_batch and span < 0.1):
            simulation.wait(min(span, simulation.stop_at - simulation.now), late)
    if simulation.now < simulation.stop_at:
        simulation.wait(min(6.0, simulation.stop_at - simulation.now), late)
    assert all(state.answered for state in simulation.states.values())


def actions(simulation: ControllerSimulation) -> list[interface.Action]:
    return simulation.handle_batch([])


def admit(simulation: ControllerSimulation, request_class: int, **request_fields: Any) -> RequestState:
    state = simulation.arrive(request_class, **request_fields)
    actions(simulation)
    return state


def test_queued_requests_start_oldest_first_as_runs_end() -> None:
    simulation = ControllerSimulation(PLAIN)
    states = [simulation.arrive(0) for _ in range(4)]
    actions(simulation)
    assert [state.stage for state in states] == [RUNNING, RUNNING, QUEUED, QUEUED]
    simulation.finish(states[0], Outcome.SUCCEEDED)
    actions(simulation)
    assert [state.stage for state in states[1:]] == [RUNNING, RUNNING, QUEUED]


def test_a_duplicate_of_a_request_that_ran_gets_its_result() -> None:
    simulation = ControllerSimulation(PLAIN)
    first = admit(simulation, 1, idempotency_key=3)
    simulation.finish(first, Outcome.SUCCEEDED)
    duplicate = admit(simulation, 1, idempotency_key=3)
    assert duplicate.stage == COALESCED


def test_a_queued_request_whose_objective_is_out_of_reach_is_rejected_at_once() -> None:
    simulation = ControllerSimulation(PLAIN)
    states = [simulation.arrive(0) for _ in range(3)]
    actions(simulation)
    simulation.wait(1.1)
    assert states[2].stage == FINISHED and not states[2].ran


def test_calls_are_made_before_expired_budgets_are_handled() -> None:
    """A request without remaining budget lost its call although the dependency had capacity."""
    simulation = ControllerSimulation(replace(PLAIN, dependency=Dependency(3.0, 2.0, 0.2)))
    state = admit(simulation, 0, remaining_s=0.01)
    simulation.need_call(state)
    actions(simulation)
    assert state.stage == CALLING


def test_ended_calls_count_without_the_linger_time() -> None:
    """Each ended call counted with the linger time of an abandoned one, which used up the share."""
    simulation = ControllerSimulation(replace(PLAIN, dependency=Dependency(0.4, 2.0, 0.2)))
    for _ in range(5):
        state = admit(simulation, 0)
        simulation.need_call(state)
        actions(simulation)
        assert state.stage == CALLING
        simulation.end_call(state, Outcome.SUCCEEDED)
        actions(simulation)
        simulation.finish(state, Outcome.SUCCEEDED)


WITHOUT_SKIPPING = replace(  # an answer without its call has no value
    PLAIN,
    request_classes=(
        RequestClass(Idempotency.IDEMPOTENT, 3.0, 4.0, calls_dependency=True),
        *PLAIN.request_classes[1:],
    ),
    dependency=Dependency(3.0, 2.0, 0.2),
)


def refuse_all_calls(simulation: ControllerSimulation, seconds: float, step_s: float) -> int:
    """Refuse each call at once for `seconds`; return how many calls were made."""
    calls, until = 0, simulation.now + seconds
    while simulation.now < until:
        for state in simulation.in_stage(CALLING):
            calls += 1
            simulation.pending_events.append(
                interface.DependencyCallEnded(state.request, 0.0004, Outcome.REJECTED)
            )
            state.stage = WAITING_TO_CALL
        simulation.wait(step_s)
    return calls


def run_with_call(simulation: ControllerSimulation, took_s: float) -> None:
    """Run one request whose call takes `took_s` seconds."""
    state = admit(simulation, 0)
    simulation.need_call(state)
    actions(simulation)
    simulation.wait(took_s)
    simulation.pending_events.append(interface.DependencyCallEnded(state.request, took_s, Outcome.SUCCEEDED))
    state.stage = RUNNING
    actions(simulation)
    simulation.finish(state, Outcome.SUCCEEDED)
    actions(simulation)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.UNREACHABLE])
def test_a_refused_call_is_not_retried_at_once(outcome: Outcome) -> None:
    """Immediate retries to a full dependency caused 11,000 refused calls a second instead of 160.

    The server did nothing else meanwhile.
    """
    simulation = ControllerSimulation(WITHOUT_SKIPPING)
    for _ in range(10):
        run_with_call(simulation, 0.1)
    state = admit(simulation, 0)
    simulation.need_call(state)
    actions(simulation)
    assert state.stage == CALLING
    state.stage = WAITING_TO_CALL
    simulation.pending_events.append(interface.DependencyCallEnded(state.request, 0.0004, outcome))
    actions(simulation)
    assert state.stage == WAITING_TO_CALL
    simulation.wait(0.05)
    assert state.stage == WAITING_TO_CALL
    simulation.wait(0.1)
    assert state.stage == CALLING


def test_refusals_do_not_count_as_call_durations() -> None:
    """Refusals after 0.4 ms shortened the call timeout, so that all calls timed out.

    No call then ended with a duration that would have corrected it.
    """
    simulation = ControllerSimulation(WITHOUT_SKIPPING)
    for _ in range(10):
        run_with_call(simulation, 0.1)
    for _ in range(3):
        simulation.need_call(admit(simulation, 0))
    refused = refuse_all_calls(simulation, 2.0, 0.005)
    assert 5 <= refused <= 3 * 2.0 / 0.1 + 3
    simulation.wait(3.0)
    last = admit(simulation, 0)
    simulation.need_call(last)
    (call,) = [action for action in actions(simulation) if isinstance(action, interface.CallDependency)]
    assert call.timeout_s >= 0.1


@pytest.mark.parametrize("cancellation", Cancellation)
def test_a_run_is_cancelled_if_possible_when_its_client_leaves(cancellation: Cancellation) -> None:
    simulation = ControllerSimulation(replace(PLAIN, cancellation=cancellation))
    state = admit(simulation, 0)
    simulation.abandon(state)
    actions(simulation)
    assert state.stage == (RUNNING if cancellation is Cancellation.UNSUPPORTED else FINISHED)
    assert WAITING_TO_CALL not in {other.stage for other in simulation.states.values()}


def test_an_idempotency_key_that_expires_is_not_released() -> None:
    """A duplicate that arrives before the expiry and is read after it would lose its original and run."""
    simulation = ControllerSimulation(PLAIN)
    admit(simulation, 1, idempotency_key=3)
    simulation.wait(7.0)
    late = admit(simulation, 1, idempotency_key=3, waited=1.5)
    assert not late.ran


def test_the_observed_client_timeout_is_used_if_the_deadline_is_not_propagated() -> None:
    """Clients with short timeouts left, but an overloaded server kept running their requests.

    The clients neither marked retries nor sent their deadlines.
    """
    simulation = ControllerSimulation(PLAIN)
    for _ in range(8):
        state = admit(simulation, 0)
        simulation.wait(0.2)
        simulation.abandon(state)
        simulation.finish(state, Outcome.SUCCEEDED)
        actions(simulation)
    for _ in range(4):
        simulation.arrive(1)
    late = admit(simulation, 0, waited=0.25)
    assert late.stage == FINISHED and not late.ran
    other_class = admit(simulation, 1, waited=0.25)
    assert other_class.stage == QUEUED


@pytest.mark.parametrize("is_retry", [False, True])
def test_rejections_advise_against_retrying_elsewhere_if_many_requests_are_retries(is_retry: bool) -> None:
    """Rejected requests moved back and forth between two overloaded servers, which had to read each."""
    simulation = ControllerSimulation(replace(PLAIN, deadline_propagated=True, marks_retries=True))
    for _ in range(20):
        simulation.arrive(0, remaining_s=4.0, is_retry=is_retry)
    actions(simulation)
    simulation.wait(0.6)
    state = simulation.arrive(0, remaining_s=0.8)
    rejected = [
        action
        for action in actions(simulation)
        if isinstance(action, interface.Reject) and action.request is state.request
    ]
    assert [action.no_retry_elsewhere for action in rejected] == [is_retry]


def test_a_request_within_its_quota_is_not_rejected_because_of_queued_requests_over_theirs() -> None:
    """Requests over quota start last; their age in the queue caused rejections of requests within quota."""
    server_settings = replace(PLAIN, tenants=(Tenant(0.1), Tenant(50.0)), over_quota_weight=0.05)
    simulation = ControllerSimulation(server_settings)
    over_quota = [simulation.arrive(0) for _ in range(4)]
    actions(simulation)
    simulation.wait(0.95)
    state = admit(simulation, 1)
    assert [other.stage for other in over_quota] == [
        RUNNING,
        RUNNING,
        QUEUED,
        QUEUED,
    ] and state.stage == QUEUED


def serve_one(
    controller: Controller, now: float, client: Client, open_connections: float
) -> list[interface.Action]:
    """Handle the arrival of a request with gauges, and its end 0.05 s later."""
    request = Request(PLAIN.request_classes[1], client, None, now, 1.0)
    events: list[interface.Event] = [
        interface.RequestArrived(request),
        interface.TimerFired(0.5, open_connections),
    ]
    ends: list[interface.Event] = [interface.RunEnded(request, 0.05, Outcome.SUCCEEDED)]
    return raise_errors(controller.handle_events(now, events) + controller.handle_events(now + 0.05, ends))


@pytest.mark.parametrize(("client_count", "growing"), [(400, False), (400, True), (12, False)])
def test_idle_connections_are_closed_soon_if_few_clients_return(client_count: int, growing: bool) -> None:
    """A thousand clients came once each; their connections filled the table and kept cores idle."""
    controller = Controller(replace(PLAIN, idle_timeout_s=30.0, clients=400), 7)
    clients = [Client() for _ in range(client_count)]
    idle_timeouts_s: list[float] = []
    for number in range(100):
        open_connections = 100.0 + number if growing else 70.0
        actions = serve_one(
            controller, 100.0 + 0.2 * number, clients[number % client_count], open_connections
        )
        idle_timeouts_s += [
            action.idle_timeout_s for action in actions if isinstance(action, interface.CloseIdle)
        ]
    assert idle_timeouts_s == ([PLAIN.answer_slack_s] if client_count == 400 and not growing else [])
    for number in range(100):  # now the same few clients return repeatedly
        actions = serve_one(controller, 130.0 + 0.2 * number, clients[number % 4], 70.0)
        idle_timeouts_s += [
            action.idle_timeout_s for action in actions if isinstance(action, interface.CloseIdle)
        ]
    assert idle_timeouts_s[-1:] in ([], [30.0])


def simulation_with_samples(server_settings: ServerSettings = PLAIN) -> ControllerSimulation:
    """Return a simulation in which runs took exactly as long as hinted, from 0.1 s to 1 s."""
    simulation = ControllerSimulation(server_settings)
    for number in range(30):
        state = admit(simulation, 1, cost_hint=0.1 + 0.1 * (number % 10))
        state.stage = FINISHED
        state.answered = True
        simulation.pending_events.append(
            interface.RunEnded(state.request, state.request.cost_hint or 0.0, Outcome.SUCCEEDED)
        )
        actions(simulation)
        simulation.wait(0.01)
    return simulation


def test_the_wait_within_the_objective_depends_on_the_cost_hint() -> None:
    """The class's 75th percentile was used for all requests.

    Small requests were rejected, and large ones ended after their objective.
    """
    simulation = simulation_with_samples()
    running = [admit(simulation, 1, cost_hint=0.5) for _ in range(2)]
    large, small = admit(simulation, 1, cost_hint=1.6), admit(simulation, 1, cost_hint=0.1)
    assert [state.stage for state in (*running, large, small)] == [RUNNING, RUNNING, FINISHED, QUEUED]


def test_the_part_of_a_burst_that_cannot_start_in_time_is_rejected_at_once() -> None:
    """All of a burst was queued, since none of it had aged yet, and was rejected only later."""
    simulation = simulation_with_samples()
    burst = [simulation.arrive(1, cost_hint=0.5) for _ in range(9)]
    actions(simulation)
    assert [state.stage for state in burst[:4]] == [RUNNING, RUNNING, QUEUED, QUEUED]
    assert all(state.stage == FINISHED and not state.ran for state in burst[5:])


def test_no_request_is_queued_behind_one_that_has_used_half_of_its_slack() -> None:
    """Under sustained overload all runs started at the last moment, and a third of them ended too late."""
    simulation = simulation_with_samples()
    first = [admit(simulation, 1, cost_hint=0.4) for _ in range(3)]
    simulation.wait(0.4)
    soon = admit(simulation, 1, cost_hint=0.2)
    simulation.wait(0.3)
    late = admit(simulation, 1, cost_hint=0.2)
    assert [state.stage for state in (*first, soon, late)] == [RUNNING, RUNNING, QUEUED, QUEUED, FINISHED]


def test_a_retry_with_a_shorter_remaining_wait_counts_as_older() -> None:
    """A retry with less remaining time than a first attempt counted as new after its objective had passed."""
    simulation = simulation_with_samples(replace(PLAIN, deadline_propagated=True, marks_retries=True))
    for _ in range(2):
        admit(simulation, 1, cost_hint=0.5, remaining_s=3.0)
    new = admit(simulation, 1, cost_hint=0.2, remaining_s=3.0)
    old = admit(simulation, 1, cost_hint=0.2, remaining_s=1.6, is_retry=True)
    assert (new.stage, old.stage) == (QUEUED, FINISHED)


def test_an_attempt_is_queued_only_if_its_run_can_end_before_its_client_leaves() -> None:
    """Half of the attempts had a remaining wait below the objective, and ran or were queued beyond it."""
    simulation = simulation_with_samples(replace(PLAIN, deadline_propagated=True))
    for _ in range(2):
        admit(simulation, 1, cost_hint=0.5, remaining_s=3.0)
    long_wait, short_wait = (
        admit(simulation, 1, cost_hint=0.3, remaining_s=remaining_s) for remaining_s in (3.0, 0.35)
    )
    assert (long_wait.stage, short_wait.stage) == (QUEUED, FINISHED)


def test_a_measure_keeps_enough_samples_for_a_99th_percentile() -> None:
    """Only half of the samples were kept by mistake, which no measurement showed."""
    samples = Samples()
    for value in range(200):
        samples.add(float(value))
    assert (samples.quantile(0.0), samples.quantile(0.99)) == (100.0, 199.0)


def test_a_few_slow_runs_in_the_samples_do_not_prevent_queueing() -> None:
    """After a burst, the p99 of a few slow runs caused the rejection of all requests that had to wait.

    Cores were idle meanwhile.
    """
    simulation = ControllerSimulation(
        replace(
            PLAIN,
            request_classes=(RequestClass(Idempotency.IDEMPOTENT, 1.0, 4.0), *PLAIN.request_classes[1:]),
        )
    )
    for took_s in [0.2] * 9 + [6.0]:
        state = admit(simulation, 0)
        state.stage = FINISHED
        state.answered = True
        simulation.pending_events.append(interface.RunEnded(state.request, took_s, Outcome.SUCCEEDED))
        actions(simulation)
    states = [simulation.arrive(0) for _ in range(3)]
    actions(simulation)
    simulation.wait(0.1)
    states.append(simulation.arrive(0))
    actions(simulation)
    assert [state.stage for state in states] == [RUNNING, RUNNING, QUEUED, QUEUED]


def test_requests_at_dependency_calls_free_their_cores() -> None:
    """Two requests at a slow dependency used up the credit of a 2-core server, and its cores were idle."""
    simulation = ControllerSimulation(replace(PLAIN, dependency=Dependency(3.0, 2.0, 0.2)))
    states = [simulation.arrive(0) for _ in range(2)]
    actions(simulation)
    simulation.arrive(0, kb=5000.0)  # rejected for its memory
    for state in states:
        simulation.need_call(state)
    actions(simulation)
    others = [simulation.arrive(0) for _ in range(2)]
    actions(simulation)
    assert [state.stage for state in others] == [RUNNING, RUNNING]


@pytest.mark.parametrize("skip", [0.0, 0.5])
def test_no_request_runs_until_a_call_that_cannot_be_made_in_time(skip: float) -> None:
    """While the dependency was slow, a quarter of the requests ran and then failed waiting for the call."""
    request_classes = (
        RequestClass(Idempotency.IDEMPOTENT, 2.0, 4.0, calls_dependency=True, skip_value_ratio=skip),
        *PLAIN.request_classes[1:],
    )
    simulation = ControllerSimulation(
        replace(PLAIN, request_classes=request_classes, cores=1, dependency=Dependency(0.2, 2.0, 0.0))
    )
    state = admit(simulation, 0)
    simulation.need_call(state)
    actions(simulation)
    simulation.controller.dependency_capacity.durations_s.add(0.3)
    others = [simulation.arrive(0), simulation.arrive(0)]
    actions(simulation)
    assert [state.stage for state in others] == ([RUNNING, QUEUED] if skip else [RUNNING, FINISHED])


def test_a_shutdown_notice_keeps_deadlines_that_are_before_the_stop() -> None:
    """Client timeouts were confused with deadlines: requests were answered too late or too early."""
    simulation = ControllerSimulation(replace(PLAIN, deadline_propagated=True))
    for request_class, remaining_s in [(2, 1.2), (2, 0.9), (1, 0.9), (0, 0.9), (2, 4.0)]:
        admit(simulation, request_class, remaining_s=remaining_s)
        simulation.wait(0.05)
    for state in simulation.in_stage(RUNNING):
        simulation.finish(state, Outcome.SUCCEEDED)
    actions(simulation)
    simulation.drain(3.5)
    simulation.wait(3.4)


@pytest.mark.parametrize(("request_class", "kb", "reserved"), [(0, 10.0, 1), (2, 10.0, 0), (0, 399.0, 0)])
def test_coalesced_reads_pass_the_memory_guard_and_may_run_again(
    request_class: int, kb: float, reserved: int
) -> None:
    """Reads were added to the table although memory was full, and so were non-idempotent requests."""
    simulation = ControllerSimulation(replace(PLAIN, coalesce_reads_for_s=1.0, idempotency_key_kb=2.0))
    simulation.arrive(request_class, kb, subject="one")
    assert sum(isinstance(action, interface.ReserveKey) for action in actions(simulation)) == reserved


def test_a_request_waits_for_a_call_no_longer_than_its_budget() -> None:
    """Requests long past their objectives headed the queue to a slow dependency; all behind them failed."""
    request_classes = (
        RequestClass(Idempotency.IDEMPOTENT, 1.0, 8.0, calls_dependency=True),
        *PLAIN.request_classes[1:],
    )
    simulation = ControllerSimulation(
        replace(PLAIN, request_classes=request_classes, dependency=Dependency(0.1, 2.0, 0.2))
    )
    state = admit(simulation, 0)
    simulation.need_call(state)
    simulation.wait(4.2)
    assert state.stage == FINISHED


def cost_of_a_batch(clients: int) -> int:
    """Return the lines executed for one arrival after one request from each of `clients` clients."""
    simulation, lines = (
        ControllerSimulation(replace(PLAIN, clients=clients, memory_kb=1e6, advertisement_ttl_s=100.0)),
        0,
    )
    for number in range(clients):
        request = simulation.arrive(1, idempotency_key=number + 1).request
        request.client = simulation.clients[number]
        actions(simulation)

    def count(*_: Any) -> Any:
        nonlocal lines
        lines += 1
        return count

    sys.settrace(count)
    simulation.controller.handle_events(
        simulation.now, [interface.RequestArrived(replace(request, stage=interface.Stage.QUEUED))]
    )
    sys.settrace(None)
    return lines


def test_the_cost_of_a_batch_does_not_grow_with_a_thousand_clients() -> None:
    """Each batch summed over all clients ever seen to compute the share of each."""
    assert cost_of_a_batch(1000) < 2 * cost_of_a_batch(20)


def test_runs_that_block_off_the_cores_let_more_runs_start_within_the_guards() -> None:
    """Runs that waited 1.1 s for the disk without an event kept two-core servers at two runs and idle cores.

    The part of a core that a run uses follows from the runnable work, or from the CPU utilization: then the
    number of runs may double each time, up to three quarters of the cores, unless all runs demand a core now.
    Without gauges no further runs start.
    """
    plain = replace(
        PLAIN,
        request_classes=(RequestClass(Idempotency.IDEMPOTENT, 3.0, 6.0),),
        max_concurrency_per_core=6.0,
        memory_kb=4000.0,
    )
    absent = float("inf")
    for busy, runnable, max_running in [
        (absent, absent, 2),
        (1.0, 2.0, 2),
        (1.0, absent, 2),
        (0.3, 2.0, 2),
        (0.3, 1.0, 4),
        (0.3, absent, 4),
        (0.0, absent, 4),
        (absent, 1.0, 4),
        (absent, 2.0, 2),
    ]:
        simulation = ControllerSimulation(plain)
        states = [simulation.arrive(0) for _ in range(2)]
        actions(simulation)
        simulation.handle_batch([interface.TimerFired(busy, 3.0, runnable)] * 3)
        states += [simulation.arrive(0) for _ in range(14)]
        actions(simulation)
        running = [state for state in states if state.stage == RUNNING]
        assert len(running) == max_running, (busy, runnable)


def test_the_estimated_core_usage_of_runs_adapts_within_a_burst() -> None:
    """A hundred samples, including those of the start, kept two-core servers at four runs for ten seconds.

    This happened in a release, with cores a third busy. An increase of the core usage must also be detected
    within seconds.
    """
    plain = replace(
        PLAIN,
        request_classes=(RequestClass(Idempotency.IDEMPOTENT, 3.0, 6.0),),
        max_concurrency_per_core=6.0,
        memory_kb=9e3,
    )
    simulation = ControllerSimulation(plain)
    cores = plain.cores

    def run_burst(cores_per_run: float) -> int:
        """Feed gauges five times a second for two seconds; return the number of runs after that."""
        simulation.cores_per_run = cores_per_run
        for _ in range(10):
            for _ in range(4):
                simulation.arrive(0)
            actions(simulation)
            simulation.handle_batch([interface.TimerFired(simulation.cpu_busy_ratio(), 3.0)])
            for state in simulation.in_stage(RUNNING)[:cores]:
                simulation.finish(state, Outcome.SUCCEEDED)
            simulation.wait(0.2)
        return len(simulation.in_stage(RUNNING))

    for _ in range(50):  # at the start, runs used whole cores
        simulation.arrive(0)
        simulation.handle_batch([interface.TimerFired(1.0, 3.0)])
    assert run_burst(0.15) >= 0.7 * MAX_BUSY_RATIO * cores / 0.15
    run_burst(1.0)
    assert run_burst(1.0) <= cores + 1


def simulation_of_weights(*weights: float, by_work: bool = True) -> ControllerSimulation:
    """Return a simulation with one request class per weight; the classes differ only in weight."""
    request_classes = tuple(
        RequestClass(Idempotency.IDEMPOTENT, 3.0, 6.0, priority_weight=weight) for weight in weights
    )
    return ControllerSimulation(
        replace(PLAIN, request_classes=request_classes, memory_kb=4000.0, weight_by_work=by_work)
    )


def test_the_most_valuable_class_starts_first_and_each_class_starts_oldest_first() -> None:
    """A single queue gave each request class an equal share regardless of the value of its work."""
    simulation = simulation_of_weights(1.0, 3.0)
    running = [admit(simulation, 0) for _ in range(2)]
    low_value, high_value, later = admit(simulation, 0), admit(simulation, 1), admit(simulation, 1)
    started = []
    for state in (*running, high_value):
        simulation.finish(state, Outcome.SUCCEEDED)
        actions(simulation)
        started += [
            other
            for other in (low_value, high_value, later)
            if other.stage == RUNNING and other not in started
        ]
    assert started == [high_value, later, low_value]


def test_weights_per_request_are_divided_by_the_service_time() -> None:
    simulation = simulation_of_weights(3.0, 1.0, by_work=False)
    for request_class, took_s in [(0, 1.0), (1, 0.05)] * 10:
        state = admit(simulation, request_class)
        state.stage, state.answered = FINISHED, True
        simulation.pending_events.append(interface.RunEnded(state.request, took_s, Outcome.SUCCEEDED))
        actions(simulation)
    simulation.wait(1.1)
    running = [admit(simulation, request_class) for request_class in (0, 1)]
    assert not any(map(simulation.controller.queues.lags, simulation.controller.queues.ranking))
    long, short = admit(simulation, 0), admit(simulation, 1)
    simulation.finish(running[0], Outcome.SUCCEEDED)
    actions(simulation)
    assert (long.stage, short.stage) == (QUEUED, RUNNING)


@pytest.mark.parametrize("weights", [(1.0, 100.0), (100.0, 1.0), (1.0, 1.0), (0.0, 0.0)])
def test_a_low_value_request_class_gets_half_of_an_equal_share(weights: tuple[float, float]) -> None:
    simulation, starts = simulation_of_weights(*weights), [0, 0]
    for _ in range(300):  # four requests arrive while one run ends
        for request_class in (0, 1, 0, 1):
            simulation.arrive(request_class)
        actions(simulation)
        before = set(simulation.in_stage(RUNNING))
        simulation.finish(simulation.in_stage(RUNNING)[0], Outcome.SUCCEEDED)
        actions(simulation)
        simulation.wait(0.05)
        for state in set(simulation.in_stage(RUNNING)) - before:
            starts[simulation.server_settings.request_classes.index(state.request.request_class)] += 1
    low_value, high_value = sorted(starts) if weights[0] != weights[1] else starts
    assert low_value + high_value >= 290 and low_value >= 0.2 * (low_value + high_value)
    if weights[0] != weights[1]:
        assert starts[weights.index(100.0)] == high_value > 0.6 * (low_value + high_value)


def test_new_settings_keep_admitted_requests_and_can_be_reverted() -> None:
    """The settings of a running server change: a request class becomes non-idempotent, then idempotent again.

    Runs cannot be cancelled.
    """
    simulation = ControllerSimulation(PLAIN)
    before = [simulation.arrive(0) for _ in range(4)]
    actions(simulation)
    changed = replace(
        PLAIN,
        request_classes=(
            replace(PLAIN.request_classes[0], idempotency=Idempotency.NON_IDEMPOTENT),
            *PLAIN.request_classes[1:],
        ),
        cancellation=Cancellation.UNSUPPORTED,
    )
    for server_settings in (changed, PLAIN):
        simulation.controller.update_settings(server_settings)
        simulation.server_settings = server_settings
        after = [simulation.arrive(0) for _ in range(2)]
        actions(simulation)
        for state in [*before, *after]:
            if state.stage == RUNNING:
                simulation.finish(state, Outcome.SUCCEEDED)
        simulation.wait(0.5)
        before = after
    simulation.wait(8.0)
    assert all(state.answered for state in simulation.states.values())


@pytest.mark.parametrize("waited", [5.0, 0.0])
def test_a_rejection_without_any_measured_response_time_has_a_retry_delay(waited: float) -> None:
    """Just after a start nothing is queued and no response time is known: the retry delay was 0 ms."""
    simulation = ControllerSimulation(replace(PLAIN, memory_kb=60.0 if not waited else PLAIN.memory_kb))
    states = [simulation.arrive(0, waited=waited) for _ in range(1 if waited else 8)]
    rejected = [action for action in actions(simulation) if isinstance(action, interface.Reject)]
    assert rejected and all(0 < action.retry_after_s <= PLAIN.max_retry_after_s for action in rejected)
    assert {action.reason for action in rejected} == {
        interface.RejectionReason.WAIT_BUDGET if waited else interface.RejectionReason.MEMORY
    }
    assert all(state.answered for state in states if state.stage == FINISHED)
