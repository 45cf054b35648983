"""Parses and formats the lines of the simulator's protocol, without resolving ids."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass

from ..overload.interface import Outcome, ServerSettings
from ..program import configuration


class MalformedError(ValueError):
    """A line does not follow the protocol."""


FIELD_COUNTS = {  # number of values after the instance, by verb
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
    """An event line: verb, instance id and the other parts."""

    verb: str
    instance: int
    parts: list[str]


def parse_mark(text: str) -> tuple[float, int]:
    """Return the clock reading and the batch number of a `mark` line."""
    parts = text.split(" ")
    if len(parts) != 3 or parts[0] != "mark":
        raise MalformedError(f"expected a mark line, got {text!r}")
    return parse_number(parts[1]), parse_integer(parts[2])


def parse_line(text: str) -> Line:
    """Parse an event line; its number of parts must match its verb."""
    verb = text.split(" ", 1)[0]
    value_count = FIELD_COUNTS.get(verb)
    if value_count is None:
        raise MalformedError(f"unknown event: {text!r}")
    parts = text.split(" ", 3) if verb == "init" else text.split(" ")
    if len(parts) != value_count + 2:
        raise MalformedError(f"{verb} takes {value_count + 1} values: {text!r}")
    return Line(verb, parse_integer(parts[1]), parts[2:])


def parse_number(text: str, absent: float | None = None) -> float:
    """Parse a finite number; `-` means `absent`, if that is given."""
    if text == "-" and absent is not None:
        return absent
    try:
        value = float(text)
    except ValueError:
        raise MalformedError(f"not a number: {text!r}") from None
    if value - value != 0:
        raise MalformedError(f"not a finite number: {text!r}")
    return value


def parse_integer(text: str, absent: int | None = None) -> int:
    """Parse an integer of at least 0; `-` means `absent`, if that is given."""
    if text == "-" and absent is not None:
        return absent
    if not (text.isascii() and text.isdigit()):
        raise MalformedError(f"not an integer of at least 0: {text!r}")
    return int(text)


def parse_outcome(text: str) -> Outcome:
    """Parse the outcome of a run or a call."""
    if text not in OUTCOMES:
        raise MalformedError(f"unknown outcome: {text!r}")
    return OUTCOMES[text]


def parse_gauges(text: str) -> dict[str, float]:
    """Parse the name:value pairs of a `bell` line; omit gauges without a value."""
    values = {}
    for pair in text.split(",") if text != "-" else ():
        name, colon, value = pair.partition(":")
        if not colon:
            raise MalformedError(f"not a name:value gauge: {pair!r}")
        if value != "-":
            values[name] = parse_number(value)
    return values


def parse_server_settings(text: str) -> ServerSettings:
    """Parse the settings of an `init` line; unknown keys are ignored."""
    try:
        return configuration.server_settings(configuration.Section(json.loads(text), "settings"))
    except ValueError as error:
        raise MalformedError(str(error)) from None


def format_number(value: float) -> str:
    """Format a time or an amount, without trailing zeros."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


def format_reply(lines: Iterable[str], batch_number: int) -> str:
    """Format the reply to a batch."""
    return "".join(f"{line}\n" for line in lines) + f"end {batch_number}\n"
