"""A server with a faulty variant of replication.

python -m sablewheel.experiments.replication_server VARIANT

VARIANT is a key of REPLICA_TYPES in replication_scenario, such as one-copy or async-backup.
"""

from __future__ import annotations

import functools
import runpy
import sys

from ..replication import service
from .replaced_parts import replace_part
from .replication_scenario import REPLICA_TYPES

if __name__ == "__main__":
    faulty_service = functools.partial(service.ReplicationService, replica_type=REPLICA_TYPES[sys.argv[1]])
    replace_part(service, "ReplicationService", faulty_service)  # where the server imports it from
    sys.argv = sys.argv[:1]
    runpy.run_module("sablewheel", run_name="__main__")
