"""The translation of a policy into a plan for each class of hosts, and its canonical text. Pure."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from . import host_capabilities
from .host_capabilities import HostCapabilities, HostCapabilitiesError
from .policy import ParameterValues

MAX_TRANSLATION_BYTES = 2 << 20  # of the canonical text
MAX_CLASSES = 256
NOT_PLACED = -1  # instead of a fallback level: the class does not serve the flow


class TranslationError(ValueError):
    """The text is not a valid translation."""


@dataclass(frozen=True)
class ClassPlan:
    """The plan of one class of hosts.

    `features` are those that it runs, with their parameters. `fallback_levels` has for each flow, in the
    order of the policy, the fallback level on which the class serves it, or NOT_PLACED.
    """

    features: Mapping[str, ParameterValues]
    fallback_levels: tuple[int, ...]


@dataclass(frozen=True)
class Translation:
    """The plans of all classes for the policy with this number and digest.

    `revision` increases when plans for new classes are added.
    """

    number: int
    revision: int
    policy: str
    classes: Mapping[HostCapabilities, ClassPlan]

    @cached_property
    def text(self) -> str:
        """Canonical JSON; equal translations have equal texts."""
        classes = [
            {
                "class": capabilities.text,
                "features": {name: dict(values) for name, values in plan.features.items()},
                "rungs": list(plan.fallback_levels),
            }
            for capabilities, plan in sorted(self.classes.items())
        ]
        fields = {"number": self.number, "revision": self.revision, "policy": self.policy, "classes": classes}
        return json.dumps(fields, sort_keys=True, separators=(",", ":"))

    @cached_property
    def digest(self) -> str:
        """A short digest of the canonical text."""
        return hashlib.blake2b(self.text.encode(), digest_size=6).hexdigest()

    @property
    def name(self) -> str:
        """The name in facts, as NUMBER.REVISION:DIGEST."""
        return f"{self.number}.{self.revision}:{self.digest}"

    @property
    def order(self) -> tuple[int, int, str]:
        """The sort key; the greater of two translations takes precedence."""
        return (self.number, self.revision, self.digest)


def read(text: str) -> Translation:
    """Return the translation in a canonical text; raises `TranslationError`.

    The plans are not verified against a policy.
    """
    if len(text) > MAX_TRANSLATION_BYTES:
        raise TranslationError(f"over {MAX_TRANSLATION_BYTES} bytes")
    try:
        decoded = json.loads(text)
        if len(decoded["classes"]) > MAX_CLASSES:
            raise TranslationError(f"over {MAX_CLASSES} classes")
        classes: dict[HostCapabilities, ClassPlan] = {}
        for fields in decoded["classes"]:
            features = {
                str(name): {str(key): _decode_integer(value) for key, value in values.items()}
                for name, values in fields["features"].items()
            }
            plan = ClassPlan(
                features, tuple(_decode_integer(fallback_level) for fallback_level in fields["rungs"])
            )
            classes[host_capabilities.read(fields["class"])] = plan
        return Translation(
            _decode_integer(decoded["number"]),
            _decode_integer(decoded["revision"]),
            str(decoded["policy"]),
            classes,
        )
    except (KeyError, TypeError, AttributeError, ValueError, HostCapabilitiesError) as error:
        raise TranslationError(f"{type(error).__name__}: {error!s:.120}") from None


def _decode_integer(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not -1 <= value < 1 << 50:
        raise TranslationError(f"must be an integer, got {value!r:.40}")
    return value
