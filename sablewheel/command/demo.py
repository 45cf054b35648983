"""`sablewheel demo`: a short day on loopback, live, for somebody who has no routers and no interpreter."""

from __future__ import annotations

from pathlib import Path

import click
from rich.console import Console
from rich.live import Live
from rich.table import Table

from ..experiments.demo import BURSTING, Day, Moment, Outcome

ROWS = (
    ("tickets_in", "tickets read"),
    ("tickets_completed", "completed"),
    ("tickets_denied", "denied"),
    ("tickets_terminated", "terminated"),
    ("tickets_gone", "given up by their callers"),
    ("open_tickets", "open now"),
    ("said", "credit said to routers"),
    ("ledger_entries", "entries in the ledger"),
    ("ledger_disk_bytes", "ledger on disk, bytes"),
)
TELLS = {
    "calm": "calm: fewer tickets than the cores can do",
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
    console.print("One server, one interpreter, routers and a collector, all on loopback.\n")
    with Day(seconds, seed, into) as day:
        with Live(console=console, refresh_per_second=4) as live:
            for moment in day.play():
                live.update(_table(moment, seconds))
        console.print("\nThe server is told to leave: it answers what is open, and its ledger is exported.")
        _tell(console, day.finish())
    console.print(
        f"\nThe configuration of this server is in {into}/: n1.json and features.yaml. Start from it with"
    )
    console.print(f"  sablewheel serve --config {into}/n1.json --features {into}/features.yaml")


def _table(moment: Moment, seconds: float) -> Table:
    table = Table(title=f"{moment.at:4.1f} of {seconds:g} s, {TELLS[moment.phase]}")
    table.add_column("the server's counters", width=32)
    table.add_column("", justify="right", width=14)
    for key, name in ROWS:
        table.add_row(name, moment.counts.get(key, "0"))
    return table


def _tell(console: Console, found: Outcome) -> None:
    words = ("completed", "denied", "terminated", "withdrawn", "lost")
    for title, rows in (("by phase", found.by_phase), ("by customer", found.by_tenant)):
        table = Table(title=f"What routers were answered, {title}")
        table.add_column("")
        for word in words:
            table.add_column(word, justify="right")
        for name, counts in rows.items():
            table.add_row(name, *(str(counts[word]) for word in words))
        console.print(table)
    console.print(
        "Why tickets were denied: the wait in front of the cores would have left too little of their"
    )
    console.print(
        f"time. {found.rejected_within} were within their customer's share, {found.rejected_beyond} beyond."
    )
    console.print("Denied ones were answered at once, with when to come back.")
    order = "in order" if found.verified else "NOT in order"
    console.print(f"The ledger bills {found.billed} runs; its book was verified and is {order}.")
