"""Data that arrives while a connection is being shut down or closed; each race is forced.

`SimulatedServer` is the serving layer on a fake clock; `ListenerHarness` is the listener alone, over loopback
sockets, with a clock that a test can advance.
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

TIMEOUT_S = 5.0


class ShiftedClock(Clock):
    """The system's clock plus an offset that a test sets."""

    offset_s = 0.0

    def read(self) -> float:
        self.now = time.time() + self.offset_s
        return self.now


class RequestHandler:
    """Retains what arrived until the test answers it."""

    def __init__(self) -> None:
        self.pending: list[Exchange] = []
        self.cancelled_exchanges: list[Exchange] = []

    def arrived(self, exchange: Exchange) -> None:
        self.pending.append(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        self.cancelled_exchanges.append(exchange)


class ListenerHarness:
    """The listener over real sockets; the test acts as all clients and as the handler."""

    def __init__(self, max_connections: int) -> None:
        self.clock = ShiftedClock()
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
            max_connections,
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
        sock = socket.create_connection(self.address, timeout=TIMEOUT_S)
        sock.setblocking(False)
        self.peers.append(sock)
        return sock

    def run_until(self, condition: Callable[[], object]) -> None:
        """Run rounds until the condition holds; fail after a timeout."""
        reached: list[bool] = []

        def check() -> None:
            if condition():
                reached.append(True)
                self.scheduler.stop()

        def tick() -> None:  # conditions at the peers wake no descriptor of the server
            ticks.append(self.scheduler.after(0.005, tick))

        ticks: list[Timer] = []
        tick()
        bound = self.scheduler.after(TIMEOUT_S + self.clock.offset_s, self.scheduler.stop)
        self.scheduler._stopped = False
        self.scheduler.after_round.append(check)
        self.scheduler.run()
        self.scheduler.after_round.remove(check)
        for timer in (bound, ticks[-1]):
            timer.cancel()
        assert reached, "the condition did not hold in time"

    def advance(self, span_s: float) -> None:
        self.clock.offset_s += span_s

    def call(self, tag: int, name: int | None = None) -> bytes:
        return call(tag, b"%016x" % (name or tag), b"lookup", time.time() + self.clock.offset_s, b"body")

    def connection(self, sock: socket.socket) -> Connection:
        """Return the server's end of a client's connection."""
        address = sock.getsockname()
        return next(
            connection
            for connection in self.request_listener.connections
            if connection.stream._socket.getpeername() == address
        )


@pytest.fixture
def harness() -> Iterator[ListenerHarness]:
    created = ListenerHarness(16)
    yield created
    finish(created)


def finish(harness: ListenerHarness) -> None:
    for sock in harness.peers:
        sock.close()
    harness.listener.close()
    for connection in list(harness.request_listener.connections):
        connection.close(CloseReason.STOPPING)


def read_frames(sock: socket.socket) -> tuple[list[list[bytes]], bool]:
    """Return the frames received by a peer, and whether the stream has ended; a reset fails the test."""
    data, ended = b"", False
    with contextlib.suppress(BlockingIOError):
        while chunk := sock.recv(65536):
            data += chunk
        ended = True
    return Parser().feed(data), ended


def has_ended(sock: socket.socket) -> bool:
    """Return whether the peer sees an end or a reset; data before it is discarded."""
    try:
        while sock.recv(65536):
            pass
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def send_during_close(stream: Stream, send: Callable[[], None]) -> None:
    """Call `send` when the stream is shut down or closed, directly before the system call."""
    sent: list[bool] = []

    def wrap(name: str) -> None:
        real = getattr(stream, name, None)

        def send_first() -> None:
            if not sent:
                sent.append(True)
                send()
            assert real is not None
            real()

        if real is not None:
            setattr(stream, name, send_first)

    wrap("shut_down_writing")
    wrap("close")


# -- answers in the round in which a connection is closed


def test_a_run_that_ends_in_the_round_of_the_sweep_is_answered_before_the_close() -> None:
    """Guards against a sweep that takes a connection with a queued answer for idle.

    Seen in the experiment brink, seed 4101, roll+term.
    """
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.listener.announce_close()
    server.settle()
    server.scheduler.clock.now += 2.0  # the client's time to close after the announcement is over
    server.end(attempt.name)
    server.scheduler.run_ready()  # the answer is queued; the sweep is due in this round
    server.listener._sweep()
    server.settle()
    assert [words[1] for words in attempt.answers] == [b"OK"]


def test_a_half_close_that_is_read_with_the_end_of_a_run_does_not_lose_its_answer() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.end(attempt.name)
    # The client closes its side, which is read in the round in which the answer is queued.
    server.client.feed(b"")
    server.scheduler.run_ready()
    server.settle()
    assert [words[1] for words in attempt.answers] == [b"OK"]
    server.wait(1.0)
    assert not server.client.open


def test_an_error_in_one_connections_answers_loses_no_other_answers() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    failing_stream = FakeStream(server.scheduler)
    server.listener.accepted(failing_stream)
    failing_stream.feed(frame(b"RPC.HEALTH", b"1", b""))
    server.scheduler.run_ready()
    failing_connection = next(reversed(server.listener.connections))

    def raise_error(_: float | None) -> bytes:
        raise RuntimeError("injected error")

    failing_connection._answers.insert(0, raise_error)
    attempt = server.call(b"lookup")
    server.scheduler.run_ready()
    server.listener.flush()
    assert not failing_stream.open and server.counts.count("faults") == 1 and server.client.open
    server.settle()
    server.end(attempt.name)
    server.settle()
    assert [words[1] for words in attempt.answers] == [b"OK"]


# -- complete or partial requests on a connection that is about to be closed


def test_a_request_that_crosses_the_shutdown_is_not_run_and_loses_no_answer(
    harness: ListenerHarness,
) -> None:
    """Guards against a close with unread data, which reset the connection and lost the answer."""
    peer = harness.peer()
    peer.send(harness.call(1))
    harness.run_until(lambda: harness.handler.pending)
    connection = harness.connection(peer)
    send_during_close(connection.stream, lambda: peer.sendall(harness.call(2)))
    harness.handler.pending[0].complete(b"made" * 1000)
    harness.request_listener.announce_close()
    harness.request_listener.flush()  # the client has not read it yet
    harness.advance(2.0)
    harness.run_until(lambda: connection.shut_down_at is not None or not connection.stream.open)
    harness.run_until(lambda: "connections_crossed" in harness.counts)
    frames, ended = read_frames(peer)
    assert [words[:2] for words in frames] == [[b"1", b"OK"], [b"0", b"BYE"]] and ended
    assert len(harness.handler.pending) == 1, "a request that arrived after the shutdown was run"
    peer.close()
    harness.run_until(lambda: not harness.request_listener.connections)


def test_stopping_to_read_loses_no_answer_and_received_requests_are_answered(
    harness: ListenerHarness,
) -> None:
    """A close with unread data is a reset; and requests that are received but unread must be answered."""
    first, second = harness.peer(), harness.peer()
    first.send(harness.call(1))
    second.send(harness.call(2))
    harness.run_until(lambda: len(harness.handler.pending) == 2)
    for exchange in harness.handler.pending:
        exchange.complete(b"made" * 1000)
    harness.request_listener.flush()
    second.send(harness.call(3))  # received, but not read yet
    connection = harness.connection(first)
    wait_until(lambda: harness.connection(second).stream.has_unread_data)
    send_during_close(connection.stream, lambda: first.sendall(harness.call(4)))
    harness.request_listener.stop_reading()
    harness.run_until(lambda: len(harness.handler.pending) == 3)
    harness.handler.pending[2].reject(0.0, False)
    harness.request_listener.flush()
    harness.run_until(lambda: "connections_crossed" in harness.counts)
    frames, ended = read_frames(first)
    assert [words[1] for words in frames] == [b"OK"] and ended
    assert [words[1] for words in read_frames(second)[0]] == [b"OK", b"BUSY"]
    assert len(harness.handler.pending) == 3


def test_a_client_that_stays_connected_after_the_shutdown_is_closed_after_a_timeout(
    harness: ListenerHarness,
) -> None:
    peer = harness.peer()
    peer.send(frame(b"RPC.HEALTH", b"1", b""))
    harness.run_until(
        lambda: harness.connection(peer).has_received if harness.request_listener.connections else False
    )
    harness.request_listener.announce_close()
    harness.advance(2.0)
    harness.run_until(lambda: has_ended(peer))
    assert harness.request_listener.connections
    harness.advance(1.0)
    harness.run_until(lambda: not harness.request_listener.connections)


def test_a_client_that_sends_without_end_after_invalid_data_is_read_up_to_a_limit(
    harness: ListenerHarness,
) -> None:
    peer = harness.peer()
    sent = 0
    peer.send(b"no frame of this protocol")
    harness.run_until(lambda: harness.request_listener.connections)

    def send_more() -> bool:
        nonlocal sent
        with contextlib.suppress(OSError):
            sent += peer.send(b"x" * 65536)
        return not harness.request_listener.connections

    harness.run_until(send_more)
    assert sent >= connections.MAX_DISCARDED_BYTES and harness.counts.count("frames_garbled") == 1


def test_complete_requests_before_invalid_data_are_answered_before_the_close() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    first = server.call(b"lookup")
    data = server.client.unread_chunks.pop()
    second = server.call(b"record", b"label")
    data += server.client.unread_chunks.pop()
    server.client.unread_chunks.append(data + b"no frame of this protocol")
    server.settle()
    assert server.client.open and {first.name, second.name} == set(server.interpreter.running)
    late = server.call(b"lookup")
    late.cancelled = True  # sent after the invalid data, so never read and never run
    server.settle()
    for name in list(server.interpreter.running):
        server.end(name)
        server.settle()
    assert [first.answers[0][1], second.answers[0][1]] == [b"OK", b"OK"] and not late.answers
    assert not server.client.open


def test_an_overdue_incomplete_frame_does_not_lose_an_open_request() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    server.settle()
    server.client.feed(call(77, b"%016x" % 77, b"lookup", server.now, b"body")[:-9])
    server.settle()
    server.wait(3.0)
    assert server.client.open and server.counts.count("connections_unfinished") == 1
    server.end(attempt.name)
    server.settle()
    assert [words[1] for words in attempt.answers] == [b"OK"]
    assert not server.client.open and server.counts.count("connections_unfinished") == 1


def test_the_rest_of_a_frame_that_has_just_arrived_is_read_before_it_counts_as_overdue() -> None:
    server = SimulatedServer(SERVER_SETTINGS)
    attempt = server.call(b"lookup")
    data = server.client.unread_chunks.pop()
    server.client.unread_chunks.append(data[:-9])
    server.client.wake()
    server.settle()
    # The rest of the frame arrives, but the reader does not run yet.
    reader, server.client.reader = server.client.reader, None
    server.client.unread_chunks.append(data[-9:])
    server.scheduler.clock.now += 2.5
    server.listener._sweep()
    assert server.client.open
    server.client.reader = reader
    server.client.wake()
    server.settle()
    assert len(attempt.answers) == 1 and server.client.open  # rejected for its long wait, which is an answer


def test_a_reset_during_an_answer_affects_only_the_clients_own_requests(
    harness: ListenerHarness,
) -> None:
    resetting, other = harness.peer(), harness.peer()
    resetting.send(harness.call(1) + harness.call(2))
    other.send(harness.call(3))
    harness.run_until(lambda: len(harness.handler.pending) == 3)
    pending = {exchange.name: exchange for exchange in harness.handler.pending}
    pending[b"%016x" % 1].complete(b"x" * 4096)
    resetting.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    resetting.close()  # a reset, while the answer is queued
    harness.run_until(lambda: harness.handler.cancelled_exchanges)
    assert [exchange.name for exchange in harness.handler.cancelled_exchanges] == [b"%016x" % 2]
    pending[b"%016x" % 3].complete(b"made")
    harness.run_until(
        lambda: len(harness.request_listener.connections) == 1 and not harness.request_listener._with_answers
    )
    assert read_frames(other)[0][0][1] == b"OK"


def test_a_request_that_arrives_during_a_long_round_has_a_valid_time_of_arrival(
    harness: ListenerHarness,
) -> None:
    """Guards against rejecting a time of arrival that is 1.1 s after the clock reading of the round."""
    peer = harness.peer()
    harness.run_until(lambda: harness.request_listener.connections)
    connection = harness.connection(peer)
    late = harness.call(1)
    harness.clock.now -= 1.1  # the round began before the request was made
    connection._receive(late)
    assert len(harness.handler.pending) == 1 and "frames_faulty" not in harness.counts


# -- a full table


@pytest.mark.parametrize("frames_sent", [True, False])
@pytest.mark.parametrize("clients_close", [True, False])
@pytest.mark.parametrize("max_connections", [4, 7, 16])  # the smallest limit in the settings leaves four
def test_a_table_filled_by_idle_clients_still_serves_new_clients(
    max_connections: int, frames_sent: bool, clients_close: bool
) -> None:
    """Guards against tables of less than eight connections that evicted none and served no new client."""
    harness = ListenerHarness(max_connections)
    try:
        idle = [harness.peer() for _ in range(max_connections)]
        if frames_sent:
            for sock in idle:
                sock.send(frame(b"RPC.HEALTH", b"1", b""))
            harness.run_until(
                lambda: (
                    len(harness.request_listener.connections) == max_connections
                    and all(connection.has_received for connection in harness.request_listener.connections)
                    and not harness.request_listener._with_answers
                )
            )
        harness.run_until(lambda: len(harness.request_listener.connections) == max_connections)
        harness.advance(0.2)
        check_peer, request_peer = harness.peer(), harness.peer()
        check_peer.send(frame(b"RPC.HEALTH", b"1", b""))
        request_peer.send(harness.call(1))

        def served() -> bool:
            for sock in idle:
                if clients_close and sock.fileno() >= 0 and has_ended(sock):
                    sock.close()
            return (
                bool(harness.handler.pending)
                and harness.counts.count("checks_in") == max_connections * frames_sent + 1
            )

        harness.run_until(served)
        harness.handler.pending[0].complete(b"made")
        harness.request_listener.flush()
        assert read_frames(request_peer)[0][0][1] == b"OK" and read_frames(check_peer)[0][0][1] == b"UP"
        assert harness.counts.count("connections_crowded_out") <= 4, (
            "more connections were evicted than necessary"
        )
    finally:
        finish(harness)


def test_a_table_full_of_open_requests_loses_none_of_them_for_a_new_client() -> None:
    harness = ListenerHarness(4)
    try:
        busy = [harness.peer() for _ in range(4)]
        for tag, sock in enumerate(busy, 1):
            sock.send(harness.call(tag))
        harness.run_until(lambda: len(harness.handler.pending) == 4)
        late = harness.peer()
        late.send(harness.call(9))
        harness.advance(1.0)
        harness.run_until(lambda: harness.listener is not None)
        harness.request_listener.evict_unused()
        assert len(harness.request_listener.connections) == 4
        harness.handler.pending[0].complete(b"made")
        harness.request_listener.flush()
        harness.advance(0.2)
        harness.run_until(lambda: len(harness.handler.pending) == 5)
        assert read_frames(busy[0])[0][0][1] == b"OK"
        assert "connections_crowded_out" in harness.counts and not harness.handler.cancelled_exchanges
    finally:
        finish(harness)


def test_a_peer_that_never_reads_stays_connected_for_a_bounded_time_only(harness: ListenerHarness) -> None:
    """Guards against unsent answers that keep its connection from ever counting as idle."""
    stuck, reading = harness.peer(), harness.peer()
    stuck.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    harness.run_until(lambda: len(harness.request_listener.connections) == 2)
    # Otherwise the kernel buffers some MB of answers first, which takes seconds and may exceed the timeout.
    harness.connection(stuck).stream._socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    checks = bytearray(b"".join(frame(b"RPC.HEALTH", b"%d" % tag, b"") for tag in range(1, 20_000)))

    def is_stuck() -> bool:
        with contextlib.suppress(BlockingIOError):
            while checks:
                del checks[: stuck.send(checks[:65536])]
        return any(
            connection.stream.stuck_since is not None for connection in harness.request_listener.connections
        )

    harness.run_until(is_stuck)
    reading.send(harness.call(1))
    harness.run_until(lambda: harness.handler.pending)
    assert len(harness.request_listener.connections) == 2
    harness.advance(max(request_class.timeout_s for request_class in SERVER_SETTINGS.request_classes) + 2.0)
    harness.run_until(lambda: "connections_stuck" in harness.counts)
    assert [connection.open for connection in harness.request_listener.connections] == [
        {1: harness.handler.pending[0]}
    ]


def test_a_connection_reset_before_it_is_accepted_does_not_evict_others(
    harness: ListenerHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    idle = harness.peer()
    idle.send(frame(b"RPC.HEALTH", b"1", b""))
    harness.run_until(lambda: "checks_in" in harness.counts)
    harness.advance(1.0)
    real, broken = Stream, iter([True])

    def make_stream(*values: object) -> Stream:
        if next(broken, False):
            raise OSError("invalid argument")
        return real(*values)  # type: ignore[arg-type]

    monkeypatch.setattr(listening_socket, "Stream", make_stream)
    harness.peer()
    other = harness.peer()
    other.send(frame(b"RPC.HEALTH", b"2", b""))
    harness.run_until(lambda: harness.counts.count("checks_in") == 2)
    assert "connections_crowded_out" not in harness.counts and len(harness.request_listener.connections) == 2


@pytest.mark.parametrize("method", ["accepted", "evict_unused"])
def test_an_error_while_accepting_does_not_refuse_later_connections(method: str) -> None:
    harness = ListenerHarness(4)
    errors: list[bool] = []
    try:
        harness.scheduler.on_internal_error = lambda: errors.append(True)
        attribute = {"accepted": "_on_accepted", "evict_unused": "_on_full"}[method]
        real = getattr(harness.listener, attribute)

        def raise_once(*_: object) -> None:
            setattr(harness.listener, attribute, real)
            raise RuntimeError("injected error")

        setattr(harness.listener, attribute, raise_once)
        first = [harness.peer() for _ in range(4 if method == "evict_unused" else 1)]
        harness.run_until(lambda: errors or len(harness.request_listener.connections) == len(first))
        harness.advance(0.2)
        late = harness.peer()
        late.send(harness.call(1))
        harness.run_until(lambda: harness.handler.pending)
        assert errors == [True]
    finally:
        finish(harness)


def test_a_full_table_of_the_smallest_server_is_reduced() -> None:
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
    """Guards against too few descriptors for other uses: a process with a full table held 513 of 512."""
    deployment = Deployment(tmp_path, limits={"sockets": limit, "memory_mb": 32})
    replacement = FakeInterpreter(deployment.interpreter.core)  # the same interpreter at another address
    try:
        process = deployment.start()
        peer = deployment.ready()
        # As while discovery is down and no connection expires.
        idle_clients = [deployment.client() for _ in range(limit)]
        descriptors = Path(f"/proc/{process.pid}/fd")
        max_used = 0
        for tag, client in enumerate(idle_clients, 1):
            with contextlib.suppress(OSError):
                client.send(frame(b"RPC.HEALTH", b"%d" % tag, b""))
            max_used = max(max_used, len(list(descriptors.iterdir())))
        deployment.file.write_text(
            json.dumps(
                deployment.config | {"vm": f"127.0.0.1:{replacement.listening_socket.getsockname()[1]}"}
            )
        )
        process.send_signal(signal.SIGHUP)

        def moved() -> bool:
            nonlocal max_used
            max_used = max(max_used, len(list(descriptors.iterdir())))
            return replacement.link is not None

        wait_until(moved)
        late_client = deployment.client()
        assert late_client.ask(1, late_client.call(1))[1] == b"OK"
        assert max_used <= limit, f"{max_used} descriptors of {limit}"
        for client in (peer, late_client, *idle_clients):
            client.sock.close()
        shut_down(process)
    finally:
        replacement.listening_socket.close()
        replacement.cut()
        deployment.end()


def test_the_table_leaves_descriptors_for_other_uses_of_the_process(
    tmp_path: Path,
) -> None:
    max_connections = {}
    for limit in (16, 28, 48, 64, 384, 512, 1024):
        deployment = Deployment(tmp_path, limits={"sockets": limit})
        deployment.file.write_text(json.dumps(deployment.config))
        max_connections[limit] = configuration.placement_settings(
            {"RELAY_CONFIG": str(deployment.file)}
        ).max_connections
        deployment.end()
    assert max_connections == {16: 4, 28: 16, 48: 31, 64: 44, 384: 364, 512: 492, 1024: 1004}
