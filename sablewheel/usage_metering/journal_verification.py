"""Check a journal against its digests and seals: what was lost, inserted or changed since it was written."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

from .journal_schema import LINE, line_digest, seal_digest

MAX_FAULTS_PER_PERIOD = 20

Query = Callable[..., Iterator[Any]]  # runs SQL with its values, gives the rows


def find_faults(query: Query, closed_through: int) -> Iterator[str]:
    """Yield every fault with its place.

    `closed_through` is the end of the last closed period, in microseconds.
    """
    seal = b""
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
        if bytes(period_seal) != seal_digest(seal, name, lines, bytes(head)):
            yield f"period {name}: its seal does not fit its lines and the seal before"
        seal = bytes(period_seal)
    yield from _block_faults(query)


def _line_faults(query: Query, period: int, name: str, lines: int, head: bytes) -> Iterator[str]:
    """Yield the faults of a period's chain of lines, a bounded number of them."""
    digest, place, faults = b"", 0, 0
    for row in query(f"select place, digest, {LINE} from lines where period = ? order by place", period):
        place += 1
        if row[0] != place:
            yield f"period {name}: lines {place} to {row[0] - 1} are missing"
            faults, place = faults + 1, row[0]
        elif line_digest(digest, row[2:]) != bytes(row[1]):
            origin = _origin(query, row[3], row[4])
            yield f"period {name}, line {place}: not as it was written ({origin})"
            faults += 1
        digest = bytes(row[1])
        if faults >= MAX_FAULTS_PER_PERIOD:
            yield f"period {name}: and maybe more"
            break
    if not faults and (place != lines or digest != head):
        yield f"period {name}: {lines} lines were written, {place} are there"


def _origin(query: Query, block: int, sequence: int) -> str:
    """Return which entry of which block a line was made of."""
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
    """Yield blocks whose lines don't account for their sequence numbers, and gaps between blocks."""
    stray = next(query("select count(*) from lines where kind < 2 and block not in (select id from blocks)"))[
        0
    ]
    if stray:
        yield f"{stray} lines are of no block in the book"
    last: dict[int, tuple[int, int]] = {}
    holes = {(source, after + 1): through for source, after, through, *_ in query("select * from holes")}
    for block, source, number, first, end, entries in query(
        "select b.id, b.source, b.number, b.first_sequence, b.last_sequence,"
        " (select coalesce(sum(entries), 0) from lines where block = b.id) from blocks b"
        " order by b.source, b.number"
    ):
        before, sequence = last.get(source, (0, 0))
        if number != before + 1 and holes.get((source, before + 1)) != number - 1:
            yield f"{_origin(query, block, first)}: blocks {before + 1} to {number - 1} are missing"
        elif number == before + 1 and first != sequence + 1:
            yield f"{_origin(query, block, first)}: sequence {first} where {sequence + 1} was due"
        due = end - first + 1
        if entries != due:
            yield f"{_origin(query, block, first)}: {entries} entries in its lines, {due} were in it"
        last[source] = (number, end)
