"""Who holds which fact to be due, and what more than half hold: a minority changes nothing. Pure."""

from __future__ import annotations

from collections import Counter

from .gossip import Gossip
from .member_table import MemberTable
from .messages import FactReport, Ping
from .outbox import Outbox
from .view import Change, ChangeKind, Fact

MAX_FACTS = 256  # keys that members may hold judgements on


class FactReports:
    """This member's own, kept for its life, and everybody's for the view that is held."""

    def __init__(self, roster: MemberTable, gossip: Gossip, out: Outbox) -> None:
        self._member_table, self._gossip, self._outbox = roster, gossip, out
        self._local_values: dict[str, str] = {}  # by fact
        self._reports_by_fact: dict[str, dict[str, tuple[int, str]]] = {}  # by fact and member: turn, value
        self._last_sequence = 0

    def report(self, fact: Fact) -> bool:
        """Its own judgement, said when it is another than before and for each new view; whether said."""
        if self._local_values.get(fact.key) == fact.value:
            return False
        if fact.key not in self._local_values and len(self._local_values) >= MAX_FACTS:
            self._outbox.count("facts_refused")
            return False
        self._local_values[fact.key] = fact.value
        return self._send_report(fact)

    def repeat_reports(self) -> bool:
        """For a view that is new; whether anything was said."""
        return any([self._send_report(Fact(key, value)) for key, value in self._local_values.items()])

    def _send_report(self, fact: Fact) -> bool:
        view, me = self._member_table.view, self._member_table.local_member.name
        if view is None:
            return False
        if view.fact(fact.key) == fact.value and me not in self._reports_by_fact.get(fact.key, {}):
            return False  # the fleet holds the same, and nobody was told otherwise
        self._last_sequence += 1
        said = FactReport(view.epoch, me, self._last_sequence, fact)
        taken = self.record(said)
        self._outbox.broadcast(Ping(0, (said,)))
        return taken

    def record(self, said: FactReport) -> bool:
        """A judgement of any member's; whether it was news."""
        view = self._member_table.view
        if view is None or said.epoch != view.epoch or said.reporter not in view:
            return False
        if said.fact.key not in self._reports_by_fact and len(self._reports_by_fact) >= MAX_FACTS:
            self._outbox.count("facts_refused")
            return False
        those = self._reports_by_fact.setdefault(said.fact.key, {})
        if said.reporter in those and those[said.reporter][0] >= said.sequence:
            return False
        those[said.reporter] = (said.sequence, said.fact.value)
        self._gossip.disseminate(said)
        count = sum(value == said.fact.value for _, value in those.values())
        self._outbox.log(
            "judged", fact=said.fact.key, value=said.fact.value or "-", by=said.reporter, count=count
        )
        return True

    def agreed_changes(self) -> list[Change]:
        """Facts that more than half of the view hold to be due."""
        view, found = self._member_table.view, list[Change]()
        for key, those in self._reports_by_fact.items() if view is not None else ():
            assert view is not None
            value, many = Counter(value for _, value in those.values()).most_common(1)[0]
            if many > len(view.members) // 2 and value != view.fact(key):
                found.append(Change(ChangeKind.FACT, fact=Fact(key, value)))
        return found

    def clear(self) -> None:
        """Of an epoch that is over."""
        self._reports_by_fact.clear()
