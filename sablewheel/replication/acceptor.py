"""The acceptor: answers proposals, pushes and reads for the ranges of which this member is a replica. Pure.

It decides only under its own epoch and only for ranges that are ready here. Outcomes are merged from any
sender.
"""

from __future__ import annotations

from .context import SESSIONS, ReplicaContext
from .entries import EMPTY, NO_BALLOT, Ballot, Entry, Key, merge
from .messages import (
    Accept,
    Accepted,
    AcceptorRequest,
    Fetch,
    Fetched,
    LogEvent,
    Prepare,
    Promise,
    Push,
    Pushed,
    RefusalReason,
    Refuse,
)
from .paxos_register import next_ballot


class Acceptor:
    """Answers Paxos requests from the store of this member.

    Invariant: no proposal below a key's promised ballot is accepted, and a merged outcome is stored until its
    entry expires.
    """

    def __init__(self, context: ReplicaContext) -> None:
        self._context = context

    def on_request(self, sender: str, request: AcceptorRequest) -> None:
        """Answer a request; drop it if its slot is invalid or its epoch is later than this member's."""
        context = self._context
        if not 0 <= request.slot < context.settings.slots:
            context.counts["slots_bad"] += 1
        elif context.is_foreign_epoch(request.epoch):
            self._on_request_of_other_epoch(sender, request)
        elif isinstance(request, Push):
            self._on_push(sender, request)
        elif not context.is_ready(request.slot):
            self._refuse(sender, request, RefusalReason.NOT_READY)
        elif isinstance(request, Fetch):
            entry = context.store.entry(request.slot, request.key)
            context.send(sender, Fetched(request.epoch, request.ref, entry))
        else:
            self._on_proposal(sender, request)

    def _on_request_of_other_epoch(self, sender: str, request: AcceptorRequest) -> None:
        if isinstance(request, Push):  # an outcome is valid under any epoch, but is not acknowledged
            self.merge_copy(request.slot, request.key, request.entry, request.remaining_s)
        if request.epoch < self._context.epoch:
            self._refuse(sender, request, RefusalReason.EPOCH)

    def _on_push(self, sender: str, push: Push) -> None:
        if not self.merge_copy(push.slot, push.key, push.entry, push.remaining_s):
            self._refuse(sender, push, RefusalReason.FULL)
        elif self._context.is_ready(push.slot):
            self._context.send(sender, Pushed(push.epoch, push.ref))

    def _on_proposal(self, sender: str, request: Prepare | Accept) -> None:
        context, slot, key = self._context, request.slot, request.key
        if self._is_fenced(request):
            return self._refuse(sender, request, RefusalReason.FENCED)
        ballot, stored = _ballot_of(request), context.store.get(slot, key)
        if stored is not None and ballot < stored.min_ballot:
            return self._refuse(sender, request, RefusalReason.BALLOT, stored.min_ballot, stored.entry)
        if request.remaining_s <= 0:
            return
        expires_at = context.now + min(request.remaining_s, self._max_lifetime_s(key))
        extra_bytes = request.entry.size if isinstance(request, Accept) else 0
        if not context.store.has_capacity(slot, key, extra_bytes):
            context.counts["full"] += 1
            return self._refuse(sender, request, RefusalReason.FULL)
        if isinstance(request, Prepare):
            promised = context.store.promise(slot, key, ballot, expires_at)
            context.send(sender, Promise(request.epoch, request.ref, ballot, promised.entry))
        else:
            self._report_conflict(key, stored.entry if stored is not None else EMPTY, request.entry)
            context.store.accept(slot, key, request.entry, expires_at)
            context.store.promise(slot, key, next_ballot(ballot), expires_at)
            context.send(sender, Accepted(request.epoch, request.ref, ballot))
        context.schedule_expiry(expires_at)

    def _is_fenced(self, request: Prepare | Accept) -> bool:
        """Return whether the session's binding has a later version than the one that the claim relies on."""
        if not request.binding_version:
            return False
        binding = self._context.store.entry(request.slot, (SESSIONS, request.group))
        return binding.version > request.binding_version

    def _refuse(
        self,
        sender: str,
        request: AcceptorRequest,
        reason: RefusalReason,
        promised: Ballot = NO_BALLOT,
        entry: Entry = EMPTY,
    ) -> None:
        refusal = Refuse(self._context.epoch, request.ref, reason, promised, _ballot_of(request), entry)
        self._context.send(sender, refusal)

    def merge_copy(self, slot: int, key: Key, entry: Entry, remaining_s: float) -> bool:
        """Merge another member's copy of an entry.

        Returns:
            False if there was no capacity for it.
        """
        context = self._context
        if remaining_s <= 0:
            return True
        before = context.store.entry(slot, key)
        if merge(before, entry) != before and not context.store.has_capacity(slot, key, entry.size):
            context.counts["full"] += 1
            return False
        self._report_conflict(key, before, entry)
        expires_at = context.now + min(remaining_s, self._max_lifetime_s(key))
        context.store.accept(slot, key, entry, expires_at)
        context.schedule_expiry(expires_at)
        return True

    def _max_lifetime_s(self, key: Key) -> float:
        """Return the longest lifetime of an entry of this key's collection, in seconds.

        Session bindings may outlive idempotency keys. Recovery does not wait for their lifetimes to pass: a
        session whose binding is lost gets a new binding with a higher version.
        """
        binding_s = self._context.max_binding_lifetime_s if key[0] == SESSIONS else 0.0
        return max(self._context.settings.max_lifetime_s, binding_s)

    def _report_conflict(self, key: Key, stored: Entry, received: Entry) -> None:
        """Report two outcomes of one idempotency key, once on this member; both are stored."""
        outcomes = {*stored.outcomes, *received.outcomes}
        if len(outcomes) > 1 and len(stored.outcomes) < 2:
            self._context.counts["two_outcomes"] += 1
            evidence = [
                f"{outcome.owner}#{outcome.version} {outcome.status} {len(outcome.result)} bytes"
                for outcome in sorted(outcomes)
            ]
            self._context.log(LogEvent.CONFLICTING_OUTCOMES, key=key[1].hex(), outcomes="; ".join(evidence))


def _ballot_of(request: AcceptorRequest) -> Ballot:
    if isinstance(request, Prepare):
        return request.ballot
    return request.entry.ballot if isinstance(request, Accept) else NO_BALLOT
