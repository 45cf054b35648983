"""Policy bundles, which members exchange, and the facts that name them. Pure."""

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

MAX_BUNDLE_BYTES = 2 * (
    MAX_POLICY_BYTES + MAX_TRANSLATION_BYTES
)  # twice the texts, as quoting may lengthen them
DIGITS = "0123456789"  # fallback levels in a fact
NAME = re.compile(r"(\d{1,15})\.(\d{1,9}):([0-9a-f]{12})")

Order = tuple[int, int, str]
NONE: Order = (0, 0, "")  # the order of a text that is not a bundle name


class BundleError(ValueError):
    """The text is not a valid bundle."""


@dataclass(frozen=True)
class PolicyBundle:
    """A policy with its translation for each class of hosts."""

    policy: Policy
    translation: Translation

    @property
    def name(self) -> str:
        """The name in facts and messages, as NUMBER.REVISION:DIGEST."""
        return self.translation.name

    @cached_property
    def text(self) -> str:
        """The text that members exchange."""
        return json.dumps({"policy": self.policy.text, "translation": self.translation.text})

    def fallback_levels(self, fact_digits: str) -> tuple[int, ...]:
        """Return each flow's fallback level in the whole fleet from the digits in a fact."""
        digits = iter(fact_digits)
        return tuple(
            min(DIGITS.find(next(digits, "0")), flow.last_fallback_level)
            if flow.fallbacks
            else flow.last_fallback_level
            for flow in self.policy.flows
        )

    def digits(self, fallback_levels: Sequence[int]) -> str:
        """Return the digits of fallback levels for a fact.

        They have a digit for each flow with fallback levels, without trailing zeros.
        """
        all_digits = "".join(
            DIGITS[fallback_level]
            for flow, fallback_level in zip(self.policy.flows, fallback_levels, strict=True)
            if flow.fallbacks
        )
        return all_digits.rstrip("0")


def load(text: str) -> PolicyBundle:
    """Return the bundle in a text; raises `BundleError`.

    The translation is not verified; see `verify`.
    """
    if len(text) > MAX_BUNDLE_BYTES:
        raise BundleError(f"over {MAX_BUNDLE_BYTES} bytes")
    try:
        decoded = json.loads(text)
        bundle = PolicyBundle(policies.load(decoded["policy"]), translations.read(decoded["translation"]))
    except (KeyError, TypeError, ValueError, PolicyError, TranslationError) as error:
        raise BundleError(str(error)[:200]) from None
    if bundle.translation.text != decoded["translation"]:
        raise BundleError("translation is not canonical")
    return bundle


def order(name: str) -> Order:
    """Return the sort key of a bundle name; NONE if the text is not a bundle name.

    The greater of two names takes precedence.
    """
    match = NAME.fullmatch(name)
    return (int(match[1]), int(match[2]), match[3]) if match else NONE


def active(fact: str) -> tuple[str, str]:
    """Return the name and the digits of a fact `NAME:DIGITS`; both are empty if it is not such a fact."""
    name, _, digits = fact.rpartition(":")
    return (name, digits) if order(name) != NONE and all(digit in DIGITS for digit in digits) else ("", "")
