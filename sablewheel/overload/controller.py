"""The overload controller of one server: dispatches events to the deciding parts and collects actions.

`Controller(settings, seed).handle_events(now, events)` is called once per batch; the first call may have no
events and reports the server as healthy. The interface types are in `interface/`; the mechanism and its
differences from the paper are described in `docs/design.md`.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any

from . import interface
from .admission import Admission
from .capacity_advertisement import CapacityAdvertiser
from .client_activity import ClientActivity
from .coalescing import DuplicateCoalescer
from .completion import RequestCompletion
from .connection_limits import ConnectionLimits
from .context import DecisionContext
from .core_usage import CoreUsage
from .credit_pool import CreditPool
from .deadlines import Deadlines
from .dependency_calls import DependencyCalls
from .dependency_capacity import DependencyCapacity
from .idempotency import IdempotencyKeys
from .interface import Action, Event, InternalError, ServerSettings, SetHealth, SetTimer, Stage
from .request_endings import RequestEndings
from .request_queue import RequestQueues
from .resource_limits import ResourceLimits
from .retry_advice import RetryAdvice
from .run_starter import RunStarter
from .service_times import ServiceTimes
from .shutdown import Shutdown
from .slow_start import SlowStart
from .tenant_quotas import TenantQuotas
from .wait_budget import WaitBudgets


class Controller:
    """Makes one server's decisions from its own events only.

    Invariant: the order of the steps in `handle_events` is part of the behaviour, as is the order of the
    actions; `_timer_set_for` is never later than the earliest time at which any part is due.
    """

    def __init__(self, settings: ServerSettings, seed: int) -> None:
        del seed  # no decision is random
        self._context = context = DecisionContext(settings)
        self.service_times = ServiceTimes(settings)
        self.clients = ClientActivity(context)
        self.tenant_quotas = TenantQuotas(context)
        self.credit_pool = CreditPool(context)
        self.dependency_capacity = DependencyCapacity(context)
        self.queues = RequestQueues(context, self.service_times)
        slow_start = SlowStart(context)
        self.resources = ResourceLimits(context, slow_start, self.dependency_capacity)
        self._core_usage = CoreUsage()
        self._deadlines = Deadlines()
        self._keys = IdempotencyKeys(context, self.resources)
        self._completion = RequestCompletion(
            context,
            self.resources,
            self.dependency_capacity,
            self.clients,
            self.credit_pool,
            self._keys,
            RetryAdvice(context, self.queues, self.service_times, self.clients),
        )
        self._shutdown = Shutdown(context, self._deadlines)
        self._coalescer = DuplicateCoalescer(context, self.resources, self._completion)
        self._connection_limits = ConnectionLimits(context, self.clients)
        self._advertiser = CapacityAdvertiser(
            context,
            self.credit_pool,
            self.queues,
            self.clients,
            self.service_times,
            self.resources,
            slow_start,
        )
        self._run_starter = RunStarter(
            context,
            self.resources,
            self._core_usage,
            self.credit_pool,
            self.queues,
            self.service_times,
            self.clients,
            self.tenant_quotas,
        )
        self._dependency_calls = DependencyCalls(
            context,
            self.dependency_capacity,
            self.resources,
            self.service_times,
            self._deadlines,
            self._completion,
        )
        self._endings = RequestEndings(
            context,
            self._completion,
            self._dependency_calls,
            self.service_times,
            self.clients,
            self.credit_pool,
            self.tenant_quotas,
            self._keys,
        )
        self._admission = Admission(
            context,
            self.resources,
            self.clients,
            self.service_times,
            self._deadlines,
            self._shutdown,
            self._keys,
            self._coalescer,
            self._completion,
            WaitBudgets(context, self.service_times, self.clients),
            self.tenant_quotas,
            self.queues,
            self._run_starter,
            self._dependency_calls,
        )
        self._timer_set_for = inf
        self._steps: tuple[Callable[[], None], ...] = (
            self._dependency_calls.make_calls,
            self._answer_overdue,
            self._query_or_drop_unconfirmed,
            self._coalescer.attach_waiting,
            self._run_starter.start_queued,
            self._iterate_if_due,
            self._review_if_due,
            self._advertiser.update,
            self._set_timer,
        )
        self._handlers: dict[type[Event], Callable[[Any], None]] = {
            interface.RequestArrived: self._request_arrived,
            interface.RunEnded: self._run_ended,
            interface.DependencyCallNeeded: self._call_needed,
            interface.DependencyCallEnded: self._call_ended,
            interface.StartUnconfirmed: self._start_unconfirmed,
            interface.RequestAbandoned: self._request_abandoned,
            interface.KeyRecovered: self._key_recovered,
            interface.ShutdownNotice: self._shutdown_notice,
            interface.TimerFired: self._timer_fired,
        }

    @property
    def server_settings(self) -> ServerSettings:
        """The current settings."""
        return self._context.settings

    def update_settings(self, settings: ServerSettings) -> None:
        """Replace the settings of a running server.

        Requests admitted earlier keep their request class. Statistics of the previous classes and tenants are
        retained, since their requests may still end; settings change seldom.
        """
        previous = self._context.settings
        self.service_times.update_settings(previous, settings)
        self.tenant_quotas.update_settings(previous, settings)
        self._context.update_settings(settings)

    def handle_events(self, now: float, events: list[Event]) -> list[Action]:
        """Handle a batch of events and return the actions to execute.

        Args:
            now: Current time in seconds, from a monotonic clock.
            events: The events since the last batch, oldest first.
        """
        context = self._context
        context.begin_batch(now)
        if context.opened_at < 0:
            self._open()
        self._run_step(self._keys.expire)
        for event in events:
            self._handle_event(event)
        for step in self._steps:
            self._run_step(step)
        return context.take_actions()

    def _run_step(self, step: Callable[[], None]) -> None:
        """Run a step; an internal error in it does not affect the other steps and their actions."""
        try:
            step()
        except Exception as error:
            self._context.actions.append(InternalError(error))

    def _handle_event(self, event: Event) -> None:
        """Dispatch one event; an internal error ends only the request of this event."""
        try:
            self._handlers[type(event)](event)
        except Exception as error:
            self._context.actions.append(InternalError(error))
            self._end_after_error(event)

    def _end_after_error(self, event: Event) -> None:
        """End the request of an event whose handler raised, unless it is still running."""
        completion = self._completion
        match event:
            case interface.RunEnded(request):
                if not request.answered:
                    self._run_step(lambda: completion.fail(request))
                self._run_step(lambda: completion.finish(request))
            case interface.RequestAbandoned(request):
                completion.mark_answered(request)
                if request.stage in (Stage.QUEUED, Stage.COALESCED):
                    self._run_step(lambda: completion.finish(request))
            case interface.RequestArrived(request):
                if request.stage is Stage.QUEUED and not request.answered:
                    self._run_step(lambda: completion.fail(request))
            case _:
                pass  # the request is running: its end or its deadline is handled later

    def _answer_overdue(self) -> None:
        """Handle the requests that are due; an internal error affects only its own request."""
        now = self._context.now
        while (request := self._deadlines.pop_due(now)) is not None:
            try:
                self._endings.deadline_reached(request)
            except Exception as error:
                self._context.actions.append(InternalError(error))
                if not request.answered:
                    self._completion.fail(request)

    def _query_or_drop_unconfirmed(self) -> None:
        unconfirmed, context = self.resources.unconfirmed, self._context
        overdue = unconfirmed.take_overdue(context.now)
        context.actions.extend(interface.PresumeLost(request) for request in overdue)
        slack_s = max(context.settings.answer_slack_s, context.min_interval_s)
        context.actions.extend(map(interface.QueryRun, unconfirmed.take_to_query(context.now, slack_s)))

    def _iterate_if_due(self) -> None:
        pool, now = self.credit_pool, self._context.now
        if now >= pool.next_iteration_at:
            pool.next_iteration_at = (
                now + self._context.min_interval_s
            )  # set first: an internal error below must not cause a busy loop
            self._iterate_credit_pool()

    def _review_if_due(self) -> None:
        if self._context.now >= self._connection_limits.next_review_at:
            self._connection_limits.review()

    def _open(self) -> None:
        context = self._context
        context.opened_at = context.now
        first_review_at = context.now + context.settings.advertisement_ttl_s
        self.credit_pool.next_iteration_at = first_review_at
        self._connection_limits.next_review_at = first_review_at
        context.actions.append(SetHealth(True, True))

    def _iterate_credit_pool(self) -> None:
        response_s = self.service_times.response_s.quantile(0.5, self._context.settings.advertisement_ttl_s)
        interval_s = self.credit_pool.iterate(self._advertiser.max_credit(), response_s)
        self.queues.update_ranking(0.5 ** (interval_s / self._context.max_timeout_s))

    def _set_timer(self) -> None:
        """Set a timer for the earliest due time; timers set for later times may still fire."""
        next_due_at = min(
            self.credit_pool.next_iteration_at,
            self._connection_limits.next_review_at,
            self.resources.unconfirmed.next_due,
            self._deadlines.next_due,
            self._dependency_calls.next_due(),
        )
        if next_due_at < self._timer_set_for:
            self._timer_set_for = next_due_at
            failed = any(isinstance(action, InternalError) for action in self._context.actions)
            min_delay_s = self._context.min_interval_s if failed else 0.0  # a failed step may stay due
            self._context.actions.append(SetTimer(max(next_due_at - self._context.now, min_delay_s)))

    def _request_arrived(self, event: interface.RequestArrived) -> None:
        self._admission.admit(event.request)

    def _run_ended(self, event: interface.RunEnded) -> None:
        self._endings.run_ended(event.request, event.took_s, event.outcome)

    def _call_needed(self, event: interface.DependencyCallNeeded) -> None:
        self._dependency_calls.request_call(event.request)

    def _call_ended(self, event: interface.DependencyCallEnded) -> None:
        self._dependency_calls.call_ended(event.request, event.took_s, event.outcome)

    def _start_unconfirmed(self, event: interface.StartUnconfirmed) -> None:
        if event.request.stage is Stage.RUNNING:
            context = self._context
            self.resources.unconfirmed.add(event.request, context.now, context.max_timeout_s)

    def _request_abandoned(self, event: interface.RequestAbandoned) -> None:
        self._endings.request_abandoned(event.request)

    def _key_recovered(self, event: interface.KeyRecovered) -> None:
        self._keys.record(event.request, event.valid_for_s)

    def _shutdown_notice(self, event: interface.ShutdownNotice) -> None:
        self._shutdown.begin(event.remaining_s)

    def _timer_fired(self, event: interface.TimerFired) -> None:
        self._timer_set_for = inf
        self._connection_limits.open_connections = event.open_connections
        self._core_usage.record_gauges(
            event.cpu_busy_ratio,
            event.runnable_work,
            self.resources.on_cores,
            self._context.settings.cores,
        )
