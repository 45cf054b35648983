"""A server whose replication is broken on purpose.

python -m sablewheel.experiments.replication_server one-copy | async-backup | ... (KINDS of the scenario)
"""

from __future__ import annotations

import functools
import runpy
import sys

from ..replication import service
from .replaced_parts import replace_part
from .replication_scenario import KINDS

if __name__ == "__main__":
    broken = functools.partial(service.ReplicationService, replica_type=KINDS[sys.argv[1]])
    replace_part(service, "ReplicationService", broken)  # the program imports it from there
    sys.argv = sys.argv[:1]
    runpy.run_module("sablewheel", run_name="__main__")
