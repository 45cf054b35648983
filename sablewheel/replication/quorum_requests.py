"""Requests that need a majority but no ballot: pushes of outcomes, and reads. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from .context import ReplicaContext
from .entries import EMPTY, AnswerStatus, Entry, Key, State, merge
from .messages import Fetch, Fetched, Message, Push, Pushed
from .reachability import Reachability


class PushObserver(Protocol):
    """Is notified when pushes end."""

    def on_outcome_stored(self, key: bytes) -> None:
        """Handle that a majority has stored an outcome."""

    def on_outcome_expired(self, key: bytes) -> None:
        """Handle that an entry expired before a majority had stored its outcome."""


@dataclass(slots=True)
class QuorumRequest:
    """A push of an outcome to a majority, or a read from one.

    Attributes:
        ref: The number of the request in messages.
        key: The key of the entry.
        slot: The range of the key.
        expires_at: When the request ends without a majority.
        pushed_entry: The entry to push; None if the request is a read.
        caller_ref: The number under which the caller of a read is answered; None if the request is a push.
        replicas: The replicas of the range under the current view.
        answered_by: The replicas that have answered.
        merged: The entry merged from the answers to a read.
        attempts: How often the request was sent.
        next_send_at: When the request is sent again.
    """

    ref: int
    key: Key
    slot: int
    expires_at: float
    pushed_entry: Entry | None
    caller_ref: int | None
    replicas: tuple[str, ...] = ()
    answered_by: set[str] = field(default_factory=set)
    merged: Entry = EMPTY
    attempts: int = 0
    next_send_at: float = 0.0

    def pending_messages(self, epoch: int, now: float) -> list[tuple[str, Message]]:
        """Return the message for each replica that has not answered."""
        message: Message
        if self.pushed_entry is None:
            message = Fetch(epoch, self.ref, self.key, self.slot)
        else:
            remaining_s = self.expires_at - now
            message = Push(epoch, self.ref, self.key, self.slot, self.pushed_entry, remaining_s)
        return [(name, message) for name in self.replicas if name not in self.answered_by]


class QuorumRequests:
    """Pushes and reads in progress.

    Invariant: each request is repeated until a majority of the replicas under the current view has answered,
    or until the request expires.
    """

    def __init__(self, context: ReplicaContext, reachability: Reachability) -> None:
        self._context, self._reachability = context, reachability
        self.observer: PushObserver | None = None
        self.requests: dict[int, QuorumRequest] = {}  # by ref

    def push(self, key: Key, slot: int, expires_at: float, entry: Entry) -> None:
        """Push an entry with an outcome to its replicas."""
        self._start(key, slot, expires_at, entry, None)

    def read(self, key: Key, slot: int, caller_ref: int) -> None:
        """Read an entry from a majority of its replicas; the answer is KNOWN, READ or UNREACHABLE."""
        expires_at = self._context.now + self._context.settings.claim_timeout_s
        self._start(key, slot, expires_at, None, caller_ref)

    def _start(
        self, key: Key, slot: int, expires_at: float, entry: Entry | None, caller_ref: int | None
    ) -> None:
        ref, replicas = self._context.next_ref(), self._context.replicas_of(slot)
        request = QuorumRequest(ref, key, slot, expires_at, entry, caller_ref, replicas)
        self.requests[ref] = request
        self._schedule(request, self._context.now)

    def view_installed(self) -> None:
        """Send all requests to the replicas of the new view."""
        for request in list(self.requests.values()):
            request.replicas, request.answered_by = self._context.replicas_of(request.slot), set()
            self._schedule(request, self._context.now)

    def _schedule(self, request: QuorumRequest, at: float) -> None:
        request.next_send_at = at  # timers that were set for another time are ignored
        self._context.set_timer(at, request.ref)

    def on_timer(self, request: QuorumRequest) -> None:
        """Send a request to the replicas that have not answered, or end it if it has expired."""
        context = self._context
        if request.expires_at <= context.now:
            return self._expire(request)
        if context.epoch or request.pushed_entry is not None:
            # A removed member continues to push outcomes to the replicas of its last view.
            for name, message in request.pending_messages(context.ranges.epoch, context.now):
                self._reachability.message_resent(name, request.attempts)
                context.send(name, message)
        request.attempts += 1
        self._schedule(request, min(context.next_retry(request.attempts - 1), request.expires_at))

    def _expire(self, request: QuorumRequest) -> None:
        del self.requests[request.ref]
        if request.caller_ref is not None:
            self._context.answer(request.caller_ref, AnswerStatus.UNREACHABLE, request.merged)
        else:
            assert self.observer is not None
            self.observer.on_outcome_expired(request.key[1])

    def on_reply(self, sender: str, reply: Pushed | Fetched) -> None:
        """Count an answer; a read ends with a majority, or as soon as an outcome is received."""
        request = self.requests.get(reply.ref)
        if request is None or self._context.is_foreign_epoch(reply.epoch):
            return
        if isinstance(reply, Fetched):
            request.merged = merge(request.merged, reply.entry)
        if sender not in request.replicas:
            return
        request.answered_by.add(sender)
        has_outcome = request.pushed_entry is None and request.merged.state is State.COMPLETED
        quorum = self._context.quorum_size(len(request.replicas))
        if len(request.answered_by) < quorum and not has_outcome:
            return
        del self.requests[request.ref]
        if request.caller_ref is not None:
            status = AnswerStatus.KNOWN if has_outcome else AnswerStatus.READ
            self._context.answer(request.caller_ref, status, request.merged)
        else:
            assert self.observer is not None
            self.observer.on_outcome_stored(request.key[1])
