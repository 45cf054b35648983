"""Statements: what a tenant used in a period, with late entries and corrections listed apart. Pure."""

from __future__ import annotations

import csv
import io
import json
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from .journal_schema import TOTAL

OUTCOMES = {1: "completed", 2: "denied", 3: "terminated", 4: "gone"}


@dataclass(frozen=True)
class Row:
    """Sums of lines that are alike; run time in microseconds."""

    kind: int
    belongs: str | None
    customer: str
    track: str
    outcome: int
    goal_kept: bool
    beyond: bool
    billed: bool
    entries: int
    run_us: int
    asked_bytes: int
    answer_bytes: int


@dataclass(frozen=True)
class CorrectionLine:
    """One correction, as it was made."""

    target: str
    customer: str
    track: str
    tickets: int
    run_us: int
    reason: str
    author: str
    made_us: int


@dataclass
class ClassUsage:
    """One tenant's use by request class."""

    track: str
    completed: int = 0
    in_goal: int = 0
    repeats: int = 0  # completed from a run that was billed already
    denied: int = 0
    terminated: int = 0
    gone: int = 0
    billed: int = 0
    billed_beyond: int = 0
    run_us: int = 0
    asked_bytes: int = 0
    answer_bytes: int = 0
    folded: int = 0  # of all these, known as totals only


@dataclass
class Statement:
    """One tenant in one period."""

    customer: str
    period: str
    zone: str
    closed: bool
    seal: str
    use: dict[str, ClassUsage] = field(default_factory=dict)
    late: dict[str, dict[str, ClassUsage]] = field(default_factory=dict)  # by the period it belongs to
    corrections: list[CorrectionLine] = field(default_factory=list)
    known: bool = True  # whether it is a tenant that the collector was told of
    unsure: int = 0  # completed entries whose answer may never have left its server

    @property
    def tickets(self) -> int:
        """What is billed: runs that were completed, once each, and corrections."""
        return sum(one.billed for one in self._all()) + sum(one.tickets for one in self.corrections)

    @property
    def run_us(self) -> int:
        """Billed run time in microseconds, corrections included."""
        return sum(one.run_us for one in self._all()) + sum(one.run_us for one in self.corrections)

    def _all(self) -> list[ClassUsage]:
        return [*self.use.values(), *(one for late in self.late.values() for one in late.values())]


def add(use: dict[str, ClassUsage], row: Row) -> None:
    """Add a row to the usage of its request class."""
    one = use.setdefault(row.track, ClassUsage(row.track))
    name = OUTCOMES[row.outcome]
    setattr(one, name, getattr(one, name) + row.entries)
    if name == "completed":
        one.in_goal += row.entries * row.goal_kept
        one.repeats += row.entries * (not row.billed)
    if row.billed:
        one.billed += row.entries
        one.billed_beyond += row.entries * row.beyond
        one.run_us += row.run_us
    one.asked_bytes += row.asked_bytes
    one.answer_bytes += row.answer_bytes
    one.folded += row.entries * (row.kind == TOTAL)


def build(
    period: str,
    zone: str,
    seal: bytes | None,
    rows: Iterable[Row],
    corrections: Iterable[CorrectionLine],
    unsure: dict[str, int],
) -> list[Statement]:
    """Statements of all tenants in a period, by name."""
    found: dict[str, Statement] = {}

    def of(customer: str) -> Statement:
        if customer not in found:
            told = seal.hex() if seal else ""
            found[customer] = Statement(customer, period, zone, seal is not None, told)
        return found[customer]

    for row in rows:
        statement = of(row.customer)
        add(statement.use if row.belongs is None else statement.late.setdefault(row.belongs, {}), row)
    for one in corrections:
        of(one.customer).corrections.append(one)
    for customer, entries in unsure.items():
        of(customer).unsure = entries
    return [found[name] for name in sorted(found)]


def as_json(statements: list[Statement]) -> str:
    """Return the statements as JSON."""

    def use(told: dict[str, ClassUsage]) -> list[dict[str, Any]]:
        return [vars(told[name]) for name in sorted(told)]

    return json.dumps(
        [
            {
                "customer": one.customer,
                "period": one.period,
                "zone": one.zone,
                "closed": one.closed,
                "seal": one.seal,
                "billed_tickets": one.tickets,
                "billed_run_us": one.run_us,
                "use": use(one.use),
                "late": {name: use(one.late[name]) for name in sorted(one.late)},
                "known": one.known,
                "corrections": [vars(each) for each in one.corrections],
                "unsure": one.unsure,
            }
            for one in statements
        ],
        indent=2,
        sort_keys=True,
    )


COLUMNS = (
    "customer",
    "period",
    "kind",
    "belongs",
    "track",
    "completed",
    "in_goal",
    "repeats",
    "denied",
    "terminated",
    "gone",
    "billed",
    "billed_beyond",
    "run_us",
    "asked_bytes",
    "answer_bytes",
    "folded",
    "target",
    "reason",
    "author",
)


def as_csv(statements: list[Statement]) -> str:
    """Return the statements as CSV, a line for each request class and correction."""
    out = io.StringIO()
    writer = csv.DictWriter(out, COLUMNS, restval="", lineterminator="\n")
    writer.writeheader()
    for one in statements:
        head = {"customer": one.customer, "period": one.period}
        for belongs, use in [("", one.use), *sorted(one.late.items())]:
            for name in sorted(use):
                kind = "late" if belongs else "use"
                writer.writerow({**head, "kind": kind, "belongs": belongs, **vars(use[name])})
        for each in one.corrections:
            writer.writerow(
                {
                    **head,
                    "kind": "correction",
                    "track": each.track,
                    "billed": each.tickets,
                    "run_us": each.run_us,
                    "target": each.target,
                    "reason": each.reason,
                    "author": each.author,
                }
            )
    return out.getvalue()


def as_text(statements: list[Statement]) -> str:
    """Return the statements as text for people."""
    lines: list[str] = []
    for one in statements:
        state = "closed" if one.closed else "open, may still grow"
        strange = "" if one.known else ", NOT a customer that the collector was told of"
        lines += [f"{one.customer}, {one.period} ({one.zone}, {state}){strange}"]
        head = f"  {'track':20} {'billed':>9} {'run s':>12} {'completed':>9} {'in goal':>9} {'repeats':>8}"
        lines += [f"{head} {'denied':>8} {'terminated':>10} {'gone':>7}"]
        for belongs, use in [("", one.use), *sorted(one.late.items())]:
            if belongs:
                lines.append(f"  late, belongs to {belongs}:")
            for name in sorted(use):
                each = use[name]
                lines.append(
                    f"  {each.track:20} {each.billed:9} {each.run_us / 1e6:12.3f} {each.completed:9}"
                    f" {each.in_goal:9} {each.repeats:8} {each.denied:8} {each.terminated:10} {each.gone:7}"
                )
                if each.folded:
                    lines.append(f"    of these {each.folded} tickets are known as totals only")
        for correction in one.corrections:
            lines.append(
                f"  correction {correction.tickets:+} tickets, {correction.run_us / 1e6:+.3f} s: "
                f"{correction.target}: {correction.reason} ({correction.author})"
            )
        if one.unsure:
            lines.append(
                f"  {one.unsure} completed entries are flagged: a kill may have kept their answers back"
            )
        lines.append(f"  billed: {one.tickets} tickets, {one.run_us / 1e6:.3f} s of run time")
        lines += [f"  seal {one.seal}"] if one.closed else []
        lines.append("")
    return "\n".join(lines)
