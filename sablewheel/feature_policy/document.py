"""The routing policy as the operators write it: YAML, one schema, all faults told at once with line and key.

`read` gives a `Policy` of plain values; what it means for a class of servers is the translation's matter.
Read by the operators' tools and where a policy is translated, never by a server that serves.
"""

from __future__ import annotations

import difflib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from .host_capabilities import CATALOGUE, Catalogue
from .policy import (
    MAX_FALLBACK_LEVELS,
    MAX_FLOWS,
    MAX_FLOWS_WITH_FALLBACK,
    MAX_PRIORITY_WEIGHT,
    FallbackLevel,
    Flow,
    Policy,
    Wants,
)

MAX_DOCUMENT_BYTES = 256 << 10  # bytes of a document
MAX_FEATURES = 32  # of one line of wants


@dataclass(frozen=True)
class Fault:
    """One fault: the line from 1 (0 if there is none), the key's path, and what to say."""

    line: int
    key: str
    says: str


class FaultyPolicyError(ValueError):
    """The document can't be used; the text has a line for each fault."""

    def __init__(self, file: str, faults: list[Fault]) -> None:
        self.file, self.faults = file, faults
        super().__init__("\n".join(f"{file}:{one.line}: {one.key}: {one.says}" for one in faults))


def _mapping(value: Any) -> Any:
    """A feature without parameters may be written with nothing behind it."""
    if not isinstance(value, dict):
        return value
    return {key: {} if one is None else one for key, one in value.items()}


Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[^\s:]+$")]
WantsIn = Annotated[
    dict[str, dict[str, Annotated[int, Field(ge=0, le=1 << 40)]]],
    BeforeValidator(_mapping),
    Field(max_length=MAX_FEATURES),
]
Worth = Annotated[int, Field(ge=0, le=MAX_PRIORITY_WEIGHT)]
Names = Annotated[list[Name], Field(max_length=1000)]


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class _FallbackLevel(_Part):
    worth: Worth
    features: WantsIn


class _Flow(_Part):
    tracks: Names = []
    customers: Names = []
    zones: Names = []
    cores: Annotated[float, Field(ge=0, le=1_000_000, allow_inf_nan=False)] = 0.0
    worth: Worth = 1
    require: WantsIn = {}
    prefer: Annotated[list[_FallbackLevel], Field(max_length=MAX_FALLBACK_LEVELS)] = []
    forbid: Annotated[list[str], Field(max_length=MAX_FEATURES)] = []


class _Document(_Part):
    version: Literal[1]
    policy: Annotated[int, Field(ge=1, le=1 << 40)]
    flows: Annotated[dict[Name, _Flow], Field(min_length=1, max_length=MAX_FLOWS)]


def read(text: str, file: str = "policy", catalogue: Catalogue = CATALOGUE) -> Policy:
    """The policy of a text; raises `FaultyPolicyError` with all its faults. `file`: its name in messages."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise FaultyPolicyError(
            file, [Fault(0, "file", f"over {MAX_DOCUMENT_BYTES} bytes; fewer flows are wanted")]
        )
    try:
        told = YAML(typ="rt").load(text)
    except MarkedYAMLError as trouble:
        mark = trouble.problem_mark
        line = mark.line + 1 if mark is not None else 0
        raise FaultyPolicyError(file, [Fault(line, "file", f"not YAML: {trouble.problem}")]) from None
    except (YAMLError, ValueError) as trouble:
        says = f"not YAML: {trouble}".split("\n")[0]
        raise FaultyPolicyError(file, [Fault(0, "file", says)]) from None
    if not isinstance(told, CommentedMap):
        raise FaultyPolicyError(file, [Fault(1, "file", "keys are wanted, `version: 1` first")])
    try:
        document = _Document.model_validate(_plain(told))
    except ValidationError as trouble:
        faults = [_fault(told, one) for one in trouble.errors(include_url=False)]
        raise FaultyPolicyError(file, sorted(faults, key=lambda one: one.line)) from None
    faults = sorted(_meant(told, document, catalogue), key=lambda one: one.line)
    if faults:
        raise FaultyPolicyError(file, faults)
    flows = tuple(_flow(told, name, one) for name, one in document.flows.items())
    return Policy(document.policy, flows, file)


def _flow(told: CommentedMap, name: str, one: _Flow) -> Flow:
    at = ("flows", name)
    lines = {f"require.{each}": _line(told, (*at, "require", each)) for each in one.require}
    lines |= {f"forbid.{each}": _line(told, (*at, "forbid", n)) for n, each in enumerate(one.forbid)}
    fallbacks = tuple(
        FallbackLevel(fallback_level.features, fallback_level.worth, _line(told, (*at, "prefer", place)))
        for place, fallback_level in enumerate(one.prefer)
    )
    return Flow(
        name=name,
        request_classes=tuple(one.tracks),
        tenants=tuple(one.customers),
        zones=tuple(one.zones),
        cores=one.cores,
        worth=one.worth,
        require=one.require,
        fallbacks=fallbacks,
        forbid=tuple(one.forbid),
        lines=lines,
    )


Path = tuple[Any, ...]  # keys and places from the top of the document


def _meant(told: CommentedMap, document: _Document, catalogue: Catalogue) -> Iterator[Fault]:
    """Yield faults that the schema can't see.

    Names, ranges, and lines of one flow that contradict each other.
    """
    for name, flow in document.flows.items():
        path: Path = ("flows", name)
        wants = [((*path, "require"), flow.require)]
        wants += [
            ((*path, "prefer", place, "features"), one.features) for place, one in enumerate(flow.prefer)
        ]
        faults: list[tuple[Path, str]] = []
        for place, features in wants:
            for feature, values in features.items():
                faults += _feature_faults((*place, feature), feature, values, features, flow, catalogue)
        faults += _forbid_faults((*path, "forbid"), flow, catalogue)
        faults += _order_faults((*path, "prefer"), flow)
        for where, says in faults:
            yield _fault_at(told, where, says)
    if sum(bool(flow.prefer) for flow in document.flows.values()) > MAX_FLOWS_WITH_FALLBACK:
        yield _fault_at(told, ("flows",), f"over {MAX_FLOWS_WITH_FALLBACK} flows with prefer; join some")


def _fault_at(told: CommentedMap, path: Path, says: str) -> Fault:
    return Fault(_line(told, path), ".".join(str(part) for part in path), says)


def _feature_faults(
    path: Path, feature: str, values: Mapping[str, int], beside: Wants, flow: _Flow, catalogue: Catalogue
) -> Iterator[tuple[Path, str]]:
    """Yield what is wrong with one feature among those that a line wants."""
    if feature not in catalogue:
        yield path, f"no such feature; {_near(feature, catalogue)}"
        return
    if feature in flow.forbid:
        yield path, "also under forbid; one of the two must go"
    for other in catalogue[feature].conflicts:
        if other in beside or other in flow.require:
            yield path, f"can't run beside {other}; one of the two must go"
    for key, value in values.items():
        parameter = catalogue[feature].parameter(key)
        if parameter is None:
            known = {one.name: one for one in catalogue[feature].parameters}
            yield (*path, key), f"no such parameter; {_near(key, known)}"
        elif not parameter.least <= value <= parameter.most:
            yield (*path, key), f"{parameter.least} to {parameter.most} is wanted, got {value}"


def _forbid_faults(path: Path, flow: _Flow, catalogue: Catalogue) -> Iterator[tuple[Path, str]]:
    for place, feature in enumerate(flow.forbid):
        if feature not in catalogue:
            yield (*path, place), f"no such feature; {_near(feature, catalogue)}"
        for needed in flow.require:
            if needed in catalogue and feature in catalogue[needed].needs:
                says = f"{feature} is needed by {needed}, which is required; one of the two must go"
                yield (*path, place), says


def _order_faults(path: Path, flow: _Flow) -> Iterator[tuple[Path, str]]:
    for place, (better, worse) in enumerate(zip(flow.prefer, flow.prefer[1:], strict=False)):
        if worse.worth >= better.worth:
            says = f"less than the {better.worth} of the rung above is wanted, got {worse.worth}"
            yield (*path, place + 1, "worth"), says


def _near(name: str, known: Mapping[str, Any]) -> str:
    near = difflib.get_close_matches(name, known, 1)
    return f"{near[0]} may be meant" if near else f"known here: {', '.join(known) or 'none'}"


def _plain(value: Any) -> Any:
    """Python's own types of what the YAML reader gives, which keeps comments and notations."""
    if isinstance(value, CommentedMap):
        return {str(key): _plain(item) for key, item in value.items()}
    if isinstance(value, CommentedSeq):
        return [_plain(item) for item in value]
    if isinstance(value, bool):
        return value
    return next((kind(value) for kind in (int, float, str) if isinstance(value, kind)), value)


def _fault(told: CommentedMap, error: Any) -> Fault:
    path, found = error["loc"], error["input"]
    key = ".".join(str(one) for one in path) or "file"
    line = _line(told, path)
    if error["type"] == "extra_forbidden":
        model = _Document if len(path) == 1 else _FallbackLevel if "prefer" in path[:-1] else _Flow
        return Fault(line, key, f"no such key; {_near(str(path[-1]), model.model_fields)}")
    if error["type"] == "missing":
        return Fault(line, key, "missing")
    says = error["msg"].removeprefix("Value error, ")
    if isinstance(found, (str, int, float, bool)) or found is None:
        says = f"{says}, got {found!r:.60}"
    return Fault(line, key, says[0].lower() + says[1:])


def _line(told: Any, path: tuple[Any, ...]) -> int:
    """The line of a key, or of the nearest one above it that is there."""
    line = 1
    for one in path:
        try:
            if isinstance(told, CommentedMap):
                line = told.lc.key(one)[0] + 1
            elif isinstance(told, CommentedSeq):
                line = told.lc.item(one)[0] + 1
            told = told[one]
        except (KeyError, IndexError, TypeError):
            break
    return line
