"""What features are built on."""

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
    """The server's services, and what features that were built before provide for later ones.

    Attributes:
        incarnation: Identifies this start of the server.
        worker_thread: There if any feature needs it; the program closes it after all who use it.
        on_never_started: Called with a request whose run a feature held back, once nobody waits for it.
        on_recovery_finished: Called once all that is stored is known.
        on_start_failed: Called with a reason when a feature can't start and must not be left out.
        retune: Called when the settings that a feature changes are others now.
        metadata: What this member publishes in the fleet's view, by all features together.
        fleet: By membership.
        links: By forwarding.
        forward: By forwarding; the feature that places requests sets its placer.
        policies: By policy: who may serve what.
        replication: By replication; bindings and documents go through it.
        leave: By membership, notifies the fleet; None where another feature does that in its time.
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
    retune: Callable[[], None] = lambda: None
    observer: RequestObserver = NO_OBSERVER
    result_store: ResultStore = NO_RESULT_STORE
    metadata: tuple[tuple[str, str], ...] = ()
    fleet: MembershipService | None = None
    links: PeerConnections | None = None
    forward: ForwardingService | None = None
    policies: PolicyService | None = None
    replication: ReplicationService | None = None
    leave: Callable[[], None] | None = None
