"""Decide what a collector does with a batch: apply it once, recognise it, or reject it by name. Pure.

The order of the blocks of one incarnation is all the state it needs: the last number in the journal, its
digest and its last sequence number. A block that comes again is recognised by its number and must have the
same digest.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from . import blocks
from . import usage_metering_pb2 as pb


@dataclass(frozen=True)
class LastBlock:
    """The last block of an incarnation in the journal.

    An empty `digest` means that blocks were lost and the chain begins anew.
    """

    number: int = 0
    digest: bytes = b""
    last_sequence: int = 0


@dataclass(frozen=True)
class Apply:
    """The next block; it may go into the journal."""

    block: pb.Block
    digest: bytes
    data_size: int


@dataclass(frozen=True)
class AlreadyApplied:
    """It is in the journal already: acknowledged, not applied."""

    incarnation: bytes
    number: int


@dataclass(frozen=True)
class Refusal:
    """Told to the server by name, and the connection ends."""

    fault: str
    detail: str


BatchDecision: TypeAlias = Apply | AlreadyApplied | Refusal


def check_greeting(hello: pb.Hello, version: int) -> Refusal | None:
    """What is wrong with a greeting, if anything."""
    if hello.version != version:
        return Refusal("version", f"{hello.version}, this collector speaks {version}")
    if not hello.server or len(hello.server) > blocks.MAX_NAME_CHARACTERS or not hello.server.isprintable():
        return Refusal(
            "server", f"a printable name of 1 to {blocks.MAX_NAME_CHARACTERS} characters is wanted"
        )
    if len(hello.incarnation) != blocks.INCARNATION_SIZE:
        return Refusal("incarnation", f"{blocks.INCARNATION_SIZE} bytes are wanted")
    return None


def decide_batch(
    server: str, batch: pb.Batch, known: dict[bytes, LastBlock], kept: dict[tuple[bytes, int], bytes]
) -> BatchDecision:
    """Decide on a batch of a server.

    `known` has the last block by incarnation; `kept` has digests of blocks in the journal, where looked up.
    """
    if blocks.digest(batch.block) != batch.digest:
        return Refusal("digest", "the bytes are not those that the digest was made of")
    try:
        block = blocks.read(batch.block)
    except blocks.BlockError as trouble:
        return Refusal("block", str(trouble))
    if block.server != server:
        return Refusal("server", f"a block of {block.server!r} from {server!r}")
    last = known.get(block.incarnation, LastBlock())
    if block.number <= last.number:
        held = kept.get((block.incarnation, block.number), batch.digest)
        if block.number == last.number and last.digest:
            held = last.digest
        if held != batch.digest:
            return Refusal("changed", f"block {block.number} is in the book with another digest")
        return AlreadyApplied(block.incarnation, block.number)
    if last.number and not last.digest and block.number == last.number + 1:
        return Apply(block, batch.digest, len(batch.block))  # behind a loss that was told
    against = blocks.follows(block, last.number, last.digest, last.last_sequence)
    if against is not None:
        return Refusal("gap" if block.number > last.number + 1 else "chain", against)
    return Apply(block, batch.digest, len(batch.block))


@dataclass
class ConnectedIncarnations:
    """Which incarnations of each name are connected: two at a time are two servers with one name."""

    connected: dict[str, dict[bytes, int]] = field(default_factory=dict)

    def connected_again(self, server: str, incarnation: bytes) -> bool:
        """Whether another incarnation of that name is here as well."""
        here = self.connected.setdefault(server, {})
        here[incarnation] = here.get(incarnation, 0) + 1
        return len(here) > 1

    def disconnected(self, server: str, incarnation: bytes) -> None:
        """Note that a connection of an incarnation has ended."""
        here = self.connected.get(server, {})
        here[incarnation] = here.get(incarnation, 1) - 1
        if here[incarnation] <= 0:
            here.pop(incarnation, None)
        if not here:
            self.connected.pop(server, None)
