"""What crosses on the link to the interpreter: breaks, moves, silences, and commands and notices between.

On a made clock each test holds the moment itself; where the socket matters, it is one on loopback.
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

Obey = Callable[[list[bytes], bytes], bytes]


def obeying(server: SimulatedServer, other: Callable[[Obey, list[bytes], bytes], bytes]) -> None:
    """Pass each command to `other` from now on; `del server.interpreter._handle_command` ends that."""
    obey = server.interpreter._handle_command
    server.interpreter._handle_command = lambda words, body: other(obey, words, body)  # type: ignore[method-assign]


def answers_questions_only(obey: Obey, words: list[bytes], body: bytes) -> bytes:
    """Lose starts and cancellations, as those of the last 50 ms before a break may be."""
    return b"" if words[0] in (b"APPLY", b"BREAK") else obey(words, body)


def recover(server: SimulatedServer) -> None:
    del server.interpreter._handle_command


def broken(server: SimulatedServer, lost: bool) -> None:
    """The link breaks, and the next has the time to stand."""
    server.cut(lost)
    server.settle()
    server.wait(0.1)


# -- commands from the last 50 ms before a break


def test_a_run_lost_just_before_a_break_is_resent_though_a_query_behind_it_was_answered() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    obeying(server, answers_questions_only)
    attempt = server.call(b"lookup")
    server.settle()
    recover(server)
    broken(server, lost=False)
    assert attempt.name in server.interpreter.running


@pytest.mark.parametrize("lost", [False, True])
def test_a_keyed_run_that_a_break_leaves_unconfirmed_is_never_resent(lost: bool) -> None:
    """If it was read its end counts; if not, its caller has an error in time, and it keeps no core."""
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle(deliver=False)
    broken(server, lost)
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


def test_unconfirmed_runs_keep_no_request_from_idle_cores() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    lost = [server.call(b"record", b"%d" % number) for number in range(SERVER_SETTINGS.cores)]
    server.settle(deliver=False)
    broken(server, lost=True)
    others = [server.call(b"record", b"other%d" % number) for number in range(SERVER_SETTINGS.cores)]
    server.settle()
    assert set(server.interpreter.running) == {attempt.name for attempt in others}
    assert not any(attempt.answers for attempt in lost)


def test_no_keyed_command_is_written_to_a_link_on_which_nothing_is_received() -> None:
    """It would be lost with the link, and could not be written again."""
    server = SimulatedServer(SERVER_SETTINGS)
    server.wait(0.5)
    links, server.links = server.links, []  # nothing that is written arrives any more
    server.wait(1.0)
    keyed, safe = server.call(b"record", b"a"), server.call(b"lookup")
    server.settle()
    assert links[0].written.count(b"APPLY") == 1
    server.wait(2.5)
    assert server.counts.count("links") == 2 and set(server.interpreter.running) == {keyed.name, safe.name}
    assert not server.counts.count("runs_unconfirmed")


def test_keyed_commands_go_out_as_soon_as_a_silent_link_sends_again() -> None:
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


def test_what_nobody_waits_for_after_an_outage_is_not_started_and_its_key_is_free() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.linked = False
    server.cut(lost=False)
    server.wait(0.1)
    keyed, safe = server.call(b"record", b"a"), server.call(b"lookup")
    server.wait(4.5)
    assert keyed.answers[0][1] == safe.answers[0][1] == b"FAILED"
    commands: list[bytes] = []

    def noting(obey: Obey, words: list[bytes], body: bytes) -> bytes:
        commands.append(words[0])
        return obey(words, body)

    obeying(server, noting)
    server.linked = True
    server.wait(1.0)
    recover(server)
    assert (
        b"APPLY" not in commands and not server.interpreter_client._runs and server.dispatcher.open_count == 0
    )
    repeat = server.call(b"record", b"a")
    server.settle()
    server.end(repeat.name)
    server.settle()
    assert repeat.answers[0][1] == b"OK"


def test_a_run_whose_end_can_not_be_read_gives_its_place_back() -> None:
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


def test_unconfirmed_runs_count_against_what_the_cores_survive_until_they_are_given_up() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    fill_with_lost_commands(server)
    assert server.counts.count("runs_unconfirmed") == MOST_RUNS
    refused = server.call(b"record", b"refused")
    server.settle()
    assert not server.interpreter.running
    server.wait(9.0)
    served = server.call(b"record", b"served")
    server.settle()
    assert refused.answers[0][1] == b"BUSY" and set(server.interpreter.running) == {served.name}


MOST_RUNS = int(SERVER_SETTINGS.cores * SERVER_SETTINGS.max_concurrency_per_core)
RECORD_OVER_S = SERVER_SETTINGS.request_classes[1].timeout_s + SERVER_SETTINGS.answer_slack_s
ROUND_TRIP_S = 0.05  # of a query, with a round of timers


def break_behind_command(
    server: SimulatedServer, idempotency_key: bytes = b"a", lost: bool = True
) -> Attempt:
    """The link breaks right behind the command of a keyed request, which is lost or read."""
    attempt = server.call(b"record", idempotency_key)
    server.settle(deliver=False)
    broken(server, lost)
    return attempt


def fill_with_lost_commands(server: SimulatedServer) -> None:
    for number in range(MOST_RUNS):
        break_behind_command(server, b"%d" % number)


def test_lost_commands_free_their_places_once_the_interpreter_answers_that_none_runs() -> None:
    """They filled the guard for a longest timeout more, and nothing started meanwhile."""
    server = SimulatedServer(SERVER_SETTINGS)
    fill_with_lost_commands(server)
    server.wait(RECORD_OVER_S + ROUND_TRIP_S)
    served = server.call(b"record", b"served")
    server.settle()
    assert set(server.interpreter.running) == {served.name}


@pytest.mark.parametrize("has_answered", [False, True])
def test_a_lost_query_is_written_again_only_to_an_interpreter_that_has_answered_one(
    has_answered: bool,
) -> None:
    """One that starts the run instead would start it twice."""
    server = SimulatedServer(SERVER_SETTINGS)
    if has_answered:
        fill_with_lost_commands(server)
        server.wait(RECORD_OVER_S + ROUND_TRIP_S)
    break_behind_command(server)
    queries = server.counts.count("runs_queried")
    obeying(server, answers_questions_only)
    server.wait(RECORD_OVER_S + ROUND_TRIP_S)
    assert server.counts.count("runs_queried") == queries + 1 and server.dispatcher.open_count == 1
    recover(server)
    broken(server, lost=True)
    assert server.counts.count("runs_queried") == queries + 1 + has_answered
    assert server.dispatcher.open_count == (0 if has_answered else 1) and not server.interpreter.applied


def test_an_interpreter_that_starts_what_is_queried_starts_it_once() -> None:
    """The protocol says that it starts nothing; rule 2 is not left to that."""
    server = SimulatedServer(SERVER_SETTINGS)
    break_behind_command(server)

    def starting_all(obey: Obey, words: list[bytes], body: bytes) -> bytes:
        server.interpreter.answered.clear()
        return obey(words, body)

    obeying(server, starting_all)
    server.wait(RECORD_OVER_S + ROUND_TRIP_S)
    assert len(server.interpreter.running) == 1
    broken(server, lost=False)
    server.end(server.attempts[0].name)
    server.settle()
    broken(server, lost=True)
    assert len(server.interpreter.applied) == 1 and server.dispatcher.open_count == 0


def test_a_query_starts_nothing_and_leaves_the_run_that_goes_on_its_place() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = break_behind_command(server, lost=False)
    server.wait(RECORD_OVER_S + ROUND_TRIP_S)
    assert server.counts.count("runs_queried") == 1 and server.dispatcher.open_count == 1
    server.end(attempt.name)
    server.settle()
    assert len(server.interpreter.applied) == 1 and server.dispatcher.open_count == 0
    assert not server.counts.count("ends_unknown")


def test_no_run_is_queried_while_its_client_waits() -> None:
    """The interpreter would start it, and it may have run before."""
    server = SimulatedServer(SERVER_SETTINGS)
    break_behind_command(server)
    while not server.attempts[0].answers:
        assert not server.counts.count("runs_queried")
        server.wait(0.01)
    server.wait(RECORD_OVER_S - server.now + server.attempts[0].since - 0.01)
    assert not server.counts.count("runs_queried")
    server.wait(ROUND_TRIP_S)
    assert server.counts.count("runs_queried") == 1 and not server.interpreter.applied


def test_the_key_of_a_run_whose_query_is_rejected_stays_reserved() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    break_behind_command(server)

    def rejecting(obey: Obey, words: list[bytes], body: bytes) -> bytes:
        return b"ERROR APPLY %b\r\n" % words[1] if words[0] == b"APPLY" else obey(words, body)

    obeying(server, rejecting)
    server.wait(RECORD_OVER_S + ROUND_TRIP_S)
    recover(server)
    assert server.dispatcher.open_count == 0
    repeat = server.call(b"record", b"a")  # within its window
    server.settle()
    assert not server.interpreter.applied and repeat.answers[0][1] == b"FAILED"


def test_a_keyed_run_whose_command_never_left_the_process_is_sent() -> None:
    """The link was broken already, so nobody can have read it."""
    server = SimulatedServer(SERVER_SETTINGS)
    assert server.link is not None
    server.link.takes = False
    attempt = server.call(b"record", b"a")
    server.settle(deliver=False)
    broken(server, lost=True)
    assert attempt.name in server.interpreter.running and not server.counts.count("runs_unconfirmed")


def test_an_end_that_comes_after_its_run_was_given_up_belongs_to_no_run() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle(deliver=False)
    broken(server, lost=False)
    server.wait(5.5)
    repeat = server.call(b"record", b"a")  # within the window of six seconds
    server.wait(3.0)
    assert attempt.answers[0][1] == repeat.answers[0][1] == b"FAILED" and server.dispatcher.open_count == 0
    server.end(attempt.name)
    server.settle()
    assert len(server.interpreter.applied) == 1 and server.counts.count("ends_unknown") == 1


def test_a_query_that_was_written_long_before_its_answer_proves_no_earlier_run() -> None:
    """The interpreter read a run and two questions at once, as after a stall, and broke the link then."""
    server = SimulatedServer(SERVER_SETTINGS)
    links, server.links = server.links, []
    attempt = server.call(b"lookup")
    server.wait(0.5)
    obeying(server, answers_questions_only)
    server.links = links
    server.settle()
    recover(server)
    broken(server, lost=False)
    assert attempt.name in server.interpreter.running


def test_queries_that_are_never_answered_are_kept_track_of_within_a_bound() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    server.links.clear()  # nothing that is written arrives any more
    for _ in range(MAX_TRACKED_QUERIES + 100):
        server.interpreter_client._query_gauges = True
        server.interpreter_client.flush()
    assert len(server.interpreter_client._fences._unanswered) == MAX_TRACKED_QUERIES


def test_a_link_left_before_it_greeted_proves_nothing_of_the_one_that_broke_before_it() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    obeying(server, answers_questions_only)
    attempt = server.call(b"lookup")
    server.settle()
    recover(server)
    server.interpreter.up = False
    broken(server, lost=False)
    server.interpreter_client.connect_to(server._connect)
    server.interpreter.up = True
    server.wait(0.1)
    assert server.counts.count("links") == 3 and attempt.name in server.interpreter.running


def test_a_run_long_known_to_be_read_is_not_resent() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle()
    server.wait(0.5)
    broken(server, lost=False)
    assert server.counts.count("links") == 2 and not server.counts.count("runs_sent_again")
    assert attempt.name in server.interpreter.running


def test_a_run_resent_and_lost_again_is_sent_a_third_time() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle(deliver=False)
    obeying(server, answers_questions_only)
    broken(server, lost=True)
    recover(server)
    broken(server, lost=False)
    assert attempt.name in server.interpreter.running and server.counts.count("runs_sent_again") == 2


@pytest.mark.parametrize("answered", [False, True])
def test_a_cancellation_lost_with_a_break_is_asked_for_again(answered: bool) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.cancel(attempt)
    obeying(server, answers_questions_only)
    server.settle(deliver=answered)
    recover(server)
    broken(server, lost=True)
    assert not server.interpreter.running and server.dispatcher.open_count == 0


def test_a_run_rejected_as_it_is_resent_may_have_run() -> None:
    """It ran on the old link, and is not taken for one that never began. A keyed one is not sent again."""
    server = SimulatedServer(SERVER_SETTINGS)
    attempt, keyed = server.call(b"lookup"), server.call(b"record", b"a")
    server.settle(deliver=False)
    server.cut(lost=False)
    obeying(
        server,
        lambda obey, words, body: (
            b"ERROR APPLY %b\r\n" % words[1] if words[0] == b"APPLY" else obey(words, body)
        ),
    )
    server.wait(0.1)
    recover(server)
    repeat = server.call(b"record", b"a")
    server.settle()
    assert len(server.interpreter.applied) == 2 and server.counts.count("commands_rejected") == 1
    assert attempt.answers[0][1] == b"FAILED" and server.counts.count("runs_error") == 1
    server.end(attempt.name)
    server.end(keyed.name)
    server.settle()
    assert keyed.answers[0][1] == repeat.answers[0][1] == b"OK"
    assert server.counts.count("ends_unknown") == 1 and server.dispatcher.open_count == 0


# -- notices over a change of link


@pytest.mark.parametrize("size", [1, 7, 40, -1])
def test_a_notice_cut_in_two_by_a_break_counts_once_whole(size: int) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    assert server.link is not None
    notice = server.interpreter.end(attempt.name)
    server.link.feed(notice[:size])
    server.settle()
    assert not attempt.answers
    broken(server, lost=False)
    assert attempt.answers[0][3] == b"made of " + attempt.body
    server.link.feed(notice)  # and twice under one number, behind the break
    server.settle()
    assert len(attempt.answers) == 1 and not server.counts.count("ends_unknown")


def test_an_answer_that_comes_as_its_cancellation_goes_out_and_the_link_breaks_is_the_end() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.cancel(attempt)
    server.settle(deliver=False)  # the stop is under way
    server.interpreter.end(attempt.name)  # and the end as well
    broken(server, lost=True)
    assert server.dispatcher.open_count == 0 and not server.counts.count("ends_unknown")


# -- moves


def test_a_move_that_crosses_a_hand_over_leaves_the_newest_link_there_is() -> None:
    """The second address can't be had for long; the first link stood already, and was thrown away."""
    server = SimulatedServer(SERVER_SETTINGS)
    reachable = False
    server.interpreter_client.connect_to(server._connect)
    server.scheduler.run_ready()  # connected; waits until the old link has read all
    server.interpreter_client.connect_to(lambda: server._connect() if reachable else None)
    server.wait(0.5)
    attempt = server.call(b"record", b"a")
    server.settle()
    assert attempt.name in server.interpreter.running and sum(link.open for link in server.links) == 1
    reachable = True
    server.wait(1.0)
    assert server.counts.count("links") == 3 and sum(link.open for link in server.links) == 1
    two = server.call(b"lookup")
    server.settle()
    assert two.name in server.interpreter.running


def test_an_older_move_takes_nothing_from_a_newer_one() -> None:
    """The newer one's link stands while the older still waits, for the hand-over or for its connection."""
    server = SimulatedServer(SERVER_SETTINGS)
    made: list[FakeStream] = []

    def slow() -> Stream:
        server.scheduler.sleep(0.05)
        made.append(FakeStream(server.scheduler))
        return made[-1]

    server.interpreter_client.connect_to(slow)
    server.scheduler.run_ready()
    server.interpreter_client.connect_to(server._connect)
    server.scheduler.run_ready()
    server.interpreter_client.connect_to(server._connect)
    server.wait(0.5)
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.name in server.interpreter.running
    assert len(made) == 1 and not made[0].open and not made[0].written
    assert sum(link.open for link in server.links) == 1


@pytest.mark.parametrize("lost", [False, True])
def test_an_old_link_that_breaks_in_the_hand_over_leaves_no_run_in_doubt(lost: bool) -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    before = server.call(b"record", b"a")
    server.settle(deliver=False)
    server.interpreter_client.connect_to(server._connect)
    server.scheduler.run_ready()
    held = server.call(b"record", b"b")
    server.settle(deliver=False)
    broken(server, lost)
    assert set(server.interpreter.running) == ({held.name} if lost else {before.name, held.name})
    server.end(held.name)
    if not lost:
        server.end(before.name)
    server.wait(9.0)
    assert held.answers[0][1] == b"OK" and before.answers[0][1] == (b"FAILED" if lost else b"OK")
    assert server.dispatcher.open_count == 0


def test_a_cancellation_and_a_shutdown_notice_in_a_hand_over_are_kept() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    stopped, staying = server.call(b"lookup"), server.call(b"lookup")
    server.settle()
    server.interpreter_client.connect_to(server._connect)
    server.scheduler.run_ready()
    server.cancel(stopped)
    server.drain(1.0)
    server.settle(deliver=False)
    server.wait(0.2)
    assert set(server.interpreter.running) == {staying.name}
    server.end(staying.name)
    server.settle()
    assert staying.answers[0][1] == b"OK" and server.dispatcher.open_count == 0


def test_a_new_address_that_takes_links_and_ends_them_is_tried_until_it_greets() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle()
    tried: list[FakeStream] = []

    def ending() -> Stream | None:
        if len(tried) == 3:
            return server._connect()
        tried.append(FakeStream(server.scheduler))
        tried[-1].feed(b"")
        return tried[-1]

    server.interpreter_client.connect_to(ending)
    server.wait(0.5)
    assert len(tried) == 3 and attempt.name in server.interpreter.running
    server.end(attempt.name)
    server.settle()
    assert attempt.answers[0][1] == b"OK"


def test_a_fault_in_making_a_link_is_survived() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    faults = [RuntimeError("a fault of ours")] * 2

    def faulty() -> Stream | None:
        if faults:
            raise faults.pop()
        return server._connect()

    server.interpreter_client.connect_to(faulty)
    server.wait(0.5)
    attempt = server.call(b"lookup")
    server.settle()
    assert attempt.name in server.interpreter.running and server.counts.count("links") == 2
    assert server.counts.count("faults") == 2


# -- silences


def test_a_pause_of_the_whole_machine_is_no_silence_of_the_link() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    for _ in range(3):
        server.scheduler.clock.now += 10.0  # nothing came, as nobody could send
        server.wait(0.0)
    server.wait(1.0)
    assert server.counts.count("links") == 1 and not server.counts.count("links_silent")


def test_a_new_link_that_is_taken_but_never_greeted_is_opened_again() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"record", b"a")
    server.settle()
    server.interpreter.up = False  # takes links, says nothing
    server.cut(lost=False)
    server.wait(2.5)
    assert server.counts.count("links") == 2
    server.interpreter.up = True
    server.wait(1.0)
    assert server.counts.count("links") == 3 and server.counts.count("links_silent") == 1
    two = server.call(b"lookup")
    server.settle()
    assert set(server.interpreter.running) == {attempt.name, two.name}


def test_a_link_that_dies_between_the_greeting_and_the_first_answer_is_opened_again() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    obeying(server, lambda obey, words, body: b"" if words[0] == b"TOP" else obey(words, body))
    server.cut(lost=False)
    server.wait(2.5)
    assert server.counts.count("links") == 2
    recover(server)
    server.wait(1.0)
    attempt = server.call(b"lookup")
    server.settle()
    assert server.counts.count("links") == 3 and attempt.name in server.interpreter.running


def test_for_how_long_no_link_has_stood_is_known_also_while_links_are_made_and_not_greeted() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    assert server.interpreter_client.disconnected_for_s == 0.0
    server.linked = False
    broken(server, lost=False)
    server.wait(1.0)
    server.linked, server.interpreter.up = True, False
    server.wait(1.0)
    assert 2.0 < server.interpreter_client.disconnected_for_s < 2.2
    server.interpreter.up = True
    server.cut(lost=False)
    server.wait(0.6)
    assert server.interpreter_client.disconnected_for_s == 0.0


def test_an_interpreter_that_has_not_come_up_yet_is_waited_for_on_one_link() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    counts: list[str] = []
    first = InterpreterClient(
        server.scheduler, lambda: FakeStream(server.scheduler), server.dispatcher, counts.append
    )
    server.wait(20.0)
    assert counts == ["links"] and first.gauges() == ()


# -- all of it, in any order


class Link(FakeStream):
    greeted = False

    def feed(self, data: bytes) -> None:
        self.greeted = self.greeted or data.startswith(b"BANNER")
        super().feed(data)


class Orderly(SimulatedServer):
    """Its interpreter reports no end on a link before the greeting; that brings it."""

    def _connect(self) -> Stream | None:
        if not self.linked:
            return None
        self.links = [link for link in self.links if link.open] + [Link(self.scheduler)]
        return self.links[-1]

    def end(self, name: bytes, how: bytes = b"success") -> None:
        if isinstance(self.link, Link) and self.link.greeted:
            return super().end(name, how)
        self.interpreter.end(name, how)


@pytest.mark.parametrize("seed", range(40))
def test_no_run_is_left_without_its_end_whatever_crosses(seed: int) -> None:
    """Breaks that take back what was answered, moves within moves, links not greeted; the server checks
    the rules after each step, and in the end every run must be over here as it is there.
    """
    random, server = Random(seed), Orderly(SERVER_SETTINGS)
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
                server.cut(lost=random.random() < 0.5)
            case "take":  # back what was answered just now
                obeying(server, answers_questions_only)
                server.call(b"record", b"label%d" % random.randrange(6))
                server.settle()
                recover(server)
                server.cut(lost=False)
            case "move":
                server.interpreter_client.connect_to(server._connect)
                server.scheduler.run_ready()
            case "gap":
                server.linked = not server.linked
                server.cut(lost=False)
            case "mute":
                server.interpreter.up = not server.interpreter.up
                server.cut(lost=False)
            case _:
                server.wait(random.choice([0.003, 0.03, 0.3]))
        if random.random() < 0.7:
            server.settle(deliver=random.random() < 0.7)
    server.linked = server.interpreter.up = True
    server.wait(5.0)
    while server.interpreter.running:
        server.end(next(iter(server.interpreter.running)))
        server.wait(0.5)
    server.wait(9.0)  # also for those whose start no link confirmed
    assert not server.interpreter_client._runs and server.dispatcher.open_count == 0
    assert sum(link.open for link in server.links) == 1


# -- on loopback


class RequestHandler:
    def __init__(self) -> None:
        self.ends: list[tuple[bytes, Outcome, bytes]] = []
        self.greetings = 0

    def interpreter_ready(self, cold: bool, age: float) -> None:
        self.greetings += 1

    def run_ended(self, exchange: Exchange, outcome: Outcome, took: float, result: bytes) -> None:
        self.ends.append((exchange.name, outcome, result))

    def call_needed(self, exchange: Exchange) -> None:
        raise AssertionError(f"no call is needed here: {exchange.name!r}")

    def start_unconfirmed(self, exchange: Exchange) -> None: ...


class FakeInterpreter:
    """The interpreter at one address; all addresses share one core."""

    def __init__(self, scheduler: Scheduler, core: SimulatedInterpreter) -> None:
        self.core, self.links = core, list[Stream]()
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address = free.getsockname()
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
        """Break the link at once: what it has not taken is lost, and a reset goes out."""
        sock = self.links[-1]._socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.links[-1].close()


def exchange(name: bytes) -> Exchange:
    request = Request(RequestClass(Idempotency.KEYED, 1.0, 4.0), Client(), None, 0.0, 1.0)
    return Exchange(name, b"record", b"body of " + name, 1, name, request, None)


def test_a_move_that_crosses_a_break_in_the_middle_of_a_notice_loses_and_doubles_nothing() -> None:
    """The old address resets its link within a notice, over a command unread, as the new one is taken."""
    scheduler, core, handler = Scheduler(Clock()), SimulatedInterpreter(), RequestHandler()
    counts: list[str] = []
    old, new = FakeInterpreter(scheduler, core), FakeInterpreter(scheduler, core)
    client = InterpreterClient(
        scheduler, lambda: connect(scheduler, old.address, 1.0), handler, counts.append
    )
    scheduler.after_round.append(client.flush)
    names = [b"%016x" % which for which in range(4)]

    def until(true: Callable[[], object]) -> None:
        while not true():
            scheduler.sleep(0.002)

    def play() -> None:
        until(lambda: client.gauges())
        for name in names[:3]:
            client.run(exchange(name))
        until(lambda: len(core.running) == 3)
        half = core.end(names[0])
        core.end(names[1])  # told to nobody: the link is gone by then
        old.links[-1].write(half[: len(half) // 2])
        old.links[-1].flush()
        old.listener.close()
        client.connect_to(lambda: connect(scheduler, new.address, 1.0))
        client.run(exchange(names[3]))
        scheduler.sleep(0.0)
        old.reset()
        until(lambda: handler.greetings == 2 and set(core.running) == set(names[2:]))
        for name in names[2:]:
            new.links[-1].write(core.end(name) + core.notices[-1])
        new.links[-1].flush()
        until(lambda: len(handler.ends) == 4)
        scheduler.sleep(0.05)  # for an end too many
        scheduler.stop()

    scheduler.spawn(play)
    scheduler.after(3.0, scheduler.stop)
    scheduler.run()
    for end in [*old.links, *new.links]:
        end.close()
    new.listener.close()
    assert [name for name, *_ in core.applied] == names
    assert handler.ends == [(name, Outcome.SUCCEEDED, b"made of body of " + name) for name in names]
    assert handler.greetings == 2 and not counts.count("runs_error")


# -- the parser over a change of link


def test_a_parser_takes_any_cut_and_starts_clean_on_the_next_link() -> None:
    stream = (
        b"BANNER steady 7\r\nTRACE 4 a remark\r\nVALUE 5 aa success 250 6\r\n\r\nVALU\r\n"
        b"VALUE 5 aa success 250 6\r\n\r\nVALU\r\nTOPS 9 0.5 -\r\nERROR APPLY bb\r\n"
    )
    whole = interpreter.Parser().feed(stream)
    assert len(whole) == 6
    for cut in range(len(stream)):
        parser = interpreter.Parser()
        assert parser.feed(stream[:cut]) + parser.feed(stream[cut:]) == whole
        assert interpreter.Parser().feed(stream) == whole
