"""Consensus on the next view: Fast Paxos for one epoch, with classic rounds when the fast round fails.

No I/O: methods take messages and return the messages to send. In the fast round every member votes for its
own proposal; a proposal with a fast quorum (F = n - (n-1)//4 of n members) is decided in one step, as in
Rapid, since members that received the same alerts make equal proposals. Otherwise a coordinator runs classic
rounds with majority quorums (Q). It picks the value that a fast quorum may have chosen (only one can have
F + Q - n votes among Q promises), so that two members never decide different views at one epoch. If no
majority is reachable, nothing is decided and the view does not change.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from .messages import FAST_BALLOT, Accept, Accepted, Ballot, Body, Prepare, Promise, Vote
from .view import Proposal

OutgoingMessage = tuple[str | None, Body]  # recipient's name (None for all acceptors) and message


class ConsensusInstance:
    """The consensus of one epoch; `acceptors` are the members of its view."""

    def __init__(
        self,
        epoch: int,
        acceptors: tuple[str, ...],
        node_name: str,
        positions: Mapping[str, int] | None = None,
    ) -> None:
        self.epoch, self.acceptors, self.node_name = epoch, acceptors, node_name
        self._positions = positions or {name: position for position, name in enumerate(acceptors)}
        acceptor_count = len(acceptors)
        self.fast_quorum = acceptor_count - (acceptor_count - 1) // 4
        self.classic_quorum = acceptor_count // 2 + 1
        self.votes: dict[Proposal, int] = {}  # fast votes by proposal, as a bit mask of the acceptors
        self.promised_ballot: Ballot = FAST_BALLOT
        self.accepted_ballot: Ballot = FAST_BALLOT
        self.accepted_value: Proposal | None = None
        self.accepted_by_ballot: dict[Ballot, dict[str, Proposal]] = {}
        self.own_ballot: Ballot | None = None  # of the classic round that this member coordinates, if any
        self.promises: dict[str, tuple[Ballot, Proposal | None]] = {}
        self.accept_sent = False
        self.decided: Proposal | None = None
        self.own_proposal: Proposal | None = None

    def propose(self, proposal: Proposal) -> list[OutgoingMessage]:
        """Cast this member's fast vote, once and only before it makes a promise in a classic round."""
        if self.own_proposal is None:
            self.own_proposal = proposal
        if self.node_name not in self._positions or self.has_voted or self.promised_ballot != FAST_BALLOT:
            return []
        self.accepted_ballot, self.accepted_value = FAST_BALLOT, proposal
        return self._broadcast(Vote(proposal))

    @property
    def has_voted(self) -> bool:
        """Whether this member has cast its fast vote."""
        position = self._positions.get(self.node_name)
        return position is not None and any(voters >> position & 1 for voters in self.votes.values())

    def merge_votes(self, proposal: Proposal, voters: int) -> bool:
        """Add fast votes, a bit mask of acceptors; return whether any was new.

        Only the first vote of each acceptor counts.
        """
        counted = 0
        for known_voters in self.votes.values():
            counted |= known_voters
        new = voters & ~counted & ((1 << len(self.acceptors)) - 1)
        if not new:
            return False
        self.votes[proposal] = self.votes.get(proposal, 0) | new
        if self.votes[proposal].bit_count() >= self.fast_quorum and self.decided is None:
            self.decided = proposal
        return True

    def handle(self, sender: str, body: Body) -> list[OutgoingMessage]:
        """Handle a message of this epoch and return what to send in response."""
        if sender not in self._positions or self.decided is not None:
            return []
        match body:
            case Vote(proposal):
                self.merge_votes(proposal, 1 << self._positions[sender])
            case Prepare(ballot) if ballot > self.promised_ballot:
                self.promised_ballot = ballot
                return self._reply(sender, Promise(ballot, self.accepted_ballot, self.accepted_value))
            case Promise() if body.ballot == self.own_ballot and not self.accept_sent:
                return self._handle_promise(sender, body)
            case Accept(ballot, value) if ballot >= self.promised_ballot:
                self.promised_ballot = self.accepted_ballot = ballot
                self.accepted_value = value
                return self._broadcast(Accepted(ballot, value))
            case Accepted(ballot, value):
                by_acceptor = self.accepted_by_ballot.setdefault(ballot, {})
                by_acceptor[sender] = value
                if len(by_acceptor) >= self.classic_quorum:
                    self.decided = value
        return []

    def start_classic_round(self, min_round: int) -> list[OutgoingMessage]:
        """Start a classic round as its coordinator, with a number above any round seen."""
        round_number = max(min_round, self.promised_ballot[0] + 1)
        self.own_ballot, self.promises, self.accept_sent = (round_number, self.node_name), {}, False
        return self._broadcast(Prepare(self.own_ballot))

    def _handle_promise(self, sender: str, promise: Promise) -> list[OutgoingMessage]:
        self.promises[sender] = (promise.accepted_ballot, promise.value)
        if len(self.promises) < self.classic_quorum:
            return []
        value = self._safe_value()
        if value is None:
            return []
        self.accept_sent = True
        return self._broadcast(Accept(promise.ballot, value))

    def _broadcast(self, body: Body) -> list[OutgoingMessage]:
        """Return a message to all and this member's own responses to it."""
        return [(None, body), *self.handle(self.node_name, body)]

    def _reply(self, sender: str, promise: Promise) -> list[OutgoingMessage]:
        if sender == self.node_name:
            return self.handle(self.node_name, promise)
        return [(sender, promise)]

    def _safe_value(self) -> Proposal | None:
        """Return a value that cannot contradict an earlier decision."""
        classic_values = [
            (ballot, value) for ballot, value in self.promises.values() if ballot != FAST_BALLOT and value
        ]
        if classic_values:
            return max(classic_values, key=lambda accepted: accepted[0])[1]  # each ballot has a single value
        fast_votes = Counter(value for _, value in self.promises.values() if value is not None)
        if fast_votes:
            # A value that the fast round decided has at least F + Q - n votes here, and any other value at
            # most n - F, which is fewer. So the value with the most votes preserves a fast decision; without
            # a fast decision any value is safe.
            return min(fast_votes.items(), key=lambda item: (-item[1], repr(item[0])))[0]
        return self.own_proposal
