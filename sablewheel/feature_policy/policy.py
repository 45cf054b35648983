"""A routing policy as plain values: what the document's reader makes, and what goes between members. Pure.

Members hold it as canonical JSON: a server that serves never reads YAML, and both texts have bounds.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

MAX_FLOWS = 200
MAX_FLOWS_WITH_FALLBACK = 90  # flows with a fallbacks: each has a digit in a fact of 128 characters
MAX_FALLBACK_LEVELS = 8
MAX_PRIORITY_WEIGHT = 1_000_000
MAX_POLICY_BYTES = 1 << 20  # bytes of its canonical text

Values = Mapping[str, int]
Wants = Mapping[str, Values]  # feature -> its parameters, each at least so much


class PolicyError(ValueError):
    """A text that is no policy."""


@dataclass(frozen=True)
class FallbackLevel:
    """One step of a fallbacks: what it takes, and what a request served with it is worth more."""

    wants: Wants
    worth: int
    line: int = 0


@dataclass(frozen=True)
class Flow:
    """Requests that are one traffic class to the policy.

    Empty tuples match any. `cores`: its load over the fleet, in reference cores. `lines`: where its parts
    stand in the document.
    """

    name: str
    request_classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    cores: float = 0.0
    worth: int = 1
    require: Wants = field(default_factory=dict)
    fallbacks: tuple[FallbackLevel, ...] = ()
    forbid: tuple[str, ...] = ()
    lines: Mapping[str, int] = field(default_factory=dict)  # of `require.NAME`, `forbid.NAME`

    @property
    def no_fallback_level(self) -> int:
        """The last fallback level, on which nothing is preferred."""
        return len(self.fallbacks)

    def wants(self, fallback_level: int) -> Wants:
        """Everything that a class must run to serve it on this fallback level."""
        if fallback_level >= self.no_fallback_level:
            return self.require
        both: dict[str, Values] = dict(self.require)
        for name, values in self.fallbacks[fallback_level].wants.items():
            mine = dict(both.get(name, {}))
            for parameter, value in values.items():
                mine[parameter] = max(value, mine.get(parameter, value))
            both[name] = mine
        return both

    def earns(self, fallback_level: int) -> int:
        """Return the priority weight of the flow on a fallback level."""
        return self.worth + (
            self.fallbacks[fallback_level].worth if fallback_level < self.no_fallback_level else 0
        )

    def takes(self, request_class: str, tenant: str, zone: str) -> bool:
        """Whether a request is of this flow."""
        return all(
            not those or one in those
            for one, those in (
                (request_class, self.request_classes),
                (tenant, self.tenants),
                (zone, self.zones),
            )
        )


@dataclass(frozen=True)
class Policy:
    """A document that was read.

    `number` is the document's own version, which only grows; a request is of the first flow that takes it.
    """

    number: int
    flows: tuple[Flow, ...]
    file: str = ""

    @cached_property
    def text(self) -> str:
        """Canonical JSON: equal policies have equal texts."""
        told = {
            "number": self.number,
            "file": self.file,
            "flows": [_announced_to_listeners(one) for one in self.flows],
        }
        return json.dumps(told, sort_keys=True, separators=(",", ":"))

    @cached_property
    def digest(self) -> str:
        """A short digest of the canonical text."""
        return hashlib.blake2b(self.text.encode(), digest_size=6).hexdigest()

    def flow(self, request_class: str, tenant: str, zone: str) -> Flow | None:
        """Return the flow of a request; None if no flow takes it."""
        return next((one for one in self.flows if one.takes(request_class, tenant, zone)), None)

    def named(self, name: str) -> Flow:
        """Return the flow of a name; raises `StopIteration` if there is none."""
        return next(one for one in self.flows if one.name == name)


def _announced_to_listeners(flow: Flow) -> dict[str, object]:
    return {
        "name": flow.name,
        "tracks": flow.request_classes,
        "customers": flow.tenants,
        "zones": flow.zones,
        "cores": flow.cores,
        "worth": flow.worth,
        "require": flow.require,
        "ladder": [{"wants": one.wants, "worth": one.worth, "line": one.line} for one in flow.fallbacks],
        "forbid": flow.forbid,
        "lines": flow.lines,
    }


def load(text: str) -> Policy:
    """The policy of a canonical text; raises `PolicyError`."""
    if len(text) > MAX_POLICY_BYTES:
        raise PolicyError(f"over {MAX_POLICY_BYTES} bytes")
    try:
        told = json.loads(text)
        flows = tuple(_flow(one) for one in told["flows"])
        made = Policy(int(told["number"]), flows, str(told["file"]))
    except (KeyError, TypeError, AttributeError, ValueError) as trouble:
        raise PolicyError(f"{type(trouble).__name__}: {trouble!s:.120}") from None
    if len(flows) > MAX_FLOWS or sum(bool(one.fallbacks) for one in flows) > MAX_FLOWS_WITH_FALLBACK:
        raise PolicyError("too many flows")
    if any(len(one.fallbacks) > MAX_FALLBACK_LEVELS for one in flows) or made.text != text:
        raise PolicyError("not canonical")
    return made


def _flow(told: Mapping[str, Any]) -> Flow:
    return Flow(
        name=str(told["name"]),
        request_classes=_names(told["tracks"]),
        tenants=_names(told["customers"]),
        zones=_names(told["zones"]),
        cores=float(told["cores"]),
        worth=int(told["worth"]),
        require=_wants(told["require"]),
        fallbacks=tuple(
            FallbackLevel(_wants(one["wants"]), int(one["worth"]), int(one["line"])) for one in told["ladder"]
        ),
        forbid=_names(told["forbid"]),
        lines={str(key): int(line) for key, line in told["lines"].items()},
    )


def _names(told: list[Any]) -> tuple[str, ...]:
    return tuple(str(one) for one in told)


def _wants(told: Mapping[str, Any]) -> Wants:
    return {str(name): {str(key): int(n) for key, n in values.items()} for name, values in told.items()}
