"""Serialize entries to blocks and check blocks: the chain that export and reconciliation rest on. Pure.

A block is written once and goes everywhere as these bytes. It names its server and incarnation, has a
number without gaps, carries the digest of the block before it, and accounts for a range of sequence numbers
without gaps: first those folded into totals, then one entry each.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from google.protobuf.message import DecodeError

from . import usage_metering_pb2 as pb

ENTRY_TAG = bytes([11 << 3 | 2])  # of Block.entries
INCARNATION_SIZE = 8
MAX_NAME_CHARACTERS = 256
MAX_COUNT = 1 << 40


class BlockError(ValueError):
    """Bytes that are no block, or one that contradicts itself; the message names the field."""


@dataclass(frozen=True)
class SealedBlock:
    """A block as it goes to disk and over the wire."""

    incarnation: bytes
    number: int
    last_sequence: int
    data: bytes
    digest: bytes


def digest(data: bytes) -> bytes:
    """Return the SHA-256 digest of a block's bytes."""
    return hashlib.sha256(data).digest()


def _varint(value: int) -> bytes:
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def seal(head: pb.Block, entries: Iterable[bytes]) -> SealedBlock:
    """A block of its head, which holds all but the entries, and of entries that are bytes already."""
    parts = [head.SerializeToString()]
    for one in entries:
        parts += (ENTRY_TAG, _varint(len(one)), one)
    data = b"".join(parts)
    return SealedBlock(head.incarnation, head.number, head.last_sequence, data, digest(data))


def read(data: bytes) -> pb.Block:
    """The block of these bytes, checked within itself; raises `BlockError`."""
    try:
        block = pb.Block.FromString(data)
    except DecodeError:
        raise BlockError("not a block: the bytes can't be read") from None
    if not block.server or len(block.server) > MAX_NAME_CHARACTERS:
        raise BlockError(f"server: a name of 1 to {MAX_NAME_CHARACTERS} characters is wanted")
    if len(block.incarnation) != INCARNATION_SIZE:
        raise BlockError(f"incarnation: {INCARNATION_SIZE} bytes are wanted, got {len(block.incarnation)}")
    if not block.number:
        raise BlockError("number: counts from 1")
    if len(block.previous) != (32 if block.number > 1 else 0):
        raise BlockError("previous: a digest of 32 bytes is wanted, and none in the first block")
    _check_sequences(block)
    for place, total in enumerate(block.totals):
        _check_counts(f"totals[{place}]", total.customer, total.track, total.outcome)
        if total.billed and total.outcome != pb.COMPLETED:
            raise BlockError(f"totals[{place}].billed: of an outcome that is not completed")
        if total.end_us <= total.first_us or not 0 < total.entries < MAX_COUNT:
            raise BlockError(f"totals[{place}]: a period and entries are wanted")
    return block


def _check_sequences(block: pb.Block) -> None:
    held = block.last_sequence - block.first_sequence + 1
    folded = sum(one.entries for one in block.totals)
    if not block.first_sequence or held < 0 or held != folded + len(block.entries):
        raise BlockError(f"sequence: {held} numbers for {folded} folded and {len(block.entries)} entries")
    first = block.first_sequence + folded
    for place, entry in enumerate(block.entries):
        if entry.sequence != first + place:
            raise BlockError(f"entries[{place}].sequence: {entry.sequence} where {first + place} was due")
        _check_counts(f"entries[{place}]", entry.customer, entry.track, entry.outcome)
        if entry.billed and entry.outcome != pb.COMPLETED:
            raise BlockError(f"entries[{place}].billed: of an outcome that is not completed")


def _check_counts(where: str, customer: str, track: str, outcome: int) -> None:
    if len(customer) > MAX_NAME_CHARACTERS or len(track) > MAX_NAME_CHARACTERS:
        raise BlockError(f"{where}: a name of more than {MAX_NAME_CHARACTERS} characters")
    if outcome not in (pb.COMPLETED, pb.DENIED, pb.TERMINATED, pb.GONE):
        raise BlockError(f"{where}.outcome: {outcome} is none")


def follows(block: pb.Block, number: int, last_digest: bytes, last_sequence: int) -> str | None:
    """What contradicts that a block is the next one after these; None if nothing does."""
    if block.number != number + 1:
        return f"number: {block.number} where {number + 1} was due"
    if block.previous != last_digest:
        return f"previous: block {block.number} does not follow the block {number} that is known"
    if block.first_sequence != last_sequence + 1:
        return f"sequence: {block.first_sequence} where {last_sequence + 1} was due"
    return None


def describe(entries: Sequence[pb.Entry]) -> str:
    """Return the first sequence numbers of some entries, for a message."""
    return ", ".join(f"{one.sequence}" for one in entries[:5]) + (" ..." if len(entries) > 5 else "")
