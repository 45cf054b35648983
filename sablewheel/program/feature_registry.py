"""Declares the features and builds them; a feature's package is imported only when it is built.

`DECLARED` has one declaration per feature: its section of the features file, its build function, and whether
it needs the worker thread. The other sections that it needs are declared with its section in
`feature_settings`.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any, TypeAlias

from ..feature_policy.plan import PolicyPlan
from ..forwarding.plan import ForwardingPlan
from ..membership.plan import MembershipPlan
from ..overload.interface import ServerSettings
from ..replication.plan import ReplicationPlan
from ..result_store.plan import ResultStorePlan
from ..session_affinity.plan import AffinityPlan
from ..transport.scheduler import Clock
from ..usage_metering.plan import Depth, LedgerPlan
from .configuration import PlacementSettings
from .feature import FeatureHooks
from .feature_context import FeatureContext
from .feature_file import Features

if TYPE_CHECKING:
    from ..feature_policy.host_capabilities import HostCapabilities


Metadata: TypeAlias = tuple[tuple[str, str], ...]


def _needs_no_worker_thread(plan: Any) -> bool:
    return False


def _no_metadata(plan: Any) -> Metadata:
    return ()


def _no_derived_metadata(plan: Any, placement_settings: PlacementSettings, features: Features) -> Metadata:
    return ()


@dataclass(frozen=True)
class FeatureDeclaration:
    """The declaration of one feature.

    Attributes:
        build: Imports the feature's package and builds the feature from the section's plan.
        needs_worker_thread: Whether the feature needs the worker thread.
        metadata: The key-value pairs that this member publishes in the fleet's view.
        derived_metadata: Further pairs, which depend on more than the plan.
    """

    section: str
    build: Callable[[FeatureContext, Any], FeatureHooks]
    needs_worker_thread: Callable[[Any], bool] = _needs_no_worker_thread
    metadata: Callable[[Any], Metadata] = _no_metadata
    derived_metadata: Callable[[Any, PlacementSettings, Features], Metadata] = _no_derived_metadata


@contextlib.contextmanager
def _listening(section: str, address: tuple[str, int]) -> Iterator[None]:
    """Add the section's name to the error of an address that can't be listened on."""
    try:
        yield
    except OSError as error:
        raise OSError(f"{section}.listen: {address[0]}:{address[1]}: {error.strerror}") from None


def _build_usage_metering(feature_context: FeatureContext, plan: LedgerPlan) -> FeatureHooks:
    from ..usage_metering.recorder import UsageRecorder

    placement_settings = feature_context.placement_settings
    tenant_names = {
        tenant: name.decode("utf-8", "replace") for name, tenant in placement_settings.tenants.items()
    }
    recorder = UsageRecorder(
        feature_context.scheduler,
        feature_context.background,
        plan,
        placement_settings.name,
        feature_context.incarnation,
        tenant_names,
        random.Random(placement_settings.seed).random,
        feature_context.count,
        feature_context.worker_thread,
    )
    return FeatureHooks(
        observer=recorder,
        end_round=recorder.end_round,
        on_grace_over=recorder.on_grace_over,
        is_settled=recorder.is_settled,
        close=recorder.close,
        gauges=recorder.gauges,
    )


def _build_result_store(feature_context: FeatureContext, plan: ResultStorePlan) -> FeatureHooks:
    from ..result_store.recorder import Recorder

    recorder = Recorder(
        feature_context.scheduler,
        feature_context.background,
        feature_context.worker_thread,
        plan,
        feature_context.incarnation,
        feature_context.placement_settings.request_classes,
        feature_context.observer,
        feature_context.on_never_started,
        feature_context.on_recovery_finished,
        feature_context.on_start_failed,
        feature_context.count,
    )
    return FeatureHooks(
        observer=recorder,
        result_store=recorder,
        up_at=recorder.up_at,
        max_result_bytes=plan.max_bytes if plan.folder is not None else 0,
        last_notice=lambda: recorder.last_notice,
        end_round=recorder.end_round,
        on_grace_over=recorder.on_grace_over,
        is_settled=recorder.is_settled,
        close=lambda _: recorder.close(),
        gauges=recorder.gauges,
    )


def _build_membership(feature_context: FeatureContext, plan: MembershipPlan) -> FeatureHooks:
    from ..membership.service import MembershipService

    placement_settings = feature_context.placement_settings
    with _listening("membership", plan.listen):
        fleet = MembershipService(
            feature_context.scheduler,
            plan,
            placement_settings.name,
            placement_settings.seed,
            metadata=feature_context.metadata,
        )
    feature_context.fleet = fleet
    feature_context.leave = fleet.leave

    def on_shutdown_notice() -> None:
        if feature_context.leave is not None:
            feature_context.leave()

    return FeatureHooks(
        on_shutdown_notice=on_shutdown_notice, close=lambda _: fleet.close(), gauges=fleet.gauges
    )


def _build_forwarding(feature_context: FeatureContext, plan: ForwardingPlan) -> FeatureHooks:
    from ..forwarding.forwarding_state import ForwardingState
    from ..forwarding.peer_connections import PeerConnections
    from ..forwarding.service import ForwardingService

    fleet, placement_settings = feature_context.fleet, feature_context.placement_settings
    assert fleet is not None  # the section `forwarding` needs `membership`
    incarnation = fleet.node.local_member.incarnation
    # At least half of all connections are left for clients.
    settings = replace(
        plan.connections,
        max_connections=min(plan.connections.max_connections, placement_settings.max_connections // 2),
    )
    with _listening("forwarding", plan.listen):
        links = feature_context.links = PeerConnections(
            feature_context.scheduler, plan.listen, settings, fleet.node_name, incarnation
        )
    forward = feature_context.forward = ForwardingService(
        feature_context.scheduler,
        links,
        ForwardingState(plan.forwarding),
        round(feature_context.scheduler.clock.now * 1000),
        placement_settings.request_classes,
        placement_settings.tenants,
        lambda: feature_context.observer,  # the outermost observer, known once all features are built
    )
    fleet.on_view(links.handle_view)
    fleet.on_view(forward.handle_view)
    return FeatureHooks(
        handler=forward.handler,
        descriptors=lambda: links.max_connections,
        on_shutdown_notice=lambda: forward.start_shutdown() if feature_context.leave is not None else None,
        end_round=links.flush,
        is_settled=lambda: forward.is_idle and links.all_sent,
        close=lambda _: links.close(),
        gauges=lambda: {**links.gauges(), **forward.gauges()},
    )


def _host_capabilities(
    plan: PolicyPlan, placement_settings: PlacementSettings, features: Features
) -> HostCapabilities:
    """Return this server's capabilities, given its settings, the other enabled features and its disk."""
    from ..feature_policy import host_capabilities

    recall = features.recall
    folder = recall.folder if recall is not None else None
    absent = set(host_capabilities.UNSUPPORTED_FEATURES)
    absent |= {
        name
        for name, section in host_capabilities.SECTIONS.items()
        if getattr(features, section, None) is None
    }
    start = host_capabilities.StartupChecks(
        placement_settings.memory_bytes,
        placement_settings.max_connections,
        disk=folder is not None and host_capabilities.is_writable(folder),
        links=features.forwarding is not None,
        speed=plan.speed,
        disabled_features=frozenset(absent),
    )
    return host_capabilities.from_settings(placement_settings.server_settings, start)


def _build_feature_policy(feature_context: FeatureContext, plan: PolicyPlan) -> FeatureHooks:
    from ..feature_policy.service import PolicyService

    fleet, links, forward = feature_context.fleet, feature_context.links, feature_context.forward
    assert fleet is not None and links is not None and forward is not None  # required by the section
    host_capabilities = _host_capabilities(plan, feature_context.placement_settings, feature_context.features)
    policies = PolicyService(
        feature_context.scheduler,
        plan,
        fleet,
        links,
        host_capabilities,
        feature_context.placement_settings.tenants,
        feature_context.update_settings,
    )
    forward.placer = policies  # a feature that also places requests calls `policies.place` in turn
    feature_context.policies = policies
    return FeatureHooks(
        inner_handler=policies.gate,
        server_settings=policies.server_settings,
        reload=policies.reload,
        close=lambda _: policies.close(),
        gauges=policies.gauges,
    )


def _build_replication(feature_context: FeatureContext, plan: ReplicationPlan) -> FeatureHooks:
    from ..replication.service import ReplicationService, max_key_lifetime_s

    fleet, links, placement_settings = (
        feature_context.fleet,
        feature_context.links,
        feature_context.placement_settings,
    )
    forward = feature_context.forward
    assert fleet is not None and links is not None and forward is not None  # required by the section
    slack = placement_settings.server_settings.answer_slack_s
    lifetime_s = max_key_lifetime_s(placement_settings.request_classes, slack)
    settings = replace(plan.settings, max_lifetime_s=lifetime_s)
    replication = feature_context.replication = ReplicationService(
        feature_context.scheduler,
        links,
        replace(plan, settings=settings),
        placement_settings.name,
        fleet.node.local_member.incarnation,
        feature_context.result_store,
        feature_context.observer,
        feature_context.on_never_started,
        feature_context.count,
        placement_settings.seed,
        slack,
    )
    forward.owner = replication
    fleet.on_view(replication.view)
    return FeatureHooks(
        observer=replication,
        result_store=replication,
        on_shutdown_notice=replication.on_shutdown_notice,
        is_settled=replication.is_settled,
        close=lambda _: replication.close(),
        gauges=replication.gauges,
    )


def _warm_up_progress(clock: Clock, server_settings: ServerSettings) -> Callable[[], float]:
    """Return a function that gives the server's speed relative to a warm server; the warm-up starts now."""
    started_at = clock.now

    def relative_speed() -> float:
        if not server_settings.starts_cold or server_settings.warm_up_s <= 0:
            return 1.0
        elapsed_ratio = min((clock.now - started_at) / server_settings.warm_up_s, 1.0)
        return server_settings.cold_speed_ratio + (1.0 - server_settings.cold_speed_ratio) * elapsed_ratio

    return relative_speed


def _build_session_affinity(feature_context: FeatureContext, plan: AffinityPlan) -> FeatureHooks:
    from ..session_affinity.events import PolicyActivated
    from ..session_affinity.session_router import SessionRouter

    fleet, links, forward, replication = (
        feature_context.fleet,
        feature_context.links,
        feature_context.forward,
        feature_context.replication,
    )
    assert fleet and links and forward and replication  # required by the section
    server_settings = feature_context.placement_settings.server_settings
    grace = min(server_settings.drain_grace_s, feature_context.placement_settings.stop_after_s)
    router = SessionRouter(
        feature_context.scheduler,
        plan,
        fleet,
        links,
        forward,
        replication,
        feature_context.result_store,
        feature_context.observer,
        feature_context.placement_settings.tenants,
        _warm_up_progress(feature_context.scheduler.clock, server_settings),
        float(server_settings.cores),
        grace,
    )
    # The router notifies the fleet, and rejects peers' requests, once its sessions are handed over.
    feature_context.leave = None
    policies = feature_context.policies
    if policies is not None:
        router.flow_of = lambda exchange: policies.route(exchange).flow
        policies.on_active(lambda number, able: router.activate(PolicyActivated(max(number, 1), able)))
    return FeatureHooks(
        observer=router.observer,
        result_store=router.result_store,
        handler=router.handler,
        on_shutdown_notice=router.on_shutdown_notice,
        is_settled=router.is_settled,
        close=lambda _: router.close(),
        gauges=router.gauges,
    )


DECLARED = (
    FeatureDeclaration(
        "ledger", _build_usage_metering, needs_worker_thread=lambda plan: plan.depth is Depth.DURABLE
    ),
    FeatureDeclaration(
        "recall", _build_result_store, needs_worker_thread=lambda plan: plan.folder is not None
    ),
    FeatureDeclaration("membership", _build_membership),
    FeatureDeclaration("forwarding", _build_forwarding, metadata=lambda plan: (("link", plan.advertise),)),
    FeatureDeclaration(
        "policy",
        _build_feature_policy,
        derived_metadata=lambda plan, placement_settings, features: (
            ("class", _host_capabilities(plan, placement_settings, features).text),
        ),
    ),
    FeatureDeclaration("replication", _build_replication),
    FeatureDeclaration("affinity", _build_session_affinity),
)
