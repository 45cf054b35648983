"""Passing requests on, in the server: a handler in front of the dispatch, and the caller of what peers pass
here.

Decides nothing: whether and to whom a request goes says a placer, what becomes of it says `passing`. One that
is away is this server's still, to its router: its answer, rejection or error comes back over the link and
goes the same way as any other. One that came is admitted as if a router had sent it, so the controller here
knows no difference; its caller is the peer.

A request that is away has no observer here: the server that runs it tells its own, so it is counted once. One
that ends here after all, as its link broke, is told to ours.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Protocol

from ..membership.view import View
from ..overload.interface import Client, Idempotency, Request, RequestClass, Tenant
from ..serving.exchange import NO_OBSERVER, Exchange, RequestObserver
from ..serving.listener import RequestHandler
from ..transport.scheduler import Scheduler
from ..transport.wakeup import Wakeup
from .forwarding_state import (
    Abandon,
    Admit,
    Answered,
    Back,
    Broken,
    Effect,
    Event,
    Gone,
    Got,
    Judged,
    Key,
    Leaving,
    Over,
    Passing,
    Send,
    Tick,
    Unsent,
    Unsure,
    Wanted,
)
from .messages import (
    NAME_MOST,
    SPAN_MOST,
    Answer,
    BadMessageError,
    Final,
    Message,
    Pass,
    Passed,
    decode,
    encode,
)
from .peer_connections import Links

KIND = "ticket"
TRIES_MOST = 2  # peers that one request is passed to, one after the other
LIVES = 20  # bits of a number that count within one life; a life begins with its incarnation, in milliseconds

log = logging.getLogger(__name__)


class Placer(Protocol):
    """Who decides whether a request is served here."""

    def place(self, exchange: Exchange) -> str | None:
        """The member that is to serve it; None: here. Asked again where the first said no, or is gone."""


class Owner(Protocol):
    """Who knows what became of a keyed request that may have run on a peer."""

    def may_run_again(self, exchange: Exchange, peer: str, told: Callable[[bool], None]) -> None:
        """Call `told`, now or later and within the request's time: whether it is sure that it never ran."""


class Here:
    """All requests are served where they came."""

    def place(self, exchange: Exchange) -> str | None:
        return None


class Unknown:
    """Nobody knows: it may have run."""

    def may_run_again(self, exchange: Exchange, peer: str, told: Callable[[bool], None]) -> None:
        told(False)


class Away:
    """One of ours at a peer."""

    __slots__ = ("exchange", "observer", "to")

    def __init__(self, exchange: Exchange, to: str, observer: RequestObserver) -> None:
        self.exchange, self.to, self.observer = exchange, to, observer


class Guest:
    """The caller of a request that a peer passed on."""

    __slots__ = ("_forward", "key")

    def __init__(self, forward: Forward, key: Key) -> None:
        self._forward, self.key = forward, key

    @property
    def sender(self) -> str:
        """The peer that it came from."""
        return self.key[0]

    def completed(self, exchange: Exchange, result: bytes) -> None:
        self._forward.over(self.key, Answer(self.key[1], Final.COMPLETED, result))

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        retry_after_s = min(max(retry_after_s, 0.0), SPAN_MOST)
        self._forward.over(
            self.key, Answer(self.key[1], Final.REJECTED, b"", retry_after_s, no_retry_elsewhere)
        )

    def failed(self, exchange: Exchange) -> None:
        self._forward.over(self.key, Answer(self.key[1], Final.FAILED))


class Forward:
    """This server's forward path. `placer` and `owner` are set by the features that know."""

    def __init__(
        self,
        scheduler: Scheduler,
        links: Links,
        passing: Passing,
        incarnation: int,
        request_classes: dict[bytes, RequestClass],
        tenants: dict[bytes, Tenant],
        observer: Callable[[], RequestObserver],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler, self._links, self._passing, self._clock = scheduler, links, passing, clock
        self._request_classes, self._tenants, self._observer = request_classes, tenants, observer
        self._tenant_names: dict[Tenant, bytes] = {}
        self.placer: Placer = Here()
        self.owner: Owner = Unknown()
        self.guests: RequestHandler | None = (
            None  # who is told of what peers pass here; None: the inner handler
        )
        # Who decides on one of ours that is back from a peer and may run again; with those not to be asked.
        self.home: Callable[[Exchange, str, frozenset[str]], None] | None = None
        self._inner: RequestHandler | None = None
        self._number = incarnation << LIVES
        self._away: dict[int, Away] = {}
        self._numbers: dict[Exchange, int] = {}
        self._names: set[bytes] = set()  # of those that are away
        self._guests: dict[Key, Exchange] = {}
        self._routers: dict[str, Client] = {}  # a peer is one, to the controller
        self._wake = Wakeup(scheduler, clock, self._ring)
        self.counts: dict[str, int] = {}
        links.on(KIND, self._heard, parted=True)
        links.on_broken(lambda peer: self._step(Broken(peer)))

    # -- the seam: a handler in front of the dispatch

    def handler(self, inner: RequestHandler) -> RequestHandler:
        self._inner = inner
        return self

    def arrived(self, exchange: Exchange) -> None:
        if exchange.name in self._names:
            return exchange.fail()  # the name of an open request: as the dispatch would
        to = self._place(exchange)
        if to is None or not self.pass_on(exchange, to):
            self._serve_here(exchange)

    def _place(self, exchange: Exchange) -> str | None:
        try:
            return self.placer.place(exchange)
        except Exception:
            # A fault in who places must not cost the request: it can always be served where it came.
            self._count("faults")
            log.exception("ticket not placed, for a fault")
            return None

    def cancelled(self, exchange: Exchange) -> None:
        number = self._numbers.get(exchange)
        if number is None:
            assert self._inner is not None
            return self._inner.cancelled(exchange)
        self._home(number)
        self._step(Gone(number))

    def is_away(self, name: bytes) -> bool:
        return name in self._names

    def decline(self, exchange: Exchange) -> None:
        """A guest goes back to the peer that passed it on: it never ran here and never will."""
        caller = exchange.detach()
        if isinstance(caller, Guest):
            self.over(caller.key, None)

    def serve(self, exchange: Exchange) -> None:
        """Whoever held one back lets it in here."""
        self._serve_here(exchange)

    def pass_on(self, exchange: Exchange, to: str, tried: frozenset[str] = frozenset()) -> bool:
        """Hand a request that arrived here, and that nobody decided on yet, to a peer; False: it can't go."""
        request = exchange.request
        told = self._passed(exchange)
        if told is None or to in tried:
            return False
        # Read anew: what this round took so far is no part of the hop, and would be lost from the age.
        age = max(self._scheduler.clock.read() - request.arrived_at, 0.0)
        left = request.request_class.timeout_s - age
        if left <= 0:
            return False
        self._number += 1
        number = self._number
        self._away[number] = Away(exchange, to, exchange.observer)
        self._numbers[exchange] = number
        self._names.add(exchange.name)
        exchange.observer = NO_OBSERVER
        self._step(Wanted(number, to, request.request_class.idempotency, told, age, left, tried))
        return True

    # -- what else the program asks

    def leaving(self) -> None:
        self._step(Leaving())

    def view(self, view: View) -> None:
        for name in [name for name in self._routers if name not in view]:
            if not any(key[0] == name for key in self._guests):
                del self._routers[name]

    @property
    def settled(self) -> bool:
        return not self._guests and not self._away

    def gauges(self) -> dict[str, object]:
        told: dict[str, object] = {"forward_away": len(self._away), "forward_guests": len(self._guests)}
        counts = {**self._passing.counts, **self.counts}
        return told | {f"forward_{name}": count for name, count in sorted(counts.items())}

    def over(self, key: Key, answer: Answer | None) -> None:
        """A guest has its answer."""
        self._guests.pop(key, None)
        self._step(Over(key, answer))

    # -- events in, effects out

    def _heard(self, sender: str, payload: bytes) -> None:
        try:
            message = decode(payload)
        except BadMessageError as trouble:
            self._count("bad")
            log.warning("message dropped", extra={"pairs": {"from": sender, "reason": trouble}})
            return
        self._step(Got(sender, message, self._links.hop))

    def _step(self, event: Event) -> None:
        for effect in self._passing.step(self._clock(), event):
            self._carry_out(effect)
        self._wake.set(self._passing.wake_at)

    def _ring(self) -> None:
        self._step(Tick())

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(to, message, within):
                self._send(to, message, within)
            case Admit(key, request, age):
                self._admit(key, request, age)
            case Abandon(key):
                guest = self._guests.pop(key, None)
                handler = self.guests or self._inner
                if guest is not None and guest.cancel() and handler is not None:
                    handler.cancelled(guest)
            case Answered(number, answer, here):
                away = self._home(number)
                if away is not None:
                    self._answer(away, answer, here)
            case Back(number, tried):
                away = self._home(number)
                if away is not None and not away.exchange.closed:
                    away.exchange.observer = away.observer
                    if self.home is not None:
                        self.home(away.exchange, away.to, tried)
                    else:
                        self._again(away.exchange, tried)
            case Unsure(number):
                away = self._away.get(number)
                if away is not None:
                    self.owner.may_run_again(
                        away.exchange, away.to, lambda again: self._step(Judged(number, again))
                    )

    def _send(self, to: str, message: Message, within: float) -> None:
        """Whoever passes a request on hears if it is sure that it never left; the rest is best effort."""
        number = message.number
        unsent = (lambda: self._step(Unsent(number))) if isinstance(message, Pass) else None
        if self._links.send(to, KIND, encode(message), within, unsent):
            return
        if unsent is not None:
            unsent()
        elif isinstance(message, Answer) and message.result:
            # It ran, and its result is too much for a frame or the queue: an error is better than silence.
            self._count("results_unsent")
            self._send(to, Answer(number, Final.FAILED), within)

    def _home(self, number: int) -> Away | None:
        away = self._away.pop(number, None)
        if away is not None:
            del self._numbers[away.exchange]
            self._names.discard(away.exchange.name)
        return away

    def _answer(self, away: Away, answer: Answer, here: bool) -> None:
        exchange = away.exchange
        if here:
            exchange.observer = away.observer
        match answer.final:
            case Final.COMPLETED:
                exchange.complete(answer.result)
            case Final.REJECTED:
                exchange.reject(answer.retry_after_s, answer.no_retry_elsewhere)
            case Final.FAILED:
                exchange.fail()

    def _again(self, exchange: Exchange, tried: frozenset[str]) -> None:
        to = self._place(exchange) if len(tried) < TRIES_MOST else None
        if to is None or not self.pass_on(exchange, to, tried):
            self._serve_here(exchange)

    def _serve_here(self, exchange: Exchange) -> None:
        assert self._inner is not None
        self._inner.arrived(exchange)

    def _passed(self, exchange: Exchange) -> Passed | None:
        """What goes along; None: a name in it can't be told to a peer."""
        request = exchange.request
        tenant = b""
        if request.tenant is not None:
            if request.tenant not in self._tenant_names:  # new settings make new objects
                self._tenant_names = {one: name for name, one in self._tenants.items()}
            found = self._tenant_names.get(request.tenant)
            if found is None:
                return None
            tenant = found
        idempotency_key = (
            exchange.idempotency_key if request.request_class.idempotency is Idempotency.KEYED else None
        )
        if (
            max(len(exchange.name), len(exchange.request_class), len(tenant), len(idempotency_key or b""))
            > NAME_MOST
        ):
            return None
        return Passed(
            exchange.name,
            exchange.request_class,
            exchange.body,
            tenant,
            idempotency_key,
            request.memory_kb,
            request.subject,
            exchange.session,
        )

    def _admit(self, key: Key, told: Passed, age: float) -> None:
        """A peer's request becomes ours; what this server does not know is declined, and never ran here."""
        request_class, tenant = self._request_classes.get(told.request_class), self._tenants.get(told.tenant)
        unknown = request_class is None or (tenant is None and bool(self._tenants))
        if (
            request_class is None
            or unknown
            or (request_class.idempotency is Idempotency.KEYED and not told.idempotency_key)
        ):
            self._count("unknown_names")
            return self._step(Over(key, None))
        router = self._routers.setdefault(key[0], Client())
        arrived = self._scheduler.clock.now - age
        request = Request(request_class, router, tenant, arrived, told.kb, subject=told.subject)
        exchange = Exchange(
            told.name,
            told.request_class,
            told.body,
            0,
            told.idempotency_key,
            request,
            Guest(self, key),
            self._observer(),
        )
        exchange.session = told.session
        self._guests[key] = exchange
        if self.guests is not None:
            self.guests.arrived(exchange)
        else:
            self._serve_here(exchange)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
