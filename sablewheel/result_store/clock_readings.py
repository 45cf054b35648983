"""The remaining length of idempotency windows after a restart, although clocks may have been set meanwhile.

The host's time since boot continues while the server restarts and cannot be set, so within one boot it shows
how much time has passed, whatever the wall clock shows. After a reboot the elapsed time is unknown and counts
as zero, so a window may be open for too long, but never too short.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path

from ..transport.clock import Clock

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True)
class ClockReading:
    """The values of both clocks at one moment."""

    unix_s: float
    since_boot_s: float  # the host's time since boot
    boot_id: bytes  # identifier of the boot; empty if it cannot be read


def read_clocks(clock: Clock | None = None) -> ClockReading:
    """Read the server's clock and the host's time since boot.

    Idempotency windows use the server's clock and not the wall clock, which may be set while the server runs.
    Within an incarnation both clocks that are read advance equally, so their difference changes only between
    incarnations.

    Args:
        clock: The server's clock; None for a clock that starts now.
    """
    try:
        boot_id = bytes.fromhex(BOOT_ID_FILE.read_text().strip().replace("-", ""))
    except (OSError, ValueError):
        boot_id = b""
    since_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return ClockReading((clock or Clock()).read(), since_boot_s, boot_id)


def clock_offset_s(then: ClockReading, now: ClockReading) -> float:
    """Return the seconds to add to a time by the clock of `then` to convert it to the clock of `now`."""
    if then.boot_id == now.boot_id and now.since_boot_s >= then.since_boot_s:
        return (now.unix_s - now.since_boot_s) - (then.unix_s - then.since_boot_s)
    return now.unix_s - then.unix_s


def rebased_expiry(expires_at: float, then: ClockReading, now: ClockReading, max_window_s: float) -> float:
    """Convert the end of a window to the clock of `now`; it is at most `max_window_s` from now."""
    return min(expires_at + clock_offset_s(then, now), now.unix_s + max_window_s)
