"""Recall in the server: an intent before each keyed run, an outcome after it, and what a restart still
knows.

A keyed run is sent when its intent is durable; its answer leaves when its outcome is. So whatever is
killed when, a repeat finds what its first became, or that it may have run, and never runs again within its
window.
"""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable
from math import inf
from pathlib import Path

from ..overload.interface import Client, Idempotency, Outcome, Request, RequestClass, Stage
from ..serving.delayed_answers import DelayedAnswer, DelayedAnswers
from ..serving.exchange import Caller, Exchange, ExchangeState, RequestObserver, digest
from ..serving.idempotency_keys import IdempotencyTable
from ..storage import log as durable
from ..storage.files import DiskFiles
from ..storage.health import Disk
from ..storage.store import Store
from ..transport.background import Background
from ..transport.clock import Clock
from ..transport.scheduler import Scheduler
from ..transport.worker_thread import WorkerThread
from . import codec as written
from . import result_store_pb2 as pb
from .carrying import Carrier
from .cold_start import may_have_run, up_at
from .memory import Entry, Memory, State
from .plan import RecallPlan, Start, Unreadable
from .recovery import Loaded
from .windows import Moment

KIND = b"recall"
SLOW_AFTER = 0.1
COMMITS_KEPT = 50  # times of the last commits, from which the wait for the next is told
SWEEP = 0.25
ENTRY_ON_DISK = 150  # about, of one that was loaded, without its result

log = logging.getLogger(__name__)
Run = Callable[[Exchange], None]


def read_moment(clock: Clock | None = None) -> Moment:
    """The server's clock, by which windows are kept (without a server one that begins now), and the machine's
    time since its start.

    Not the wall clock, which may be set while the server runs: within a life the two run alike, so that only
    what happened between two lives tells them apart.
    """
    try:
        boot = bytes.fromhex(Path("/proc/sys/kernel/random/boot_id").read_text().strip().replace("-", ""))
    except (OSError, ValueError):
        boot = b""
    since = time.clock_gettime(time.CLOCK_BOOTTIME)
    return Moment((clock or Clock()).read(), since, boot)


class Waiting:
    """A run that waits for its intent."""

    __slots__ = ("exchange", "run")

    def __init__(self, exchange: Exchange, run: Run) -> None:
        self.exchange, self.run = exchange, run


class Recorder:
    """Memory of one server's keyed runs; a observer that holds their answers, in front of another."""

    def __init__(
        self,
        scheduler: Scheduler,
        background: Background,
        bridge: WorkerThread | None,
        plan: RecallPlan,
        incarnation: bytes,
        request_classes: dict[bytes, RequestClass],
        inner: RequestObserver,
        never_begun: Run,
        remembered: Callable[[], None],
        fail: Callable[[str], None],
        count: Callable[[str], None],
        moment: Callable[[], Moment] | None = None,
    ) -> None:
        self._scheduler, self._plan, self._count, self._inner = scheduler, plan, count, inner
        self._never_begun, self._remembered, self._fail = never_begun, remembered, fail
        self._request_classes, self._bridge = request_classes, bridge
        self._read_moment = moment or (lambda: read_moment(scheduler.clock))
        keyed = [one for one in request_classes.values() if one.idempotency is Idempotency.KEYED]
        self._longest = max((one.idempotency_window_s for one in keyed), default=0.0)
        self.started = scheduler.clock.now
        self._memory = Memory(plan.entries_most, plan.bytes_most)
        self._carrier = Carrier(plan.segment_bytes)
        self._store: Store | None = None
        self._log: durable.Log | None = None
        self._intents: list[Entry] = []
        self._outcomes: list[pb.Outcome] = []
        self._waiting: list[Waiting] = []
        self._marks: deque[tuple[int, int, list[Waiting]]] = deque()  # record, mark, runs that it lets go
        self._mark = self._durable_mark = 0
        self._commit_at = self._given_at = 0.0
        self._commits: deque[float] = deque(maxlen=COMMITS_KEPT)
        self._leaving = False
        self._prepared = 0  # in this round: who may want room beside those that are remembered
        self._anew = False  # the next record says that notices are numbered anew
        self._holding = DelayedAnswers(scheduler, plan.hold_most, self._release)
        self._adopted: dict[bytes, Exchange] = {}
        self.last_notice = 0
        self._written: float | None = None  # when the last record was, by the clock of now
        self.ready = plan.folder is None
        self._damaged = False
        if plan.folder is not None:
            self._load(plan.folder, incarnation)
        self._carry = background.add("recall carry", 3, 0.1, self._carry_step)
        self._background = background
        scheduler.after(SWEEP, self._sweep)

    # -- the start

    def _load(self, folder: Path, incarnation: bytes) -> None:
        """Read what is remembered, on the worker: what may run again is served meanwhile.

        What can't be read is a reason not to go on, unless it is set otherwise.
        """
        assert self._bridge is not None
        plan, begun = self._plan, time.perf_counter()
        records = durable.Log(DiskFiles(folder), KIND, incarnation, plan.disk_bytes_most, plan.segment_bytes)
        loaded = Loaded(self._memory, self._longest)

        def job() -> durable.Recovery:
            return records.recover(
                lambda number, payload, _: loaded.take(number, pb.Record.FromString(payload))
            )

        def done(found: durable.Recovery | None, trouble: BaseException | None) -> None:
            damage = found.damage if found is not None else [f"{trouble}"]
            if damage and plan.unreadable is Unreadable.REFUSE:
                return self._fail(f"recall: {folder}: {damage[0]}")
            self._damaged = bool(damage)
            for one in damage[:20]:
                self._count("recall_damage")
                log.error("recall damaged", extra={"pairs": {"where": one}})
            self._loaded(records, loaded, found or durable.Recovery(), time.perf_counter() - begun)

        self._bridge.submit(job, done)

    def _loaded(self, records: durable.Log, loaded: Loaded, found: durable.Recovery, took: float) -> None:
        assert self._bridge is not None
        loaded.finish(self._read_moment())
        self._written = loaded.written
        self.last_notice = loaded.notice if self._plan.interpreter_outlives else 0
        for idempotency_key in sorted(loaded.numbers, key=loaded.numbers.__getitem__):
            size = ENTRY_ON_DISK + len(self._memory.entries[idempotency_key].result)
            self._carrier.wrote(idempotency_key, loaded.numbers[idempotency_key], size)
        self._log = records
        self._store = Store(
            self._scheduler, self._bridge, records, SLOW_AFTER, self._fenced, self._disk_changed
        )
        pairs = {
            "records": found.records,
            "labels": len(self._memory.entries),
            "rebased": loaded.rebased,
            "torn_bytes": found.torn_bytes,
            "damaged": len(found.damage),
            "took": round(took, 4),
        }
        log.info("recall loaded", extra={"pairs": pairs})
        self.ready = True
        self._remembered()

    def recover_keys(self, born: float, idempotency_keys: IdempotencyTable) -> list[tuple[Request, float]]:
        """The interpreter is up, since `born`: put what is remembered into the table of idempotency keys.

        Gives the controller's part: requests that are over, and how long their idempotency keys count. A run
        whose end nobody wrote down is waited for where the interpreter outlived this server's predecessor;
        else it may have run or not, nobody can tell, and its repeats end in an error.
        """
        now, told = self._scheduler.clock.now, []
        outlived = self._plan.interpreter_outlives and self._written is not None and born < self._written
        if not outlived:
            self.last_notice, self._anew = 0, self._store is not None
        for entry in sorted(self._memory.entries.values(), key=lambda one: one.until):
            request_class = self._request_classes.get(entry.request_class.encode())
            if request_class is None:
                continue
            if entry.state is State.INTENDED and not outlived:
                entry.state = State.FAILED
                self._outcomes.append(written.outcome(entry))
                self._count("recall_unknown")
            exchange = self._exchange(entry, request_class)
            if entry.state is State.INTENDED:
                exchange.state = ExchangeState.RUNNING
                self._adopted[entry.name] = exchange
                self._count("recall_adopted")
            life = entry.until - now
            idempotency_keys.reserve(exchange, now, life)
            if entry.state is State.WORKED:
                idempotency_keys.store_result(exchange, entry.result)
            told.append((exchange.request, life))
            self._count("recall_labels")
        return told

    def runs_to_adopt(self) -> tuple[list[Exchange], int]:
        """Runs of the predecessor whose ends the interpreter may still tell, and the last notice read."""
        return list(self._adopted.values()), self.last_notice

    def _exchange(self, entry: Entry, request_class: RequestClass) -> Exchange:
        """A try that is over, as repeats find it."""
        request = Request(request_class, Client(), None, entry.arrived, 0.0)
        request.stage, request.started, request.answered = Stage.FINISHED, True, True
        if entry.state is not State.INTENDED:
            request.outcome = Outcome.SUCCEEDED if entry.state is not State.FAILED else Outcome.ERROR
        exchange = Exchange(
            entry.name, entry.request_class.encode(), b"", 0, entry.idempotency_key, request, None
        )
        exchange.state = ExchangeState.FINISHED
        exchange.digest = entry.sameness
        exchange.billed = entry.state is not State.INTENDED
        return exchange

    def up_at(self) -> float:
        """From when on the server may say that it is up."""
        if not self.ready and (self._plan.interpreter_outlives or self._plan.cold is Start.WAIT):
            return inf  # what to ask the interpreter for, or whether to wait, is not known yet
        remembers = self._store is not None and self._written is not None and not self._damaged
        return self.started if remembers else up_at(self._plan.cold, self.started, self._longest)

    # -- what the dispatch asks and tells

    def may_have_run(self, exchange: Exchange) -> bool:
        """Whether a keyed request without a remembered first may have run in a predecessor."""
        if self._plan.cold in (Start.RUN, Start.WAIT) or (self._store is not None and not self._damaged):
            return False
        request = exchange.request
        now = self._scheduler.clock.now
        if may_have_run(
            self._plan.cold, self.started, request.arrived_at, request.request_class.idempotency_window_s, now
        ):
            self._count("recall_cold_terminated")
            return True
        return False

    def prepare(self, exchange: Exchange) -> None:
        """What a run of it will wait for beside the cores, and whether its idempotency key has room: the
        controller's to weigh against its budget.
        """
        if self._store is None:
            return
        now, request = self._scheduler.clock.now, exchange.request
        self._expire(now)
        request.extra_wait_s = self._commit_wait(now)
        if self._store.disk in (Disk.FULL, Disk.FAILING):
            request.key_capacity_in_s = 1.0
        else:
            request.key_capacity_in_s = self._memory.room_in(now, self._prepared)
            self._prepared += 1
        if request.key_capacity_in_s:
            self._count("recall_no_room")

    def _commit_wait(self, now: float) -> float:
        """How long an intent may take to be durable: as recent slow ones, or as the one under way."""
        ranked = sorted(self._commits)
        usual = ranked[int(0.9 * len(ranked))] if ranked else 0.0
        under_way = now - self._given_at if self._given_at else 0.0
        return max(usual, under_way) + self._plan.commit_every

    def reserve(self, exchange: Exchange) -> None:
        """Its idempotency key is kept from now on: the intent goes out at once, so that its commit passes
        while the request waits for a core.
        """
        request = exchange.request
        if (
            self._store is None
            or exchange.idempotency_key is None
            or request.request_class.idempotency is not Idempotency.KEYED
        ):
            return
        until = request.arrived_at + request.request_class.idempotency_window_s
        sameness = digest(exchange.request_class, exchange.body)
        request_class = exchange.request_class.decode("utf-8", "replace")
        entry = Entry(
            exchange.idempotency_key, sameness, exchange.name, request_class, request.arrived_at, until
        )
        self._memory.intend(entry)
        self._intents.append(entry)

    def release(self, exchange: Exchange) -> None:
        """It will never run here: its idempotency key is free again."""
        entry = self._entry(exchange)
        if entry is None or entry.state is not State.INTENDED:
            return
        if entry in self._intents:
            self._intents.remove(entry)  # nobody was told of it
        else:
            never = pb.Outcome(
                label=entry.idempotency_key, name=entry.name, how=pb.NEVER, notice=exchange.notice_number
            )
            self._outcomes.append(never)
        self._memory.forget(entry.idempotency_key, entry.name)
        self._carrier.gone(entry.idempotency_key)

    def _entry(self, exchange: Exchange) -> Entry | None:
        if self._store is None or exchange.idempotency_key is None:
            return None
        entry = self._memory.entries.get(exchange.idempotency_key)
        return entry if entry is not None and entry.name == exchange.name else None

    def before_run(self, exchange: Exchange, run: Run) -> None:
        """Send the run when its intent is durable; at once if that is so, or if it needs none."""
        entry = self._entry(exchange)
        if entry is None or self._store is None or 0 < entry.record <= self._store.fence:
            return run(exchange)
        waiting = self._waiting
        for number, _, runs in self._marks:
            if number == entry.record:
                waiting = runs
        waiting.append(Waiting(exchange, run))

    def run_ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """A keyed run is over, or never began."""
        self._adopted.pop(exchange.name, None)
        if (
            self._store is None
            or exchange.idempotency_key is None
            or exchange.request.request_class.idempotency is not Idempotency.KEYED
        ):
            return
        if outcome is Outcome.NEVER_STARTED:
            self.release(exchange)
        else:
            state = State.WORKED if outcome is Outcome.SUCCEEDED else State.FAILED
            entry = self._memory.end(exchange.idempotency_key, exchange.name, state, result)
            if entry is None:
                return
            told = written.outcome(entry)
            told.notice = exchange.notice_number
            if state is State.WORKED:
                told.result = result
            self._outcomes.append(told)
        if (
            exchange.request.stage is Stage.FINISHED
        ):  # one of the predecessor's: the controller knows it as over
            exchange.request.outcome = outcome
        self._mark += 1

    # -- the observer: answers wait for outcomes

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        keyed = (
            exchange.idempotency_key is not None
            and exchange.request.request_class.idempotency is Idempotency.KEYED
        )
        if self._store is None or not keyed or self._durable_mark >= self._mark:
            return self._inner.completed(exchange, result, caller)
        if self._store.disk in (Disk.FULL, Disk.FAILING):
            self._count("recall_answers_ahead")
            return self._inner.completed(exchange, result, caller)
        self._holding.delay(self._mark, exchange, result, caller)

    def rejected(self, exchange: Exchange) -> None:
        self._inner.rejected(exchange)

    def failed(self, exchange: Exchange) -> None:
        self._inner.failed(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        self._inner.cancelled(exchange)

    def _release(self, one: DelayedAnswer, ahead: bool) -> None:
        if ahead:
            self._count("recall_answers_ahead")
        self._inner.completed(one.exchange, one.result, one.caller)

    # -- rounds and the disk

    def end_round(self) -> None:
        store, self._prepared = self._store, 0
        if store is None:
            return
        now = self._scheduler.clock.now
        if self._intents or self._outcomes or self._anew:
            if store.idle and (now >= self._commit_at + self._plan.commit_every or self._leaving):
                self._write(store, now)
            elif store.idle:
                self._scheduler.after(self._commit_at + self._plan.commit_every - now, lambda: None)
        store.flush()

    def _write(self, store: Store, now: float) -> None:
        record = pb.Record(moment=self._moment(), anew=self._anew)
        self._anew = False
        record.intents.extend(written.intent(entry) for entry in self._intents)
        record.outcomes.extend(self._outcomes)
        number = store.append(record.SerializeToString())
        assert number is not None  # the store was idle
        for entry, told in zip(self._intents, record.intents, strict=True):
            entry.record = number
            if self._memory.entries.get(entry.idempotency_key) is entry:
                self._carrier.wrote(entry.idempotency_key, number, told.ByteSize())
        for outcome in self._outcomes:
            self._carrier.grew(outcome.label, outcome.ByteSize())
        self._marks.append((number, self._mark, self._waiting))
        self._intents, self._outcomes, self._waiting = [], [], []
        self._commit_at = self._given_at = now

    def _moment(self) -> pb.Moment:
        return written.moment(self._read_moment())

    def _fenced(self, number: int) -> None:
        now = self._scheduler.clock.now
        if self._given_at:
            self._commits.append(now - self._given_at)
            self._given_at = 0.0
        waiting: list[Waiting] = []
        while self._marks and self._marks[0][0] <= number:
            _, self._durable_mark, runs = self._marks.popleft()
            waiting += runs
        self._holding.durable(self._durable_mark)
        for one in waiting:
            self._let_run(one)

    def _let_run(self, one: Waiting) -> None:
        """Its intent is durable. If nobody waits for it any more it is not begun, and its idempotency key is
        free again.
        """
        exchange = one.exchange
        if exchange.state is not ExchangeState.RUNNING:
            return
        if exchange.closed and not exchange.attached_duplicates:
            self._count("recall_not_begun")
            self._never_begun(exchange)
        else:
            one.run(exchange)

    def _disk_changed(self, disk: Disk) -> None:
        self._count(f"recall_disk_{disk.value}")
        if disk in (Disk.FULL, Disk.FAILING):
            self._holding.release_all()

    # -- ageing

    def _expire(self, now: float) -> None:
        for entry in self._memory.expire(now):
            self._carrier.gone(entry.idempotency_key)

    def _sweep(self) -> None:
        now = self._scheduler.clock.now
        if self.ready:
            self._expire(now)
        if self._store is not None and self._log is not None:
            self._store.release_through(self._carrier.oldest(self._store.fence) - 1)
            if self._carrier.look(self._store.size, self._store.last):
                self._background.want(self._carry)
        self._scheduler.after(SWEEP, self._sweep)

    def _carry_step(self) -> bool:
        """Write the oldest entries anew, so that the front of the log can go."""
        store = self._store
        if store is None or not store.idle or self._intents or self._outcomes:
            return False  # the sweep asks again
        idempotency_keys = [one for one in self._carrier.step(store.size) if one in self._memory.entries]
        if not idempotency_keys:
            return False
        record = pb.Record(moment=self._moment(), snapshot=True)
        sizes = {}
        for idempotency_key in idempotency_keys:
            entry = self._memory.entries[idempotency_key]
            intent = written.intent(entry)
            record.intents.append(intent)
            sizes[idempotency_key] = intent.ByteSize()
            if entry.state is not State.INTENDED:
                outcome = written.outcome(entry)
                record.outcomes.append(outcome)
                sizes[idempotency_key] += outcome.ByteSize()
        number = store.append(record.SerializeToString())
        if number is None:
            return False
        for idempotency_key in idempotency_keys:
            self._carrier.wrote(idempotency_key, number, sizes[idempotency_key])
        self._marks.append((number, self._mark, []))
        self._count("recall_carried")
        store.flush()
        return False

    # -- the end

    def parting(self) -> None:
        self._leaving = True

    def settled(self) -> bool:
        if self._store is None:
            return True
        return not self._intents and not self._outcomes and not self._holding and self._store.settled

    def close(self) -> None:
        """The last instant: what is pending is written, answers that wait leave."""
        self._holding.release_all()
        if self._store is not None:
            if (self._intents or self._outcomes) and self._store.idle:
                self._write(self._store, self._scheduler.clock.now)
            self._store.flush()
            self._store.close()

    def gauges(self) -> dict[str, object]:
        told: dict[str, object] = {
            "recall_live": len(self._memory.entries),
            "recall_bytes": self._memory.bytes,
            "recall_results_dropped": self._memory.results_dropped,
            "recall_held": len(self._holding),
        }
        if self._store is not None:
            told |= {"recall_disk": self._store.disk.value, "recall_disk_bytes": self._store.size}
        return told
