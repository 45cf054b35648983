"""A fleet of real servers with membership on, each link between two of them through the fault relay."""

from __future__ import annotations

import json
import re
import shlex
import signal
import socket
import time
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..membership import codec
from ..membership.messages import StatusReply
from ..membership.status_client import query_status
from .testbed import PATIENCE, Process, Testbed, TestbedError, free_port

PORT = 7700  # of each member's membership, on a loopback address of its own
LISTEN = 7701  # for its requests
DOOR = 7800  # the relay's first door
CONTROL = 7799
LINE = re.compile(r"^time=(\S+) level=\S+ from=membership\.service\.view event=(.*)$")


class Block:
    """The second number of the loopback addresses that one trial uses; it is this trial's until closed.

    Addresses of its own spare it free ports, which other processes take between the asking and the use.
    """

    def __init__(self) -> None:
        for second in range(32, 224):
            self._held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._held.bind((f"127.{second}.255.254", CONTROL))
            except OSError:
                self._held.close()
                continue
            self.second = second
            return
        raise TestbedError("no block of loopback addresses is free")

    def close(self) -> None:
        self._held.close()


class Relay:
    """The relay's process, and the line to its control port."""

    def __init__(
        self, testbed: Testbed, name: str, host: str, seed: int, doors: list[dict[str, Any]]
    ) -> None:
        spec = {"seed": seed, "host": host, "control": CONTROL, "doors": doors}
        self.process = testbed.start(name, "sablewheel.experiments.relay", json.dumps(spec), shifted=False)
        testbed.wait_for_port(CONTROL, self.process, host)
        self._line = socket.create_connection((host, CONTROL), PATIENCE)
        self._answers = self._line.makefile("rb")

    def set(self, sender: Iterable[str], to: Iterable[str], **what: float | bool) -> None:
        self._tell({"from": list(sender), "to": list(to), "set": what})

    def carried(self) -> dict[str, list[int]]:
        """By sender: datagrams, bytes and datagrams lost, so far."""
        return self._tell({})

    def _tell(self, told: dict[str, Any]) -> dict[str, list[int]]:
        self._line.sendall(json.dumps(told).encode() + b"\n")
        answer = self._answers.readline()
        if not answer:
            raise TestbedError(f"the relay is gone: {self.process.tail()}")
        return dict(json.loads(answer))

    def close(self) -> None:
        self._answers.close()
        self._line.close()


@dataclass(frozen=True)
class Seen:
    """One line of a member's log about its view."""

    when: float
    member: str
    what: str
    pairs: dict[str, str]


@dataclass
class Fleet:
    """`kind` is ours, a baseline, or a part broken on purpose; `place` tells fleets of one trial apart."""

    testbed: Testbed
    block: int
    kind: str
    place: int
    size: int
    seed: int
    zones: int = 3
    shifted: bool = False  # whether the testbed's clock is theirs
    keys: dict[str, object] = field(default_factory=dict)
    processes: dict[str, Process] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.names = [f"m{number}" for number in range(self.size)]
        self.relay_host = f"127.{self.block}.{self.place}.250"
        self.doors = {name: f"{self.relay_host}:{DOOR + place}" for place, name in enumerate(self.names)}
        doors = [
            {"owner": name, "port": DOOR + place, "to": f"{self.host(name)}:{PORT}"}
            for place, name in enumerate(self.names)
        ]
        self.relay = Relay(self.testbed, self.idempotency_key("relay"), self.relay_host, self.seed, doors)
        self.vm = free_port()
        self.testbed.interpreter(self.idempotency_key("vm"), self.vm)

    def idempotency_key(self, name: str) -> str:
        return f"{self.kind}{self.place}-{name}"

    def host(self, name: str) -> str:
        return f"127.{self.block}.{self.place}.{1 + self.names.index(name)}"

    def features(self, name: str) -> str:
        seeds = self.names if self.kind in ("swim", "heartbeat") else self.names[:3]
        keys: dict[str, object] = {
            "listen": f"{self.host(name)}:{PORT}",
            "advertise": self.doors[name],
            "zone": f"z{self.names.index(name) % self.zones}",
            "region": "r1",
            "seeds": "[" + ", ".join(self.doors[one] for one in seeds) + "]",
            "found-least": self.size // 2 + 1,
            **self.keys,
        }
        return "\n".join(["version: 1", "membership:", *(f"  {k}: {v}" for k, v in keys.items()), ""])

    def start(self, name: str) -> None:
        """Not waited for: whether and when it is let in is what the trial measures."""
        testbed, idempotency_key = self.testbed, self.idempotency_key(name)
        path = testbed.folder / f"{idempotency_key}.yaml"
        path.write_text(self.features(name))
        words = ["sablewheel"] if self.kind == "ours" else ["sablewheel.experiments.faulty_member", self.kind]
        told = str(
            testbed.configuration(
                idempotency_key, LISTEN, self.vm, name=name, listen=f"{self.host(name)}:{LISTEN}"
            )
        )
        self.processes[name] = testbed.start(
            idempotency_key, *words, shifted=self.shifted, RELAY_CONFIG=told, SABLEWHEEL_FEATURES=str(path)
        )

    def signal(self, name: str, number: int) -> None:
        self.processes[name].popen.send_signal(number)

    def stop(self, name: str) -> None:
        self.signal(name, signal.SIGSTOP)

    def go_on(self, name: str) -> None:
        self.signal(name, signal.SIGCONT)

    @property
    def running(self) -> list[str]:
        return [name for name in self.names if name in self.processes and self.processes[name].alive]

    def told(self, name: str, within: float = 1.0) -> StatusReply | None:
        """What the member answers a tool, on its own address and past the relay; None if nothing."""
        try:
            return query_status((self.host(name), PORT), within)[1]
        except (OSError, codec.BadPacketError):
            return None

    def agreed(self, names: Iterable[str]) -> bool:
        """Whether all of `names` hold just them, and the same view."""
        wanted, views = tuple(sorted(names)), set()
        for name in wanted:
            told = self.told(name)
            if told is None or tuple(one.name for one in told.states) != wanted:
                return False
            views.add(told.view)
        return len(views) == 1

    def wait_agreed(self, names: Iterable[str], within: float) -> float | None:
        """Seconds until all of `names` agree on just them; None if they do not."""
        names, begun = list(names), time.monotonic()
        while time.monotonic() < begun + within:
            if self.agreed(names):
                return time.monotonic() - begun
            time.sleep(0.1)
        return None

    def seen(self, since: float = 0.0, until: float = 1e18) -> Iterator[Seen]:
        """The lines about views of all members' logs, by time."""
        lines = []
        for name in self.names:
            path = self.testbed.folder / f"{self.idempotency_key(name)}.log"
            if path.exists():
                lines += [one for one in _lines(path, name) if since <= one.when <= until]
        return iter(sorted(lines, key=lambda one: one.when))


def _lines(path: Path, name: str) -> Iterator[Seen]:
    for line in path.read_text(errors="replace").splitlines():
        found = LINE.match(line)
        if found:
            words = shlex.split(found[2])
            pairs = dict(word.split("=", 1) for word in words[1:] if "=" in word)
            yield Seen(float(found[1]), name, words[0], pairs)
