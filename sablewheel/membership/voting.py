"""The vote on the next view: what `Agreement` says, carried in time, passed on in large views. Pure."""

from __future__ import annotations

import random
from collections.abc import Callable

from .consensus import ConsensusInstance, OutgoingMessage
from .member_table import MemberTable
from .messages import RoundMessage, Vote, Votes
from .outbox import Outbox
from .plan import Settings
from .view import ChangeKind, Proposal, changes_text

VOTES_FANOUT, VOTE_ROUNDS_PER_PERIOD = (
    4,
    5,
)  # whom votes are passed on to, and how often in a period, in a large view
MAX_TALLIES_PER_MESSAGE = 4  # proposals in one message of votes
MAX_TALLIES_BYTES = 52_000  # of their members: past it the most voted for goes with fewer others


class Voting:
    """`decide(now, proposal)` hears what was agreed, once an epoch."""

    def __init__(
        self,
        roster: MemberTable,
        out: Outbox,
        settings: Settings,
        chance: random.Random,
        decide: Callable[[float, Proposal], None],
    ) -> None:
        self._member_table, self._outbox, self._settings, self._random = roster, out, settings, chance
        self._on_decision = decide
        self.consensus: ConsensusInstance | None = None
        self._voted_at = self._next_vote_gossip_at = 0.0
        self._classic_rounds = 0
        self._last_decision: tuple[int, Votes] | None = None  # the epoch it ended, for who is still at it

    @property
    def has_voted(self) -> bool:
        """Whether this member's fast vote of the epoch is cast."""
        return self.consensus is not None and self.consensus.has_voted

    def propose(self, now: float, cut: Proposal) -> None:
        agreement = self._current_consensus()
        self._voted_at = now
        size, removed = len(agreement.acceptors), sum(one.kind is ChangeKind.REMOVE for one in cut)
        if size - removed < agreement.fast_quorum and self._settings.injected_fault != "one-at-a-time":
            # Those who stay are too few to decide it fast: there is nothing to wait for.
            self._voted_at -= self._settings.vote_timeout_s - self._settings.period_s / 2
        self._outbox.log("proposed", epoch=agreement.epoch, changes=changes_text(cut))
        self._send_all(now, agreement.propose(cut))

    def handle_round_message(self, now: float, sender: str, body: RoundMessage) -> None:
        """A vote, or a message of a classic round, of the epoch that is held."""
        agreement = self._current_consensus()
        if isinstance(body, Vote) and not agreement.votes:
            self._voted_at = now
        self._send_all(now, agreement.handle(sender, body))

    def handle_relayed_votes(self, now: float, sender: str, epoch: int, votes: Votes) -> None:
        """Votes that a member of a large view passes on."""
        view = self._member_table.view
        if view is None:
            return
        if epoch < view.epoch:
            if self._last_decision is not None and self._last_decision[0] == epoch:
                self._outbox.send(
                    sender, self._last_decision[1], epoch=epoch
                )  # it is still at what was decided here
        elif epoch == view.epoch:
            agreement = self._current_consensus()
            if not agreement.votes:
                self._voted_at = self._next_vote_gossip_at = now
            for cut, bits in votes.tallies[:MAX_TALLIES_PER_MESSAGE]:
                agreement.merge_votes(cut, bits)
            self._check_decision(now)

    def clear(self) -> None:
        """Of an epoch that is over."""
        self.consensus = None

    # -- timers

    def wakeup_times(self) -> list[float]:
        if not self._is_undecided():
            return []
        times = [self._voted_at + self._settings.vote_timeout_s * (1 + self._classic_rounds)]
        return [*times, self._next_vote_gossip_at] if self._member_table.is_large else times

    def run_timers(self, now: float) -> None:
        self._gossip_votes(now)
        self._start_classic_round_if_due(now)

    def _is_undecided(self) -> bool:
        agreement = self.consensus
        return agreement is not None and agreement.decided is None and bool(agreement.votes)

    def _gossip_votes(self, now: float) -> None:
        """In a large view the votes that this member knows go to a few others again and again, so that a
        decision costs each some messages a round of about log n, not one from each to each."""
        if self.consensus is None or not self._is_undecided() or not self._member_table.is_large:
            return
        if now >= self._next_vote_gossip_at:
            self._next_vote_gossip_at = now + self._settings.period_s / VOTE_ROUNDS_PER_PERIOD
            tallies = _fitting(sorted(self.consensus.votes.items(), key=lambda one: -one[1].bit_count()))
            for name in self._member_table.random_names(self._random, VOTES_FANOUT):
                self._outbox.send(name, Votes(tuple(tallies)))

    def _start_classic_round_if_due(self, now: float) -> None:
        """No fast decision in time: a classic round, coordinators spread apart by chance."""
        if self.consensus is None or not self._is_undecided():
            return
        if now < self._voted_at + self._settings.vote_timeout_s * (1 + self._classic_rounds):
            return
        self._classic_rounds += 1
        self._voted_at = now + self._random.uniform(0, self._settings.vote_timeout_s)
        self._outbox.log("classic round", epoch=self.consensus.epoch, round=self._classic_rounds)
        self._send_all(now, self.consensus.start_classic_round(self._classic_rounds))

    # -- the epoch's agreement

    def _current_consensus(self) -> ConsensusInstance:
        view = self._member_table.view
        assert view is not None
        if self.consensus is None or self.consensus.epoch != view.epoch:
            self.consensus = ConsensusInstance(
                view.epoch, view.names, self._member_table.local_member.name, view.positions
            )
            self._classic_rounds = 0
        return self.consensus

    def _send_all(self, now: float, outs: list[OutgoingMessage]) -> None:
        for to, body in outs:
            if to is None and isinstance(body, Vote) and self._member_table.is_large:
                self._next_vote_gossip_at = now  # passed on with what others voted
            elif to is None:
                self._outbox.broadcast(body)
            elif to != self._member_table.local_member.name:
                self._outbox.send(to, body)
        self._check_decision(now)

    def _check_decision(self, now: float) -> None:
        agreement, view = self.consensus, self._member_table.view
        if agreement is None or agreement.decided is None or view is None or agreement.epoch != view.epoch:
            return
        if self._member_table.is_large and agreement.decided in agreement.votes:
            decision = Votes(((agreement.decided, agreement.votes[agreement.decided]),))
            self._last_decision = (view.epoch, decision)
        self._on_decision(now, agreement.decided)


def _fitting(tallies: list[tuple[Proposal, int]]) -> list[tuple[Proposal, int]]:
    """The first ones, as many as fit a datagram; the first in any case. Guards a vote against proposals of
    many members that differ: a message that is too large would not be sent at all, and nothing decided."""
    room, kept = MAX_TALLIES_BYTES, list[tuple[Proposal, int]]()
    for cut, bits in tallies[:MAX_TALLIES_PER_MESSAGE]:
        room -= sum(one.member.max_encoded_bytes for one in cut) + bits.bit_length() // 8
        if kept and room < 0:
            break
        kept.append((cut, bits))
    return kept
