"""The context in which features are built."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..serving.exchange import NO_OBSERVER, Exchange, RequestObserver
from ..serving.hooks import NO_RESULT_STORE, ResultStore
from ..transport.background import Background
from ..transport.scheduler import Scheduler
from ..transport.worker_thread import WorkerThread
from .configuration import PlacementSettings
from .feature_file import Features

if TYPE_CHECKING:
    from ..feature_policy.service import PolicyService
    from ..forwarding.peer_connections import PeerConnections
    from ..forwarding.service import ForwardingService
    from ..membership.service import MembershipService
    from ..replication.service import ReplicationService


@dataclass
class FeatureContext:
    """The server's services, and the services that earlier features provide for later ones.

    Attributes:
        incarnation: Identifies this start of the server.
        worker_thread: None if no feature needs it. Closed after all features that use it.
        on_never_started: Called with a request whose run a feature delayed, once its client stopped waiting.
        on_recovery_finished: Called once all stored results are loaded.
        on_start_failed: Called with a reason when a feature can't start that the server must not run without.
        update_settings: Called when a feature changes the controller's settings in another way than before.
        metadata: The key-value pairs that this member publishes in the fleet's view, of all features.
        fleet: The membership service; None if membership is off.
        links: The connections to peers, set by forwarding.
        forward: The forwarding service. The feature that places requests sets its `placer`.
        policies: The policy service, which determines the servers that may run a request.
        replication: The replication service, which also stores bindings and documents.
        leave: Notifies the fleet that this server leaves. Set by membership; None if another feature does
            that at a later point of the shutdown.
    """

    scheduler: Scheduler
    background: Background
    placement_settings: PlacementSettings
    incarnation: bytes
    worker_thread: WorkerThread | None
    on_never_started: Callable[[Exchange], None]
    on_recovery_finished: Callable[[], None]
    on_start_failed: Callable[[str], None]
    count: Callable[[str], None]
    features: Features
    update_settings: Callable[[], None] = lambda: None
    observer: RequestObserver = NO_OBSERVER
    result_store: ResultStore = NO_RESULT_STORE
    metadata: tuple[tuple[str, str], ...] = ()
    fleet: MembershipService | None = None
    links: PeerConnections | None = None
    forward: ForwardingService | None = None
    policies: PolicyService | None = None
    replication: ReplicationService | None = None
    leave: Callable[[], None] | None = None
