"""What comes in the very moment in which a connection is shut or closed; each crossing is forced.

`Town` plays the routing layer on a made clock; `Hall` is the routers' side alone, over loopback sockets, with
a clock that a test can set ahead.
"""

from __future__ import annotations

import contextlib
import json
import signal
import socket
import struct
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from pathlib import Path

import pytest
from simulated_server import FakeStream, SimulatedServer, call, frame
from test_program import Deployment, FakeInterpreter, shut_down, wait_until
from test_serving import SERVER_SETTINGS

from sablewheel.program import configuration
from sablewheel.protocol.resp import Parser
from sablewheel.serving import connection as connections
from sablewheel.serving.close_reasons import CloseReason
from sablewheel.serving.connection import Connection
from sablewheel.serving.exchange import Exchange, ServerStatus
from sablewheel.serving.listener import RequestListener
from sablewheel.transport import listening_socket
from sablewheel.transport.listening_socket import Listener
from sablewheel.transport.scheduler import Clock, Scheduler, Timer
from sablewheel.transport.stream import Stream

PATIENCE = 5.0


class Ahead(Clock):
    """The system's clock, and what a test adds to it."""

    added = 0.0

    def read(self) -> float:
        self.now = time.time() + self.added
        return self.now


class RequestHandler:
    """Retains what arrived until the test answers it."""

    def __init__(self) -> None:
        self.pending: list[Exchange] = []
        self.left: list[Exchange] = []

    def arrived(self, exchange: Exchange) -> None:
        self.pending.append(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        self.left.append(exchange)


class ListenerHarness:
    """The listener over real sockets; the test is every client and the handler."""

    def __init__(self, connections_most: int) -> None:
        self.clock = Ahead()
        self.scheduler = Scheduler(self.clock)
        self.counts: list[str] = []
        self.handler = RequestHandler()
        names = (b"lookup", b"record")
        self.request_listener = RequestListener(
            self.scheduler,
            dict(zip(names, SERVER_SETTINGS.request_classes, strict=True)),
            {b"acme": SERVER_SETTINGS.tenants[0]},
            ServerStatus(None, True),
            self.handler,
            self.counts.append,
            connections_most,
        )
        self.listener = Listener(
            self.scheduler,
            ("127.0.0.1", 0),
            self.request_listener.has_capacity,
            self.request_listener.accepted,
            self.request_listener.evict_unused,
        )
        self.address = self.listener._socket.getsockname()
        self.scheduler.after_round.append(self.request_listener.flush)
        self.peers: list[socket.socket] = []

    def peer(self) -> socket.socket:
        """Connect as a client; whether the connection is accepted is up to the server."""
        sock = socket.create_connection(self.address, timeout=PATIENCE)
        sock.setblocking(False)
        self.peers.append(sock)
        return sock

    def turn(self, until: Callable[[], object]) -> None:
        """Run rounds until the condition holds; fails after a while."""
        came: list[bool] = []

        def look() -> None:
            if until():
                came.append(True)
                self.scheduler.stop()

        def tick() -> None:  # what the peers see moves no descriptor of ours
            ticks.append(self.scheduler.after(0.005, tick))

        ticks: list[Timer] = []
        tick()
        bound = self.scheduler.after(PATIENCE + self.clock.added, self.scheduler.stop)
        self.scheduler._stopped = False
        self.scheduler.after_round.append(look)
        self.scheduler.run()
        self.scheduler.after_round.remove(look)
        for timer in (bound, ticks[-1]):
            timer.cancel()
        assert came, "what was waited for did not come"

    def ahead(self, span: float) -> None:
        self.clock.added += span

    def call(self, tag: int, name: int | None = None) -> bytes:
        return call(tag, b"%016x" % (name or tag), b"lookup", time.time() + self.clock.added, b"body")

    def connection(self, sock: socket.socket) -> Connection:
        """The server's end of it."""
        where = sock.getsockname()
        return next(
            one for one in self.request_listener.connections if one.stream._socket.getpeername() == where
        )


@pytest.fixture
def harness() -> Iterator[ListenerHarness]:
    made = ListenerHarness(16)
    yield made
    finish(made)


def finish(made: ListenerHarness) -> None:
    for sock in made.peers:
        sock.close()
    made.listener.close()
    for connection in list(made.request_listener.connections):
        connection.close(CloseReason.STOPPING)


def words(sock: socket.socket) -> tuple[list[list[bytes]], bool]:
    """All that lies at the peer, and whether the stream ended in order behind it; a reset fails the test."""
    data, ended = b"", False
    with contextlib.suppress(BlockingIOError):
        while more := sock.recv(65536):
            data += more
        ended = True
    return Parser().feed(data), ended


def ended(sock: socket.socket) -> bool:
    """Whether the peer sees an end, of whatever kind; what lies before it is taken."""
    try:
        while sock.recv(65536):
            pass
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def crossing(stream: Stream, send: Callable[[], None]) -> None:
    """Call `send` in the moment in which the stream is shut or closed, before the system hears of it."""
    sent: list[bool] = []

    def wrap(name: str) -> None:
        real = getattr(stream, name, None)

        def crossed() -> None:
            if not sent:
                sent.append(True)
                send()
            assert real is not None
            real()

        if real is not None:
            setattr(stream, name, crossed)

    wrap("shut_down_writing")
    wrap("close")


# -- answers of the round in which a connection would go


def test_a_run_that_ends_in_the_round_of_the_sweep_is_answered_before_the_close() -> None:
    """Brink, seed 4101, roll+term: the answer was queued, not yet written, and its connection seemed idle."""
    server = SimulatedServer(SERVER_SETTINGS)
    one = server.call(b"lookup")
    server.settle()
    server.listener.announce_close()
    server.settle()
    server.scheduler.clock.now += 2.0  # the router had its time to close after the farewell
    server.end(one.name)
    server.scheduler.run_ready()  # the answer is queued; the sweep's timer rings in this very round
    server.listener._sweep()
    server.settle()
    assert [words[1] for words in one.answers] == [b"OK"]


def test_a_close_that_comes_with_the_end_of_a_run_does_not_take_its_answer_away() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    one = server.call(b"lookup")
    server.settle()
    server.end(one.name)
    server.client.feed(b"")  # half a close, read in the round in which the answer is queued
    server.scheduler.run_ready()
    server.settle()
    assert [words[1] for words in one.answers] == [b"OK"]
    server.wait(1.0)
    assert not server.client.open


def test_a_fault_in_one_connection_s_answers_loses_no_other_s() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    bad = FakeStream(server.scheduler)
    server.listener.accepted(bad)
    bad.feed(frame(b"RPC.HEALTH", b"1", b""))
    server.scheduler.run_ready()
    faulty = next(reversed(server.listener.connections))

    def fault(_: float | None) -> bytes:
        raise RuntimeError("a fault of ours")

    faulty._answers.insert(0, fault)
    one = server.call(b"lookup")
    server.scheduler.run_ready()
    server.listener.flush()
    assert not bad.open and server.counts.count("faults") == 1 and server.client.open
    server.settle()
    server.end(one.name)
    server.settle()
    assert [words[1] for words in one.answers] == [b"OK"]


# -- a request, or a part of one, on a connection that is about to go


def test_a_request_that_crosses_the_shutdown_is_not_run_and_takes_no_answer_along(
    harness: ListenerHarness,
) -> None:
    """A close over bytes that came after the last look at them reset the connection: the answer was lost."""
    peer = harness.peer()
    peer.send(harness.call(1))
    harness.turn(lambda: harness.handler.pending)
    connection = harness.connection(peer)
    crossing(connection.stream, lambda: peer.sendall(harness.call(2)))
    harness.handler.pending[0].complete(b"made" * 1000)
    harness.request_listener.announce_close()
    harness.request_listener.flush()  # the router has not read it by then
    harness.ahead(2.0)
    harness.turn(lambda: connection.shut_down_at is not None or not connection.stream.open)
    harness.turn(lambda: "connections_crossed" in harness.counts)
    said, over = words(peer)
    assert [one[:2] for one in said] == [[b"1", b"OK"], [b"0", b"BYE"]] and over
    assert len(harness.handler.pending) == 1, "what came after the shutdown was run"
    peer.close()
    harness.turn(lambda: not harness.request_listener.connections)


def test_at_the_last_instant_no_answer_is_taken_along_and_what_has_come_is_answered(
    harness: ListenerHarness,
) -> None:
    """An end over unread bytes resets; and what lies unread by then is owed its answer all the same."""
    one, two = harness.peer(), harness.peer()
    one.send(harness.call(1))
    two.send(harness.call(2))
    harness.turn(lambda: len(harness.handler.pending) == 2)
    for exchange in harness.handler.pending:
        exchange.complete(b"made" * 1000)
    harness.request_listener.flush()
    two.send(harness.call(3))  # has come, is not read yet
    last = harness.connection(one)
    wait_until(lambda: harness.connection(two).stream.unread)
    crossing(last.stream, lambda: one.sendall(harness.call(4)))
    harness.request_listener.stop_reading()
    harness.turn(lambda: len(harness.handler.pending) == 3)
    harness.handler.pending[2].reject(0.0, False)
    harness.request_listener.flush()
    harness.turn(lambda: "connections_crossed" in harness.counts)
    said, over = words(one)
    assert [frame[1] for frame in said] == [b"OK"] and over
    assert [frame[1] for frame in words(two)[0]] == [b"OK", b"BUSY"]
    assert len(harness.handler.pending) == 3


def test_a_client_that_stays_after_the_shutdown_is_closed_in_a_while(harness: ListenerHarness) -> None:
    peer = harness.peer()
    peer.send(frame(b"RPC.HEALTH", b"1", b""))
    harness.turn(
        lambda: harness.connection(peer).has_received if harness.request_listener.connections else False
    )
    harness.request_listener.announce_close()
    harness.ahead(2.0)
    harness.turn(lambda: ended(peer))
    assert harness.request_listener.connections
    harness.ahead(1.0)
    harness.turn(lambda: not harness.request_listener.connections)


def test_one_that_sends_on_without_end_is_read_for_a_bounded_while_only(harness: ListenerHarness) -> None:
    peer = harness.peer()
    sent = 0
    peer.send(b"no frame of this protocol")
    harness.turn(lambda: harness.request_listener.connections)

    def flooded() -> bool:
        nonlocal sent
        with contextlib.suppress(OSError):
            sent += peer.send(b"x" * 65536)
        return not harness.request_listener.connections

    harness.turn(flooded)
    assert sent >= connections.MAX_DISCARDED_BYTES and harness.counts.count("frames_garbled") == 1


def test_whole_requests_before_bad_bytes_get_their_answers_and_then_the_end_comes() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    one = server.call(b"lookup")
    data = server.client.fed.pop()
    two = server.call(b"record", b"label")
    data += server.client.fed.pop()
    server.client.fed.append(data + b"no frame of this protocol")
    server.settle()
    assert server.client.open and {one.name, two.name} == set(server.interpreter.running)
    late = server.call(b"lookup")
    late.cancelled = True  # behind what can't be read: never read, never run
    server.settle()
    for name in list(server.interpreter.running):
        server.end(name)
        server.settle()
    assert [one.answers[0][1], two.answers[0][1]] == [b"OK", b"OK"] and not late.answers
    assert not server.client.open


def test_half_a_frame_that_is_overdue_does_not_take_an_open_request_along() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    one = server.call(b"lookup")
    server.settle()
    server.client.feed(call(77, b"%016x" % 77, b"lookup", server.now, b"body")[:-9])
    server.settle()
    server.wait(3.0)
    assert server.client.open and server.counts.count("connections_unfinished") == 1
    server.end(one.name)
    server.settle()
    assert [words[1] for words in one.answers] == [b"OK"]
    assert not server.client.open and server.counts.count("connections_unfinished") == 1


def test_the_rest_of_a_frame_that_has_just_come_is_read_before_it_counts_as_overdue() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    one = server.call(b"lookup")
    data = server.client.fed.pop()
    server.client.fed.append(data[:-9])
    server.client.wake()
    server.settle()
    reader, server.client.reader = server.client.reader, None  # the rest comes, the reader's turn has not
    server.client.fed.append(data[-9:])
    server.scheduler.clock.now += 2.5
    server.listener._sweep()
    assert server.client.open
    server.client.reader = reader
    server.client.wake()
    server.settle()
    assert len(one.answers) == 1 and server.client.open  # rejected for its wait, which is an answer


def test_a_client_that_resets_in_the_middle_of_an_answer_costs_its_own_requests_only(
    harness: ListenerHarness,
) -> None:
    one, two = harness.peer(), harness.peer()
    one.send(harness.call(1) + harness.call(2))
    two.send(harness.call(3))
    harness.turn(lambda: len(harness.handler.pending) == 3)
    pending = {exchange.name: exchange for exchange in harness.handler.pending}
    pending[b"%016x" % 1].complete(b"x" * 4096)
    one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    one.close()  # a reset, as the answer is queued
    harness.turn(lambda: harness.handler.left)
    assert [exchange.name for exchange in harness.handler.left] == [b"%016x" % 2]
    pending[b"%016x" % 3].complete(b"made")
    harness.turn(
        lambda: len(harness.request_listener.connections) == 1 and not harness.request_listener._with_answers
    )
    assert words(two)[0][0][1] == b"OK"


def test_a_request_that_came_while_a_long_round_went_on_is_not_from_another_time(
    harness: ListenerHarness,
) -> None:
    """The round's clock stands while it reads: 1.1 s later than its start was taken for a faulty field."""
    peer = harness.peer()
    harness.turn(lambda: harness.request_listener.connections)
    connection = harness.connection(peer)
    late = harness.call(1)
    harness.clock.now -= 1.1  # the round began before the request was made
    connection._receive(late)
    assert len(harness.handler.pending) == 1 and "frames_faulty" not in harness.counts


# -- a full table


@pytest.mark.parametrize("asked", [True, False])
@pytest.mark.parametrize("closes", [True, False])
@pytest.mark.parametrize("most", [4, 7, 16])  # four is what the least limit of the settings leaves
def test_a_table_filled_by_idle_clients_still_serves_whoever_comes(
    most: int, asked: bool, closes: bool
) -> None:
    """Under eight connections the part of the table that may go was none: nobody else was ever served."""
    harness = ListenerHarness(most)
    try:
        idle = [harness.peer() for _ in range(most)]
        if asked:
            for sock in idle:
                sock.send(frame(b"RPC.HEALTH", b"1", b""))
            harness.turn(
                lambda: (
                    all(one.has_received for one in harness.request_listener.connections)
                    and not harness.request_listener._with_answers
                )
            )
        harness.turn(lambda: len(harness.request_listener.connections) == most)
        harness.ahead(0.2)
        check, asking = harness.peer(), harness.peer()
        check.send(frame(b"RPC.HEALTH", b"1", b""))
        asking.send(harness.call(1))

        def served() -> bool:
            for sock in idle:
                if closes and sock.fileno() >= 0 and ended(sock):
                    sock.close()
            return bool(harness.handler.pending) and harness.counts.count("checks_in") == most * asked + 1

        harness.turn(served)
        harness.handler.pending[0].complete(b"made")
        harness.request_listener.flush()
        assert words(asking)[0][0][1] == b"OK" and words(check)[0][0][1] == b"UP"
        assert harness.counts.count("connections_crowded_out") <= 4, "more went than were in the way"
    finally:
        finish(harness)


def test_a_table_full_of_open_requests_loses_none_of_them_for_a_newcomer() -> None:
    harness = ListenerHarness(4)
    try:
        busy = [harness.peer() for _ in range(4)]
        for tag, sock in enumerate(busy, 1):
            sock.send(harness.call(tag))
        harness.turn(lambda: len(harness.handler.pending) == 4)
        late = harness.peer()
        late.send(harness.call(9))
        harness.ahead(1.0)
        harness.turn(lambda: harness.listener is not None)
        harness.request_listener.evict_unused()
        assert len(harness.request_listener.connections) == 4
        harness.handler.pending[0].complete(b"made")
        harness.request_listener.flush()
        harness.ahead(0.2)
        harness.turn(lambda: len(harness.handler.pending) == 5)
        assert words(busy[0])[0][0][1] == b"OK"
        assert "connections_crowded_out" in harness.counts and not harness.handler.left
    finally:
        finish(harness)


def test_a_peer_that_never_reads_stays_connected_for_a_bounded_time_only(harness: ListenerHarness) -> None:
    """Its unsent answers kept its connection from ever counting as idle."""
    deaf, good = harness.peer(), harness.peer()
    deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    harness.turn(lambda: len(harness.request_listener.connections) == 2)
    # Else the kernel takes some MB of answers first: seconds of work, more than the patience beside load.
    harness.connection(deaf).stream._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    checks = bytearray(b"".join(frame(b"RPC.HEALTH", b"%d" % tag, b"") for tag in range(1, 20_000)))

    def stuffed() -> bool:
        with contextlib.suppress(BlockingIOError):
            while checks:
                del checks[: deaf.send(checks[:65536])]
        return any(one.stream.stuck_since is not None for one in harness.request_listener.connections)

    harness.turn(stuffed)
    good.send(harness.call(1))
    harness.turn(lambda: harness.handler.pending)
    assert len(harness.request_listener.connections) == 2
    harness.ahead(max(request_class.timeout_s for request_class in SERVER_SETTINGS.request_classes) + 2.0)
    harness.turn(lambda: "connections_stuck" in harness.counts)
    assert [one.open for one in harness.request_listener.connections] == [{1: harness.handler.pending[0]}]


def test_one_reset_before_it_was_taken_is_no_sign_of_a_full_table(
    harness: ListenerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    resting = harness.peer()
    resting.send(frame(b"RPC.HEALTH", b"1", b""))
    harness.turn(lambda: "checks_in" in harness.counts)
    harness.ahead(1.0)
    real, broken = Stream, iter([True])

    def taken(*values: object) -> Stream:
        if next(broken, False):
            raise OSError("invalid argument")
        return real(*values)  # type: ignore[arg-type]

    monkeypatch.setattr(listening_socket, "Stream", taken)
    harness.peer()
    good = harness.peer()
    good.send(frame(b"RPC.HEALTH", b"2", b""))
    harness.turn(lambda: harness.counts.count("checks_in") == 2)
    assert "connections_crowded_out" not in harness.counts and len(harness.request_listener.connections) == 2


@pytest.mark.parametrize("method", ["accepted", "evict_unused"])
def test_a_fault_as_one_is_accepted_does_not_refuse_all_that_come_later(method: str) -> None:
    harness = ListenerHarness(4)
    faults: list[bool] = []
    try:
        harness.scheduler.on_fault = lambda: faults.append(True)
        part = {"accepted": "_on_accepted", "evict_unused": "_on_full"}[method]
        real = getattr(harness.listener, part)

        def once(*_: object) -> None:
            setattr(harness.listener, part, real)
            raise RuntimeError("a fault of ours")

        setattr(harness.listener, part, once)
        first = [harness.peer() for _ in range(4 if method == "evict_unused" else 1)]
        harness.turn(lambda: faults or len(harness.request_listener.connections) == len(first))
        harness.ahead(0.2)
        late = harness.peer()
        late.send(harness.call(1))
        harness.turn(lambda: harness.handler.pending)
        assert faults == [True]
    finally:
        finish(harness)


def test_a_full_table_of_the_narrowest_server_is_reduced_all_the_same() -> None:
    server = SimulatedServer(replace(SERVER_SETTINGS))
    server.listener._max_connections = 4
    streams = [FakeStream(server.scheduler) for _ in range(3)]
    for stream in streams:
        server.listener.accepted(stream)
        stream.feed(frame(b"RPC.HEALTH", b"1", b""))
    server.settle()
    assert not server.listener.has_capacity()
    server.wait(0.5)
    server.listener.evict_unused()
    server.settle()
    assert server.listener.has_capacity()


@pytest.mark.parametrize("limit", [16, 70])
def test_idle_clients_leave_descriptors_for_the_link_and_its_replacement(tmp_path: Path, limit: int) -> None:
    """On crowded days a process was seen to hold 513 of 512: what else it holds was not left room for."""
    deployment = Deployment(tmp_path, limits={"sockets": limit, "memory_mb": 32})
    new = FakeInterpreter(deployment.interpreter.core)  # the same interpreter behind another address
    try:
        process = deployment.start()
        peer = deployment.ready()
        crowd = [deployment.client() for _ in range(limit)]  # as while discovery is down and nothing lapses
        pending = Path(f"/proc/{process.pid}/fd")
        most = 0
        for tag, one in enumerate(crowd, 1):
            with contextlib.suppress(OSError):
                one.send(frame(b"RPC.HEALTH", b"%d" % tag, b""))
            most = max(most, len(list(pending.iterdir())))
        deployment.file.write_text(
            json.dumps(deployment.config | {"vm": f"127.0.0.1:{new.listening_socket.getsockname()[1]}"})
        )
        process.send_signal(signal.SIGHUP)

        def moved() -> bool:
            nonlocal most
            most = max(most, len(list(pending.iterdir())))
            return new.link is not None

        wait_until(moved)
        asking = deployment.client()
        assert asking.ask(1, asking.call(1))[1] == b"OK"
        assert most <= limit, f"{most} descriptors of {limit}"
        for one in (peer, asking, *crowd):
            one.sock.close()
        shut_down(process)
    finally:
        new.listening_socket.close()
        new.cut()
        deployment.end()


def test_the_table_leaves_a_part_of_the_descriptors_to_whatever_else_the_process_holds(
    tmp_path: Path,
) -> None:
    told = {}
    for limit in (16, 28, 48, 64, 384, 512, 1024):
        deployment = Deployment(tmp_path, limits={"sockets": limit})
        deployment.file.write_text(json.dumps(deployment.config))
        told[limit] = configuration.placement_settings({"RELAY_CONFIG": str(deployment.file)}).max_connections
        deployment.end()
    assert told == {16: 4, 28: 16, 48: 31, 64: 44, 384: 364, 512: 492, 1024: 1004}
