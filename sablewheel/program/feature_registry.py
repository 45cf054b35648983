"""Makes the features that are switched on, and only then imports them.

Each is declared once, in `DECLARED`: its section of the features file, how it is made, whether it has work
for the worker thread. What it needs of other sections stands with its section's keys in `features.py`. The
order of the list is the order in which they are made, so what stands on another comes after it; and it is the
order in which seams wrap each other: the observer of a later one is told first and passes on to that of an
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
from ..serving.exchange import NO_OBSERVER, Exchange, RequestObserver
from ..serving.hooks import NO_RESULT_STORE, Memory
from ..serving.listener import RequestHandler
from ..session_affinity.plan import AffinityPlan
from ..transport.background import Background
from ..transport.scheduler import Scheduler
from ..transport.worker_thread import Bridge
from ..usage_metering.plan import Depth, LedgerPlan
from .configuration import PlacementSettings
from .feature import Part
from .feature_file import Features

if TYPE_CHECKING:
    from ..feature_policy.host_capabilities import Ability
    from ..feature_policy.service import Policies
    from ..forwarding.peer_connections import PeerConnections
    from ..forwarding.service import ForwardingService
    from ..membership.service import MembershipService
    from ..replication.service import Keeper


@dataclass
class FeatureContext:
    """What features stand on: the server's, and what features made before have put down for later ones.

    `bridge` is there if any feature has work for it; the program closes it, behind all who use it.
    """

    scheduler: Scheduler
    background: Background
    placement_settings: PlacementSettings
    incarnation: bytes
    bridge: Bridge | None
    never_begun: Callable[[Exchange], None]
    remembered: Callable[[], None]
    fail: Callable[[str], None]
    count: Callable[[str], None]
    features: Features
    retune: Callable[[], None] = lambda: None  # the settings that a feature would have are others now
    observer: RequestObserver = NO_OBSERVER
    memory: Memory = NO_RESULT_STORE
    says: tuple[tuple[str, str], ...] = ()  # what all features together have this member say of itself
    fleet: MembershipService | None = None  # by membership
    links: PeerConnections | None = None  # by forwarding
    forward: ForwardingService | None = None  # by forwarding; who places requests sets its placer
    policies: Policies | None = None  # by policy: who may serve what, `on_active`, and the placer above
    replication: Keeper | None = None  # by replication; bindings and documents go through it
    leave: Callable[[], None] | None = None  # by membership; None where another tells the fleet in its time


def _no_blocks(plan: Any) -> bool:
    return False


def _no_says(plan: Any) -> tuple[tuple[str, str], ...]:
    return ()


def _no_tells(
    plan: Any, placement_settings: PlacementSettings, features: Features
) -> tuple[tuple[str, str], ...]:
    return ()


@dataclass(frozen=True)
class Declared:
    """One feature. `make` gets the feature_context and the section's plan, and imports the feature's
    package.
    """

    section: str
    make: Callable[[FeatureContext, Any], Part]
    blocks: Callable[[Any], bool] = _no_blocks  # whether it has work for the worker thread
    says: Callable[[Any], tuple[tuple[str, str], ...]] = _no_says  # in the fleet's view, of this member
    tells: Callable[[Any, PlacementSettings, Features], tuple[tuple[str, str], ...]] = (
        _no_tells  # the same, of more
    )


@contextlib.contextmanager
def _listening(section: str, address: tuple[str, int]) -> Iterator[None]:
    """A door that can't be opened is told by its own key, not as the routers'."""
    try:
        yield
    except OSError as trouble:
        raise OSError(f"{section}.listen: {address[0]}:{address[1]}: {trouble.strerror}") from None


def _ledger(feature_context: FeatureContext, plan: LedgerPlan) -> Part:
    from ..usage_metering.recorder import Keeper

    placement_settings = feature_context.placement_settings
    names = {one: name.decode("utf-8", "replace") for name, one in placement_settings.tenants.items()}
    keeper = Keeper(
        feature_context.scheduler,
        feature_context.background,
        plan,
        placement_settings.name,
        feature_context.incarnation,
        names,
        random.Random(placement_settings.seed).random,
        feature_context.count,
        feature_context.bridge,
    )
    return Part(
        observer=keeper,
        end_round=keeper.end_round,
        parting=keeper.parting,
        settled=keeper.settled,
        close=keeper.close,
        gauges=keeper.gauges,
    )


def _recall(feature_context: FeatureContext, plan: RecallPlan) -> Part:
    from ..result_store.recorder import Recorder

    recorder = Recorder(
        feature_context.scheduler,
        feature_context.background,
        feature_context.bridge,
        plan,
        feature_context.incarnation,
        feature_context.placement_settings.request_classes,
        feature_context.observer,
        feature_context.never_begun,
        feature_context.remembered,
        feature_context.fail,
        feature_context.count,
    )
    return Part(
        observer=recorder,
        memory=recorder,
        up_at=recorder.up_at,
        last_notice=lambda: recorder.last_notice,
        end_round=recorder.end_round,
        parting=recorder.parting,
        settled=recorder.settled,
        close=lambda _: recorder.close(),
        gauges=recorder.gauges,
    )


def _membership(feature_context: FeatureContext, plan: MembershipPlan) -> Part:
    from ..membership.service import MembershipService

    placement_settings = feature_context.placement_settings
    with _listening("membership", plan.listen):
        fleet = MembershipService(
            feature_context.scheduler,
            plan,
            placement_settings.name,
            placement_settings.seed,
            metadata=feature_context.says,
        )
    feature_context.fleet = fleet
    feature_context.leave = fleet.leave

    def leaving() -> None:
        if feature_context.leave is not None:
            feature_context.leave()

    return Part(leaving=leaving, close=lambda _: fleet.close(), gauges=fleet.gauges)


def _forwarding(feature_context: FeatureContext, plan: ForwardingPlan) -> Part:
    from ..forwarding.forwarding_state import ForwardingState
    from ..forwarding.peer_connections import PeerConnections
    from ..forwarding.service import ForwardingService

    fleet, placement_settings = feature_context.fleet, feature_context.placement_settings
    assert fleet is not None  # the section needs membership's
    born = fleet.node.local_member.incarnation
    # At least half of the connections there may be stays for routers.
    settings = replace(
        plan.connections,
        max_connections=min(plan.connections.max_connections, placement_settings.connections_most // 2),
    )
    with _listening("forwarding", plan.listen):
        links = feature_context.links = PeerConnections(
            feature_context.scheduler, plan.listen, settings, fleet.node_name, born
        )
    forward = feature_context.forward = ForwardingService(
        feature_context.scheduler,
        links,
        ForwardingState(plan.forwarding),
        round(feature_context.scheduler.clock.now * 1000),
        placement_settings.request_classes,
        placement_settings.tenants,
        lambda: feature_context.observer,  # the outermost of all features, once they are made
    )
    fleet.on_view(links.handle_view)
    fleet.on_view(forward.handle_view)
    return Part(
        handler=forward.handler,
        sockets=lambda: links.max_connections,
        leaving=lambda: forward.start_shutdown() if feature_context.leave is not None else None,
        end_round=links.flush,
        settled=lambda: forward.is_idle and links.all_sent,
        close=lambda _: links.close(),
        gauges=lambda: {**links.gauges(), **forward.gauges()},
    )


def _ability(plan: PolicyPlan, placement_settings: PlacementSettings, features: Features) -> Ability:
    """What this server can do: by its settings, the features that are on beside it, and its disk."""
    from ..feature_policy import host_capabilities as ability

    recall = features.recall
    folder = recall.folder if recall is not None else None
    absent = set(ability.UNKNOWN_HERE)
    absent |= {name for name, section in ability.SECTIONS.items() if getattr(features, section, None) is None}
    start = ability.StartUp(
        placement_settings.memory_bytes,
        placement_settings.connections_most,
        disk=folder is not None and ability.lasting(folder),
        links=features.forwarding is not None,
        speed=plan.speed,
        without=frozenset(absent),
    )
    return ability.of(placement_settings.server_settings, start)


def _policy(feature_context: FeatureContext, plan: PolicyPlan) -> Part:
    from ..feature_policy.service import Policies

    fleet, links, forward = feature_context.fleet, feature_context.links, feature_context.forward
    assert fleet is not None and links is not None and forward is not None  # the section needs theirs
    own = _ability(plan, feature_context.placement_settings, feature_context.features)
    made = Policies(
        feature_context.scheduler,
        plan,
        fleet,
        links,
        own,
        feature_context.placement_settings.tenants,
        feature_context.retune,
    )
    forward.placer = made  # who places by more than this asks `made.place` in turn
    feature_context.policies = made
    return Part(
        gate=made.gate,
        server_settings=made.server_settings,
        hangup=made.hangup,
        close=lambda _: made.close(),
        gauges=made.gauges,
    )


def _replication(feature_context: FeatureContext, plan: ReplicationPlan) -> Part:
    from ..replication.service import Keeper, longest

    fleet, links, placement_settings = (
        feature_context.fleet,
        feature_context.links,
        feature_context.placement_settings,
    )
    assert (
        fleet is not None and links is not None and feature_context.forward is not None
    )  # the section needs them
    slack = placement_settings.server_settings.answer_slack_s
    settings = replace(plan.settings, longest=longest(placement_settings.request_classes, slack))
    keeper = feature_context.replication = Keeper(
        feature_context.scheduler,
        links,
        replace(plan, settings=settings),
        placement_settings.name,
        fleet.node.local_member.incarnation,
        feature_context.memory,
        feature_context.observer,
        feature_context.never_begun,
        feature_context.count,
        placement_settings.seed,
        slack,
    )
    feature_context.forward.owner = keeper
    fleet.on_view(keeper.view)
    return Part(
        observer=keeper,
        memory=keeper,
        leaving=keeper.leaving,
        settled=keeper.settled,
        close=lambda _: keeper.close(),
        gauges=keeper.gauges,
    )


def _affinity(feature_context: FeatureContext, plan: AffinityPlan) -> Part:
    from ..session_affinity.events import Active
    from ..session_affinity.session_router import Affinity, Watching

    fleet, links, forward, keeper = (
        feature_context.fleet,
        feature_context.links,
        feature_context.forward,
        feature_context.replication,
    )
    assert fleet and links and forward and keeper  # the section needs theirs
    server_settings, clock = (
        feature_context.placement_settings.server_settings,
        feature_context.scheduler.clock,
    )
    born = clock.now

    def warmth() -> float:
        if not server_settings.starts_cold or server_settings.warm_up_s <= 0:
            return 1.0
        return server_settings.cold_speed_ratio + (1.0 - server_settings.cold_speed_ratio) * min(
            (clock.now - born) / server_settings.warm_up_s, 1.0
        )

    grace = min(server_settings.drain_grace_s, feature_context.placement_settings.stop_after)
    affinity = Affinity(
        feature_context.scheduler,
        plan,
        fleet,
        links,
        forward,
        keeper,
        feature_context.memory,
        feature_context.observer,
        feature_context.placement_settings.tenants,
        warmth,
        float(server_settings.cores),
        grace,
        feature_context.count,
    )
    feature_context.leave = (
        None  # the fleet is told, and peers' requests are refused, once sessions are handed over
    )
    policies = feature_context.policies
    if policies is not None:
        affinity.flow_of = lambda exchange: policies.route(exchange).flow
        policies.on_active(lambda number, able: affinity.activate(Active(max(number, 1), able)))
    return Part(
        observer=Watching(affinity),
        memory=affinity,
        handler=affinity.handler,
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
        tells=lambda plan, placement_settings, features: (
            ("class", _ability(plan, placement_settings, features).said),
        ),
    ),
    Declared("replication", _replication),
    Declared("affinity", _affinity),
)


class Parts:
    """The features of one server. Background work has its turns behind theirs, blocking work one worker."""

    def __init__(
        self,
        features: Features,
        placement_settings: PlacementSettings,
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
        feature_context = FeatureContext(
            scheduler,
            self._background,
            placement_settings,
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
                for pair in (*one.says(plan), *one.tells(plan, placement_settings, features))
            ),
        )
        made: list[Part] = []
        for one, plan in self._on:
            part = one.make(feature_context, plan)
            feature_context.observer = part.observer or feature_context.observer
            feature_context.memory = part.memory or feature_context.memory
            made.append(part)
        self.observer, self.memory = feature_context.observer, feature_context.memory
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

    def handler(self, inner: RequestHandler) -> RequestHandler:
        for part in self._made:
            if part.gate is not None:
                inner = part.gate(inner)
        for part in self._made:
            if part.handler is not None:
                inner = part.handler(inner)
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
