"""State machine for forwarded requests, without I/O: each is forwarded over one hop and has one outcome.

This holds whether or not the peer or the connection fails. Each member has both roles: it records the peer
and the deadline of each request that it forwarded, and the origin of each request that it admitted. If the
connection is lost or the peer does not acknowledge a request, the idempotency of the request decides:

- idempotent: the request returns to the server that forwarded it, which may run it or forward it again until
  the deadline
- keyed: the owner of the request, which has a record of its runs, is asked whether it may run again; without
  the owner's permission it fails, because it may have run
- non-idempotent: the request fails if it may have arrived; it is never sent twice

A request that was certainly never sent, or was refused, may be served by any member. An admitted request is
not forwarded again: only `ForwardRequested` forwards a request, and it is not used for admitted requests.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import Any

from ..overload.interface import Idempotency
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
from .messages import Acknowledged, Answer, Cancel, FinalStatus, ForwardRequest, Message, Refused
from .plan import ForwardingSettings

MIN_REMAINING_IN_SLACKS = 2  # in units of `answer_slack_s`; a request is forwarded only if more time remains

# The counters keep the names that alerts and dashboards use.
ANSWER_COUNTERS = {
    FinalStatus.COMPLETED: "answer_completed",
    FinalStatus.REJECTED: "answer_denied",
    FinalStatus.FAILED: "answer_terminated",
}


@dataclass(slots=True)
class ForwardedRequest:
    """A request of this member that was forwarded to a peer."""

    peer: str
    idempotency: Idempotency
    deadline: float
    ack_deadline: float  # inf once the peer acknowledged it
    tried: frozenset[str]
    owner_asked: bool = False


@dataclass
class ForwardingState:
    """The requests that this member forwarded and those that it admitted from peers.

    A request in `forwarded` has no outcome yet; a request that was removed from it gets no further outcome.
    """

    settings: ForwardingSettings = field(default_factory=ForwardingSettings)
    forwarded: dict[int, ForwardedRequest] = field(default_factory=dict)
    admitted: dict[Key, float] = field(default_factory=dict)  # deadlines
    backed_off_peers: dict[str, float] = field(default_factory=dict)  # peer: end of its backoff
    counters: dict[str, int] = field(default_factory=dict)
    is_shutting_down: bool = False

    def __post_init__(self) -> None:
        self._recent_keys: OrderedDict[Key, None] = OrderedDict()  # finished, refused or cancelled
        self._admitted_per_peer: dict[str, int] = {}
        self.wake_at = inf  # time of the next `TimerFired`: the earliest deadline or earlier

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handle an event and return the effects."""
        return _EVENT_HANDLERS[type(event)](self, now, event)

    # -- requests forwarded to peers

    def _handle_forward_requested(self, now: float, event: ForwardRequested) -> list[Effect]:
        peer, settings = event.peer, self.settings
        is_ruled_out = self.backed_off_peers.get(peer, -inf) > now or peer in event.tried
        is_full = len(self.forwarded) >= settings.max_forwarded
        is_too_late = event.remaining_s <= MIN_REMAINING_IN_SLACKS * settings.answer_slack_s
        if is_ruled_out or is_full or is_too_late:
            self._count("not_passed")
            return [ReturnRequest(event.number, event.tried | {peer})]
        deadline = now + event.remaining_s - settings.answer_slack_s
        ack_deadline = min(now + settings.ack_timeout_s, deadline)
        self.forwarded[event.number] = ForwardedRequest(
            peer, event.idempotency, deadline, ack_deadline, event.tried
        )
        self._schedule(ack_deadline)
        self._count("passed")
        message = ForwardRequest(event.number, event.request, event.age_s, event.remaining_s)
        return [Send(peer, message, event.remaining_s)]

    def _handle_request_cancelled(self, now: float, event: RequestCancelled) -> list[Effect]:
        request = self.forwarded.pop(event.number, None)
        if request is None:
            return []
        self._count("gone")
        return [Send(request.peer, Cancel(event.number), max(request.deadline - now, 0.0))]

    def _handle_not_sent(self, now: float, event: RequestNotSent) -> list[Effect]:
        request = self.forwarded.pop(event.number, None)
        if request is None:
            return []
        self._count("unsent")
        self._back_off(now, request.peer)
        return [self._return(now, event.number, request)]

    def _handle_rerun_decided(self, now: float, event: RerunDecided) -> list[Effect]:
        number = event.number
        request = self.forwarded.get(number)
        if request is None or not request.owner_asked:
            return []
        del self.forwarded[number]
        return [self._return(now, number, request) if event.may_run_again else self._fail(number)]

    def _return(self, now: float, number: int, request: ForwardedRequest) -> Effect:
        """Return a request that any member may serve, or fail it if its deadline has passed."""
        if now >= request.deadline:
            return self._fail(number)
        self._count("back")
        return ReturnRequest(number, request.tried | {request.peer})

    def _fail(self, number: int) -> Effect:
        self._count("ended_in_error")
        return DeliverAnswer(number, Answer(number, FinalStatus.FAILED), True)

    def _handle_uncertain(self, now: float, number: int, request: ForwardedRequest) -> list[Effect]:
        """Handle a request that may have arrived at the peer but will not be answered by it."""
        if request.idempotency is Idempotency.IDEMPOTENT:
            del self.forwarded[number]
            return [self._return(now, number, request)]
        if request.idempotency is Idempotency.KEYED:
            request.owner_asked = True
            request.ack_deadline = inf
            return [AskOwner(number)]
        return self._fail_uncertain(number)

    def _fail_uncertain(self, number: int) -> list[Effect]:
        """Fail a non-idempotent request that was sent, whether or not it ran."""
        del self.forwarded[number]
        return [self._fail(number)]

    def _handle_connection_lost(self, now: float, event: ConnectionLost) -> list[Effect]:
        peer = event.peer
        self._back_off(now, peer)
        effects: list[Effect] = []
        for number, request in list(self.forwarded.items()):
            if request.peer == peer and not request.owner_asked:
                effects += self._handle_uncertain(now, number, request)
        for key in [key for key in self.admitted if key[0] == peer]:
            self._remove_admitted(key)
            self._count("abandoned")
            effects.append(CancelRequest(key))
        return effects

    # -- timers

    def _handle_timer(self, now: float, event: TimerFired) -> list[Effect]:
        del event
        effects: list[Effect] = []
        for number, request in list(self.forwarded.items()):
            if request.deadline <= now:
                effects += self._time_out(number, request)
            elif request.ack_deadline <= now:
                effects += self._handle_missing_ack(now, number, request)
        for key in [key for key, deadline in self.admitted.items() if deadline <= now]:
            self._remove_admitted(key)  # the server that forwarded the request has already failed it
            self._count("overdue")
            effects.append(CancelRequest(key))
        self.backed_off_peers = {peer: until for peer, until in self.backed_off_peers.items() if until > now}
        next_deadlines = (min(request.deadline, request.ack_deadline) for request in self.forwarded.values())
        self.wake_at = min([inf, *next_deadlines, *self.admitted.values()])
        return effects

    def _time_out(self, number: int, request: ForwardedRequest) -> list[Effect]:
        del self.forwarded[number]
        return [Send(request.peer, Cancel(number), self.settings.peer_backoff_s), self._fail(number)]

    def _handle_missing_ack(self, now: float, number: int, request: ForwardedRequest) -> list[Effect]:
        """Handle a request that its peer did not acknowledge in time.

        The peer or the connection is stalled. An idempotent request returns to be served elsewhere; any other
        request stays forwarded until it is answered, its connection is lost or its deadline passes.
        """
        request.ack_deadline = inf
        self._count("not_taken")
        self._back_off(now, request.peer)
        if request.idempotency is not Idempotency.IDEMPOTENT:
            return []
        cancel = Send(request.peer, Cancel(number), max(request.deadline - now, 0.0))
        return [cancel, *self._handle_uncertain(now, number, request)]

    # -- messages from peers

    def _handle_message(self, now: float, event: MessageReceived) -> list[Effect]:
        sender, message = event.sender, event.message
        self.backed_off_peers.pop(sender, None)
        if isinstance(message, ForwardRequest):
            return self._handle_forwarded(now, (sender, message.number), message, max(event.transit_s, 0.0))
        if isinstance(message, Cancel):
            return self._handle_cancel_message((sender, message.number))
        return self._handle_response(now, sender, message)

    def _handle_response(self, now: float, sender: str, message: Message) -> list[Effect]:
        number = message.number
        request = self.forwarded.get(number)
        if request is None or request.peer != sender:
            self._count("late_taken" if isinstance(message, Acknowledged) else "late")
            return []
        match message:
            case Acknowledged():
                request.ack_deadline = inf
            case Refused():
                del self.forwarded[number]
                self._count("refused")
                return [self._return(now, number, request)]
            case Answer():
                del self.forwarded[number]
                self._count(ANSWER_COUNTERS[message.final])
                return [DeliverAnswer(number, message, False)]
        return []

    # -- requests admitted from peers

    def _handle_forwarded(
        self, now: float, key: Key, message: ForwardRequest, transit_s: float
    ) -> list[Effect]:
        sender, number = key
        if key in self.admitted or key in self._recent_keys:
            self._count("doubles")
            return []
        answer_slack_s = self.settings.answer_slack_s
        remaining_s = message.remaining_s - transit_s
        is_full = self._admitted_per_peer.get(sender, 0) >= self.settings.max_admitted_per_peer
        if self.is_shutting_down or is_full or remaining_s <= answer_slack_s:
            self._count("declined")
            self._add_recent_key(key)
            return [Send(sender, Refused(number), max(remaining_s, answer_slack_s))]
        self.admitted[key] = now + remaining_s
        self._admitted_per_peer[sender] = self._admitted_per_peer.get(sender, 0) + 1
        self._schedule(now + remaining_s)
        self._count("taken_in")
        admit = AdmitRequest(key, message.request, message.age_s + transit_s)
        return [Send(sender, Acknowledged(number), remaining_s), admit]

    def _handle_cancel_message(self, key: Key) -> list[Effect]:
        if key not in self.admitted:
            self._add_recent_key(key)  # the request may arrive after its cancellation
            return []
        self._remove_admitted(key)
        self._count("cancelled")
        return [CancelRequest(key)]

    def _handle_finished(self, now: float, event: RequestFinished) -> list[Effect]:
        key, answer = event.key, event.answer
        deadline = self.admitted.get(key)
        if deadline is None:
            return []
        self._remove_admitted(key)
        self._count("answered" if answer is not None else "unservable")
        return [Send(key[0], answer or Refused(key[1]), max(deadline - now, 0.0))]

    def _handle_shutdown(self, now: float, event: ShutdownStarted) -> list[Effect]:
        del now, event
        self.is_shutting_down = True
        return []

    def _remove_admitted(self, key: Key) -> None:
        del self.admitted[key]
        self._admitted_per_peer[key[0]] -= 1
        if not self._admitted_per_peer[key[0]]:
            del self._admitted_per_peer[key[0]]
        self._add_recent_key(key)

    def _add_recent_key(self, key: Key) -> None:
        self._recent_keys[key] = None
        while len(self._recent_keys) > self.settings.max_recent_numbers:
            self._recent_keys.popitem(last=False)

    # -- backoff, timer and counters

    def _back_off(self, now: float, peer: str) -> None:
        self.backed_off_peers[peer] = now + self.settings.peer_backoff_s

    def _schedule(self, wake_at: float) -> None:
        self.wake_at = min(self.wake_at, wake_at)

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1


_EVENT_HANDLERS: dict[type[Event], Callable[[ForwardingState, float, Any], list[Effect]]] = {
    ForwardRequested: ForwardingState._handle_forward_requested,
    MessageReceived: ForwardingState._handle_message,
    RequestFinished: ForwardingState._handle_finished,
    RequestCancelled: ForwardingState._handle_request_cancelled,
    RequestNotSent: ForwardingState._handle_not_sent,
    RerunDecided: ForwardingState._handle_rerun_decided,
    ConnectionLost: ForwardingState._handle_connection_lost,
    ShutdownStarted: ForwardingState._handle_shutdown,
    TimerFired: ForwardingState._handle_timer,
}
