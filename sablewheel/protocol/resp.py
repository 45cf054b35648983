"""The routers' protocol: RESP arrays of bulk strings. The wire's own words stay in this file."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import TypeAlias

WORDS_MOST = 16
WORD_MOST = 1 << 16  # what one bulk string may hold before the connection is past saving
BODY_MOST = 2048
DIGITS_MOST = 19
KB_UNDER = 2000.0
# The shapes that fields must have; Python's own readers take signs, blanks, underscores and exponents.
SHAPES = {
    b"ref": re.compile(rb"[0-9a-fA-F]{16}"),
    b"since": re.compile(rb"[0-9]{1,16}"),
    b"sender": re.compile(rb"[0-9]{1,19}"),
    b"room": re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?"),
    b"class_rank": re.compile(rb"0(\.[0-9]{1,19})?"),
    b"replay": re.compile(rb"[0-9a-fA-F]{32}"),
    b"lookup": re.compile(rb"[!-~]{1,64}"),
    b"allow": re.compile(rb"[0-9]{1,9}"),
    b"dup": re.compile(rb"[0-9]{1,9}"),
    b"effort": re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?"),
}
NEEDED = (b"ref", b"since", b"sender", b"room")


class GarbledError(ValueError):
    """The bytes are not frames of this protocol: nothing after them can be read.

    `frames` are those that came whole before them in the same read; they are owed their answers.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.frames: list[list[bytes]] = []


class FaultyError(ValueError):
    """A whole frame that means nothing; `tag` is what an answer would carry, if it could be read."""

    def __init__(self, reason: str, tag: int = 0) -> None:
        super().__init__(reason)
        self.tag = tag


@dataclass(slots=True)
class Asked:
    """A try of a request: the fields that decisions need, and the rest as the bytes that came.

    The last three come only where the settings say so: until when its caller waits, whether it is a further
    try, and for how many seconds it should run.
    """

    tag: int
    name: bytes
    request_class: bytes
    router: bytes
    tenant: bytes
    since: float
    kb: float
    idempotency_key: bytes | None
    subject: str | None
    body: bytes
    until: float | None = None
    again: bool = False
    estimate: float | None = None


@dataclass(slots=True)
class Withdrawn:
    """Nobody waits for the answer to `tag` any more."""

    tag: int


@dataclass(slots=True)
class Checked:
    """A health check."""

    tag: int


Message: TypeAlias = Asked | Withdrawn | Checked


class Parser:
    """Takes bytes as they come, gives the arrays that are complete."""

    def __init__(self) -> None:
        self._bytes = bytearray()
        self._at = 0
        self._words: list[bytes] = []
        self._left = 0  # words still to come in the open array

    @property
    def partial(self) -> bool:
        """Whether an array has begun whose end is still to come."""
        return bool(self._bytes or self._left)

    def feed(self, data: bytes) -> list[list[bytes]]:
        self._bytes += data
        self._at = 0
        found: list[list[bytes]] = []
        try:
            self._take_whole(found)
        except GarbledError as trouble:
            trouble.frames = found
            raise
        del self._bytes[: self._at]
        return found

    def _take_whole(self, found: list[list[bytes]]) -> None:
        """Take all frames that are whole, one by one."""
        while True:
            if not self._left:
                count = self._length(b"*", WORDS_MOST)
                if count is None:
                    return
                if not count:
                    raise GarbledError("an empty array")
                self._words, self._left = [], count
            word = self._word()
            if word is None:
                return
            self._words.append(word)
            self._left -= 1
            if not self._left:
                found.append(self._words)

    def _length(self, mark: bytes, most: int) -> int | None:
        """The number of a header line, or None while its end is missing."""
        start = self._at
        if len(self._bytes) > start and self._bytes[start : start + 1] != mark:
            raise GarbledError(f"expected {mark!r}, got {bytes(self._bytes[start : start + 1])!r}")
        end = self._bytes.find(b"\r\n", start, start + DIGITS_MOST + 3)
        digits = bytes(self._bytes[start + 1 : end if end >= 0 else None])
        if end < 0:
            if len(digits) > DIGITS_MOST + 1:
                raise GarbledError("a length without an end")
            return None
        if not digits.isdigit() or int(digits) > most:
            raise GarbledError(f"not a length in range: {digits!r}")
        self._at = end + 2
        return int(digits)

    def _word(self) -> bytes | None:
        back = self._at
        size = self._length(b"$", WORD_MOST)
        if size is None:
            return None
        start, end = self._at, self._at + size
        if len(self._bytes) < end + 2:
            self._at = back
            return None
        if self._bytes[end : end + 2] != b"\r\n":
            raise GarbledError("a bulk string does not end where its length says")
        self._at = end + 2
        return bytes(self._bytes[start:end])


def message(words: list[bytes]) -> Message:
    """What a frame means; raises `FaultyError` for one that means nothing."""
    if len(words) < 2 or not words[1].isdigit() or len(words[1]) > DIGITS_MOST or not int(words[1]):
        raise FaultyError("no tag that can be read")
    verb, tag = words[0], int(words[1])
    match verb, len(words):
        case b"RPC.CALL", 4 | 5:
            return _asked(tag, words)
        case b"RPC.CANCEL", _:
            return Withdrawn(tag)
        case b"RPC.HEALTH", _:
            return Checked(tag)
    raise FaultyError(f"no such verb, or not with {len(words)} words: {verb[:40]!r}", tag)


def _asked(tag: int, words: list[bytes]) -> Asked:
    body = words[4] if len(words) > 4 else b""
    if len(body) > BODY_MOST:
        raise FaultyError(f"a body of {len(body)} bytes", tag)
    fields: dict[bytes, bytes] = {}
    for pair in words[3].split(b","):
        name, mark, value = pair.partition(b"=")
        if not mark or name in fields:
            raise FaultyError(f"not a field: {pair[:40]!r}", tag)
        if name in SHAPES and not SHAPES[name].fullmatch(value):
            raise FaultyError(f"a field that can't be read: {pair[:60]!r}", tag)
        fields[name] = value
    for name in NEEDED:
        if name not in fields:
            raise FaultyError(f"no field {name!r}", tag)
    kb = float(fields[b"room"])
    if not 0 < kb < KB_UNDER:
        raise FaultyError(f"a figure out of range: room={kb:g}", tag)
    since = int(fields[b"since"]) / 1000
    return Asked(
        tag=tag,
        name=fields[b"ref"],
        request_class=words[2],
        router=fields[b"sender"],
        tenant=fields.get(b"project", b""),
        since=since,
        kb=kb,
        idempotency_key=fields.get(b"replay"),
        subject=fields[b"lookup"].decode("ascii") if b"lookup" in fields else None,
        body=body,
        until=since + int(fields[b"allow"]) / 1000 if b"allow" in fields else None,
        again=b"dup" in fields and int(fields[b"dup"]) > 0,
        estimate=float(fields[b"effort"]) / 1000 if b"effort" in fields else None,
    )


def completed(tag: int, said: float | None, result: bytes) -> bytes:
    return _array(b"%d" % tag, b"OK", _fields(said), result)


def rejected(tag: int, said: float | None, retry_after_s: float, no_retry_elsewhere: bool) -> bytes:
    return _array(b"%d" % tag, b"BUSY", _fields(said, retry_after_s, no_retry_elsewhere), b"")


def failed(tag: int, said: float | None) -> bytes:
    return _array(b"%d" % tag, b"FAILED", _fields(said), b"")


def checked(tag: int, said: float | None, good: bool) -> bytes:
    return _array(b"%d" % tag, b"UP" if good else b"DOWN", _fields(said), b"")


def farewell() -> bytes:
    return _array(b"0", b"BYE")


def _fields(said: float | None, retry_after_s: float = 0.0, no_retry_elsewhere: bool = False) -> bytes:
    parts = []
    if said is not None:
        parts.append(b"pressure=" + f"{said:.6f}".rstrip("0").rstrip(".").encode())
    if retry_after_s > 0:
        parts.append(b"cooldown=%d" % max(round(retry_after_s * 1000), 1))
    if no_retry_elsewhere:
        parts.append(b"nowhere=1")
    return b",".join(parts)


def _array(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)
