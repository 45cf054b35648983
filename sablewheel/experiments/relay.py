"""The fault relay: a loopback network between processes, with seeded faults.

    python -m sablewheel.experiments.relay '{"seed": 1, "host": "127.32.0.250", "control": 7799, "doors": [
        {"owner": "n1", "port": 7800, "to": "127.32.0.1:7700"}, ...]}'

Each entry of `doors` is an endpoint that forwards to one address of its owner. The sender is identified by
its loopback address, and its traffic passes through the link from the sender to the owner. A link drops,
delays, duplicates, reorders or cuts traffic in one direction; TCP streams stall on a cut as real ones do, and
lose no data. Lines of JSON on the control port set the faults of links and return their traffic counts.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import sys
from dataclasses import dataclass
from typing import Any, cast

CUT_POLL_S = 0.01  # interval at which a stalled stream checks whether its link is still cut
CHUNK_BYTES = 65536


@dataclass
class Link:
    """Faults and traffic counts of one direction between two owners."""

    cut: bool = False
    drop: float = 0.0  # share of datagrams
    double: float = 0.0  # share sent twice
    reorder: float = 0.0  # share delayed by up to `held` more seconds, so that later datagrams overtake
    held: float = 0.05
    least: float = 0.0
    most: float = 0.0  # delay from `least` to `most` seconds, drawn uniformly
    datagrams: int = 0
    bytes: int = 0
    lost: int = 0  # datagrams


class Endpoint(asyncio.DatagramProtocol):
    def __init__(self, relay: Relay, owner: str, port: int, to: tuple[str, int]) -> None:
        self.relay, self.owner, self.port, self.to = relay, owner, port, to
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, source: Any) -> None:
        self.relay.datagram(self, data, source[0])

    async def stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection to the owner in both directions until both sides have ended."""
        sender = self.relay.by_host.get(writer.get_extra_info("peername")[0])
        owner_writer: asyncio.StreamWriter | None = None
        try:
            if sender is None:
                return
            outbound, inbound = self.relay.link(sender, self.owner), self.relay.link(self.owner, sender)
            while outbound.cut or inbound.cut:
                await asyncio.sleep(CUT_POLL_S)
            owner_reader, owner_writer = await asyncio.open_connection(*self.to)
            await asyncio.gather(
                self.relay.pump(reader, owner_writer, outbound),
                self.relay.pump(owner_reader, writer, inbound),
            )
        except OSError:
            pass
        finally:
            for open_writer in (writer, owner_writer):
                if open_writer is not None:
                    open_writer.close()


class Relay:
    """All links and endpoints of one fleet."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.chance = random.Random(spec["seed"])
        self.links: dict[tuple[str, str], Link] = {}
        self.endpoints: list[Endpoint] = []
        self.by_host: dict[str, str] = {}
        self.first_endpoint: dict[tuple[str, int], Endpoint] = {}
        for index, entry in enumerate(spec["doors"]):
            host, _, port = entry["to"].rpartition(":")
            self.endpoints.append(Endpoint(self, entry["owner"], int(entry["port"]), (host, int(port))))
            self.by_host[host] = entry["owner"]
            self.first_endpoint.setdefault((entry["owner"], 0), self.endpoints[index])
        self.host, self.control = str(spec["host"]), int(spec["control"])

    def link(self, sender: str, to: str) -> Link:
        return self.links.setdefault((sender, to), Link())

    def datagram(self, endpoint: Endpoint, data: bytes, host: str) -> None:
        sender = self.by_host.get(host)
        if sender is None:
            return
        link = self.link(sender, endpoint.owner)
        link.datagrams += 1
        link.bytes += len(data)
        if link.cut or self.chance.random() < link.drop:
            link.lost += 1
            return
        # Sent from the sender's own endpoint, so that the receiver sees the address it expects.
        source = self.first_endpoint[(sender, 0)]
        for _ in range(2 if self.chance.random() < link.double else 1):
            delay_s = self.chance.uniform(link.least, link.most)
            if self.chance.random() < link.reorder:
                delay_s += self.chance.uniform(0.0, link.held)
            asyncio.get_running_loop().call_later(delay_s, self.forward, source, data, endpoint.to)

    def forward(self, source: Endpoint, data: bytes, to: tuple[str, int]) -> None:
        if source.transport is not None:
            source.transport.sendto(data, to)

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, link: Link) -> None:
        """Forward chunks in order with the delay of the link; a cut stalls them until it is over."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                link.bytes += len(data)
                if link.most:
                    await asyncio.sleep(self.chance.uniform(link.least, link.most))
                while link.cut:
                    await asyncio.sleep(CUT_POLL_S)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()

    async def command(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a control connection: `{"from": [..], "to": [..], "set": {..}}` changes links.

        Each line is answered with the counts by sender: datagrams, bytes and lost datagrams.
        """
        while line := await reader.readline():
            command = json.loads(line)
            for sender in command.get("from", []):
                for to in command.get("to", []):
                    if sender != to:
                        for key, value in command["set"].items():
                            setattr(self.link(sender, to), key, value)
            counts: dict[str, list[int]] = {}
            for (sender, _), link in self.links.items():
                row = counts.setdefault(sender, [0, 0, 0])
                row[0] += link.datagrams
                row[1] += link.bytes
                row[2] += link.lost
            writer.write(json.dumps(counts).encode() + b"\n")
            await writer.drain()
        writer.close()

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for endpoint in self.endpoints:
            await loop.create_datagram_endpoint(
                lambda endpoint=endpoint: endpoint,  # type: ignore[misc]
                local_addr=(self.host, endpoint.port),
            )
            await asyncio.start_server(endpoint.stream, self.host, endpoint.port)
        control = await asyncio.start_server(self.command, self.host, self.control)
        await control.serve_forever()


if __name__ == "__main__":
    asyncio.run(Relay(json.loads(sys.argv[1])).run())
