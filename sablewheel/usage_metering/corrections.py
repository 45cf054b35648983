"""Corrections of billed usage, and the checks that they must pass. Pure.

A correction never changes a line. It is a separate line in the period in which it is made, with the sums that
it adds or deducts, its target, its reason and its author.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_REASON_CHARACTERS, MAX_AUTHOR_CHARACTERS = 500, 100
ENTRY = re.compile(r"(?P<server>[^/\s]+)/(?P<incarnation>[0-9a-f]{16})/(?P<sequence>[1-9][0-9]*)")
MAX_COUNT = 1 << 40


class CorrectionError(ValueError):
    """The correction is not allowed; the message names the field and the cause."""


@dataclass(frozen=True)
class Target:
    """The target of a correction: one entry, or a tenant's usage in a closed period."""

    server: str = ""
    incarnation: bytes = b""
    sequence: int = 0
    period: str = ""

    def __str__(self) -> str:
        if self.period:
            return f"period {self.period}"
        return f"entry {self.server}/{self.incarnation.hex()}/{self.sequence}"


@dataclass(frozen=True)
class Correction:
    """The sums added to a tenant's usage, negative for deductions; run time in microseconds."""

    target: Target
    customer: str
    track: str
    tickets: int
    run_us: int
    reason: str
    author: str


def target(text: str) -> Target:
    """Parse `SERVER/INCARNATION/SEQUENCE` or `period NAME`; raises `CorrectionError`."""
    if text.startswith("period ") and text[7:].strip():
        return Target(period=text[7:].strip())
    match = ENTRY.fullmatch(text.removeprefix("entry "))
    if match is None:
        raise CorrectionError(
            f"{text!r}: neither SERVER/INCARNATION/SEQUENCE of an entry nor 'period NAME' of a closed period"
        )
    return Target(match["server"], bytes.fromhex(match["incarnation"]), int(match["sequence"]))


def check(
    correction: Correction,
    closed: bool | None,
    billed: tuple[str, str, int, int] | None,
    already_deducted: int,
) -> None:
    """Check that a correction is allowed.

    Args:
        correction: The correction.
        closed: For a period, whether it is closed; None if it is not in the journal.
        billed: For an entry, its tenant, request class, billed requests and run time; None if there is none.
        already_deducted: Requests that earlier corrections of this target have deducted for this tenant.

    Raises:
        CorrectionError: The correction is not allowed.
    """
    _check_texts_and_sums(correction)
    if correction.target.period:
        if closed is None:
            raise CorrectionError(f"period: {correction.target.period!r} is not in the journal")
        if not closed:
            raise CorrectionError(
                f"period: {correction.target.period!r} is open; only closed periods are corrected"
            )
        return
    if billed is None:
        raise CorrectionError(f"entry: there is no {correction.target}")
    customer, track, tickets, run_us = billed
    if (customer, track) != (correction.customer, correction.track):
        raise CorrectionError(f"customer: the entry is of {customer!r}, track {track!r}")
    if correction.tickets < 0 and -correction.tickets > tickets - already_deducted:
        raise CorrectionError(
            f"tickets: the entry bills {tickets}, of which {already_deducted} were deducted before"
        )
    if -correction.run_us > run_us:
        raise CorrectionError(f"run time: the entry bills only {run_us / 1e6:g} s")


def _check_texts_and_sums(correction: Correction) -> None:
    """Raise `CorrectionError` for a missing or too long text, and for sums that are zero or out of range."""
    if not correction.reason.strip() or len(correction.reason) > MAX_REASON_CHARACTERS:
        raise CorrectionError(f"reason: a text of 1 to {MAX_REASON_CHARACTERS} characters is required")
    if not correction.author.strip() or len(correction.author) > MAX_AUTHOR_CHARACTERS:
        raise CorrectionError(f"author: a name of 1 to {MAX_AUTHOR_CHARACTERS} characters is required")
    if not correction.tickets and not correction.run_us:
        raise CorrectionError("tickets, run time: it corrects nothing")
    if abs(correction.tickets) > MAX_COUNT or abs(correction.run_us) > MAX_COUNT * 1000:
        raise CorrectionError("tickets, run time: out of range")
