"""`sablewheel ledger`: the collector, and the tools for its journal."""

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
    "--book",
    "book_path",
    required=True,
    type=click.Path(path_type=Path),
    help="The collector's book: its journal.",
)


def print_known_errors(function: Callable[..., None]) -> Callable[..., None]:
    """Wrap a command so that errors with a message for the user are printed without a traceback; exit 1."""

    @wraps(function)
    def wrapper(*args: Any, **kwargs: Any) -> None:
        try:
            function(*args, **kwargs)
        except (JournalError, CorrectionError, FaultyFeaturesError) as error:
            click.echo(f"sablewheel ledger: {error}", err=True)
            sys.exit(1)

    return wrapper


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
    """Collect the exports of many servers in one durable journal, until SIGTERM or SIGINT.

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
@click.option("--period", required=True, help="The period's name: 2026-12-01 (day), 2026-12 (month).")
@click.option("--customer", help="Print this customer only.")
@click.option(
    "--format", "form", type=click.Choice(["text", "csv", "json"]), default="text", show_default=True
)
@print_known_errors
def statement_(book_path: Path, period: str, customer: str | None, form: str) -> None:
    """Print what customers used in a period; the statement of a closed period never changes.

    \b
    sablewheel ledger statement --book book.sqlite --period 2026-12-01 --customer regina-intl
    sablewheel ledger statement --book book.sqlite --period 2026-12 --format csv > december.csv
    """
    statements = reports.statements(Journal(book_path, read_only=True), period, customer)
    formatters = {"text": statement.as_text, "csv": statement.as_csv, "json": statement.as_json}
    click.echo(formatters[form](statements), nl=form == "json")


@ledger.command()
@book_option
@click.option("--customer", required=True)
@click.option("--track", required=True)
@click.option("--target", required=True, help="SERVER/INCARNATION/SEQUENCE of an entry, or 'period NAME'.")
@click.option(
    "--tickets", type=int, default=0, help="Added to the billed tickets; a negative number subtracts."
)
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
    """Add a correction to the open period. The corrected entry or period stays unchanged.

    \b
    sablewheel ledger correct --book book.sqlite --customer regina-intl --track record \\
        --target n1/0192a7c3b1e2f00d/4711 --tickets -1 --reason "ran twice by hand, ticket 17"
    """
    if abs(run_s) > 1e9:
        raise CorrectionError("run time: out of range")
    correction = Correction(
        corrections.target(target), customer, track, tickets, round(run_s * 1e6), reason, author
    )
    if not book_path.exists():
        raise JournalError(f"{book_path}: there is no such book")
    period = Journal(book_path).correct(correction, time.time())
    click.echo(f"corrected in period {period}: {correction.target}, {tickets:+} tickets, {run_s:+g} s")


@ledger.command()
@book_option
@click.option("--against", help="A seal from an older statement, which must still be in the book.")
@print_known_errors
def verify(book_path: Path, against: str | None) -> None:
    """Check every line, seal and block of a journal, and print each fault. Exit 1 if there is any.

    \b
    sablewheel ledger verify --book book.sqlite --against 5f0c...
    """
    journal = Journal(book_path, read_only=True)
    faults = 0
    for fault in journal.verify():
        click.echo(fault)
        faults += 1
    if against is not None and not any(
        bytes(row[0]).hex() == against
        for row in journal.rows("select seal from periods where seal is not null")
    ):
        click.echo(f"no period has the seal {against}")
        faults += 1
    click.echo(f"{faults} faults" if faults else "in order")
    sys.exit(1 if faults else 0)


@ledger.command()
@book_option
@click.option("--customer")
@click.option("--period")
@click.option("--most", default=100, show_default=True, help="The largest number of lines.")
@print_known_errors
def show(book_path: Path, customer: str | None, period: str | None, most: int) -> None:
    """Print single lines of the journal as JSON.

    \b
    sablewheel ledger show --book book.sqlite --customer regina-intl --period 2026-12-01 --most 20
    """
    for row in reports.entries(Journal(book_path, read_only=True), customer, period, most):
        print_json(row)


@ledger.command()
@book_option
@click.argument("folders", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True))
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON.")
@print_known_errors
def reconcile(book_path: Path, folders: tuple[Path, ...], as_json: bool) -> None:
    """Compare servers' own folders with the journal: missing, duplicate and changed entries.

    Exit 1 if there is any.

    \b
    sablewheel ledger reconcile --book book.sqlite /var/lib/sablewheel/n1 /var/lib/sablewheel/n2
    """
    from ..usage_metering.auditing import reconcile_folders

    report, notes = reconcile_folders(Journal(book_path, read_only=True), folders)
    if as_json:
        print_json(
            {
                "clean": report.clean,
                "same": report.same,
                "pending": report.pending,
                "pending_entries": report.pending_entries,
                "gaps": report.gaps,
                "doubles": report.doubles,
                "changed": report.changed,
                "unmatched": report.unmatched,
                "notes": notes,
                "billed": [
                    {"server": key[0], "customer": key[1], "own": counts[0], "book": counts[1]}
                    for key, counts in sorted(report.billed.items())
                ],
            }
        )
    else:
        for title, items in (("gap", report.gaps), ("double", report.doubles), ("changed", report.changed)):
            for item in items:
                click.echo(f"{title}: {item}")
        for (server, customer), (own, recorded) in sorted(report.billed.items()):
            mark = "" if own == recorded else "   differs"
            click.echo(f"{server} {customer}: {own} billed by the server, {recorded} in the book{mark}")
        for note in [*report.unmatched, *notes]:
            click.echo(f"note: {note}")
        pending = f"{report.pending} blocks ({report.pending_entries} entries) not exported yet"
        click.echo(f"{report.same} blocks agree, {pending}; {'in order' if report.clean else 'NOT in order'}")
    sys.exit(0 if report.clean else 1)
