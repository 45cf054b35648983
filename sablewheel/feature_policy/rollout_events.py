"""The events and effects of the rollout of a policy, and the routes that it returns for requests."""

from __future__ import annotations

from dataclasses import dataclass

from ..membership.view import Fact, View
from .host_capabilities import HostCapabilities
from .messages import Message
from .policy_bundle import PolicyBundle
from .translation import ClassPlan


@dataclass(frozen=True)
class ViewChanged:
    """The fleet agreed on a new view."""

    view: View


@dataclass(frozen=True)
class MessageReceived:
    """A member of the fleet sent a message."""

    sender: str
    message: Message


@dataclass(frozen=True)
class DocumentProposed:
    """The operators proposed a document.

    With `only_first` it is used only if the fleet has no policy yet.
    """

    text: str
    file: str
    only_first: bool = False


@dataclass(frozen=True)
class TranslationFinished:
    """The translation of a `StartTranslation` ended with a bundle, or with faults if `bundle` is None."""

    bundle: PolicyBundle | None
    faults: tuple[str, ...] = ()


@dataclass(frozen=True)
class TimerFired:
    """A timer fired, at `Rollout.wake_at` or earlier."""


Event = ViewChanged | MessageReceived | DocumentProposed | TranslationFinished | TimerFired


@dataclass(frozen=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Message


@dataclass(frozen=True)
class ProposeFact:
    """Propose a fact to membership, which agrees on facts together with the view."""

    fact: Fact


@dataclass(frozen=True)
class StartTranslation:
    """Translate in a separate process: a document, or with `base` that bundle for additional classes."""

    text: str
    file: str
    classes: tuple[HostCapabilities, ...]
    base: PolicyBundle | None = None


@dataclass(frozen=True)
class ApplyPlan:
    """Apply a plan to this server.

    `plan` is None if the bundle has none for this server's class, and `bundle` if no policy is active here.
    """

    bundle: PolicyBundle | None
    plan: ClassPlan | None


@dataclass(frozen=True)
class LogEntry:
    """Write a log line."""

    event: str
    fields: dict[str, object]


Effect = Send | ProposeFact | StartTranslation | ApplyPlan | LogEntry


@dataclass(frozen=True)
class Route:
    """Where a request may be served.

    With `here` this server serves it. Otherwise the members `others` do, or none if that is empty, for the
    `reason`. With `able` this server runs all features that the flow requires. Then it serves the request if
    the others can't be reached, as a request is never rejected because of a preference.
    """

    here: bool
    flow: str = ""
    others: tuple[str, ...] = ()
    reason: str = ""
    able: bool = False


HERE = Route(True)
