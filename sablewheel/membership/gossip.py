"""News on its way: each item rides on so many messages that are sent anyway, the freshest first. Pure."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from .member_table import MemberTable
from .messages import Alert, Alive, FactReport, GossipUpdate, Suspect
from .plan import Mode, Settings

MIN_PENDING_UPDATES_CAPACITY = 1024  # rumours held at once, or two of each member where that is more


@dataclass(eq=False)
class PendingUpdate:
    """News on its way, and how many more messages carry it."""

    update: GossipUpdate
    transmissions_left: int


class Gossip:
    """SWIM's dissemination; every message of it carries who sends it, alive."""

    def __init__(self, roster: MemberTable, settings: Settings) -> None:
        self._member_table, self._settings = roster, settings
        self.pending: list[PendingUpdate] = []  # the freshest first
        self._pending_by_subject: dict[Hashable, list[PendingUpdate]] = {}  # the same by what they are of

    def disseminate(self, item: GossipUpdate) -> None:
        if self._settings.mode is Mode.HEARTBEAT:
            return
        size = max(len(self._member_table.known_names()), 1)
        times = self._settings.retransmit_factor * math.ceil(math.log10(size + 1))
        over = {
            one for one in self._pending_by_subject.get(_subject(item), ()) if _same_subject(one.update, item)
        }
        if over:
            self.pending = [one for one in self.pending if one not in over]
            self._remove_from_index(over)
        rumour = PendingUpdate(item, max(times, 1))
        self.pending.insert(0, rumour)
        self._pending_by_subject.setdefault(_subject(item), []).append(rumour)
        # Guards the list against a flood of rumours: the oldest go, and full-state exchange heals the loss.
        most = max(MIN_PENDING_UPDATES_CAPACITY, 2 * size)
        if len(self.pending) > most:
            self._remove_from_index(self.pending[most:])
            del self.pending[most:]

    def updates_for_message(self, first: GossipUpdate | None = None) -> tuple[GossipUpdate, ...]:
        """For one message: `first` if there is any, then the freshest news, each so many times."""
        chosen: list[GossipUpdate] = [first] if first is not None else []
        for one in sorted(self.pending, key=lambda one: -one.transmissions_left):
            if len(chosen) >= self._settings.max_updates_per_message:
                break
            chosen.append(one.update)
            one.transmissions_left -= 1
        over = [one for one in self.pending if one.transmissions_left <= 0]
        if over:
            self.pending = [one for one in self.pending if one.transmissions_left > 0]
            self._remove_from_index(over)
        chosen.append(
            Alive(self._member_table.local_member.name, self._member_table.local_member.incarnation)
        )
        return tuple(chosen)

    def _remove_from_index(self, over: Iterable[PendingUpdate]) -> None:
        for one in over:
            those = self._pending_by_subject[_subject(one.update)]
            those.remove(one)
            if not those:
                del self._pending_by_subject[_subject(one.update)]


def _subject(item: GossipUpdate) -> Hashable:
    """What an item is of: none takes the place of one of another subject."""
    match item:
        case Alive(name, _) | Suspect(name, _, _):
            return name
        case Alert(epoch, by, join, member):
            return (epoch, by, join, member.name)
        case FactReport(_, by, _, fact):
            return (by, fact.key)


def _same_subject(one: GossipUpdate, other: GossipUpdate) -> bool:
    match one, other:
        case Suspect(a, incarnation, by), Suspect(b, incarnation2, by2):
            return a == b and (incarnation < incarnation2 or by == by2)
        case ((Alive(a, _) | Suspect(a, _, _)), Alive(b, _)):
            return a == b
        case Alive(a, incarnation), Suspect(b, incarnation2, _):
            return a == b and incarnation <= incarnation2
        case Alert(epoch, by, join, member), Alert(epoch2, by2, join2, member2):
            return (epoch, by, join, member.name) == (epoch2, by2, join2, member2.name)
        case FactReport(_, by, _, fact), FactReport(_, by2, _, fact2):
            return (by, fact.key) == (by2, fact2.key)
    return False
