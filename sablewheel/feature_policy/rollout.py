"""How a policy comes into force on all members at once, and how flows step down and up again. Pure.

A bundle is offered, fetched and verified (proposed); each member that holds it says so, and when more than
half do it is a fact (staged); then, if every flow that requires something has members for its load even with
the largest zone lost, they say that it shall hold, and with that fact it does (active), on every member at
the same epoch; the one before is retired. All that a member holds of it follows from the view and from the
bundle that the fact names: who lacks that bundle denies until it has fetched it, and guesses nothing. Facts
need more than half of the view, so a minority changes nothing.

Ladders: a flow is served by the classes that run it on its rung or a better one. Fewer members can mean too
little for the load on that rung: then the whole fleet steps down, once that has lasted (dwell), all flows
together; up again only with a margin (hysteresis) that lasted longer, and not soon after the last change.
What is required is never stepped down: with nobody to run it, its flow is rejected.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from ..membership.view import Fact, Member, View
from . import host_capabilities as ability
from . import policy_bundle as bundle
from .host_capabilities import CATALOGUE, Ability, AbilityError, Catalogue
from .messages import PIECE_MOST, Fetch, Message, Offer, Piece, Refused
from .plan import Rules
from .policy import Flow
from .policy_bundle import Bundle, BundleError, active, order
from .translation import NOT_PLACED, ClassPlan
from .verify import verify

STAGED, ACTIVE = "policy/staged", "policy/active"
KEPT = 4  # bundles: the active one, the staged, a newer one, the one before
REFUSED_KEPT = 16
FANOUT = 4  # members that an unsettled bundle is offered to, each time
BROKEN = ("ignore-class", "minority-activates", "no-dwell", "unverified")


# -- events


@dataclass(frozen=True)
class Viewed:
    view: View


@dataclass(frozen=True)
class Got:
    sender: str
    message: Message


@dataclass(frozen=True)
class Wish:
    """The operators' document, to be taken in: at once, or if the fleet has none (`only_first`)."""

    text: str
    file: str
    only_first: bool = False


@dataclass(frozen=True)
class Translated:
    """What a `Translate` came to: a bundle, or why there is none."""

    made: Bundle | None
    faults: tuple[str, ...] = ()


@dataclass(frozen=True)
class Tick:
    """The shell calls at `Rollout.wake_at` or sooner."""


Event = Viewed | Got | Wish | Translated | Tick

# -- effects


@dataclass(frozen=True)
class Send:
    to: str
    message: Message


@dataclass(frozen=True)
class Judge:
    fact: Fact


@dataclass(frozen=True)
class Translate:
    """To be done in a process of its own: a document, or what holds already for more classes."""

    text: str
    file: str
    classes: tuple[Ability, ...]
    base: Bundle | None = None


@dataclass(frozen=True)
class Apply:
    """What this server's class is to run from now on; no plan: its class has none, no bundle: none holds."""

    bundle: Bundle | None
    plan: ClassPlan | None


@dataclass(frozen=True)
class Note:
    what: str
    fields: dict[str, object]


Effect = Send | Judge | Translate | Apply | Note

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
    """One member's part. `own` is its ability, the same that it says in the view."""

    def __init__(
        self, me: str, own: Ability, rules: Rules, broken: str = "", catalogue: Catalogue = CATALOGUE
    ) -> None:
        self.me, self.own, self.rules, self.broken, self.catalogue = me, own, rules, broken, catalogue
        if broken == "no-dwell":
            self.rules = Rules(dwell_down=0.0, dwell_up=0.0, up_margin=1.0, rest=0.0, settle=rules.settle)
        self.view: View | None = None
        self.bundles: dict[str, Bundle] = {}
        self.counts: dict[str, int] = {}
        self._abilities: dict[str, Ability] = {}
        self._serving: list[tuple[str, ...]] | None = None  # by flow, who may serve it; of the view and facts
        self._holds: tuple[str, str] = ("", "")
        self._judged: dict[str, str] = {}
        self._refused: dict[str, str] = {}
        self._offered = ""  # the greatest name heard of, by whom
        self._offered_by = ""
        self._fetching: _Fetching | None = None
        self._turn = 0  # whom to ask and to offer to next, in the view's order
        self._next_offer = 0.0
        self._in_since = self._viewed = self._changed = 0.0
        self._down = self._up = inf  # since when flows would step
        self._wish: Wish | None = None
        self._wished_for: tuple[Ability, ...] = ()
        self._translating = -inf
        self._lacking: tuple[str, frozenset[Ability]] | None = None
        self._lacking_since = 0.0
        self._tried: set[tuple[str, frozenset[Ability]]] = set()
        self._waits = ""
        self._effects: list[Effect] = []
        self._wakes: list[float] = []

    # -- what the shell asks

    @property
    def wake_at(self) -> float:
        return min(self._wakes, default=inf)

    @property
    def active(self) -> Bundle | None:
        """What holds, if this member has it."""
        return self.bundles.get(active(self._fact(ACTIVE))[0])

    @property
    def rungs(self) -> tuple[int, ...]:
        """Each flow's rung in the whole fleet; empty without an active bundle here."""
        name, digits = active(self._fact(ACTIVE))
        return self.bundles[name].rungs(digits) if name in self.bundles else ()

    def route(self, request_class: str, tenant: str, zone: str) -> Route:
        """Where a request may be served, under what holds now; before there is a view nobody knows."""
        if self.view is None:
            return Route(False, "", (), "this server is not in the fleet's view yet")
        name, _ = active(self._fact(ACTIVE))
        if not name:
            return HERE
        held = self.bundles.get(name)
        if held is None:
            why = "the policy that holds was refused here" if name in self._refused else "it is not here yet"
            return Route(False, "", (), why)
        flow = held.policy.flow(request_class, tenant, zone)
        if flow is None or self.broken == "ignore-class":
            return HERE if flow is None else Route(True, flow.name)
        if self._serving is None:
            self._serving = self._served(held)
        names = self._serving[held.policy.flows.index(flow)]
        if self.me in names:
            return Route(True, flow.name)
        wants = ", ".join(flow.require) or "what it wants"
        if not names:
            return Route(False, flow.name, (), f"no member can run {wants}")
        here = self._rung_of(held, held.policy.flows.index(flow), flow, self.me)
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
                name for name in self.view.names if self._rung_of(held, place, flow, name) != NOT_PLACED
            )
            for place, flow in enumerate(held.policy.flows)
            if flow.require or flow.forbid
        }

    # -- the step

    def step(self, now: float, event: Event) -> list[Effect]:
        self._effects, self._wakes = [], []
        match event:
            case Viewed(view):
                self._view(now, view)
            case Got(sender, message):
                self._got(now, sender, message)
            case Wish():
                self._wish = event
            case Translated(made, faults):
                self._translated(made, faults)
            case Tick():
                pass
        if self.view is not None and self.me in self.view:
            self._fetch(now)
            self._offer(now)
            self._judge(STAGED, self._due_staged())
            self._judge(ACTIVE, self._due_active(now))
            self._take_in(now)
            self._join_classes(now)
        self._hold(now)
        return self._effects

    def _view(self, now: float, view: View) -> None:
        if self.view is None:
            self._in_since = self._changed = now
        if self.view is None or [(o.name, o.incarnation) for o in view.members] != [
            (o.name, o.incarnation) for o in self.view.members
        ]:
            self._viewed = now
        self.view, self._serving = view, None
        self._abilities = {}
        for one in view.members:
            try:
                self._abilities[one.name] = ability.read(one.metadata_value("class"))
            except AbilityError:
                self._count("classes_bad")  # it says none that we know: it can run nothing for us
        self._next_offer = min(self._next_offer, now + 0.1)

    # -- what holds, and what this member says of it

    def _fact(self, key: str) -> str:
        told = self.view.fact(key) if self.view is not None else ""
        if self.broken == "minority-activates":
            return self._judged.get(key, told)
        return told

    def _judge(self, key: str, value: str) -> None:
        if value != self._judged.get(key, self.view.fact(key) if self.view is not None else ""):
            self._judged[key] = value
            self._effects.append(Judge(Fact(key, value)))

    def _due_staged(self) -> str:
        """The greatest bundle here, if it is above what holds and what is staged."""
        fact = self._fact(STAGED)
        known = max(order(fact), order(active(self._fact(ACTIVE))[0]))
        top = max(self.bundles, key=order, default="")
        return top if order(top) > known else fact

    def _due_active(self, now: float) -> str:
        fact, staged = self._fact(ACTIVE), self._fact(STAGED)
        name, digits = active(fact)
        new = self.bundles.get(staged)
        if new is not None and order(staged) > order(name):
            why = self._uncovered(new)
            if not why:
                flows = enumerate(new.policy.flows)
                rungs = tuple(self._wanted(new, place, flow, None) for place, flow in flows)
                return f"{staged}:{new.digits(rungs)}"
            if why != self._waits:
                self._waits = why
                self._note("staged policy waits", policy=staged, reason=why)
        held = self.bundles.get(name)
        if held is None:
            self._down = self._up = inf
            return fact
        return f"{name}:{self._stepped(now, held, held.rungs(digits))}"

    def _hold(self, now: float) -> None:
        """Say what holds now, where that is new."""
        fact = self._fact(ACTIVE)
        name, digits = active(fact)
        held = self.bundles.get(name)
        now_holds = (name if held is not None else "", digits if held is not None else "")
        if now_holds == self._holds:
            return
        was, self._holds = self._holds, now_holds
        self._serving, self._changed = None, now
        if was[0] != now_holds[0]:
            if was[0]:
                self._note("policy retired", policy=was[0])
            plan = held.translation.classes.get(self.own) if held is not None else None
            self._effects.append(Apply(held, plan))
        if held is not None:
            rungs = zip(held.policy.flows, held.rungs(digits), strict=True)
            epoch = self.view.epoch if self.view is not None else 0
            told = ",".join(f"{flow.name}={rung}" for flow, rung in rungs if flow.ladder)
            self._note("policy active", policy=name, epoch=epoch, rungs=told or "-", own=self.own.key)
        self._drop()

    # -- capacity and ladders

    def _rung_of(self, held: Bundle, place: int, flow: Flow, name: str) -> int:
        """The rung on which a member can serve a flow; NOT_PLACED if it can't. A class that the translation
        does not know serves what wants nothing."""
        one = self._abilities.get(name)
        plan = held.translation.classes.get(one) if one is not None else None
        if plan is not None:
            return plan.rungs[place]
        return NOT_PLACED if flow.require or flow.forbid else flow.bottom

    def _served(self, held: Bundle) -> list[tuple[str, ...]]:
        """By flow, the members that may serve it on its rung of now."""
        rungs, names = self.rungs, self.view.names if self.view is not None else ()
        found = []
        for place, flow in enumerate(held.policy.flows):
            on = [(name, self._rung_of(held, place, flow, name)) for name in names]
            found.append(tuple(name for name, rung in on if rung != NOT_PLACED and rung <= rungs[place]))
        return found

    def _capacity(self, held: Bundle, place: int, flow: Flow, rung: int) -> dict[str, float]:
        """Reference cores that serve a flow on this rung or a better one, by zone."""
        found: dict[str, float] = {}
        for one in self.view.members if self.view is not None else ():
            here = self._rung_of(held, place, flow, one.name)
            if here != NOT_PLACED and here <= rung and (not flow.zones or one.zone in flow.zones):
                known = self._abilities.get(one.name)
                found[one.zone] = found.get(one.zone, 0.0) + (known.capacity if known is not None else 0.0)
        return found

    def _uncovered(self, held: Bundle) -> str:
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
                if one.name in names and one.name in self._abilities:
                    by_zone[one.zone] = by_zone.get(one.zone, 0.0) + self._abilities[one.name].capacity
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

    def _may_take(self, held: Bundle, place: int, flow: Flow, member: Member) -> bool:
        runs = self._rung_of(held, place, flow, member.name) != NOT_PLACED
        return runs and (not flow.zones or member.zone in flow.zones)

    def _wanted(self, held: Bundle, place: int, flow: Flow, rung: int | None) -> int:
        """The rung that the members of now have room for; `rung`: where it is, None if it begins."""
        if not flow.ladder:
            return flow.bottom
        room = [sum(self._capacity(held, place, flow, one).values()) for one in range(flow.bottom + 1)]
        need = max(flow.cores, 1e-9)
        if rung is not None and room[rung] < need:
            better = [one for one in range(rung + 1, flow.bottom + 1) if room[one] >= need]
            most = max(range(rung, flow.bottom + 1), key=lambda one: (room[one], -one))
            return better[0] if better else most
        margin = need * self.rules.up_margin
        ups = [one for one in range(flow.bottom if rung is None else rung) if room[one] >= margin]
        return ups[0] if ups else flow.bottom if rung is None else rung

    def _stepped(self, now: float, held: Bundle, rungs: tuple[int, ...]) -> str:
        wanted = [
            self._wanted(held, place, flow, rungs[place]) for place, flow in enumerate(held.policy.flows)
        ]
        down = any(want > rung for want, rung in zip(wanted, rungs, strict=True))
        up = any(want < rung for want, rung in zip(wanted, rungs, strict=True))
        self._down = min(self._down, now) if down else inf
        self._up = min(self._up, now) if up and not down else inf
        down_at = self._down + self.rules.dwell_down
        up_at = max(self._up + self.rules.dwell_up, self._changed + self.rules.rest)
        due = rungs
        if down and now >= down_at:
            due = tuple(max(pair) for pair in zip(wanted, rungs, strict=True))
        elif up and now >= up_at:
            due = tuple(min(pair) for pair in zip(wanted, rungs, strict=True))
        else:
            self._wakes += [at for at in (down_at, up_at) if now < at < inf]
        return held.digits(due)

    # -- bundles on their way

    def _stage(self, made: Bundle, source: str) -> bool:
        """Hold it, if it is right for this server."""
        faults = verify(made.translation, made.policy, self.own, self.catalogue)
        if faults and self.broken != "unverified":
            self._refuse(made.name, faults[0])
            return False
        self.bundles[made.name] = made
        self._note("policy held", policy=made.name, source=source)
        self._drop()
        return True

    def _refuse(self, name: str, why: str) -> None:
        self._count("refused")
        self._refused[name] = why
        if len(self._refused) > REFUSED_KEPT:
            del self._refused[next(iter(self._refused))]
        self._note("policy refused", policy=name, reason=why)

    def _drop(self) -> None:
        """No more than KEPT: what facts name stays, then the newest."""
        named = {active(self._fact(ACTIVE))[0], self._fact(STAGED)}
        for name in sorted(self.bundles, key=order):
            if len(self.bundles) <= KEPT:
                return
            if name not in named:
                del self.bundles[name]

    def _got(self, now: float, sender: str, message: Message) -> None:
        if self.view is None or sender not in self.view:
            return
        match message:
            case Offer(name) if order(name) > order(self._offered) and name not in self._refused:
                self._offered, self._offered_by = name, sender
            case Fetch(name, at):
                held = self.bundles.get(name)
                data = held.text.encode() if held is not None else b""
                piece = data[at : at + PIECE_MOST]
                self._effects.append(Send(sender, Piece(name, at, len(data), piece)))
            case Piece():
                self._piece(now, sender, message)
            case Refused(name, why):
                self._count("refused_by_others")
                self._note("policy refused by a member", policy=name, member=sender, reason=why)

    def _piece(self, now: float, sender: str, piece: Piece) -> None:
        fetching = self._fetching
        if fetching is None or (fetching.name, fetching.peer) != (piece.name, sender):
            return
        if piece.at != len(fetching.data):
            return  # a double
        fetching.data += piece.data
        if not piece.data or not 0 < len(fetching.data) <= piece.total <= bundle.BUNDLE_MOST:
            # It has none, or talks nonsense: another is asked soon, but not at once and round and round.
            fetching.asked = now - 0.8 * self.rules.fetch_within
        elif len(fetching.data) < piece.total:
            fetching.asked = now
            self._effects.append(Send(sender, Fetch(piece.name, len(fetching.data))))
        else:
            self._fetching = None
            try:
                made = bundle.load(fetching.data.decode("utf-8", "replace"))
            except BundleError as trouble:
                self._count("bundles_bad")
                return self._note("bundle dropped", sender=sender, reason=trouble)
            if made.name != piece.name:
                self._count("bundles_bad")
                return self._note("bundle dropped", sender=sender, reason="another name")
            if not self._stage(made, sender):
                self._effects.append(Send(sender, Refused(made.name, self._refused[made.name][:200])))

    def _missing(self) -> str:
        """The bundle to fetch: what holds, else what is staged, else the newest that was offered."""
        known = active(self._fact(ACTIVE))[0]
        for name in (known, self._fact(STAGED), self._offered):
            if name in self.bundles or name in self._refused:
                continue
            if order(name) >= max(order(known), (1, 0, "")):
                return name
        return ""

    def _fetch(self, now: float) -> None:
        name, fetching = self._missing(), self._fetching
        if not name:
            self._fetching = None
            return
        if fetching is None or fetching.name != name or now >= fetching.asked + self.rules.fetch_within:
            tries = fetching.tries if fetching is not None and fetching.name == name else 0
            members = self.view.names if self.view is not None else ()
            if tries > len(members) and name == self._offered:
                # Who offered it may be gone with it: what others hold must not wait for it for ever.
                self._offered, self._fetching = "", None
                return
            peer = self._offered_by if name == self._offered and not tries else self._next_peer()
            if peer not in members:
                peer = self._next_peer()
            if not peer:
                return
            fetching = self._fetching = _Fetching(name, peer, now, tries + 1)
            self._effects.append(Send(peer, Fetch(name, 0)))
        self._wakes.append(fetching.asked + self.rules.fetch_within)

    def _next_peer(self) -> str:
        others = [one for one in self.view.names if one != self.me] if self.view is not None else []
        if not others:
            return ""
        self._turn += 1
        return others[self._turn % len(others)]

    def _offer(self, now: float) -> None:
        """What is here and above what holds is offered on, until it holds itself."""
        top = max(self.bundles, key=order, default="")
        if order(top) <= order(active(self._fact(ACTIVE))[0]):
            return
        if now >= self._next_offer:
            self._next_offer = now + self.rules.offer_every
            for peer in sorted({self._next_peer() for _ in range(FANOUT)} - {""}):
                self._effects.append(Send(peer, Offer(top)))
        self._wakes.append(self._next_offer)

    # -- documents and new classes

    def _rank(self) -> int:
        return self.view.positions.get(self.me, 0) if self.view is not None else 0

    def _classes(self) -> tuple[Ability, ...]:
        return tuple(sorted(set(self._abilities.values())))

    def _ask(self, now: float, what: Translate) -> None:
        self._translating = now
        self._effects.append(what)

    def _busy(self, now: float) -> bool:
        return now < self._translating + self.rules.translate_within

    def _take_in(self, now: float) -> None:
        wish = self._wish
        if wish is None:
            return
        if wish.only_first and (self._fact(ACTIVE) or self._fact(STAGED) or self.bundles):
            self._wish = None
            return
        due, classes = self._viewed + self.rules.settle, self._classes()
        if wish.only_first:
            if classes == self._wished_for:
                return  # nothing came of it for these; the fleet may still be on its way in
            due = max(due, self._in_since + self.rules.settle + self._rank() * self.rules.stagger)
        if now < due or self._busy(now):
            self._wakes.append(max(due, now + 0.5))
            return
        if wish.only_first:
            self._wished_for = classes
        else:
            self._wish = None
        self._ask(now, Translate(wish.text, wish.file, classes))

    def _join_classes(self, now: float) -> None:
        """Classes in the view that what holds or is staged was not translated for: one member has it done."""
        held = self.bundles.get(max(self._fact(STAGED), active(self._fact(ACTIVE))[0], key=order))
        if held is None:
            return
        missing = frozenset(self._classes()) - set(held.translation.classes)
        if not missing:
            self._lacking = None
            return
        lacking = (held.name, missing)
        if lacking != self._lacking:
            self._lacking, self._lacking_since = lacking, now
        due = self._lacking_since + self.rules.settle + self._rank() * self.rules.stagger
        if lacking in self._tried:
            return
        if now < due or self._busy(now):
            self._wakes.append(max(due, now + 0.5))
            return
        self._tried = {lacking}
        self._ask(now, Translate("", held.policy.file, self._classes(), held))

    def _translated(self, made: Bundle | None, faults: Iterable[str]) -> None:
        self._translating = -inf
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
        if self._stage(made, "here"):
            others = [one for one in self.view.names if one != self.me] if self.view is not None else []
            self._effects += [Send(one, Offer(made.name)) for one in others]

    # -- small things

    def _note(self, what: str, **fields: object) -> None:
        self._effects.append(Note(what, fields))

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
