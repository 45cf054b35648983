"""Runs a server under random faults, from its start to SIGKILL, and checks rules that must hold meanwhile.

    PYTHONPATH=tests python -m soak 1 50        # the seeds 1 to 50, one after another; prints violated rules
    PYTHONPATH=tests python -m soak 1 50 bare   # the same without a result store and without a restart

The faults of a run, which its seed determines: a link to the interpreter that breaks and may be slow; failing
system calls; a step of the wall clock; an interpreter that moves to another address; connections that send
nothing; series of signals; SIGTERM, and SIGKILL at the earliest moment at which operators may send it, while
clients use their connections. With a result store, results have 100 bytes to 1 MB, and after SIGKILL the
server is started again on the same folder and every idempotency key is repeated.
"""

from __future__ import annotations

import contextlib
import json
import random
import signal
import socket
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from installation import KEYED, MAX_READ_BYTES, SAFE, Client, Installation, LinkProxy, Pair

from sablewheel.experiments.testbed import SETTINGS, Testbed, TestbedError

DEADLINE_S = 2.0  # of both request classes in the testbed's settings
STOP_S = DEADLINE_S + 0.7  # from SIGTERM to the earliest SIGKILL
GRACE_S = 0.4  # after SIGTERM, in which new requests may still run
SLACK_S = 0.13  # allowed after the deadline for an answer: the settings' 0.08 s and 50 ms
MACHINE_DELAY_S = 0.35  # by which a busy machine may delay an observation
CROSSING_S = 0.06  # before the end of a connection: requests sent then may cross it
RESULT_BYTES = [100, 1_000_000]  # the least and the largest size of a result
WINDOW_S = 60.0  # in which keys are repeated, longer than a run
REPEAT_INTERVAL_S = 0.005  # between two looks for answers while `MAX_OPEN_REPEATS` requests are open
MAX_OPEN_REPEATS = 16  # half of what a server accepts on a connection
SERVING_S = 4.0  # from the first request to SIGTERM
Event = tuple[float, Callable[[], None]]  # seconds from the first request, action
ENVIRONMENT = {"PYTHONPATH": str(Path(__file__).parent)}


@dataclass
class FaultPlan:
    """The faults of one run, and its load.

    Attributes:
        failing_share: The fraction of system calls that fail.
        link_delay: The largest delay of bytes on the link to the interpreter, in seconds.
        link_life: The longest time for which a link stays open, in seconds.
        step: The step of the wall clock in seconds; 0 if there is none.
        moves: Whether the interpreter moves to another address.
        crowd: The number of connections that send nothing.
        cores: The number of cores of the interpreter.
        keyed_work: The duration of a keyed run in seconds.
        interval: The time between two requests in seconds.
    """

    failing_share: float
    link_delay: float
    link_life: float
    step: float
    moves: bool
    crowd: int
    cores: int
    keyed_work: float
    interval: float

    @classmethod
    def draw(cls, rng: random.Random) -> FaultPlan:
        return cls(
            failing_share=rng.choice([0.0, 0.0, 0.01, 0.05]),
            link_delay=rng.choice([0.0, 0.0, 0.02, 0.08]),
            link_life=rng.choice([0.3, 0.8, 2.0, 99.0]),
            step=rng.choice([0.0, 5.0, -5.0, 3600.0, -3600.0]),
            moves=rng.random() < 0.4,
            crowd=rng.choice([0, 0, 80]),
            cores=rng.choice([3, 64]),
            keyed_work=rng.choice([0.05, 0.3]),
            interval=rng.choice([0.01, 0.03]),
        )


@dataclass
class Run:
    """One run: its processes, its clients and its faults."""

    seed: int
    testbed: Testbed
    has_result_store: bool
    rng: random.Random = field(init=False)
    fault_plan: FaultPlan = field(init=False)
    clients: list[Client] = field(default_factory=list)
    silent_connections: list[socket.socket] = field(default_factory=list)
    shift: float = 0.0
    notified_at: float = float("inf")  # time of SIGTERM
    killed_at: float = float("inf")  # time of SIGKILL
    repeating_client: Client | None = None  # connected after the restart

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.fault_plan = FaultPlan.draw(self.rng)
        self._close_times: dict[int, float] = {}
        self._faults_enabled = threading.Event()
        options = json.dumps({"seed": self.seed, "share": self.fault_plan.failing_share})
        result_store = self._result_store_options() if self.has_result_store else {}
        self.installation = Installation(
            self.testbed,
            self.fault_plan.keyed_work,
            self._pass_on,
            shifted=True,
            module=("failing_calls", options, "sablewheel"),
            environment=ENVIRONMENT,
            cores=self.fault_plan.cores,
            stop_ms=round(1000 * STOP_S),
            **result_store,
        )
        self.server = self.installation.server
        self.second_proxy = LinkProxy(self.installation.interpreter_port, self._pass_on)
        self._faults_enabled.set()
        self.clients.append(self.installation.client)

    def _result_store_options(self) -> dict[str, Any]:
        """Return the options of an installation with a result store."""
        interpreter_survives = random.Random(f"result store {self.seed}").random() < 0.5
        lines = [
            "version: 1",
            "recall:",
            f"  folder: {self.testbed.folder}/recall",
            f"  hold-most-s: {DEADLINE_S}",
            f"  interpreter-outlives: {str(interpreter_survives).lower()}",
            "",
        ]
        classes = [
            {**request_class, "window-s": WINDOW_S} if request_class["repeat"] == "keyed" else request_class
            for request_class in SETTINGS["classes"]
        ]
        return {
            "features": "\n".join(lines),
            "result_bytes": RESULT_BYTES,
            "interpreter_survives": interpreter_survives,
            "settings": {"classes": classes},
        }

    def _pass_on(self, pair: Pair, upward: bool, data: bytes) -> bool:
        if not self._faults_enabled.is_set():
            pair.send(upward, data)
            return True
        if len(data) < MAX_READ_BYTES:  # a delay of each part of a large result would limit the throughput
            time.sleep(self.rng.uniform(0.5, 1.0) * self.fault_plan.link_delay)
        pair.send(upward, data)
        lifetime = self.fault_plan.link_life * self.rng.uniform(0.5, 1.0)
        return time.monotonic() < self._close_times.setdefault(id(pair), time.monotonic() + lifetime)

    # -- actions

    def execute(self) -> None:
        started_at, number = time.monotonic(), 0
        events = self._events()
        while (now := time.monotonic() - started_at) < SERVING_S + STOP_S:
            while events and events[0][0] <= now:
                events.pop(0)[1]()
            number += 1
            self._ask(number)
            for client in self.clients:
                client.read_available()
            time.sleep(self.fault_plan.interval)
        self.killed_at = time.monotonic()
        self.server.popen.kill()
        self.server.popen.wait()
        for client in self.clients:
            client.read_available()

    def _events(self) -> list[Event]:
        at = self.rng.uniform
        events: list[Event] = [(SERVING_S, self._send_shutdown_notice)]
        events += [(at(0.2, SERVING_S), self._signal(number)) for number in (signal.SIGUSR1, signal.SIGHUP)]
        events += [
            (SERVING_S + at(0.0, 0.3), self._signal(number)) for number in (signal.SIGHUP, signal.SIGTERM)
        ]
        events.append((at(0.1, 1.0), self._open_silent_connections))
        if self.fault_plan.step:
            events.append((at(0.5, SERVING_S + STOP_S - 0.5), self._step_wall_clock))
        if self.fault_plan.moves:
            events.append((at(0.5, SERVING_S + 1.0), self._move_interpreter))
        return sorted(events, key=lambda event: event[0])

    def _signal(self, number: int) -> Callable[[], None]:
        def send() -> None:
            if self.server.popen.poll() is None:
                self.server.popen.send_signal(number)

        return send

    def _send_shutdown_notice(self) -> None:
        self.notified_at = time.monotonic()
        self.server.popen.send_signal(signal.SIGTERM)

    def _step_wall_clock(self) -> None:
        self.shift = self.fault_plan.step
        self.testbed.shift(self.shift)

    def _move_interpreter(self) -> None:
        """Change the interpreter's address in the configuration; it leads to the same interpreter."""
        path = self.testbed.folder / "n1.json"
        configuration = json.loads(path.read_text())
        path.write_text(json.dumps(configuration | {"vm": f"127.0.0.1:{self.second_proxy.port}"}))
        self._signal(signal.SIGHUP)()

    def _open_silent_connections(self) -> None:
        for _ in range(self.fault_plan.crowd):
            with contextlib.suppress(OSError):
                self.silent_connections.append(
                    socket.create_connection(("127.0.0.1", self.installation.port), 0.2)
                )

    def _ask(self, number: int) -> None:
        usable = [client for client in self.clients if not client.close_announced and client.ended_at is None]
        if len(usable) < 5 and self.notified_at == float("inf"):
            with contextlib.suppress(OSError):
                self.clients.append(Client(self.installation.port))
                self.clients[-1].wall_clock = lambda: time.time() + self.shift
                usable.append(self.clients[-1])
        if usable:
            client = self.rng.choice(usable)
            tag = 100_000 * (1 + self.clients.index(client)) + number
            key = max(number - self.rng.choice([0, 0, 3]), 0)
            client.ask(tag, self.rng.choice([SAFE, KEYED]), key=key)

    def restart_and_repeat(self) -> None:
        """Start the server again, and repeat all idempotency keys."""
        self._faults_enabled.clear()
        self.installation.wall_clock = lambda: time.time() + self.shift
        self.installation.kill_and_restart()
        self.server = self.installation.server
        self._faults_enabled.set()
        client = self.repeating_client = self.installation.client
        keys = sorted({int(key, 16) for asking in self.clients for key in asking.keys.values()})
        for number, key in enumerate(keys):
            while len(client.sent) - len(client.answers) >= MAX_OPEN_REPEATS and client.ended_at is None:
                client.read_available()
                time.sleep(REPEAT_INTERVAL_S)
            client.ask(10_000_000 + number, KEYED, key=key)
            client.read_available()
        client.read(DEADLINE_S + SLACK_S + MACHINE_DELAY_S)

    # -- rules

    def violations(self) -> list[str]:
        """Return a line for each violation of a rule."""
        starts = self.installation.starts()
        lines, keys = self._repeat_violations(starts), Counter[bytes]()
        for client in [*self.clients, *filter(None, [self.repeating_client])]:
            for tag, request in client.sent.items():
                start_count = starts[request.decode()]
                word = client.answers[tag][1] if tag in client.answers else b""
                if tag in client.keys:
                    keys[client.keys[tag]] += bool(start_count)
                    if start_count > 1:
                        lines.append(f"{request.decode()} was started {start_count} times")
                if word == b"BUSY" and start_count:
                    lines.append(f"{request.decode()} was rejected and started")
                is_first_process = client is not self.repeating_client
                after_grace = client.sent_at[tag] > self.notified_at + GRACE_S + MACHINE_DELAY_S
                if start_count and after_grace and is_first_process:
                    lines.append(f"{request.decode()} was started after the grace")
                lines += self._late_or_lost(client, tag)
        lines += [f"key {key.decode()} ran {times} times" for key, times in keys.items() if times > 1]
        return lines

    def _repeat_violations(self, starts: Counter[str]) -> list[str]:
        """Return a line for each key whose repeats did not get its result, or were rejected after it ran."""
        results: dict[bytes, bytes] = {}
        started_keys = {
            key
            for client in self.clients
            for tag, key in client.keys.items()
            if starts[client.sent[tag].decode()]
        }
        lines = []
        for client in [*self.clients, *filter(None, [self.repeating_client])]:
            for tag, key in client.keys.items():
                words = client.answers.get(tag, [b"", b""])
                if words[1] == b"OK" and results.setdefault(key, words[3]) != words[3]:
                    lines.append(f"key {key.decode()} has two results")
                if client is not self.repeating_client:
                    continue
                if key in results and words[1] in (b"FAILED", b"BUSY"):
                    lines.append(f"key {key.decode()} had its result, and its repeat got {words[1:]}")
                if key in started_keys and words[1] == b"BUSY":
                    lines.append(f"key {key.decode()} was started, and its repeat was rejected")
        return lines

    def _late_or_lost(self, client: Client, tag: int) -> list[str]:
        request, sent = client.sent[tag].decode(), client.sent_at[tag]
        if tag in client.answers:
            late_s = client.answered_at[tag] - sent - DEADLINE_S - SLACK_S
            return [f"{request} was answered {late_s:.3f} s late"] if late_s > MACHINE_DELAY_S else []
        if client.ended_at is not None and sent > client.ended_at - CROSSING_S:
            return []  # it crossed the end of a connection without open requests
        if sent > self.killed_at - CROSSING_S and client is not self.repeating_client:
            return []
        return [f"{request} was lost, {sent - self.notified_at:.3f} s after the notice"]

    def close(self) -> None:
        for connection in self.silent_connections:
            connection.close()
        for client in self.clients:
            client.close()
        self.second_proxy.close()
        self.installation.proxy.close()


def soak(seed: int, *, has_result_store: bool) -> tuple[list[str], int, int]:
    """Execute one run; return the violations and how many requests were sent and served."""
    with Testbed(seed) as testbed:
        try:
            run = Run(seed, testbed, has_result_store)
        except TestbedError as error:
            return [f"the server did not start: {error}"], 0, 0
        run.execute()
        violations = []
        if has_result_store:
            try:
                run.restart_and_repeat()
            except TestbedError as error:
                violations.append(f"the server did not start again: {error}")
        violations += run.violations()
        if violations:
            violations += [str(run.fault_plan), run.server.tail(12)]
        clients = [*run.clients, *filter(None, [run.repeating_client])]
        served = sum(words[1] == b"OK" for client in clients for words in client.answers.values())
        sent = sum(len(client.sent) for client in clients)
        run.close()
    return violations, sent, served


def main(first: int, last: int, *, has_result_store: bool) -> int:
    bad_seeds = 0
    for seed in range(first, last + 1):
        violations, sent, served = soak(seed, has_result_store=has_result_store)
        bad_seeds += bool(violations)
        print(
            f"seed {seed}: {served} of {sent} served, {len(violations)} lines",
            *violations,
            sep="\n  ",
            flush=True,
        )
    print(f"{bad_seeds} of {last + 1 - first} seeds violated a rule")
    return 1 if bad_seeds else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2]), has_result_store=sys.argv[3:] != ["bare"]))
