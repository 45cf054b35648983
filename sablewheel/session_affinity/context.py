"""The state that the components of one server's session affinity share. Performs no I/O."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import Protocol

from ..membership.view import View
from .binding import Binding
from .effects import Effect, LogEvent, ReadBinding, SendMessage, WriteBinding
from .events import RequestArrived
from .messages import Message
from .plan import AffinitySettings


class RequestDispatcher(Protocol):
    """Dispatches a request, and dispatches it again if its session's owner changes."""

    def dispatch_request(self, now: float, request: RequestArrived) -> None:
        """Serve the request, forward it, or keep it waiting until its session's owner is known."""


class Outbox:
    """The effects of the current event, and the pending queries to the register.

    Invariant: references grow and are never reused, so an answer belongs to at most one query.
    """

    def __init__(self, binding_lifetime_s: float) -> None:
        """Start with no effects and no pending queries; bindings are written with the given lifetime."""
        self._binding_lifetime_s = binding_lifetime_s
        self._effects: list[Effect] = []
        self._last_ref = 0
        self._pending_queries: dict[int, str] = {}

    def start_batch(self) -> list[Effect]:
        """Return a new list, to which all further effects are added."""
        self._effects = []
        return self._effects

    def emit(self, effect: Effect) -> None:
        """Add an effect to the current batch."""
        self._effects.append(effect)

    def send(self, to: str, message: Message) -> None:
        """Send a message to another server; it may be lost."""
        self.emit(SendMessage(to, message))

    def log(self, message: str, **fields: object) -> None:
        """Write a log line with the given fields."""
        self.emit(LogEvent(message, fields))

    def next_ref(self) -> int:
        """Return a reference that was never used before."""
        self._last_ref += 1
        return self._last_ref

    def read_binding(self, key: str) -> int:
        """Read a session's binding from the register; return the query's reference."""
        ref = self._open_query(key)
        self.emit(ReadBinding(ref, key))
        return ref

    def write_binding(
        self, binding: Binding, expected_fencing_number: int, *, is_answer_used: bool = True
    ) -> int:
        """Write a binding if the register still holds the expected number; return the query's reference."""
        ref = self._open_query(binding.key if is_answer_used else "")
        self.emit(WriteBinding(ref, binding.key, expected_fencing_number, binding, self._binding_lifetime_s))
        return ref

    def _open_query(self, key: str) -> int:
        ref = self.next_ref()
        self._pending_queries[ref] = key
        return ref

    def close_query(self, ref: int) -> str | None:
        """Remove a pending query; return its session's key, None if it is not pending."""
        return self._pending_queries.pop(ref, None)

    @property
    def pending_queries(self) -> dict[int, str]:
        """The session keys of the pending queries by reference."""
        return dict(self._pending_queries)


class TimerQueue:
    """The timers of sessions. A timer is never cancelled: its handler checks whether it still applies."""

    def __init__(self) -> None:
        """Start without timers."""
        self._timers: list[tuple[float, str]] = []

    def set(self, key: str, at: float) -> None:
        """Add a timer for a session."""
        heapq.heappush(self._timers, (at, key))

    @property
    def next_at(self) -> float | None:
        """The time of the earliest timer; None if there is none."""
        return self._timers[0][0] if self._timers else None

    def pop_due(self, now: float) -> str | None:
        """Remove the earliest timer that is due and return its session's key; None if none is due."""
        if not self._timers or self._timers[0][0] > now:
            return None
        return heapq.heappop(self._timers)[1]


class SessionContext:
    """This server's identity and its view of the fleet, with the settings, counters, effects and timers.

    Invariant: `incarnation` only grows, and the epoch of `view` only grows.
    """

    def __init__(self, node_name: str, incarnation: int, settings: AffinitySettings) -> None:
        """Start without a view: this server is not yet a member."""
        self.node_name, self.incarnation, self.settings = node_name, incarnation, settings
        self.view: View | None = None
        self.is_draining = False
        self.counts: Counter[str] = Counter()
        self.outbox = Outbox(settings.binding_lifetime_s)
        self.timers = TimerQueue()

    @property
    def is_member(self) -> bool:
        """Whether the view contains this server in its current incarnation."""
        member = self.view.get(self.node_name) if self.view is not None else None
        return member is not None and member.incarnation == self.incarnation

    @property
    def member_names(self) -> tuple[str, ...]:
        """The names of all members of the view."""
        return tuple(self.view.names) if self.view is not None else ()

    def is_owned_here(self, binding: Binding) -> bool:
        """Whether the binding names this server, in its current incarnation, as the owner."""
        return (binding.owner, binding.incarnation) == (self.node_name, self.incarnation)

    def is_owner_in_view(self, binding: Binding) -> bool:
        """Whether the owner is in the view, in the incarnation that took the session."""
        owner = self.view.get(binding.owner) if self.view is not None else None
        return owner is not None and owner.incarnation == binding.incarnation
