"""Request forwarding in the server: a handler in front of the dispatcher, and the caller of peers' requests.

A placer decides whether and to which peer a request is forwarded; `forwarding_state` tracks it from then on.
This server remains responsible for a forwarded request: its result, rejection or error returns over the
connection and is sent to the client like any other answer. A request from a peer is admitted as if a client
had sent it, so the controller treats it the same; its caller is the peer.

A forwarded request has no observer here: the server that runs it notifies its own observer, so that the
request is counted once. A request that ends here after all, for example because its connection was lost, is
reported to the observer of this server.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

from ..membership.view import View
from ..overload.interface import Client, Idempotency, Request, RequestClass, Tenant
from ..serving.exchange import NO_OBSERVER, Exchange, RequestObserver
from ..serving.listener import RequestHandler
from ..transport.scheduler import Scheduler
from ..transport.wakeup import Wakeup
from .errors import SendError
from .events import (
    AdmitRequest,
    AskOwner,
    CancelRequest,
    ConnectionLost,
    DeliverAnswer,
    Effect,
    Event,
    ForwardRequested,
    Key,
    MessageReceived,
    RequestCancelled,
    RequestFinished,
    RequestNotSent,
    RerunDecided,
    ReturnRequest,
    Send,
    ShutdownStarted,
    TimerFired,
)
from .forwarding_state import ForwardingState
from .messages import (
    MAX_DURATION_S,
    Answer,
    BadMessageError,
    FinalStatus,
    ForwardRequest,
    Message,
    RequestData,
    decode,
    encode,
    is_forwardable,
)
from .peer_connections import PeerConnections
from .placement import Owner, Placer, ServeLocally, UnknownOwner

MESSAGE_TYPE = "ticket"
MAX_FORWARD_ATTEMPTS = 2  # peers that a request is forwarded to in sequence before it is served here
SEQUENCE_BITS = 20  # low bits of a request number; the incarnation in milliseconds is above them

log = logging.getLogger(__name__)


@dataclass(eq=False, slots=True)
class RemoteRequest:
    """A request of this server that was forwarded to a peer."""

    exchange: Exchange
    peer: str
    observer: RequestObserver  # notified if the request ends on this server


class ForwardedCaller:
    """The caller of a request that a peer forwarded."""

    __slots__ = ("_service", "key")

    def __init__(self, service: ForwardingService, key: Key) -> None:
        self._service, self.key = service, key

    @property
    def sender(self) -> str:
        """The peer that forwarded the request."""
        return self.key[0]

    def completed(self, exchange: Exchange, result: bytes) -> None:
        """Return the result to the peer."""
        self._service.finish(self.key, Answer(self.key[1], FinalStatus.COMPLETED, result))

    def rejected(self, exchange: Exchange, retry_after_s: float, no_retry_elsewhere: bool) -> None:
        """Return the rejection to the peer."""
        retry_after_s = min(max(retry_after_s, 0.0), MAX_DURATION_S)
        answer = Answer(self.key[1], FinalStatus.REJECTED, b"", retry_after_s, no_retry_elsewhere)
        self._service.finish(self.key, answer)

    def failed(self, exchange: Exchange) -> None:
        """Return the failure to the peer."""
        self._service.finish(self.key, Answer(self.key[1], FinalStatus.FAILED))


class ForwardingService:
    """This server's forwarding; other features set `placer`, `owner` and the two handlers.

    `forwarded_handler` handles the requests from peers; if it is None, the inner handler does.
    `returned_handler(exchange, peer, tried)` decides on a request of this server that returned from a peer;
    if it is None, the request is placed again.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        connections: PeerConnections,
        state: ForwardingState,
        incarnation: int,
        request_classes: dict[bytes, RequestClass],
        tenants: dict[bytes, Tenant],
        observer: Callable[[], RequestObserver],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._scheduler, self._connections, self._state, self._clock = scheduler, connections, state, clock
        self._request_classes, self._tenants, self._observer = request_classes, tenants, observer
        self._tenant_names: dict[Tenant, bytes] = {}
        self.placer: Placer = ServeLocally()
        self.owner: Owner = UnknownOwner()
        self.forwarded_handler: RequestHandler | None = None
        self.returned_handler: Callable[[Exchange, str, frozenset[str]], None] | None = None
        self._inner: RequestHandler | None = None
        self._last_number = incarnation << SEQUENCE_BITS
        self._remote: dict[int, RemoteRequest] = {}
        self._numbers: dict[Exchange, int] = {}
        self._remote_names: set[bytes] = set()
        self._admitted: dict[Key, Exchange] = {}
        self._peer_clients: dict[str, Client] = {}  # each peer is one client to the controller
        self._wakeup = Wakeup(scheduler, clock, self._handle_timer)
        self.counters: dict[str, int] = {}
        connections.register_handler(MESSAGE_TYPE, self._handle_payload, accept_departed=True)
        connections.on_connection_lost(lambda peer: self._step(ConnectionLost(peer)))

    # -- request handler in front of the dispatcher

    def handler(self, inner: RequestHandler) -> RequestHandler:
        """Set the handler of requests that are served here, and return this one."""
        self._inner = inner
        return self

    def arrived(self, exchange: Exchange) -> None:
        """Forward a request or pass it to the inner handler."""
        if exchange.name in self._remote_names:
            exchange.fail()  # an open request has the same name; the dispatcher would fail it too
            return
        self._place(exchange)

    def cancelled(self, exchange: Exchange) -> None:
        """Cancel a request whose caller no longer waits for the answer."""
        number = self._numbers.get(exchange)
        if number is None:
            assert self._inner is not None
            self._inner.cancelled(exchange)
            return
        self._remove_remote(number)
        self._step(RequestCancelled(number))

    # -- interface for other features

    def is_forwarded(self, name: bytes) -> bool:
        """Return whether a request with this name is forwarded to a peer."""
        return name in self._remote_names

    def return_to_origin(self, exchange: Exchange) -> None:
        """Return a request to the peer that forwarded it; it never ran here and never will."""
        caller = exchange.detach()
        if isinstance(caller, ForwardedCaller):
            self.finish(caller.key, None)

    def serve(self, exchange: Exchange) -> None:
        """Serve a request here."""
        self._serve_here(exchange)

    def forward_to(self, exchange: Exchange, peer: str, tried: frozenset[str] = frozenset()) -> bool:
        """Forward a request that is neither served nor forwarded yet; return whether this was possible."""
        request = exchange.request
        data = self._request_data(exchange)
        if data is None or peer in tried:
            return False
        # Read the clock again: the time since the start of this round is part of the request's age.
        age_s = max(self._scheduler.clock.read() - request.arrived_at, 0.0)
        remaining_s = request.request_class.timeout_s - age_s
        if remaining_s <= 0:
            return False
        self._last_number += 1
        number = self._last_number
        self._remote[number] = RemoteRequest(exchange, peer, exchange.observer)
        self._numbers[exchange] = number
        self._remote_names.add(exchange.name)
        exchange.observer = NO_OBSERVER
        idempotency = request.request_class.idempotency
        self._step(ForwardRequested(number, peer, idempotency, data, age_s, remaining_s, tried))
        return True

    def start_shutdown(self) -> None:
        """Admit no more requests from peers."""
        self._step(ShutdownStarted())

    def handle_view(self, view: View) -> None:
        """Remove the clients of peers that are not in a new view and have no admitted requests."""
        for name in [name for name in self._peer_clients if name not in view]:
            if not any(key[0] == name for key in self._admitted):
                del self._peer_clients[name]

    @property
    def is_idle(self) -> bool:
        """Whether no request is currently forwarded to a peer or admitted from one."""
        return not self._admitted and not self._remote

    def gauges(self) -> dict[str, object]:
        """Return the gauges and counters of forwarding for the metrics."""
        values: dict[str, object] = {
            "forward_away": len(self._remote),
            "forward_guests": len(self._admitted),
        }
        counters = {**self._state.counters, **self.counters}
        return values | {f"forward_{name}": count for name, count in sorted(counters.items())}

    def finish(self, key: Key, answer: Answer | None) -> None:
        """Send the answer to a peer's request; None returns the request to the peer."""
        self._admitted.pop(key, None)
        self._step(RequestFinished(key, answer))

    # -- placement

    def _place(self, exchange: Exchange, tried: frozenset[str] = frozenset()) -> None:
        peer = self._choose_server(exchange) if len(tried) < MAX_FORWARD_ATTEMPTS else None
        if peer is None or not self.forward_to(exchange, peer, tried):
            self._serve_here(exchange)

    def _choose_server(self, exchange: Exchange) -> str | None:
        try:
            return self.placer.place(exchange)
        except Exception:
            # An error in the placer must not fail the request, which can be served here.
            self._count("faults")
            log.exception("request placer raised an exception; serving the request here")
            return None

    def _serve_here(self, exchange: Exchange) -> None:
        assert self._inner is not None
        self._inner.arrived(exchange)

    # -- events and effects

    def _handle_payload(self, sender: str, payload: bytes) -> None:
        try:
            message = decode(payload)
        except BadMessageError as error:
            self._count("bad")
            log.warning("invalid message dropped", extra={"pairs": {"from": sender, "reason": error}})
            return
        self._step(MessageReceived(sender, message, self._connections.last_transit_s))

    def _handle_timer(self) -> None:
        self._step(TimerFired())

    def _step(self, event: Event) -> None:
        for effect in self._state.step(self._clock(), event):
            self._carry_out(effect)
        self._wakeup.set(self._state.wake_at)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(peer, message, expires_in_s):
                self._send(peer, message, expires_in_s)
            case AdmitRequest(key, request, age_s):
                self._admit(key, request, age_s)
            case CancelRequest(key):
                self._cancel_admitted(key)
            case DeliverAnswer(number, answer, is_local):
                self._deliver_answer(number, answer, is_local)
            case ReturnRequest(number, tried):
                self._handle_returned(number, tried)
            case AskOwner(number):
                self._ask_owner(number)

    def _send(self, peer: str, message: Message, expires_in_s: float) -> None:
        """Send a message; report `RequestNotSent` only if no byte of a forwarded request was sent."""
        number = message.number
        on_not_sent = None
        if isinstance(message, ForwardRequest):
            on_not_sent = self._not_sent_callback(number)
        try:
            self._connections.send(
                peer, MESSAGE_TYPE, encode(message), expires_in_s=expires_in_s, on_not_sent=on_not_sent
            )
        except SendError:
            if on_not_sent is not None:
                on_not_sent()
            elif isinstance(message, Answer) and message.result:
                # The result is too large for a frame or the queue: send a failure instead of no answer.
                self._count("results_unsent")
                self._send(peer, Answer(number, FinalStatus.FAILED), expires_in_s)

    def _not_sent_callback(self, number: int) -> Callable[[], None]:
        return lambda: self._step(RequestNotSent(number))

    # -- requests forwarded to peers

    def _remove_remote(self, number: int) -> RemoteRequest | None:
        remote = self._remote.pop(number, None)
        if remote is not None:
            del self._numbers[remote.exchange]
            self._remote_names.discard(remote.exchange.name)
        return remote

    def _deliver_answer(self, number: int, answer: Answer, is_local: bool) -> None:
        remote = self._remove_remote(number)
        if remote is None:
            return
        exchange = remote.exchange
        if is_local:
            exchange.observer = remote.observer
        match answer.final:
            case FinalStatus.COMPLETED:
                exchange.complete(answer.result)
            case FinalStatus.REJECTED:
                exchange.reject(answer.retry_after_s, answer.no_retry_elsewhere)
            case FinalStatus.FAILED:
                exchange.fail()

    def _handle_returned(self, number: int, tried: frozenset[str]) -> None:
        remote = self._remove_remote(number)
        if remote is None or remote.exchange.closed:
            return
        remote.exchange.observer = remote.observer
        if self.returned_handler is not None:
            self.returned_handler(remote.exchange, remote.peer, tried)
        else:
            self._place(remote.exchange, tried)

    def _ask_owner(self, number: int) -> None:
        remote = self._remote.get(number)
        if remote is not None:
            self.owner.may_run_again(
                remote.exchange,
                remote.peer,
                lambda may_run_again: self._step(RerunDecided(number, may_run_again)),
            )

    def _request_data(self, exchange: Exchange) -> RequestData | None:
        """Return the contents to forward; None if the tenant is unknown or no peer would accept them."""
        request = exchange.request
        tenant = self._tenant_name(request.tenant) if request.tenant is not None else b""
        if tenant is None:
            return None
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        idempotency_key = exchange.idempotency_key if is_keyed else None
        data = RequestData(
            exchange.name,
            exchange.request_class,
            exchange.body,
            tenant,
            idempotency_key,
            request.memory_kb,
            request.subject,
            exchange.session,
        )
        return data if is_forwardable(data) else None

    def _tenant_name(self, tenant: Tenant) -> bytes | None:
        if tenant not in self._tenant_names:  # reloading the settings creates new objects
            self._tenant_names = {known: name for name, known in self._tenants.items()}
        return self._tenant_names.get(tenant)

    # -- requests admitted from peers

    def _admit(self, key: Key, data: RequestData, age_s: float) -> None:
        """Admit a peer's request, or return it: unknown class or tenant, or no idempotency key."""
        request_class, tenant = self._request_classes.get(data.request_class), self._tenants.get(data.tenant)
        if request_class is None or not self._is_admissible(data, request_class, tenant):
            self._count("unknown_names")
            self._step(RequestFinished(key, None))
            return
        client = self._peer_clients.setdefault(key[0], Client())
        arrived_at = self._scheduler.clock.now - age_s
        request = Request(request_class, client, tenant, arrived_at, data.memory_kb, subject=data.subject)
        exchange = Exchange(
            data.name,
            data.request_class,
            data.body,
            0,
            data.idempotency_key,
            request,
            ForwardedCaller(self, key),
            self._observer(),
        )
        exchange.session = data.session
        self._admitted[key] = exchange
        if self.forwarded_handler is not None:
            self.forwarded_handler.arrived(exchange)
        else:
            self._serve_here(exchange)

    def _is_admissible(self, data: RequestData, request_class: RequestClass, tenant: Tenant | None) -> bool:
        if tenant is None and self._tenants:
            return False
        return request_class.idempotency is not Idempotency.KEYED or bool(data.idempotency_key)

    def _cancel_admitted(self, key: Key) -> None:
        exchange = self._admitted.pop(key, None)
        handler = self.forwarded_handler or self._inner
        if exchange is not None and exchange.cancel() and handler is not None:
            handler.cancelled(exchange)

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1
