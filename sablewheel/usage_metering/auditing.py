"""Read servers' usage metering folders and the journal, to compare them with `reconcile`."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from pathlib import Path

from ..storage.folder_reader import read_folder
from . import blocks
from . import usage_metering_pb2 as pb
from .journal import Journal
from .reconcile import ReconciliationReport, ServerBlock, compare, list_differences

KIND = b"ledger"


def folder_blocks(folder: Path, notes: list[str]) -> Iterator[tuple[ServerBlock, pb.Block]]:
    """Yield the blocks in a server's folder, segment by segment, without a lock.

    Unreadable records are added to `notes`.
    """
    for number, payload in read_folder(folder, KIND, notes):
        try:
            block = blocks.read(payload)
        except blocks.BlockError as error:
            notes.append(f"{folder}, record {number}: {error}")
            continue
        entries = block.last_sequence - block.first_sequence + 1
        yield (
            ServerBlock(block.server, block.incarnation, block.number, blocks.digest(payload), entries),
            block,
        )


def reconcile_folders(journal: Journal, folders: Iterable[Path]) -> tuple[ReconciliationReport, list[str]]:
    """Compare all folders with the journal; return the report, and notes that are not findings."""
    report = ReconciliationReport()
    notes: list[str] = []
    seen: set[tuple[str, bytes]] = set()
    sources = {
        (row[0], bytes(row[1])): (row[2], row[3])
        for row in journal.rows("select server, incarnation, id, number from sources")
    }

    def differing_entries(server_block: ServerBlock, block: pb.Block) -> list[str]:
        rows = journal.rows(
            "select l.sequence, l.customer, l.track, l.outcome, l.billed, l.run_us from lines l"
            " join blocks b on l.block = b.id where b.source = ? and b.number = ? and l.kind = 0",
            sources[server_block.server, server_block.incarnation][0],
            server_block.number,
        )
        return list_differences(
            block, {row[0]: (row[1], row[2], row[3], bool(row[4]), row[5]) for row in rows}
        )

    def journal_digest(server: str, incarnation: bytes, number: int) -> bytes | None:
        return journal.block_digest(server, incarnation, number)

    def last_journal_number(server: str, incarnation: bytes) -> int:
        return int(sources.get((server, incarnation), (0, 0))[1])

    for folder in folders:
        folder_incarnations = compare(
            folder_blocks(folder, notes), journal_digest, last_journal_number, differing_entries, report
        )
        for server, incarnation in folder_incarnations & seen:
            report.doubles.append(f"{server}/{incarnation.hex()}: in two folders")
        seen |= folder_incarnations
    servers = {server for server, _ in seen}
    for (server, incarnation), _ in sorted(sources.items()):
        if server in servers and (server, incarnation) not in seen:
            report.unmatched.append(
                f"{server}/{incarnation.hex()}: in the journal, no longer in the server's folder"
            )
    _compare_journal(journal, seen, report)
    return report, notes


def _compare_journal(journal: Journal, seen: set[tuple[str, bytes]], report: ReconciliationReport) -> None:
    """Add the journal's billed requests, its holes, and the runs that it bills twice, to the report."""
    for server, incarnation, customer, tickets in journal.rows(
        "select s.server, s.incarnation, l.customer, sum(l.entries) from lines l"
        " join blocks b on l.block = b.id join sources s on b.source = s.id where l.billed = 1 and l.kind < 2"
        " group by s.server, s.incarnation, l.customer"
    ):
        if (server, bytes(incarnation)) in seen:
            server_billed, journal_billed = report.billed.get((server, customer), (0, 0))
            report.billed[server, customer] = (server_billed, journal_billed + tickets)
    for server, incarnation, after, through, reason in journal.rows(
        "select s.server, s.incarnation, h.after_number, h.through_number, h.reason from holes h"
        " join sources s on h.source = s.id"
    ):
        report.gaps.append(f"{server}/{bytes(incarnation).hex()}: blocks {after + 1} to {through}: {reason}")
    for server, incarnation, name, times in journal.rows(
        "select s.server, s.incarnation, coalesce(l.run, l.name) as made, count(*) from lines l"
        " join blocks b on l.block = b.id join sources s on b.source = s.id"
        " where l.billed = 1 and l.kind = 0 and made is not null group by s.id, made having count(*) > 1"
    ):
        report.doubles.append(
            f"{server}/{bytes(incarnation).hex()}: run {bytes(name).hex()} billed {times} times"
        )
