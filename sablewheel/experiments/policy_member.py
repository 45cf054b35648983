"""A server of the policy's trial: ours, broken on purpose, or the baseline of a fleet at its weakest class.

    python -m sablewheel.experiments.policy_member KIND
    python -m sablewheel.experiments.policy_member weakest REQUEST_CLASS

KIND is ours, ignore-class, minority-activates, no-dwell or unverified. With `weakest` the server rejects what
the weakest class of hosts can't run.

In all but the baseline the translation of one document, number TAMPERED, comes out wrong: it has every class
run what the richest does.
"""

from __future__ import annotations

import runpy
import sys
from dataclasses import replace
from typing import Any

from ..feature_policy import service as shell
from ..feature_policy.plan import PolicyPlan
from ..feature_policy.policy_bundle import PolicyBundle
from ..feature_policy.rollout import FAULTY_VARIANTS
from ..feature_policy.rollout_events import TranslationFinished
from ..serving.dispatcher import Dispatcher
from ..serving.exchange import Exchange
from .replaced_parts import announce, replace_part

TAMPERED = 9
WRONG_TRANSLATION = "wrong-translation"


class Odd(shell.PolicyService):
    """PolicyService with a part broken, and one translation in the way of a faulty solver."""

    def __init__(self, scheduler: Any, plan: PolicyPlan, *rest: Any) -> None:
        kind = sys.argv[1]
        super().__init__(
            scheduler, replace(plan, faulty_variant=kind if kind in FAULTY_VARIANTS else ""), *rest
        )
        announce(kind)

    def _parse_result(self, data: bytes) -> TranslationFinished:
        told = super()._parse_result(data)
        if told.bundle is None or told.bundle.policy.number != TAMPERED:
            return told
        made = told.bundle.translation
        best = max(made.classes.values(), key=lambda plan: len(plan.features))
        wrong = replace(made, classes=dict.fromkeys(made.classes, best))
        announce(WRONG_TRANSLATION)
        return TranslationFinished(PolicyBundle(told.bundle.policy, wrong))


def weakest(request_class: bytes) -> None:
    arrived = Dispatcher.arrived
    announced = False

    def only_weak(self: Dispatcher, exchange: Exchange) -> None:
        nonlocal announced
        if not announced:
            announced = True
            announce("weakest")
        if exchange.request_class == request_class:
            return exchange.reject(0.0, True)
        arrived(self, exchange)

    setattr(Dispatcher, "arrived", only_weak)  # noqa: B010  for this process alone


if __name__ == "__main__":
    if sys.argv[1] == "weakest":
        weakest(sys.argv[2].encode())
    elif sys.argv[1] == "ours" or sys.argv[1] in FAULTY_VARIANTS:
        replace_part(shell, "PolicyService", Odd)  # the program imports it from there
    else:
        raise SystemExit(f"{sys.argv[1]!r} is none of ours, weakest, {', '.join(FAULTY_VARIANTS)}")
    runpy.run_module("sablewheel", run_name="__main__")
