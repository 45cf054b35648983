"""Imports go one way: no circle of modules nor of packages, those for the type checker counted as well."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

import sablewheel
from sablewheel.program.feature_file import Features, Section, Top
from sablewheel.program.feature_registry import DECLARED

ROOT = Path(sablewheel.__file__).parent
# The packages of the sections whose names in the features file differ from theirs.
PACKAGES = {
    "ledger": "usage_metering",
    "recall": "result_store",
    "policy": "feature_policy",
    "affinity": "session_affinity",
}


def imports(file: Path) -> Iterator[str]:
    """The modules of ours that a file names in any import, wherever in it that stands."""
    package = ("sablewheel", *file.relative_to(ROOT).parent.parts)
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.ImportFrom):
            base = list(package[: len(package) + 1 - node.level]) if node.level else []
            full = [*base, *(node.module.split(".") if node.module else [])]
            if full[:1] == ["sablewheel"]:
                for one in node.names:
                    path = ROOT.joinpath(*full[1:], one.name)
                    deeper = path.is_dir() or path.with_suffix(".py").exists()
                    yield ".".join([*full, one.name] if deeper else full)
        elif isinstance(node, ast.Import):
            yield from (one.name for one in node.names if one.name.startswith("sablewheel."))


def graph() -> dict[str, set[str]]:
    found = {}
    for file in sorted(ROOT.rglob("*.py")):
        name = ".".join(["sablewheel", *file.relative_to(ROOT).with_suffix("").parts])
        found[name.removesuffix(".__init__")] = set(imports(file))
    return found


def rooms(modules: dict[str, set[str]]) -> dict[str, set[str]]:
    """The same between the packages; a module that lies in none is one of its own."""
    found: dict[str, set[str]] = {}
    for name, used in modules.items():
        here = ".".join(name.split(".")[:2])
        found.setdefault(here, set()).update(".".join(one.split(".")[:2]) for one in used)
        found[here] -= {here, "sablewheel"}
    return found


def circle(of: dict[str, set[str]]) -> list[str]:
    try:
        TopologicalSorter(of).prepare()
    except CycleError as trouble:
        return list(trouble.args[1])
    return []


def test_no_circle_of_modules_nor_of_packages() -> None:
    modules = graph()
    assert "sablewheel.serving.exchange" in modules["sablewheel.serving.idempotency_keys"]
    assert circle(modules) == [] and circle(rooms(modules)) == []
    modules["sablewheel.serving.exchange"].add("sablewheel.serving.idempotency_keys")
    assert circle(modules)  # the check finds one that is there
    modules["sablewheel.serving.exchange"].add("sablewheel.program.feature_registry")
    assert circle(rooms(modules))


def test_what_a_feature_needs_is_made_before_it() -> None:
    order = [one.section for one in DECLARED]
    for name in order:
        section = next(
            kind
            for kind in Top.model_fields[name].annotation.__args__  # type: ignore[union-attr]
            if isinstance(kind, type) and issubclass(kind, Section)
        )
        assert name in Features.__dataclass_fields__
        assert all(order.index(needed) < order.index(name) for needed in section.needs)


@pytest.mark.parametrize("section", [one.section for one in DECLARED])
def test_a_section_that_is_off_is_not_imported(section: str) -> None:
    """The parts know their features by name only, until they are made; plans are plain values."""
    program = (
        "import sys, sablewheel.program.feature_registry;"
        f"sys.exit(any(one.startswith('sablewheel.{PACKAGES.get(section, section)}.') and"
        " one.split('.')[-1] not in ('plan', 'periods', 'view') for one in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", program], timeout=30).returncode == 0


def test_the_deploy_file_names_each_module_of_the_decisions() -> None:
    deploy = tomllib.loads((ROOT.parent / "deploy" / "balancer.toml").read_text())
    modules = sorted(str(file.relative_to(ROOT.parent)) for file in (ROOT / "overload").rglob("*.py"))
    assert deploy["policy"] == modules
