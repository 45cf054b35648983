"""Collect the exports of many servers into one journal, each block once, as a separate program.

One round of the event loop is one transaction: all batches received in it are decided, posted and committed
together, and acknowledged after the commit. If the collector is killed before the commit, no batch of the
round is posted; if it is killed after it, the batches are recognised when they are sent again.
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
from .frames import FrameDecoder, FrameError, encode_frame
from .journal import Journal
from .plan import CollectorPlan

GREETING_TIMEOUT_S = 5.0  # from the connection to a complete greeting
SWEEP_INTERVAL_S = 1.0
MAX_BATCHES_PER_TRANSACTION = 64
MAX_UNKNOWN_TENANTS_LOGGED = 1000  # each unknown tenant is logged once, up to this many


class Connection:
    """A connection of one server. Its frames are handled in order at the end of the round."""

    def __init__(self, collector: Collector, stream: Stream, max_frame_bytes: int) -> None:
        self.stream, self.decoder = stream, FrameDecoder(max_frame_bytes)
        self.server, self.incarnation = "", b""
        self.last_received_at = collector.scheduler.clock.now
        self.inbox: list[pb.Frame] = []
        self.closing = False
        self._collector = collector

    def serve(self) -> None:
        """Read frames until the connection ends; they are handled at the end of the round."""
        try:
            while not self.closing and self._read():
                pass
        except FrameError as error:
            self._collector.refuse(self, Refusal("frame", str(error)))
        if not self.closing:
            self._collector.drop(self)

    def _read(self) -> bool:
        """Read once; return False at the end. The data is not retained while the next read waits."""
        data = self.stream.read()
        self.last_received_at = self._collector.scheduler.clock.now
        if data:
            self.inbox.extend(self.decoder.feed(data))
            self._collector.dirty[self] = None
        return bool(data)

    def send_frame(self, message: pb.Frame) -> None:
        """Write one frame to the server."""
        self.stream.write(encode_frame(message))
        self.stream.flush()


class Collector:
    """The listener, the connections and the journal; `log` has the interface of a structlog logger."""

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
        self.dirty: dict[Connection, None] = {}  # connections with frames to handle
        self.counts: dict[str, int] = {}
        self._connected_incarnations = ConnectedIncarnations()
        self._unknown_tenants: set[str] = set()  # unknown tenants that were logged
        journal.set_customers(plan.customers)
        self._last_disk_error = ""
        self._last_close_check_s = 0.0
        self._listener = Listener(scheduler, plan.listen, self._has_capacity, self._accept, lambda: None)
        scheduler.after_round.append(self.end_round)
        scheduler.after(SWEEP_INTERVAL_S, self._sweep)
        self._close_due_periods()

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + by

    def close(self) -> None:
        """Stop listening, close all connections and the journal."""
        self._listener.close()
        for connection in list(self.connections):
            self.drop(connection)
        self.journal.close()

    # -- connections

    def _has_capacity(self) -> bool:
        return len(self.connections) < self._plan.max_connections

    def _accept(self, stream: Stream) -> None:
        connection = Connection(self, stream, self._plan.max_frame_bytes)
        self.connections[connection] = None
        self.count("connections")
        self.scheduler.spawn(connection.serve)

    def drop(self, connection: Connection) -> None:
        """Close and remove a connection."""
        if connection in self.connections:
            del self.connections[connection]
            if connection.server:
                self._connected_incarnations.remove(connection.server, connection.incarnation)
        connection.closing = True
        connection.inbox.clear()
        connection.stream.close()

    def refuse(self, connection: Connection, refusal: Refusal) -> None:
        """Send a refusal and close the connection shortly after.

        Acknowledged blocks stay posted; the server sends the others again.
        """
        if connection.closing:
            return
        self.count(f"refused_{refusal.fault}")
        self._log.warning("refused", server=connection.server, fault=refusal.fault, detail=refusal.detail)
        connection.send_frame(pb.Frame(refused=pb.Refused(fault=refusal.fault, detail=refusal.detail[:500])))
        connection.closing = True
        connection.inbox.clear()
        self.scheduler.after(0.2, lambda: self.drop(connection))

    def _sweep(self) -> None:
        now = self.scheduler.clock.now
        for connection in list(self.connections):
            idle_s = now - connection.last_received_at
            if idle_s > self._plan.idle_timeout_s or (not connection.server and idle_s > GREETING_TIMEOUT_S):
                self.count("connections_silent")
                self.drop(connection)
        if now >= self._last_close_check_s + self._plan.close_check_interval_s:
            self._close_due_periods()
        self.scheduler.after(SWEEP_INTERVAL_S, self._sweep)

    # -- rounds

    def end_round(self) -> None:
        """Handle all frames of the round in one transaction, then acknowledge them."""
        while self.dirty:
            connections, self.dirty = self.dirty, {}
            acknowledgements: list[tuple[Connection, pb.Acknowledged]] = []
            in_transaction = False
            try:
                for connection in connections:
                    while connection.inbox and not connection.closing:
                        if len(acknowledgements) >= MAX_BATCHES_PER_TRANSACTION:
                            self.dirty[connection] = None
                            break
                        message = connection.inbox.pop(0)
                        if not in_transaction and message.WhichOneof("kind") in ("batch", "lost"):
                            self.journal.begin()
                            in_transaction = True
                        self._handle_frame(connection, message, acknowledgements)
                if in_transaction:
                    self.journal.commit()
            except sqlite3.Error as error:
                self._abort_round(error, connections)
                return
            self._acknowledge(acknowledgements)
            if in_transaction and self._last_disk_error:
                self._log.warning("book writable again", was=self._last_disk_error)
                self._last_disk_error = ""

    def _acknowledge(self, acknowledgements: list[tuple[Connection, pb.Acknowledged]]) -> None:
        """Acknowledge the last posted block of each connection and incarnation."""
        last: dict[tuple[Connection, bytes], pb.Acknowledged] = {}
        for connection, acknowledged in acknowledgements:
            last[connection, acknowledged.incarnation] = acknowledged
        for (connection, _), acknowledged in last.items():
            connection.send_frame(pb.Frame(acknowledged=acknowledged))

    def _abort_round(self, error: sqlite3.Error, connections: dict[Connection, None]) -> None:
        """Roll back after a failed write and refuse the connections, so that their servers retry."""
        self.journal.roll_back()
        self.count("book_faults")
        if str(error) != self._last_disk_error:
            self._log.error("book not writable", reason=str(error))
            self._last_disk_error = str(error)
        for connection in connections:
            self.refuse(connection, Refusal("book", str(error)))

    def _handle_frame(
        self,
        connection: Connection,
        message: pb.Frame,
        acknowledgements: list[tuple[Connection, pb.Acknowledged]],
    ) -> None:
        kind = message.WhichOneof("kind")
        if kind == "hello":
            return self._handle_hello(connection, message.hello)
        if not connection.server:
            return self.refuse(connection, Refusal("greeting", f"{kind} before a greeting"))
        if kind == "batch":
            return self._handle_batch(connection, message.batch, acknowledgements)
        if kind == "lost":
            lost = message.lost
            if self.journal.record_hole(
                connection.server, lost.incarnation, lost.through, lost.reason, self._clock()
            ):
                self.count("holes")
                self._log.error(
                    "blocks lost",
                    server=connection.server,
                    incarnation=lost.incarnation.hex(),
                    through=lost.through,
                    reason=lost.reason,
                )
            return
        self.refuse(connection, Refusal("kind", f"{kind} is not a server's to send"))

    def _handle_hello(self, connection: Connection, hello: pb.Hello) -> None:
        refusal = collecting.check_greeting(hello, VERSION)
        if refusal is None and connection.server:
            refusal = Refusal("greeting", "a second one")
        if refusal is not None:
            return self.refuse(connection, refusal)
        connection.server, connection.incarnation = hello.server, hello.incarnation
        if self._connected_incarnations.add(hello.server, hello.incarnation):
            # No entry is lost, because incarnations differ; but two servers are configured with one name.
            self.count("twins")
            self._log.error(
                "two servers with one name", server=hello.server, incarnation=hello.incarnation.hex()
            )
        connection.send_frame(pb.Frame(welcome=self.welcome(hello.server)))

    def welcome(self, server: str) -> pb.Welcome:
        """Return the welcome for a server: its last block in the journal, by incarnation."""
        welcome = pb.Welcome(version=VERSION)
        for incarnation, last_block in self.journal.last_blocks(server).items():
            welcome.have.append(
                pb.Have(incarnation=incarnation, number=last_block.number, digest=last_block.digest)
            )
        return welcome

    def decide_batch(self, server: str, batch: pb.Batch) -> collecting.BatchDecision:
        """Decide on a batch by the last blocks and, for an earlier block, by its digest in the journal."""
        last_blocks = self.journal.last_blocks(server)
        decision = collecting.decide_batch(server, batch, last_blocks, {})
        if isinstance(decision, AlreadyApplied):
            last = last_blocks.get(decision.incarnation, LastBlock())
            journal_digest = self.journal.block_digest(server, decision.incarnation, decision.number)
            if (
                decision.number < last.number
                and journal_digest is not None
                and journal_digest != batch.digest
            ):
                return Refusal("changed", f"block {decision.number} is in the book with another digest")
        return decision

    def _handle_batch(
        self,
        connection: Connection,
        batch: pb.Batch,
        acknowledgements: list[tuple[Connection, pb.Acknowledged]],
    ) -> None:
        decision = self.decide_batch(connection.server, batch)
        match decision:
            case Refusal():
                return self.refuse(connection, decision)
            case AlreadyApplied(incarnation, number):
                self.count("blocks_again")
            case Apply(block):
                self.journal.apply(connection.server, decision, self._clock())
                self.count("blocks")
                self.count("entries", block.last_sequence - block.first_sequence + 1)
                self._check_tenants(block)
                skew = block.written_us / 1e6 - self._clock()
                if skew > self._plan.max_clock_skew_s:
                    self.count("blocks_from_the_future")
                    self._log.warning("clock ahead", server=connection.server, by=round(skew))
                incarnation, number = block.incarnation, block.number
        acknowledgements.append((connection, pb.Acknowledged(incarnation=incarnation, number=number)))

    def _check_tenants(self, block: pb.Block) -> None:
        """Count and log entries of unknown tenants; they are posted all the same."""
        known = self._plan.customers
        if not known:
            return
        names = [item.customer for item in block.entries] + [item.customer for item in block.totals]
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
        """Close the periods that are due; none while a jump of the clock is not accepted yet."""
        self._last_close_check_s = self.scheduler.clock.now
        period_closer = self.journal.period_closer
        previous_jump_s = period_closer.jump_s
        period_closer.observe_clocks(self._clock(), time.monotonic())
        if period_closer.jump_s != previous_jump_s:
            self._log.warning(
                "clock jumped" if period_closer.jump_s else "clock jump accepted", by=period_closer.jump_s
            )
        try:
            self.journal.begin()
            closed = self.journal.close_due()
            self.journal.commit()
        except sqlite3.Error as error:
            return self._abort_round(error, {})
        for name in closed:
            self.count("periods_closed")
            self._log.info("period closed", period=name)
