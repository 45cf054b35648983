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
    """Announce an installed view; each view is announced once, in order."""

    view: View


@dataclass(frozen=True)
class TimerFired:
    """A timer fired, at `Node.next_wakeup` or earlier."""


@dataclass(frozen=True)
class MessageReceived:
    """A message arrived; `source_address`, the packet's source, is used for unknown senders only."""

    message: Message
    source_address: str = ""


@dataclass(frozen=True)
class LeaveRequested:
    """The process was asked to shut down and announces its leave to all members."""


@dataclass(frozen=True)
class FactReported:
    """This member reports its own value of a fact; `View.fact` is the value that the fleet agreed on."""

    fact: Fact


Event = TimerFired | MessageReceived | LeaveRequested | FactReported
Effect = Send | LogLine | ViewInstalled
