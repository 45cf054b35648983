"""Usage metering in the server: an entry for each final outcome, and answers that wait for it.

With the durable depth and `after-entry`, a completed answer leaves when its entry is on disk, so that
whatever a client holds is metered, also after a kill. It waits for a bounded time, and not at all while the
disk is known to be full or failing: then the answer goes ahead, counted, and the entry is kept in memory
until it can be written, folded into totals if necessary. No request is lost for the sake of metering.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import Any

from ..overload.interface import Tenant
from ..serving.delayed_answers import DelayedAnswer, DelayedAnswers
from ..serving.exchange import Caller, Exchange, ExchangeState
from ..storage import log as durable
from ..storage.files import DiskFiles
from ..storage.group_commit import GroupCommitLog
from ..storage.health import DiskState
from ..transport.background import Background
from ..transport.scheduler import Scheduler
from ..transport.worker_thread import WorkerThread
from . import usage_metering_pb2 as pb
from .aggregation import EntryBuffer
from .blocks import SealedBlock
from .periods import Periods
from .plan import Answers, Depth, LedgerPlan
from .positions import BlockIndex
from .sender import ExportSender
from .sources import MAX_BLOCK_ENTRIES, DurableSource, MemorySource

KIND = b"ledger"
SLOW_COMMIT_S = 0.1
FULL_BLOCK_ENTRIES = 256  # entries that are worth a block before its time

log = logging.getLogger(__name__)


class EarlierIncarnations:
    """What the log tells of incarnations before this one: which of their answers may never have left."""

    def __init__(self) -> None:
        self.last_sequence: dict[bytes, int] = {}
        self.answered: dict[bytes, int] = {}
        self.flagged: set[bytes] = set()
        self.positions = BlockIndex()

    def note_block(self, _: int, payload: bytes, place: durable.LogPosition) -> None:
        """Note one block of the log that is recovered."""
        block = pb.Block.FromString(payload)
        self.positions.note(place, block.incarnation, block.number)
        one = block.incarnation
        self.last_sequence[one] = max(self.last_sequence.get(one, 0), block.last_sequence)
        self.answered[one] = max(self.answered.get(one, 0), block.answered)
        self.flagged.update(flag.incarnation for flag in block.unsure)

    def unsure(self) -> list[tuple[bytes, int, int]]:
        """Return ranges of entries whose answers may never have left their server.

        Each is an incarnation with the sequence numbers after and through: those that no block says were
        answered, and that are not flagged yet.
        """
        return [
            (one, self.answered[one], last)
            for one, last in self.last_sequence.items()
            if last > self.answered[one] and one not in self.flagged
        ]


class UsageRecorder:
    """The observer of one server's requests. `names` gives tenants their names."""

    def __init__(
        self,
        scheduler: Scheduler,
        background: Background,
        plan: LedgerPlan,
        server: str,
        incarnation: bytes,
        names: dict[Tenant, str],
        chance: Callable[[], float],
        count: Callable[[str], None],
        bridge: WorkerThread | None = None,
    ) -> None:
        self._scheduler, self._plan, self._count, self._names = scheduler, plan, count, names
        self._entries_buffer = EntryBuffer(
            server, incarnation, Periods(plan.calendar), plan.max_entries, plan.max_total_rows
        )
        self._held = DelayedAnswers(scheduler, plan.max_answer_delay_s, self._release)
        self._fences: deque[tuple[int, int]] = deque()  # record number, last sequence in it
        self._durable_sequence = self._marked = 0
        self._cut_at = scheduler.clock.now
        self._leaving = False
        self._store: GroupCommitLog | None = None
        self._bridge: WorkerThread | None = None
        self._shared = bridge is not None  # then its owner closes it, behind all who use it
        self._sender: ExportSender | None = None
        self._memory_source: MemorySource | None = None  # without a disk: blocks that only this process has
        self._tracks: dict[bytes, str] = {}
        self.recovery = durable.RecoveryReport()
        self._waits = plan.depth is Depth.DURABLE and plan.answers is Answers.AFTER_ENTRY
        predecessors = EarlierIncarnations()
        if plan.depth is Depth.DURABLE:
            assert plan.folder is not None
            records = durable.Log(DiskFiles(plan.folder), KIND, incarnation, plan.max_disk_bytes)
            self.recovery = records.recover(predecessors.note_block)
            self._log_recovery(predecessors)
            self._bridge = bridge or WorkerThread(scheduler)
            self._store = GroupCommitLog(
                scheduler, self._bridge, records, SLOW_COMMIT_S, self._fenced, self._disk_changed
            )
        if plan.export is not None:
            source: Any
            if self._store is not None:
                source = DurableSource(self._store, predecessors.positions, plan.retained_bytes)
            else:
                source = MemorySource(self._entries_buffer, incarnation, self._cut_for_export)
                self._memory_source = source
            self._sender = ExportSender(scheduler, plan.export, server, incarnation, source, chance, count)
            for one, number in predecessors.positions.last.items():
                self._sender.exporter.known(one, number)
            send_next = background.add("ledger export", 2, 0.2, self._sender.send_next)
            self._sender.schedule_send = lambda: background.want(send_next)  # type: ignore[method-assign]
        self._schedule()

    def _log_recovery(self, predecessors: EarlierIncarnations) -> None:
        found = self.recovery
        for flag in predecessors.unsure():
            self._entries_buffer.flag(*flag)
            self._count("ledger_incarnations_flagged")
        pairs = {
            "records": found.records,
            "bytes": found.bytes,
            "segments": found.segments,
            "torn_bytes": found.torn_bytes,
            "damaged": len(found.damage),
        }
        log.info("ledger recovered", extra={"pairs": pairs})
        for damage in found.damage[:20]:
            log.error("ledger damaged", extra={"pairs": {"where": damage}})

    # -- what the seam tells

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Record a completed request; its answer may wait until the entry is durable."""
        first = (
            exchange.original if exchange.state is ExchangeState.ATTACHED else None
        )  # whose result it gets
        run = first if first is not None else exchange
        billed, run.billed = not run.billed, True
        sequence = self._note(exchange, pb.COMPLETED, run if billed else None, len(result), first)
        if (
            not self._waits
            or self._store is None
            or self._store.disk_state in (DiskState.FULL, DiskState.FAILING)
        ):
            if self._waits:
                self._count("ledger_answers_ahead")
            return caller.completed(exchange, result)
        self._held.delay(sequence, exchange, result, caller)
        wait = self._cut_at + self._plan.commit_interval_s - self._scheduler.clock.now
        if len(self._held) == 1 and wait > 0:
            self._scheduler.after(wait, lambda: None)  # a round to commit in

    def rejected(self, exchange: Exchange) -> None:
        """Record a rejected request."""
        self._note(exchange, pb.DENIED)

    def failed(self, exchange: Exchange) -> None:
        """Record a failed request."""
        self._note(exchange, pb.TERMINATED)

    def cancelled(self, exchange: Exchange) -> None:
        """Record a request that its caller has cancelled."""
        self._note(exchange, pb.GONE)

    def _note(
        self,
        exchange: Exchange,
        outcome: pb.Outcome,
        billed: Exchange | None = None,
        answer_bytes: int = 0,
        first: Exchange | None = None,
    ) -> int:
        ticket, now = exchange.request, self._scheduler.clock.now
        track = self._tracks.get(exchange.request_class)
        if track is None:
            track = self._tracks[exchange.request_class] = exchange.request_class.decode("utf-8", "replace")
        goal = ticket.request_class.latency_objective_s + ticket.request_class.objective_s_per_hint * (
            ticket.cost_hint or 0.0
        )
        entry = pb.Entry(
            customer=self._names.get(ticket.tenant, "") if ticket.tenant is not None else "",
            track=track,
            outcome=outcome,
            ended_us=round(self._scheduler.clock.to_unix(now) * 1e6),
            arrived_us=round(self._scheduler.clock.to_unix(ticket.arrived_at) * 1e6),
            run_us=round(billed.run_time_s * 1e6) if billed is not None else 0,
            asked_bytes=len(exchange.body),
            answer_bytes=answer_bytes,
            goal_kept=outcome == pb.COMPLETED and now - ticket.arrived_at <= goal,
            beyond_share=ticket.over_quota,
            billed=billed is not None,
            name=_id(exchange.name),
            run=_id(first.name) if first is not None else b"",
        )
        return self._entries_buffer.add(entry)

    # -- rounds

    def end_round(self) -> None:
        """After the answers of the round were written: what may be sealed is sealed."""
        if self._store is not None:
            self._seal_durably(self._store)
        elif self._sender is not None and self._sender.is_streaming and self._block_is_due():
            self._sender.schedule_send()

    def _block_is_due(self) -> bool:
        """Whether the entry buffer holds what is worth a block by itself."""
        if self._entries_buffer.empty:
            return False
        aged = self._scheduler.clock.now - self._cut_at >= self._plan.block_interval_s
        return aged or self._leaving or self._entries_buffer.kept >= FULL_BLOCK_ENTRIES

    def _seal_durably(self, store: GroupCommitLog) -> None:
        now = self._scheduler.clock.now
        if store.idle and (now >= self._cut_at + self._plan.commit_interval_s or self._leaving):
            quiet = now - self._cut_at >= self._plan.block_interval_s or self._leaving
            mark = quiet and self._answered() > self._marked and self._entries_buffer.empty
            if mark or (not self._entries_buffer.empty and (self._held or self._block_is_due())):
                self._cut_at = now
                self._marked = self._answered()
                while mark or not self._entries_buffer.empty:
                    mark = False
                    block = self._cut(now, self._marked, MAX_BLOCK_ENTRIES)
                    number = store.append(block.data)
                    assert number is not None  # the store was idle, and one entry buffer is within its bound
                    self._fences.append((number, block.last_sequence))
                    if len(self._fences) >= 16:
                        break  # the rest with the next commit
        store.flush()

    def _answered(self) -> int:
        """All entries up to this one have no answer that still waits here."""
        first = self._held.first_mark
        return self._entries_buffer.last if first is None else first - 1

    def _cut_for_export(self) -> SealedBlock | None:
        if not self._block_is_due():
            return None
        self._cut_at = self._scheduler.clock.now
        return self._cut(self._cut_at, self._entries_buffer.last, MAX_BLOCK_ENTRIES)

    def _cut(self, now: float, answered: int, entries_most: int) -> SealedBlock:
        """The next block, stamped by the wall clock as its readers know it."""
        return self._entries_buffer.cut(self._scheduler.clock.to_unix(now), answered, entries_most)

    def _schedule(self) -> None:
        """Rounds come with requests; without any, what lies in the entry buffer still has its time."""
        if self._sender is not None and self._sender.is_streaming:
            self._sender.schedule_send()
        self._scheduler.after(self._plan.block_interval_s, self._schedule)

    # -- the disk

    def _fenced(self, number: int) -> None:
        while self._fences and self._fences[0][0] <= number:
            self._durable_sequence = self._fences.popleft()[1]
        self._held.durable(self._durable_sequence)

    def _release(self, one: DelayedAnswer, ahead: bool) -> None:
        if ahead:
            self._count("ledger_answers_ahead")
        one.caller.completed(one.exchange, one.result)

    def _disk_changed(self, disk: DiskState) -> None:
        self._count(f"ledger_disk_{disk.value}")
        if disk in (DiskState.FULL, DiskState.FAILING):
            self._held.release_all()

    # -- the end

    def parting(self) -> None:
        """The server leaves: what is noted is sealed and exported without waiting for more."""
        self._leaving = True
        if self._sender is not None:
            self._sender.flush_soon()

    def settled(self) -> bool:
        """Whether nothing would be lost by ending now."""
        if self._held or not self._entries_buffer.empty:
            return False
        if self._store is not None:
            return self._store.all_durable and self._answered() <= self._marked
        return self._memory_source is None or not self._memory_source.kept

    def close(self, most: float) -> None:
        """The last instant: write what can be written; what can't is told in the log, by tenant."""
        self._held.release_all()
        if self._store is not None and self._bridge is not None:
            self._seal_durably(self._store)
            self._store.close()
            if not self._shared:
                self._bridge.close(most)
        if self._sender is not None:
            self._sender.close()
        self._log_left_behind()

    def _log_left_behind(self) -> None:
        """Nothing is lost silently: totals that can be put right by hand, as corrections.

        Of blocks that were sent and not acknowledged the collector may have some all the same.
        """
        left = list(self._memory_source.kept) if self._memory_source is not None else []
        if not self._entries_buffer.empty:
            left.append(self._cut(self._scheduler.clock.now, 0, 1 << 30))
        sums: dict[str, list[int]] = {}
        for block in left:
            _add_usage(sums, pb.Block.FromString(block.data))
        for customer, (entries, billed, run_us) in sorted(sums.items()):
            pairs = {"customer": customer, "entries": entries, "billed": billed, "run_s": run_us / 1e6}
            log.error("entries left behind", extra={"pairs": pairs})

    def gauges(self) -> dict[str, object]:
        """Return the values printed beside the counters."""
        told: dict[str, object] = {
            "ledger_entries": self._entries_buffer.last,
            "ledger_waiting": self._entries_buffer.waiting,
            "ledger_folded": self._entries_buffer.folded_ever,
            "ledger_held": len(self._held),
        }
        if self._store is not None:
            told |= {"ledger_disk": self._store.disk_state.value, "ledger_disk_bytes": self._store.size_bytes}
        if self._sender is not None:
            told |= {
                "ledger_link": self._sender.exporter.link.value,
                "ledger_unsettled": len(self._sender.exporter.unsettled),
            }
        return told


def _id(name: bytes) -> bytes:
    """Names are hexadecimal on our own protocol and take half the room as bytes; others stay as they are."""
    try:
        return bytes.fromhex(name.decode("ascii"))
    except ValueError:
        return name


def _add_usage(sums: dict[str, list[int]], block: pb.Block) -> None:
    """Add a block's entries, billed runs and microseconds of runs to those of its customers."""
    for entry in block.entries:
        row = sums.setdefault(entry.customer, [0, 0, 0])
        row[0] += 1
        row[1] += entry.billed
        row[2] += entry.run_us
    for total in block.totals:
        row = sums.setdefault(total.customer, [0, 0, 0])
        row[0] += total.entries
        row[1] += total.entries * total.billed
        row[2] += total.run_us
