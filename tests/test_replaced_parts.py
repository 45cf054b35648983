"""Trials replace existing components by faulty variants; a run without its replacement is void."""

from __future__ import annotations

import importlib
import inspect
import os
import subprocess
import sys
from pathlib import Path

import pytest

from sablewheel.command.trial import TRIALS
from sablewheel.experiments import (
    affinity,
    faulty_member,
    faulty_server,
    forwarder,
    replaced_parts,
    replication_scenario,
)
from sablewheel.experiments.result import ExperimentResult
from sablewheel.feature_policy.rollout import FAULTY_VARIANTS as POLICY_VARIANTS
from sablewheel.membership.plan import FAULTY_VARIANTS as MEMBERSHIP_VARIANTS

PACKAGE = "sablewheel.experiments"
FAULTY_CONFIGURATION = 2  # the server's exit code; by then it has imported its modules and replaced the part
VARIANTS = [
    *(("policy_member", kind) for kind in ("ours", "weakest", *POLICY_VARIANTS)),
    *(("faulty_member", kind) for kind in (*faulty_member.BASELINES, *MEMBERSHIP_VARIANTS)),
    *(("faulty_server", kind) for kind in faulty_server.VARIANTS),
    *(("forwarder", kind) for kind in forwarder.VARIANTS),
    *(("affinity_server", kind) for kind in affinity.FAULTY_VARIANTS),
    *(("replication_server", kind) for kind in replication_scenario.REPLICA_TYPES),
]


@pytest.mark.parametrize(("module", "kind"), VARIANTS)
def test_a_variant_replaces_an_existing_part(module: str, kind: str, tmp_path: Path) -> None:
    """Guards against a variant that replaces an unused name: a policy trial ran so without any fault."""
    arguments_by_module = {
        "affinity_server": [str(tmp_path / "version"), kind],
        "forwarder": [kind, str(tmp_path / "in")],
    }
    arguments = arguments_by_module.get(module, [kind, "pay"])
    environment = {key: value for key, value in os.environ.items() if key != "RELAY_CONFIG"}
    process = subprocess.run(
        [sys.executable, "-m", f"sablewheel.experiments.{module}", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env=environment,
        check=False,
    )
    assert process.returncode == FAULTY_CONFIGURATION and "RELAY_CONFIG" in process.stderr, process.stderr


TRIALS_WITH_VARIANTS = sorted(
    trial
    for trial, module in TRIALS.items()
    if "broken" in inspect.signature(importlib.import_module(f"{PACKAGE}.{module}").run).parameters
)


@pytest.mark.parametrize("trial", TRIALS_WITH_VARIANTS)
def test_a_trial_with_the_parameter_broken_offers_its_variants(trial: str) -> None:
    """Guards against the loss of a list that only the command reads: affinity's variants were unavailable."""
    assert importlib.import_module(f"{PACKAGE}.{TRIALS[trial]}").FAULTY_VARIANTS


def test_replacing_an_absent_part_is_an_error() -> None:
    with pytest.raises(AttributeError):
        replaced_parts.replace_part(replaced_parts, "no_such_part", object())


def test_a_replaced_part_is_announced_in_the_log(tmp_path: Path) -> None:
    path = tmp_path / "n1.log"
    path.write_text(
        'time=1.0 level=warning from=x event="part replaced by a trial" part=ours\n'
        "time=2.0 level=info from=x event=other part=ignore-class\n"
    )
    assert replaced_parts.was_announced(path, "ours")
    assert not replaced_parts.was_announced(path, "ignore-class")


def test_a_run_without_its_fault_is_void_and_does_not_hold() -> None:
    result = ExperimentResult("policy")
    result.check("a promise", True)
    assert result.holds
    result.require("a fault", True)
    assert result.holds and not result.void
    result.require("another fault", False)
    assert result.void and not result.holds
    assert "another fault" in result.table() and '"void": true' in result.line()
