"""The app server as operators see it: several real processes on loopback, with concurrent faults.

Steps wait for events (a report, a link, a close announcement), not for fixed times; every wait has a timeout.
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

DEADLINE_S, STOP_S = 3.0, 3.0
ANSWER_SLACK_S = 0.4  # in the settings; the last answers of a drain are sent this long before the stop
MAX_LAG_S = 0.3  # allowed delay of an answer on a busy machine, including the slack that the rules allow
SERVING, NOT_SERVING = b"yes", b"no"
HEALTH_CHECK_TAG = 1_000_000


class NameServices:
    """Two name services, which receive the reports of the servers."""

    def __init__(self) -> None:
        self.socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(2)]
        for sock in self.socks:
            sock.bind(("127.0.0.1", 0))
        self.addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in self.socks]

    def next_report(self, timeout_s: float = TIMEOUT_S) -> tuple[int, str, bytes] | None:
        """Return the index of the name service, the server's name and the status; None after the timeout."""
        ready = select.select(self.socks, [], [], timeout_s)[0]
        if not ready:
            return None
        _, name, status = ready[0].recv(64).split()
        return self.socks.index(ready[0]), name.decode(), status

    def pending_reports(self) -> list[tuple[int, str, bytes]]:
        return list(iter(lambda: self.next_report(0.0), None))


class RecordingClient(ClientConnection):
    """A router's connection that records its requests and the time of each answer."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__(deployment.client().sock)
        self.deployment = deployment
        self.sent_at: dict[int, float] = {}  # by tag
        self.received: list[tuple[float, int, bytes]] = []  # time, tag and status of each answer
        self.connection_ended = False
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self) -> None:
        with contextlib.suppress(OSError):
            while data := self.sock.recv(65536):
                now = time.time()
                self.received += [(now, int(words[0]), words[1]) for words in self.parser.feed(data)]
        self.connection_ended = True

    def new_request(self, idempotency_key: bytes = b"") -> bytes:
        """Return the bytes of a request whose deadline starts now."""
        tag = len(self.sent_at) + 1
        self.sent_at[tag] = time.time()
        return self.call(tag, b"record" if idempotency_key else b"lookup", idempotency_key)

    def statuses(self, tag: int) -> list[bytes]:
        return [status for _, number, status in self.received if number == tag]

    @property
    def done(self) -> bool:
        return self.connection_ended or all(self.statuses(tag) for tag in self.sent_at)

    @property
    def close_announced(self) -> bool:
        return bool(self.statuses(0))


@dataclass
class Story:
    folder: Path
    name_services: NameServices = field(default_factory=NameServices)
    deployments: list[Deployment] = field(default_factory=list)
    processes: list[subprocess.Popen[str]] = field(default_factory=list)
    # Clients are kept alive, as the id of a request contains the id() of its client.
    clients: list[RecordingClient] = field(default_factory=list)
    replaced_interpreters: list[FakeInterpreter] = field(default_factory=list)
    shutdown_asked_at: dict[int, float] = field(default_factory=dict)  # monotonic, by index of the server
    shutdown_time_s: dict[int, float] = field(default_factory=dict)  # by index of the server
    stopping: threading.Event = field(default_factory=threading.Event)  # stops the threads
    threads: list[threading.Thread] = field(default_factory=list)
    restart_time_s: dict[int, float] = field(default_factory=dict)  # by index of the server

    def start_fleet(self, size: int, up: bool = True, **changes: Any) -> None:
        settings = json.loads(json.dumps(SETTINGS))
        for request_class in settings["classes"]:
            request_class["deadline-s"] = DEADLINE_S
        settings["safety"]["answer-slack-s"] = ANSWER_SLACK_S
        configuration = {
            "naming": self.name_services.addresses[0],
            "stop_ms": round(1000 * STOP_S),
            "settings": settings,
        }
        deployments = []
        for _ in range(size):
            name = f"n{len(self.deployments)}"
            (folder := self.folder / name).mkdir()
            deployments.append(Deployment(folder, name=name, **configuration, **changes))
            deployments[-1].interpreter.core.is_up = up
            self.deployments.append(deployments[-1])
        self.processes += [deployment.start() for deployment in deployments]
        for deployment in deployments if up else []:
            deployment.ready().sock.close()

    def ask(self, deployment: Deployment, *idempotency_keys: bytes) -> RecordingClient:
        """Send requests on a new connection; an empty idempotency key makes a lookup."""
        client = RecordingClient(deployment)
        self.clients.append(client)
        with contextlib.suppress(OSError):  # the server may close it at once if it is full
            client.send(b"".join(client.new_request(idempotency_key) for idempotency_key in idempotency_keys))
        return client

    def start_runs(self, deployment: Deployment) -> None:
        """Start a lookup and a record, and send a duplicate of the record."""
        deployment.interpreter.at_once = False
        self.ask(deployment, b"", b"ab")
        wait_until(lambda: len(deployment.interpreter.core.running) == 2)
        self.ask(deployment, b"ab")

    def send_signal(self, number: int, signal_number: int) -> None:
        process, since = self.processes[number], time.monotonic()
        process.send_signal(signal_number)

        def record_shutdown_time() -> None:
            process.wait()
            self.shutdown_time_s[number] = time.monotonic() - since

        if signal_number == signal.SIGTERM:
            self.shutdown_asked_at[number] = since
            threading.Thread(target=record_shutdown_time, daemon=True).start()

    def shut_down(self, *numbers: int) -> None:
        """Ask servers to shut down, and wait until all have reported it; earlier reports are dropped."""
        self.name_services.pending_reports()
        for number in numbers:
            self.send_signal(number, signal.SIGTERM)
        pending, until = {f"n{number}" for number in numbers}, time.monotonic() + TIMEOUT_S
        while pending:
            report = self.name_services.next_report()
            assert report is not None and time.monotonic() < until, (
                f"no report of the shutdown from {pending}"
            )
            pending -= {report[1]} if report[2] == NOT_SERVING else set()

    def reload(self, number: int, move: bool = True) -> None:
        """Reload with another name service and, if `move`, with another address of the same interpreter."""
        deployment = self.deployments[number]
        deployment.config["naming"] = self.name_services.addresses[1]
        if move:
            old, deployment.interpreter = deployment.interpreter, FakeInterpreter(deployment.interpreter.core)
            deployment.interpreter.at_once = old.at_once
            self.replaced_interpreters.append(old)
            deployment.config["vm"] = f"127.0.0.1:{deployment.interpreter.listening_socket.getsockname()[1]}"
        deployment.file.write_text(json.dumps(deployment.config))
        self.send_signal(number, signal.SIGHUP)
        if move:
            wait_until(lambda: deployment.interpreter.link is not None)

    def completes_request(self, deployment: Deployment) -> bool:
        """Whether a request on a new connection is completed."""
        deployment.interpreter.at_once = True
        client = self.ask(deployment, b"")
        wait_until(lambda: client.done)
        return client.statuses(1) == [b"OK"]

    def close(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(TIMEOUT_S)
        for deployment in self.deployments:
            deployment.end()
        for interpreter in self.replaced_interpreters:
            interpreter.listening_socket.close()
            interpreter.cut()
        for client in self.clients:
            with contextlib.suppress(OSError):
                client.sock.shutdown(socket.SHUT_RDWR)  # its thread is reading from it
            client.sock.close()
        for sock in self.name_services.socks:
            sock.close()


@pytest.fixture
def story(tmp_path: Path) -> Iterator[Story]:
    story = Story(tmp_path)
    yield story
    story.close()


def greet(interpreter: FakeInterpreter) -> None:
    """Wait for a link of the server, and greet it."""
    wait_until(lambda: interpreter.link is not None)
    interpreter.greet()


@given(parsers.re(r"a fleet of (?P<size>\d+) servers(?P<kind>.*)"))
def start_fleet(story: Story, size: str, kind: str) -> None:
    if kind == ", the first never greeted by its interpreter":
        story.start_fleet(1, up=False)
    story.start_fleet(int(size) - len(story.deployments), up=kind != " whose interpreters are not up")
    for deployment in story.deployments:
        if kind == " with runs under way":
            story.start_runs(deployment)
        if kind == " with clients that keep sending":
            # After its restart each server reports to a name service of its own.
            deployment.config["naming"] = f"127.0.0.1:{deployment.name_service.getsockname()[1]}"
            story.threads.append(threading.Thread(target=send_requests, args=(story, deployment)))
            story.threads[-1].start()


@then("every request has exactly one answer by its deadline")
def every_request_answered_once(story: Story) -> None:
    wait_until(lambda: all(client.done for client in story.clients))
    for client in story.clients:
        with contextlib.suppress(OSError):  # it may be closed already
            client.sock.shutdown(socket.SHUT_WR)
    wait_until(lambda: all(client.connection_ended for client in story.clients))
    for client in story.clients:
        for tag, since in client.sent_at.items():
            answers = [
                (received_at - since, status)
                for received_at, number, status in client.received
                if number == tag
            ]
            context = client.deployment.config["name"], tag, answers
            assert len(answers) == 1 and answers[0][1] in (b"OK", b"BUSY", b"FAILED"), context
            assert answers[0][0] <= DEADLINE_S + MAX_LAG_S, context


@then("all servers that were asked to shut down exited with code 0 before their stop time")
def shut_down_in_order(story: Story, timeout_s: float = STOP_S) -> None:
    assert story.shutdown_asked_at
    for number in story.shutdown_asked_at:
        _, text = story.processes[number].communicate(timeout=TIMEOUT_S)
        assert (
            story.processes[number].returncode == 0 and "Traceback" not in text and "by a fault" not in text
        )
        wait_until(lambda number=number: number in story.shutdown_time_s)  # type: ignore[misc]
        assert story.shutdown_time_s[number] <= timeout_s, story.shutdown_time_s


@then("all servers exit with code 0 when asked to shut down")
def shut_down_all(story: Story) -> None:
    """Keyed runs that do not end are awaited until 30 ms before the stop, so some lag is allowed here."""
    for number in range(len(story.deployments)):
        story.send_signal(number, signal.SIGTERM)
    shut_down_in_order(story, STOP_S + MAX_LAG_S)


# -- a reload and a drain


@when(parsers.re("there is (?P<event>a reload|a drain)(?P<phase>.*) on each server"))
def reload_and_drain(story: Story, event: str, phase: str) -> None:
    if event == "a reload":
        story.shut_down(0, 1, 2)
    if phase == " after the grace period of a drain":
        wait_until(lambda: all(client.close_announced for client in story.clients))
    for number, deployment in enumerate(story.deployments):
        deployment.interpreter.core.is_up = event == "a reload"  # if False, it does not greet new links
        story.reload(number)
        first = story.clients[2 * number]
        first.send(first.new_request())
    if event == "a drain":
        story.shut_down(0, 1, 2)
        for deployment in story.deployments:
            greet(deployment.interpreter)


@when(parsers.parse("the {kind} runs end"))
def runs_end(story: Story, kind: str = "open") -> None:
    """A lookup that does not end is cancelled by the drain; a keyed run would be awaited until the stop."""
    for deployment in story.deployments:
        assert deployment.interpreter.core.running
        deployment.interpreter.at_once = kind == "open"
        for name, (request_class, _) in list(deployment.interpreter.core.running.items()):
            if kind == "open" or request_class == b"record":
                with contextlib.suppress(KeyError):  # it ended after the list was copied
                    deployment.interpreter.end(name)


@then(parsers.parse("the lookups that ran are {outcome}, and the records are completed"))
def check_statuses(story: Story, outcome: str) -> None:
    first_clients, duplicate_clients = story.clients[::2], story.clients[1::2]
    assert {client.statuses(1)[0] for client in first_clients} == {
        {"completed": b"OK", "failed": b"FAILED"}[outcome]
    }
    assert (
        {client.statuses(2)[0] for client in first_clients}
        == {client.statuses(1)[0] for client in duplicate_clients}
        == {b"OK"}
    )


@then("none of them reported to any name service that it is serving")
def none_reports_serving(story: Story) -> None:
    # The reports after those that `shut_down` read.
    assert not [report for report in story.name_services.pending_reports() if report[2] == SERVING]


# -- restarts


def send_requests(story: Story, deployment: Deployment) -> None:
    """Send one request at a time, like a router; reconnect when the connection ends or is closing."""
    while not story.stopping.is_set():
        client = story.ask(deployment)
        with contextlib.suppress(OSError):
            while not (story.stopping.is_set() or client.close_announced or client.connection_ended):
                client.send(client.new_request())
                wait_until(lambda: client.done)  # noqa: B023  called before the next iteration
                story.stopping.wait(0.03)
            client.sock.shutdown(socket.SHUT_WR)


def kill_during_startup(deployment: Deployment, moment: int) -> None:
    link, deployment.interpreter.at_once = deployment.interpreter.link, moment != 4
    starting = deployment.start()
    match moment:  # 0: before the program is loaded
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
    deployment, old, killed = story.deployments[number], story.processes[number], number % 2 == 1
    old.send_signal(signal.SIGTERM)
    if killed:
        old.wait(TIMEOUT_S)
    started_at = time.time()
    if killed:
        kill_during_startup(deployment, number // 2 % 5)
    # If not killed, the old process still holds the listening address while the new one starts.
    story.processes[number] = deployment.start()
    assert old.wait(TIMEOUT_S) == 0
    old_exited_at = time.time()

    def completion_times() -> list[float]:
        clients = [client for client in story.clients if client.deployment is deployment]
        return [
            received_at
            for client in clients
            for received_at, tag, status in client.received
            if status == b"OK" and client.sent_at[tag] > old_exited_at
        ]

    wait_until(completion_times)
    story.restart_time_s[number] = min(completion_times()) - started_at


@when("all servers restart, and every second one is killed during startup and started again")
def restart_all(story: Story) -> None:
    restarts = [
        threading.Thread(target=restart, args=(story, number)) for number in range(len(story.deployments))
    ]
    for thread in restarts:
        thread.start()
    for thread in restarts:
        thread.join(2 * TIMEOUT_S)
    story.stopping.set()
    for thread in story.threads:
        thread.join(TIMEOUT_S)


@then(parsers.parse("{required:d} of {total:d} servers serve within {time_s:d} seconds, and all eventually"))
def check_restart_times(story: Story, required: int, total: int, time_s: int) -> None:
    assert len(story.restart_time_s) == len(story.deployments), (
        f"only {sorted(story.restart_time_s)} completed a request"
    )
    servers_in_time = sum(restart_time_s <= time_s for restart_time_s in story.restart_time_s.values())
    assert servers_in_time * total >= required * len(story.deployments), story.restart_time_s


@then("every request to a server that was not killed has exactly one answer, and none has two")
def check_answers_after_restart(story: Story) -> None:
    killed = [client for client in story.clients if story.deployments.index(client.deployment) % 2 == 1]
    assert all(len(client.statuses(tag)) <= 1 for client in killed for tag in client.sent_at)
    story.clients = [client for client in story.clients if client not in killed]
    every_request_answered_once(story)


# -- reports to the name service


@when("requests arrive and the interpreters greet later")
def greet_after_requests(story: Story) -> None:
    for deployment in story.deployments:
        story.ask(deployment, b"", b"ab")
        assert (
            deployment.client().ask(HEALTH_CHECK_TAG, frame(b"RPC.HEALTH", b"%d" % HEALTH_CHECK_TAG, b""))[1]
            == b"DOWN"
        )
    reports = [story.name_services.next_report() for _ in range(9)] + story.name_services.pending_reports()
    assert {report[1:] for report in reports if report} == {
        (f"n{number}", NOT_SERVING) for number in range(3)
    }
    for deployment in story.deployments:
        greet(deployment.interpreter)


@when("all links to the interpreters are lost, reopened, and greeted only after a while")
def lose_links(story: Story) -> None:
    for number, deployment in enumerate(story.deployments):
        core, old, first = deployment.interpreter.core, deployment.interpreter.link, story.clients[2 * number]
        core.is_up = False
        deployment.interpreter.cut()
        wait_until(lambda deployment=deployment, old=old: deployment.interpreter.link is not old)  # type: ignore[misc]
        first.send(first.new_request())
        core.end(next(iter(core.running)))  # its end is not reported yet
    time.sleep(0.6)  # several intervals of reports and gauge queries
    for deployment in story.deployments:
        greet(deployment.interpreter)
    runs_end(story)


@when("n1 starts to shut down, n0 moves to another name service, and n2 moves there and shuts down")
def move_name_services(story: Story) -> None:
    story.name_services.pending_reports()
    story.send_signal(1, signal.SIGTERM)
    story.reload(0, move=False)
    story.reload(2, move=False)
    story.send_signal(2, signal.SIGTERM)
    runs_end(story)


@then("n0 reports there within 3 seconds that it is serving, and n1 and n2 nowhere after they left")
def check_moved_reports(story: Story) -> None:
    reports: list[tuple[int, str, bytes]] = []
    while (1, "n0", SERVING) not in reports:
        report = story.name_services.next_report()
        assert report is not None and time.monotonic() - story.shutdown_asked_at[1] <= 3.0, reports
        reports.append(report)
    for number in (1, 2):
        wait_until(lambda number=number: number in story.shutdown_time_s)  # type: ignore[misc]
    reports += story.name_services.pending_reports()
    for service_index, name in ((0, "n1"), (1, "n2")):
        statuses = [
            status
            for reported_index, reported_name, status in reports
            if (reported_index, reported_name) == (service_index, name)
        ]
        assert NOT_SERVING in statuses and SERVING not in statuses[statuses.index(NOT_SERVING) :]
    assert not [report for report in reports if report[1:] == ("n0", NOT_SERVING) or report[:2] == (1, "n1")]


@then("each server that reports that it is serving completes requests")
def check_serving_servers(story: Story) -> None:
    """Check each server three times, each time after a report that it is serving."""
    story.name_services.pending_reports()
    remaining = {
        f"n{number}": 3 for number in range(len(story.deployments)) if number not in story.shutdown_asked_at
    }
    until = time.monotonic() + TIMEOUT_S
    while any(remaining.values()):
        report = story.name_services.next_report()
        assert report is not None and time.monotonic() < until, remaining
        if report[2] == SERVING:
            assert story.completes_request(story.deployments[int(report[1][1:])]), report
            remaining[report[1]] = max(remaining[report[1]] - 1, 0)


@when("the interpreter of n0 is lost and a request sent there has ended")
def lose_interpreter(story: Story) -> None:
    deployment = story.deployments[0]
    deployment.interpreter.listening_socket.close()
    deployment.interpreter.cut()
    client = story.ask(deployment, b"")
    wait_until(lambda: client.done)


@then("each server that reports from then on that it is serving completes requests")
def check_later_serving_servers(story: Story) -> None:
    """A server that reports otherwise, or not at all, is not listed and gets no requests."""
    story.name_services.pending_reports()
    reports: list[tuple[int, str, bytes]] = []
    while reports.count((0, "n1", SERVING)) < 4:
        report = story.name_services.next_report()
        assert report is not None and len(reports) < 100, reports
        reports.append(report)
    for deployment in story.deployments:
        if (0, deployment.config["name"], SERVING) in reports:
            assert story.completes_request(deployment), (
                deployment.config["name"],
                story.clients[-1].received,
            )


# -- requests in parts


def send_partial_requests(
    story: Story, deployment: Deployment, sizes: range
) -> list[tuple[RecordingClient, bytes]]:
    """Send the first `sizes` bytes of a request on accepted connections; return them with the rest."""
    clients = [story.ask(deployment) for _ in sizes]
    for client in clients:
        client.send(frame(b"RPC.HEALTH", b"%d" % HEALTH_CHECK_TAG, b""))
    wait_until(lambda: all(client.statuses(HEALTH_CHECK_TAG) for client in clients))
    parts = []
    for client, size in zip(clients, sizes, strict=True):
        request = client.new_request(b"%d" % size if size % 2 else b"")
        client.send(request[:size])
        parts.append((client, request[size:]))
    return parts


@when("requests arrive split at each byte on both, and n0 shuts down and n1 reloads between the parts")
def split_at_each_byte(story: Story) -> None:
    size = len(ClientConnection(socket.socket()).call(1))
    leaving, staying = (
        send_partial_requests(story, deployment, range(1, size)) for deployment in story.deployments
    )
    story.reload(1)
    for client, rest in staying:
        client.send(rest)
    story.shut_down(0)
    for client, rest in leaving[::2]:
        client.send(rest)
    wait_until(lambda: all(client.close_announced for client, _ in leaving))
    for client, rest in leaving[1::2]:  # after the grace period and the close announcement
        client.send(rest)


@when("requests arrive byte by byte on both, and n0 shuts down and n1 reloads between the parts")
def byte_by_byte(story: Story) -> None:
    parts = [
        part
        for deployment in story.deployments
        for part in send_partial_requests(story, deployment, range(1, 181, 9))
    ]
    # An incomplete frame times out after 2 s, so a slow machine sends the rest without pauses.
    slow_until = time.monotonic() + 1.2
    for position in range(max(len(rest) for _, rest in parts)):
        if position == 20:
            story.send_signal(0, signal.SIGTERM)
            story.reload(1)
        for client, rest in parts:
            client.send(rest[position : position + 1])
        time.sleep(0.004 if time.monotonic() < slow_until else 0.0)
    wait_until(lambda: all(client.done for client in story.clients))
    assert {
        client.statuses(1)[0] for client in story.clients if client.deployment is story.deployments[1]
    } == {b"OK"}


# -- idle clients


@given("servers with 28 and 64 descriptors")
def start_servers_with_few_descriptors(story: Story) -> None:
    for sockets in (28, 64):
        story.start_fleet(1, limits={"sockets": sockets, "memory_mb": 32})


@when("the name service is down and more idle clients than fit reconnect whenever they are closed")
def reconnect_idle_clients(story: Story) -> None:
    story.name_services.socks.pop(0).close()
    # New clients queue behind these: with 28 descriptors two connections are freed every 0.1 s.
    targets = [story.deployments[0]] * 40 + [story.deployments[1]] * 80
    idle = [deployment.client().sock for deployment in targets]

    def keep_reconnecting() -> None:
        while not story.stopping.wait(0.01):
            for number, sock in enumerate(idle):
                with contextlib.suppress(ConnectionError):
                    try:
                        if sock.recv(4096, socket.MSG_DONTWAIT):
                            continue
                    except BlockingIOError:
                        continue
                sock.close()
                idle[number] = targets[number].client().sock
                if number % 2:
                    with contextlib.suppress(OSError):
                        idle[number].sendall(frame(b"RPC.HEALTH", b"1", b""))
        for sock in idle:
            sock.close()

    story.threads.append(threading.Thread(target=keep_reconnecting))
    story.threads[-1].start()


@then(parsers.parse("each of {count:d} requests on each server is completed by its deadline"))
def check_requests_completed(story: Story, count: int) -> None:
    for deployment in story.deployments:
        for _ in range(count):
            since, completed = time.time(), False
            while not completed:  # a router retries if its connection ends without an answer
                client = story.ask(deployment, b"")
                wait_until(lambda: client.done)  # noqa: B023  called before the next iteration
                completed = client.statuses(1) == [b"OK"]
                assert (completed or not client.statuses(1)) and time.time() - since <= DEADLINE_S, (
                    client.received
                )
            client.sock.shutdown(socket.SHUT_WR)


@then("once the name service is back, each server that reports that it is serving completes requests")
def restore_name_service(story: Story) -> None:
    host, port = story.name_services.addresses[0].split(":")
    story.name_services.socks.insert(0, socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
    story.name_services.socks[0].bind((host, int(port)))
    check_serving_servers(story)


# -- deadlines


@when("the runs of n1 never end, n2 loses its link, and n3 moves to an address that never greets")
def fail_interpreters(story: Story) -> None:
    for deployment in story.deployments[1:]:
        story.start_runs(deployment)
    for deployment in story.deployments[2:]:
        deployment.interpreter.core.is_up = False
    story.deployments[2].interpreter.cut()
    story.reload(3)
    for deployment in story.deployments:
        story.ask(deployment, b"", b"cd")
