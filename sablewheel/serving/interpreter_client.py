"""The link to the interpreter: starts and cancels runs, receives their results and the gauges.

The link may break and be opened again. The interpreter numbers its notices and repeats those that were lost
with a broken link. A gauge query serves as a fence: its answer proves that the commands before it were read.
The first fence of a link is written after the greeting; its answer shows that all repeated notices were
received, and the link is ready.

Commands given while no link is ready are queued. A command that was written to a link that broke may or may
not have been carried out. It is written again only if a second run does no harm; for other runs the handler
is notified that the start is unconfirmed. When the interpreter moves to another address, the old link is used
until the new one is connected. It is then closed after a last fence was answered, so that no command is in
transit on it when the new link is used.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

from ..overload.interface import Outcome
from ..protocol import interpreter
from ..transport.scheduler import Scheduler
from ..transport.stream import Stream
from .exchange import Exchange
from .fences import Fences
from .open_run import OpenRun, RunQuery, log_unknown_result, may_run_twice

INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.5  # between connection attempts
GAUGES_INTERVAL_S, GAUGES_LIFETIME_S = 0.2, 0.5
# Both limits count unanswered queries, not seconds, so that a pause of the whole machine counts as one query.
MAX_UNANSWERED_QUERIES = 15  # with more, the link counts as broken
MAX_UNANSWERED_FOR_START = 3  # then no command is written that must not be repeated
HAND_OVER_TIMEOUT_S = 0.3  # for the last fence on the old link, which then counts as broken
HAND_OVER_CHECK_INTERVAL_S = 0.005
ADOPTED_FENCE = -1  # fence of a run whose command was written by an earlier process

# The names of the counters are used by alerts and dashboards.
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


class RunHandler(Protocol):
    """Receives the interpreter's reports."""

    def interpreter_ready(self, cold: bool, uptime_s: float) -> None:
        """Called at each greeting; the interpreter started `uptime_s` ago, and had to boot then if `cold`."""

    def run_ended(self, exchange: Exchange, outcome: Outcome, run_time_s: float, result: bytes) -> None:
        """Called when a run has ended."""

    def call_needed(self, exchange: Exchange) -> None:
        """Called when a run waits for a dependency call."""

    def start_unconfirmed(self, exchange: Exchange) -> None:
        """Called when a run may or may not have started, and its command is not written again."""


class InterpreterClient:
    """The client of the interpreter, with one link at a time.

    Args:
        connect: Opens a connection; returns None if that failed.
        last_notice: The number of the last notice that an earlier process read; 0 if there is none.

    Attributes:
        discards_cancelled_runs: Whether the interpreter discards the work of a cancelled run.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        connect: Callable[[], Stream | None],
        handler: RunHandler,
        count: Callable[[str], None],
        last_notice: int = 0,
    ) -> None:
        self.discards_cancelled_runs = False
        self._scheduler, self._handler, self._count = scheduler, handler, count
        self._runs: dict[bytes, OpenRun] = {}
        self._stream: Stream | None = None
        self._ready = False  # whether the first fence of the link was answered
        self._last_notice = last_notice
        self._unreadable_notice = 0  # number of the last invalid notice that was the next one to read
        self._disconnected_since: float | None = scheduler.clock.now  # None while a link is ready
        self._commands = bytearray()  # to be written at the end of this round
        self._query_gauges = False  # whether the gauges are queried at the end of this round
        self._fences = Fences()
        self._gauges: tuple[float | None, ...] = ()
        self._gauges_received_at = 0.0
        self._greeted = False  # whether a greeting was received on any link so far
        self._answers_run_queries = False  # whether one was answered by "nothing", as the protocol specifies
        # Since the last data received on this link; link checks before its greeting count as well.
        self._unanswered_queries = 0
        self._address_count = 0  # number of addresses set so far
        self.connect_to(connect)
        scheduler.every(GAUGES_INTERVAL_S, self._check_link)

    def connect_to(self, connect: Callable[[], Stream | None]) -> None:
        """Open links by `connect` from now on; the present link is used until a new one is connected."""
        self._address_count += 1
        self._scheduler.spawn(self._keep_connected, connect, self._address_count)

    def gauges(self) -> tuple[float | None, ...]:
        """Return the gauges last received; empty if they are too old."""
        fresh = self._scheduler.clock.now <= self._gauges_received_at + GAUGES_LIFETIME_S
        return self._gauges if fresh else ()

    @property
    def disconnected_for_s(self) -> float:
        """For how long no link has been ready; no run requested in this time has started."""
        return (
            0.0 if self._disconnected_since is None else self._scheduler.clock.now - self._disconnected_since
        )

    def run(self, exchange: Exchange) -> None:
        """Start a run. The request's id must not be that of another open run."""
        run = self._runs[exchange.name] = OpenRun(exchange)
        self._count("runs_sent")
        link_responds = self._unanswered_queries < MAX_UNANSWERED_FOR_START
        if self._ready and (may_run_twice(exchange) or link_responds):
            self._write_start(run)

    def adopt(self, exchanges: list[Exchange], last_notice: int | None) -> None:
        """Wait for the ends of runs that an earlier process started.

        Args:
            exchanges: The requests of the runs, which are not started again.
            last_notice: The number of the last notice that the earlier process read; None: unchanged.
        """
        self._last_notice = self._last_notice if last_notice is None else last_notice
        for exchange in exchanges:
            run = self._runs[exchange.name] = OpenRun(exchange)
            run.fence = ADOPTED_FENCE

    def presume_lost(self, exchange: Exchange) -> None:
        """Stop waiting for the end of a run; if it is reported later, it counts as that of an unknown run."""
        if exchange.name in self._runs:
            self._end_run(exchange.name, Outcome.LOST)

    def query_run(self, exchange: Exchange) -> None:
        """Query whether a run with an unconfirmed start is still running, now or once a link is ready.

        The query is the start command, written again. The interpreter ignores it while the run continues. For
        an answered request it starts nothing and reports that, so only answered requests are queried. A query
        that is lost in a break is written again only once the interpreter has answered a query of any run
        like that: an interpreter that starts the run instead would start it twice.
        """
        run = self._runs.get(exchange.name)
        if run is not None and run.unconfirmed and exchange.closed:
            run.query = RunQuery.WANTED
            if self._ready:
                self._write_query(run)

    def cancel(self, exchange: Exchange) -> None:
        """Cancel a run, now or once a link is ready."""
        run = self._runs.get(exchange.name)
        if run is not None and not run.cancelled:
            run.cancelled = True
            self._count("stops_sent")
            if self._ready:
                self._commands += interpreter.encode_cancel_run(exchange.name)

    def flush(self) -> None:
        """Write the commands of this round, followed by a fence."""
        if self._stream is not None and (self._commands or self._query_gauges):
            fence = self._fences.write(self._scheduler.clock.now)
            self._stream.write(bytes(self._commands) + interpreter.encode_gauge_query(b"%d" % fence))
            self._stream.flush()
        self._query_gauges = False
        self._commands.clear()

    # -- the link

    def _keep_connected(self, connect: Callable[[], Stream | None], address_number: int) -> None:
        """Open and serve links to one address until the interpreter moves to another one."""
        backoff_s = INITIAL_BACKOFF_S
        while address_number == self._address_count:
            stream = self._try_connect(connect)
            if stream is None:
                self._scheduler.sleep(backoff_s)
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            if address_number == self._address_count:
                self._close_old_link()
                # Even if it moved again meanwhile: this link is used until the next is connected, unless
                # that one is connected already.
                if self._stream is None:
                    self._serve(stream)
                    self._scheduler.sleep(INITIAL_BACKOFF_S)
            stream.close()
            backoff_s = INITIAL_BACKOFF_S

    def _try_connect(self, connect: Callable[[], Stream | None]) -> Stream | None:
        try:
            return connect()
        except Exception:  # must not end the greenlet: no link would be opened after that
            self._count("faults")
            log.exception("no link for a fault")
            return None

    def _close_old_link(self) -> None:
        """Withhold commands until all on the old link were provably read, then close it."""
        old = self._stream
        if old is None:
            return
        if self._ready:
            self._ready, self._query_gauges = False, True
            fence, until = self._fences.next, self._scheduler.clock.now + HAND_OVER_TIMEOUT_S
            while self._stream is old and self._fences.proven < fence and self._scheduler.clock.now < until:
                self._scheduler.sleep(HAND_OVER_CHECK_INTERVAL_S)
            if self._stream is old and self._fences.proven >= fence:
                self._fences.safe = fence  # the link is closed on purpose, and did not break
        if self._stream is old:
            self._lose_link(old, "the interpreter moved")

    def _serve(self, stream: Stream) -> None:
        """Receive notices until the link ends for any reason."""
        self._count("links")
        try:
            self._receive(stream)
            reason = "the interpreter closed it"
        except interpreter.ProtocolError as error:
            self._count("notices_garbled")
            self._skip_unreadable(error)
            reason = str(error)  # the error itself would keep the link's buffers, through its traceback
        except Exception as error:  # an internal error must not end the reconnection loop
            self._count("faults")
            log.exception("link broken by a fault")
            reason = str(error)
        if self._stream is stream:
            self._lose_link(stream, reason)

    def _lose_link(self, stream: Stream, reason: str) -> None:
        """Close the link. Commands that were not written yet are written to the next one."""
        unproven = sum(run.fence > self._fences.proven for run in self._runs.values())
        pairs = {"reason": reason, "open_runs": len(self._runs), "unproven": unproven}
        log.warning("link to the interpreter lost", extra={"pairs": pairs})
        self._stream, self._ready = None, False
        if self._disconnected_since is None:
            self._disconnected_since = self._scheduler.clock.now
        self._commands.clear()
        self._fences.lose_link()
        for run in self._runs.values():
            if run.fence > self._fences.last or run.command_end > stream.bytes_sent:
                run.fence = 0  # its command was not completely handed to the system, so it was not read
            run.command_end = 0
        stream.close()

    def _receive(self, stream: Stream) -> None:
        """Read one link from its first message to its end."""
        parser = interpreter.Parser()
        safe_before = self._fences.safe  # on the links before this one
        opening_fence = 0  # 0 before the greeting, as no command is carried out until then
        self._stream, self._unanswered_queries = stream, 0
        stream.write(interpreter.encode_connect(self._last_notice))
        stream.flush()
        while data := stream.read():
            was_silent, self._unanswered_queries = self._unanswered_queries >= MAX_UNANSWERED_FOR_START, 0
            if was_silent and self._ready:
                self._start_waiting()
            # repeated without new data, until no notice is left or the parser raises
            while notices := parser.feed(data):
                data = b""
                for notice in notices:
                    if isinstance(notice, interpreter.Greeting):
                        self._greeted = True
                        self._handler.interpreter_ready(notice.cold, notice.uptime_s)
                        opening_fence, self._query_gauges = self._fences.next, True
                    else:
                        self._handle_notice(notice, opening_fence, safe_before)

    def _handle_notice(self, notice: interpreter.Notice, opening_fence: int, safe_before: int) -> None:
        match notice:
            case interpreter.RunFinished():
                if notice.number > self._last_notice:
                    self._last_notice = notice.number
                    self._handle_run_finished(notice)
            case interpreter.CallNeeded():
                if notice.number > self._last_notice:
                    self._last_notice = notice.number
                    self._handle_call_needed(notice)
            case interpreter.IgnoredNotice():
                self._last_notice = max(self._last_notice, notice.number)
            case interpreter.CommandRejected():
                self._handle_rejection(notice)
                if notice.command is interpreter.Command.GAUGES:  # no gauges, but still the answer to a fence
                    self._pass_fence(notice.name, opening_fence, safe_before)
            case interpreter.Gauges():
                self._gauges, self._gauges_received_at = notice.values, self._scheduler.clock.now
                self._pass_fence(notice.tag, opening_fence, safe_before)

    def _skip_unreadable(self, error: interpreter.ProtocolError) -> None:
        """Skip the next notice if it could not be parsed twice in a row.

        A notice that can't be parsed breaks the link and is repeated on the next link. If the interpreter
        sends a notice that this version does not support, or repeats an invalid one, no run would ever end.
        The first failure may be a transmission error, so the notice is read again. There is no other notice
        of the run that it belongs to, so that run is lost, if its id can be parsed.
        """
        number = error.number
        if number and number == self._last_notice + 1:
            if number == self._unreadable_notice:
                self._last_notice = number
                self._count("notices_passed_over")
                if error.name in self._runs:
                    self._end_run(error.name, Outcome.LOST)
            self._unreadable_notice = number

    def _pass_fence(self, tag: bytes, opening_fence: int, safe_before: int) -> None:
        """Record an answered fence; the first one of a link makes the link ready."""
        fence = self._fences.answer(tag, self._scheduler.clock.now)
        if fence is not None and not self._ready and fence == opening_fence:
            self._link_ready(safe_before)

    def _link_ready(self, safe_before: int) -> None:
        """Write the queued commands, and repeat those that may not have been read and are safe to repeat."""
        disconnected_for_s = self.disconnected_for_s
        self._ready, self._disconnected_since = True, None
        # A run that ends while its command is written again is started a second time, which no earlier query
        # can rule out. So a run that must not be repeated is left to end, whether or not that is reported.
        unproven = [run for run in self._runs.values() if run.fence > safe_before]
        resent = [run for run in unproven if may_run_twice(run.exchange)]
        unconfirmed = [run for run in unproven if not may_run_twice(run.exchange) and not run.unconfirmed]
        started = self._start_waiting()
        for run in resent:
            self._resend(run)
        for run in unconfirmed:
            self._report_unconfirmed(run)
        for run in self._runs.values():
            if run.cancelled:
                self._commands += interpreter.encode_cancel_run(run.exchange.name)
            if run.query is RunQuery.WANTED or (run.query is RunQuery.WRITTEN and self._answers_run_queries):
                self._write_query(run)
        pairs = {
            "away": round(disconnected_for_s, 3),
            "open_runs": len(self._runs),
            "sent_first": started,
            "sent_again": len(resent),
            "unconfirmed": len(unconfirmed),
        }
        log.info("link to the interpreter ready", extra={"pairs": pairs})

    def _start_waiting(self) -> int:
        """Write the start commands that were never written, and end the runs that no caller waits for.

        Returns:
            The number of commands written.
        """
        waiting = [run for run in self._runs.values() if not run.fence]
        awaited = [run for run in waiting if not run.exchange.closed or run.exchange.attached_duplicates]
        for run in awaited:
            self._write_start(run)
        for run in waiting:
            if run not in awaited:
                self._end_run(run.exchange.name, Outcome.NEVER_STARTED)
        return len(awaited)

    def _resend(self, run: OpenRun) -> None:
        run.resent = True
        self._count("runs_sent_again")
        run.log_unproven("command resent after reconnect", self._scheduler.clock.now)
        self._write_start(run)

    def _report_unconfirmed(self, run: OpenRun) -> None:
        run.unconfirmed = True
        self._count("runs_unconfirmed")
        run.log_unproven("start of a run unconfirmed", self._scheduler.clock.now)
        self._handler.start_unconfirmed(run.exchange)

    def _write_start(self, run: OpenRun) -> None:
        run.fence, run.sent_at = self._fences.next, self._scheduler.clock.now
        self._write_start_command(run.exchange)
        if self._stream is not None:
            run.command_end = self._stream.bytes_queued + len(self._commands)

    def _write_query(self, run: OpenRun) -> None:
        run.query = RunQuery.WRITTEN
        self._count("runs_queried")
        self._write_start_command(run.exchange)

    def _write_start_command(self, exchange: Exchange) -> None:
        self._commands += interpreter.encode_start_run(exchange.name, exchange.request_class, exchange.body)

    def _check_link(self) -> None:
        """Query the gauges, and close a link that is open but does not respond.

        This includes a link without a greeting or a first answer, once there was a greeting on any link;
        before that, the interpreter may not be running yet. Closing a link that only stalls does no harm, as
        it is opened again.
        """
        self._query_gauges = self._query_gauges or self._ready
        if self._greeted and self._stream is not None:
            self._unanswered_queries += 1
            if self._unanswered_queries > MAX_UNANSWERED_QUERIES:
                self._count("links_silent")
                self._stream.close()

    # -- notices

    def _handle_run_finished(self, notice: interpreter.RunFinished) -> None:
        run = self._runs.get(notice.name)
        if run is None:
            self._count("ends_unknown")
            log_unknown_result(notice)
            return
        if run.resent:
            run.log_result_of_resent(notice.number, self._scheduler.clock.now)
            if self.discards_cancelled_runs:  # it may have started a second time, and that run is not tracked
                self._commands += interpreter.encode_cancel_run(notice.name)
        run.exchange.notice_number = notice.number
        outcome = notice.outcome
        if run.query is RunQuery.WRITTEN and outcome is Outcome.NEVER_STARTED:
            self._answers_run_queries = True
            outcome = Outcome.LOST  # it is not running, which does not prove that it never ran
        self._end_run(notice.name, outcome, notice.run_time_s, notice.result)

    def _handle_call_needed(self, notice: interpreter.CallNeeded) -> None:
        self._count("calls_needed")
        if notice.name in self._runs:
            self._handler.call_needed(self._runs[notice.name].exchange)

    def _handle_rejection(self, notice: interpreter.CommandRejected) -> None:
        """End a run whose command was not carried out.

        It never started, unless its command was also written earlier: then its idempotency key must not be
        released, or a duplicate would run a second time.
        """
        self._count("commands_rejected")
        if notice.command is interpreter.Command.GAUGES:
            return
        pairs = {"command": notice.command.name.lower(), "name": notice.name.decode("ascii", "replace")}
        log.warning("interpreter rejected a command", extra={"pairs": pairs})
        if notice.command is interpreter.Command.START and notice.name in self._runs:
            run = self._runs[notice.name]
            if run.query is RunQuery.WRITTEN:
                self._end_run(notice.name, Outcome.LOST)
            else:
                self._end_run(notice.name, Outcome.ERROR if run.resent else Outcome.NEVER_STARTED)

    def _end_run(self, name: bytes, outcome: Outcome, run_time_s: float = 0.0, result: bytes = b"") -> None:
        exchange = self._runs.pop(name).exchange
        self._count(RUN_COUNTERS[outcome])
        self._handler.run_ended(exchange, outcome, run_time_s, result)
