"""Who holds which fact to be due, and what more than half hold: a minority changes nothing. Pure."""

from __future__ import annotations

from collections import Counter

from .gossip import Gossip
from .member_table import Roster
from .messages import Judgement, Ping
from .outbox import Outbox
from .view import Change, Fact, Kind

FACTS_MOST = 256  # keys that members may hold judgements on


class Judgements:
    """This member's own, kept for its life, and everybody's for the view that is held."""

    def __init__(self, roster: Roster, gossip: Gossip, out: Outbox) -> None:
        self._roster, self._gossip, self._out = roster, gossip, out
        self._mine: dict[str, str] = {}  # by fact
        self._said: dict[str, dict[str, tuple[int, str]]] = {}  # by fact and member: turn, value
        self._turn = 0

    def judge(self, fact: Fact) -> bool:
        """Its own judgement, said when it is another than before and for each new view; whether said."""
        if self._mine.get(fact.key) == fact.value:
            return False
        if fact.key not in self._mine and len(self._mine) >= FACTS_MOST:
            self._out.count("facts_refused")
            return False
        self._mine[fact.key] = fact.value
        return self._say(fact)

    def say_again(self) -> bool:
        """For a view that is new; whether anything was said."""
        return any([self._say(Fact(key, value)) for key, value in self._mine.items()])

    def _say(self, fact: Fact) -> bool:
        view, me = self._roster.view, self._roster.me.name
        if view is None:
            return False
        if view.fact(fact.key) == fact.value and me not in self._said.get(fact.key, {}):
            return False  # the fleet holds the same, and nobody was told otherwise
        self._turn += 1
        said = Judgement(view.epoch, me, self._turn, fact)
        taken = self.take(said)
        self._out.broadcast(Ping(0, (said,)))
        return taken

    def take(self, said: Judgement) -> bool:
        """A judgement of any member's; whether it was news."""
        view = self._roster.view
        if view is None or said.epoch != view.epoch or said.by not in view:
            return False
        if said.fact.key not in self._said and len(self._said) >= FACTS_MOST:
            self._out.count("facts_refused")
            return False
        those = self._said.setdefault(said.fact.key, {})
        if said.by in those and those[said.by][0] >= said.turn:
            return False
        those[said.by] = (said.turn, said.fact.value)
        self._gossip.spread(said)
        count = sum(value == said.fact.value for _, value in those.values())
        self._out.note("judged", fact=said.fact.key, value=said.fact.value or "-", by=said.by, count=count)
        return True

    def agreed(self) -> list[Change]:
        """Facts that more than half of the view hold to be due."""
        view, found = self._roster.view, list[Change]()
        for key, those in self._said.items() if view is not None else ():
            assert view is not None
            value, many = Counter(value for _, value in those.values()).most_common(1)[0]
            if many > len(view.members) // 2 and value != view.fact(key):
                found.append(Change(Kind.FACT, fact=Fact(key, value)))
        return found

    def clear(self) -> None:
        """Of an epoch that is over."""
        self._said.clear()
