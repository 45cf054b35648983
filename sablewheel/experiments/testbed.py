"""Test environment of one trial: a temporary folder, free ports and child processes.

Only processes that the testbed started are stopped at its end.
"""

from __future__ import annotations

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import psutil

from ..protocol.resp import Parser
from . import client_protocol as wire
from .shifted_clock import DOUBLE

PATIENCE = 15.0
SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "lookup", "on-time-s": 0.5, "deadline-s": 2.0, "repeat": "safe"},
        {"name": "record", "on-time-s": 0.8, "deadline-s": 2.0, "repeat": "keyed", "window-s": 6.0},
    ],
    "extra": {
        "cores": 4,
        "memory-kb": 20000.0,
        "run-factor": 4.0,
        "key-kb": 1.0,
        "halt": "drop",
        "say": "tokens",
        "said-for-s": 0.5,
        "idle-s": 30.0,
        "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
        "callers": 4,
    },
    "limits": {"retry-after": True, "max-retry-after-s": 2.0},
    "safety": {"fall-multiple": 6.0, "answer-slack-s": 0.08, "drain-grace-s": 0.4},
    "servers": 3,
    "tick-s": 0.002,
    "over-share-worth": 0.05,
}
TENANTS = {"saskatoon": 0.4, "regina": 0.3, "brandon": 0.2, "yorkton": 0.1}
REQUEST_CLASSES = {"lookup": {"share": 0.6}, "record": {"share": 0.4, "keyed": True}}
WORK = {"lookup": 0.02, "record": 0.03}


class TestbedError(RuntimeError):
    """A part of the testbed itself did not start."""

    __test__ = False


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return int(listener.getsockname()[1])


class Process:
    """One child process and its log file.

    `usage` returns the last values read before its exit once the process has ended.
    """

    def __init__(self, arguments: list[str], log: Path, environment: dict[str, str]) -> None:
        self.log = log
        with log.open("ab") as out:
            self.popen = subprocess.Popen(
                arguments, stdout=out, stderr=out, env={**os.environ, **environment}
            )
        self._ps = psutil.Process(self.popen.pid)
        self._last_usage = (0.0, 0.0)

    @property
    def alive(self) -> bool:
        return self.popen.poll() is None

    def usage(self) -> tuple[float, float]:
        """Return the CPU time in seconds and the resident memory in MB."""
        with contextlib.suppress(psutil.Error):
            times = self._ps.cpu_times()
            self._last_usage = (times.user + times.system, self._ps.memory_info().rss / 1e6)
        return self._last_usage

    def kill(self) -> None:
        if self.alive:
            self.popen.kill()
        self.popen.wait(PATIENCE)

    def leave(self) -> int:
        """Send SIGTERM and return the exit code; kill the process if it does not exit in time."""
        if self.alive:
            self.popen.send_signal(signal.SIGTERM)
        try:
            return self.popen.wait(PATIENCE)
        except subprocess.TimeoutExpired:
            self.popen.kill()
            return self.popen.wait(PATIENCE)

    def tail(self, lines: int = 5) -> str:
        return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])


class Testbed:
    """Context manager that kills all its processes on exit and deletes its folder unless `keep`."""

    __test__ = False  # pytest would take the imported class for a test

    def __init__(self, seed: int, keep: bool = False) -> None:
        self.seed, self._keep = seed, keep
        self.folder = Path(tempfile.mkdtemp(prefix="sablewheel-trial-"))
        self.processes: list[Process] = []
        self.clock = self.folder / "clock"
        self.clock.write_bytes(DOUBLE.pack(0.0))
        self.naming = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.naming.bind(("127.0.0.1", 0))

    def __enter__(self) -> Testbed:
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            if process.alive:
                process.popen.kill()
        for process in self.processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.popen.wait(5)
        self.naming.close()
        if not self._keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def shift(self, seconds: float) -> None:
        """Set the clocks of all processes started with `shifted` to the system clock plus `seconds`."""
        with self.clock.open("r+b") as file:
            file.write(DOUBLE.pack(seconds))

    def start(
        self, name: str, module: str, *arguments: str, shifted: bool = True, **environment: str
    ) -> Process:
        module_arguments = (
            ["-m", "sablewheel.experiments.shifted_clock", str(self.clock), module]
            if shifted
            else ["-m", module]
        )
        process = Process(
            [sys.executable, *module_arguments, *arguments], self.folder / f"{name}.log", environment
        )
        self.processes.append(process)
        return process

    # -- starting processes

    def interpreter(self, name: str, port: int, shifted: bool = False, **overrides: Any) -> Process:
        spec = {
            "port": port,
            "cores": 4,
            "work": WORK,
            "log": str(self.folder / f"{name}.runs"),
            "seed": self.seed,
            **overrides,
        }
        module = "sablewheel.experiments.interpreter"
        process = self.start(f"{name}-vm", module, json.dumps(spec), shifted=shifted)
        self.wait_for_port(port, process)
        return process

    def router(self, name: str, servers: Iterable[str], **overrides: Any) -> Process:
        spec = {
            "servers": list(servers),
            "tenants": TENANTS,
            "request_classes": REQUEST_CLASSES,
            "seed": self.seed,
            "log": str(self.folder / f"{name}.held"),
            **overrides,
        }
        return self.start(name, "sablewheel.experiments.router", json.dumps(spec))

    def configuration(self, name: str, port: int, vm: int, /, **changes: Any) -> Path:
        settings = {**json.loads(json.dumps(SETTINGS)), **changes.pop("settings", {})}
        settings["orgs"] = [
            {"name": tenant, "quota-rps": 300 * share, "fraction": share} for tenant, share in TENANTS.items()
        ]
        configuration = {
            "name": name,
            "listen": f"127.0.0.1:{port}",
            "vm": f"127.0.0.1:{vm}",
            "naming": f"127.0.0.1:{self.naming.getsockname()[1]}",
            "seed": f"{self.seed:x}",
            "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
            **changes,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(configuration))
        return path

    def server(
        self,
        name: str,
        port: int,
        vm: int,
        features: str | None,
        module: tuple[str, ...] = ("sablewheel",),
        **changes: Any,
    ) -> Process:
        """Start a server and wait until it is up.

        `features` is the text of its features file (None: no such file), `module` the module to run and its
        arguments.
        """
        environment = {"RELAY_CONFIG": str(self.configuration(name, port, vm, **changes))}
        if features is not None:
            path = self.folder / f"{name}.yaml"
            path.write_text(features)
            environment["SABLEWHEEL_FEATURES"] = str(path)
        process = self.start(name, *module, shifted=True, **environment)
        self.wait_until_up(port, process)
        return process

    def wait_for_port(self, port: int, process: Process, host: str = "127.0.0.1") -> None:
        deadline = time.monotonic() + PATIENCE
        while time.monotonic() < deadline and process.alive:
            with contextlib.suppress(OSError), socket.create_connection((host, port), 1.0):
                return
            time.sleep(0.02)
        raise TestbedError(f"no process accepts connections on port {port}: {process.tail()}")

    def wait_until_up(self, port: int, process: Process) -> None:
        deadline = time.monotonic() + PATIENCE
        while time.monotonic() < deadline and process.alive:
            with (
                contextlib.suppress(OSError),
                socket.create_connection(("127.0.0.1", port), 1.0) as connection,
            ):
                connection.sendall(wire.check(1))
                answers = Parser().feed(connection.recv(4096))
                if answers and answers[0][1] == b"UP":
                    return
            time.sleep(0.02)
        raise TestbedError(f"the server on port {port} did not start serving: {process.tail()}")

    # -- reading results

    def held(self, name: str) -> Iterator[dict[str, Any]]:
        """Yield the records that the router of that name wrote about its attempts."""
        with (self.folder / f"{name}.held").open() as file:
            for line in file:
                yield json.loads(line)

    def runs(self, name: str) -> Iterator[tuple[str, str, float]]:
        """Yield an interpreter's run events in order: event, request name and time (monotonic, seconds)."""
        path = self.folder / f"{name}.runs"
        if path.exists():
            with path.open() as file:
                for line in file:
                    event, request, when = line.split()
                    yield event, request, float(when)

    def counters(self, process: Process) -> dict[str, str]:
        """Return the last counters line of a server's log; empty if there is none."""
        for line in reversed(process.log.read_text(errors="replace").splitlines()):
            if "event=counters" in line:
                return dict(pair.split("=", 1) for pair in line.split(" ") if "=" in pair)
        return {}
