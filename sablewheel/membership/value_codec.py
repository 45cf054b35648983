"""Translates the values inside membership messages to and from protobuf, and checks their bounds."""

from __future__ import annotations

from . import membership_pb2 as pb
from .messages import FAST_BALLOT, Alert, Alive, Ballot, FactReport, GossipUpdate, Suspect
from .view import Change, ChangeKind, Fact, Member, Proposal, View, canonical_proposal

MAX_NAME_CHARACTERS = 128


class BadPacketError(ValueError):
    """A packet that is malformed, out of bounds or of an unsupported version; the text is the reason."""


def decode_name(text: str, field: str) -> str:
    """Check a name or key of a message."""
    if not text or len(text) > MAX_NAME_CHARACTERS:
        raise BadPacketError(f"{field}: a name must have 1 to {MAX_NAME_CHARACTERS} characters")
    return text


def encode_member(member: Member) -> pb.Member:
    """Encode a member."""
    return pb.Member(
        name=member.name,
        address=member.address,
        zone=member.zone,
        region=member.region,
        incarnation=member.incarnation,
        says=[pb.Said(key=key, value=value) for key, value in member.metadata],
    )


def decode_member(encoded: pb.Member) -> Member:
    """Decode a member."""
    metadata = tuple((pair.key, pair.value) for pair in encoded.says)
    try:
        name = decode_name(encoded.name, "member")
        return Member(name, encoded.address, encoded.zone, encoded.region, encoded.incarnation, metadata)
    except ValueError as error:
        raise BadPacketError(f"member: {error}") from None


def encode_view(view: View) -> pb.View:
    """Encode a view."""
    members = [encode_member(member) for member in view.members]
    return pb.View(epoch=view.epoch, members=members, facts=[encode_fact(fact) for fact in view.facts])


def decode_view(encoded: pb.View) -> View:
    """Decode a view."""
    try:
        facts = tuple(decode_fact(fact) for fact in encoded.facts)
        return View(encoded.epoch, tuple(decode_member(member) for member in encoded.members), facts)
    except ValueError as error:
        raise BadPacketError(f"view: {error}") from None


def encode_fact(fact: Fact) -> pb.Fact:
    """Encode a fact."""
    return pb.Fact(key=fact.key, value=fact.value)


def decode_fact(encoded: pb.Fact) -> Fact:
    """Decode a fact."""
    if len(encoded.value) > MAX_NAME_CHARACTERS:
        raise BadPacketError(f"fact: a value must have at most {MAX_NAME_CHARACTERS} characters")
    return Fact(decode_name(encoded.key, "fact"), encoded.value)


def encode_proposal(proposal: Proposal) -> pb.Proposal:
    """Encode a proposal."""
    return pb.Proposal(changes=[_encode_change(change) for change in proposal])


def decode_proposal(encoded: pb.Proposal) -> Proposal:
    """Decode a proposal into its canonical form."""
    return canonical_proposal([_decode_change(change) for change in encoded.changes])


def _encode_change(change: Change) -> pb.Change:
    if change.kind is ChangeKind.FACT:
        return pb.Change(fact=encode_fact(change.fact))
    return pb.Change(join=change.kind is ChangeKind.JOIN, member=encode_member(change.member))


def _decode_change(encoded: pb.Change) -> Change:
    if encoded.HasField("fact"):
        return Change(ChangeKind.FACT, fact=decode_fact(encoded.fact))
    return Change(ChangeKind.JOIN if encoded.join else ChangeKind.REMOVE, decode_member(encoded.member))


def encode_ballot(ballot: Ballot) -> pb.Ballot:
    """Encode a ballot."""
    return pb.Ballot(round=ballot[0], by=ballot[1])


def decode_ballot(encoded: pb.Ballot) -> Ballot:
    """Decode a ballot."""
    return (encoded.round, encoded.by) if encoded.round else FAST_BALLOT


def encode_update(update: GossipUpdate) -> pb.News:
    """Encode a gossip update."""
    match update:
        case Alive(name, incarnation):
            return pb.News(alive=pb.Alive(name=name, incarnation=incarnation))
        case Suspect(name, incarnation, suspected_by):
            return pb.News(suspect=pb.Suspect(name=name, incarnation=incarnation, by=suspected_by))
        case FactReport(epoch, reporter, sequence, fact):
            encoded = pb.Judgement(epoch=epoch, by=reporter, turn=sequence, fact=encode_fact(fact))
            return pb.News(judgement=encoded)
        case Alert(epoch, observer, is_join, member):
            alert = pb.Alert(epoch=epoch, by=observer, join=is_join, member=encode_member(member))
            return pb.News(alert=alert)


def decode_update(encoded: pb.News) -> GossipUpdate:
    """Decode a gossip update."""
    match encoded.WhichOneof("item"):
        case "alive":
            return Alive(decode_name(encoded.alive.name, "alive"), encoded.alive.incarnation)
        case "suspect":
            suspect = encoded.suspect
            name = decode_name(suspect.name, "suspect")
            return Suspect(name, suspect.incarnation, decode_name(suspect.by, "by"))
        case "judgement":
            report = encoded.judgement
            reporter = decode_name(report.by, "by")
            return FactReport(report.epoch, reporter, report.turn, decode_fact(report.fact))
        case "alert":
            alert = encoded.alert
            observer = decode_name(alert.by, "by")
            return Alert(alert.epoch, observer, alert.join, decode_member(alert.member))
    raise BadPacketError("gossip update without an item")
