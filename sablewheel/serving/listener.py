"""The routers' side: connections, frames to exchanges, answers back. Knows no run and no decision."""

from __future__ import annotations

import logging
from collections.abc import Callable
from itertools import islice
from math import inf
from typing import Protocol

from ..overload.interface import Client, Idempotency, Request, RequestClass, Tenant
from ..protocol import resp
from ..transport.scheduler import Scheduler
from ..transport.stream import Stream
from .close_reasons import CloseReason, log_reason
from .exchange import NO_OBSERVER, Exchange, RequestObserver, Standing

OPEN_MOST = 32  # tries that the protocol allows on one connection at a time
SWEEP = 0.25  # how often unused connections are looked for
FIRST_MOST = 2.0  # from connecting to the end of the first frame: routers connect when they have one to send
WHOLE_MOST = 2.0  # from the beginning of any later frame to its end
CROWD_SHARE = 4  # one part in so many of the connections there may be; beyond it, unused ones are parted with
UNUSED_LEAST = 2.0  # for how long those must have been unused
ROOM_LEAST = 0.1  # once there is no room: what is unused for so long is closed at once, some at a time
ROOM_PARTS = 8
PARTING = 1.0  # how long a router has to close a connection after a farewell, with nothing open on it
LINGER = 0.5  # how long it has to close one that we shut; past ROOM_LEAST it goes sooner for want of room
DISCARD_MOST = 1 << 16  # bytes read past a connection's end, so that no reset takes answers away
AGE_MOST, AHEAD_MOST = (
    60.0,
    1.0,
)  # of a request on arrival: no wait and no two readings of one clock differ so
ROUTERS_LEAST = 1024  # room to remember so many by number in any case; who was heard longest ago goes first
ROUTERS_TIMES = 2  # of those that the settings tell: a router that is started anew has a new number

log = logging.getLogger(__name__)


class RequestHandler(Protocol):
    """Who is told what routers sent."""

    def arrived(self, exchange: Exchange) -> None: ...
    def gone(self, exchange: Exchange) -> None: ...


class Connection:
    """One router's connection; the caller of the exchanges that came over it."""

    def __init__(self, server: Server, stream: Stream) -> None:
        self.stream = stream
        self.open: dict[int, Exchange] = {}
        self.used = server.scheduler.clock.now
        self.due = self.used + FIRST_MOST  # when what is awaited must be whole
        self.heard = False  # whether a whole frame came
        self.leaving = False  # a farewell was said, or nothing more will come
        self.finished = False  # nothing more is taken from it; answers may be owed
        self.shut_at: float | None = None  # since when nothing is written any more
        self._discarded = 0  # bytes read since it is finished
        self._reading = True  # whether somebody reads on: the peer's end of the stream will be seen
        self._server = server
        self._parser = resp.Parser()
        self._answers: list[Callable[[float | None], bytes]] = []

    @property
    def idle(self) -> bool:
        """Whether nothing is open on it and all answers are on their way.

        An answer of this round is queued until its end: a run that ended in the round in which the sweep
        rings left nothing open and nothing unsent, and the close took its answer along.
        """
        return not self.open and not self._answers and self.stream.all_sent

    # -- what comes

    def serve(self) -> None:
        """Read until the end. Half a close may leave answers owed, so only a broken stream means gone."""
        try:
            while data := self.stream.read():
                if not self.finished:
                    self._read(data)
                elif self._discard(len(data)):
                    break
        except Exception:
            # A fault of ours: what is still to be read here would be lost unread on an open connection.
            log.exception("connection closed by a fault")
            self._server.count("faults")
            return self.close(CloseReason.FAULT)
        self._reading, self.due = False, inf
        if not self.stream.open or self.idle:
            return self.close(CloseReason.PEER_ENDED)
        if not self.finished:
            self._server.count("connections_half_closed")
        self.leaving = self.finished = True

    def _read(self, data: bytes) -> None:
        self.used = now = self._server.scheduler.clock.now
        garbled: resp.GarbledError | None = None
        try:
            frames = self._parser.feed(data)
        except resp.GarbledError as trouble:
            frames, garbled = trouble.frames, trouble
        try:
            for words in frames:
                self._take(words)
        except resp.GarbledError as trouble:
            garbled = trouble
        if garbled is not None:
            self._server.count("frames_garbled")
            log.warning("connection ended for what it sent", extra={"pairs": {"reason": garbled}})
            return self.finish(CloseReason.GARBLED)
        self.heard = self.heard or bool(frames)
        if not self._parser.partial:
            self.due = inf
        elif frames or self.due == inf:
            self.due = now + WHOLE_MOST

    def _discard(self, size: int) -> bool:
        """What comes once it is finished is neither run nor answered; whether that is enough of it."""
        if self.shut_at is not None and not self._discarded:
            self._server.count("connections_crossed")
        self._discarded += size
        return self._discarded > DISCARD_MOST

    def finish(self, reason: CloseReason) -> None:
        """Take nothing more from it; once all that was taken has its answer, it ends.

        Guards the requests that came whole before bad bytes or half a frame: those are owed their answers.
        """
        self._log("nothing more taken from connection", reason)
        self.leaving = self.finished = True
        self.due = inf
        if self.idle:
            self.end(reason)

    def end(self, reason: CloseReason) -> None:
        """Nothing is open on it: shut it, and read on until the router closes its side or its time is up.

        What crosses the shutdown is discarded: whoever sent it sees the end of the stream, no answer and no
        reset that would take along what it has not read yet, and asks again elsewhere.
        """
        if not self._reading:
            return self.close(reason)
        if self.shut_at is None:
            self._log("connection shut", reason)
            self.leaving = self.finished = True
            self.shut_at = self._server.scheduler.clock.now
            self.stream.shut()
            if not self.stream.open:
                self.close(CloseReason.BROKEN)

    def close(self, reason: CloseReason) -> None:
        """Nothing comes or goes any more: who still waited on it is gone."""
        self._log("connection closed", reason)
        self.stream.close()
        self._server.connections.pop(self, None)
        for exchange in list(self.open.values()):
            self._withdraw(exchange)

    def _take(self, words: list[bytes]) -> None:
        try:
            match resp.message(words):
                case resp.Asked() as asked:
                    self._ask(asked)
                case resp.Withdrawn(tag):
                    self._server.count("cancels_in")
                    if tag in self.open:
                        self._withdraw(self.open[tag])
                case resp.Checked(tag):
                    self._server.count("checks_in")
                    good = self._server.standing.good and self._server.standing.able
                    self._queue(lambda said: resp.checked(tag, said, good))
        except resp.FaultyError as trouble:
            self._server.count("frames_faulty")
            log.warning("faulty frame", extra={"pairs": {"tag": trouble.tag, "reason": trouble}})
            if not trouble.tag or trouble.tag in self.open:  # no answer could tell which of two is meant
                if trouble.tag:
                    self._withdraw(self.open[trouble.tag])
                raise resp.GarbledError(str(trouble)) from None
            tag = trouble.tag
            self._queue(lambda said: resp.failed(tag, said))

    def _ask(self, asked: resp.Asked) -> None:
        server, tag = self._server, asked.tag
        server.count("tickets_in")
        if tag in self.open:
            raise resp.FaultyError("a tag that is still open", tag)
        if len(self.open) >= OPEN_MOST:
            raise resp.FaultyError("more open than allowed", tag)
        request = server.request(asked)
        exchange = Exchange(
            asked.name,
            asked.request_class,
            asked.body,
            tag,
            asked.idempotency_key,
            request,
            self,
            server.observer,
        )
        if asked.until is not None:
            exchange.until = request.arrived_at + (asked.until - asked.since)
        self.open[tag] = exchange
        try:
            server.handler.arrived(exchange)
        except Exception:
            # A fault of ours costs the one request that met it, loudly; the others here go on.
            log.exception("request failed by a fault", extra={"pairs": {"tag": tag}})
            server.count("faults")
            exchange.fail()

    def _withdraw(self, exchange: Exchange) -> None:
        self.open.pop(exchange.tag, None)
        if exchange.discard():
            self._server.count("tickets_gone")
            self._server.handler.gone(exchange)

    # -- what goes

    def completed(self, exchange: Exchange, result: bytes) -> None:
        tag = exchange.tag
        self._final(exchange, "completed", lambda said: resp.completed(tag, said, result))

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        tag = exchange.tag
        self._final(
            exchange, "denied", lambda said: resp.rejected(tag, said, retry_after_s, no_retry_elsewhere)
        )

    def failed(self, exchange: Exchange) -> None:
        tag = exchange.tag
        self._final(exchange, "terminated", lambda said: resp.failed(tag, said))

    def farewell(self, reason: CloseReason) -> None:
        if not self.leaving:
            self._log("connection asked to go", reason)
            self.leaving = True
            self._queue(lambda _: resp.farewell())

    def flush(self) -> None:
        """Write what was queued, each answer with what is said by now."""
        said = self._server.standing.said
        for answer in self._answers:
            self.stream.write(answer(said))
        self._answers.clear()
        self.used = self._server.scheduler.clock.now
        self.stream.flush()
        if not self.stream.open:
            self.close(CloseReason.BROKEN)
        elif self.finished and self.idle:
            self.end(CloseReason.ANSWERED)

    def _log(self, event: str, reason: CloseReason) -> None:
        log_reason(log, event, reason, open_requests=len(self.open), unsent=not self.stream.all_sent)

    def _final(self, exchange: Exchange, kind: str, answer: Callable[[float | None], bytes]) -> None:
        self.open.pop(exchange.tag, None)
        self._server.count(f"tickets_{kind}")
        self._queue(answer)

    def _queue(self, answer: Callable[[float | None], bytes]) -> None:
        self._answers.append(answer)
        self._server.dirty[self] = None


class Server:
    """All routers' connections."""

    def __init__(
        self,
        scheduler: Scheduler,
        request_classes: dict[bytes, RequestClass],
        tenants: dict[bytes, Tenant],
        standing: Standing,
        handler: RequestHandler,
        count: Callable[[str], None],
        connections_most: int,
        observer: RequestObserver = NO_OBSERVER,
        routers: int = 1,
    ) -> None:
        """`routers`: how many the settings tell of."""
        self.observer = observer
        self._connections_most = connections_most
        self.expect(routers)
        self.scheduler, self.standing, self.handler, self.count = scheduler, standing, handler, count
        self.connections: dict[Connection, None] = {}
        self.dirty: dict[Connection, None] = {}
        self._request_classes, self._tenants = request_classes, tenants
        self._routers: dict[bytes, Client] = {}
        self._unused_most: float | None = None
        scheduler.every(SWEEP, self._sweep)

    def expect(self, routers: int) -> None:
        """Remember so many routers and more: each that the settings tell of, each that may be connected.

        One that is forgotten and comes again is a stranger to the controller. Entries are made as they come.
        """
        self._routers_most = max(ROUTERS_LEAST, ROUTERS_TIMES * routers, self._connections_most)

    def allow(self, connections_most: int) -> None:
        """So many connections from now on; what is unused beyond them goes as in any crowd."""
        self._connections_most = connections_most

    def accepted(self, stream: Stream) -> None:
        self.count("connections_in")
        connection = Connection(self, stream)
        self.connections[connection] = None
        self.scheduler.spawn(connection.serve)

    def request(self, asked: resp.Asked) -> Request:
        """The request of a try; names become objects here."""
        request_class = self._request_classes.get(asked.request_class)
        tenant = self._tenants.get(asked.tenant)
        if request_class is None:
            raise resp.FaultyError(f"no such track: {asked.request_class[:40]!r}", asked.tag)
        if tenant is None and self._tenants:
            raise resp.FaultyError(f"no such customer: {asked.tenant[:40]!r}", asked.tag)
        if request_class.idempotency is Idempotency.KEYED and not asked.idempotency_key:
            raise resp.FaultyError("no label on a track that needs one", asked.tag)
        arrived = self.scheduler.clock.from_unix(asked.since)
        now = self.scheduler.clock.now
        if not now - AGE_MOST < arrived < now + AHEAD_MOST:
            raise resp.FaultyError(f"a figure out of range: since={asked.since:.3f}", asked.tag)
        arrived = min(arrived, now)  # whole milliseconds of another's reading may lie ahead of ours
        router = self._routers.pop(asked.router, None) or Client(name=asked.router)
        self._routers[asked.router] = router
        while len(self._routers) > self._routers_most:  # a new configuration may tell of fewer
            del self._routers[next(iter(self._routers))]
        return Request(
            request_class,
            router,
            tenant,
            arrived,
            asked.kb,
            cost_hint=asked.estimate,
            is_retry=asked.again,
            subject=asked.subject,
        )

    def flush(self) -> None:
        """At the end of a round: everything queued goes out, connection by connection."""
        while self.dirty:
            dirty, self.dirty = self.dirty, {}
            for connection in dirty:
                try:
                    connection.flush()
                except Exception:
                    # Its own answers may be lost by a fault of ours; those of all others go out.
                    log.exception("connection closed by a fault")
                    self.count("faults")
                    connection.close(CloseReason.FAULT)

    def close_unused(self, after: float) -> None:
        """Say farewell on connections that carry nothing for so long."""
        self._unused_most = after

    def room(self) -> bool:
        return len(self.connections) < self._connections_most

    def make_room(self) -> None:
        """The table is full: who never asked anything goes at once, then who is unused for longest.

        No farewell first: a router in need would wait until those are gone that do not listen to it. Guards
        against crowds that connect and say nothing or ask once and stay, and against any leak of connections
        on the other side; a router whose next request crosses the end has to send it again. Those that are
        about to go count as room that is made, so that no more go than are in the way.
        """
        before = self.scheduler.clock.now - ROOM_LEAST
        most = max(self._connections_most // ROOM_PARTS, 1)
        for connection in list(self.connections):
            if connection.shut_at is not None:
                most -= 1
                if connection.shut_at <= before:
                    connection.close(CloseReason.LINGERED)
        idle = [one for one in self.connections if one.idle and one.used <= before and one.shut_at is None]
        idle.sort(key=lambda one: (one.heard, one.used))
        # Only those to go are looked into for unread bytes: a peek is a system call, and the table is full.
        going = (one for one in idle if not one.stream.unread)
        for connection in islice(going, max(most, 0)):
            self.count("connections_crowded_out")
            if connection.heard:
                connection.end(CloseReason.CROWDED_OUT)
            else:  # nothing was ever answered that a reset could take along
                connection.close(CloseReason.CROWDED_OUT)

    def _thin(self) -> None:
        """Ask connections to go that are unused, the longest first, until they are no crowd any more."""
        staying = [one for one in self.connections if not one.leaving]
        over = len(staying) - self._connections_most // CROWD_SHARE
        if over > 0:
            before = self.scheduler.clock.now - UNUSED_LEAST
            unused = [one for one in staying if one.used <= before and not one.open]
            for connection in sorted(unused, key=lambda one: one.used)[:over]:
                connection.farewell(CloseReason.TOO_MANY_UNUSED)

    def farewell(self) -> None:
        """Nothing new is to come on any connection."""
        for connection in list(self.connections):
            connection.farewell(CloseReason.DRAINING)

    def finish(self) -> None:
        """The process is about to end: nothing more is taken, and each connection ends once it is answered.

        Guards answers that routers have not read yet against the reset that an end over unread bytes is.
        """
        for connection in list(self.connections):
            if not connection.stream.unread:  # else what has come is owed its answer first
                connection.finish(CloseReason.STOPPING)

    def _sweep(self) -> None:
        now = self.scheduler.clock.now
        longest = max(
            (request_class.timeout_s for request_class in self._request_classes.values()), default=0.0
        )
        for connection in list(self.connections):
            stream, stuck = connection.stream, connection.stream.stuck_since
            if connection.shut_at is not None:
                if now > connection.shut_at + LINGER:
                    connection.close(CloseReason.LINGERED)
            elif stuck is not None and now > stuck + longest + PARTING:
                # Whatever it was owed is past its time; it would keep its place in the table for good.
                self.count("connections_stuck")
                connection.close(CloseReason.STUCK)
            elif now > connection.due and stream.all_sent:
                if not stream.unread:  # else the rest has just come
                    self.count("connections_unfinished" if connection.heard else "connections_silent")
                    connection.finish(CloseReason.UNFINISHED)
            elif not connection.idle:
                continue
            elif connection.finished:
                connection.end(CloseReason.ANSWERED)
            elif connection.leaving:
                if now > connection.used + PARTING and not stream.unread:
                    connection.end(CloseReason.LEFT_OPEN)
            elif self._unused_most is not None and now > connection.used + self._unused_most:
                connection.farewell(CloseReason.UNUSED)
        self._thin()
