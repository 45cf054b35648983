"""Hands events to the controller in batches and carries out its actions. Makes no decisions of its own."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from math import inf
from typing import TypeAlias

from ..overload import interface
from ..overload.controller import Controller
from ..overload.interface import Action, Event, Outcome, ServerSettings
from ..transport.scheduler import Scheduler
from .close_reasons import FailureReason
from .deadline_backstop import DeadlineBackstop
from .duplicate_checks import DuplicateChecks, is_keyed
from .exchange import Exchange, ExchangeState, ServerStatus
from .hooks import NO_RESULT_STORE, ResultStore
from .idempotency_keys import IdempotencyTable
from .interpreter_client import InterpreterClient
from .listener import RequestListener
from .open_requests import OpenRequests
from .open_run import may_run_twice
from .outcome_counters import OutcomeCounters
from .recent_runs import RecentRuns
from .start_queue import StartQueue

log = logging.getLogger(__name__)

RequestAction: TypeAlias = (
    interface.Run
    | interface.Cancel
    | interface.QueryRun
    | interface.PresumeLost
    | interface.Reject
    | interface.Fail
    | interface.CallDependency
    | interface.SkipDependencyCall
    | interface.ReserveKey
    | interface.ReleaseKey
    | interface.AttachToOriginal
)


def _longest_lifetime_s(server_settings: ServerSettings) -> float:
    """Return the longest timeout or idempotency window of any class."""
    return max(
        max(request_class.timeout_s, request_class.idempotency_window_s)
        for request_class in server_settings.request_classes
    )


class Dispatcher:
    """Connects the listener and the interpreter client to the controller.

    The events of one round of the event loop form one batch; `end_round` passes it to the controller and
    sends the resulting commands and answers.

    Args:
        gauge_indexes: The indexes of the interpreter's gauges for CPU use, connections and runnable work;
            None for a gauge that is missing.
        on_interpreter_ready: Called once, when the interpreter is running for the first time.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        server_settings: ServerSettings,
        seed: int,
        gauge_indexes: tuple[int | None, int | None, int | None],
        server_status: ServerStatus,
        idempotency_keys: IdempotencyTable,
        on_interpreter_ready: Callable[[], None],
        result_store: ResultStore = NO_RESULT_STORE,
    ) -> None:
        self.batches = 0  # number of batches decided so far
        self.outcomes = OutcomeCounters()
        self._scheduler, self._clock = scheduler, scheduler.clock
        self._server_settings, self._seed = server_settings, seed
        self._gauge_indexes = gauge_indexes
        self._server_status, self._idempotency_keys = server_status, idempotency_keys
        self._on_interpreter_ready = on_interpreter_ready
        self._result_store = result_store
        self._recent_runs = RecentRuns(_longest_lifetime_s(server_settings))
        self._open_requests = OpenRequests(self._clock, self.outcomes, self._add_event)
        self._duplicate_checks = DuplicateChecks(
            self._clock, self._open_requests.ids, idempotency_keys, self._recent_runs, result_store
        )
        self._controller: Controller | None = None  # None until the interpreter is running
        self._interpreter_started_at = 0.0
        self._events: list[Event] = []
        self._undecided_keys: set[bytes] = set()  # idempotency keys of the pending events
        self._with_client_deadline: list[Exchange] = []  # requests of pending events
        self._start_queue = StartQueue(scheduler, self._fail_not_started)
        self._errors: list[Exception] = []  # internal errors of the controller in this round
        self._deadline_backstop = DeadlineBackstop(scheduler, self._fail_overdue)
        self._listener: RequestListener
        self._interpreter: InterpreterClient

    def attach(self, listener: RequestListener, interpreter: InterpreterClient) -> None:
        """Set the listener and the interpreter client, which have this object as their handler."""
        self._listener, self._interpreter = listener, interpreter
        self._set_cancellation()

    @property
    def open_count(self) -> int:
        """The number of requests that are not finished."""
        return len(self._open_requests) + len(self._start_queue)

    def update_settings(
        self, server_settings: ServerSettings, gauge_indexes: tuple[int | None, int | None, int | None]
    ) -> None:
        """Apply new settings to new requests; the old settings still apply to requests already accepted."""
        self._gauge_indexes = gauge_indexes
        if self._controller is not None:
            server_settings = replace(
                server_settings, starts_cold=self._controller.server_settings.starts_cold
            )
            self._controller.update_settings(server_settings)
        self._server_settings = server_settings
        self._set_cancellation()
        self._recent_runs.lifetime_s = max(self._recent_runs.lifetime_s, _longest_lifetime_s(server_settings))
        self._idempotency_keys.max_wait_s = max(
            self._idempotency_keys.max_wait_s,
            *(request_class.timeout_s for request_class in server_settings.request_classes),
        )

    def _set_cancellation(self) -> None:
        discards = self._server_settings.cancellation is interface.Cancellation.DISCARDS_WORK
        self._interpreter.discards_cancelled_runs = discards

    # -- start-up

    def interpreter_ready(self, cold: bool, uptime_s: float) -> None:
        """Handle a greeting; the first one starts the controller, as of the start of the interpreter."""
        log.info("interpreter up", extra={"pairs": {"cold": cold, "age": uptime_s}})
        if self._controller is None:
            server_settings = replace(self._server_settings, starts_cold=cold)
            self._controller = Controller(server_settings, self._seed)
            started_at = self._clock.now - uptime_s
            self._apply_actions(self._controller.handle_events(started_at, []), started_at)
            self._interpreter_started_at = started_at
            self.recovery_finished(at_first_link=True)
            self._on_interpreter_ready()

    def recovery_finished(self, at_first_link: bool = False) -> None:
        """Accept the waiting requests, once the interpreter is running and the result store is ready."""
        if self._controller is None:
            return
        if self._result_store.ready:
            recovered = self._result_store.recover_keys(self._interpreter_started_at, self._idempotency_keys)
            self._events[:0] = [
                interface.KeyRecovered(request, lifetime_s) for request, lifetime_s in recovered
            ]
            exchanges, last_notice = self._result_store.runs_to_adopt()
            self._interpreter.adopt(exchanges, last_notice if at_first_link else None)
        for exchange in self._start_queue.take_all():
            self.arrived(exchange)

    def _must_wait_for_start(self, exchange: Exchange) -> bool:
        return self._controller is None or (not self._result_store.ready and is_keyed(exchange))

    def _wait_for_start(self, exchange: Exchange) -> None:
        deadline = exchange.deadline(self._server_settings.deadline_propagated)
        timeout_s = deadline - self._server_settings.min_batch_interval_s - self._clock.now
        self._start_queue.add(exchange, timeout_s)

    def _fail_not_started(self, exchange: Exchange) -> None:
        self._open_requests.fail(exchange, FailureReason.NOT_STARTED)

    # -- events

    def arrived(self, exchange: Exchange) -> None:
        """Accept a request, or fail it at once if it conflicts with a known request."""
        if self._must_wait_for_start(exchange):
            return self._wait_for_start(exchange)
        if self._duplicate_checks.reuses_id(exchange):
            return self._open_requests.fail(exchange, FailureReason.REPEATED_ID)
        request = exchange.request
        if exchange.idempotency_key is not None and is_keyed(exchange):
            # The original may be in the current batch, and is known only after that batch is decided.
            if exchange.idempotency_key in self._undecided_keys:
                self._decide()
            if (reason := self._duplicate_checks.link_original(exchange)) is not None:
                return self._open_requests.fail(exchange, reason)
            if request.arrived_at >= self._clock.now:
                # The clock's reading does not change while a round reads data. This request may have arrived
                # after the reading, and then its window ends later than one that starts at the reading.
                exchange.arrival_uncertainty_s = self._clock.read() - request.arrived_at
            self._undecided_keys.add(exchange.idempotency_key)
            self._result_store.prepare(exchange)
            request.duplicate_of = exchange.original.request if exchange.original is not None else None
        else:
            exchange.idempotency_key = None
        self._open_requests.add(exchange)
        if exchange.client_deadline is not None and self._server_settings.deadline_propagated:
            self._with_client_deadline.append(exchange)
        self._events.append(interface.RequestArrived(request))

    def cancelled(self, exchange: Exchange) -> None:
        """Handle a cancellation: the client no longer waits."""
        if self._start_queue.discard(exchange):
            return
        self._events.append(interface.RequestAbandoned(exchange.request))
        if exchange.state is ExchangeState.QUEUED:
            if not exchange.request.started:  # a request whose run was cancelled has run
                self._idempotency_keys.release(exchange)
            self._result_store.release(exchange)
        self._open_requests.finish_unless_running(exchange)

    def run_ended(self, exchange: Exchange, outcome: Outcome, run_time_s: float, result: bytes) -> None:
        """Handle the end of a run: answer its request and the duplicates attached to it."""
        self._events.append(interface.RunEnded(exchange.request, run_time_s, outcome))
        exchange.run_time_s = run_time_s
        self._result_store.run_ended(exchange, outcome, result)
        if outcome is Outcome.NEVER_STARTED:
            self._recent_runs.discard(exchange.name)
            # At once, so that no duplicate is attached to it; the controller's action for it comes later.
            self._idempotency_keys.release(exchange)
        if outcome is Outcome.SUCCEEDED:
            exchange.complete(result)
            if self._idempotency_keys.is_reserved_by(exchange):
                self._idempotency_keys.store_result(exchange, result)
            return self._open_requests.finish(exchange, result)
        if outcome is Outcome.ERROR:
            self._open_requests.fail(exchange, FailureReason.RUN_FAILED)
        elif outcome is Outcome.LOST:
            self._open_requests.fail(exchange, FailureReason.NO_RESULT)
        elif not exchange.closed:
            exchange.state = ExchangeState.QUEUED  # cancelled: the controller chooses its answer
            return None
        return self._open_requests.finish(exchange)

    def call_needed(self, exchange: Exchange) -> None:
        """Handle a run that waits for a dependency call."""
        self._events.append(interface.DependencyCallNeeded(exchange.request))

    def start_unconfirmed(self, exchange: Exchange) -> None:
        """Handle a run that may not have started, as its command was written to a link that broke."""
        self._events.append(interface.StartUnconfirmed(exchange.request))

    def shutdown_notice(self, remaining_s: float) -> None:
        """Notify the controller that the process will be stopped after `remaining_s`."""
        self._events.append(interface.ShutdownNotice(remaining_s))

    def _timer_fired(self) -> None:
        gauges = self._interpreter.gauges()

        def gauge(index: int | None) -> float:
            value = gauges[index] if index is not None and index < len(gauges) else None
            return inf if value is None else value

        self._events.append(interface.TimerFired(*(gauge(index) for index in self._gauge_indexes)))

    def _add_event(self, event: Event) -> None:
        self._events.append(event)

    # -- the batch

    def end_round(self) -> None:
        """Have all events decided and send the results, including those beside an internal error.

        Raises:
            Exception: The first internal error of the round, once everything else is done.
        """
        try:
            self._decide()
            self._idempotency_keys.sweep(self._clock.now)
            self._recent_runs.sweep(self._clock.now)
        finally:
            try:
                self._interpreter.flush()
            finally:
                self._listener.flush()
        if self._errors:
            error, *others = self._errors
            self._errors = []
            for other in others:
                log.error("decision ended by a fault", exc_info=other)
                self._scheduler.on_internal_error()
            raise error

    def _decide(self) -> None:
        """Have batches decided until no event is left, as some actions cause new events."""
        while self._events and self._controller is not None:
            now = self._clock.read()
            events, self._events = self._events, []
            self._undecided_keys.clear()
            for exchange in self._with_client_deadline:
                exchange.request.remaining_s = max((exchange.client_deadline or now) - now, 0.0)
            self._with_client_deadline.clear()
            self.batches += 1
            try:
                actions = self._controller.handle_events(now, events)
            except Exception as error:
                actions = [interface.InternalError(error)]
            self._apply_actions(actions, now)

    def _apply_actions(self, actions: list[Action], decided_at: float) -> None:
        for action in actions:
            match action:
                case interface.SetTimer(after_s):
                    self._scheduler.after(decided_at + after_s - self._clock.now, self._timer_fired)
                case interface.AdvertiseCapacity(value):
                    self._server_status.advertised = value
                case interface.SetHealth(healthy):
                    self._server_status.healthy = healthy
                case interface.CloseIdle(idle_timeout_s):
                    self._listener.set_idle_timeout(idle_timeout_s or inf)
                case interface.InternalError(error):
                    self._decision_failed(error)
                case interface.Log(message):
                    log.info("controller message", extra={"pairs": {"message": message}})
                case _:
                    self._apply_request_action(action)

    def _decision_failed(self, error: Exception) -> None:
        """Record an internal error of the controller, which `end_round` raises after all else is done."""
        self._errors.append(error)
        propagated = self._server_settings.deadline_propagated
        self._deadline_backstop.watch(self._open_requests.all(), propagated)

    def _fail_overdue(self, exchange: Exchange) -> None:
        if not exchange.closed:
            self._open_requests.fail(exchange, FailureReason.FAULT)
            self.cancelled(exchange)

    def _apply_request_action(self, action: RequestAction) -> None:
        exchange = self._open_requests.get(action.request)
        if exchange is not None:
            try:
                self._apply_to_exchange(action, exchange)
            except Exception:
                self._fail_after_internal_error(exchange)
        elif isinstance(action, interface.Run):  # its client cancelled it in this batch
            self._events.append(interface.RunEnded(action.request, 0.0, Outcome.NEVER_STARTED))

    def _apply_to_exchange(self, action: RequestAction, exchange: Exchange) -> None:
        match action:
            case interface.Run():
                self._start_run(exchange)
            case interface.Cancel():
                self._cancel_run(exchange)
            case interface.QueryRun():
                self._interpreter.query_run(exchange)
            case interface.PresumeLost():
                self._interpreter.presume_lost(exchange)
            case interface.Reject():
                self._reject(exchange, action)
            case interface.Fail():
                self._open_requests.fail(exchange, FailureReason.GIVEN_UP)
                self._open_requests.finish_unless_running(exchange)
            case interface.ReserveKey(_, lifetime_s):
                lifetime_s += exchange.arrival_uncertainty_s
                self._idempotency_keys.reserve(exchange, self._clock.now, lifetime_s)
                self._result_store.reserve(exchange)
            case interface.ReleaseKey():
                self._idempotency_keys.release(exchange)
                self._result_store.release(exchange)
            case interface.AttachToOriginal():
                self._open_requests.attach_to_original(exchange)
            case _:
                # The protocol can neither make nor skip a dependency call.
                # `configuration.placement_settings` gives the controller no dependency, so it requests
                # neither.
                pairs = {"action": type(action).__name__}
                log.error("action not supported by the protocol", extra={"pairs": pairs})

    # -- actions on one request

    def _start_run(self, exchange: Exchange) -> None:
        if exchange.state is ExchangeState.QUEUED:
            exchange.state = ExchangeState.RUNNING
            if not may_run_twice(exchange):
                self._recent_runs.add(exchange.name, self._clock.now)
            self._result_store.before_run(exchange, self._interpreter.run)

    def _cancel_run(self, exchange: Exchange) -> None:
        if exchange.state is ExchangeState.RUNNING:
            self._interpreter.cancel(exchange)

    def _reject(self, exchange: Exchange, action: interface.Reject) -> None:
        exchange.reject(action.retry_after_s, action.no_retry_elsewhere)
        self.outcomes.count_rejection(exchange, action.reason, action.retry_after_s)
        self._idempotency_keys.release(exchange)  # the controller does not release expired keys
        self._open_requests.finish_unless_running(exchange)

    def _fail_after_internal_error(self, exchange: Exchange) -> None:
        """Fail a request whose action raised an internal error; the other actions are carried out."""
        log.exception("request failed by a fault", extra={"pairs": {"tag": exchange.tag}})
        self._scheduler.on_internal_error()
        if exchange.state in (ExchangeState.RUNNING, ExchangeState.ATTACHED):
            self._events.append(interface.RunEnded(exchange.request, 0.0, Outcome.ERROR))
        elif not exchange.closed:
            self._events.append(interface.RequestAbandoned(exchange.request))
        self._open_requests.fail(exchange, FailureReason.FAULT)
        self._open_requests.finish(exchange)

    # -- requests that are answered without a decision

    def reject_for_memory(self, exchange: Exchange) -> None:
        """Reject a request for which the connections have no memory left."""
        if exchange.idempotency_key in self._undecided_keys:
            self._decide()  # its original may be in the current batch
        self._reject_at_once(exchange, interface.RejectionReason.CONNECTION_MEMORY, FailureReason.NO_MEMORY)

    def reject_draining(self, exchange: Exchange) -> None:
        """Reject a request that never ran and will not run on this server, which is draining."""
        self._reject_at_once(exchange, interface.RejectionReason.DRAINING, FailureReason.STOPPING)

    def _reject_at_once(
        self, exchange: Exchange, reason: interface.RejectionReason, failure_reason: FailureReason
    ) -> None:
        """Reject a request that never ran.

        A request of which any attempt ran or may have run must not be rejected; it fails instead.
        """
        if exchange.request not in self._open_requests and self._duplicate_checks.is_known(exchange):
            return self._open_requests.fail(exchange, FailureReason.REPEATED_ID)
        if self._duplicate_checks.may_be_duplicate(exchange):
            return self._open_requests.fail(exchange, failure_reason)
        retry_after_s = self._server_settings.max_retry_after_s
        exchange.reject(retry_after_s, False)
        self.outcomes.count_rejection(exchange, reason, retry_after_s)

    # -- shutdown

    def reject_waiting_for_start(self) -> None:
        """Reject the requests that wait for a start-up that will not be completed."""
        for exchange in self._start_queue.take_all():
            self.reject_draining(exchange)

    def finish_all(self) -> None:
        """Answer all open requests, since the process stops, and report them to the controller as cancelled.

        The controller cancels their runs if that is supported; other runs end without an answer.
        """
        for exchange in self._open_requests.all():
            if exchange.closed:
                continue
            if exchange.state is ExchangeState.QUEUED and not exchange.request.started:
                self.reject_draining(exchange)
            else:
                self._open_requests.fail(exchange, FailureReason.STOPPING)
            self.cancelled(exchange)
