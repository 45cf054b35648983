"""Agreement on the next view: Fast Paxos for one epoch, and classic rounds when the fast one decides nothing.

Pure: messages in, messages out. In the fast round every member votes for its own proposal; a proposal with
a fast quorum (n - (n-1)//4 of n) is decided in one step, as in Rapid, since members that saw the same
reports hold equal proposals. Otherwise a coordinator runs classic rounds with majority quorums; it picks the
value that a fast quorum may have chosen (one with F + Q - n votes among Q promises can be the only one), so
that two members never decide two views at one epoch. With no majority reachable nothing is decided and the
view stands.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from .messages import FAST_BALLOT, Accept, Accepted, Ballot, Body, Prepare, Promise, Vote
from .view import Proposal

OutgoingMessage = tuple[str | None, Body]  # to one acceptor by name, or to all (None)


class ConsensusInstance:
    """One epoch's decision; `acceptors` are the members of the view at that epoch."""

    def __init__(
        self, epoch: int, acceptors: tuple[str, ...], me: str, places: Mapping[str, int] | None = None
    ) -> None:
        self.epoch, self.acceptors, self.node_name = epoch, acceptors, me
        self._positions = places or {name: place for place, name in enumerate(acceptors)}
        n = len(acceptors)
        self.fast_quorum = n - (n - 1) // 4
        self.classic_quorum = n // 2 + 1
        self.votes: dict[Proposal, int] = {}  # who voted for each in the fast round, a bit an acceptor
        self.promised_ballot: Ballot = FAST_BALLOT
        self.accepted_ballot: Ballot = FAST_BALLOT
        self.accepted_value: Proposal | None = None
        self.accepted_by_ballot: dict[Ballot, dict[str, Proposal]] = {}
        self.own_ballot: Ballot | None = None  # mine, as coordinator
        self.promises: dict[str, tuple[Ballot, Proposal | None]] = {}
        self.accept_sent = False
        self.decided: Proposal | None = None
        self.own_proposal: Proposal | None = None

    def propose(self, proposal: Proposal) -> list[OutgoingMessage]:
        """My fast vote, once, and only while I have promised no classic round."""
        if self.own_proposal is None:
            self.own_proposal = proposal
        if self.node_name not in self._positions or self.has_voted or self.promised_ballot != FAST_BALLOT:
            return []
        self.accepted_ballot, self.accepted_value = FAST_BALLOT, proposal
        return [(None, Vote(proposal)), *self.handle(self.node_name, Vote(proposal))]

    @property
    def has_voted(self) -> bool:
        """Whether this member's fast vote is cast."""
        place = self._positions.get(self.node_name)
        return place is not None and any(bits >> place & 1 for bits in self.votes.values())

    def merge_votes(self, proposal: Proposal, bits: int) -> bool:
        """Fast votes for a proposal, heard of; whether any was news. Each acceptor's first counts alone."""
        known = 0
        for held in self.votes.values():
            known |= held
        new = bits & ~known & ((1 << len(self.acceptors)) - 1)
        if not new:
            return False
        self.votes[proposal] = self.votes.get(proposal, 0) | new
        if self.votes[proposal].bit_count() >= self.fast_quorum and self.decided is None:
            self.decided = proposal
        return True

    def handle(self, sender: str, body: Body) -> list[OutgoingMessage]:
        """A message of this epoch from `sender`; what to send because of it."""
        if sender not in self._positions or self.decided is not None:
            return []
        match body:
            case Vote(proposal):
                self.merge_votes(proposal, 1 << self._positions[sender])
            case Prepare(ballot) if ballot > self.promised_ballot:
                self.promised_ballot = ballot
                return self._reply(sender, Promise(ballot, self.accepted_ballot, self.accepted_value))
            case Promise(ballot, voted, value) if ballot == self.own_ballot and not self.accept_sent:
                self.promises[sender] = (voted, value)
                if len(self.promises) >= self.classic_quorum and (chosen := self._safe_value()) is not None:
                    self.accept_sent = True
                    return [
                        (None, Accept(ballot, chosen)),
                        *self.handle(self.node_name, Accept(ballot, chosen)),
                    ]
            case Accept(ballot, value) if ballot >= self.promised_ballot:
                self.promised_ballot = self.accepted_ballot = ballot
                self.accepted_value = value
                return [
                    (None, Accepted(ballot, value)),
                    *self.handle(self.node_name, Accepted(ballot, value)),
                ]
            case Accepted(ballot, value):
                those = self.accepted_by_ballot.setdefault(ballot, {})
                those[sender] = value
                if len(those) >= self.classic_quorum:
                    self.decided = value
        return []

    def start_classic_round(self, round_: int) -> list[OutgoingMessage]:
        """Coordinate a classic round above any seen; my own promise is taken at once."""
        round_ = max(round_, self.promised_ballot[0] + 1)
        self.own_ballot, self.promises, self.accept_sent = (round_, self.node_name), {}, False
        return [(None, Prepare(self.own_ballot)), *self.handle(self.node_name, Prepare(self.own_ballot))]

    def _reply(self, sender: str, body: Body) -> list[OutgoingMessage]:
        if sender == self.node_name:
            return self.handle(self.node_name, body) if isinstance(body, Promise) else []
        return [(sender, body)]

    def _safe_value(self) -> Proposal | None:
        """A value that no earlier decision can contradict."""
        classic = [
            (voted, value) for voted, value in self.promises.values() if voted != FAST_BALLOT and value
        ]
        if classic:
            return max(classic, key=lambda one: one[0])[1]  # of one ballot there is one value
        fast = Counter(value for voted, value in self.promises.values() if value is not None)
        if fast:
            # One with F + Q - n votes here is the most voted for, since any other has n - F at most: so the
            # most voted for keeps a fast decision, and where there was none any value will do.
            return min(fast.items(), key=lambda item: (-item[1], repr(item[0])))[0]
        return self.own_proposal
