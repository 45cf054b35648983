"""Read servers' usage metering folders and the journal; `reconcile` decides what agrees."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

from ..storage.log import read_folder
from . import blocks
from . import usage_metering_pb2 as pb
from .journal import Journal
from .reconcile import ReconciliationReport, ServerBlock, compare, differing

KIND = b"ledger"


def folder_blocks(folder: Path, notes: list[str]) -> Iterator[tuple[ServerBlock, pb.Block]]:
    """The blocks in a server's folder, segment by segment; what can't be read is noted. Takes no lock."""
    for number, payload in read_folder(folder, KIND, notes):
        try:
            block = blocks.read(payload)
        except blocks.BlockError as trouble:
            notes.append(f"{folder}, record {number}: {trouble}")
            continue
        entries = block.last_sequence - block.first_sequence + 1
        yield (
            ServerBlock(block.server, block.incarnation, block.number, blocks.digest(payload), entries),
            block,
        )


def reconcile_folders(journal: Journal, folders: Iterable[Path]) -> tuple[ReconciliationReport, list[str]]:
    """All folders against the journal; findings, and notes that are no findings."""
    found = ReconciliationReport()
    notes: list[str] = []
    seen: set[tuple[str, bytes]] = set()
    sources = {
        (one[0], bytes(one[1])): (one[2], one[3])
        for one in journal.rows("select server, incarnation, id, number from sources")
    }

    def changed(own: ServerBlock, block: pb.Block) -> list[str]:
        rows = journal.rows(
            "select l.sequence, l.customer, l.track, l.outcome, l.billed, l.run_us from lines l"
            " join blocks b on l.block = b.id where b.source = ? and b.number = ? and l.kind = 0",
            sources[own.server, own.incarnation][0],
            own.number,
        )
        return differing(block, {one[0]: (one[1], one[2], one[3], bool(one[4]), one[5]) for one in rows})

    def held(server: str, incarnation: bytes, number: int) -> bytes | None:
        return journal.held(server, incarnation, number)

    def reached(server: str, incarnation: bytes) -> int:
        return int(sources.get((server, incarnation), (0, 0))[1])

    for folder in folders:
        here = compare(folder_blocks(folder, notes), held, reached, changed, found)
        for server, incarnation in here & seen:
            found.doubles.append(f"{server}/{incarnation.hex()}: in two folders")
        seen |= here
    servers = {server for server, _ in seen}
    for (server, incarnation), _ in sorted(sources.items()):
        if server in servers and (server, incarnation) not in seen:
            found.unmatched.append(
                f"{server}/{incarnation.hex()}: in the book, no longer in the server's folder"
            )
    _compare_journal(journal, seen, found)
    return found, notes


def _compare_journal(journal: Journal, seen: set[tuple[str, bytes]], found: ReconciliationReport) -> None:
    """What the journal bills for the same incarnations, told holes, and runs that were billed twice."""
    for server, incarnation, customer, tickets in journal.rows(
        "select s.server, s.incarnation, l.customer, sum(l.entries) from lines l"
        " join blocks b on l.block = b.id join sources s on b.source = s.id where l.billed = 1 and l.kind < 2"
        " group by s.server, s.incarnation, l.customer"
    ):
        if (server, bytes(incarnation)) in seen:
            own, held = found.billed.get((server, customer), (0, 0))
            found.billed[server, customer] = (own, held + tickets)
    for server, incarnation, after, through, reason in journal.rows(
        "select s.server, s.incarnation, h.after_number, h.through_number, h.reason from holes h"
        " join sources s on h.source = s.id"
    ):
        found.gaps.append(f"{server}/{bytes(incarnation).hex()}: blocks {after + 1} to {through}: {reason}")
    for server, incarnation, name, times in journal.rows(
        "select s.server, s.incarnation, coalesce(l.run, l.name) as made, count(*) from lines l"
        " join blocks b on l.block = b.id join sources s on b.source = s.id"
        " where l.billed = 1 and l.kind = 0 and made is not null group by s.id, made having count(*) > 1"
    ):
        found.doubles.append(
            f"{server}/{bytes(incarnation).hex()}: run {bytes(name).hex()} billed {times} times"
        )
