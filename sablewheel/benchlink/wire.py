"""The wire's lines: parsing what comes in, formatting what goes out. No ids are resolved here."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from ..terms import Customer, Halting, Ledger, Location, Machine, Nature, Outcome, Speech, Track


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
    "S": Outcome.WORKED,
    "E": Outcome.ERROR,
    "F": Outcome.FULL,
    "T": Outcome.TIMED_OUT,
    "C": Outcome.UNREACHED,
    "R": Outcome.CUT_OFF,
    "X": Outcome.STOPPED,
    "N": Outcome.MOOT,
}
NATURES = {"safe": Nature.REDOABLE, "keyed": Nature.LABELLED, "unsafe": Nature.IRREVERSIBLE}
HALTINGS = {"off": Halting.NEVER, "drop": Halting.DROPS, "pause": Halting.PAUSES}
SPEECHES = {"off": Speech.SILENT, "tokens": Speech.CREDIT, "min_rank": Speech.LEVEL, "bias": Speech.CHANCE}


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


def machine(text: str) -> Machine:
    """The settings of an `init`; keys not known here are skipped."""
    try:
        info = json.loads(text)
        return _machine(info)
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as trouble:
        raise MalformedError(f"settings: {trouble!r}") from None


def _machine(info: dict[str, Any]) -> Machine:
    extra, safety, limits = info["extra"], info["safety"], info.get("limits", {})
    calls, skips = extra.get("class-calls") or [], extra.get("class-skip-worth") or []
    below = extra.get("below", "off")
    in_hand = extra.get("calls-out")
    ledger = None
    if below != "off":
        ledger = Ledger(
            common=below == "common",
            in_hand=float(in_hand) if below == "common" and in_hand is not None else None,
            span=float(extra.get("share-span-s") or 0.0),
            linger=float(extra.get("lingers-s") or 0.0),
        )
    return Machine(
        tracks=tuple(
            Track(
                position=place,
                nature=NATURES[one["repeat"]],
                goal=float(one["on-time-s"]),
                abandon=float(one["deadline-s"]),
                earnings=float(one.get("worth", 1.0)),
                late_share=float(one.get("late-worth") or 0.0),
                window=float(one.get("window-s") or 0.0),
                goal_stretch=float(one.get("aim-stretch") or 0.0),
                calls=bool(calls[place]) if place < len(calls) else False,
                skip_share=float(skips[place]) if place < len(skips) else 0.0,
            )
            for place, one in enumerate(info["classes"])
        ),
        cores=int(extra["cores"]),
        memory_kb=float(extra["memory-kb"]),
        run_factor=float(extra.get("run-factor", 1.0)),
        customers=tuple(
            Customer(quota=float(one.get("quota-rps") or 0.0), share=float(one.get("fraction") or 0.0))
            for one in info.get("orgs") or []
        ),
        location=Location(int(info.get("my-zone") or 0)),
        ledger=ledger,
        servers=int(info.get("servers") or 1),
        routers=int(extra.get("callers") or 1),
        label_kb=float(extra.get("key-kb") or 0.0),
        halting=HALTINGS[extra.get("halt", "off")],
        speech=SPEECHES[extra.get("say", "off")],
        said_for=float(extra.get("said-for-s") or 0.0),
        share_reads_for=float(extra.get("share-for-s") or 0.0),
        told_wait=bool(extra.get("passes-deadline", False)),
        told_gone=bool(extra.get("tells-gone", False)),
        marks_again=bool(info.get("client-habits", {}).get("marks-retry", False)),
        by_work=info.get("value-by") == "work",
        over_share_worth=float(info.get("over-share-worth", 1.0)),
        fresh_start=bool(extra.get("fresh-start", False)),
        deep_checks=bool(extra.get("deep-checks", False)),
        readiness=bool(extra.get("readiness", False)),
        idle=float(extra.get("idle-s") or 0.0),
        tick=float(info.get("tick-s") or 0.0),
        slack=float(safety.get("answer-slack-s") or 0.0),
        drain_grace=float(safety.get("drain-grace-s") or 0.0),
        crowd_multiple=float(safety["fall-multiple"]),
        crowd_span=float(safety.get("fall-s") or 0.0),
        cold_from=float(safety.get("cold-from", 1.0)),
        warm_up=float(safety.get("warm-up-s") or 0.0),
        advice_limit=float(limits.get("max-retry-after-s") or 0.0) if limits.get("retry-after") else 0.0,
        goal_weights=tuple((name, float(value)) for name, value in info.get("goal", {}).items()),
        charges=tuple((name, float(value)) for name, value in info.get("charges", {}).items()),
    )


def seconds(value: float) -> str:
    """A time or an amount as the wire writes it."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


def reply(lines: Iterable[str], batch: int) -> str:
    """A whole reply."""
    return "".join(f"{line}\n" for line in lines) + f"end {batch}\n"
