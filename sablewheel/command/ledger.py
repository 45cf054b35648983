"""`sablewheel ledger`: the collector and the tools on its journal."""

from __future__ import annotations

import getpass
import sys
import time
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any

import click

from ..program.feature_file import FaultyFeaturesError, read
from ..usage_metering import corrections, reports, statement
from ..usage_metering.corrections import Correction, CorrectionError
from ..usage_metering.journal import Journal, JournalError
from .main import print_json

book_option = click.option(
    "--book", "book_path", required=True, type=click.Path(path_type=Path), help="The collector's book."
)


def print_known_errors(function: Callable[..., None]) -> Callable[..., None]:
    """Errors that have a sentence of their own are printed as that; exit 1."""

    @wraps(function)
    def inner(*values: Any, **named: Any) -> None:
        try:
            function(*values, **named)
        except (JournalError, CorrectionError, FaultyFeaturesError) as trouble:
            click.echo(f"sablewheel ledger: {trouble}", err=True)
            sys.exit(1)

    return inner


@click.group()
def ledger() -> None:
    """Collect usage, print statements, correct, verify and reconcile.

    \b
    sablewheel ledger collect --features deploy/sablewheel.yaml
    sablewheel ledger statement --book book.sqlite --period 2026-12-01
    sablewheel ledger reconcile --book book.sqlite /var/lib/sablewheel/n1 /var/lib/sablewheel/n2
    """


@ledger.command()
@click.option(
    "--features", required=True, type=click.Path(), help="A features file with a collector section."
)
@print_known_errors
def collect(features: str) -> None:
    """Take the exports of many servers into one durable journal, until told to leave (SIGTERM, SIGINT).

    \b
    sablewheel ledger collect --features collector.yaml
    """
    from ..program.collector_process import run

    plan = read(features).collector
    if plan is None:
        raise JournalError(f"{features}: no collector section")
    sys.exit(run(plan))


@ledger.command("statement")
@book_option
@click.option("--period", required=True, help="Its name, as 2026-12-01 (day), 2026-12 (month).")
@click.option("--customer", help="One customer only.")
@click.option(
    "--format", "form", type=click.Choice(["text", "csv", "json"]), default="text", show_default=True
)
@print_known_errors
def statement_(book_path: Path, period: str, customer: str | None, form: str) -> None:
    """What customers used in a period; the same for ever once it is closed.

    \b
    sablewheel ledger statement --book book.sqlite --period 2026-12-01 --customer regina-intl
    sablewheel ledger statement --book book.sqlite --period 2026-12 --format csv > december.csv
    """
    found = reports.statements(Journal(book_path, read_only=True), period, customer)
    forms = {"text": statement.as_text, "csv": statement.as_csv, "json": statement.as_json}
    click.echo(forms[form](found), nl=form == "json")


@ledger.command()
@book_option
@click.option("--customer", required=True)
@click.option("--track", required=True)
@click.option("--target", required=True, help="SERVER/INCARNATION/SEQUENCE of an entry, or 'period NAME'.")
@click.option("--tickets", type=int, default=0, help="Added to the billed tickets; negative takes away.")
@click.option("--run-s", type=float, default=0.0, help="Added to the billed run time, in seconds.")
@click.option("--reason", required=True)
@click.option("--author", default=getpass.getuser, show_default="you")
@print_known_errors
def correct(
    book_path: Path,
    customer: str,
    track: str,
    target: str,
    tickets: int,
    run_s: float,
    reason: str,
    author: str,
) -> None:
    """Add a correction to the open period. What it refers to stays as it is.

    \b
    sablewheel ledger correct --book book.sqlite --customer regina-intl --track record \\
        --target n1/0192a7c3b1e2f00d/4711 --tickets -1 --reason "ran twice by hand, ticket 17"
    """
    if abs(run_s) > 1e9:
        raise CorrectionError("run time: out of range")
    one = Correction(corrections.target(target), customer, track, tickets, round(run_s * 1e6), reason, author)
    if not book_path.exists():
        raise JournalError(f"{book_path}: there is no such book")
    period = Journal(book_path).correct(one, time.time())
    click.echo(f"corrected in period {period}: {one.target}, {tickets:+} tickets, {run_s:+g} s")


@ledger.command()
@book_option
@click.option("--against", help="A seal from an older statement: it must still be in the book.")
@print_known_errors
def verify(book_path: Path, against: str | None) -> None:
    """Check every line, seal and block of a journal; each fault with its place. Exit 1 if there is any.

    \b
    sablewheel ledger verify --book book.sqlite --against 5f0c...
    """
    journal = Journal(book_path, read_only=True)
    faults = 0
    for fault in journal.verify():
        click.echo(fault)
        faults += 1
    if against is not None and not any(
        bytes(one[0]).hex() == against
        for one in journal.rows("select seal from periods where seal is not null")
    ):
        click.echo(f"no period has the seal {against}")
        faults += 1
    click.echo(f"{faults} faults" if faults else "in order")
    sys.exit(1 if faults else 0)


@ledger.command()
@book_option
@click.option("--customer")
@click.option("--period")
@click.option("--most", default=100, show_default=True, help="Lines at the most.")
@print_known_errors
def show(book_path: Path, customer: str | None, period: str | None, most: int) -> None:
    """Lines one by one, as JSON.

    \b
    sablewheel ledger show --book book.sqlite --customer regina-intl --period 2026-12-01 --most 20
    """
    for row in reports.entries(Journal(book_path, read_only=True), customer, period, most):
        print_json(row)


@ledger.command()
@book_option
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--json", "as_json", is_flag=True, help="One line of JSON.")
@print_known_errors
def reconcile(book_path: Path, folders: tuple[Path, ...], as_json: bool) -> None:
    """Compare servers' own folders with the journal: gaps, doubles, changed entries.

    Exit 1 if there is any.

    \b
    sablewheel ledger reconcile --book book.sqlite /var/lib/sablewheel/n1 /var/lib/sablewheel/n2
    """
    from ..usage_metering.auditing import reconcile_folders

    found, notes = reconcile_folders(Journal(book_path, read_only=True), folders)
    if as_json:
        print_json(
            {
                "clean": found.clean,
                "same": found.same,
                "pending": found.pending,
                "pending_entries": found.pending_entries,
                "gaps": found.gaps,
                "doubles": found.doubles,
                "changed": found.changed,
                "unmatched": found.unmatched,
                "notes": notes,
                "billed": [
                    {"server": key[0], "customer": key[1], "own": one[0], "book": one[1]}
                    for key, one in sorted(found.billed.items())
                ],
            }
        )
    else:
        for title, items in (("gap", found.gaps), ("double", found.doubles), ("changed", found.changed)):
            for one in items:
                click.echo(f"{title}: {one}")
        for (server, customer), (own, held) in sorted(found.billed.items()):
            mark = "" if own == held else "   differs"
            click.echo(f"{server} {customer}: {own} billed by the server, {held} in the book{mark}")
        for one in [*found.unmatched, *notes]:
            click.echo(f"note: {one}")
        pending = f"{found.pending} blocks ({found.pending_entries} entries) not exported yet"
        click.echo(f"{found.same} blocks agree, {pending}; {'in order' if found.clean else 'NOT in order'}")
    sys.exit(0 if found.clean else 1)
