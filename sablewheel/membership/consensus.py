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

from .messages import FAST, Accept, Accepted, Ballot, Body, Prepare, Promise, Vote
from .view import Proposal

Out = tuple[str | None, Body]  # to one acceptor by name, or to all (None)


class Agreement:
    """One epoch's decision; `acceptors` are the members of the view at that epoch."""

    def __init__(
        self, epoch: int, acceptors: tuple[str, ...], me: str, places: Mapping[str, int] | None = None
    ) -> None:
        self.epoch, self.acceptors, self.me = epoch, acceptors, me
        self._places = places or {name: place for place, name in enumerate(acceptors)}
        n = len(acceptors)
        self.fast_quorum = n - (n - 1) // 4
        self.quorum = n // 2 + 1
        self.votes: dict[Proposal, int] = {}  # who voted for each in the fast round, a bit an acceptor
        self.promised: Ballot = FAST
        self.voted: Ballot = FAST
        self.value: Proposal | None = None
        self.accepted: dict[Ballot, dict[str, Proposal]] = {}
        self.ballot: Ballot | None = None  # mine, as coordinator
        self.promises: dict[str, tuple[Ballot, Proposal | None]] = {}
        self.asked = False
        self.decided: Proposal | None = None
        self.own: Proposal | None = None

    def propose(self, proposal: Proposal) -> list[Out]:
        """My fast vote, once, and only while I have promised no classic round."""
        if self.own is None:
            self.own = proposal
        if self.me not in self._places or self.has_voted or self.promised != FAST:
            return []
        self.voted, self.value = FAST, proposal
        return [(None, Vote(proposal)), *self.take(self.me, Vote(proposal))]

    @property
    def has_voted(self) -> bool:
        """Whether this member's fast vote is cast."""
        place = self._places.get(self.me)
        return place is not None and any(bits >> place & 1 for bits in self.votes.values())

    def merge(self, proposal: Proposal, bits: int) -> bool:
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

    def take(self, sender: str, body: Body) -> list[Out]:
        """A message of this epoch from `sender`; what to send because of it."""
        if sender not in self._places or self.decided is not None:
            return []
        match body:
            case Vote(proposal):
                self.merge(proposal, 1 << self._places[sender])
            case Prepare(ballot) if ballot > self.promised:
                self.promised = ballot
                return self._to(sender, Promise(ballot, self.voted, self.value))
            case Promise(ballot, voted, value) if ballot == self.ballot and not self.asked:
                self.promises[sender] = (voted, value)
                if len(self.promises) >= self.quorum and (chosen := self._choose()) is not None:
                    self.asked = True
                    return [(None, Accept(ballot, chosen)), *self.take(self.me, Accept(ballot, chosen))]
            case Accept(ballot, value) if ballot >= self.promised:
                self.promised = self.voted = ballot
                self.value = value
                return [(None, Accepted(ballot, value)), *self.take(self.me, Accepted(ballot, value))]
            case Accepted(ballot, value):
                those = self.accepted.setdefault(ballot, {})
                those[sender] = value
                if len(those) >= self.quorum:
                    self.decided = value
        return []

    def classic(self, round_: int) -> list[Out]:
        """Coordinate a classic round above any seen; my own promise is taken at once."""
        round_ = max(round_, self.promised[0] + 1)
        self.ballot, self.promises, self.asked = (round_, self.me), {}, False
        return [(None, Prepare(self.ballot)), *self.take(self.me, Prepare(self.ballot))]

    def _to(self, sender: str, body: Body) -> list[Out]:
        if sender == self.me:
            return self.take(self.me, body) if isinstance(body, Promise) else []
        return [(sender, body)]

    def _choose(self) -> Proposal | None:
        """A value that no earlier decision can contradict."""
        classic = [(voted, value) for voted, value in self.promises.values() if voted != FAST and value]
        if classic:
            return max(classic, key=lambda one: one[0])[1]  # of one ballot there is one value
        fast = Counter(value for voted, value in self.promises.values() if value is not None)
        if fast:
            # One with F + Q - n votes here is the most voted for, since any other has n - F at most: so the
            # most voted for keeps a fast decision, and where there was none any value will do.
            return min(fast.items(), key=lambda item: (-item[1], repr(item[0])))[0]
        return self.own
