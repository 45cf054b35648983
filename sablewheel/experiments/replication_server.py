"""A server whose replication is broken on purpose.

python -m sablewheel.experiments.replication_server one-copy | async-backup | ... (KINDS of the scenario)
"""

from __future__ import annotations

import functools
import runpy
import sys

from ..replication import service
from .replication_scenario import KINDS

if __name__ == "__main__":
    broken = functools.partial(service.ReplicationService, replica_type=KINDS[sys.argv[1]])
    setattr(service, "ReplicationService", broken)  # noqa: B010  the program imports it from there when it is switched on
    sys.argv = sys.argv[:1]
    runpy.run_module("sablewheel", run_name="__main__")
