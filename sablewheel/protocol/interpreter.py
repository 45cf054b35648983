"""The interpreter's lines: commands to it, notices from it. The wire's own words stay in this file."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from typing import TypeAlias

from ..overload.interface import Outcome

LINE_MOST = 4096
FOLLOWING_MOST = 1 << 20  # bytes behind a line
UNNUMBERED = (b"BANNER", b"TOPS", b"ERROR")
ENDS = {
    b"success": Outcome.SUCCEEDED,
    b"failure": Outcome.ERROR,
    b"interrupted": Outcome.CANCELLED,
    b"nothing": Outcome.NEVER_STARTED,
}


class Command(Enum):
    """What a command was for."""

    START = auto()
    HALT = auto()
    GAUGES = auto()
    OTHER = auto()


COMMANDS = {b"APPLY": Command.START, b"BREAK": Command.HALT, b"TOP": Command.GAUGES}


class GarbledError(ValueError):
    """What came is not of the interpreter's lines.

    `number`: the notice's own; `name`: the run whose end it tells; 0 and empty if none can be made out.
    """

    number = 0
    name = b""


@dataclass(slots=True)
class Greeting:
    """The interpreter is up, since `age` seconds; `cold` if it was only booting then."""

    cold: bool
    age: float


@dataclass(slots=True)
class RunOver:
    """A run is over: notice number, the run's id, how it ended, after how many seconds, its result."""

    number: int
    name: bytes
    outcome: Outcome
    took: float
    result: bytes


@dataclass(slots=True)
class Gauges:
    """The gauges, in the order of the settings, as asked for under `tag`."""

    tag: bytes
    values: tuple[float | None, ...]


@dataclass(slots=True)
class Rejected:
    """A command was not carried out."""

    command: Command
    name: bytes


@dataclass(slots=True)
class CallNeeded:
    """A run stands at a call of a service below, and waits for its result: notice number, the run's id."""

    number: int
    name: bytes


@dataclass(slots=True)
class Remark:
    """A numbered notice with no meaning."""

    number: int


Notice: TypeAlias = Greeting | RunOver | Gauges | Rejected | CallNeeded | Remark


def connect(last: int) -> bytes:
    return b"CONNECT %d\r\n" % last


def apply(name: bytes, request_class: bytes, body: bytes) -> bytes:
    return b"APPLY %b %b %d\r\n%b\r\n" % (name, request_class, len(body), body)


def halt(name: bytes) -> bytes:
    return b"BREAK %b\r\n" % name


def ask_gauges(tag: bytes) -> bytes:
    return b"TOP %b\r\n" % tag


class Parser:
    """Takes bytes as they come, gives the notices that are complete."""

    def __init__(self) -> None:
        self._bytes = bytearray()

    def feed(self, data: bytes) -> list[Notice]:
        """All notices up to the first that is none; GarbledError if that is the first, each time anew."""
        self._bytes += data
        found: list[Notice] = []
        try:
            while (notice := self._next()) is not None:
                found.append(notice)
        except GarbledError:
            if not found:
                raise
        return found

    def _next(self) -> Notice | None:
        end = self._bytes.find(b"\r\n")
        if end < 0:
            if len(self._bytes) > LINE_MOST:
                raise GarbledError("a line without an end")
            return None
        words = bytes(self._bytes[:end]).split(b" ")
        try:
            size = _length(words)
            if size is None:
                notice, stop = _notice(words), end + 2
            else:
                stop = end + size + 4
                if len(self._bytes) < stop:
                    return None
                if self._bytes[stop - 2 : stop] != b"\r\n":
                    raise GarbledError("what follows a line does not end where its length says")
                notice = _notice(words, bytes(self._bytes[end + 2 : stop - 2]))
        except GarbledError as trouble:
            numbered = len(words) > 1 and words[0] not in UNNUMBERED and words[1].isdigit()
            trouble.number = int(words[1][:19]) if numbered else 0
            trouble.name = words[2] if words[0] == b"VALUE" and len(words) > 2 else b""
            raise
        del self._bytes[:stop]
        return notice


def _length(words: list[bytes]) -> int | None:
    """How many bytes follow a line, None for none."""
    match words:
        case [b"VALUE", number, _, _, _, size] | [b"AWAIT", number, _, size]:
            _whole(number)
            return _whole(size, FOLLOWING_MOST)
    return None


def _run_over(words: list[bytes], result: bytes) -> RunOver:
    if words[3] not in ENDS:
        raise GarbledError(f"no such end: {words[3]!r}")
    return RunOver(_whole(words[1]), words[2], ENDS[words[3]], _number(words[4]) / 1000, result)


def _notice(words: list[bytes], following: bytes = b"") -> Notice:
    match words:
        case [b"BANNER", (b"booting" | b"steady") as state, age]:
            return Greeting(state == b"booting", _number(age) / 1000)
        case [b"VALUE", _, _, _, _] | [b"VALUE", _, _, _, _, _]:
            return _run_over(words, following)
        case [b"AWAIT", number, name, _]:
            return CallNeeded(_whole(number), name)
        case [b"TOPS", tag, *values]:
            return Gauges(tag, tuple(None if value == b"-" else _number(value) for value in values))
        case [b"ERROR", command, name, *_]:
            return Rejected(COMMANDS.get(command, Command.OTHER), name)
        case [b"TRACE", number, *_]:
            return Remark(_whole(number))
    raise GarbledError(f"not a notice: {b' '.join(words)[:80]!r}")


def _number(word: bytes) -> float:
    try:
        value = float(word)
    except ValueError:
        raise GarbledError(f"not a number: {word[:40]!r}") from None
    if value - value != 0 or value < 0:
        raise GarbledError(f"not a finite number: {word[:40]!r}")
    return value


def _whole(word: bytes, most: int = 1 << 63) -> int:
    if not word.isdigit() or len(word) > 19 or int(word) > most:
        raise GarbledError(f"not a whole number in range: {word[:40]!r}")
    return int(word)
