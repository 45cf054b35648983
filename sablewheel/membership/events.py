"""Events and effects of `Node.step`, as plain values."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Message
from .view import Fact, View


@dataclass(frozen=True)
class Send:
    """Send a message to an address."""

    address: str
    message: Message


@dataclass(frozen=True)
class LogLine:
    """Write a structured log line."""

    message: str
    fields: dict[str, object]


@dataclass(frozen=True)
class ViewInstalled:
    """Announce a view that was installed; each view once, in order."""

    view: View


@dataclass(frozen=True)
class TimerFired:
    """The time `Node.next_wakeup` has come, or an earlier one."""


@dataclass(frozen=True)
class MessageReceived:
    """A message arrived; `source_address`, the packet's source, is used for unknown senders only."""

    message: Message
    source_address: str = ""


@dataclass(frozen=True)
class LeaveRequested:
    """The process is asked to shut down: announce the leave to all members."""


@dataclass(frozen=True)
class FactReported:
    """This member's own value of a fact; the fleet's value is `View.fact`."""

    fact: Fact


Event = TimerFired | MessageReceived | LeaveRequested | FactReported
Effect = Send | LogLine | ViewInstalled
