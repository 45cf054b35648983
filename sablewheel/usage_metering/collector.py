"""The collector: exports of many servers into one book, each block once. A program of its own.

One round of poll is one transaction: all batches that it brought are judged and posted, committed together,
and only then acknowledged. Killed before the commit it has nothing, killed after it the batch is known again.
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
from .collecting import Again, Apply, Known, Presence, Refuse
from .export import VERSION
from .frames import FrameError, Frames, frame
from .journal import Book
from .plan import CollectorPlan

GREETING_MOST = 5.0  # from connecting to a whole greeting
SWEEP = 1.0
ROUND_MOST = 64  # batches in one transaction
STRANGE_MOST = 1000  # names of unknown customers that are told, each once


class Connection:
    """One server's export. Its frames are judged in the order in which they came, at the end of the round."""

    def __init__(self, collector: Collector, stream: Stream, most: int) -> None:
        self.stream, self.frames = stream, Frames(most)
        self.server, self.incarnation = "", b""
        self.heard = collector.scheduler.clock.now
        self.inbox: list[pb.Frame] = []
        self.leaving = False
        self._collector = collector

    def serve(self) -> None:
        try:
            while not self.leaving and (data := self.stream.read()):
                self.heard = self._collector.scheduler.clock.now
                self.inbox.extend(self.frames.feed(data))
                self._collector.dirty[self] = None
        except FrameError as trouble:
            self._collector.refuse(self, Refuse("frame", str(trouble)))
        if not self.leaving:
            self._collector.dropped(self)

    def tell(self, kind: pb.Frame) -> None:
        self.stream.write(frame(kind))
        self.stream.flush()


class Collector:
    """Door, connections and book; `log` is a structlog logger or its like."""

    def __init__(
        self,
        scheduler: Scheduler,
        plan: CollectorPlan,
        book: Book,
        log: Any,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self.scheduler, self._plan, self.book, self._log, self._clock = scheduler, plan, book, log, clock
        self.connections: dict[Connection, None] = {}
        self.dirty: dict[Connection, None] = {}
        self.counts: dict[str, int] = {}
        self._presence = Presence()
        self._strange: set[str] = set()  # customers that were told already
        book.name_customers(plan.customers)
        self._disk_fault = ""
        self._closed_look = 0.0
        self._listener = Listener(scheduler, plan.listen, self._room, self._accepted, lambda: None)
        scheduler.after_round.append(self.end_round)
        scheduler.after(SWEEP, self._sweep)
        self._closer_look()

    def count(self, name: str, by: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + by

    def close(self) -> None:
        self._listener.close()
        for connection in list(self.connections):
            self.dropped(connection)
        self.book.close()

    # -- connections

    def _room(self) -> bool:
        return len(self.connections) < self._plan.connections_most

    def _accepted(self, stream: Stream) -> None:
        connection = Connection(self, stream, self._plan.frame_most)
        self.connections[connection] = None
        self.count("connections")
        self.scheduler.spawn(connection.serve)

    def dropped(self, connection: Connection) -> None:
        if connection in self.connections:
            del self.connections[connection]
            if connection.server:
                self._presence.went(connection.server, connection.incarnation)
        connection.leaving = True
        connection.inbox.clear()
        connection.stream.close()

    def refuse(self, connection: Connection, why: Refuse) -> None:
        """Tell the fault by name, then close; what was acknowledged stays, what was not comes again."""
        if connection.leaving:
            return
        self.count(f"refused_{why.fault}")
        self._log.warning("refused", server=connection.server, fault=why.fault, detail=why.detail)
        connection.tell(pb.Frame(refused=pb.Refused(fault=why.fault, detail=why.detail[:500])))
        connection.leaving = True
        connection.inbox.clear()
        self.scheduler.after(0.2, lambda: self.dropped(connection))

    def _sweep(self) -> None:
        now = self.scheduler.clock.now
        for connection in list(self.connections):
            silent = now - connection.heard
            if silent > self._plan.silent_most or (not connection.server and silent > GREETING_MOST):
                self.count("connections_silent")
                self.dropped(connection)
        if now >= self._closed_look + self._plan.close_every:
            self._closer_look()
        self.scheduler.after(SWEEP, self._sweep)

    # -- the round

    def end_round(self) -> None:
        while self.dirty:
            dirty, self.dirty = self.dirty, {}
            posted: list[tuple[Connection, pb.Acknowledged]] = []
            begun = False
            try:
                for connection in dirty:
                    while connection.inbox and not connection.leaving:
                        if len(posted) >= ROUND_MOST:
                            self.dirty[connection] = None
                            break
                        one = connection.inbox.pop(0)
                        if not begun and one.WhichOneof("kind") in ("batch", "lost"):
                            self.book.begin()
                            begun = True
                        self._take(connection, one, posted)
                if begun:
                    self.book.commit()
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
            connection.tell(pb.Frame(acknowledged=told))

    def _failed(self, trouble: sqlite3.Error, dirty: dict[Connection, None]) -> None:
        """The book can't be written: nothing of the round counts, and every server hears so and comes
        again.
        """
        self.book.roll_back()
        self.count("book_faults")
        if str(trouble) != self._disk_fault:
            self._log.error("book not writable", reason=str(trouble))
            self._disk_fault = str(trouble)
        for connection in dirty:
            self.refuse(connection, Refuse("book", str(trouble)))

    def _take(
        self, connection: Connection, one: pb.Frame, posted: list[tuple[Connection, pb.Acknowledged]]
    ) -> None:
        kind = one.WhichOneof("kind")
        if kind == "hello":
            return self._greeted(connection, one.hello)
        if not connection.server:
            return self.refuse(connection, Refuse("greeting", f"{kind} before a greeting"))
        if kind == "batch":
            return self._batch(connection, one.batch, posted)
        if kind == "lost":
            told = one.lost
            if self.book.lose(connection.server, told.incarnation, told.through, told.reason, self._clock()):
                self.count("holes")
                self._log.error(
                    "blocks lost",
                    server=connection.server,
                    incarnation=told.incarnation.hex(),
                    through=told.through,
                    reason=told.reason,
                )
            return
        self.refuse(connection, Refuse("kind", f"{kind} is not a server's to send"))

    def _greeted(self, connection: Connection, hello: pb.Hello) -> None:
        why = collecting.greeted(hello, VERSION)
        if why is None and connection.server:
            why = Refuse("greeting", "a second one")
        if why is not None:
            return self.refuse(connection, why)
        connection.server, connection.incarnation = hello.server, hello.incarnation
        if self._presence.came(hello.server, hello.incarnation):
            # Nothing is lost by it, their entries are told apart; but two servers answer to one name.
            self.count("twins")
            self._log.error(
                "two servers with one name", server=hello.server, incarnation=hello.incarnation.hex()
            )
        connection.tell(pb.Frame(welcome=self.welcome(hello.server)))

    def welcome(self, server: str) -> pb.Welcome:
        """What is in the book of a server, by incarnation."""
        welcome = pb.Welcome(version=VERSION)
        for incarnation, known in self.book.known(server).items():
            welcome.have.append(pb.Have(incarnation=incarnation, number=known.number, digest=known.digest))
        return welcome

    def judge(self, server: str, batch: pb.Batch) -> collecting.Verdict:
        known = self.book.known(server)
        verdict = collecting.judge(server, batch, known, {})
        if isinstance(verdict, Again):
            last = known.get(verdict.incarnation, Known())
            held = self.book.held(server, verdict.incarnation, verdict.number)
            if verdict.number < last.number and held is not None and held != batch.digest:
                return Refuse("changed", f"block {verdict.number} is in the book with another digest")
        return verdict

    def _batch(
        self, connection: Connection, batch: pb.Batch, posted: list[tuple[Connection, pb.Acknowledged]]
    ) -> None:
        verdict = self.judge(connection.server, batch)
        match verdict:
            case Refuse():
                return self.refuse(connection, verdict)
            case Again(incarnation, number):
                self.count("blocks_again")
            case Apply(block):
                self.book.apply(connection.server, verdict, self._clock())
                self.count("blocks")
                self.count("entries", block.last_sequence - block.first_sequence + 1)
                self._look_at_customers(block)
                skew = block.written_us / 1e6 - self._clock()
                if skew > self._plan.skew_most:
                    self.count("blocks_from_the_future")
                    self._log.warning("clock ahead", server=connection.server, by=round(skew))
                incarnation, number = block.incarnation, block.number
        posted.append((connection, pb.Acknowledged(incarnation=incarnation, number=number)))

    def _look_at_customers(self, block: pb.Block) -> None:
        """Use of a customer that nobody named is posted all the same, whoever will pay for it."""
        known = self._plan.customers
        if not known:
            return
        names = [one.customer for one in block.entries] + [one.customer for one in block.totals]
        for name in names:
            if name not in known:
                self.count("entries_of_unknown_customers")
                if name not in self._strange and len(self._strange) < STRANGE_MOST:
                    self._strange.add(name)
                    self._log.warning("unknown customer", customer=name, server=block.server)

    # -- periods

    def _closer_look(self) -> None:
        """Close what is due. A clock that jumped closes nothing until it is believed."""
        self._closed_look = self.scheduler.clock.now
        closer = self.book.closer
        jumped = closer.jumped
        closer.look(self._clock(), time.monotonic())
        if closer.jumped != jumped:
            self._log.warning("clock jumped" if closer.jumped else "clock believed again", by=closer.jumped)
        try:
            self.book.begin()
            closed = self.book.close_due()
            self.book.commit()
        except sqlite3.Error as trouble:
            return self._failed(trouble, {})
        for name in closed:
            self.count("periods_closed")
            self._log.info("period closed", period=name)
