"""The messages between replicas, and the events and effects of one replica, as plain values.

Lifetimes in messages are what remains of them, in seconds: clocks of members are never compared.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .entries import EMPTY, AnswerStatus, Ballot, Entry, Key, OutcomeStatus
from .placement import Sites


@dataclass(frozen=True, slots=True)
class Prepare:
    """Ask for a promise.

    Attributes:
        epoch: Of the view under which the sender proposes; so in all messages.
        ref: The sender's number for the proposal or request; so in all messages.
        key: Of the register.
        slot: The range of the key.
        ballot: To promise.
        remaining_s: What remains of the lifetime of the entry.
        group: By which the key is placed.
        binding_version: The version of the session's binding that the claim relies on; 0: none.
    """

    epoch: int
    ref: int
    key: Key
    slot: int
    ballot: Ballot
    remaining_s: float
    group: bytes = b""
    binding_version: int = 0


@dataclass(frozen=True, slots=True)
class Promise:
    """Nothing below the ballot will be accepted; `entry` is what is stored."""

    epoch: int
    ref: int
    ballot: Ballot
    entry: Entry


@dataclass(frozen=True, slots=True)
class Accept:
    """Ask to accept an entry under its ballot.

    A replica that accepts also promises the next round to the same proposer, who then needs one round trip.
    """

    epoch: int
    ref: int
    key: Key
    slot: int
    entry: Entry
    remaining_s: float
    group: bytes = b""
    binding_version: int = 0


@dataclass(frozen=True, slots=True)
class Accepted:
    """The entry of this ballot is accepted."""

    epoch: int
    ref: int
    ballot: Ballot


class RefusalReason(StrEnum):
    """Why a replica refuses; the values stand in packets."""

    BALLOT = "ballot"  # a higher one is promised
    NOT_READY = "unready"  # its copy of the range is not caught up
    FULL = "full"
    FENCED = "fenced"  # the session's binding has a later version
    EPOCH = "epoch"  # the message is of an older view


@dataclass(frozen=True, slots=True)
class Refuse:
    """A refusal.

    Attributes:
        epoch: The replica's, if the reason is the epoch.
        ref: The sender's number.
        reason: Why.
        ballot: The promised one, if the reason is the ballot.
        refused: The ballot that was refused.
        entry: What is stored, if the reason is the ballot.
    """

    epoch: int
    ref: int
    reason: RefusalReason
    ballot: Ballot
    refused: Ballot
    entry: Entry = EMPTY


@dataclass(frozen=True, slots=True)
class Push:
    """An entry with an outcome, to be merged."""

    epoch: int
    ref: int
    key: Key
    slot: int
    entry: Entry
    remaining_s: float


@dataclass(frozen=True, slots=True)
class Pushed:
    """The pushed entry is merged into a copy that counts."""

    epoch: int
    ref: int


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask for the entry of a key."""

    epoch: int
    ref: int
    key: Key
    slot: int


@dataclass(frozen=True, slots=True)
class Fetched:
    """The stored entry."""

    epoch: int
    ref: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class RequestViews:
    """Ask for views older than `before`."""

    epoch: int
    before: int


@dataclass(frozen=True, slots=True)
class PastViews:
    """The latest views before `before` that the sender knows: epoch and members."""

    epoch: int
    incarnation: int
    before: int
    views: tuple[tuple[int, Sites], ...]


@dataclass(frozen=True, slots=True)
class CompareRanges:
    """Ask for the state of ranges; each with the sender's digest."""

    epoch: int
    ranges: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class RangeStates:
    """Of each range: the last epoch at which the sender was ready (0: never), whether digests agree."""

    epoch: int
    incarnation: int
    ranges: tuple[tuple[int, int, bool], ...]


@dataclass(frozen=True, slots=True)
class FetchRange:
    """Ask for the entries of a range behind a key."""

    epoch: int
    slot: int
    after: Key


@dataclass(frozen=True, slots=True)
class RangeChunk:
    """Entries of a range in the order of keys, with their remaining lifetimes; `is_last` ends it."""

    epoch: int
    incarnation: int
    slot: int
    ready_epoch: int
    entries: tuple[tuple[Key, Entry, float], ...]
    is_last: bool


AcceptorRequest = Prepare | Accept | Push | Fetch
RangeMessage = CompareRanges | RangeStates | FetchRange | RangeChunk
Message = (
    AcceptorRequest | Promise | Accepted | Refuse | Pushed | Fetched | RequestViews | PastViews | RangeMessage
)

COUNTER_NAMES: dict[type[Message], str] = {
    Prepare: "prepare",
    Promise: "promise",
    Accept: "accept",
    Accepted: "accepted",
    Refuse: "refuse",
    Push: "push",
    Pushed: "pushed",
    Fetch: "fetch",
    Fetched: "fetched",
    RequestViews: "askpast",
    PastViews: "past",
    CompareRanges: "ask",
    RangeStates: "told",
    FetchRange: "pull",
    RangeChunk: "piece",
}


# -- events


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of another member arrived."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class ViewInstalled:
    """This member has a new view; `removed`: incarnations that the fleet agreed never come back."""

    epoch: int
    sites: Sites
    removed: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim an idempotency key before its run: for `lifetime_s` from now no other may run it.

    Attributes:
        ref: Of the answer.
        key: The idempotency key.
        group: By which the key is placed.
        lifetime_s: Of the claim.
        digest: Identifies the request that the key stands for.
        binding_version: The version of the session's binding that the claim relies on; 0: none.
    """

    ref: int
    key: bytes
    group: bytes
    lifetime_s: float
    digest: bytes
    binding_version: int = 0


@dataclass(frozen=True, slots=True)
class CompleteClaim:
    """The run of a won claim is over."""

    key: bytes
    status: OutcomeStatus
    result: bytes


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """A won claim will not be run."""

    key: bytes


@dataclass(frozen=True, slots=True)
class Write:
    """Set a value if its version is as expected; the new version is `min_version` at least."""

    ref: int
    collection: str
    key: bytes
    expected_version: int
    value: bytes
    lifetime_s: float
    min_version: int = 0


@dataclass(frozen=True, slots=True)
class Read:
    """Read what a majority has; `group`: that of an idempotency key, else the key is its own group."""

    ref: int
    collection: str
    key: bytes
    group: bytes = b""


@dataclass(frozen=True, slots=True)
class Tick:
    """A timer is due."""


Event = MessageReceived | ViewInstalled | Claim | CompleteClaim | ReleaseClaim | Write | Read | Tick


# -- effects


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to a member."""

    to: str
    message: Message


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a claim, write or read."""

    ref: int
    status: AnswerStatus
    entry: Entry


@dataclass(frozen=True, slots=True)
class OutcomeStored:
    """The outcome of this idempotency key is on a majority of its replicas."""

    key: bytes


class LogEvent(StrEnum):
    """The messages of log lines."""

    VIEW_INSTALLED = "replication view installed"
    CAUGHT_UP = "replicated ranges caught up"
    CONFLICTING_OUTCOMES = "conflicting outcomes of one idempotency key"
    OUTCOME_NOT_STORED = "outcome expired before a majority stored it"


@dataclass(frozen=True, slots=True)
class Log:
    """Write a log line."""

    event: LogEvent
    fields: dict[str, object]


Effect = Send | Answer | OutcomeStored | Log
