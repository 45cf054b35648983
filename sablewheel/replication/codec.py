"""Encodes and decodes the packets of replication; data outside its bounds is refused. Pure.

The field names of the protobuf messages are those of docs/replication-format.md. This module maps them to the
names of `messages`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from google.protobuf.message import DecodeError

from . import replication_pb2 as pb
from .messages import (
    Accept,
    Accepted,
    CompareRanges,
    Fetch,
    Fetched,
    FetchRange,
    Message,
    PastViews,
    Prepare,
    Promise,
    Push,
    Pushed,
    RangeChunk,
    RangeStates,
    RefusalReason,
    Refuse,
    RequestViews,
)
from .packet_fields import (
    BadPacketError,
    check_count,
    check_key,
    check_lifetime,
    decode_ballot,
    decode_entry,
    decode_key,
    decode_site,
    encode_ballot,
    encode_entry,
    encode_key,
    encode_site,
)

VERSION = 1
MAX_RANGES = MAX_ENTRIES = 1024  # in one packet
MAX_VIEWS = 16
MAX_SITES = 10_000


def encode(message: Message, ranges: int = 0, copies: int = 0) -> bytes:
    """Encode a message as a packet.

    Args:
        message: The message.
        ranges: Number of ranges into which the sender divides the keys.
        copies: Number of replicas of each range in the sender's settings.
    """
    ref = getattr(message, "ref", 0)
    packet = pb.Packet(version=VERSION, epoch=message.epoch, ref=ref, ranges=ranges, copies=copies)
    _ENCODERS[type(message)](packet, message)
    return packet.SerializeToString()


def decode(data: bytes, ranges: int = 0, copies: int = 0) -> Message:
    """Decode the message of a packet.

    Packets of a sender with another number of ranges or copies are refused, because the same slot has other
    replicas there. This happens when the replication settings of two servers differ.

    Raises:
        BadPacketError: The data is not a packet, has another version, an unknown kind or other numbers of
            ranges or copies, or has a value outside its bounds.
    """
    try:
        packet = pb.Packet.FromString(data)
    except DecodeError:
        raise BadPacketError("data is not a replication packet") from None
    if packet.version != VERSION:
        raise BadPacketError(f"packet version {packet.version} is not supported, expected {VERSION}")
    if (packet.ranges, packet.copies) != (ranges, copies):
        raise BadPacketError(
            f"sender uses {packet.ranges} ranges and {packet.copies} copies, expected {ranges} and {copies}"
        )
    decoder = _DECODERS.get(packet.WhichOneof("body") or "")
    if decoder is None:
        raise BadPacketError("packet of an unknown kind")
    return decoder(packet)


# -- encoding, one function for each kind of message


def _encode_prepare(packet: pb.Packet, message: Prepare) -> None:
    change = _encode_change(message, message.remaining_s, message.group, message.binding_version)
    change.ballot.CopyFrom(encode_ballot(message.ballot))
    packet.prepare.CopyFrom(change)


def _encode_accept(packet: pb.Packet, message: Accept) -> None:
    change = _encode_change(message, message.remaining_s, message.group, message.binding_version)
    change.entry.CopyFrom(encode_entry(message.entry))
    packet.accept.CopyFrom(change)


def _encode_push(packet: pb.Packet, message: Push) -> None:
    change = _encode_change(message, message.remaining_s)
    change.entry.CopyFrom(encode_entry(message.entry))
    packet.push.CopyFrom(change)


def _encode_fetch(packet: pb.Packet, message: Fetch) -> None:
    packet.fetch.CopyFrom(_encode_change(message))


def _encode_promise(packet: pb.Packet, message: Promise) -> None:
    packet.promise.CopyFrom(pb.Reply(ballot=encode_ballot(message.ballot), entry=encode_entry(message.entry)))


def _encode_accepted(packet: pb.Packet, message: Accepted) -> None:
    packet.accepted.CopyFrom(pb.Reply(ballot=encode_ballot(message.ballot)))


def _encode_refuse(packet: pb.Packet, message: Refuse) -> None:
    packet.refuse.CopyFrom(
        pb.Reply(
            ballot=encode_ballot(message.ballot),
            why=message.reason.value,
            asked=encode_ballot(message.refused),
            entry=encode_entry(message.entry),
        )
    )


def _encode_pushed(packet: pb.Packet, message: Pushed) -> None:
    packet.pushed.SetInParent()


def _encode_fetched(packet: pb.Packet, message: Fetched) -> None:
    packet.fetched.CopyFrom(pb.Reply(entry=encode_entry(message.entry)))


def _encode_request_views(packet: pb.Packet, message: RequestViews) -> None:
    packet.ask_past.before = message.before
    packet.ask_past.SetInParent()


def _encode_past_views(packet: pb.Packet, message: PastViews) -> None:
    views = [
        pb.View(epoch=epoch, sites=[encode_site(site) for site in sites]) for epoch, sites in message.views
    ]
    packet.past.CopyFrom(pb.Past(birth=message.incarnation, before=message.before, views=views))


def _encode_compare_ranges(packet: pb.Packet, message: CompareRanges) -> None:
    ranges = [pb.Range(slot=slot, digest=digest) for slot, digest in message.ranges]
    packet.ask.CopyFrom(pb.Ranges(ranges=ranges))


def _encode_range_states(packet: pb.Packet, message: RangeStates) -> None:
    ranges = [
        pb.Range(slot=slot, ready=ready_epoch, same=is_same) for slot, ready_epoch, is_same in message.ranges
    ]
    packet.told.CopyFrom(pb.Ranges(birth=message.incarnation, ranges=ranges))


def _encode_fetch_range(packet: pb.Packet, message: FetchRange) -> None:
    packet.pull.CopyFrom(pb.Pull(slot=message.slot, after=encode_key(message.after)))


def _encode_range_chunk(packet: pb.Packet, message: RangeChunk) -> None:
    entries = [
        pb.Held(key=encode_key(key), entry=encode_entry(entry), left=remaining_s)
        for key, entry, remaining_s in message.entries
    ]
    packet.piece.CopyFrom(
        pb.Piece(
            birth=message.incarnation,
            slot=message.slot,
            ready=message.ready_epoch,
            entries=entries,
            last=message.is_last,
        )
    )


_ENCODERS: dict[type[Message], Callable[[pb.Packet, Any], None]] = {
    Prepare: _encode_prepare,
    Accept: _encode_accept,
    Push: _encode_push,
    Fetch: _encode_fetch,
    Promise: _encode_promise,
    Accepted: _encode_accepted,
    Refuse: _encode_refuse,
    Pushed: _encode_pushed,
    Fetched: _encode_fetched,
    RequestViews: _encode_request_views,
    PastViews: _encode_past_views,
    CompareRanges: _encode_compare_ranges,
    RangeStates: _encode_range_states,
    FetchRange: _encode_fetch_range,
    RangeChunk: _encode_range_chunk,
}


def _encode_change(
    message: Prepare | Accept | Push | Fetch,
    remaining_s: float = 0.0,
    group: bytes = b"",
    binding_version: int = 0,
) -> pb.Change:
    return pb.Change(
        key=encode_key(message.key), slot=message.slot, left=remaining_s, group=group, under=binding_version
    )


# -- decoding, one function for each kind of message


def _decode_prepare(packet: pb.Packet) -> Prepare:
    change = packet.prepare
    return Prepare(
        packet.epoch,
        packet.ref,
        decode_key(change.key),
        change.slot,
        decode_ballot(change.ballot),
        check_lifetime(change.left),
        check_key(change.group),
        change.under,
    )


def _decode_accept(packet: pb.Packet) -> Accept:
    change = packet.accept
    return Accept(
        packet.epoch,
        packet.ref,
        decode_key(change.key),
        change.slot,
        decode_entry(change.entry),
        check_lifetime(change.left),
        check_key(change.group),
        change.under,
    )


def _decode_push(packet: pb.Packet) -> Push:
    change = packet.push
    key, entry = decode_key(change.key), decode_entry(change.entry)
    return Push(packet.epoch, packet.ref, key, change.slot, entry, check_lifetime(change.left))


def _decode_fetch(packet: pb.Packet) -> Fetch:
    return Fetch(packet.epoch, packet.ref, decode_key(packet.fetch.key), packet.fetch.slot)


def _decode_promise(packet: pb.Packet) -> Promise:
    reply = packet.promise
    return Promise(packet.epoch, packet.ref, decode_ballot(reply.ballot), decode_entry(reply.entry))


def _decode_accepted(packet: pb.Packet) -> Accepted:
    return Accepted(packet.epoch, packet.ref, decode_ballot(packet.accepted.ballot))


def _decode_refuse(packet: pb.Packet) -> Refuse:
    reply = packet.refuse
    try:
        reason = RefusalReason(reply.why)
    except ValueError:
        raise BadPacketError(f"why: unknown refusal reason {reply.why[:40]!r}") from None
    ballots = decode_ballot(reply.ballot), decode_ballot(reply.asked)
    return Refuse(packet.epoch, packet.ref, reason, *ballots, decode_entry(reply.entry))


def _decode_pushed(packet: pb.Packet) -> Pushed:
    return Pushed(packet.epoch, packet.ref)


def _decode_fetched(packet: pb.Packet) -> Fetched:
    return Fetched(packet.epoch, packet.ref, decode_entry(packet.fetched.entry))


def _decode_request_views(packet: pb.Packet) -> RequestViews:
    return RequestViews(packet.epoch, packet.ask_past.before)


def _decode_past_views(packet: pb.Packet) -> PastViews:
    past_views = packet.past
    check_count(len(past_views.views), MAX_VIEWS, "views")
    views = tuple((view.epoch, tuple(decode_site(site) for site in view.sites)) for view in past_views.views)
    for _, sites in views:
        check_count(len(sites), MAX_SITES, "sites")
    return PastViews(packet.epoch, past_views.birth, past_views.before, views)


def _decode_compare_ranges(packet: pb.Packet) -> CompareRanges:
    check_count(len(packet.ask.ranges), MAX_RANGES, "ranges")
    return CompareRanges(packet.epoch, tuple((item.slot, item.digest) for item in packet.ask.ranges))


def _decode_range_states(packet: pb.Packet) -> RangeStates:
    check_count(len(packet.told.ranges), MAX_RANGES, "ranges")
    states = tuple((item.slot, item.ready, item.same) for item in packet.told.ranges)
    return RangeStates(packet.epoch, packet.told.birth, states)


def _decode_fetch_range(packet: pb.Packet) -> FetchRange:
    return FetchRange(packet.epoch, packet.pull.slot, decode_key(packet.pull.after))


def _decode_range_chunk(packet: pb.Packet) -> RangeChunk:
    chunk = packet.piece
    check_count(len(chunk.entries), MAX_ENTRIES, "entries")
    entries = tuple(
        (decode_key(item.key), decode_entry(item.entry), check_lifetime(item.left)) for item in chunk.entries
    )
    return RangeChunk(packet.epoch, chunk.birth, chunk.slot, chunk.ready, entries, chunk.last)


_DECODERS: dict[str, Callable[[pb.Packet], Message]] = {
    "prepare": _decode_prepare,
    "accept": _decode_accept,
    "push": _decode_push,
    "fetch": _decode_fetch,
    "promise": _decode_promise,
    "accepted": _decode_accepted,
    "refuse": _decode_refuse,
    "pushed": _decode_pushed,
    "fetched": _decode_fetched,
    "ask_past": _decode_request_views,
    "past": _decode_past_views,
    "ask": _decode_compare_ranges,
    "told": _decode_range_states,
    "pull": _decode_fetch_range,
    "piece": _decode_range_chunk,
}
