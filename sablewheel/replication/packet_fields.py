"""Encodes and decodes the values in packets: keys, ballots, entries and members, with their bounds. Pure."""

from __future__ import annotations

from math import isfinite

from . import replication_pb2 as pb
from .entries import Ballot, Entry, Key, Outcome, OutcomeStatus, Owner
from .placement import MAX_WEIGHT, Site
from .plan import MAX_OUTCOMES

MAX_NAME_LENGTH = 200  # in characters
MAX_KEY_BYTES = 1024  # of a key, group or digest
MAX_VALUE_BYTES = 1 << 20
MAX_LIFETIME_S = 86400.0 * 31


class BadPacketError(ValueError):
    """Data that is not a valid packet; for a value outside its bounds the message names the field."""


def encode_key(key: Key) -> pb.Key:
    """Encode a key."""
    return pb.Key(collection=key[0], key=key[1])


def encode_ballot(ballot: Ballot) -> pb.Ballot:
    """Encode a ballot."""
    return pb.Ballot(epoch=ballot[0], round=ballot[1], name=ballot[2], birth=ballot[3])


def _encode_owner(owner: Owner) -> pb.Owner:
    return pb.Owner(name=owner[0], birth=owner[1], turn=owner[2])


def encode_entry(entry: Entry) -> pb.Entry:
    """Encode an entry."""
    outcomes = [
        pb.Outcome(
            number=outcome.version,
            owner=_encode_owner(outcome.owner),
            how=outcome.status.value,
            result=outcome.result,
        )
        for outcome in entry.outcomes
    ]
    return pb.Entry(
        ballot=encode_ballot(entry.ballot),
        number=entry.version,
        owner=_encode_owner(entry.owner),
        value=entry.value,
        digest=entry.digest,
        freed=entry.released,
        outcomes=outcomes,
    )


def encode_site(site: Site) -> pb.Site:
    """Encode a member."""
    return pb.Site(name=site.name, incarnation=site.incarnation, zone=site.zone, weight=site.weight)


def check_count(count: int, max_count: int, field: str) -> None:
    """Raise `BadPacketError` if a field has more items, bytes or characters than `max_count`."""
    if count > max_count:
        raise BadPacketError(f"{field}: size {count} is above the limit of {max_count}")


def check_key(data: bytes) -> bytes:
    """Return the key, group or digest, if its length is within the bound."""
    check_count(len(data), MAX_KEY_BYTES, "key")
    return data


def _check_name(name: str) -> str:
    check_count(len(name), MAX_NAME_LENGTH, "name")
    return name


def check_lifetime(remaining_s: float) -> float:
    """Return the remaining lifetime, if it is a finite number within its bound."""
    if not (isfinite(remaining_s) and remaining_s <= MAX_LIFETIME_S):
        raise BadPacketError(f"left: must be finite and at most {MAX_LIFETIME_S:g} s, got {remaining_s:g}")
    return remaining_s


def decode_key(key: pb.Key) -> Key:
    """Decode a key."""
    return _check_name(key.collection), check_key(key.key)


def decode_ballot(ballot: pb.Ballot) -> Ballot:
    """Decode a ballot."""
    return ballot.epoch, ballot.round, _check_name(ballot.name), ballot.birth


def _decode_owner(owner: pb.Owner) -> Owner:
    return _check_name(owner.name), owner.birth, owner.turn


def decode_entry(entry: pb.Entry) -> Entry:
    """Decode an entry."""
    check_count(len(entry.value), MAX_VALUE_BYTES, "value")
    check_count(len(entry.outcomes), MAX_OUTCOMES, "outcomes")
    return Entry(
        decode_ballot(entry.ballot),
        entry.number,
        _decode_owner(entry.owner),
        entry.value,
        check_key(entry.digest),
        entry.freed,
        tuple(sorted(_decode_outcome(outcome) for outcome in entry.outcomes)),
    )


def _decode_outcome(outcome: pb.Outcome) -> Outcome:
    check_count(len(outcome.result), MAX_VALUE_BYTES, "result")
    try:
        status = OutcomeStatus(outcome.how)
    except ValueError:
        raise BadPacketError(f"how: unknown outcome status {outcome.how[:40]!r}") from None
    return Outcome(outcome.number, _decode_owner(outcome.owner), status, outcome.result)


def decode_site(site: pb.Site) -> Site:
    """Decode a member."""
    if not 0 <= site.weight <= MAX_WEIGHT:  # NaN fails the comparison too
        raise BadPacketError(f"weight: must be between 0 and {MAX_WEIGHT:g}, got {site.weight:g}")
    return Site(_check_name(site.name), site.incarnation, _check_name(site.zone), site.weight)
