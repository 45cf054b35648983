"""The features of one server: builds the enabled ones and calls their hooks."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from ..overload.interface import ServerSettings
from ..serving.exchange import Exchange
from ..serving.listener import RequestHandler
from ..transport.background import Background
from ..transport.scheduler import Scheduler
from ..transport.start_retries import retry_transient_errors
from ..transport.worker_thread import WorkerThread
from .configuration import PlacementSettings
from .feature import FeatureHooks
from .feature_context import FeatureContext
from .feature_file import Features
from .feature_registry import DECLARED, FeatureDeclaration, Metadata


class FeatureSet:
    """All enabled features.

    Features are built in the order of `DECLARED`, so a feature is built after the features that it uses.
    Hooks wrap each other in that order: the observer of a later feature is notified first and passes calls on
    to that of an earlier one. At the end of a round and during shutdown the hooks of later features are
    called first, because these use the earlier ones.

    Attributes:
        observer: The outermost observer of requests.
        result_store: The outermost result store.
    """

    def __init__(
        self,
        features: Features,
        placement_settings: PlacementSettings,
        scheduler: Scheduler,
        batch_count: Callable[[], int],
        on_never_started: Callable[[Exchange], None],
        on_recovery_finished: Callable[[], None],
        on_start_failed: Callable[[str], None],
        count: Callable[[str], None],
        update_settings: Callable[[], None] = lambda: None,
    ) -> None:
        self._background = Background(scheduler, batch_count)
        declared = [
            (declaration, plan)
            for declaration in DECLARED
            if (plan := features.plan(declaration.section)) is not None
        ]
        needs_worker = any(declaration.needs_worker_thread(plan) for declaration, plan in declared)
        self._worker_thread = (
            retry_transient_errors(lambda: WorkerThread(scheduler)) if needs_worker else None
        )
        feature_context = FeatureContext(
            scheduler,
            self._background,
            placement_settings,
            round(scheduler.clock.now * 1000).to_bytes(6, "big") + os.urandom(2),
            self._worker_thread,
            on_never_started,
            on_recovery_finished,
            on_start_failed,
            count,
            features,
            update_settings,
            metadata=_all_metadata(declared, placement_settings, features),
        )
        self._built = [_build(declaration, feature_context, plan) for declaration, plan in declared]
        self.observer, self.result_store = feature_context.observer, feature_context.result_store
        self._collect_hooks(self._built)

    def _collect_hooks(self, built: list[FeatureHooks]) -> None:
        self._descriptors = [hooks.descriptors for hooks in built if hooks.descriptors is not None]
        last_first = built[::-1]
        self._end_round = [hooks.end_round for hooks in last_first if hooks.end_round is not None]
        self._on_shutdown_notice = [
            hooks.on_shutdown_notice for hooks in last_first if hooks.on_shutdown_notice is not None
        ]
        self._on_grace_over = [hooks.on_grace_over for hooks in last_first if hooks.on_grace_over is not None]
        self._is_settled = [hooks.is_settled for hooks in last_first if hooks.is_settled is not None]
        self._close = [hooks.close for hooks in last_first if hooks.close is not None]
        self._up_at = [hooks.up_at for hooks in last_first if hooks.up_at is not None]

    @property
    def descriptors(self) -> int:
        """How many descriptors features need at present."""
        return sum(descriptors() for descriptors in self._descriptors)

    @property
    def up_at(self) -> float:
        """The earliest time, by the scheduler's clock, to connect to the interpreter; inf if unknown."""
        return max((up_at() for up_at in self._up_at), default=0.0)

    @property
    def max_result_bytes(self) -> int:
        """How many bytes of results features keep in memory for duplicates."""
        return max((hooks.max_result_bytes for hooks in self._built), default=0)

    @property
    def last_notice(self) -> int:
        """The number of the last interpreter notice that a previous server process has read; 0 if unknown."""
        numbers = (hooks.last_notice() for hooks in self._built if hooks.last_notice is not None)
        return max(numbers, default=0)

    def handler(self, inner: RequestHandler) -> RequestHandler:
        """Return the handler of clients' requests, wrapped by the features."""
        for hooks in self._built:
            if hooks.inner_handler is not None:
                inner = hooks.inner_handler(inner)
        for hooks in self._built:
            if hooks.handler is not None:
                inner = hooks.handler(inner)
        return inner

    def server_settings(self, server_settings: ServerSettings) -> ServerSettings:
        """Return the controller's settings with the features' changes."""
        for hooks in self._built:
            if hooks.server_settings is not None:
                server_settings = hooks.server_settings(server_settings)
        return server_settings

    def reload(self) -> None:
        """Reread the features' own files."""
        for hooks in self._built:
            if hooks.reload is not None:
                hooks.reload()

    def end_round(self) -> None:
        """Finish a round of the event loop, and run background tasks."""
        for end_round in self._end_round:
            end_round()
        self._background.end_round()

    def on_shutdown_notice(self) -> None:
        """Start the shutdown: the notice was received, and the grace begins."""
        for on_shutdown_notice in self._on_shutdown_notice:
            on_shutdown_notice()

    def on_grace_over(self) -> None:
        """Finish open work: the grace is over."""
        for on_grace_over in self._on_grace_over:
            on_grace_over()

    def is_settled(self) -> bool:
        """Return whether the process may end without loss of data or requests."""
        return all(is_settled() for is_settled in self._is_settled)

    def close(self, timeout_s: float) -> None:
        """Close all features within `timeout_s`."""
        for close in self._close:
            close(timeout_s)
        if self._worker_thread is not None:
            self._worker_thread.close(timeout_s)

    def gauges(self) -> dict[str, object]:
        """Return the counters of all features."""
        gauges: dict[str, object] = {}
        for hooks in self._built:
            if hooks.gauges is not None:
                gauges |= hooks.gauges()
        return gauges


def _build(declaration: FeatureDeclaration, feature_context: FeatureContext, plan: Any) -> FeatureHooks:
    """Build a feature; its observer and result store wrap those of the features built before."""
    hooks = declaration.build(feature_context, plan)
    feature_context.observer = hooks.observer or feature_context.observer
    feature_context.result_store = hooks.result_store or feature_context.result_store
    return hooks


def _all_metadata(
    declared: list[tuple[FeatureDeclaration, Any]], placement_settings: PlacementSettings, features: Features
) -> Metadata:
    return tuple(
        pair
        for declaration, plan in declared
        for pair in (
            *declaration.metadata(plan),
            *declaration.derived_metadata(plan, placement_settings, features),
        )
    )
