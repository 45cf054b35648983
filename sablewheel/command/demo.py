"""`sablewheel demo`: a live demonstration on loopback that needs no clients and no interpreter."""

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
    "calm": "calm: fewer requests than the cores can run",
    "overload": "overload: about one and a half times as many as the cores can run",
    "burst": f"burst: {BURSTING} sends three times its usual number of requests",
}


@click.command()
@click.option("--seconds", default=18.0, show_default=True, help="The length of the demonstration.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--into",
    default="sablewheel-demo",
    show_default=True,
    type=click.Path(path_type=Path),
    help="The folder for a configuration to start from.",
)
def demo(seconds: float, seed: int, into: Path) -> None:
    """Show a server under normal load, an overload and a tenant's burst. Needs nothing but this program.

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
            "\nThe server shuts down: it answers all open requests, and its usage entries are exported."
        )
        _print_summary(console, day.finish())
    console.print(
        f"\nThe configuration of this server is in {into}/: n1.json and features.yaml. Start a server with"
    )
    console.print(f"  sablewheel serve --config {into}/n1.json --features {into}/features.yaml")


def _table(moment: Moment, seconds: float) -> Table:
    table = Table(title=f"{moment.at:4.1f} of {seconds:g} s, {PHASES[moment.phase]}")
    table.add_column("the server's counters", width=32)
    table.add_column("", justify="right", width=14)
    for key, name in ROWS:
        table.add_row(name, moment.counts.get(key, "0"))
    return table


def _print_summary(console: Console, outcome: Outcome) -> None:
    answer_kinds = ("completed", "denied", "terminated", "withdrawn", "lost")
    for title, rows in (("by phase", outcome.by_phase), ("by tenant", outcome.by_tenant)):
        table = Table(title=f"Answers to clients, {title}")
        table.add_column("")
        for kind in answer_kinds:
            table.add_column(kind, justify="right")
        for name, counts in rows.items():
            table.add_row(name, *(str(counts[kind]) for kind in answer_kinds))
        console.print(table)
    console.print("Requests were rejected because waiting for a core would have left too little of their")
    console.print(
        f"time. {outcome.rejected_within} were within their tenant's quota, {outcome.rejected_beyond} beyond."
    )
    console.print("Rejected requests were answered at once, with advice when to retry.")
    order = "in order" if outcome.verified else "NOT in order"
    console.print(f"Usage metering bills {outcome.billed} runs; the journal was verified and is {order}.")
