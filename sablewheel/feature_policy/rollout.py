"""How a policy comes into force on all members at once. Pure.

A bundle is offered, fetched and verified; each member that holds it proposes so, and when more than half do
it is a fact (staged). Then, if every flow that requires something has members for its load even with the
largest zone lost, they propose that it shall be in force, and with that fact it is (active), on every
member at the same epoch; the one before is retired. All that a member does follows from the view and from
the bundle that the fact names: who lacks that bundle rejects until it has fetched it, and guesses nothing.
Facts need more than half of the view, so a minority changes nothing.
"""

from __future__ import annotations

from .bundle_transfer import BundleStore, BundleTransfer
from .document_intake import DocumentIntake
from .fleet_state import ACTIVE, STAGED, FleetState, Output
from .host_capabilities import CATALOGUE, Catalogue, HostCapabilities
from .messages import BundleChunk, BundleRejected, Fetch, Message, Offer
from .plan import Rules
from .policy_bundle import PolicyBundle, active, order
from .rollout_events import (
    HERE,
    ApplyPlan,
    DocumentProposed,
    Effect,
    Event,
    MessageReceived,
    Route,
    TimerFired,
    TranslationFinished,
    ViewChanged,
)
from .serving_levels import ServingLevels
from .translation import NOT_PLACED

FAULTY_VARIANTS = (
    "ignore-class",
    "minority-activates",
    "no-dwell",
    "unverified",
)  # faulty variants of experiments


class Rollout:
    """One member's part: takes events, gives effects; its parts hold the state."""

    def __init__(
        self,
        node_name: str,
        own_capabilities: HostCapabilities,
        rules: Rules,
        broken: str = "",
        catalogue: Catalogue = CATALOGUE,
    ) -> None:
        self._broken = broken
        if broken == "no-dwell":
            rules = Rules(dwell_down=0.0, dwell_up=0.0, up_margin=1.0, rest=0.0, settle=rules.settle)
        self._output = Output()
        self.fleet = FleetState(
            node_name, own_capabilities, rules, self._output, broken == "minority-activates"
        )
        self._store = BundleStore(self.fleet, self._output, catalogue, broken != "unverified")
        self._transfer = BundleTransfer(self.fleet, self._store, rules, self._output)
        self._levels = ServingLevels(self.fleet, rules, self._output)
        self._intake = DocumentIntake(self.fleet, self._store, rules, self._output)
        self._serving: list[tuple[str, ...]] | None = None  # by flow, who may serve it; cached
        self._announced: tuple[str, str] = ("", "")
        self._waiting_reason = ""

    # -- what the service asks

    @property
    def wake_at(self) -> float:
        """When the next timer is due, in seconds of the caller's clock; infinite if none is."""
        return self._output.wake_at

    @property
    def counts(self) -> dict[str, int]:
        """Counters by name."""
        return self._output.counts

    @property
    def bundles(self) -> dict[str, PolicyBundle]:
        """The bundles that are here, by name."""
        return self._store.bundles

    @property
    def active(self) -> PolicyBundle | None:
        """The bundle in force, if it is here."""
        return self.bundles.get(self.fleet.active_name)

    @property
    def fallback_levels(self) -> tuple[int, ...]:
        """Each flow's fallback level in the whole fleet; empty without an active bundle here."""
        name, digits = active(self.fleet.fact(ACTIVE))
        return self.bundles[name].fallback_levels(digits) if name in self.bundles else ()

    def route(self, request_class: str, tenant: str, zone: str) -> Route:
        """Return where a request may be served under the policy in force."""
        if self.fleet.view is None:
            return Route(False, reason="this server is not in the fleet's view yet")
        name = self.fleet.active_name
        if not name:
            return HERE
        bundle = self.bundles.get(name)
        if bundle is None:
            rejected = name in self._store.rejected
            reason = "the policy that holds was refused here" if rejected else "it is not here yet"
            return Route(False, reason=reason)
        flow = bundle.policy.flow(request_class, tenant, zone)
        if flow is None or self._broken == "ignore-class":
            return HERE if flow is None else Route(True, flow.name)
        if self._serving is None:
            self._serving = self._levels.serving_members(bundle, self.fallback_levels)
        place = bundle.policy.flows.index(flow)
        members = self._serving[place]
        if self.fleet.node_name in members:
            return Route(True, flow.name)
        wants = ", ".join(flow.require) or "what it wants"
        if not members:
            return Route(False, flow.name, (), f"no member can run {wants}")
        able = self._levels.level_of(bundle, place, self.fleet.node_name) != NOT_PLACED
        reason = "others run more of what it prefers" if able else f"this class can't run {wants}"
        return Route(False, flow.name, members, reason, able)

    def able(self) -> dict[str, frozenset[str]]:
        """Return by flow that requires or forbids anything the members that can serve it.

        Empty where no policy is in force, or it is not here.
        """
        bundle = self.active
        if bundle is None or self.fleet.view is None:
            return {}
        return self._levels.able_members(bundle)

    # -- the step

    def step(self, now: float, event: Event) -> list[Effect]:
        """Take one event; return what is to be done, in order."""
        self._output.begin_step()
        match event:
            case ViewChanged(view):
                if self.fleet.view is None:
                    self._levels.changed_at = now
                self.fleet.update(now, view)
                self._serving = None
                self._transfer.view_changed(now)
            case MessageReceived(sender, message):
                self._message_received(now, sender, message)
            case DocumentProposed():
                self._intake.propose(event)
            case TranslationFinished(made, faults):
                self._intake.translated(made, faults)
            case TimerFired():
                pass
        if self.fleet.is_member:
            self._transfer.continue_fetch(now)
            self._transfer.continue_offer(now)
            self.fleet.propose(STAGED, self._staged_fact_due())
            self.fleet.propose(ACTIVE, self._active_fact_due(now))
            self._intake.consider_document(now)
            self._intake.consider_new_classes(now)
        self._announce_active(now)
        return self._output.effects

    def _message_received(self, now: float, sender: str, message: Message) -> None:
        if self.fleet.view is None or sender not in self.fleet.view:
            return
        match message:
            case Offer():
                self._transfer.offered(sender, message)
            case Fetch():
                self._transfer.fetch_requested(sender, message)
            case BundleChunk():
                self._transfer.chunk_received(now, sender, message)
            case BundleRejected(name, why):
                self._output.count("refused_by_others")
                self._output.log("policy refused by a member", policy=name, member=sender, reason=why)

    def _staged_fact_due(self) -> str:
        """Return the newest bundle here, if it is above what is in force and what is staged."""
        fact = self.fleet.fact(STAGED)
        known = max(order(fact), order(self.fleet.active_name))
        newest = self._store.newest
        return newest if order(newest) > known else fact

    def _active_fact_due(self, now: float) -> str:
        """Return what should be in force: the staged bundle, once every flow has members for its load."""
        fact, staged = self.fleet.fact(ACTIVE), self.fleet.fact(STAGED)
        name, digits = active(fact)
        new = self.bundles.get(staged)
        if new is not None and order(staged) > order(name):
            reason = self._levels.lack_of_capacity(new)
            if not reason:
                return f"{staged}:{new.digits(self._levels.first_levels(new))}"
            if reason != self._waiting_reason:
                self._waiting_reason = reason
                self._output.log("staged policy waits", policy=staged, reason=reason)
        bundle = self.bundles.get(name)
        if bundle is None:
            self._levels.forget_pending_steps()
            return fact
        levels = self._levels.levels_due(now, bundle, bundle.fallback_levels(digits))
        return f"{name}:{bundle.digits(levels)}"

    def _announce_active(self, now: float) -> None:
        """Apply and log what is in force, where that is new."""
        name, digits = active(self.fleet.fact(ACTIVE))
        bundle = self.bundles.get(name)
        current = (name, digits) if bundle is not None else ("", "")
        if current == self._announced:
            return
        previous, self._announced = self._announced, current
        self._serving, self._levels.changed_at = None, now
        if previous[0] != current[0]:
            if previous[0]:
                self._output.log("policy retired", policy=previous[0])
            plan = bundle.translation.classes.get(self.fleet.own_capabilities) if bundle is not None else None
            self._output.effects.append(ApplyPlan(bundle, plan))
        if bundle is not None:
            self._log_active(bundle, digits)
        self._store.forget_old()

    def _log_active(self, bundle: PolicyBundle, digits: str) -> None:
        levels = ",".join(
            f"{flow.name}={level}"
            for flow, level in zip(bundle.policy.flows, bundle.fallback_levels(digits), strict=True)
            if flow.fallbacks
        )
        self._output.log(
            "policy active",
            policy=bundle.name,
            epoch=self.fleet.view.epoch if self.fleet.view is not None else 0,
            fallback_levels=levels or "-",
            own=self.fleet.own_capabilities.key,
        )
