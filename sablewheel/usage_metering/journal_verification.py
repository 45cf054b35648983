"""Find what was lost, inserted or changed in a journal, by its digests and seals."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from .journal_schema import LINE, line_digest, seal_digest

MAX_FAULTS_PER_PERIOD = 20

Query = Callable[..., Iterator[Any]]  # runs SQL with its values, returns the rows


def find_faults(query: Query, closed_through: int) -> Iterator[str]:
    """Yield every fault with its location.

    `closed_through` is the end of the last closed period, in microseconds.
    """
    previous_seal = b""
    periods = list(
        query(
            "select id, name, lines, head, seal, closed_us, end_us from periods"
            " order by sealed is null, sealed, start_us"
        )
    )
    for period, name, lines, head, period_seal, closed, end in periods:
        yield from _line_faults(query, period, name, lines, bytes(head))
        if period_seal is None:
            if closed is not None or (closed_through and end <= closed_through):
                yield f"period {name}: closed without a seal"
            continue
        if bytes(period_seal) != seal_digest(previous_seal, name, lines, bytes(head)):
            yield f"period {name}: its seal does not match its lines and the previous seal"
        previous_seal = bytes(period_seal)
    yield from _block_faults(query)


def _line_faults(query: Query, period: int, name: str, lines: int, head: bytes) -> Iterator[str]:
    """Yield the faults in a period's chain of lines, at most about `MAX_FAULTS_PER_PERIOD`."""
    previous_digest, place, faults = b"", 0, 0
    for row in query(f"select place, digest, {LINE} from lines where period = ? order by place", period):
        place += 1
        if row[0] != place:
            yield f"period {name}: lines {place} to {row[0] - 1} are missing"
            faults, place = faults + 1, row[0]
        elif line_digest(previous_digest, row[2:]) != bytes(row[1]):
            origin = _origin(query, row[3], row[4])
            yield f"period {name}, line {place}: not as it was written ({origin})"
            faults += 1
        previous_digest = bytes(row[1])
        if faults >= MAX_FAULTS_PER_PERIOD:
            yield f"period {name}: too many faults, the rest of the period is not checked"
            break
    if not faults and (place != lines or previous_digest != head):
        yield f"period {name}: {lines} lines were written, {place} are there"


def _origin(query: Query, block: int, sequence: int) -> str:
    """Return the entry and the block of a line, for a message."""
    row = next(
        query(
            "select s.server, s.incarnation, b.number from blocks b join sources s on b.source = s.id"
            " where b.id = ?",
            block,
        ),
        None,
    )
    return f"{row[0]}/{bytes(row[1]).hex()}/{sequence}, block {row[2]}" if row else f"block {block}"


def _block_faults(query: Query) -> Iterator[str]:
    """Yield gaps between blocks, and blocks whose entries differ in number from their sequence numbers."""
    orphan_lines = next(
        query("select count(*) from lines where kind < 2 and block not in (select id from blocks)")
    )[0]
    if orphan_lines:
        yield f"{orphan_lines} lines belong to no block in the journal"
    last_blocks: dict[int, tuple[int, int]] = {}
    holes = {
        (source, after_number + 1): through_number
        for source, after_number, through_number, *_ in query("select * from holes")
    }
    for block, source, number, first, last, entries in query(
        "select b.id, b.source, b.number, b.first_sequence, b.last_sequence,"
        " (select coalesce(sum(entries), 0) from lines where block = b.id) from blocks b"
        " order by b.source, b.number"
    ):
        previous, previous_end = last_blocks.get(source, (0, 0))
        if number != previous + 1 and holes.get((source, previous + 1)) != number - 1:
            yield f"{_origin(query, block, first)}: blocks {previous + 1} to {number - 1} are missing"
        elif number == previous + 1 and first != previous_end + 1:
            yield f"{_origin(query, block, first)}: sequence {first}, {previous_end + 1} was expected"
        expected = last - first + 1
        if entries != expected:
            yield f"{_origin(query, block, first)}: {entries} entries in its lines, {expected} in the block"
        last_blocks[source] = (number, last)
