"""Scheduling of translations for policy documents and for new classes of hosts. Pure.

A translation takes seconds and runs in a separate process, one at a time. A translation that any member could
do is done by the first member in the view's order, and by the next one if there is no result after a delay.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from .bundle_transfer import BundleStore
from .fleet_state import ACTIVE, STAGED, FleetState, Output
from .host_capabilities import HostCapabilities
from .messages import Offer
from .plan import Rules
from .policy_bundle import PolicyBundle, order
from .rollout_events import DocumentProposed, Send, StartTranslation

RECHECK_S = 0.5  # least delay until a postponed translation is considered again
MAX_REASON_CHARACTERS = 2000  # in a log line


class DocumentIntake:
    """One member's document, and the classes of hosts for which the newest bundle has no plan."""

    def __init__(self, fleet: FleetState, store: BundleStore, rules: Rules, output: Output) -> None:
        self._fleet, self._store, self._rules, self._output = fleet, store, rules, output
        self._document: DocumentProposed | None = None
        self._tried_classes: tuple[HostCapabilities, ...] = ()
        self._started_at = -inf  # start of the running translation; -inf if there is none
        self._missing: tuple[str, frozenset[HostCapabilities]] | None = None
        self._missing_since = 0.0
        self._translated_for: set[tuple[str, frozenset[HostCapabilities]]] = set()

    def propose(self, document: DocumentProposed) -> None:
        """Set the operators' document, which replaces one that is not translated yet."""
        self._document = document

    def consider_document(self, now: float) -> None:
        """Start the translation of the document, once the view has settled and it is this member's turn."""
        document = self._document
        if document is None:
            return
        fleet = self._fleet
        if document.only_first and (fleet.fact(ACTIVE) or fleet.fact(STAGED) or self._store.bundles):
            self._document = None
            return
        due_at, classes = fleet.changed_at + self._rules.settle_s, fleet.classes
        if document.only_first:
            if classes == self._tried_classes:
                return  # it failed for these classes; more members may still join
            due_at = max(
                due_at, fleet.joined_at + self._rules.settle_s + fleet.position * self._rules.stagger_s
            )
        if self._must_wait(now, due_at):
            return
        if document.only_first:
            self._tried_classes = classes
        else:
            self._document = None
        self._start(now, StartTranslation(document.text, document.file, classes))

    def consider_new_classes(self, now: float) -> None:
        """Start the translation of the newest bundle for classes in the view for which it has no plan."""
        bundle = self._store.bundles.get(self._fleet.newest_known)
        if bundle is None:
            return
        unknown = frozenset(self._fleet.classes) - set(bundle.translation.classes)
        if not unknown:
            self._missing = None
            return
        missing = (bundle.name, unknown)
        if missing != self._missing:
            self._missing, self._missing_since = missing, now
        due_at = self._missing_since + self._rules.settle_s + self._fleet.position * self._rules.stagger_s
        if missing in self._translated_for or self._must_wait(now, due_at):
            return
        self._translated_for = {missing}
        self._start(now, StartTranslation("", bundle.policy.file, self._fleet.classes, bundle))

    def _must_wait(self, now: float, due_at: float) -> bool:
        if now >= due_at and now >= self._started_at + self._rules.translation_timeout_s:
            return False
        self._output.timers.append(max(due_at, now + RECHECK_S))
        return True

    def _start(self, now: float, translation: StartTranslation) -> None:
        self._started_at = now
        self._output.effects.append(translation)

    def translated(self, bundle: PolicyBundle | None, faults: Iterable[str]) -> None:
        """Store and offer the bundle of a finished translation, if it is newer than all known bundles."""
        self._started_at = -inf
        if bundle is None:
            self._output.count("untranslated")
            self._output.log("policy not taken", reason="; ".join(faults)[:MAX_REASON_CHARACTERS])
            return
        newest_known = self._fleet.newest_known
        if bundle.name in self._store.bundles or bundle.name == newest_known:
            self._output.log("policy known", policy=bundle.name)
        elif order(bundle.name)[:2] <= order(newest_known)[:2]:
            self._output.count("untranslated")
            reason = f"its number must be above that of {newest_known}"
            self._output.log("policy not taken", policy=bundle.name, reason=reason)
        elif self._store.add(bundle, "here"):
            self._output.effects += [Send(name, Offer(bundle.name)) for name in self._fleet.others]
