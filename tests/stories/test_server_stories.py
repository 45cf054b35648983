"""The app server in its operators' words: several real processes on loopback, faults that cross between them.

Moments are events (a report, a link, a farewell), not times; every wait is bounded.
"""

from __future__ import annotations

import contextlib
import json
import select
import signal
import socket
import subprocess
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when
from simulated_server import frame
from test_program import SETTINGS, TIMEOUT_S, ClientConnection, Deployment, FakeInterpreter, wait_until

scenarios("servers.feature")

DEADLINE, STOP = 3.0, 3.0
SLACK = 0.4  # in the settings: a drain's last answers come so long before the stop
LAG = 0.3  # what a busy machine may hold up an answer by, the slack that a late one has by the rules included
SERVES, LEAVES = b"yes", b"no"
HEALTH = 1_000_000  # the tag of a health check


class NameServices:
    """Two name services: what servers report to either, in order."""

    def __init__(self) -> None:
        self.socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for sock in self.socks:
            sock.bind(("127.0.0.1", 0))
        self.addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in self.socks]

    def next_report(self, within: float = TIMEOUT_S) -> tuple[int, str, bytes] | None:
        """To which, from whom and the word; None if nothing comes in that time."""
        ready = select.select(self.socks, [], [], within)[0]
        if not ready:
            return None
        _, name, word = ready[0].recv(64).split()
        return self.socks.index(ready[0]), name.decode(), word

    def pending_reports(self) -> list[tuple[int, str, bytes]]:
        return list(iter(lambda: self.next_report(0.0), None))


class RecordingClient(ClientConnection):
    """A router's connection: knows what it asked, and stamps whatever comes."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment.client().sock)
        self.deployment = deployment
        self.sent_at: dict[int, float] = {}
        self.received: list[tuple[float, int, bytes]] = []
        self.connection_ended = False
        threading.Thread(target=self._stamp, daemon=True).start()

    def _stamp(self) -> None:
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65536):
                now = time.time()
                self.received += [(now, int(words[0]), words[1]) for words in self.parser.feed(data)]
        self.connection_ended = True

    def new_request(self, idempotency_key: bytes = b"") -> bytes:
        """The bytes of a request that counts from now on."""
        tag = len(self.sent_at) + 1
        self.sent_at[tag] = time.time()
        return self.call(tag, b"record" if idempotency_key else b"lookup", idempotency_key)

    def words(self, tag: int) -> list[bytes]:
        return [word for _, number, word in self.received if number == tag]

    @property
    def done(self) -> bool:
        return self.connection_ended or all(self.words(tag) for tag in self.sent_at)

    @property
    def close_announced(self) -> bool:
        return bool(self.words(0))


@dataclass
class Story:
    folder: Path
    name_services: NameServices = field(default_factory=NameServices)
    deployments: list[Deployment] = field(default_factory=list)
    running: list[subprocess.Popen[str]] = field(default_factory=list)
    clients: list[RecordingClient] = field(
        default_factory=list
    )  # kept: a request's name is made of its caller
    interpreters: list[FakeInterpreter] = field(default_factory=list)
    shutdown_asked_at: dict[int, float] = field(
        default_factory=dict
    )  # by place, when it was asked to shut down
    shutdown_time_s: dict[int, float] = field(default_factory=dict)  # and how long it took to leave
    quiet: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)
    restart_time_s: dict[int, float] = field(default_factory=dict)  # by place, how long its restart took

    def fleet(self, size: int, up: bool = True, **changes: Any) -> None:
        settings = json.loads(json.dumps(SETTINGS))
        for request_class in settings["classes"]:
            request_class["deadline-s"] = DEADLINE
        settings["safety"]["answer-slack-s"] = SLACK
        told = {
            "naming": self.name_services.addresses[0],
            "stop_ms": round(1000 * STOP),
            "settings": settings,
        }
        made = []
        for _ in range(size):
            name = f"n{len(self.deployments)}"
            (folder := self.folder / name).mkdir()
            made.append(Deployment(folder, name=name, **told, **changes))
            made[-1].interpreter.core.up = up
            self.deployments.append(made[-1])
        self.running += [deployment.start() for deployment in made]
        for deployment in made if up else []:
            deployment.ready().sock.close()

    def ask(self, deployment: Deployment, *idempotency_keys: bytes) -> RecordingClient:
        """Requests on a connection of their own, an empty idempotency key for a lookup."""
        client = RecordingClient(deployment)
        self.clients.append(client)
        with contextlib.suppress(OSError):  # it may be closed at once where there is no room
            client.send(b"".join(client.new_request(idempotency_key) for idempotency_key in idempotency_keys))
        return client

    def open_runs(self, deployment: Deployment) -> None:
        """A lookup, a record and its repeat, all under way."""
        deployment.interpreter.at_once = False
        self.ask(deployment, b"", b"ab")
        wait_until(lambda: len(deployment.interpreter.core.running) == 2)
        self.ask(deployment, b"ab")

    def signal(self, number: int, which: int) -> None:
        process, since = self.running[number], time.monotonic()
        process.send_signal(which)

        def time_its_end() -> None:
            process.wait()
            self.shutdown_time_s[number] = time.monotonic() - since

        if which == signal.SIGTERM:
            self.shutdown_asked_at[number] = since
            threading.Thread(target=time_its_end, daemon=True).start()

    def leave(self, *numbers: int) -> None:
        """Told to leave, and have all said so; what was said up to then is forgotten."""
        self.name_services.pending_reports()
        for number in numbers:
            self.signal(number, signal.SIGTERM)
        left, until = {f"n{number}" for number in numbers}, time.monotonic() + TIMEOUT_S
        while left:
            told = self.name_services.next_report()
            assert told is not None and time.monotonic() < until, f"never said that they leave: {left}"
            left -= {told[1]} if told[2] == LEAVES else set()

    def reload(self, number: int, move: bool = True) -> None:
        """Another name service, and, if the interpreter moves, the same one behind another address."""
        deployment = self.deployments[number]
        deployment.config["naming"] = self.name_services.addresses[1]
        if move:
            old, deployment.interpreter = deployment.interpreter, FakeInterpreter(deployment.interpreter.core)
            deployment.interpreter.at_once = old.at_once
            self.interpreters.append(old)
            deployment.config["vm"] = f"127.0.0.1:{deployment.interpreter.listening_socket.getsockname()[1]}"
        deployment.file.write_text(json.dumps(deployment.config))
        self.signal(number, signal.SIGHUP)
        if move:
            wait_until(lambda: deployment.interpreter.link is not None)

    def serves(self, deployment: Deployment) -> bool:
        """Whether a request on a connection of its own is completed."""
        deployment.interpreter.at_once = True
        client = self.ask(deployment, b"")
        wait_until(lambda: client.done)
        return client.words(1) == [b"OK"]

    def end(self) -> None:
        self.quiet.set()
        for thread in self.threads:
            thread.join(TIMEOUT_S)
        for deployment in self.deployments:
            deployment.end()
        for interpreter in self.interpreters:
            interpreter.listening_socket.close()
            interpreter.cut()
        for client in self.clients:
            with contextlib.suppress(OSError):
                client.sock.shutdown(socket.SHUT_RDWR)  # its thread is waiting there
            client.sock.close()
        for sock in self.name_services.socks:
            sock.close()


@pytest.fixture
def story(tmp_path: Path) -> Iterator[Story]:
    story = Story(tmp_path)
    yield story
    story.end()


def greet(interpreter: FakeInterpreter) -> None:
    """The interpreter is up now, for the link that waits for it."""
    wait_until(lambda: interpreter.link is not None)
    interpreter.greet()


@given(parsers.re(r"a fleet of (?P<size>\d+) servers(?P<kind>.*)"))
def fleet(story: Story, size: str, kind: str) -> None:
    if kind == ", the first never greeted":
        story.fleet(1, up=False)
    story.fleet(int(size) - len(story.deployments), up=kind != " whose interpreters are not up")
    for deployment in story.deployments:
        if kind == " with runs under way":
            story.open_runs(deployment)
        if kind == " with clients that go on sending":
            # From its restart on each reports to a name service of its own.
            deployment.config["naming"] = f"127.0.0.1:{deployment.name_service.getsockname()[1]}"
            story.threads.append(threading.Thread(target=go_on_asking, args=(story, deployment)))
            story.threads[-1].start()


@then("every request has just one answer, by its deadline")
def one_answer(story: Story) -> None:
    wait_until(lambda: all(client.done for client in story.clients))
    for client in story.clients:
        with contextlib.suppress(OSError):  # it may be closed already
            client.sock.shutdown(socket.SHUT_WR)
    wait_until(lambda: all(client.connection_ended for client in story.clients))
    for client in story.clients:
        for tag, since in client.sent_at.items():
            came = [(at - since, word) for at, number, word in client.received if number == tag]
            told = client.deployment.config["name"], tag, came
            assert len(came) == 1 and came[0][1] in (b"OK", b"BUSY", b"FAILED"), told
            assert came[0][0] <= DEADLINE + LAG, told


@then("all that were asked to shut down did so with code 0 before their stop")
def left_in_order(story: Story, within: float = STOP) -> None:
    assert story.shutdown_asked_at
    for number in story.shutdown_asked_at:
        _, text = story.running[number].communicate(timeout=TIMEOUT_S)
        assert story.running[number].returncode == 0 and "Traceback" not in text and "by a fault" not in text
        wait_until(lambda number=number: number in story.shutdown_time_s)  # type: ignore[misc]
        assert story.shutdown_time_s[number] <= within, story.shutdown_time_s


@then("all leave with code 0 when asked to")
def all_leave(story: Story) -> None:
    """Keyed runs without an end are waited for up to 30 ms before the stop: too near it to time here."""
    for number in range(len(story.deployments)):
        story.signal(number, signal.SIGTERM)
    left_in_order(story, STOP + LAG)


# -- a reload and a drain


@when(parsers.re("there is (?P<crossing>a reload|a drain)(?P<when>.*) on each"))
def crossing(story: Story, crossing: str, when: str) -> None:
    if crossing == "a reload":
        story.leave(0, 1, 2)
    if when == " past the grace of a drain":
        wait_until(lambda: all(client.close_announced for client in story.clients))
    for number, deployment in enumerate(story.deployments):
        deployment.interpreter.core.up = crossing == "a reload"  # else it greets nobody from here on
        story.reload(number)
        first = story.clients[2 * number]
        first.send(first.new_request())
    if crossing == "a drain":
        story.leave(0, 1, 2)
        for deployment in story.deployments:
            greet(deployment.interpreter)


@when(parsers.parse("the {which} runs end"))
def runs_end(story: Story, which: str = "open") -> None:
    """A lookup that never ends is stopped by the drain; a keyed run would be waited for up to the stop."""
    for deployment in story.deployments:
        assert deployment.interpreter.core.running
        deployment.interpreter.at_once = which == "open"
        for name, (request_class, _) in list(deployment.interpreter.core.running.items()):
            if which == "open" or request_class == b"record":
                with contextlib.suppress(KeyError):  # it was ended behind what was just read
                    deployment.interpreter.end(name)


@then(parsers.parse("the lookups that ran are {answered}, the records completed"))
def ran(story: Story, answered: str) -> None:
    firsts, repeats = story.clients[::2], story.clients[1::2]
    assert {one.words(1)[0] for one in firsts} == {{"completed": b"OK", "failed": b"FAILED"}[answered]}
    assert {one.words(2)[0] for one in firsts} == {one.words(1)[0] for one in repeats} == {b"OK"}


@then("none of them reported to any name service that it serves")
def none_serves(story: Story) -> None:
    assert not [
        one for one in story.name_services.pending_reports() if one[2] == SERVES
    ]  # after `leave` had its word


# -- restarts


def go_on_asking(story: Story, deployment: Deployment) -> None:
    """A router: one request at a time, on a connection till it is told farewell or broken off."""
    while not story.quiet.is_set():
        client = story.ask(deployment)
        with contextlib.suppress(OSError):
            while not (story.quiet.is_set() or client.close_announced or client.connection_ended):
                client.send(client.new_request())
                wait_until(lambda: client.done)  # noqa: B023  called before the next
                story.quiet.wait(0.03)
            client.sock.shutdown(socket.SHUT_WR)


def kill_in_its_start(deployment: Deployment, moment: int) -> None:
    link, deployment.interpreter.at_once = deployment.interpreter.link, moment != 4
    starting = deployment.start()
    match moment:  # 0: not even the program is loaded
        case 1:
            deployment.client().sock.close()
        case 2:
            wait_until(lambda: deployment.interpreter.link is not link)
        case 3:
            deployment.name_service.recv(64)
        case 4:
            wait_until(lambda: deployment.interpreter.core.running)
    starting.kill()
    starting.wait(TIMEOUT_S)
    deployment.interpreter.at_once = True


def restart(story: Story, number: int) -> None:
    deployment, old, killed = story.deployments[number], story.running[number], number % 2 == 1
    old.send_signal(signal.SIGTERM)
    if killed:
        old.wait(TIMEOUT_S)
    begun = time.time()
    if killed:
        kill_in_its_start(deployment, number // 2 % 5)
    # the other half finds its door still held by the one that leaves
    story.running[number] = deployment.start()
    assert old.wait(TIMEOUT_S) == 0
    since = time.time()

    def served() -> list[float]:
        mine = [one for one in story.clients if one.deployment is deployment]
        return [
            at for one in mine for at, tag, word in one.received if word == b"OK" and one.sent_at[tag] > since
        ]

    wait_until(served)
    story.restart_time_s[number] = min(served()) - begun


@when("all restart, each second one killed as it starts and started again")
def restart_all(story: Story) -> None:
    restarts = [
        threading.Thread(target=restart, args=(story, number)) for number in range(len(story.deployments))
    ]
    for thread in restarts:
        thread.start()
    for thread in restarts:
        thread.join(2 * TIMEOUT_S)
    story.quiet.set()
    for thread in story.threads:
        thread.join(TIMEOUT_S)


@then(parsers.parse("{some:d} of {all_:d} serve within {span:d} seconds, and all in the end"))
def most_serve(story: Story, some: int, all_: int, span: int) -> None:
    assert len(story.restart_time_s) == len(story.deployments), (
        f"only {sorted(story.restart_time_s)} ever served"
    )
    in_time = sum(took <= span for took in story.restart_time_s.values())
    assert in_time * all_ >= some * len(story.deployments), story.restart_time_s


@then("every request to those that left in order has just one answer, none has two")
def none_missed(story: Story) -> None:
    killed = [one for one in story.clients if story.deployments.index(one.deployment) % 2 == 1]
    assert all(len(one.words(tag)) <= 1 for one in killed for tag in one.sent_at)
    story.clients = [one for one in story.clients if one not in killed]
    one_answer(story)


# -- who says that it serves


@when("requests come and the interpreters greet later")
def greet_late(story: Story) -> None:
    for deployment in story.deployments:
        story.ask(deployment, b"", b"ab")
        assert deployment.client().ask(HEALTH, frame(b"RPC.HEALTH", b"%d" % HEALTH, b""))[1] == b"DOWN"
    said = [story.name_services.next_report() for _ in range(9)] + story.name_services.pending_reports()
    assert {one[1:] for one in said if one} == {(f"n{number}", LEAVES) for number in range(3)}
    for deployment in story.deployments:
        greet(deployment.interpreter)


@when("all links to the interpreters are lost, are not greeted for a while and come back")
def links_lost(story: Story) -> None:
    for number, deployment in enumerate(story.deployments):
        core, old, first = deployment.interpreter.core, deployment.interpreter.link, story.clients[2 * number]
        core.up = False
        deployment.interpreter.cut()
        wait_until(lambda deployment=deployment, old=old: deployment.interpreter.link is not old)  # type: ignore[misc]
        first.send(first.new_request())
        core.end(next(iter(core.running)))  # nobody is told yet
    time.sleep(0.6)  # some reports and questions for gauges long
    for deployment in story.deployments:
        greet(deployment.interpreter)
    runs_end(story)


@when("one is given another name service as a second begins to leave and a third is given it and leaves")
def names_move(story: Story) -> None:
    story.name_services.pending_reports()
    story.signal(1, signal.SIGTERM)
    story.reload(0, move=False)
    story.reload(2, move=False)
    story.signal(2, signal.SIGTERM)
    runs_end(story)


@then("the first reports there within 3 seconds that it serves, and the others nowhere once they left")
def first_says(story: Story) -> None:
    said: list[tuple[int, str, bytes]] = []
    while (1, "n0", SERVES) not in said:
        told = story.name_services.next_report()
        assert told is not None and time.monotonic() - story.shutdown_asked_at[1] <= 3.0, said
        said.append(told)
    for number in (1, 2):
        wait_until(lambda number=number: number in story.shutdown_time_s)  # type: ignore[misc]
    said += story.name_services.pending_reports()
    for there, name in ((0, "n1"), (1, "n2")):
        words = [word for where, who, word in said if (where, who) == (there, name)]
        assert LEAVES in words and SERVES not in words[words.index(LEAVES) :]
    assert not [one for one in said if one[1:] == ("n0", LEAVES) or one[:2] == (1, "n1")]


@then("each that reports that it serves does")
def each_serves(story: Story) -> None:
    """Three times, from reports that come after what happened."""
    story.name_services.pending_reports()
    left = {
        f"n{number}": 3 for number in range(len(story.deployments)) if number not in story.shutdown_asked_at
    }
    until = time.monotonic() + TIMEOUT_S
    while any(left.values()):
        told = story.name_services.next_report()
        assert told is not None and time.monotonic() < until, left
        if told[2] == SERVES:
            assert story.serves(story.deployments[int(told[1][1:])]), told
            left[told[1]] = max(left[told[1]] - 1, 0)


@when("the interpreter of the first is gone and a request was there for its whole deadline")
def interpreter_gone(story: Story) -> None:
    gone = story.deployments[0]
    gone.interpreter.listening_socket.close()
    gone.interpreter.cut()
    client = story.ask(gone, b"")
    wait_until(lambda: client.done)


@then("each that reports from then on that it serves does")
def who_says_serves(story: Story) -> None:
    """Whoever says no, or nothing, is off the list and asked by nobody."""
    story.name_services.pending_reports()
    said: list[tuple[int, str, bytes]] = []
    while said.count((0, "n1", SERVES)) < 4:
        told = story.name_services.next_report()
        assert told is not None and len(said) < 100, said
        said.append(told)
    for deployment in story.deployments:
        if (0, deployment.config["name"], SERVES) in said:
            assert story.serves(deployment), (deployment.config["name"], story.clients[-1].received)


# -- requests in parts


def begun(story: Story, deployment: Deployment, sizes: range) -> list[tuple[RecordingClient, bytes]]:
    """Connections that were taken, so many bytes of a request written on each, and what is to follow."""
    callers = [story.ask(deployment) for _ in sizes]
    for client in callers:
        client.send(frame(b"RPC.HEALTH", b"%d" % HEALTH, b""))
    wait_until(lambda: all(client.words(HEALTH) for client in callers))
    parts = []
    for client, size in zip(callers, sizes, strict=True):
        whole = client.new_request(b"%d" % size if size % 2 else b"")
        client.send(whole[:size])
        parts.append((client, whole[size:]))
    return parts


@when("requests come cut at each byte on both, the one leaving and the other reloading between the parts")
def cut_at_each_byte(story: Story) -> None:
    size = len(ClientConnection(socket.socket()).call(1))
    leaving, staying = (begun(story, deployment, range(1, size)) for deployment in story.deployments)
    story.reload(1)
    for client, rest in staying:
        client.send(rest)
    story.leave(0)
    for client, rest in leaving[::2]:
        client.send(rest)
    wait_until(lambda: all(client.close_announced for client, _ in leaving))
    for client, rest in leaving[1::2]:  # past the grace, after the farewell
        client.send(rest)


@when("requests come byte by byte on both, the one leaving and the other reloading between the parts")
def byte_by_byte(story: Story) -> None:
    parts = [part for deployment in story.deployments for part in begun(story, deployment, range(1, 181, 9))]
    pace = time.monotonic() + 1.2  # a frame that takes 2 s is ended: on a slow machine the rest goes quicker
    for at in range(max(len(rest) for _, rest in parts)):
        if at == 20:
            story.signal(0, signal.SIGTERM)
            story.reload(1)
        for client, rest in parts:
            client.send(rest[at : at + 1])
        time.sleep(0.004 if time.monotonic() < pace else 0.0)
    wait_until(lambda: all(client.done for client in story.clients))
    assert {one.words(1)[0] for one in story.clients if one.deployment is story.deployments[1]} == {b"OK"}


# -- idle clients


@given("servers with 28 and 64 descriptors")
def narrow(story: Story) -> None:
    for sockets in (28, 64):
        story.fleet(1, limits={"sockets": sockets, "memory_mb": 32})


@when("the name service is down and more idle clients than there is capacity for reconnect whenever closed")
def idle_clients(story: Story) -> None:
    story.name_services.socks.pop(0).close()
    # Newcomers stand in line behind them: at 28 descriptors two places are made free each 0.1 s.
    places = [story.deployments[0]] * 40 + [story.deployments[1]] * 80
    idle = [deployment.client().sock for deployment in places]

    def crowd() -> None:
        while not story.quiet.wait(0.01):
            for number, sock in enumerate(idle):
                with contextlib.suppress(ConnectionError):
                    try:
                        if sock.recv(4096, socket.MSG_DONTWAIT):
                            continue
                    except BlockingIOError:
                        continue
                sock.close()
                idle[number] = places[number].client().sock
                if number % 2:
                    with contextlib.suppress(OSError):
                        idle[number].sendall(frame(b"RPC.HEALTH", b"1", b""))
        for sock in idle:
            sock.close()

    story.threads.append(threading.Thread(target=crowd))
    story.threads[-1].start()


@then(parsers.parse("each of {many:d} requests on each server is completed by its deadline"))
def each_completed(story: Story, many: int) -> None:
    for deployment in story.deployments:
        for _ in range(many):
            since, completed = time.time(), False
            while not completed:  # a router asks again where its connection ends without an answer
                client = story.ask(deployment, b"")
                wait_until(lambda: client.done)  # noqa: B023  called before the next
                completed = client.words(1) == [b"OK"]
                assert (completed or not client.words(1)) and time.time() - since <= DEADLINE, client.received
            client.sock.shutdown(socket.SHUT_WR)


@then("once the name service is back, each that reports that it serves does")
def names_back(story: Story) -> None:
    host, port = story.name_services.addresses[0].split(":")
    story.name_services.socks.insert(0, socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    story.name_services.socks[0].bind((host, int(port)))
    each_serves(story)


# -- deadlines


@when("the runs of one never end, one loses its link for good and one moves to an address that never greets")
def interpreters_fail(story: Story) -> None:
    for deployment in story.deployments[1:]:
        story.open_runs(deployment)
    for deployment in story.deployments[2:]:
        deployment.interpreter.core.up = False
    story.deployments[2].interpreter.cut()
    story.reload(3)
    for deployment in story.deployments:
        story.ask(deployment, b"", b"cd")
