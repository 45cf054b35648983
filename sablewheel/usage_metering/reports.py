"""Queries for the `ledger` commands: statements and entries."""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterator

from .journal import Journal, JournalError
from .periods import PeriodError
from .statement import CorrectionLine, Row, Statement, build


def statements(journal: Journal, period: str, customer: str | None = None) -> list[Statement]:
    """Return all tenants' statements of a period, or one tenant's.

    Raises `JournalError` if the period or the tenant is not in the journal.
    """
    try:
        named_period = journal.periods.named(period)
    except PeriodError as error:
        raise JournalError(f"period: {error}") from None
    row = next(iter(journal.rows("select id, seal from periods where name = ?", named_period.name)), None)
    if row is None:
        raise JournalError(f"period: nothing was posted in {period!r}")
    customer_filter, values = ("and customer = ?", [customer]) if customer is not None else ("", [])
    rows = (
        Row(
            line[0],
            line[1],
            line[2],
            line[3],
            line[4],
            bool(line[5]),
            bool(line[6]),
            bool(line[7]),
            *line[8:],
        )
        for line in journal.rows(
            "select kind, belongs, customer, track, outcome, goal_kept, beyond, billed, sum(entries),"
            " sum(run_us), sum(asked_bytes), sum(answer_bytes) from lines"
            f" where period = ? and kind < 2 {customer_filter}"
            " group by kind, belongs, customer, track, outcome, goal_kept, beyond, billed",
            row[0],
            *values,
        )
    )
    corrections = [
        CorrectionLine(
            details["target"],
            line[0],
            line[1],
            line[2],
            line[3],
            details["reason"],
            details["author"],
            line[4],
        )
        for line in journal.rows(
            "select customer, track, entries, run_us, ended_us, more from lines where period = ? and kind = 2"
            f" {customer_filter} order by place",
            row[0],
            *values,
        )
        if (details := json.loads(line[5]))
    ]
    unsure = dict(
        journal.rows(
            "select l.customer, count(*) from unsure u join blocks b on b.source = u.source"
            " and b.last_sequence > u.after_sequence and b.first_sequence <= u.through_sequence"
            " join lines l on l.block = b.id and l.sequence > u.after_sequence"
            f" and l.sequence <= u.through_sequence where l.period = ? and l.outcome = 1 {customer_filter}"
            " group by l.customer",
            row[0],
            *values,
        )
    )
    result = build(
        named_period.name,
        journal.periods.calendar.zone,
        bytes(row[1]) if row[1] else None,
        rows,
        corrections,
        unsure,
    )
    known = journal.customers()
    for statement in result:
        statement.known = not known or statement.customer in known
    if customer is not None and not result:
        names = [
            line[0] for line in journal.rows("select distinct customer from lines where period = ?", row[0])
        ]
        similar = difflib.get_close_matches(customer, names, 1)
        hint = f"; {similar[0]!r} may be meant" if similar else ""
        raise JournalError(f"customer: nothing of {customer!r} in {period}{hint}")
    return result


def entries(
    journal: Journal, customer: str | None, period: str | None, limit: int
) -> Iterator[dict[str, object]]:
    """Yield up to `limit` lines, by period, in the order in which they were posted."""
    conditions, values = ["1"], []
    for name, value in (("l.customer", customer), ("p.name", period)):
        if value is not None:
            conditions.append(f"{name} = ?")
            values.append(value)
    query = (
        "select p.name, l.place, l.kind, s.server, s.incarnation, l.sequence, l.belongs, l.customer, l.track,"
        " l.outcome, l.goal_kept, l.beyond, l.billed, l.entries, l.run_us, l.ended_us, l.name, l.run, l.more"
        " from lines l join periods p on l.period = p.id left join blocks b on l.block = b.id"
        f" left join sources s on b.source = s.id where {' and '.join(conditions)}"
        " order by p.start_us, l.place limit ?"
    )
    names = (
        "period",
        "line",
        "kind",
        "server",
        "incarnation",
        "sequence",
        "belongs",
        "customer",
        "track",
        "outcome",
        "goal_kept",
        "beyond_share",
        "billed",
        "entries",
        "run_us",
        "ended_us",
        "name",
        "run",
        "more",
    )
    for row in journal.rows(query, *values, limit):
        yield {
            name: value.hex() if isinstance(value, bytes) else value
            for name, value in zip(names, row, strict=True)
        }
