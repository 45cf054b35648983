"""Signals, requests and the end that cross: real processes and sockets, the moment fixed by a hook.

A stopped process (SIGSTOP) reads all that came meanwhile in one round; a child's own script puts the other
event between two given lines. No test waits in the hope that something happens.
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
    """Whatever comes meanwhile is there in the process's next round, all at once."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def ended(process: subprocess.Popen[str]) -> str:
    _, text = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0 and "Traceback" not in text and "by a fault" not in text, text
    return text


def alone(peer: ClientConnection, tag: int) -> bytes:
    """The one final answer to it, and nothing else but a farewell up to the end of the connection."""
    word = peer.read(tag)[1]
    with contextlib.suppress(ConnectionResetError):
        while data := peer.sock.recv(65536):
            peer.frames += peer.parser.feed(data)
    assert not [one for one in peer.frames if one[0] == b"%d" % tag]
    return word


def child(deployment: Deployment, script: str) -> subprocess.Popen[str]:
    """The program with a seam of the test's in it."""
    deployment.file.write_text(json.dumps(deployment.config))
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT + script + "\nsys.exit(start.main())\n"],
        env={**os.environ, "RELAY_CONFIG": str(deployment.file)},
        stderr=subprocess.PIPE,
        text=True,
    )
    deployment.processes.append(process)
    return process


SCRIPT = """
import os, signal, sys, time
from sablewheel import __main__ as start
from sablewheel.program.application import Application
from sablewheel.serving.dispatcher import Dispatcher
def tell(*numbers):
    for number in numbers:
        os.kill(os.getpid(), number)
"""


# -- shutdown before the interpreter is up


def test_all_that_wait_for_the_start_are_rejected_when_it_is_left(deployment: Deployment) -> None:
    """Read and waiting, half read, in the machine's buffer, on a connection that was not taken yet."""
    deployment.interpreter.core.up = False
    process = deployment.start()
    read, half, unread = (deployment.client() for _ in range(3))
    for peer in (read, half, unread):
        assert peer.ask(999, HEALTH)[1] == b"DOWN"
    read.send(read.call(1) + HEALTH)
    whole = half.call(1)
    half.send(HEALTH + whole[:-9])
    read.read(999)
    half.read(999)
    with suspended(process):
        half.send(whole[-9:])
        unread.send(unread.call(1))
        waiting = deployment.client()
        waiting.send(waiting.call(1))
        process.send_signal(signal.SIGTERM)
    for peer in (read, half, unread, waiting):
        assert peer.read(1)[1] == b"BUSY"
        peer.sock.close()
    text = ended(process)
    assert "denied_draining=4" in text and not deployment.interpreter.core.applied


def test_nothing_open_and_the_interpreter_not_up_it_ends_at_once(deployment: Deployment) -> None:
    deployment.config["stop_ms"] = 60_000
    deployment.interpreter.core.up = False
    process = deployment.start()
    peer = deployment.client()
    assert peer.ask(999, HEALTH)[1] == b"DOWN"
    peer.sock.close()
    process.send_signal(signal.SIGTERM)
    ended(process)


@pytest.mark.parametrize("first", ["greeting", "notice"])
def test_the_greeting_and_the_shutdown_notice_in_one_round(deployment: Deployment, first: str) -> None:
    """Whichever is seen first: what waited has its one answer, and the server is not up any more."""
    calls = ["greeted(self, *values)", "application[0]._on_shutdown_notice()"]
    process = child(
        deployment,
        f"""
application, greeted, init = [], Dispatcher.interpreter_ready, Application.__init__
def remembering(self, *values):
    init(self, *values)
    application.append(self)
def both(self, *values):
    {"; ".join(calls if first == "greeting" else calls[::-1])}
notice = Dispatcher.shutdown_notice
def noticed(self, left):
    print("the controller has notice", file=sys.stderr)
    notice(self, left)
Application.__init__, Dispatcher.interpreter_ready, Dispatcher.shutdown_notice = remembering, both, noticed
""",
    )
    deployment.interpreter.core.up = False
    peer = deployment.client()
    peer.send(peer.call(1) + HEALTH)
    assert peer.read(999)[1] == b"DOWN"
    wait_until(lambda: deployment.interpreter.link is not None)
    assert deployment.interpreter.link is not None
    deployment.interpreter.core.up = True
    deployment.interpreter.link.sendall(b"BANNER steady 5000\r\n")
    assert peer.read(1)[1] == (b"OK" if first == "greeting" else b"BUSY")
    health = deployment.client() if first == "greeting" else peer
    assert health.ask(999, HEALTH)[1] == b"DOWN"
    health.sock.close()
    peer.sock.close()
    assert ended(process).count("the controller has notice") == 1
    assert len(deployment.interpreter.core.applied) == (first == "greeting")


def test_an_interpreter_that_comes_up_while_it_is_left_runs_nothing(deployment: Deployment) -> None:
    deployment.interpreter.core.up = False
    process = deployment.start()
    peer = deployment.client()
    peer.send(peer.call(1) + HEALTH)
    assert peer.read(999)[1] == b"DOWN"
    wait_until(lambda: deployment.interpreter.link is not None)
    process.send_signal(signal.SIGTERM)
    assert peer.read(1)[1] == b"BUSY" and peer.read(0)[1] == b"BYE"
    deployment.interpreter.core.up = True
    assert deployment.interpreter.link is not None
    deployment.interpreter.link.sendall(b"BANNER steady 5000\r\n")
    assert peer.ask(999, HEALTH)[1] == b"DOWN"  # in time or not: it never says that it is up
    peer.send(peer.call(2))
    assert peer.read(2)[1] == b"BUSY"
    peer.sock.close()
    ended(process)
    assert not deployment.interpreter.core.applied


# -- the last instant


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
def test_whatever_is_open_has_its_answer_before_the_end(
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
        assert alone(other, 2) in (b"FAILED", b"BUSY")
        peer.sock.close()
        ended(process)
    finally:
        deployment.end()


@pytest.mark.parametrize("ends", [True, False])
def test_what_is_read_after_the_last_answers_is_rejected(deployment: Deployment, ends: bool) -> None:
    """A run ends and a request comes between the last answers and the end: no second answer, and no run.

    While the run goes on, a request of its name fails: a refusal would say that what it names never ran.
    """
    deployment.config["settings"]["safety"]["answer-slack-s"] = 0.0
    deployment.config["settings"]["tick-s"] = 0.0
    deployment.config["settings"]["extra"]["halt"] = "off"
    process = child(
        deployment,
        """
answer_all = Application._answer_all
def slow(self):
    self._scheduler.after(0.0, lambda: tell(signal.SIGSTOP))
    answer_all(self)
    self._stop_at = self._scheduler.clock.now + 60.0  # the end waits for the connections
    self._end = lambda: None if self._request_listener.connections else Application._end(self)
Application._answer_all = slow
""",
    )
    peer, other = deployment.ready(), deployment.client()
    deployment.interpreter.at_once = False
    name = b"%016x" % 77
    peer.send(call(1, name, b"lookup", time.time(), b"body"))
    wait_until(lambda: deployment.interpreter.core.running)
    process.send_signal(signal.SIGTERM)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    if ends:
        deployment.interpreter.end(name)
    else:
        other.send(call(3, name, b"lookup", time.time(), b"body"))
    # It came to the machine within the grace, so that alone would let it run.
    peer.send(call(2, b"%016x" % 2, b"lookup", time.time() - 1.0, b"body2"))
    process.send_signal(signal.SIGCONT)
    assert peer.read(1)[1] == b"FAILED" and peer.read(2)[1] == b"BUSY"
    if not ends:
        assert other.read(3)[1] == b"FAILED"
        deployment.interpreter.end(name)
    other.sock.close()
    peer.sock.close()
    ended(process)
    assert len(deployment.interpreter.core.applied) == 1


def test_who_waits_for_what_is_remembered_is_answered_before_the_end(deployment: Deployment) -> None:
    """It may be a repeat of what ran before the start: so it fails, and it is not rejected."""
    process = child(deployment, "from sablewheel.serving import hooks; hooks.NullResultStore.ready = False")
    peer = deployment.ready()
    peer.send(peer.call(1, b"record", b"ab"))
    assert peer.ask(999, HEALTH)[1] == b"UP"
    process.send_signal(signal.SIGTERM)
    assert alone(peer, 1) == b"FAILED"
    peer.sock.close()
    ended(process)
    assert not deployment.interpreter.core.applied


def test_a_pause_beyond_the_stop_answers_all_that_came_meanwhile(deployment: Deployment) -> None:
    """Stopped past its time to leave: what runs, what was written, and who stood before the door."""
    deployment.config["stop_ms"] = 100
    process = child(
        deployment,
        """
leave = Application._on_shutdown_notice
def paused(self):
    leave(self)
    self._scheduler.after(0.0, lambda: tell(signal.SIGSTOP))
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
    ended(process)
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
def test_signals_of_one_round_end_it_in_order(
    deployment: Deployment, up: bool, numbers: tuple[str, ...]
) -> None:
    deployment.interpreter.core.up = up
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
    assert ("configuration reloaded" in ended(process)) == ("SIGHUP" in numbers)


def test_notified_to_shut_down_within_the_hand_over_to_a_moved_interpreter(deployment: Deployment) -> None:
    """The hang-up moves the interpreter to where nobody answers, and the notice comes before it does."""
    process = deployment.start()
    peer = deployment.ready()
    deployment.interpreter.at_once = False
    peer.send(peer.call(1))
    wait_until(lambda: deployment.interpreter.core.running)
    with socket.create_server(("127.0.0.1", 0)) as mute:  # takes the link, and says nothing
        mute.settimeout(TIMEOUT_S)
        deployment.file.write_text(
            json.dumps(deployment.config | {"vm": f"127.0.0.1:{mute.getsockname()[1]}"})
        )
        with suspended(process):
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
        mute.accept()[0].close()
        assert alone(peer, 1) == b"FAILED"
    ended(process)


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP", "SIGINT", "SIGUSR1"])
def test_a_signal_in_the_midst_of_the_exit_changes_nothing(deployment: Deployment, number: str) -> None:
    """The interpreter gives signals back their default before the modules go: a late one must not kill it."""
    process = child(
        deployment,
        f"""
class Late:
    def __del__(self, tell=os.kill, me=os.getpid(), number=signal.{number}):
        tell(me, number)
start.late = Late()
Application.run = lambda self: 0
""",
    )
    process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP"])
def test_a_signal_between_the_open_socket_and_the_handlers_waits(deployment: Deployment, number: str) -> None:
    process = child(
        deployment,
        f"""
prepare = Application.prepare
def prepared(self):
    tell(signal.{number})
    prepare(self)
    tell(signal.{number})
Application.prepare = prepared
""",
    )
    if number == "SIGHUP":
        deployment.ready().sock.close()
        process.send_signal(signal.SIGTERM)
    text = ended(process)
    assert ("configuration reloaded" in text) == (number == "SIGHUP")


def test_a_sighup_is_taken_where_it_was_ignored_up_to_the_start(deployment: Deployment) -> None:
    """A shell may ignore it on the way to `exec`: nothing is told before the configuration is read."""
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
    assert ended(process).count("configuration reloaded") == 1


# -- the listening socket


class Crossed:
    """A listening socket, and what happens between two of its calls."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.empty, self.closing = sock, [], []  # type: ignore[var-annotated]
        self.failures: list[int] = []  # error numbers of the next calls of accept, once the queue was empty
        self.was_empty = False

    def accept(self) -> tuple[socket.socket, Any]:
        if self.was_empty and self.failures:
            raise OSError(self.failures.pop(), "a failed call")
        try:
            return self.sock.accept()
        except BlockingIOError:
            self.was_empty = True
            if self.empty:
                self.empty.pop()()
            raise

    def close(self) -> None:
        for action in self.closing:
            action()
        self.sock.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class ListeningSocketHarness:
    """A real listening socket whose capacity the test sets."""

    def __init__(self) -> None:
        self.accepted: list[Stream] = []
        self.max_connections = 99
        self.scheduler = Scheduler(Clock())
        here = ("127.0.0.1", 0)
        self.listener = Listener(self.scheduler, here, self.has_capacity, self.accepted.append, self.on_full)
        self.sock = self.listener._socket = Crossed(self.listener._socket)  # type: ignore[assignment]
        self.address = self.sock.getsockname()
        self.times_full = 0
        self.clients: list[socket.socket] = []

    def has_capacity(self) -> bool:
        return len(self.accepted) < self.max_connections

    def on_full(self) -> None:
        self.times_full += 1

    def client(self, most: float = TIMEOUT_S) -> None:
        """Connect and write a request; the client is noted if the kernel accepted it."""
        with contextlib.suppress(OSError):
            self.clients.append(socket.create_connection(self.address, timeout=most))
            self.clients[-1].sendall(b"ticket")

    def answer(self) -> list[bytes]:
        """Answer every client that was accepted; returns what each client received."""
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


def test_who_connects_behind_the_last_check_of_the_queue_is_taken(harness: ListeningSocketHarness) -> None:
    harness.client()
    harness.sock.empty.append(harness.client)
    assert harness.listener.close_if_queue_empty() and harness.listener.close_if_queue_empty()
    assert harness.answer() == [b"told", b"told"]
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(harness.address, timeout=TIMEOUT_S)


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EPROTO, errno.EINTR])
@pytest.mark.parametrize("times", [1, 40])
def test_who_connects_behind_the_last_check_is_taken_though_accept_fails(
    harness: ListeningSocketHarness, number: int, times: int
) -> None:
    """A failed accept there ended the taking, and the close reset the request in the queue."""
    harness.sock.failures = [number] * times
    harness.sock.empty.append(harness.client)
    for _ in range(times + 1):
        if harness.listener.close_if_queue_empty():
            break
    assert harness.listener.close_if_queue_empty()
    assert harness.answer() == [b"told"]


def test_who_connects_as_the_socket_closes_is_not_accepted_and_lost(harness: ListeningSocketHarness) -> None:
    harness.sock.closing.append(lambda: harness.client(0.05))
    assert harness.listener.close_if_queue_empty()
    assert harness.answer() == []


def test_where_there_is_no_filter_the_socket_closes_all_the_same(
    harness: ListeningSocketHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(listening_socket, "SO_ATTACH_FILTER", 99)
    harness.sock.empty.append(harness.client)
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


def test_a_full_table_and_an_empty_queue_is_no_reason_to_stay_open(harness: ListeningSocketHarness) -> None:
    harness.max_connections = 0
    assert harness.listener.close_if_queue_empty() and not harness.times_full


def test_a_drain_with_a_full_table_answers_queued_connections(tmp_path: Path) -> None:
    """The grace ends while routers wait in the machine's line: they are let in as connections go."""
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
        ended(process)
    finally:
        deployment.end()


def test_an_address_that_is_still_held_is_waited_for(deployment: Deployment) -> None:
    """A predecessor that leaves has its door open for a while yet: that must not end the newcomer."""
    host, port = deployment.address
    process = child(
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
    except ConnectionResetError:  # it lay in the predecessor's line as that closed its door
        peer = deployment.ready()
    assert peer.ask(1, peer.call(1))[1] == b"OK"
    peer.sock.close()
    process.send_signal(signal.SIGTERM)
    ended(process)


def test_notified_to_shut_down_while_the_address_is_held_it_leaves(deployment: Deployment) -> None:
    deployment.config["stop_ms"] = 60_000
    host, port = deployment.address
    process = child(
        deployment,
        f"""
import socket
old = socket.create_server(({host!r}, {port}))
start.time = type("Time", (), dict(sleep=lambda span: tell(signal.SIGTERM), monotonic=time.monotonic))
""",
    )
    ended(process)


# -- reports


@pytest.mark.parametrize(("every", "reports"), [(60.0, 1), (0.05, 2)])
def test_the_shutdown_notice_is_reported_at_once_and_once_more(
    deployment: Deployment, every: float, reports: int
) -> None:
    """Reports keep a server on the list, whatever they say: one that leaves is silent soon."""
    process = child(
        deployment, f"from sablewheel.program import application; application.REPORT_INTERVAL_S = {every}"
    )
    peer = deployment.ready()
    while every < 1.0 and deployment.name_service.recv(64) != b"renew n3 yes":
        pass  # of the time before it was up
    deployment.interpreter.at_once = False
    peer.send(peer.call(1))
    wait_until(lambda: deployment.interpreter.core.running)
    process.send_signal(signal.SIGTERM)
    assert peer.read(1)[1] == b"FAILED" and peer.read(0)[1] == b"BYE"
    peer.sock.close()
    ended(process)
    words = []
    deployment.name_service.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            words.append(deployment.name_service.recv(64))
    before = [b"renew n3 no"] if every > 1.0 else [word for word in words if word == b"renew n3 yes"]
    assert words == before + [b"renew n3 no"] * reports


def test_reports_go_on_over_errors_of_the_socket(deployment: Deployment) -> None:
    process = child(
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
    assert "reports_failed=3" in ended(process)


def test_a_name_that_is_no_text_is_reported_all_the_same() -> None:
    assert naming.encode_report("n\ud800", True) == b"renew n? yes"


FAULTY = """
import sys
from sablewheel import __main__ as start
from sablewheel.serving.dispatcher import Dispatcher
from sablewheel.transport.listening_socket import Listener
def fault(*_):
    raise RuntimeError("a fault of ours")
from sablewheel.program.application import Application
send = Application._send_report
reports = []
def once(self):
    reports.append(1)
    if len(reports) == 3:
        fault()
    send(self)
if "report" in sys.argv[1:]:
    Application._send_report = once
for kind, method in ((Dispatcher, "shutdown_notice"), (Listener, "close_if_queue_empty")):
    if method in sys.argv[1:]:
        setattr(kind, method, fault)
sys.exit(start.main())
"""


@pytest.mark.parametrize("method", ["shutdown_notice", "close_if_queue_empty"])
def test_a_fault_on_the_way_out_still_answers_all_and_ends_before_the_stop(
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
    began = time.monotonic()
    process.send_signal(signal.SIGTERM)
    assert peer.read(1)[1] == b"FAILED"
    _, text = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0 and time.monotonic() - began < 1.2
    assert "a fault of ours" in text


def test_a_fault_in_one_report_is_not_the_end_of_the_reports(deployment: Deployment) -> None:
    deployment.file.write_text(json.dumps(deployment.config))
    process = subprocess.Popen(
        [sys.executable, "-c", FAULTY, "report"],
        env={**os.environ, "RELAY_CONFIG": str(deployment.file)},
        stderr=subprocess.PIPE,
        text=True,
    )
    deployment.processes.append(process)
    # the third never went out
    assert [deployment.name_service.recv(64).split()[1] for _ in range(5)] == [b"n3"] * 5
    deployment.ready().sock.close()
    process.send_signal(signal.SIGTERM)
    _, text = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0 and "a fault of ours" in text
