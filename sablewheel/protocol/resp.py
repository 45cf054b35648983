"""The clients' protocol: RESP arrays of bulk strings.

The protocol's own words (verbs, field names, states) are used in this module only.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeAlias

MAX_FRAME_WORDS = 16
MAX_WORD_BYTES = 1 << 16
MAX_BODY_BYTES = 2048
MAX_VERB_BYTES = 10
MAX_FIELDS_BYTES = 1024  # without the tenant's name; the known fields have under 350 together
MAX_DIGITS = 19
NO_LINE_END = "bulk string is not followed by CR LF at its declared length"
MEMORY_LIMIT_KB = 2000.0  # a request's memory has to be less
# Patterns, since Python's own number parsers also accept signs, blanks, underscores and exponents.
FIELD_PATTERNS = {
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
REQUIRED_FIELDS = (b"ref", b"since", b"sender", b"room")


class ProtocolError(ValueError):
    """The bytes are not frames of this protocol, so nothing after them can be parsed.

    Attributes:
        frames: The complete frames that preceded the error in the same read. They are still to be answered.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.frames: list[list[bytes]] = []


class InvalidMessageError(ValueError):
    """A complete frame that is not a valid message.

    Attributes:
        tag: The tag that an answer has to carry; 0 if it could not be parsed.
    """

    def __init__(self, reason: str, tag: int = 0) -> None:
        super().__init__(reason)
        self.tag = tag


@dataclass(slots=True)
class RequestMessage:
    """One attempt of a request.

    Fields that decisions depend on are parsed; the others are kept as the bytes received. The last three
    fields are set only if the settings say that clients send them.

    Attributes:
        arrived_at_unix: When the request reached the machine, in seconds of Unix time.
        deadline_unix: When the client times out, in seconds of Unix time.
        cost_hint_s: The expected run time, in seconds.
    """

    tag: int
    name: bytes
    request_class: bytes
    client: bytes
    tenant: bytes
    arrived_at_unix: float
    memory_kb: float
    idempotency_key: bytes | None
    subject: str | None
    body: bytes
    deadline_unix: float | None = None
    is_retry: bool = False
    cost_hint_s: float | None = None


@dataclass(slots=True)
class CancelMessage:
    """The client no longer waits for the answer to `tag`."""

    tag: int


@dataclass(slots=True)
class HealthCheckMessage:
    """A health check."""

    tag: int


Message: TypeAlias = RequestMessage | CancelMessage | HealthCheckMessage


class SkippedWord(bytes):
    """An empty word in place of one that was not kept, as its frame exceeds the limit of a message."""

    __slots__ = ()


def max_message_bytes(class_names: Iterable[bytes], tenant_names: Iterable[bytes]) -> int:
    """Return how many bytes the words of a valid message have at most, without their headers."""
    longest_class = max(map(len, class_names), default=0)
    longest_tenant = max(map(len, tenant_names), default=0)
    return MAX_VERB_BYTES + MAX_DIGITS + longest_class + MAX_FIELDS_BYTES + longest_tenant + MAX_BODY_BYTES


class Parser:
    """Incremental parser: takes bytes as they are read and returns the arrays that are complete.

    `add` takes bytes, and `next_frame` returns one array after the other; `feed` does both.

    Invariant: of an incomplete array no more than `max_frame_bytes` and one header are kept. Words beyond
    that are read, counted and dropped, so that the array can still be answered.

    Args:
        max_frame_bytes: The limit of the words of one array together; a word that would exceed it is
            returned as a `SkippedWord`.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_WORDS * MAX_WORD_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._buffer = b""  # replaced, not resized: blocks that shrink in place fragment the heap
        self._position = 0
        self._words: list[bytes] = []
        self._word_bytes = 0  # in the words of the incomplete array
        self._missing_words = 0  # number of words that the incomplete array lacks; 0 if there is none
        self._missing_skipped_bytes: int | None = None  # of a word that is skipped; None if none is

    @property
    def partial(self) -> bool:
        """Whether an array was received in part only."""
        return bool(self._buffer or self._missing_words)

    @property
    def kept_bytes(self) -> int:
        """The number of bytes kept of arrays that are incomplete, or not returned yet."""
        return len(self._buffer) - self._position + self._word_bytes

    @property
    def skipped_bytes(self) -> int:
        """How many of the next bytes will be dropped."""
        return self._missing_skipped_bytes or 0

    def clear(self) -> None:
        """Drop what was received of an incomplete array, and all bytes after it."""
        self._buffer, self._words = b"", []
        self._position = self._word_bytes = self._missing_words = 0
        self._missing_skipped_bytes = None

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the frames that `data` completes.

        Raises:
            ProtocolError: The bytes are not of this protocol.
        """
        self.add(data)
        frames: list[list[bytes]] = []
        try:
            while (frame := self.next_frame()) is not None:
                frames.append(frame)
        except ProtocolError as error:
            error.frames = frames
            raise
        return frames

    def add(self, data: bytes) -> None:
        """Take bytes as they were read."""
        self._buffer, self._position = self._buffer[self._position :] + data, 0

    def next_frame(self) -> list[bytes] | None:
        """Return the next complete frame, or None while it is incomplete.

        Raises:
            ProtocolError: The bytes are not of this protocol.
        """
        frame = self._parse_frame()
        if frame is None:
            self._buffer, self._position = self._buffer[self._position :], 0
        return frame

    def _parse_frame(self) -> list[bytes] | None:
        while True:
            if not self._missing_words:
                count = self._parse_length(b"*", MAX_FRAME_WORDS)
                if count is None:
                    return None
                if not count:
                    raise ProtocolError("empty array")
                self._words, self._missing_words = [], count
            word = self._parse_word()
            if word is None:
                return None
            self._words.append(word)
            self._missing_words -= 1
            if not self._missing_words:
                frame, self._words, self._word_bytes = self._words, [], 0
                return frame

    def _parse_length(self, prefix: bytes, limit: int) -> int | None:
        """Return the number in a header line, or None while the line is incomplete."""
        buffer, start = self._buffer, self._position
        if not buffer.startswith(prefix, start):
            if len(buffer) == start:
                return None
            raise ProtocolError(f"expected {prefix!r}, got {buffer[start : start + 1]!r}")
        end = buffer.find(b"\r\n", start, start + MAX_DIGITS + 3)
        if end < 0:
            if len(buffer) > start + MAX_DIGITS + 2:
                raise ProtocolError(f"length without CR LF after {MAX_DIGITS} digits")
            return None
        digits = buffer[start + 1 : end]
        if not digits.isdigit() or int(digits) > limit:
            raise ProtocolError(f"not a length from 0 to {limit}: {digits!r}")
        self._position = end + 2
        return int(digits)

    def _parse_word(self) -> bytes | None:
        """Return the next bulk string, or None while it is incomplete."""
        if self._missing_skipped_bytes is not None:
            return self._skip_word()
        word_start = self._position
        size = self._parse_length(b"$", MAX_WORD_BYTES)
        if size is None:
            return None
        if self._word_bytes + size > self._max_frame_bytes:
            self._missing_skipped_bytes = size
            return self._skip_word()
        start, end = self._position, self._position + size
        line_end = self._buffer[end : end + 2]
        if line_end != b"\r\n":
            if len(line_end) == 2:
                raise ProtocolError(NO_LINE_END)
            self._position = word_start
            return None
        self._position = end + 2
        self._word_bytes += size
        return self._buffer[start:end]

    def _skip_word(self) -> SkippedWord | None:
        """Drop the bytes of a word as they are received; return its substitute once all were."""
        assert self._missing_skipped_bytes is not None
        dropped = min(self._missing_skipped_bytes, len(self._buffer) - self._position)
        self._position += dropped
        self._missing_skipped_bytes -= dropped
        line_end = self._buffer[self._position : self._position + 2]
        if self._missing_skipped_bytes or len(line_end) < 2:
            return None
        if line_end != b"\r\n":
            raise ProtocolError(NO_LINE_END)
        self._position += 2
        self._missing_skipped_bytes = None
        return SkippedWord()


def parse_message(words: list[bytes]) -> Message:
    """Return the message that a frame carries.

    Raises:
        InvalidMessageError: The frame is not a valid message.
    """
    if len(words) < 2 or not words[1].isdigit() or len(words[1]) > MAX_DIGITS or not int(words[1]):
        raise InvalidMessageError("missing or invalid tag")
    verb, tag = words[0], int(words[1])
    if SkippedWord in map(type, words):
        raise InvalidMessageError("larger than any valid message", tag)
    match verb, len(words):
        case b"RPC.CALL", 4 | 5:
            return _parse_request(tag, words)
        case b"RPC.CANCEL", _:
            return CancelMessage(tag)
        case b"RPC.HEALTH", _:
            return HealthCheckMessage(tag)
    raise InvalidMessageError(f"unknown verb, or not valid with {len(words)} words: {verb[:40]!r}", tag)


def _parse_request(tag: int, words: list[bytes]) -> RequestMessage:
    body = words[4] if len(words) > 4 else b""
    if len(body) > MAX_BODY_BYTES:
        raise InvalidMessageError(f"body of {len(body)} bytes, more than {MAX_BODY_BYTES}", tag)
    fields = _parse_fields(tag, words[3])
    memory_kb = float(fields[b"room"])
    if not 0 < memory_kb < MEMORY_LIMIT_KB:
        raise InvalidMessageError(f"field out of range: room={memory_kb:g}", tag)
    arrived_at_unix = int(fields[b"since"]) / 1000
    deadline_unix = arrived_at_unix + int(fields[b"allow"]) / 1000 if b"allow" in fields else None
    return RequestMessage(
        tag=tag,
        name=fields[b"ref"],
        request_class=words[2],
        client=fields[b"sender"],
        tenant=fields.get(b"project", b""),
        arrived_at_unix=arrived_at_unix,
        memory_kb=memory_kb,
        idempotency_key=fields.get(b"replay"),
        subject=fields[b"lookup"].decode("ascii") if b"lookup" in fields else None,
        body=body,
        deadline_unix=deadline_unix,
        is_retry=b"dup" in fields and int(fields[b"dup"]) > 0,
        cost_hint_s=float(fields[b"effort"]) / 1000 if b"effort" in fields else None,
    )


def _parse_fields(tag: int, word: bytes) -> dict[bytes, bytes]:
    """Return the fields of a request by name; the values of known fields match their patterns."""
    fields: dict[bytes, bytes] = {}
    for pair in word.split(b","):
        name, separator, value = pair.partition(b"=")
        if not separator or name in fields:
            raise InvalidMessageError(f"malformed or repeated field: {pair[:40]!r}", tag)
        if name in FIELD_PATTERNS and not FIELD_PATTERNS[name].fullmatch(value):
            raise InvalidMessageError(f"invalid field value: {pair[:60]!r}", tag)
        fields[name] = value
    for name in REQUIRED_FIELDS:
        if name not in fields:
            raise InvalidMessageError(f"missing field: {name!r}", tag)
    return fields


def encode_completed(tag: int, advertised: float | None, result: bytes) -> bytes:
    """Encode the answer to a completed request."""
    return _encode_array(b"%d" % tag, b"OK", _encode_fields(advertised), result)


def encode_rejected(
    tag: int, advertised: float | None, retry_after_s: float, no_retry_elsewhere: bool
) -> bytes:
    """Encode the answer to a request that was rejected and never ran."""
    fields = _encode_fields(advertised, retry_after_s, no_retry_elsewhere)
    return _encode_array(b"%d" % tag, b"BUSY", fields, b"")


def encode_failed(tag: int, advertised: float | None) -> bytes:
    """Encode the answer to a request that failed."""
    return _encode_array(b"%d" % tag, b"FAILED", _encode_fields(advertised), b"")


def encode_health(tag: int, advertised: float | None, healthy: bool) -> bytes:
    """Encode the answer to a health check."""
    return _encode_array(b"%d" % tag, b"UP" if healthy else b"DOWN", _encode_fields(advertised), b"")


def encode_close_notice() -> bytes:
    """Encode the notice after which the client sends no new request on the connection."""
    return _encode_array(b"0", b"BYE")


def _encode_fields(
    advertised: float | None, retry_after_s: float = 0.0, no_retry_elsewhere: bool = False
) -> bytes:
    fields = []
    if advertised is not None:
        fields.append(b"pressure=" + f"{advertised:.6f}".rstrip("0").rstrip(".").encode())
    if retry_after_s > 0:
        fields.append(b"cooldown=%d" % max(round(retry_after_s * 1000), 1))
    if no_retry_elsewhere:
        fields.append(b"nowhere=1")
    return b",".join(fields)


def _encode_array(*words: bytes) -> bytes:
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)
