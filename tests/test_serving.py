"""The rules over random interleavings on the routing layer, with a made clock; a few plain cases."""

from __future__ import annotations

import gc
import tracemalloc
from dataclasses import replace

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from simulated_server import MadeStream, Town, call, frame

from sablewheel.overload.controller import ROUTERS_KNOWN
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
    town = Town(SERVER_SETTINGS)
    for step, which in steps:
        deliver = True
        running, tries = list(town.interpreter.running), town.tries
        match step:
            case "read":
                town.call(b"lookup", ago=0.4 * which)
            case "write":
                town.call(b"record", b"label%d" % which)
            case "rush":  # two tries of one idempotency key and a cancel in one read
                first = town.call(b"record", b"label%d" % which)
                town.call(b"record", b"label%d" % which)
                town.cancel(first)
                town.call(b"record", b"label%d" % which)
            case "cancel" if tries:
                town.cancel(tries[-1 - which % len(tries)])
            case "end" | "fail" if running:
                town.end(running[which % len(running)], b"success" if step == "end" else b"failure")
            case "wait":
                town.wait(0.1 * which)
            case "long":
                town.wait(2.0 * which)
            case "cut":
                town.cut(lost=False)
            case "lose":
                town.call(b"record", b"label%d" % which)
                town.settle(deliver=False)
                town.cut(lost=True)
            case "gap":
                town.linked = which > 0
                town.cut(lost=which > 1)
            case "move":
                town.linked = True
                town.client.connect_to(town._connect)
            case "double" if town.interpreter.notices and town.link is not None:  # the last notice once more
                town.link.feed(town.interpreter.notices[-1] + b"TRACE 1 a remark\r\n")
            case "bad":  # a copied idempotency key or name with another body, a faulty field, no end
                stream, name = MadeStream(town.scheduler), running[0] if running else b"%016x" % which
                town.server.accepted(stream)
                faulty = call(1, name, b"record", town.now, b"another", b"label%d" % which)
                stream.feed([faulty, faulty.replace(b"room=", b"boom="), faulty[:-9], b"\0"][which])
            case "drain":
                town.drain(1.0 + which)
            case _:
                deliver = False
        town.settle(deliver)
    if town.notice == float("inf"):
        town.drain(2.0)
        town.settle()
    town.wait(town.stop - town.now - 0.01 if town.stop > town.now else 0.0)
    town.check()
    assert all(one.answers or one.cancelled for one in town.tries), "not answered before the stop"


def test_a_run_ends_with_its_result_and_what_is_said() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"lookup")
    town.settle()
    assert town.interpreter.running[one.name] == (b"lookup", one.body)
    town.end(one.name)
    town.settle()
    assert one.answers == [[b"1", b"OK", b"", b"made of " + one.body]]


def test_repeats_get_the_result_of_the_first_whether_they_come_before_or_after_its_end() -> None:
    town = Town(SERVER_SETTINGS)
    first, during = town.call(b"record", b"a"), town.call(b"record", b"a")
    town.settle()
    town.cancel(first)
    town.end(first.name)
    town.settle()
    late = town.call(b"record", b"a")
    town.settle()
    assert not first.answers and during.answers[0][1] == late.answers[0][1] == b"OK"
    assert len(town.interpreter.applied) == 1


def test_repeats_of_what_failed_or_whose_result_is_gone_end_in_an_error() -> None:
    town = Town(SERVER_SETTINGS)
    first, during = town.call(b"record", b"a"), town.call(b"record", b"a")
    town.settle()
    town.end(first.name, b"failure")
    town.settle()
    after = town.call(b"record", b"a")
    town.settle()
    assert [one.answers[0][1] for one in (first, during, after)] == [b"FAILED"] * 3


@pytest.mark.parametrize("room", [True, False])
def test_a_repeat_that_comes_to_full_cores_waits_and_is_never_rejected(room: bool) -> None:
    town = Town(
        replace(SERVER_SETTINGS, max_concurrency_per_core=1.0)
    )  # no more may run than there are cores
    first = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.settle()
    runs = [town.call(b"lookup") for _ in range(SERVER_SETTINGS.cores)]
    town.settle()
    assert len(town.interpreter.running) == SERVER_SETTINGS.cores
    again = town.call(b"record", b"a")
    town.settle()
    assert not again.answers
    if room:
        town.end(runs[0].name)
        town.settle()
    else:
        town.wait(SERVER_SETTINGS.request_classes[1].timeout_s)
    assert [one[1] for one in again.answers] == [b"OK" if room else b"FAILED"]
    assert first.name not in town.interpreter.running


def test_a_repeat_counts_by_when_it_came_not_by_when_it_is_read() -> None:
    town = Town(SERVER_SETTINGS)
    first = town.call(b"record", b"a")
    town.settle()
    town.end(first.name)
    town.wait(SERVER_SETTINGS.request_classes[1].idempotency_window_s + 1.0)
    late = town.call(b"record", b"a", ago=1.5)
    town.settle()
    assert late.answers[0][1] == b"OK" and len(town.interpreter.applied) == 1
    town.wait(4.0)
    town.call(b"record", b"a")
    town.settle()
    assert len(town.interpreter.applied) == 2


def test_kept_results_have_a_bound_in_bytes() -> None:
    town = Town(SERVER_SETTINGS)
    town.idempotency_keys._max_result_bytes = 100
    tries = [town.call(b"record", b"label%d" % which) for which in range(10)]
    for one in tries:
        town.settle()
        if one.name in town.interpreter.running:
            town.end(one.name)
    town.settle()
    assert town.idempotency_keys._cached_bytes <= 100
    late = [town.call(b"record", one.idempotency_key) for one in (tries[0], tries[-1])]
    town.settle()
    assert [one.answers[0][1] for one in late] == [b"FAILED", b"OK"]
    assert len(town.interpreter.applied) == 10


def test_a_link_opened_before_the_interpreter_is_up_serves_once_it_is() -> None:
    town = Town(SERVER_SETTINGS)
    town.interpreter.up = False
    town.cut(lost=False)
    town.wait(1.0)
    town.interpreter.up = True
    assert town.link is not None
    town.link.feed(b"BANNER booting 0\r\n")
    one = town.call(b"lookup")
    town.settle()
    assert one.name in town.interpreter.running


def test_a_broken_link_loses_no_end_and_applies_nothing_keyed_twice() -> None:
    town = Town(SERVER_SETTINGS)
    done, doubt = town.call(b"lookup"), town.call(b"record", b"b")
    town.settle()
    town.linked = False
    town.cut(lost=False)
    town.wait(0.1)
    town.end(done.name)
    held = town.call(b"lookup")
    town.wait(0.3)
    assert not done.answers and len(town.interpreter.applied) == 2
    town.linked = True
    town.wait(1.0)
    assert done.answers[0][1] == b"OK" and held.name in town.interpreter.running
    town.end(doubt.name)
    town.end(held.name)
    town.settle()
    assert doubt.answers[0][1] == b"OK"
    # Written just before the break, never arrived: applied again where that does no harm, and only there.
    idempotent, keyed = town.call(b"lookup"), town.call(b"record", b"c")
    town.settle(deliver=False)
    town.cut(lost=True)
    town.wait(0.5)
    assert idempotent.name in town.interpreter.running and keyed.name not in town.interpreter.running
    town.end(idempotent.name)
    town.wait(9.0)
    assert idempotent.answers[0][1] == b"OK" and keyed.answers[0][1] == b"FAILED"
    assert town.dispatch.open_count == 0


@pytest.mark.parametrize("request_class", [b"lookup", b"record"])
def test_a_run_that_ends_as_its_link_comes_back_has_one_answer(request_class: bytes) -> None:
    """The end crosses what the server sends on the new link; only a safe class may be begun once more."""
    town = Town(SERVER_SETTINGS)
    keyed = request_class == b"record"
    one = town.call(request_class, b"a" if keyed else b"")
    town.settle(deliver=False)
    town.cut(lost=False)  # the command arrives, the answer to the fence behind it does not
    feed = town.interpreter.feed

    def feed_and_end(data: bytes) -> bytes:
        said = feed(data)
        return said + town.interpreter.end(one.name) if data.startswith(b"TOP") else said

    town.interpreter.feed = feed_and_end  # type: ignore[method-assign]
    town.wait(0.1)
    assert one.answers == [[b"1", b"OK", b"", b"made of " + one.body]]
    again = 0 if keyed else 1
    assert town.counts.count("runs_sent_again") == town.counts.count("ends_unknown") == again
    assert len(town.interpreter.applied) == 1 + again and not town.interpreter.running


def test_an_unreadable_notice_opens_the_link_anew() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"lookup")
    town.settle()
    assert town.link is not None
    town.link.feed(b"VALUE x y z\r\n")
    town.wait(0.5)
    town.end(one.name)
    town.settle()
    assert one.answers[0][1] == b"OK" and town.counts.count("links") == 2


def test_rejected_and_empty_runs_end_their_requests() -> None:
    town = Town(SERVER_SETTINGS)
    one, two = town.call(b"lookup"), town.call(b"lookup")
    town.settle()
    assert town.link is not None
    town.link.feed(b"ERROR APPLY %b\r\n" % one.name)
    town.end(two.name, b"nothing")
    town.settle()
    assert [each.answers[0][1] for each in (one, two)] == [b"FAILED", b"FAILED"]
    assert town.dispatch.open_count == 0


def test_more_than_32_open_are_failed_and_a_tag_used_twice_ends_its_connection() -> None:
    town = Town(SERVER_SETTINGS)
    tries = [town.call(b"lookup") for _ in range(33)]
    town.settle()
    assert sum(bool(one.answers) and one.answers[0][1] == b"FAILED" for one in tries) == 1
    town.router.feed(call(1, b"%016x" % 255, b"lookup", town.now, b""))
    town.settle()
    tries[0].cancelled = True  # no answer could tell which of the two is meant
    late = town.call(b"lookup")
    late.cancelled = True
    town.settle()
    assert not tries[0].answers and not late.answers and town.router.open
    while town.interpreter.running:  # what was taken before it is owed its answers, and then the end comes
        assert town.router.open
        town.end(next(iter(town.interpreter.running)))
        town.settle()
    town.wait(5.0)
    assert all(len(one.answers) == 1 for one in tries[1:]) and not late.answers
    assert not town.router.open and not town.dispatch.open_count


def test_a_request_that_crosses_the_farewell_unread_is_answered_before_the_close() -> None:
    """A drain on the fleet days closed a connection over a request that had come after the farewell."""
    town = Town(SERVER_SETTINGS)
    town.server.set_idle_timeout(1.0)
    town.wait(2.0)
    connection = next(iter(town.server.connections))
    assert connection.close_announced
    reader, town.router.reader = town.router.reader, None  # the bytes come, the reader's turn has not
    late = town.call(b"lookup")
    town.wait(2.0)
    assert town.router.open and connection in town.server.connections
    town.router.reader = reader
    town.router.wake()
    town.wait(0.5)
    assert late.name in town.interpreter.running or late.answers


def test_unused_connections_get_a_farewell() -> None:
    town = Town(SERVER_SETTINGS)
    town.server.set_idle_timeout(1.0)
    one = town.call(b"lookup")
    town.wait(2.0)
    assert town.server.connections and one.name in town.interpreter.running
    connection = next(iter(town.server.connections))
    town.end(one.name)
    town.wait(2.0)
    assert connection.close_announced
    town.wait(2.0)
    assert not town.router.open


def test_alarms_count_from_the_opening_even_if_that_is_long_past() -> None:
    town = Town(SERVER_SETTINGS)  # its interpreter has been up for five seconds
    one = town.call(b"lookup")
    town.settle()
    town.drain(0.5)
    town.wait(0.45)
    assert one.answers[0][1] == b"FAILED"


def test_a_request_whose_caller_leaves_in_the_same_read_takes_no_core() -> None:
    town = Town(SERVER_SETTINGS)
    for which in range(20):
        town.cancel(town.call(b"record", b"label%d" % which))
        town.settle()
    one = town.call(b"lookup")
    town.settle()
    assert [name for name, *_ in town.interpreter.applied] == [one.name]


def test_a_fault_of_ours_costs_one_connection_or_one_link() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"lookup")
    town.settle()

    def fault(*_: object) -> None:
        raise RuntimeError("a fault of ours")

    town.dispatch.run_ended = fault  # type: ignore[method-assign, assignment]
    town.end(one.name)
    town.wait(1.0)
    assert town.counts.count("links") == 2 and town.link is not None and town.link.open
    del town.dispatch.run_ended
    town.server.handler = type("Faulty", (), {"arrived": fault, "gone": lambda *_: None})()
    said = town.ask(call(99, b"%016x" % 255, b"lookup", town.now, b""))
    assert [words[:2] for words in said] == [[b"99", b"FAILED"]]
    assert town.counts.count("faults") == 2  # the link's and the request's
    assert town.ask(frame(b"RPC.HEALTH", b"100", b""))[0][1] == b"UP"  # the others on it go on


def test_unused_connections_with_answers_to_take_are_not_cut_off() -> None:
    town = Town(SERVER_SETTINGS)
    town.server.announce_close()
    town.router._unsent += b"an answer that the router has not taken yet"
    town.wait(3.0)
    assert town.router.open
    town.router._unsent.clear()
    town.wait(1.0)
    assert not town.router.open


def test_commands_that_never_went_out_are_not_in_doubt() -> None:
    town = Town(SERVER_SETTINGS)
    first = town.call(b"record", b"a")
    town.call(b"record", b"a")  # the first is decided in the middle of the round
    assert town.link is not None
    town.link.feed(b"")  # and the link breaks in the same round
    town.wait(0.5)
    assert first.name in town.interpreter.running and town.counts.count("runs_sent_again") == 0


def test_a_question_due_in_the_round_of_the_greeting_does_not_take_the_fence_away() -> None:
    town = Town(SERVER_SETTINGS)
    town.interpreter.up = False
    town.cut(lost=False)
    town.wait(0.5)
    assert town.link is not None
    town.interpreter.up = True
    town.link.feed(b"BANNER steady 10\r\n")
    town.scheduler.run_ready()
    town.client._check_link()
    one = town.call(b"lookup")
    town.settle()
    assert one.name in town.interpreter.running


def test_a_stop_asked_for_while_there_is_no_link_goes_out_with_the_next() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"lookup")
    town.settle()
    town.linked = False
    town.cut(lost=False)
    town.wait(0.3)
    town.cancel(one)
    town.settle()
    assert one.name in town.interpreter.running
    town.linked = True
    town.wait(1.0)
    assert not town.interpreter.running and town.dispatch.open_count == 0


def test_nothing_arrives_later_than_it_is_decided() -> None:
    town = Town(SERVER_SETTINGS)
    town.call(b"lookup", ago=-0.004)
    town.settle()
    assert [request.arrived_at for request in town.dispatch._open_requests._exchanges] == [town.now]


def test_an_interpreter_that_moves_leaves_no_run_in_doubt_and_takes_commands_in_order() -> None:
    town = Town(SERVER_SETTINGS)
    ended = town.call(b"lookup")
    town.settle()
    under_way = town.call(b"record", b"b")
    town.settle(deliver=False)
    town.client.connect_to(town._connect)
    town.settle(deliver=False)
    meanwhile = town.call(b"record", b"c")
    town.settle(deliver=False)
    town.interpreter.end(ended.name)  # told by the old link, as it is left
    town.wait(0.2)
    assert [name for name, *_ in town.interpreter.applied] == [
        one.name for one in (ended, under_way, meanwhile)
    ]
    assert ended.answers[0][1] == b"OK" and not town.counts.count("runs_sent_again")
    assert town.counts.count("links") == 2 and sum(one.open for one in town.links) == 1


def test_an_interpreter_that_cannot_be_had_at_its_new_address_is_kept_at_the_old() -> None:
    town = Town(SERVER_SETTINGS)
    town.client.connect_to(lambda: None)
    one = town.call(b"record", b"a")
    town.wait(1.0)
    town.end(one.name)
    town.settle()
    assert one.answers[0][1] == b"OK" and town.counts.count("links") == 1
    town.client.connect_to(town._connect)
    town.client.connect_to(town._connect)  # twice at once: the last word counts
    town.wait(0.5)
    two = town.call(b"lookup")
    town.settle()
    assert two.name in town.interpreter.running and sum(one.open for one in town.links) == 1


def test_a_idempotency_key_with_another_body_or_request_class_is_failed_and_the_true_one_unharmed() -> None:
    town = Town(SERVER_SETTINGS)
    first = town.call(b"record", b"a")
    town.settle()
    said = []
    for tag in (900, 901):  # while the first runs, and after its end
        copy = call(tag, b"%016x" % tag, b"record", town.now, b"another body", b"a")
        said += [words[:2] for words in town.ask(copy) if int(words[0]) >= 900]
        if tag == 900:
            town.end(first.name)
            town.settle()
    assert said == [[b"900", b"FAILED"], [b"901", b"FAILED"]]
    again = town.call(b"record", b"a")
    town.settle()
    assert first.answers[0][1] == again.answers[0][1] == b"OK" and town.dispatch.open_count == 0


def test_the_name_of_an_open_request_is_refused_and_the_first_unharmed() -> None:
    town = Town(SERVER_SETTINGS)
    tries = [town.call(b"record", b"a"), town.call(b"record", b"a")]  # one runs, one has joined it
    tries += [town.call(b"lookup") for _ in range(4)]  # one runs, the others are held
    town.settle()
    open_before = town.dispatch.open_count
    for place, one in enumerate(tries):
        said = town.ask(call(900 + place, one.name, one.request_class, town.now, b"", b"b"))
        assert [words[:2] for words in said] == [[b"%d" % (900 + place), b"FAILED"]]
    assert town.dispatch.open_count == open_before
    while town.interpreter.running:
        town.end(next(iter(town.interpreter.running)))
        town.settle()
    assert all(one.answers[0][1] == b"OK" for one in tries)


def test_a_run_that_the_interpreter_does_not_know_leaves_no_trace() -> None:
    town = Town(SERVER_SETTINGS)
    made_up = town.call(b"record", b"a")
    town.settle()
    controller = town.dispatch._controller
    assert town.link is not None and controller is not None
    town.interpreter.applied.clear()
    town.interpreter.running.clear()
    town.link.feed(b"ERROR APPLY %b\r\n" % made_up.name)
    town.settle()
    assert made_up.answers[0][1] == b"FAILED"
    assert controller.taken == controller.put == controller.on_cores == 0 and not controller.trips.raw
    assert not any(controller.tenants.values()) and not town.idempotency_keys._entries
    true = town.call(b"record", b"a")
    town.settle()
    assert true.name in town.interpreter.running


def test_a_time_of_arrival_out_of_range_reaches_no_decision() -> None:
    town = Town(SERVER_SETTINGS)
    calls = [
        call(900 + place, b"%016x" % place, b"lookup", town.now - ago, b"")
        for place, ago in enumerate((-1e6, -2.0, 61.0, 1e6))
    ]
    said = town.ask(b"".join(calls))
    assert [words[1] for words in said] == [b"FAILED"] * 4 and not town.dispatch.open_count


def test_a_frame_that_does_not_end_ends_its_connection_and_one_that_asked_once_may_stay() -> None:
    town = Town(SERVER_SETTINGS)
    silent, slow, once = (MadeStream(town.scheduler) for _ in range(3))
    for stream in (silent, slow, once):
        town.server.accepted(stream)
    once.feed(frame(b"RPC.HEALTH", b"1", b""))
    for byte in call(1, b"%016x" % 1, b"lookup", town.now, b"x" * 50):
        slow.feed(bytes([byte]))
        town.wait(0.02)
    assert not slow.open and not silent.open and once.open
    once.feed(frame(b"RPC.HEALTH", b"2", b"") + b"*3\r\n")
    town.wait(1.0)
    once.feed(b"$1\r\n")
    town.wait(0.5)
    assert once.open
    town.wait(1.0)
    assert not once.open and town.router.open


def test_a_crowd_of_unused_connections_is_thinned_longest_unused_first() -> None:
    town = Town(SERVER_SETTINGS)
    streams = [MadeStream(town.scheduler) for _ in range(30)]
    for stream in streams:
        town.server.accepted(stream)
        stream.feed(frame(b"RPC.HEALTH", b"1", b""))
        town.wait(0.1)
    town.wait(6.0)
    assert [one.open for one in (town.router, *streams)] == [False] * 21 + [True] * 10
    town.wait(60.0)
    assert sum(one.open for one in streams) == 10


def test_nothing_grows_with_new_names_idempotency_keys_routers_and_connections() -> None:
    tracemalloc.start()  # first: what replaces something older would look like growth
    town, sizes = Town(SERVER_SETTINGS), []
    town.server.set_idle_timeout(1.0)
    try:
        for place in range(4000):
            request_class, idempotency_key = ((b"lookup", b""), (b"record", b"label%d" % place))[place % 2]
            stream = MadeStream(town.scheduler)
            town.server.accepted(stream)
            frames = call(
                1, b"%016x" % place, request_class, town.now, b"x" * 200, idempotency_key, 1000 + place
            )
            stream.feed(frames if place % 3 else frames + frame(b"RPC.CANCEL", b"1"))
            town.settle()
            if town.interpreter.running:
                town.end(next(iter(town.interpreter.running)))
            town.settle()
            town.wait(0.02)
            for book in (town.interpreter.applied, town.interpreter.over, town.counts):
                book.clear()
            town.interpreter.notices[:] = [b""] * len(town.interpreter.notices)
            if place in (2500, 3999):
                gc.collect()
                ours = [tracemalloc.Filter(True, "*/sablewheel/*"), tracemalloc.Filter(False, "*/tests/*")]
                kept = tracemalloc.take_snapshot().filter_traces(ours).statistics("lineno")
                sizes.append(sum(one.size for one in kept))
    finally:
        tracemalloc.stop()
    controller = town.dispatch._controller
    assert sizes[1] < sizes[0] + 75_000 and controller is not None, sizes
    assert not any(controller.tenants.values())  # no shares, so no counts
    assert len(controller.patience) == ROUTERS_KNOWN == 1024


def test_a_link_that_is_open_but_silent_is_made_anew() -> None:
    town = Town(SERVER_SETTINGS)
    town.links.clear()  # nothing that is written arrives any more, and nothing comes
    one, keyed = town.call(b"lookup"), town.call(b"record", b"a")
    town.wait(2.5)
    assert town.counts.count("links") == 1 and not town.interpreter.running
    town.wait(1.0)
    assert town.counts.count("links") == 2 and set(town.interpreter.running) == {one.name}
    town.end(one.name)
    town.wait(9.0)
    assert one.answers[0][1] == b"OK" and keyed.answers[0][1] == b"FAILED"


def test_a_full_table_crowds_out_the_idle_but_not_one_with_a_request_unread() -> None:
    """Crowding out closed connections whatever lay unread in them; those go next time, once read."""
    town = Town(SERVER_SETTINGS)
    town.wait(1.0)
    first = town.router
    others = [MadeStream(town.scheduler) for _ in range(7)]
    for number, stream in enumerate(others):
        town.server.accepted(stream)
        stream.feed(frame(b"RPC.HEALTH", b"%d" % number, b""))  # all have been heard: the oldest goes first
    town.wait(1.0)
    first.reader = None  # a request has come on the oldest connection, the reader's turn has not
    town.call(b"lookup")
    staying = [one for one in others if one.open]
    assert len(staying) >= 5
    town.server.evict_unused()  # forty connections, a part in eight: five may go
    town.server.evict_unused()  # those on their way count: no more go than are in the way
    town.scheduler.run_ready()
    assert first.open and sum(not one.open for one in staying) == min(5, len(staying))


@pytest.mark.parametrize("limit", [1.0, 0.0])
def test_rejections_are_counted_by_reason_and_those_without_advice_apart(limit: float) -> None:
    town = Town(replace(SERVER_SETTINGS, memory_kb=0.01, max_retry_after_s=limit))
    one = town.call(b"lookup")
    town.settle()
    assert one.answers[0][1] == b"BUSY"
    alone = {} if limit else {"denied_without_advice": 1}
    assert town.dispatch.outcomes.rejections == {"denied_memory": 1, **alone}
