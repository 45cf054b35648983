"""`sablewheel recall`: inspect, verify and compact a server's folder of stored results."""

from __future__ import annotations

import sys
from collections import Counter
from pathlib import Path

import click

from ..result_store.clock_readings import read_clocks
from ..result_store.folder import UnverifiedCompactionError, compact_folder, load_folder
from .main import print_json

folder_argument = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
window_option = click.option(
    "--longest-s",
    default=86400.0,
    show_default=True,
    help="The longest window of any track (request class), in seconds.",
)


@click.group()
def recall() -> None:
    """Inspect the results that a server has stored for idempotency keys (labels).

    \b
    sablewheel recall inspect /var/lib/sablewheel/recall
    sablewheel recall verify /var/lib/sablewheel/recall
    """


@recall.command()
@folder_argument
@window_option
@click.option("--labels", is_flag=True, help="Print each label as JSON.")
def inspect(folder: Path, longest_s: float, labels: bool) -> None:
    """Print how many labels are open, in which states, and the size of the folder. Takes no lock.

    \b
    sablewheel recall inspect /var/lib/sablewheel/recall --labels
    """
    now = read_clocks()
    loaded, notes = load_folder(folder, longest_s, now)
    entries = sorted(loaded.table.runs.values(), key=lambda entry: entry.expires_at)
    if labels:
        for entry in entries:
            print_json(
                {
                    "label": entry.idempotency_key.decode("ascii", "replace"),
                    "name": entry.request_name.decode("ascii", "replace"),
                    "track": entry.request_class,
                    "state": entry.state.value,
                    "result_bytes": len(entry.result),
                    "seconds_left": round(entry.expires_at - now.unix_s, 3),
                }
            )
        return
    states = Counter(entry.state.value for entry in entries)
    size = sum(path.stat().st_size for path in folder.glob("*.seg"))
    summary = ", ".join(f"{count} {name}" for name, count in sorted(states.items())) or "-"
    click.echo(f"{len(entries)} labels open: {summary}")
    click.echo(f"{loaded.record_count} records, {size} bytes; last notice {loaded.last_notice}")
    for note in notes:
        click.echo(f"note: {note}")


@recall.command()
@folder_argument
@window_option
def verify(folder: Path, longest_s: float) -> None:
    """Read every record and print each fault. Exit 1 if there is any.

    \b
    sablewheel recall verify /var/lib/sablewheel/recall
    """
    loaded, notes = load_folder(folder, longest_s, read_clocks())
    for note in notes:
        click.echo(note)
    click.echo(
        f"{len(notes)} faults in {loaded.record_count} records"
        if notes
        else f"in order, {loaded.record_count} records"
    )
    sys.exit(1 if notes else 0)


@recall.command()
@folder_argument
@window_option
def compact(folder: Path, longest_s: float) -> None:
    """Rewrite the open labels and remove all other records. The server must not be running.

    \b
    sablewheel recall compact /var/lib/sablewheel/recall
    """
    try:
        compaction = compact_folder(folder, longest_s, read_clocks())
    except (OSError, UnverifiedCompactionError) as error:
        click.echo(f"sablewheel recall: {folder}: {error}", err=True)
        sys.exit(1)
    for damage in compaction.damages:
        click.echo(f"sablewheel recall: could not be read: {folder}/{damage}", err=True)
    sizes = f"{compaction.bytes_before} bytes before, {compaction.bytes_after} after"
    click.echo(f"{compaction.run_count} labels kept, {sizes}")
