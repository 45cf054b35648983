"""The program from start to exit: one object, its phases named states."""

from __future__ import annotations

import gc
import logging
import signal
from collections.abc import Callable
from dataclasses import replace
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
from . import configuration
from .configuration import FaultyKeyError, PlacementSettings, UnreadableFileError
from .counters import Counters
from .feature import Feature, NoFeature

if TYPE_CHECKING:
    from .feature_file import Features

SHARE_EVERY = 1.0  # how often it is looked how many connections features leave to routers
REPORT_EVERY = 0.25  # a server silent for 3 s is off the list, and one report in a few may be lost
CONNECT_MOST = 1.0  # one try to reach the interpreter
LAST_INSTANT = 0.03  # before the stop: whoever still has a connection open then is left behind
LAST_ANSWERS = 2 * LAST_INSTANT  # before the stop: what is open then is answered, whatever it is doing
LAST_ROUNDS = 0.002  # that are played after the last answers, however late these are
DOOR_AGAIN = 0.02  # until the door is tried again that can't be shut over those who wait before it
READ_AGAIN_FIRST, READ_AGAIN_TIMES = 0.05, 7  # rests doubling: the last try is 6.35 s after the first
KEPT_SHARE = 16  # results kept for repeats get one part in so many of the program's memory

log = logging.getLogger(__name__)


class Phase(Enum):
    """What the program is doing."""

    WAITING = "waiting"  # listening; the interpreter is not up yet
    SERVING = "serving"
    DRAINING = "draining"  # told to leave; serves on within the grace
    PARTING = "parting"  # listens no longer, routers were told farewell, what is open gets its answers
    ENDED = "ended"


class Refusing:
    """In front of the handler once nothing that comes may run: each try is refused as it is read."""

    def __init__(self, inner: RequestHandler, refuse: Callable[[Exchange], None]) -> None:
        self._inner, self.arrived = inner, refuse

    def cancelled(self, exchange: Exchange) -> None:
        self._inner.cancelled(exchange)


class Application:
    """All parts, and how they start and end."""

    def __init__(self, placement_settings: PlacementSettings, features: Features | None = None) -> None:
        self.phase = Phase.WAITING
        self._placement_settings = placement_settings
        self._counters = Counters()
        self._scheduler = scheduler = Scheduler(Clock())
        self._standing = ServerStatus()
        longest = max(
            request_class.timeout_s for request_class in placement_settings.server_settings.request_classes
        )
        idempotency_keys = IdempotencyTable(
            longest,
            placement_settings.server_settings.answer_slack_s,
            placement_settings.memory_bytes // KEPT_SHARE,
        )
        count = self._counters.count
        scheduler.on_fault = lambda: count("faults")
        self._feature: Feature = NoFeature()
        if features is not None and features.any:
            from .feature_registry import Parts

            self._feature = Parts(
                features,
                placement_settings,
                scheduler,
                lambda: self._dispatch.batches,
                self._never_begun,
                lambda: self._dispatch.recovery_finished(),
                self._fail,
                count,
                self._retune,
            )
        self._dispatch = Dispatcher(
            scheduler,
            placement_settings.server_settings,
            placement_settings.seed,
            placement_settings.gauge_places,
            self._standing,
            idempotency_keys,
            self._opened,
            self._feature.memory,
        )
        self._server = RequestListener(
            scheduler,
            placement_settings.request_classes,
            placement_settings.tenants,
            self._standing,
            self._feature.handler(self._dispatch),
            count,
            self._for_routers(),
            self._feature.observer,
            placement_settings.server_settings.clients,
        )
        if features is not None and features.any:
            scheduler.every(SHARE_EVERY, lambda: self._server.set_max_connections(self._for_routers()))
        self._post = DatagramSender(placement_settings.naming)
        # The last that may fail: a start that is tried again must not find its own door open.
        self._listener = Listener(
            scheduler,
            placement_settings.listen,
            self._server.has_capacity,
            self._server.accepted,
            self._server.evict_unused,
        )
        self._client = InterpreterClient(
            scheduler,
            self._linking(placement_settings.interpreter),
            self._dispatch,
            count,
            self._feature.last_notice,
        )
        self._dispatch.attach(self._server, self._client)
        self._stop_at = 0.0
        self._shut_door = False
        self._failed = False

    def prepare(self) -> None:
        """From here on signals are taken; what they ask for is done in `run`."""
        scheduler = self._scheduler
        scheduler.on_signal(signal.SIGTERM, self._leave)
        scheduler.on_signal(signal.SIGINT, self._leave)
        scheduler.on_signal(signal.SIGHUP, self._read_anew)
        scheduler.on_signal(signal.SIGUSR1, lambda: self._print("asked"))
        scheduler.after_round.append(self._dispatch.end_round)
        scheduler.after_round.append(self._feature.end_round)
        scheduler.after_round.append(self._look_for_end)

    def run(self) -> int:
        """Serve until told to leave, then leave in order; the process's exit code."""
        self._report()
        gc.collect()
        gc.freeze()
        log.info(
            "listening", extra={"pairs": {"name": self._placement_settings.name, "phase": self.phase.value}}
        )
        self._scheduler.run()
        self._feature.close(
            max(self._stop_at - self._scheduler.clock.read() - LAST_INSTANT / 2, LAST_INSTANT / 2)
        )
        self._server.flush()
        self._print("exit")
        return 1 if self._failed else 0

    # -- the phases

    def _enter(self, phase: Phase) -> None:
        log.info("phase", extra={"pairs": {"was": self.phase.value, "now": phase.value}})
        self.phase = phase

    def _opened(self) -> None:
        if self.phase is Phase.WAITING:
            self._enter(Phase.SERVING)
        elif self.phase is Phase.PARTING:  # told to leave before that: the controller has yet to hear of it
            self._standing.healthy = False
            self._dispatch.shutdown_notice(max(self._stop_at - self._scheduler.clock.now, 0.0))

    def _leave(self) -> None:
        """The notice to leave; a second one changes nothing."""
        if self.phase not in (Phase.WAITING, Phase.SERVING):
            return
        placement_settings, now = self._placement_settings, self._scheduler.clock.now
        self._stop_at = now + placement_settings.stop_after
        # First of all, so that no fault on the way can leave a server that is told to go without its end.
        self._scheduler.after(max(placement_settings.stop_after - LAST_ANSWERS, 0.0), self._answer_all)
        if self.phase is Phase.WAITING:
            # Nothing ran and nothing will: who waits for the start, here or still unread, is owed that word.
            self._feature.leaving()
            self._refuse()
            return self._part()
        # Past the grace nothing that comes may run: a closed door says so soonest.
        grace = min(
            placement_settings.server_settings.drain_grace_s, placement_settings.stop_after - 2 * LAST_INSTANT
        )
        self._scheduler.after(max(grace, 0.0), self._part)
        self._enter(Phase.DRAINING)
        self._dispatch.shutdown_notice(placement_settings.stop_after)
        self._send_report()
        self._feature.leaving()

    def _part(self) -> None:
        self._enter(Phase.PARTING)
        self._shut()
        self._feature.parting()

    def _shut(self) -> None:
        """Close the door; with a full table it stays open until those before it were let in."""
        self._shut_door = self._listener.close_if_queue_empty()
        self._scheduler.spawn(self._server.announce_close)  # to those just taken as well
        if not self._shut_door:
            self._scheduler.after(DOOR_AGAIN, self._shut)

    def _refuse(self) -> None:
        """From now on nothing that is read runs, and what waits for the start has waited for nothing."""
        if not isinstance(self._server.handler, Refusing):
            self._server.handler = Refusing(self._server.handler, self._dispatch.reject_draining)
        self._dispatch.reject_waiting_for_start()

    def _answer_all(self) -> None:
        """Nobody is left without an answer, and there is still time to take it.

        The controller has answered all by then, unless there is hardly a slack or a tick, the notice is too
        short for both, or what a server remembers is not known yet.
        """
        # A pause may end past the stop: who was let in only now is read in a round to come, and answered.
        left = max(self._stop_at - self._scheduler.clock.now - LAST_INSTANT, LAST_ROUNDS)
        self._scheduler.after(left, self._end)
        self._scheduler.after(left / 2, self._server.stop_reading)
        self._refuse()
        self._dispatch.finish_all()

    def _look_for_end(self) -> None:
        if self.phase is not Phase.PARTING or not self._shut_door:
            return
        if self._server.connections or self._dispatch.open_count:
            return
        if self._feature.settled():
            self._end()

    def _end(self) -> None:
        if self.phase is not Phase.ENDED:
            self._enter(Phase.ENDED)
            self._scheduler.stop()

    # -- a new configuration

    def _read_anew(self) -> None:
        """Take new addresses from the configuration, in any phase; a faulty one changes nothing."""
        self._feature.hangup()
        self._try_to_read_anew(READ_AGAIN_TIMES, READ_AGAIN_FIRST)

    def _try_to_read_anew(self, times_left: int, rest: float) -> None:
        """A file that can't be read now is tried again: it may name the only address that still serves."""
        try:
            told = configuration.placement_settings()
        except UnreadableFileError as trouble:
            pairs = {"reason": trouble, "tries_left": times_left}
            log.error("configuration not read", extra={"pairs": pairs})
            if times_left:
                self._scheduler.after(rest, lambda: self._try_to_read_anew(times_left - 1, 2 * rest))
        except FaultyKeyError as trouble:
            log.error("configuration not taken", extra={"pairs": {"reason": trouble}})
        else:
            self._take_anew(told)

    def _take_anew(self, told: PlacementSettings) -> None:
        held = self._placement_settings
        keys = list(configuration.differing(held.told, told.told))
        # Requests in flight name their request class and tenant: settings that rename them wait for a
        # restart.
        same_names = [*held.request_classes, *held.tenants] == [*told.request_classes, *told.tenants]
        if not same_names:
            told = replace(told, told={**told.told, "settings": held.told["settings"]})
        anew = configuration.TAKEN_ANEW
        taken = [key for key in keys if top(key) in anew and (same_names or top(key) != "settings")]
        waiting = [key for key in keys if key not in taken]
        pairs = {"taken": ",".join(taken), "need_restart": ",".join(waiting)}
        log.info("configuration read anew", extra={"pairs": pairs})
        self._placement_settings = replace(
            held,
            interpreter=told.interpreter,
            naming=told.naming,
            told={**held.told, **{key: told.told[key] for key in configuration.TAKEN_ANEW}},
        )
        if any(top(key) == "settings" for key in taken):
            self._placement_settings = replace(
                self._placement_settings, server_settings=told.server_settings, gauge_places=told.gauge_places
            )
            self._retune()
        if told.naming != held.naming:
            self._post.set_address(told.naming)
            self._send_report()
        if told.interpreter != held.interpreter:
            self._client.connect_to(self._linking(told.interpreter))
        self._counters.count("configurations_taken")

    def _retune(self) -> None:
        """The settings that were read, as features would have them now, for requests from now on."""
        placement_settings = self._placement_settings
        server_settings = self._feature.server_settings(placement_settings.server_settings)
        self._dispatch.retune(server_settings, placement_settings.gauge_places)
        self._server.expect_clients(server_settings.clients)
        # The dicts that the server reads names by; their order is that of the settings.
        placement_settings.request_classes.update(
            zip(list(placement_settings.request_classes), server_settings.request_classes, strict=True)
        )
        placement_settings.tenants.update(
            zip(list(placement_settings.tenants), server_settings.tenants, strict=True)
        )

    def _linking(self, address: Address) -> Callable[[], Stream | None]:
        def linked() -> Stream | None:
            """None yet, while a feature says that the server must not be up."""
            if self._scheduler.clock.now < self._feature.up_at:
                return None
            return connect(self._scheduler, address, CONNECT_MOST)

        return linked

    def _fail(self, reason: str) -> None:
        """A feature can't start, and is set not to go on without."""
        log.error("not started", extra={"pairs": {"reason": reason}})
        self._failed = True
        self._listener.close()
        self._refuse()
        self._end()

    def _never_begun(self, exchange: Exchange) -> None:
        """A run that a feature held back and nobody waits for any more."""
        self._dispatch.run_ended(exchange, Outcome.NEVER_STARTED, 0.0, b"")

    # -- small duties

    def _for_routers(self) -> int:
        """How many connections routers may have beside what features need by now."""
        most = self._placement_settings.connections_most
        return max(most - self._feature.sockets, most // 2)

    def _report(self) -> None:
        """To the name service, well within the time after which it takes a silent server off its list.

        Where the word itself changes nothing, a server stays on the list as long as it reports: so one that
        leaves says so at once and once more, and is silent from then on.
        """
        if self.phase in (Phase.WAITING, Phase.SERVING):  # first, so that no fault ends the reports
            self._scheduler.after(REPORT_EVERY, self._report)
        self._send_report()

    def _send_report(self) -> None:
        """Says yes while it serves, also without its interpreter for as long as any request may wait for it.

        Past that it says no, to health checks as well: guards against a server that is up and serves nobody,
        whose every request fails at its deadline elsewhere than where it would be served. May keep away, for
        as long as a report takes, what comes as the interpreter returns.
        """
        longest = max(
            request_class.timeout_s
            for request_class in self._placement_settings.server_settings.request_classes
        )
        self._standing.interpreter_available = self._client.disconnected_for_s <= longest
        word = naming.encode_report(
            self._placement_settings.name,
            self.phase is Phase.SERVING and self._standing.interpreter_available,
        )
        self._counters.count("reports_sent" if self._post.send(word) else "reports_failed")

    def _print(self, occasion: str) -> None:
        self._counters.print(
            occasion,
            phase=self.phase.value,
            open_requests=self._dispatch.open_count,
            open_connections=len(self._server.connections),
            said=self._standing.advertised,
            **self._dispatch.outcomes.rejections,
            **self._dispatch.outcomes.failures,
            **self._feature.gauges(),
        )


def top(key: str) -> str:
    """The first part of a key's path: `settings` of `settings.extra.halt`."""
    return key.split(".", 1)[0]
