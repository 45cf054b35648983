"""Reads the features file, which is YAML with one schema, and reports all its faults with line and key.

The file is named by `--features FILE` or `SABLEWHEEL_FEATURES`. A feature whose section is absent is off. The
server, the collector and `sablewheel check` read the file with this module.
"""

from __future__ import annotations

import difflib
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, Literal

from pydantic import BaseModel, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import MarkedYAMLError, YAMLError

from ..feature_policy.plan import PolicyPlan
from ..forwarding.plan import ForwardingPlan
from ..membership.plan import MembershipPlan
from ..replication.plan import ReplicationPlan
from ..result_store.plan import ResultStorePlan
from ..session_affinity.plan import AffinityPlan
from ..usage_metering.plan import CollectorPlan, LedgerPlan
from .feature_settings.collector import CollectorSection
from .feature_settings.feature_policy import PolicySection
from .feature_settings.forwarding import ForwardingSection
from .feature_settings.membership import MembershipSection
from .feature_settings.replication import ReplicationSection
from .feature_settings.result_store import RecallSection
from .feature_settings.section import Section as Section
from .feature_settings.session_affinity import AffinitySection
from .feature_settings.usage_metering import LedgerSection

VERSION = 1
VARIABLE = "SABLEWHEEL_FEATURES"
SEPARATE_PROGRAMS = ("collector",)  # sections that the server does not use


@dataclass(frozen=True)
class Fault:
    """One fault of the file: its line (counted from 1; 0 if unknown), the key's path, and the message."""

    line: int
    key: str
    message: str


class FaultyFeaturesError(ValueError):
    """The file can't be used; the message has a line for each fault."""

    def __init__(self, file: str, faults: list[Fault]) -> None:
        self.faults = faults
        super().__init__("\n".join(f"{file}:{fault.line}: {fault.key}: {fault.message}" for fault in faults))


@dataclass(frozen=True)
class Features:
    """The enabled features: the plan of each present section, under the section's name."""

    ledger: LedgerPlan | None = None
    recall: ResultStorePlan | None = None
    collector: CollectorPlan | None = None
    membership: MembershipPlan | None = None
    forwarding: ForwardingPlan | None = None
    policy: PolicyPlan | None = None
    replication: ReplicationPlan | None = None
    affinity: AffinityPlan | None = None

    @property
    def any(self) -> bool:
        """Whether any feature of the server itself is on."""
        names = [field.name for field in fields(self) if field.name not in SEPARATE_PROGRAMS]
        return any(self.plan(name) is not None for name in names)

    def plan(self, section: str) -> Any:
        """Return the section's plan; None if it is off."""
        return getattr(self, section)


class Top(Section):
    """The top level of the file."""

    version: Literal[1]
    ledger: LedgerSection | None = None
    recall: RecallSection | None = None
    collector: CollectorSection | None = None
    membership: MembershipSection | None = None
    forwarding: ForwardingSection | None = None
    policy: PolicySection | None = None
    replication: ReplicationSection | None = None
    affinity: AffinitySection | None = None

    def sections(self) -> dict[str, Any]:
        """Return the present sections, under the names that `Features` has for their plans."""
        sections = {name: getattr(self, name) for name in type(self).model_fields if name != "version"}
        return {name: section for name, section in sections.items() if section is not None}


def read(file: str | Path) -> Features:
    """Return the features of a file.

    Raises:
        FaultyFeaturesError: With all faults of the file.
    """
    top = check(str(file), _read_text(str(file)))
    return Features(**{name: section.plan() for name, section in top.sections().items()})


def _read_text(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except OSError as error:
        raise FaultyFeaturesError(file, [Fault(0, "file", error.strerror or str(error))]) from None
    except UnicodeDecodeError as error:
        raise FaultyFeaturesError(file, [Fault(0, "file", f"not UTF-8 at byte {error.start}")]) from None


def check(file: str, text: str) -> Top:
    """Parse and check a text.

    Args:
        file: The name of the file in messages.
        text: Its contents.

    Raises:
        FaultyFeaturesError: With all faults of the text.
    """
    document = _parse_yaml(file, text)
    try:
        top = Top.model_validate(_to_plain(document))
    except ValidationError as error:
        faults = [_describe(document, detail) for detail in error.errors(include_url=False)]
        raise FaultyFeaturesError(file, sorted(faults, key=lambda fault: fault.line)) from None
    sections = top.sections()
    if faults := [
        Fault(_line(document, (name,)), name, f"needs the section {needed}, which is absent")
        for name, section in sections.items()
        for needed in section.needs
        if needed not in sections
    ]:
        raise FaultyFeaturesError(file, faults)
    if faults := [
        Fault(_line(document, (name, key)), f"{name}.{key}", reason)
        for name, section in sections.items()
        for key, reason in section.conflicts(sections)
    ]:
        raise FaultyFeaturesError(file, faults)
    return top


def _parse_yaml(file: str, text: str) -> CommentedMap:
    try:
        document = YAML(typ="rt").load(text)
    except MarkedYAMLError as error:
        mark = error.problem_mark
        line = mark.line + 1 if mark is not None else 0
        raise FaultyFeaturesError(file, [Fault(line, "file", f"not YAML: {error.problem}")]) from None
    except (YAMLError, ValueError) as error:
        raise FaultyFeaturesError(file, [Fault(0, "file", f"not YAML: {error}".split("\n")[0])]) from None
    if not isinstance(document, CommentedMap):
        raise FaultyFeaturesError(file, [Fault(1, "file", "expected keys, with `version: 1` first")])
    return document


def _to_plain(value: Any) -> Any:
    """Return the value in Python's own types; the YAML reader's types retain comments and notations."""
    if isinstance(value, CommentedMap):
        return {str(key): _to_plain(item) for key, item in value.items()}
    if isinstance(value, CommentedSeq):
        return [_to_plain(item) for item in value]
    if isinstance(value, bool):
        return value
    for plain_type in (int, float, str):
        if isinstance(value, plain_type):
            return plain_type(value)
    return value


def _describe(document: CommentedMap, error: Any) -> Fault:
    """Return the fault for one error of the schema's validation."""
    path, error_type, value = error["loc"], error["type"], error["input"]
    key = ".".join(str(part) for part in path) or "file"
    line = _line(document, path)
    if error_type == "extra_forbidden":
        known = _known_keys(path[:-1])
        near = difflib.get_close_matches(str(path[-1]), known, 1)
        hint = f"; {near[0]} may be meant" if near else f"; known here: {', '.join(known)}"
        return Fault(line, key, f"no such key{hint}")
    if error_type == "missing":
        return Fault(line, key, "missing")
    message = error["msg"].removeprefix("Value error, ")
    if isinstance(value, (str, int, float, bool)) or value is None:
        message = f"{message}, got {value!r:.60}"
    return Fault(line, key, message[0].lower() + message[1:])


def _line(node: Any, path: tuple[Any, ...]) -> int:
    """Return the line of a key, or of its nearest parent that is present."""
    line = 1
    for part in path:
        try:
            if isinstance(node, CommentedMap):
                line = node.lc.key(part)[0] + 1
            elif isinstance(node, CommentedSeq):
                line = node.lc.item(part)[0] + 1
            node = node[part]
        except (KeyError, IndexError, TypeError):
            break
    return line


def _known_keys(path: tuple[Any, ...]) -> list[str]:
    """Return the keys of the section at a path."""
    model: type[BaseModel] = Top
    for part in path:
        field = next((field for field in model.model_fields.values() if field.alias == part), None)
        types = [field.annotation, *getattr(field.annotation, "__args__", ())] if field is not None else []
        models = [
            candidate
            for candidate in types
            if isinstance(candidate, type) and issubclass(candidate, BaseModel)
        ]
        if not models:
            return []
        model = models[0]
    return [field.alias or name for name, field in model.model_fields.items()]
