"""The program from start to exit: one object, its phases named states."""

from __future__ import annotations

import gc
import logging
import signal
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from ..overload.interface import Outcome
from ..protocol import naming
from ..serving.dispatcher import Dispatcher
from ..serving.exchange import Exchange, ServerStatus
from ..serving.idempotency_keys import IdempotencyTable
from ..serving.interpreter_client import InterpreterClient
from ..serving.listener import RequestHandler, RequestListener
from ..transport.datagram import DatagramSender
from ..transport.listening_socket import Listener
from ..transport.scheduler import Clock, Scheduler
from ..transport.stream import Address, Stream, connect
from .configuration import PlacementSettings
from .configuration_reload import ConfigurationReloader, merge
from .counters import Counters
from .feature import Feature, NoFeature

if TYPE_CHECKING:
    from .feature_file import Features

CONNECTION_LIMIT_INTERVAL_S = 1.0  # between checks of how many connections features leave to clients
REPORT_INTERVAL_S = 0.25  # a server silent for 3 s is off the list, and one report in a few may be lost
CONNECT_TIMEOUT_S = 1.0  # of one attempt to reach the interpreter
END_MARGIN_S = 0.03  # before the stop: clients that still have a connection open are left behind
ANSWER_MARGIN_S = 2 * END_MARGIN_S  # before the stop: all that is open is answered
MIN_FINAL_ROUNDS_S = 0.002  # after the last answers, however late these are
CLOSE_RETRY_S = 0.02  # until the listening socket is closed again, if connections were queued on it
RESULT_MEMORY_DIVISOR = 16  # cached results get one part in so many of the program's memory

log = logging.getLogger(__name__)


class Phase(Enum):
    """What the program is doing."""

    WAITING = "waiting"  # listening; the interpreter is not up yet
    SERVING = "serving"
    DRAINING = "draining"  # the shutdown notice was received; serves on within the grace
    CLOSING = "parting"  # listens no longer, the close of all connections is announced
    ENDED = "ended"


class RejectingHandler:
    """Rejects each request as it is read, once no new request may run."""

    def __init__(self, inner: RequestHandler, reject: Callable[[Exchange], None]) -> None:
        self._inner, self._reject = inner, reject

    def arrived(self, exchange: Exchange) -> None:
        """Reject a request."""
        self._reject(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        """Pass on that the client no longer waits."""
        self._inner.cancelled(exchange)


class Application:
    """All parts of the server, and how they start and end.

    Raises:
        OSError: The address can't be listened on, or a feature's folder can't be used.
    """

    def __init__(self, placement_settings: PlacementSettings, features: Features | None = None) -> None:
        self.phase = Phase.WAITING
        self._placement_settings = placement_settings
        self._counters = Counters()
        self._scheduler = Scheduler(Clock())
        self._scheduler.on_fault = lambda: self._counters.count("faults")
        self._server_status = ServerStatus()
        self._stop_at = 0.0
        self._listener_closed = False
        self._start_failed = False
        self._features = self._build_features(features)
        self._dispatcher = self._build_dispatcher()
        self._request_listener = self._build_request_listener()
        if features is not None and features.any:
            self._scheduler.every(CONNECTION_LIMIT_INTERVAL_S, self._limit_connections)
        self._name_service = DatagramSender(placement_settings.naming)
        # The last that may fail: a start that is repeated must not find its own socket listening.
        self._listener = Listener(
            self._scheduler,
            placement_settings.listen,
            self._request_listener.has_capacity,
            self._request_listener.accepted,
            self._request_listener.evict_unused,
        )
        self._interpreter = InterpreterClient(
            self._scheduler,
            self._connector(placement_settings.interpreter),
            self._dispatcher,
            self._counters.count,
            self._features.last_notice,
        )
        self._dispatcher.attach(self._request_listener, self._interpreter)
        self._reloader = ConfigurationReloader(self._scheduler, self._apply_configuration)

    def _build_features(self, features: Features | None) -> Feature:
        if features is None or not features.any:
            return NoFeature()
        from .feature_set import FeatureSet

        return FeatureSet(
            features,
            self._placement_settings,
            self._scheduler,
            lambda: self._dispatcher.batches,
            self._on_never_started,
            lambda: self._dispatcher.recovery_finished(),
            self._on_start_failed,
            self._counters.count,
            self._retune,
        )

    def _build_dispatcher(self) -> Dispatcher:
        placement_settings = self._placement_settings
        idempotency_keys = IdempotencyTable(
            self._longest_timeout_s(),
            placement_settings.server_settings.answer_slack_s,
            placement_settings.memory_bytes // RESULT_MEMORY_DIVISOR,
        )
        return Dispatcher(
            self._scheduler,
            placement_settings.server_settings,
            placement_settings.seed,
            placement_settings.gauge_indexes,
            self._server_status,
            idempotency_keys,
            self._on_interpreter_ready,
            self._features.result_store,
        )

    def _build_request_listener(self) -> RequestListener:
        placement_settings = self._placement_settings
        return RequestListener(
            self._scheduler,
            placement_settings.request_classes,
            placement_settings.tenants,
            self._server_status,
            self._features.handler(self._dispatcher),
            self._counters.count,
            self._max_client_connections(),
            self._features.observer,
            placement_settings.server_settings.clients,
        )

    def _longest_timeout_s(self) -> float:
        request_classes = self._placement_settings.server_settings.request_classes
        return max(request_class.timeout_s for request_class in request_classes)

    def prepare(self) -> None:
        """Take signals from here on; what they ask for is done in `run`."""
        scheduler = self._scheduler
        scheduler.on_signal(signal.SIGTERM, self._on_shutdown_notice)
        scheduler.on_signal(signal.SIGINT, self._on_shutdown_notice)
        scheduler.on_signal(signal.SIGHUP, self._reload)
        scheduler.on_signal(signal.SIGUSR1, lambda: self._print_counters("asked"))
        scheduler.after_round.append(self._dispatcher.end_round)
        scheduler.after_round.append(self._features.end_round)
        scheduler.after_round.append(self._end_if_settled)

    def run(self) -> int:
        """Serve until the shutdown notice, then shut down. Returns the process's exit code."""
        self._report()
        gc.collect()
        gc.freeze()
        pairs = {"name": self._placement_settings.name, "phase": self.phase.value}
        log.info("listening", extra={"pairs": pairs})
        self._scheduler.run()
        remaining_s = self._stop_at - self._scheduler.clock.read() - END_MARGIN_S / 2
        self._features.close(max(remaining_s, END_MARGIN_S / 2))
        self._request_listener.flush()
        self._print_counters("exit")
        return 1 if self._start_failed else 0

    # -- the phases

    def _enter(self, phase: Phase) -> None:
        log.info("phase", extra={"pairs": {"was": self.phase.value, "now": phase.value}})
        self.phase = phase

    def _on_interpreter_ready(self) -> None:
        if self.phase is Phase.WAITING:
            self._enter(Phase.SERVING)
        elif self.phase is Phase.CLOSING:  # the notice came first, and the controller has not had it
            self._server_status.healthy = False
            self._dispatcher.shutdown_notice(max(self._stop_at - self._scheduler.clock.now, 0.0))

    def _on_shutdown_notice(self) -> None:
        """Begin to shut down; a second notice changes nothing."""
        if self.phase not in (Phase.WAITING, Phase.SERVING):
            return
        stop_after_s = self._placement_settings.stop_after_s
        self._stop_at = self._scheduler.clock.now + stop_after_s
        # First of all, so that no internal error on the way leaves a server that never ends.
        self._scheduler.after(max(stop_after_s - ANSWER_MARGIN_S, 0.0), self._answer_all)
        if self.phase is Phase.WAITING:
            # Nothing ran and nothing will: requests that wait for the start, or are unread, are rejected.
            self._features.leaving()
            self._reject_requests()
            return self._start_closing()
        # Past the grace no new request may run, and a closed socket is the earliest sign of that for clients.
        grace_s = min(self._placement_settings.server_settings.drain_grace_s, stop_after_s - 2 * END_MARGIN_S)
        self._scheduler.after(max(grace_s, 0.0), self._start_closing)
        self._enter(Phase.DRAINING)
        self._dispatcher.shutdown_notice(stop_after_s)
        self._send_report()
        self._features.leaving()
        return None

    def _start_closing(self) -> None:
        self._enter(Phase.CLOSING)
        self._close_listener()
        self._features.closing()

    def _close_listener(self) -> None:
        """Close the listening socket, once all connections that are queued on it were accepted."""
        self._listener_closed = self._listener.close_if_queue_empty()
        self._scheduler.spawn(self._request_listener.announce_close)  # also to those just accepted
        if not self._listener_closed:
            self._scheduler.after(CLOSE_RETRY_S, self._close_listener)

    def _reject_requests(self) -> None:
        """Reject all requests that are read from now on, and those that wait for the start."""
        if not isinstance(self._request_listener.handler, RejectingHandler):
            self._request_listener.handler = RejectingHandler(
                self._request_listener.handler, self._dispatcher.reject_draining
            )
        self._dispatcher.reject_waiting_for_start()

    def _answer_all(self) -> None:
        """Answer all requests while there is still time for clients to read the answers.

        The controller has answered all by then, unless there is hardly a slack or a batch interval, the
        notice is too short for both, or what is stored is not known yet.
        """
        # A pause may end past the stop: what was accepted only now is read in a later round, and answered.
        remaining_s = max(self._stop_at - self._scheduler.clock.now - END_MARGIN_S, MIN_FINAL_ROUNDS_S)
        self._scheduler.after(remaining_s, self._end)
        self._scheduler.after(remaining_s / 2, self._request_listener.stop_reading)
        self._reject_requests()
        self._dispatcher.finish_all()

    def _end_if_settled(self) -> None:
        if self.phase is not Phase.CLOSING or not self._listener_closed:
            return
        if self._request_listener.connections or self._dispatcher.open_count:
            return
        if self._features.settled():
            self._end()

    def _end(self) -> None:
        if self.phase is not Phase.ENDED:
            self._enter(Phase.ENDED)
            self._scheduler.stop()

    # -- a new configuration

    def _reload(self) -> None:
        self._features.reload()
        self._reloader.reload()

    def _apply_configuration(self, loaded: PlacementSettings) -> None:
        """Apply what of a new configuration needs no restart, in any phase."""
        before = self._placement_settings
        reloaded = merge(before, loaded)
        pairs = {"taken": ",".join(reloaded.applied), "need_restart": ",".join(reloaded.need_restart)}
        log.info("configuration read anew", extra={"pairs": pairs})
        self._placement_settings = reloaded.placement_settings
        if reloaded.settings_changed:
            self._retune()
        if loaded.naming != before.naming:
            self._name_service.set_address(loaded.naming)
            self._send_report()
        if loaded.interpreter != before.interpreter:
            self._interpreter.connect_to(self._connector(loaded.interpreter))
        self._counters.count("configurations_taken")

    def _retune(self) -> None:
        """Apply the settings, as features change them now, to requests from now on."""
        placement_settings = self._placement_settings
        server_settings = self._features.server_settings(placement_settings.server_settings)
        self._dispatcher.retune(server_settings, placement_settings.gauge_indexes)
        self._request_listener.expect_clients(server_settings.clients)
        # The listener resolves names by these dictionaries; their order is that of the settings.
        placement_settings.request_classes.update(
            zip(list(placement_settings.request_classes), server_settings.request_classes, strict=True)
        )
        placement_settings.tenants.update(
            zip(list(placement_settings.tenants), server_settings.tenants, strict=True)
        )

    # -- what other parts ask for

    def _connector(self, address: Address) -> Callable[[], Stream | None]:
        """Return a function that connects to the interpreter, once features let the server be up."""

        def connect_to_interpreter() -> Stream | None:
            if self._scheduler.clock.now < self._features.up_at:
                return None
            return connect(self._scheduler, address, CONNECT_TIMEOUT_S)

        return connect_to_interpreter

    def _on_start_failed(self, reason: str) -> None:
        """A feature can't start, and must not be left out."""
        log.error("not started", extra={"pairs": {"reason": reason}})
        self._start_failed = True
        self._listener.close()
        self._reject_requests()
        self._end()

    def _on_never_started(self, exchange: Exchange) -> None:
        """A feature held a run back, and nobody waits for it any more."""
        self._dispatcher.run_ended(exchange, Outcome.NEVER_STARTED, 0.0, b"")

    def _limit_connections(self) -> None:
        self._request_listener.set_max_connections(self._max_client_connections())

    def _max_client_connections(self) -> int:
        """Return how many connections clients may have beside what features need by now."""
        max_connections = self._placement_settings.max_connections
        return max(max_connections - self._features.descriptors, max_connections // 2)

    # -- reports and counters

    def _report(self) -> None:
        """Report to the name service, and again within the time after which it drops a silent server.

        The state itself changes nothing there: a server stays listed as long as it reports. So one that
        leaves reports that at once and once more, and is silent from then on.
        """
        if self.phase in (Phase.WAITING, Phase.SERVING):  # first, so that no internal error ends the reports
            self._scheduler.after(REPORT_INTERVAL_S, self._report)
        self._send_report()

    def _send_report(self) -> None:
        """Report whether this server serves.

        It still does without its interpreter, for as long as any request may wait for that. Past that it
        would fail every request, so it reports that it does not serve, to health checks as well. The price:
        it gets no request for as long as a report takes after the interpreter returned.
        """
        available = self._interpreter.disconnected_for_s <= self._longest_timeout_s()
        self._server_status.interpreter_available = available
        report = naming.encode_report(
            self._placement_settings.name, self.phase is Phase.SERVING and available
        )
        self._counters.count("reports_sent" if self._name_service.send(report) else "reports_failed")

    def _print_counters(self, occasion: str) -> None:
        self._counters.print(
            occasion,
            phase=self.phase.value,
            open_requests=self._dispatcher.open_count,
            open_connections=len(self._request_listener.connections),
            said=self._server_status.advertised,
            **self._dispatcher.outcomes.rejections,
            **self._dispatcher.outcomes.failures,
            **self._features.gauges(),
        )
