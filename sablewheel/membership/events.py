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
class LogLine:
    """One structured log line: what was decided, with its evidence."""

    message: str
    fields: dict[str, object]


@dataclass(frozen=True)
class ViewInstalled:
    """This view was installed: each is told once, in their order."""

    view: View


@dataclass(frozen=True)
class TimerFired:
    """Timers: the shell calls at `Node.wake_at` or sooner."""


@dataclass(frozen=True)
class MessageReceived:
    """A message came from `address`, the packet's source; used only for who is not known yet."""

    message: Message
    source_address: str = ""


@dataclass(frozen=True)
class LeaveRequested:
    """SIGTERM: say so to all, then stop."""


@dataclass(frozen=True)
class FactReported:
    """What this member holds to be due of a fact; the fleet's value is `View.fact`."""

    fact: Fact


Event = TimerFired | MessageReceived | LeaveRequested | FactReported
Effect = Send | LogLine | ViewInstalled
