"""Reconcile the blocks on servers' disks with those in the collector's journal. Pure.

Blocks are compared by digest, and entries only where digests differ. Findings name the server, incarnation,
block and entry. Blocks that are not exported yet are counted separately from missing ones.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from . import usage_metering_pb2 as pb


@dataclass(frozen=True)
class ServerBlock:
    """A block in a server's own files."""

    server: str
    incarnation: bytes
    number: int
    digest: bytes
    entries: int


@dataclass
class ReconciliationReport:
    """The result of reconciliation: counts, and findings as text."""

    same: int = 0  # blocks with equal digests
    pending: int = 0  # blocks that are not exported yet
    pending_entries: int = 0
    gaps: list[str] = field(default_factory=list)
    doubles: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    unmatched: list[str] = field(default_factory=list)  # incarnations in the journal that have no files
    # By server and tenant: the requests billed in the server's files, and in the journal.
    billed: dict[tuple[str, str], tuple[int, int]] = field(default_factory=dict)

    @property
    def clean(self) -> bool:
        """Whether no block is missing, duplicated or different, and all billed counts agree."""
        mismatched = [counts for counts in self.billed.values() if counts[0] != counts[1]]
        return not (self.gaps or self.doubles or self.changed or mismatched)


# Returns a block's digest in the journal, None if it is not there.
JournalDigest = Callable[[str, bytes, int], bytes | None]
LastJournalNumber = Callable[[str, bytes], int]  # returns the last block number in the journal
DifferingEntries = Callable[[ServerBlock, pb.Block], list[str]]  # returns the entries of a block that differ


def compare(
    server_blocks: Iterable[tuple[ServerBlock, pb.Block]],
    journal_digest: JournalDigest,
    last_journal_number: LastJournalNumber,
    differing_entries: DifferingEntries,
    report: ReconciliationReport,
) -> set[tuple[str, bytes]]:
    """Compare a server's blocks, in order, with the journal; return the server's incarnations."""
    last: dict[tuple[str, bytes], int] = {}
    for server_block, block in server_blocks:
        key = (server_block.server, server_block.incarnation)
        location = f"{server_block.server}/{server_block.incarnation.hex()}, block {server_block.number}"
        previous = last.get(key)
        if previous is not None and server_block.number <= previous:
            report.doubles.append(f"{location}: twice in the server's files")
            continue
        if previous is not None and server_block.number > previous + 1:
            report.gaps.append(
                f"{location}: blocks {previous + 1} to {server_block.number - 1} not in the server's files"
            )
        last[key] = server_block.number
        digest = journal_digest(*key, server_block.number)
        if digest is None:
            if server_block.number > last_journal_number(*key):
                report.pending += 1
                report.pending_entries += server_block.entries
            else:
                report.gaps.append(f"{location}: {server_block.entries} entries not in the journal")
        elif digest != server_block.digest:
            report.changed += [
                f"{location}: {detail}"
                for detail in differing_entries(server_block, block) or ["another digest"]
            ]
        else:
            report.same += 1
        if digest is not None:
            _add_billed(report, server_block.server, block)
    return set(last)


def _add_billed(report: ReconciliationReport, server: str, block: pb.Block) -> None:
    sums: dict[str, int] = {}
    for entry in block.entries:
        if entry.billed:
            sums[entry.customer] = sums.get(entry.customer, 0) + 1
    for total in block.totals:
        if total.billed:
            sums[total.customer] = sums.get(total.customer, 0) + total.entries
    for customer, tickets in sums.items():
        counts = report.billed.get((server, customer), (0, 0))
        report.billed[server, customer] = (counts[0] + tickets, counts[1])


def list_differences(block: pb.Block, lines: dict[int, tuple[str, str, int, bool, int]]) -> list[str]:
    """Return up to 20 differences between a block's entries and the journal's lines.

    `lines` has tenant, request class, outcome, billed and run time by sequence number.
    """
    differences = []
    for entry in block.entries:
        server_line = (entry.customer, entry.track, int(entry.outcome), entry.billed, entry.run_us)
        if entry.sequence not in lines:
            differences.append(f"entry {entry.sequence} is not in the journal")
        elif lines[entry.sequence] != server_line:
            differences.append(
                f"entry {entry.sequence} differs: server {server_line}, journal {lines[entry.sequence]}"
            )
    block_sequences = {entry.sequence for entry in block.entries}
    if not block.totals:
        differences += [
            f"entry {sequence} is only in the journal" for sequence in sorted(set(lines) - block_sequences)
        ]
    return differences[:20]
