"""A server whose policy version a trial sets, with affinity as it is or broken on purpose.

python -m sablewheel.experiments.affinity_server FILE [VARIANT]

FILE has the version that the fleet is to agree on; each server holds it to be due, as an operator's word.
"""

from __future__ import annotations

import contextlib
import dataclasses
import runpy
import sys
from pathlib import Path
from typing import Any

from ..membership.view import Fact
from ..session_affinity import session_router as placer

LOOK_EVERY = 0.1
FILE, VARIANT = Path(sys.argv[1]), "".join(sys.argv[2:3])


class Told(placer.Affinity):
    """Looks at the file, and says what is there to membership."""

    def __init__(self, scheduler: Any, plan: Any, *rest: Any, **more: Any) -> None:
        settings = dataclasses.replace(plan.settings, broken=VARIANT)
        super().__init__(scheduler, dataclasses.replace(plan, settings=settings), *rest, **more)
        if VARIANT == "two-owners":  # the numbers fence nobody either
            self._keeper.group_of = lambda exchange: (
                exchange.session.encode() or exchange.idempotency_key or b"",
                0,
            )
        self._version = ""
        self._look()

    def _look(self) -> None:
        version = ""
        with contextlib.suppress(OSError):
            version = FILE.read_text().strip()
        if version and version != self._version and self._fleet.view is not None:
            self._version = version
            self._fleet.report_fact(Fact(placer.ACTIVE, f"{version}:"))
        if not self._closed:
            self._scheduler.after(LOOK_EVERY, self._look)


if __name__ == "__main__":
    setattr(placer, "Affinity", Told)  # noqa: B010  the program imports it from there when it is switched on
    sys.argv = sys.argv[:1]
    runpy.run_module("sablewheel", run_name="__main__")
