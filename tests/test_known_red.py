"""The effect of KNOWN-RED.txt on a pytest run, tested with small suites in temporary folders."""

from __future__ import annotations

from pathlib import Path

import pytest

pytest_plugins = ["pytester"]

SUITE = """
import pytest

@pytest.fixture
def broken():
    raise RuntimeError("set-up")

@pytest.fixture
def torn():
    yield
    raise RuntimeError("tear-down")

def test_good(): pass
def test_bad(): assert 1 == 2, "one is not two"
def test_skips(): pytest.skip("not here")
@pytest.mark.skipif(True, reason="not here either")
def test_marked(): pass
@pytest.mark.xfail(strict=True)
def test_forgiven(): pass
def test_set_up(broken): pass
def test_tear_down(torn): assert False
@pytest.mark.parametrize("x", ["a | b", "c"])
def test_some(x): assert x == "c"
"""
BAD = "tests/test_suite.py::test_bad | sums are off | issue 12"


SOMETIMES = "tests/test_suite.py::test_bad | sometimes 1 of 6 | pytest -q, seed 2 | sums are off | issue 12"


@pytest.fixture
def suite(pytester: pytest.Pytester, monkeypatch: pytest.MonkeyPatch) -> pytest.Pytester:
    monkeypatch.delenv("PYTEST_ADDOPTS", raising=False)
    pytester.makepyprojecttoml('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    folder = pytester.mkdir("tests")
    (folder / "test_suite.py").write_text(SUITE)
    (folder / "test_other.py").write_text("def test_fine(): pass\n")
    return pytester


def run_suite(suite: pytest.Pytester, listed: str | None, *arguments: str) -> pytest.RunResult:
    if listed is not None:
        (suite.path / "KNOWN-RED.txt").write_text(listed)
    return suite.runpytest_inprocess("-q", "-p", "known_red", *arguments)


def keep_only(suite: pytest.Pytester, *names: str) -> None:
    """Remove all tests but these from the suite."""
    text = SUITE.replace("def test_", "def no_test_")
    for name in names:
        text = text.replace(f"def no_{name}(", f"def {name}(")
    (suite.path / "tests" / "test_suite.py").write_text(text)


def test_a_listed_failure_is_passed_over_and_printed(suite: pytest.Pytester) -> None:
    keep_only(suite, "test_good", "test_bad")
    run = run_suite(suite, BAD + "\n")
    assert run.ret == pytest.ExitCode.OK
    run.assert_outcomes(passed=2, xfailed=1)
    run.stdout.fnmatch_lines(["*known red, passed over*", BAD, "    AssertionError: one is not two*"])


def test_there_may_be_a_line_for_each_open_fault(suite: pytest.Pytester) -> None:
    """Guards against a limit on the number of lines: with a limit of three, other faults were not listed."""
    bodies = "".join(f"def test_bad_{number}(): assert False\n" for number in range(12))
    (suite.path / "tests" / "test_suite.py").write_text(bodies)
    lines = [BAD.replace("test_bad", f"test_bad_{number}") for number in range(12)]
    run = run_suite(suite, "\n".join(lines))
    assert run.ret == pytest.ExitCode.OK
    run.assert_outcomes(passed=1, xfailed=12)


@pytest.mark.parametrize(("name", "outcome"), [("test_bad", "xfailed"), ("test_good", "passed")])
def test_one_that_fails_sometimes_may_pass_and_its_outcome_is_printed(
    suite: pytest.Pytester, name: str, outcome: str
) -> None:
    keep_only(suite, name)
    line = SOMETIMES.replace("test_bad", name)
    run = run_suite(suite, line)
    assert run.ret == pytest.ExitCode.OK
    run.assert_outcomes(**({"passed": 2} if outcome == "passed" else {"passed": 1, "xfailed": 1}))
    message = "    passed this time" if outcome == "passed" else "    AssertionError: one is not two*"
    run.stdout.fnmatch_lines(["*known red, passed over*", line, message])


@pytest.mark.parametrize("name", ["test_skips", "test_set_up"])
def test_one_that_fails_sometimes_is_passed_over_for_its_own_failure_alone(
    suite: pytest.Pytester, name: str
) -> None:
    keep_only(suite, name)
    run = run_suite(suite, SOMETIMES.replace("test_bad", name))
    assert run.ret == pytest.ExitCode.TESTS_FAILED


def test_a_failure_that_is_not_listed_fails_beside_one_that_is(suite: pytest.Pytester) -> None:
    keep_only(suite, "test_bad", "test_some")
    run = run_suite(suite, BAD)
    assert run.ret == pytest.ExitCode.TESTS_FAILED
    run.assert_outcomes(passed=2, xfailed=1, failed=1)


def test_parameters_are_part_of_the_id(suite: pytest.Pytester) -> None:
    keep_only(suite, "test_some")
    line = "tests/test_suite.py::test_some[a | b] | the bar is taken for an end | issue 3"
    run = run_suite(suite, line)
    assert run.ret == pytest.ExitCode.OK
    run.assert_outcomes(passed=2, xfailed=1)
    run.stdout.fnmatch_lines([line.replace("[", "[[]")])


@pytest.mark.parametrize("name", ["test_good", "test_forgiven"])
def test_a_listed_test_that_passes_fails_the_run(suite: pytest.Pytester, name: str) -> None:
    keep_only(suite, name)
    run = run_suite(suite, f"tests/test_suite.py::{name} | none left | issue 1")
    assert run.ret == pytest.ExitCode.TESTS_FAILED
    run.assert_outcomes(passed=1, failed=1)
    run.stdout.fnmatch_lines(["*passes: remove its line*" if name == "test_good" else "*XPASS(strict)*"])
    run.stdout.no_fnmatch_line("*known red*")


@pytest.mark.parametrize("name", ["test_skips", "test_marked"])
def test_a_skip_shows_no_fault(suite: pytest.Pytester, name: str) -> None:
    keep_only(suite, name)
    run = run_suite(suite, f"tests/test_suite.py::{name} | not seen | issue 1")
    assert run.ret == pytest.ExitCode.TESTS_FAILED
    run.stdout.fnmatch_lines(["*is skipped, which shows no fault*"])


@pytest.mark.parametrize("name", ["test_set_up", "test_tear_down"])
def test_an_error_beside_the_body_is_not_passed_over(suite: pytest.Pytester, name: str) -> None:
    keep_only(suite, name)
    run = run_suite(suite, f"tests/test_suite.py::{name} | something | issue 1")
    assert run.ret == pytest.ExitCode.TESTS_FAILED
    run.assert_outcomes(passed=1, errors=1, xfailed=int(name == "test_tear_down"))


@pytest.mark.parametrize(
    "name", ["test_suite.py::test_gone", "test_gone.py::test_a", "test_suite.py::test_some"]
)
def test_an_unknown_id_fails_a_full_run(suite: pytest.Pytester, name: str) -> None:
    run = run_suite(suite, f"tests/{name} | long fixed | issue 1")
    assert run.ret == pytest.ExitCode.USAGE_ERROR
    run.stderr.fnmatch_lines([f"ERROR: KNOWN-RED.txt: no such test: tests/{name}"])


@pytest.mark.parametrize(
    "arguments",
    [
        ("-k", "fine"),
        ("tests/test_other.py",),
        ("--ignore=tests/test_suite.py",),
        ("--deselect=tests/test_suite.py",),
    ],
)
def test_a_partial_run_accepts_ids_that_it_does_not_find(
    suite: pytest.Pytester, arguments: tuple[str, ...]
) -> None:
    run = run_suite(suite, "tests/test_suite.py::test_gone | long fixed | issue 1", *arguments)
    assert run.ret == pytest.ExitCode.OK
    assert run.parseoutcomes()["passed"] == 1


def test_a_test_file_that_can_not_be_imported_is_reported_by_itself(suite: pytest.Pytester) -> None:
    (suite.path / "tests" / "test_suite.py").write_text("import nothing_of_this_name\n")
    run = run_suite(suite, BAD)
    assert run.ret == pytest.ExitCode.INTERRUPTED
    run.stdout.fnmatch_lines(["*nothing_of_this_name*"])


@pytest.mark.parametrize(
    ("listed", "message"),
    [
        (BAD.replace("| sums", "| sometimes | sums"), "line 1: *; expected: *sometimes M of N*"),
        (f"{SOMETIMES}\n{SOMETIMES.replace('1 of 6', '6 of 6')}", "line 2: *sometimes M of N*"),
        (SOMETIMES.replace("1 of 6", "0 of 6"), "line 1: *sometimes M of N*"),
        (SOMETIMES.replace(", seed 2", ""), "line 1: *sometimes M of N*"),
        (SOMETIMES.replace(" | sums are off", ""), "line 1: *sometimes M of N*"),
        (f"{BAD}\n\n", "line 2: ''; expected: *"),
        (f"# those\n{BAD}", "line 1: '# those'; expected: *"),
        (f"{BAD}\ntests/test_suite.py::test_good | slow", "line 2: *; expected: *"),
        ("tests/test_suite.py::test_good | issue 3", "line 1: *; expected: *"),
        ("tests/test_suite.py | all | issue 3", "line 1: *; expected: *"),
        ("tests/test_suite.py::test_good | slow | issue 0", "line 1: *; expected: *"),
        ("tests/test_suite.py::test_good | slow | 7", "line 1: *; expected: *"),
        ("tests/test_suite.py::test_good |  | issue 7", "line 1: *; expected: *"),
        (f"{BAD}\n{BAD}", "line 2: tests/test_suite.py::test_bad is listed twice"),
        ("", "the file is empty; *"),
    ],
)
def test_a_malformed_list_fails_any_run(suite: pytest.Pytester, listed: str, message: str) -> None:
    run = run_suite(suite, listed, "tests/test_other.py")
    assert run.ret == pytest.ExitCode.USAGE_ERROR
    run.stderr.fnmatch_lines([f"ERROR: KNOWN-RED.txt: {message}"])


def test_without_the_file_nothing_is_passed_over(suite: pytest.Pytester) -> None:
    keep_only(suite, "test_good", "test_bad")
    run = run_suite(suite, None)
    assert run.ret == pytest.ExitCode.TESTS_FAILED
    run.assert_outcomes(passed=2, failed=1)
    run.stdout.no_fnmatch_line("*known red*")


def test_ci_runs_all_tests_with_the_plugin(pytestconfig: pytest.Config) -> None:
    assert pytestconfig.pluginmanager.hasplugin("known_red")
    checks = (Path(__file__).parents[1] / ".ci" / "run").read_text().splitlines()
    assert ".venv/bin/python -m pytest -q" in checks  # without arguments: ids are checked in full runs only
