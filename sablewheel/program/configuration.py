"""The one place where the configuration and the settings are read, checked and given defaults.

`placement_settings` reads what an instance is told at its start; `machine` makes the controller's
`ServerSettings` of the settings, for the program and for the simulator's adapter alike. Every message names
the key at fault.
"""

from __future__ import annotations

import json
import os
import socket
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import inf
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

NATURES = {"safe": Idempotency.IDEMPOTENT, "keyed": Idempotency.KEYED, "unsafe": Idempotency.NON_IDEMPOTENT}
HALTINGS = {
    "off": Cancellation.UNSUPPORTED,
    "drop": Cancellation.DISCARDS_WORK,
    "pause": Cancellation.SUSPENDS,
}
VALUES = {"request": False, "work": True}
SPEECHES = {
    "off": AdvertisementKind.NONE,
    "tokens": AdvertisementKind.CREDIT,
    "min_rank": AdvertisementKind.LOAD_LEVEL,
    "bias": AdvertisementKind.ACCEPT_PROBABILITY,
}
LEVELS = {"debug": "DEBUG", "info": "INFO", "warning": "WARNING", "error": "ERROR"}
RESERVED = 12  # descriptors that routers' connections don't get: standard ones, links, some in hand
RESERVED_MORE = 8  # and up to so many where there are more: what else whoever started the process gave it
TAKEN_ANEW = ("vm", "naming", "settings")  # the keys that a running server takes from a new configuration

Choice = TypeVar("Choice")


class FaultyKeyError(ValueError):
    """A key that is missing, of the wrong kind or out of range; the message starts with its name."""


class UnreadableFileError(FaultyKeyError):
    """The file can't be read now; its `__cause__` is the system's error."""


@dataclass(frozen=True)
class PlacementSettings:
    """Where this server stands and what it has, as told at its start."""

    name: str
    listen: tuple[str, int]
    interpreter: tuple[str, int]
    naming: tuple[str, int]
    seed: int
    stop_after: float
    memory_bytes: int
    connections_most: int
    server_settings: ServerSettings
    request_classes: dict[bytes, RequestClass]
    tenants: dict[bytes, Tenant]
    gauge_places: tuple[int | None, int | None, int | None]  # cpu_busy, sockets, runnable
    level: str
    told: Mapping[str, Any]  # the configuration as it was read


class Section:
    """One object of the configuration; reads its keys and names them when something is wrong."""

    def __init__(self, values: object, path: str = "") -> None:
        if not isinstance(values, Mapping):
            raise FaultyKeyError(f"{path or 'configuration'}: an object is wanted")
        self._values, self._path = values, path

    def name(self, key: str) -> str:
        return f"{self._path}.{key}" if self._path else key

    def raw(self, key: str, default: Any = ...) -> Any:
        value = self._values.get(key)
        if value is None:
            if default is ...:
                raise FaultyKeyError(f"{self.name(key)}: missing")
            return default
        return value

    def section(self, key: str, default: Any = ...) -> Section:
        return Section(self.raw(key, default), self.name(key))

    def sections(self, key: str, default: Any = ...) -> list[Section]:
        values = self.items(key, default)
        return [Section(one, f"{self.name(key)}[{place}]") for place, one in enumerate(values)]

    def items(self, key: str, default: Any = ...) -> list[Any]:
        values = self.raw(key, default)
        if not isinstance(values, list):
            raise FaultyKeyError(f"{self.name(key)}: a list is wanted")
        return values

    def places(self, key: str) -> Section:
        """A list whose items are read one by one, by place."""
        items = enumerate(self.items(key, []))
        return Section({str(place): item for place, item in items}, self.name(key))

    def number(self, key: str, default: Any = ..., least: float = 0.0, most: float = inf) -> float:
        value = self.raw(key, default)
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise FaultyKeyError(f"{self.name(key)}: a number is wanted, got {value!r:.40}")
        if not least <= value <= most or value - value != 0:
            raise FaultyKeyError(f"{self.name(key)}: {value} is not between {least:g} and {most:g}")
        return float(value)

    def whole(self, key: str, default: Any = ..., least: int = 0, most: int = 1 << 53) -> int:
        value = self.number(key, default, least, most)
        if value != int(value):
            raise FaultyKeyError(f"{self.name(key)}: a whole number is wanted, got {value}")
        return int(value)

    def flag(self, key: str, default: Any = ...) -> bool:
        value = self.raw(key, default)
        if not isinstance(value, bool):
            raise FaultyKeyError(f"{self.name(key)}: true or false is wanted, got {value!r:.40}")
        return value

    def text(self, key: str, default: Any = ...) -> str:
        value = self.raw(key, default)
        if not isinstance(value, str) or not value:
            raise FaultyKeyError(f"{self.name(key)}: a text is wanted, got {value!r:.40}")
        return value

    def choice(self, key: str, choices: Mapping[str, Choice], default: Any = ...) -> Choice:
        value = self.text(key, default)
        if value not in choices:
            raise FaultyKeyError(f"{self.name(key)}: {value!r:.40} is none of {', '.join(choices)}")
        return choices[value]

    def address(self, key: str) -> tuple[str, int]:
        value = self.text(key)
        host, colon, port = value.rpartition(":")
        try:
            socket.inet_pton(socket.AF_INET, host)  # no names: there may be nobody to resolve them
        except (OSError, ValueError):
            colon = ""
        if not (colon and port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536):
            raise FaultyKeyError(
                f"{self.name(key)}: an IPv4 address and a port are wanted, got {value!r:.40}"
            )
        return host, int(port)

    def names(self, key: str) -> list[bytes]:
        """The names of a list's items, as they stand on the wire; each must be its own."""
        names = [one.text("name").encode("utf-8", "replace") for one in self.sections(key, [])]
        if len(set(names)) < len(names):
            raise FaultyKeyError(f"{self.name(key)}: a name is there twice")
        return names


def placement_settings(environment: Mapping[str, str] = os.environ) -> PlacementSettings:
    """What this instance is told: the file that RELAY_CONFIG names, and SABLEWHEEL_LOG for the log level."""
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise FaultyKeyError("RELAY_CONFIG: missing")
    try:
        with open(path, "rb") as file:
            told = json.load(file)
    except OSError as trouble:
        raise UnreadableFileError(f"RELAY_CONFIG: {path}: {trouble.strerror}") from trouble
    except ValueError as trouble:
        raise FaultyKeyError(f"RELAY_CONFIG: {path} is not JSON: {trouble}") from None
    top = Section(told)
    limits, settings = top.section("limits", {}), top.section("settings")
    sockets = limits.whole("sockets", 1024, least=RESERVED + 4)
    digits = top.text("seed")
    try:
        seed = int(digits, 16)
    except ValueError:
        raise FaultyKeyError("seed: hexadecimal digits are wanted") from None
    built = server_settings(settings, calls_below=False)
    gauges = settings.section("extra").items("gauges", [])
    names, owners = settings.names("classes"), settings.names("orgs")
    return PlacementSettings(
        name=top.text("name"),
        listen=top.address("listen"),
        interpreter=top.address("vm"),
        naming=top.address("naming"),
        seed=seed,
        stop_after=top.number("stop_ms", 3000, least=1) / 1000,
        memory_bytes=int(limits.number("memory_mb", 192, least=8) * 1e6),
        connections_most=sockets - RESERVED - min(max(sockets - 2 * RESERVED - 4, 0) // 4, RESERVED_MORE),
        server_settings=built,
        request_classes=dict(zip(names, built.request_classes, strict=True)),
        tenants=dict(zip(owners, built.tenants, strict=True)),
        gauge_places=(
            gauges.index("cpu_busy") if "cpu_busy" in gauges else None,
            gauges.index("sockets") if "sockets" in gauges else None,
            gauges.index("runnable") if "runnable" in gauges else None,
        ),
        level=Section(environment).choice("SABLEWHEEL_LOG", LEVELS, "info"),
        told=told,
    )


def differing(held: Any, told: Any, path: str = "") -> Iterator[str]:
    """The names of the keys whose values differ between two configurations."""
    if isinstance(held, Mapping) and isinstance(told, Mapping):
        for key in sorted({*held, *told}):
            yield from differing(held.get(key), told.get(key), f"{path}.{key}" if path else key)
    elif held != told:
        yield path


def server_settings(settings: Section, calls_below: bool = True) -> ServerSettings:
    """The controller's view of the settings; keys not known here are skipped.

    `calls_below`: whether the protocol has words for a call of the service below and for going on without.
    """
    extra, safety = settings.section("extra"), settings.section("safety")
    limits = settings.section("limits", {})
    request_classes = settings.sections("classes")
    if not request_classes:
        raise FaultyKeyError(f"{settings.name('classes')}: at least one is wanted")
    calls, skips = extra.places("class-calls"), extra.places("class-skip-worth")
    habits = settings.section("client-habits", {})
    return ServerSettings(
        request_classes=tuple(
            RequestClass(
                idempotency=one.choice("repeat", NATURES),
                latency_objective_s=one.number("on-time-s"),
                timeout_s=one.number("deadline-s"),
                idempotency_window_s=one.number("window-s", 0.0),
                objective_s_per_hint=one.number("aim-stretch", 0.0),
                priority_weight=one.number("worth", 1.0),
                calls_dependency=calls.flag(str(place), False) and calls_below,
                skip_value_ratio=skips.number(str(place), 0.0) * calls_below,
            )
            for place, one in enumerate(request_classes)
        ),
        cores=extra.whole("cores", least=1),
        memory_kb=extra.number("memory-kb"),
        running_memory_factor=extra.number("run-factor", 1.0),
        tenants=tuple(
            Tenant(quota_per_s=one.number("quota-rps", 0.0)) for one in settings.sections("orgs", [])
        ),
        dependency=_ledger(extra) if calls_below else None,
        servers=settings.whole("servers", 1) or 1,
        clients=extra.whole("callers", 1) or 1,
        idempotency_key_kb=extra.number("key-kb", 0.0),
        cancellation=extra.choice("halt", HALTINGS, "off"),
        advertisement=extra.choice("say", SPEECHES, "off"),
        advertisement_ttl_s=extra.number("said-for-s", 0.0),
        coalesce_reads_for_s=extra.number("share-for-s", 0.0),
        deadline_propagated=extra.flag("passes-deadline", False),
        marks_retries=habits.flag("marks-retry", False),
        over_quota_weight=settings.number("over-share-worth", 1.0),
        weight_by_work=settings.choice("value-by", VALUES, "request"),
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


def _ledger(extra: Section) -> Dependency | None:
    below = extra.text("below", "off")
    if below == "off":
        return None
    in_hand = extra.number("calls-out", -1.0, least=-1.0)
    return Dependency(
        capacity=in_hand if below == "common" and in_hand >= 0 else None,
        span_s=extra.number("share-span-s", 0.0),
        linger_s=extra.number("lingers-s", 0.0),
    )
