"""Stand-ins for the platform, the interpreter and the routers, for the cases of this review.

They follow the protocol page and use the standard library only. All run in one process and one event loop.
The app servers are started as separate processes, with the command `run` of the deploy file.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PYTHON = (str(ROOT / ".venv" / "bin" / "python"), "-B")
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
MAX_OPEN = 30  # requests on one connection; the protocol allows 32
MAX_NOTICES = 4000


class CaseError(RuntimeError):
    """The case could not run."""


def trouble() -> bool:
    """Return whether the case shall make its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port that is free now."""
    with socket.create_server((HOST, 0)) as listener:
        return int(listener.getsockname()[1])


class Record:
    """The file `record.txt`: a line for each event, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.time()

    def write(self, event: str, **fields: object) -> None:
        """Write a line."""
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.time() - self.started_at:9.4f} {event} {words}\n")

    def close(self) -> None:
        """Write what is buffered and close the file."""
        self._file.close()


class Interpreter:
    """The interpreter of one app server.

    Attributes:
        began: The ids of the requests that ran, each with the Unix time of its begin, in order.
        is_over: Whether the request of an id was answered, or its caller has gone; then nothing is started.
        result_bytes: The least size of a result; 4 KiB are the most that the protocol allows.
    """

    def __init__(self, name: str, record: Record, cores: int, work_s: float) -> None:
        self.name, self.cores, self.work_s = name, cores, work_s
        self.port, self.result_bytes = 0, 0
        self.began: list[tuple[str, float]] = []
        self.is_over: Callable[[str], bool] = lambda _: False
        self._record, self._server = record, None
        self._connections: set[asyncio.StreamWriter] = set()
        self.reset()

    def reset(self) -> None:
        """Begin a new life: no runs, and notices are numbered from 1."""
        self._waiting: deque[tuple[str, bytes]] = deque()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._notices: deque[bytes] = deque(maxlen=MAX_NOTICES)
        self._last_notice, self._link = 0, None
        self._started_at = time.time()

    async def start(self) -> None:
        """Listen, on the same port as before."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def kill(self) -> None:
        """End at once: the runs end with it."""
        if self._server is not None:
            self._server.close()
        for task in self._running.values():
            task.cancel()
        for writer in list(self._connections):
            writer.transport.abort()
        self.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while line := await reader.readline():
                words = line.rstrip(b"\r\n").split(b" ")
                body = b""
                if words[0] == b"APPLY":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                self._command(words, body, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    def _command(self, words: list[bytes], body: bytes, writer: asyncio.StreamWriter) -> None:
        match words:
            case [b"CONNECT", last]:
                self._link = writer
                writer.write(b"BANNER steady %d\r\n" % int((time.time() - self._started_at) * 1000))
                missed = self._last_notice - int(last)
                writer.write(b"".join(list(self._notices)[-missed:] if missed > 0 else []))
            case [b"APPLY", name, _, _]:
                self._apply(name.decode(), body)
            case [b"BREAK", name]:
                self._break(name.decode())
            case [b"TOP", tag]:
                busy = min(len(self._running) / self.cores, 1.0)
                runnable = len(self._running) + len(self._waiting)
                writer.write(b"TOPS %b %.3f %d 0.1 10\r\n" % (tag, busy, runnable))
            case _:
                writer.close()

    def _apply(self, name: str, body: bytes) -> None:
        if name in self._running or any(name == other for other, _ in self._waiting):
            return
        if self.is_over(name):
            self._notify(name, b"nothing", 0.0, b"")
        elif len(self._running) < self.cores:
            self._begin(name, body)
        else:
            self._waiting.append((name, body))

    def _break(self, name: str) -> None:
        if name in self._running:
            self._running.pop(name).cancel()
            self._notify(name, b"interrupted", 0.0, b"")
            self._begin_next()
        elif any(name == other for other, _ in self._waiting):
            self._waiting = deque(entry for entry in self._waiting if entry[0] != name)
            self._notify(name, b"interrupted", 0.0, b"")

    def _begin(self, name: str, body: bytes) -> None:
        self.began.append((name, time.time()))
        self._record.write("run", at=self.name, ref=name)
        self._running[name] = asyncio.get_running_loop().create_task(self._run(name, body))

    def _begin_next(self) -> None:
        while self._waiting and len(self._running) < self.cores:
            self._begin(*self._waiting.popleft())

    async def _run(self, name: str, body: bytes) -> None:
        await asyncio.sleep(self.work_s)
        del self._running[name]
        result = (b"made by " + name.encode() + b" of " + body).ljust(self.result_bytes, b".")
        self._notify(name, b"success", self.work_s, result)
        self._begin_next()

    def _notify(self, name: str, end: bytes, took_s: float, result: bytes) -> None:
        self._last_notice += 1
        head = b"VALUE %d %b %b %d %d" % (self._last_notice, name.encode(), end, took_s * 1000, len(result))
        notice = head + b"\r\n" + result + b"\r\n"
        self._notices.append(notice)
        if self._link is not None and not self._link.is_closing():
            self._link.write(notice)


class NameService(asyncio.DatagramProtocol):
    """The name service: takes the reports."""

    port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))
        self.port = transport.get_extra_info("sockname")[1]


class Server:
    """One app server: its configuration and its process."""

    def __init__(
        self, folder: Path, name: str, configuration: dict[str, Any], features: str, record: Record
    ) -> None:
        self.name, self.port, self._record = name, free_port(), record
        self._folder = folder
        configuration = {"name": name, "listen": f"{HOST}:{self.port}", "seed": "2a", **configuration}
        (folder / f"{name}.json").write_text(json.dumps(configuration))
        (folder / f"{name}.yaml").write_text(features)
        self._has_features, self._log = bool(features), folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, by the command of the deploy file."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {**os.environ, "RELAY_NAME": self.name, "RELAY_LISTEN": f"{HOST}:{self.port}"}
        environment["RELAY_CONFIG"] = str(self._folder / f"{self.name}.json")
        if self._has_features:
            environment["SABLEWHEEL_FEATURES"] = str(self._folder / f"{self.name}.yaml")
        with self._log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=out, stderr=out
            )
        self._record.write("started", server=self.name, pid=self.process.pid)

    @property
    def alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        """End the process outright."""
        if self.process is not None and self.alive:
            self.process.send_signal(signal.SIGKILL)
            self._record.write("killed", server=self.name)
            await self.process.wait()

    async def leave(self) -> int:
        """Give the notice to leave; return the exit code."""
        if self.process is None:
            raise CaseError(f"{self.name} was not started")
        if self.alive:
            self.process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self.process.wait(), 15)
        except TimeoutError:
            await self.kill()
            return -1

    async def wait_until_up(self, timeout_s: float = 30.0) -> None:
        """Wait until a health check is answered by the good word."""
        deadline = time.time() + timeout_s
        while time.time() < deadline:
            if not self.alive:
                break
            with contextlib.suppress(OSError, ValueError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(frame(b"RPC.HEALTH", b"1", b""))
                words = await asyncio.wait_for(read_frame(reader), 1.0)
                writer.close()
                if words[1] == b"UP":
                    return
            await asyncio.sleep(0.02)
        raise CaseError(f"{self.name} did not come up: {self.log_tail()}")

    def log_tail(self) -> str:
        """Return the end of the log."""
        return "\n".join(self._log.read_text(errors="replace").splitlines()[-5:])

    def log_text(self) -> str:
        """Return the log."""
        return self._log.read_text(errors="replace")


def frame(*words: bytes) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_frame(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one array of bulk strings.

    Raises:
        ValueError: The bytes are no such array.
        IncompleteReadError: The connection ended.
    """
    head = await reader.readuntil(b"\r\n")
    if head[:1] != b"*":
        raise ValueError(f"no array: {head!r}")
    words = []
    for _ in range(int(head[1:])):
        size = await reader.readuntil(b"\r\n")
        if size[:1] != b"$":
            raise ValueError(f"no bulk string: {size!r}")
        words.append((await reader.readexactly(int(size[1:]) + 2))[:-2])
    return words


class Try:
    """One try of a request, and what became of it.

    Attributes:
        ref: Its id.
        since: The Unix time in milliseconds at which it came to the machine.
        outcome: `OK`, `BUSY` or another word of an answer; `lost` if the connection ended without one; empty
            while it is open.
    """

    __slots__ = ("answered_at", "done", "label", "outcome", "ref", "result", "server", "since")

    def __init__(self, ref: str, label: str, server: str) -> None:
        self.ref, self.label, self.server = ref, label, server
        self.since, self.outcome, self.result, self.answered_at = 0, "", b"", 0.0
        self.done = asyncio.get_running_loop().create_future()


class Connection:
    """A router's connection to an app server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, record: Record) -> None:
        self._reader, self._writer, self._record = reader, writer, record
        self.open: dict[int, Try] = {}
        self.usable, self.resets_at_answer = True, False
        self._tag = 0
        self._task = asyncio.get_running_loop().create_task(self._read())

    def send(self, attempt: Try, request_class: str, fields: dict[str, str], body: bytes) -> None:
        """Write a request; its arrival is stamped now."""
        self._tag += 1
        self.open[self._tag] = attempt
        attempt.since = int(time.time() * 1000)
        pairs = {
            "ref": attempt.ref,
            "since": str(attempt.since),
            "room": "20.0",
            "class_rank": "0.5",
            **fields,
        }
        text = ",".join(f"{name}={value}" for name, value in pairs.items()).encode()
        self._writer.write(frame(b"RPC.CALL", b"%d" % self._tag, request_class.encode(), text, body))
        self._record.write(
            "sent", to=attempt.server, ref=attempt.ref, label=attempt.label, since=attempt.since
        )

    async def _read(self) -> None:
        try:
            while True:
                words = await read_frame(self._reader)
                if self.resets_at_answer:
                    self._reset()
                    break
                if words[0] == b"0":
                    self.usable = False
                    continue
                attempt = self.open.pop(int(words[0]), None)
                if attempt is not None:
                    attempt.result = words[3] if len(words) > 3 else b""
                    self._end(attempt, words[1].decode())
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        self.usable = False
        self._writer.close()
        for attempt in self.open.values():
            self._end(attempt, "lost")
        self.open.clear()

    def _reset(self) -> None:
        """Reset the connection: the answer that comes is lost along with everything else open on it."""
        self._record.write("reset", open=len(self.open))
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()

    def _end(self, attempt: Try, outcome: str) -> None:
        attempt.outcome, attempt.answered_at = outcome, time.time()
        self._record.write("ended", ref=attempt.ref, label=attempt.label, outcome=outcome)
        if not attempt.done.done():
            attempt.done.set_result(None)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


class Router:
    """A router: connects to an app server as it needs to, and sends tries."""

    def __init__(self, number: int, record: Record, seed: int = 1) -> None:
        self.number, self._record = number, record
        self._chance = random.Random(seed * 1000 + number)
        self._connections: dict[str, list[Connection]] = {}
        self._all: list[Connection] = []  # also those that take no more requests, but still owe answers
        self._connecting: dict[str, asyncio.Lock] = {}
        self.tries: list[Try] = []

    def new_label(self) -> str:
        """Return the mark of a new keyed request."""
        return f"{self._chance.getrandbits(128):032x}"

    async def connection(self, server: Server) -> Connection | None:
        """Return a connection with room for a request; None if the app server can't be reached now."""
        async with self._connecting.setdefault(server.name, asyncio.Lock()):
            known = self._connections.setdefault(server.name, [])
            known[:] = [connection for connection in known if connection.usable]
            for connection in known:
                if len(connection.open) < MAX_OPEN:
                    return connection
            try:
                reader, writer = await asyncio.open_connection(HOST, server.port)
            except OSError:
                return None
            connection = Connection(reader, writer, self._record)
            known.append(connection)
            self._all.append(connection)
            return connection

    async def send(
        self, server: Server, request_class: str, label: str, body: bytes, **fields: str
    ) -> Try | None:
        """Send one try; None if the app server can't be reached."""
        connection = await self.connection(server)
        if connection is None:
            return None
        attempt = Try(f"{self._chance.getrandbits(64):016x}", label, server.name)
        self.tries.append(attempt)
        if label:
            fields["replay"] = label
        connection.send(attempt, request_class, {"sender": str(self.number), **fields}, body)
        return attempt

    def reset_at_next_answer(self, server: Server) -> None:
        """Have a connection to a server reset just as the next answer comes on it."""
        for connection in self._connections.get(server.name, []):
            if connection.usable and connection.open:
                connection.resets_at_answer = True
                return

    def close(self) -> None:
        """Close all connections."""
        for connection in self._all:
            connection.close()


class Case:
    """The folder, the record and the processes of one case, all of which end with it."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.servers: list[Server] = []
        self.processes: list[asyncio.subprocess.Process] = []

    def server(self, name: str, configuration: dict[str, Any], features: str = "") -> Server:
        """Return a new app server, which is not started."""
        server = Server(self.folder, name, configuration, features, self.record)
        self.servers.append(server)
        return server

    async def end(self) -> None:
        """End all processes, and remove the folder."""
        for server in self.servers:
            await server.kill()
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.record.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def main(file: str, play: Callable[[Case], Awaitable[int]], limit_s: float = 115.0) -> int:
    """Play a case and return its exit code."""

    async def run() -> int:
        case = Case(Path(file).resolve().parent)
        try:
            return await asyncio.wait_for(play(case), limit_s)
        except (CaseError, TimeoutError, OSError) as error:
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await case.end()

    return asyncio.run(run())


if __name__ == "__main__":
    sys.exit("this is a module")
