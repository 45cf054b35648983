"""Requests that need a majority but no ballot: outcomes that are pushed, and reads. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

from .context import ReplicaContext
from .entries import EMPTY, AnswerStatus, Entry, Key, State, merge
from .messages import Fetch, Fetched, Message, Push, Pushed
from .reachability import Reachability


class PushObserver(Protocol):
    """Is notified of the end of pushes."""

    def on_outcome_stored(self, key: bytes) -> None:
        """A majority has stored the outcome."""

    def on_outcome_expired(self, key: bytes) -> None:
        """The entry expired before a majority had stored the outcome."""


@dataclass(slots=True)
class QuorumRequest:
    """An outcome on its way to a majority, or an entry that is read from one.

    Attributes:
        ref: Its number in messages.
        key: Of the entry.
        slot: The range of the key.
        expires_at: When it is given up.
        pushed_entry: What is pushed; None: the entry is read.
        caller_ref: Of the answer of a read.
        replicas: Of the range under the present view.
        answered_by: Replicas that answered.
        merged: What was read so far.
        attempts: How often it was sent.
        next_send_at: When it is sent again.
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
        """The message for each replica that has not answered."""
        message: Message
        if self.pushed_entry is None:
            message = Fetch(epoch, self.ref, self.key, self.slot)
        else:
            remaining_s = self.expires_at - now
            message = Push(epoch, self.ref, self.key, self.slot, self.pushed_entry, remaining_s)
        return [(name, message) for name in self.replicas if name not in self.answered_by]


class QuorumRequests:
    """Pushes and reads in progress.

    Invariant: each is repeated until a majority of the replicas of the present view has answered, or until it
    expires.
    """

    def __init__(self, context: ReplicaContext, reachability: Reachability) -> None:
        self._context, self._reachability = context, reachability
        self.observer: PushObserver | None = None
        self.requests: dict[int, QuorumRequest] = {}  # by ref

    def push(self, key: Key, slot: int, expires_at: float, entry: Entry) -> None:
        """Push an entry with an outcome to its replicas."""
        self._start(key, slot, expires_at, entry, None)

    def read(self, key: Key, slot: int, caller_ref: int) -> None:
        """Read an entry from a majority of its replicas; answered with KNOWN, READ or UNREACHABLE."""
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
        request.next_send_at = at  # a timer set for another time is outdated
        self._context.set_timer(at, request.ref)

    def on_timer(self, request: QuorumRequest) -> None:
        """Send a request to the replicas that have not answered, or give it up."""
        context = self._context
        if request.expires_at <= context.now:
            return self._expire(request)
        if context.epoch or request.pushed_entry is not None:
            # A member that was removed still pushes its outcomes, to the replicas that it knew.
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
        """Count an answer; a read ends early when an outcome is found."""
        request = self.requests.get(reply.ref)
        if request is None or self._context.is_foreign_epoch(reply.epoch):
            return
        if isinstance(reply, Fetched):
            request.merged = merge(request.merged, reply.entry)
        if sender not in request.replicas:
            return
        request.answered_by.add(sender)
        is_known = request.pushed_entry is None and request.merged.state is State.COMPLETED
        quorum = self._context.quorum_size(len(request.replicas))
        if len(request.answered_by) < quorum and not is_known:
            return
        del self.requests[request.ref]
        if request.caller_ref is not None:
            status = AnswerStatus.KNOWN if is_known else AnswerStatus.READ
            self._context.answer(request.caller_ref, status, request.merged)
        else:
            assert self.observer is not None
            self.observer.on_outcome_stored(request.key[1])
