"""A policy with its translation, as it goes between members; its name in facts, and what facts say. Pure."""

from __future__ import annotations

import json
import re
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property

from . import policy as policies
from . import translation as translations
from .policy import MAX_POLICY_BYTES, Policy, PolicyError
from .translation import MAX_TRANSLATION_BYTES, Translation, TranslationError

MAX_BUNDLE_BYTES = 2 * (MAX_POLICY_BYTES + MAX_TRANSLATION_BYTES)  # bytes: quoted text within text
DIGITS = "0123456789"
NAME = re.compile(r"(\d{1,15})\.(\d{1,9}):([0-9a-f]{12})")

Order = tuple[int, int, str]
NONE: Order = (0, 0, "")


class BundleError(ValueError):
    """A text that is no bundle."""


@dataclass(frozen=True)
class PolicyBundle:
    """A policy with its translation for each class of hosts."""

    policy: Policy
    translation: Translation

    @property
    def name(self) -> str:
        """The name under which facts and messages know it."""
        return self.translation.name

    @cached_property
    def text(self) -> str:
        """The text that goes between members."""
        return json.dumps({"policy": self.policy.text, "translation": self.translation.text})

    def fallback_levels(self, told: str) -> tuple[int, ...]:
        """Each flow's fallback level in the whole fleet, of the digits in a fact."""
        digits = iter(told)
        return tuple(
            min(DIGITS.find(next(digits, "0")), flow.no_fallback_level)
            if flow.fallbacks
            else flow.no_fallback_level
            for flow in self.policy.flows
        )

    def digits(self, fallback_levels: Sequence[int]) -> str:
        """The same back, for a fact: a digit for each flow with a fallbacks, without the zeros at the end."""
        told = "".join(
            DIGITS[fallback_level]
            for flow, fallback_level in zip(self.policy.flows, fallback_levels, strict=True)
            if flow.fallbacks
        )
        return told.rstrip("0")


def load(text: str) -> PolicyBundle:
    """Raises `BundleError`; whether the translation is right is `verify`'s matter."""
    if len(text) > MAX_BUNDLE_BYTES:
        raise BundleError(f"over {MAX_BUNDLE_BYTES} bytes")
    try:
        told = json.loads(text)
        made = PolicyBundle(policies.load(told["policy"]), translations.read(told["translation"]))
    except (KeyError, TypeError, ValueError, PolicyError, TranslationError) as trouble:
        raise BundleError(str(trouble)[:200]) from None
    if made.translation.text != told["translation"]:
        raise BundleError("not canonical")
    return made


def order(name: str) -> Order:
    """Of two names the greater one holds; NONE for what is no name."""
    found = NAME.fullmatch(name)
    return (int(found[1]), int(found[2]), found[3]) if found else NONE


def active(fact: str) -> tuple[str, str]:
    """The name and the digits of a fact `NAME:DIGITS`; both empty if there is none."""
    name, _, digits = fact.rpartition(":")
    return (name, digits) if order(name) != NONE and all(one in DIGITS for one in digits) else ("", "")
