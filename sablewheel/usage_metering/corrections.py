"""Corrections: what may be corrected, by whom, and what a correction says. Pure.

A correction never changes a line. It is a line of its own in the period in which it is made, with the sums it
adds or takes away, what it refers to, why, and who made it.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_REASON_CHARACTERS, MAX_AUTHOR_CHARACTERS = 500, 100
ENTRY = re.compile(r"(?P<server>[^/\s]+)/(?P<incarnation>[0-9a-f]{16})/(?P<sequence>[1-9][0-9]*)")
MAX_COUNT = 1 << 40


class CorrectionError(ValueError):
    """A correction that can't be made; the message names what is wrong."""


@dataclass(frozen=True)
class Target:
    """What a correction refers to: one entry, or a tenant's use in a closed period."""

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
    """What it adds to its tenant's sums; negative where it takes away. Run time in microseconds."""

    target: Target
    customer: str
    track: str
    tickets: int
    run_us: int
    reason: str
    author: str


def target(text: str) -> Target:
    """`SERVER/INCARNATION/SEQUENCE`, or `period NAME`."""
    if text.startswith("period ") and text[7:].strip():
        return Target(period=text[7:].strip())
    match = ENTRY.fullmatch(text.removeprefix("entry "))
    if match is None:
        raise CorrectionError(
            f"{text!r}: neither SERVER/INCARNATION/SEQUENCE of an entry nor 'period NAME' of a closed period"
        )
    return Target(match["server"], bytes.fromhex(match["incarnation"]), int(match["sequence"]))


def check(
    one: Correction,
    closed: bool | None,
    billed: tuple[str, str, int, int] | None,
    made_before: int,
) -> None:
    """Raises `CorrectionError` if it may not be made.

    For a period: `closed` tells whether it is, None if it is not known. For an entry: `billed` holds its
    tenant, request class, billed requests and run time, None if there is no such entry. `made_before` is the
    sum of requests that earlier corrections of the same target have taken away from this tenant.
    """
    _check_texts_and_sums(one)
    if one.target.period:
        if closed is None:
            raise CorrectionError(f"period: {one.target.period!r} is not in the book")
        if not closed:
            raise CorrectionError(f"period: {one.target.period!r} is open; wait until it is closed")
        return
    if billed is None:
        raise CorrectionError(f"entry: there is no {one.target}")
    customer, track, tickets, run_us = billed
    if (customer, track) != (one.customer, one.track):
        raise CorrectionError(f"customer: the entry is of {customer!r}, track {track!r}")
    if one.tickets < 0 and -one.tickets > tickets - made_before:
        raise CorrectionError(
            f"tickets: the entry bills {tickets}, of which {made_before} were taken away before"
        )
    if -one.run_us > run_us:
        raise CorrectionError(f"run time: the entry bills {run_us / 1e6:g} s only")


def _check_texts_and_sums(one: Correction) -> None:
    """Raise `CorrectionError` for a missing or long text, and for sums that are empty or out of range."""
    if not one.reason.strip() or len(one.reason) > MAX_REASON_CHARACTERS:
        raise CorrectionError(f"reason: a text of 1 to {MAX_REASON_CHARACTERS} characters is wanted")
    if not one.author.strip() or len(one.author) > MAX_AUTHOR_CHARACTERS:
        raise CorrectionError(f"author: a name of 1 to {MAX_AUTHOR_CHARACTERS} characters is wanted")
    if not one.tickets and not one.run_us:
        raise CorrectionError("tickets, run time: it corrects nothing")
    if abs(one.tickets) > MAX_COUNT or abs(one.run_us) > MAX_COUNT * 1000:
        raise CorrectionError("tickets, run time: out of range")
