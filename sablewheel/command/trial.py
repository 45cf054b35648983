"""`sablewheel trial NAME`: the measured experiments."""

from __future__ import annotations

import importlib
import sys
from pathlib import Path

import click

from ..experiments.result import ExperimentResult
from ..experiments.testbed import TestbedError

TRIALS = {
    "affinity": "affinity",
    "affinity-model": "affinity_model",
    "affinity-size": "affinity_size",
    "forwarding": "forwarding",
    "ledger": "ledger",
    "ledger-cost": "ledger_cost",
    "ledger-size": "ledger_size",
    "membership": "membership",
    "membership-model": "membership_model",
    "membership-size": "membership_size",
    "policy": "policy",
    "recall": "recall",
    "recall-cost": "recall_cost",
    "replication": "replication",
    "replication-model": "replication_model",
    "replication-size": "replication_size",
}


@click.command()
@click.argument("name", type=click.Choice(sorted(TRIALS)))
@click.option(
    "--quick", is_flag=True, help="Run a shorter version: most take under a minute, membership four."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--broken", default="", help="A faulty variant of a component, which the trial must detect.")
@click.option(
    "--json",
    "json_file",
    type=click.Path(path_type=Path),
    help="Also write the result to this file, as one line of JSON.",
)
def trial(name: str, quick: bool, seed: int, broken: str, json_file: Path | None) -> None:
    """Run the experiment NAME with real processes and failures. Exit 1 if a check fails.

    \b
    sablewheel trial ledger --quick
    sablewheel trial ledger --broken no-dedup    must fail
    """
    module = importlib.import_module(f"..experiments.{TRIALS[name]}", __package__)
    variants = getattr(module, "FAULTY_VARIANTS", ())
    if broken and broken not in variants:
        raise click.BadParameter(
            f"{broken!r} is none of {', '.join(variants) or 'no variants'}", param_hint="--broken"
        )
    try:
        result = module.run(seed, quick, broken) if variants else module.run(seed, quick)
    except TestbedError as error:
        result = ExperimentResult(name)
        result.check("the testbed starts", False, error)
    click.echo(result.table())
    click.echo(result.line())
    if json_file is not None:
        json_file.write_text(result.line() + "\n")
    sys.exit(0 if result.holds else 1)
