"""Between the controller and the world: batches of events in, actions carried out. Chooses nothing."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from math import inf

from ..overload import interface
from ..overload.controller import Controller
from ..overload.interface import Action, Event, Idempotency, Outcome, Request, ServerSettings
from ..transport.scheduler import Scheduler
from .close_reasons import FailureReason, log_reason
from .exchange import Exchange, Place, Standing
from .hooks import NO_RESULT_STORE, Memory
from .idempotency_keys import IdempotencyTable
from .interpreter_client import InterpreterClient, may_run_twice
from .listener import Server
from .recent_runs import RecentRuns

log = logging.getLogger(__name__)


def _longest_span(server_settings: ServerSettings) -> float:
    """The longest deadline or window of any class, in seconds."""
    return max(
        max(request_class.timeout_s, request_class.idempotency_window_s)
        for request_class in server_settings.request_classes
    )


class Dispatch:
    """All that one round of poll brought is one batch; `end_round` decides it and lets everything out."""

    def __init__(
        self,
        scheduler: Scheduler,
        server_settings: ServerSettings,
        seed: int,
        gauge_places: tuple[int | None, int | None, int | None],
        standing: Standing,
        idempotency_keys: IdempotencyTable,
        opened: Callable[[], None],
        memory: Memory = NO_RESULT_STORE,
    ) -> None:
        self._memory = memory
        self._scheduler, self._clock = scheduler, scheduler.clock
        self._server_settings, self._seed = server_settings, seed
        self._places = gauge_places
        self._standing, self._idempotency_keys, self._opened = standing, idempotency_keys, opened
        self._controller: Controller | None = None
        self._events: list[Event] = []
        self._undecided: set[bytes] = set()  # idempotency keys among them
        self._told: list[Exchange] = []  # and those whose callers told how long they wait
        self.batches = 0  # decided so far: whether rounds carry requests
        self._born = 0.0  # when the interpreter was
        self._early: dict[Exchange, None] = {}  # read before there was a controller
        self._exchanges: dict[Request, Exchange] = {}  # until answered and off the interpreter
        self.rejections: dict[str, int] = {}  # by reason, and those told no time to come back
        self.failures: dict[str, int] = {}  # by reason
        self._names: set[bytes] = set()  # theirs
        self._recent = RecentRuns(_longest_span(server_settings))
        self._server: Server
        self._client: InterpreterClient

    def attach(self, server: Server, client: InterpreterClient) -> None:
        """The two sides, which were given this as their handler."""
        self._server, self._client = server, client
        client.can_stop = self._server_settings.cancellation is interface.Cancellation.DISCARDS_WORK

    @property
    def open_count(self) -> int:
        return len(self._exchanges) + len(self._early)

    def retune(
        self, server_settings: ServerSettings, gauge_places: tuple[int | None, int | None, int | None]
    ) -> None:
        """New settings while it serves: what was taken in goes on as it was, new requests go by these."""
        self._places = gauge_places
        if self._controller is not None:
            server_settings = replace(
                server_settings, starts_cold=self._controller.server_settings.starts_cold
            )
            self._controller.retune(server_settings)
        self._server_settings = server_settings
        self._client.can_stop = server_settings.cancellation is interface.Cancellation.DISCARDS_WORK
        self._recent.life = max(self._recent.life, _longest_span(server_settings))
        self._idempotency_keys.lag = max(
            self._idempotency_keys.lag,
            *(request_class.timeout_s for request_class in server_settings.request_classes),
        )

    def greeted(self, cold: bool, age: float) -> None:
        """The interpreter is up, for `age` seconds: the controller opens the server as of then."""
        log.info("interpreter up", extra={"pairs": {"cold": cold, "age": age}})
        if self._controller is None:
            server_settings = replace(self._server_settings, starts_cold=cold)
            self._controller = Controller(server_settings, self._seed)
            since = self._clock.now - age
            self._carry_out(self._controller.handle_events(since, []), since)
            self._born = since
            self.remembered(at_greeting=True)
            self._opened()

    def remembered(self, at_greeting: bool = False) -> None:
        """The interpreter is up, or all remembered runs are known; when both are, waiting ends."""
        if self._controller is None:
            return
        if self._memory.ready:
            recalled = self._memory.recalled(self._born, self._idempotency_keys)
            self._events[:0] = [interface.KeyRecovered(request, life) for request, life in recalled]
            exchanges, last = self._memory.adopted()
            self._client.adopt(exchanges, last if at_greeting else None)
        early, self._early = self._early, {}
        for exchange in early:
            self.arrived(exchange)

    # -- what happens

    def arrived(self, exchange: Exchange) -> None:
        """A try that was read: the controller's, unless it contradicts one that is known.

        The name of an open request, or an idempotency key that came with another body or request class: it is
        failed at once and changes nothing for the true one. Guards against clients that copy or mix up names
        and idempotency keys; might hurt a true request only where a copy of its idempotency key came first
        and is still open.
        """
        request, idempotency_key = exchange.request, exchange.idempotency_key
        if self._controller is None or (
            not self._memory.ready and request.request_class.idempotency is Idempotency.KEYED
        ):
            return self._wait_for_start(exchange)
        keyed = request.request_class.idempotency is Idempotency.KEYED
        if exchange.name in self._names or (exchange.name in self._recent and not keyed):
            return self._fail_request(exchange, FailureReason.REPEATED_ID)
        if idempotency_key is not None and keyed:
            # Another try in this very batch: its fate first, or this one could not be told what it repeats.
            if idempotency_key in self._undecided:
                self.decide()
            exchange.first = self._idempotency_keys.find(idempotency_key, request.arrived_at)
            if exchange.first is not None and not exchange.first.asks_same(exchange):
                return self._fail_request(exchange, FailureReason.OTHER_CONTENT)
            if exchange.first is None and exchange.name in self._recent:
                return self._fail_request(exchange, FailureReason.REPEATED_ID)
            # What it repeats may be forgotten, on either side of a restart: neither run nor rejected.
            if exchange.first is None and (
                self._idempotency_keys.forgets(request.arrived_at, self._clock.now)
                or self._memory.may_not_run(exchange)
            ):
                return self._fail_request(exchange, FailureReason.TOO_OLD)
            if request.arrived_at >= self._clock.now:
                # The round's clock stands while it reads: this one may have come since, and by its own
                # `since` the window ends later than counted from the time that is known here.
                exchange.ahead = self._clock.read() - request.arrived_at
            self._undecided.add(idempotency_key)
            self._memory.prepare(exchange)
            request.duplicate_of = exchange.first.request if exchange.first is not None else None
        else:
            exchange.idempotency_key = None
        self._exchanges[request] = exchange
        self._names.add(exchange.name)
        if exchange.until is not None and self._server_settings.deadline_propagated:
            self._told.append(exchange)
        self._events.append(interface.RequestArrived(request))

    def _wait_for_start(self, exchange: Exchange) -> None:
        """Nothing is decided before the interpreter is up and all that is remembered is known.

        Guards against tries of one idempotency key that come before that: neither would know of the other,
        nor of a first that ran before the start, and each would run. None waits longer than its request class
        allows.
        """
        self._early[exchange] = None
        request = exchange.request
        until = request.arrived_at + request.request_class.timeout_s
        if exchange.until is not None and self._server_settings.deadline_propagated:
            until = exchange.until
        left = until - self._server_settings.min_batch_interval_s - self._clock.now

        def give_up() -> None:
            if exchange in self._early:
                del self._early[exchange]
                self._fail_request(exchange, FailureReason.NOT_STARTED)

        self._scheduler.after(max(left, 0.0), give_up)

    def gone(self, exchange: Exchange) -> None:
        """Nobody waits for its answer any more."""
        if exchange in self._early:
            del self._early[exchange]
            return
        self._events.append(interface.CallerGone(exchange.request))
        if exchange.place is Place.HELD:
            if not exchange.request.started:  # one that was stopped has run
                self._idempotency_keys.release(exchange)
            self._memory.release(exchange)
        if exchange.place in (Place.HELD, Place.JOINED):
            self._over(exchange)

    def ended(self, exchange: Exchange, outcome: Outcome, took: float, result: bytes) -> None:
        """A run is over: its answer goes out with it, and its repeats have theirs."""
        self._events.append(interface.RunEnded(exchange.request, took, outcome))
        exchange.took = took
        self._memory.ended(exchange, outcome, result)
        if outcome is Outcome.NEVER_STARTED:
            self._recent.discard(exchange.name)
            # It never began, so no repeat joins it; the controller's word for that comes when it is off.
            self._idempotency_keys.release(exchange)
        if outcome is Outcome.SUCCEEDED:
            exchange.complete(result)
            if self._idempotency_keys.holds(exchange):
                self._idempotency_keys.keep(exchange, result)
        elif outcome is Outcome.ERROR:
            self._fail_request(exchange, FailureReason.RUN_FAILED)
        elif outcome is Outcome.LOST:
            self._fail_request(exchange, FailureReason.NO_RESULT)
        elif not exchange.closed:
            exchange.place = Place.HELD  # stopped: still owed an answer, which is the controller's to choose
            return
        self._over(exchange, result if outcome is Outcome.SUCCEEDED else None)

    def call_needed(self, exchange: Exchange) -> None:
        """Its run stands at a call of a service below."""
        self._events.append(interface.DependencyCallNeeded(exchange.request))

    def start_unconfirmed(self, exchange: Exchange) -> None:
        """Its command was written to a link that broke: its run may never have begun."""
        self._events.append(interface.StartUnconfirmed(exchange.request))

    def notice(self, left: float) -> None:
        self._events.append(interface.ShutdownNotice(left))

    def _ring(self) -> None:
        told = self._client.gauges()

        def gauge(place: int | None) -> float:
            value = told[place] if place is not None and place < len(told) else None
            return inf if value is None else value

        self._events.append(interface.TimerFired(*(gauge(place) for place in self._places)))

    # -- the batch

    def end_round(self) -> None:
        """Decide on all that came, and let everything out, also what was decided before a fault of ours."""
        try:
            self.decide()
            self._idempotency_keys.sweep(self._clock.now)
            self._recent.sweep(self._clock.now)
        finally:
            try:
                self._client.flush()
            finally:
                self._server.flush()

    def decide(self) -> None:
        """Batches until nothing is left: some actions are followed by an event at once."""
        while self._events and self._controller is not None:
            now = self._clock.read()
            events, self._events = self._events, []
            self._undecided.clear()
            for exchange in self._told:  # as of now: reading, or the wait for the start, took its part of it
                exchange.request.remaining_s = max((exchange.until or now) - now, 0.0)
            self._told.clear()
            self.batches += 1
            self._carry_out(self._controller.handle_events(now, events), now)

    def _carry_out(self, actions: list[Action], decided: float) -> None:
        for action in actions:
            match action:
                case interface.SetTimer(after):
                    self._scheduler.after(decided + after - self._clock.now, self._ring)
                case interface.AdvertiseCapacity(amount):
                    self._standing.said = amount
                case interface.SetHealth(good):
                    self._standing.good = good
                case interface.CloseIdle(after):
                    self._server.close_unused(after or self._server_settings.idle_timeout_s)
                case interface.Log(words):
                    log.info("controller", extra={"pairs": {"says": words}})
                case _:
                    exchange = self._exchanges.get(action.request)
                    if exchange is not None:
                        try:
                            self._act(action, exchange)
                        except Exception:
                            self._fail(exchange)
                    elif isinstance(action, interface.Run):  # its caller left in this very batch
                        self._events.append(interface.RunEnded(action.request, 0.0, Outcome.NEVER_STARTED))

    def _fail(self, exchange: Exchange) -> None:
        """A fault of ours in what was decided of it: it ends in an error, and the other actions are done."""
        log.exception("request failed by a fault", extra={"pairs": {"tag": exchange.tag}})
        self._scheduler.on_fault()
        begun = exchange.place in (Place.RUNNING, Place.JOINED)
        if begun:
            self._events.append(interface.RunEnded(exchange.request, 0.0, Outcome.ERROR))
        elif not exchange.closed:
            self._events.append(interface.CallerGone(exchange.request))
        self._fail_request(exchange, FailureReason.FAULT)
        self._over(exchange)

    def _fail_request(self, exchange: Exchange, reason: FailureReason) -> None:
        """Answer with an error, if anybody still waits."""
        if not exchange.closed:
            name = f"failed_{reason.value}"
            self.failures[name] = self.failures.get(name, 0) + 1
            log_reason(log, "request failed", reason, request=exchange.name.decode("ascii", "replace"))
        exchange.fail()

    def _count_rejection(
        self, exchange: Exchange, why: interface.RejectionReason, retry_after_s: float
    ) -> None:
        request = exchange.name.decode("ascii", "replace")
        log_reason(log, "request refused", why, request=request, retry_after_s=retry_after_s)
        names = [f"denied_{why.value}"] + ([] if retry_after_s > 0 else ["denied_without_advice"])
        for name in names:
            self.rejections[name] = self.rejections.get(name, 0) + 1

    def _act(self, action: Action, exchange: Exchange) -> None:
        """An action on a request that is not over."""
        match action:
            case interface.Run():
                if exchange.place is Place.HELD:
                    exchange.place = Place.RUNNING
                    if not may_run_twice(exchange):
                        self._recent.add(exchange.name, self._clock.now)
                    self._memory.before_run(exchange, self._client.run)
            case interface.Cancel():
                if exchange.place is Place.RUNNING:
                    self._client.halt(exchange)
            case interface.PresumeLost():
                self._client.give_up(exchange)
            case interface.Reject(_, retry_after_s, no_retry_elsewhere, why):
                exchange.reject(retry_after_s, no_retry_elsewhere)
                self._count_rejection(exchange, why, retry_after_s)
                self._idempotency_keys.release(exchange)  # the controller releases none whose life is over
                self._answered(exchange)
            case interface.Fail():
                self._fail_request(exchange, FailureReason.GIVEN_UP)
                self._answered(exchange)
            case interface.ReserveKey(_, life):
                self._idempotency_keys.remember(exchange, self._clock.now, life + exchange.ahead)
                self._memory.remember(exchange)
            case interface.ReleaseKey():
                self._idempotency_keys.release(exchange)
                self._memory.release(exchange)
            case interface.AttachToOriginal():
                if exchange.place is Place.HELD:
                    self._join(exchange)
            case _:
                # A call, or the word to go on without: the protocol has neither, so
                # `configuration.placement_settings` tells the controller of no service below, and it asks for
                # neither.
                pairs = {"deed": type(action).__name__}
                log.error("deed that this protocol does not know", extra={"pairs": pairs})

    def _answered(self, exchange: Exchange) -> None:
        if exchange.place in (Place.HELD, Place.JOINED):
            self._over(exchange)

    def _join(self, exchange: Exchange) -> None:
        """It gets the result of the first when there is one, which may be now."""
        exchange.place, exchange.began = Place.JOINED, self._clock.now
        first = exchange.first
        if first is None or first.place is Place.OVER:
            self._end_join(exchange, first.result if first is not None else None)
        else:
            first.joined.append(exchange)

    def _end_join(self, exchange: Exchange, result: bytes | None) -> None:
        if exchange.place is not Place.JOINED:
            return
        if result is None:
            self._fail_request(exchange, FailureReason.NO_RESULT)
        else:
            exchange.complete(result)
        outcome = Outcome.ERROR if result is None else Outcome.SUCCEEDED
        self._events.append(interface.RunEnded(exchange.request, self._clock.now - exchange.began, outcome))
        self._over(exchange, result)

    def _over(self, exchange: Exchange, result: bytes | None = None) -> None:
        """Off this server, but for what the table of idempotency keys keeps; those that wait for it hear."""
        exchange.place = Place.OVER
        exchange.body, exchange.first = b"", None
        if self._exchanges.pop(exchange.request, None) is not None:
            self._names.discard(exchange.name)
        joined, exchange.joined = exchange.joined, []
        for one in joined:
            self._end_join(one, result)

    # -- leaving

    def refuse(self, exchange: Exchange) -> None:
        """One that never ran, nor will on a server that leaves: it may come back to whoever follows.

        But what ran is not rejected, in any other try either: what repeats it, or may, is failed.
        """
        request = exchange.request
        known = exchange.name in self._names or exchange.name in self._recent
        if request not in self._exchanges and known:  # the id of one that is open, or ran
            return self._fail_request(exchange, FailureReason.REPEATED_ID)
        if request.request_class.idempotency is Idempotency.KEYED and exchange.idempotency_key is not None:
            first = self._idempotency_keys.find(exchange.idempotency_key, request.arrived_at)
            if first not in (None, exchange) or not self._memory.ready or self._memory.may_not_run(exchange):
                return self._fail_request(exchange, FailureReason.STOPPING)
        exchange.reject(self._server_settings.max_retry_after_s, False)
        self._count_rejection(
            exchange, interface.RejectionReason.DRAINING, self._server_settings.max_retry_after_s
        )

    def refuse_early(self) -> None:
        """Those that wait for the start, which the server leaves without."""
        early, self._early = self._early, {}
        for exchange in early:
            self.refuse(exchange)

    def answer_all(self) -> None:
        """The process ends: whatever is open gets its answer, and the controller hears that nobody waits.

        A run is stopped where it may be; one that goes on ends without a word, as after any late answer.
        """
        for exchange in list(self._exchanges.values()):
            if exchange.closed:
                continue
            if exchange.place is Place.HELD and not exchange.request.started:
                self.refuse(exchange)
            else:
                self._fail_request(exchange, FailureReason.STOPPING)
            self.gone(exchange)
