"""Usage metering in the server: record an entry for each final outcome, and delay its answer.

With the durable depth and `after-entry`, a completed answer is sent once its entry is on disk, so that every
answer that a client has received is metered, even if the server is killed. The delay is bounded, and there is
none while the disk is known to be full or failing. Then the answer is sent and counted as early, and the
entry stays in memory until it can be written, folded into totals if necessary. Metering never causes the loss
of a request.
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
from ..transport.start_retries import retry_transient_errors
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
FULL_BLOCK_ENTRIES = 256  # a block is cut before `block_interval_s` at this size

log = logging.getLogger(__name__)


class EarlierIncarnations:
    """The earlier incarnations in the log, with their answers that may not have been sent."""

    def __init__(self) -> None:
        self.last_sequence: dict[bytes, int] = {}
        self.answered: dict[bytes, int] = {}
        self.flagged: set[bytes] = set()
        self.positions = BlockIndex()

    def note_block(self, _: int, payload: bytes, position: durable.LogPosition) -> None:
        """Note a block from the recovery of the log."""
        block = pb.Block.FromString(payload)
        self.positions.note(position, block.incarnation, block.number)
        incarnation = block.incarnation
        self.last_sequence[incarnation] = max(self.last_sequence.get(incarnation, 0), block.last_sequence)
        self.answered[incarnation] = max(self.answered.get(incarnation, 0), block.answered)
        self.flagged.update(flag.incarnation for flag in block.unsure)

    def unsure(self) -> list[tuple[bytes, int, int]]:
        """Return ranges of entries whose answers may not have been sent.

        Each range is an incarnation, the sequence number before the range and the last one in it. These
        entries are neither recorded as answered nor flagged in any block.
        """
        return [
            (incarnation, self.answered[incarnation], last)
            for incarnation, last in self.last_sequence.items()
            if last > self.answered[incarnation] and incarnation not in self.flagged
        ]


class UsageRecorder:
    """Observes the requests of one server; `names` has the names of its tenants."""

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
        worker_thread: WorkerThread | None = None,
    ) -> None:
        self._scheduler, self._plan, self._count, self._names = scheduler, plan, count, names
        self._entry_buffer = EntryBuffer(
            server, incarnation, Periods(plan.calendar), plan.max_entries, plan.max_total_rows
        )
        self._delayed_answers = DelayedAnswers(scheduler, plan.max_answer_delay_s, self._release)
        # Of each record that is not durable yet: its number and its last sequence number.
        self._record_sequences: deque[tuple[int, int]] = deque()
        self._durable_sequence = self._logged_answered = 0
        self._last_cut_at = scheduler.clock.now
        self._is_closing = False
        self._store: GroupCommitLog | None = None
        self._worker_thread: WorkerThread | None = None
        self._worker_is_shared = worker_thread is not None  # if so, its owner closes it after all its users
        self._sender: ExportSender | None = None
        self._memory_source: MemorySource | None = None  # for the memory depth
        self._class_names: dict[bytes, str] = {}
        self.recovery = durable.RecoveryReport()
        self._delays_answers = plan.depth is Depth.DURABLE and plan.answers is Answers.AFTER_ENTRY
        earlier = EarlierIncarnations()
        if plan.depth is Depth.DURABLE:
            assert plan.folder is not None
            folder = plan.folder
            files = retry_transient_errors(lambda: DiskFiles(folder))
            records = durable.Log(files, KIND, incarnation, plan.max_disk_bytes)
            self.recovery = records.recover(earlier.note_block)
            self._log_recovery(earlier)
            self._worker_thread = worker_thread or retry_transient_errors(lambda: WorkerThread(scheduler))
            self._store = GroupCommitLog(
                scheduler,
                self._worker_thread,
                records,
                SLOW_COMMIT_S,
                self._on_records_durable,
                self._on_disk_state,
                {"feature": "ledger", "folder": folder},
            )
        if plan.export is not None:
            source: Any
            if self._store is not None:
                source = DurableSource(self._store, earlier.positions, plan.retained_bytes)
            else:
                source = MemorySource(self._entry_buffer, incarnation, self._cut_for_export)
                self._memory_source = source
            self._sender = ExportSender(scheduler, plan.export, server, incarnation, source, chance, count)
            for incarnation_, last_number in earlier.positions.last.items():
                self._sender.export_state.note_existing_blocks(incarnation_, last_number)
            send_next = background.add("ledger export", 2, 0.2, self._sender.send_next)
            self._sender.schedule_send = lambda: background.request_step(send_next)  # type: ignore[method-assign]
        self._run_periodically()

    def _log_recovery(self, earlier: EarlierIncarnations) -> None:
        recovery = self.recovery
        for flag in earlier.unsure():
            self._entry_buffer.flag_unanswered(*flag)
            self._count("ledger_incarnations_flagged")
        pairs = {
            "records": recovery.records,
            "bytes": recovery.bytes,
            "segments": recovery.segments,
            "torn_bytes": recovery.torn_bytes,
            "damaged": len(recovery.damage),
        }
        log.info("ledger recovered", extra={"pairs": pairs})
        if recovery.sync_error:
            log.error("recovered records not synced", extra={"pairs": {"where": recovery.sync_error}})
        for damage in recovery.damage[:20]:
            log.error("ledger damaged", extra={"pairs": {"where": damage}})

    # -- request outcomes

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        """Record a completed request; its answer may wait until the entry is durable."""
        # For a repeat, the attempt whose run answers it.
        original = exchange.original if exchange.state is ExchangeState.ATTACHED else None
        run = original if original is not None else exchange
        billed, run.billed = not run.billed, True
        sequence = self._add_entry(exchange, pb.COMPLETED, run if billed else None, len(result), original)
        if (
            not self._delays_answers
            or self._store is None
            or self._store.disk_state in (DiskState.FULL, DiskState.FAILING)
        ):
            if self._delays_answers:
                self._count("ledger_answers_ahead")
            return caller.completed(exchange, result)
        self._delayed_answers.delay(sequence, exchange, result, caller)
        delay_s = self._last_cut_at + self._plan.commit_interval_s - self._scheduler.clock.now
        if len(self._delayed_answers) == 1 and delay_s > 0:
            self._scheduler.after(delay_s, lambda: None)  # wake the event loop for the commit

    def rejected(self, exchange: Exchange) -> None:
        """Record a rejected request."""
        self._add_entry(exchange, pb.DENIED)

    def failed(self, exchange: Exchange) -> None:
        """Record a failed request."""
        self._add_entry(exchange, pb.TERMINATED)

    def cancelled(self, exchange: Exchange) -> None:
        """Record a request that its caller has cancelled."""
        self._add_entry(exchange, pb.GONE)

    def _add_entry(
        self,
        exchange: Exchange,
        outcome: pb.Outcome,
        billed_run: Exchange | None = None,
        answer_bytes: int = 0,
        original: Exchange | None = None,
    ) -> int:
        request, now = exchange.request, self._scheduler.clock.now
        class_name = self._class_names.get(exchange.request_class)
        if class_name is None:
            class_name = self._class_names[exchange.request_class] = exchange.request_class.decode(
                "utf-8", "replace"
            )
        objective_s = (
            request.request_class.latency_objective_s
            + request.request_class.objective_s_per_hint * (request.cost_hint or 0.0)
        )
        entry = pb.Entry(
            customer=self._names.get(request.tenant, "") if request.tenant is not None else "",
            track=class_name,
            outcome=outcome,
            ended_us=round(self._scheduler.clock.to_unix(now) * 1e6),
            arrived_us=round(self._scheduler.clock.to_unix(request.arrived_at) * 1e6),
            run_us=round(billed_run.run_time_s * 1e6) if billed_run is not None else 0,
            asked_bytes=len(exchange.body),
            answer_bytes=answer_bytes,
            goal_kept=outcome == pb.COMPLETED and now - request.arrived_at <= objective_s,
            beyond_share=request.over_quota,
            billed=billed_run is not None,
            name=_decode_id(exchange.name),
            run=_decode_id(original.name) if original is not None else b"",
        )
        return self._entry_buffer.add(entry)

    # -- rounds

    def end_round(self) -> None:
        """Cut the blocks that are due; called after the answers of the round were written."""
        if self._store is not None:
            self._seal_to_log(self._store)
        elif self._sender is not None and self._sender.is_streaming and self._block_is_due():
            self._sender.schedule_send()

    def _block_is_due(self) -> bool:
        """Whether the entry buffer has enough entries, or old enough ones, for a block."""
        if self._entry_buffer.empty:
            return False
        is_old = self._scheduler.clock.now - self._last_cut_at >= self._plan.block_interval_s
        return is_old or self._is_closing or self._entry_buffer.individual_count >= FULL_BLOCK_ENTRIES

    def _seal_to_log(self, store: GroupCommitLog) -> None:
        now = self._scheduler.clock.now
        if store.idle and (now >= self._last_cut_at + self._plan.commit_interval_s or self._is_closing):
            is_interval_over = now - self._last_cut_at >= self._plan.block_interval_s or self._is_closing
            needs_empty_block = (
                is_interval_over and self._answered() > self._logged_answered and self._entry_buffer.empty
            )
            if needs_empty_block or (
                not self._entry_buffer.empty and (self._delayed_answers or self._block_is_due())
            ):
                self._last_cut_at = now
                self._logged_answered = self._answered()
                while needs_empty_block or not self._entry_buffer.empty:
                    needs_empty_block = False
                    block = self._cut(now, self._logged_answered, MAX_BLOCK_ENTRIES)
                    record_number = store.append(block.data)
                    # The store was idle, and a full entry buffer is within its limit.
                    assert record_number is not None
                    self._record_sequences.append((record_number, block.last_sequence))
                    if len(self._record_sequences) >= 16:
                        break  # the remaining entries go into the next commit
        store.flush()

    def _answered(self) -> int:
        """Return the last sequence number up to which no answer is delayed."""
        first_delayed = self._delayed_answers.first_mark
        return self._entry_buffer.last if first_delayed is None else first_delayed - 1

    def _cut_for_export(self) -> SealedBlock | None:
        if not self._block_is_due():
            return None
        self._last_cut_at = self._scheduler.clock.now
        return self._cut(self._last_cut_at, self._entry_buffer.last, MAX_BLOCK_ENTRIES)

    def _cut(self, now: float, answered: int, max_entries: int) -> SealedBlock:
        """Return the next block, with `now` converted to Unix time."""
        return self._entry_buffer.cut(self._scheduler.clock.to_unix(now), answered, max_entries)

    def _run_periodically(self) -> None:
        """Wake the event loop every `block_interval_s`, so that entries are sealed without new requests."""
        if self._sender is not None and self._sender.is_streaming:
            self._sender.schedule_send()
        self._scheduler.after(self._plan.block_interval_s, self._run_periodically)

    # -- the disk

    def _on_records_durable(self, record_number: int) -> None:
        while self._record_sequences and self._record_sequences[0][0] <= record_number:
            self._durable_sequence = self._record_sequences.popleft()[1]
        self._delayed_answers.durable(self._durable_sequence)

    def _release(self, answer: DelayedAnswer, is_early: bool) -> None:
        if is_early:
            self._count("ledger_answers_ahead")
        answer.caller.completed(answer.exchange, answer.result)

    def _on_disk_state(self, disk_state: DiskState) -> None:
        self._count(f"ledger_disk_{disk_state.value}")
        if disk_state in (DiskState.FULL, DiskState.FAILING):
            self._delayed_answers.release_all()

    # -- shutdown

    def on_grace_over(self) -> None:
        """Seal and export all entries without waiting for more; the server shuts down."""
        self._is_closing = True
        if self._sender is not None:
            self._sender.skip_backoff()

    def is_settled(self) -> bool:
        """Whether the process can exit without losing entries or answers."""
        if self._delayed_answers or not self._entry_buffer.empty:
            return False
        if self._store is not None:
            return self._store.all_durable and self._answered() <= self._logged_answered
        return self._memory_source is None or not self._memory_source.unsettled

    def close(self, timeout_s: float) -> None:
        """Write the remaining entries if possible; log those that are lost, by tenant."""
        self._delayed_answers.release_all()
        if self._store is not None and self._worker_thread is not None:
            self._seal_to_log(self._store)
            self._store.close()
            if not self._worker_is_shared:
                self._worker_thread.close(timeout_s)
        if self._sender is not None:
            self._sender.close()
        self._log_unexported()

    def _log_unexported(self) -> None:
        """Log the totals of unexported entries by tenant, so that they can be posted as corrections.

        The collector may have some of the blocks that were sent and not acknowledged.
        """
        unexported = list(self._memory_source.unsettled) if self._memory_source is not None else []
        if not self._entry_buffer.empty:
            unexported.append(self._cut(self._scheduler.clock.now, 0, 1 << 30))
        sums: dict[str, list[int]] = {}
        for block in unexported:
            _add_usage(sums, pb.Block.FromString(block.data))
        for customer, (entries, billed, run_us) in sorted(sums.items()):
            pairs = {"customer": customer, "entries": entries, "billed": billed, "run_s": run_us / 1e6}
            log.error("entries left behind", extra={"pairs": pairs})

    def gauges(self) -> dict[str, object]:
        """Return the gauges that are printed with the counters."""
        gauges: dict[str, object] = {
            "ledger_entries": self._entry_buffer.last,
            "ledger_waiting": self._entry_buffer.unsealed_count,
            "ledger_folded": self._entry_buffer.folded_count,
            "ledger_held": len(self._delayed_answers),
        }
        if self._store is not None:
            gauges |= {
                "ledger_disk": self._store.disk_state.value,
                "ledger_disk_bytes": self._store.size_bytes,
            }
        if self._sender is not None:
            gauges |= {
                "ledger_link": self._sender.export_state.link.value,
                "ledger_unsettled": len(self._sender.export_state.unsettled),
            }
        return gauges


def _decode_id(name: bytes) -> bytes:
    """Decode a hexadecimal attempt name, which halves its size; return other names unchanged."""
    try:
        return bytes.fromhex(name.decode("ascii"))
    except ValueError:
        return name


def _add_usage(sums: dict[str, list[int]], block: pb.Block) -> None:
    """Add a block's entries, billed runs and run time in microseconds to the sums of its tenants."""
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
