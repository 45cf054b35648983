"""What members say to each other, as plain values; `codec` turns them into bytes and back.

Every message names its sender and the epoch of the view it holds, so a member that is behind learns it from
any packet and asks for the view.
"""

from __future__ import annotations

from dataclasses import dataclass

from .view import Fact, Member, Proposal, View

Ballot = tuple[int, str]  # round, coordinator; round 0 is the fast round, where every member votes alone
FAST_BALLOT: Ballot = (0, "")


@dataclass(frozen=True)
class Alive:
    """News: `name` is alive at `incarnation`; a higher incarnation refutes any suspicion below it."""

    name: str
    incarnation: int


@dataclass(frozen=True)
class Suspect:
    """News: `by` could not reach `name` at `incarnation`, directly or through others."""

    name: str
    incarnation: int
    suspected_by: str


@dataclass(frozen=True)
class Alert:
    """News: observer `by` reports a change of `change.member` for the view at `epoch`."""

    epoch: int
    observer: str
    is_join: bool
    member: Member


@dataclass(frozen=True)
class FactReport:
    """News: `by` holds that `fact` is due, for the view at `epoch`; its latest by `turn` counts."""

    epoch: int
    reporter: str
    sequence: int
    fact: Fact


GossipUpdate = Alive | Suspect | Alert | FactReport


@dataclass(frozen=True)
class Envelope:
    """What every message carries besides its own fields."""

    sender: str
    epoch: int


@dataclass(frozen=True)
class Ping:
    """A probe: answer with `Ack` to the sender."""

    sequence: int
    updates: tuple[GossipUpdate, ...] = ()


@dataclass(frozen=True)
class PingRequest:
    """Probe `target` for me and tell me; `seq` is mine."""

    sequence: int
    target: str
    address: str


@dataclass(frozen=True)
class Ack:
    """The answer to a probe; `of` is the member that was probed, who may not be the sender."""

    sequence: int
    target: str
    incarnation: int
    updates: tuple[GossipUpdate, ...] = ()


@dataclass(frozen=True)
class Nack:
    """A helper asked to probe got no answer itself: the asker's own link is not the only one at fault."""

    sequence: int


@dataclass(frozen=True)
class Join:
    """A member that is not in the view asks to be let in; seeds pass it on to its observers."""

    member: Member
    is_relayed: bool = False


@dataclass(frozen=True)
class Leave:
    """Said on the way out: not detected, but taken as every observer's report."""

    member: Member


@dataclass(frozen=True)
class Sync:
    """Full state, to heal what gossip lost: the sender's view and what it knows of incarnations."""

    view: View | None
    incarnations: tuple[tuple[str, int], ...] = ()
    is_reply: bool = False


@dataclass(frozen=True)
class Digest:
    """Of the sender's full state: who holds another answers with a `Sync`; the same costs a datagram."""

    value: bytes


@dataclass(frozen=True)
class Vote:
    """Fast round: the sender's proposal for the view after `epoch`."""

    proposal: Proposal


@dataclass(frozen=True)
class Votes:
    """Fast round in a large view: proposals, each with who is known to have voted for it, a bit a member."""

    tallies: tuple[tuple[Proposal, int], ...]


@dataclass(frozen=True)
class Prepare:
    ballot: Ballot


@dataclass(frozen=True)
class Promise:
    ballot: Ballot
    accepted_ballot: Ballot
    value: Proposal | None


@dataclass(frozen=True)
class Accept:
    ballot: Ballot
    value: Proposal


@dataclass(frozen=True)
class Accepted:
    ballot: Ballot
    value: Proposal


@dataclass(frozen=True)
class StatusRequest:
    """From a tool, not a member, over TCP only: `Told` on the same connection, whatever the epoch."""

    nonce: int = 0


@dataclass(frozen=True)
class MemberState:
    """One member as the one asked holds it: `for_s` is how long it has been in the view."""

    name: str
    state: str  # alive, suspect or faulty (its suspicion ran out; the view has not changed yet)
    in_view_s: float
    incarnation: int


@dataclass(frozen=True)
class StatusReply:
    """What a tool is told: the view, each member's state, the local health, and counters."""

    view: View | None
    states: tuple[MemberState, ...] = ()
    health_score: int = 0
    counters: tuple[tuple[str, int], ...] = ()


RoundMessage = Vote | Prepare | Promise | Accept | Accepted  # what belongs to one epoch's agreement alone

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
    envelope: Envelope
    body: Body
