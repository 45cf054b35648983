"""What the cases on the usage ledger share: the collector, and what a statement bills."""

from __future__ import annotations

import asyncio
import json
import subprocess
import time
from collections import Counter
from pathlib import Path

from standins import ROOT, NotRunError, Process, Site, free_port

PYTHON = ROOT / ".venv" / "bin" / "python"
SABLEWHEEL = [str(PYTHON), "-c", "from sablewheel.command.main import main; main()"]  # the command line
PERIOD = "{zone: UTC, length: month, lag-s: 3600}"


class Collector:
    """The project's collector and its book."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self.port = free_port()
        self.book = site.folder / "book.sqlite"
        self.process: Process

    async def start(self) -> None:
        """Start the collector and wait until it listens."""
        features = self._site.folder / "collector.yaml"
        lines = ["version: 1", "collector:", f"  book: {self.book}", f"  listen: 127.0.0.1:{self.port}"]
        features.write_text("\n".join([*lines, f"  period: {PERIOD}", ""]), encoding="utf-8")
        command = [*SABLEWHEEL, "ledger", "collect", "--features", str(features)]
        self.process = self._site.start("collector", command)
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline and self.process.alive:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.close()
            return
        raise NotRunError(f"the collector does not listen: {self.process.log.read_text()[-500:]}")

    def statements(self) -> list[dict[str, object]]:
        """Return the statements of all months that the book has."""
        found: list[dict[str, object]] = []
        now = time.time()
        for period in sorted({time.strftime("%Y-%m", time.gmtime(now - age)) for age in (0, 600)}):
            command = [*SABLEWHEEL, "ledger", "statement", "--book", str(self.book), "--period", period]
            done = subprocess.run(
                [*command, "--format", "json"], cwd=ROOT, capture_output=True, check=False, timeout=30
            )
            if not done.returncode:
                found += json.loads(done.stdout)
        return found

    def billed(self) -> Counter[str]:
        """Return the billed requests by tenant."""
        counts: Counter[str] = Counter()
        for statement in self.statements():
            counts[str(statement["customer"])] += int(str(statement["billed_tickets"]))
        return counts

    def billed_names(self) -> Counter[str]:
        """Return how often the book bills each try, by the id of the try."""
        command = [*SABLEWHEEL, "ledger", "show", "--book", str(self.book), "--most", "1000000"]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, check=True, timeout=30)
        lines = [json.loads(line) for line in done.stdout.splitlines()]
        return Counter(line["name"] for line in lines if line["billed"] and line["name"])

    async def settled(self, entries: int, within_s: float = 20.0) -> None:
        """Wait until the book has `entries` entries and has not grown for a second, or `within_s` is over."""
        deadline, before, since = time.monotonic() + within_s, -1, time.monotonic()
        while time.monotonic() < deadline:
            uses = [use for statement in self.statements() for use in _uses(statement)]
            outcomes = ("completed", "denied", "terminated", "gone")
            count = sum(int(str(use[outcome])) for use in uses for outcome in outcomes)
            if count != before:
                before, since = count, time.monotonic()
            elif count >= entries and time.monotonic() > since + 1.0:
                return
            await asyncio.sleep(0.3)


def _uses(statement: dict[str, object]) -> list[dict[str, object]]:
    use = statement["use"]
    assert isinstance(use, list)
    return use


def ledger_section(folder: Path, port: int, commit_every_s: float = 0.04) -> str:
    """Return the section `ledger` of a features file: durable, exported to the collector."""
    lines = ["ledger:", "  depth: durable", f"  folder: {folder}", f"  commit-every-s: {commit_every_s}"]
    lines += [f"  period: {PERIOD}", "  export:"]
    return "\n".join([*lines, f"    address: 127.0.0.1:{port}", ""])


def recall_section(folder: Path) -> str:
    """Return the section `recall` of a features file."""
    return "\n".join(["recall:", f"  folder: {folder}", ""])
