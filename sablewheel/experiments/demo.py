"""The demo: a server with simulated clients on loopback, an overload, and a burst of one tenant."""

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

CALM, OVERLOAD, BURST = 80, 260, 100  # requests per second; the interpreter completes about 160
BURSTING = "yorkton"


@dataclass
class Moment:
    """The state `at` seconds after the start; `counts` are the server's own counters."""

    at: float
    phase: str
    counts: dict[str, str]


@dataclass
class Outcome:
    """The results of the demo: attempts by tenant and by phase, and the usage entries."""

    by_tenant: dict[str, Counter[str]] = field(default_factory=dict)
    by_phase: dict[str, Counter[str]] = field(default_factory=dict)
    rejected_beyond: int = 0
    rejected_within: int = 0
    billed: int = 0
    verified: bool = False


class Day:
    """One demo run as a context manager: `play` yields a moment each half second, `finish` the outcome."""

    def __init__(self, seconds: float, seed: int, into: Path) -> None:
        self.seconds, self.into = seconds, into
        self.testbed = Testbed(seed)
        self.server: Process | None = None
        self._started = 0.0

    def __enter__(self) -> Day:
        testbed, collector_port = self.testbed, free_port()
        port, vm = free_port(), free_port()
        self.into.mkdir(parents=True, exist_ok=True)
        collector = testbed.folder / "collector.yaml"
        collector.write_text(collector_features(collector_port, testbed.folder / "book.sqlite"))
        self.collector = testbed.start("collector", "sablewheel.experiments.collector", str(collector))
        testbed.wait_for_port(collector_port, self.collector)
        testbed.interpreter("n1", vm)
        text = features("durable", collector_port, testbed.folder / "ledger")
        self.server = testbed.server("n1", port, vm, text, settings={"servers": 1})
        self._write_configuration(testbed.folder / "n1.json", text)
        self._address = f"127.0.0.1:{port}"
        return self

    def __exit__(self, *_: object) -> None:
        self.testbed.__exit__()

    def _write_configuration(self, configuration: Path, text: str) -> None:
        """Write this run's configuration and features, with a permanent folder, as a start for the user."""
        settings = json.loads(configuration.read_text())
        (self.into / "n1.json").write_text(json.dumps(settings, indent=2) + "\n")
        folder = self.into / "ledger"
        (self.into / "features.yaml").write_text(
            text.replace(str(self.testbed.folder / "ledger"), str(folder))
        )

    def phases(self) -> list[tuple[str, float, int]]:
        third = self.seconds / 3
        return [("calm", third, CALM), ("overload", third, OVERLOAD), ("burst", third, BURST)]

    def play(self) -> Iterator[Moment]:
        self._started = time.monotonic()
        phase_end = 0.0
        assert self.server is not None
        for turn, (name, span, rate) in enumerate(self.phases()):
            phase_end += span
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
                seed=self.testbed.seed + turn,  # distinct names and idempotency keys for each phase
            )
            while (now := time.monotonic() - self._started) < phase_end:
                time.sleep(0.5)
                os.kill(self.server.popen.pid, signal.SIGUSR1)
                yield Moment(now, name, self.testbed.counters(self.server))
            router.popen.wait(15)

    def finish(self) -> Outcome:
        """Drain the server, then count the answers in the router logs and the entries in the journal."""
        assert self.server is not None
        time.sleep(0.6)
        self.server.leave()
        time.sleep(0.5)
        self.collector.leave()
        outcome = Outcome(
            {name: Counter() for name in TENANTS}, {name: Counter() for name, _, _ in self.phases()}
        )
        for phase in outcome.by_phase:
            for attempt in self.testbed.held(phase):
                outcome.by_phase[phase][attempt["how"]] += 1
                outcome.by_tenant[attempt["customer"]][attempt["how"]] += 1
        journal = Journal(self.testbed.folder / "book.sqlite", read_only=True)
        for beyond, entries in journal.rows(
            "select beyond, sum(entries) from lines where outcome = 2 group by beyond"
        ):
            if beyond:
                outcome.rejected_beyond = entries
            else:
                outcome.rejected_within = entries
        outcome.billed = next(journal.rows("select coalesce(sum(entries), 0) from lines where billed = 1"))[0]
        outcome.verified = not list(journal.verify())
        journal.close()
        return outcome
