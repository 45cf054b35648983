"""Events: what the controller is notified of."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TypeAlias

from .requests import Outcome, Request


@dataclass(slots=True)
class RequestArrived:
    """A request was read and waits for a decision."""

    request: Request


@dataclass(slots=True)
class RunEnded:
    """A run ended, or the result of the original was attached to a duplicate."""

    request: Request
    took_s: float
    outcome: Outcome


@dataclass(slots=True)
class DependencyCallNeeded:
    """A running request needs to call the dependency."""

    request: Request


@dataclass(slots=True)
class DependencyCallEnded:
    """A dependency call ended."""

    request: Request
    took_s: float
    outcome: Outcome


@dataclass(slots=True)
class StartUnconfirmed:
    """The command that starts a run was written to a connection that broke: it may or may not run."""

    request: Request


@dataclass(slots=True)
class CallerGone:
    """Nobody waits for this request any more."""

    request: Request


@dataclass(slots=True)
class KeyRecovered:
    """The key of a request that finished before the start counts for `valid_for_s` seconds more."""

    request: Request
    valid_for_s: float


@dataclass(slots=True)
class ShutdownNotice:
    """The server will be stopped after `remaining_s` seconds."""

    remaining_s: float


@dataclass(slots=True)
class TimerFired:
    """A timer fired; the gauges read then are infinite where they are unknown.

    Attributes:
        cpu_busy_ratio: Busy part of all cores over the last while.
        open_connections: Open connections.
        runnable_work: Runs, reads and health checks that demand a core right now.
    """

    cpu_busy_ratio: float = inf
    open_connections: float = inf
    runnable_work: float = inf


Event: TypeAlias = (
    RequestArrived
    | RunEnded
    | DependencyCallNeeded
    | DependencyCallEnded
    | StartUnconfirmed
    | CallerGone
    | KeyRecovered
    | ShutdownNotice
    | TimerFired
)
