"""News on its way: each item rides on so many messages that are sent anyway, the freshest first. Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass

from .messages import Alert, Alive, Judgement, News, Suspect
from .plan import Mode, Settings
from .roster import Roster

NEWS_KEPT = 512  # rumours held at once


@dataclass
class Rumour:
    """News on its way, and how many more messages carry it."""

    item: News
    left: int


class Gossip:
    """SWIM's dissemination; every message of it carries who sends it, alive."""

    def __init__(self, roster: Roster, settings: Settings) -> None:
        self._roster, self._settings = roster, settings
        self.news: list[Rumour] = []

    def spread(self, item: News) -> None:
        if self._settings.mode is Mode.HEARTBEAT:
            return
        size = max(len(self._roster.known()), 1)
        times = self._settings.retransmit * math.ceil(math.log10(size + 1))
        self.news = [one for one in self.news if not _same_subject(one.item, item)]
        self.news.insert(0, Rumour(item, max(times, 1)))
        # Guards the list against a flood of rumours: the oldest go, and full-state exchange heals the loss.
        del self.news[NEWS_KEPT:]

    def load(self, first: News | None = None) -> tuple[News, ...]:
        """For one message: `first` if there is any, then the freshest news, each so many times."""
        chosen: list[News] = [first] if first is not None else []
        for one in sorted(self.news, key=lambda one: -one.left):
            if len(chosen) >= self._settings.news_most:
                break
            chosen.append(one.item)
            one.left -= 1
        self.news = [one for one in self.news if one.left > 0]
        chosen.append(Alive(self._roster.me.name, self._roster.me.incarnation))
        return tuple(chosen)


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
