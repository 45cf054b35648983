"""The wire's lines: parsing what comes in, formatting what goes out. No ids are resolved here."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from ..overload.interface import Outcome, ServerSettings
from ..program import configuration


class MalformedError(ValueError):
    """A line that is not of the wire."""


FIELDS = {
    "init": 2,
    "destroy": 0,
    "request": 12,
    "work_done": 3,
    "needs": 1,
    "returned": 3,
    "lapsed": 1,
    "drain": 1,
    "bell": 2,
}
OUTCOMES = {
    "S": Outcome.SUCCEEDED,
    "E": Outcome.ERROR,
    "F": Outcome.REJECTED,
    "T": Outcome.TIMED_OUT,
    "C": Outcome.UNREACHABLE,
    "R": Outcome.CONNECTION_LOST,
    "X": Outcome.CANCELLED,
    "N": Outcome.NEVER_STARTED,
}


@dataclass(slots=True)
class Line:
    """One event line: its verb, its instance, its other parts."""

    verb: str
    instance: int
    parts: list[str]


def parse_mark(text: str) -> tuple[float, int]:
    """The clock and the batch number of a `mark` line."""
    parts = text.split(" ")
    if len(parts) != 3 or parts[0] != "mark":
        raise MalformedError(f"expected a mark line, got {text!r}")
    return number(parts[1]), whole(parts[2])


def parse_line(text: str) -> Line:
    """An event line, with as many parts as its verb takes."""
    verb = text.split(" ", 1)[0]
    count = FIELDS.get(verb)
    if count is None:
        raise MalformedError(f"unknown event: {text!r}")
    parts = text.split(" ", 3) if verb == "init" else text.split(" ")
    if len(parts) != count + 2:
        raise MalformedError(f"{verb} takes {count + 1} values: {text!r}")
    return Line(verb, whole(parts[1]), parts[2:])


def number(text: str, absent: float | None = None) -> float:
    """A finite number; `-` reads as `absent` where one is given."""
    if text == "-" and absent is not None:
        return absent
    try:
        value = float(text)
    except ValueError:
        raise MalformedError(f"not a number: {text!r}") from None
    if value - value != 0:
        raise MalformedError(f"not a finite number: {text!r}")
    return value


def whole(text: str, absent: int | None = None) -> int:
    """A whole number from 0 up; `-` reads as `absent` where one is given."""
    if text == "-" and absent is not None:
        return absent
    if not (text.isascii() and text.isdigit()):
        raise MalformedError(f"not a whole number: {text!r}")
    return int(text)


def outcome(text: str) -> Outcome:
    """How a run or a call ended."""
    if text not in OUTCOMES:
        raise MalformedError(f"unknown outcome: {text!r}")
    return OUTCOMES[text]


def gauges(text: str) -> dict[str, float]:
    """The name:value pairs of a bell."""
    found = {}
    for pair in text.split(",") if text != "-" else ():
        name, colon, value = pair.partition(":")
        if not colon:
            raise MalformedError(f"not a gauge: {pair!r}")
        if value != "-":
            found[name] = number(value)
    return found


def server_settings(text: str) -> ServerSettings:
    """The settings of an `init`; keys not known are skipped."""
    try:
        return configuration.server_settings(configuration.Section(json.loads(text), "settings"))
    except ValueError as trouble:
        raise MalformedError(str(trouble)) from None


def seconds(value: float) -> str:
    """A time or an amount as the wire writes it."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


def reply(lines: Iterable[str], batch: int) -> str:
    """A whole reply."""
    return "".join(f"{line}\n" for line in lines) + f"end {batch}\n"
