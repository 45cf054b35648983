"""A routing policy as plain values, made by the document's reader and sent between members. Pure.

Members exchange it as canonical JSON, so that a serving process never reads YAML. Both texts have size
limits.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

MAX_FLOWS = 200
MAX_FLOWS_WITH_FALLBACK = 90  # each has a digit in a fact of 128 characters
MAX_FALLBACK_LEVELS = 8
MAX_PRIORITY_WEIGHT = 1_000_000
MAX_POLICY_BYTES = 1 << 20  # of the canonical text

ParameterValues = Mapping[str, int]
RequiredFeatures = Mapping[str, ParameterValues]  # by feature, the least value of each parameter


class PolicyError(ValueError):
    """The text is not a valid policy."""


@dataclass(frozen=True)
class FallbackLevel:
    """A fallback level of a flow.

    `features` are needed besides the required ones, `priority_weight` is added to that of the flow, and
    `line` is the line in the document, 0 if unknown.
    """

    features: RequiredFeatures
    priority_weight: int
    line: int = 0


@dataclass(frozen=True)
class Flow:
    """A set of requests that the policy treats alike.

    Empty tuples match any request. `cores` is the flow's load in the whole fleet, in reference cores,
    `priority_weight` its weight with the required features only, and `fallbacks` are its fallback levels,
    best first.
    """

    name: str
    request_classes: tuple[str, ...] = ()
    tenants: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    cores: float = 0.0
    priority_weight: int = 1
    require: RequiredFeatures = field(default_factory=dict)
    fallbacks: tuple[FallbackLevel, ...] = ()
    forbid: tuple[str, ...] = ()
    lines: Mapping[str, int] = field(default_factory=dict)  # in the document: `require.NAME`, `forbid.NAME`

    @property
    def last_fallback_level(self) -> int:
        """The last fallback level, which needs only the required features."""
        return len(self.fallbacks)

    def required_features(self, fallback_level: int) -> RequiredFeatures:
        """Return the features that a class must run to serve the flow on this fallback level."""
        if fallback_level >= self.last_fallback_level:
            return self.require
        features: dict[str, ParameterValues] = dict(self.require)
        for name, values in self.fallbacks[fallback_level].features.items():
            merged = dict(features.get(name, {}))
            for parameter, value in values.items():
                merged[parameter] = max(value, merged.get(parameter, value))
            features[name] = merged
        return features

    def priority_weight_at(self, fallback_level: int) -> int:
        """Return the priority weight of the flow on a fallback level."""
        return self.priority_weight + (
            self.fallbacks[fallback_level].priority_weight if fallback_level < self.last_fallback_level else 0
        )

    def matches(self, request_class: str, tenant: str, zone: str) -> bool:
        """Return whether a request belongs to this flow."""
        return all(
            not accepted or value in accepted
            for value, accepted in (
                (request_class, self.request_classes),
                (tenant, self.tenants),
                (zone, self.zones),
            )
        )


@dataclass(frozen=True)
class Policy:
    """The content of a policy document.

    `number` is the document's own version, which only increases. A request belongs to the first flow that
    matches.
    """

    number: int
    flows: tuple[Flow, ...]
    file: str = ""

    @cached_property
    def text(self) -> str:
        """Canonical JSON; equal policies have equal texts."""
        fields = {
            "number": self.number,
            "file": self.file,
            "flows": [_encode_flow(flow) for flow in self.flows],
        }
        return json.dumps(fields, sort_keys=True, separators=(",", ":"))

    @cached_property
    def digest(self) -> str:
        """A short digest of the canonical text."""
        return hashlib.blake2b(self.text.encode(), digest_size=6).hexdigest()

    def flow(self, request_class: str, tenant: str, zone: str) -> Flow | None:
        """Return the flow of a request; None if no flow matches it."""
        return next((flow for flow in self.flows if flow.matches(request_class, tenant, zone)), None)

    def flow_named(self, name: str) -> Flow:
        """Return the flow with a name; raises `StopIteration` if there is none."""
        return next(flow for flow in self.flows if flow.name == name)


def _encode_flow(flow: Flow) -> dict[str, object]:
    return {
        "name": flow.name,
        "tracks": flow.request_classes,
        "customers": flow.tenants,
        "zones": flow.zones,
        "cores": flow.cores,
        "worth": flow.priority_weight,
        "require": flow.require,
        "ladder": [
            {"wants": level.features, "worth": level.priority_weight, "line": level.line}
            for level in flow.fallbacks
        ],
        "forbid": flow.forbid,
        "lines": flow.lines,
    }


def load(text: str) -> Policy:
    """Return the policy in a canonical text; raises `PolicyError`."""
    if len(text) > MAX_POLICY_BYTES:
        raise PolicyError(f"over {MAX_POLICY_BYTES} bytes")
    try:
        decoded = json.loads(text)
        flows = tuple(_decode_flow(flow) for flow in decoded["flows"])
        policy = Policy(int(decoded["number"]), flows, str(decoded["file"]))
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise PolicyError(f"{type(error).__name__}: {error!s:.120}") from None
    if len(flows) > MAX_FLOWS or sum(bool(flow.fallbacks) for flow in flows) > MAX_FLOWS_WITH_FALLBACK:
        raise PolicyError("too many flows")
    if any(len(flow.fallbacks) > MAX_FALLBACK_LEVELS for flow in flows) or policy.text != text:
        raise PolicyError("text is not canonical")
    return policy


def _decode_flow(fields: Mapping[str, Any]) -> Flow:
    return Flow(
        name=str(fields["name"]),
        request_classes=_decode_names(fields["tracks"]),
        tenants=_decode_names(fields["customers"]),
        zones=_decode_names(fields["zones"]),
        cores=float(fields["cores"]),
        priority_weight=int(fields["worth"]),
        require=_decode_features(fields["require"]),
        fallbacks=tuple(
            FallbackLevel(_decode_features(level["wants"]), int(level["worth"]), int(level["line"]))
            for level in fields["ladder"]
        ),
        forbid=_decode_names(fields["forbid"]),
        lines={str(key): int(line) for key, line in fields["lines"].items()},
    )


def _decode_names(names: list[Any]) -> tuple[str, ...]:
    return tuple(str(name) for name in names)


def _decode_features(features: Mapping[str, Any]) -> RequiredFeatures:
    return {
        str(name): {str(key): int(value) for key, value in values.items()}
        for name, values in features.items()
    }
