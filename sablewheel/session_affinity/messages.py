"""What servers tell each other about sessions. Pure values; each message may be lost."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from .binding import Binding, MigrationCause

MAX_FLOWS = 16  # flows of one session that servers retain and tell each other


@dataclass(frozen=True, slots=True)
class OwnershipOffer:
    """Asks a server to take a session that has no owner."""

    key: str
    offer_id: int  # the sender's number for this offer
    flows: tuple[str, ...] = ()
    forced: bool = False  # whether the load bound is ignored, since no server is below its bound


@dataclass(frozen=True, slots=True)
class OfferReply:
    """Answers an offer."""

    key: str
    offer_id: int
    has_no_capacity: bool
    binding: Binding | None = None  # of the session's owner; None if it could not be found out


@dataclass(frozen=True, slots=True)
class TakeOwnership:
    """Tells the successor to take a session: its owner runs nothing of it any more that may yet begin."""

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
    """Tells a binding that the register holds or held; the earlier owner, that the handover is done."""

    binding: Binding


Message: TypeAlias = OwnershipOffer | OfferReply | TakeOwnership | TakeDeclined | BindingNotice
