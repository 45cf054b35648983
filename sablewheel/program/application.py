"""The server program from start to exit, as one object with named phases."""

from __future__ import annotations

import gc
import logging
import signal
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from ..overload.interface import Outcome
from ..protocol import naming, resp
from ..serving.dispatcher import Dispatcher
from ..serving.exchange import Exchange, ServerStatus
from ..serving.idempotency_keys import IdempotencyTable
from ..serving.interpreter_client import InterpreterClient
from ..serving.listener import RequestHandler, RequestListener
from ..transport.connection_memory import ConnectionMemory
from ..transport.datagram import DatagramSender
from ..transport.listening_socket import Listener
from ..transport.scheduler import Clock, Scheduler
from ..transport.start_retries import retry_transient_errors
from ..transport.stream import Address, Stream, connect
from .configuration import PlacementSettings
from .configuration_reload import ConfigurationReloader, merge
from .counters import Counters
from .feature import Feature, NoFeature
from .memory_plan import plan_memory

if TYPE_CHECKING:
    from .feature_file import Features

CONNECTION_LIMIT_INTERVAL_S = 1.0  # between updates of how many connections features leave to clients
REPORT_INTERVAL_S = 0.25  # a server is delisted after 3 s of silence, and single reports may be lost
CONNECT_TIMEOUT_S = 1.0  # of one attempt to connect to the interpreter
END_MARGIN_S = 0.03  # before the stop: the event loop ends, even if clients still have connections open
ANSWER_MARGIN_S = 2 * END_MARGIN_S  # before the stop: all open requests are answered
MIN_FINAL_ROUNDS_S = 0.002  # from the last answers to the end of the event loop, however late the answers are
CLOSE_RETRY_S = 0.02  # between attempts to close the listening socket while connections are queued on it
MAX_UNSENT_CLIENT_BYTES = 0  # a client with unsent answers is not read, since it does not read either

log = logging.getLogger(__name__)


class Phase(Enum):
    """The phases of the program."""

    WAITING = "waiting"  # listening; the interpreter is not up yet
    SERVING = "serving"
    DRAINING = "draining"  # the shutdown notice was received; still serving within the grace
    CLOSING = "parting"  # no longer listening; the close of all connections was announced
    ENDED = "ended"


class RejectingHandler:
    """Rejects each request as it is read, once no new request may run."""

    def __init__(self, inner: RequestHandler, reject: Callable[[Exchange], None]) -> None:
        self._inner, self._reject = inner, reject

    def arrived(self, exchange: Exchange) -> None:
        """Reject a request."""
        self._reject(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        """Pass a cancellation on to the inner handler."""
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
        self._memory_plan = plan_memory(
            placement_settings.memory_bytes,
            placement_settings.max_connections,
            resp.max_message_bytes(placement_settings.request_classes, placement_settings.tenants),
        )
        self._scheduler = Scheduler(Clock())
        self._scheduler.on_internal_error = lambda: self._counters.count("faults")
        self._server_status = ServerStatus()
        self._stop_at = 0.0
        self._listener_closed = False
        self._start_failed = False
        self._features = self._build_features(features)
        self._dispatcher = self._build_dispatcher()
        self._request_listener = self._build_request_listener()
        if features is not None and features.any:
            self._scheduler.every(CONNECTION_LIMIT_INTERVAL_S, self._limit_connections)
        self._name_service = retry_transient_errors(lambda: DatagramSender(placement_settings.naming))
        # The last step that may fail: a repeated start must not find its own socket listening.
        self._listener = retry_transient_errors(
            lambda: Listener(
                self._scheduler,
                placement_settings.listen,
                self._request_listener.has_capacity,
                self._request_listener.accepted,
                self._request_listener.evict_unused,
                MAX_UNSENT_CLIENT_BYTES,
            )
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
            self._update_settings,
        )

    def _build_dispatcher(self) -> Dispatcher:
        placement_settings = self._placement_settings
        idempotency_keys = IdempotencyTable(
            self._longest_timeout_s(),
            placement_settings.server_settings.answer_slack_s,
            max(self._memory_plan.result_bytes, self._features.max_result_bytes),
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
            ConnectionMemory(self._memory_plan.shared_bytes, self._memory_plan.reserved_bytes),
            self._dispatcher.reject_for_memory,
        )

    def _longest_timeout_s(self) -> float:
        request_classes = self._placement_settings.server_settings.request_classes
        return max(request_class.timeout_s for request_class in request_classes)

    def prepare(self) -> None:
        """Install the signal handlers, which run in the event loop, and the hooks after each round."""
        scheduler = self._scheduler
        scheduler.on_signal(signal.SIGTERM, self._on_shutdown_notice)
        scheduler.on_signal(signal.SIGINT, self._on_shutdown_notice)
        scheduler.on_signal(signal.SIGHUP, self._reload)
        scheduler.on_signal(signal.SIGUSR1, lambda: self._print_counters("asked"))
        scheduler.after_round.append(self._dispatcher.end_round)
        scheduler.after_round.append(self._features.end_round)
        scheduler.after_round.append(self._end_if_settled)

    def run(self) -> int:
        """Serve until the shutdown notice, then shut down. Return the process's exit code."""
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
        elif self.phase is Phase.CLOSING:  # the notice came first, so the controller has not received it yet
            self._server_status.healthy = False
            self._dispatcher.shutdown_notice(max(self._stop_at - self._scheduler.clock.now, 0.0))

    def _on_shutdown_notice(self) -> None:
        """Begin to shut down; a second notice changes nothing."""
        if self.phase not in (Phase.WAITING, Phase.SERVING):
            return
        stop_after_s = self._placement_settings.stop_after_s
        self._stop_at = self._scheduler.clock.now + stop_after_s
        # Scheduled first, so that an internal error further down can't leave a server that never ends.
        self._scheduler.after(max(stop_after_s - ANSWER_MARGIN_S, 0.0), self._answer_all)
        if self.phase is Phase.WAITING:
            # Nothing has run and nothing will run: waiting and unread requests are rejected.
            self._features.on_shutdown_notice()
            self._reject_requests()
            return self._start_closing()
        # After the grace no new request may run. A closed socket is the earliest sign of that for clients.
        grace_s = min(self._placement_settings.server_settings.drain_grace_s, stop_after_s - 2 * END_MARGIN_S)
        self._scheduler.after(max(grace_s, 0.0), self._start_closing)
        self._enter(Phase.DRAINING)
        self._dispatcher.shutdown_notice(stop_after_s)
        self._send_report()
        self._features.on_shutdown_notice()
        return None

    def _start_closing(self) -> None:
        self._enter(Phase.CLOSING)
        self._close_listener()
        self._features.on_grace_over()

    def _close_listener(self) -> None:
        """Close the listening socket once all connections in its queue have been accepted."""
        self._listener_closed = self._listener.close_if_queue_empty()
        self._scheduler.spawn(self._request_listener.announce_close)  # also to newly accepted connections
        if not self._listener_closed:
            self._scheduler.after(CLOSE_RETRY_S, self._close_listener)

    def _reject_requests(self) -> None:
        """Reject all requests that are read from now on, and all that wait for the interpreter's start."""
        if not isinstance(self._request_listener.handler, RejectingHandler):
            self._request_listener.handler = RejectingHandler(
                self._request_listener.handler, self._dispatcher.reject_draining
            )
        self._dispatcher.reject_waiting_for_start()

    def _answer_all(self) -> None:
        """Answer all requests while there is still time for clients to read the answers.

        The controller has usually answered all of them by then. Exceptions: the answer slack or the batch
        interval is almost zero, the notice is too short for both, or the stored results are not loaded yet.
        """
        # If the process was suspended past the stop, connections accepted only now are read and answered in
        # a later round.
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
        if self._features.is_settled():
            self._end()

    def _end(self) -> None:
        if self.phase is not Phase.ENDED:
            self._enter(Phase.ENDED)
            self._scheduler.stop()

    # -- configuration reload

    def _reload(self) -> None:
        self._features.reload()
        self._reloader.reload()

    def _apply_configuration(self, loaded: PlacementSettings) -> None:
        """Apply the changes of a new configuration that need no restart, in any phase."""
        before = self._placement_settings
        reloaded = merge(before, loaded)
        pairs = {"taken": ",".join(reloaded.applied), "need_restart": ",".join(reloaded.need_restart)}
        log.info("configuration reloaded", extra={"pairs": pairs})
        self._placement_settings = reloaded.placement_settings
        if reloaded.settings_changed:
            self._update_settings()
        if loaded.naming != before.naming:
            self._name_service.set_address(loaded.naming)
            self._send_report()
        if loaded.interpreter != before.interpreter:
            self._interpreter.connect_to(self._connector(loaded.interpreter))
        self._counters.count("configurations_taken")

    def _update_settings(self) -> None:
        """Apply the settings, with the features' present changes to them, to requests from now on."""
        placement_settings = self._placement_settings
        server_settings = self._features.server_settings(placement_settings.server_settings)
        self._dispatcher.update_settings(server_settings, placement_settings.gauge_indexes)
        self._request_listener.expect_clients(server_settings.clients)
        # The listener looks up names in these dictionaries, which have the order of the settings.
        placement_settings.request_classes.update(
            zip(list(placement_settings.request_classes), server_settings.request_classes, strict=True)
        )
        placement_settings.tenants.update(
            zip(list(placement_settings.tenants), server_settings.tenants, strict=True)
        )

    # -- callbacks of other components

    def _connector(self, address: Address) -> Callable[[], Stream | None]:
        """Return a function that connects to the interpreter, once the features' `up_at` is reached."""

        def connect_to_interpreter() -> Stream | None:
            if self._scheduler.clock.now < self._features.up_at:
                return None
            return connect(self._scheduler, address, CONNECT_TIMEOUT_S)

        return connect_to_interpreter

    def _on_start_failed(self, reason: str) -> None:
        """End with exit code 1: a feature can't start, and the server must not run without it."""
        log.error("feature failed to start", extra={"pairs": {"reason": reason}})
        self._start_failed = True
        self._listener.close()
        self._reject_requests()
        self._end()

    def _on_never_started(self, exchange: Exchange) -> None:
        """End a request whose run a feature delayed, after its client stopped waiting: it never started."""
        self._dispatcher.run_ended(exchange, Outcome.NEVER_STARTED, 0.0, b"")

    def _limit_connections(self) -> None:
        self._request_listener.set_max_connections(self._max_client_connections())

    def _max_client_connections(self) -> int:
        """Return how many connections clients may have by memory and the descriptors that features leave."""
        descriptors = self._placement_settings.max_connections
        left_by_features = max(descriptors - self._features.descriptors, descriptors // 2)
        return min(left_by_features, self._memory_plan.max_connections)

    # -- reports and counters

    def _report(self) -> None:
        """Report to the name service, repeatedly while the server is waiting or serving.

        The name service delists a server that is silent, and keeps it listed as long as it reports, whatever
        state it reports. So a server that shuts down reports that at once and once more, and then stops.
        """
        # Scheduled first, so that no internal error ends the reports.
        if self.phase in (Phase.WAITING, Phase.SERVING):
            self._scheduler.after(REPORT_INTERVAL_S, self._report)
        self._send_report()

    def _send_report(self) -> None:
        """Report whether this server serves.

        Without a link to its interpreter it still serves for the longest request timeout, since requests may
        wait for the link that long. After that it would fail every request, so it reports that it does not
        serve, also to health checks. The price: after the interpreter is back, the server gets no requests
        until its next report has been processed.
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
            **self._request_listener.memory_gauges(),
            **self._dispatcher.outcomes.rejections,
            **self._dispatcher.outcomes.failures,
            **self._features.gauges(),
        )
