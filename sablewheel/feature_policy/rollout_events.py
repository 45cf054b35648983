"""What the rollout of a policy is told, what it asks for, and where it lets requests go."""

from __future__ import annotations

from dataclasses import dataclass

from ..membership.view import Fact, View
from .host_capabilities import HostCapabilities
from .messages import Message
from .policy_bundle import PolicyBundle
from .translation import ClassPlan


@dataclass(frozen=True)
class ViewChanged:
    """The agreed view is a new one."""

    view: View


@dataclass(frozen=True)
class MessageReceived:
    """A member of the fleet sent a message."""

    sender: str
    message: Message


@dataclass(frozen=True)
class DocumentProposed:
    """The operators' document, to be taken in: at once, or if the fleet has none (`only_first`)."""

    text: str
    file: str
    only_first: bool = False


@dataclass(frozen=True)
class TranslationFinished:
    """What a `StartTranslation` came to: a bundle, or why there is none."""

    made: PolicyBundle | None
    faults: tuple[str, ...] = ()


@dataclass(frozen=True)
class TimerFired:
    """The shell calls at `Rollout.wake_at` or sooner."""


Event = ViewChanged | MessageReceived | DocumentProposed | TranslationFinished | TimerFired


@dataclass(frozen=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Message


@dataclass(frozen=True)
class ProposeFact:
    """Propose a fact to membership, which agrees on it with the view."""

    fact: Fact


@dataclass(frozen=True)
class StartTranslation:
    """Translate in a process of its own: a document, or the bundle in force for more classes."""

    text: str
    file: str
    classes: tuple[HostCapabilities, ...]
    base: PolicyBundle | None = None


@dataclass(frozen=True)
class ApplyPlan:
    """What this server's class is to run from now on; no plan: its class has none, no bundle: none holds."""

    bundle: PolicyBundle | None
    plan: ClassPlan | None


@dataclass(frozen=True)
class LogEntry:
    """A line for the log."""

    what: str
    fields: dict[str, object]


Effect = Send | ProposeFact | StartTranslation | ApplyPlan | LogEntry


@dataclass(frozen=True)
class Route:
    """Where a request may be served.

    `here`: it belongs here; else to `others`, or to nobody, for the `reason`. `able`: this server runs all
    that its flow requires, so it serves it if those can't be reached: a preference rejects nothing.
    """

    here: bool
    flow: str = ""
    others: tuple[str, ...] = ()
    reason: str = ""
    able: bool = False


HERE = Route(True)
