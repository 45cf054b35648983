"""Parts of a server that a trial exchanges in its process, and the proof that the exchange took effect.

A module's name may change without its exchange: then nothing would be injected, and a trial would hold or be
broken for another reason than it says. So an exchange fails where there is nothing to exchange, and what was
exchanged announces itself in the process's log when it is first used.
"""

from __future__ import annotations

import logging
from pathlib import Path
from types import ModuleType
from unittest import mock

EVENT = "part replaced by a trial"

log = logging.getLogger(__name__)


def replace_part(module: ModuleType, name: str, part: object) -> None:
    """Exchange what a module has under a name, for as long as this process lives.

    Raises:
        AttributeError: The module has nothing of that name.
    """
    mock.patch.object(module, name, part).start()


def announce(part: str) -> None:
    """Log that a replaced part is in use."""
    log.warning(EVENT, extra={"pairs": {"part": part}})


def was_announced(path: Path, part: str) -> bool:
    """Whether the process with this log used the replaced part."""
    wanted = (f'event="{EVENT}"', f"part={part}")
    lines = path.read_text(errors="replace").splitlines()
    return any(all(word in line for word in wanted) for line in lines)
