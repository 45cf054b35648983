"""Runs the program as a process on loopback with a fake interpreter; every wait is bounded."""

from __future__ import annotations

import contextlib
import json
import logging
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, cast

import pytest
from simulated_server import SimulatedInterpreter, call, frame

from sablewheel.program import configuration, logs
from sablewheel.protocol.resp import Parser

TIMEOUT_S = 20.0
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "lookup", "on-time-s": 3.0, "deadline-s": 9.0, "repeat": "safe"},
        {"name": "record", "on-time-s": 3.0, "deadline-s": 9.0, "repeat": "keyed", "window-s": 20.0},
    ],
    "orgs": [{"name": "acme", "quota-rps": 50.0, "fraction": 1.0}],
    "extra": {
        "cores": 6,
        "memory-kb": 20000.0,
        "run-factor": 4.0,
        "halt": "drop",
        "tells-gone": True,
        "say": "tokens",
        "said-for-s": 1.0,
        "idle-s": 30.0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "callers": 2,
    },
    "safety": {"fall-multiple": 6.0, "answer-slack-s": 0.08, "drain-grace-s": 0.4},
    "tick-s": 0.002,
}


class FakeInterpreter:
    """A simulated interpreter behind a socket: ends each run at once, or when the test calls `end`.

    Its own thread and that of the test both use it. Each of them numbers and sends a notice under the
    interpreter's lock, because a server drops a notice whose number is below one that it has read.
    """

    def __init__(self, core: SimulatedInterpreter | None = None) -> None:
        self.core, self.at_once = core or SimulatedInterpreter(), True
        self.listening_socket = socket.create_server(("127.0.0.1", 0))
        self.listening_socket.settimeout(TIMEOUT_S)
        self.link: socket.socket | None = None
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                self.link = self.listening_socket.accept()[0]
                self.core.bytes = b""
                while data := self.link.recv(65536):
                    self._handle_data(self.link, data)
            except OSError:
                if self.listening_socket.fileno() < 0:
                    return

    def _handle_data(self, link: socket.socket, data: bytes) -> None:
        with self.core.lock:
            link.sendall(self.core.feed(data))
            while self.at_once and self.core.running:
                self.end(next(iter(self.core.running)))

    def greet(self) -> None:
        """Be up from now on, and send the greeting on the link that waits for it."""
        assert self.link is not None
        with self.core.lock:
            self.core.is_up = True
            self.link.sendall(self.core.feed(b"CONNECT 0\r\n"))

    def end(self, name: bytes) -> None:
        with self.core.lock:
            notice = self.core.end(name)
            if self.link is not None:
                self.link.sendall(notice)

    def cut(self) -> None:
        if self.link is not None:
            with contextlib.suppress(OSError):  # the link may be closed already
                self.link.shutdown(socket.SHUT_RDWR)


def reserved_address() -> socket.socket:
    """Return a socket that reserves its address, where a server of the test can still listen."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


class Deployment:
    """One server process with its configuration, a fake interpreter and the name service's socket."""

    def __init__(self, folder: Path, **changes: Any) -> None:
        self.interpreter = FakeInterpreter()
        self.name_service = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.name_service.bind(("127.0.0.1", 0))
        self.name_service.settimeout(TIMEOUT_S)
        self._reserved = reserved_address()
        self.address = self._reserved.getsockname()
        self.file = folder / "configuration.json"
        self.config: dict[str, Any] = {
            "name": "n3",
            "listen": f"127.0.0.1:{self.address[1]}",
            "vm": f"127.0.0.1:{self.interpreter.listening_socket.getsockname()[1]}",
            "naming": f"127.0.0.1:{self.name_service.getsockname()[1]}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": 1500,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": json.loads(json.dumps(SETTINGS)),
            **changes,
        }
        self.processes: list[subprocess.Popen[str]] = []

    def start(self) -> subprocess.Popen[str]:
        self.file.write_text(json.dumps(self.config))
        process = subprocess.Popen(
            [sys.executable, "-m", "sablewheel"],
            env={**os.environ, "RELAY_CONFIG": str(self.file)},
            stderr=subprocess.PIPE,
            text=True,
        )
        self.processes.append(process)
        return process

    def client(self) -> ClientConnection:
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            try:
                return ClientConnection(socket.create_connection(self.address, timeout=TIMEOUT_S))
            except OSError:
                assert time.monotonic() < deadline, "the server does not listen"
                time.sleep(0.01)

    def ready(self) -> ClientConnection:
        """Connect and wait until the server reports that it is up."""
        peer = self.client()
        deadline = time.monotonic() + TIMEOUT_S
        tag = 1_000_000
        while peer.ask(tag, frame(b"RPC.HEALTH", b"%d" % tag, b""))[1] != b"UP":
            assert time.monotonic() < deadline, "the server is not up in time"
            tag += 1
            time.sleep(0.01)
        return peer

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.communicate()
        self.interpreter.listening_socket.close()
        self.interpreter.cut()
        self.name_service.close()
        self._reserved.close()


def wait_until(condition: Callable[[], object]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.005)


class ClientConnection:
    """A client's connection to the server."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.parser = sock, Parser()
        self.frames: list[list[bytes]] = []

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def call(self, tag: int, request_class: bytes = b"lookup", idempotency_key: bytes = b"") -> bytes:
        name = b"%08x%08x" % (id(self) % 2**32, tag)
        return call(
            tag, name, request_class, time.time(), idempotency_key or b"body%d" % tag, idempotency_key
        )

    def read(self, tag: int) -> list[bytes]:
        while True:
            for words in self.frames:
                if words[0] == b"%d" % tag:
                    self.frames.remove(words)
                    return words
            data = self.sock.recv(65536)
            assert data, f"the connection ended without an answer to {tag}"
            self.frames += self.parser.feed(data)

    def ask(self, tag: int, data: bytes) -> list[bytes]:
        self.send(data)
        return self.read(tag)

    def ended(self) -> bool:
        with contextlib.suppress(ConnectionResetError):
            while self.sock.recv(65536):
                pass
        return True


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    yield deployment
    deployment.end()


def shut_down(process: subprocess.Popen[str], number: int = signal.SIGTERM) -> str:
    process.send_signal(number)
    _, text = process.communicate(timeout=TIMEOUT_S)
    assert process.returncode == 0 and "Traceback" not in text and "by a fault" not in text
    return text


def test_serves_reports_counts_and_shuts_down_in_order(deployment: Deployment) -> None:
    process = deployment.start()
    peer = deployment.ready()
    reports = {deployment.name_service.recv(64) for _ in range(4)}
    assert b"renew n3 yes" in reports <= {b"renew n3 yes", b"renew n3 no"}
    done = peer.ask(1, peer.call(1))
    assert done[1] == b"OK" and done[2].startswith(b"pressure=") and done[3] == b"made of body1"
    first, second = peer.ask(2, peer.call(2, b"record", b"aa")), peer.ask(3, peer.call(3, b"record", b"aa"))
    assert first[3] == second[3] == b"made of aa" and len(deployment.interpreter.core.applied) == 2
    process.send_signal(signal.SIGUSR1)
    deployment.interpreter.at_once = False
    peer.send(peer.call(4))
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGTERM)
    assert peer.read(4)[1] == b"FAILED" and peer.read(0)[1] == b"BYE"
    peer.sock.close()
    text = shut_down(process, signal.SIGUSR1)
    assert "occasion=asked" in text and "occasion=exit" in text and "tickets_completed=3" in text


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_shutdown_notice_before_the_interpreter_is_up_ends_the_server_at_once(
    deployment: Deployment, number: int
) -> None:
    deployment.interpreter.core.is_up = False
    process = deployment.start()
    assert deployment.client().ask(1, frame(b"RPC.HEALTH", b"1", b""))[1] == b"DOWN"
    shut_down(process, number)


SIGNALS_DURING_START = """
import os, signal, sys
from sablewheel import __main__ as start
from sablewheel.program import configuration
read = configuration.placement_settings
def send_signals():
    os.kill(os.getpid(), signal.SIGUSR1)
    os.kill(os.getpid(), signal.SIGTERM)
    return read()
configuration.placement_settings = send_signals
sys.exit(start.main())
"""


def test_signals_during_the_start_stay_pending_until_they_can_be_handled(deployment: Deployment) -> None:
    deployment.file.write_text(json.dumps(deployment.config))
    environment = {**os.environ, "RELAY_CONFIG": str(deployment.file)}
    done = subprocess.run(
        [sys.executable, "-c", SIGNALS_DURING_START],
        env=environment,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 0 and "occasion=asked" in done.stderr and "occasion=exit" in done.stderr


class StallingLink:
    """A link on which the first send blocks for 0.1 s."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.send_started = threading.Event()

    def sendall(self, data: bytes) -> None:
        if not self.send_started.is_set():
            self.send_started.set()
            time.sleep(0.1)
        self.sent.append(data)


def test_a_fake_interpreter_that_two_threads_use_sends_its_notices_in_order() -> None:
    """Guards against notices out of order: the server dropped a late one, and a lookup failed in CI."""
    interpreter, link = FakeInterpreter(), StallingLink()
    interpreter.link = cast(socket.socket, link)
    interpreter.core.running = {b"first": (b"lookup", b""), b"second": (b"lookup", b"")}
    other = threading.Thread(target=interpreter.end, args=(b"first",))
    other.start()
    assert link.send_started.wait(TIMEOUT_S)
    interpreter.end(b"second")
    other.join(TIMEOUT_S)
    interpreter.listening_socket.close()
    assert link.sent == interpreter.core.notices


def test_a_killed_server_serves_after_a_restart_at_the_same_address(deployment: Deployment) -> None:
    for _ in range(2):
        process = deployment.start()
        peer = deployment.ready()
        assert peer.ask(1, peer.call(1))[1] == b"OK"
        process.kill()
        process.wait(TIMEOUT_S)


def test_a_broken_link_is_reconnected_and_the_end_of_a_run_is_not_lost(deployment: Deployment) -> None:
    deployment.start()
    peer = deployment.ready()
    deployment.interpreter.at_once = False
    peer.send(peer.call(1))
    wait_until(lambda: deployment.interpreter.core.running)
    deployment.interpreter.cut()
    deployment.interpreter.core.end(next(iter(deployment.interpreter.core.running)))
    assert peer.read(1)[1] == b"OK"


def test_new_addresses_are_applied_under_load_without_loss(deployment: Deployment) -> None:
    process = deployment.start()
    peer, old = deployment.ready(), deployment.interpreter
    old.at_once = False
    peer.send(peer.call(1))
    new = FakeInterpreter(old.core)  # the same interpreter behind another address
    new_name_service = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    new_name_service.bind(("127.0.0.1", 0))
    new_name_service.settimeout(TIMEOUT_S)

    def write_configuration(**changes: Any) -> None:
        deployment.file.write_text(json.dumps(deployment.config | changes))
        process.send_signal(signal.SIGHUP)
        peer.ask(tag := next(tags), frame(b"RPC.HEALTH", b"%d" % tag, b""))

    tags = iter(range(500, 600))
    write_configuration(vm="nowhere")
    write_configuration(vm=f"127.0.0.1:{new_name_service.getsockname()[1]}")  # nobody listens there
    old.at_once = True
    assert peer.ask(2, peer.call(2))[1] == peer.read(1)[1] == b"OK"
    old.at_once = new.at_once = False
    peer.send(peer.call(3, b"record", b"ab"))
    wait_until(lambda: old.core.running)
    addresses = {
        "vm": f"127.0.0.1:{new.listening_socket.getsockname()[1]}",
        "naming": f"127.0.0.1:{new_name_service.getsockname()[1]}",
    }
    write_configuration(**addresses, stop_ms=1501)
    write_configuration(**addresses, stop_ms=1501)
    assert new_name_service.recv(64) == b"renew n3 yes"
    wait_until(lambda: new.link is not None)
    old.listening_socket.close()
    old.cut()
    new.end(next(iter(new.core.running)))
    assert peer.read(3)[1] == b"OK"
    new.at_once = True
    assert peer.ask(4, peer.call(4))[1] == b"OK"
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)
    assert peer.read(0)[1] == b"BYE"
    peer.sock.close()
    text = shut_down(process)
    new.listening_socket.close()
    new_name_service.close()
    assert "runs_sent_again" not in text and 'reason="vm: ' in text and "need_restart=stop_ms" in text


def test_an_unreadable_configuration_is_read_again_until_it_can_be_read(deployment: Deployment) -> None:
    """The file may have the only address at which the interpreter still accepts links."""
    process = deployment.start()
    peer, new = deployment.ready(), FakeInterpreter(deployment.interpreter.core)
    deployment.file.unlink()
    process.send_signal(signal.SIGHUP)
    peer.ask(500, frame(b"RPC.HEALTH", b"500", b""))
    time.sleep(0.1)
    deployment.file.write_text(
        json.dumps(deployment.config | {"vm": f"127.0.0.1:{new.listening_socket.getsockname()[1]}"})
    )
    wait_until(lambda: new.link is not None)
    assert peer.ask(1, peer.call(1))[1] == b"OK"
    text = shut_down(process)
    new.listening_socket.close()
    assert "configuration not read" in text and "configurations_taken=1" in text


def bad_clients(open_name: bytes) -> dict[str, bytes]:
    """Return invalid input from clients, by kind."""

    def request(
        tag: int = 7, name: bytes = b"", request_class: bytes = b"lookup", idempotency_key: bytes = b""
    ) -> bytes:
        return call(
            tag, name or b"bad0%012x" % tag, request_class, time.time(), b"another body", idempotency_key
        )

    many = b"".join(request(tag) for tag in range(1, 301))
    return {
        "binary data": bytes(range(256)),
        "a truncated request": request()[:-9],
        "a length too short": request().replace(b"$6", b"$5"),
        "a negative length": request().replace(b"$6", b"$-6"),
        "a body of 60 MB": request().replace(b"$12", b"$60000000") + b"x" * 300_000,
        "unknown request class": request(request_class=b"novel"),
        "unknown tenant": request().replace(b"acme", b"ecma"),
        "a value that is no number": request().replace(b"room=10.0", b"room=nan0"),
        "a value out of range": request().replace(b"room=10.0", b"room=1e99"),
        "a time in the future": request().replace(b"since=17", b"since=97"),
        "a body of 2 KiB plus a byte": call(7, b"bad0" + b"0" * 12, b"lookup", time.time(), b"x" * 2049),
        "an unknown command": frame(b"RPC.NOVEL", b"7", b""),
        "no idempotency key": request(request_class=b"record"),
        "no request name": request().replace(b"ref=", b"fer="),
        "the name of an open request": request(name=open_name),
        "an idempotency key with another body": request(request_class=b"record", idempotency_key=b"true"),
        "an unknown name": request(),
        "two requests with the same tag": request() + request(7, b"bad0" + b"f" * 12),
        "hundreds of requests": many,
        "hundreds of cancelled requests": many
        + b"".join(frame(b"RPC.CANCEL", b"%d" % tag) for tag in range(1, 301)),
    }


def test_invalid_input_of_every_kind_is_never_completed(deployment: Deployment) -> None:
    process = deployment.start()
    good = deployment.ready()
    assert good.ask(1, good.call(1, b"record", b"true"))[1] == b"OK"
    deployment.interpreter.at_once = False
    good.send(good.call(2))
    wait_until(lambda: deployment.interpreter.core.running)
    running = next(iter(deployment.interpreter.core.running))
    for tag, (kind, data) in enumerate(bad_clients(running).items(), 10):
        bad = deployment.client()
        with contextlib.suppress(OSError):  # the server may close the connection meanwhile
            bad.send(data)
        answer = b""
        with contextlib.suppress(ConnectionResetError):
            answer = bad.sock.recv(65536)
        assert not answer or b"FAILED" in answer or b"BUSY" in answer, kind
        assert b"\r\nOK\r\n" not in answer, kind
        bad.sock.close()
        assert good.ask(tag, frame(b"RPC.HEALTH", b"%d" % tag, b""))[1] == b"UP", kind
    deployment.interpreter.end(running)
    deployment.interpreter.at_once = True
    assert good.read(2)[1] == b"OK" and good.ask(3, good.call(3))[1] == b"OK"
    repeated = good.ask(4, good.call(4, b"record", b"true"))
    assert repeated[1] == b"OK" and repeated[3] == b"made of true"
    good.sock.close()
    assert "Traceback" not in shut_down(process)


def test_the_server_keeps_serving_after_noise_from_clients_and_the_interpreter(
    deployment: Deployment,
) -> None:
    process = deployment.start()
    good, rng = deployment.ready(), random.Random(7)
    request = good.call(1)
    for _ in range(60):
        noise = deployment.client()
        start = rng.randrange(len(request))
        with contextlib.suppress(OSError):  # the server may close the connection meanwhile
            noise.send(request[:start] + rng.randbytes(rng.randrange(40)) + request[start:])
            noise.send(rng.randbytes(200))
        noise.sock.close()
    assert deployment.interpreter.link is not None
    for _ in range(3):
        with contextlib.suppress(OSError):
            deployment.interpreter.link.sendall(b"\0 VALUE\r\n")
        time.sleep(0.05)
    assert good.ask(9, good.call(9))[1] == b"OK"
    good.sock.close()
    assert "Traceback" not in shut_down(process)


def test_a_client_that_does_not_read_does_not_delay_others(deployment: Deployment) -> None:
    deployment.start()
    good, not_reading = deployment.ready(), deployment.client()
    not_reading.sock.settimeout(0.2)
    with contextlib.suppress(TimeoutError):
        for tag in range(1, 200_000):
            not_reading.send(frame(b"RPC.HEALTH", b"%d" % tag, b""))
    assert good.ask(1, good.call(1))[1] == b"OK"
    not_reading.sock.settimeout(TIMEOUT_S)
    for number in range(1, tag):  # once it reads, it receives all its answers
        assert not_reading.read(number)[1] == b"UP"


def test_a_half_closed_connection_gets_its_answer_and_is_then_closed(deployment: Deployment) -> None:
    process = deployment.start()
    good, half_closed = deployment.ready(), deployment.client()
    half_closed.send(half_closed.call(1))
    half_closed.sock.shutdown(socket.SHUT_WR)
    assert half_closed.read(1)[1] == b"OK" and half_closed.ended()
    process.send_signal(signal.SIGUSR1)
    assert good.ask(1, good.call(1))[1] == b"OK"
    good.sock.close()
    assert "open_connections=1" in shut_down(process)


@pytest.fixture
def small_deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path, limits={"sockets": 28, "memory_mb": 32})  # room for 16 connections
    yield deployment
    deployment.end()


def test_a_full_table_closes_unused_connections_for_new_ones(small_deployment: Deployment) -> None:
    small_deployment.start()
    peers = [small_deployment.ready() for _ in range(16)]
    small_deployment.interpreter.at_once = False
    peers[0].send(peers[0].call(1))
    last = small_deployment.client()
    last.send(last.call(1))
    wait_until(lambda: len(small_deployment.interpreter.core.running) == 2)
    assert peers[1].ended()  # although the server had read a message on it, and would have kept it otherwise
    for name in list(small_deployment.interpreter.core.running):
        small_deployment.interpreter.end(name)
    assert peers[0].read(1)[1] == last.read(1)[1] == b"OK"


def test_connections_that_send_nothing_are_closed_and_keep_no_client_out(
    small_deployment: Deployment,
) -> None:
    process = small_deployment.start()
    kept = small_deployment.ready()
    silent = [small_deployment.client() for _ in range(60)]
    incomplete = small_deployment.client()
    incomplete.send(incomplete.call(1)[:-9])
    started_at = time.monotonic()
    late = small_deployment.client()
    assert late.ask(1, late.call(1))[1] == kept.ask(1, kept.call(1))[1] == b"OK"
    assert all(peer.ended() for peer in (*silent, incomplete)) and time.monotonic() < started_at + TIMEOUT_S
    kept.send(kept.call(2))
    assert kept.read(2)[1] == b"OK"  # the server keeps a connection on which it has read a request
    kept.send(kept.call(3)[:-9])
    assert kept.ended()
    late.sock.close()
    text = shut_down(process)
    assert "connections_silent=" in text and "connections_crowded_out=" in text


@pytest.mark.parametrize(
    ("key", "changes"),
    [
        ("limits.sockets", {"limits": {"sockets": "many"}}),
        ("limits.memory_mb", {"limits": {"memory_mb": 1}}),
        ("listen", {"listen": "nowhere"}),
        ("vm", {"vm": None}),
        ("naming", {"naming": "localhost:2379"}),
        ("seed", {"seed": "xyz"}),
        ("settings.extra.cores", {"settings": {**SETTINGS, "extra": {"memory-kb": 1}}}),
        ("settings.value-by", {"settings": {**SETTINGS, "value-by": "weight"}}),
        (
            "settings.classes[0].worth",
            {"settings": {**SETTINGS, "classes": [{**SETTINGS["classes"][0], "worth": "much"}]}},
        ),
        (
            "settings.classes[0].repeat",
            {"settings": {**SETTINGS, "classes": [{"name": "a", "repeat": "odd"}]}},
        ),
    ],
)
def test_a_faulty_key_is_named(tmp_path: Path, key: str, changes: dict[str, Any]) -> None:
    deployment = Deployment(tmp_path, **changes)
    process = deployment.start()
    try:
        _, text = process.communicate(timeout=TIMEOUT_S)
    finally:
        deployment.end()
    assert process.returncode == 2 and text.startswith(f"sablewheel: {key}: ") and text.count("\n") == 1


def paths(value: Any, prefix: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    for key, inner in value.items() if isinstance(value, dict) else enumerate(value):
        yield (*prefix, key)
        if isinstance(inner, dict | list):
            yield from paths(inner, (*prefix, key))


ODD_VALUES: list[Any] = [
    None,
    "",
    "x",
    "x:1",
    -1,
    0.5,
    1e400,
    10**30,
    True,
    [],
    [[]],
    [{}],
    ["x"],
    {},
    {"x": []},
]


def test_an_odd_value_of_any_key_is_accepted_or_reported(deployment: Deployment) -> None:
    deployment.config["settings"]["extra"] |= {"class-calls": [False, False], "class-skip-worth": [0.5]}
    for path in list(paths(deployment.config)):
        for odd_value in ODD_VALUES:
            config = json.loads(json.dumps(deployment.config))
            inner = config
            for key in path[:-1]:
                inner = inner[key]
            inner[path[-1]] = odd_value
            deployment.file.write_text(json.dumps(config))
            with contextlib.suppress(configuration.FaultyKeyError):
                configuration.placement_settings({"RELAY_CONFIG": str(deployment.file)})


def test_a_missing_file_invalid_json_and_an_address_in_use_are_reported_in_one_line(
    deployment: Deployment,
) -> None:
    for text, prefix in ((None, "RELAY_CONFIG: "), ("{", "RELAY_CONFIG: ")):
        environment = {"RELAY_CONFIG": str(deployment.file)}
        if text is not None:
            deployment.file.write_text(text)
        with pytest.raises(configuration.FaultyKeyError) as fault:
            configuration.placement_settings(environment)
        assert str(fault.value).startswith(prefix)
    deployment.start()
    deployment.ready()
    second = deployment.start()
    _, text = second.communicate(timeout=TIMEOUT_S)
    assert second.returncode == 1 and text.startswith("sablewheel: listen: ") and text.count("\n") == 1


def test_the_adapter_needs_no_greenlet() -> None:
    program = "import sys, sablewheel.bench_adapter.__main__; sys.exit('greenlet' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", program], timeout=TIMEOUT_S).returncode == 0


def test_the_log_has_key_value_lines_at_a_bounded_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    second, rate_limit, formatter = 5.0, logs.RateLimit(), logs.KeyValueFormatter()
    monkeypatch.setattr(time, "monotonic", lambda: second)
    record = logging.LogRecord(
        "sablewheel.serving.connection", logging.WARNING, "", 0, "invalid message", None, None
    )
    record.pairs = {"tag": 7, "reason": 'a "b"\nc', "empty": ""}
    passed = sum(rate_limit.filter(record) is True for _ in range(logs.MAX_LINES_PER_S + 30))
    assert passed == logs.MAX_LINES_PER_S
    second = 6.0
    assert rate_limit.filter(record)
    expected = (
        'from=serving.connection event="invalid message" tag=7 reason="a \\"b\\"\\nc" empty="" left_out=30'
    )
    assert formatter.format(record).endswith(expected)


def test_new_settings_are_applied_under_load_and_reverted(deployment: Deployment) -> None:
    """Settings change without a restart, and back; each accepted request is answered once."""
    process = deployment.start()
    peer = deployment.ready()
    deployment.interpreter.at_once = False
    tags = iter(range(500, 600))

    def write_configuration(settings: dict[str, Any]) -> None:
        deployment.file.write_text(json.dumps(deployment.config | {"settings": settings}))
        process.send_signal(signal.SIGHUP)
        peer.ask(tag := next(tags), frame(b"RPC.HEALTH", b"%d" % tag, b""))

    changed = json.loads(json.dumps(SETTINGS))
    changed["classes"][0]["repeat"] = "unsafe"
    changed["extra"]["halt"] = "off"
    renamed = json.loads(json.dumps(SETTINGS))
    renamed["classes"][0]["name"] = "consult"
    faulty = json.loads(json.dumps(SETTINGS))
    faulty["classes"][0]["repeat"] = "odd"
    for number, settings in enumerate([changed, renamed, faulty, SETTINGS], start=1):
        peer.send(peer.call(number))
        wait_until(lambda: deployment.interpreter.core.running)
        write_configuration(settings)
        deployment.interpreter.end(next(iter(deployment.interpreter.core.running)))
        assert peer.read(number)[1] == b"OK"
    deployment.interpreter.at_once = True
    assert peer.ask(9, peer.call(9))[1] == b"OK"
    peer.sock.settimeout(0.3)
    with contextlib.suppress(TimeoutError):
        peer.frames += peer.parser.feed(peer.sock.recv(65536))
    answered = {b"%d" % number for number in range(1, 10)}
    assert not [words for words in peer.frames if words[0] in answered]  # a second answer to any of them
    peer.sock.close()
    text = shut_down(process)
    assert text.count("taken=settings.classes,settings.extra.halt") == 2  # the change and its reversal
    assert "need_restart=settings.classes" in text and "settings.classes[0].repeat" in text
    assert "runs_sent_again" not in text


@pytest.mark.parametrize(
    ("gauges", "indexes"),
    [
        ([], (None, None, None)),
        (["cpu_busy", "runnable", "mem_used", "sockets"], (0, 3, 1)),
        (["sockets"], (None, 0, None)),
    ],
)
def test_the_gauges_are_found_by_name_and_runnable_is_absent_by_default(
    tmp_path: Path, gauges: list[str], indexes: tuple[int | None, ...]
) -> None:
    deployment = Deployment(tmp_path)
    config = json.loads(json.dumps(deployment.config))
    config["settings"]["extra"]["gauges"] = gauges
    deployment.file.write_text(json.dumps(config))
    try:
        assert (
            configuration.placement_settings({"RELAY_CONFIG": str(deployment.file)}).gauge_indexes == indexes
        )
    finally:
        deployment.end()
