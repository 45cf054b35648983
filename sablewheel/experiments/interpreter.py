"""A stand-in for the interpreter, after its published page: cores, runs, numbered notices, and a list of all
runs.

    python -m sablewheel.experiments.interpreter '{"port": 6100, "cores": 4, "work": {"lookup": 0.02}, ...}'

The list has a line for each run that began and one for each that ended, written before anybody is told.
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

KEPT = 4000


class Interpreter:
    """One process that does the work. `slow` multiplies work; `fail` is the share of runs that end in an
    error.
    """

    def __init__(self, told: dict[str, Any]) -> None:
        self.cores, self.work = int(told["cores"]), dict(told["work"])
        self.scatter = random.Random(told.get("seed", 1))
        self.fail = float(told.get("fail", 0.0))
        self.log = os.open(told["log"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self.born = time.monotonic()
        self.outlives = bool(told.get("outlives"))  # runs and notices go on through a restart of the server
        self.age = 1000 * float(told.get("age", 60.0))  # it says that it is so much older than it is
        self.line: deque[tuple[bytes, bytes, bytes]] = deque()  # queued for a core
        self.running: dict[bytes, asyncio.Task[None]] = {}
        self.notices: deque[bytes] = deque(maxlen=KEPT)
        self.number = 0
        self.link: asyncio.StreamWriter | None = None

    def note(self, word: str, name: bytes) -> None:
        os.write(self.log, f"{word} {name.decode()} {time.monotonic():.6f}\n".encode())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.rstrip(b"\r\n").split(b" ")
                body = b""
                if words[0] == b"APPLY":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                self.obey(words, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    def obey(self, words: list[bytes], body: bytes, writer: asyncio.StreamWriter) -> None:
        match words:
            case [b"CONNECT", last]:
                self.link = writer
                if (
                    last == b"0" and not self.outlives
                ):  # an app server that starts: what its predecessor began is nobody's now
                    for name, task in self.running.items():
                        task.cancel()
                        self.note("left", name)
                    self.running.clear()
                    self.line.clear()
                    self.notices.clear()
                    self.number = 0
                age = (time.monotonic() - self.born) * 1000 + self.age
                writer.write(b"BANNER steady %d\r\n" % age)
                missed = self.number - int(last)
                writer.write(b"".join(list(self.notices)[-missed:] if missed > 0 else []))
            case [b"APPLY", name, request_class, _]:
                # One whose run has ended begins again: the request is not over before its answer is written.
                if name not in self.running and all(name != queued for queued, *_ in self.line):
                    if len(self.running) < self.cores:
                        self.begin(name, request_class, body)
                    else:
                        self.line.append((name, request_class, body))
            case [b"BREAK", name]:
                if name in self.running:
                    self.running.pop(name).cancel()
                    self.end(name, b"interrupted", 0.0, b"")
                else:
                    kept = deque(one for one in self.line if one[0] != name)
                    if len(kept) < len(self.line):
                        self.line = kept
                        self.tell(name, b"interrupted", 0.0, b"")
            case [b"TOP", tag]:
                busy = min(len(self.running) / self.cores, 1.0)
                writer.write(b"TOPS %b %.3f %d 0.1 3\r\n" % (tag, busy, len(self.line)))
            case _:
                writer.close()

    def begin(self, name: bytes, request_class: bytes, body: bytes) -> None:
        self.note("begin", name)
        self.running[name] = asyncio.get_running_loop().create_task(self.run(name, request_class, body))

    async def run(self, name: bytes, request_class: bytes, body: bytes) -> None:
        work = self.work[request_class.decode()] * self.scatter.uniform(0.7, 1.3)
        await asyncio.sleep(work)
        self.running.pop(name, None)
        failed = self.scatter.random() < self.fail
        self.note("failure" if failed else "success", name)
        result = b"" if failed else b"made by " + name + b" of " + body
        self.end(name, b"failure" if failed else b"success", work, result)

    def end(self, name: bytes, how: bytes, took: float, result: bytes) -> None:
        self.tell(name, how, took, result)
        while self.line and len(self.running) < self.cores:
            self.begin(*self.line.popleft())

    def tell(self, name: bytes, how: bytes, took: float, result: bytes) -> None:
        self.number += 1
        notice = b"VALUE %d %b %b %.3f %d\r\n%b\r\n" % (
            self.number,
            name,
            how,
            took * 1000,
            len(result),
            result,
        )
        self.notices.append(notice)
        if self.link is not None and not self.link.is_closing():
            self.link.write(notice)


async def main(told: dict[str, Any]) -> None:
    interpreter = Interpreter(told)
    server = await asyncio.start_server(interpreter.serve, "127.0.0.1", int(told["port"]))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
