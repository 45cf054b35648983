"""The command's top: what there is, and `serve` and `check`."""

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
    "recall": ("recall", "Look at what a server remembers of its labelled runs."),
    "members": ("members", "Show whom a running server holds to be in its fleet."),
    "trial": ("trial", "Measure a promise with real processes and the failures it is for."),
    "demo": ("demo", "A short day with stand-ins: an overload and a customer's burst, live."),
}


class Lazy(click.Group):
    """Imports a group only when it is called, so that `serve` starts as fast as without the others."""

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


@click.group(cls=Lazy, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="sablewheel")
def main() -> None:
    """An overload controller inside an app server, and what belongs round it.

    \b
    sablewheel demo                                   see it work, with stand-ins
    sablewheel check deploy/sablewheel.yaml           all that is wrong with a features file
    sablewheel serve --config CONFIGURATION.json --features FEATURES.yaml
    """


@main.command()
@click.option("--config", type=click.Path(), help="The configuration (JSON); else RELAY_CONFIG names it.")
@click.option("--features", type=click.Path(), help=f"The features file (YAML); else {VARIABLE} names it.")
def serve(config: str | None, features: str | None) -> None:
    """Start the server; it runs until it is told to leave.

    \b
    sablewheel serve --config n1.json
    sablewheel serve --config n1.json --features deploy/sablewheel.yaml
    """
    environment = dict(os.environ)
    if config is not None:
        environment["RELAY_CONFIG"] = config
    if features is not None:
        environment[VARIABLE] = features
    # A process of its own image: what the command needed is not kept in the server's memory.
    os.execve(sys.executable, [sys.executable, "-m", "sablewheel"], environment)


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path())
def check(files: tuple[str, ...]) -> None:
    """Tell all that is wrong with FILES: features (YAML) or configurations (JSON). Exit 2 if anything is.

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
        except FaultyFeaturesError as trouble:
            faulty = True
            click.echo(str(trouble), err=True)
        except FaultyKeyError as trouble:
            faulty = True
            click.echo(f"{file}: {trouble}", err=True)
        else:
            click.echo(f"{file}: in order")
    if faulty:
        sys.exit(2)


def print_json(value: object) -> None:
    """One line of JSON, as scripts read it."""
    click.echo(json.dumps(value, sort_keys=True))
