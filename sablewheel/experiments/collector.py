"""The collector, unchanged or deliberately faulty; the trial must detect each faulty variant.

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

APPLY_DELAY_S = 1.5


class AckBeforeApply(Collector):
    """Acknowledges a batch before applying it; a crash within `APPLY_DELAY_S` loses the batch."""

    def _handle_batch(
        self,
        connection: Connection,
        batch: pb.Batch,
        acknowledgements: list[tuple[Connection, pb.Acknowledged]],
    ) -> None:
        block = pb.Block.FromString(batch.block)
        acknowledged = pb.Acknowledged(incarnation=block.incarnation, number=block.number)
        connection.send_frame(pb.Frame(acknowledged=acknowledged))
        self.scheduler.after(APPLY_DELAY_S, lambda: self._apply_late(connection.server, batch))

    def _apply_late(self, server: str, batch: pb.Batch) -> None:
        result = self.decide_batch(server, batch)
        if isinstance(result, Apply):
            self.journal.begin()
            self.journal.apply(server, result, self._clock())
            self.journal.commit()


class NoDedup(Collector):
    """Keeps no record of applied blocks: requests all of them at each start and posts repeated ones again."""

    def welcome(self, server: str) -> pb.Welcome:
        return pb.Welcome(version=VERSION)

    def decide_batch(self, server: str, batch: pb.Batch) -> BatchDecision:
        result = super().decide_batch(server, batch)
        if isinstance(result, AlreadyApplied):
            block = pb.Block.FromString(batch.block)
            for period, line in self.journal._lines(0, block):
                self.journal._post(period, [line])
        return result


class NoSealJournal(Journal):
    """Closes periods without a seal."""

    def _seal(self, period: Period) -> None:
        self._db.execute(
            "update periods set closed_us = ? where name = ?", (self.period_closer.now, period.name)
        )


def make(variant: str) -> Any:
    def factory(scheduler: Scheduler, plan: CollectorPlan, journal: Journal, log: Any) -> Collector:
        classes = {"ack-before-apply": AckBeforeApply, "no-dedup": NoDedup}
        if variant == "no-seal":
            journal.close()
            journal = NoSealJournal(plan.journal_path, plan.calendar)
        return classes.get(variant, Collector)(scheduler, plan, journal, log)

    return factory


def main() -> int:
    plan = read(sys.argv[1]).collector
    assert plan is not None
    return run(plan, make(sys.argv[2] if len(sys.argv) > 2 else ""))


if __name__ == "__main__":
    sys.exit(main())
