"""The vote on the next view: what `Agreement` says, carried in time, passed on in large views. Pure."""

from __future__ import annotations

import random
from collections.abc import Callable

from .consensus import Agreement, Out
from .member_table import Roster
from .messages import Round, Vote, Votes
from .outbox import Outbox
from .plan import Settings
from .view import Kind, Proposal, changes_text

VOTES_FANOUT, VOTES_EVERY = 4, 5  # whom votes are passed on to, and how often in a period, in a large view
TALLIES_MOST = 4  # proposals in one message of votes
TALLIES_BYTES_MOST = 52_000  # of their members: past it the most voted for goes with fewer others


class Voting:
    """`decide(now, proposal)` hears what was agreed, once an epoch."""

    def __init__(
        self,
        roster: Roster,
        out: Outbox,
        settings: Settings,
        chance: random.Random,
        decide: Callable[[float, Proposal], None],
    ) -> None:
        self._roster, self._out, self._settings, self._chance = roster, out, settings, chance
        self._decide = decide
        self.agreement: Agreement | None = None
        self._voted_at = self._next_votes = 0.0
        self._rounds = 0
        self._last: tuple[int, Votes] | None = None  # the epoch it ended, for who is still at it

    @property
    def has_voted(self) -> bool:
        """Whether this member's fast vote of the epoch is cast."""
        return self.agreement is not None and self.agreement.has_voted

    def propose(self, now: float, cut: Proposal) -> None:
        agreement = self._of_epoch()
        self._voted_at = now
        size, removed = len(agreement.acceptors), sum(one.kind is Kind.REMOVE for one in cut)
        if size - removed < agreement.fast_quorum and self._settings.broken != "one-at-a-time":
            # Those who stay are too few to decide it fast: there is nothing to wait for.
            self._voted_at -= self._settings.vote_timeout - self._settings.period / 2
        self._out.note("proposed", epoch=agreement.epoch, changes=changes_text(cut))
        self._carry(now, agreement.propose(cut))

    def take(self, now: float, sender: str, body: Round) -> None:
        """A vote, or a message of a classic round, of the epoch that is held."""
        agreement = self._of_epoch()
        if isinstance(body, Vote) and not agreement.votes:
            self._voted_at = now
        self._carry(now, agreement.take(sender, body))

    def take_passed(self, now: float, sender: str, epoch: int, votes: Votes) -> None:
        """Votes that a member of a large view passes on."""
        view = self._roster.view
        if view is None:
            return
        if epoch < view.epoch:
            if self._last is not None and self._last[0] == epoch:
                self._out.send(sender, self._last[1], epoch=epoch)  # it is still at what was decided here
        elif epoch == view.epoch:
            agreement = self._of_epoch()
            if not agreement.votes:
                self._voted_at = self._next_votes = now
            for cut, bits in votes.tallies[:TALLIES_MOST]:
                agreement.merge(cut, bits)
            self._look(now)

    def clear(self) -> None:
        """Of an epoch that is over."""
        self.agreement = None

    # -- timers

    def wakes(self) -> list[float]:
        if not self._open():
            return []
        times = [self._voted_at + self._settings.vote_timeout * (1 + self._rounds)]
        return [*times, self._next_votes] if self._roster.large else times

    def ring(self, now: float) -> None:
        self._pass_on(now)
        self._fall_back(now)

    def _open(self) -> bool:
        agreement = self.agreement
        return agreement is not None and agreement.decided is None and bool(agreement.votes)

    def _pass_on(self, now: float) -> None:
        """In a large view the votes that this member knows go to a few others again and again, so that a
        decision costs each some messages a round of about log n, not one from each to each."""
        if self.agreement is None or not self._open() or not self._roster.large:
            return
        if now >= self._next_votes:
            self._next_votes = now + self._settings.period / VOTES_EVERY
            tallies = _fitting(sorted(self.agreement.votes.items(), key=lambda one: -one[1].bit_count()))
            for name in self._roster.some(self._chance, VOTES_FANOUT):
                self._out.send(name, Votes(tuple(tallies)))

    def _fall_back(self, now: float) -> None:
        """No fast decision in time: a classic round, coordinators spread apart by chance."""
        if self.agreement is None or not self._open():
            return
        if now < self._voted_at + self._settings.vote_timeout * (1 + self._rounds):
            return
        self._rounds += 1
        self._voted_at = now + self._chance.uniform(0, self._settings.vote_timeout)
        self._out.note("classic round", epoch=self.agreement.epoch, round=self._rounds)
        self._carry(now, self.agreement.classic(self._rounds))

    # -- the epoch's agreement

    def _of_epoch(self) -> Agreement:
        view = self._roster.view
        assert view is not None
        if self.agreement is None or self.agreement.epoch != view.epoch:
            self.agreement = Agreement(view.epoch, view.names, self._roster.me.name, view.places)
            self._rounds = 0
        return self.agreement

    def _carry(self, now: float, outs: list[Out]) -> None:
        for to, body in outs:
            if to is None and isinstance(body, Vote) and self._roster.large:
                self._next_votes = now  # passed on with what others voted
            elif to is None:
                self._out.broadcast(body)
            elif to != self._roster.me.name:
                self._out.send(to, body)
        self._look(now)

    def _look(self, now: float) -> None:
        agreement, view = self.agreement, self._roster.view
        if agreement is None or agreement.decided is None or view is None or agreement.epoch != view.epoch:
            return
        if self._roster.large and agreement.decided in agreement.votes:
            decision = Votes(((agreement.decided, agreement.votes[agreement.decided]),))
            self._last = (view.epoch, decision)
        self._decide(now, agreement.decided)


def _fitting(tallies: list[tuple[Proposal, int]]) -> list[tuple[Proposal, int]]:
    """The first ones, as many as fit a datagram; the first in any case. Guards a vote against proposals of
    many members that differ: a message that is too large would not be sent at all, and nothing decided."""
    room, kept = TALLIES_BYTES_MOST, list[tuple[Proposal, int]]()
    for cut, bits in tallies[:TALLIES_MOST]:
        room -= sum(one.member.bytes_most for one in cut) + bits.bit_length() // 8
        if kept and room < 0:
            break
        kept.append((cut, bits))
    return kept
