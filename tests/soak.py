"""A server under faults by a seed, from its start to the kill, and the rules that must hold meanwhile.

    PYTHONPATH=tests python -m soak 1 50        # the seeds 1 to 50, one after another; prints what was broken

One run: a link to the interpreter that breaks, slow on some; system calls that fail; a wall clock that is
stepped; the interpreter moved to another address; a crowd that connects and says nothing; signals in series;
SIGTERM, and SIGKILL at the earliest moment that the page allows, while clients use their connections.
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

DEADLINE = 2.0  # seconds, of both classes in the testbed's settings
STOP = DEADLINE + 0.7  # the earliest SIGKILL after SIGTERM
GRACE = 0.4  # after SIGTERM, in which what comes may still run
SLACK = 0.13  # that the rules allow for answers, the settings' 0.08 and 50 ms
BUSY_MACHINE = 0.35  # seconds by which a busy machine may delay what is seen here
CROSSING = 0.06  # before an end of a connection: what was sent then may cross it
SERVE = 4.0  # seconds from the first request to SIGTERM
Event = tuple[float, Callable[[], None]]
ENVIRONMENT = {"PYTHONPATH": str(Path(__file__).parent)}


@dataclass
class Weather:
    """What goes wrong in one run."""

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
    def drawn(cls, chance: random.Random) -> Weather:
        return cls(
            failing_share=chance.choice([0.0, 0.0, 0.01, 0.05]),
            link_delay=chance.choice([0.0, 0.0, 0.02, 0.08]),
            link_life=chance.choice([0.3, 0.8, 2.0, 99.0]),
            step=chance.choice([0.0, 5.0, -5.0, 3600.0, -3600.0]),
            moves=chance.random() < 0.4,
            crowd=chance.choice([0, 0, 80]),
            cores=chance.choice([3, 64]),
            keyed_work=chance.choice([0.05, 0.3]),
            interval=chance.choice([0.01, 0.03]),
        )


@dataclass
class Run:
    """One run's parts."""

    seed: int
    testbed: Testbed
    chance: random.Random = field(init=False)
    weather: Weather = field(init=False)
    clients: list[Client] = field(default_factory=list)
    crowd: list[socket.socket] = field(default_factory=list)
    shift: float = 0.0
    told_at: float = float("inf")  # of SIGTERM
    killed_at: float = float("inf")

    def __post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        self.weather = Weather.drawn(self.chance)
        self._lives: dict[int, float] = {}
        self._flapping = threading.Event()
        told = json.dumps({"seed": self.seed, "share": self.weather.failing_share})
        self.installation = Installation(
            self.testbed,
            self.weather.keyed_work,
            self._pass_on,
            shifted=True,
            module=("failing_calls", told, "sablewheel"),
            environment=ENVIRONMENT,
            cores=self.weather.cores,
            stop_ms=round(1000 * STOP),
        )
        self.server = self.installation.server
        self.other_way = LinkProxy(self.installation.interpreter_port, self._pass_on)
        self._flapping.set()
        self.clients.append(self.installation.client)

    def _pass_on(self, pair: Pair, upward: bool, data: bytes) -> bool:
        if not self._flapping.is_set():
            pair.send(upward, data)
            return True
        time.sleep(self.chance.uniform(0.5, 1.0) * self.weather.link_delay)
        pair.send(upward, data)
        life = self.weather.link_life * self.chance.uniform(0.5, 1.0)
        return time.monotonic() < self._lives.setdefault(id(pair), time.monotonic() + life)

    # -- what happens

    def play(self) -> None:
        begun, number = time.monotonic(), 0
        events = self._events()
        while (now := time.monotonic() - begun) < SERVE + STOP:
            while events and events[0][0] <= now:
                events.pop(0)[1]()
            number += 1
            self._ask(number)
            for client in self.clients:
                client.look()
            time.sleep(self.weather.interval)
        self.killed_at = time.monotonic()
        self.server.popen.kill()
        self.server.popen.wait()
        for client in self.clients:
            client.look()

    def _events(self) -> list[Event]:
        at = self.chance.uniform
        events: list[Event] = [(SERVE, self._leave)]
        events += [(at(0.2, SERVE), self._signal(chosen)) for chosen in (signal.SIGUSR1, signal.SIGHUP)]
        events += [(SERVE + at(0.0, 0.3), self._signal(chosen)) for chosen in (signal.SIGHUP, signal.SIGTERM)]
        events.append((at(0.1, 1.0), self._gather_crowd))
        if self.weather.step:
            events.append((at(0.5, SERVE + STOP - 0.5), self._step))
        if self.weather.moves:
            events.append((at(0.5, SERVE + 1.0), self._move))
        return sorted(events, key=lambda one: one[0])

    def _signal(self, number: int) -> Callable[[], None]:
        def send() -> None:
            if self.server.popen.poll() is None:
                self.server.popen.send_signal(number)

        return send

    def _leave(self) -> None:
        self.told_at = time.monotonic()
        self.server.popen.send_signal(signal.SIGTERM)

    def _step(self) -> None:
        self.shift = self.weather.step
        self.testbed.shift(self.shift)

    def _move(self) -> None:
        """The same interpreter behind another address."""
        path = self.testbed.folder / "n1.json"
        told = json.loads(path.read_text())
        path.write_text(json.dumps(told | {"vm": f"127.0.0.1:{self.other_way.port}"}))
        self._signal(signal.SIGHUP)()

    def _gather_crowd(self) -> None:
        for _ in range(self.weather.crowd):
            with contextlib.suppress(OSError):
                self.crowd.append(socket.create_connection(("127.0.0.1", self.installation.port), 0.2))

    def _ask(self, number: int) -> None:
        usable = [one for one in self.clients if not one.close_announced and one.ended_at is None]
        if len(usable) < 5 and self.told_at == float("inf"):
            with contextlib.suppress(OSError):
                self.clients.append(Client(self.installation.port))
                self.clients[-1].wall_clock = lambda: time.time() + self.shift
                usable.append(self.clients[-1])
        if usable:
            client = self.chance.choice(usable)
            tag = 100_000 * (1 + self.clients.index(client)) + number
            key = max(number - self.chance.choice([0, 0, 3]), 0)
            client.ask(tag, self.chance.choice([SAFE, KEYED]), key=key)

    # -- what must hold

    def broken(self) -> list[str]:
        """What was broken, a line each."""
        starts = self.installation.starts()
        found, keys = [], Counter[bytes]()
        for client in self.clients:
            for tag, request in client.sent.items():
                began = starts[request.decode()]
                word = client.answers[tag][1] if tag in client.answers else b""
                if tag in client.keys:
                    keys[client.keys[tag]] += bool(began)
                    if began > 1:
                        found.append(f"{request.decode()} was begun {began} times")
                if word == b"BUSY" and began:
                    found.append(f"{request.decode()} was refused and begun")
                if began and client.sent_at[tag] > self.told_at + GRACE + BUSY_MACHINE:
                    found.append(f"{request.decode()} was begun past the grace")
                found += self._late_or_lost(client, tag)
        found += [f"key {key.decode()} ran {times} times" for key, times in keys.items() if times > 1]
        return found

    def _late_or_lost(self, client: Client, tag: int) -> list[str]:
        request, sent = client.sent[tag].decode(), client.sent_at[tag]
        if tag in client.answers:
            late = client.answered_at[tag] - sent - DEADLINE - SLACK
            return [f"{request} was answered {late:.3f} s late"] if late > BUSY_MACHINE else []
        if client.ended_at is not None and sent > client.ended_at - CROSSING:
            return []  # it crossed the end of a connection on which nothing was open
        if sent > self.killed_at - CROSSING:
            return []
        return [f"{request} was lost, {sent - self.told_at:.3f} s after the notice"]

    def close(self) -> None:
        for one in self.crowd:
            one.close()
        for client in self.clients:
            client.close()
        self.other_way.close()
        self.installation.proxy.close()


def soak(seed: int) -> tuple[list[str], int, int]:
    """One run: what was broken, how many requests were sent, and how many were served."""
    with Testbed(seed) as testbed:
        run = Run(seed, testbed)
        run.play()
        broken = run.broken()
        if broken:
            broken += [str(run.weather), run.server.tail(12)]
        served = sum(words[1] == b"OK" for one in run.clients for words in one.answers.values())
        sent = sum(len(one.sent) for one in run.clients)
        run.close()
    return broken, sent, served


def main(first: int, last: int) -> int:
    bad = 0
    for seed in range(first, last + 1):
        broken, sent, served = soak(seed)
        bad += bool(broken)
        print(f"seed {seed}: {served} of {sent} served, {len(broken)} lines", *broken, sep="\n  ", flush=True)
    print(f"{bad} of {last + 1 - first} seeds broke a rule")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
