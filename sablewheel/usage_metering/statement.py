"""Statements of a tenant's usage in a period, with late entries and corrections listed separately. Pure."""

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
    """Sums of the lines that are equal in all but their amounts; run time in microseconds."""

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
    """A correction in a statement."""

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
    """One tenant's usage of one request class; counts are of requests."""

    track: str
    completed: int = 0
    in_goal: int = 0
    repeats: int = 0  # completed from a run that was billed before
    denied: int = 0
    terminated: int = 0
    gone: int = 0
    billed: int = 0
    billed_beyond: int = 0
    run_us: int = 0
    asked_bytes: int = 0
    answer_bytes: int = 0
    folded: int = 0  # requests that are known only as totals


@dataclass
class Statement:
    """The statement of one tenant in one period."""

    customer: str
    period: str
    zone: str
    closed: bool
    seal: str
    usage: dict[str, ClassUsage] = field(default_factory=dict)
    # By the period that the entries belong to, then by request class.
    late: dict[str, dict[str, ClassUsage]] = field(default_factory=dict)
    corrections: list[CorrectionLine] = field(default_factory=list)
    known: bool = True  # whether the collector is configured with this tenant, or with none
    unsure: int = 0  # completed entries whose answers may not have been sent

    @property
    def tickets(self) -> int:
        """The billed requests: each completed run once, and corrections."""
        return sum(usage.billed for usage in self._all_usages()) + sum(
            correction.tickets for correction in self.corrections
        )

    @property
    def run_us(self) -> int:
        """Billed run time in microseconds, corrections included."""
        return sum(usage.run_us for usage in self._all_usages()) + sum(
            correction.run_us for correction in self.corrections
        )

    def _all_usages(self) -> list[ClassUsage]:
        return [
            *self.usage.values(),
            *(usage for by_class in self.late.values() for usage in by_class.values()),
        ]


def add(by_class: dict[str, ClassUsage], row: Row) -> None:
    """Add a row to the usage of its request class."""
    usage = by_class.setdefault(row.track, ClassUsage(row.track))
    name = OUTCOMES[row.outcome]
    setattr(usage, name, getattr(usage, name) + row.entries)
    if name == "completed":
        usage.in_goal += row.entries * row.goal_kept
        usage.repeats += row.entries * (not row.billed)
    if row.billed:
        usage.billed += row.entries
        usage.billed_beyond += row.entries * row.beyond
        usage.run_us += row.run_us
    usage.asked_bytes += row.asked_bytes
    usage.answer_bytes += row.answer_bytes
    usage.folded += row.entries * (row.kind == TOTAL)


def build(
    period: str,
    zone: str,
    seal: bytes | None,
    rows: Iterable[Row],
    corrections: Iterable[CorrectionLine],
    unsure: dict[str, int],
) -> list[Statement]:
    """Return the statements of all tenants in a period, sorted by tenant name."""
    statements: dict[str, Statement] = {}

    def statement_of(customer: str) -> Statement:
        if customer not in statements:
            seal_text = seal.hex() if seal else ""
            statements[customer] = Statement(customer, period, zone, seal is not None, seal_text)
        return statements[customer]

    for row in rows:
        statement = statement_of(row.customer)
        add(statement.usage if row.belongs is None else statement.late.setdefault(row.belongs, {}), row)
    for correction in corrections:
        statement_of(correction.customer).corrections.append(correction)
    for customer, entries in unsure.items():
        statement_of(customer).unsure = entries
    return [statements[name] for name in sorted(statements)]


def as_json(statements: list[Statement]) -> str:
    """Return the statements as JSON."""

    def usage_rows(by_class: dict[str, ClassUsage]) -> list[dict[str, Any]]:
        return [vars(by_class[name]) for name in sorted(by_class)]

    return json.dumps(
        [
            {
                "customer": statement.customer,
                "period": statement.period,
                "zone": statement.zone,
                "closed": statement.closed,
                "seal": statement.seal,
                "billed_tickets": statement.tickets,
                "billed_run_us": statement.run_us,
                "use": usage_rows(statement.usage),
                "late": {name: usage_rows(statement.late[name]) for name in sorted(statement.late)},
                "known": statement.known,
                "corrections": [vars(correction) for correction in statement.corrections],
                "unsure": statement.unsure,
            }
            for statement in statements
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
    for statement in statements:
        common = {"customer": statement.customer, "period": statement.period}
        for belongs, by_class in [("", statement.usage), *sorted(statement.late.items())]:
            for name in sorted(by_class):
                kind = "late" if belongs else "use"
                writer.writerow({**common, "kind": kind, "belongs": belongs, **vars(by_class[name])})
        for correction in statement.corrections:
            writer.writerow(
                {
                    **common,
                    "kind": "correction",
                    "track": correction.track,
                    "billed": correction.tickets,
                    "run_us": correction.run_us,
                    "target": correction.target,
                    "reason": correction.reason,
                    "author": correction.author,
                }
            )
    return out.getvalue()


def as_text(statements: list[Statement]) -> str:
    """Return the statements as plain text."""
    lines: list[str] = []
    for statement in statements:
        state = "closed" if statement.closed else "open, may still grow"
        unknown_note = "" if statement.known else ", NOT a customer that the collector was told of"
        lines += [f"{statement.customer}, {statement.period} ({statement.zone}, {state}){unknown_note}"]
        header = f"  {'track':20} {'billed':>9} {'run s':>12} {'completed':>9} {'in goal':>9} {'repeats':>8}"
        lines += [f"{header} {'denied':>8} {'terminated':>10} {'gone':>7}"]
        for belongs, by_class in [("", statement.usage), *sorted(statement.late.items())]:
            if belongs:
                lines.append(f"  late, belongs to {belongs}:")
            for name in sorted(by_class):
                usage = by_class[name]
                lines.append(
                    f"  {usage.track:20} {usage.billed:9} {usage.run_us / 1e6:12.3f} {usage.completed:9}"
                    f" {usage.in_goal:9} {usage.repeats:8} {usage.denied:8} {usage.terminated:10}"
                    f" {usage.gone:7}"
                )
                if usage.folded:
                    lines.append(f"    of these {usage.folded} tickets are known as totals only")
        for correction in statement.corrections:
            lines.append(
                f"  correction {correction.tickets:+} tickets, {correction.run_us / 1e6:+.3f} s: "
                f"{correction.target}: {correction.reason} ({correction.author})"
            )
        if statement.unsure:
            lines.append(
                f"  {statement.unsure} completed entries are flagged: a kill may have kept their answers back"
            )
        lines.append(f"  billed: {statement.tickets} tickets, {statement.run_us / 1e6:.3f} s of run time")
        lines += [f"  seal {statement.seal}"] if statement.closed else []
        lines.append("")
    return "\n".join(lines)
