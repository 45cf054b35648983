"""Sessions in the server: a handler in front of the forward path, and what the decisions need round them.

Decides nothing. Each request with a session is held until its owner is known, mostly at once; then it is
served here, passed on, or rejected. Bindings are read and written through replication, whose claims go by the
binding's number. Servers speak of sessions in frames of their own over the links, which may lose any.
"""

from __future__ import annotations

import contextlib
import logging
import time
from collections import Counter
from collections.abc import Callable

from ..forwarding.errors import SendError
from ..forwarding.peer_connections import PeerConnections
from ..forwarding.service import ForwardedCaller, ForwardingService
from ..membership.service import MembershipService
from ..membership.view import View
from ..overload.interface import Idempotency, Outcome, Request, Tenant
from ..replication.messages import Answer
from ..replication.replica import SESSIONS
from ..replication.service import Keeper
from ..serving.exchange import Caller, Exchange, RequestObserver
from ..serving.hooks import Memory
from ..serving.idempotency_keys import IdempotencyTable
from ..serving.listener import RequestHandler
from ..transport.scheduler import Scheduler
from ..transport.wakeup import Wake
from . import codec
from .events import (
    Active,
    Answered,
    Back,
    Came,
    Drain,
    Effect,
    Event,
    Fenced,
    Got,
    Here,
    Loads,
    Note,
    Over,
    Pass,
    Read,
    Reject,
    Send,
    Tick,
    Told,
    Unreached,
    Verdict,
    Viewed,
    Write,
)
from .keys import Carried, key_of
from .placement import Load
from .plan import AffinityPlan
from .sessions import Sessions

KIND = "session"
WITHIN = 1.0  # seconds after which a frame is worth nothing: each step of a handover is repeated
LOADS_EVERY = 0.5
ACTIVE = "policy/active"  # the fact of the view that names the active version, as VERSION or VERSION:...
LEAVE_SHARE = 0.9  # of the grace, after which the fleet is told
LOUD = ("moved", "passed as claims")
VERDICTS = {"won": Verdict.WON, "read": Verdict.WON, "stale": Verdict.LOST}

log = logging.getLogger(__name__)
Run = Callable[[Exchange], None]


class Open:
    """A request that only its session's owner may run, told to run here."""

    __slots__ = ("begun", "key", "number", "ref")

    def __init__(self, ref: int, key: str, number: int) -> None:
        self.ref, self.key, self.number, self.begun = ref, key, number, False


class Affinity:
    """One server's sessions: a handler, and memory and observer in front of those given as `inner`.

    `warmth` tells how warm this server is, from 0 to 1; `capacity` what it can carry, in any one unit.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        plan: AffinityPlan,
        fleet: MembershipService,
        links: PeerConnections,
        forward: ForwardingService,
        keeper: Keeper,
        memory: Memory,
        observer: RequestObserver,
        tenants: dict[bytes, Tenant],
        warmth: Callable[[], float],
        capacity: float,
        grace: float,
        count: Callable[[str], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler, self._plan, self._fleet, self._links = scheduler, plan, fleet, links
        self._forward, self._keeper, self._clock, self._count = forward, keeper, clock, count
        self._memory, self._observer, self._tenants = memory, observer, tenants
        self._tenant_names: dict[Tenant, str] = {}
        self._warmth, self._capacity, self._grace = warmth, capacity, grace
        self.flow_of: Callable[[Exchange], str] = lambda exchange: exchange.request_class.decode(
            "utf-8", "replace"
        )
        self.sessions = Sessions(fleet.node_name, fleet.node.local_member.incarnation, plan.settings, clock())
        self.sessions.step(clock(), Active(1))
        self._inner: RequestHandler | None = None
        self._refs = 0
        self._held: dict[int, Exchange] = {}  # requests that wait for a decision
        self._open: dict[Exchange, Open] = {}
        self._loads: dict[str, Load] = {}
        self._leaving = self._left = False
        self._wake = Wake(scheduler, clock, self._ring)
        self._closed = False
        self.counts: Counter[str] = Counter()
        keeper.group_of, keeper.may_begin, keeper.fenced = self._group_of, self._may_begin, self._fenced
        keeper.replica.binding_life = max(keeper.replica.binding_life, plan.settings.life)
        forward.forwarded_handler, forward.returned_handler = self, self._home
        links.register_handler(KIND, self._heard)
        fleet.on_view(self._viewed)
        scheduler.after(LOADS_EVERY, self._tell_loads)

    # -- the handler

    def handler(self, inner: RequestHandler) -> RequestHandler:
        self._inner = inner
        return self

    def arrived(self, exchange: Exchange) -> None:
        guest = exchange.caller if isinstance(exchange.caller, ForwardedCaller) else None
        if guest is None:
            exchange.session = self._session(exchange) or ""
            if not exchange.session:
                self.counts["without_session"] += 1
                return self._handler.arrived(exchange)
            if self._forward.is_forwarded(exchange.name):
                return exchange.fail()  # the name of an open request: as the dispatch would
        elif not exchange.session:
            return self._forward.serve(exchange)
        came = self._came(exchange, guest.sender if guest is not None else "")
        try:
            self._step(came)
        except Exception:
            # A fault in who decides must not cost the request: what may run twice can be served where it
            # came.
            self.counts["faults"] += 1
            log.exception("session not found, for a fault")
            if self._held.pop(came.ref, None) is not None:
                if came.strict:
                    exchange.reject(self._plan.settings.retry_after_s, False)
                else:
                    self._forward.serve(exchange)

    def gone(self, exchange: Exchange) -> None:
        """Nobody waits any more; one that is still held is let go of when it is decided on."""
        if exchange not in self._held.values():
            self._handler.gone(exchange)

    @property
    def _handler(self) -> RequestHandler:
        assert self._inner is not None
        return self._inner

    def _came(self, exchange: Exchange, sender: str, back: bool = False) -> Came:
        self._refs += 1
        self._held[self._refs] = exchange
        flow = self.flow_of(exchange)
        return Came(
            self._refs, exchange.session, exchange.request.request_class.idempotency, flow, sender, back
        )

    def _home(self, exchange: Exchange, to: str, tried: frozenset[str]) -> None:
        """One of ours is back from `to` and may run again."""
        self._step(Unreached(self._came(exchange, "", len(tried) > 1), to))

    def _session(self, exchange: Exchange) -> str | None:
        request = exchange.request
        tenant = ""
        if request.tenant is not None:
            if request.tenant not in self._tenant_names:  # new settings make new objects
                names = {one: name.decode("utf-8", "replace") for name, one in self._tenants.items()}
                self._tenant_names = names
            tenant = self._tenant_names.get(request.tenant, "")
        idempotency_key = (
            exchange.idempotency_key if request.request_class.idempotency is Idempotency.KEYED else None
        )
        carried = Carried(
            tenant,
            request.subject or "",
            request.client.name.decode("utf-8", "replace"),
            (idempotency_key or b"").decode("utf-8", "replace"),
        )
        return key_of(self._plan.fields, carried)

    # -- memory and observer: what is open of a session

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
        self._memory.prepare(exchange)

    def remember(self, exchange: Exchange) -> None:
        self._memory.remember(exchange)

    def release(self, exchange: Exchange) -> None:
        self._memory.release(exchange)

    def before_run(self, exchange: Exchange, run: Run) -> None:
        if (one := self._open.get(exchange)) is not None:
            one.begun = True
        self._memory.before_run(exchange, run)

    def ended(self, exchange: Exchange, outcome: Outcome, result: bytes) -> None:
        self._memory.ended(exchange, outcome, result)
        self._over(exchange)

    def completed(self, exchange: Exchange, result: bytes, caller: Caller) -> None:
        self._answered(exchange)
        self._observer.completed(exchange, result, caller)

    def rejected(self, exchange: Exchange) -> None:
        self._answered(exchange)
        self._observer.rejected(exchange)

    def failed(self, exchange: Exchange) -> None:
        self._answered(exchange)
        self._observer.failed(exchange)

    def gone_by(self, exchange: Exchange) -> None:
        self._answered(exchange)
        self._observer.gone(exchange)

    def _answered(self, exchange: Exchange) -> None:
        """Its answer is given; a run of it that has begun counts until it ends."""
        one = self._open.get(exchange)
        if one is not None and not one.begun:
            self._over(exchange)

    def _over(self, exchange: Exchange) -> None:
        if (one := self._open.pop(exchange, None)) is not None:
            self._step(Over(one.ref, one.key))

    # -- what replication asks

    def _group_of(self, exchange: Exchange) -> tuple[bytes, int]:
        """IdempotencyTable of a session are held together, and claimed under its number."""
        if not exchange.session:
            return exchange.idempotency_key or b"", 0
        one = self._open.get(exchange)
        return exchange.session.encode(), one.number if one is not None else 0

    def _may_begin(self, exchange: Exchange, asked: float) -> bool:
        one = self._open.get(exchange)
        return one is None or self.sessions.may_begin(self._clock(), one.key, one.number, asked)

    def _fenced(self, exchange: Exchange) -> None:
        if (one := self._open.get(exchange)) is not None:
            self._step(Fenced(one.key, one.number))

    # -- what the fleet says

    def activate(self, active: Active) -> None:
        """A policy version is in force, or what servers can run under it has changed."""
        self._step(active)

    def _viewed(self, view: View) -> None:
        self._step(Viewed(view))
        self._loads = {name: load for name, load in self._loads.items() if name in view}
        version = view.fact(ACTIVE).partition(":")[0]
        if version.isdigit() and int(version) > self.sessions.version:
            self._step(Active(int(version)))

    def _heard(self, sender: str, payload: bytes) -> None:
        try:
            message = codec.decode(payload)
        except codec.BadPacketError as trouble:
            self.counts["packets_bad"] += 1
            log.warning("packet dropped", extra={"pairs": {"from": sender, "reason": trouble}})
            return
        if isinstance(message, Load):
            self._loads[sender] = message
            return
        self._step(Got(sender, message))

    def _tell_loads(self) -> None:
        """Each to each; a lost one is made good by the next."""
        if self._closed:
            return
        capacity = 0.0 if self._leaving else self._capacity
        mine = Load(len(self.sessions.owned), min(max(self._warmth(), 0.01), 1.0), capacity)
        self._loads[self._fleet.node_name] = mine
        data = codec.encode(mine)
        for name in self._fleet.view.names if self._fleet.view is not None else ():
            if name != self._fleet.node_name:
                with contextlib.suppress(SendError):
                    self._links.send(name, KIND, data, expires_in_s=LOADS_EVERY)
        self._step(Loads(self._loads))
        self._scheduler.after(LOADS_EVERY, self._tell_loads)

    # -- events in, effects out

    def _step(self, event: Event) -> None:
        if self._closed:
            return
        for effect in self.sessions.step(self._clock(), event):
            self._carry_out(effect)
        self._wake.set(self.sessions.wake_at)

    def _ring(self) -> None:
        self._step(Tick())

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Here(ref, number):
                self._serve(ref, number)
            case Pass(ref, to):
                self._pass(ref, to)
            case Back(ref, sender, binding):
                exchange = self._held.pop(ref)
                with contextlib.suppress(SendError):  # arrives before the request
                    self._links.send(sender, KIND, codec.encode(Told(binding)), expires_in_s=WITHIN)
                self._forward.return_to_origin(exchange)
            case Reject(ref, retry_after_s, _):
                exchange = self._held.pop(ref)
                exchange.reject(retry_after_s, False)
            case Write(ref, key, expect, value, life):
                self._keeper.write(
                    SESSIONS,
                    key.encode(),
                    expect,
                    codec.pack(value),
                    life,
                    lambda answer: self._register(ref, answer),
                    value.number,
                )
            case Read(ref, key):
                self._keeper.read(SESSIONS, key.encode(), lambda answer: self._register(ref, answer))
            case Send(to, message):
                try:
                    self._links.send(to, KIND, codec.encode(message), expires_in_s=WITHIN)
                except SendError:
                    self.counts["unsent"] += 1
            case Note(what, fields):
                log.log(logging.INFO if what in LOUD else logging.WARNING, what, extra={"pairs": fields})

    def _register(self, ref: int, answer: Answer) -> None:
        entry, stands = answer.entry, None
        if entry.value:
            try:
                stands = codec.unpack(entry.value, entry.number)
            except codec.BadPacketError as trouble:
                self.counts["bindings_bad"] += 1
                log.warning("binding dropped", extra={"pairs": {"reason": trouble}})
                return self._step(Answered(ref, Verdict.UNREACHABLE))
        self._step(Answered(ref, VERDICTS.get(answer.verdict, Verdict.UNREACHABLE), stands))

    def _serve(self, ref: int, number: int) -> None:
        exchange = self._held.pop(ref)
        if exchange.closed:  # nobody waits any more
            return self._step(Over(ref, exchange.session))
        if number and exchange.request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            self._open[exchange] = Open(ref, exchange.session, number)
        self._forward.serve(exchange)

    def _pass(self, ref: int, to: str) -> None:
        exchange = self._held.pop(ref)
        if exchange.closed:
            return
        if not self._forward.forward_to(exchange, to):
            self._home(exchange, to, frozenset((to,)))

    # -- the end

    def leaving(self) -> None:
        """The notice to leave: sessions are handed over, and the fleet is told late in the grace. Until then
        this server is in the view, and what still comes here goes on to the new owners.
        """
        self._leaving = True
        self._tell_loads_once()
        self._step(Drain(self._grace))
        self._scheduler.after(self._grace * LEAVE_SHARE, self._leave)

    def _tell_loads_once(self) -> None:
        data = codec.encode(Load(len(self.sessions.owned), 1.0, 0.0))
        for name in self._fleet.view.names if self._fleet.view is not None else ():
            if name != self._fleet.node_name:
                with contextlib.suppress(SendError):
                    self._links.send(name, KIND, data, expires_in_s=WITHIN)

    def _leave(self) -> None:
        if not self._left:
            self._left = True
            self._forward.start_shutdown()
            self._fleet.leave()

    def settled(self) -> bool:
        return not self._held

    def close(self) -> None:
        self._leave()
        self._closed = True
        self._wake.cancel()

    def gauges(self) -> dict[str, object]:
        told = self.sessions.gauges()
        told["affinity_held"] = len(self._held)
        return told | {f"affinity_{what}": much for what, much in sorted(self.counts.items())}


class Watching:
    """The observer of an `Affinity`, whose handler has a `gone` of its own."""

    def __init__(self, affinity: Affinity) -> None:
        self.completed, self.rejected = affinity.completed, affinity.rejected
        self.failed, self.gone = affinity.failed, affinity.gone_by
