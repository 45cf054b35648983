"""Runs a module of this program under a clock that the trial sets: `time.time` plus what stands in a file.

    python -m sablewheel.experiments.shifted_clock FILE MODULE [ARGUMENTS]

The file holds one double. Whoever changes it makes the clocks of all who read it jump.
"""

from __future__ import annotations

import mmap
import runpy
import struct
import sys
import time

DOUBLE = struct.Struct("<d")


def shift(path: str) -> None:
    """From now on `time.time` goes by the file."""
    file = open(path, "r+b")  # noqa: SIM115  kept for as long as the process lives
    held = mmap.mmap(file.fileno(), DOUBLE.size, access=mmap.ACCESS_READ)
    real = time.time
    time.time = lambda: real() + float(DOUBLE.unpack_from(held)[0])


if __name__ == "__main__":
    shift(sys.argv[1])
    module, sys.argv = sys.argv[2], sys.argv[2:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
