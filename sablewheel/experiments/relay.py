"""The fault relay: a stand-in for the network between processes, on loopback, with faults by a seed.

    python -m sablewheel.experiments.relay '{"seed": 1, "host": "127.32.0.250", "control": 7799, "doors": [
        {"owner": "n1", "port": 7800, "to": "127.32.0.1:7700"}, ...]}'

Each door stands in for one address of its owner: whoever sends there reaches the owner through the link from
itself, known by its own loopback address, to the owner. A link drops, delays, doubles, reorders and cuts, one
way; TCP streams stall on a cut as real ones do, and nothing is lost from them. What a link does is set, and
what it carried is asked, by lines of JSON on the control port.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
from dataclasses import dataclass
from typing import Any, cast

LOOK = 0.01  # how often a stalled stream looks whether its link is whole again
CHUNK = 65536


@dataclass
class Link:
    """What happens one way between two owners."""

    cut: bool = False
    drop: float = 0.0
    double: float = 0.0
    reorder: float = 0.0  # share held back for up to `held`, so that later ones overtake
    held: float = 0.05
    least: float = 0.0
    most: float = 0.0  # seconds of delay, drawn evenly
    datagrams: int = 0
    bytes: int = 0
    lost: int = 0


class Door(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, owner: str, port: int, to: tuple[str, int]) -> None:
        self.relay, self.owner, self.port, self.to = relay, owner, port, to
        self.socket: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.socket = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.relay.datagram(self, data, source[0])

    async def stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection to the owner, pumped both ways until either side ends."""
        sender = self.relay.by_host.get(writer.get_extra_info("peername")[0])
        onward: asyncio.StreamWriter | None = None
        try:
            if sender is None:
                return
            there, back = self.relay.link(sender, self.owner), self.relay.link(self.owner, sender)
            while there.cut or back.cut:
                await asyncio.sleep(LOOK)
            far, onward = await asyncio.open_connection(*self.to)
            await asyncio.gather(self.relay.pump(reader, onward, there), self.relay.pump(far, writer, back))
        except OSError:
            pass
        finally:
            for one in (writer, onward):
                if one is not None:
                    one.close()


class Relay:
    """All links of one fleet."""

    def __init__(self, told: dict[str, Any]) -> None:
        self.chance = random.Random(told["seed"])
        self.links: dict[tuple[str, str], Link] = {}
        self.doors: list[Door] = []
        self.by_host: dict[str, str] = {}
        self.socket_of: dict[tuple[str, int], Door] = {}
        for place, one in enumerate(told["doors"]):
            host, _, port = one["to"].rpartition(":")
            self.doors.append(Door(self, one["owner"], int(one["port"]), (host, int(port))))
            self.by_host[host] = one["owner"]
            self.socket_of.setdefault((one["owner"], 0), self.doors[place])
        self.host, self.control = str(told["host"]), int(told["control"])

    def link(self, sender: str, to: str) -> Link:
        return self.links.setdefault((sender, to), Link())

    def datagram(self, door: Door, data: bytes, host: str) -> None:
        sender = self.by_host.get(host)
        if sender is None:
            return
        link = self.link(sender, door.owner)
        link.datagrams += 1
        link.bytes += len(data)
        if link.cut or self.chance.random() < link.drop:
            link.lost += 1
            return
        # It goes on from the sender's own door, so that the receiver sees the address it knows.
        out = self.socket_of[(sender, 0)]
        for _ in range(2 if self.chance.random() < link.double else 1):
            late = self.chance.uniform(link.least, link.most)
            if self.chance.random() < link.reorder:
                late += self.chance.uniform(0.0, link.held)
            asyncio.get_running_loop().call_later(late, self.forward, out, data, door.to)

    def forward(self, out: Door, data: bytes, to: tuple[str, int]) -> None:
        if out.socket is not None:
            out.socket.sendto(data, to)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        """In order, each chunk as late as the link says; a cut holds it until the link is whole again."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                link.bytes += len(data)
                if link.most:
                    await asyncio.sleep(self.chance.uniform(link.least, link.most))
                while link.cut:
                    await asyncio.sleep(LOOK)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    async def command(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """`{"from": [..], "to": [..], "set": {..}}` changes links; any line is answered with the counts."""
        while line := await reader.readline():
            told = json.loads(line)
            for sender in told.get("from", []):
                for to in told.get("to", []):
                    if sender != to:
                        for key, value in told["set"].items():
                            setattr(self.link(sender, to), key, value)
            carried: dict[str, list[int]] = {}
            for (sender, _), link in self.links.items():
                row = carried.setdefault(sender, [0, 0, 0])
                row[0] += link.datagrams
                row[1] += link.bytes
                row[2] += link.lost
            writer.write(json.dumps(carried).encode() + b"\n")
            await writer.drain()
        writer.close()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for door in self.doors:
            await loop.create_datagram_endpoint(lambda door=door: door, local_addr=(self.host, door.port))  # type: ignore[misc]
            await asyncio.start_server(door.stream, self.host, door.port)
        control = await asyncio.start_server(self.command, self.host, self.control)
        await control.serve_forever()


if __name__ == "__main__":
    asyncio.run(Relay(json.loads(sys.argv[1])).run())
