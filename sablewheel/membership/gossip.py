"""News on its way: each item rides on so many messages that are sent anyway, the freshest first. Pure."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from .member_table import Roster
from .messages import Alert, Alive, Judgement, News, Suspect
from .plan import Mode, Settings

NEWS_KEPT = 1024  # rumours held at once, or two of each member where that is more


@dataclass(eq=False)
class Rumour:
    """News on its way, and how many more messages carry it."""

    item: News
    left: int


class Gossip:
    """SWIM's dissemination; every message of it carries who sends it, alive."""

    def __init__(self, roster: Roster, settings: Settings) -> None:
        self._roster, self._settings = roster, settings
        self.news: list[Rumour] = []  # the freshest first
        self._of: dict[Hashable, list[Rumour]] = {}  # the same by what they are of

    def spread(self, item: News) -> None:
        if self._settings.mode is Mode.HEARTBEAT:
            return
        size = max(len(self._roster.known()), 1)
        times = self._settings.retransmit * math.ceil(math.log10(size + 1))
        over = {one for one in self._of.get(_subject(item), ()) if _same_subject(one.item, item)}
        if over:
            self.news = [one for one in self.news if one not in over]
            self._forget(over)
        rumour = Rumour(item, max(times, 1))
        self.news.insert(0, rumour)
        self._of.setdefault(_subject(item), []).append(rumour)
        # Guards the list against a flood of rumours: the oldest go, and full-state exchange heals the loss.
        most = max(NEWS_KEPT, 2 * size)
        if len(self.news) > most:
            self._forget(self.news[most:])
            del self.news[most:]

    def load(self, first: News | None = None) -> tuple[News, ...]:
        """For one message: `first` if there is any, then the freshest news, each so many times."""
        chosen: list[News] = [first] if first is not None else []
        for one in sorted(self.news, key=lambda one: -one.left):
            if len(chosen) >= self._settings.news_most:
                break
            chosen.append(one.item)
            one.left -= 1
        over = [one for one in self.news if one.left <= 0]
        if over:
            self.news = [one for one in self.news if one.left > 0]
            self._forget(over)
        chosen.append(Alive(self._roster.me.name, self._roster.me.incarnation))
        return tuple(chosen)

    def _forget(self, over: Iterable[Rumour]) -> None:
        for one in over:
            those = self._of[_subject(one.item)]
            those.remove(one)
            if not those:
                del self._of[_subject(one.item)]


def _subject(item: News) -> Hashable:
    """What an item is of: none takes the place of one of another subject."""
    match item:
        case Alive(name, _) | Suspect(name, _, _):
            return name
        case Alert(epoch, by, join, member):
            return (epoch, by, join, member.name)
        case Judgement(_, by, _, fact):
            return (by, fact.key)


def _same_subject(one: News, other: News) -> bool:
    match one, other:
        case Suspect(a, incarnation, by), Suspect(b, incarnation2, by2):
            return a == b and (incarnation < incarnation2 or by == by2)
        case ((Alive(a, _) | Suspect(a, _, _)), Alive(b, _)):
            return a == b
        case Alive(a, incarnation), Suspect(b, incarnation2, _):
            return a == b and incarnation <= incarnation2
        case Alert(epoch, by, join, member), Alert(epoch2, by2, join2, member2):
            return (epoch, by, join, member.name) == (epoch2, by2, join2, member2.name)
        case Judgement(_, by, _, fact), Judgement(_, by2, _, fact2):
            return (by, fact.key) == (by2, fact2.key)
    return False
