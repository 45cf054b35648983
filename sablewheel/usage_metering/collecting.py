"""Decide whether a collector applies a batch, acknowledges it again or refuses it. Pure.

The state is the last block of each incarnation in the journal: its number, its digest and its last sequence
number. A block that is received again is identified by its number and must have the same digest.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeAlias

from . import blocks
from . import usage_metering_pb2 as pb


@dataclass(frozen=True)
class LastBlock:
    """The last block of an incarnation in the journal.

    If `digest` is empty, blocks were lost and the next block starts a new chain.
    """

    number: int = 0
    digest: bytes = b""
    last_sequence: int = 0


@dataclass(frozen=True)
class Apply:
    """The block is the next one and is to be posted to the journal."""

    block: pb.Block
    digest: bytes
    data_size: int


@dataclass(frozen=True)
class AlreadyApplied:
    """The block is in the journal already; it is acknowledged and not applied."""

    incarnation: bytes
    number: int


@dataclass(frozen=True)
class Refusal:
    """The name and the details of a fault; they are sent to the server, and the connection is closed."""

    fault: str
    detail: str


BatchDecision: TypeAlias = Apply | AlreadyApplied | Refusal


def check_greeting(hello: pb.Hello, version: int) -> Refusal | None:
    """Return the refusal of an invalid greeting; None if it is valid."""
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
    server: str,
    batch: pb.Batch,
    last_blocks: dict[bytes, LastBlock],
    journal_digests: dict[tuple[bytes, int], bytes],
) -> BatchDecision:
    """Decide on a batch from a server.

    `last_blocks` has the last block by incarnation; `journal_digests` has the digests of those blocks in the
    journal that were looked up, by incarnation and number.
    """
    if blocks.digest(batch.block) != batch.digest:
        return Refusal("digest", "the bytes are not those that the digest was made of")
    try:
        block = blocks.read(batch.block)
    except blocks.BlockError as error:
        return Refusal("block", str(error))
    if block.server != server:
        return Refusal("server", f"a block of {block.server!r} from {server!r}")
    last = last_blocks.get(block.incarnation, LastBlock())
    if block.number <= last.number:
        journal_digest = journal_digests.get((block.incarnation, block.number), batch.digest)
        if block.number == last.number and last.digest:
            journal_digest = last.digest
        if journal_digest != batch.digest:
            return Refusal("changed", f"block {block.number} is in the book with another digest")
        return AlreadyApplied(block.incarnation, block.number)
    if last.number and not last.digest and block.number == last.number + 1:
        return Apply(block, batch.digest, len(batch.block))  # the first block after reported lost blocks
    violation = blocks.chain_violation(block, last.number, last.digest, last.last_sequence)
    if violation is not None:
        return Refusal("gap" if block.number > last.number + 1 else "chain", violation)
    return Apply(block, batch.digest, len(batch.block))


@dataclass
class ConnectedIncarnations:
    """The connected incarnations by server name, with their numbers of connections.

    Two incarnations at the same time mean that two servers have the same name.
    """

    connected: dict[str, dict[bytes, int]] = field(default_factory=dict)

    def add(self, server: str, incarnation: bytes) -> bool:
        """Add a connection; return whether another incarnation of that name is connected."""
        incarnations = self.connected.setdefault(server, {})
        incarnations[incarnation] = incarnations.get(incarnation, 0) + 1
        return len(incarnations) > 1

    def remove(self, server: str, incarnation: bytes) -> None:
        """Remove a connection of an incarnation."""
        incarnations = self.connected.get(server, {})
        incarnations[incarnation] = incarnations.get(incarnation, 1) - 1
        if incarnations[incarnation] <= 0:
            incarnations.pop(incarnation, None)
        if not incarnations:
            self.connected.pop(server, None)
