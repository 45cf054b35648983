"""Messages of policies to bytes and back: docs/policy-format.md. What is none is an error that names it."""

from __future__ import annotations

from google.protobuf.message import DecodeError

from . import feature_policy_pb2 as pb
from . import policy_bundle
from .messages import MAX_CHUNK_BYTES, BundleChunk, BundleRejected, Fetch, Message, Offer

VERSION = 1
MAX_REASON_CHARACTERS = 400  # characters


class BadMessageError(ValueError):
    """What came is no message; the text names the field."""


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    told = pb.PolicyMessage(version=VERSION, name=message.name)
    match message:
        case Offer():
            told.offer.SetInParent()
        case Fetch(_, at):
            told.fetch.SetInParent()
            told.fetch.at = at
        case BundleChunk(_, at, total, data):
            told.piece.at, told.piece.total, told.piece.data = at, total, data
            told.piece.SetInParent()
        case BundleRejected(_, why):
            told.refused.why = why[:MAX_REASON_CHARACTERS]
            told.refused.SetInParent()
    return told.SerializeToString()


def decode(data: bytes) -> Message:
    """Raises `BadMessageError`."""
    told = pb.PolicyMessage()
    try:
        told.ParseFromString(data)
    except DecodeError:
        raise BadMessageError("not a message of policies") from None
    if told.version != VERSION:
        raise BadMessageError(f"version {told.version}, {VERSION} is spoken here")
    if policy_bundle.order(told.name) == policy_bundle.NONE:
        raise BadMessageError(f"name: {told.name!r:.60}")
    match told.WhichOneof("body"):
        case "offer":
            return Offer(told.name)
        case "fetch" if told.fetch.at <= policy_bundle.MAX_BUNDLE_BYTES:
            return Fetch(told.name, told.fetch.at)
        case "piece" if (
            len(told.piece.data) <= MAX_CHUNK_BYTES and told.piece.total <= policy_bundle.MAX_BUNDLE_BYTES
        ):
            return BundleChunk(told.name, told.piece.at, told.piece.total, told.piece.data)
        case "refused" if len(told.refused.why) <= MAX_REASON_CHARACTERS:
            return BundleRejected(told.name, told.refused.why)
    raise BadMessageError("body: none, or past its bounds")
