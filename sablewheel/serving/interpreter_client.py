"""The link to the interpreter: runs, stops and gauges. Knows no router and no decision.

The link may break and come back. What ended meanwhile is told again by number. The fence, a question for
gauges asked once the greeting has come, has its answer when all of that is in. Commands given while there is
no link wait for it. A command that was written to a link that broke may have been carried out or not. It is
written again only where a second run does no harm; for any other the handler is told that its start is
unconfirmed. The interpreter may also move to another address: the old link serves until the new one
stands, and is then left behind a fence, so that no command is under way between the two.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Protocol

from ..overload.interface import Idempotency, Outcome
from ..protocol import interpreter
from ..transport.scheduler import Scheduler
from ..transport.stream import Stream
from .exchange import Exchange

FIRST_REST, LAST_REST = 0.02, 0.5  # between tries, doubling
GAUGES_EVERY, GAUGES_HOLD = 0.2, 0.5
SILENT_MOST = 15  # times asked without a word: 3 s, however long the whole machine stood still between two
LOST_MOST = 0.05  # commands that came so shortly before a break may be lost, whatever was answered since
ASKED_MOST = 4096  # questions kept request class of; beyond, the oldest are as if they were never answered
QUIET_MOST = 3  # times asked without a word, past which no command is written that may not be written again
HAND_OVER_MOST = 0.3  # for the fence on a link that is about to be left; past it, it counts as broken
HAND_OVER_LOOK = 0.005
ADOPTED = -1  # the fence of a run that was sent before this process began

# The counters keep the names that alerts and dashboards know.
RUN_COUNTERS = {
    Outcome.SUCCEEDED: "runs_worked",
    Outcome.ERROR: "runs_error",
    Outcome.REJECTED: "runs_full",
    Outcome.TIMED_OUT: "runs_timed_out",
    Outcome.UNREACHABLE: "runs_unreached",
    Outcome.CONNECTION_LOST: "runs_cut_off",
    Outcome.CANCELLED: "runs_stopped",
    Outcome.NEVER_STARTED: "runs_moot",
    Outcome.LOST: "runs_lost",
}

log = logging.getLogger(__name__)
# Many lines at a break, which must not use up the rate of the link's own.
run_log = logging.getLogger(f"{__name__}.runs")


class RequestHandler(Protocol):
    """Who is told what the interpreter said."""

    def greeted(self, cold: bool, age: float) -> None: ...
    def ended(self, exchange: Exchange, outcome: Outcome, took: float, result: bytes) -> None: ...
    def call_needed(self, exchange: Exchange) -> None: ...
    def start_unconfirmed(self, exchange: Exchange) -> None: ...


class Run:
    """A run without an end so far: under which fence its command was written, if it was."""

    __slots__ = ("again", "command_end", "exchange", "fence", "halted", "sent_at", "unconfirmed")

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange
        self.command_end = 0  # where its command ends among the bytes of this link, 0 if it is not there
        self.unconfirmed = False  # the handler was told so
        self.sent_at = 0.0  # when its command was last given
        self.fence = 0  # 0: not written; else the question behind it, whose answer proves that it was read
        self.halted = False
        self.again = False  # its command was written a second time: the first may have been carried out


def may_run_twice(exchange: Exchange) -> bool:
    """Whether a second run of this request would do no harm."""
    return exchange.request.request_class.idempotency is Idempotency.IDEMPOTENT


class InterpreterClient:
    """The one link; `gauges` are those last told, while they hold."""

    def __init__(
        self,
        scheduler: Scheduler,
        connect: Callable[[], Stream | None],
        handler: RequestHandler,
        count: Callable[[str], None],
        last: int = 0,
    ) -> None:
        self._scheduler, self._handler, self._count = scheduler, handler, count
        self._runs: dict[bytes, Run] = {}
        self._stream: Stream | None = None
        self._ready = False  # behind the fence
        self._last = last
        self._away_since: float | None = scheduler.clock.now  # since when there is no link that stands
        self._unreadable = 0  # the number of the last notice that broke a link, if it was the next
        self._fence = 0  # the last question for gauges that went out
        self._asking = False  # one goes out at the end of this round
        self._proven = 0  # the last that was answered: all commands before it were read
        self._safe = 0  # the last whose commands no break can take back
        # On this link: questions without an answer, when written; with one, not safe yet, when it was read.
        self._asked: deque[tuple[int, float]] = deque(maxlen=ASKED_MOST)
        self._answered: deque[tuple[int, float]] = deque(maxlen=ASKED_MOST)
        self._commands = bytearray()
        self._gauges: tuple[float | None, ...] = ()
        self._told = 0.0
        self._greeted = False  # on any link so far
        self._unheard = 0  # times asked, or waited for a greeting, since the last word on this link
        self._moves = 0
        self.can_stop = False  # whether the interpreter ends a run for good when told to stop it
        self.move(connect)
        scheduler.every(GAUGES_EVERY, self._ask_gauges)

    def move(self, connect: Callable[[], Stream | None]) -> None:
        """From now on links are made by `connect`; the one there is serves until the new one stands."""
        self._moves += 1
        self._scheduler.spawn(self._keep_linked, connect, self._moves)

    def gauges(self) -> tuple[float | None, ...]:
        return self._gauges if self._scheduler.clock.now <= self._told + GAUGES_HOLD else ()

    @property
    def away(self) -> float:
        """For how many seconds no link has stood: nothing that came since then has begun."""
        return 0.0 if self._away_since is None else self._scheduler.clock.now - self._away_since

    def run(self, exchange: Exchange) -> None:
        """The name is that of no other run: the handler takes no two requests of one name."""
        run = self._runs[exchange.name] = Run(exchange)
        self._count("runs_sent")
        if self._ready and (may_run_twice(exchange) or self._unheard < QUIET_MOST):
            self._apply(run)

    def adopt(self, exchanges: list[Exchange], last: int | None) -> None:
        """Runs that a predecessor of this server began: not applied again, but their ends are waited for.

        `last` is the number of the last notice that anybody here has read; None: as it is known.
        """
        self._last = self._last if last is None else last
        for exchange in exchanges:
            run = self._runs[exchange.name] = Run(exchange)
            run.fence = ADOPTED

    def give_up(self, exchange: Exchange) -> None:
        """The end of this run is waited for no longer; one that comes all the same is nobody's."""
        if exchange.name in self._runs:
            self._end(exchange.name, Outcome.LOST, 0.0, b"")

    def halt(self, exchange: Exchange) -> None:
        run = self._runs.get(exchange.name)
        if run is not None and not run.halted:
            run.halted = True
            self._count("stops_sent")
            if self._ready:
                self._commands += interpreter.halt(exchange.name)

    def flush(self) -> None:
        """At the end of a round: commands go out, a fence behind them."""
        if self._stream is not None and (self._commands or self._asking):
            self._fence += 1
            self._asked.append((self._fence, self._scheduler.clock.now))
            self._stream.write(bytes(self._commands) + interpreter.ask_gauges(b"%d" % self._fence))
            self._stream.flush()
        self._asking = False
        self._commands.clear()

    # -- the link

    def _keep_linked(self, connect: Callable[[], Stream | None], move: int) -> None:
        """Links to one address, until the interpreter moves; whatever this waits for then delays nobody."""
        rest = FIRST_REST
        while move == self._moves:
            try:
                stream = connect()
            except Exception:  # nor must one here: nobody would try again
                self._count("faults")
                log.exception("no link for a fault")
                stream = None
            if stream is None:
                self._scheduler.sleep(rest)
                rest = min(2 * rest, LAST_REST)
                continue
            if move == self._moves:
                self._leave_old()
                # Even if it moved again meanwhile: this link serves until the next stands, if none does yet.
                if self._stream is None:
                    self._serve(stream)
                    self._scheduler.sleep(FIRST_REST)
            stream.close()
            rest = FIRST_REST

    def _leave_old(self) -> None:
        """Hold commands back until the link there is has proven that it read all; then close it."""
        old = self._stream
        if old is None:
            return
        if self._ready:
            self._ready, self._asking = False, True
            fence, until = self._fence + 1, self._scheduler.clock.now + HAND_OVER_MOST
            while self._stream is old and self._proven < fence and self._scheduler.clock.now < until:
                self._scheduler.sleep(HAND_OVER_LOOK)
            if self._stream is old and self._proven >= fence:
                self._safe = fence  # it is left, and did not break
        if self._stream is old:
            self._lose(old, "the interpreter moved")

    def _serve(self, stream: Stream) -> None:
        self._count("links")
        try:
            self._follow(stream)
            reason: object = "the interpreter closed it"
        except interpreter.GarbledError as trouble:
            self._count("notices_garbled")
            self._pass_over(trouble)
            reason = trouble
        except Exception as trouble:  # a fault of ours must not leave the server without its interpreter
            self._count("faults")
            log.exception("link broken by a fault")
            reason = trouble
        if self._stream is stream:
            self._lose(stream, reason)

    def _lose(self, stream: Stream, reason: object) -> None:
        """No link from here on; commands that never went out wait for the next."""
        unproven = sum(run.fence > self._proven for run in self._runs.values())
        pairs = {"reason": reason, "open_runs": len(self._runs), "unproven": unproven}
        log.warning("link to the interpreter lost", extra={"pairs": pairs})
        self._stream, self._ready = None, False
        if self._away_since is None:
            self._away_since = self._scheduler.clock.now
        self._commands.clear()
        self._asked.clear()
        self._answered.clear()
        for run in self._runs.values():
            if run.fence > self._fence or run.command_end > stream.sent:
                run.fence = 0  # not all of its command was handed to the system, so nobody has read it
            run.command_end = 0
        stream.close()

    def _follow(self, stream: Stream) -> None:
        """One link from its first message to its end."""
        parser = interpreter.Parser()
        safe = self._safe  # by the links before this one
        opening = 0  # the fence of this link: not before the greeting, as no command is carried out till then
        self._stream, self._unheard = stream, 0
        stream.write(interpreter.connect(self._last))
        stream.flush()
        while data := stream.read():
            was_quiet, self._unheard = self._unheard >= QUIET_MOST, 0
            if was_quiet and self._ready:
                self._apply_waiting()
            while notices := parser.feed(data):  # asked once more for what is left: nothing, or no notice
                data = b""
                for notice in notices:
                    if isinstance(notice, interpreter.Greeting):
                        self._greeted = True
                        self._handler.greeted(notice.cold, notice.age)
                        opening, self._asking = self._fence + 1, True
                    else:
                        self._heed(notice, opening, safe)

    def _heed(self, notice: interpreter.Notice, opening: int, safe: int) -> None:
        match notice:
            case interpreter.RunOver():
                if notice.number > self._last:
                    self._last = notice.number
                    self._over(notice)
            case interpreter.CallNeeded(number, name):
                if number > self._last:
                    self._last = number
                    self._count("calls_needed")
                    if name in self._runs:
                        self._handler.call_needed(self._runs[name].exchange)
            case interpreter.Remark(number):
                self._last = max(self._last, number)
            case interpreter.Rejected(command, name):
                self._rejected(command, name)
                if command is interpreter.Command.GAUGES:  # none here, but a fence all the same
                    self._pass_fence(name, opening, safe)
            case interpreter.Gauges(tag, values):
                self._gauges, self._told = values, self._scheduler.clock.now
                self._pass_fence(tag, opening, safe)

    def _pass_over(self, trouble: interpreter.GarbledError) -> None:
        """The next notice can't be read; a second time in a row it is passed over, and costs nothing else.

        Guards against an interpreter that says more than this program knows, or the same thing wrongly each
        time: a link that breaks for it brings it again and breaks again, and no run of any class would ever
        end. Once may be an accident of the link, and is read anew. The run that it was about has no other
        notice, so it is given up, if its name can be read.
        """
        number = trouble.number
        if number and number == self._last + 1:
            if number == self._unreadable:
                self._last = number
                self._count("notices_passed_over")
                if trouble.name in self._runs:
                    self._end(trouble.name, Outcome.LOST, 0.0, b"")
            self._unreadable = number

    def _pass_fence(self, tag: bytes, opening: int, safe: int) -> None:
        """An answer proves that what was written before its question was read, but a break may still take the
        last of that back: until a question is answered that was written LOST_MOST later: the link was whole
        till then. From the reading of one to the writing of the other, since that holds in any stall.
        """
        fence = int(tag) if tag.isdigit() else 0
        written = -inf
        while self._asked and self._asked[0][0] <= fence:
            written = self._asked.popleft()[1]
        while self._answered and self._answered[0][1] + LOST_MOST <= written:
            self._safe = self._answered.popleft()[0]
        if written > -inf:
            self._proven = fence
            self._answered.append((fence, self._scheduler.clock.now))
            if not self._ready and fence == opening:
                self._catch_up(safe)

    def _catch_up(self, safe: int) -> None:
        """All that was missed is in: what has no end yet and was never written is applied, and what may not
        have been read is applied again if its class may run twice.
        """
        away = self.away
        self._ready, self._away_since = True, None
        # A run that ends while its command is on the way again is begun anew, and no question asked before
        # can rule that out. So what may not run twice is left to its end, told or not.
        unproven = [run for run in self._runs.values() if run.fence > safe]
        again = [run for run in unproven if may_run_twice(run.exchange)]
        unconfirmed = [run for run in unproven if not may_run_twice(run.exchange) and not run.unconfirmed]
        first = self._apply_waiting()
        for run in again:
            self._send_again(run)
        for run in unconfirmed:
            self._leave_unconfirmed(run)
        for run in self._runs.values():
            if run.halted:
                self._commands += interpreter.halt(run.exchange.name)
        pairs = {
            "away": round(away, 3),
            "open_runs": len(self._runs),
            "sent_first": first,
            "sent_again": len(again),
            "unconfirmed": len(unconfirmed),
        }
        log.info("link to the interpreter ready", extra={"pairs": pairs})

    def _apply_waiting(self) -> int:
        """Write the commands that were never written; how many. What nobody waits for is not begun."""
        waiting = [run for run in self._runs.values() if not run.fence]
        wanted = [run for run in waiting if not run.exchange.closed or run.exchange.joined]
        for run in wanted:
            self._apply(run)
        for run in waiting:
            if run not in wanted:
                self._end(run.exchange.name, Outcome.NEVER_STARTED, 0.0, b"")
        return len(wanted)

    def _send_again(self, run: Run) -> None:
        run.again = True
        self._count("runs_sent_again")
        pairs = {**self._told_of(run), "written_before": self._since_sent(run)}
        run_log.info("run sent again", extra={"pairs": pairs})
        self._apply(run)

    def _leave_unconfirmed(self, run: Run) -> None:
        run.unconfirmed = True
        self._count("runs_unconfirmed")
        pairs = {**self._told_of(run), "written_before": self._since_sent(run)}
        run_log.info("start of a run unconfirmed", extra={"pairs": pairs})
        self._handler.start_unconfirmed(run.exchange)

    def _told_of(self, run: Run) -> dict[str, object]:
        """What a log line tells of a run: its request and class."""
        exchange = run.exchange
        return {"request": exchange.name.decode("ascii", "replace"), "class": exchange.request_class.decode()}

    def _since_sent(self, run: Run) -> float:
        return round(self._scheduler.clock.now - run.sent_at, 3)

    def _apply(self, run: Run) -> None:
        run.fence, run.sent_at = self._fence + 1, self._scheduler.clock.now
        exchange = run.exchange
        self._commands += interpreter.apply(exchange.name, exchange.request_class, exchange.body)
        if self._stream is not None:
            run.command_end = self._stream.queued + len(self._commands)

    def _ask_gauges(self) -> None:
        """Also finds a link that is open but dead: it is made anew, which harms nothing if it only stalls.

        So is one on which no greeting or no first answer comes, once the interpreter has greeted at all;
        before, it may just not be up. Times are counted and not seconds: a pause of the machine is one time.
        """
        self._asking = self._asking or self._ready
        if self._greeted and self._stream is not None:
            self._unheard += 1
            if self._unheard > SILENT_MOST:
                self._count("links_silent")
                self._stream.close()

    # -- what it tells

    def _over(self, notice: interpreter.RunOver) -> None:
        run = self._runs.get(notice.name)
        if run is None:
            self._count("ends_unknown")
            self._log_unknown_end(notice)
            return
        if run.again:
            pairs = {**self._told_of(run), "notice": notice.number, "after": self._since_sent(run)}
            run_log.info("end of a run that was sent again", extra={"pairs": pairs})
            if self.can_stop:  # it may have been begun once more, and nobody counts that run
                self._commands += interpreter.halt(notice.name)
        run.exchange.notice = notice.number
        self._end(notice.name, notice.outcome, notice.took, notice.result)

    def _log_unknown_end(self, notice: interpreter.RunOver) -> None:
        pairs = {
            "request": notice.name.decode("ascii", "replace"),
            "notice": notice.number,
            "outcome": notice.outcome.name.lower(),
        }
        run_log.info("end of a run that is not open here", extra={"pairs": pairs})

    def _rejected(self, command: interpreter.Command, name: bytes) -> None:
        """The command was not carried out: so its run never started, unless one before it was.

        Guards against an idempotency key set free for a run that goes on: a repeat would run it a second
        time.
        """
        self._count("commands_rejected")
        if command is interpreter.Command.GAUGES:
            return
        pairs = {"command": command.name.lower(), "name": name.decode("ascii", "replace")}
        log.warning("interpreter rejected a command", extra={"pairs": pairs})
        if command is interpreter.Command.START and name in self._runs:
            self._end(name, Outcome.ERROR if self._runs[name].again else Outcome.NEVER_STARTED, 0.0, b"")

    def _end(self, name: bytes, outcome: Outcome, took: float, result: bytes) -> None:
        exchange = self._runs.pop(name).exchange
        self._count(RUN_COUNTERS[outcome])
        self._handler.ended(exchange, outcome, took, result)
