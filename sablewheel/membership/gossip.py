"""Dissemination by piggybacking, as in SWIM: a bounded number of messages carries each update. No I/O."""

from __future__ import annotations

import math
from collections.abc import Hashable, Iterable
from dataclasses import dataclass

from .member_table import MemberTable
from .messages import Alert, Alive, FactReport, GossipUpdate, Suspect
from .plan import Mode, Settings

MIN_PENDING_UPDATES_CAPACITY = 1024  # pending updates; or two per member if that is more


@dataclass(eq=False)
class PendingUpdate:
    """An update and the number of messages that will still carry it."""

    update: GossipUpdate
    transmissions_left: int


class Gossip:
    """Holds the pending updates; every message also carries an `Alive` update of its sender."""

    def __init__(self, member_table: MemberTable, settings: Settings) -> None:
        self._member_table, self._settings = member_table, settings
        self.pending: list[PendingUpdate] = []  # newest first
        self._pending_by_subject: dict[Hashable, list[PendingUpdate]] = {}

    def disseminate(self, update: GossipUpdate) -> None:
        """Queue an update and discard the pending ones that it supersedes."""
        if self._settings.mode is Mode.HEARTBEAT:
            return
        member_count = max(len(self._member_table.known_names()), 1)
        transmissions = self._settings.retransmit_factor * math.ceil(math.log10(member_count + 1))
        subject = _subject(update)
        superseded = {
            pending
            for pending in self._pending_by_subject.get(subject, ())
            if _is_superseded(pending.update, update)
        }
        if superseded:
            self.pending = [pending for pending in self.pending if pending not in superseded]
            self._remove_from_index(superseded)
        added = PendingUpdate(update, max(transmissions, 1))
        self.pending.insert(0, added)
        self._pending_by_subject.setdefault(subject, []).append(added)
        # Bounded against a flood of updates: the oldest are dropped, and full-state sync repairs the loss.
        capacity = max(MIN_PENDING_UPDATES_CAPACITY, 2 * member_count)
        if len(self.pending) > capacity:
            self._remove_from_index(self.pending[capacity:])
            del self.pending[capacity:]

    def updates_for_message(self, first: GossipUpdate | None = None) -> tuple[GossipUpdate, ...]:
        """Return the updates for one message: `first` if given, the least transmitted ones, and `Alive`."""
        chosen: list[GossipUpdate] = [first] if first is not None else []
        for pending in sorted(self.pending, key=lambda pending: -pending.transmissions_left):
            if len(chosen) >= self._settings.max_updates_per_message:
                break
            chosen.append(pending.update)
            pending.transmissions_left -= 1
        exhausted = [pending for pending in self.pending if pending.transmissions_left <= 0]
        if exhausted:
            self.pending = [pending for pending in self.pending if pending.transmissions_left > 0]
            self._remove_from_index(exhausted)
        local = self._member_table.local_member
        chosen.append(Alive(local.name, local.incarnation))
        return tuple(chosen)

    def _remove_from_index(self, removed: Iterable[PendingUpdate]) -> None:
        for pending in removed:
            subject = _subject(pending.update)
            same_subject = self._pending_by_subject[subject]
            same_subject.remove(pending)
            if not same_subject:
                del self._pending_by_subject[subject]


def _subject(update: GossipUpdate) -> Hashable:
    """Return the subject of an update; an update supersedes only updates with the same subject."""
    match update:
        case Alive(name, _) | Suspect(name, _, _):
            return name
        case Alert(epoch, observer, is_join, member):
            return (epoch, observer, is_join, member.name)
        case FactReport(_, reporter, _, fact):
            return (reporter, fact.key)


def _is_superseded(old: GossipUpdate, new: GossipUpdate) -> bool:
    """Return whether `new` replaces `old`, which has the same subject."""
    match old, new:
        case Suspect(), Suspect():
            return old.incarnation < new.incarnation or old.suspected_by == new.suspected_by
        case Alive(), Suspect():
            return old.incarnation <= new.incarnation
        case ((Alive() | Suspect()), Alive()) | (Alert(), Alert()) | (FactReport(), FactReport()):
            return True
    return False
