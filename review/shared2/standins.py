"""Stand-ins for the cases of the second review, after the users' pages: interpreter, routers, name service.

The server under test is started with the `run` command of `deploy/balancer.toml`. Everything listens on
loopback addresses and free ports. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
START_TIMEOUT_S = 15.0
PLAY_TIMEOUT_S = 112.0
WRITERS: list[asyncio.StreamWriter] = []  # closed at the end of the case
MAX_NOTICES = 4000
AIRPORTS = {
    "saskatoon-intl": 0.19,
    "regina-intl": 0.17,
    "brandon-muni": 0.15,
    "prince-albert": 0.14,
    "lloydminster": 0.11,
    "swift-current": 0.099,
    "yorkton-muni": 0.077,
    "north-battleford": 0.069,
}


class NotRunError(RuntimeError):
    """The case could not be run here, which says nothing about the rule."""


def trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now for TCP and UDP."""
    for _ in range(100):
        with socket.create_server((host, 0)) as listener:
            port = int(listener.getsockname()[1])
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                try:
                    datagrams.bind((host, port))
                except OSError:
                    continue
                return port
    raise NotRunError("no free port")


class Record:
    """What was sent, answered and run, as lines in `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._started = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self.write(f"trouble={int(trouble())}")

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line to the file and to standard output."""
        self.write(text)
        print(text, flush=True)


# -- the interpreter


@dataclass(eq=False)
class Run:
    """One run of the interpreter."""

    name: str
    body: bytes
    started_at: float
    ended_at: float = 0.0


class Interpreter:
    """The interpreter as PROTOCOL.md has it. All runs share the cores, so each simply takes its work time.

    `work_s` returns the work of a request by its class and body. `over` holds the ids of the requests that
    are answered or given up, for which nothing is started. It dies and restarts with its app server.
    """

    def __init__(self, record: Record, name: str, work_s: Callable[[str, bytes], float]) -> None:
        self.record, self.name, self.work_s = record, name, work_s
        self.port = free_port()
        self.runs: list[Run] = []
        self.running: dict[str, asyncio.Task[None]] = {}
        self.over: set[str] = set()
        self._notices: deque[bytes] = deque(maxlen=MAX_NOTICES)
        self._last_notice = 0
        self._link: asyncio.StreamWriter | None = None
        self._server: asyncio.Server | None = None
        self._started_at = time.monotonic() - 60.0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen for the app server."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def forget(self) -> None:
        """Drop all runs and notices: the interpreter died together with its app server."""
        for name, task in self.running.items():
            task.cancel()
            self.record.write(f"{self.name} died while it ran {name}")
        self.running.clear()
        self._notices.clear()
        self._last_notice = 0
        if self._link is not None:
            self._link.close()
            self._link = None

    async def close(self) -> None:
        """Stop listening."""
        self.forget()
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        WRITERS.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.rstrip(b"\r\n").split(b" ")
                body = b""
                if words[0] == b"APPLY":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                if not self._handle(words, body, writer):
                    break
        writer.close()

    def _handle(self, words: list[bytes], body: bytes, writer: asyncio.StreamWriter) -> bool:
        match words:
            case [b"CONNECT", last]:
                self._link = writer
                age_ms = (time.monotonic() - self._started_at) * 1000
                writer.write(b"BANNER steady %d\r\n" % age_ms)
                missed = self._last_notice - int(last)
                writer.write(b"".join(list(self._notices)[-missed:] if missed > 0 else []))
            case [b"APPLY", name, request_class, _]:
                self._apply(name.decode(), request_class.decode(), body)
            case [b"BREAK", name]:
                task = self.running.pop(name.decode(), None)
                if task is not None:
                    task.cancel()
                    self._end(name.decode(), b"interrupted", 0.0, b"")
            case [b"TOP", tag]:
                busy = min(len(self.running) / 6, 1.0)
                writer.write(b"TOPS %b %.3f %d 0.1 3\r\n" % (tag, busy, len(self.running)))
            case _:
                return False
        return True

    def _apply(self, name: str, request_class: str, body: bytes) -> None:
        if name in self.running:
            return
        if name in self.over:
            self._end(name, b"nothing", 0.0, b"")
            return
        run = Run(name, body, time.monotonic())
        self.runs.append(run)
        self.record.write(f"{self.name} runs {name} {body[:60].decode('ascii', 'replace')}")
        task = asyncio.get_running_loop().create_task(self._run(run, self.work_s(request_class, body)))
        self.running[name] = task

    async def _run(self, run: Run, work_s: float) -> None:
        await asyncio.sleep(work_s)
        self.running.pop(run.name, None)
        run.ended_at = time.monotonic()
        self.record.write(f"{self.name} ended {run.name}")
        self._end(run.name, b"success", work_s, b"made by %b" % run.name.encode())

    def _end(self, name: str, how: bytes, work_s: float, result: bytes) -> None:
        self._last_notice += 1
        head = b"VALUE %d %b %b %.3f %d\r\n" % (
            self._last_notice,
            name.encode(),
            how,
            work_s * 1000,
            len(result),
        )
        self._notices.append(head + result + b"\r\n")
        if self._link is not None and not self._link.is_closing():
            self._link.write(self._notices[-1])


# -- routers


def frame(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


class Parser:
    """Incremental parser of arrays of bulk strings."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the arrays that `data` completes."""
        self._buffer += data
        arrays = []
        while (parsed := self._parse()) is not None:
            words, end = parsed
            del self._buffer[:end]
            arrays.append(words)
        return arrays

    def _line(self, position: int) -> tuple[int, int] | None:
        end = self._buffer.find(b"\r\n", position)
        return None if end < 0 else (int(self._buffer[position + 1 : end]), end + 2)

    def _parse(self) -> tuple[list[bytes], int] | None:
        head = self._line(0)
        if head is None:
            return None
        count, position = head
        words = []
        for _ in range(count):
            line = self._line(position)
            if line is None or len(self._buffer) < line[1] + line[0] + 2:
                return None
            words.append(bytes(self._buffer[line[1] : line[1] + line[0]]))
            position = line[1] + line[0] + 2
        return words, position


@dataclass(eq=False)
class Try:
    """One try of a request, and what became of it: `word` is empty until it is answered."""

    name: str
    request_class: str
    tenant: str
    key: str
    body: bytes
    since: float
    subject: str = ""
    allow_ms: int = 0
    sent_at: float = 0.0  # monotonic
    word: str = ""
    result: bytes = b""
    answered_at: float = 0.0
    answers: int = 0
    lost: bool = False  # the connection ended before an answer
    done: asyncio.Event = field(default_factory=asyncio.Event)


class Connection:
    """One connection of a router to an app server."""

    def __init__(self, record: Record, label: str, interpreters: Iterable[Interpreter] = ()) -> None:
        self.record, self.label = record, label
        self.tries: dict[int, Try] = {}
        self.told_to_close = False
        self.ended = False
        self._interpreters = list(interpreters)
        self._tag = 0
        self._reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self._task: asyncio.Task[None] | None = None

    async def open(self, port: int, host: str = "127.0.0.1") -> Connection:
        """Connect."""
        self._reader, self.writer = await asyncio.open_connection(host, port)
        WRITERS.append(self.writer)
        self._task = asyncio.get_running_loop().create_task(self._read())
        return self

    @property
    def open_tries(self) -> list[Try]:
        """The tries that are neither answered nor lost."""
        return [each for each in self.tries.values() if not each.word and not each.lost]

    def encode(self, each: Try) -> bytes:
        """Encode a try under the next tag, and wait for its answer from now on."""
        self._tag += 1
        self.tries[self._tag] = each
        fields = f"ref={each.name},since={int(each.since * 1000)},sender=4,room=40.0,class_rank=0.5000"
        if each.tenant:
            fields += f",project={each.tenant}"
        if each.key:
            fields += f",replay={each.key}"
        if each.subject:
            fields += f",lookup={each.subject}"
        if each.allow_ms:
            fields += f",allow={each.allow_ms}"
        each.sent_at = time.monotonic()
        self.record.write(f"{self.label} sends {each.name} {each.request_class} {each.tenant} {each.key}")
        return frame(b"RPC.CALL", b"%d" % self._tag, each.request_class.encode(), fields.encode(), each.body)

    def send(self, each: Try) -> Try:
        """Send a try."""
        self.writer.write(self.encode(each))
        return each

    async def _read(self) -> None:
        parser = Parser()
        with contextlib.suppress(OSError):
            while data := await self._reader.read(65536):
                for words in parser.feed(data):
                    self._handle(words)
        self.ended = True
        for each in self.open_tries:
            each.lost = True
            self.record.write(f"{self.label} ended without an answer to {each.name}")
            self._over(each)
        self.writer.close()

    def _handle(self, words: list[bytes]) -> None:
        tag = int(words[0])
        if not tag:
            self.told_to_close = True
            self.record.write(f"{self.label} got BYE")
            return
        each = self.tries[tag]
        each.answers += 1
        each.word, each.answered_at = words[1].decode(), time.monotonic()
        each.result = words[3] if len(words) > 3 else b""
        self.record.write(
            f"{self.label} answer {each.word} to {each.name} after {each.answered_at - each.sent_at:.3f}"
        )
        self._over(each)

    def _over(self, each: Try) -> None:
        for interpreter in self._interpreters:
            interpreter.over.add(each.name)
        each.done.set()

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.writer.close()


class Names:
    """Makes ids, keys and tries."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)

    def make(self, request_class: str, tenant: str = "", keyed: bool = False, subject: bool = False) -> Try:
        """Return a new request's first try; with `subject`, a read of something that nobody else reads."""
        name = f"{self.random.getrandbits(64):016x}"
        key = f"{self.random.getrandbits(128):032x}" if keyed else ""
        read = f"lot-{name}" if subject else ""
        return Try(name, request_class, tenant, key, f"body of {name}".encode(), time.time(), read)

    def repeat(self, each: Try) -> Try:
        """Return a further try of a request."""
        name = f"{self.random.getrandbits(64):016x}"
        return Try(name, each.request_class, each.tenant, each.key, each.body, time.time(), each.subject)


# -- the server and its surroundings


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of one lot server, with figures from the ranges of prairie-lots.toml."""
    values: dict[str, Any] = {
        "classes": [
            {"name": "lookup", "on-time-s": 1.1, "deadline-s": 4.5, "repeat": "safe", "worth": 1.0},
            {
                "name": "record",
                "on-time-s": 1.8,
                "deadline-s": 4.5,
                "repeat": "keyed",
                "window-s": 13.5,
                "worth": 2.0,
            },
        ],
        "client-habits": {"marks-retry": False},
        "extra": {
            "below": "off",
            "callers": 4,
            "cores": 6,
            "fresh-start": False,
            "gauges": ["cpu_busy", "runnable", "mem_used", "sockets"],
            "halt": "drop",
            "idle-s": 30.0,
            "key-kb": 4.0,
            "memory-kb": 30720.0,
            "passes-deadline": False,
            "run-factor": 8.0,
            "said-for-s": 1.0,
            "say": "tokens",
            "tells-gone": True,
        },
        "limits": {"retry-after": True, "max-retry-after-s": 1.0},
        "orgs": [
            {"name": name, "quota-rps": round(110 * share, 1), "fraction": share}
            for name, share in AIRPORTS.items()
        ],
        "over-share-worth": 0.05,
        "safety": {
            "answer-slack-s": 0.08,
            "cold-from": 0.3,
            "drain-grace-s": 2.5,
            "fall-multiple": 5.0,
            "fall-s": 1.5,
            "warm-up-s": 13.0,
        },
        "servers": 3,
        "tick-s": 0.002,
        "value-by": "request",
    }
    return {**values, **changes}


@dataclass(eq=False)
class Process:
    """A process that the case started, in a process group of its own."""

    popen: subprocess.Popen[bytes]
    log: Path

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal."""
        if self.alive:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.alive:
            self.popen.kill()
        self.popen.wait(10)


class Site:
    """A temporary folder, the name service, and the processes of one case."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="sablewheel-review-"))
        self.naming = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.naming.bind(("127.0.0.1", 0))
        self.naming.setblocking(False)
        self.processes: list[Process] = []
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            self.run_command = str(tomllib.load(file)["run"])

    def end_processes(self) -> None:
        """Kill all processes that the case started."""
        for process in self.processes:
            with contextlib.suppress(OSError, subprocess.TimeoutExpired):
                process.kill()

    def close(self) -> None:
        """End all processes and remove the folder."""
        self.end_processes()
        self.naming.close()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def configure(
        self, name: str, listen: str, interpreter_port: int, values: dict[str, Any], stop_ms: int = 3200
    ) -> Path:
        """Write the configuration of a server and return its file."""
        configuration = {
            "name": name,
            "listen": listen,
            "vm": f"127.0.0.1:{interpreter_port}",
            "naming": f"127.0.0.1:{self.naming.getsockname()[1]}",
            "seed": "8c1f30d27a5be964",
            "stop_ms": stop_ms,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": values,
        }
        path = self.folder / f"{name}.json"
        replacement = path.with_suffix(".new")
        replacement.write_text(json.dumps(configuration), encoding="utf-8")
        replacement.replace(path)
        return path

    def start(self, label: str, command: list[str], **environment: str) -> Process:
        """Start a process in the repository's root; its output goes to a log in the folder."""
        log = self.folder / f"{label}.log"
        variables = {**os.environ, **environment}
        variables.pop("TROUBLE", None)
        with log.open("ab") as output:
            popen = subprocess.Popen(
                command, cwd=ROOT, env=variables, stdout=output, stderr=output, stdin=subprocess.DEVNULL
            )
        process = Process(popen, log)
        self.processes.append(process)
        return process

    def serve(self, name: str, configuration: Path, features: str = "") -> Process:
        """Start an app server by the deploy file, with a features file if there is one."""
        environment = {"RELAY_CONFIG": str(configuration), "RELAY_NAME": name}
        if features:
            path = self.folder / f"{name}.yaml"
            path.write_text(features, encoding="utf-8")
            environment["SABLEWHEEL_FEATURES"] = str(path)
        return self.start(name, ["/bin/sh", "-c", self.run_command], **environment)

    async def wait_until_up(self, port: int, process: Process, host: str = "127.0.0.1") -> None:
        """Wait until the server answers a health check with UP."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and process.alive:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(host, port)
                try:
                    writer.write(frame(b"RPC.HEALTH", b"1", b""))
                    data = await asyncio.wait_for(reader.read(4096), 1.0)
                    if b"$2\r\nUP\r\n" in data:
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        tail = process.log.read_text(errors="replace")[-1500:]
        raise NotRunError(f"the server is not up: {tail}")


def needs_packages(*modules: str) -> None:
    """Raise `NotRunError` if the packages of a feature are not installed."""
    code = ";".join(f"import {module}" for module in modules)
    python = ROOT / ".venv" / "bin" / "python"
    done = subprocess.run([str(python), "-c", code], cwd=ROOT, capture_output=True, check=False)
    if done.returncode:
        reason = done.stderr.decode(errors="replace")[-200:]
        raise NotRunError(f"packages of the features are not installed: {reason}")


async def answered(tries: Iterable[Try], within_s: float) -> None:
    """Wait until all tries are answered or lost, at most `within_s` seconds."""
    waiting = [asyncio.create_task(each.done.wait()) for each in tries]
    if waiting:
        _, pending = await asyncio.wait(waiting, timeout=within_s)
        for task in pending:
            task.cancel()


def summary(tries: Iterable[Try]) -> str:
    """Return how many tries got which answer."""
    counts = Counter(each.word or ("lost" if each.lost else "unanswered") for each in tries)
    return ", ".join(f"{count} {word}" for word, count in sorted(counts.items()))


def main(case_file: str, play: Callable[[Site], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    logging.getLogger("asyncio").setLevel(logging.ERROR)  # no warnings of writes to a server that was killed
    site = Site(Path(case_file).resolve().parent)
    code = NOT_RUN

    async def play_and_close() -> bool:
        try:
            return await asyncio.wait_for(play(site), PLAY_TIMEOUT_S)
        finally:
            site.end_processes()
            for writer in WRITERS:
                writer.close()
            await asyncio.sleep(0.1)  # for the tasks that read from them to end

    try:
        code = HELD if asyncio.run(play_and_close()) else BROKEN
    except Exception as error:
        site.record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        site.close()
    site.record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[code])
    sys.exit(code)


def send_signal(site: Site, process: Process, number: signal.Signals) -> None:
    """Send a signal to a process that the case started, and record it."""
    site.record.write(f"signal {number.name}")
    process.signal(number)
