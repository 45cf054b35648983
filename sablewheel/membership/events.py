"""What happens to a member, and what it wants done: events and effects of `Node.step`, as plain values."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message
from .view import Fact, View


@dataclass(frozen=True)
class Send:
    address: str
    message: Message


@dataclass(frozen=True)
class Note:
    """One structured log line: what was decided, with its evidence."""

    what: str
    fields: dict[str, object]


@dataclass(frozen=True)
class Viewed:
    """This view was installed: each is told once, in their order."""

    view: View


@dataclass(frozen=True)
class Tick:
    """Timers: the shell calls at `Node.wake_at` or sooner."""


@dataclass(frozen=True)
class Got:
    """A message came from `address`, the packet's source; used only for who is not known yet."""

    message: Message
    address: str = ""


@dataclass(frozen=True)
class Part:
    """SIGTERM: say so to all, then stop."""


@dataclass(frozen=True)
class Judge:
    """What this member holds to be due of a fact; the fleet's value is `View.fact`."""

    fact: Fact


Event = Tick | Got | Part | Judge
Effect = Send | Note | Viewed
