"""Reconciliation: what servers have on their own disks against what the collector has in its journal. Pure.

Blocks are compared by digest, so only those that differ are opened. Findings name server, incarnation, block
and entry; what is only not exported yet is told apart from what is missing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from . import usage_metering_pb2 as pb


@dataclass(frozen=True)
class ServerBlock:
    """One block of a server's own file."""

    server: str
    incarnation: bytes
    number: int
    digest: bytes
    entries: int


@dataclass
class ReconciliationReport:
    """What reconciliation found. Lists name things; counts are of requests."""

    same: int = 0  # blocks that agree
    pending: int = 0  # blocks that the journal has not reached yet
    pending_entries: int = 0
    gaps: list[str] = field(default_factory=list)
    doubles: list[str] = field(default_factory=list)
    changed: list[str] = field(default_factory=list)
    unmatched: list[str] = field(default_factory=list)  # incarnations in the journal without files
    billed: dict[tuple[str, str], tuple[int, int]] = field(
        default_factory=dict
    )  # server, tenant: own, journal

    @property
    def clean(self) -> bool:
        """Whether nothing is missing, doubled or different."""
        wrong = [one for one in self.billed.values() if one[0] != one[1]]
        return not (self.gaps or self.doubles or self.changed or wrong)


Held = Callable[[str, bytes, int], bytes | None]  # a block's digest in the journal
Reached = Callable[[str, bytes], int]  # the last number in the journal
Changed = Callable[[ServerBlock, pb.Block], list[str]]  # which entries of a block differ


def compare(
    own: Iterable[tuple[ServerBlock, pb.Block]],
    held: Held,
    reached: Reached,
    changed: Changed,
    difference: ReconciliationReport,
) -> set[tuple[str, bytes]]:
    """One server's blocks, in their order, against the journal; the incarnations that were seen."""
    last: dict[tuple[str, bytes], int] = {}
    for one, block in own:
        key = (one.server, one.incarnation)
        where = f"{one.server}/{one.incarnation.hex()}, block {one.number}"
        before = last.get(key)
        if before is not None and one.number <= before:
            difference.doubles.append(f"{where}: twice in the server's files")
            continue
        if before is not None and one.number > before + 1:
            difference.gaps.append(
                f"{where}: blocks {before + 1} to {one.number - 1} not in the server's files"
            )
        last[key] = one.number
        digest = held(*key, one.number)
        if digest is None:
            if one.number > reached(*key):
                difference.pending += 1
                difference.pending_entries += one.entries
            else:
                difference.gaps.append(f"{where}: {one.entries} entries not in the book")
        elif digest != one.digest:
            difference.changed += [f"{where}: {what}" for what in changed(one, block) or ["another digest"]]
        else:
            difference.same += 1
        if digest is not None:
            _add_billed(difference, one.server, block)
    return set(last)


def _add_billed(difference: ReconciliationReport, server: str, block: pb.Block) -> None:
    sums: dict[str, int] = {}
    for entry in block.entries:
        if entry.billed:
            sums[entry.customer] = sums.get(entry.customer, 0) + 1
    for total in block.totals:
        if total.billed:
            sums[total.customer] = sums.get(total.customer, 0) + total.entries
    for customer, tickets in sums.items():
        before = difference.billed.get((server, customer), (0, 0))
        difference.billed[server, customer] = (before[0] + tickets, before[1])


def differing(block: pb.Block, lines: dict[int, tuple[str, str, int, bool, int]]) -> list[str]:
    """Return the entries of a block that the journal has otherwise.

    `lines` has tenant, request class, outcome, billed and run time by sequence number.
    """
    found = []
    for entry in block.entries:
        own = (entry.customer, entry.track, int(entry.outcome), entry.billed, entry.run_us)
        if entry.sequence not in lines:
            found.append(f"entry {entry.sequence} is not in the book")
        elif lines[entry.sequence] != own:
            found.append(f"entry {entry.sequence} differs: own {own}, book {lines[entry.sequence]}")
    known = {entry.sequence for entry in block.entries}
    if not block.totals:
        found += [f"entry {one} is in the book only" for one in sorted(set(lines) - known)]
    return found[:20]
