"""A server of the policy experiment: unchanged, a faulty variant, or the weakest-class baseline.

    python -m sablewheel.experiments.policy_member KIND
    python -m sablewheel.experiments.policy_member weakest REQUEST_CLASS

KIND is ours, ignore-class, minority-activates, no-dwell or unverified. With `weakest` the server rejects the
request class that the weakest class of hosts can't run.

Except in the baseline, the translation of the policy with the number FAULTY_POLICY_NUMBER is wrong: every
class of hosts gets the plan of the richest.
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

FAULTY_POLICY_NUMBER = 9
WRONG_TRANSLATION = "wrong-translation"


class FaultyPolicyService(shell.PolicyService):
    """PolicyService with a faulty variant, and with one wrong translation as from a faulty solver."""

    def __init__(self, scheduler: Any, plan: PolicyPlan, *args: Any) -> None:
        kind = sys.argv[1]
        super().__init__(
            scheduler, replace(plan, faulty_variant=kind if kind in FAULTY_VARIANTS else ""), *args
        )
        announce(kind)

    def _parse_result(self, data: bytes) -> TranslationFinished:
        finished = super()._parse_result(data)
        if finished.bundle is None or finished.bundle.policy.number != FAULTY_POLICY_NUMBER:
            return finished
        translation = finished.bundle.translation
        richest_plan = max(translation.classes.values(), key=lambda plan: len(plan.features))
        wrong_translation = replace(translation, classes=dict.fromkeys(translation.classes, richest_plan))
        announce(WRONG_TRANSLATION)
        return TranslationFinished(PolicyBundle(finished.bundle.policy, wrong_translation))


def install_weakest_baseline(request_class: bytes) -> None:
    handle_arrival = Dispatcher.arrived
    announced = False

    def reject_request_class(self: Dispatcher, exchange: Exchange) -> None:
        nonlocal announced
        if not announced:
            announced = True
            announce("weakest")
        if exchange.request_class == request_class:
            return exchange.reject(0.0, True)
        handle_arrival(self, exchange)

    setattr(Dispatcher, "arrived", reject_request_class)  # noqa: B010  only in this process


if __name__ == "__main__":
    if sys.argv[1] == "weakest":
        install_weakest_baseline(sys.argv[2].encode())
    elif sys.argv[1] == "ours" or sys.argv[1] in FAULTY_VARIANTS:
        replace_part(shell, "PolicyService", FaultyPolicyService)  # where the server imports it from
    else:
        raise SystemExit(f"{sys.argv[1]!r} is not one of ours, weakest, {', '.join(FAULTY_VARIANTS)}")
    runpy.run_module("sablewheel", run_name="__main__")
