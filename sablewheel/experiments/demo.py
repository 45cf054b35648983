"""The demo's day: a server with its stand-ins on loopback, an overload, a tenant's burst, and what came of
it.
"""

from __future__ import annotations

import json
import os
import signal
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from ..usage_metering.journal import Journal
from .ledger import collector_features, features
from .testbed import TENANTS, Process, Testbed, free_port

CALM, OVERLOAD, BURST = 80, 260, 100  # requests a second; the interpreter does about 160
BURSTING = "yorkton"


@dataclass
class Moment:
    """How things stand; `counts` are the server's own counters."""

    at: float
    phase: str
    counts: dict[str, str]


@dataclass
class Outcome:
    """What came of the day, by tenant and by phase."""

    by_tenant: dict[str, Counter[str]] = field(default_factory=dict)
    by_phase: dict[str, Counter[str]] = field(default_factory=dict)
    rejected_beyond: int = 0
    rejected_within: int = 0
    billed: int = 0
    verified: bool = False


class Day:
    """ClassUsage as a context; `play` yields a moment each half second, `outcome` tells the rest."""

    def __init__(self, seconds: float, seed: int, into: Path) -> None:
        self.seconds, self.into = seconds, into
        self.testbed = Testbed(seed)
        self.server: Process | None = None
        self._begun = 0.0

    def __enter__(self) -> Day:
        testbed, door = self.testbed, free_port()
        port, vm = free_port(), free_port()
        self.into.mkdir(parents=True, exist_ok=True)
        collector = testbed.folder / "collector.yaml"
        collector.write_text(collector_features(door, testbed.folder / "book.sqlite"))
        self.collector = testbed.start("collector", "sablewheel.experiments.collector", str(collector))
        testbed.wait_for_port(door, self.collector)
        testbed.interpreter("n1", vm)
        text = features("durable", door, testbed.folder / "ledger")
        self.server = testbed.server("n1", port, vm, text, settings={"servers": 1})
        self._write_configuration(testbed.folder / "n1.json", text)
        self._address = f"127.0.0.1:{port}"
        return self

    def __exit__(self, *_: object) -> None:
        self.testbed.__exit__()

    def _write_configuration(self, configuration: Path, text: str) -> None:
        """To start from: the configuration of the day, and its features with a folder that stays."""
        told = json.loads(configuration.read_text())
        (self.into / "n1.json").write_text(json.dumps(told, indent=2) + "\n")
        folder = self.into / "ledger"
        (self.into / "features.yaml").write_text(
            text.replace(str(self.testbed.folder / "ledger"), str(folder))
        )

    def phases(self) -> list[tuple[str, float, int]]:
        third = self.seconds / 3
        return [("calm", third, CALM), ("overload", third, OVERLOAD), ("burst", third, BURST)]

    def play(self) -> Iterator[Moment]:
        self._begun = time.monotonic()
        end = 0.0
        assert self.server is not None
        for turn, (name, span, rate) in enumerate(self.phases()):
            end += span
            bursts = [{"customer": BURSTING, "from": 0, "to": span, "times": 3}] if name == "burst" else []
            router = self.testbed.router(
                name,
                [self._address],
                rate=rate,
                seconds=span,
                bursts=bursts,
                repeats=0.15,
                cancels=0.02,
                patience_end=3.0,
                seed=self.testbed.seed + turn,  # names and idempotency keys of their own
            )
            while (now := time.monotonic() - self._begun) < end:
                time.sleep(0.5)
                os.kill(self.server.popen.pid, signal.SIGUSR1)
                yield Moment(now, name, self.testbed.counters(self.server))
            router.popen.wait(15)

    def finish(self) -> Outcome:
        """Drain the server, then read what routers hold and what the ledger says."""
        assert self.server is not None
        time.sleep(0.6)
        self.server.leave()
        time.sleep(0.5)
        self.collector.leave()
        found = Outcome(
            {name: Counter() for name in TENANTS}, {name: Counter() for name, _, _ in self.phases()}
        )
        for phase in found.by_phase:
            for one in self.testbed.held(phase):
                found.by_phase[phase][one["how"]] += 1
                found.by_tenant[one["customer"]][one["how"]] += 1
        journal = Journal(self.testbed.folder / "book.sqlite", read_only=True)
        for beyond, entries in journal.rows(
            "select beyond, sum(entries) from lines where outcome = 2 group by beyond"
        ):
            if beyond:
                found.rejected_beyond = entries
            else:
                found.rejected_within = entries
        found.billed = next(journal.rows("select coalesce(sum(entries), 0) from lines where billed = 1"))[0]
        found.verified = not list(journal.verify())
        journal.close()
        return found
