"""A pytest plugin: the tests known to be red, which KNOWN-RED.txt at the root names, do not fail a run.

A line reads `tests/test_x.py::test_name[parameters] | cause | issue N`; there are three at most, for real
faults that can't be mended now. A listed test is run all the same, and only a failure of its own body is
passed over: not an error of its set-up or tear-down, which says nothing about the fault. That it passes,
or is skipped, fails the run, and so does an id that a whole run does not find, so that no line outlives
its fault. A list with nothing in it is no file.
"""

from __future__ import annotations

import re
from collections.abc import Generator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
WANTED = "wanted: tests/test_x.py::test_name | cause | issue N"
# The id takes all it can, so a bar between the parameters of a test is part of it; a cause has none.
LINE = re.compile(r"([^\s:]+\.py::\S(?:.*\S)?) \| (\S(?:.*\S)?) \| issue ([1-9]\d*)")
# What leaves out a part of the tests; that files were named shows in where the arguments came from.
PARTIAL = ("keyword", "markexpr", "deselect", "ignore", "ignore_glob", "lf")


@dataclass(frozen=True, slots=True)
class Red:
    """A test known to fail."""

    test: str
    cause: str
    issue: int

    def __str__(self) -> str:
        return f"{self.test} | {self.cause} | issue {self.issue}"


REDS = pytest.StashKey[dict[str, Red]]()


def parse(text: str) -> dict[str, Red]:
    """The list, by the tests' ids; ValueError names the line at fault."""
    reds: dict[str, Red] = {}
    if not text:
        raise ValueError("no line in it; a list with nothing in it is no file")
    for number, line in enumerate(text.splitlines(), 1):
        if number > MOST:
            raise ValueError(f"line {number}: {MOST} at most")
        found = LINE.fullmatch(line)
        if found is None:
            raise ValueError(f"line {number}: {line!r}; {WANTED}")
        red = Red(found[1], found[2], int(found[3]))
        if red.test in reds:
            raise ValueError(f"line {number}: {red.test} is listed twice")
        reds[red.test] = red
    return reds


def read(path: Path) -> dict[str, Red]:
    try:
        return parse(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return {}
    except (ValueError, OSError) as error:
        raise pytest.UsageError(f"{NAME}: {error}") from None


def whole(config: pytest.Config) -> bool:
    """Whether all tests are asked for, so that a test that isn't found does not exist."""
    asked = config.args_source is pytest.Config.ArgsSource.TESTPATHS
    return asked and not any(config.getoption(name, None) for name in PARTIAL)


def pytest_configure(config: pytest.Config) -> None:
    config.stash[REDS] = read(config.rootpath / NAME)


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(
    session: pytest.Session, config: pytest.Config, items: Sequence[pytest.Item]
) -> None:
    if session.testsfailed or not whole(config):
        return  # a file that could not be read fails the run by itself, and its tests may well exist
    unknown = config.stash[REDS].keys() - {item.nodeid for item in items}
    if unknown:
        raise pytest.UsageError(f"{NAME}: no such test: {', '.join(sorted(unknown))}")


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    red = item.config.stash[REDS].get(item.nodeid)
    if red is None:
        return report
    if report.when == "call" and report.failed and call.excinfo is not None:
        report.outcome = "skipped"  # with `wasxfail`, what pytest takes for a failure that was expected
        report.wasxfail = f"{red.cause} | issue {red.issue}"
    elif report.skipped or (report.when == "call" and report.passed):
        what = "passes: take its line out" if report.passed else "is skipped, which shows no fault"
        report.outcome = "failed"
        report.longrepr = f"{NAME} lists {red.test}, but it {what}"
    return report


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    reds = config.stash[REDS]
    passed_over = [report for report in terminalreporter.getreports("xfailed") if report.nodeid in reds]
    if not passed_over:
        return
    terminalreporter.section(f"known red, passed over ({NAME})")
    for report in passed_over:
        terminalreporter.write_line(str(reds[report.nodeid]))
        # How it failed this time: another failure than the cause given should be seen.
        terminalreporter.write_line(f"    {_message(report.longrepr)}")


def _message(failure: Any) -> str:
    crash = getattr(failure, "reprcrash", None)
    return (str(failure if crash is None else crash.message).splitlines() or [""])[0]
