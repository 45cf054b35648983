"""What the collector makes of what comes: apply once, know again, or refuse by name. Pure.

The order of blocks of one incarnation is the whole memory it needs: the last number in the book, its digest
and its last sequence number. What comes again is known by its number and must have the same digest.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from . import blocks
from . import usage_metering_pb2 as pb


@dataclass(frozen=True)
class Known:
    """The last block of an incarnation in the book; `digest` empty: blocks were lost, the chain
    begins anew.
    """

    number: int = 0
    digest: bytes = b""
    last_sequence: int = 0


@dataclass(frozen=True)
class Apply:
    """The next block; it may go into the book."""

    block: pb.Block
    digest: bytes
    data_size: int


@dataclass(frozen=True)
class Again:
    """It is in the book already: acknowledged, not applied."""

    incarnation: bytes
    number: int


@dataclass(frozen=True)
class Refuse:
    """Told to the server by name, and the connection ends."""

    fault: str
    detail: str


Verdict: TypeAlias = Apply | Again | Refuse


def greeted(hello: pb.Hello, version: int) -> Refuse | None:
    """What is wrong with a greeting, if anything."""
    if hello.version != version:
        return Refuse("version", f"{hello.version}, this collector speaks {version}")
    if not hello.server or len(hello.server) > blocks.NAME_MOST or not hello.server.isprintable():
        return Refuse("server", f"a printable name of 1 to {blocks.NAME_MOST} characters is wanted")
    if len(hello.incarnation) != blocks.INCARNATION_SIZE:
        return Refuse("incarnation", f"{blocks.INCARNATION_SIZE} bytes are wanted")
    return None


def judge(
    server: str, batch: pb.Batch, known: dict[bytes, Known], kept: dict[tuple[bytes, int], bytes]
) -> Verdict:
    """A batch of a server. `known` by incarnation; `kept` holds digests of blocks in the book, where
    looked up.
    """
    if blocks.digest(batch.block) != batch.digest:
        return Refuse("digest", "the bytes are not those that the digest was made of")
    try:
        block = blocks.read(batch.block)
    except blocks.BlockError as trouble:
        return Refuse("block", str(trouble))
    if block.server != server:
        return Refuse("server", f"a block of {block.server!r} from {server!r}")
    last = known.get(block.incarnation, Known())
    if block.number <= last.number:
        held = kept.get((block.incarnation, block.number), batch.digest)
        if block.number == last.number and last.digest:
            held = last.digest
        if held != batch.digest:
            return Refuse("changed", f"block {block.number} is in the book with another digest")
        return Again(block.incarnation, block.number)
    if last.number and not last.digest and block.number == last.number + 1:
        return Apply(block, batch.digest, len(batch.block))  # behind a loss that was told
    against = blocks.follows(block, last.number, last.digest, last.last_sequence)
    if against is not None:
        return Refuse("gap" if block.number > last.number + 1 else "chain", against)
    return Apply(block, batch.digest, len(batch.block))


@dataclass
class Presence:
    """Which incarnations of each name are connected: two at a time are two servers with one name."""

    connected: dict[str, dict[bytes, int]] = field(default_factory=dict)

    def came(self, server: str, incarnation: bytes) -> bool:
        """Whether another incarnation of that name is here as well."""
        here = self.connected.setdefault(server, {})
        here[incarnation] = here.get(incarnation, 0) + 1
        return len(here) > 1

    def went(self, server: str, incarnation: bytes) -> None:
        here = self.connected.get(server, {})
        here[incarnation] = here.get(incarnation, 1) - 1
        if here[incarnation] <= 0:
            here.pop(incarnation, None)
        if not here:
            self.connected.pop(server, None)
