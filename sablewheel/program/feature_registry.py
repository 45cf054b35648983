"""Makes the features that are switched on, and only then imports them.

Each is declared once, in `DECLARED`: its section of the features file, how it is made, whether it has work
for the worker thread. What it needs of other sections stands with its section's keys in `features.py`. The
order of the list is the order in which they are made, so what stands on another comes after it; and it is the
order in which seams wrap each other: the witness of a later one is told first and passes on to that of an
earlier one. At the program's later moments the last made comes first, as it stands on the others.
"""

from __future__ import annotations

import contextlib
import os
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from ..feature_policy.plan import PolicyPlan
from ..forwarding.plan import ForwardingPlan
from ..membership.plan import MembershipPlan
from ..overload.interface import ServerSettings
from ..replication.plan import ReplicationPlan
from ..result_store.plan import RecallPlan
from ..serving.exchange import UNWITNESSED, Exchange, Witness
from ..serving.hooks import UNREMEMBERED, Memory
from ..serving.listener import Desk
from ..session_affinity.plan import AffinityPlan
from ..transport.background import Background
from ..transport.scheduler import Scheduler
from ..transport.worker_thread import Bridge
from ..usage_metering.plan import Depth, LedgerPlan
from .configuration import Posting
from .feature import Part
from .feature_file import Features

if TYPE_CHECKING:
    from ..feature_policy.host_capabilities import Ability
    from ..feature_policy.service import Policies
    from ..forwarding.peer_connections import Links
    from ..forwarding.service import Forward
    from ..membership.service import Fleet
    from ..replication.service import Keeper


@dataclass
class Ground:
    """What features stand on: the server's, and what features made before have put down for later ones.

    `bridge` is there if any feature has work for it; the program closes it, behind all who use it.
    """

    scheduler: Scheduler
    background: Background
    posting: Posting
    incarnation: bytes
    bridge: Bridge | None
    never_begun: Callable[[Exchange], None]
    remembered: Callable[[], None]
    fail: Callable[[str], None]
    count: Callable[[str], None]
    features: Features
    retune: Callable[[], None] = lambda: None  # the settings that a feature would have are others now
    witness: Witness = UNWITNESSED
    memory: Memory = UNREMEMBERED
    says: tuple[tuple[str, str], ...] = ()  # what all features together have this member say of itself
    fleet: Fleet | None = None  # by membership
    links: Links | None = None  # by forwarding
    forward: Forward | None = None  # by forwarding; who places requests sets its placer
    policies: Policies | None = None  # by policy: who may serve what, `on_active`, and the placer above
    replication: Keeper | None = None  # by replication; bindings and documents go through it
    leave: Callable[[], None] | None = None  # by membership; None where another tells the fleet in its time


def _no_blocks(plan: Any) -> bool:
    return False


def _no_says(plan: Any) -> tuple[tuple[str, str], ...]:
    return ()


def _no_tells(plan: Any, posting: Posting, features: Features) -> tuple[tuple[str, str], ...]:
    return ()


@dataclass(frozen=True)
class Declared:
    """One feature. `make` gets the ground and the section's plan, and imports the feature's package."""

    section: str
    make: Callable[[Ground, Any], Part]
    blocks: Callable[[Any], bool] = _no_blocks  # whether it has work for the worker thread
    says: Callable[[Any], tuple[tuple[str, str], ...]] = _no_says  # in the fleet's view, of this member
    tells: Callable[[Any, Posting, Features], tuple[tuple[str, str], ...]] = _no_tells  # the same, of more


@contextlib.contextmanager
def _listening(section: str, address: tuple[str, int]) -> Iterator[None]:
    """A door that can't be opened is told by its own key, not as the routers'."""
    try:
        yield
    except OSError as trouble:
        raise OSError(f"{section}.listen: {address[0]}:{address[1]}: {trouble.strerror}") from None


def _ledger(ground: Ground, plan: LedgerPlan) -> Part:
    from ..usage_metering.recorder import Keeper

    posting = ground.posting
    names = {one: name.decode("utf-8", "replace") for name, one in posting.tenants.items()}
    keeper = Keeper(
        ground.scheduler,
        ground.background,
        plan,
        posting.name,
        ground.incarnation,
        names,
        random.Random(posting.seed).random,
        ground.count,
        ground.bridge,
    )
    return Part(
        witness=keeper,
        end_round=keeper.end_round,
        parting=keeper.parting,
        settled=keeper.settled,
        close=keeper.close,
        gauges=keeper.gauges,
    )


def _recall(ground: Ground, plan: RecallPlan) -> Part:
    from ..result_store.recorder import Recorder

    recorder = Recorder(
        ground.scheduler,
        ground.background,
        ground.bridge,
        plan,
        ground.incarnation,
        ground.posting.request_classes,
        ground.witness,
        ground.never_begun,
        ground.remembered,
        ground.fail,
        ground.count,
    )
    return Part(
        witness=recorder,
        memory=recorder,
        up_at=recorder.up_at,
        last_notice=lambda: recorder.last_notice,
        end_round=recorder.end_round,
        parting=recorder.parting,
        settled=recorder.settled,
        close=lambda _: recorder.close(),
        gauges=recorder.gauges,
    )


def _membership(ground: Ground, plan: MembershipPlan) -> Part:
    from ..membership.service import Fleet

    posting = ground.posting
    with _listening("membership", plan.listen):
        fleet = Fleet(ground.scheduler, plan, posting.name, posting.seed, says=ground.says)
    ground.fleet = fleet
    ground.leave = fleet.leave

    def leaving() -> None:
        if ground.leave is not None:
            ground.leave()

    return Part(leaving=leaving, close=lambda _: fleet.close(), gauges=fleet.gauges)


def _forwarding(ground: Ground, plan: ForwardingPlan) -> Part:
    from ..forwarding.forwarding_state import Passing
    from ..forwarding.peer_connections import Links
    from ..forwarding.service import Forward

    fleet, posting = ground.fleet, ground.posting
    assert fleet is not None  # the section needs membership's
    born = fleet.node.me.incarnation
    # At least half of the connections there may be stays for routers.
    settings = replace(plan.links, links_most=min(plan.links.links_most, posting.connections_most // 2))
    with _listening("forwarding", plan.listen):
        links = ground.links = Links(ground.scheduler, plan.listen, settings, fleet.me, born)
    forward = ground.forward = Forward(
        ground.scheduler,
        links,
        Passing(plan.passing),
        round(ground.scheduler.clock.now * 1000),
        posting.request_classes,
        posting.tenants,
        lambda: ground.witness,  # the outermost of all features, once they are made
    )
    fleet.on_view(links.view)
    fleet.on_view(forward.view)
    return Part(
        desk=forward.desk,
        sockets=lambda: links.room_for,
        leaving=lambda: forward.leaving() if ground.leave is not None else None,
        end_round=links.end_round,
        settled=lambda: forward.settled and links.quiet,
        close=lambda _: links.close(),
        gauges=lambda: {**links.gauges(), **forward.gauges()},
    )


def _ability(plan: PolicyPlan, posting: Posting, features: Features) -> Ability:
    """What this server can do: by its settings, the features that are on beside it, and its disk."""
    from ..feature_policy import host_capabilities as ability

    recall = features.recall
    folder = recall.folder if recall is not None else None
    absent = set(ability.UNKNOWN_HERE)
    absent |= {name for name, section in ability.SECTIONS.items() if getattr(features, section, None) is None}
    start = ability.StartUp(
        posting.memory_bytes,
        posting.connections_most,
        disk=folder is not None and ability.lasting(folder),
        links=features.forwarding is not None,
        speed=plan.speed,
        without=frozenset(absent),
    )
    return ability.of(posting.server_settings, start)


def _policy(ground: Ground, plan: PolicyPlan) -> Part:
    from ..feature_policy.service import Policies

    fleet, links, forward = ground.fleet, ground.links, ground.forward
    assert fleet is not None and links is not None and forward is not None  # the section needs theirs
    own = _ability(plan, ground.posting, ground.features)
    made = Policies(ground.scheduler, plan, fleet, links, own, ground.posting.tenants, ground.retune)
    forward.placer = made  # who places by more than this asks `made.place` in turn
    ground.policies = made
    return Part(
        gate=made.gate,
        server_settings=made.server_settings,
        hangup=made.hangup,
        close=lambda _: made.close(),
        gauges=made.gauges,
    )


def _replication(ground: Ground, plan: ReplicationPlan) -> Part:
    from ..replication.service import Keeper, longest

    fleet, links, posting = ground.fleet, ground.links, ground.posting
    assert fleet is not None and links is not None and ground.forward is not None  # the section needs them
    slack = posting.server_settings.answer_slack_s
    settings = replace(plan.settings, longest=longest(posting.request_classes, slack))
    keeper = ground.replication = Keeper(
        ground.scheduler,
        links,
        replace(plan, settings=settings),
        posting.name,
        fleet.node.me.incarnation,
        ground.memory,
        ground.witness,
        ground.never_begun,
        ground.count,
        posting.seed,
        slack,
    )
    ground.forward.owner = keeper
    fleet.on_view(keeper.view)
    return Part(
        witness=keeper,
        memory=keeper,
        leaving=keeper.leaving,
        settled=keeper.settled,
        close=lambda _: keeper.close(),
        gauges=keeper.gauges,
    )


def _affinity(ground: Ground, plan: AffinityPlan) -> Part:
    from ..session_affinity.events import Active
    from ..session_affinity.session_router import Affinity, Watching

    fleet, links, forward, keeper = ground.fleet, ground.links, ground.forward, ground.replication
    assert fleet and links and forward and keeper  # the section needs theirs
    server_settings, clock = ground.posting.server_settings, ground.scheduler.clock
    born = clock.now

    def warmth() -> float:
        if not server_settings.starts_cold or server_settings.warm_up_s <= 0:
            return 1.0
        return server_settings.cold_speed_ratio + (1.0 - server_settings.cold_speed_ratio) * min(
            (clock.now - born) / server_settings.warm_up_s, 1.0
        )

    grace = min(server_settings.drain_grace_s, ground.posting.stop_after)
    affinity = Affinity(
        ground.scheduler,
        plan,
        fleet,
        links,
        forward,
        keeper,
        ground.memory,
        ground.witness,
        ground.posting.tenants,
        warmth,
        float(server_settings.cores),
        grace,
        ground.count,
    )
    ground.leave = None  # the fleet is told, and peers' requests are refused, once sessions are handed over
    policies = ground.policies
    if policies is not None:
        affinity.flow_of = lambda exchange: policies.route(exchange).flow
        policies.on_active(lambda number, able: affinity.activate(Active(max(number, 1), able)))
    return Part(
        witness=Watching(affinity),
        memory=affinity,
        desk=affinity.desk,
        leaving=affinity.leaving,
        settled=affinity.settled,
        close=lambda _: affinity.close(),
        gauges=affinity.gauges,
    )


DECLARED = (
    Declared("ledger", _ledger, blocks=lambda plan: plan.depth is Depth.DURABLE),
    Declared("recall", _recall, blocks=lambda plan: plan.folder is not None),
    Declared("membership", _membership),
    Declared("forwarding", _forwarding, says=lambda plan: (("link", plan.advertise),)),
    Declared(
        "policy",
        _policy,
        tells=lambda plan, posting, features: (("class", _ability(plan, posting, features).said),),
    ),
    Declared("replication", _replication),
    Declared("affinity", _affinity),
)


class Parts:
    """The features of one server. Background work has its turns behind theirs, blocking work one worker."""

    def __init__(
        self,
        features: Features,
        posting: Posting,
        scheduler: Scheduler,
        moved: Callable[[], int],
        never_begun: Callable[[Exchange], None],
        remembered: Callable[[], None],
        fail: Callable[[str], None],
        count: Callable[[str], None],
        retune: Callable[[], None] = lambda: None,
    ) -> None:
        self._background = Background(scheduler, moved)
        self._on = [(one, plan) for one in DECLARED if (plan := features.plan(one.section)) is not None]
        incarnation = round(scheduler.clock.now * 1000).to_bytes(6, "big") + os.urandom(2)
        self._bridge = Bridge(scheduler) if any(one.blocks(plan) for one, plan in self._on) else None
        ground = Ground(
            scheduler,
            self._background,
            posting,
            incarnation,
            self._bridge,
            never_begun,
            remembered,
            fail,
            count,
            features,
            retune,
            says=tuple(
                pair
                for one, plan in self._on
                for pair in (*one.says(plan), *one.tells(plan, posting, features))
            ),
        )
        made: list[Part] = []
        for one, plan in self._on:
            part = one.make(ground, plan)
            ground.witness = part.witness or ground.witness
            ground.memory = part.memory or ground.memory
            made.append(part)
        self.witness, self.memory = ground.witness, ground.memory
        self._made = made
        self._sockets = [part.sockets for part in made if part.sockets is not None]
        made = made[::-1]  # the last made comes first
        self._end_round = [part.end_round for part in made if part.end_round is not None]
        self._leaving = [part.leaving for part in made if part.leaving is not None]
        self._parting = [part.parting for part in made if part.parting is not None]
        self._settled = [part.settled for part in made if part.settled is not None]
        self._close = [part.close for part in made if part.close is not None]
        self._up_at = [part.up_at for part in made if part.up_at is not None]

    @property
    def sockets(self) -> int:
        return sum(sockets() for sockets in self._sockets)

    @property
    def up_at(self) -> float:
        return max((up_at() for up_at in self._up_at), default=0.0)

    @property
    def last_notice(self) -> int:
        return max((part.last_notice() for part in self._made if part.last_notice is not None), default=0)

    def desk(self, inner: Desk) -> Desk:
        for part in self._made:
            if part.gate is not None:
                inner = part.gate(inner)
        for part in self._made:
            if part.desk is not None:
                inner = part.desk(inner)
        return inner

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        for part in self._made:
            if part.server_settings is not None:
                server_settings = part.server_settings(server_settings)
        return server_settings

    def hangup(self) -> None:
        for part in self._made:
            if part.hangup is not None:
                part.hangup()

    def end_round(self) -> None:
        for end_round in self._end_round:
            end_round()
        self._background.end_round()

    def leaving(self) -> None:
        for leaving in self._leaving:
            leaving()

    def parting(self) -> None:
        for parting in self._parting:
            parting()

    def settled(self) -> bool:
        return all(settled() for settled in self._settled)

    def close(self, most: float) -> None:
        for close in self._close:
            close(most)
        if self._bridge is not None:
            self._bridge.close(most)

    def gauges(self) -> dict[str, object]:
        told: dict[str, object] = {}
        for part in self._made:
            if part.gauges is not None:
                told |= part.gauges()
        return told
