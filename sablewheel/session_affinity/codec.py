"""Encodes and decodes bindings and the frames between servers. Performs no I/O.

Every field is checked; a malformed field raises `BadPacketError`, which names the field, and no other error.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import isfinite

from google.protobuf.message import DecodeError

from . import session_affinity_pb2 as pb
from .binding import Binding, BindingState, MigrationCause
from .messages import (
    MAX_FLOWS,
    BindingNotice,
    Message,
    OfferReply,
    OwnershipOffer,
    TakeDeclined,
    TakeOwnership,
)
from .placement import ServerLoad

FRAME_TYPE = "session"
FRAME_LIFETIME_S = 1.0  # an unsent frame is dropped after this time, since each step is retried
PROTOCOL_VERSION = 1
MAX_NAME_BYTES = 256  # the maximum length of a server name, session key or flow
MAX_CAPACITY = 1e6


class BadPacketError(ValueError):
    """The bytes are not a valid frame or binding; the text names the field."""


def encode(message: Message | ServerLoad) -> bytes:
    """Encode a frame."""
    packet = pb.Packet(version=PROTOCOL_VERSION)
    match message:
        case OwnershipOffer(key, offer_id, flows, forced):
            packet.offer.CopyFrom(pb.Offer(key=key, turn=offer_id, flows=flows, forced=forced))
        case OfferReply(key, offer_id, has_no_capacity, binding):
            reply = pb.Reply(key=key, turn=offer_id, full=has_no_capacity)
            if binding is not None:
                reply.binding.CopyFrom(_to_protobuf(binding))
            packet.reply.CopyFrom(reply)
        case TakeOwnership(binding, cause, flows, forced):
            take = pb.Take(binding=_to_protobuf(binding), cause=cause.value, flows=flows, forced=forced)
            packet.take.CopyFrom(take)
        case TakeDeclined(key, fencing_number):
            packet.declined.CopyFrom(pb.Declined(key=key, number=fencing_number))
        case BindingNotice(binding):
            packet.told.CopyFrom(_to_protobuf(binding))
        case ServerLoad(sessions, warmth, capacity):
            packet.load.CopyFrom(pb.Load(sessions=sessions, warmth=warmth, capacity=capacity))
    data: bytes = packet.SerializeToString()
    return data


def decode(data: bytes) -> Message | ServerLoad:
    """Decode a frame.

    Raises:
        BadPacketError: The bytes are not a valid frame of this protocol version.
    """
    try:
        packet = pb.Packet.FromString(data)
    except DecodeError:
        raise BadPacketError("frame is not a valid protobuf packet") from None
    if packet.version != PROTOCOL_VERSION:
        raise BadPacketError(f"version: got {packet.version}, only {PROTOCOL_VERSION} is supported")
    match packet.WhichOneof("body"):
        case "offer":
            return _decode_offer(packet.offer)
        case "reply":
            return _decode_reply(packet.reply)
        case "take":
            return _decode_take(packet.take)
        case "declined":
            return TakeDeclined(_checked_name(packet.declined.key, "key"), packet.declined.number)
        case "told":
            return BindingNotice(_from_protobuf(packet.told))
        case "load":
            return _decode_load(packet.load)
    raise BadPacketError("body: unknown message type")


def _decode_offer(offer: pb.Offer) -> OwnershipOffer:
    key, flows = _checked_name(offer.key, "key"), _checked_flows(offer.flows)
    return OwnershipOffer(key, offer.turn, flows, offer.forced)


def _decode_reply(reply: pb.Reply) -> OfferReply:
    binding = _from_protobuf(reply.binding) if reply.HasField("binding") else None
    return OfferReply(_checked_name(reply.key, "key"), reply.turn, reply.full, binding)


def _decode_take(take: pb.Take) -> TakeOwnership:
    binding, cause = _from_protobuf(take.binding), _checked_cause(take.cause)
    return TakeOwnership(binding, cause, _checked_flows(take.flows), take.forced)


def _decode_load(load: pb.Load) -> ServerLoad:
    warmth = _checked_number(load.warmth, 1.0, "warmth")
    return ServerLoad(load.sessions, warmth, _checked_number(load.capacity, MAX_CAPACITY, "capacity"))


def encode_binding(binding: Binding) -> bytes:
    """Encode a binding for the register, whose entry also has the fencing number."""
    data: bytes = _to_protobuf(binding).SerializeToString()
    return data


def decode_binding(data: bytes, fencing_number: int) -> Binding:
    """Decode a binding that the register stores under a fencing number.

    Raises:
        BadPacketError: The bytes are not a valid binding.
    """
    try:
        stored = pb.Binding.FromString(data)
    except DecodeError:
        raise BadPacketError("entry is not a valid protobuf binding") from None
    stored.number = fencing_number
    return _from_protobuf(stored)


def _to_protobuf(binding: Binding) -> pb.Binding:
    return pb.Binding(
        key=binding.key,
        number=binding.fencing_number,
        owner=binding.owner,
        incarnation=binding.incarnation,
        version=binding.policy_version,
        state=binding.state.value,
        heir=binding.successor,
    )


def _from_protobuf(stored: pb.Binding) -> Binding:
    if stored.state not in (state.value for state in BindingState):
        raise BadPacketError(f"state: unknown state {stored.state[:40]!r}")
    return Binding(
        key=_checked_name(stored.key, "key"),
        fencing_number=stored.number,
        owner=_checked_name(stored.owner, "owner"),
        incarnation=stored.incarnation,
        policy_version=stored.version,
        state=BindingState(stored.state),
        successor=_checked_name(stored.heir, "heir") if stored.heir else "",
    )


def _checked_name(name: str, field: str) -> str:
    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise BadPacketError(f"{field}: must have 1 to {MAX_NAME_BYTES} bytes")
    return name


def _checked_flows(flows: Iterable[str]) -> tuple[str, ...]:
    checked = tuple(str(flow) for flow in flows)
    if len(checked) > MAX_FLOWS or any(len(flow.encode()) > MAX_NAME_BYTES for flow in checked):
        raise BadPacketError(f"flows: must be at most {MAX_FLOWS} of at most {MAX_NAME_BYTES} bytes each")
    return checked


def _checked_cause(text: str) -> MigrationCause:
    if text not in (cause.value for cause in MigrationCause):
        raise BadPacketError(f"cause: unknown cause {text[:40]!r}")
    return MigrationCause(text)


def _checked_number(value: float, maximum: float, field: str) -> float:
    if not (isfinite(value) and 0 <= value <= maximum):
        raise BadPacketError(f"{field}: must be from 0 to {maximum:g}, got {value:g}")
    return value
