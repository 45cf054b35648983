"""A server whose membership is a baseline of the trial, or broken on purpose.

python -m sablewheel.experiments.faulty_member swim | heartbeat | no-suspicion | no-incarnation | one-observer
"""

from __future__ import annotations

import random
import runpy
import sys
from dataclasses import replace

from ..membership import service as shell
from ..membership.node import Node
from ..membership.plan import FAULTY_VARIANTS, Mode, Settings
from ..membership.view import Member
from .replaced_parts import announce, replace_part

BASELINES = {one.value: one for one in Mode if one is not Mode.CONSENSUS}


class Odd(Node):
    """The node with its settings changed by what the command names."""

    def __init__(
        self, me: Member, seeds: tuple[str, ...], settings: Settings, chance: random.Random, now: float
    ) -> None:
        kind = sys.argv[1]
        if kind in BASELINES:
            settings = replace(settings, mode=BASELINES[kind])
        elif kind in FAULTY_VARIANTS:
            settings = replace(settings, injected_fault=kind)
        else:
            raise SystemExit(f"{kind!r} is none of {', '.join([*BASELINES, *FAULTY_VARIANTS])}")
        super().__init__(me, seeds, settings, chance, now)
        announce(kind)


if __name__ == "__main__":
    replace_part(shell, "Node", Odd)
    runpy.run_module("sablewheel", run_name="__main__")
