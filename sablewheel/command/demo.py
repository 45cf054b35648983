"""`sablewheel demo`: a short day on loopback, live, for somebody who has no clients and no interpreter."""

from __future__ import annotations

from pathlib import Path

import click
from rich.console import Console
from rich.live import Live
from rich.table import Table

from ..experiments.demo import BURSTING, Day, Moment, Outcome

ROWS = (
    ("tickets_in", "requests read"),
    ("tickets_completed", "completed"),
    ("tickets_denied", "rejected"),
    ("tickets_terminated", "failed"),
    ("tickets_gone", "cancelled by their clients"),
    ("open_tickets", "open now"),
    ("said", "credit advertised to clients"),
    ("ledger_entries", "usage entries"),
    ("ledger_disk_bytes", "usage entries on disk, bytes"),
)
PHASES = {
    "calm": "calm: fewer requests than the cores can do",
    "overload": "overload: about half as many again as they can do",
    "burst": f"burst: {BURSTING} sends three times its usual",
}


@click.command()
@click.option("--seconds", default=18.0, show_default=True, help="How long the day is.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--into",
    default="sablewheel-demo",
    show_default=True,
    type=click.Path(path_type=Path),
    help="Where the configuration is written that you can start from.",
)
def demo(seconds: float, seed: int, into: Path) -> None:
    """Play a short day: calm, an overload, a tenant's burst. Needs nothing but this program.

    \b
    sablewheel demo
    sablewheel demo --seconds 60 --into my-first-server
    """
    console = Console(soft_wrap=True)
    console.print("One server, one interpreter, clients and a collector, all on loopback.\n")
    with Day(seconds, seed, into) as day:
        with Live(console=console, refresh_per_second=4) as live:
            for moment in day.play():
                live.update(_table(moment, seconds))
        console.print(
            "\nThe server is told to leave: it answers what is open, and its usage entries are exported."
        )
        _print_summary(console, day.finish())
    console.print(
        f"\nThe configuration of this server is in {into}/: n1.json and features.yaml. Start from it with"
    )
    console.print(f"  sablewheel serve --config {into}/n1.json --features {into}/features.yaml")


def _table(moment: Moment, seconds: float) -> Table:
    table = Table(title=f"{moment.at:4.1f} of {seconds:g} s, {PHASES[moment.phase]}")
    table.add_column("the server's counters", width=32)
    table.add_column("", justify="right", width=14)
    for key, name in ROWS:
        table.add_row(name, moment.counts.get(key, "0"))
    return table


def _print_summary(console: Console, found: Outcome) -> None:
    words = ("completed", "denied", "terminated", "withdrawn", "lost")
    for title, rows in (("by phase", found.by_phase), ("by tenant", found.by_tenant)):
        table = Table(title=f"What clients were answered, {title}")
        table.add_column("")
        for word in words:
            table.add_column(word, justify="right")
        for name, counts in rows.items():
            table.add_row(name, *(str(counts[word]) for word in words))
        console.print(table)
    console.print(
        "Why requests were rejected: the wait in front of the cores would have left too little of their"
    )
    console.print(
        f"time. {found.rejected_within} were within their tenant's quota, {found.rejected_beyond} beyond."
    )
    console.print("Rejected ones were answered at once, with when to come back.")
    order = "in order" if found.verified else "NOT in order"
    console.print(f"Usage metering bills {found.billed} runs; the journal was verified and is {order}.")
