"""Membership's messages as datagrams or frames (protobuf, `membership.proto`), bounded and checked coming in.

A packet that is too large, of another version, garbled or foreign raises `BadPacketError` with what was
wrong; the shell counts it and drops it, and nothing else happens.
"""

from __future__ import annotations

import struct

from google.protobuf.message import DecodeError

from . import membership_pb2 as pb
from .messages import (
    FAST_BALLOT,
    Accept,
    Accepted,
    Ack,
    Alert,
    Alive,
    Ballot,
    Body,
    Digest,
    Envelope,
    FactReport,
    GossipUpdate,
    Join,
    Leave,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    Prepare,
    Promise,
    StatusReply,
    StatusRequest,
    Suspect,
    Sync,
    Vote,
    Votes,
)
from .view import Change, ChangeKind, Fact, Member, Proposal, View, proposal

VERSION = 1
MAX_PACKET_BYTES = 60_000  # under a UDP datagram's 65,507 bytes on IPv4
MAX_NAME_CHARACTERS = 128
MAX_FRAME_BYTES = (
    4 << 20
)  # full state over TCP; about 40,000 members that say nothing, 1,700 that say the most
FRAME_LENGTH = struct.Struct(">I")


class BadPacketError(ValueError):
    """Not one of ours, or not whole; the reason is its text."""


def encode(message: Message, most: int = MAX_PACKET_BYTES) -> bytes:
    packet = pb.Packet(version=VERSION, sender=message.envelope.sender, epoch=message.envelope.epoch)
    body = message.body
    match body:
        case Ping(seq, news):
            packet.ping.seq = seq
            packet.ping.news.extend(_news_out(one) for one in news)
        case PingRequest(seq, target, address):
            packet.ping_req.CopyFrom(pb.PingReq(seq=seq, target=target, address=address))
        case Ack(seq, of, incarnation, news):
            packet.ack.CopyFrom(pb.Ack(seq=seq, of=of, incarnation=incarnation))
            packet.ack.news.extend(_news_out(one) for one in news)
        case Nack(seq):
            packet.nack.seq = seq
        case Join(member, relayed):
            packet.join.CopyFrom(pb.Join(member=_member_out(member), relayed=relayed))
        case Leave(member):
            packet.leave.member.CopyFrom(_member_out(member))
        case Sync(view, incarnations, reply):
            packet.sync.reply = reply
            packet.sync.has_view = view is not None
            if view is not None:
                packet.sync.view.CopyFrom(_view_out(view))
            packet.sync.incarnations.extend(pb.Incarnation(name=n, incarnation=i) for n, i in incarnations)
        case Vote(cut):
            packet.vote.proposal.CopyFrom(_proposal_out(cut))
        case Prepare(ballot):
            packet.prepare.ballot.CopyFrom(_ballot_out(ballot))
        case Promise(ballot, voted, value):
            packet.promise.ballot.CopyFrom(_ballot_out(ballot))
            packet.promise.voted.CopyFrom(_ballot_out(voted))
            packet.promise.has_value = value is not None
            if value is not None:
                packet.promise.value.CopyFrom(_proposal_out(value))
        case Accept(ballot, value):
            packet.accept.CopyFrom(pb.Accept(ballot=_ballot_out(ballot), value=_proposal_out(value)))
        case Accepted(ballot, value):
            packet.accepted.CopyFrom(pb.Accepted(ballot=_ballot_out(ballot), value=_proposal_out(value)))
        case StatusRequest(nonce):
            packet.ask.nonce = nonce
        case Votes(tallies):
            for cut, bits in tallies:
                tally = packet.votes.tallies.add()
                tally.proposal.CopyFrom(_proposal_out(cut))
                tally.voters = bits.to_bytes((bits.bit_length() + 7) // 8, "little")
        case Digest(value):
            packet.digest.value = value
        case StatusReply(view, states, health, counts):
            packet.told.CopyFrom(pb.Told(has_view=view is not None, health=health))
            if view is not None:
                packet.told.view.CopyFrom(_view_out(view))
            packet.told.states.extend(
                pb.MemberState(name=s.name, state=s.state, for_s=s.in_view_s, incarnation=s.incarnation)
                for s in states
            )
            packet.told.counts.extend(pb.Count(name=name, count=count) for name, count in counts)
    data = packet.SerializeToString()
    if len(data) > most:
        raise BadPacketError(f"{len(data)} bytes, over {most}")
    return data


def frame(message: Message) -> bytes:
    """For TCP: the length in four bytes, then the packet."""
    data = encode(message, MAX_FRAME_BYTES)
    return FRAME_LENGTH.pack(len(data)) + data


def frame_length(head: bytes) -> int:
    length = int(FRAME_LENGTH.unpack(head)[0])
    if length > MAX_FRAME_BYTES:
        raise BadPacketError(f"a frame of {length} bytes, over {MAX_FRAME_BYTES}")
    return length


def decode(data: bytes, most: int = MAX_PACKET_BYTES) -> Message:
    if len(data) > most:
        raise BadPacketError(f"{len(data)} bytes, over {most}")
    packet = pb.Packet()
    try:
        packet.ParseFromString(data)
    except DecodeError as error:
        raise BadPacketError(f"garbled: {error}") from None
    if packet.version != VERSION:
        raise BadPacketError(f"version {packet.version}, this member speaks {VERSION}")
    which = packet.WhichOneof("body")
    if which is None:
        raise BadPacketError("no body")
    _name(packet.sender, "sender")
    envelope = Envelope(packet.sender, packet.epoch)
    return Message(envelope, _body(packet, which))


def _body(packet: pb.Packet, which: str) -> Body:
    match which:
        case "ping":
            return Ping(packet.ping.seq, tuple(_news_in(one) for one in packet.ping.news))
        case "ping_req":
            one = packet.ping_req
            return PingRequest(one.seq, _name(one.target, "target"), one.address)
        case "ack":
            ack = packet.ack
            news = tuple(_news_in(one) for one in ack.news)
            return Ack(ack.seq, _name(ack.of, "of"), ack.incarnation, news)
        case "nack":
            return Nack(packet.nack.seq)
        case "join":
            return Join(_member_in(packet.join.member), packet.join.relayed)
        case "leave":
            return Leave(_member_in(packet.leave.member))
        case "sync":
            sync = packet.sync
            view = _view_in(sync.view) if sync.has_view else None
            pairs = tuple((_name(one.name, "name"), one.incarnation) for one in sync.incarnations)
            return Sync(view, pairs, sync.reply)
        case "vote":
            return Vote(_proposal_in(packet.vote.proposal))
        case "prepare":
            return Prepare(_ballot_in(packet.prepare.ballot))
        case "promise":
            promise = packet.promise
            value = _proposal_in(promise.value) if promise.has_value else None
            return Promise(_ballot_in(promise.ballot), _ballot_in(promise.voted), value)
        case "accept":
            return Accept(_ballot_in(packet.accept.ballot), _proposal_in(packet.accept.value))
        case "accepted":
            return Accepted(_ballot_in(packet.accepted.ballot), _proposal_in(packet.accepted.value))
        case "ask":
            return StatusRequest(packet.ask.nonce)
        case "votes":
            return Votes(
                tuple(
                    (_proposal_in(one.proposal), int.from_bytes(one.voters, "little"))
                    for one in packet.votes.tallies
                )
            )
        case "digest":
            if len(packet.digest.value) > 32:
                raise BadPacketError("digest: at most 32 bytes are wanted")
            return Digest(packet.digest.value)
        case "told":
            told = packet.told
            states = tuple(MemberState(s.name, s.state, s.for_s, s.incarnation) for s in told.states)
            counts = tuple((one.name, one.count) for one in told.counts)
            return StatusReply(_view_in(told.view) if told.has_view else None, states, told.health, counts)
    raise BadPacketError(f"unknown body {which}")


def _name(text: str, field: str) -> str:
    if not text or len(text) > MAX_NAME_CHARACTERS:
        raise BadPacketError(f"{field}: a name of 1 to {MAX_NAME_CHARACTERS} characters is wanted")
    return text


def _member_out(member: Member) -> pb.Member:
    return pb.Member(
        name=member.name,
        address=member.address,
        zone=member.zone,
        region=member.region,
        incarnation=member.incarnation,
        says=[pb.Said(key=key, value=value) for key, value in member.metadata],
    )


def _member_in(one: pb.Member) -> Member:
    says = tuple((said.key, said.value) for said in one.says)
    try:
        return Member(_name(one.name, "member"), one.address, one.zone, one.region, one.incarnation, says)
    except ValueError as error:
        raise BadPacketError(f"member: {error}") from None


def _view_out(view: View) -> pb.View:
    facts = [pb.Fact(key=one.key, value=one.value) for one in view.facts]
    return pb.View(epoch=view.epoch, members=[_member_out(one) for one in view.members], facts=facts)


def _view_in(one: pb.View) -> View:
    try:
        facts = tuple(_fact_in(fact) for fact in one.facts)
        return View(one.epoch, tuple(_member_in(member) for member in one.members), facts)
    except ValueError as error:
        raise BadPacketError(f"view: {error}") from None


def _proposal_out(cut: Proposal) -> pb.Proposal:
    return pb.Proposal(changes=[_change_out(one) for one in cut])


def _change_out(one: Change) -> pb.Change:
    if one.kind is ChangeKind.FACT:
        return pb.Change(fact=pb.Fact(key=one.fact.key, value=one.fact.value))
    return pb.Change(join=one.kind is ChangeKind.JOIN, member=_member_out(one.member))


def _change_in(one: pb.Change) -> Change:
    if one.HasField("fact"):
        return Change(ChangeKind.FACT, fact=_fact_in(one.fact))
    return Change(ChangeKind.JOIN if one.join else ChangeKind.REMOVE, _member_in(one.member))


def _fact_in(one: pb.Fact) -> Fact:
    if len(one.value) > MAX_NAME_CHARACTERS:
        raise BadPacketError(f"fact: a value of at most {MAX_NAME_CHARACTERS} characters is wanted")
    return Fact(_name(one.key, "fact"), one.value)


def _proposal_in(one: pb.Proposal) -> Proposal:
    return proposal([_change_in(change) for change in one.changes])


def _ballot_out(ballot: Ballot) -> pb.Ballot:
    return pb.Ballot(round=ballot[0], by=ballot[1])


def _ballot_in(one: pb.Ballot) -> Ballot:
    return (one.round, one.by) if one.round else FAST_BALLOT


def _news_out(item: GossipUpdate) -> pb.News:
    match item:
        case Alive(name, incarnation):
            return pb.News(alive=pb.Alive(name=name, incarnation=incarnation))
        case Suspect(name, incarnation, by):
            return pb.News(suspect=pb.Suspect(name=name, incarnation=incarnation, by=by))
        case FactReport(epoch, by, turn, fact):
            told = pb.Fact(key=fact.key, value=fact.value)
            return pb.News(judgement=pb.Judgement(epoch=epoch, by=by, turn=turn, fact=told))
        case Alert(epoch, by, join, member):
            return pb.News(alert=pb.Alert(epoch=epoch, by=by, join=join, member=_member_out(member)))


def _news_in(one: pb.News) -> GossipUpdate:
    match one.WhichOneof("item"):
        case "alive":
            return Alive(_name(one.alive.name, "alive"), one.alive.incarnation)
        case "suspect":
            sus = one.suspect
            return Suspect(_name(sus.name, "suspect"), sus.incarnation, _name(sus.by, "by"))
        case "judgement":
            said = one.judgement
            return FactReport(said.epoch, _name(said.by, "by"), said.turn, _fact_in(said.fact))
        case "alert":
            alert = one.alert
            return Alert(alert.epoch, _name(alert.by, "by"), alert.join, _member_in(alert.member))
    raise BadPacketError("news without an item")
