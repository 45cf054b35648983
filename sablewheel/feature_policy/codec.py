"""Encoding and decoding of policy messages; the format is in docs/policy-format.md.

Input that is not a valid message raises an error that names the invalid field.
"""

from __future__ import annotations

from google.protobuf.message import DecodeError

from . import feature_policy_pb2 as pb
from . import policy_bundle
from .messages import MAX_CHUNK_BYTES, BundleChunk, BundleRejected, Fetch, Message, Offer

VERSION = 1
MAX_REASON_CHARACTERS = 400


class BadMessageError(ValueError):
    """The data is not a valid message; the text names the invalid field."""


def encode(message: Message) -> bytes:
    """Return the bytes of a message."""
    encoded = pb.PolicyMessage(version=VERSION, name=message.name)
    match message:
        case Offer():
            encoded.offer.SetInParent()
        case Fetch(_, offset):
            encoded.fetch.SetInParent()
            encoded.fetch.at = offset
        case BundleChunk(_, offset, total, data):
            encoded.piece.at, encoded.piece.total, encoded.piece.data = offset, total, data
            encoded.piece.SetInParent()
        case BundleRejected(_, reason):
            encoded.refused.why = reason[:MAX_REASON_CHARACTERS]
            encoded.refused.SetInParent()
    return encoded.SerializeToString()


def decode(data: bytes) -> Message:
    """Return the message in the bytes; raises `BadMessageError`."""
    decoded = pb.PolicyMessage()
    try:
        decoded.ParseFromString(data)
    except DecodeError:
        raise BadMessageError("not a valid policy message") from None
    if decoded.version != VERSION:
        raise BadMessageError(f"unsupported version {decoded.version}, expected {VERSION}")
    if policy_bundle.order(decoded.name) == policy_bundle.NONE:
        raise BadMessageError(f"name: not a bundle name: {decoded.name!r:.60}")
    match decoded.WhichOneof("body"):
        case "offer":
            return Offer(decoded.name)
        case "fetch" if decoded.fetch.at <= policy_bundle.MAX_BUNDLE_BYTES:
            return Fetch(decoded.name, decoded.fetch.at)
        case "piece" if (
            len(decoded.piece.data) <= MAX_CHUNK_BYTES
            and decoded.piece.total <= policy_bundle.MAX_BUNDLE_BYTES
        ):
            return BundleChunk(decoded.name, decoded.piece.at, decoded.piece.total, decoded.piece.data)
        case "refused" if len(decoded.refused.why) <= MAX_REASON_CHARACTERS:
            return BundleRejected(decoded.name, decoded.refused.why)
    raise BadMessageError("body: missing or over its size limits")
