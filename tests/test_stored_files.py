"""Files written by earlier commits stay readable.

Version 0.2.0 is commit f8a8656, before the identifiers were renamed; 36b8362 is the last commit before the
texts were reworded. Each fixture contains one small set of files of each kind, written by the programs of its
commit in one run: the result store of a server that was killed, its usage metering folder, and the journal of
the collector. `expected.json` contains the results of the readers of that commit.
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

FIXTURES = Path(__file__).parent / "fixtures"
MAX_WINDOW_S = 6.0


@pytest.fixture(params=["stored_by_0_2_0", "stored_by_36b8362"])
def stored(request: pytest.FixtureRequest, tmp_path: Path) -> Path:
    """Return a copy of a fixture that a test may change."""
    return Path(shutil.copytree(FIXTURES / request.param, tmp_path / "stored"))


@pytest.fixture
def expected(stored: Path) -> dict[str, Any]:
    """Return the results of the readers of the fixture's commit."""
    results: dict[str, Any] = json.loads((stored / "expected.json").read_text())
    return results


def run(*arguments: str) -> str:
    """Run a command, which must succeed, and return its output."""
    result = CliRunner().invoke(main, list(arguments))
    assert result.exit_code == 0, result.output
    return result.output


def test_a_result_store_is_read_with_all_its_runs(stored: Path, expected: dict[str, Any]) -> None:
    expected = expected["result_store"]
    unix_s, since_boot_s, boot_id = expected["now"]
    recovered, faults = load_folder(
        stored / "result_store", MAX_WINDOW_S, ClockReading(unix_s, since_boot_s, bytes.fromhex(boot_id))
    )
    runs = sorted(recovered.table.runs.values(), key=lambda keyed_run: keyed_run.idempotency_key)
    assert faults == []
    assert (recovered.record_count, recovered.last_notice) == (expected["records"], expected["last_notice"])
    assert [
        [
            keyed_run.idempotency_key.decode(),
            keyed_run.request_name.decode(),
            keyed_run.request_class,
            keyed_run.state.value,
            hashlib.sha256(keyed_run.result).hexdigest()[:16],
            round(keyed_run.expires_at, 6),
        ]
        for keyed_run in runs
    ] == expected["entries"]


def test_a_result_store_is_verified_and_compacted_by_the_commands(
    stored: Path, expected: dict[str, Any]
) -> None:
    folder = str(stored / "result_store")
    assert f"in order, {expected['result_store']['records']} records" in run("recall", "verify", folder)
    assert "labels kept" in run("recall", "compact", folder)


def test_a_journal_has_the_same_lines_and_its_seals_hold(stored: Path, expected: dict[str, Any]) -> None:
    journal = str(stored / "journal.sqlite")
    lines = run("ledger", "show", "--book", journal, "--most", "1000").splitlines()
    assert [json.loads(line) for line in lines] == expected["usage_lines"]
    assert run("ledger", "verify", "--book", journal) == expected["verify"]


def test_a_usage_metering_folder_agrees_with_the_journal(stored: Path, expected: dict[str, Any]) -> None:
    output = run(
        "ledger",
        "reconcile",
        "--book",
        str(stored / "journal.sqlite"),
        "--json",
        str(stored / "usage_metering"),
    )
    assert json.loads(output) == expected["reconcile"]
