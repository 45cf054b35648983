"""Voting on the next view: runs the epoch's consensus instance and relays votes in large views. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable

from .consensus import ConsensusInstance, OutgoingMessage
from .member_table import MemberTable
from .messages import RoundMessage, Vote, Votes
from .outbox import Outbox
from .plan import Settings
from .view import ChangeKind, Proposal, changes_text

VOTE_GOSSIP_FANOUT = 4  # members that the votes are relayed to at a time, in a large view
VOTE_GOSSIPS_PER_PERIOD = 5
MAX_TALLIES_PER_MESSAGE = 4
MAX_TALLIES_BYTES = 52_000  # of all proposals in a message, a little below the limit of a datagram

Tally = tuple[Proposal, int]  # a proposal and the bit mask of its voters


class Voting:
    """Runs the votes of an epoch and calls `on_decision(now, proposal)` once it has decided a proposal."""

    def __init__(
        self,
        member_table: MemberTable,
        outbox: Outbox,
        settings: Settings,
        rng: random.Random,
        on_decision: Callable[[float, Proposal], None],
    ) -> None:
        self._member_table, self._outbox, self._settings, self._rng = member_table, outbox, settings, rng
        self._on_decision = on_decision
        self.consensus: ConsensusInstance | None = None
        self._round_started_at = self._next_vote_gossip_at = 0.0
        self._classic_rounds = 0
        self._last_decision: tuple[int, Votes] | None = None  # epoch and votes, for members that are behind

    @property
    def has_voted(self) -> bool:
        """Whether this member has cast its fast vote of the epoch."""
        return self.consensus is not None and self.consensus.has_voted

    def propose(self, now: float, proposal: Proposal) -> None:
        """Vote for a proposal in the fast round."""
        consensus = self._current_consensus()
        self._round_started_at = now
        remaining = len(consensus.acceptors) - sum(change.kind is ChangeKind.REMOVE for change in proposal)
        if remaining < consensus.fast_quorum and self._settings.injected_fault != "one-at-a-time":
            # The remaining members cannot decide the fast round, so a classic round follows soon.
            self._round_started_at -= self._settings.vote_timeout_s - self._settings.period_s / 2
        self._outbox.log("proposed", epoch=consensus.epoch, changes=changes_text(proposal))
        self._send_all(now, consensus.propose(proposal))

    def handle_round_message(self, now: float, sender: str, body: RoundMessage) -> None:
        """Handle a vote or a message of a classic round of the current epoch."""
        consensus = self._current_consensus()
        if isinstance(body, Vote) and not consensus.votes:
            self._round_started_at = now
        self._send_all(now, consensus.handle(sender, body))

    def handle_relayed_votes(self, now: float, sender: str, epoch: int, votes: Votes) -> None:
        """Handle votes that a member of a large view relays."""
        view = self._member_table.view
        if view is None:
            return
        if epoch < view.epoch:
            if self._last_decision is not None and self._last_decision[0] == epoch:
                # The sender has not decided yet.
                self._outbox.send(sender, self._last_decision[1], epoch=epoch)
        elif epoch == view.epoch:
            consensus = self._current_consensus()
            if not consensus.votes:
                self._round_started_at = self._next_vote_gossip_at = now
            for proposal, voters in votes.tallies[:MAX_TALLIES_PER_MESSAGE]:
                consensus.merge_votes(proposal, voters)
            self._check_decision(now)

    def clear(self) -> None:
        """Discard the consensus of the previous epoch."""
        self.consensus = None

    # -- timers

    def wakeup_times(self) -> list[float]:
        """Return the times at which a classic round starts and votes are relayed."""
        if not self._is_undecided():
            return []
        times = [self._classic_round_at()]
        return [*times, self._next_vote_gossip_at] if self._member_table.is_large else times

    def run_timers(self, now: float) -> None:
        """Relay votes and start a classic round, when they are due."""
        self._gossip_votes(now)
        self._start_classic_round_if_due(now)

    def _classic_round_at(self) -> float:
        return self._round_started_at + self._settings.vote_timeout_s * (1 + self._classic_rounds)

    def _is_undecided(self) -> bool:
        consensus = self.consensus
        return consensus is not None and consensus.decided is None and bool(consensus.votes)

    def _gossip_votes(self, now: float) -> None:
        """Relay the known votes of a large view to a few members, periodically.

        A decision then costs each member about log n messages instead of one message to each other member.
        """
        if self.consensus is None or not self._is_undecided() or not self._member_table.is_large:
            return
        if now >= self._next_vote_gossip_at:
            self._next_vote_gossip_at = now + self._settings.period_s / VOTE_GOSSIPS_PER_PERIOD
            most_voted_first = sorted(self.consensus.votes.items(), key=lambda tally: -tally[1].bit_count())
            tallies = fit_tallies(most_voted_first)
            for name in self._member_table.random_names(self._rng, VOTE_GOSSIP_FANOUT):
                self._outbox.send(name, Votes(tuple(tallies)))

    def _start_classic_round_if_due(self, now: float) -> None:
        """Start a classic round if none has decided in time; a random delay spreads the coordinators."""
        if self.consensus is None or not self._is_undecided() or now < self._classic_round_at():
            return
        self._classic_rounds += 1
        self._round_started_at = now + self._rng.uniform(0, self._settings.vote_timeout_s)
        self._outbox.log("classic round", epoch=self.consensus.epoch, round=self._classic_rounds)
        self._send_all(now, self.consensus.start_classic_round(self._classic_rounds))

    # -- the consensus of the epoch

    def _current_consensus(self) -> ConsensusInstance:
        view = self._member_table.view
        assert view is not None
        if self.consensus is None or self.consensus.epoch != view.epoch:
            local_name = self._member_table.local_member.name
            self.consensus = ConsensusInstance(view.epoch, view.names, local_name, view.positions)
            self._classic_rounds = 0
        return self.consensus

    def _send_all(self, now: float, messages: list[OutgoingMessage]) -> None:
        for recipient, body in messages:
            if recipient is None and isinstance(body, Vote) and self._member_table.is_large:
                self._next_vote_gossip_at = now  # relayed with the other votes
            elif recipient is None:
                self._outbox.broadcast(body)
            elif recipient != self._member_table.local_member.name:
                self._outbox.send(recipient, body)
        self._check_decision(now)

    def _check_decision(self, now: float) -> None:
        consensus, view = self.consensus, self._member_table.view
        if consensus is None or view is None or consensus.epoch != view.epoch:
            return
        decided = consensus.decided
        if decided is None:
            return
        if self._member_table.is_large and decided in consensus.votes:
            self._last_decision = (view.epoch, Votes(((decided, consensus.votes[decided]),)))
        self._on_decision(now, decided)


def fit_tallies(tallies: list[Tally]) -> list[Tally]:
    """Return the first tallies: at least one, and as many as fit a datagram.

    A message that is too large would not be sent at all, and nothing would be decided.
    """
    bytes_left = MAX_TALLIES_BYTES
    fitting: list[Tally] = []
    for proposal, voters in tallies[:MAX_TALLIES_PER_MESSAGE]:
        bytes_left -= sum(change.member.max_encoded_bytes for change in proposal) + voters.bit_length() // 8
        if fitting and bytes_left < 0:
            break
        fitting.append((proposal, voters))
    return fitting
