"""The four rules over random interleavings of events with a fake clock, and single cases."""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import replace
from unittest import mock

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from simulated_server import FakeStream, SimulatedServer, call, frame

from sablewheel.overload.client_activity import MAX_CLIENTS
from sablewheel.overload.interface import Cancellation, Idempotency, RequestClass, ServerSettings, Tenant
from sablewheel.serving import listener

SERVER_SETTINGS = ServerSettings(
    request_classes=(
        RequestClass(Idempotency.IDEMPOTENT, 1.0, 4.0),
        RequestClass(Idempotency.KEYED, 1.5, 4.0, idempotency_window_s=6.0),
    ),
    cores=2,
    memory_kb=2000.0,
    running_memory_factor=4.0,
    tenants=(Tenant(50.0),),
    idempotency_key_kb=0.2,
    cancellation=Cancellation.DISCARDS_WORK,
    min_batch_interval_s=0.002,
    answer_slack_s=0.08,
    drain_grace_s=1.0,
    max_concurrency_per_core=3.0,
    concurrency_span_s=1.0,
    max_retry_after_s=1.0,
    advertisement_ttl_s=1.0,
    idle_timeout_s=30.0,
)
FREQUENT_STEPS = ["read"] * 2 + ["write"] * 3 + ["end"] * 3 + ["double", "bad"]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["cancel", "fail", "wait", "long", "cut", "lose", "gap", "move", "drain", "rush", *FREQUENT_STEPS]
        ),
        st.integers(0, 3),
    ),
    max_size=40,
)


INTERLEAVINGS = settings(
    max_examples=150,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.generate, Phase.shrink],
    suppress_health_check=[HealthCheck.too_slow],
)


@INTERLEAVINGS
@given(STEPS)
def test_rules_hold_over_any_interleaving(steps: list[tuple[str, int]]) -> None:
    play(SimulatedServer(SERVER_SETTINGS), steps)


@INTERLEAVINGS
@given(STEPS, st.integers(0, 12_000))
def test_rules_hold_over_any_interleaving_with_little_memory_for_connections(
    steps: list[tuple[str, int]], shared_bytes: int
) -> None:
    """Guards against rejecting what may have run, or answering it late, for want of memory."""
    server = SimulatedServer(SERVER_SETTINGS)
    server.limit_memory(shared_bytes)
    play(server, steps)
    memory = server.listener.memory
    assert memory.shared_used_bytes == 0 or server.client.open


@INTERLEAVINGS
@given(STEPS, st.integers(1, 3))
def test_rules_hold_over_any_interleaving_with_few_frames_in_a_round(
    steps: list[tuple[str, int]], frames_per_round: int
) -> None:
    """Guards against losing what was read in one round and is handled in a later one."""
    with mock.patch.object(listener, "MAX_FRAMES_PER_ROUND", frames_per_round):
        play(SimulatedServer(SERVER_SETTINGS), steps)


def play(server: SimulatedServer, steps: list[tuple[str, int]]) -> None:
    """Play the steps and a shutdown; the rules are checked after each step."""
    for step, number in steps:
        deliver = True
        running, attempts = list(server.interpreter.running), server.attempts
        match step:
            case "read":
                server.call(b"lookup", ago=0.4 * number)
            case "write":
                server.call(b"record", b"label%d" % number)
            case "rush":  # attempts with one idempotency key and a cancellation in one read
                first = server.call(b"record", b"label%d" % number)
                server.call(b"record", b"label%d" % number)
                server.cancel(first)
                server.call(b"record", b"label%d" % number)
            case "cancel" if attempts:
                server.cancel(attempts[-1 - number % len(attempts)])
            case "end" | "fail" if running:
                server.end(running[number % len(running)], b"success" if step == "end" else b"failure")
            case "wait":
                server.wait(0.1 * number)
            case "long":
                server.wait(2.0 * number)
            case "cut":
                server.break_link(lost=False)
            case "lose":
                server.call(b"record", b"label%d" % number)
                server.settle(deliver=False)
                server.break_link(lost=True)
            case "gap":
                server.accepts_links = number > 0
                server.break_link(lost=number > 1)
            case "move":
                server.accepts_links = True
                server.interpreter_client.connect_to(server._connect)
            # the last notice is repeated
            case "double" if server.interpreter.notices and server.link is not None:
                server.link.feed(server.interpreter.notices[-1] + b"TRACE 1 a remark\r\n")
            case (
                "bad"
            ):  # a copied idempotency key or id with another body, an invalid field, or an incomplete frame
                stream, name = FakeStream(server.scheduler), running[0] if running else b"%016x" % number
                server.listener.accepted(stream)
                invalid = call(1, name, b"record", server.now, b"another", b"label%d" % number)
                stream.feed([invalid, invalid.replace(b"room=", b"boom="), invalid[:-9], b"\0"][number])
            case "drain":
                server.drain(1.0 + number)
            case _:
                deliver = False
        server.settle(deliver)
    if server.notice == float("inf"):
        server.drain(2.0)
        server.settle()
    server.wait(server.stop - server.now - 0.01 if server.stop > server.now else 0.0)
    server.check()
    assert all(attempt.answers or attempt.cancelled for attempt in server.attempts), (
        "not answered before the stop"
    )


def test_a_completed_run_is_answered_with_its_result() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    assert server.interpreter.running[attempt.name] == (b"lookup", attempt.body)
    server.end(attempt.name)
    server.settle()
    assert attempt.answers == [[b"1", b"OK", b"", b"made of " + attempt.body]]


def test_duplicates_get_the_result_of_the_original_whether_they_arrive_before_or_after_its_end() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    first, during = server.call(b"record", b"a"), server.call(b"record", b"a")
    server.settle()
    server.cancel(first)
    server.end(first.name)
    server.settle()
    late = server.call(b"record", b"a")
    server.settle()
    assert not first.answers and during.answers[0][1] == late.answers[0][1] == b"OK"
    assert len(server.interpreter.applied) == 1


def test_duplicates_of_a_failed_request_fail() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    first, during = server.call(b"record", b"a"), server.call(b"record", b"a")
    server.settle()
    server.end(first.name, b"failure")
    server.settle()
    after = server.call(b"record", b"a")
    server.settle()
    assert [attempt.answers[0][1] for attempt in (first, during, after)] == [b"FAILED"] * 3


@pytest.mark.parametrize("core_freed", [True, False])
def test_a_duplicate_that_arrives_while_all_cores_are_busy_waits_and_is_never_rejected(
    core_freed: bool,
) -> None:
    server = SimulatedServer(replace(SERVER_SETTINGS, max_concurrency_per_core=1.0))  # at most one run a core
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.settle()
    runs = [server.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    server.settle()
    assert len(server.interpreter.running) == SERVER_SETTINGS.cores
    again = server.call(b"record", b"a")
    server.settle()
    assert not again.answers
    if core_freed:
        server.end(runs[0].name)
        server.settle()
    else:
        server.wait(SERVER_SETTINGS.request_classes[1].timeout_s)
    assert [words[1] for words in again.answers] == [b"OK" if core_freed else b"FAILED"]
    assert first.name not in server.interpreter.running


def test_the_idempotency_window_applies_to_the_arrival_of_a_duplicate_not_to_its_read() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    first = server.call(b"record", b"a")
    server.settle()
    server.end(first.name)
    server.wait(SERVER_SETTINGS.request_classes[1].idempotency_window_s + 1.0)
    late = server.call(b"record", b"a", ago=1.5)
    server.settle()
    assert late.answers[0][1] == b"OK" and len(server.interpreter.applied) == 1
    server.wait(4.0)
    server.call(b"record", b"a")
    server.settle()
    assert len(server.interpreter.applied) == 2


def test_cached_results_are_limited_in_bytes() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.idempotency_keys._max_result_bytes = 100
    attempts = [server.call(b"record", b"label%d" % number) for number in range(10)]
    for attempt in attempts:
        server.settle()
        if attempt.name in server.interpreter.running:
            server.end(attempt.name)
    server.settle()
    assert server.idempotency_keys._cached_bytes <= 100
    late = [server.call(b"record", attempt.idempotency_key) for attempt in (attempts[0], attempts[-1])]
    server.settle()
    assert [attempt.answers[0][1] for attempt in late] == [b"FAILED", b"OK"]
    assert len(server.interpreter.applied) == 10


def test_a_link_opened_before_the_interpreter_is_running_works_once_it_is() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.interpreter.is_up = False
    server.break_link(lost=False)
    server.wait(1.0)
    server.interpreter.is_up = True
    assert server.link is not None
    server.link.feed(b"BANNER booting 0\r\n")
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.name in server.interpreter.running


def test_a_broken_link_loses_no_result_and_starts_no_keyed_run_twice() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    completed, unconfirmed = server.call(b"lookup"), server.call(b"record", b"b")
    server.settle()
    server.accepts_links = False
    server.break_link(lost=False)
    server.wait(0.1)
    server.end(completed.name)
    queued = server.call(b"lookup")
    server.wait(0.3)
    assert not completed.answers and len(server.interpreter.applied) == 2
    server.accepts_links = True
    server.wait(1.0)
    assert completed.answers[0][1] == b"OK" and queued.name in server.interpreter.running
    server.end(unconfirmed.name)
    server.end(queued.name)
    server.settle()
    assert unconfirmed.answers[0][1] == b"OK"
    # These commands are written just before the break and lost: only the idempotent one is sent again.
    idempotent, keyed = server.call(b"lookup"), server.call(b"record", b"c")
    server.settle(deliver=False)
    server.break_link(lost=True)
    server.wait(0.5)
    assert idempotent.name in server.interpreter.running and keyed.name not in server.interpreter.running
    server.end(idempotent.name)
    server.wait(9.0)
    assert idempotent.answers[0][1] == b"OK" and keyed.answers[0][1] == b"FAILED"
    assert server.dispatcher.open_count == 0


@pytest.mark.parametrize("request_class", [b"lookup", b"record"])
def test_a_run_that_ends_as_its_link_is_reopened_has_one_answer(request_class: bytes) -> None:
    """The run's end crosses the commands on the new link; only an idempotent run may start again."""
    server = SimulatedServer(SERVER_SETTINGS)
    keyed = request_class == b"record"
    attempt = server.call(request_class, b"a" if keyed else b"")
    server.settle(deliver=False)
    server.break_link(lost=False)  # the command arrives, but the answer to the fence after it does not
    feed = server.interpreter.feed

    def feed_and_end(data: bytes) -> bytes:
        answers = feed(data)
        return answers + server.interpreter.end(attempt.name) if data.startswith(b"TOP") else answers

    server.interpreter.feed = feed_and_end  # type: ignore[method-assign]
    server.wait(0.1)
    assert attempt.answers == [[b"1", b"OK", b"", b"made of " + attempt.body]]
    resent = 0 if keyed else 1
    assert server.counts.count("runs_sent_again") == server.counts.count("ends_unknown") == resent
    assert len(server.interpreter.applied) == 1 + resent and not server.interpreter.running


def test_an_invalid_notice_reopens_the_link() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    assert server.link is not None
    server.link.feed(b"VALUE x y z\r\n")
    server.wait(0.5)
    server.end(attempt.name)
    server.settle()
    assert attempt.answers[0][1] == b"OK" and server.counts.count("links") == 2


def test_a_rejected_command_and_a_run_that_never_started_fail_their_requests() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    rejected, never_started = server.call(b"lookup"), server.call(b"lookup")
    server.settle()
    assert server.link is not None
    server.link.feed(b"ERROR APPLY %b\r\n" % rejected.name)
    server.end(never_started.name, b"nothing")
    server.settle()
    assert [attempt.answers[0][1] for attempt in (rejected, never_started)] == [b"FAILED", b"FAILED"]
    assert server.dispatcher.open_count == 0


def test_requests_beyond_32_open_ones_fail_and_a_repeated_tag_closes_its_connection() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempts = [server.call(b"lookup") for _ in range(33)]
    server.settle()
    assert sum(bool(attempt.answers) and attempt.answers[0][1] == b"FAILED" for attempt in attempts) == 1
    server.client.feed(call(1, b"%016x" % 255, b"lookup", server.now, b""))
    server.settle()
    attempts[0].cancelled = True  # an answer would not show which of the two requests it is for
    late = server.call(b"lookup")
    late.cancelled = True
    server.settle()
    assert not attempts[0].answers and not late.answers and server.client.open
    while server.interpreter.running:  # requests accepted before are answered, then the connection is closed
        assert server.client.open
        server.end(next(iter(server.interpreter.running)))
        server.settle()
    server.wait(5.0)
    assert all(len(attempt.answers) == 1 for attempt in attempts[1:]) and not late.answers
    assert not server.client.open and not server.dispatcher.open_count


def test_a_request_that_crosses_the_close_announcement_unread_is_answered_before_the_close() -> None:
    """Guards against closing a connection with an unread request, as a drain did after its announcement."""
    server = SimulatedServer(SERVER_SETTINGS)
    server.listener.set_idle_timeout(1.0)
    server.wait(2.0)
    connection = next(iter(server.listener.connections))
    assert connection.close_announced
    # The data arrives, but the reader does not run yet.
    reader, server.client.reader = server.client.reader, None
    late = server.call(b"lookup")
    server.wait(2.0)
    assert server.client.open and connection in server.listener.connections
    server.client.reader = reader
    server.client.wake()
    server.wait(0.5)
    assert late.name in server.interpreter.running or late.answers


def test_unused_connections_get_a_close_announcement() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.listener.set_idle_timeout(1.0)
    attempt = server.call(b"lookup")
    server.wait(2.0)
    assert server.listener.connections and attempt.name in server.interpreter.running
    connection = next(iter(server.listener.connections))
    server.end(attempt.name)
    server.wait(2.0)
    assert connection.close_announced
    server.wait(2.0)
    assert not server.client.open


def test_timers_count_from_the_start_of_the_interpreter_even_if_that_is_long_past() -> None:
    server = SimulatedServer(SERVER_SETTINGS)  # its interpreter has been running for five seconds
    attempt = server.call(b"lookup")
    server.settle()
    server.drain(0.5)
    server.wait(0.45)
    assert attempt.answers[0][1] == b"FAILED"


def test_a_request_that_is_cancelled_in_the_same_read_takes_no_core() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    for number in range(20):
        server.cancel(server.call(b"record", b"label%d" % number))
        server.settle()
    attempt = server.call(b"lookup")
    server.settle()
    assert [name for name, *_ in server.interpreter.applied] == [attempt.name]


def test_an_internal_error_affects_only_one_request_or_one_link() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()

    def raise_error(*_: object) -> None:
        raise RuntimeError("injected error")

    server.dispatcher.run_ended = raise_error  # type: ignore[method-assign, assignment]
    server.end(attempt.name)
    server.wait(1.0)
    assert server.counts.count("links") == 2 and server.link is not None and server.link.open
    del server.dispatcher.run_ended
    server.listener.handler = type("Faulty", (), {"arrived": raise_error, "cancelled": lambda *_: None})()
    answers = server.ask(call(99, b"%016x" % 255, b"lookup", server.now, b""))
    assert [words[:2] for words in answers] == [[b"99", b"FAILED"]]
    assert server.counts.count("faults") == 2  # the link's and the request's
    assert server.ask(frame(b"RPC.HEALTH", b"100", b""))[0][1] == b"UP"  # the connection still works


def test_unused_connections_with_unsent_answers_are_not_closed() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.listener.announce_close()
    server.client._unsent += b"an answer that the router has not taken yet"
    server.wait(3.0)
    assert server.client.open
    server.client._unsent.clear()
    server.wait(1.0)
    assert not server.client.open


def test_commands_that_were_never_sent_are_not_unconfirmed() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    first = server.call(b"record", b"a")
    server.call(b"record", b"a")  # the first is decided in the middle of the round
    assert server.link is not None
    server.link.feed(b"")  # and the link breaks in the same round
    server.wait(0.5)
    assert first.name in server.interpreter.running and server.counts.count("runs_sent_again") == 0


def test_a_query_due_in_the_round_of_the_greeting_does_not_replace_the_fence() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.interpreter.is_up = False
    server.break_link(lost=False)
    server.wait(0.5)
    assert server.link is not None
    server.interpreter.is_up = True
    server.link.feed(b"BANNER steady 10\r\n")
    server.scheduler.run_ready()
    server.interpreter_client._check_link()
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.name in server.interpreter.running


def test_a_cancellation_without_a_link_is_sent_on_the_next_one() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.accepts_links = False
    server.break_link(lost=False)
    server.wait(0.3)
    server.cancel(attempt)
    server.settle()
    assert attempt.name in server.interpreter.running
    server.accepts_links = True
    server.wait(1.0)
    assert not server.interpreter.running and server.dispatcher.open_count == 0


def test_no_time_of_arrival_is_later_than_the_decision() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.call(b"lookup", ago=-0.004)
    server.settle()
    assert [request.arrived_at for request in server.dispatcher._open_requests._exchanges] == [server.now]


def test_a_move_of_the_interpreter_leaves_no_run_unconfirmed_and_keeps_the_order_of_commands() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    ended = server.call(b"lookup")
    server.settle()
    in_transit = server.call(b"record", b"b")
    server.settle(deliver=False)
    server.interpreter_client.connect_to(server._connect)
    server.settle(deliver=False)
    during_move = server.call(b"record", b"c")
    server.settle(deliver=False)
    server.interpreter.end(ended.name)  # reported on the old link before that is closed
    server.wait(0.2)
    assert [name for name, *_ in server.interpreter.applied] == [
        attempt.name for attempt in (ended, in_transit, during_move)
    ]
    assert ended.answers[0][1] == b"OK" and not server.counts.count("runs_sent_again")
    assert server.counts.count("links") == 2 and sum(link.open for link in server.links) == 1


def test_an_interpreter_that_is_unreachable_at_its_new_address_is_used_at_the_old_one() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.interpreter_client.connect_to(lambda: None)
    attempt = server.call(b"record", b"a")
    server.wait(1.0)
    server.end(attempt.name)
    server.settle()
    assert attempt.answers[0][1] == b"OK" and server.counts.count("links") == 1
    server.interpreter_client.connect_to(server._connect)
    server.interpreter_client.connect_to(server._connect)  # two moves at once: the last one counts
    server.wait(0.5)
    later = server.call(b"lookup")
    server.settle()
    assert later.name in server.interpreter.running and sum(link.open for link in server.links) == 1


def test_an_idempotency_key_with_another_body_fails_and_the_original_is_unaffected() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    first = server.call(b"record", b"a")
    server.settle()
    answers = []
    for tag in (900, 901):  # while the first runs, and after its end
        copy = call(tag, b"%016x" % tag, b"record", server.now, b"another body", b"a")
        answers += [words[:2] for words in server.ask(copy) if int(words[0]) >= 900]
        if tag == 900:
            server.end(first.name)
            server.settle()
    assert answers == [[b"900", b"FAILED"], [b"901", b"FAILED"]]
    again = server.call(b"record", b"a")
    server.settle()
    assert first.answers[0][1] == again.answers[0][1] == b"OK" and server.dispatcher.open_count == 0


def test_the_id_of_an_open_request_fails_and_the_original_is_unaffected() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    # One runs, the other is attached to it.
    attempts = [server.call(b"record", b"a"), server.call(b"record", b"a")]
    attempts += [server.call(b"lookup") for _ in range(4)]  # one runs, the others are queued
    server.settle()
    open_before = server.dispatcher.open_count
    for index, attempt in enumerate(attempts):
        answers = server.ask(call(900 + index, attempt.name, attempt.request_class, server.now, b"", b"b"))
        assert [words[:2] for words in answers] == [[b"%d" % (900 + index), b"FAILED"]]
    assert server.dispatcher.open_count == open_before
    while server.interpreter.running:
        server.end(next(iter(server.interpreter.running)))
        server.settle()
    assert all(attempt.answers[0][1] == b"OK" for attempt in attempts)


def test_a_run_that_the_interpreter_rejects_leaves_no_state() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    rejected = server.call(b"record", b"a")
    server.settle()
    controller = server.dispatcher._controller
    assert server.link is not None and controller is not None
    server.interpreter.applied.clear()
    server.interpreter.running.clear()
    server.link.feed(b"ERROR APPLY %b\r\n" % rejected.name)
    server.settle()
    assert rejected.answers[0][1] == b"FAILED"
    assert (
        controller.credit_pool.started
        == controller.credit_pool.completed
        == controller.resources.on_cores
        == 0
    )
    assert not controller.service_times.response_s.values
    assert not any(controller.tenant_quotas.starts.values()) and not server.idempotency_keys._entries
    accepted = server.call(b"record", b"a")
    server.settle()
    assert accepted.name in server.interpreter.running


def test_a_time_of_arrival_out_of_range_reaches_no_decision() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    calls = [
        call(900 + index, b"%016x" % index, b"lookup", server.now - ago, b"")
        for index, ago in enumerate((-1e6, -2.0, 61.0, 1e6))
    ]
    answers = server.ask(b"".join(calls))
    assert [words[1] for words in answers] == [b"FAILED"] * 4 and not server.dispatcher.open_count


def test_an_incomplete_frame_closes_its_connection_and_an_idle_client_stays_connected() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    silent, slow, idle = (FakeStream(server.scheduler) for _ in range(3))
    for stream in (silent, slow, idle):
        server.listener.accepted(stream)
    idle.feed(frame(b"RPC.HEALTH", b"1", b""))
    for byte in call(1, b"%016x" % 1, b"lookup", server.now, b"x" * 50):
        slow.feed(bytes([byte]))
        server.wait(0.02)
    assert not slow.open and not silent.open and idle.open
    idle.feed(frame(b"RPC.HEALTH", b"2", b"") + b"*3\r\n")
    server.wait(1.0)
    idle.feed(b"$1\r\n")
    server.wait(0.5)
    assert idle.open
    server.wait(1.0)
    assert not idle.open and server.client.open


def test_many_unused_connections_are_closed_longest_unused_first() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    streams = [FakeStream(server.scheduler) for _ in range(30)]
    for stream in streams:
        server.listener.accepted(stream)
        stream.feed(frame(b"RPC.HEALTH", b"1", b""))
        server.wait(0.1)
    server.wait(6.0)
    assert [stream.open for stream in (server.client, *streams)] == [False] * 21 + [True] * 10
    server.wait(60.0)
    assert sum(stream.open for stream in streams) == 10


def test_memory_does_not_grow_with_new_ids_idempotency_keys_clients_and_connections() -> None:
    tracemalloc.start()  # first, since an object that replaces an older one would look like growth
    server, sizes = SimulatedServer(SERVER_SETTINGS), []
    server.listener.set_idle_timeout(1.0)
    try:
        for index in range(4000):
            request_class, idempotency_key = ((b"lookup", b""), (b"record", b"label%d" % index))[index % 2]
            stream = FakeStream(server.scheduler)
            server.listener.accepted(stream)
            frames = call(
                1, b"%016x" % index, request_class, server.now, b"x" * 200, idempotency_key, 1000 + index
            )
            stream.feed(frames if index % 3 else frames + frame(b"RPC.CANCEL", b"1"))
            server.settle()
            if server.interpreter.running:
                server.end(next(iter(server.interpreter.running)))
            server.settle()
            server.wait(0.02)
            for records in (server.interpreter.applied, server.interpreter.ended_runs, server.counts):
                records.clear()
            server.interpreter.notices[:] = [b""] * len(server.interpreter.notices)
            if index in (2500, 3999):
                gc.collect()
                filters = [tracemalloc.Filter(True, "*/sablewheel/*"), tracemalloc.Filter(False, "*/tests/*")]
                statistics = tracemalloc.take_snapshot().filter_traces(filters).statistics("lineno")
                sizes.append(sum(statistic.size for statistic in statistics))
    finally:
        tracemalloc.stop()
    controller = server.dispatcher._controller
    assert sizes[1] < sizes[0] + 75_000 and controller is not None, sizes
    assert not any(controller.tenant_quotas.starts.values())  # no quotas apply, so nothing is counted
    assert len(controller.clients.timeouts) == MAX_CLIENTS == 1024


def test_a_link_that_is_open_but_silent_is_reopened() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.links.clear()  # no data arrives in either direction any more
    attempt, keyed = server.call(b"lookup"), server.call(b"record", b"a")
    server.wait(2.5)
    assert server.counts.count("links") == 1 and not server.interpreter.running
    server.wait(1.0)
    assert server.counts.count("links") == 2 and set(server.interpreter.running) == {attempt.name}
    server.end(attempt.name)
    server.wait(9.0)
    assert attempt.answers[0][1] == b"OK" and keyed.answers[0][1] == b"FAILED"


def test_a_full_table_evicts_idle_connections_but_none_with_an_unread_request() -> None:
    """Guards against an eviction that closes a connection with unread data; it may be evicted once read."""
    server = SimulatedServer(SERVER_SETTINGS)
    server.wait(1.0)
    first = server.client
    others = [FakeStream(server.scheduler) for _ in range(7)]
    for number, stream in enumerate(others):
        server.listener.accepted(stream)
        # All have sent a frame, so the oldest is evicted first.
        stream.feed(frame(b"RPC.HEALTH", b"%d" % number, b""))
    server.wait(1.0)
    first.reader = None  # a request arrives on the oldest connection, but the reader does not run yet
    server.call(b"lookup")
    staying = [stream for stream in others if stream.open]
    assert len(staying) >= 5
    server.listener.evict_unused()  # of forty connections an eighth is evicted at a time: five
    server.listener.evict_unused()  # connections that are being closed count, so no more are evicted
    server.scheduler.run_ready()
    assert first.open and sum(not stream.open for stream in staying) == min(5, len(staying))


@pytest.mark.parametrize("limit", [1.0, 0.0])
def test_rejections_are_counted_by_reason_and_those_without_a_retry_time_separately(limit: float) -> None:
    server = SimulatedServer(replace(SERVER_SETTINGS, memory_kb=0.01, max_retry_after_s=limit))
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.answers[0][1] == b"BUSY"
    without_retry_time = {} if limit else {"denied_without_advice": 1}
    assert server.dispatcher.outcomes.rejections == {"denied_memory": 1, **without_retry_time}
