"""Messages between members as plain values; `codec.py` translates them to and from bytes.

Every message carries its sender and the epoch of the sender's view, so a member with an outdated view detects
this from any message and requests the view.
"""

from __future__ import annotations

from dataclasses import dataclass

from .view import Fact, Member, Proposal, View

Ballot = tuple[int, str]  # round and coordinator; round 0 is the fast round, where all vote without one
FAST_BALLOT: Ballot = (0, "")


@dataclass(frozen=True)
class Alive:
    """Update: a member is alive at an incarnation, which refutes suspicions of lower ones."""

    name: str
    incarnation: int


@dataclass(frozen=True)
class Suspect:
    """Update: `suspected_by` could not reach a member, neither directly nor through helpers."""

    name: str
    incarnation: int
    suspected_by: str


@dataclass(frozen=True)
class Alert:
    """Update: an observer reports that `member` joins or failed, for the view at `epoch`."""

    epoch: int
    observer: str
    is_join: bool
    member: Member


@dataclass(frozen=True)
class FactReport:
    """Update: a member's own value of a fact, for the view at `epoch`; only the highest sequence counts."""

    epoch: int
    reporter: str
    sequence: int
    fact: Fact


GossipUpdate = Alive | Suspect | Alert | FactReport


@dataclass(frozen=True)
class Envelope:
    """The fields that every message carries."""

    sender: str
    epoch: int


@dataclass(frozen=True)
class Ping:
    """A probe, answered with an `Ack` unless its sequence is 0."""

    sequence: int
    updates: tuple[GossipUpdate, ...] = ()


@dataclass(frozen=True)
class PingRequest:
    """A request for an indirect probe of `target`; the sequence is the requester's."""

    sequence: int
    target: str
    address: str


@dataclass(frozen=True)
class Ack:
    """The answer to a probe; `target` is the member that was probed, which may not be the sender."""

    sequence: int
    target: str
    incarnation: int
    updates: tuple[GossipUpdate, ...] = ()


@dataclass(frozen=True)
class Nack:
    """A helper reports that its probe failed too, so the fault is not only on the requester's link."""

    sequence: int


@dataclass(frozen=True)
class Join:
    """A member outside the view asks for admission; seeds relay it to its observers."""

    member: Member
    is_relayed: bool = False


@dataclass(frozen=True)
class Leave:
    """An announced leave, which counts as the alert of every observer."""

    member: Member


@dataclass(frozen=True)
class Sync:
    """The sender's full state: its view and the incarnations that it has recorded."""

    view: View | None
    incarnations: tuple[tuple[str, int], ...] = ()
    is_reply: bool = False


@dataclass(frozen=True)
class Digest:
    """A digest of the sender's full state; a member with another digest answers with a `Sync`."""

    value: bytes


@dataclass(frozen=True)
class Vote:
    """Fast round: the sender's proposal for the next view."""

    proposal: Proposal


@dataclass(frozen=True)
class Votes:
    """Fast round in a large view: proposals, each with a bit mask of the members known to vote for it."""

    tallies: tuple[tuple[Proposal, int], ...]


@dataclass(frozen=True)
class Prepare:
    """Classic round, phase 1: the coordinator asks for promises."""

    ballot: Ballot


@dataclass(frozen=True)
class Promise:
    """Classic round, phase 1: an acceptor's promise, with the ballot and value that it accepted last."""

    ballot: Ballot
    accepted_ballot: Ballot
    value: Proposal | None


@dataclass(frozen=True)
class Accept:
    """Classic round, phase 2: the coordinator asks to accept a value."""

    ballot: Ballot
    value: Proposal


@dataclass(frozen=True)
class Accepted:
    """Classic round, phase 2: an acceptor accepted a value."""

    ballot: Ballot
    value: Proposal


@dataclass(frozen=True)
class StatusRequest:
    """A tool asks for the status, over TCP; answered on the same connection."""

    nonce: int = 0


@dataclass(frozen=True)
class MemberState:
    """The state of one member, as seen by the member that answers."""

    name: str
    state: str  # alive, suspect, or faulty: its suspicion expired, and the view has not changed yet
    in_view_s: float  # seconds since the member joined
    incarnation: int


@dataclass(frozen=True)
class StatusReply:
    """The view, each member's state, the local health score (0 is healthy), and counters."""

    view: View | None
    states: tuple[MemberState, ...] = ()
    health_score: int = 0
    counters: tuple[tuple[str, int], ...] = ()


RoundMessage = Vote | Prepare | Promise | Accept | Accepted  # messages of one epoch's consensus

Body = (
    Ping
    | PingRequest
    | Ack
    | Nack
    | Join
    | Leave
    | Sync
    | Vote
    | Prepare
    | Promise
    | Accept
    | Accepted
    | StatusRequest
    | StatusReply
    | Digest
    | Votes
)

COUNTER_NAMES: dict[type[Body], str] = {
    Ping: "ping",
    PingRequest: "pingreq",
    Ack: "ack",
    Nack: "nack",
    Join: "join",
    Leave: "leave",
    Sync: "sync",
    Vote: "vote",
    Prepare: "prepare",
    Promise: "promise",
    Accept: "accept",
    Accepted: "accepted",
    StatusRequest: "ask",
    StatusReply: "told",
    Digest: "digest",
    Votes: "votes",
}


@dataclass(frozen=True)
class Message:
    """A message with its envelope."""

    envelope: Envelope
    body: Body
