"""Rereads the configuration while the server runs, and determines which changes apply without a restart."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from ..transport.scheduler import Scheduler
from . import configuration
from .configuration import FaultyKeyError, PlacementSettings, UnreadableFileError

INITIAL_BACKOFF_S, MAX_RETRIES = 0.05, 7  # doubling: the last retry is 6.35 s after the first attempt

log = logging.getLogger(__name__)


class ConfigurationReloader:
    """Reads the configuration on request and passes it to `on_loaded`. A faulty one is logged and ignored."""

    def __init__(self, scheduler: Scheduler, on_loaded: Callable[[PlacementSettings], None]) -> None:
        self._scheduler, self._on_loaded = scheduler, on_loaded

    def reload(self) -> None:
        """Read the configuration, with retries for some seconds while the file can't be read."""
        self._try_to_load(MAX_RETRIES, INITIAL_BACKOFF_S)

    def _try_to_load(self, retries_left: int, backoff_s: float) -> None:
        try:
            loaded = configuration.placement_settings()
        except UnreadableFileError as error:
            pairs = {"reason": error, "tries_left": retries_left}
            log.error("configuration not read", extra={"pairs": pairs})
            if retries_left:
                retry = partial(self._try_to_load, retries_left - 1, 2 * backoff_s)
                self._scheduler.after(backoff_s, retry)
        except FaultyKeyError as error:
            log.error("configuration rejected", extra={"pairs": {"reason": error}})
        else:
            self._on_loaded(loaded)


@dataclass(frozen=True)
class Reloaded:
    """The settings after a reload.

    Attributes:
        applied: The paths of changed keys whose new values are in effect.
        need_restart: The paths of changed keys whose new values need a restart.
    """

    placement_settings: PlacementSettings
    applied: list[str]
    need_restart: list[str]

    @property
    def settings_changed(self) -> bool:
        """Whether the controller's settings changed."""
        return any(top_key(key) == "settings" for key in self.applied)


def merge(current: PlacementSettings, loaded: PlacementSettings) -> Reloaded:
    """Return the current settings with those changes of the loaded ones that apply without a restart.

    Requests in flight name their request class and tenant, so settings that rename those need a restart.
    """
    changed = list(configuration.differing(current.raw, loaded.raw))
    current_names = [*current.request_classes, *current.tenants]
    same_names = current_names == [*loaded.request_classes, *loaded.tenants]
    if not same_names:
        loaded = replace(loaded, raw={**loaded.raw, "settings": current.raw["settings"]})
    reloadable = configuration.RELOADABLE_KEYS
    applied = [
        key for key in changed if top_key(key) in reloadable and (same_names or top_key(key) != "settings")
    ]
    merged = replace(
        current,
        interpreter=loaded.interpreter,
        naming=loaded.naming,
        raw={**current.raw, **{key: loaded.raw[key] for key in reloadable}},
    )
    reloaded = Reloaded(merged, applied, [key for key in changed if key not in applied])
    if reloaded.settings_changed:
        merged = replace(merged, server_settings=loaded.server_settings, gauge_indexes=loaded.gauge_indexes)
        reloaded = replace(reloaded, placement_settings=merged)
    return reloaded


def top_key(key: str) -> str:
    """Return the topmost part of a key's path."""
    return key.split(".", 1)[0]
