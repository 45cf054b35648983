"""The collector, whole or broken on purpose: each broken one must be caught by the trial.

python -m sablewheel.experiments.collector FEATURES [ack-before-apply | no-dedup | no-seal]
"""

from __future__ import annotations

import sys
from typing import Any

from ..program.collector_process import run
from ..program.feature_file import read
from ..transport.scheduler import Scheduler
from ..usage_metering import usage_metering_pb2 as pb
from ..usage_metering.collecting import AlreadyApplied, Apply, BatchDecision
from ..usage_metering.collector import Collector, Connection
from ..usage_metering.export import VERSION
from ..usage_metering.journal import Journal
from ..usage_metering.periods import Period
from ..usage_metering.plan import CollectorPlan

LATE = 1.5


class AckBeforeApply(Collector):
    """Acknowledges what it has only read; it is posted a while later, if the process lives so long."""

    def _handle_batch(
        self,
        connection: Connection,
        batch: pb.Batch,
        acknowledgements: list[tuple[Connection, pb.Acknowledged]],
    ) -> None:
        block = pb.Block.FromString(batch.block)
        told = pb.Acknowledged(incarnation=block.incarnation, number=block.number)
        connection.send_frame(pb.Frame(acknowledged=told))
        self.scheduler.after(LATE, lambda: self._apply_late(connection.server, batch))

    def _apply_late(self, server: str, batch: pb.Batch) -> None:
        result = self.decide_batch(server, batch)
        if isinstance(result, Apply):
            self.journal.begin()
            self.journal.apply(server, result, self._clock())
            self.journal.commit()


class NoDedup(Collector):
    """Remembers nothing: asks for everything at each start, and posts what comes again as if it were new."""

    def welcome(self, server: str) -> pb.Welcome:
        return pb.Welcome(version=VERSION)

    def decide_batch(self, server: str, batch: pb.Batch) -> BatchDecision:
        result = super().decide_batch(server, batch)
        if isinstance(result, AlreadyApplied):
            block = pb.Block.FromString(batch.block)
            for period, line in self.journal._lines(0, block):
                self.journal._post(period, [line])
        return result


class NoSealBook(Journal):
    """Closes periods without a seal."""

    def _seal(self, period: Period) -> None:
        self._db.execute(
            "update periods set closed_us = ? where name = ?", (self.period_closer.now, period.name)
        )


def make(variant: str) -> Any:
    def made(scheduler: Scheduler, plan: CollectorPlan, journal: Journal, log: Any) -> Collector:
        kinds = {"ack-before-apply": AckBeforeApply, "no-dedup": NoDedup}
        if variant == "no-seal":
            journal.close()
            journal = NoSealBook(plan.journal_path, plan.calendar)
        return kinds.get(variant, Collector)(scheduler, plan, journal, log)

    return made


def main() -> int:
    plan = read(sys.argv[1]).collector
    assert plan is not None
    return run(plan, make(sys.argv[2] if len(sys.argv) > 2 else ""))


if __name__ == "__main__":
    sys.exit(main())
