"""The messages about sessions between servers. Immutable values; each message may be lost."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from .binding import Binding, MigrationCause

MAX_FLOWS = 16  # the maximum number of flows of one session that servers retain and send


@dataclass(frozen=True, slots=True)
class OwnershipOffer:
    """Asks a server to take a session that has no owner."""

    key: str
    offer_id: int  # assigned by the sender
    flows: tuple[str, ...] = ()
    forced: bool = False  # whether the load bound is ignored, since no server is below its bound


@dataclass(frozen=True, slots=True)
class OfferReply:
    """Answers an offer."""

    key: str
    offer_id: int
    has_no_capacity: bool
    binding: Binding | None = None  # the owner's binding; None if the owner could not be determined


@dataclass(frozen=True, slots=True)
class TakeOwnership:
    """Requests the successor to take a session, of which the owner has no run left that may still begin."""

    binding: Binding
    cause: MigrationCause
    flows: tuple[str, ...] = ()
    forced: bool = False


@dataclass(frozen=True, slots=True)
class TakeDeclined:
    """Answers `TakeOwnership`: the successor has no capacity for the session, or cannot run it."""

    key: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class BindingNotice:
    """Notifies a server of a binding that the register holds or held; it also confirms a handover."""

    binding: Binding


Message: TypeAlias = OwnershipOffer | OfferReply | TakeOwnership | TakeDeclined | BindingNotice
