"""How long idempotency windows still last after a restart, by clocks that may have been set meanwhile.

The host's time since its boot goes on through a restart of the server and cannot be set. Within one boot it
tells how much time has passed, whatever the wall clock says. After a reboot it tells nothing; then no time is
taken to have passed, so a window may be open for too long, never too short.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from ..transport.clock import Clock

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True)
class ClockReading:
    """Both clocks at one moment, in seconds."""

    unix_s: float
    since_boot_s: float
    boot_id: bytes


def read_clocks(clock: Clock | None = None) -> ClockReading:
    """Read the server's clock and the host's time since its boot.

    Windows are kept by the server's clock and not by the wall clock, which may be set while the server runs.
    Within an incarnation the two clocks that are read run alike, so they differ only by what happened between
    two incarnations.

    Args:
        clock: The server's clock; without one, a clock that begins now.
    """
    try:
        boot_id = bytes.fromhex(BOOT_ID_FILE.read_text().strip().replace("-", ""))
    except (OSError, ValueError):
        boot_id = b""
    since_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return ClockReading((clock or Clock()).read(), since_boot_s, boot_id)


def clock_offset_s(then: ClockReading, now: ClockReading) -> float:
    """Return what must be added to a time noted `then` so that it is right by the clock of `now`."""
    if then.boot_id == now.boot_id and now.since_boot_s >= then.since_boot_s:
        return (now.unix_s - now.since_boot_s) - (then.unix_s - then.since_boot_s)
    return now.unix_s - then.unix_s


def rebased_expiry(expires_at: float, then: ClockReading, now: ClockReading, max_window_s: float) -> float:
    """Return when a window ends by the clock of `now`, at most `max_window_s` from now."""
    return min(expires_at + clock_offset_s(then, now), now.unix_s + max_window_s)
