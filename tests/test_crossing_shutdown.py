"""Signals, requests and the end that cross: real processes and sockets, the moment held by a seam.

A stopped process (SIGSTOP) reads all that came meanwhile in one round; a child's own script puts the other
event between two given lines. No test waits in the hope that something happens.
"""

from __future__ import annotations

import contextlib
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
from test_program import PATIENCE, SETTINGS, Peer, Place, wait_until
from world import call, frame

from sablewheel.transport.scheduler import Clock, Scheduler
from sablewheel.transport.stream import Listener, Stream

HEALTH = frame(b"RPC.HEALTH", b"999", b"")


@pytest.fixture
def place(tmp_path: Path) -> Iterator[Place]:
    place = Place(tmp_path, stop_ms=600)
    yield place
    place.end()


@contextlib.contextmanager
def held(process: subprocess.Popen[str]) -> Iterator[None]:
    """Whatever comes meanwhile is there in the process's next round, all at once."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def ended(process: subprocess.Popen[str]) -> str:
    _, text = process.communicate(timeout=PATIENCE)
    assert process.returncode == 0 and "Traceback" not in text and "by a fault" not in text, text
    return text


def alone(peer: Peer, tag: int) -> bytes:
    """The one final answer to it, and nothing else but a farewell up to the end of the connection."""
    word = peer.read(tag)[1]
    with contextlib.suppress(ConnectionResetError):
        while data := peer.sock.recv(65536):
            peer.frames += peer.parser.feed(data)
    assert not [one for one in peer.frames if one[0] == b"%d" % tag]
    return word


def child(place: Place, script: str) -> subprocess.Popen[str]:
    """The program with a seam of the test's in it."""
    place.file.write_text(json.dumps(place.told))
    process = subprocess.Popen(
        [sys.executable, "-c", SCRIPT + script + "\nsys.exit(start.main())\n"],
        env={**os.environ, "RELAY_CONFIG": str(place.file)},
        stderr=subprocess.PIPE,
        text=True,
    )
    place.processes.append(process)
    return process


SCRIPT = """
import os, signal, sys, time
from sablewheel import __main__ as start
from sablewheel.program.application import Application
from sablewheel.routing.dispatch import Dispatch
def tell(*numbers):
    for number in numbers:
        os.kill(os.getpid(), number)
"""


# -- told to leave before the interpreter is up


# -- the last instant


# -- signals


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP", "SIGINT", "SIGUSR1"])
def test_a_signal_in_the_midst_of_the_exit_changes_nothing(place: Place, number: str) -> None:
    """The interpreter gives signals back their default before the modules go: a late one must not kill it."""
    process = child(
        place,
        f"""
class Late:
    def __del__(self, tell=os.kill, me=os.getpid(), number=signal.{number}):
        tell(me, number)
start.late = Late()
Application.run = lambda self: 0
""",
    )
    process.communicate(timeout=PATIENCE)
    assert process.returncode == 0


@pytest.mark.parametrize("number", ["SIGTERM", "SIGHUP"])
def test_a_signal_between_the_open_door_and_the_handlers_waits(place: Place, number: str) -> None:
    process = child(
        place,
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
        place.ready().sock.close()
        process.send_signal(signal.SIGTERM)
    text = ended(process)
    assert ("configuration read anew" in text) == (number == "SIGHUP")


def test_a_hang_up_is_taken_where_it_was_ignored_up_to_the_start(place: Place) -> None:
    """A shell may ignore it on the way to `exec`: nothing is told before the configuration is read."""
    place.file.write_text(json.dumps(place.told))
    process = subprocess.Popen(
        ["sh", "-c", f"trap '' HUP USR1; kill -HUP $$; exec {sys.executable} -m sablewheel"],
        env={**os.environ, "RELAY_CONFIG": str(place.file)},
        stderr=subprocess.PIPE,
        text=True,
    )
    place.processes.append(process)
    place.ready().sock.close()
    with held(process):
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
    assert ended(process).count("configuration read anew") == 1


# -- the door


class Crossed:
    """A listening socket, and what happens between two of its calls."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.empty, self.closing = sock, [], []  # type: ignore[var-annotated]

    def accept(self) -> tuple[socket.socket, Any]:
        try:
            return self.sock.accept()
        except BlockingIOError:
            if self.empty:
                self.empty.pop()()
            raise

    def close(self) -> None:
        for action in self.closing:
            action()
        self.sock.close()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.sock, name)


class Door:
    """A real listener with a room of our own."""

    def __init__(self) -> None:
        self.taken: list[Stream] = []
        self.most = 99
        self.scheduler = Scheduler(Clock())
        here = ("127.0.0.1", 0)
        self.listener = Listener(self.scheduler, here, self.room, self.taken.append, self.crowd)
        self.sock = self.listener._socket = Crossed(self.listener._socket)  # type: ignore[assignment]
        self.address = self.sock.getsockname()
        self.crowds = 0
        self.made: list[socket.socket] = []

    def room(self) -> bool:
        return len(self.taken) < self.most

    def crowd(self) -> None:
        self.crowds += 1

    def client(self, most: float = PATIENCE) -> None:
        """One that connects and writes its ticket; it is kept if the machine accepted it."""
        with contextlib.suppress(OSError):
            self.made.append(socket.create_connection(self.address, timeout=most))
            self.made[-1].sendall(b"ticket")

    def answer(self) -> list[bytes]:
        """Every client that was accepted gets an answer; what each was told."""
        for stream in self.taken:
            stream.write(b"told")
            stream.flush()
        told = []
        for one in self.made:
            one.settimeout(PATIENCE)
            try:
                told.append(one.recv(9))
            except ConnectionResetError:
                told.append(b"lost")
            one.close()
        return told


@pytest.fixture
def door() -> Iterator[Door]:
    door = Door()
    yield door
    for stream in door.taken:
        stream.close()
    door.listener.close()


def test_who_connects_behind_the_last_look_at_the_line_is_taken(door: Door) -> None:
    door.client()
    door.sock.empty.append(door.client)
    assert door.listener.shut() and door.listener.shut()
    assert door.answer() == [b"told", b"told"]
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(door.address, timeout=PATIENCE)


def test_who_connects_as_the_door_closes_is_not_accepted_and_lost(door: Door) -> None:
    door.sock.closing.append(lambda: door.client(0.05))
    assert door.listener.shut()
    assert door.answer() == []


def test_where_there_is_no_filter_the_door_closes_all_the_same(door: Door) -> None:
    door.listener.ATTACH_FILTER = 99
    door.sock.empty.append(door.client)
    assert door.listener.shut() and door.answer() == [b"told"]


def test_a_full_table_keeps_the_door_open_for_those_before_it(door: Door) -> None:
    door.most = 1
    for _ in range(3):
        door.client()
    assert not door.listener.shut() and door.crowds == 1 and len(door.taken) == 1
    door.most = 3
    assert door.listener.shut() and door.answer() == [b"told"] * 3


def test_a_full_table_and_nobody_before_it_is_no_reason_to_stay_open(door: Door) -> None:
    door.most = 0
    assert door.listener.shut() and not door.crowds


def test_a_drain_with_a_full_table_answers_those_in_the_line(tmp_path: Path) -> None:
    """The grace ends while routers wait in the machine's line: they are let in as connections go."""
    place = Place(tmp_path, stop_ms=1500, limits={"sockets": 16, "memory_mb": 32})  # room for 4 connections
    place.told["settings"]["safety"]["drain-grace-s"] = 0.0
    process = place.start()
    try:
        peers = [place.ready() for _ in range(4)]
        place.engine.at_once = False
        for peer in peers:
            peer.send(peer.call(1))
        wait_until(lambda: len(place.engine.core.running) == 4)
        with held(process):
            late = place.router()
            late.send(late.call(1))
            process.send_signal(signal.SIGTERM)
        assert peers[0].read(0)[1] == b"BYE"
        place.engine.at_once = True
        for name in list(place.engine.core.running):
            place.engine.end(name)
        for peer in peers:
            assert peer.read(1)[1] == b"OK"
            peer.sock.close()
        assert late.read(1)[1] in (b"BUSY", b"OK") and late.read(0)[1] == b"BYE"
        late.sock.close()
        ended(process)
    finally:
        place.end()


def test_an_address_that_is_still_held_is_waited_for(place: Place) -> None:
    """A predecessor that leaves has its door open for a while yet: that must not end the newcomer."""
    host, port = place.address
    process = child(
        place,
        f"""
import socket
old = socket.create_server(({host!r}, {port}))
def sleep(span):
    old.close()
    time.sleep(span)
start.time = type("Time", (), dict(sleep=sleep, monotonic=time.monotonic))
""",
    )
    peer = place.ready()
    assert peer.ask(1, peer.call(1))[1] == b"OK"
    peer.sock.close()
    process.send_signal(signal.SIGTERM)
    ended(process)


def test_told_to_leave_while_the_address_is_held_it_leaves(place: Place) -> None:
    place.told["stop_ms"] = 60_000
    host, port = place.address
    process = child(
        place,
        f"""
import socket
old = socket.create_server(({host!r}, {port}))
start.time = type("Time", (), dict(sleep=lambda span: tell(signal.SIGTERM), monotonic=time.monotonic))
""",
    )
    ended(process)


# -- reports


class Failing:
    left = 3
    def __init__(self, sock): self.sock = sock
    def sendto(self, *values):
        if Failing.left:
            Failing.left -= 1
            raise OSError(105, "No buffer space available")
        return self.sock.sendto(*values)
init = datagram.Post.__init__
def failing(self, address):
    init(self, address)
    self._socket = Failing(self._socket)
datagram.Post.__init__ = failing
""",
    )
    assert place.names.recv(64).startswith(b"renew n3 ")
    process.send_signal(signal.SIGTERM)
    assert "reports_failed=3" in ended(process)
