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
@click.option("--quick", is_flag=True, help="Shorter: most take under a minute, membership four.")
@click.option("--seed", default=1, show_default=True)
@click.option("--broken", default="", help="A part broken on purpose; the trial must catch it.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Also write the line here.")
def trial(name: str, quick: bool, seed: int, broken: str, json_file: Path | None) -> None:
    """Measure what NAME promises, with real processes and failures. Exit 1 if it does not hold.

    \b
    sablewheel trial ledger --quick
    sablewheel trial ledger --broken no-dedup    must not hold
    """
    module = importlib.import_module(f"..experiments.{TRIALS[name]}", __package__)
    kinds = getattr(module, "FAULTY_VARIANTS", ())
    if broken and broken not in kinds:
        raise click.BadParameter(
            f"{broken!r} is none of {', '.join(kinds) or 'no kinds'}", param_hint="--broken"
        )
    try:
        result = module.run(seed, quick, broken) if kinds else module.run(seed, quick)
    except TestbedError as trouble:
        result = ExperimentResult(name)
        result.check("the rig comes up", False, trouble)
    click.echo(result.table())
    click.echo(result.line())
    if json_file is not None:
        json_file.write_text(result.line() + "\n")
    sys.exit(0 if result.holds else 1)
