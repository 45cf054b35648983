"""The replica of one member: passes events, messages and due timers to its parts. Pure.

`step(now, event) -> effects` does no I/O and reads no clock; its source of random numbers is an argument.
Messages from an older view or an earlier incarnation are refused wherever they could affect a decision.
"""

from __future__ import annotations

import heapq
import random
from math import inf

from .acceptor import Acceptor
from .anti_entropy import AntiEntropy
from .claims import Claims
from .context import EXPIRY_INTERVAL_S, IDEMPOTENCY_KEYS, ReplicaContext
from .entries import Change, ChangeKind, State
from .messages import (
    Accept,
    Accepted,
    AcceptorRequest,
    Claim,
    CompareRanges,
    CompleteClaim,
    Effect,
    Event,
    Fetch,
    Fetched,
    FetchRange,
    LogEvent,
    Message,
    MessageReceived,
    PastViews,
    Prepare,
    Promise,
    Push,
    Pushed,
    RangeChunk,
    RangeStates,
    Read,
    Refuse,
    ReleaseClaim,
    RequestViews,
    Tick,
    ViewInstalled,
    Write,
)
from .plan import Settings
from .proposer import Proposer
from .quorum_requests import QuorumRequests
from .reachability import Reachability


class Replica(ReplicaContext):
    """The replica of a member.

    Invariant: while `epoch` is 0, it decides nothing. After its removal, `min_decision_epoch` is the epoch
    before which it has promised other members to decide nothing; else it is 0.

    Args:
        name: The member's name.
        incarnation: The incarnation of this process, which rises with each start under that name.
        settings: The settings of replication.
        rng: The source of random numbers.
        now: The time in seconds, by any monotonic clock.
    """

    def __init__(
        self, name: str, incarnation: int, settings: Settings, rng: random.Random, now: float
    ) -> None:
        super().__init__(name, incarnation, settings, rng, now)
        self.min_decision_epoch = 0
        self.reachability = Reachability(self)
        self.acceptor = Acceptor(self)
        self.proposer = Proposer(self, self.reachability)
        self.quorum_requests = QuorumRequests(self, self.reachability)
        self.claims = Claims(self, self.proposer, self.quorum_requests, self.reachability)
        self.anti_entropy = AntiEntropy(self, self.acceptor)

    # -- queries of the service

    @property
    def wake_at(self) -> float:
        """The time at which the next timer is due."""
        first = self.timers[0][0] if self.timers else inf
        anti_entropy = self.anti_entropy
        return min(
            first, anti_entropy.sync_at, anti_entropy.repair_at, self.expire_at, self.reachability.probe_at
        )

    def is_reachable(self, group: bytes, now: float, max_silence_s: float) -> bool:
        """Return whether a majority of a group's replicas may answer."""
        return self.reachability.is_reachable(self.slot_of(group), now, max_silence_s)

    def may_have_run(self, key: bytes, group: bytes) -> bool:
        """Return whether the local copy, ready or not, has a claim or an outcome of an idempotency key."""
        entry = self.store.entry(self.slot_of(group), (IDEMPOTENCY_KEYS, key))
        return entry.state in (State.CLAIMED, State.COMPLETED)

    def has_open_claim(self, key: bytes) -> bool:
        """Return whether this member has an unfinished claim of an idempotency key."""
        return key in self.claims.own_claims

    # -- events

    def step(self, now: float, event: Event) -> list[Effect]:
        """Handle an event and all timers that are due; return the effects."""
        self.now, self._effects = now, []
        self._on_event(event)
        self._run_timers()
        while self._local_messages:
            self._on_message(self.name, self._local_messages.pop(0))
            self._run_timers()
        return self._effects

    def _on_event(self, event: Event) -> None:
        match event:
            case MessageReceived(sender, message):
                self._on_message(sender, message)
            case ViewInstalled():
                self._on_view(event)
            case Claim():
                self.claims.claim(event)
            case CompleteClaim():
                self.claims.complete(event)
            case ReleaseClaim(key):
                self.claims.release(key)
            case Write():
                self._on_write(event)
            case Read(ref, collection, key, group):
                self.quorum_requests.read((collection, key), self.slot_of(group or key), ref)
            case Tick():
                pass

    def _on_write(self, write: Write) -> None:
        change = Change(
            ChangeKind.WRITE,
            self.claims.new_owner(),
            value=write.value,
            expected_version=write.expected_version,
            min_version=write.min_version,
        )
        key, expires_at = (write.collection, write.key), self.now + write.lifetime_s
        refused = self.proposer.propose(key, write.key, change, expires_at, write.ref or None)
        if refused is not None:
            self.answer(write.ref, refused)

    def _on_view(self, view: ViewInstalled) -> None:
        if view.epoch <= self.ranges.epoch or view.epoch < self.min_decision_epoch:
            return
        own_site = next((site for site in view.sites if site.name == self.name), None)
        if own_site is None or own_site.incarnation < self.incarnation:
            self.epoch = 0  # removed or not yet admitted: it decides nothing, and keeps its store
            self.min_decision_epoch = view.epoch if own_site is None else 0
            return
        self.ranges.install_view(view, self.now)
        self.epoch, self.min_decision_epoch = view.epoch, 0
        self.reachability.view_installed()
        self.anti_entropy.view_installed()
        self.proposer.view_installed()
        self.quorum_requests.view_installed()
        assigned, unready = len(self.ranges.assigned), len(self.ranges.unready)
        self.log(LogEvent.VIEW_INSTALLED, epoch=self.epoch, holds=assigned, ready=assigned - unready)

    # -- timers

    def _run_timers(self) -> None:
        now = self.now
        while self.timers and self.timers[0][0] <= now:
            self._run_timer(*heapq.heappop(self.timers))
        if now >= self.anti_entropy.sync_at:
            self.anti_entropy.sync()
        if now >= self.anti_entropy.repair_at:
            self.anti_entropy.repair()
        if now >= self.expire_at:
            self._expire()
        if now >= self.reachability.probe_at:
            self.reachability.probe()

    def _run_timer(self, at: float, ref: int) -> None:
        if ref < 0:
            self.proposer.on_timeout(-ref)
        elif (proposal := self.proposer.proposals.get(ref)) is not None:
            if proposal.next_send_at == at:
                self.proposer.on_timer(proposal)
        elif (request := self.quorum_requests.requests.get(ref)) is not None and request.next_send_at == at:
            self.quorum_requests.on_timer(request)

    def _expire(self) -> None:
        self.counts["expired"] += self.store.expire(self.now)
        self.claims.expire()
        next_expiry = self.claims.next_expiry(self.store.next_expiry)
        self.expire_at = max(next_expiry, self.now) + EXPIRY_INTERVAL_S

    # -- messages

    def _on_message(self, sender: str, message: Message) -> None:
        self.reachability.message_received(sender)
        if not self.epoch or not self.is_member(sender):
            return self._on_message_outside_view(sender, message)
        match message:
            case Prepare() | Accept() | Push() | Fetch():
                self._on_acceptor_request(sender, message)
            case Promise():
                self.proposer.on_promise(sender, message)
            case Accepted():
                self.proposer.on_accepted(sender, message)
            case Refuse():
                self.proposer.on_refuse(sender, message)
            case Pushed() | Fetched():
                self.quorum_requests.on_reply(sender, message)
            case RequestViews():
                self.anti_entropy.on_request_views(sender, message)
            case PastViews():
                self.anti_entropy.on_past_views(sender, message)
            case CompareRanges() | RangeStates() | FetchRange() | RangeChunk():
                self.anti_entropy.on_range_message(sender, message, self.epoch)

    def _on_acceptor_request(self, sender: str, request: AcceptorRequest) -> None:
        self.acceptor.on_request(sender, request)

    def _on_message_outside_view(self, sender: str, message: Message) -> None:
        """Handle a message while this member or the sender is not in the view."""
        self.counts["outside"] += 1
        if isinstance(message, Push) and message.slot in self.ranges.assigned:
            # The outcome of a member that left is still valid.
            self.acceptor.merge_copy(message.slot, message.key, message.entry, message.remaining_s)
        elif isinstance(message, CompareRanges | FetchRange) and self.min_decision_epoch:
            # This member was removed. Its successors fetch its entries, and from now on it decides under no
            # view before theirs. It may be a member again in their view, which it has not received yet; its
            # copies are then not ready.
            self.min_decision_epoch = max(self.min_decision_epoch, message.epoch)
            self.anti_entropy.on_range_message(sender, message, self.min_decision_epoch)
        elif isinstance(message, RangeStates | RangeChunk) and sender in self.ranges.departed_until:
            self.anti_entropy.on_range_message(sender, message, self.epoch)

    def gauges(self) -> dict[str, object]:
        """Return the gauges and counters of replication by name."""
        gauges: dict[str, object] = {
            "replication_epoch": self.epoch,
            "replication_ranges": len(self.ranges.assigned),
            "replication_unready": len(self.ranges.unready),
            "replication_kept": len(self.ranges.retained),
            "replication_entries": self.store.entries,
            "replication_bytes": self.store.bytes,
            "replication_open": len(self.proposer.proposals) + len(self.quorum_requests.requests),
        }
        return gauges | {f"replication_{name}": count for name, count in sorted(self.counts.items())}
