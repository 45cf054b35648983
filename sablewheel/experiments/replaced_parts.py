"""Replaces parts of a server within its process for a trial, and proves that the replacement took effect.

If a name in a module changed and its replacement did not follow, no fault would be injected, and the trial
would hold or fail for another reason than it reports. Therefore replacing a missing name fails, and a
replaced part logs a line when it is first used.
"""

from __future__ import annotations

import logging
from pathlib import Path
from types import ModuleType
from unittest import mock

EVENT = "part replaced by a trial"

log = logging.getLogger(__name__)


def replace_part(module: ModuleType, name: str, part: object) -> None:
    """Replace a name of a module until this process exits.

    Raises:
        AttributeError: The module has no such name.
    """
    mock.patch.object(module, name, part).start()


def announce(part: str) -> None:
    """Log that a replaced part is in use."""
    log.warning(EVENT, extra={"pairs": {"part": part}})


def was_announced(path: Path, part: str) -> bool:
    """Whether the process with this log used the replaced part."""
    expected = (f'event="{EVENT}"', f"part={part}")
    lines = path.read_text(errors="replace").splitlines()
    return any(all(pair in line for pair in expected) for line in lines)
