"""The bytes of bindings and of what servers say to each other of sessions. Pure.

Every field is checked; what is not as it should be raises `BadPacketError`, which names the field, and
nothing else. Bounds: `NAME_MOST` bytes of a name, key or flow, `FLOWS_MOST` flows.
"""

from __future__ import annotations

from math import isfinite

from google.protobuf.message import DecodeError

from . import session_affinity_pb2 as pb
from .binding import Binding, BindingState, MigrationCause
from .events import BindingNotice, Message, OfferReply, OwnershipOffer, TakeDeclined, TakeOwnership
from .placement import ServerLoad

VERSION = 1
NAME_MOST = 256
FLOWS_MOST = 16
CAPACITY_MOST = 1e6


class BadPacketError(ValueError):
    """What came is no packet; the text names the field."""


def encode(message: Message | ServerLoad) -> bytes:
    told = pb.Packet(version=VERSION)
    match message:
        case OwnershipOffer(key, turn, flows, forced):
            told.offer.CopyFrom(pb.Offer(key=key, turn=turn, flows=flows, forced=forced))
        case OfferReply(key, turn, full, binding):
            out = pb.Reply(key=key, turn=turn, full=full)
            if binding is not None:
                out.binding.CopyFrom(_out(binding))
            told.reply.CopyFrom(out)
        case TakeOwnership(binding, cause, flows, forced):
            take = pb.Take(binding=_out(binding), cause=cause.value, flows=flows, forced=forced)
            told.take.CopyFrom(take)
        case TakeDeclined(key, number):
            told.declined.CopyFrom(pb.Declined(key=key, number=number))
        case BindingNotice(binding):
            told.told.CopyFrom(_out(binding))
        case ServerLoad(sessions, warmth, capacity):
            told.load.CopyFrom(pb.Load(sessions=sessions, warmth=warmth, capacity=capacity))
    return told.SerializeToString()


def decode(data: bytes) -> Message | ServerLoad:
    """The message of a payload; raises `BadPacketError` and nothing else."""
    try:
        told = pb.Packet.FromString(data)
    except DecodeError:
        raise BadPacketError("not a packet") from None
    if told.version != VERSION:
        raise BadPacketError(f"version {told.version}, {VERSION} is known here")
    match told.WhichOneof("body"):
        case "offer":
            one = told.offer
            return OwnershipOffer(_name(one.key, "key"), one.turn, _flows(one.flows), one.forced)
        case "reply":
            reply = told.reply
            binding = _in(reply.binding) if reply.HasField("binding") else None
            return OfferReply(_name(reply.key, "key"), reply.turn, reply.full, binding)
        case "take":
            take = told.take
            return TakeOwnership(_in(take.binding), _cause(take.cause), _flows(take.flows), take.forced)
        case "declined":
            return TakeDeclined(_name(told.declined.key, "key"), told.declined.number)
        case "told":
            return BindingNotice(_in(told.told))
        case "load":
            load = told.load
            return ServerLoad(
                load.sessions,
                _span(load.warmth, 1.0, "warmth"),
                _span(load.capacity, CAPACITY_MOST, "capacity"),
            )
    raise BadPacketError("a packet of no kind that this version knows")


def pack(binding: Binding) -> bytes:
    """As it stands in the register, whose entry has the number too."""
    data: bytes = _out(binding).SerializeToString()
    return data


def unpack(data: bytes, number: int) -> Binding:
    """What the register holds under `number`; raises `BadPacketError` and nothing else."""
    try:
        told = pb.Binding.FromString(data)
    except DecodeError:
        raise BadPacketError("not a binding") from None
    told.number = number
    return _in(told)


def _out(one: Binding) -> pb.Binding:
    return pb.Binding(
        key=one.key,
        number=one.fencing_number,
        owner=one.owner,
        incarnation=one.incarnation,
        version=one.policy_version,
        state=one.state.value,
        heir=one.successor,
    )


def _in(told: pb.Binding) -> Binding:
    if told.state not in (one.value for one in BindingState):
        raise BadPacketError(f"state: no such state: {told.state[:40]!r}")
    successor = _name(told.heir, "heir") if told.heir else ""
    return Binding(
        _name(told.key, "key"),
        told.number,
        _name(told.owner, "owner"),
        told.incarnation,
        told.version,
        BindingState(told.state),
        successor,
    )


def _name(name: str, field: str) -> str:
    if not 0 < len(name.encode()) <= NAME_MOST:
        raise BadPacketError(f"{field}: 1 to {NAME_MOST} bytes are wanted")
    return name


def _flows(flows: object) -> tuple[str, ...]:
    found = tuple(str(one) for one in flows)  # type: ignore[attr-defined]
    if len(found) > FLOWS_MOST or any(len(one.encode()) > NAME_MOST for one in found):
        raise BadPacketError(f"flows: at most {FLOWS_MOST} of at most {NAME_MOST} bytes are wanted")
    return found


def _cause(text: str) -> MigrationCause:
    if text not in (one.value for one in MigrationCause):
        raise BadPacketError(f"cause: no such cause: {text[:40]!r}")
    return MigrationCause(text)


def _span(value: float, most: float, field: str) -> float:
    if not (isfinite(value) and 0 <= value <= most):
        raise BadPacketError(f"{field}: 0 to {most:g} is wanted, got {value:g}")
    return value
