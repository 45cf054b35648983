"""The rules over random interleavings on the routing layer, with a made clock; a few plain cases."""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from simulated_server import FakeStream, SimulatedServer, call, frame

from sablewheel.overload.client_activity import MAX_CLIENTS
from sablewheel.overload.interface import Cancellation, Idempotency, RequestClass, ServerSettings, Tenant

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
OFTEN = ["read"] * 2 + ["write"] * 3 + ["end"] * 3 + ["double", "bad"]
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["cancel", "fail", "wait", "long", "cut", "lose", "gap", "move", "drain", "rush", *OFTEN]
        ),
        st.integers(0, 3),
    ),
    max_size=40,
)


@settings(
    max_examples=150,
    derandomize=True,
    database=None,
    deadline=None,
    phases=[Phase.generate, Phase.shrink],
    suppress_health_check=[HealthCheck.too_slow],
)
@given(STEPS)
def test_rules_hold_over_any_interleaving(steps: list[tuple[str, int]]) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    for step, which in steps:
        deliver = True
        running, attempts = list(server.interpreter.running), server.attempts
        match step:
            case "read":
                server.call(b"lookup", ago=0.4 * which)
            case "write":
                server.call(b"record", b"label%d" % which)
            case "rush":  # two tries of one idempotency key and a cancel in one read
                first = server.call(b"record", b"label%d" % which)
                server.call(b"record", b"label%d" % which)
                server.cancel(first)
                server.call(b"record", b"label%d" % which)
            case "cancel" if attempts:
                server.cancel(attempts[-1 - which % len(attempts)])
            case "end" | "fail" if running:
                server.end(running[which % len(running)], b"success" if step == "end" else b"failure")
            case "wait":
                server.wait(0.1 * which)
            case "long":
                server.wait(2.0 * which)
            case "cut":
                server.cut(lost=False)
            case "lose":
                server.call(b"record", b"label%d" % which)
                server.settle(deliver=False)
                server.cut(lost=True)
            case "gap":
                server.linked = which > 0
                server.cut(lost=which > 1)
            case "move":
                server.linked = True
                server.interpreter_client.connect_to(server._connect)
            # the last notice once more
            case "double" if server.interpreter.notices and server.link is not None:
                server.link.feed(server.interpreter.notices[-1] + b"TRACE 1 a remark\r\n")
            case "bad":  # a copied idempotency key or name with another body, a faulty field, no end
                stream, name = FakeStream(server.scheduler), running[0] if running else b"%016x" % which
                server.listener.accepted(stream)
                faulty = call(1, name, b"record", server.now, b"another", b"label%d" % which)
                stream.feed([faulty, faulty.replace(b"room=", b"boom="), faulty[:-9], b"\0"][which])
            case "drain":
                server.drain(1.0 + which)
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


def test_a_run_ends_with_its_result_and_what_is_advertised() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    assert server.interpreter.running[attempt.name] == (b"lookup", attempt.body)
    server.end(attempt.name)
    server.settle()
    assert attempt.answers == [[b"1", b"OK", b"", b"made of " + attempt.body]]


def test_duplicates_get_the_result_of_the_original_whether_they_come_before_or_after_its_end() -> None:
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


def test_duplicates_of_what_failed_or_whose_result_was_dropped_end_in_an_error() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    first, during = server.call(b"record", b"a"), server.call(b"record", b"a")
    server.settle()
    server.end(first.name, b"failure")
    server.settle()
    after = server.call(b"record", b"a")
    server.settle()
    assert [attempt.answers[0][1] for attempt in (first, during, after)] == [b"FAILED"] * 3


@pytest.mark.parametrize("room", [True, False])
def test_a_duplicate_that_comes_to_full_cores_waits_and_is_never_rejected(room: bool) -> None:
    server = SimulatedServer(
        replace(SERVER_SETTINGS, max_concurrency_per_core=1.0)
    )  # no more may run than there are cores
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
    if room:
        server.end(runs[0].name)
        server.settle()
    else:
        server.wait(SERVER_SETTINGS.request_classes[1].timeout_s)
    assert [words[1] for words in again.answers] == [b"OK" if room else b"FAILED"]
    assert first.name not in server.interpreter.running


def test_a_duplicate_counts_by_when_it_came_not_by_when_it_is_read() -> None:
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


def test_cached_results_have_a_bound_in_bytes() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.idempotency_keys._max_result_bytes = 100
    attempts = [server.call(b"record", b"label%d" % which) for which in range(10)]
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


def test_a_link_opened_before_the_interpreter_is_up_serves_once_it_is() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.interpreter.up = False
    server.cut(lost=False)
    server.wait(1.0)
    server.interpreter.up = True
    assert server.link is not None
    server.link.feed(b"BANNER booting 0\r\n")
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.name in server.interpreter.running


def test_a_broken_link_loses_no_end_and_applies_nothing_keyed_twice() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    done, doubt = server.call(b"lookup"), server.call(b"record", b"b")
    server.settle()
    server.linked = False
    server.cut(lost=False)
    server.wait(0.1)
    server.end(done.name)
    held = server.call(b"lookup")
    server.wait(0.3)
    assert not done.answers and len(server.interpreter.applied) == 2
    server.linked = True
    server.wait(1.0)
    assert done.answers[0][1] == b"OK" and held.name in server.interpreter.running
    server.end(doubt.name)
    server.end(held.name)
    server.settle()
    assert doubt.answers[0][1] == b"OK"
    # Written just before the break, never arrived: applied again where that does no harm, and only there.
    idempotent, keyed = server.call(b"lookup"), server.call(b"record", b"c")
    server.settle(deliver=False)
    server.cut(lost=True)
    server.wait(0.5)
    assert idempotent.name in server.interpreter.running and keyed.name not in server.interpreter.running
    server.end(idempotent.name)
    server.wait(9.0)
    assert idempotent.answers[0][1] == b"OK" and keyed.answers[0][1] == b"FAILED"
    assert server.dispatcher.open_count == 0


@pytest.mark.parametrize("request_class", [b"lookup", b"record"])
def test_a_run_that_ends_as_its_link_comes_back_has_one_answer(request_class: bytes) -> None:
    """The end crosses what the server sends on the new link; only a safe class may be begun once more."""
    server = SimulatedServer(SERVER_SETTINGS)
    keyed = request_class == b"record"
    attempt = server.call(request_class, b"a" if keyed else b"")
    server.settle(deliver=False)
    server.cut(lost=False)  # the command arrives, the answer to the fence behind it does not
    feed = server.interpreter.feed

    def feed_and_end(data: bytes) -> bytes:
        answers = feed(data)
        return answers + server.interpreter.end(attempt.name) if data.startswith(b"TOP") else answers

    server.interpreter.feed = feed_and_end  # type: ignore[method-assign]
    server.wait(0.1)
    assert attempt.answers == [[b"1", b"OK", b"", b"made of " + attempt.body]]
    again = 0 if keyed else 1
    assert server.counts.count("runs_sent_again") == server.counts.count("ends_unknown") == again
    assert len(server.interpreter.applied) == 1 + again and not server.interpreter.running


def test_an_unreadable_notice_opens_the_link_again() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    assert server.link is not None
    server.link.feed(b"VALUE x y z\r\n")
    server.wait(0.5)
    server.end(attempt.name)
    server.settle()
    assert attempt.answers[0][1] == b"OK" and server.counts.count("links") == 2


def test_rejected_and_empty_runs_end_their_requests() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt, two = server.call(b"lookup"), server.call(b"lookup")
    server.settle()
    assert server.link is not None
    server.link.feed(b"ERROR APPLY %b\r\n" % attempt.name)
    server.end(two.name, b"nothing")
    server.settle()
    assert [each.answers[0][1] for each in (attempt, two)] == [b"FAILED", b"FAILED"]
    assert server.dispatcher.open_count == 0


def test_more_than_32_open_are_failed_and_a_tag_used_twice_ends_its_connection() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempts = [server.call(b"lookup") for _ in range(33)]
    server.settle()
    assert sum(bool(attempt.answers) and attempt.answers[0][1] == b"FAILED" for attempt in attempts) == 1
    server.client.feed(call(1, b"%016x" % 255, b"lookup", server.now, b""))
    server.settle()
    attempts[0].cancelled = True  # no answer could tell which of the two is meant
    late = server.call(b"lookup")
    late.cancelled = True
    server.settle()
    assert not attempts[0].answers and not late.answers and server.client.open
    while server.interpreter.running:  # what was taken before it is owed its answers, and then the end comes
        assert server.client.open
        server.end(next(iter(server.interpreter.running)))
        server.settle()
    server.wait(5.0)
    assert all(len(attempt.answers) == 1 for attempt in attempts[1:]) and not late.answers
    assert not server.client.open and not server.dispatcher.open_count


def test_a_request_that_crosses_the_close_announcement_unread_is_answered_before_the_close() -> None:
    """A drain on the fleet days closed a connection over a request that had come after the farewell."""
    server = SimulatedServer(SERVER_SETTINGS)
    server.listener.set_idle_timeout(1.0)
    server.wait(2.0)
    connection = next(iter(server.listener.connections))
    assert connection.close_announced
    reader, server.client.reader = server.client.reader, None  # the bytes come, the reader's turn has not
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


def test_timers_count_from_the_opening_even_if_that_is_long_past() -> None:
    server = SimulatedServer(SERVER_SETTINGS)  # its interpreter has been up for five seconds
    attempt = server.call(b"lookup")
    server.settle()
    server.drain(0.5)
    server.wait(0.45)
    assert attempt.answers[0][1] == b"FAILED"


def test_a_request_whose_caller_leaves_in_the_same_read_takes_no_core() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    for which in range(20):
        server.cancel(server.call(b"record", b"label%d" % which))
        server.settle()
    attempt = server.call(b"lookup")
    server.settle()
    assert [name for name, *_ in server.interpreter.applied] == [attempt.name]


def test_an_internal_error_costs_one_connection_or_one_link() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()

    def fault(*_: object) -> None:
        raise RuntimeError("a fault of ours")

    server.dispatcher.run_ended = fault  # type: ignore[method-assign, assignment]
    server.end(attempt.name)
    server.wait(1.0)
    assert server.counts.count("links") == 2 and server.link is not None and server.link.open
    del server.dispatcher.run_ended
    server.listener.handler = type("Faulty", (), {"arrived": fault, "gone": lambda *_: None})()
    answers = server.ask(call(99, b"%016x" % 255, b"lookup", server.now, b""))
    assert [words[:2] for words in answers] == [[b"99", b"FAILED"]]
    assert server.counts.count("faults") == 2  # the link's and the request's
    assert server.ask(frame(b"RPC.HEALTH", b"100", b""))[0][1] == b"UP"  # the others on it go on


def test_unused_connections_with_answers_to_take_are_not_cut_off() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.listener.announce_close()
    server.client._unsent += b"an answer that the router has not taken yet"
    server.wait(3.0)
    assert server.client.open
    server.client._unsent.clear()
    server.wait(1.0)
    assert not server.client.open


def test_commands_that_never_went_out_are_not_in_doubt() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    first = server.call(b"record", b"a")
    server.call(b"record", b"a")  # the first is decided in the middle of the round
    assert server.link is not None
    server.link.feed(b"")  # and the link breaks in the same round
    server.wait(0.5)
    assert first.name in server.interpreter.running and server.counts.count("runs_sent_again") == 0


def test_a_query_due_in_the_round_of_the_greeting_does_not_take_the_fence_away() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.interpreter.up = False
    server.cut(lost=False)
    server.wait(0.5)
    assert server.link is not None
    server.interpreter.up = True
    server.link.feed(b"BANNER steady 10\r\n")
    server.scheduler.run_ready()
    server.interpreter_client._check_link()
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.name in server.interpreter.running


def test_a_cancellation_asked_for_while_there_is_no_link_goes_out_with_the_next() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.linked = False
    server.cut(lost=False)
    server.wait(0.3)
    server.cancel(attempt)
    server.settle()
    assert attempt.name in server.interpreter.running
    server.linked = True
    server.wait(1.0)
    assert not server.interpreter.running and server.dispatcher.open_count == 0


def test_nothing_arrives_later_than_it_is_decided() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.call(b"lookup", ago=-0.004)
    server.settle()
    assert [request.arrived_at for request in server.dispatcher._open_requests._exchanges] == [server.now]


def test_an_interpreter_that_moves_leaves_no_run_in_doubt_and_takes_commands_in_order() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    ended = server.call(b"lookup")
    server.settle()
    under_way = server.call(b"record", b"b")
    server.settle(deliver=False)
    server.interpreter_client.connect_to(server._connect)
    server.settle(deliver=False)
    meanwhile = server.call(b"record", b"c")
    server.settle(deliver=False)
    server.interpreter.end(ended.name)  # told by the old link, as it is left
    server.wait(0.2)
    assert [name for name, *_ in server.interpreter.applied] == [
        attempt.name for attempt in (ended, under_way, meanwhile)
    ]
    assert ended.answers[0][1] == b"OK" and not server.counts.count("runs_sent_again")
    assert server.counts.count("links") == 2 and sum(link.open for link in server.links) == 1


def test_an_interpreter_that_cannot_be_had_at_its_new_address_is_kept_at_the_old() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.interpreter_client.connect_to(lambda: None)
    attempt = server.call(b"record", b"a")
    server.wait(1.0)
    server.end(attempt.name)
    server.settle()
    assert attempt.answers[0][1] == b"OK" and server.counts.count("links") == 1
    server.interpreter_client.connect_to(server._connect)
    server.interpreter_client.connect_to(server._connect)  # twice at once: the last word counts
    server.wait(0.5)
    two = server.call(b"lookup")
    server.settle()
    assert two.name in server.interpreter.running and sum(link.open for link in server.links) == 1


def test_an_idempotency_key_with_another_body_or_request_class_is_failed_and_the_true_one_unharmed() -> None:
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


def test_the_id_of_an_open_request_is_rejected_and_the_original_unharmed() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempts = [server.call(b"record", b"a"), server.call(b"record", b"a")]  # one runs, one has joined it
    attempts += [server.call(b"lookup") for _ in range(4)]  # one runs, the others are held
    server.settle()
    open_before = server.dispatcher.open_count
    for place, attempt in enumerate(attempts):
        answers = server.ask(call(900 + place, attempt.name, attempt.request_class, server.now, b"", b"b"))
        assert [words[:2] for words in answers] == [[b"%d" % (900 + place), b"FAILED"]]
    assert server.dispatcher.open_count == open_before
    while server.interpreter.running:
        server.end(next(iter(server.interpreter.running)))
        server.settle()
    assert all(attempt.answers[0][1] == b"OK" for attempt in attempts)


def test_a_run_that_the_interpreter_does_not_know_leaves_no_trace() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    made_up = server.call(b"record", b"a")
    server.settle()
    controller = server.dispatcher._controller
    assert server.link is not None and controller is not None
    server.interpreter.applied.clear()
    server.interpreter.running.clear()
    server.link.feed(b"ERROR APPLY %b\r\n" % made_up.name)
    server.settle()
    assert made_up.answers[0][1] == b"FAILED"
    assert (
        controller.credit_pool.started
        == controller.credit_pool.completed
        == controller.resources.on_cores
        == 0
    )
    assert not controller.service_times.response_s.values
    assert not any(controller.tenant_quotas.starts.values()) and not server.idempotency_keys._entries
    true = server.call(b"record", b"a")
    server.settle()
    assert true.name in server.interpreter.running


def test_a_time_of_arrival_out_of_range_reaches_no_decision() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    calls = [
        call(900 + place, b"%016x" % place, b"lookup", server.now - ago, b"")
        for place, ago in enumerate((-1e6, -2.0, 61.0, 1e6))
    ]
    answers = server.ask(b"".join(calls))
    assert [words[1] for words in answers] == [b"FAILED"] * 4 and not server.dispatcher.open_count


def test_a_frame_that_does_not_end_ends_its_connection_and_one_that_asked_once_may_stay() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    silent, slow, once = (FakeStream(server.scheduler) for _ in range(3))
    for stream in (silent, slow, once):
        server.listener.accepted(stream)
    once.feed(frame(b"RPC.HEALTH", b"1", b""))
    for byte in call(1, b"%016x" % 1, b"lookup", server.now, b"x" * 50):
        slow.feed(bytes([byte]))
        server.wait(0.02)
    assert not slow.open and not silent.open and once.open
    once.feed(frame(b"RPC.HEALTH", b"2", b"") + b"*3\r\n")
    server.wait(1.0)
    once.feed(b"$1\r\n")
    server.wait(0.5)
    assert once.open
    server.wait(1.0)
    assert not once.open and server.client.open


def test_many_unused_connections_is_reduced_longest_unused_first() -> None:
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


def test_nothing_grows_with_new_ids_idempotency_keys_clients_and_connections() -> None:
    tracemalloc.start()  # first: what replaces something older would look like growth
    server, sizes = SimulatedServer(SERVER_SETTINGS), []
    server.listener.set_idle_timeout(1.0)
    try:
        for place in range(4000):
            request_class, idempotency_key = ((b"lookup", b""), (b"record", b"label%d" % place))[place % 2]
            stream = FakeStream(server.scheduler)
            server.listener.accepted(stream)
            frames = call(
                1, b"%016x" % place, request_class, server.now, b"x" * 200, idempotency_key, 1000 + place
            )
            stream.feed(frames if place % 3 else frames + frame(b"RPC.CANCEL", b"1"))
            server.settle()
            if server.interpreter.running:
                server.end(next(iter(server.interpreter.running)))
            server.settle()
            server.wait(0.02)
            for book in (server.interpreter.applied, server.interpreter.over, server.counts):
                book.clear()
            server.interpreter.notices[:] = [b""] * len(server.interpreter.notices)
            if place in (2500, 3999):
                gc.collect()
                ours = [tracemalloc.Filter(True, "*/sablewheel/*"), tracemalloc.Filter(False, "*/tests/*")]
                statistics = tracemalloc.take_snapshot().filter_traces(ours).statistics("lineno")
                sizes.append(sum(statistic.size for statistic in statistics))
    finally:
        tracemalloc.stop()
    controller = server.dispatcher._controller
    assert sizes[1] < sizes[0] + 75_000 and controller is not None, sizes
    assert not any(controller.tenant_quotas.starts.values())  # no shares, so no counts
    assert len(controller.clients.timeouts) == MAX_CLIENTS == 1024


def test_a_link_that_is_open_but_silent_is_opened_again() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.links.clear()  # nothing that is written arrives any more, and nothing comes
    attempt, keyed = server.call(b"lookup"), server.call(b"record", b"a")
    server.wait(2.5)
    assert server.counts.count("links") == 1 and not server.interpreter.running
    server.wait(1.0)
    assert server.counts.count("links") == 2 and set(server.interpreter.running) == {attempt.name}
    server.end(attempt.name)
    server.wait(9.0)
    assert attempt.answers[0][1] == b"OK" and keyed.answers[0][1] == b"FAILED"


def test_a_full_table_evicts_the_idle_but_not_one_with_a_request_unread() -> None:
    """Crowding out closed connections whatever lay unread in them; those go next time, once read."""
    server = SimulatedServer(SERVER_SETTINGS)
    server.wait(1.0)
    first = server.client
    others = [FakeStream(server.scheduler) for _ in range(7)]
    for number, stream in enumerate(others):
        server.listener.accepted(stream)
        stream.feed(frame(b"RPC.HEALTH", b"%d" % number, b""))  # all have been heard: the oldest goes first
    server.wait(1.0)
    first.reader = None  # a request has come on the oldest connection, the reader's turn has not
    server.call(b"lookup")
    staying = [stream for stream in others if stream.open]
    assert len(staying) >= 5
    server.listener.evict_unused()  # forty connections, a part in eight: five may go
    server.listener.evict_unused()  # those on their way count: no more go than are in the way
    server.scheduler.run_ready()
    assert first.open and sum(not stream.open for stream in staying) == min(5, len(staying))


@pytest.mark.parametrize("limit", [1.0, 0.0])
def test_rejections_are_counted_by_reason_and_those_without_advice_apart(limit: float) -> None:
    server = SimulatedServer(replace(SERVER_SETTINGS, memory_kb=0.01, max_retry_after_s=limit))
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.answers[0][1] == b"BUSY"
    alone = {} if limit else {"denied_without_advice": 1}
    assert server.dispatcher.outcomes.rejections == {"denied_memory": 1, **alone}
