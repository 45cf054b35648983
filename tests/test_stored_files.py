"""Files written by version 0.2.0 (commit f8a8656), before the terms of the code changed, are read as before.

The fixture holds one small set of each kind, written by the programs of that commit in one run: the result
store of a server that was killed, its usage metering folder, and the collector's journal. `expected.json` is
what that commit's own readers made of them.
"""

from __future__ import annotations

import hashlib
import json
import shutil
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from sablewheel.command.main import main
from sablewheel.result_store.clock_readings import ClockReading
from sablewheel.result_store.folder import load_folder

FIXTURE = Path(__file__).parent / "fixtures" / "stored_by_0_2_0"
EXPECTED: dict[str, Any] = json.loads((FIXTURE / "expected.json").read_text())
LONGEST_WINDOW_S = 6.0


@pytest.fixture
def stored(tmp_path: Path) -> Path:
    """A copy that a test may write to."""
    return Path(shutil.copytree(FIXTURE, tmp_path / "stored"))


def run(*arguments: str) -> str:
    """What a command prints; it has to succeed."""
    finished = CliRunner().invoke(main, list(arguments))
    assert finished.exit_code == 0, finished.output
    return finished.output


def test_a_result_store_is_read_with_all_its_runs(stored: Path) -> None:
    expected = EXPECTED["result_store"]
    unix, since_boot, boot = expected["now"]
    recovered, faults = load_folder(
        stored / "result_store", LONGEST_WINDOW_S, ClockReading(unix, since_boot, bytes.fromhex(boot))
    )
    entries = sorted(recovered.table.runs.values(), key=lambda entry: entry.idempotency_key)
    assert faults == []
    assert (recovered.record_count, recovered.last_notice) == (expected["records"], expected["last_notice"])
    assert [
        [
            entry.idempotency_key.decode(),
            entry.request_name.decode(),
            entry.request_class,
            entry.state.value,
            hashlib.sha256(entry.result).hexdigest()[:16],
            round(entry.expires_at, 6),
        ]
        for entry in entries
    ] == expected["entries"]


def test_a_result_store_is_verified_and_compacted_by_the_commands(stored: Path) -> None:
    folder = str(stored / "result_store")
    assert f"in order, {EXPECTED['result_store']['records']} records" in run("recall", "verify", folder)
    assert "labels kept" in run("recall", "compact", folder)


def test_a_journal_has_the_same_lines_and_its_seals_hold(stored: Path) -> None:
    journal = str(stored / "journal.sqlite")
    lines = run("ledger", "show", "--book", journal, "--most", "1000").splitlines()
    assert [json.loads(line) for line in lines] == EXPECTED["usage_lines"]
    assert run("ledger", "verify", "--book", journal) == EXPECTED["verify"]


def test_a_usage_metering_folder_agrees_with_the_journal(stored: Path) -> None:
    printed = run(
        "ledger",
        "reconcile",
        "--book",
        str(stored / "journal.sqlite"),
        "--json",
        str(stored / "usage_metering"),
    )
    assert json.loads(printed) == EXPECTED["reconcile"]
