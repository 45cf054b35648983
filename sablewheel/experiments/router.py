"""Simulated routers and their clients: send attempts at a given rate and record the answers.

    python -m sablewheel.experiments.router '{"servers": ["127.0.0.1:7001"], "rate": 100, "seconds": 5, ...}'

Each attempt is written to the log as a line of JSON once it is answered, cancelled or lost. Further keys of
the specification: `seed`, `tenants` (name to share), `request_classes` (name to share and whether it is
keyed), `repeats` (share of keyed attempts that repeat an earlier idempotency key), `cancels` (share cancelled
within `patience` seconds), `bursts` (tenant as `customer`, from, to, times).
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import deque
from hashlib import blake2b
from typing import Any

from . import client_protocol as wire

MAX_OPEN_ATTEMPTS = 30
MAX_LINKS = 12
MAX_RECORDED_BYTES = 1024  # of a result in the log


def recorded_result(result: bytes) -> str:
    """Return a result as it is recorded: its text, or its digest if it is long."""
    return result.decode() if len(result) <= MAX_RECORDED_BYTES else blake2b(result).hexdigest()


class Link:
    """One connection to one server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.open: dict[int, dict[str, Any]] = {}
        self.answered_tags: set[int] = set()
        self.tag = 0
        self.draining = False

    @property
    def usable(self) -> bool:
        return not self.draining and not self.writer.is_closing() and len(self.open) < MAX_OPEN_ATTEMPTS


class Routers:
    """All simulated routers, in one process."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.spec = spec
        self.chance = random.Random(spec.get("seed", 1))
        self.links: dict[str, list[Link]] = {server: [] for server in spec["servers"]}
        self.log = open(spec["log"], "a", buffering=1 << 16)  # noqa: SIM115  open until `run` ends
        # Recent keyed requests: key, body, tenant, request class and time of the first attempt.
        self.keyed: dict[str, deque[tuple[bytes, bytes, str, str, float]]] = {
            server: deque(maxlen=1000) for server in spec["servers"]
        }
        self.late: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        spec, loop = self.spec, asyncio.get_running_loop()
        started, next_send = loop.time(), 0.0
        rate, seconds = float(spec["rate"]), float(spec["seconds"])
        while (now := loop.time() - started) < seconds:
            factor = max(
                [burst["times"] for burst in spec.get("bursts", []) if burst["from"] <= now < burst["to"]]
                + [1]
            )
            next_send += self.chance.expovariate(rate * factor)
            if next_send > now:
                await asyncio.sleep(next_send - now)
            await self.send(now)
        await asyncio.sleep(0.05)
        deadline = loop.time() + float(spec.get("patience_end", 8.0))
        while any(link.open for links in self.links.values() for link in links) and loop.time() < deadline:
            await asyncio.sleep(0.05)
        for links in self.links.values():
            for link in links:
                self.record_all(link, "unanswered")
        self.log.close()

    def tenant(self, now: float) -> str:
        for burst in self.spec.get("bursts", []):
            if burst["from"] <= now < burst["to"] and self.chance.random() < 1 - 1 / burst["times"]:
                return str(burst["customer"])
        names = self.spec["tenants"]
        return str(self.chance.choices(list(names), list(names.values()))[0])

    async def send(self, now: float) -> None:
        server = str(self.chance.choice(self.spec["servers"]))
        request_classes = self.spec["request_classes"]
        request_class = self.chance.choices(
            list(request_classes), [entry["share"] for entry in request_classes.values()]
        )[0]
        name = b"%016x" % self.chance.getrandbits(64)
        tenant, idempotency_key, body = self.tenant(now), b"", b"body of " + name
        if request_classes[request_class].get("keyed"):
            recent = self.keyed[server]
            oldest = time.monotonic() - float(self.spec.get("repeat_within", 1.0))
            while recent and recent[0][4] < oldest:
                recent.popleft()
            if recent and self.chance.random() < float(self.spec.get("repeats", 0.0)):
                idempotency_key, body, tenant, request_class, _ = self.chance.choice(recent)
            else:
                idempotency_key = b"%032x" % self.chance.getrandbits(128)
                recent.append((idempotency_key, body, tenant, request_class, time.monotonic()))
        await self.try_at(server, request_class, name, tenant, idempotency_key, body)

    async def try_at(
        self, server: str, request_class: str, name: bytes, tenant: str, idempotency_key: bytes, body: bytes
    ) -> None:
        """Send one attempt, if there is a usable link to that server."""
        link = await self.link(server)
        if link is None:
            return
        link.tag += 1
        attempt = {
            "name": name.decode(),
            "customer": tenant,
            "track": request_class,
            "server": server,
            "label": idempotency_key.decode(),
            "sent": time.time(),
            "from": time.monotonic(),
        }
        link.open[link.tag] = attempt
        link.writer.write(
            wire.call(
                link.tag, name, request_class.encode(), time.time(), body, tenant.encode(), idempotency_key
            )
        )
        if self.chance.random() < float(self.spec.get("cancels", 0.0)):
            task = asyncio.get_running_loop().create_task(self.cancel_later(link, link.tag))
            self.late.add(task)
            task.add_done_callback(self.late.discard)

    async def cancel_later(self, link: Link, tag: int) -> None:
        await asyncio.sleep(self.chance.uniform(0.0, float(self.spec.get("patience", 0.05))))
        attempt = link.open.pop(tag, None)
        if attempt is not None:
            link.writer.write(wire.cancel(tag))
            self.record(attempt, "withdrawn")

    async def link(self, server: str) -> Link | None:
        links = self.links[server]
        for link in links:
            if link.usable:
                return link
        if len(links) >= MAX_LINKS:
            return None
        host, _, port = server.rpartition(":")
        try:
            new_link = Link(*await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0))
        except (OSError, TimeoutError):
            return None
        links.append(new_link)
        task = asyncio.get_running_loop().create_task(self.read(server, new_link))
        self.late.add(task)
        task.add_done_callback(self.late.discard)
        return new_link

    async def read(self, server: str, link: Link) -> None:
        parser = wire.AnswerParser()
        try:
            while data := await link.reader.read(1 << 16):
                for words in parser.feed(data):
                    if words[0] == b"0":
                        link.draining = True
                    else:
                        self.handle_answer(link, words)
                if link.draining and not link.open:
                    break
        except (OSError, ValueError):
            pass
        self.links[server].remove(link)
        self.record_all(link, "lost")
        link.writer.close()

    def handle_answer(self, link: Link, words: list[bytes]) -> None:
        tag = int(words[0])
        attempt = link.open.pop(tag, None)
        if attempt is None:
            if tag in link.answered_tags:  # an answer may cross a cancel, but a tag is answered once
                self.record({"name": "", "tag": tag}, "second")
            return
        link.answered_tags.add(tag)
        if words[1] == b"OK":
            attempt["result"] = recorded_result(words[3])
        fields = words[2].decode() if len(words) > 2 else ""
        if "cooldown=" in fields:
            attempt["come_back"] = True
        self.record(attempt, {b"OK": "completed", b"BUSY": "denied"}.get(words[1], "terminated"))

    def record_all(self, link: Link, outcome: str) -> None:
        for attempt in link.open.values():
            self.record(attempt, outcome)
        link.open.clear()

    def record(self, attempt: dict[str, Any], outcome: str) -> None:
        attempt["how"], attempt["at"], attempt["until"] = outcome, time.time(), time.monotonic()
        self.log.write(json.dumps(attempt) + "\n")


if __name__ == "__main__":
    asyncio.run(Routers(json.loads(sys.argv[1])).run())
