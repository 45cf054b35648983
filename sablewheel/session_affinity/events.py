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
from .binding import Binding, Cause
from .placement import Load


class Verdict(Enum):
    """What the register says to a question."""

    WON = "won"  # written; or read, and `entry` is what stands there
    LOST = "lost"  # another number stands there: `entry`
    UNREACHABLE = "unreachable"  # no majority: a write may have been made or not


class Why(Enum):
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
class Came:
    """A request. `sender`: the member who passed it on, empty if its router brought it here."""

    ref: int
    key: str
    idempotency: Idempotency
    flow: str = ""
    sender: str = ""
    back: bool = False  # it was passed on before, and came back since its session had gone on

    @property
    def strict(self) -> bool:
        """Whether only the session's owner may run it."""
        return self.idempotency is not Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Over:
    """A request that was to be served here has its outcome, or never began."""

    ref: int
    key: str


@dataclass(frozen=True, slots=True)
class Unreached:
    """A request that was passed on certainly did not arrive at `to`."""

    came: Came
    to: str


@dataclass(frozen=True, slots=True)
class Returned:
    """A forwarded request came back unserved: its session is another's, by what that server knows."""

    came: Came
    binding: Binding | None = None


@dataclass(frozen=True, slots=True)
class Refused:
    """A holder refused its claim: a higher number than `number` stands there."""

    came: Came
    number: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """As `Refused`, where the request has been rejected already: the next one looks again."""

    key: str
    number: int


@dataclass(frozen=True, slots=True)
class Answered:
    """The register's answer to a `Write` or `Read`."""

    ref: int
    verdict: Verdict
    entry: Binding | None = None


@dataclass(frozen=True, slots=True)
class Viewed:
    view: View


@dataclass(frozen=True, slots=True)
class Active:
    """The policy in force. `able`: by flow, the members that can run it under this version; a flow that is
    not named can run anywhere. Told anew when that changes."""

    version: int
    able: Mapping[str, frozenset[str]] = field(default_factory=dict)
    mandatory: bool = False


@dataclass(frozen=True, slots=True)
class Loads:
    by_member: Mapping[str, Load]


@dataclass(frozen=True, slots=True)
class Drain:
    """This server leaves after `grace` seconds."""

    grace: float


@dataclass(frozen=True, slots=True)
class Tick:
    pass


# -- messages


@dataclass(frozen=True, slots=True)
class Offer:
    """Take this session, which has no owner. `turn`: the asker's number for it. `forced`: also past the
    bound, since nobody is below."""

    key: str
    turn: int
    flows: tuple[str, ...] = ()
    forced: bool = False


@dataclass(frozen=True, slots=True)
class Reply:
    """To an offer: `full`, or who owns the session now (none: that could not be found out)."""

    key: str
    turn: int
    full: bool
    binding: Binding | None = None


@dataclass(frozen=True, slots=True)
class Take:
    """The owner, who runs nothing of this session any more, to the successor."""

    binding: Binding
    cause: Cause
    flows: tuple[str, ...] = ()
    forced: bool = False


@dataclass(frozen=True, slots=True)
class Declined:
    """The successor has no room for it, or can't run it."""

    key: str
    number: int


@dataclass(frozen=True, slots=True)
class Told:
    """A binding as the register holds it, or held it; to the old owner: the handover is done."""

    binding: Binding


Message: TypeAlias = Offer | Reply | Take | Declined | Told


@dataclass(frozen=True, slots=True)
class Got:
    sender: str
    message: Message


Event: TypeAlias = (
    Came
    | Over
    | Unreached
    | Returned
    | Refused
    | Fenced
    | Answered
    | Viewed
    | Active
    | Loads
    | Drain
    | Tick
    | Got
)


# -- effects


@dataclass(frozen=True, slots=True)
class Here:
    """Serve it on this server; a claim carries `number`, 0 if it must not be claimed under a session."""

    ref: int
    number: int
    version: int
    why: Why = Why.OWNER


@dataclass(frozen=True, slots=True)
class Pass:
    """Pass it on to the session's owner, one hop."""

    ref: int
    to: str


@dataclass(frozen=True, slots=True)
class Back:
    """Give it back to the server that passed it on: it never ran here, and its session is another's."""

    ref: int
    sender: str
    binding: Binding


@dataclass(frozen=True, slots=True)
class Reject:
    """It never ran; come back after so many seconds. An idempotency key whose outcome is known may be
    answered so.
    """

    ref: int
    retry_after_s: float
    why: Why


@dataclass(frozen=True, slots=True)
class Write:
    """To the register: `value` if `expect` is the number that stands there (0: none)."""

    ref: int
    key: str
    expect: int
    value: Binding
    life: float


@dataclass(frozen=True, slots=True)
class Read:
    ref: int
    key: str


@dataclass(frozen=True, slots=True)
class Send:
    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Note:
    """Something for counters and the log."""

    what: str
    fields: Mapping[str, object] = field(default_factory=dict)


Effect: TypeAlias = Here | Pass | Back | Reject | Write | Read | Send | Note
