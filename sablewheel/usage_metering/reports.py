"""Queries of the journal's tools: statements, entries and the facts for reconciliation."""

from __future__ import annotations

import difflib
import json
from collections.abc import Iterator

from .journal import Journal, JournalError
from .periods import PeriodError
from .statement import CorrectionLine, Row, Statement, build


def statements(journal: Journal, period: str, customer: str | None = None) -> list[Statement]:
    """Return all tenants' statements of a period, or one tenant's.

    Raises `JournalError` for what is not in the journal.
    """
    try:
        named = journal.periods.named(period)
    except PeriodError as trouble:
        raise JournalError(f"period: {trouble}") from None
    row = next(iter(journal.rows("select id, seal from periods where name = ?", named.name)), None)
    if row is None:
        raise JournalError(f"period: nothing was posted in {period!r}")
    where, values = ("and customer = ?", [customer]) if customer is not None else ("", [])
    rows = (
        Row(one[0], one[1], one[2], one[3], one[4], bool(one[5]), bool(one[6]), bool(one[7]), *one[8:])
        for one in journal.rows(
            "select kind, belongs, customer, track, outcome, goal_kept, beyond, billed, sum(entries),"
            " sum(run_us), sum(asked_bytes), sum(answer_bytes) from lines"
            f" where period = ? and kind < 2 {where}"
            " group by kind, belongs, customer, track, outcome, goal_kept, beyond, billed",
            row[0],
            *values,
        )
    )
    corrections = [
        CorrectionLine(told["target"], one[0], one[1], one[2], one[3], told["reason"], told["author"], one[4])
        for one in journal.rows(
            "select customer, track, entries, run_us, ended_us, more from lines where period = ? and kind = 2"
            f" {where} order by place",
            row[0],
            *values,
        )
        if (told := json.loads(one[5]))
    ]
    unsure = dict(
        journal.rows(
            "select l.customer, count(*) from unsure u join blocks b on b.source = u.source"
            " and b.last_sequence > u.after_sequence and b.first_sequence <= u.through_sequence"
            " join lines l on l.block = b.id and l.sequence > u.after_sequence"
            f" and l.sequence <= u.through_sequence where l.period = ? and l.outcome = 1 {where}"
            " group by l.customer",
            row[0],
            *values,
        )
    )
    found = build(
        named.name,
        journal.periods.calendar.zone,
        bytes(row[1]) if row[1] else None,
        rows,
        corrections,
        unsure,
    )
    known = journal.customers()
    for one in found:
        one.known = not known or one.customer in known
    if customer is not None and not found:
        names = [
            one[0] for one in journal.rows("select distinct customer from lines where period = ?", row[0])
        ]
        near = difflib.get_close_matches(customer, names, 1)
        hint = f"; {near[0]!r} may be meant" if near else ""
        raise JournalError(f"customer: nothing of {customer!r} in {period}{hint}")
    return found


def entries(
    journal: Journal, customer: str | None, period: str | None, most: int
) -> Iterator[dict[str, object]]:
    """Lines one by one, in the order in which they were posted, at most so many."""
    where, values = ["1"], []
    for name, value in (("l.customer", customer), ("p.name", period)):
        if value is not None:
            where.append(f"{name} = ?")
            values.append(value)
    query = (
        "select p.name, l.place, l.kind, s.server, s.incarnation, l.sequence, l.belongs, l.customer, l.track,"
        " l.outcome, l.goal_kept, l.beyond, l.billed, l.entries, l.run_us, l.ended_us, l.name, l.run, l.more"
        " from lines l join periods p on l.period = p.id left join blocks b on l.block = b.id"
        f" left join sources s on b.source = s.id where {' and '.join(where)}"
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
    for row in journal.rows(query, *values, most):
        yield {
            name: value.hex() if isinstance(value, bytes) else value
            for name, value in zip(names, row, strict=True)
        }
