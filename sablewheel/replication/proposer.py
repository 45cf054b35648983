"""The proposer: has changes of registers accepted by a majority of their replicas. Pure."""

from __future__ import annotations

from typing import Protocol

from .context import ReplicaContext
from .entries import EMPTY, NO_BALLOT, AnswerStatus, Ballot, Change, ChangeKind, Entry, Key, State
from .messages import Accepted, Promise, RefusalReason, Refuse
from .paxos_register import Proposal, next_ballot
from .reachability import Reachability

MAX_PROMISED_KEYS = 4096  # bound of the cache of keys whose next ballot is promised to this member
READ_STATUSES = (AnswerStatus.KNOWN, AnswerStatus.RUNNING, AnswerStatus.STALE)  # nothing is proposed
FINAL_REFUSALS = {RefusalReason.FENCED: AnswerStatus.FENCED, RefusalReason.FULL: AnswerStatus.FULL}


class ProposalObserver(Protocol):
    """Is notified of the results of claims and releases."""

    def on_decided(self, proposal: Proposal, status: AnswerStatus, entry: Entry) -> None:
        """Handle the end of a proposal."""


class Proposer:
    """Proposals in progress.

    Invariant: there is at most one proposal for each key. Each new ballot is above all ballots of this member
    under this epoch and above those reported in refusals, so no two proposals share a ballot.
    """

    def __init__(self, context: ReplicaContext, reachability: Reachability) -> None:
        self._context, self._reachability = context, reachability
        self.observer: ProposalObserver | None = None
        self.proposals: dict[int, Proposal] = {}  # by ref
        self._by_key: dict[Key, int] = {}
        self.promised: dict[Key, tuple[Ballot, Entry]] = {}  # promised next ballot, last accepted entry
        self.last_round = 0

    def propose(
        self,
        key: Key,
        group: bytes,
        change: Change,
        expires_at: float,
        caller_ref: int | None,
        binding_version: int = 0,
    ) -> AnswerStatus | None:
        """Start a change.

        Returns:
            None if the change has started, else BUSY or FULL.
        """
        context = self._context
        current_ref = self._by_key.get(key)
        if current_ref is not None:
            current = self.proposals[current_ref]
            if change.kind is ChangeKind.WRITE or current.caller_ref is not None:
                return AnswerStatus.BUSY
            self._close(current)  # it is this member's own release, which the new change replaces
        if len(self.proposals) >= 2 * context.settings.max_claims:
            return AnswerStatus.FULL
        proposal = Proposal(
            context.next_ref(),
            key,
            context.slot_of(group),
            group,
            change,
            expires_at,
            binding_version,
            caller_ref,
        )
        self.proposals[proposal.ref] = proposal
        self._by_key[key] = proposal.ref
        if caller_ref is not None:
            context.set_timer(context.now + context.settings.claim_timeout_s, -proposal.ref)
        self._begin(proposal)
        return None

    def view_installed(self) -> None:
        """Restart all proposals under the new view; promises under the old view are void."""
        self.promised.clear()
        for proposal in list(self.proposals.values()):
            self._begin(proposal)

    def _begin(self, proposal: Proposal) -> None:
        """Start a proposal under the current view, with a ballot above all that this member has seen."""
        context = self._context
        promised = self.promised.pop(proposal.key, None)
        replicas = context.replicas_of(proposal.slot)
        quorum = context.quorum_size(len(replicas))
        if promised is not None and promised[0][0] == context.epoch:
            proposal.begin(context.epoch, replicas, quorum, *promised)
            if proposal.status_if_accepted in READ_STATUSES:
                promised = None  # that entry may be outdated; a current one needs a prepare phase
        if promised is None or promised[0][0] != context.epoch:
            self.last_round += 2
            ballot = (context.epoch, self.last_round, context.name, context.incarnation)
            proposal.begin(context.epoch, replicas, quorum, ballot)
        self._schedule(proposal, context.now)

    def _schedule(self, proposal: Proposal, at: float) -> None:
        proposal.next_send_at = at  # timers that were set for another time are ignored
        self._context.set_timer(at, proposal.ref)

    # -- timers

    def on_timer(self, proposal: Proposal) -> None:
        """Send the unanswered messages of a proposal, restart it, or end it if it has expired."""
        context = self._context
        if proposal.expires_at <= context.now:
            return self._decide(proposal, AnswerStatus.UNREACHABLE)
        if not context.epoch:
            return self._schedule(proposal, context.now + context.settings.max_retry_s)
        if proposal.epoch != context.epoch or proposal.needs_new_ballot:
            proposal.needs_new_ballot = False
            return self._begin(proposal)
        proposal.was_sent = proposal.was_sent or proposal.proposed is not None
        for name, message in proposal.pending_messages(context.now):
            self._reachability.message_resent(name, proposal.attempts)
            context.send(name, message)
        proposal.attempts += 1
        self._schedule(proposal, context.next_retry(proposal.attempts - 1))

    def on_timeout(self, ref: int) -> None:
        """Answer a claim or write that is still open at its timeout."""
        proposal = self.proposals.get(ref)
        if proposal is not None and proposal.caller_ref is not None:
            is_full = RefusalReason.FULL in proposal.refusals.values()
            self._decide(proposal, AnswerStatus.FULL if is_full else AnswerStatus.UNREACHABLE)

    # -- messages

    def on_promise(self, sender: str, message: Promise) -> None:
        """Count a promise; with a majority, start the accept phase."""
        proposal = self._proposal_of(message.epoch, message.ref)
        if proposal is None or not proposal.add_promise(sender, message.ballot, message.entry):
            return
        if proposal.status_if_accepted in READ_STATUSES:
            return self._decide(proposal, proposal.status_if_accepted)
        proposal.attempts = 0
        self.on_timer(proposal)

    def on_accepted(self, sender: str, message: Accepted) -> None:
        """Count an acceptance; with a majority, the proposal is decided."""
        proposal = self._proposal_of(message.epoch, message.ref)
        if proposal is not None and proposal.add_acceptance(sender, message.ballot):
            assert proposal.status_if_accepted is not None
            self._decide(proposal, proposal.status_if_accepted)

    def on_refuse(self, sender: str, refuse: Refuse) -> None:
        """Restart or end a proposal, or answer it from the entry in the refusal."""
        self._context.counts[f"refused_{refuse.reason}"] += 1
        if refuse.reason is RefusalReason.EPOCH:
            return  # membership will install a newer view here or remove this member
        proposal = self._proposal_of(refuse.epoch, refuse.ref)
        if proposal is None:
            return
        self.last_round = max(self.last_round, refuse.ballot[1])
        if self._answer_from_refusal(proposal, refuse):
            return
        reason = proposal.add_refusal(sender, refuse.reason, refuse.refused)
        if reason is RefusalReason.BALLOT:
            self._back_off(proposal)
        elif reason is not None:
            self._decide(proposal, FINAL_REFUSALS[reason])

    def _answer_from_refusal(self, proposal: Proposal, refuse: Refuse) -> bool:
        """Answer a claim if the refusal has an outcome or another owner's claim; return whether it does."""
        is_waiting_for_promises = refuse.refused == proposal.ballot and proposal.proposed is None
        if proposal.change.kind is not ChangeKind.CLAIM or not is_waiting_for_promises:
            return False
        state = refuse.entry.state
        is_claimed_by_other = state is State.CLAIMED and refuse.entry.owner != proposal.change.owner
        if state is not State.COMPLETED and not is_claimed_by_other:
            return False
        proposal.proposed = refuse.entry  # only used for the answer, not sent to replicas
        self._decide(proposal, AnswerStatus.KNOWN if state is State.COMPLETED else AnswerStatus.RUNNING)
        return True

    def _back_off(self, proposal: Proposal) -> None:
        """Wait for a random time, so that two proposers of a key don't preempt each other forever."""
        context = self._context
        proposal.ballot, proposal.attempts = NO_BALLOT, max(proposal.attempts, 1)
        proposal.needs_new_ballot = True
        max_wait_s = context.settings.initial_retry_s * min(2**proposal.attempts, 8)
        self._schedule(proposal, context.now + context.rng.uniform(0.0, max_wait_s))

    def _proposal_of(self, epoch: int, ref: int) -> Proposal | None:
        proposal = self.proposals.get(ref)
        if proposal is None or epoch != proposal.epoch or self._context.is_foreign_epoch(epoch):
            return None
        return proposal

    # -- ending proposals

    def _close(self, proposal: Proposal) -> None:
        del self.proposals[proposal.ref]
        self._by_key.pop(proposal.key, None)

    def _decide(self, proposal: Proposal, status: AnswerStatus) -> None:
        self._close(proposal)
        entry = proposal.proposed or EMPTY
        if status in (AnswerStatus.WON, AnswerStatus.RELEASED) and proposal.proposed is not None:
            if len(self.promised) >= MAX_PROMISED_KEYS:
                self.promised.pop(next(iter(self.promised)))
            self.promised[proposal.key] = (next_ballot(proposal.ballot), proposal.proposed)
        if proposal.change.kind is not ChangeKind.WRITE:
            assert self.observer is not None
            self.observer.on_decided(proposal, status, entry)
        elif proposal.caller_ref is not None:
            self._context.answer(proposal.caller_ref, status, entry)
