"""A fleet of real servers with membership enabled, whose links all pass through the fault relay."""

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

PORT = 7700  # membership port of each member, on a loopback address of its own
LISTEN = 7701  # request port of each member
DOOR = 7800  # first endpoint port of the relay
CONTROL = 7799  # control port of the relay
VIEW_LOG_LINE = re.compile(r"^time=(\S+) level=\S+ from=membership\.service\.view event=(.*)$")


class Block:
    """A block 127.`second`.0.0/16 of loopback addresses, reserved for one trial until it is closed.

    With its own addresses a trial can use fixed ports: a free port that it looked up could be taken by
    another process before it is bound.
    """

    def __init__(self) -> None:
        for second in range(32, 224):
            self._reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                self._reservation.bind((f"127.{second}.255.254", CONTROL))
            except OSError:
                self._reservation.close()
                continue
            self.second = second
            return
        raise TestbedError("no block of loopback addresses is free")

    def close(self) -> None:
        self._reservation.close()


class Relay:
    """The relay process and the connection to its control port."""

    def __init__(
        self, testbed: Testbed, name: str, host: str, seed: int, doors: list[dict[str, Any]]
    ) -> None:
        spec = {"seed": seed, "host": host, "control": CONTROL, "doors": doors}
        self.process = testbed.start(name, "sablewheel.experiments.relay", json.dumps(spec), shifted=False)
        testbed.wait_for_port(CONTROL, self.process, host)
        self._connection = socket.create_connection((host, CONTROL), PATIENCE)
        self._answers = self._connection.makefile("rb")

    def set(self, sender: Iterable[str], to: Iterable[str], **faults: float | bool) -> None:
        self._send_command({"from": list(sender), "to": list(to), "set": faults})

    def traffic(self) -> dict[str, list[int]]:
        """Return the datagrams, bytes and lost datagrams so far, by sender."""
        return self._send_command({})

    def _send_command(self, command: dict[str, Any]) -> dict[str, list[int]]:
        self._connection.sendall(json.dumps(command).encode() + b"\n")
        answer = self._answers.readline()
        if not answer:
            raise TestbedError(f"the relay closed its control connection: {self.process.tail()}")
        return dict(json.loads(answer))

    def close(self) -> None:
        self._answers.close()
        self._connection.close()


@dataclass(frozen=True)
class ViewLogLine:
    """One line about the view in a member's log; `when` is in Unix seconds."""

    when: float
    member: str
    event: str
    pairs: dict[str, str]


@dataclass
class Fleet:
    """The members of one fleet and their relay.

    `kind` is "ours", a baseline or a faulty variant; `place` distinguishes the fleets of one trial and is the
    third number of their addresses.
    """

    testbed: Testbed
    block: int
    kind: str
    place: int
    size: int
    seed: int
    zones: int = 3
    shifted: bool = False  # whether the members run with the testbed's clock
    keys: dict[str, object] = field(default_factory=dict)
    processes: dict[str, Process] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.names = [f"m{number}" for number in range(self.size)]
        self.relay_host = f"127.{self.block}.{self.place}.250"
        self.doors = {name: f"{self.relay_host}:{DOOR + index}" for index, name in enumerate(self.names)}
        doors = [
            {"owner": name, "port": DOOR + index, "to": f"{self.host(name)}:{PORT}"}
            for index, name in enumerate(self.names)
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
            "seeds": "[" + ", ".join(self.doors[seed] for seed in seeds) + "]",
            "found-least": self.size // 2 + 1,
            **self.keys,
        }
        return "\n".join(["version: 1", "membership:", *(f"  {k}: {v}" for k, v in keys.items()), ""])

    def start(self, name: str) -> None:
        """Start a member without waiting for it: the trial measures whether and when it is admitted."""
        testbed, process_name = self.testbed, self.idempotency_key(name)
        path = testbed.folder / f"{process_name}.yaml"
        path.write_text(self.features(name))
        module = (
            ["sablewheel"] if self.kind == "ours" else ["sablewheel.experiments.faulty_member", self.kind]
        )
        configuration = str(
            testbed.configuration(
                process_name, LISTEN, self.vm, name=name, listen=f"{self.host(name)}:{LISTEN}"
            )
        )
        self.processes[name] = testbed.start(
            process_name,
            *module,
            shifted=self.shifted,
            RELAY_CONFIG=configuration,
            SABLEWHEEL_FEATURES=str(path),
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

    def status(self, name: str, timeout_s: float = 1.0) -> StatusReply | None:
        """Query the member's status at its own address, bypassing the relay; None if it does not answer."""
        try:
            return query_status((self.host(name), PORT), timeout_s)[1]
        except (OSError, codec.BadPacketError):
            return None

    def agreed(self, names: Iterable[str]) -> bool:
        """Whether all of `names` have the same view, and it has exactly these members."""
        members, views = tuple(sorted(names)), set()
        for name in members:
            status = self.status(name)
            if status is None or tuple(state.name for state in status.states) != members:
                return False
            views.add(status.view)
        return len(views) == 1

    def wait_agreed(self, names: Iterable[str], within: float) -> float | None:
        """Wait until all of `names` agree on exactly these members.

        Returns the seconds that it took; None if they did not agree within `within` seconds.
        """
        names, started = list(names), time.monotonic()
        while time.monotonic() < started + within:
            if self.agreed(names):
                return time.monotonic() - started
            time.sleep(0.1)
        return None

    def view_log_lines(self, since: float = 0.0, until: float = 1e18) -> Iterator[ViewLogLine]:
        """Return the lines about views in the logs of all members, ordered by time."""
        lines = []
        for name in self.names:
            path = self.testbed.folder / f"{self.idempotency_key(name)}.log"
            if path.exists():
                lines += [line for line in _parse_log(path, name) if since <= line.when <= until]
        return iter(sorted(lines, key=lambda line: line.when))


def _parse_log(path: Path, name: str) -> Iterator[ViewLogLine]:
    for line in path.read_text(errors="replace").splitlines():
        match = VIEW_LOG_LINE.match(line)
        if match:
            words = shlex.split(match[2])
            pairs = dict(word.split("=", 1) for word in words[1:] if "=" in word)
            yield ViewLogLine(float(match[1]), name, words[0], pairs)
