"""The rollout, which activates a policy on all members at the same epoch. Pure.

A bundle is offered, fetched and verified. Each member that holds it proposes it as staged, which becomes a
fact when more than half of the members propose it. Then, if every flow with required features has enough
capacity for its load even without the largest zone, they propose it as active. With that fact it is active on
every member at the same epoch, and the previous bundle is retired. All decisions of a member follow from the
view and from the bundle that the fact names; a member that lacks this bundle rejects requests until it has
fetched it. Facts need more than half of the view, so a minority can't change the policy.
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

# Faults that experiments enable, to check that they are detected.
FAULTY_VARIANTS = (
    "ignore-class",
    "minority-activates",
    "no-dwell",
    "unverified",
)


class Rollout:
    """The rollout on one member, which turns events into effects; its components hold the state."""

    def __init__(
        self,
        node_name: str,
        own_capabilities: HostCapabilities,
        rules: Rules,
        faulty_variant: str = "",
        catalogue: Catalogue = CATALOGUE,
    ) -> None:
        self._faulty_variant = faulty_variant
        if faulty_variant == "no-dwell":
            rules = Rules(
                dwell_down_s=0.0,
                dwell_up_s=0.0,
                up_margin=1.0,
                step_up_cooldown_s=0.0,
                settle_s=rules.settle_s,
            )
        self._output = Output()
        self.fleet = FleetState(
            node_name, own_capabilities, rules, self._output, faulty_variant == "minority-activates"
        )
        self._store = BundleStore(self.fleet, self._output, catalogue, faulty_variant != "unverified")
        self._transfer = BundleTransfer(self.fleet, self._store, rules, self._output)
        self._levels = ServingLevels(self.fleet, rules, self._output)
        self._intake = DocumentIntake(self.fleet, self._store, rules, self._output)
        self._serving: list[tuple[str, ...]] | None = None  # by flow, the members that may serve it; cached
        self._announced: tuple[str, str] = ("", "")
        self._waiting_reason = ""

    # -- state

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
        """The stored bundles by name."""
        return self._store.bundles

    @property
    def active(self) -> PolicyBundle | None:
        """The active bundle; None if there is none or it is not stored here."""
        return self.bundles.get(self.fleet.active_name)

    @property
    def fallback_levels(self) -> tuple[int, ...]:
        """Each flow's fallback level in the whole fleet; empty if the active bundle is not stored here."""
        name, digits = active(self.fleet.fact(ACTIVE))
        return self.bundles[name].fallback_levels(digits) if name in self.bundles else ()

    def route(self, request_class: str, tenant: str, zone: str) -> Route:
        """Return where a request may be served under the active policy."""
        if self.fleet.view is None:
            return Route(False, reason="this server is not in the fleet's view yet")
        name = self.fleet.active_name
        if not name:
            return HERE
        bundle = self.bundles.get(name)
        if bundle is None:
            rejected = name in self._store.rejected
            reason = (
                "this member rejected the active policy"
                if rejected
                else "the active policy has not been fetched yet"
            )
            return Route(False, reason=reason)
        flow = bundle.policy.flow(request_class, tenant, zone)
        if flow is None or self._faulty_variant == "ignore-class":
            return HERE if flow is None else Route(True, flow.name)
        if self._serving is None:
            self._serving = self._levels.serving_members(bundle, self.fallback_levels)
        index = bundle.policy.flows.index(flow)
        members = self._serving[index]
        if self.fleet.node_name in members:
            return Route(True, flow.name)
        required_names = ", ".join(flow.require) or "the features of this flow"
        if not members:
            return Route(False, flow.name, (), f"no member can run {required_names}")
        able = self._levels.level_of(bundle, index, self.fleet.node_name) != NOT_PLACED
        reason = (
            "others run more of its preferred features" if able else f"this class can't run {required_names}"
        )
        return Route(False, flow.name, members, reason, able)

    def able(self) -> dict[str, frozenset[str]]:
        """Return the members that can serve each flow that requires or forbids features.

        It is empty if no policy is active, or the active one is not stored here.
        """
        bundle = self.active
        if bundle is None or self.fleet.view is None:
            return {}
        return self._levels.able_members(bundle)

    # -- events

    def step(self, now: float, event: Event) -> list[Effect]:
        """Process one event; return its effects in order."""
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
            case TranslationFinished(bundle, faults):
                self._intake.translated(bundle, faults)
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
        """Return the newest stored bundle if it is above the active and the staged one, else the fact."""
        fact = self.fleet.fact(STAGED)
        newest_known = max(order(fact), order(self.fleet.active_name))
        newest = self._store.newest
        return newest if order(newest) > newest_known else fact

    def _active_fact_due(self, now: float) -> str:
        """Return the due active fact: the staged bundle, once every flow has capacity for its load."""
        fact, staged = self.fleet.fact(ACTIVE), self.fleet.fact(STAGED)
        name, digits = active(fact)
        staged_bundle = self.bundles.get(staged)
        if staged_bundle is not None and order(staged) > order(name):
            reason = self._levels.lack_of_capacity(staged_bundle)
            if not reason:
                return f"{staged}:{staged_bundle.digits(self._levels.first_levels(staged_bundle))}"
            if reason != self._waiting_reason:
                self._waiting_reason = reason
                self._output.log("staged policy waits", policy=staged, reason=reason)
        bundle = self.bundles.get(name)
        if bundle is None:
            self._levels.cancel_pending_steps()
            return fact
        levels = self._levels.levels_due(now, bundle, bundle.fallback_levels(digits))
        return f"{name}:{bundle.digits(levels)}"

    def _announce_active(self, now: float) -> None:
        """Apply and log the active bundle and its levels, if they changed."""
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
        self._store.evict_old()

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
