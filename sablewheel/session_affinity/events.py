"""What the sessions of one server are told, what they do about it, and what servers say to each other.

A `ref` is whoever's number for a request that was read here, or ours for a question to the register.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from ..membership.view import View
from ..overload.interface import Idempotency
from .binding import Binding, MigrationCause
from .placement import ServerLoad


class RegisterVerdict(Enum):
    """What the register says to a question."""

    WON = "won"  # written; or read, and `entry` is what stands there
    LOST = "lost"  # another number stands there: `entry`
    UNREACHABLE = "unreachable"  # no majority: a write may have been made or not


class DecisionReason(Enum):
    """Why a request is served here or rejected; each is counted apart."""

    OWNER = "owner"  # this server owns its session
    NO_VIEW = "no_view"  # this server is in no view
    UNREACHED = "unreached"  # the owner can't be reached
    NO_MAJORITY = "no_majority"  # nobody can be made owner, or found
    HANDOVER = "handover"  # its session is being handed over
    BUDGET = "budget"  # its session must move, and the budget is spent
    STALE = "stale"  # it was passed here for a session that is another's by now
    FULL = "full"  # no server has room, or too many wait
    INCAPABLE = "incapable"  # no server can run what it asks for together with its session


# -- events


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request. `sender`: the member who passed it on, empty if its router brought it here."""

    ref: int
    key: str
    idempotency: Idempotency
    flow: str = ""
    forwarded_by: str = ""
    was_returned: bool = False  # it was passed on before, and came back since its session had gone on

    @property
    def requires_owner(self) -> bool:
        """Whether only the session's owner may run it."""
        return self.idempotency is not Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A request that was to be served here has its outcome, or never began."""

    ref: int
    key: str


@dataclass(frozen=True, slots=True)
class OwnerUnreachable:
    """A request that was passed on certainly did not arrive at `to`."""

    request: RequestArrived
    owner_name: str


@dataclass(frozen=True, slots=True)
class RequestReturned:
    """A forwarded request came back unserved: its session is another's, by what that server knows."""

    request: RequestArrived
    binding: Binding | None = None


@dataclass(frozen=True, slots=True)
class ClaimRefused:
    """A holder refused its claim: a higher number than `number` stands there."""

    request: RequestArrived
    fencing_number: int


@dataclass(frozen=True, slots=True)
class OwnerFenced:
    """As `Refused`, where the request has been rejected already: the next one looks again."""

    key: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class RegisterAnswered:
    """The register's answer to a `Write` or `Read`."""

    ref: int
    verdict: RegisterVerdict
    stored_binding: Binding | None = None


@dataclass(frozen=True, slots=True)
class ViewChanged:
    view: View


@dataclass(frozen=True, slots=True)
class PolicyActivated:
    """The policy in force. `able`: by flow, the members that can run it under this version; a flow that is
    not named can run anywhere. Told anew when that changes."""

    version: int
    capable_members: Mapping[str, frozenset[str]] = field(default_factory=dict)
    mandatory: bool = False


@dataclass(frozen=True, slots=True)
class LoadsReported:
    by_member: Mapping[str, ServerLoad]


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """This server leaves after `grace` seconds."""

    grace_s: float


@dataclass(frozen=True, slots=True)
class TimerFired:
    pass


# -- messages


@dataclass(frozen=True, slots=True)
class OwnershipOffer:
    """Take this session, which has no owner. `turn`: the asker's number for it. `forced`: also past the
    bound, since nobody is below."""

    key: str
    offer_id: int
    flows: tuple[str, ...] = ()
    forced: bool = False


@dataclass(frozen=True, slots=True)
class OfferReply:
    """To an offer: `full`, or who owns the session now (none: that could not be found out)."""

    key: str
    offer_id: int
    has_no_capacity: bool
    binding: Binding | None = None


@dataclass(frozen=True, slots=True)
class TakeOwnership:
    """The owner, who runs nothing of this session any more, to the successor."""

    binding: Binding
    cause: MigrationCause
    flows: tuple[str, ...] = ()
    forced: bool = False


@dataclass(frozen=True, slots=True)
class TakeDeclined:
    """The successor has no room for it, or can't run it."""

    key: str
    fencing_number: int


@dataclass(frozen=True, slots=True)
class BindingNotice:
    """A binding as the register holds it, or held it; to the old owner: the handover is done."""

    binding: Binding


Message: TypeAlias = OwnershipOffer | OfferReply | TakeOwnership | TakeDeclined | BindingNotice


@dataclass(frozen=True, slots=True)
class MessageReceived:
    sender: str
    message: Message


Event: TypeAlias = (
    RequestArrived
    | RequestFinished
    | OwnerUnreachable
    | RequestReturned
    | ClaimRefused
    | OwnerFenced
    | RegisterAnswered
    | ViewChanged
    | PolicyActivated
    | LoadsReported
    | DrainStarted
    | TimerFired
    | MessageReceived
)


# -- effects


@dataclass(frozen=True, slots=True)
class ServeLocally:
    """Serve it on this server; a claim carries `number`, 0 if it must not be claimed under a session."""

    ref: int
    fencing_number: int
    policy_version: int
    reason: DecisionReason = DecisionReason.OWNER


@dataclass(frozen=True, slots=True)
class ForwardToOwner:
    """Pass it on to the session's owner, one hop."""

    ref: int
    owner_name: str


@dataclass(frozen=True, slots=True)
class ReturnToForwarder:
    """Give it back to the server that passed it on: it never ran here, and its session is another's."""

    ref: int
    forwarded_by: str
    binding: Binding


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """It never ran; come back after so many seconds. An idempotency key whose outcome is known may be
    answered so.
    """

    ref: int
    retry_after_s: float
    reason: DecisionReason


@dataclass(frozen=True, slots=True)
class WriteBinding:
    """To the register: `value` if `expect` is the number that stands there (0: none)."""

    ref: int
    key: str
    expected_fencing_number: int
    binding: Binding
    lifetime_s: float


@dataclass(frozen=True, slots=True)
class ReadBinding:
    ref: int
    key: str


@dataclass(frozen=True, slots=True)
class SendMessage:
    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Something for counters and the log."""

    message: str
    fields: Mapping[str, object] = field(default_factory=dict)


Effect: TypeAlias = (
    ServeLocally
    | ForwardToOwner
    | ReturnToForwarder
    | RejectRequest
    | WriteBinding
    | ReadBinding
    | SendMessage
    | LogEvent
)
