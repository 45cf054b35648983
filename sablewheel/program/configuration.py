"""Reads and checks the configuration and the settings, and applies their defaults.

`placement_settings` reads the configuration of one server. `server_settings` makes the controller's settings,
for the program and for the simulator's adapter. Every error message names the faulty key.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import inf, isfinite
from pathlib import Path
from typing import Any, TypeVar

from ..overload.interface import (
    AdvertisementKind,
    Cancellation,
    Dependency,
    Idempotency,
    RequestClass,
    ServerSettings,
    Tenant,
)

IDEMPOTENCY_BY_SETTING = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
CANCELLATION_BY_SETTING = {
    "off": Cancellation.UNSUPPORTED,
    "drop": Cancellation.DISCARDS_WORK,
    "pause": Cancellation.SUSPENDS,
}
WEIGHT_BY_WORK_BY_SETTING = {"request": False, "work": True}
ADVERTISEMENT_BY_SETTING = {
    "off": AdvertisementKind.NONE,
    "tokens": AdvertisementKind.CREDIT,
    "min_rank": AdvertisementKind.LOAD_LEVEL,
    "bias": AdvertisementKind.ACCEPT_PROBABILITY,
}
LOG_LEVELS = {"debug": "DEBUG", "info": "INFO", "warning": "WARNING", "error": "ERROR"}
# Descriptors that are not available for clients' connections: the standard streams, links, a reserve. With a
# higher descriptor limit, more are reserved for descriptors that the process inherited.
RESERVED_DESCRIPTORS = 12
MAX_INHERITED_DESCRIPTORS = 8
# The top-level keys whose new values a running server applies on a reload.
RELOADABLE_KEYS = ("vm", "naming", "settings")

Choice = TypeVar("Choice")


class FaultyKeyError(ValueError):
    """A key is missing, has the wrong type or is out of range; the message starts with the key's path."""


class UnreadableFileError(FaultyKeyError):
    """The file can't be read now; `__cause__` is the system's error."""


@dataclass(frozen=True)
class PlacementSettings:
    """The configuration of one server.

    Attributes:
        stop_after_s: How long after the shutdown notice the process is stopped.
        gauge_indexes: The positions of CPU use, connections and runnable work among the interpreter's gauges;
            None for an absent gauge.
        raw: The decoded JSON of the configuration.
    """

    name: str
    listen: tuple[str, int]
    interpreter: tuple[str, int]
    naming: tuple[str, int]
    seed: int
    stop_after_s: float
    memory_bytes: int
    max_connections: int
    server_settings: ServerSettings
    request_classes: dict[bytes, RequestClass]
    tenants: dict[bytes, Tenant]
    gauge_indexes: tuple[int | None, int | None, int | None]
    log_level: str
    raw: Mapping[str, Any]


class Section:
    """One object of the configuration. All methods raise `FaultyKeyError` with the key's path."""

    def __init__(self, values: object, path: str = "") -> None:
        if not isinstance(values, Mapping):
            raise FaultyKeyError(f"{path or 'configuration'}: expected an object")
        self._values, self._path = values, path

    def name(self, key: str) -> str:
        """Return the path of a key."""
        return f"{self._path}.{key}" if self._path else key

    def raw(self, key: str, default: Any = ...) -> Any:
        """Return a value of any type. A key without a default is mandatory."""
        value = self._values.get(key)
        if value is None:
            if default is ...:
                raise FaultyKeyError(f"{self.name(key)}: missing")
            return default
        return value

    def section(self, key: str, default: Any = ...) -> Section:
        """Return an object."""
        return Section(self.raw(key, default), self.name(key))

    def sections(self, key: str, default: Any = ...) -> list[Section]:
        """Return a list of objects."""
        values = self.items(key, default)
        return [Section(value, f"{self.name(key)}[{index}]") for index, value in enumerate(values)]

    def items(self, key: str, default: Any = ...) -> list[Any]:
        """Return a list."""
        values = self.raw(key, default)
        if not isinstance(values, list):
            raise FaultyKeyError(f"{self.name(key)}: expected a list")
        return values

    def indexed(self, key: str) -> Section:
        """Return a list as an object whose keys are the indexes."""
        items = enumerate(self.items(key, []))
        return Section({str(index): item for index, item in items}, self.name(key))

    def number(self, key: str, default: Any = ..., minimum: float = 0.0, maximum: float = inf) -> float:
        """Return a number within the bounds."""
        value = self.raw(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise FaultyKeyError(f"{self.name(key)}: expected a number, got {value!r:.40}")
        if not minimum <= value <= maximum or not isfinite(value):
            raise FaultyKeyError(f"{self.name(key)}: {value} is not between {minimum:g} and {maximum:g}")
        return float(value)

    def integer(self, key: str, default: Any = ..., minimum: int = 0, maximum: int = 1 << 53) -> int:
        """Return a whole number within the bounds."""
        value = self.number(key, default, minimum, maximum)
        if value != int(value):
            raise FaultyKeyError(f"{self.name(key)}: expected a whole number, got {value}")
        return int(value)

    def flag(self, key: str, default: Any = ...) -> bool:
        """Return a boolean."""
        value = self.raw(key, default)
        if not isinstance(value, bool):
            raise FaultyKeyError(f"{self.name(key)}: expected true or false, got {value!r:.40}")
        return value

    def text(self, key: str, default: Any = ...) -> str:
        """Return a non-empty string."""
        value = self.raw(key, default)
        if not isinstance(value, str) or not value:
            raise FaultyKeyError(f"{self.name(key)}: expected a non-empty string, got {value!r:.40}")
        return value

    def choice(self, key: str, choices: Mapping[str, Choice], default: Any = ...) -> Choice:
        """Return the choice that the key's string selects."""
        value = self.text(key, default)
        if value not in choices:
            raise FaultyKeyError(f"{self.name(key)}: {value!r:.40} is not one of {', '.join(choices)}")
        return choices[value]

    def address(self, key: str) -> tuple[str, int]:
        """Return an IPv4 address and a port. Host names are not resolved: there may be no resolver."""
        value = self.text(key)
        host, colon, port = value.rpartition(":")
        try:
            socket.inet_pton(socket.AF_INET, host)
        except (OSError, ValueError):
            colon = ""
        if not (colon and port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536):
            raise FaultyKeyError(f"{self.name(key)}: expected an IPv4 address and a port, got {value!r:.40}")
        return host, int(port)

    def names(self, key: str) -> list[bytes]:
        """Return the names of a list's items as encoded on the wire. A duplicate name is an error."""
        names = [item.text("name").encode("utf-8", "replace") for item in self.sections(key, [])]
        if len(set(names)) < len(names):
            raise FaultyKeyError(f"{self.name(key)}: duplicate name")
        return names


def placement_settings(environment: Mapping[str, str] = os.environ) -> PlacementSettings:
    """Return the configuration of this server.

    Args:
        environment: `RELAY_CONFIG` names the file, `SABLEWHEEL_LOG` the log level.

    Raises:
        UnreadableFileError: The file can't be read now.
        FaultyKeyError: The configuration is faulty.
    """
    raw = _load(environment)
    top = Section(raw)
    limits, settings = top.section("limits", {}), top.section("settings")
    descriptors = limits.integer("sockets", 1024, minimum=RESERVED_DESCRIPTORS + 4)
    seed = _seed(top)
    controller_settings = server_settings(settings, calls_dependency=False)
    gauge_indexes = _gauge_indexes(settings)
    class_names, tenant_names = settings.names("classes"), settings.names("orgs")
    return PlacementSettings(
        name=top.text("name"),
        listen=top.address("listen"),
        interpreter=top.address("vm"),
        naming=top.address("naming"),
        seed=seed,
        stop_after_s=top.number("stop_ms", 3000, minimum=1) / 1000,
        memory_bytes=int(limits.number("memory_mb", 192, minimum=8) * 1e6),
        max_connections=_max_connections(descriptors),
        server_settings=controller_settings,
        request_classes=dict(zip(class_names, controller_settings.request_classes, strict=True)),
        tenants=dict(zip(tenant_names, controller_settings.tenants, strict=True)),
        gauge_indexes=gauge_indexes,
        log_level=Section(environment).choice("SABLEWHEEL_LOG", LOG_LEVELS, "info"),
        raw=raw,
    )


def _load(environment: Mapping[str, str]) -> Any:
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise FaultyKeyError("RELAY_CONFIG: missing")
    try:
        return json.loads(Path(path).read_bytes())
    except OSError as error:
        raise UnreadableFileError(f"RELAY_CONFIG: {path}: {error.strerror}") from error
    except ValueError as error:
        raise FaultyKeyError(f"RELAY_CONFIG: {path} is not JSON: {error}") from None


def _seed(top: Section) -> int:
    digits = top.text("seed")
    try:
        return int(digits, 16)
    except ValueError:
        raise FaultyKeyError("seed: expected hexadecimal digits") from None


def _max_connections(descriptors: int) -> int:
    inherited = max(descriptors - 2 * RESERVED_DESCRIPTORS - 4, 0) // 4
    return descriptors - RESERVED_DESCRIPTORS - min(inherited, MAX_INHERITED_DESCRIPTORS)


def _gauge_indexes(settings: Section) -> tuple[int | None, int | None, int | None]:
    gauges = settings.section("extra").items("gauges", [])

    def index(name: str) -> int | None:
        return gauges.index(name) if name in gauges else None

    return index("cpu_busy"), index("sockets"), index("runnable")


def differing(before: Any, after: Any, path: str = "") -> Iterator[str]:
    """Yield the paths of the keys whose values differ between two configurations."""
    if isinstance(before, Mapping) and isinstance(after, Mapping):
        for key in sorted({*before, *after}):
            yield from differing(before.get(key), after.get(key), f"{path}.{key}" if path else key)
    elif before != after:
        yield path


def server_settings(settings: Section, calls_dependency: bool = True) -> ServerSettings:
    """Return the controller's settings. Unknown keys are ignored.

    Args:
        settings: The object `settings` of the configuration, or that of the simulator's first message.
        calls_dependency: Whether the protocol can make and skip calls to a dependency.

    Raises:
        FaultyKeyError: The settings are faulty.
    """
    extra, safety = settings.section("extra"), settings.section("safety")
    limits, client_habits = settings.section("limits", {}), settings.section("client-habits", {})
    return ServerSettings(
        request_classes=_request_classes(settings, extra, calls_dependency),
        cores=extra.integer("cores", minimum=1),
        memory_kb=extra.number("memory-kb"),
        running_memory_factor=extra.number("run-factor", 1.0),
        tenants=tuple(
            Tenant(quota_per_s=tenant.number("quota-rps", 0.0)) for tenant in settings.sections("orgs", [])
        ),
        dependency=_dependency(extra) if calls_dependency else None,
        servers=settings.integer("servers", 1) or 1,
        clients=extra.integer("callers", 1) or 1,
        idempotency_key_kb=extra.number("key-kb", 0.0),
        cancellation=extra.choice("halt", CANCELLATION_BY_SETTING, "off"),
        advertisement=extra.choice("say", ADVERTISEMENT_BY_SETTING, "off"),
        advertisement_ttl_s=extra.number("said-for-s", 0.0),
        coalesce_reads_for_s=extra.number("share-for-s", 0.0),
        deadline_propagated=extra.flag("passes-deadline", False),
        marks_retries=client_habits.flag("marks-retry", False),
        over_quota_weight=settings.number("over-share-worth", 1.0),
        weight_by_work=settings.choice("value-by", WEIGHT_BY_WORK_BY_SETTING, "request"),
        starts_cold=extra.flag("fresh-start", False),
        idle_timeout_s=extra.number("idle-s", 0.0),
        min_batch_interval_s=settings.number("tick-s", 0.0),
        answer_slack_s=safety.number("answer-slack-s", 0.0),
        drain_grace_s=safety.number("drain-grace-s", 0.0),
        max_concurrency_per_core=safety.number("fall-multiple"),
        concurrency_span_s=safety.number("fall-s", 0.0),
        cold_speed_ratio=safety.number("cold-from", 1.0),
        warm_up_s=safety.number("warm-up-s", 0.0),
        max_retry_after_s=limits.number("max-retry-after-s", 0.0)
        if limits.flag("retry-after", False)
        else 0.0,
    )


def _request_classes(settings: Section, extra: Section, calls_dependency: bool) -> tuple[RequestClass, ...]:
    sections = settings.sections("classes")
    if not sections:
        raise FaultyKeyError(f"{settings.name('classes')}: expected at least one request class")
    calls, skips = extra.indexed("class-calls"), extra.indexed("class-skip-worth")
    return tuple(
        RequestClass(
            idempotency=section.choice("repeat", IDEMPOTENCY_BY_SETTING),
            latency_objective_s=section.number("on-time-s"),
            timeout_s=section.number("deadline-s"),
            idempotency_window_s=section.number("window-s", 0.0),
            objective_s_per_hint=section.number("aim-stretch", 0.0),
            priority_weight=section.number("worth", 1.0),
            calls_dependency=calls.flag(str(index), False) and calls_dependency,
            skip_value_ratio=skips.number(str(index), 0.0) * calls_dependency,
        )
        for index, section in enumerate(sections)
    )


def _dependency(extra: Section) -> Dependency | None:
    kind = extra.text("below", "off")
    if kind == "off":
        return None
    capacity = extra.number("calls-out", -1.0, minimum=-1.0)
    return Dependency(
        capacity=capacity if kind == "common" and capacity >= 0 else None,
        span_s=extra.number("share-span-s", 0.0),
        linger_s=extra.number("lingers-s", 0.0),
    )
