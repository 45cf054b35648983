"""What a policy comes to for each hardware class: the translation, its canonical text, its reader. Pure."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property

from . import host_capabilities
from .host_capabilities import HostCapabilities, HostCapabilitiesError
from .policy import Values

MAX_TRANSLATION_BYTES = 2 << 20  # bytes of its text
MAX_CLASSES = 256
NOT_PLACED = -1


class TranslationError(ValueError):
    """A text that is no translation."""


@dataclass(frozen=True)
class ClassPlan:
    """What one class of hosts runs.

    Features with their parameters, and for each of the policy's flows, by place, the fallback level on
    which it is served there, or NOT_PLACED.
    """

    features: Mapping[str, Values]
    fallback_levels: tuple[int, ...]


@dataclass(frozen=True)
class Translation:
    """For the policy with this number and digest; `revision` grows when classes came that it did not know."""

    number: int
    revision: int
    policy: str
    classes: Mapping[HostCapabilities, ClassPlan]

    @cached_property
    def text(self) -> str:
        """Canonical JSON: equal translations have equal texts."""
        classes = [
            {
                "class": one.said,
                "features": {name: dict(values) for name, values in plan.features.items()},
                "rungs": list(plan.fallback_levels),
            }
            for one, plan in sorted(self.classes.items())
        ]
        told = {"number": self.number, "revision": self.revision, "policy": self.policy, "classes": classes}
        return json.dumps(told, sort_keys=True, separators=(",", ":"))

    @cached_property
    def digest(self) -> str:
        """A short digest of the canonical text."""
        return hashlib.blake2b(self.text.encode(), digest_size=6).hexdigest()

    @property
    def name(self) -> str:
        """NUMBER.REVISION:DIGEST, as facts name it."""
        return f"{self.number}.{self.revision}:{self.digest}"

    @property
    def order(self) -> tuple[int, int, str]:
        """Of two translations the greater one holds."""
        return (self.number, self.revision, self.digest)


def read(text: str) -> Translation:
    """Raises `TranslationError`; what it says is not checked against any policy."""
    if len(text) > MAX_TRANSLATION_BYTES:
        raise TranslationError(f"over {MAX_TRANSLATION_BYTES} bytes")
    try:
        told = json.loads(text)
        if len(told["classes"]) > MAX_CLASSES:
            raise TranslationError(f"over {MAX_CLASSES} classes")
        classes: dict[HostCapabilities, ClassPlan] = {}
        for one in told["classes"]:
            features = {
                str(name): {str(key): _whole(value) for key, value in values.items()}
                for name, values in one["features"].items()
            }
            plan = ClassPlan(features, tuple(_whole(fallback_level) for fallback_level in one["rungs"]))
            classes[host_capabilities.read(one["class"])] = plan
        return Translation(_whole(told["number"]), _whole(told["revision"]), str(told["policy"]), classes)
    except (KeyError, TypeError, AttributeError, ValueError, HostCapabilitiesError) as trouble:
        raise TranslationError(f"{type(trouble).__name__}: {trouble!s:.120}") from None


def _whole(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not -1 <= value < 1 << 50:
        raise TranslationError(f"a whole number is wanted, got {value!r:.40}")
    return value
