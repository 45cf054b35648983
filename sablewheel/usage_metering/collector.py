"""Collect the exports of many servers into one journal, each block once. A program of its own.

One round of poll is one transaction: all batches that it brought are decided and posted, committed
together, and only then acknowledged. Killed before the commit it has nothing; killed after it, the batch is
recognised when it comes again.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from typing import Any

from ..transport.listening_socket import Listener
from ..transport.scheduler import Scheduler
from ..transport.stream import Stream
from . import collecting
from . import usage_metering_pb2 as pb
from .collecting import AlreadyApplied, Apply, ConnectedIncarnations, LastBlock, Refusal
from .export import VERSION
from .frames import FrameError, Frames, frame
from .journal import Journal
from .plan import CollectorPlan

GREETING_TIMEOUT_S = 5.0  # from connecting to a whole greeting
SWEEP_INTERVAL_S = 1.0
MAX_BATCHES_PER_TRANSACTION = 64  # batches in one transaction
MAX_UNKNOWN_TENANTS_LOGGED = 1000  # names of unknown tenants that are told, each once


class Connection:
    """One server's export. Its frames are judged in the order in which they came, at the end of the round."""

    def __init__(self, collector: Collector, stream: Stream, most: int) -> None:
        self.stream, self.frames = stream, Frames(most)
        self.server, self.incarnation = "", b""
        self.last_received_at = collector.scheduler.clock.now
        self.inbox: list[pb.Frame] = []
        self.leaving = False
        self._collector = collector

    def serve(self) -> None:
        """Read frames until the connection ends; they are handled at the end of the round."""
        try:
            while not self.leaving and (data := self.stream.read()):
                self.last_received_at = self._collector.scheduler.clock.now
                self.inbox.extend(self.frames.feed(data))
                self._collector.dirty[self] = None
        except FrameError as trouble:
            self._collector.refuse(self, Refusal("frame", str(trouble)))
        if not self.leaving:
            self._collector.dropped(self)

    def send_frame(self, kind: pb.Frame) -> None:
        """Write one frame to the server."""
        self.stream.write(frame(kind))
        self.stream.flush()


class Collector:
    """Door, connections and journal; `log` is a structlog logger or its like."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: CollectorPlan,
        journal: Journal,
        log: Any,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.scheduler, self._plan, self.journal, self._log, self._clock = (
            scheduler,
            plan,
            journal,
            log,
            clock,
        )
        self.connections: dict[Connection, None] = {}
        self.dirty: dict[Connection, None] = {}
        self.counts: dict[str, int] = {}
        self._presence = ConnectedIncarnations()
        self._unknown_tenants: set[str] = set()  # tenants that were told already
        journal.name_customers(plan.customers)
        self._disk_fault = ""
        self._last_close_check_s = 0.0
        self._listener = Listener(scheduler, plan.listen, self._room, self._accepted, lambda: None)
        scheduler.after_round.append(self.end_round)
        scheduler.after(SWEEP_INTERVAL_S, self._sweep)
        self._close_due_periods()

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + by

    def close(self) -> None:
        """Stop listening, drop all connections and close the journal."""
        self._listener.close()
        for connection in list(self.connections):
            self.dropped(connection)
        self.journal.close()

    # -- connections

    def _room(self) -> bool:
        return len(self.connections) < self._plan.max_connections

    def _accepted(self, stream: Stream) -> None:
        connection = Connection(self, stream, self._plan.max_frame_bytes)
        self.connections[connection] = None
        self.count("connections")
        self.scheduler.spawn(connection.serve)

    def dropped(self, connection: Connection) -> None:
        """Forget a connection and close it."""
        if connection in self.connections:
            del self.connections[connection]
            if connection.server:
                self._presence.disconnected(connection.server, connection.incarnation)
        connection.leaving = True
        connection.inbox.clear()
        connection.stream.close()

    def refuse(self, connection: Connection, why: Refusal) -> None:
        """Tell the fault by name, then close; what was acknowledged stays, what was not comes again."""
        if connection.leaving:
            return
        self.count(f"refused_{why.fault}")
        self._log.warning("refused", server=connection.server, fault=why.fault, detail=why.detail)
        connection.send_frame(pb.Frame(refused=pb.Refused(fault=why.fault, detail=why.detail[:500])))
        connection.leaving = True
        connection.inbox.clear()
        self.scheduler.after(0.2, lambda: self.dropped(connection))

    def _sweep(self) -> None:
        now = self.scheduler.clock.now
        for connection in list(self.connections):
            silent = now - connection.last_received_at
            if silent > self._plan.idle_timeout_s or (not connection.server and silent > GREETING_TIMEOUT_S):
                self.count("connections_silent")
                self.dropped(connection)
        if now >= self._last_close_check_s + self._plan.close_check_interval_s:
            self._close_due_periods()
        self.scheduler.after(SWEEP_INTERVAL_S, self._sweep)

    # -- the round

    def end_round(self) -> None:
        """Handle all frames of the round in one transaction, then acknowledge them."""
        while self.dirty:
            dirty, self.dirty = self.dirty, {}
            posted: list[tuple[Connection, pb.Acknowledged]] = []
            begun = False
            try:
                for connection in dirty:
                    while connection.inbox and not connection.leaving:
                        if len(posted) >= MAX_BATCHES_PER_TRANSACTION:
                            self.dirty[connection] = None
                            break
                        one = connection.inbox.pop(0)
                        if not begun and one.WhichOneof("kind") in ("batch", "lost"):
                            self.journal.begin()
                            begun = True
                        self._take(connection, one, posted)
                if begun:
                    self.journal.commit()
            except sqlite3.Error as trouble:
                self._failed(trouble, dirty)
                return
            self._acknowledge(posted)
            if begun and self._disk_fault:
                self._log.warning("book writable again", was=self._disk_fault)
                self._disk_fault = ""

    def _acknowledge(self, posted: list[tuple[Connection, pb.Acknowledged]]) -> None:
        """One word for all that a connection brought in the round, an incarnation at a time."""
        last: dict[tuple[Connection, bytes], pb.Acknowledged] = {}
        for connection, told in posted:
            last[connection, told.incarnation] = told
        for (connection, _), told in last.items():
            connection.send_frame(pb.Frame(acknowledged=told))

    def _failed(self, trouble: sqlite3.Error, dirty: dict[Connection, None]) -> None:
        """Roll the round back after a failed write and tell every server in it to come again."""
        self.journal.roll_back()
        self.count("book_faults")
        if str(trouble) != self._disk_fault:
            self._log.error("book not writable", reason=str(trouble))
            self._disk_fault = str(trouble)
        for connection in dirty:
            self.refuse(connection, Refusal("book", str(trouble)))

    def _take(
        self, connection: Connection, one: pb.Frame, posted: list[tuple[Connection, pb.Acknowledged]]
    ) -> None:
        kind = one.WhichOneof("kind")
        if kind == "hello":
            return self._greeted(connection, one.hello)
        if not connection.server:
            return self.refuse(connection, Refusal("greeting", f"{kind} before a greeting"))
        if kind == "batch":
            return self._batch(connection, one.batch, posted)
        if kind == "lost":
            told = one.lost
            if self.journal.lose(
                connection.server, told.incarnation, told.through, told.reason, self._clock()
            ):
                self.count("holes")
                self._log.error(
                    "blocks lost",
                    server=connection.server,
                    incarnation=told.incarnation.hex(),
                    through=told.through,
                    reason=told.reason,
                )
            return
        self.refuse(connection, Refusal("kind", f"{kind} is not a server's to send"))

    def _greeted(self, connection: Connection, hello: pb.Hello) -> None:
        why = collecting.check_greeting(hello, VERSION)
        if why is None and connection.server:
            why = Refusal("greeting", "a second one")
        if why is not None:
            return self.refuse(connection, why)
        connection.server, connection.incarnation = hello.server, hello.incarnation
        if self._presence.connected_again(hello.server, hello.incarnation):
            # Nothing is lost by it, their entries are told apart; but two servers answer to one name.
            self.count("twins")
            self._log.error(
                "two servers with one name", server=hello.server, incarnation=hello.incarnation.hex()
            )
        connection.send_frame(pb.Frame(welcome=self.welcome(hello.server)))

    def welcome(self, server: str) -> pb.Welcome:
        """What is in the journal of a server, by incarnation."""
        welcome = pb.Welcome(version=VERSION)
        for incarnation, known in self.journal.known(server).items():
            welcome.have.append(pb.Have(incarnation=incarnation, number=known.number, digest=known.digest))
        return welcome

    def decide_batch(self, server: str, batch: pb.Batch) -> collecting.BatchDecision:
        """Decide on a batch by the last blocks and, for an old number, the digest in the journal."""
        known = self.journal.known(server)
        verdict = collecting.decide_batch(server, batch, known, {})
        if isinstance(verdict, AlreadyApplied):
            last = known.get(verdict.incarnation, LastBlock())
            held = self.journal.held(server, verdict.incarnation, verdict.number)
            if verdict.number < last.number and held is not None and held != batch.digest:
                return Refusal("changed", f"block {verdict.number} is in the book with another digest")
        return verdict

    def _batch(
        self, connection: Connection, batch: pb.Batch, posted: list[tuple[Connection, pb.Acknowledged]]
    ) -> None:
        verdict = self.decide_batch(connection.server, batch)
        match verdict:
            case Refusal():
                return self.refuse(connection, verdict)
            case AlreadyApplied(incarnation, number):
                self.count("blocks_again")
            case Apply(block):
                self.journal.apply(connection.server, verdict, self._clock())
                self.count("blocks")
                self.count("entries", block.last_sequence - block.first_sequence + 1)
                self._check_tenants(block)
                skew = block.written_us / 1e6 - self._clock()
                if skew > self._plan.max_clock_skew_s:
                    self.count("blocks_from_the_future")
                    self._log.warning("clock ahead", server=connection.server, by=round(skew))
                incarnation, number = block.incarnation, block.number
        posted.append((connection, pb.Acknowledged(incarnation=incarnation, number=number)))

    def _check_tenants(self, block: pb.Block) -> None:
        """ClassUsage of a tenant that nobody named is posted all the same, whoever will pay for it."""
        known = self._plan.customers
        if not known:
            return
        names = [one.customer for one in block.entries] + [one.customer for one in block.totals]
        for name in names:
            if name not in known:
                self.count("entries_of_unknown_customers")
                if (
                    name not in self._unknown_tenants
                    and len(self._unknown_tenants) < MAX_UNKNOWN_TENANTS_LOGGED
                ):
                    self._unknown_tenants.add(name)
                    self._log.warning("unknown customer", customer=name, server=block.server)

    # -- periods

    def _close_due_periods(self) -> None:
        """Close what is due. A clock that jumped closes nothing until it is believed."""
        self._last_close_check_s = self.scheduler.clock.now
        period_closer = self.journal.period_closer
        jumped = period_closer.jumped
        period_closer.observe_clocks(self._clock(), time.monotonic())
        if period_closer.jumped != jumped:
            self._log.warning(
                "clock jumped" if period_closer.jumped else "clock believed again", by=period_closer.jumped
            )
        try:
            self.journal.begin()
            closed = self.journal.close_due()
            self.journal.commit()
        except sqlite3.Error as trouble:
            return self._failed(trouble, {})
        for name in closed:
            self.count("periods_closed")
            self._log.info("period closed", period=name)
