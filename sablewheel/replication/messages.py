"""The messages between replicas, and the events and effects of one replica, as plain values.

Messages carry remaining lifetimes in seconds rather than times, because the members' clocks may differ.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .entries import EMPTY, AnswerStatus, Ballot, Entry, Key, OutcomeStatus
from .placement import Sites


@dataclass(frozen=True, slots=True)
class Prepare:
    """A request to promise a ballot.

    Attributes:
        epoch: The epoch of the sender's view, as in all messages.
        ref: The sender's number for the proposal or request, as in all messages.
        key: The key of the register.
        slot: The range of the key.
        ballot: The ballot to promise.
        remaining_s: The remaining lifetime of the entry.
        group: The group that determines the range of the key.
        binding_version: The version of the session's binding that the claim relies on; 0 if none.
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
    """A promise to accept nothing below the ballot; `entry` is the stored entry."""

    epoch: int
    ref: int
    ballot: Ballot
    entry: Entry


@dataclass(frozen=True, slots=True)
class Accept:
    """A request to accept an entry under its ballot.

    A replica that accepts it also promises the next round to the same proposer, whose next change of the key
    then needs one round trip.
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
    """A confirmation that the entry with this ballot was accepted."""

    epoch: int
    ref: int
    ballot: Ballot


class RefusalReason(StrEnum):
    """Why a replica refuses a request; the values are part of the packet format."""

    BALLOT = "ballot"  # a higher ballot is promised
    NOT_READY = "unready"  # the replica's copy of the range is not caught up
    FULL = "full"  # the replica has no capacity for the entry
    FENCED = "fenced"  # the session's binding has a later version
    EPOCH = "epoch"  # the message is of an older view


@dataclass(frozen=True, slots=True)
class Refuse:
    """A refusal.

    Attributes:
        epoch: The epoch of the refusing replica.
        ref: The requester's number for the proposal or request.
        reason: Why the request was refused.
        ballot: The promised ballot if the reason is `BALLOT`, else `NO_BALLOT`.
        refused: The ballot that was refused.
        entry: The stored entry if the reason is `BALLOT`, else the empty one.
    """

    epoch: int
    ref: int
    reason: RefusalReason
    ballot: Ballot
    refused: Ballot
    entry: Entry = EMPTY


@dataclass(frozen=True, slots=True)
class Push:
    """A request to merge an entry that has an outcome."""

    epoch: int
    ref: int
    key: Key
    slot: int
    entry: Entry
    remaining_s: float


@dataclass(frozen=True, slots=True)
class Pushed:
    """A confirmation that the pushed entry was merged into a range that is ready."""

    epoch: int
    ref: int


@dataclass(frozen=True, slots=True)
class Fetch:
    """A request for the entry of a key."""

    epoch: int
    ref: int
    key: Key
    slot: int


@dataclass(frozen=True, slots=True)
class Fetched:
    """The answer to `Fetch`: the stored entry."""

    epoch: int
    ref: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class RequestViews:
    """A request for the views before the epoch `before`."""

    epoch: int
    before: int


@dataclass(frozen=True, slots=True)
class PastViews:
    """The answer to `RequestViews`: the sender's latest views before `before`, as epochs and members."""

    epoch: int
    incarnation: int
    before: int
    views: tuple[tuple[int, Sites], ...]


@dataclass(frozen=True, slots=True)
class CompareRanges:
    """A request for the state of ranges, given as pairs of slot and the requester's digest."""

    epoch: int
    ranges: tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True)
class RangeStates:
    """The answer to `CompareRanges`.

    Each range has its slot, the last epoch at which the sender was ready (0 if never), and whether the
    digests are equal.
    """

    epoch: int
    incarnation: int
    ranges: tuple[tuple[int, int, bool], ...]


@dataclass(frozen=True, slots=True)
class FetchRange:
    """A request for the entries of a range after a key."""

    epoch: int
    slot: int
    after: Key


@dataclass(frozen=True, slots=True)
class RangeChunk:
    """Entries of a range in key order, with their remaining lifetimes; `is_last` marks the last chunk."""

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
    """A message from another member."""

    sender: str
    message: Message


@dataclass(frozen=True, slots=True)
class ViewInstalled:
    """A new view; `removed`: incarnations that have permanently left by agreement of the fleet."""

    epoch: int
    sites: Sites
    removed: tuple[tuple[str, int], ...] = ()


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim of an idempotency key before its run; no other owner may run it for `lifetime_s` from now.

    Attributes:
        ref: The number of the claim, which its answer repeats.
        key: The idempotency key.
        group: The group that determines the range of the key.
        lifetime_s: The lifetime of the claim.
        digest: The digest of the request that the key stands for.
        binding_version: The version of the session's binding that the claim relies on; 0 if none.
    """

    ref: int
    key: bytes
    group: bytes
    lifetime_s: float
    digest: bytes
    binding_version: int = 0


@dataclass(frozen=True, slots=True)
class CompleteClaim:
    """The end of the run of a won claim."""

    key: bytes
    status: OutcomeStatus
    result: bytes


@dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """The release of a won claim whose run will not start."""

    key: bytes


@dataclass(frozen=True, slots=True)
class Write:
    """A change of a value if its version is as expected; the new version is at least `min_version`."""

    ref: int
    collection: str
    key: bytes
    expected_version: int
    value: bytes
    lifetime_s: float
    min_version: int = 0


@dataclass(frozen=True, slots=True)
class Read:
    """A read from a majority; `group`: the group of an idempotency key, empty if the key is its own group."""

    ref: int
    collection: str
    key: bytes
    group: bytes = b""


@dataclass(frozen=True, slots=True)
class Tick:
    """The expiry of a timer."""


Event = MessageReceived | ViewInstalled | Claim | CompleteClaim | ReleaseClaim | Write | Read | Tick


# -- effects


@dataclass(frozen=True, slots=True)
class Send:
    """A message to send to a member."""

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
    """The notice that a majority of replicas has stored the outcome of this idempotency key."""

    key: bytes


class LogEvent(StrEnum):
    """The messages of log lines; their fields are added to them."""

    VIEW_INSTALLED = "replication view installed"
    CAUGHT_UP = "replicated ranges caught up"
    CONFLICTING_OUTCOMES = "conflicting outcomes of one idempotency key"
    OUTCOME_NOT_STORED = "outcome expired before a majority stored it"


@dataclass(frozen=True, slots=True)
class Log:
    """A log line to write."""

    event: LogEvent
    fields: dict[str, object]


Effect = Send | Answer | OutcomeStored | Log
