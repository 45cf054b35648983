"""Events that the controller handles."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TypeAlias

from .requests import Outcome, Request


@dataclass(slots=True)
class RequestArrived:
    """A request was read and needs a decision."""

    request: Request


@dataclass(slots=True)
class RunEnded:
    """A run ended after `took_s` seconds, or the result of the original was attached to a duplicate."""

    request: Request
    took_s: float
    outcome: Outcome


@dataclass(slots=True)
class DependencyCallNeeded:
    """A running request needs to call the dependency."""

    request: Request


@dataclass(slots=True)
class DependencyCallEnded:
    """A dependency call ended after `took_s` seconds."""

    request: Request
    took_s: float
    outcome: Outcome


@dataclass(slots=True)
class StartUnconfirmed:
    """The command that starts a run was written to a connection that broke; the run may have started."""

    request: Request


@dataclass(slots=True)
class RequestAbandoned:
    """The client no longer waits for this request."""

    request: Request


@dataclass(slots=True)
class KeyRecovered:
    """The key of a request that finished before a restart is valid for `valid_for_s` more seconds."""

    request: Request
    valid_for_s: float


@dataclass(slots=True)
class ShutdownNotice:
    """The server will be stopped after `remaining_s` seconds."""

    remaining_s: float


@dataclass(slots=True)
class TimerFired:
    """A timer fired; carries gauges, which are infinite if unknown.

    Attributes:
        cpu_busy_ratio: Busy part of all cores over a recent interval.
        open_connections: Number of open connections.
        runnable_work: Number of runs, reads and health checks that currently demand a core.
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
    | RequestAbandoned
    | KeyRecovered
    | ShutdownNotice
    | TimerFired
)
