"""A simulated interpreter after its published specification: cores, runs, numbered notices and a run log.

    python -m sablewheel.experiments.interpreter '{"port": 6100, "cores": 4, "work": {"lookup": 0.02}, ...}'

The run log has a line for the begin and one for the end of each run, written before any notice of it is sent.
With `result_bytes` in its specification, a pair of sizes, the size of each result is drawn from the name of
its request, evenly on a logarithmic scale.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import time
from collections import deque
from typing import Any

MAX_NOTICES = 4000


class Interpreter:
    """One interpreter; `fail` in its specification is the share of runs that end in an error."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.cores, self.work = int(spec["cores"]), dict(spec["work"])
        self.random = random.Random(spec.get("seed", 1))
        self.fail = float(spec.get("fail", 0.0))
        self.result_bytes: list[int] | None = spec.get("result_bytes")
        self.run_log = os.open(spec["log"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.started = time.monotonic()
        self.survives_restart = bool(spec.get("outlives"))  # runs and notices survive a restart of the server
        self.extra_age_ms = 1000 * float(spec.get("age", 60.0))  # ms added to the reported age
        self.queue: deque[tuple[bytes, bytes, bytes]] = deque()  # runs queued for a core
        self.running: dict[bytes, asyncio.Task[None]] = {}
        self.notices: deque[bytes] = deque(maxlen=MAX_NOTICES)
        self.last_notice = 0
        self.link: asyncio.StreamWriter | None = None

    def log_run(self, event: str, name: bytes) -> None:
        os.write(self.run_log, f"{event} {name.decode()} {time.monotonic():.6f}\n".encode())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.rstrip(b"\r\n").split(b" ")
                body = b""
                if words[0] == b"APPLY":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                self.handle_command(words, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def handle_command(self, words: list[bytes], body: bytes, writer: asyncio.StreamWriter) -> None:
        match words:
            case [b"CONNECT", last]:
                self.link = writer
                if (
                    last == b"0" and not self.survives_restart
                ):  # a new server process: runs that its predecessor began are cancelled
                    for name, task in self.running.items():
                        task.cancel()
                        self.log_run("left", name)
                    self.running.clear()
                    self.queue.clear()
                    self.notices.clear()
                    self.last_notice = 0
                age = (time.monotonic() - self.started) * 1000 + self.extra_age_ms
                writer.write(b"BANNER steady %d\r\n" % age)
                missed = self.last_notice - int(last)
                writer.write(b"".join(list(self.notices)[-missed:] if missed > 0 else []))
            case [b"APPLY", name, request_class, _]:
                # A request whose run has ended may run again: it is complete only once its answer is written.
                if name not in self.running and all(name != queued for queued, *_ in self.queue):
                    if len(self.running) < self.cores:
                        self.begin(name, request_class, body)
                    else:
                        self.queue.append((name, request_class, body))
            case [b"BREAK", name]:
                if name in self.running:
                    self.running.pop(name).cancel()
                    self.end(name, b"interrupted", 0.0, b"")
                else:
                    remaining = deque(entry for entry in self.queue if entry[0] != name)
                    if len(remaining) < len(self.queue):
                        self.queue = remaining
                        self.send_notice(name, b"interrupted", 0.0, b"")
            case [b"TOP", tag]:
                busy = min(len(self.running) / self.cores, 1.0)
                writer.write(b"TOPS %b %.3f %d 0.1 3\r\n" % (tag, busy, len(self.queue)))
            case _:
                writer.close()

    def begin(self, name: bytes, request_class: bytes, body: bytes) -> None:
        self.log_run("begin", name)
        self.running[name] = asyncio.get_running_loop().create_task(self.run(name, request_class, body))

    async def run(self, name: bytes, request_class: bytes, body: bytes) -> None:
        work_s = self.work[request_class.decode()] * self.random.uniform(0.7, 1.3)
        await asyncio.sleep(work_s)
        self.running.pop(name, None)
        failed = self.random.random() < self.fail
        self.log_run("failure" if failed else "success", name)
        result = b"" if failed else self.pad(name, b"made by " + name + b" of " + body)
        self.end(name, b"failure" if failed else b"success", work_s, result)

    def pad(self, name: bytes, result: bytes) -> bytes:
        """Return a result extended to the size that is drawn for its request."""
        if self.result_bytes is None:
            return result
        smallest, largest = self.result_bytes
        size = round(smallest * (largest / smallest) ** random.Random(name).random())
        return result.ljust(size, b".")

    def end(self, name: bytes, outcome: bytes, work_s: float, result: bytes) -> None:
        self.send_notice(name, outcome, work_s, result)
        while self.queue and len(self.running) < self.cores:
            self.begin(*self.queue.popleft())

    def send_notice(self, name: bytes, outcome: bytes, work_s: float, result: bytes) -> None:
        self.last_notice += 1
        notice = b"VALUE %d %b %b %.3f %d\r\n%b\r\n" % (
            self.last_notice,
            name,
            outcome,
            work_s * 1000,
            len(result),
            result,
        )
        self.notices.append(notice)
        if self.link is not None and not self.link.is_closing():
            self.link.write(notice)


async def main(spec: dict[str, Any]) -> None:
    interpreter = Interpreter(spec)
    server = await asyncio.start_server(interpreter.serve, "127.0.0.1", int(spec["port"]))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
