"""The schema and the reader of the operators' policy document, which is YAML.

`read` returns a `Policy` of plain values, or reports all faults of the document with their lines and keys.
Only the operators' tools and the translation process use it, never a serving process.
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
    RequiredFeatures,
)

MAX_DOCUMENT_BYTES = 256 << 10
MAX_FEATURES = 32  # in one `require`, `forbid` or `features`


@dataclass(frozen=True)
class Fault:
    """A fault of the document.

    `line` counts from 1 (0 if unknown); `key` is the path of the key, joined by dots.
    """

    line: int
    key: str
    message: str


class FaultyPolicyError(ValueError):
    """The document is not valid; the text has a line for each fault."""

    def __init__(self, file: str, faults: list[Fault]) -> None:
        self.file, self.faults = file, faults
        super().__init__("\n".join(f"{file}:{fault.line}: {fault.key}: {fault.message}" for fault in faults))


def _empty_if_none(value: Any) -> Any:
    """Replace empty values, which stand for features without parameters, with empty mappings."""
    if not isinstance(value, dict):
        return value
    return {key: {} if parameters is None else parameters for key, parameters in value.items()}


NameField = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[^\s:]+$")]
FeaturesField = Annotated[
    dict[str, dict[str, Annotated[int, Field(ge=0, le=1 << 40)]]],
    BeforeValidator(_empty_if_none),
    Field(max_length=MAX_FEATURES),
]
PriorityWeight = Annotated[int, Field(ge=0, le=MAX_PRIORITY_WEIGHT)]
NamesField = Annotated[list[NameField], Field(max_length=1000)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class _FallbackLevel(_Section):
    worth: PriorityWeight
    features: FeaturesField


class _Flow(_Section):
    tracks: NamesField = []
    customers: NamesField = []
    zones: NamesField = []
    cores: Annotated[float, Field(ge=0, le=1_000_000, allow_inf_nan=False)] = 0.0
    worth: PriorityWeight = 1
    require: FeaturesField = {}
    prefer: Annotated[list[_FallbackLevel], Field(max_length=MAX_FALLBACK_LEVELS)] = []
    forbid: Annotated[list[str], Field(max_length=MAX_FEATURES)] = []


class _Document(_Section):
    version: Literal[1]
    policy: Annotated[int, Field(ge=1, le=1 << 40)]
    flows: Annotated[dict[NameField, _Flow], Field(min_length=1, max_length=MAX_FLOWS)]


def read(text: str, file: str = "policy", catalogue: Catalogue = CATALOGUE) -> Policy:
    """Return the policy in a document; raises `FaultyPolicyError` with all faults.

    `file` is the name of the document in error messages.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        raise FaultyPolicyError(
            file, [Fault(0, "file", f"over {MAX_DOCUMENT_BYTES} bytes; reduce the number of flows")]
        )
    try:
        tree = YAML(typ="rt").load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark is not None else 0
        raise FaultyPolicyError(file, [Fault(line, "file", f"not YAML: {error.problem}")]) from None
    except (YAMLError, ValueError) as error:
        message = f"not YAML: {error}".split("\n")[0]
        raise FaultyPolicyError(file, [Fault(0, "file", message)]) from None
    if not isinstance(tree, CommentedMap):
        raise FaultyPolicyError(file, [Fault(1, "file", "must be a mapping, with `version: 1` first")])
    try:
        document = _Document.model_validate(_plain(tree))
    except ValidationError as error:
        faults = [_schema_fault(tree, details) for details in error.errors(include_url=False)]
        raise FaultyPolicyError(file, sorted(faults, key=lambda fault: fault.line)) from None
    faults = sorted(_semantic_faults(tree, document, catalogue), key=lambda fault: fault.line)
    if faults:
        raise FaultyPolicyError(file, faults)
    flows = tuple(_make_flow(tree, name, flow) for name, flow in document.flows.items())
    return Policy(document.policy, flows, file)


def _make_flow(tree: CommentedMap, name: str, flow: _Flow) -> Flow:
    path = ("flows", name)
    lines = {f"require.{feature}": _line_of(tree, (*path, "require", feature)) for feature in flow.require}
    lines |= {
        f"forbid.{feature}": _line_of(tree, (*path, "forbid", index))
        for index, feature in enumerate(flow.forbid)
    }
    fallbacks = tuple(
        FallbackLevel(fallback_level.features, fallback_level.worth, _line_of(tree, (*path, "prefer", index)))
        for index, fallback_level in enumerate(flow.prefer)
    )
    return Flow(
        name=name,
        request_classes=tuple(flow.tracks),
        tenants=tuple(flow.customers),
        zones=tuple(flow.zones),
        cores=flow.cores,
        priority_weight=flow.worth,
        require=flow.require,
        fallbacks=fallbacks,
        forbid=tuple(flow.forbid),
        lines=lines,
    )


Path = tuple[Any, ...]  # keys and indices from the top of the document


def _semantic_faults(tree: CommentedMap, document: _Document, catalogue: Catalogue) -> Iterator[Fault]:
    """Yield faults that the schema does not detect.

    They are unknown names, values out of range, and lines of one flow that contradict each other.
    """
    for name, flow in document.flows.items():
        path: Path = ("flows", name)
        groups = [((*path, "require"), flow.require)]
        groups += [
            ((*path, "prefer", index, "features"), level.features) for index, level in enumerate(flow.prefer)
        ]
        faults: list[tuple[Path, str]] = []
        for group_path, features in groups:
            for feature, values in features.items():
                faults += _feature_faults((*group_path, feature), feature, values, features, flow, catalogue)
        faults += _forbid_faults((*path, "forbid"), flow, catalogue)
        faults += _order_faults((*path, "prefer"), flow)
        for fault_path, message in faults:
            yield _fault_at(tree, fault_path, message)
    if sum(bool(flow.prefer) for flow in document.flows.values()) > MAX_FLOWS_WITH_FALLBACK:
        yield _fault_at(
            tree, ("flows",), f"over {MAX_FLOWS_WITH_FALLBACK} flows with prefer; merge some of them"
        )


def _fault_at(tree: CommentedMap, path: Path, message: str) -> Fault:
    return Fault(_line_of(tree, path), ".".join(str(part) for part in path), message)


def _feature_faults(
    path: Path,
    feature: str,
    values: Mapping[str, int],
    listed_together: RequiredFeatures,
    flow: _Flow,
    catalogue: Catalogue,
) -> Iterator[tuple[Path, str]]:
    """Yield the faults of one feature among those that are listed together."""
    if feature not in catalogue:
        yield path, f"unknown feature; {_suggestion(feature, catalogue)}"
        return
    if feature in flow.forbid:
        yield path, "also under forbid; remove one of the two"
    for other in catalogue[feature].conflicts:
        if other in listed_together or other in flow.require:
            yield path, f"conflicts with {other}; remove one of the two"
    for key, value in values.items():
        parameter = catalogue[feature].parameter(key)
        if parameter is None:
            known = {candidate.name: candidate for candidate in catalogue[feature].parameters}
            yield (*path, key), f"unknown parameter; {_suggestion(key, known)}"
        elif not parameter.minimum <= value <= parameter.maximum:
            yield (*path, key), f"must be {parameter.minimum} to {parameter.maximum}, got {value}"


def _forbid_faults(path: Path, flow: _Flow, catalogue: Catalogue) -> Iterator[tuple[Path, str]]:
    for index, feature in enumerate(flow.forbid):
        if feature not in catalogue:
            yield (*path, index), f"unknown feature; {_suggestion(feature, catalogue)}"
        for required in flow.require:
            if required in catalogue and feature in catalogue[required].needs:
                message = f"{feature} is needed by {required}, which is required; remove one of the two"
                yield (*path, index), message


def _order_faults(path: Path, flow: _Flow) -> Iterator[tuple[Path, str]]:
    for index, (better, worse) in enumerate(zip(flow.prefer, flow.prefer[1:], strict=False)):
        if worse.worth >= better.worth:
            message = f"must be less than the {better.worth} of the fallback level above, got {worse.worth}"
            yield (*path, index + 1, "worth"), message


def _suggestion(name: str, known: Mapping[str, Any]) -> str:
    matches = difflib.get_close_matches(name, known, 1)
    return f"did you mean {matches[0]}?" if matches else f"known names: {', '.join(known) or 'none'}"


def _plain(value: Any) -> Any:
    """Convert a value of the YAML reader, whose types keep comments and notations, to built-in types."""
    if isinstance(value, CommentedMap):
        return {str(key): _plain(item) for key, item in value.items()}
    if isinstance(value, CommentedSeq):
        return [_plain(item) for item in value]
    if isinstance(value, bool):
        return value
    return next(
        (builtin_type(value) for builtin_type in (int, float, str) if isinstance(value, builtin_type)), value
    )


def _schema_fault(tree: CommentedMap, error: Any) -> Fault:
    path, value = error["loc"], error["input"]
    key = ".".join(str(part) for part in path) or "file"
    line = _line_of(tree, path)
    if error["type"] == "extra_forbidden":
        model = _Document if len(path) == 1 else _FallbackLevel if "prefer" in path[:-1] else _Flow
        return Fault(line, key, f"unknown key; {_suggestion(str(path[-1]), model.model_fields)}")
    if error["type"] == "missing":
        return Fault(line, key, "missing")
    message = error["msg"].removeprefix("Value error, ")
    if isinstance(value, (str, int, float, bool)) or value is None:
        message = f"{message}, got {value!r:.60}"
    return Fault(line, key, message[0].lower() + message[1:])


def _line_of(tree: Any, path: tuple[Any, ...]) -> int:
    """Return the line of a key, or of its nearest existing parent."""
    line = 1
    for part in path:
        try:
            if isinstance(tree, CommentedMap):
                line = tree.lc.key(part)[0] + 1
            elif isinstance(tree, CommentedSeq):
                line = tree.lc.item(part)[0] + 1
            tree = tree[part]
        except (KeyError, IndexError, TypeError):
            break
    return line
