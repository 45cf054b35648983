"""Replication's packets: bytes to messages and back. Whatever does not fit its bounds is no message. Pure."""

from __future__ import annotations

from math import isfinite

from google.protobuf.message import DecodeError

from . import replication_pb2 as pb
from .entries import OUTCOMES_MOST, Ballot, Entry, Outcome, Owner
from .messages import (
    Accept,
    Accepted,
    Ask,
    AskPast,
    Fetch,
    Fetched,
    Key,
    Message,
    Past,
    Piece,
    Prepare,
    Promise,
    Pull,
    Push,
    Pushed,
    Refuse,
    Told,
)
from .placement import WEIGHT_MOST, Site

VERSION = 1
NAME_MOST = 200  # characters
KEY_MOST = 1024  # bytes of a key or a group
VALUE_MOST = 1 << 20
LIFE_MOST = 86400.0 * 31
RANGES_MOST = ENTRIES_MOST = 1024  # a packet
VIEWS_MOST = 16
SITES_MOST = 10_000
HOWS = ("worked", "failed", "unkept")
WHYS = ("ballot", "unready", "full", "fenced", "epoch")


class BadPacketError(ValueError):
    """Not a packet of ours, or one past its bounds; the text says which field."""


def encode(message: Message, ranges: int = 0, copies: int = 0) -> bytes:
    """The packet of a sender that divides into so many ranges, of so many copies each."""
    ref = getattr(message, "ref", 0)
    told = pb.Packet(version=VERSION, epoch=message.epoch, ref=ref, ranges=ranges, copies=copies)
    match message:
        case Prepare(_, _, key, slot, ballot, left, group, under):
            told.prepare.CopyFrom(_change(key, slot, left, group, under, ballot=_ballot(ballot)))
        case Accept(_, _, key, slot, entry, left, group, under):
            told.accept.CopyFrom(_change(key, slot, left, group, under, entry=_entry(entry)))
        case Push(_, _, key, slot, entry, left):
            told.push.CopyFrom(_change(key, slot, left, entry=_entry(entry)))
        case Fetch(_, _, key, slot):
            told.fetch.CopyFrom(_change(key, slot))
        case Promise(_, _, ballot, entry):
            told.promise.CopyFrom(pb.Reply(ballot=_ballot(ballot), entry=_entry(entry)))
        case Accepted(_, _, ballot):
            told.accepted.CopyFrom(pb.Reply(ballot=_ballot(ballot)))
        case Refuse(_, _, why, ballot, asked, entry):
            told.refuse.CopyFrom(
                pb.Reply(ballot=_ballot(ballot), why=why, asked=_ballot(asked), entry=_entry(entry))
            )
        case Pushed():
            told.pushed.SetInParent()
        case Fetched(_, _, entry):
            told.fetched.CopyFrom(pb.Reply(entry=_entry(entry)))
        case AskPast(_, before):
            told.ask_past.before = before
            told.ask_past.SetInParent()
        case Past(_, birth, before, views):
            some = [
                pb.View(
                    epoch=epoch,
                    sites=[
                        pb.Site(name=one.name, incarnation=one.incarnation, zone=one.zone, weight=one.weight)
                        for one in sites
                    ],
                )
                for epoch, sites in views
            ]
            told.past.CopyFrom(pb.Past(birth=birth, before=before, views=some))
        case Ask(_, asked):
            told.ask.CopyFrom(pb.Ranges(ranges=[pb.Range(slot=slot, digest=mark) for slot, mark in asked]))
        case Told(_, birth, answers):
            said = [pb.Range(slot=slot, ready=ready, same=same) for slot, ready, same in answers]
            told.told.CopyFrom(pb.Ranges(birth=birth, ranges=said))
        case Pull(_, slot, after):
            told.pull.CopyFrom(pb.Pull(slot=slot, after=_key(after)))
        case Piece(_, birth, slot, ready, entries, last):
            held = [pb.Held(key=_key(key), entry=_entry(entry), left=left) for key, entry, left in entries]
            told.piece.CopyFrom(pb.Piece(birth=birth, slot=slot, ready=ready, entries=held, last=last))
    return told.SerializeToString()


def decode(data: bytes, ranges: int = 0, copies: int = 0) -> Message:
    """The message of a payload; raises `BadPacketError` and nothing else.

    Who divides into other ranges would mean other holders by the same words: guards against servers whose
    sections differ.
    """
    try:
        told = pb.Packet.FromString(data)
    except DecodeError:
        raise BadPacketError("not a packet") from None
    if told.version != VERSION:
        raise BadPacketError(f"version {told.version}, {VERSION} is known here")
    if (told.ranges, told.copies) != (ranges, copies):
        raise BadPacketError(
            f"of {told.ranges} ranges and {told.copies} copies, {ranges} and {copies} are set here"
        )
    epoch, ref = told.epoch, told.ref
    match told.WhichOneof("body"):
        case "prepare":
            one = told.prepare
            return Prepare(
                epoch,
                ref,
                _key_in(one.key),
                one.slot,
                _ballot_in(one.ballot),
                _left(one.left),
                _short(one.group),
                one.under,
            )
        case "accept":
            one = told.accept
            return Accept(
                epoch,
                ref,
                _key_in(one.key),
                one.slot,
                _entry_in(one.entry),
                _left(one.left),
                _short(one.group),
                one.under,
            )
        case "push":
            one = told.push
            return Push(epoch, ref, _key_in(one.key), one.slot, _entry_in(one.entry), _left(one.left))
        case "fetch":
            return Fetch(epoch, ref, _key_in(told.fetch.key), told.fetch.slot)
        case "promise":
            return Promise(epoch, ref, _ballot_in(told.promise.ballot), _entry_in(told.promise.entry))
        case "accepted":
            return Accepted(epoch, ref, _ballot_in(told.accepted.ballot))
        case "refuse":
            no = told.refuse
            if no.why not in WHYS:
                raise BadPacketError(f"why: no such reason: {no.why[:40]!r}")
            ballots = _ballot_in(no.ballot), _ballot_in(no.asked)
            return Refuse(epoch, ref, no.why, *ballots, _entry_in(no.entry))
        case "pushed":
            return Pushed(epoch, ref)
        case "fetched":
            return Fetched(epoch, ref, _entry_in(told.fetched.entry))
        case "ask_past":
            return AskPast(epoch, told.ask_past.before)
        case "past":
            views = told.past.views
            _few(len(views), VIEWS_MOST, "views")
            some = tuple((view.epoch, tuple(_site(one) for one in view.sites)) for view in views)
            for _, sites in some:
                _few(len(sites), SITES_MOST, "sites")
            return Past(epoch, told.past.birth, told.past.before, some)
        case "ask":
            _few(len(told.ask.ranges), RANGES_MOST, "ranges")
            return Ask(epoch, tuple((one.slot, one.digest) for one in told.ask.ranges))
        case "told":
            _few(len(told.told.ranges), RANGES_MOST, "ranges")
            said = tuple((one.slot, one.ready, one.same) for one in told.told.ranges)
            return Told(epoch, told.told.birth, said)
        case "pull":
            return Pull(epoch, told.pull.slot, _key_in(told.pull.after))
        case "piece":
            piece = told.piece
            _few(len(piece.entries), ENTRIES_MOST, "entries")
            held = tuple((_key_in(one.key), _entry_in(one.entry), _left(one.left)) for one in piece.entries)
            return Piece(epoch, piece.birth, piece.slot, piece.ready, held, piece.last)
    raise BadPacketError("a packet of no kind that this version knows")


def _change(
    key: Key,
    slot: int,
    left: float = 0.0,
    group: bytes = b"",
    under: int = 0,
    ballot: pb.Ballot | None = None,
    entry: pb.Entry | None = None,
) -> pb.Change:
    return pb.Change(
        key=_key(key), slot=slot, left=left, group=group, under=under, ballot=ballot, entry=entry
    )


def _key(key: Key) -> pb.Key:
    return pb.Key(collection=key[0], key=key[1])


def _ballot(ballot: Ballot) -> pb.Ballot:
    return pb.Ballot(epoch=ballot[0], round=ballot[1], name=ballot[2], birth=ballot[3])


def _owner(owner: Owner) -> pb.Owner:
    return pb.Owner(name=owner[0], birth=owner[1], turn=owner[2])


def _entry(entry: Entry) -> pb.Entry:
    outcomes = [
        pb.Outcome(number=one.number, owner=_owner(one.owner), how=one.how, result=one.result)
        for one in entry.outcomes
    ]
    return pb.Entry(
        ballot=_ballot(entry.ballot),
        number=entry.number,
        owner=_owner(entry.owner),
        value=entry.value,
        digest=entry.digest,
        freed=entry.freed,
        outcomes=outcomes,
    )


def _few(many: int, most: int, field: str) -> None:
    if many > most:
        raise BadPacketError(f"{field}: {many}, {most} are taken")


def _short(data: bytes) -> bytes:
    _few(len(data), KEY_MOST, "key")
    return data


def _name(name: str) -> str:
    _few(len(name), NAME_MOST, "name")
    return name


def _left(left: float) -> float:
    if not (isfinite(left) and left <= LIFE_MOST):
        raise BadPacketError(f"left: at most {LIFE_MOST:g} is wanted, got {left:g}")
    return left


def _key_in(told: pb.Key) -> Key:
    return _name(told.collection), _short(told.key)


def _ballot_in(told: pb.Ballot) -> Ballot:
    return told.epoch, told.round, _name(told.name), told.birth


def _owner_in(told: pb.Owner) -> Owner:
    return _name(told.name), told.birth, told.turn


def _entry_in(told: pb.Entry) -> Entry:
    _few(len(told.value), VALUE_MOST, "value")
    _few(len(told.outcomes), OUTCOMES_MOST, "outcomes")
    outcomes = []
    for one in told.outcomes:
        _few(len(one.result), VALUE_MOST, "result")
        if one.how not in HOWS:
            raise BadPacketError(f"how: no such outcome: {one.how[:40]!r}")
        outcomes.append(Outcome(one.number, _owner_in(one.owner), one.how, one.result))
    return Entry(
        _ballot_in(told.ballot),
        told.number,
        _owner_in(told.owner),
        told.value,
        _short(told.digest),
        told.freed,
        tuple(sorted(outcomes)),
    )


def _site(told: pb.Site) -> Site:
    if not 0 <= told.weight <= WEIGHT_MOST:  # also not a number
        raise BadPacketError(f"weight: 0 to {WEIGHT_MOST:g} is wanted, got {told.weight:g}")
    return Site(_name(told.name), told.incarnation, _name(told.zone), told.weight)
