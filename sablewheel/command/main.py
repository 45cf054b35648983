"""The top-level command: the list of subcommand groups, and `serve` and `check`."""

from __future__ import annotations

import importlib
import json
import os
import sys
from pathlib import Path

import click

from .. import __version__
from ..program.configuration import FaultyKeyError, placement_settings
from ..program.feature_file import VARIABLE, FaultyFeaturesError, read

GROUPS = {
    "ledger": ("ledger", "Collect usage, print statements, correct, verify and reconcile."),
    "recall": ("recall", "Inspect the results that a server has stored for idempotency keys."),
    "members": ("members", "Show the members of the fleet as a running server sees them."),
    "trial": ("trial", "Run a measured experiment with real processes and injected failures."),
    "demo": ("demo", "Show an overload and a customer's burst live, with simulated clients."),
}


class LazyGroup(click.Group):
    """Imports a group only when it is called, so that `serve` does not load the others."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted({*super().list_commands(ctx), *GROUPS})

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command, importing its module; None if there is none."""
        if cmd_name in GROUPS:
            module = importlib.import_module(f".{GROUPS[cmd_name][0]}", __package__)
            command = getattr(module, GROUPS[cmd_name][0])
            assert isinstance(command, click.Command)
            return command
        return super().get_command(ctx, cmd_name)


@click.group(cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="sablewheel")
def main() -> None:
    """An overload controller inside an app server, with its tools.

    \b
    sablewheel demo                                   a live demonstration with simulated clients
    sablewheel check deploy/sablewheel.yaml           list all faults of a features file
    sablewheel serve --config CONFIGURATION.json --features FEATURES.yaml
    """


@main.command()
@click.option(
    "--config", type=click.Path(), help="The configuration (JSON). Default: the file named by RELAY_CONFIG."
)
@click.option(
    "--features", type=click.Path(), help=f"The features file (YAML). Default: the file named by {VARIABLE}."
)
def serve(config: str | None, features: str | None) -> None:
    """Start the server; it runs until SIGTERM or SIGINT.

    \b
    sablewheel serve --config n1.json
    sablewheel serve --config n1.json --features deploy/sablewheel.yaml
    """
    environment = dict(os.environ)
    if config is not None:
        environment["RELAY_CONFIG"] = config
    if features is not None:
        environment[VARIABLE] = features
    # Replaces the process image, so that the modules of the command do not stay in the server's memory.
    os.execve(sys.executable, [sys.executable, "-m", "sablewheel"], environment)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """List all faults of FILES: features (YAML) or configurations (JSON). Exit 2 if there is any.

    \b
    sablewheel check deploy/sablewheel.yaml n1.json
    """
    faulty = False
    for file in files:
        try:
            if Path(file).suffix == ".json":
                placement_settings({**os.environ, "RELAY_CONFIG": file})
            else:
                read(file)
        except FaultyFeaturesError as error:
            faulty = True
            click.echo(str(error), err=True)
        except FaultyKeyError as error:
            faulty = True
            click.echo(f"{file}: {error}", err=True)
        else:
            click.echo(f"{file}: in order")
    if faulty:
        sys.exit(2)


def print_json(value: object) -> None:
    """Print a value as one line of JSON, for scripts."""
    click.echo(json.dumps(value, sort_keys=True))
