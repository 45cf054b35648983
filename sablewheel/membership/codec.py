"""Encodes membership messages as datagrams and TCP frames (protobuf, `membership.proto`), with size limits.

A packet that is too large, malformed or of an unsupported version raises `BadPacketError` with the reason.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

from google.protobuf.message import DecodeError

from . import membership_pb2 as pb
from .messages import (
    Accept,
    Accepted,
    Ack,
    Body,
    Digest,
    Envelope,
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
    Sync,
    Vote,
    Votes,
)
from .value_codec import (
    MAX_NAME_CHARACTERS,
    BadPacketError,
    decode_ballot,
    decode_member,
    decode_name,
    decode_proposal,
    decode_update,
    decode_view,
    encode_ballot,
    encode_member,
    encode_proposal,
    encode_update,
    encode_view,
)

__all__ = [
    "FRAME_LENGTH",
    "MAX_FRAME_BYTES",
    "MAX_NAME_CHARACTERS",
    "MAX_PACKET_BYTES",
    "BadPacketError",
    "decode",
    "encode",
    "encode_frame",
    "frame_length",
]

VERSION = 1
MAX_PACKET_BYTES = 60_000  # below the 65,507 bytes of a UDP datagram on IPv4
MAX_FRAME_BYTES = 4 << 20  # a full state of 40,000 members without metadata or 1,700 with maximum metadata
MAX_DIGEST_BYTES = 32
FRAME_LENGTH = struct.Struct(">I")


def encode(message: Message, max_bytes: int = MAX_PACKET_BYTES) -> bytes:
    """Encode a message.

    Raises:
        BadPacketError: The packet is larger than `max_bytes`.
    """
    packet = pb.Packet(version=VERSION, sender=message.envelope.sender, epoch=message.envelope.epoch)
    _ENCODERS[type(message.body)](packet, message.body)
    data = packet.SerializeToString()
    if len(data) > max_bytes:
        raise BadPacketError(f"packet of {len(data)} bytes exceeds the limit of {max_bytes} bytes")
    return data


def encode_frame(message: Message) -> bytes:
    """Encode a message for TCP: the length in four bytes, then the packet."""
    data = encode(message, MAX_FRAME_BYTES)
    return FRAME_LENGTH.pack(len(data)) + data


def frame_length(header: bytes) -> int:
    """Return the length of the packet that follows a frame's header.

    Raises:
        BadPacketError: The frame is too large.
    """
    length = int(FRAME_LENGTH.unpack(header)[0])
    if length > MAX_FRAME_BYTES:
        raise BadPacketError(f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")
    return length


def decode(data: bytes, max_bytes: int = MAX_PACKET_BYTES) -> Message:
    """Decode a packet.

    Raises:
        BadPacketError: The packet is too large, malformed, out of bounds or of an unsupported version.
    """
    if len(data) > max_bytes:
        raise BadPacketError(f"packet of {len(data)} bytes exceeds the limit of {max_bytes} bytes")
    packet = pb.Packet()
    try:
        packet.ParseFromString(data)
    except DecodeError as error:
        raise BadPacketError(f"malformed packet: {error}") from None
    if packet.version != VERSION:
        raise BadPacketError(f"unsupported packet version {packet.version}, expected {VERSION}")
    body_name = packet.WhichOneof("body")
    if body_name is None:
        raise BadPacketError("packet without a body")
    sender = decode_name(packet.sender, "sender")
    body = _DECODERS[body_name](getattr(packet, body_name))
    return Message(Envelope(sender, packet.epoch), body)


# -- encoders, which set the body of a packet


def _encode_ping(packet: pb.Packet, body: Ping) -> None:
    packet.ping.seq = body.sequence
    packet.ping.news.extend(encode_update(update) for update in body.updates)


def _encode_ping_request(packet: pb.Packet, body: PingRequest) -> None:
    encoded = pb.PingReq(seq=body.sequence, target=body.target, address=body.address)
    packet.ping_req.CopyFrom(encoded)


def _encode_ack(packet: pb.Packet, body: Ack) -> None:
    packet.ack.CopyFrom(pb.Ack(seq=body.sequence, of=body.target, incarnation=body.incarnation))
    packet.ack.news.extend(encode_update(update) for update in body.updates)


def _encode_nack(packet: pb.Packet, body: Nack) -> None:
    packet.nack.seq = body.sequence


def _encode_join(packet: pb.Packet, body: Join) -> None:
    packet.join.CopyFrom(pb.Join(member=encode_member(body.member), relayed=body.is_relayed))


def _encode_leave(packet: pb.Packet, body: Leave) -> None:
    packet.leave.member.CopyFrom(encode_member(body.member))


def _encode_sync(packet: pb.Packet, body: Sync) -> None:
    packet.sync.reply = body.is_reply
    packet.sync.has_view = body.view is not None
    if body.view is not None:
        packet.sync.view.CopyFrom(encode_view(body.view))
    packet.sync.incarnations.extend(
        pb.Incarnation(name=name, incarnation=incarnation) for name, incarnation in body.incarnations
    )


def _encode_vote(packet: pb.Packet, body: Vote) -> None:
    packet.vote.proposal.CopyFrom(encode_proposal(body.proposal))


def _encode_votes(packet: pb.Packet, body: Votes) -> None:
    for proposal, voters in body.tallies:
        tally = packet.votes.tallies.add()
        tally.proposal.CopyFrom(encode_proposal(proposal))
        tally.voters = voters.to_bytes((voters.bit_length() + 7) // 8, "little")


def _encode_prepare(packet: pb.Packet, body: Prepare) -> None:
    packet.prepare.ballot.CopyFrom(encode_ballot(body.ballot))


def _encode_promise(packet: pb.Packet, body: Promise) -> None:
    packet.promise.ballot.CopyFrom(encode_ballot(body.ballot))
    packet.promise.voted.CopyFrom(encode_ballot(body.accepted_ballot))
    packet.promise.has_value = body.value is not None
    if body.value is not None:
        packet.promise.value.CopyFrom(encode_proposal(body.value))


def _encode_accept(packet: pb.Packet, body: Accept) -> None:
    ballot, value = encode_ballot(body.ballot), encode_proposal(body.value)
    packet.accept.CopyFrom(pb.Accept(ballot=ballot, value=value))


def _encode_accepted(packet: pb.Packet, body: Accepted) -> None:
    ballot, value = encode_ballot(body.ballot), encode_proposal(body.value)
    packet.accepted.CopyFrom(pb.Accepted(ballot=ballot, value=value))


def _encode_status_request(packet: pb.Packet, body: StatusRequest) -> None:
    packet.ask.nonce = body.nonce


def _encode_status_reply(packet: pb.Packet, body: StatusReply) -> None:
    packet.told.CopyFrom(pb.Told(has_view=body.view is not None, health=body.health_score))
    if body.view is not None:
        packet.told.view.CopyFrom(encode_view(body.view))
    packet.told.states.extend(
        pb.MemberState(
            name=state.name, state=state.state, for_s=state.in_view_s, incarnation=state.incarnation
        )
        for state in body.states
    )
    packet.told.counts.extend(pb.Count(name=name, count=count) for name, count in body.counters)


def _encode_digest(packet: pb.Packet, body: Digest) -> None:
    packet.digest.value = body.value


_ENCODERS: dict[type[Body], Callable[[pb.Packet, Any], None]] = {
    Ping: _encode_ping,
    PingRequest: _encode_ping_request,
    Ack: _encode_ack,
    Nack: _encode_nack,
    Join: _encode_join,
    Leave: _encode_leave,
    Sync: _encode_sync,
    Vote: _encode_vote,
    Votes: _encode_votes,
    Prepare: _encode_prepare,
    Promise: _encode_promise,
    Accept: _encode_accept,
    Accepted: _encode_accepted,
    StatusRequest: _encode_status_request,
    StatusReply: _encode_status_reply,
    Digest: _encode_digest,
}


# -- decoders, which read the body of a packet


def _decode_ping(encoded: pb.Ping) -> Body:
    return Ping(encoded.seq, tuple(decode_update(update) for update in encoded.news))


def _decode_ping_request(encoded: pb.PingReq) -> Body:
    return PingRequest(encoded.seq, decode_name(encoded.target, "target"), encoded.address)


def _decode_ack(encoded: pb.Ack) -> Body:
    updates = tuple(decode_update(update) for update in encoded.news)
    return Ack(encoded.seq, decode_name(encoded.of, "of"), encoded.incarnation, updates)


def _decode_nack(encoded: pb.Nack) -> Body:
    return Nack(encoded.seq)


def _decode_join(encoded: pb.Join) -> Body:
    return Join(decode_member(encoded.member), encoded.relayed)


def _decode_leave(encoded: pb.Leave) -> Body:
    return Leave(decode_member(encoded.member))


def _decode_sync(encoded: pb.Sync) -> Body:
    view = decode_view(encoded.view) if encoded.has_view else None
    incarnations = tuple(
        (decode_name(entry.name, "name"), entry.incarnation) for entry in encoded.incarnations
    )
    return Sync(view, incarnations, encoded.reply)


def _decode_vote(encoded: pb.Vote) -> Body:
    return Vote(decode_proposal(encoded.proposal))


def _decode_votes(encoded: pb.Votes) -> Body:
    return Votes(
        tuple(
            (decode_proposal(tally.proposal), int.from_bytes(tally.voters, "little"))
            for tally in encoded.tallies
        )
    )


def _decode_prepare(encoded: pb.Prepare) -> Body:
    return Prepare(decode_ballot(encoded.ballot))


def _decode_promise(encoded: pb.Promise) -> Body:
    value = decode_proposal(encoded.value) if encoded.has_value else None
    return Promise(decode_ballot(encoded.ballot), decode_ballot(encoded.voted), value)


def _decode_accept(encoded: pb.Accept) -> Body:
    return Accept(decode_ballot(encoded.ballot), decode_proposal(encoded.value))


def _decode_accepted(encoded: pb.Accepted) -> Body:
    return Accepted(decode_ballot(encoded.ballot), decode_proposal(encoded.value))


def _decode_status_request(encoded: pb.Ask) -> Body:
    return StatusRequest(encoded.nonce)


def _decode_status_reply(encoded: pb.Told) -> Body:
    view = decode_view(encoded.view) if encoded.has_view else None
    states = tuple(
        MemberState(state.name, state.state, state.for_s, state.incarnation) for state in encoded.states
    )
    counters = tuple((counter.name, counter.count) for counter in encoded.counts)
    return StatusReply(view, states, encoded.health, counters)


def _decode_digest(encoded: pb.Digest) -> Body:
    if len(encoded.value) > MAX_DIGEST_BYTES:
        raise BadPacketError(f"digest: exceeds the limit of {MAX_DIGEST_BYTES} bytes")
    return Digest(encoded.value)


_DECODERS: dict[str, Callable[[Any], Body]] = {
    "ping": _decode_ping,
    "ping_req": _decode_ping_request,
    "ack": _decode_ack,
    "nack": _decode_nack,
    "join": _decode_join,
    "leave": _decode_leave,
    "sync": _decode_sync,
    "vote": _decode_vote,
    "votes": _decode_votes,
    "prepare": _decode_prepare,
    "promise": _decode_promise,
    "accept": _decode_accept,
    "accepted": _decode_accepted,
    "ask": _decode_status_request,
    "told": _decode_status_reply,
    "digest": _decode_digest,
}
