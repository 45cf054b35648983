"""What crosses on the link to the interpreter: breaks, moves, silences, and commands and notices between.

On a made clock each test holds the moment itself; where the socket matters, it is one on loopback.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from random import Random

import pytest
from simulated_server import Interpreter, MadeStream, Town
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


def obeying(town: Town, other: Callable[[Obey, list[bytes], bytes], bytes]) -> None:
    """From now on the interpreter does `other` with each command; `del town.interpreter._obey` ends that."""
    obey = town.interpreter._obey
    town.interpreter._obey = lambda words, body: other(obey, words, body)  # type: ignore[method-assign]


def answers_questions_only(obey: Obey, words: list[bytes], body: bytes) -> bytes:
    """Runs and stops are lost, as those of the last 50 ms before a break may be."""
    return b"" if words[0] in (b"APPLY", b"BREAK") else obey(words, body)


def recover(town: Town) -> None:
    del town.interpreter._obey


def broken(town: Town, lost: bool) -> None:
    """The link breaks, and the next has the time to stand."""
    town.cut(lost)
    town.settle()
    town.wait(0.1)


# -- commands from the last 50 ms before a break


def test_a_run_lost_just_before_a_break_is_sent_again_though_a_question_behind_it_was_answered() -> None:
    town = Town(SERVER_SETTINGS)
    obeying(town, answers_questions_only)
    one = town.call(b"lookup")
    town.settle()
    recover(town)
    broken(town, lost=False)
    assert one.name in town.interpreter.running


@pytest.mark.parametrize("lost", [False, True])
def test_a_keyed_run_that_a_break_leaves_unconfirmed_is_never_sent_again(lost: bool) -> None:
    """If it was read its end counts; if not, its caller has an error in time, and it keeps no core."""
    town = Town(SERVER_SETTINGS)
    one = town.call(b"record", b"a")
    town.settle(deliver=False)
    broken(town, lost)
    repeat = town.call(b"record", b"a")
    town.settle()
    assert [name for name, *_ in town.interpreter.applied] == ([] if lost else [one.name])
    assert town.counts.count("runs_unconfirmed") == 1
    if not lost:
        town.end(one.name)
        town.settle()
        assert one.answers[0][1] == repeat.answers[0][1] == b"OK"
    town.wait(9.0)
    assert {one.answers[0][1], repeat.answers[0][1]} == ({b"FAILED"} if lost else {b"OK"})
    assert town.dispatch.open_count == 0 and not town.client._runs


def test_unconfirmed_runs_keep_no_request_from_idle_cores() -> None:
    town = Town(SERVER_SETTINGS)
    lost = [town.call(b"record", b"%d" % number) for number in range(SERVER_SETTINGS.cores)]
    town.settle(deliver=False)
    broken(town, lost=True)
    others = [town.call(b"record", b"other%d" % number) for number in range(SERVER_SETTINGS.cores)]
    town.settle()
    assert set(town.interpreter.running) == {one.name for one in others}
    assert not any(one.answers for one in lost)


def test_no_keyed_command_is_written_to_a_link_on_which_nothing_is_heard() -> None:
    """It would be lost with the link, and could not be written again."""
    town = Town(SERVER_SETTINGS)
    town.wait(0.5)
    links, town.links = town.links, []  # nothing that is written arrives any more
    town.wait(1.0)
    keyed, safe = town.call(b"record", b"a"), town.call(b"lookup")
    town.settle()
    assert links[0].written.count(b"APPLY") == 1
    town.wait(2.5)
    assert town.counts.count("links") == 2 and set(town.interpreter.running) == {keyed.name, safe.name}
    assert not town.counts.count("runs_unconfirmed")


def test_keyed_commands_go_out_as_soon_as_a_quiet_link_speaks_again() -> None:
    town = Town(SERVER_SETTINGS)
    town.wait(0.5)
    links, town.links = town.links, []
    town.wait(1.0)
    keyed = town.call(b"record", b"a")
    town.settle()
    assert not town.interpreter.running
    town.links = links
    town.settle()
    assert town.counts.count("links") == 1 and set(town.interpreter.running) == {keyed.name}


def test_what_nobody_waits_for_after_an_outage_is_not_begun_and_its_key_is_free() -> None:
    town = Town(SERVER_SETTINGS)
    town.linked = False
    town.cut(lost=False)
    town.wait(0.1)
    keyed, safe = town.call(b"record", b"a"), town.call(b"lookup")
    town.wait(4.5)
    assert keyed.answers[0][1] == safe.answers[0][1] == b"FAILED"
    commands: list[bytes] = []

    def noting(obey: Obey, words: list[bytes], body: bytes) -> bytes:
        commands.append(words[0])
        return obey(words, body)

    obeying(town, noting)
    town.linked = True
    town.wait(1.0)
    recover(town)
    assert b"APPLY" not in commands and not town.client._runs and town.dispatch.open_count == 0
    repeat = town.call(b"record", b"a")
    town.settle()
    town.end(repeat.name)
    town.settle()
    assert repeat.answers[0][1] == b"OK"


def test_a_run_whose_end_can_not_be_read_gives_its_place_back() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"record", b"a")
    town.settle()
    del town.interpreter.running[one.name]
    for _ in range(2):
        assert town.link is not None
        town.link.feed(b"VALUE 1 %b succeeded 250 0\r\n\r\n" % one.name)
        town.wait(0.1)
    assert town.counts.count("notices_passed_over") == 1
    assert one.answers[0][1] == b"FAILED" and town.dispatch.open_count == 0


def test_unconfirmed_runs_count_against_what_the_cores_survive_until_they_are_given_up() -> None:
    town = Town(SERVER_SETTINGS)
    most = int(SERVER_SETTINGS.cores * SERVER_SETTINGS.max_concurrency_per_core)
    for number in range(most):
        town.call(b"record", b"%d" % number)
        town.settle(deliver=False)
        broken(town, lost=True)
    assert town.counts.count("runs_unconfirmed") == most
    refused = town.call(b"record", b"refused")
    town.settle()
    assert not town.interpreter.running
    town.wait(9.0)
    served = town.call(b"record", b"served")
    town.settle()
    assert refused.answers[0][1] == b"BUSY" and set(town.interpreter.running) == {served.name}


def test_a_keyed_run_whose_command_never_left_the_process_is_sent() -> None:
    """The link was broken already, so nobody can have read it."""
    town = Town(SERVER_SETTINGS)
    assert town.link is not None
    town.link.takes = False
    one = town.call(b"record", b"a")
    town.settle(deliver=False)
    broken(town, lost=True)
    assert one.name in town.interpreter.running and not town.counts.count("runs_unconfirmed")


def test_an_end_that_comes_after_its_run_was_given_up_is_nobodys() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"record", b"a")
    town.settle(deliver=False)
    broken(town, lost=False)
    town.wait(5.5)
    repeat = town.call(b"record", b"a")  # within the window of six seconds
    town.wait(3.0)
    assert one.answers[0][1] == repeat.answers[0][1] == b"FAILED" and town.dispatch.open_count == 0
    town.end(one.name)
    town.settle()
    assert len(town.interpreter.applied) == 1 and town.counts.count("ends_unknown") == 1


def test_a_question_that_was_written_long_before_its_answer_proves_no_earlier_run() -> None:
    """The interpreter read a run and two questions at once, as after a stall, and broke the link then."""
    town = Town(SERVER_SETTINGS)
    links, town.links = town.links, []
    one = town.call(b"lookup")
    town.wait(0.5)
    obeying(town, answers_questions_only)
    town.links = links
    town.settle()
    recover(town)
    broken(town, lost=False)
    assert one.name in town.interpreter.running


def test_questions_that_are_never_answered_are_kept_track_of_within_a_bound() -> None:
    town = Town(SERVER_SETTINGS)
    town.links.clear()  # nothing that is written arrives any more
    for _ in range(MAX_TRACKED_QUERIES + 100):
        town.client._query_gauges = True
        town.client.flush()
    assert len(town.client._fences._unanswered) == MAX_TRACKED_QUERIES


def test_a_link_left_before_it_greeted_proves_nothing_of_the_one_that_broke_before_it() -> None:
    town = Town(SERVER_SETTINGS)
    obeying(town, answers_questions_only)
    one = town.call(b"lookup")
    town.settle()
    recover(town)
    town.interpreter.up = False
    broken(town, lost=False)
    town.client.connect_to(town._connect)
    town.interpreter.up = True
    town.wait(0.1)
    assert town.counts.count("links") == 3 and one.name in town.interpreter.running


def test_a_run_long_known_to_be_read_is_not_sent_again() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"record", b"a")
    town.settle()
    town.wait(0.5)
    broken(town, lost=False)
    assert town.counts.count("links") == 2 and not town.counts.count("runs_sent_again")
    assert one.name in town.interpreter.running


def test_a_run_sent_again_and_lost_again_is_sent_a_third_time() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"lookup")
    town.settle(deliver=False)
    obeying(town, answers_questions_only)
    broken(town, lost=True)
    recover(town)
    broken(town, lost=False)
    assert one.name in town.interpreter.running and town.counts.count("runs_sent_again") == 2


@pytest.mark.parametrize("answered", [False, True])
def test_a_stop_lost_with_a_break_is_asked_for_again(answered: bool) -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"lookup")
    town.settle()
    town.cancel(one)
    obeying(town, answers_questions_only)
    town.settle(deliver=answered)
    recover(town)
    broken(town, lost=True)
    assert not town.interpreter.running and town.dispatch.open_count == 0


def test_a_run_rejected_as_it_is_sent_again_may_have_run() -> None:
    """It ran on the old link, and is not taken for one that never began. A keyed one is not sent again."""
    town = Town(SERVER_SETTINGS)
    one, keyed = town.call(b"lookup"), town.call(b"record", b"a")
    town.settle(deliver=False)
    town.cut(lost=False)
    obeying(
        town,
        lambda obey, words, body: (
            b"ERROR APPLY %b\r\n" % words[1] if words[0] == b"APPLY" else obey(words, body)
        ),
    )
    town.wait(0.1)
    recover(town)
    repeat = town.call(b"record", b"a")
    town.settle()
    assert len(town.interpreter.applied) == 2 and town.counts.count("commands_rejected") == 1
    assert one.answers[0][1] == b"FAILED" and town.counts.count("runs_error") == 1
    town.end(one.name)
    town.end(keyed.name)
    town.settle()
    assert keyed.answers[0][1] == repeat.answers[0][1] == b"OK"
    assert town.counts.count("ends_unknown") == 1 and town.dispatch.open_count == 0


# -- notices over a change of link


@pytest.mark.parametrize("size", [1, 7, 40, -1])
def test_a_notice_cut_in_two_by_a_break_counts_once_whole(size: int) -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"lookup")
    town.settle()
    assert town.link is not None
    notice = town.interpreter.end(one.name)
    town.link.feed(notice[:size])
    town.settle()
    assert not one.answers
    broken(town, lost=False)
    assert one.answers[0][3] == b"made of " + one.body
    town.link.feed(notice)  # and twice under one number, behind the break
    town.settle()
    assert len(one.answers) == 1 and not town.counts.count("ends_unknown")


def test_an_answer_that_comes_as_its_stop_goes_out_and_the_link_breaks_is_the_end() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"lookup")
    town.settle()
    town.cancel(one)
    town.settle(deliver=False)  # the stop is under way
    town.interpreter.end(one.name)  # and the end as well
    broken(town, lost=True)
    assert town.dispatch.open_count == 0 and not town.counts.count("ends_unknown")


# -- moves


def test_a_move_that_crosses_a_hand_over_leaves_the_newest_link_there_is() -> None:
    """The second address can't be had for long; the first link stood already, and was thrown away."""
    town = Town(SERVER_SETTINGS)
    reachable = False
    town.client.connect_to(town._connect)
    town.scheduler.run_ready()  # connected; waits until the old link has read all
    town.client.connect_to(lambda: town._connect() if reachable else None)
    town.wait(0.5)
    one = town.call(b"record", b"a")
    town.settle()
    assert one.name in town.interpreter.running and sum(link.open for link in town.links) == 1
    reachable = True
    town.wait(1.0)
    assert town.counts.count("links") == 3 and sum(link.open for link in town.links) == 1
    two = town.call(b"lookup")
    town.settle()
    assert two.name in town.interpreter.running


def test_an_older_move_takes_nothing_from_a_newer_one() -> None:
    """The newer one's link stands while the older still waits, for the hand-over or for its connection."""
    town = Town(SERVER_SETTINGS)
    made: list[MadeStream] = []

    def slow() -> Stream:
        town.scheduler.sleep(0.05)
        made.append(MadeStream(town.scheduler))
        return made[-1]

    town.client.connect_to(slow)
    town.scheduler.run_ready()
    town.client.connect_to(town._connect)
    town.scheduler.run_ready()
    town.client.connect_to(town._connect)
    town.wait(0.5)
    one = town.call(b"lookup")
    town.settle()
    assert one.name in town.interpreter.running
    assert len(made) == 1 and not made[0].open and not made[0].written
    assert sum(link.open for link in town.links) == 1


@pytest.mark.parametrize("lost", [False, True])
def test_an_old_link_that_breaks_in_the_hand_over_leaves_no_run_in_doubt(lost: bool) -> None:
    town = Town(SERVER_SETTINGS)
    before = town.call(b"record", b"a")
    town.settle(deliver=False)
    town.client.connect_to(town._connect)
    town.scheduler.run_ready()
    held = town.call(b"record", b"b")
    town.settle(deliver=False)
    broken(town, lost)
    assert set(town.interpreter.running) == ({held.name} if lost else {before.name, held.name})
    town.end(held.name)
    if not lost:
        town.end(before.name)
    town.wait(9.0)
    assert held.answers[0][1] == b"OK" and before.answers[0][1] == (b"FAILED" if lost else b"OK")
    assert town.dispatch.open_count == 0


def test_a_stop_and_a_notice_to_leave_in_a_hand_over_are_kept() -> None:
    town = Town(SERVER_SETTINGS)
    stopped, staying = town.call(b"lookup"), town.call(b"lookup")
    town.settle()
    town.client.connect_to(town._connect)
    town.scheduler.run_ready()
    town.cancel(stopped)
    town.drain(1.0)
    town.settle(deliver=False)
    town.wait(0.2)
    assert set(town.interpreter.running) == {staying.name}
    town.end(staying.name)
    town.settle()
    assert staying.answers[0][1] == b"OK" and town.dispatch.open_count == 0


def test_a_new_address_that_takes_links_and_ends_them_is_tried_until_it_greets() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"record", b"a")
    town.settle()
    tried: list[MadeStream] = []

    def ending() -> Stream | None:
        if len(tried) == 3:
            return town._connect()
        tried.append(MadeStream(town.scheduler))
        tried[-1].feed(b"")
        return tried[-1]

    town.client.connect_to(ending)
    town.wait(0.5)
    assert len(tried) == 3 and one.name in town.interpreter.running
    town.end(one.name)
    town.settle()
    assert one.answers[0][1] == b"OK"


def test_a_fault_in_making_a_link_is_survived() -> None:
    town = Town(SERVER_SETTINGS)
    faults = [RuntimeError("a fault of ours")] * 2

    def faulty() -> Stream | None:
        if faults:
            raise faults.pop()
        return town._connect()

    town.client.connect_to(faulty)
    town.wait(0.5)
    one = town.call(b"lookup")
    town.settle()
    assert one.name in town.interpreter.running and town.counts.count("links") == 2
    assert town.counts.count("faults") == 2


# -- silences


def test_a_pause_of_the_whole_machine_is_no_silence_of_the_link() -> None:
    town = Town(SERVER_SETTINGS)
    for _ in range(3):
        town.scheduler.clock.now += 10.0  # nothing came, as nobody could send
        town.wait(0.0)
    town.wait(1.0)
    assert town.counts.count("links") == 1 and not town.counts.count("links_silent")


def test_a_new_link_that_is_taken_but_never_greeted_is_made_anew() -> None:
    town = Town(SERVER_SETTINGS)
    one = town.call(b"record", b"a")
    town.settle()
    town.interpreter.up = False  # takes links, says nothing
    town.cut(lost=False)
    town.wait(2.5)
    assert town.counts.count("links") == 2
    town.interpreter.up = True
    town.wait(1.0)
    assert town.counts.count("links") == 3 and town.counts.count("links_silent") == 1
    two = town.call(b"lookup")
    town.settle()
    assert set(town.interpreter.running) == {one.name, two.name}


def test_a_link_that_dies_between_the_greeting_and_the_first_answer_is_made_anew() -> None:
    town = Town(SERVER_SETTINGS)
    obeying(town, lambda obey, words, body: b"" if words[0] == b"TOP" else obey(words, body))
    town.cut(lost=False)
    town.wait(2.5)
    assert town.counts.count("links") == 2
    recover(town)
    town.wait(1.0)
    one = town.call(b"lookup")
    town.settle()
    assert town.counts.count("links") == 3 and one.name in town.interpreter.running


def test_for_how_long_no_link_has_stood_is_known_also_while_links_are_made_and_not_greeted() -> None:
    town = Town(SERVER_SETTINGS)
    assert town.client.disconnected_for_s == 0.0
    town.linked = False
    broken(town, lost=False)
    town.wait(1.0)
    town.linked, town.interpreter.up = True, False
    town.wait(1.0)
    assert 2.0 < town.client.disconnected_for_s < 2.2
    town.interpreter.up = True
    town.cut(lost=False)
    town.wait(0.6)
    assert town.client.disconnected_for_s == 0.0


def test_an_interpreter_that_has_not_come_up_yet_is_waited_for_on_one_link() -> None:
    town = Town(SERVER_SETTINGS)
    counts: list[str] = []
    first = InterpreterClient(
        town.scheduler, lambda: MadeStream(town.scheduler), town.dispatch, counts.append
    )
    town.wait(20.0)
    assert counts == ["links"] and first.gauges() == ()


# -- all of it, in any order


class Link(MadeStream):
    greeted = False

    def feed(self, data: bytes) -> None:
        self.greeted = self.greeted or data.startswith(b"BANNER")
        super().feed(data)


class Orderly(Town):
    """Its interpreter tells no end on a link on which it has not greeted: the greeting brings it then."""

    def _connect(self) -> Stream | None:
        if not self.linked:
            return None
        self.links = [one for one in self.links if one.open] + [Link(self.scheduler)]
        return self.links[-1]

    def end(self, name: bytes, how: bytes = b"success") -> None:
        if isinstance(self.link, Link) and self.link.greeted:
            return super().end(name, how)
        self.interpreter.end(name, how)


@pytest.mark.parametrize("seed", range(40))
def test_no_run_is_left_without_its_end_whatever_crosses(seed: int) -> None:
    """Breaks that take back what was answered, moves within moves, links not greeted; the town checks
    the rules after each step, and in the end every run must be over here as it is there.
    """
    random, town = Random(seed), Orderly(SERVER_SETTINGS)
    for _ in range(60):
        running = list(town.interpreter.running)
        match random.choice(
            ["read", "write", "end", "end", "stop", "break", "take", "move", "gap", "mute", "wait"]
        ):
            case "read":
                town.call(b"lookup")
            case "write":
                town.call(b"record", b"label%d" % random.randrange(6))
            case "end" if running:
                town.end(random.choice(running), random.choice([b"success", b"failure"]))
            case "stop" if town.tries:
                town.cancel(random.choice(town.tries))
            case "break":
                town.cut(lost=random.random() < 0.5)
            case "take":  # back what was answered just now
                obeying(town, answers_questions_only)
                town.call(b"record", b"label%d" % random.randrange(6))
                town.settle()
                recover(town)
                town.cut(lost=False)
            case "move":
                town.client.connect_to(town._connect)
                town.scheduler.run_ready()
            case "gap":
                town.linked = not town.linked
                town.cut(lost=False)
            case "mute":
                town.interpreter.up = not town.interpreter.up
                town.cut(lost=False)
            case _:
                town.wait(random.choice([0.003, 0.03, 0.3]))
        if random.random() < 0.7:
            town.settle(deliver=random.random() < 0.7)
    town.linked = town.interpreter.up = True
    town.wait(5.0)
    while town.interpreter.running:
        town.end(next(iter(town.interpreter.running)))
        town.wait(0.5)
    town.wait(9.0)  # also for those whose start no link confirmed
    assert not town.client._runs and town.dispatch.open_count == 0
    assert sum(link.open for link in town.links) == 1


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


class Engine:
    """The interpreter at one address; all addresses share one core."""

    def __init__(self, scheduler: Scheduler, core: Interpreter) -> None:
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
    scheduler, core, handler = Scheduler(Clock()), Interpreter(), RequestHandler()
    counts: list[str] = []
    old, new = Engine(scheduler, core), Engine(scheduler, core)
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
