"""Races between signals, requests and the shutdown of a server, with real processes and sockets.

Each test fixes the order of events. A process suspended by SIGSTOP reads all that arrived meanwhile in one
round; a script in the server's process triggers the other event between two given lines. No test waits for a
race to happen by chance.
"""

from __future__ import annotations

import contextlib
import errno
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from simulated_server import call, frame
from test_program import SETTINGS, TIMEOUT_S, ClientConnection, Deployment, wait_until

from sablewheel.protocol import naming
from sablewheel.transport import listening_socket
from sablewheel.transport.listening_socket import Listener
from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.transport.stream import Stream

HEALTH = frame(b"RPC.HEALTH", b"999", b"")


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path, stop_ms=600)
    yield deployment
    deployment.end()


@contextlib.contextmanager
def suspended(process: subprocess.Popen[str]) -> Iterator[None]:
    """Suspend the process, so that it reads everything that arrives meanwhile in its next round."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def wait_for_exit(process: subprocess.Popen[str]) -> str:
    _, text = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0 and "Traceback" not in text and "by a fault" not in text, text
    return text


def only_answer(peer: ClientConnection, tag: int) -> bytes:
    """Return the answer to a request; check that no second one follows before the end of the connection."""
    word = peer.read(tag)[1]
    with contextlib.suppress(ConnectionResetError):
        while data := peer.sock.recv(65536):
            peer.frames += peer.parser.feed(data)
    assert not [words for words in peer.frames if words[0] == b"%d" % tag]
    return word


def start_with_script(deployment: Deployment, script: str) -> subprocess.Popen[str]:
    """Start the program in a process that first runs `script`, which may replace parts of it."""
    deployment.file.write_text(json.dumps(deployment.config))
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT_START + script + "\nsys.exit(start.main())\n"],
        env={**os.environ, "RELAY_CONFIG": str(deployment.file)},
        stderr=subprocess.PIPE,
        text=True,
    )
    deployment.processes.append(process)
    return process


SCRIPT_START = """
import os, signal, sys, time
from sablewheel import __main__ as start
from sablewheel.program.application import Application
from sablewheel.serving.dispatcher import Dispatcher
def send_signals(*numbers):
    for number in numbers:
        os.kill(os.getpid(), number)
"""


# -- shutdown before the interpreter is up


def test_all_requests_that_wait_for_the_start_are_rejected_at_the_shutdown(deployment: Deployment) -> None:
    """They are read and waiting, read in part, in the socket buffer, or on a connection not accepted yet."""
    deployment.interpreter.core.is_up = False
    process = deployment.start()
    read, partly_read, unread = (deployment.client() for _ in range(3))
    for peer in (read, partly_read, unread):
        assert peer.ask(999, HEALTH)[1] == b"DOWN"
    read.send(read.call(1) + HEALTH)
    request = partly_read.call(1)
    partly_read.send(HEALTH + request[:-9])
    read.read(999)
    partly_read.read(999)
    with suspended(process):
        partly_read.send(request[-9:])
        unread.send(unread.call(1))
        waiting = deployment.client()
        waiting.send(waiting.call(1))
        process.send_signal(signal.SIGTERM)
    for peer in (read, partly_read, unread, waiting):
        assert peer.read(1)[1] == b"BUSY"
        peer.sock.close()
    text = wait_for_exit(process)
    assert "denied_draining=4" in text and not deployment.interpreter.core.applied


def test_a_server_without_open_requests_or_interpreter_ends_at_once(deployment: Deployment) -> None:
    deployment.config["stop_ms"] = 60_000
    deployment.interpreter.core.is_up = False
    process = deployment.start()
    peer = deployment.client()
    assert peer.ask(999, HEALTH)[1] == b"DOWN"
    peer.sock.close()
    process.send_signal(signal.SIGTERM)
    wait_for_exit(process)


@pytest.mark.parametrize("first", ["greeting", "notice"])
def test_the_greeting_and_the_shutdown_notice_in_one_round(deployment: Deployment, first: str) -> None:
    """In either order, the waiting request gets one answer, and the server does not report that it is up."""
    calls = ["greeted(self, *values)", "application[0]._on_shutdown_notice()"]
    process = start_with_script(
        deployment,
        f"""
application, greeted, init = [], Dispatcher.interpreter_ready, Application.__init__
def recording(self, *values):
    init(self, *values)
    application.append(self)
def both(self, *values):
    {"; ".join(calls if first == "greeting" else calls[::-1])}
notice = Dispatcher.shutdown_notice
def logged(self, left):
    print("the controller received the notice", file=sys.stderr)
    notice(self, left)
Application.__init__, Dispatcher.interpreter_ready, Dispatcher.shutdown_notice = recording, both, logged
""",
    )
    deployment.interpreter.core.is_up = False
    peer = deployment.client()
    peer.send(peer.call(1) + HEALTH)
    assert peer.read(999)[1] == b"DOWN"
    wait_until(lambda: deployment.interpreter.link is not None)
    assert deployment.interpreter.link is not None
    deployment.interpreter.core.is_up = True
    deployment.interpreter.link.sendall(b"BANNER steady 5000\r\n")
    assert peer.read(1)[1] == (b"OK" if first == "greeting" else b"BUSY")
    health = deployment.client() if first == "greeting" else peer
    assert health.ask(999, HEALTH)[1] == b"DOWN"
    health.sock.close()
    peer.sock.close()
    assert wait_for_exit(process).count("the controller received the notice") == 1
    assert len(deployment.interpreter.core.applied) == (first == "greeting")


def test_an_interpreter_that_is_up_only_after_the_shutdown_notice_runs_nothing(
    deployment: Deployment,
) -> None:
    deployment.interpreter.core.is_up = False
    process = deployment.start()
    peer = deployment.client()
    peer.send(peer.call(1) + HEALTH)
    assert peer.read(999)[1] == b"DOWN"
    wait_until(lambda: deployment.interpreter.link is not None)
    process.send_signal(signal.SIGTERM)
    assert peer.read(1)[1] == b"BUSY" and peer.read(0)[1] == b"BYE"
    deployment.interpreter.core.is_up = True
    assert deployment.interpreter.link is not None
    deployment.interpreter.link.sendall(b"BANNER steady 5000\r\n")
    assert peer.ask(999, HEALTH)[1] == b"DOWN"  # whether or not the greeting was in time
    peer.send(peer.call(2))
    assert peer.read(2)[1] == b"BUSY"
    peer.sock.close()
    wait_for_exit(process)
    assert not deployment.interpreter.core.applied


# -- the end of the shutdown


@pytest.mark.parametrize(
    ("slack", "tick", "stop_ms", "halt"),
    [
        (0.08, 0.002, 400, "drop"),
        (0.0, 0.0, 300, "drop"),
        (0.0, 0.0, 300, "off"),
        (0.01, 0.0, 150, "off"),
        (0.08, 0.002, 50, "drop"),
        (0.0, 0.0, 1, "off"),
        (5.0, 0.0, 90, "drop"),
    ],
)
def test_every_open_request_is_answered_before_the_end(
    tmp_path: Path, slack: float, tick: float, stop_ms: int, halt: str
) -> None:
    settings = json.loads(json.dumps(SETTINGS))
    settings["safety"] |= {"answer-slack-s": slack, "drain-grace-s": 0.05}
    settings["extra"]["halt"] = halt
    settings["tick-s"] = tick
    deployment = Deployment(tmp_path, stop_ms=stop_ms, settings=settings)
    process = deployment.start()
    try:
        peer, other = deployment.ready(), deployment.client()
        deployment.interpreter.at_once = False
        peer.send(peer.call(1) + peer.call(2, b"record", b"ab"))
        wait_until(lambda: len(deployment.interpreter.core.running) == 2)
        with suspended(process):
            other.send(other.call(1, b"record", b"ab") + other.call(2))
            process.send_signal(signal.SIGTERM)
        assert {peer.read(1)[1], peer.read(2)[1], other.read(1)[1]} == {b"FAILED"}
        assert only_answer(other, 2) in (b"FAILED", b"BUSY")
        peer.sock.close()
        wait_for_exit(process)
    finally:
        deployment.end()


@pytest.mark.parametrize("run_ends", [True, False])
def test_a_request_read_after_the_last_answers_is_rejected(deployment: Deployment, run_ends: bool) -> None:
    """A run finishes or a request arrives between the last answers and the exit: no second answer, no run.

    While the run continues, another request with its name fails. A rejection would mean that it never ran.
    """
    deployment.config["settings"]["safety"]["answer-slack-s"] = 0.0
    deployment.config["settings"]["tick-s"] = 0.0
    deployment.config["settings"]["extra"]["halt"] = "off"
    process = start_with_script(
        deployment,
        """
answer_all = Application._answer_all
def suspended(self):
    self._scheduler.after(0.0, lambda: send_signals(signal.SIGSTOP))
    answer_all(self)
    self._stop_at = self._scheduler.clock.now + 60.0  # the exit waits for the end of the connections
    self._end = lambda: None if self._request_listener.connections else Application._end(self)
Application._answer_all = suspended
""",
    )
    peer, other = deployment.ready(), deployment.client()
    deployment.interpreter.at_once = False
    name = b"%016x" % 77
    peer.send(call(1, name, b"lookup", time.time(), b"body"))
    wait_until(lambda: deployment.interpreter.core.running)
    process.send_signal(signal.SIGTERM)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    if run_ends:
        deployment.interpreter.end(name)
    else:
        other.send(call(3, name, b"lookup", time.time(), b"body"))
    # By its timestamp it was sent within the grace, so on that account it could run.
    peer.send(call(2, b"%016x" % 2, b"lookup", time.time() - 1.0, b"body2"))
    process.send_signal(signal.SIGCONT)
    assert peer.read(1)[1] == b"FAILED" and peer.read(2)[1] == b"BUSY"
    if not run_ends:
        assert other.read(3)[1] == b"FAILED"
        deployment.interpreter.end(name)
    other.sock.close()
    peer.sock.close()
    wait_for_exit(process)
    assert len(deployment.interpreter.core.applied) == 1


def test_a_request_that_waits_for_stored_results_is_answered_before_the_end(deployment: Deployment) -> None:
    """It may repeat a request that ran before the start, so it fails and is not rejected."""
    process = start_with_script(
        deployment, "from sablewheel.serving import hooks; hooks.NullResultStore.ready = False"
    )
    peer = deployment.ready()
    peer.send(peer.call(1, b"record", b"ab"))
    assert peer.ask(999, HEALTH)[1] == b"UP"
    process.send_signal(signal.SIGTERM)
    assert only_answer(peer, 1) == b"FAILED"
    peer.sock.close()
    wait_for_exit(process)
    assert not deployment.interpreter.core.applied


def test_requests_that_arrive_during_a_pause_beyond_the_stop_are_answered(deployment: Deployment) -> None:
    """The server is suspended past its stop, with a run, an unread request and a connection in the queue."""
    deployment.config["stop_ms"] = 100
    process = start_with_script(
        deployment,
        """
on_shutdown_notice = Application._on_shutdown_notice
def paused(self):
    on_shutdown_notice(self)
    self._scheduler.after(0.0, lambda: send_signals(signal.SIGSTOP))
Application._on_shutdown_notice = paused
""",
    )
    peer, other = deployment.ready(), deployment.client()
    deployment.interpreter.at_once = False
    peer.send(peer.call(1))
    wait_until(lambda: deployment.interpreter.core.running)
    process.send_signal(signal.SIGTERM)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    time.sleep(0.12)
    other.send(other.call(2))
    late = deployment.client()
    late.send(late.call(3))
    process.send_signal(signal.SIGCONT)
    assert peer.read(1)[1] == b"FAILED"
    assert {other.read(2)[1], late.read(3)[1]} <= {b"FAILED", b"BUSY"}
    wait_for_exit(process)
    assert len(deployment.interpreter.core.applied) == 1


# -- signals


@pytest.mark.parametrize(
    ("up", "numbers"),
    [
        (True, ("SIGTERM", "SIGTERM")),
        (True, ("SIGTERM", "SIGHUP")),
        (True, ("SIGHUP", "SIGTERM")),
        (False, ("SIGTERM", "SIGHUP")),
        (False, ("SIGHUP", "SIGINT", "SIGTERM", "SIGUSR1")),
    ],
)
def test_signals_read_in_one_round_end_the_server_in_order(
    deployment: Deployment, up: bool, numbers: tuple[str, ...]
) -> None:
    deployment.interpreter.core.is_up = up
    process = deployment.start()
    peer = deployment.ready() if up else deployment.client()
    deployment.interpreter.at_once = False
    peer.send(peer.call(1) + HEALTH)
    assert peer.read(999)[1] == (b"UP" if up else b"DOWN")
    with suspended(process):
        for number in numbers:
            process.send_signal(getattr(signal, number))
    if up:
        wait_until(lambda: deployment.interpreter.core.running)
        deployment.interpreter.end(next(iter(deployment.interpreter.core.running)))
    assert peer.read(1)[1] == (b"OK" if up else b"BUSY")
    peer.sock.close()
    assert ("configuration reloaded" in wait_for_exit(process)) == ("SIGHUP" in numbers)


def test_a_shutdown_notice_while_the_interpreter_moves_to_another_address(deployment: Deployment) -> None:
    """After SIGHUP the new address accepts the link but sends nothing; the notice comes before it answers."""
    process = deployment.start()
    peer = deployment.ready()
    deployment.interpreter.at_once = False
    peer.send(peer.call(1))
    wait_until(lambda: deployment.interpreter.core.running)
    with socket.create_server(("127.0.0.1", 0)) as silent:  # accepts the link and sends nothing
        silent.settimeout(TIMEOUT_S)
        deployment.file.write_text(
            json.dumps(deployment.config | {"vm": f"127.0.0.1:{silent.getsockname()[1]}"})
        )
        with suspended(process):
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
        silent.accept()[0].close()
        assert only_answer(peer, 1) == b"FAILED"
    wait_for_exit(process)


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP", "SIGINT", "SIGUSR1"])
def test_a_signal_during_the_exit_of_the_interpreter_has_no_effect(
    deployment: Deployment, number: str
) -> None:
    """Python restores the default handlers before it unloads modules: a late signal must not be fatal."""
    process = start_with_script(
        deployment,
        f"""
class SignalAtExit:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=signal.{number}):
        kill(pid, number)
start.late = SignalAtExit()
Application.run = lambda self: 0
""",
    )
    process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP"])
def test_a_signal_before_the_handlers_are_installed_stays_pending(
    deployment: Deployment, number: str
) -> None:
    process = start_with_script(
        deployment,
        f"""
prepare = Application.prepare
def prepared(self):
    send_signals(signal.{number})
    prepare(self)
    send_signals(signal.{number})
Application.prepare = prepared
""",
    )
    if number == "SIGHUP":
        deployment.ready().sock.close()
        process.send_signal(signal.SIGTERM)
    text = wait_for_exit(process)
    assert ("configuration reloaded" in text) == (number == "SIGHUP")


def test_sighup_is_handled_although_it_was_ignored_before_the_start(deployment: Deployment) -> None:
    """A shell may ignore it up to `exec`; the server handles it once its handlers are installed."""
    deployment.file.write_text(json.dumps(deployment.config))
    process = subprocess.Popen(
        ["sh", "-c", f"trap '' HUP USR1; kill -HUP $$; exec {sys.executable} -m sablewheel"],
        env={**os.environ, "RELAY_CONFIG": str(deployment.file)},
        stderr=subprocess.PIPE,
        text=True,
    )
    deployment.processes.append(process)
    deployment.ready().sock.close()
    with suspended(process):
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
    assert wait_for_exit(process).count("configuration reloaded") == 1


# -- the listening socket


class InterceptedSocket:
    """A listening socket that runs the test's actions between its calls."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.on_empty, self.on_close = sock, [], []  # type: ignore[var-annotated]
        self.failures: list[int] = []  # errors of the accept calls after the queue was empty, the last first
        self.was_empty = False

    def accept(self) -> tuple[socket.socket, Any]:
        if self.was_empty and self.failures:
            raise OSError(self.failures.pop(), "a failed call")
        try:
            return self.sock.accept()
        except BlockingIOError:
            self.was_empty = True
            if self.on_empty:
                self.on_empty.pop()()
            raise

    def close(self) -> None:
        for action in self.on_close:
            action()
        self.sock.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class ListeningSocketHarness:
    """A real listening socket whose capacity is set by the test."""

    def __init__(self) -> None:
        self.accepted: list[Stream] = []
        self.max_connections = 99
        self.scheduler = Scheduler(Clock())
        address = ("127.0.0.1", 0)
        self.listener = Listener(
            self.scheduler, address, self.has_capacity, self.accepted.append, self.on_full
        )
        self.sock = self.listener._socket = InterceptedSocket(self.listener._socket)  # type: ignore[assignment]
        self.address = self.sock.getsockname()
        self.times_full = 0
        self.clients: list[socket.socket] = []

    def has_capacity(self) -> bool:
        return len(self.accepted) < self.max_connections

    def on_full(self) -> None:
        self.times_full += 1

    def client(self, timeout_s: float = TIMEOUT_S) -> None:
        """Connect and send a request; `clients` has the connection if the kernel accepted it."""
        with contextlib.suppress(OSError):
            self.clients.append(socket.create_connection(self.address, timeout=timeout_s))
            self.clients[-1].sendall(b"ticket")

    def answer(self) -> list[bytes]:
        """Answer every accepted client; return what each client received."""
        for stream in self.accepted:
            stream.write(b"told")
            stream.flush()
        answers = []
        for client in self.clients:
            client.settimeout(TIMEOUT_S)
            try:
                answers.append(client.recv(9))
            except ConnectionResetError:
                answers.append(b"lost")
            client.close()
        return answers


@pytest.fixture
def harness() -> Iterator[ListeningSocketHarness]:
    harness = ListeningSocketHarness()
    yield harness
    for stream in harness.accepted:
        stream.close()
    harness.listener.close()


def test_a_connection_after_the_last_check_of_the_queue_is_accepted(harness: ListeningSocketHarness) -> None:
    harness.client()
    harness.sock.on_empty.append(harness.client)
    assert harness.listener.close_if_queue_empty() and harness.listener.close_if_queue_empty()
    assert harness.answer() == [b"told", b"told"]
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(harness.address, timeout=TIMEOUT_S)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EPROTO, errno.EINTR])
@pytest.mark.parametrize("times", [1, 40])
def test_a_connection_after_the_last_check_is_accepted_although_accept_fails(
    harness: ListeningSocketHarness, number: int, times: int
) -> None:
    """Guards against a failed accept that left the loop: the close then reset the queued request."""
    harness.sock.failures = [number] * times
    harness.sock.on_empty.append(harness.client)
    for _ in range(times + 1):
        if harness.listener.close_if_queue_empty():
            break
    assert harness.listener.close_if_queue_empty()
    assert harness.answer() == [b"told"]


def test_a_connection_during_the_close_is_not_accepted_and_lost(harness: ListeningSocketHarness) -> None:
    harness.sock.on_close.append(lambda: harness.client(0.05))
    assert harness.listener.close_if_queue_empty()
    assert harness.answer() == []


def test_the_socket_closes_without_support_for_filters(
    harness: ListeningSocketHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listening_socket, "SO_ATTACH_FILTER", 99)
    harness.sock.on_empty.append(harness.client)
    assert harness.listener.close_if_queue_empty() and harness.answer() == [b"told"]


def test_a_full_table_keeps_the_socket_open_for_queued_connections(harness: ListeningSocketHarness) -> None:
    harness.max_connections = 1
    for _ in range(3):
        harness.client()
    assert (
        not harness.listener.close_if_queue_empty() and harness.times_full == 1 and len(harness.accepted) == 1
    )
    harness.max_connections = 3
    assert harness.listener.close_if_queue_empty() and harness.answer() == [b"told"] * 3


def test_a_full_table_and_an_empty_queue_do_not_keep_the_socket_open(harness: ListeningSocketHarness) -> None:
    harness.max_connections = 0
    assert harness.listener.close_if_queue_empty() and not harness.times_full


def test_a_drain_with_a_full_table_answers_queued_connections(tmp_path: Path) -> None:
    """The grace ends while connections are queued: they are accepted as other connections close."""
    # room for 4 connections
    deployment = Deployment(tmp_path, stop_ms=1500, limits={"sockets": 16, "memory_mb": 32})
    deployment.config["settings"]["safety"]["drain-grace-s"] = 0.0
    process = deployment.start()
    try:
        peers = [deployment.ready() for _ in range(4)]
        deployment.interpreter.at_once = False
        for peer in peers:
            peer.send(peer.call(1))
        wait_until(lambda: len(deployment.interpreter.core.running) == 4)
        with suspended(process):
            late = deployment.client()
            late.send(late.call(1))
            process.send_signal(signal.SIGTERM)
        assert peers[0].read(0)[1] == b"BYE"
        deployment.interpreter.at_once = True
        for name in list(deployment.interpreter.core.running):
            deployment.interpreter.end(name)
        for peer in peers:
            assert peer.read(1)[1] == b"OK"
            peer.sock.close()
        assert late.read(1)[1] in (b"BUSY", b"OK") and late.read(0)[1] == b"BYE"
        late.sock.close()
        wait_for_exit(process)
    finally:
        deployment.end()


def test_a_start_waits_for_an_address_in_use(deployment: Deployment) -> None:
    """A predecessor that shuts down still listens for a while, which must not end the new server."""
    host, port = deployment.address
    process = start_with_script(
        deployment,
        f"""
import socket
old = socket.create_server(({host!r}, {port}))
def sleep(span):
    old.close()
    time.sleep(span)
start.time = type("Time", (), dict(sleep=sleep, monotonic=time.monotonic))
""",
    )
    try:
        peer = deployment.ready()
    except ConnectionResetError:  # it was in the predecessor's queue when that closed its socket
        peer = deployment.ready()
    assert peer.ask(1, peer.call(1))[1] == b"OK"
    peer.sock.close()
    process.send_signal(signal.SIGTERM)
    wait_for_exit(process)


def test_a_shutdown_notice_while_the_address_is_in_use_ends_the_server(deployment: Deployment) -> None:
    deployment.config["stop_ms"] = 60_000
    host, port = deployment.address
    process = start_with_script(
        deployment,
        f"""
import socket
old = socket.create_server(({host!r}, {port}))
start.time = type("Time", (), dict(sleep=lambda span: send_signals(signal.SIGTERM), monotonic=time.monotonic))
""",
    )
    wait_for_exit(process)


# -- reports


@pytest.mark.parametrize(("interval_s", "reports"), [(60.0, 1), (0.05, 2)])
def test_the_shutdown_notice_is_reported_at_once_and_once_more(
    deployment: Deployment, interval_s: float, reports: int
) -> None:
    """Any report keeps a server listed, so a server that shuts down soon stops reporting."""
    process = start_with_script(
        deployment,
        f"from sablewheel.program import application; application.REPORT_INTERVAL_S = {interval_s}",
    )
    peer = deployment.ready()
    while interval_s < 1.0 and deployment.name_service.recv(64) != b"renew n3 yes":
        pass  # reports from before the server was up
    deployment.interpreter.at_once = False
    peer.send(peer.call(1))
    wait_until(lambda: deployment.interpreter.core.running)
    process.send_signal(signal.SIGTERM)
    assert peer.read(1)[1] == b"FAILED" and peer.read(0)[1] == b"BYE"
    peer.sock.close()
    wait_for_exit(process)
    words = []
    deployment.name_service.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            words.append(deployment.name_service.recv(64))
    before = [b"renew n3 no"] if interval_s > 1.0 else [word for word in words if word == b"renew n3 yes"]
    assert words == before + [b"renew n3 no"] * reports


def test_reports_continue_after_errors_of_the_socket(deployment: Deployment) -> None:
    process = start_with_script(
        deployment,
        """
from sablewheel.program import application
from sablewheel.transport import datagram
application.REPORT_INTERVAL_S = 0.02
class Failing:
    left = 3
    def __init__(self, sock): self.sock = sock
    def sendto(self, *values):
        if Failing.left:
            Failing.left -= 1
            raise OSError(105, "No buffer space available")
        return self.sock.sendto(*values)
init = datagram.DatagramSender.__init__
def failing(self, address):
    init(self, address)
    self._socket = Failing(self._socket)
datagram.DatagramSender.__init__ = failing
""",
    )
    assert deployment.name_service.recv(64).startswith(b"renew n3 ")
    process.send_signal(signal.SIGTERM)
    assert "reports_failed=3" in wait_for_exit(process)


def test_a_name_that_can_not_be_encoded_is_still_reported() -> None:
    assert naming.encode_report("n\ud800", True) == b"renew n? yes"


FAULTY = """
import sys
from sablewheel import __main__ as start
from sablewheel.serving.dispatcher import Dispatcher
from sablewheel.transport.listening_socket import Listener
def fault(*_):
    raise RuntimeError("an error raised by the test")
from sablewheel.program.application import Application
send = Application._send_report
reports = []
def failing_third_report(self):
    reports.append(1)
    if len(reports) == 3:
        fault()
    send(self)
if "report" in sys.argv[1:]:
    Application._send_report = failing_third_report
for kind, method in ((Dispatcher, "shutdown_notice"), (Listener, "close_if_queue_empty")):
    if method in sys.argv[1:]:
        setattr(kind, method, fault)
sys.exit(start.main())
"""


@pytest.mark.parametrize("method", ["shutdown_notice", "close_if_queue_empty"])
def test_after_an_internal_error_a_shutdown_answers_all_requests_and_ends_before_the_stop(
    deployment: Deployment, method: str
) -> None:
    deployment.file.write_text(json.dumps(deployment.config | {"stop_ms": 900}))
    process = subprocess.Popen(
        [sys.executable, "-c", FAULTY, method],
        env={**os.environ, "RELAY_CONFIG": str(deployment.file)},
        stderr=subprocess.PIPE,
        text=True,
    )
    deployment.processes.append(process)
    peer = deployment.ready()
    deployment.interpreter.at_once = False
    peer.send(peer.call(1))
    wait_until(lambda: deployment.interpreter.core.running)
    notified_at = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert peer.read(1)[1] == b"FAILED"
    _, text = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0 and time.monotonic() - notified_at < 1.2
    assert "an error raised by the test" in text


def test_reports_continue_after_an_internal_error_in_one_report(deployment: Deployment) -> None:
    deployment.file.write_text(json.dumps(deployment.config))
    process = subprocess.Popen(
        [sys.executable, "-c", FAULTY, "report"],
        env={**os.environ, "RELAY_CONFIG": str(deployment.file)},
        stderr=subprocess.PIPE,
        text=True,
    )
    deployment.processes.append(process)
    # the third report failed
    assert [deployment.name_service.recv(64).split()[1] for _ in range(5)] == [b"n3"] * 5
    deployment.ready().sock.close()
    process.send_signal(signal.SIGTERM)
    _, text = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0 and "an error raised by the test" in text
