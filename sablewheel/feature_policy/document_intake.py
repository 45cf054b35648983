"""When a policy document, or a class of hosts that is new, is translated, and what comes of it. Pure.

A translation takes seconds and runs in a process of its own; one is asked for at a time. What all members
could do is done by the first in the view's order, and by the next one if nothing has come of it for a
while.
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

RECHECK_S = 0.5
MAX_REASON_CHARACTERS = 2000


class DocumentIntake:
    """One member's document, and the classes of hosts that the newest bundle was not translated for."""

    def __init__(self, fleet: FleetState, store: BundleStore, rules: Rules, output: Output) -> None:
        self._fleet, self._store, self._rules, self._output = fleet, store, rules, output
        self._document: DocumentProposed | None = None
        self._tried_for: tuple[HostCapabilities, ...] = ()
        self._started_at = -inf  # of the translation under way
        self._missing: tuple[str, frozenset[HostCapabilities]] | None = None
        self._missing_since = 0.0
        self._translated_for: set[tuple[str, frozenset[HostCapabilities]]] = set()

    def propose(self, document: DocumentProposed) -> None:
        """Note the operators' document; it replaces one that is not translated yet."""
        self._document = document

    def consider_document(self, now: float) -> None:
        """Have the document translated, once the view has settled and this member's turn has come."""
        document = self._document
        if document is None:
            return
        fleet = self._fleet
        if document.only_first and (fleet.fact(ACTIVE) or fleet.fact(STAGED) or self._store.bundles):
            self._document = None
            return
        due, classes = fleet.changed_at + self._rules.settle, fleet.classes
        if document.only_first:
            if classes == self._tried_for:
                return  # nothing came of it for these; the fleet may still be on its way in
            due = max(due, fleet.joined_at + self._rules.settle + fleet.place * self._rules.stagger)
        if self._must_wait(now, due):
            return
        if document.only_first:
            self._tried_for = classes
        else:
            self._document = None
        self._start(now, StartTranslation(document.text, document.file, classes))

    def consider_new_classes(self, now: float) -> None:
        """Have the newest bundle translated for classes in the view that it does not know yet."""
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
        due = self._missing_since + self._rules.settle + self._fleet.place * self._rules.stagger
        if missing in self._translated_for or self._must_wait(now, due):
            return
        self._translated_for = {missing}
        self._start(now, StartTranslation("", bundle.policy.file, self._fleet.classes, bundle))

    def _must_wait(self, now: float, due: float) -> bool:
        if now >= due and now >= self._started_at + self._rules.translate_within:
            return False
        self._output.timers.append(max(due, now + RECHECK_S))
        return True

    def _start(self, now: float, translation: StartTranslation) -> None:
        self._started_at = now
        self._output.effects.append(translation)

    def translated(self, bundle: PolicyBundle | None, faults: Iterable[str]) -> None:
        """Hold and offer the bundle that a translation has made, if it is above all that is known."""
        self._started_at = -inf
        if bundle is None:
            self._output.count("untranslated")
            self._output.log("policy not taken", reason="; ".join(faults)[:MAX_REASON_CHARACTERS])
            return
        known = self._fleet.newest_known
        if bundle.name in self._store.bundles or bundle.name == known:
            self._output.log("policy known", policy=bundle.name)
        elif order(bundle.name)[:2] <= order(known)[:2]:
            self._output.count("untranslated")
            reason = f"its number must be above that of {known}"
            self._output.log("policy not taken", policy=bundle.name, reason=reason)
        elif self._store.hold(bundle, "here"):
            self._output.effects += [Send(name, Offer(bundle.name)) for name in self._fleet.others]
