"""Run a module with a clock that the trial sets: `time.time` plus an offset read from a file.

    python -m sablewheel.experiments.shifted_clock FILE MODULE [ARGUMENTS]

The file holds one double, the offset in seconds. A change shifts the clocks of all processes that map it.
"""

from __future__ import annotations

import mmap
import runpy
import struct
import sys
import time

DOUBLE = struct.Struct("<d")


def shift(path: str) -> None:
    """Replace `time.time` by the real time plus the offset in the file."""
    file = open(path, "r+b")  # noqa: SIM115  open until the process exits
    offset = mmap.mmap(file.fileno(), DOUBLE.size, access=mmap.ACCESS_READ)
    real_time = time.time
    time.time = lambda: real_time() + float(DOUBLE.unpack_from(offset)[0])


if __name__ == "__main__":
    shift(sys.argv[1])
    module, sys.argv = sys.argv[2], sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
