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
from ..session_affinity import session_router
from .replaced_parts import announce, replace_part

LOOK_EVERY = 0.1
FILE, VARIANT = Path(sys.argv[1]), "".join(sys.argv[2:3])


class VersionFromFileRouter(session_router.SessionRouter):
    """Looks at the file, and says what is there to membership."""

    def __init__(self, scheduler: Any, plan: Any, *rest: Any, **more: Any) -> None:
        settings = dataclasses.replace(plan.settings, faulty_variant=VARIANT)
        super().__init__(scheduler, dataclasses.replace(plan, settings=settings), *rest, **more)
        announce(VARIANT or "version-from-file")
        if VARIANT == "two-owners":  # the numbers fence nobody either
            self._replication.group_of = lambda exchange: (
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
            self._fleet.report_fact(Fact(session_router.ACTIVE_VERSION_FACT, f"{version}:"))
        if not self._closed:
            self._scheduler.after(LOOK_EVERY, self._look)


if __name__ == "__main__":
    # The program imports the class from its module when the feature is switched on.
    replace_part(session_router, "SessionRouter", VersionFromFileRouter)
    sys.argv = sys.argv[:1]
    runpy.run_module("sablewheel", run_name="__main__")
