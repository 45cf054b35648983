"""Replication in the server: a claim on a majority before each keyed run, its outcome there after it.

Decides nothing about copies. A run is held until its claim is won. Where another server has the idempotency
key, the try leaves this server's table and cores at once; its answer is given from here, from the outcome's
bytes, when there is one, and in an error when its time is up: it may have run, so it is not rejected. Where
no majority is to be had, it never begins and is rejected; the next ones are at the door, before they are
held.

Peers are spoken with over links that may lose anything; the replica repeats.
"""

from __future__ import annotations

import logging
import random
import time
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Protocol

from ..forwarding.errors import SendError
from ..membership.view import View
from ..overload.interface import Client, Idempotency, Outcome, Request, RequestClass
from ..serving.delayed_answers import DUE_SPARE
from ..serving.exchange import Caller, Exchange, Place, RequestObserver, digest
from ..serving.hooks import Memory
from ..serving.idempotency_keys import IdempotencyTable
from ..transport.scheduler import Scheduler
from ..transport.wakeup import Wake
from . import codec
from .entries import Entry, State
from .messages import (
    Answer,
    Claim,
    Effect,
    Event,
    Finish,
    Free,
    Got,
    Message,
    Note,
    Piece,
    Read,
    Send,
    Stored,
    Tick,
    Viewed,
    Write,
)
from .placement import WEIGHT_MOST, Site
from .plan import ReplicationPlan
from .replica import LABELS, UNPLACED, Replica

KIND = "replica"
WITHIN = 1.0  # seconds after which a frame is worth nothing: what matters is sent again
PIECE_WITHIN = 3.0
COME_BACK = 0.5  # what a rejected request is told, where no majority is to be had
POLL_FIRST, POLL_LAST = 0.02, 0.25  # between looks for another's outcome, doubling
GONE = "gone/"  # the facts of the view by which the fleet says that a member never comes back
HAND_OVER = 0.5  # seconds that one which leaves stays, for others to take what it holds
TIMES_KEPT = 50
DOUBTS_MOST = 4096  # keyed requests that may have run on a peer, remembered while they come back
LOUD = ("view", "caught up", "two outcomes")

log = logging.getLogger(__name__)
Run = Callable[[Exchange], None]


class Wires(Protocol):
    """Where frames go (forwarding's links)."""

    def send(self, peer_name: str, message_type: str, payload: bytes, *, expires_in_s: float) -> None: ...
    def register_handler(
        self, message_type: str, handler: Callable[[str, bytes], None], accept_departed: bool = False
    ) -> None: ...


class Asked:
    """A keyed run that waits for its claim."""

    __slots__ = ("began", "exchange", "run")

    def __init__(self, exchange: Exchange, run: Run, began: float) -> None:
        self.exchange, self.run, self.began = exchange, run, began


class Waiting:
    """A try, and those that joined it here, that wait for the outcome of another server's run."""

    __slots__ = ("free", "group", "key", "rest", "those")

    def __init__(self, key: bytes, group: bytes, those: list[tuple[Exchange, Caller]]) -> None:
        self.key, self.group, self.those, self.rest = key, group, those, POLL_FIRST
        self.free = 0  # times that nobody was seen to have it


class Held:
    """An answer that waits for its outcome to be on a majority."""

    __slots__ = ("caller", "exchange", "result")

    def __init__(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        self.exchange, self.result, self.caller = exchange, result, caller


class Keeper:
    """Memory and observer of one server's keyed runs, in front of those given as `inner`."""

    def __init__(
        self,
        scheduler: Scheduler,
        links: Wires,
        plan: ReplicationPlan,
        name: str,
        birth: int,
        memory: Memory,
        observer: RequestObserver,
        never_begun: Run,
        count: Callable[[str], None],
        seed: int = 0,
        slack: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
        kind: type[Replica] = Replica,
    ) -> None:
        self._scheduler, self._links, self._plan, self._clock = scheduler, links, plan, clock
        self._memory, self._observer, self._never_begun = memory, observer, never_begun
        self._count, self._slack = count, slack
        chance = random.Random(f"{seed}-{name}-{birth}")
        self.replica = kind(name, birth, plan.settings, chance, clock())
        self._shape = plan.settings.slots, plan.settings.copies
        # Set by who binds sessions. `may_begin`: whether a claim asked for then may, now that it is won.
        self.group_of: Callable[[Exchange], tuple[bytes, int]] = _by_idempotency_key
        self.may_begin: Callable[[Exchange, float], bool] = _any_time
        self.fenced: Callable[[Exchange], None] = _nobody
        self._refs = 0
        self._asked: dict[int, Asked] = {}
        self._claims: dict[bytes, Exchange] = {}  # won here, by idempotency key, until their ends
        self._waits: dict[int, Waiting] = {}
        self._waiting = 0
        self._unstored: dict[bytes, list[Held]] = {}  # outcomes on their way, and the answers that wait
        self._others: dict[int, Callable[[Answer], None]] = {}  # who asked for a read or a write
        self._doubted: dict[bytes, None] = {}
        self._times: deque[float] = deque(maxlen=TIMES_KEPT)
        self._wake = Wake(scheduler, clock, self._ring)
        self._open = True
        self._left_at = -inf
        links.register_handler(
            KIND, self._heard, accept_departed=True
        )  # one that leaves still says what its runs became

    # -- what the dispatch asks and tells

    @property
    def ready(self) -> bool:
        return self._memory.ready

    def recalled(self, born: float, idempotency_keys: IdempotencyTable) -> list[tuple[Request, float]]:
        return self._memory.recalled(born, idempotency_keys)

    def adopted(self) -> tuple[list[Exchange], int]:
        return self._memory.adopted()

    def may_not_run(self, exchange: Exchange) -> bool:
        return self._memory.may_not_run(exchange)

    def prepare(self, exchange: Exchange) -> None:
        """What a claim will take, and whether there may be one: the controller's to weigh."""
        self._memory.prepare(exchange)
        idempotency_key, request = exchange.idempotency_key, exchange.request
        if idempotency_key is None or exchange.first is not None:
            return
        group, _ = self.group_of(exchange)
        if not self.reachable(group):
            if exchange.name not in self._doubted and not self.replica.may_have_run(idempotency_key, group):
                request.key_capacity_in_s = max(request.key_capacity_in_s, COME_BACK)
                self._count("replication_denied")
        elif self._times:
            ranked = sorted(self._times)
            request.extra_wait_s += ranked[int(0.9 * len(ranked))]

    def reachable(self, group: bytes) -> bool:
        return self.replica.reachable(group, self._clock(), self._plan.reject_after)

    def remember(self, exchange: Exchange) -> None:
        self._memory.remember(exchange)

    def release(self, exchange: Exchange) -> None:
        self._memory.release(exchange)

    def before_run(self, exchange: Exchange, run: Run) -> None:
        """Hold the run until its claim is won."""
        idempotency_key, request = exchange.idempotency_key, exchange.request
        life = (
            request.arrived_at
            + request.request_class.idempotency_window_s
            + self._slack
            - self._scheduler.clock.now
        )
        if idempotency_key is None or request.request_class.idempotency is not Idempotency.KEYED or life <= 0:
            return self._memory.before_run(exchange, run)
        self._refs += 1
        self._asked[self._refs] = Asked(exchange, run, self._clock())
        same = digest(exchange.request_class, exchange.body)
        group, under = self.group_of(exchange)
        self._step(Claim(self._refs, idempotency_key, group, life, same, under))

    def ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        """A run is over, or never began."""
        idempotency_key = exchange.idempotency_key
        if idempotency_key is not None and self._claims.get(idempotency_key) is exchange:
            del self._claims[idempotency_key]
            if outcome is Outcome.NEVER_STARTED:
                self._step(Free(idempotency_key))
            else:
                if idempotency_key in self.replica.owns:  # else its life is over, and nobody else keeps it
                    self._unstored[idempotency_key] = []
                worked = outcome is Outcome.SUCCEEDED
                self._step(
                    Finish(idempotency_key, "worked" if worked else "failed", result if worked else b"")
                )
        self._memory.ended(exchange, outcome, result)

    # -- the observer: answers wait for outcomes

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        held = self._unstored.get(exchange.idempotency_key) if exchange.idempotency_key is not None else None
        if held is None:
            return self._observer.completed(exchange, result, caller)
        one, now = Held(exchange, result, caller), self._scheduler.clock.now
        held.append(one)
        wait = min(self._plan.hold_most, max(exchange.request.deadline - DUE_SPARE - now, 0.0))
        self._scheduler.after(wait, lambda: self._let_go(held, one))

    def _let_go(self, held: list[Held], one: Held) -> None:
        """Its bound has passed: rule 1 comes before any feature."""
        if one in held:
            held.remove(one)
            self._count("replication_answers_ahead")
            self._observer.completed(one.exchange, one.result, one.caller)

    def rejected(self, exchange: Exchange) -> None:
        self._observer.rejected(exchange)

    def failed(self, exchange: Exchange) -> None:
        self._observer.failed(exchange)

    def gone(self, exchange: Exchange) -> None:
        self._observer.gone(exchange)

    # -- what a claim came to

    def _answered(self, answer: Answer) -> None:
        other = self._others.pop(answer.ref, None)
        if other is not None:
            return other(answer)
        waiting = self._waits.pop(answer.ref, None)
        if waiting is not None:
            return self._looked(waiting, answer)
        asked = self._asked.pop(answer.ref, None)
        if asked is None:
            return
        exchange, entry = asked.exchange, answer.entry
        self._count(f"replication_{answer.verdict}")
        idempotency_key = exchange.idempotency_key
        assert idempotency_key is not None
        if answer.verdict == "won":
            self._times.append(self._clock() - asked.began)
            if exchange.place is not Place.RUNNING or (exchange.closed and not exchange.joined):
                self._step(Free(idempotency_key))  # nobody waits for it any more
                return self._never_ran(exchange)
            if not self.may_begin(exchange, asked.began):
                self._count("replication_late")
                self._step(Free(idempotency_key))
                return self._end(exchange, lambda one: one.reject(COME_BACK, False))
            self._claims[idempotency_key] = exchange
            return self._memory.before_run(exchange, asked.run)
        if answer.verdict in ("known", "running"):
            if entry.digest and entry.digest != digest(exchange.request_class, exchange.body):
                self._count("replication_differs")
                return self._end(exchange, lambda one: one.fail())
            return self._elsewhere(exchange, idempotency_key, entry)
        if answer.verdict == "fenced":
            self.fenced(exchange)
        if exchange.name in self._doubted:
            return self._end(exchange, lambda one: one.fail())
        self._count("replication_denied_late")
        self._end(exchange, lambda one: one.reject(COME_BACK, False))

    def _end(self, exchange: Exchange, how: Callable[[Exchange], None]) -> None:
        """It never runs here: it and those that joined it get their answers, and it leaves the table."""
        for one in [exchange, *exchange.joined]:
            how(one)
        self._never_ran(exchange)

    def _never_ran(self, exchange: Exchange) -> None:
        if exchange.place is Place.RUNNING:
            self._never_begun(exchange)

    def _elsewhere(self, exchange: Exchange, idempotency_key: bytes, entry: Entry) -> None:
        """Another server has its idempotency key. The try is no longer the controller's: waiting takes
        no core.
        """
        due = exchange.request.deadline - DUE_SPARE
        those = []
        for one in [exchange, *exchange.joined]:
            caller = one.detach()
            if caller is not None:
                those.append((one, caller))
        waiting = Waiting(idempotency_key, self.group_of(exchange)[0], those)
        self._waiting += len(those)
        self._never_ran(exchange)
        if entry.state is State.DONE:
            return self._tell(waiting, entry)
        left = max(due - self._scheduler.clock.now, 0.0)
        self._scheduler.after(left, lambda: self._tell(waiting, None))
        self._scheduler.after(min(POLL_FIRST, left), lambda: self._look(waiting))

    def _look(self, waiting: Waiting) -> None:
        """Whether there is an outcome by now."""
        if not waiting.those or not self._open:
            return
        self._refs += 1
        self._waits[self._refs] = waiting
        self._step(Read(self._refs, LABELS, waiting.key, waiting.group))

    def _looked(self, waiting: Waiting, answer: Answer) -> None:
        if answer.verdict == "known":
            return self._tell(waiting, answer.entry)
        if answer.verdict == "read" and answer.entry.state in (State.FREE, State.FREED):
            waiting.free += 1
            if waiting.free > 1 or answer.entry.state is State.FREED:
                return self._tell_free(waiting)
        waiting.rest = min(2 * waiting.rest, POLL_LAST)
        self._scheduler.after(waiting.rest, lambda: self._look(waiting))

    def _tell_free(self, waiting: Waiting) -> None:
        """Whoever had it let it go unrun: it may come again, and then it runs."""
        those, waiting.those = waiting.those, []
        self._waiting -= len(those)
        for exchange, caller in those:
            self._count("replication_let_go")
            exchange.observer.rejected(exchange)
            caller.rejected(exchange, POLL_LAST, False)

    def _tell(self, waiting: Waiting, entry: Entry | None) -> None:
        """Their answers: the outcome's very bytes, or, without one when their time is up, an error."""
        those, waiting.those = waiting.those, []
        self._waiting -= len(those)
        outcome = entry.outcomes[0] if entry is not None else None
        if outcome is None and those:
            self._count("replication_unknown")
        for exchange, caller in those:
            if outcome is not None and outcome.how == "worked":
                first = self._stand_in(exchange)
                exchange.place, exchange.first = Place.JOINED, first
                exchange.observer.completed(exchange, outcome.result, caller)
                exchange.place, exchange.first = Place.OVER, None
                self._count("replication_answered_from_outcome")
            else:
                exchange.observer.failed(exchange)
                caller.failed(exchange)

    def _stand_in(self, exchange: Exchange) -> Exchange:
        """For the run elsewhere, which is billed there."""
        request = Request(exchange.request.request_class, Client(), None, exchange.request.arrived_at, 0.0)
        first = Exchange(
            exchange.idempotency_key or b"",
            exchange.request_class,
            b"",
            0,
            exchange.idempotency_key,
            request,
            None,
        )
        first.billed = True
        return first

    # -- forwarding asks: a keyed request may have run on a peer

    def may_run_again(self, exchange: Exchange, peer: str, told: Callable[[bool], None]) -> None:
        """Its claim says, here or wherever it comes to: it is run once, or answered from the outcome. Without
        a majority nothing can say it, and it ends in an error.
        """
        idempotency_key, request = exchange.idempotency_key, exchange.request
        left = request.arrived_at + request.request_class.idempotency_window_s - self._scheduler.clock.now
        keyed = request.request_class.idempotency is Idempotency.KEYED
        if (
            idempotency_key is None
            or not keyed
            or left <= 0
            or not self.reachable(self.group_of(exchange)[0])
        ):
            return told(False)
        if len(self._doubted) >= DOUBTS_MOST:
            del self._doubted[next(iter(self._doubted))]
        self._doubted[exchange.name] = None
        told(True)

    # -- other collections

    def write(
        self,
        collection: str,
        key: bytes,
        expect: int,
        value: bytes,
        life: float,
        told: Callable[[Answer], None],
        floor: int = 0,
    ) -> None:
        """Set a binding or a document where its number is `expect`; `told` hears won, stale, or why not. The
        new number is above that, and `floor` at least.
        """
        self._refs += 1
        self._others[self._refs] = told
        self._step(Write(self._refs, collection, key, expect, value, life, floor))

    def read(self, collection: str, key: bytes, told: Callable[[Answer], None]) -> None:
        """What a majority of the holders has."""
        self._refs += 1
        self._others[self._refs] = told
        self._step(Read(self._refs, collection, key))

    # -- events in, effects out

    def view(self, view: View) -> None:
        sites = tuple(
            Site(one.name, one.incarnation, one.zone, _weight(one.metadata_value("weight")))
            for one in view.members
        )
        gone = tuple(
            (fact.key.removeprefix(GONE), int(fact.value))
            for fact in view.facts
            if fact.key.startswith(GONE) and fact.value.isdigit()
        )
        self._step(Viewed(view.epoch, sites, gone))

    def _heard(self, sender: str, payload: bytes) -> None:
        try:
            message = codec.decode(payload, *self._shape)
        except codec.BadPacketError as trouble:
            self._count("replication_bad")
            log.warning("packet dropped", extra={"pairs": {"from": sender, "reason": trouble}})
            return
        self._step(Got(sender, message))

    def _step(self, event: Event) -> None:
        if not self._open:
            return
        for effect in self.replica.step(self._clock(), event):
            self._carry_out(effect)
        self._wake.set(self.replica.wake_at)

    def _ring(self) -> None:
        self._step(Tick())

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(to, message):
                self._send(to, message)
            case Answer():
                self._answered(effect)
            case Stored(key):
                held = self._unstored.pop(key, [])
                those, held[:] = held[:], []  # their bounds find nothing more to let go
                for one in those:
                    self._observer.completed(one.exchange, one.result, one.caller)
            case Note(what, fields):
                if what == UNPLACED:
                    self._unstored.pop(bytes.fromhex(str(fields["key"])), None)
                level = logging.ERROR if what == "two outcomes" else logging.INFO
                log.log(level if what in LOUD else logging.WARNING, what, extra={"pairs": fields})

    def _send(self, to: str, message: Message) -> None:
        within = PIECE_WITHIN if isinstance(message, Piece) else WITHIN
        data = codec.encode(message, *self._shape)
        self._count("replication_bytes_out_k" if len(data) > 1024 else "replication_frames_out")
        try:
            self._links.send(to, KIND, data, expires_in_s=within)
        except SendError:
            self._count("replication_unsent")

    # -- the end

    def leaving(self) -> None:
        """The fleet is told: those who come after it take what it holds before it ends."""
        self._left_at = self._clock()

    def settled(self) -> bool:
        if self._clock() < self._left_at + HAND_OVER:
            return False
        return not self._unstored and not self._waiting and not self._asked

    def close(self) -> None:
        """The last instant: answers that wait leave."""
        for held in self._unstored.values():
            those, held[:] = held[:], []
            for one in those:
                self._observer.completed(one.exchange, one.result, one.caller)
        self._unstored.clear()
        self._open = False

    def gauges(self) -> dict[str, object]:
        told = self.replica.gauges()
        if self._times:
            ranked = sorted(self._times)
            told["replication_claim_ms"] = round(1000 * ranked[len(ranked) // 2], 2)
        told["replication_waiting"] = self._waiting
        told["replication_held"] = sum(len(held) for held in self._unstored.values())
        return told


def _by_idempotency_key(exchange: Exchange) -> tuple[bytes, int]:
    """An idempotency key's group, and the number of its session's binding: without sessions, itself and
    none.
    """
    return exchange.idempotency_key or b"", 0


def _any_time(exchange: Exchange, asked: float) -> bool:
    return True


def _nobody(exchange: Exchange) -> None: ...


def _weight(text: str) -> float:
    """A member says how much of the keys it takes; 1 if it says nothing that can be read."""
    try:
        weight = float(text)
    except ValueError:
        return 1.0
    return min(weight, WEIGHT_MOST) if weight >= 0 else 1.0


def longest(request_classes: dict[bytes, RequestClass], slack: float) -> float:
    """The longest life of an idempotency key here, and what a wake may add."""
    windows = [
        one.idempotency_window_s for one in request_classes.values() if one.idempotency is Idempotency.KEYED
    ]
    return max(windows, default=1.0) + slack + 1.0
