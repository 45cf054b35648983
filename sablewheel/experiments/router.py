"""A stand-in for routers and the clients behind them: sends tries at a rate and keeps what it was answered.

    python -m sablewheel.experiments.router '{"servers": ["127.0.0.1:7001"], "rate": 100, "seconds": 5, ...}'

Each try becomes a line of JSON in the log once it is answered, withdrawn or lost. Further keys: `seed`,
`tenants` (name to share), `request_classes` (name to share and whether it is keyed), `repeats` (share of
keyed tries that come again), `cancels` (share withdrawn after `patience`), `bursts` (tenant, from, to,
times).
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections import deque
from typing import Any

from ..protocol.resp import Parser, ProtocolError
from . import client_protocol as wire

OPEN_MOST = 30
LINKS_MOST = 12


class Link:
    """One connection to one server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.open: dict[int, dict[str, Any]] = {}
        self.answered: set[int] = set()
        self.tag = 0
        self.leaving = False

    @property
    def usable(self) -> bool:
        return not self.leaving and not self.writer.is_closing() and len(self.open) < OPEN_MOST


class Routers:
    """All of them in one process."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.told = told
        self.chance = random.Random(told.get("seed", 1))
        self.links: dict[str, list[Link]] = {one: [] for one in told["servers"]}
        self.log = open(told["log"], "a", buffering=1 << 16)  # noqa: SIM115  kept until the end
        self.keyed: dict[str, deque[tuple[bytes, bytes, str, float]]] = {
            one: deque(maxlen=1000) for one in told["servers"]
        }
        self.late: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        told, loop = self.told, asyncio.get_running_loop()
        begun, sent = loop.time(), 0.0
        rate, seconds = float(told["rate"]), float(told["seconds"])
        while (now := loop.time() - begun) < seconds:
            factor = max(
                [one["times"] for one in told.get("bursts", []) if one["from"] <= now < one["to"]] + [1]
            )
            sent += self.chance.expovariate(rate * factor)
            if sent > now:
                await asyncio.sleep(sent - now)
            await self.send(now)
        await asyncio.sleep(0.05)
        until = loop.time() + float(told.get("patience_end", 8.0))
        while any(link.open for links in self.links.values() for link in links) and loop.time() < until:
            await asyncio.sleep(0.05)
        for links in self.links.values():
            for link in links:
                self.lost(link, "unanswered")
        self.log.close()

    def tenant(self, now: float) -> str:
        for one in self.told.get("bursts", []):
            if one["from"] <= now < one["to"] and self.chance.random() < 1 - 1 / one["times"]:
                return str(one["customer"])
        names = self.told["tenants"]
        return str(self.chance.choices(list(names), list(names.values()))[0])

    async def send(self, now: float) -> None:
        server = str(self.chance.choice(self.told["servers"]))
        request_classes = self.told["request_classes"]
        request_class = self.chance.choices(
            list(request_classes), [one["share"] for one in request_classes.values()]
        )[0]
        name = b"%016x" % self.chance.getrandbits(64)
        tenant, idempotency_key, body = self.tenant(now), b"", b"body of " + name
        if request_classes[request_class].get("keyed"):
            known = self.keyed[server]
            within = time.monotonic() - float(self.told.get("repeat_within", 1.0))
            while known and known[0][3] < within:
                known.popleft()
            if known and self.chance.random() < float(self.told.get("repeats", 0.0)):
                idempotency_key, body, tenant, _ = self.chance.choice(known)
            else:
                idempotency_key = b"%032x" % self.chance.getrandbits(128)
                known.append((idempotency_key, body, tenant, time.monotonic()))
        await self.try_at(server, request_class, name, tenant, idempotency_key, body)

    async def try_at(
        self, server: str, request_class: str, name: bytes, tenant: str, idempotency_key: bytes, body: bytes
    ) -> None:
        """One try on its way, if there is a link to that server."""
        link = await self.link(server)
        if link is None:
            return
        link.tag += 1
        one = {
            "name": name.decode(),
            "customer": tenant,
            "track": request_class,
            "server": server,
            "label": idempotency_key.decode(),
            "sent": time.time(),
            "from": time.monotonic(),
        }
        link.open[link.tag] = one
        link.writer.write(
            wire.call(
                link.tag, name, request_class.encode(), time.time(), body, tenant.encode(), idempotency_key
            )
        )
        if self.chance.random() < float(self.told.get("cancels", 0.0)):
            task = asyncio.get_running_loop().create_task(self.withdraw(link, link.tag))
            self.late.add(task)
            task.add_done_callback(self.late.discard)

    async def withdraw(self, link: Link, tag: int) -> None:
        await asyncio.sleep(self.chance.uniform(0.0, float(self.told.get("patience", 0.05))))
        one = link.open.pop(tag, None)
        if one is not None:
            link.writer.write(wire.cancel(tag))
            self.keep(one, "withdrawn")

    async def link(self, server: str) -> Link | None:
        links = self.links[server]
        for link in links:
            if link.usable:
                return link
        if len(links) >= LINKS_MOST:
            return None
        host, _, port = server.rpartition(":")
        try:
            made = Link(*await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0))
        except (OSError, TimeoutError):
            return None
        links.append(made)
        task = asyncio.get_running_loop().create_task(self.read(server, made))
        self.late.add(task)
        task.add_done_callback(self.late.discard)
        return made

    async def read(self, server: str, link: Link) -> None:
        parser = Parser()
        try:
            while data := await link.reader.read(1 << 16):
                for words in parser.feed(data):
                    if words[0] == b"0":
                        link.leaving = True
                    else:
                        self.answered(link, words)
                if link.leaving and not link.open:
                    break
        except (OSError, ProtocolError):
            pass
        self.links[server].remove(link)
        self.lost(link, "lost")
        link.writer.close()

    def answered(self, link: Link, words: list[bytes]) -> None:
        tag = int(words[0])
        one = link.open.pop(tag, None)
        if one is None:
            if tag in link.answered:  # what was withdrawn may cross its answer, what was answered may not
                self.keep({"name": "", "tag": tag}, "second")
            return
        link.answered.add(tag)
        if words[1] == b"OK":
            one["result"] = words[3].decode()
        fields = words[2].decode() if len(words) > 2 else ""
        if "cooldown=" in fields:
            one["come_back"] = True
        self.keep(one, {b"OK": "completed", b"BUSY": "denied"}.get(words[1], "terminated"))

    def lost(self, link: Link, how: str) -> None:
        for one in link.open.values():
            self.keep(one, how)
        link.open.clear()

    def keep(self, one: dict[str, Any], how: str) -> None:
        one["how"], one["at"], one["until"] = how, time.time(), time.monotonic()
        self.log.write(json.dumps(one) + "\n")


if __name__ == "__main__":
    asyncio.run(Routers(json.loads(sys.argv[1])).run())
