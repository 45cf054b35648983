"""The interpreter's line protocol: encodes commands to it and parses notices from it.

The protocol's own words (verbs, outcomes, states) are used in this module only.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from math import isfinite
from typing import TypeAlias

from ..overload.interface import Outcome

MAX_LINE_BYTES = 4096
MAX_PAYLOAD_BYTES = 1 << 20
MAX_DIGITS = 19
UNNUMBERED_NOTICES = (b"BANNER", b"TOPS", b"ERROR")
OUTCOMES = {
    b"success": Outcome.SUCCEEDED,
    b"failure": Outcome.ERROR,
    b"interrupted": Outcome.CANCELLED,
    b"nothing": Outcome.NEVER_STARTED,
}


class Command(Enum):
    """The kinds of commands."""

    START = auto()
    CANCEL = auto()
    GAUGES = auto()
    OTHER = auto()


COMMANDS = {b"APPLY": Command.START, b"BREAK": Command.CANCEL, b"TOP": Command.GAUGES}


class ProtocolError(ValueError):
    """The received data is not a valid notice of this protocol.

    Attributes:
        number: The number of the invalid notice; 0 if it could not be parsed.
        name: The id of the run that the notice ends; empty if it could not be parsed.
    """

    number = 0
    name = b""


@dataclass(slots=True)
class Greeting:
    """The first notice on a link: the interpreter is running.

    Attributes:
        cold: Whether the interpreter was booting `uptime_s` ago.
        uptime_s: For how long the interpreter has been running, in seconds.
    """

    cold: bool
    uptime_s: float


@dataclass(slots=True)
class RunFinished:
    """A run ended.

    Attributes:
        number: The number of this notice.
        name: The id of the run's request.
    """

    number: int
    name: bytes
    outcome: Outcome
    run_time_s: float
    result: bytes


@dataclass(slots=True)
class Gauges:
    """The gauges in the order of the settings, None if there is no value; `tag` is that of the query."""

    tag: bytes
    values: tuple[float | None, ...]


@dataclass(slots=True)
class CommandRejected:
    """The interpreter did not carry out a command."""

    command: Command
    name: bytes


@dataclass(slots=True)
class CallNeeded:
    """A run waits for the result of a dependency call."""

    number: int
    name: bytes


@dataclass(slots=True)
class IgnoredNotice:
    """A numbered notice whose content is not used."""

    number: int


Notice: TypeAlias = Greeting | RunFinished | Gauges | CommandRejected | CallNeeded | IgnoredNotice


def encode_connect(last_notice: int) -> bytes:
    """Encode the first message of a link; the interpreter repeats all notices after `last_notice`."""
    return b"CONNECT %d\r\n" % last_notice


def encode_start_run(name: bytes, request_class: bytes, body: bytes) -> bytes:
    """Encode the command that starts a run."""
    return b"APPLY %b %b %d\r\n%b\r\n" % (name, request_class, len(body), body)


def encode_cancel_run(name: bytes) -> bytes:
    """Encode the command that cancels a run."""
    return b"BREAK %b\r\n" % name


def encode_gauge_query(tag: bytes) -> bytes:
    """Encode the query for the gauges; the answer repeats `tag`."""
    return b"TOP %b\r\n" % tag


class Parser:
    """Incremental parser: takes bytes as they are read and returns the notices that are complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Notice]:
        """Return the complete notices before the first invalid one.

        Raises:
            ProtocolError: The first notice is invalid. It stays in the buffer, so each further call raises.
        """
        self._buffer += data
        notices: list[Notice] = []
        try:
            while (notice := self._next_notice()) is not None:
                notices.append(notice)
        except ProtocolError:
            if not notices:
                raise
        return notices

    def _next_notice(self) -> Notice | None:
        """Remove the next notice from the buffer and return it; None while it is incomplete."""
        line_end = self._buffer.find(b"\r\n")
        if line_end < 0:
            if len(self._buffer) > MAX_LINE_BYTES:
                raise ProtocolError(f"line longer than {MAX_LINE_BYTES} bytes")
            return None
        words = bytes(self._buffer[:line_end]).split(b" ")
        try:
            size = _payload_size(words)
            notice_end = line_end + 2 if size is None else line_end + size + 4
            if len(self._buffer) < notice_end:
                return None
            if self._buffer[notice_end - 2 : notice_end] != b"\r\n":
                raise ProtocolError("payload is not followed by CR LF at its declared size")
            notice = _parse_notice(words, bytes(self._buffer[line_end + 2 : notice_end - 2]))
        except ProtocolError as error:
            _describe_notice(error, words)
            raise
        del self._buffer[:notice_end]
        return notice


def _describe_notice(error: ProtocolError, words: list[bytes]) -> None:
    """Set the number and the run id of the invalid notice on `error`, if they can be parsed."""
    numbered = len(words) > 1 and words[0] not in UNNUMBERED_NOTICES and words[1].isdigit()
    error.number = int(words[1][:MAX_DIGITS]) if numbered else 0
    error.name = words[2] if words[0] == b"VALUE" and len(words) > 2 else b""


def _payload_size(words: list[bytes]) -> int | None:
    """Return the size in bytes of the payload that follows a line; None if there is none."""
    match words:
        case [b"VALUE", number, _, _, _, size] | [b"AWAIT", number, _, size]:
            _parse_integer(number)
            return _parse_integer(size, MAX_PAYLOAD_BYTES)
    return None


def _parse_notice(words: list[bytes], payload: bytes) -> Notice:
    match words:
        case [b"BANNER", (b"booting" | b"steady") as state, uptime_ms]:
            return Greeting(state == b"booting", _parse_number(uptime_ms) / 1000)
        case [b"VALUE", _, _, _, _] | [b"VALUE", _, _, _, _, _]:
            return _parse_run_finished(words, payload)
        case [b"AWAIT", number, name, _]:
            return CallNeeded(_parse_integer(number), name)
        case [b"TOPS", tag, *values]:
            return Gauges(tag, tuple(None if value == b"-" else _parse_number(value) for value in values))
        case [b"ERROR", command, name, *_]:
            return CommandRejected(COMMANDS.get(command, Command.OTHER), name)
        case [b"TRACE", number, *_]:
            return IgnoredNotice(_parse_integer(number))
    raise ProtocolError(f"unknown or malformed notice: {b' '.join(words)[:80]!r}")


def _parse_run_finished(words: list[bytes], result: bytes) -> RunFinished:
    _, number, name, outcome, run_time_ms = words[:5]
    if outcome not in OUTCOMES:
        raise ProtocolError(f"unknown outcome of a run: {outcome!r}")
    return RunFinished(
        _parse_integer(number), name, OUTCOMES[outcome], _parse_number(run_time_ms) / 1000, result
    )


def _parse_number(word: bytes) -> float:
    try:
        value = float(word)
    except ValueError:
        raise ProtocolError(f"not a number: {word[:40]!r}") from None
    if not isfinite(value) or value < 0:
        raise ProtocolError(f"not a finite number of 0 or more: {word[:40]!r}")
    return value


def _parse_integer(word: bytes, limit: int = 1 << 63) -> int:
    if not word.isdigit() or len(word) > MAX_DIGITS or int(word) > limit:
        raise ProtocolError(f"not an integer from 0 to {limit}: {word[:40]!r}")
    return int(word)
