"""Facts that members report, and the values that more than half of the view agree on. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from .gossip import Gossip
from .member_table import MemberTable
from .messages import FactReport, Ping
from .outbox import Outbox
from .view import Change, ChangeKind, Fact, View

MAX_FACTS = 256  # keys that members may report


@dataclass(frozen=True)
class _ReportedValue:
    sequence: int
    value: str


class FactReports:
    """Holds this member's own values, and every member's reports for the current view."""

    def __init__(self, member_table: MemberTable, gossip: Gossip, outbox: Outbox) -> None:
        self._member_table, self._gossip, self._outbox = member_table, gossip, outbox
        self._local_values: dict[str, str] = {}  # by key
        self._reports: dict[str, dict[str, _ReportedValue]] = {}  # by key, then reporter
        self._last_sequence = 0

    def report(self, fact: Fact) -> bool:
        """Set this member's value of a fact; return whether it was sent. An unchanged value is not sent."""
        if self._local_values.get(fact.key) == fact.value:
            return False
        if fact.key not in self._local_values and len(self._local_values) >= MAX_FACTS:
            self._outbox.count("facts_refused")
            return False
        self._local_values[fact.key] = fact.value
        return self._send_report(fact)

    def repeat_reports(self) -> bool:
        """Send all of this member's values again for a new view; return whether any was sent."""
        return any([self._send_report(Fact(key, value)) for key, value in self._local_values.items()])

    def _send_report(self, fact: Fact) -> bool:
        view, local_name = self._member_table.view, self._member_table.local_member.name
        if view is None:
            return False
        if view.fact(fact.key) == fact.value and local_name not in self._reports.get(fact.key, {}):
            return False  # already agreed, and this member reported no other value
        self._last_sequence += 1
        report = FactReport(view.epoch, local_name, self._last_sequence, fact)
        recorded = self.record(report)
        self._outbox.broadcast(Ping(0, (report,)))
        return recorded

    def record(self, report: FactReport) -> bool:
        """Record the report of any member; return whether it was new."""
        view = self._member_table.view
        if view is None or report.epoch != view.epoch or report.reporter not in view:
            return False
        fact = report.fact
        if fact.key not in self._reports and len(self._reports) >= MAX_FACTS:
            self._outbox.count("facts_refused")
            return False
        by_reporter = self._reports.setdefault(fact.key, {})
        previous = by_reporter.get(report.reporter)
        if previous is not None and previous.sequence >= report.sequence:
            return False
        by_reporter[report.reporter] = _ReportedValue(report.sequence, fact.value)
        self._gossip.disseminate(report)
        count = sum(reported.value == fact.value for reported in by_reporter.values())
        self._outbox.log(
            "fact reported", fact=fact.key, value=fact.value or "-", by=report.reporter, count=count
        )
        return True

    def agreed_changes(self) -> list[Change]:
        """Return the facts for which more than half of the view report a value other than the view's."""
        view = self._member_table.view
        if view is None:
            return []
        facts = (self._majority_fact(view, key) for key in self._reports)
        return [Change(ChangeKind.FACT, fact=fact) for fact in facts if fact is not None]

    def _majority_fact(self, view: View, key: str) -> Fact | None:
        counts = Counter(reported.value for reported in self._reports[key].values())
        value, count = counts.most_common(1)[0]
        if count <= len(view.members) // 2 or value == view.fact(key):
            return None
        return Fact(key, value)

    def clear(self) -> None:
        """Discard the reports for the previous view."""
        self._reports.clear()
