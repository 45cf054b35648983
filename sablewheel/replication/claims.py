"""The claims of this member's own runs, from the first proposal to the stored outcome or the release. Pure.

A claim is never taken over: unless its owner releases it, only the owner may run the idempotency key.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from .context import IDEMPOTENCY_KEYS, ReplicaContext
from .entries import (
    EMPTY,
    AnswerStatus,
    Change,
    ChangeKind,
    Entry,
    Outcome,
    OutcomeStatus,
    Owner,
    State,
    merge,
)
from .messages import Claim, CompleteClaim, LogEvent, OutcomeStored
from .paxos_register import Proposal, merge_all
from .plan import MAX_OUTCOMES
from .proposer import Proposer
from .quorum_requests import QuorumRequests
from .reachability import Reachability


class ClaimState(Enum):
    """The state of a claim of this process."""

    PROPOSED = "proposed"
    WON = "won"
    COMPLETING = "completing"  # the outcome is being pushed to a majority
    RELEASING = "releasing"


@dataclass(slots=True)
class OwnClaim:
    """A claim of this process, until it is completed, released or expired."""

    owner: Owner
    slot: int
    group: bytes
    expires_at: float
    state: ClaimState = ClaimState.PROPOSED
    entry: Entry = EMPTY


class Claims:
    """The claims of this process by idempotency key.

    Invariant: a key is in `own_claims` from its claim until its outcome is stored on a majority, its release
    is decided, or its lifetime has passed; WON is answered at most once in that time.
    """

    def __init__(
        self,
        context: ReplicaContext,
        proposer: Proposer,
        quorum_requests: QuorumRequests,
        reachability: Reachability,
    ) -> None:
        self._context, self._proposer, self._reachability = context, proposer, reachability
        self._quorum_requests = quorum_requests
        proposer.observer = quorum_requests.observer = self
        self.own_claims: dict[bytes, OwnClaim] = {}
        self._change_count = 0

    def new_owner(self) -> Owner:
        """Return an owner that no other claim or write has."""
        self._change_count += 1
        return (self._context.name, self._context.incarnation, self._change_count)

    # -- events

    def claim(self, claim: Claim) -> None:
        """Claim an idempotency key, unless this member already has a claim or an outcome of it."""
        context, own_claim = self._context, self.own_claims.get(claim.key)
        slot = context.slot_of(claim.group)
        if own_claim is not None and own_claim.state is not ClaimState.RELEASING:
            return context.answer(claim.ref, AnswerStatus.RUNNING, own_claim.entry)  # claimed here
        stored = context.store.entry(slot, (IDEMPOTENCY_KEYS, claim.key))
        if own_claim is None and stored.state is State.COMPLETED:
            return context.answer(claim.ref, AnswerStatus.KNOWN, stored)  # valid even in an unready range
        if own_claim is None:
            if len(self.own_claims) >= context.settings.max_claims:
                return context.answer(claim.ref, AnswerStatus.FULL)
            own_claim = OwnClaim(self.new_owner(), slot, claim.group, 0.0)
            self.own_claims[claim.key] = own_claim
        # A claim that is being released has not run: the same owner may claim the key with it again.
        own_claim.state = ClaimState.PROPOSED
        own_claim.expires_at = context.now + min(claim.lifetime_s, context.settings.max_lifetime_s)
        context.schedule_expiry(own_claim.expires_at)
        self._propose_claim(claim, own_claim)

    def _propose_claim(self, claim: Claim, own_claim: OwnClaim) -> None:
        refused = self._proposer.propose(
            (IDEMPOTENCY_KEYS, claim.key),
            claim.group,
            Change(ChangeKind.CLAIM, own_claim.owner, digest=claim.digest),
            own_claim.expires_at,
            claim.ref or None,
            claim.binding_version,
        )
        if refused is AnswerStatus.FULL:
            del self.own_claims[claim.key]
        if refused is not None:
            self._context.answer(claim.ref, refused)

    def release(self, key: bytes) -> None:
        """Release a won claim whose run will not start."""
        own_claim = self.own_claims.get(key)
        if own_claim is not None and own_claim.state is ClaimState.WON:
            self._begin_release(key, own_claim)

    def _begin_release(self, key: bytes, own_claim: OwnClaim) -> None:
        own_claim.state = ClaimState.RELEASING
        if own_claim.expires_at <= self._context.now:
            del self.own_claims[key]
            return
        change = Change(ChangeKind.RELEASE, own_claim.owner)
        refused = self._proposer.propose(
            (IDEMPOTENCY_KEYS, key), own_claim.group, change, own_claim.expires_at, None
        )
        if refused is not None:
            self._context.answer(0, refused)

    def complete(self, completion: CompleteClaim) -> None:
        """Push the outcome of a won claim's run to a majority."""
        own_claim = self.own_claims.get(completion.key)
        if own_claim is None or own_claim.state is not ClaimState.WON:
            self._context.counts["finished_unknown"] += 1
            return
        status, result = completion.status, completion.result
        if len(result) > self._context.settings.max_result_bytes:
            status, result = OutcomeStatus.RESULT_DROPPED, b""
            self._context.counts["results_unkept"] += 1
        own_claim.state = ClaimState.COMPLETING
        outcome = Outcome(own_claim.entry.version, own_claim.owner, status, result)
        outcomes = tuple(sorted({*own_claim.entry.outcomes, outcome})[:MAX_OUTCOMES])
        own_claim.entry = replace(own_claim.entry, outcomes=outcomes)
        key = (IDEMPOTENCY_KEYS, completion.key)
        self._quorum_requests.push(key, own_claim.slot, own_claim.expires_at, own_claim.entry)

    # -- decisions

    def on_decided(self, proposal: Proposal, status: AnswerStatus, entry: Entry) -> None:
        """Handle the end of a claim or release: it was decided, or no majority answered in time."""
        key = proposal.key[1]
        own_claim = self.own_claims.get(key)
        if proposal.change.kind is ChangeKind.RELEASE:
            if own_claim is not None and own_claim.state is ClaimState.RELEASING:
                del self.own_claims[key]
            return
        assert own_claim is not None
        if status is AnswerStatus.UNREACHABLE:
            self._reachability.range_failed(proposal.slot)
            status, entry = self._status_without_majority(proposal, entry)
        else:
            self._reachability.range_succeeded(proposal.slot)
        if status is AnswerStatus.WON:
            own_claim.state, own_claim.entry = ClaimState.WON, entry
            if self._context.now >= own_claim.expires_at:  # decided after its lifetime: too late to run
                status = AnswerStatus.UNREACHABLE
                self._begin_release(key, own_claim)
        elif (
            proposal.was_sent and status is not AnswerStatus.KNOWN and own_claim.state is ClaimState.PROPOSED
        ):
            self._begin_release(key, own_claim)  # replicas may have accepted it, and its run will not start
        else:
            del self.own_claims[key]
        if proposal.caller_ref is not None:
            self._context.answer(proposal.caller_ref, status, entry)

    def _status_without_majority(self, proposal: Proposal, entry: Entry) -> tuple[AnswerStatus, Entry]:
        """Return the status and entry of a claim without a majority.

        If any replica has a claim of another owner or an outcome, the request may have run and must not be
        rejected.
        """
        merged = merge_all(proposal.promises.values())
        merged = merge(merged, self._context.store.entry(proposal.slot, proposal.key))
        if merged.state is State.COMPLETED:
            return AnswerStatus.KNOWN, merged
        if merged.state is State.CLAIMED and merged.owner != proposal.change.owner:
            return AnswerStatus.RUNNING, merged
        return AnswerStatus.UNREACHABLE, entry

    def on_outcome_stored(self, key: bytes) -> None:
        """Remove a claim whose outcome a majority has stored."""
        self.own_claims.pop(key, None)
        self._context.emit(OutcomeStored(key))

    def on_outcome_expired(self, key: bytes) -> None:
        """Remove a claim whose entry expired before a majority had stored the outcome."""
        if self.own_claims.pop(key, None) is not None:
            self._context.log(LogEvent.OUTCOME_NOT_STORED, key=key.hex())

    # -- expiry

    def expire(self) -> None:
        """Remove won claims whose lifetime has passed without an outcome."""
        now = self._context.now
        expired = [
            key
            for key, own_claim in self.own_claims.items()
            if own_claim.expires_at <= now and own_claim.state is ClaimState.WON
        ]
        for key in expired:
            del self.own_claims[key]
            self._context.counts["never_finished"] += 1

    def next_expiry(self, default: float) -> float:
        """Return when the next claim expires, or `default` if that is earlier."""
        return min([default, *(own_claim.expires_at for own_claim in self.own_claims.values())])
