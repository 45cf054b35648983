"""How a policy comes into force on all members at once, and how flows step down and up again. Pure.

A bundle is offered, fetched and verified (proposed); each member that holds it says so, and when more than
half do it is a fact (staged); then, if every flow that requires something has members for its load even with
the largest zone lost, they say that it shall hold, and with that fact it does (active), on every member at
the same epoch; the one before is retired. All that a member holds of it follows from the view and from the
bundle that the fact names: who lacks that bundle denies until it has fetched it, and guesses nothing. Facts
need more than half of the view, so a minority changes nothing.

Fallbacks: a flow is served by the classes that run it on its fallback level or a better one. Fewer members
can mean too little for the load on that fallback level: then the whole fleet steps down, once that has lasted
(dwell), all flows together; up again only with a margin (hysteresis) that lasted longer, and not soon after
the last change. What is required is never stepped down: with nobody to run it, its flow is rejected.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from ..membership.view import Fact, Member, View
from . import host_capabilities, policy_bundle
from .host_capabilities import CATALOGUE, Catalogue, HostCapabilities, HostCapabilitiesError
from .messages import MAX_CHUNK_BYTES, BundleChunk, BundleRejected, Fetch, Message, Offer
from .plan import Rules
from .policy import Flow
from .policy_bundle import BundleError, PolicyBundle, active, order
from .translation import NOT_PLACED, ClassPlan
from .verify import verify

STAGED, ACTIVE = "policy/staged", "policy/active"
MAX_BUNDLES = 4  # bundles: the active one, the staged, a newer one, the one before
MAX_REJECTED_BUNDLES = 16
OFFER_FANOUT = 4  # members that an unsettled bundle is offered to, each time
BROKEN = ("ignore-class", "minority-activates", "no-dwell", "unverified")


# -- events


@dataclass(frozen=True)
class ViewChanged:
    view: View


@dataclass(frozen=True)
class MessageReceived:
    sender: str
    message: Message


@dataclass(frozen=True)
class DocumentProposed:
    """The operators' document, to be taken in: at once, or if the fleet has none (`only_first`)."""

    text: str
    file: str
    only_first: bool = False


@dataclass(frozen=True)
class TranslationFinished:
    """What a `StartTranslation` came to: a bundle, or why there is none."""

    made: PolicyBundle | None
    faults: tuple[str, ...] = ()


@dataclass(frozen=True)
class TimerFired:
    """The shell calls at `Rollout.wake_at` or sooner."""


Event = ViewChanged | MessageReceived | DocumentProposed | TranslationFinished | TimerFired

# -- effects


@dataclass(frozen=True)
class Send:
    to: str
    message: Message


@dataclass(frozen=True)
class ProposeFact:
    fact: Fact


@dataclass(frozen=True)
class StartTranslation:
    """To be done in a process of its own_capabilities: a document, or what holds already for more classes."""

    text: str
    file: str
    classes: tuple[HostCapabilities, ...]
    base: PolicyBundle | None = None


@dataclass(frozen=True)
class ApplyPlan:
    """What this server's class is to run from now on; no plan: its class has none, no bundle: none holds."""

    policy_bundle: PolicyBundle | None
    plan: ClassPlan | None


@dataclass(frozen=True)
class LogEntry:
    what: str
    fields: dict[str, object]


Effect = Send | ProposeFact | StartTranslation | ApplyPlan | LogEntry

# -- where a request may go


@dataclass(frozen=True)
class Route:
    """`here`: it belongs here; else to `others`, or to nobody, for the reason `why`. `able`: this server runs
    all that its flow requires, so it serves it if those can't be reached: a preference denies nothing."""

    here: bool
    flow: str = ""
    others: tuple[str, ...] = ()
    why: str = ""
    able: bool = False


HERE = Route(True)


@dataclass
class _Fetching:
    name: str
    peer: str
    asked: float
    tries: int = 1
    data: bytearray = field(default_factory=bytearray)


class Rollout:
    """One member's part. `own_capabilities` is its host capabilities, the same that it says in the view."""

    def __init__(
        self,
        node_name: str,
        own_capabilities: HostCapabilities,
        rules: Rules,
        broken: str = "",
        catalogue: Catalogue = CATALOGUE,
    ) -> None:
        self.node_name, self.own_capabilities, self.rules, self.broken, self.catalogue = (
            node_name,
            own_capabilities,
            rules,
            broken,
            catalogue,
        )
        if broken == "no-dwell":
            self.rules = Rules(dwell_down=0.0, dwell_up=0.0, up_margin=1.0, rest=0.0, settle=rules.settle)
        self.view: View | None = None
        self.bundles: dict[str, PolicyBundle] = {}
        self.counts: dict[str, int] = {}
        self._capabilities_by_member: dict[str, HostCapabilities] = {}
        self._serving: list[tuple[str, ...]] | None = None  # by flow, who may serve it; of the view and facts
        self._announced: tuple[str, str] = ("", "")
        self._proposed_facts: dict[str, str] = {}
        self._rejected: dict[str, str] = {}
        self._offered_name = ""  # the greatest name heard of, by whom
        self._offered_by = ""
        self._fetching: _Fetching | None = None
        self._next_peer_index = 0  # whom to ask and to offer to next, in the view's order
        self._next_offer_s = 0.0
        self._joined_view_s = self._view_changed_s = self._levels_changed_s = 0.0
        self._step_down_since_s = self._step_up_since_s = inf  # since when flows would step
        self._proposed_document: DocumentProposed | None = None
        self._document_tried_for: tuple[HostCapabilities, ...] = ()
        self._translation_started_s = -inf
        self._missing_classes: tuple[str, frozenset[HostCapabilities]] | None = None
        self._missing_since_s = 0.0
        self._translated_for: set[tuple[str, frozenset[HostCapabilities]]] = set()
        self._waiting_reason = ""
        self._effects: list[Effect] = []
        self._timers: list[float] = []

    # -- what the shell asks

    @property
    def wake_at(self) -> float:
        return min(self._timers, default=inf)

    @property
    def active(self) -> PolicyBundle | None:
        """What holds, if this member has it."""
        return self.bundles.get(active(self._fact(ACTIVE))[0])

    @property
    def fallback_levels(self) -> tuple[int, ...]:
        """Each flow's fallback level in the whole fleet; empty without an active bundle here."""
        name, digits = active(self._fact(ACTIVE))
        return self.bundles[name].fallback_levels(digits) if name in self.bundles else ()

    def route(self, request_class: str, tenant: str, zone: str) -> Route:
        """Where a request may be served, under what holds now; before there is a view nobody knows."""
        if self.view is None:
            return Route(False, "", (), "this server is not in the fleet's view yet")
        name, _ = active(self._fact(ACTIVE))
        if not name:
            return HERE
        held = self.bundles.get(name)
        if held is None:
            why = "the policy that holds was refused here" if name in self._rejected else "it is not here yet"
            return Route(False, "", (), why)
        flow = held.policy.flow(request_class, tenant, zone)
        if flow is None or self.broken == "ignore-class":
            return HERE if flow is None else Route(True, flow.name)
        if self._serving is None:
            self._serving = self._serving_members(held)
        names = self._serving[held.policy.flows.index(flow)]
        if self.node_name in names:
            return Route(True, flow.name)
        wants = ", ".join(flow.require) or "what it wants"
        if not names:
            return Route(False, flow.name, (), f"no member can run {wants}")
        here = self._fallback_level_of(held, held.policy.flows.index(flow), flow, self.node_name)
        why = f"this class can't run {wants}" if here == NOT_PLACED else "others run more of what it prefers"
        return Route(False, flow.name, names, why, here != NOT_PLACED)

    def able(self) -> dict[str, frozenset[str]]:
        """By flow that requires or forbids anything, the members that can serve it under what holds; empty
        where nothing does, or it is not here."""
        held = self.active
        if held is None or self.view is None:
            return {}
        return {
            flow.name: frozenset(
                name
                for name in self.view.names
                if self._fallback_level_of(held, place, flow, name) != NOT_PLACED
            )
            for place, flow in enumerate(held.policy.flows)
            if flow.require or flow.forbid
        }

    # -- the step

    def step(self, now: float, event: Event) -> list[Effect]:
        self._effects, self._timers = [], []
        match event:
            case ViewChanged(view):
                self._view(now, view)
            case MessageReceived(sender, message):
                self._message_received(now, sender, message)
            case DocumentProposed():
                self._proposed_document = event
            case TranslationFinished(made, faults):
                self._translated(made, faults)
            case TimerFired():
                pass
        if self.view is not None and self.node_name in self.view:
            self._continue_fetch(now)
            self._continue_offer(now)
            self._propose_fact(STAGED, self._staged_fact_due())
            self._propose_fact(ACTIVE, self._active_fact_due(now))
            self._consider_document(now)
            self._consider_new_classes(now)
        self._announce_active(now)
        return self._effects

    def _view(self, now: float, view: View) -> None:
        if self.view is None:
            self._joined_view_s = self._levels_changed_s = now
        if self.view is None or [(o.name, o.incarnation) for o in view.members] != [
            (o.name, o.incarnation) for o in self.view.members
        ]:
            self._view_changed_s = now
        self.view, self._serving = view, None
        self._capabilities_by_member = {}
        for one in view.members:
            try:
                self._capabilities_by_member[one.name] = host_capabilities.read(one.said("class"))
            except HostCapabilitiesError:
                self._count("classes_bad")  # it says none that we know: it can run nothing for us
        self._next_offer_s = min(self._next_offer_s, now + 0.1)

    # -- what holds, and what this member says of it

    def _fact(self, key: str) -> str:
        told = self.view.fact(key) if self.view is not None else ""
        if self.broken == "minority-activates":
            return self._proposed_facts.get(key, told)
        return told

    def _propose_fact(self, key: str, value: str) -> None:
        if value != self._proposed_facts.get(key, self.view.fact(key) if self.view is not None else ""):
            self._proposed_facts[key] = value
            self._effects.append(ProposeFact(Fact(key, value)))

    def _staged_fact_due(self) -> str:
        """The greatest bundle here, if it is above what holds and what is staged."""
        fact = self._fact(STAGED)
        known = max(order(fact), order(active(self._fact(ACTIVE))[0]))
        top = max(self.bundles, key=order, default="")
        return top if order(top) > known else fact

    def _active_fact_due(self, now: float) -> str:
        fact, staged = self._fact(ACTIVE), self._fact(STAGED)
        name, digits = active(fact)
        new = self.bundles.get(staged)
        if new is not None and order(staged) > order(name):
            why = self._lack_of_capacity(new)
            if not why:
                flows = enumerate(new.policy.flows)
                fallback_levels = tuple(self._level_wanted(new, place, flow, None) for place, flow in flows)
                return f"{staged}:{new.digits(fallback_levels)}"
            if why != self._waiting_reason:
                self._waiting_reason = why
                self._note("staged policy waits", policy=staged, reason=why)
        held = self.bundles.get(name)
        if held is None:
            self._step_down_since_s = self._step_up_since_s = inf
            return fact
        return f"{name}:{self._levels_due(now, held, held.fallback_levels(digits))}"

    def _announce_active(self, now: float) -> None:
        """Say what holds now, where that is new."""
        fact = self._fact(ACTIVE)
        name, digits = active(fact)
        held = self.bundles.get(name)
        now_holds = (name if held is not None else "", digits if held is not None else "")
        if now_holds == self._announced:
            return
        was, self._announced = self._announced, now_holds
        self._serving, self._levels_changed_s = None, now
        if was[0] != now_holds[0]:
            if was[0]:
                self._note("policy retired", policy=was[0])
            plan = held.translation.classes.get(self.own_capabilities) if held is not None else None
            self._effects.append(ApplyPlan(held, plan))
        if held is not None:
            fallback_levels = zip(held.policy.flows, held.fallback_levels(digits), strict=True)
            epoch = self.view.epoch if self.view is not None else 0
            told = ",".join(
                f"{flow.name}={fallback_level}" for flow, fallback_level in fallback_levels if flow.fallbacks
            )
            self._note(
                "policy active",
                policy=name,
                epoch=epoch,
                fallback_levels=told or "-",
                own_capabilities=self.own_capabilities.key,
            )
        self._forget_old_bundles()

    # -- capacity and fallbacks

    def _fallback_level_of(self, held: PolicyBundle, place: int, flow: Flow, name: str) -> int:
        """The fallback level on which a member can serve a flow; NOT_PLACED if it can't. A class that the
        translation does not know serves what wants nothing."""
        one = self._capabilities_by_member.get(name)
        plan = held.translation.classes.get(one) if one is not None else None
        if plan is not None:
            return plan.fallback_levels[place]
        return NOT_PLACED if flow.require or flow.forbid else flow.no_fallback_level

    def _serving_members(self, held: PolicyBundle) -> list[tuple[str, ...]]:
        """By flow, the members that may serve it on its fallback level of now."""
        fallback_levels, names = self.fallback_levels, self.view.names if self.view is not None else ()
        found = []
        for place, flow in enumerate(held.policy.flows):
            on = [(name, self._fallback_level_of(held, place, flow, name)) for name in names]
            found.append(
                tuple(
                    name
                    for name, fallback_level in on
                    if fallback_level != NOT_PLACED and fallback_level <= fallback_levels[place]
                )
            )
        return found

    def _capacity(self, held: PolicyBundle, place: int, flow: Flow, fallback_level: int) -> dict[str, float]:
        """Reference cores that serve a flow on this fallback level or a better one, by zone."""
        found: dict[str, float] = {}
        for one in self.view.members if self.view is not None else ():
            here = self._fallback_level_of(held, place, flow, one.name)
            if here != NOT_PLACED and here <= fallback_level and (not flow.zones or one.zone in flow.zones):
                known = self._capabilities_by_member.get(one.name)
                found[one.zone] = found.get(one.zone, 0.0) + (known.capacity if known is not None else 0.0)
        return found

    def _lack_of_capacity(self, held: PolicyBundle) -> str:
        """Which flow would lack members for its load with the largest zone lost; empty if none. A fleet or a
        flow of one zone has no other to lose it to: there the whole counts.

        A flow shares its members with all flows that have no others: so their loads count together, which is
        exact where the sets of members lie within one another, and else a bound from below.
        """
        members = self.view.members if self.view is not None else ()
        zones = {one.zone for one in members}
        flows = [
            (flow, {one.name for one in members if self._may_take(held, place, flow, one)})
            for place, flow in enumerate(held.policy.flows)
            if flow.require
        ]
        for flow, names in flows:
            sharing = [other for other, those in flows if those <= names]
            load = sum(other.cores for other in sharing)
            by_zone: dict[str, float] = {}
            for one in members:
                if one.name in names and one.name in self._capabilities_by_member:
                    by_zone[one.zone] = (
                        by_zone.get(one.zone, 0.0) + self._capabilities_by_member[one.name].capacity
                    )
            several = len(zones & set(flow.zones) if flow.zones else zones) > 1
            left = sum(by_zone.values()) - (max(by_zone.values(), default=0.0) if several else 0.0)
            if left <= 0 or left < load:
                who = (
                    f"flow {flow.name} has"
                    if len(sharing) < 2
                    else (f"flows {', '.join(other.name for other in sharing)} have")
                )
                lost = " with the largest zone lost" if several else ""
                return f"{who} {left:g} cores{lost}, {max(load, 0.001):g} are needed"
        return ""

    def _may_take(self, held: PolicyBundle, place: int, flow: Flow, member: Member) -> bool:
        runs = self._fallback_level_of(held, place, flow, member.name) != NOT_PLACED
        return runs and (not flow.zones or member.zone in flow.zones)

    def _level_wanted(self, held: PolicyBundle, place: int, flow: Flow, fallback_level: int | None) -> int:
        """The fallback level that the members of now have room for; `fallback_level`: where it is, None
        if it begins.
        """
        if not flow.fallbacks:
            return flow.no_fallback_level
        room = [
            sum(self._capacity(held, place, flow, one).values()) for one in range(flow.no_fallback_level + 1)
        ]
        need = max(flow.cores, 1e-9)
        if fallback_level is not None and room[fallback_level] < need:
            better = [
                one for one in range(fallback_level + 1, flow.no_fallback_level + 1) if room[one] >= need
            ]
            most = max(range(fallback_level, flow.no_fallback_level + 1), key=lambda one: (room[one], -one))
            return better[0] if better else most
        margin = need * self.rules.up_margin
        ups = [
            one
            for one in range(flow.no_fallback_level if fallback_level is None else fallback_level)
            if room[one] >= margin
        ]
        return ups[0] if ups else flow.no_fallback_level if fallback_level is None else fallback_level

    def _levels_due(self, now: float, held: PolicyBundle, fallback_levels: tuple[int, ...]) -> str:
        wanted = [
            self._level_wanted(held, place, flow, fallback_levels[place])
            for place, flow in enumerate(held.policy.flows)
        ]
        down = any(
            want > fallback_level for want, fallback_level in zip(wanted, fallback_levels, strict=True)
        )
        up = any(want < fallback_level for want, fallback_level in zip(wanted, fallback_levels, strict=True))
        self._step_down_since_s = min(self._step_down_since_s, now) if down else inf
        self._step_up_since_s = min(self._step_up_since_s, now) if up and not down else inf
        down_at = self._step_down_since_s + self.rules.dwell_down
        up_at = max(self._step_up_since_s + self.rules.dwell_up, self._levels_changed_s + self.rules.rest)
        due = fallback_levels
        if down and now >= down_at:
            due = tuple(max(pair) for pair in zip(wanted, fallback_levels, strict=True))
        elif up and now >= up_at:
            due = tuple(min(pair) for pair in zip(wanted, fallback_levels, strict=True))
        else:
            self._timers += [at for at in (down_at, up_at) if now < at < inf]
        return held.digits(due)

    # -- bundles on their way

    def _hold_bundle(self, made: PolicyBundle, source: str) -> bool:
        """Hold it, if it is right for this server."""
        faults = verify(made.translation, made.policy, self.own_capabilities, self.catalogue)
        if faults and self.broken != "unverified":
            self._reject_bundle(made.name, faults[0])
            return False
        self.bundles[made.name] = made
        self._note("policy held", policy=made.name, source=source)
        self._forget_old_bundles()
        return True

    def _reject_bundle(self, name: str, why: str) -> None:
        self._count("refused")
        self._rejected[name] = why
        if len(self._rejected) > MAX_REJECTED_BUNDLES:
            del self._rejected[next(iter(self._rejected))]
        self._note("policy refused", policy=name, reason=why)

    def _forget_old_bundles(self) -> None:
        """No more than MAX_BUNDLES: what facts name stays, then the newest."""
        named = {active(self._fact(ACTIVE))[0], self._fact(STAGED)}
        for name in sorted(self.bundles, key=order):
            if len(self.bundles) <= MAX_BUNDLES:
                return
            if name not in named:
                del self.bundles[name]

    def _message_received(self, now: float, sender: str, message: Message) -> None:
        if self.view is None or sender not in self.view:
            return
        match message:
            case Offer(name) if order(name) > order(self._offered_name) and name not in self._rejected:
                self._offered_name, self._offered_by = name, sender
            case Fetch(name, at):
                held = self.bundles.get(name)
                data = held.text.encode() if held is not None else b""
                piece = data[at : at + MAX_CHUNK_BYTES]
                self._effects.append(Send(sender, BundleChunk(name, at, len(data), piece)))
            case BundleChunk():
                self._chunk_received(now, sender, message)
            case BundleRejected(name, why):
                self._count("refused_by_others")
                self._note("policy refused by a member", policy=name, member=sender, reason=why)

    def _chunk_received(self, now: float, sender: str, piece: BundleChunk) -> None:
        fetching = self._fetching
        if fetching is None or (fetching.name, fetching.peer) != (piece.name, sender):
            return
        if piece.at != len(fetching.data):
            return  # a double
        fetching.data += piece.data
        if not piece.data or not 0 < len(fetching.data) <= piece.total <= policy_bundle.MAX_BUNDLE_BYTES:
            # It has none, or talks nonsense: another is asked soon, but not at once and round and round.
            fetching.asked = now - 0.8 * self.rules.fetch_within
        elif len(fetching.data) < piece.total:
            fetching.asked = now
            self._effects.append(Send(sender, Fetch(piece.name, len(fetching.data))))
        else:
            self._fetching = None
            try:
                made = policy_bundle.load(fetching.data.decode("utf-8", "replace"))
            except BundleError as trouble:
                self._count("bundles_bad")
                return self._note("bundle dropped", sender=sender, reason=trouble)
            if made.name != piece.name:
                self._count("bundles_bad")
                return self._note("bundle dropped", sender=sender, reason="another name")
            if not self._hold_bundle(made, sender):
                self._effects.append(Send(sender, BundleRejected(made.name, self._rejected[made.name][:200])))

    def _bundle_to_fetch(self) -> str:
        """The bundle to fetch: what holds, else what is staged, else the newest that was offered."""
        known = active(self._fact(ACTIVE))[0]
        for name in (known, self._fact(STAGED), self._offered_name):
            if name in self.bundles or name in self._rejected:
                continue
            if order(name) >= max(order(known), (1, 0, "")):
                return name
        return ""

    def _continue_fetch(self, now: float) -> None:
        name, fetching = self._bundle_to_fetch(), self._fetching
        if not name:
            self._fetching = None
            return
        if fetching is None or fetching.name != name or now >= fetching.asked + self.rules.fetch_within:
            tries = fetching.tries if fetching is not None and fetching.name == name else 0
            members = self.view.names if self.view is not None else ()
            if tries > len(members) and name == self._offered_name:
                # Who offered it may be gone with it: what others hold must not wait for it for ever.
                self._offered_name, self._fetching = "", None
                return
            peer = self._offered_by if name == self._offered_name and not tries else self._next_peer()
            if peer not in members:
                peer = self._next_peer()
            if not peer:
                return
            fetching = self._fetching = _Fetching(name, peer, now, tries + 1)
            self._effects.append(Send(peer, Fetch(name, 0)))
        self._timers.append(fetching.asked + self.rules.fetch_within)

    def _next_peer(self) -> str:
        others = [one for one in self.view.names if one != self.node_name] if self.view is not None else []
        if not others:
            return ""
        self._next_peer_index += 1
        return others[self._next_peer_index % len(others)]

    def _continue_offer(self, now: float) -> None:
        """What is here and above what holds is offered on, until it holds itself."""
        top = max(self.bundles, key=order, default="")
        if order(top) <= order(active(self._fact(ACTIVE))[0]):
            return
        if now >= self._next_offer_s:
            self._next_offer_s = now + self.rules.offer_every
            for peer in sorted({self._next_peer() for _ in range(OFFER_FANOUT)} - {""}):
                self._effects.append(Send(peer, Offer(top)))
        self._timers.append(self._next_offer_s)

    # -- documents and new classes

    def _turn_among_members(self) -> int:
        return self.view.places.get(self.node_name, 0) if self.view is not None else 0

    def _classes(self) -> tuple[HostCapabilities, ...]:
        return tuple(sorted(set(self._capabilities_by_member.values())))

    def _start_translation(self, now: float, what: StartTranslation) -> None:
        self._translation_started_s = now
        self._effects.append(what)

    def _translation_running(self, now: float) -> bool:
        return now < self._translation_started_s + self.rules.translate_within

    def _consider_document(self, now: float) -> None:
        wish = self._proposed_document
        if wish is None:
            return
        if wish.only_first and (self._fact(ACTIVE) or self._fact(STAGED) or self.bundles):
            self._proposed_document = None
            return
        due, classes = self._view_changed_s + self.rules.settle, self._classes()
        if wish.only_first:
            if classes == self._document_tried_for:
                return  # nothing came of it for these; the fleet may still be on its way in
            due = max(
                due, self._joined_view_s + self.rules.settle + self._turn_among_members() * self.rules.stagger
            )
        if now < due or self._translation_running(now):
            self._timers.append(max(due, now + 0.5))
            return
        if wish.only_first:
            self._document_tried_for = classes
        else:
            self._proposed_document = None
        self._start_translation(now, StartTranslation(wish.text, wish.file, classes))

    def _consider_new_classes(self, now: float) -> None:
        """Classes in the view that what holds or is staged was not translated for: one member has it done."""
        held = self.bundles.get(max(self._fact(STAGED), active(self._fact(ACTIVE))[0], key=order))
        if held is None:
            return
        missing = frozenset(self._classes()) - set(held.translation.classes)
        if not missing:
            self._missing_classes = None
            return
        lacking = (held.name, missing)
        if lacking != self._missing_classes:
            self._missing_classes, self._missing_since_s = lacking, now
        due = self._missing_since_s + self.rules.settle + self._turn_among_members() * self.rules.stagger
        if lacking in self._translated_for:
            return
        if now < due or self._translation_running(now):
            self._timers.append(max(due, now + 0.5))
            return
        self._translated_for = {lacking}
        self._start_translation(now, StartTranslation("", held.policy.file, self._classes(), held))

    def _translated(self, made: PolicyBundle | None, faults: Iterable[str]) -> None:
        self._translation_started_s = -inf
        if made is None:
            self._count("untranslated")
            return self._note("policy not taken", reason="; ".join(faults)[:2000])
        known = max(self._fact(STAGED), active(self._fact(ACTIVE))[0], key=order)
        if made.name in self.bundles or made.name == known:
            return self._note("policy known", policy=made.name)
        if order(made.name)[:2] <= order(known)[:2]:
            self._count("untranslated")
            why = f"its number must be above that of {known}"
            return self._note("policy not taken", policy=made.name, reason=why)
        if self._hold_bundle(made, "here"):
            others = (
                [one for one in self.view.names if one != self.node_name] if self.view is not None else []
            )
            self._effects += [Send(one, Offer(made.name)) for one in others]

    # -- small things

    def _note(self, what: str, **fields: object) -> None:
        self._effects.append(LogEntry(what, fields))

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
