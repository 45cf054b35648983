"""Runs a server under random faults, from its start to SIGKILL, and checks rules that must hold meanwhile.

    PYTHONPATH=tests python -m soak 1 50        # the seeds 1 to 50, one after another; prints violated rules

The faults of a run, which its seed determines: a link to the interpreter that breaks and may be slow; failing
system calls; a step of the wall clock; an interpreter that moves to another address; connections that send
nothing; series of signals; SIGTERM, and SIGKILL at the earliest moment at which operators may send it, while
clients use their connections.
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

from installation import KEYED, SAFE, Client, Installation, LinkProxy, Pair

from sablewheel.experiments.testbed import Testbed

DEADLINE_S = 2.0  # of both request classes in the testbed's settings
STOP_S = DEADLINE_S + 0.7  # from SIGTERM to the earliest SIGKILL
GRACE_S = 0.4  # after SIGTERM, in which new requests may still run
SLACK_S = 0.13  # allowed after the deadline for an answer: the settings' 0.08 s and 50 ms
MACHINE_DELAY_S = 0.35  # by which a busy machine may delay an observation
CROSSING_S = 0.06  # before the end of a connection: requests sent then may cross it
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
    rng: random.Random = field(init=False)
    fault_plan: FaultPlan = field(init=False)
    clients: list[Client] = field(default_factory=list)
    silent_connections: list[socket.socket] = field(default_factory=list)
    shift: float = 0.0
    notified_at: float = float("inf")  # time of SIGTERM
    killed_at: float = float("inf")  # time of SIGKILL

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.fault_plan = FaultPlan.draw(self.rng)
        self._close_times: dict[int, float] = {}
        self._faults_enabled = threading.Event()
        options = json.dumps({"seed": self.seed, "share": self.fault_plan.failing_share})
        self.installation = Installation(
            self.testbed,
            self.fault_plan.keyed_work,
            self._pass_on,
            shifted=True,
            module=("failing_calls", options, "sablewheel"),
            environment=ENVIRONMENT,
            cores=self.fault_plan.cores,
            stop_ms=round(1000 * STOP_S),
        )
        self.server = self.installation.server
        self.second_proxy = LinkProxy(self.installation.interpreter_port, self._pass_on)
        self._faults_enabled.set()
        self.clients.append(self.installation.client)

    def _pass_on(self, pair: Pair, upward: bool, data: bytes) -> bool:
        if not self._faults_enabled.is_set():
            pair.send(upward, data)
            return True
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

    # -- rules

    def violations(self) -> list[str]:
        """Return a line for each violation of a rule."""
        starts = self.installation.starts()
        lines, keys = [], Counter[bytes]()
        for client in self.clients:
            for tag, request in client.sent.items():
                start_count = starts[request.decode()]
                word = client.answers[tag][1] if tag in client.answers else b""
                if tag in client.keys:
                    keys[client.keys[tag]] += bool(start_count)
                    if start_count > 1:
                        lines.append(f"{request.decode()} was started {start_count} times")
                if word == b"BUSY" and start_count:
                    lines.append(f"{request.decode()} was rejected and started")
                if start_count and client.sent_at[tag] > self.notified_at + GRACE_S + MACHINE_DELAY_S:
                    lines.append(f"{request.decode()} was started after the grace")
                lines += self._late_or_lost(client, tag)
        lines += [f"key {key.decode()} ran {times} times" for key, times in keys.items() if times > 1]
        return lines

    def _late_or_lost(self, client: Client, tag: int) -> list[str]:
        request, sent = client.sent[tag].decode(), client.sent_at[tag]
        if tag in client.answers:
            late_s = client.answered_at[tag] - sent - DEADLINE_S - SLACK_S
            return [f"{request} was answered {late_s:.3f} s late"] if late_s > MACHINE_DELAY_S else []
        if client.ended_at is not None and sent > client.ended_at - CROSSING_S:
            return []  # it crossed the end of a connection without open requests
        if sent > self.killed_at - CROSSING_S:
            return []
        return [f"{request} was lost, {sent - self.notified_at:.3f} s after the notice"]

    def close(self) -> None:
        for connection in self.silent_connections:
            connection.close()
        for client in self.clients:
            client.close()
        self.second_proxy.close()
        self.installation.proxy.close()


def soak(seed: int) -> tuple[list[str], int, int]:
    """Execute one run; return the violations and how many requests were sent and served."""
    with Testbed(seed) as testbed:
        run = Run(seed, testbed)
        run.execute()
        violations = run.violations()
        if violations:
            violations += [str(run.fault_plan), run.server.tail(12)]
        served = sum(words[1] == b"OK" for client in run.clients for words in client.answers.values())
        sent = sum(len(client.sent) for client in run.clients)
        run.close()
    return violations, sent, served


def main(first: int, last: int) -> int:
    bad_seeds = 0
    for seed in range(first, last + 1):
        violations, sent, served = soak(seed)
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
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
