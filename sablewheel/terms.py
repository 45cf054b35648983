"""The interface of the decision module: what it is told and what it may do.

Plain types only. A `Request` points to its request class, tenant and router; ids stay at the door, with
whoever carries the happenings in and the deeds out. All times are seconds with fractions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import inf
from typing import TypeAlias


class Nature(Enum):
    """What a second run of a request would do."""

    REDOABLE = auto()
    LABELLED = auto()
    IRREVERSIBLE = auto()


class Halting(Enum):
    """What stopping a running request does on this machine."""

    NEVER = auto()
    DROPS = auto()
    PAUSES = auto()


class Speech(Enum):
    """What callers do with the free number that goes with every answer."""

    SILENT = auto()
    CREDIT = auto()
    LEVEL = auto()
    CHANCE = auto()


class Outcome(Enum):
    """How a run or a call ended."""

    WORKED = auto()
    ERROR = auto()
    FULL = auto()
    TIMED_OUT = auto()
    UNREACHED = auto()
    CUT_OFF = auto()
    STOPPED = auto()
    MOOT = auto()
    LOST = auto()  # no end was told in all the time that it was waited for: it may have run


class Stage(Enum):
    """Where a request stands; kept by the controller."""

    HELD = auto()
    RUNNING = auto()
    AT_CALL = auto()
    CALLING = auto()
    JOINED = auto()
    OVER = auto()


@dataclass(frozen=True, eq=False)
class RequestClass:
    """A class of requests; `worth` is what one completed in time earns, or a second of its work."""

    nature: Nature
    goal: float
    abandon: float
    window: float = 0.0
    goal_stretch: float = 0.0
    calls: bool = False
    skip_share: float = 0.0
    worth: float = 1.0


@dataclass(frozen=True, eq=False)
class Tenant:
    """Whose requests they are; `quota` is requests a second over the whole fleet."""

    quota: float


@dataclass(frozen=True, eq=False)
class Ledger:
    """What requests call; `in_hand` is this server's share of what it survives, None if not told."""

    in_hand: float | None = None
    span: float = 0.0
    linger: float = 0.0


@dataclass(eq=False, slots=True)
class Router:
    """Someone who sends requests here; the controller notes its open requests and when it was last heard."""

    out: int = 0
    heard: float = -inf
    name: bytes = b""


@dataclass(frozen=True, eq=False)
class Machine:
    """The server as it is told at its start."""

    request_classes: tuple[RequestClass, ...]
    cores: int
    memory_kb: float
    run_factor: float
    tenants: tuple[Tenant, ...] = ()
    ledger: Ledger | None = None
    servers: int = 1
    routers: int = 1
    label_kb: float = 0.0
    halting: Halting = Halting.NEVER
    speech: Speech = Speech.SILENT
    said_for: float = 0.0
    share_reads_for: float = 0.0
    told_wait: bool = False
    marks_again: bool = False
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    fresh_start: bool = False
    idle: float = 0.0
    tick: float = 0.0
    slack: float = 0.0
    drain_grace: float = 0.0
    crowd_multiple: float = 1.0
    crowd_span: float = 0.0
    cold_from: float = 1.0
    warm_up: float = 0.0
    advice_limit: float = 0.0


@dataclass(eq=False, slots=True, weakref_slot=True)
class Request:
    """One try of a request. The fields below `repeats` are the controller's own notes, but for the last two:
    what a run waits for beside the cores, and how long until its label can be kept."""

    request_class: RequestClass
    router: Router
    tenant: Tenant | None
    arrived: float
    kb: float
    wait_left: float | None = None
    estimate: float | None = None
    again: bool = False
    writes: bool = False
    subject: str | None = None
    repeats: Request | None = None
    stage: Stage = Stage.HELD
    begun: bool = False
    ended: Outcome | None = None
    answered: bool = False
    due: float = 0.0
    budget: float = 0.0
    read_at: float = 0.0
    since: float = 0.0
    called: float = 0.0
    remembered: bool = False
    beyond: bool = False
    ahead: float = 0.0
    overhead: float = 0.0
    room_in: float = 0.0


@dataclass(slots=True)
class Arrived:
    """A request was read and is now held."""

    request: Request


@dataclass(slots=True)
class Ended:
    """A run or a join is over."""

    request: Request
    took: float
    outcome: Outcome


@dataclass(slots=True)
class CallNeeded:
    """A running request stands at a call."""

    request: Request


@dataclass(slots=True)
class CallEnded:
    """A call came back."""

    request: Request
    took: float
    outcome: Outcome


@dataclass(slots=True)
class StartUnconfirmed:
    """The command that starts a run was written to a link that broke: it may run, or never have begun."""

    request: Request


@dataclass(slots=True)
class CallerGone:
    """No one waits for this request any more."""

    request: Request


@dataclass(slots=True)
class Recalled:
    """A finished request is remembered from before the start; its label counts for `life` seconds more."""

    request: Request
    life: float


@dataclass(slots=True)
class Notice:
    """The server will be stopped after `left` seconds."""

    left: float


@dataclass(slots=True)
class Bell:
    """An alarm rang; how much of the cores is busy, how many connections are open and how much work demands a
    core (runs, reading, checks), where told."""

    busy: float = inf
    connections: float = inf
    runnable: float = inf


Happening: TypeAlias = (
    Arrived | Ended | CallNeeded | CallEnded | StartUnconfirmed | CallerGone | Recalled | Notice | Bell
)


@dataclass(slots=True)
class Run:
    """Start a held request, or take up a paused one."""

    request: Request


@dataclass(slots=True)
class Stop:
    """Stop running work; no answer by itself."""

    request: Request


@dataclass(slots=True)
class PresumeLost:
    """Wait no longer for the end of a run whose start is unconfirmed."""

    request: Request


class Denial(Enum):
    """Why a request was denied; each is counted apart."""

    DRAINING = "draining"  # it came after the drain's grace
    NO_ROOM = "no_room"  # its label has no room yet
    MEMORY = "memory"  # the memory guard
    WAIT = "wait"  # its wait would pass its budget, or its goal is out of reach
    HELD_OUT = "held_out"  # held until its time was up


@dataclass(slots=True)
class Deny:
    """Final answer: it never ran. `come_back`: when to return; `nowhere`: try no other server."""

    request: Request
    come_back: float = 0.0
    nowhere: bool = False
    why: Denial = Denial.WAIT


@dataclass(slots=True)
class Terminate:
    """Final answer: an error, with no promise."""

    request: Request


@dataclass(slots=True)
class Call:
    """Make the call a request stands at, given up after `allow` seconds."""

    request: Request
    allow: float


@dataclass(slots=True)
class LeaveOut:
    """Go on without the call."""

    request: Request


@dataclass(slots=True)
class Remember:
    """Put a request into the table of labels."""

    request: Request
    life: float


@dataclass(slots=True)
class Release:
    """Take a request out of the table."""

    request: Request


@dataclass(slots=True)
class Join:
    """Answer a held request with the result of the one it repeats."""

    request: Request


@dataclass(slots=True)
class Health:
    """What health checks are told; `stored` answers them without work."""

    good: bool
    stored: bool


@dataclass(slots=True)
class Say:
    """The free number on every answer from now on."""

    amount: float


@dataclass(slots=True)
class CloseIdle:
    """Close connections unused for `after` seconds."""

    after: float


@dataclass(slots=True)
class Alarm:
    """Ring after `after` seconds; it cannot be taken back."""

    after: float


@dataclass(slots=True)
class Log:
    """A line for the report."""

    words: str


Deed: TypeAlias = (
    Run
    | Stop
    | PresumeLost
    | Deny
    | Terminate
    | Call
    | LeaveOut
    | Remember
    | Release
    | Join
    | Health
    | Say
    | CloseIdle
    | Alarm
    | Log
)
