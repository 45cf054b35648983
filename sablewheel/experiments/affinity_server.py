"""A server that takes its policy version from a file, optionally with a faulty variant of affinity.

python -m sablewheel.experiments.affinity_server FILE [VARIANT]

FILE has the policy version to activate; each server reports it to the fleet as if it were agreed.
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

POLL_INTERVAL_S = 0.1
VERSION_FILE, VARIANT = Path(sys.argv[1]), "".join(sys.argv[2:3])


class VersionFromFileRouter(session_router.SessionRouter):
    """Polls the version file, and reports its version to membership as a fact."""

    def __init__(self, scheduler: Any, plan: Any, *args: Any, **kwargs: Any) -> None:
        settings = dataclasses.replace(plan.settings, faulty_variant=VARIANT)
        super().__init__(scheduler, dataclasses.replace(plan, settings=settings), *args, **kwargs)
        announce(VARIANT or "version-from-file")
        if VARIANT == "two-owners":  # disable fencing by the binding's number as well
            self._replication.group_of = lambda exchange: (
                exchange.session.encode() or exchange.idempotency_key or b"",
                0,
            )
        self._version = ""
        self._poll_version()

    def _poll_version(self) -> None:
        version = ""
        with contextlib.suppress(OSError):
            version = VERSION_FILE.read_text().strip()
        if version and version != self._version and self._fleet.view is not None:
            self._version = version
            self._fleet.report_fact(Fact(session_router.ACTIVE_VERSION_FACT, f"{version}:"))
        if not self._closed:
            self._scheduler.after(POLL_INTERVAL_S, self._poll_version)


if __name__ == "__main__":
    # The server imports the class from its module when the feature is enabled.
    replace_part(session_router, "SessionRouter", VersionFromFileRouter)
    sys.argv = sys.argv[:1]
    runpy.run_module("sablewheel", run_name="__main__")
