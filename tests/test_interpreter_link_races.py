"""Races on the link to the interpreter: breaks, moves and silence that coincide with commands and notices.

Most tests control the order of events by a fake clock; those that need real sockets use loopback.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from random import Random

import pytest
from simulated_server import Attempt, FakeStream, SimulatedInterpreter, SimulatedServer
from test_serving import SERVER_SETTINGS

from sablewheel.overload.interface import Client, Idempotency, Outcome, Request, RequestClass
from sablewheel.protocol import interpreter
from sablewheel.serving.exchange import Exchange
from sablewheel.serving.fences import MAX_TRACKED_QUERIES
from sablewheel.serving.interpreter_client import InterpreterClient
from sablewheel.transport.listening_socket import Listener
from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.transport.stream import Stream, connect

CommandHandler = Callable[[list[bytes], bytes], bytes]


def intercept_commands(
    server: SimulatedServer, interceptor: Callable[[CommandHandler, list[bytes], bytes], bytes]
) -> None:
    """Pass each command to `interceptor` from now on, until `stop_intercepting`."""
    handle = server.interpreter._handle_command
    server.interpreter._handle_command = lambda words, body: interceptor(handle, words, body)  # type: ignore[method-assign]


def answer_queries_only(handle: CommandHandler, words: list[bytes], body: bytes) -> bytes:
    """Drop start and cancel commands, as can happen to those of the last 50 ms before a break."""
    return b"" if words[0] in (b"APPLY", b"BREAK") else handle(words, body)


def stop_intercepting(server: SimulatedServer) -> None:
    del server.interpreter._handle_command


def break_link(server: SimulatedServer, lost: bool) -> None:
    """Break the link, and wait until the next one can be ready."""
    server.break_link(lost)
    server.settle()
    server.wait(0.1)


# -- commands written in the last 50 ms before a break


def test_a_run_lost_just_before_a_break_is_resent_though_a_query_after_it_was_answered() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    intercept_commands(server, answer_queries_only)
    attempt = server.call(b"lookup")
    server.settle()
    stop_intercepting(server)
    break_link(server, lost=False)
    assert attempt.name in server.interpreter.running


@pytest.mark.parametrize("lost", [False, True])
def test_a_keyed_run_that_a_break_leaves_unconfirmed_is_never_resent(lost: bool) -> None:
    """If the command was read, the end of the run counts; if not, its client gets an error in time.

    In both cases the run does not stay open.
    """
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle(deliver=False)
    break_link(server, lost)
    repeat = server.call(b"record", b"a")
    server.settle()
    assert [name for name, *_ in server.interpreter.applied] == ([] if lost else [attempt.name])
    assert server.counts.count("runs_unconfirmed") == 1
    if not lost:
        server.end(attempt.name)
        server.settle()
        assert attempt.answers[0][1] == repeat.answers[0][1] == b"OK"
    server.wait(9.0)
    assert {attempt.answers[0][1], repeat.answers[0][1]} == ({b"FAILED"} if lost else {b"OK"})
    assert server.dispatcher.open_count == 0 and not server.interpreter_client._runs


def test_unconfirmed_runs_do_not_keep_requests_from_idle_cores() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    lost = [server.call(b"record", b"%d" % number) for number in range(SERVER_SETTINGS.cores)]
    server.settle(deliver=False)
    break_link(server, lost=True)
    others = [server.call(b"record", b"other%d" % number) for number in range(SERVER_SETTINGS.cores)]
    server.settle()
    assert set(server.interpreter.running) == {attempt.name for attempt in others}
    assert not any(attempt.answers for attempt in lost)


def test_no_keyed_command_is_written_to_a_link_on_which_nothing_is_received() -> None:
    """The command would be lost with the link, and could not be written again."""
    server = SimulatedServer(SERVER_SETTINGS)
    server.wait(0.5)
    links, server.links = server.links, []  # written data no longer arrives
    server.wait(1.0)
    keyed, safe = server.call(b"record", b"a"), server.call(b"lookup")
    server.settle()
    assert links[0].written.count(b"APPLY") == 1
    server.wait(2.5)
    assert server.counts.count("links") == 2 and set(server.interpreter.running) == {keyed.name, safe.name}
    assert not server.counts.count("runs_unconfirmed")


def test_keyed_commands_are_written_as_soon_as_a_silent_link_sends_again() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.wait(0.5)
    links, server.links = server.links, []
    server.wait(1.0)
    keyed = server.call(b"record", b"a")
    server.settle()
    assert not server.interpreter.running
    server.links = links
    server.settle()
    assert server.counts.count("links") == 1 and set(server.interpreter.running) == {keyed.name}


def test_requests_that_time_out_during_an_outage_are_not_started_and_their_keys_are_free() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.accepts_links = False
    server.break_link(lost=False)
    server.wait(0.1)
    keyed, safe = server.call(b"record", b"a"), server.call(b"lookup")
    server.wait(4.5)
    assert keyed.answers[0][1] == safe.answers[0][1] == b"FAILED"
    commands: list[bytes] = []

    def record_command(handle: CommandHandler, words: list[bytes], body: bytes) -> bytes:
        commands.append(words[0])
        return handle(words, body)

    intercept_commands(server, record_command)
    server.accepts_links = True
    server.wait(1.0)
    stop_intercepting(server)
    assert (
        b"APPLY" not in commands and not server.interpreter_client._runs and server.dispatcher.open_count == 0
    )
    repeat = server.call(b"record", b"a")
    server.settle()
    server.end(repeat.name)
    server.settle()
    assert repeat.answers[0][1] == b"OK"


def test_a_run_whose_end_notice_is_invalid_frees_its_slot() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle()
    del server.interpreter.running[attempt.name]
    for _ in range(2):
        assert server.link is not None
        server.link.feed(b"VALUE 1 %b succeeded 250 0\r\n\r\n" % attempt.name)
        server.wait(0.1)
    assert server.counts.count("notices_passed_over") == 1
    assert attempt.answers[0][1] == b"FAILED" and server.dispatcher.open_count == 0


def test_unconfirmed_runs_count_towards_the_concurrency_limit_until_they_are_given_up() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    fill_with_lost_commands(server)
    assert server.counts.count("runs_unconfirmed") == MAX_RUNS
    rejected = server.call(b"record", b"refused")
    server.settle()
    assert not server.interpreter.running
    server.wait(9.0)
    served = server.call(b"record", b"served")
    server.settle()
    assert rejected.answers[0][1] == b"BUSY" and set(server.interpreter.running) == {served.name}


MAX_RUNS = int(SERVER_SETTINGS.cores * SERVER_SETTINGS.max_concurrency_per_core)
RECORD_DEADLINE_S = (
    SERVER_SETTINGS.request_classes[1].timeout_s + SERVER_SETTINGS.answer_slack_s
)  # including the slack
ROUND_TRIP_S = 0.05  # round trip of a query, including a round of timers


def break_after_command(server: SimulatedServer, idempotency_key: bytes = b"a", lost: bool = True) -> Attempt:
    """Break the link directly after the command of a keyed request, which is lost or read."""
    attempt = server.call(b"record", idempotency_key)
    server.settle(deliver=False)
    break_link(server, lost)
    return attempt


def fill_with_lost_commands(server: SimulatedServer) -> None:
    for number in range(MAX_RUNS):
        break_after_command(server, b"%d" % number)


def test_lost_commands_free_their_slots_once_the_interpreter_reports_that_none_runs() -> None:
    """They took up the concurrency limit for another longest timeout, in which nothing was started."""
    server = SimulatedServer(SERVER_SETTINGS)
    fill_with_lost_commands(server)
    server.wait(RECORD_DEADLINE_S + ROUND_TRIP_S)
    served = server.call(b"record", b"served")
    server.settle()
    assert set(server.interpreter.running) == {served.name}


@pytest.mark.parametrize("has_answered", [False, True])
def test_a_lost_query_is_written_again_only_to_an_interpreter_that_has_answered_one(
    has_answered: bool,
) -> None:
    """An interpreter that starts the run instead of answering would start it twice."""
    server = SimulatedServer(SERVER_SETTINGS)
    if has_answered:
        fill_with_lost_commands(server)
        server.wait(RECORD_DEADLINE_S + ROUND_TRIP_S)
    break_after_command(server)
    queries = server.counts.count("runs_queried")
    intercept_commands(server, answer_queries_only)
    server.wait(RECORD_DEADLINE_S + ROUND_TRIP_S)
    assert server.counts.count("runs_queried") == queries + 1 and server.dispatcher.open_count == 1
    stop_intercepting(server)
    break_link(server, lost=True)
    assert server.counts.count("runs_queried") == queries + 1 + has_answered
    assert server.dispatcher.open_count == (0 if has_answered else 1) and not server.interpreter.applied


def test_an_interpreter_that_starts_a_queried_run_starts_it_once() -> None:
    """By the protocol a query starts nothing, but rule 2 must not depend on that."""
    server = SimulatedServer(SERVER_SETTINGS)
    break_after_command(server)

    def start_all(handle: CommandHandler, words: list[bytes], body: bytes) -> bytes:
        server.interpreter.answered.clear()
        return handle(words, body)

    intercept_commands(server, start_all)
    server.wait(RECORD_DEADLINE_S + ROUND_TRIP_S)
    assert len(server.interpreter.running) == 1
    break_link(server, lost=False)
    server.end(server.attempts[0].name)
    server.settle()
    break_link(server, lost=True)
    assert len(server.interpreter.applied) == 1 and server.dispatcher.open_count == 0


def test_a_query_starts_nothing_and_a_run_in_progress_keeps_its_slot() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = break_after_command(server, lost=False)
    server.wait(RECORD_DEADLINE_S + ROUND_TRIP_S)
    assert server.counts.count("runs_queried") == 1 and server.dispatcher.open_count == 1
    server.end(attempt.name)
    server.settle()
    assert len(server.interpreter.applied) == 1 and server.dispatcher.open_count == 0
    assert not server.counts.count("ends_unknown")


def test_no_run_is_queried_while_its_client_waits() -> None:
    """The interpreter would start the run, which may have run before."""
    server = SimulatedServer(SERVER_SETTINGS)
    break_after_command(server)
    while not server.attempts[0].answers:
        assert not server.counts.count("runs_queried")
        server.wait(0.01)
    server.wait(RECORD_DEADLINE_S - server.now + server.attempts[0].since - 0.01)
    assert not server.counts.count("runs_queried")
    server.wait(ROUND_TRIP_S)
    assert server.counts.count("runs_queried") == 1 and not server.interpreter.applied


def test_the_key_of_a_run_whose_query_is_rejected_stays_reserved() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    break_after_command(server)

    def reject_starts(handle: CommandHandler, words: list[bytes], body: bytes) -> bytes:
        return b"ERROR APPLY %b\r\n" % words[1] if words[0] == b"APPLY" else handle(words, body)

    intercept_commands(server, reject_starts)
    server.wait(RECORD_DEADLINE_S + ROUND_TRIP_S)
    stop_intercepting(server)
    assert server.dispatcher.open_count == 0
    repeat = server.call(b"record", b"a")  # within its window
    server.settle()
    assert not server.interpreter.applied and repeat.answers[0][1] == b"FAILED"


def test_a_keyed_run_whose_command_never_left_the_process_is_sent() -> None:
    """The link was already broken, so the interpreter can't have read the command."""
    server = SimulatedServer(SERVER_SETTINGS)
    assert server.link is not None
    server.link.accepts_writes = False
    attempt = server.call(b"record", b"a")
    server.settle(deliver=False)
    break_link(server, lost=True)
    assert attempt.name in server.interpreter.running and not server.counts.count("runs_unconfirmed")


def test_an_end_that_is_received_after_its_run_was_given_up_counts_as_unknown() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle(deliver=False)
    break_link(server, lost=False)
    server.wait(5.5)
    repeat = server.call(b"record", b"a")  # within the window of six seconds
    server.wait(3.0)
    assert attempt.answers[0][1] == repeat.answers[0][1] == b"FAILED" and server.dispatcher.open_count == 0
    server.end(attempt.name)
    server.settle()
    assert len(server.interpreter.applied) == 1 and server.counts.count("ends_unknown") == 1


def test_a_query_that_was_written_long_before_its_answer_proves_no_earlier_run() -> None:
    """After a stall, the interpreter reads a start command and two queries at once and breaks the link."""
    server = SimulatedServer(SERVER_SETTINGS)
    links, server.links = server.links, []
    attempt = server.call(b"lookup")
    server.wait(0.5)
    intercept_commands(server, answer_queries_only)
    server.links = links
    server.settle()
    stop_intercepting(server)
    break_link(server, lost=False)
    assert attempt.name in server.interpreter.running


def test_the_number_of_tracked_unanswered_queries_is_bounded() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.links.clear()  # written data no longer arrives
    for _ in range(MAX_TRACKED_QUERIES + 100):
        server.interpreter_client._query_gauges = True
        server.interpreter_client.flush()
    assert len(server.interpreter_client._fences._unanswered) == MAX_TRACKED_QUERIES


def test_a_link_that_is_replaced_before_its_greeting_proves_nothing_about_the_previous_link() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    intercept_commands(server, answer_queries_only)
    attempt = server.call(b"lookup")
    server.settle()
    stop_intercepting(server)
    server.interpreter.is_up = False
    break_link(server, lost=False)
    server.interpreter_client.connect_to(server._connect)
    server.interpreter.is_up = True
    server.wait(0.1)
    assert server.counts.count("links") == 3 and attempt.name in server.interpreter.running


def test_a_run_whose_command_was_proven_read_long_ago_is_not_resent() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle()
    server.wait(0.5)
    break_link(server, lost=False)
    assert server.counts.count("links") == 2 and not server.counts.count("runs_sent_again")
    assert attempt.name in server.interpreter.running


def test_a_run_resent_and_lost_again_is_sent_a_third_time() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle(deliver=False)
    intercept_commands(server, answer_queries_only)
    break_link(server, lost=True)
    stop_intercepting(server)
    break_link(server, lost=False)
    assert attempt.name in server.interpreter.running and server.counts.count("runs_sent_again") == 2


@pytest.mark.parametrize("answered", [False, True])
def test_a_cancellation_that_is_lost_in_a_break_is_resent(answered: bool) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.cancel(attempt)
    intercept_commands(server, answer_queries_only)
    server.settle(deliver=answered)
    stop_intercepting(server)
    break_link(server, lost=True)
    assert not server.interpreter.running and server.dispatcher.open_count == 0


def test_a_run_rejected_as_it_is_resent_may_have_run() -> None:
    """The run started on the old link, so it does not count as never started. A keyed run is not resent."""
    server = SimulatedServer(SERVER_SETTINGS)
    attempt, keyed = server.call(b"lookup"), server.call(b"record", b"a")
    server.settle(deliver=False)
    server.break_link(lost=False)
    intercept_commands(
        server,
        lambda handle, words, body: (
            b"ERROR APPLY %b\r\n" % words[1] if words[0] == b"APPLY" else handle(words, body)
        ),
    )
    server.wait(0.1)
    stop_intercepting(server)
    repeat = server.call(b"record", b"a")
    server.settle()
    assert len(server.interpreter.applied) == 2 and server.counts.count("commands_rejected") == 1
    assert attempt.answers[0][1] == b"FAILED" and server.counts.count("runs_error") == 1
    server.end(attempt.name)
    server.end(keyed.name)
    server.settle()
    assert keyed.answers[0][1] == repeat.answers[0][1] == b"OK"
    assert server.counts.count("ends_unknown") == 1 and server.dispatcher.open_count == 0


# -- notices across a change of the link


@pytest.mark.parametrize("size", [1, 7, 40, -1])
def test_a_notice_that_is_cut_by_a_break_counts_once(size: int) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    assert server.link is not None
    notice = server.interpreter.end(attempt.name)
    server.link.feed(notice[:size])
    server.settle()
    assert not attempt.answers
    break_link(server, lost=False)
    assert attempt.answers[0][3] == b"made of " + attempt.body
    server.link.feed(notice)  # the same notice again, after the break
    server.settle()
    assert len(attempt.answers) == 1 and not server.counts.count("ends_unknown")


def test_an_end_that_races_with_a_cancellation_and_a_break_ends_the_run() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.cancel(attempt)
    server.settle(deliver=False)  # the cancellation is in transit
    server.interpreter.end(attempt.name)  # and so is the end
    break_link(server, lost=True)
    assert server.dispatcher.open_count == 0 and not server.counts.count("ends_unknown")


# -- moves


def test_a_move_during_a_hand_over_keeps_the_newest_available_link() -> None:
    """The second address is unreachable for a while; the connected link to the first one was discarded."""
    server = SimulatedServer(SERVER_SETTINGS)
    reachable = False
    server.interpreter_client.connect_to(server._connect)
    server.scheduler.run_ready()  # connected; waits until all commands on the old link are read
    server.interpreter_client.connect_to(lambda: server._connect() if reachable else None)
    server.wait(0.5)
    attempt = server.call(b"record", b"a")
    server.settle()
    assert attempt.name in server.interpreter.running and sum(link.open for link in server.links) == 1
    reachable = True
    server.wait(1.0)
    assert server.counts.count("links") == 3 and sum(link.open for link in server.links) == 1
    second = server.call(b"lookup")
    server.settle()
    assert second.name in server.interpreter.running


def test_an_older_move_does_not_replace_the_link_of_a_newer_one() -> None:
    """The newer link is open while the older move still waits for the hand-over or for its connection."""
    server = SimulatedServer(SERVER_SETTINGS)
    streams: list[FakeStream] = []

    def connect_slowly() -> Stream:
        server.scheduler.sleep(0.05)
        streams.append(FakeStream(server.scheduler))
        return streams[-1]

    server.interpreter_client.connect_to(connect_slowly)
    server.scheduler.run_ready()
    server.interpreter_client.connect_to(server._connect)
    server.scheduler.run_ready()
    server.interpreter_client.connect_to(server._connect)
    server.wait(0.5)
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.name in server.interpreter.running
    assert len(streams) == 1 and not streams[0].open and not streams[0].written
    assert sum(link.open for link in server.links) == 1


@pytest.mark.parametrize("lost", [False, True])
def test_an_old_link_that_breaks_during_the_hand_over_leaves_no_run_open(lost: bool) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    earlier = server.call(b"record", b"a")
    server.settle(deliver=False)
    server.interpreter_client.connect_to(server._connect)
    server.scheduler.run_ready()
    withheld = server.call(b"record", b"b")
    server.settle(deliver=False)
    break_link(server, lost)
    assert set(server.interpreter.running) == ({withheld.name} if lost else {earlier.name, withheld.name})
    server.end(withheld.name)
    if not lost:
        server.end(earlier.name)
    server.wait(9.0)
    assert withheld.answers[0][1] == b"OK" and earlier.answers[0][1] == (b"FAILED" if lost else b"OK")
    assert server.dispatcher.open_count == 0


def test_a_cancellation_and_a_shutdown_notice_during_a_hand_over_take_effect() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    cancelled, remaining = server.call(b"lookup"), server.call(b"lookup")
    server.settle()
    server.interpreter_client.connect_to(server._connect)
    server.scheduler.run_ready()
    server.cancel(cancelled)
    server.drain(1.0)
    server.settle(deliver=False)
    server.wait(0.2)
    assert set(server.interpreter.running) == {remaining.name}
    server.end(remaining.name)
    server.settle()
    assert remaining.answers[0][1] == b"OK" and server.dispatcher.open_count == 0


def test_a_new_address_that_accepts_and_closes_links_is_retried_until_it_greets() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle()
    closed_links: list[FakeStream] = []

    def connect_to_closed() -> Stream | None:
        if len(closed_links) == 3:
            return server._connect()
        closed_links.append(FakeStream(server.scheduler))
        closed_links[-1].feed(b"")
        return closed_links[-1]

    server.interpreter_client.connect_to(connect_to_closed)
    server.wait(0.5)
    assert len(closed_links) == 3 and attempt.name in server.interpreter.running
    server.end(attempt.name)
    server.settle()
    assert attempt.answers[0][1] == b"OK"


def test_an_internal_error_while_connecting_is_retried() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    errors = [RuntimeError("simulated internal error")] * 2

    def connect_with_errors() -> Stream | None:
        if errors:
            raise errors.pop()
        return server._connect()

    server.interpreter_client.connect_to(connect_with_errors)
    server.wait(0.5)
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.name in server.interpreter.running and server.counts.count("links") == 2
    assert server.counts.count("faults") == 2


# -- silent links


def test_a_pause_of_the_whole_machine_does_not_count_as_silence_of_the_link() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    for _ in range(3):
        server.scheduler.clock.now += 10.0  # nothing was received, as nothing could be sent
        server.wait(0.0)
    server.wait(1.0)
    assert server.counts.count("links") == 1 and not server.counts.count("links_silent")


def test_a_new_link_that_is_accepted_but_never_greeted_is_reopened() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle()
    server.interpreter.is_up = False  # accepts links, but sends nothing
    server.break_link(lost=False)
    server.wait(2.5)
    assert server.counts.count("links") == 2
    server.interpreter.is_up = True
    server.wait(1.0)
    assert server.counts.count("links") == 3 and server.counts.count("links_silent") == 1
    second = server.call(b"lookup")
    server.settle()
    assert set(server.interpreter.running) == {attempt.name, second.name}


def test_a_link_that_turns_silent_between_the_greeting_and_the_first_answer_is_reopened() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    intercept_commands(server, lambda handle, words, body: b"" if words[0] == b"TOP" else handle(words, body))
    server.break_link(lost=False)
    server.wait(2.5)
    assert server.counts.count("links") == 2
    stop_intercepting(server)
    server.wait(1.0)
    attempt = server.call(b"lookup")
    server.settle()
    assert server.counts.count("links") == 3 and attempt.name in server.interpreter.running


def test_the_disconnected_time_includes_links_that_are_opened_but_not_greeted() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    assert server.interpreter_client.disconnected_for_s == 0.0
    server.accepts_links = False
    break_link(server, lost=False)
    server.wait(1.0)
    server.accepts_links, server.interpreter.is_up = True, False
    server.wait(1.0)
    assert 2.0 < server.interpreter_client.disconnected_for_s < 2.2
    server.interpreter.is_up = True
    server.break_link(lost=False)
    server.wait(0.6)
    assert server.interpreter_client.disconnected_for_s == 0.0


def test_an_interpreter_that_is_not_up_yet_is_awaited_on_one_link() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    counts: list[str] = []
    client = InterpreterClient(
        server.scheduler, lambda: FakeStream(server.scheduler), server.dispatcher, counts.append
    )
    server.wait(20.0)
    assert counts == ["links"] and client.gauges() == ()


# -- random interleavings


class GreetingAwareLink(FakeStream):
    greeted = False

    def feed(self, data: bytes) -> None:
        self.greeted = self.greeted or data.startswith(b"BANNER")
        super().feed(data)


class GreetingFirstServer(SimulatedServer):
    """A server whose interpreter reports no end on a link before the greeting, which repeats missed ends."""

    def _connect(self) -> Stream | None:
        if not self.accepts_links:
            return None
        self.links = [link for link in self.links if link.open] + [GreetingAwareLink(self.scheduler)]
        return self.links[-1]

    def end(self, name: bytes, outcome: bytes = b"success") -> None:
        if isinstance(self.link, GreetingAwareLink) and self.link.greeted:
            return super().end(name, outcome)
        self.interpreter.end(name, outcome)


@pytest.mark.parametrize("seed", range(40))
def test_every_run_ends_under_random_interleavings(seed: int) -> None:
    """Includes breaks that lose commands before answered queries, nested moves and links without greeting.

    The rules are checked after each step. In the end no run may be open at the server or the interpreter.
    """
    random, server = Random(seed), GreetingFirstServer(SERVER_SETTINGS)
    for _ in range(60):
        running = list(server.interpreter.running)
        match random.choice(
            ["read", "write", "end", "end", "stop", "break", "take", "move", "gap", "mute", "wait"]
        ):
            case "read":
                server.call(b"lookup")
            case "write":
                server.call(b"record", b"label%d" % random.randrange(6))
            case "end" if running:
                server.end(random.choice(running), random.choice([b"success", b"failure"]))
            case "stop" if server.attempts:
                server.cancel(random.choice(server.attempts))
            case "break":
                server.break_link(lost=random.random() < 0.5)
            case "take":  # a command is lost although a query after it was answered
                intercept_commands(server, answer_queries_only)
                server.call(b"record", b"label%d" % random.randrange(6))
                server.settle()
                stop_intercepting(server)
                server.break_link(lost=False)
            case "move":
                server.interpreter_client.connect_to(server._connect)
                server.scheduler.run_ready()
            case "gap":  # the interpreter becomes unreachable, or reachable again
                server.accepts_links = not server.accepts_links
                server.break_link(lost=False)
            case "mute":  # the interpreter stops answering, or answers again
                server.interpreter.is_up = not server.interpreter.is_up
                server.break_link(lost=False)
            case _:
                server.wait(random.choice([0.003, 0.03, 0.3]))
        if random.random() < 0.7:
            server.settle(deliver=random.random() < 0.7)
    server.accepts_links = server.interpreter.is_up = True
    server.wait(5.0)
    while server.interpreter.running:
        server.end(next(iter(server.interpreter.running)))
        server.wait(0.5)
    server.wait(9.0)  # until runs with an unconfirmed start are given up
    assert not server.interpreter_client._runs and server.dispatcher.open_count == 0
    assert sum(link.open for link in server.links) == 1


# -- on loopback


class RecordingRunHandler:
    def __init__(self) -> None:
        self.ends: list[tuple[bytes, Outcome, bytes]] = []
        self.greetings = 0

    def interpreter_ready(self, cold: bool, uptime_s: float) -> None:
        self.greetings += 1

    def run_ended(self, exchange: Exchange, outcome: Outcome, run_time_s: float, result: bytes) -> None:
        self.ends.append((exchange.name, outcome, result))

    def call_needed(self, exchange: Exchange) -> None:
        raise AssertionError(f"unexpected dependency call of the run {exchange.name!r}")

    def start_unconfirmed(self, exchange: Exchange) -> None: ...


class FakeInterpreter:
    """The interpreter at one address; all addresses share the simulated interpreter `core`."""

    def __init__(self, scheduler: Scheduler, core: SimulatedInterpreter) -> None:
        self.core, self.links = core, list[Stream]()
        with socket.create_server(("127.0.0.1", 0)) as probe:
            self.address = probe.getsockname()
        self.listener = Listener(scheduler, self.address, lambda: True, self._accepted, lambda: None)
        self.scheduler = scheduler

    def _accepted(self, stream: Stream) -> None:
        self.links.append(stream)
        self.scheduler.spawn(self._serve, stream)

    def _serve(self, stream: Stream) -> None:
        self.core.bytes = b""
        while data := stream.read():
            stream.write(self.core.feed(data))
            stream.flush()

    def reset(self) -> None:
        """Close the link with a TCP reset; undelivered data is lost."""
        sock = self.links[-1]._socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.links[-1].close()


def exchange(name: bytes) -> Exchange:
    request = Request(RequestClass(Idempotency.KEYED, 1.0, 4.0), Client(), None, 0.0, 1.0)
    return Exchange(name, b"record", b"body of " + name, 1, name, request, None)


def test_a_move_during_a_break_within_a_notice_loses_and_repeats_nothing() -> None:
    """The old address resets its link within a notice, with a command unread, as the new one connects."""
    scheduler, core, handler = Scheduler(Clock()), SimulatedInterpreter(), RecordingRunHandler()
    counts: list[str] = []
    old, new = FakeInterpreter(scheduler, core), FakeInterpreter(scheduler, core)
    client = InterpreterClient(
        scheduler, lambda: connect(scheduler, old.address, 1.0), handler, counts.append
    )
    scheduler.after_round.append(client.flush)
    names = [b"%016x" % number for number in range(4)]

    def wait_until(condition: Callable[[], object]) -> None:
        while not condition():
            scheduler.sleep(0.002)

    def scenario() -> None:
        wait_until(lambda: client.gauges())
        for name in names[:3]:
            client.run(exchange(name))
        wait_until(lambda: len(core.running) == 3)
        notice = core.end(names[0])
        core.end(names[1])  # its notice is not sent: the link is about to break
        old.links[-1].write(notice[: len(notice) // 2])
        old.links[-1].flush()
        old.listener.close()
        client.connect_to(lambda: connect(scheduler, new.address, 1.0))
        client.run(exchange(names[3]))
        scheduler.sleep(0.0)
        old.reset()
        wait_until(lambda: handler.greetings == 2 and set(core.running) == set(names[2:]))
        for name in names[2:]:
            new.links[-1].write(core.end(name) + core.notices[-1])
        new.links[-1].flush()
        wait_until(lambda: len(handler.ends) == 4)
        scheduler.sleep(0.05)  # time for a surplus end to be received
        scheduler.stop()

    scheduler.spawn(scenario)
    scheduler.after(3.0, scheduler.stop)
    scheduler.run()
    for link in [*old.links, *new.links]:
        link.close()
    new.listener.close()
    assert [name for name, *_ in core.applied] == names
    assert handler.ends == [(name, Outcome.SUCCEEDED, b"made of body of " + name) for name in names]
    assert handler.greetings == 2 and not counts.count("runs_error")


# -- the parser across a change of the link


def test_the_parser_accepts_any_split_and_keeps_no_data_for_the_next_link() -> None:
    stream = (
        b"BANNER steady 7\r\nTRACE 4 a remark\r\nVALUE 5 aa success 250 6\r\n\r\nVALU\r\n"
        b"VALUE 5 aa success 250 6\r\n\r\nVALU\r\nTOPS 9 0.5 -\r\nERROR APPLY bb\r\n"
    )
    expected = interpreter.Parser().feed(stream)
    assert len(expected) == 6
    for cut in range(len(stream)):
        parser = interpreter.Parser()
        assert parser.feed(stream[:cut]) + parser.feed(stream[cut:]) == expected
        assert interpreter.Parser().feed(stream) == expected
