"""A server whose membership is a baseline of the trial or a faulty variant.

python -m sablewheel.experiments.faulty_member swim | heartbeat | no-suspicion | no-incarnation | one-observer
"""

from __future__ import annotations

import random
import runpy
import sys
from dataclasses import replace

from ..membership import service as membership_service
from ..membership.node import Node
from ..membership.plan import FAULTY_VARIANTS, Mode, Settings
from ..membership.view import Member
from .replaced_parts import announce, replace_part

BASELINES = {mode.value: mode for mode in Mode if mode is not Mode.CONSENSUS}


class VariantNode(Node):
    """A node with the settings of the variant that the command line names."""

    def __init__(
        self, me: Member, seeds: tuple[str, ...], settings: Settings, chance: random.Random, now: float
    ) -> None:
        variant = sys.argv[1]
        if variant in BASELINES:
            settings = replace(settings, mode=BASELINES[variant])
        elif variant in FAULTY_VARIANTS:
            settings = replace(settings, injected_fault=variant)
        else:
            raise SystemExit(
                f"unknown variant {variant!r}: expected one of {', '.join([*BASELINES, *FAULTY_VARIANTS])}"
            )
        super().__init__(me, seeds, settings, chance, now)
        announce(variant)


if __name__ == "__main__":
    replace_part(membership_service, "Node", VariantNode)
    runpy.run_module("sablewheel", run_name="__main__")
